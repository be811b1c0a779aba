"""The OpenAI client library against a running entry before fakes."""

import threading
import time

import openai
import pytest

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.runners import fake_engines

WAIT = 20.0
KEY = "openai-key"
PROMPT = "Which bracket fits this frame? " * 20


def until(condition):
    end = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < end, "waited in vain"
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
    until(entry.ready)
    until(
        lambda: entry.loop.query(
            lambda core: len(core.configuration.servers("runner", "m")) == 2
            and len(core.configuration.servers("service", "cards")) == 1
        )
    )
    yield emulator
    emulator.close()


def client_of(emulator, key=KEY):
    address = emulator.entries[0].callers.address
    return openai.OpenAI(
        api_key=key,
        base_url=f"http://{address}/v1",
        max_retries=0,
        timeout=WAIT,
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


def running(emulator):
    return [
        key
        for runner in emulator.runners.values()
        for key in runner.engine.streams
    ]


def test_streamed_and_not_streamed_answers_are_the_same(emulator):
    client = client_of(emulator)
    whole = chat(client)
    assert whole.choices[0].finish_reason == "length"
    assert whole.usage.completion_tokens == 12
    stream = chat(client, stream=True, stream_options={"include_usage": True})
    chunks = list(stream)
    assert chunks[0].choices[0].delta.role == "assistant"
    text = "".join(
        choice.delta.content or ""
        for chunk in chunks
        for choice in chunk.choices
    )
    assert text == whole.choices[0].message.content
    assert chunks[-1].usage.prompt_tokens_details.cached_tokens > 0


def test_a_plain_completion(emulator):
    answer = client_of(emulator).completions.create(
        model="m", prompt=PROMPT, max_tokens=9
    )
    expected = fake_engines.expected_text(PROMPT, 0, 9)
    assert answer.choices[0].text == expected


def test_models(emulator):
    names = [each.id for each in client_of(emulator).models.list()]
    assert names == ["m"]


def test_a_cancelled_stream_ends_at_the_engine(emulator):
    """A mechanic closes the page; the engine works on for nobody."""
    stream = chat(client_of(emulator), stream=True, max_tokens=5000)
    next(iter(stream))
    until(lambda: running(emulator))
    stream.close()
    until(lambda: not running(emulator))


def test_a_caller_that_leaves_before_the_first_token_leaves_nothing(emulator):
    """An entry's memory grows for weeks until it is killed.

    Each caller that hung up before its first token left its time of arrival
    behind, and was counted nowhere.
    """
    entry = emulator.entries[0]
    prompt = "a long dossier " * 20000
    impatient = client_of(emulator).with_options(timeout=0.2)
    with pytest.raises(openai.APITimeoutError):
        impatient.completions.create(model="m", prompt=prompt)
    until(lambda: not entry.metrics.arrivals and not entry.replies)
    counted = entry.metrics.registry.get_sample_value(
        "pimentoledge_requests_total", {"code": "CALLER_GONE"}
    )
    assert counted >= 1
    until(lambda: not running(emulator))


@pytest.mark.parametrize(
    ("fields", "error", "code"),
    [
        ({"model": "nothing"}, openai.NotFoundError, "UNKNOWN_MODEL"),
        ({"model": "other"}, openai.PermissionDeniedError, "NOT_PERMITTED"),
        ({"temperature": 7.0}, openai.BadRequestError, "BAD_FIELD"),
    ],
)
def test_a_refusal_raises_the_library_s_own_error(
    emulator, fields, error, code
):
    with pytest.raises(error) as raised:
        chat(client_of(emulator), **fields)
    assert raised.value.code == code
    assert raised.value.body["outcome"] == "not_run"


def test_a_wrong_key(emulator):
    with pytest.raises(openai.AuthenticationError):
        chat(client_of(emulator, key="wrong"))


def test_a_contract_that_is_full_refuses_and_recovers(emulator):
    """One organisation's open stream uses up its only place."""
    client = client_of(emulator, key="narrow-key")
    stream = chat(client, stream=True, max_tokens=5000)
    next(iter(stream))
    with pytest.raises(openai.RateLimitError) as raised:
        chat(client)
    assert raised.value.code == "CONCURRENCY_LIMITED"
    stream.close()
    until(lambda: not running(emulator))
    assert chat(client).usage.completion_tokens == 12


def test_an_order_sent_again_runs_once(emulator):
    """A booking page gets no answer in time and posts its card again."""
    client = client_of(emulator)
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


def test_a_completion_sent_again_with_its_key_is_answered_again(emulator):
    """A caller's resend of a question is refused as running, for an hour.

    The first answer came whole; its key had been claimed as if the question
    were an order, and nothing ever released the claim.
    """
    client = client_of(emulator)
    headers = {"Idempotency-Key": "question-1"}
    answers = [chat(client, extra_headers=headers) for _ in range(2)]
    texts = [each.choices[0].message.content for each in answers]
    assert texts[0] == texts[1]


def test_an_engine_that_dies_is_continued_or_raises(emulator):
    """A caller reads half an answer, and its page shows it as the whole.

    Both runners die in the middle of the stream, so that nothing can go on
    with it; the client library must raise instead of ending its loop.
    """
    stream = chat(client_of(emulator), stream=True, max_tokens=5000)
    read = [next(iter(stream))]
    until(lambda: running(emulator))

    def crash():
        for runner in emulator.runners.values():
            runner.server.crash()

    crasher = threading.Thread(target=crash)
    crasher.start()
    with pytest.raises(openai.APIError) as raised:
        read += list(stream)
    crasher.join(WAIT)
    assert raised.value.body["outcome"] == "ran"
    assert raised.value.body["number"] > 0
    for runner in emulator.runners.values():
        runner.server.restart()
