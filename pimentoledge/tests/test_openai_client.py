"""Tests of an entry with fake backends through the OpenAI client library."""

import threading
import time

import openai
import pytest

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.runners import fake_engines

WAIT_SECONDS = 20.0
KEY = "openai-key"
PROMPT = "Which bracket fits this frame? " * 20


def wait_until(condition):
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "waited in vain"
        time.sleep(0.01)


@pytest.fixture(name="emulator", scope="module")
def start_emulator():
    emulator = emulators.Emulator()
    emulator.start()
    emulator.declare(declarations.Model(name="m", weights="w1"))
    emulator.declare(declarations.Model(name="other", weights="w1"))
    emulator.declare(declarations.Service(name="cards"))
    for name, key, limit in (("o", KEY, 0), ("narrow", "narrow-key", 1)):
        emulator.declare(
            declarations.Contract(
                organisation=name,
                key_digests=[emulators.key_digest(key)],
                models=["m"],
                services=["cards"],
                concurrency=limit,
            )
        )
    emulator.add_runner("r1", "m", step_seconds=0.005)
    emulator.add_runner("r2", "m", step_seconds=0.005)
    emulator.add_service("c1", "cards")
    entry = emulator.add_entry("entry")
    wait_until(entry.ready)
    wait_until(
        lambda: entry.loop.query(
            lambda core: len(core.configuration.servers("runner", "m")) == 2
            and len(core.configuration.servers("service", "cards")) == 1
        )
    )
    yield emulator
    emulator.close()


def create_client(emulator, key=KEY):
    address = emulator.entries[0].callers.address
    return openai.OpenAI(
        api_key=key,
        base_url=f"http://{address}/v1",
        max_retries=0,
        timeout=WAIT_SECONDS,
    )


def chat(client, **fields):
    return client.chat.completions.create(
        model=fields.pop("model", "m"),
        messages=[
            {"role": "system", "content": "Answer in one line."},
            {"role": "user", "content": PROMPT},
        ],
        **{"max_tokens": 12, **fields},
    )


def running_streams(emulator):
    return [
        key
        for runner in emulator.runners.values()
        for key in runner.engine.streams
    ]


def test_streamed_and_unstreamed_completions_are_equal(emulator):
    client = create_client(emulator)
    completion = chat(client)
    assert completion.choices[0].finish_reason == "length"
    assert completion.usage.completion_tokens == 12
    stream = chat(client, stream=True, stream_options={"include_usage": True})
    chunks = list(stream)
    assert chunks[0].choices[0].delta.role == "assistant"
    text = "".join(
        choice.delta.content or ""
        for chunk in chunks
        for choice in chunk.choices
    )
    assert text == completion.choices[0].message.content
    assert chunks[-1].usage.prompt_tokens_details.cached_tokens > 0


def test_text_completion(emulator):
    answer = create_client(emulator).completions.create(
        model="m", prompt=PROMPT, max_tokens=9
    )
    expected = fake_engines.expected_text(PROMPT, 0, 9)
    assert answer.choices[0].text == expected


def test_models_are_listed(emulator):
    names = [each.id for each in create_client(emulator).models.list()]
    assert names == ["m"]


def test_closed_stream_is_cancelled_at_the_engine(emulator):
    """Guards against an engine that runs on after the caller disconnected."""
    stream = chat(create_client(emulator), stream=True, max_tokens=5000)
    next(iter(stream))
    wait_until(lambda: running_streams(emulator))
    stream.close()
    wait_until(lambda: not running_streams(emulator))


def test_disconnect_before_the_first_token_releases_all_state(emulator):
    """Guards against a memory leak and uncounted requests.

    The arrival time of a caller that disconnected before its first token was
    never removed, and the request was not counted.
    """
    entry = emulator.entries[0]
    prompt = "a long dossier " * 20000
    client = create_client(emulator).with_options(timeout=0.2)
    with pytest.raises(openai.APITimeoutError):
        client.completions.create(model="m", prompt=prompt)
    wait_until(lambda: not entry.metrics.arrivals and not entry.replies)
    disconnects = entry.metrics.registry.get_sample_value(
        "pimentoledge_requests_total", {"code": "CALLER_GONE"}
    )
    assert disconnects >= 1
    wait_until(lambda: not running_streams(emulator))


@pytest.mark.parametrize(
    ("fields", "error", "code"),
    [
        ({"model": "nothing"}, openai.NotFoundError, "UNKNOWN_MODEL"),
        ({"model": "other"}, openai.PermissionDeniedError, "NOT_PERMITTED"),
        ({"temperature": 7.0}, openai.BadRequestError, "BAD_FIELD"),
    ],
)
def test_rejection_raises_the_matching_library_error(
    emulator, fields, error, code
):
    with pytest.raises(error) as raised:
        chat(create_client(emulator), **fields)
    assert raised.value.code == code
    assert raised.value.body["outcome"] == "not_run"


def test_unknown_key_is_rejected(emulator):
    with pytest.raises(openai.AuthenticationError):
        chat(create_client(emulator, key="wrong"))


def test_contract_at_its_concurrency_limit_rejects_and_recovers(emulator):
    """The only concurrent request of an organisation is an open stream."""
    client = create_client(emulator, key="narrow-key")
    stream = chat(client, stream=True, max_tokens=5000)
    next(iter(stream))
    with pytest.raises(openai.RateLimitError) as raised:
        chat(client)
    assert raised.value.code == "CONCURRENCY_LIMITED"
    stream.close()
    wait_until(lambda: not running_streams(emulator))
    assert chat(client).usage.completion_tokens == 12


def test_resent_service_call_runs_once(emulator):
    """Guards against running a call twice that is resent with its key."""
    client = create_client(emulator)
    path = f"http://{emulator.entries[0].callers.address}/services/cards/new"
    answers = [
        client.post(
            path,
            cast_to=object,
            body={"bike": 17},
            options={"headers": {"Idempotency-Key": "card-1"}},
        )
        for _ in range(2)
    ]
    assert answers[0] == answers[1]
    service = emulator.services["c1"].service
    assert service.runs_by_key["card-1"] == 1


def test_resent_completion_with_a_key_runs_again(emulator):
    """Guards against rejecting a resent completion as running for an hour.

    Completions with a key were claimed like service calls, and the claim was
    not released after the complete response.
    """
    client = create_client(emulator)
    headers = {"Idempotency-Key": "question-1"}
    answers = [chat(client, extra_headers=headers) for _ in range(2)]
    texts = [each.choices[0].message.content for each in answers]
    assert texts[0] == texts[1]


def test_engine_crash_within_a_stream_raises(emulator):
    """Guards against clients mistaking a partial response for a complete one.

    Both runners crash during the stream, so that no other can continue it.
    The client library must raise an error instead of ending its iteration.
    """
    stream = chat(create_client(emulator), stream=True, max_tokens=5000)
    chunks = [next(iter(stream))]
    wait_until(lambda: running_streams(emulator))

    def crash_engines():
        for runner in emulator.runners.values():
            runner.server.crash()

    crash_thread = threading.Thread(target=crash_engines)
    crash_thread.start()
    with pytest.raises(openai.APIError) as raised:
        chunks += list(stream)
    crash_thread.join(WAIT_SECONDS)
    assert raised.value.body["outcome"] == "ran"
    assert raised.value.body["number"] > 0
    for runner in emulator.runners.values():
        runner.server.restart()
