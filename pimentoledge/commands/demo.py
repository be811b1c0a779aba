"""The command that runs a whole deployment on fakes and reports."""

import json
import time

import attrs
from cleo.commands import command
from cleo.helpers import option
import urllib3

from pimentoledge import emulators
from pimentoledge import logs
from pimentoledge.decisions import declarations

API_KEY = "demo-key"
MODEL = "assistant"
SERVICE = "job-cards"
READY_TIMEOUT_SECONDS = 10.0
MANUAL_COUNT = 3
QUESTION_COUNT = 4
PAGE_TEXT = "Remove the crank, then the bottom bracket; torque 35 Nm. "


@attrs.define(kw_only=True)
class Outcome:
    """Result of one request.

    Attributes:
        label: short description of the request.
        complete: whether the answer was complete.
        first_token_seconds: time to the first token; for a job card, to the
            whole answer.
        prompt_tokens: number of prompt tokens.
        cached_tokens: prompt tokens that the engine had cached.
        text: text of the answer, or the error.
    """

    label: str
    complete: bool
    first_token_seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    text: str = ""


class DemoCommand(command.Command):
    """Starts a deployment in this process and sends it real requests."""

    name = "demo"
    description = "Runs the whole path on fakes and prints a report"
    options = [
        option("quiet-log", description="leave out the decisions' log lines")
    ]

    def handle(self) -> int:
        """Runs the command; returns 0 only if every answer was right."""
        level = "warning" if self.option("quiet-log") else "info"
        emulator = emulators.Emulator()
        with logs.make_handler(level=level, form="plain").applicationbound():
            emulator.start()
            try:
                problems = self.run_requests(emulator)
            finally:
                emulator.close()
        for problem in problems:
            self.line_error(f"FAILED: {problem}")
        if not problems:
            self.line("every answer was complete; each job card ran once")
        return 1 if problems else 0

    def run_requests(self, emulator: emulators.Emulator) -> list[str]:
        """Sends the requests; returns a line for each problem."""
        declare(emulator)
        entry = emulator.add_entry("entry-1")
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not entry.ready() and time.monotonic() < deadline:
            time.sleep(0.02)
        caller = Caller(url=f"http://{entry.callers.address}")
        outcomes = [
            caller.send_question(manual, question)
            for question in range(QUESTION_COUNT)
            for manual in range(MANUAL_COUNT)
        ]
        cards = [caller.post_card("card-1"), caller.post_card("card-1")]
        self.print_report(outcomes + cards)
        problems = [
            f"{each.label}: {each.text}"
            for each in outcomes + cards
            if not each.complete
        ]
        run_count = sum(
            sum(emulated.service.runs_by_key.values())
            for emulated in emulator.services.values()
        )
        if run_count != 1:
            problems.append(f"the job card sent twice ran {run_count} times")
        return problems

    def print_report(self, outcomes: list[Outcome]) -> None:
        """Prints a row for each request, and the share of cached tokens."""
        table = self.table(["request", "whole", "TTFT ms", "prompt", "cached"])
        for each in outcomes:
            table.add_row(
                [
                    each.label,
                    "yes" if each.complete else "NO",
                    f"{each.first_token_seconds * 1000:.1f}",
                    str(each.prompt_tokens),
                    str(each.cached_tokens),
                ]
            )
        table.render()
        prompt = sum(each.prompt_tokens for each in outcomes)
        cached = sum(each.cached_tokens for each in outcomes)
        hit_percent = 100.0 * cached / prompt if prompt else 0.0
        self.line(
            f"prefix hits: {cached} of {prompt} tokens, {hit_percent:.0f} %"
        )


def declare(emulator: emulators.Emulator) -> None:
    """Declares the demo's model, service, runners and contract."""
    emulator.declare(declarations.Model(name=MODEL, weights="w1"))
    emulator.declare(declarations.Service(name=SERVICE))
    for number in range(3):
        emulator.add_runner(f"runner-{number}", MODEL, step_seconds=0.005)
    for number in range(2):
        emulator.add_service(f"cards-{number}", SERVICE)
    emulator.declare(
        declarations.Contract(
            organisation="workshop",
            key_digests=[emulators.key_digest(API_KEY)],
            models=[MODEL],
            services=[SERVICE],
        )
    )


class Caller:
    """HTTP client that sends the demo's requests.

    Attributes:
        url: base URL of the entry.
    """

    def __init__(self, *, url: str):
        self.url = url
        self.pool = urllib3.PoolManager(retries=False)
        self.headers = {"Authorization": f"Bearer {API_KEY}"}

    def send_question(self, manual: int, question: int) -> Outcome:
        """Sends a question about a manual and reads the whole stream."""
        label = f"manual {manual}, question {question}"
        prompt = (
            f"Manual {manual}. " + PAGE_TEXT * 200 + f"Question {question}?"
        )
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": 16,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        started = time.monotonic()
        response = self.pool.request(
            "POST",
            f"{self.url}/v1/completions",
            json=body,
            headers=self.headers,
            preload_content=False,
        )
        outcome = Outcome(label=label, complete=False)
        if response.status != 200:
            outcome.text = response.data.decode()
            return outcome
        for line in response:
            if not line.startswith(b"data: "):
                continue
            if not outcome.first_token_seconds:
                outcome.first_token_seconds = time.monotonic() - started
            self.read_event(outcome, line[len(b"data: ") :].strip())
        return outcome

    def read_event(self, outcome: Outcome, data: bytes) -> None:
        """Adds one event of a stream to its outcome."""
        if data == b"[DONE]":
            outcome.complete = bool(outcome.text)
            return
        event = json.loads(data)
        if "error" in event:
            outcome.text = str(event["error"])
        for choice in event.get("choices", []):
            outcome.text += choice["text"]
        usage = event.get("usage")
        if usage:
            outcome.prompt_tokens = usage["prompt_tokens"]
            outcome.cached_tokens = usage["prompt_tokens_details"][
                "cached_tokens"
            ]

    def post_card(self, key: str) -> Outcome:
        """Posts a job card, which must not run more than once."""
        started = time.monotonic()
        response = self.pool.request(
            "POST",
            f"{self.url}/services/{SERVICE}/cards",
            body=b'{"bike": 17}',
            headers={**self.headers, "Idempotency-Key": key},
        )
        return Outcome(
            label=f"job card {key}",
            complete=response.status == 200,
            first_token_seconds=time.monotonic() - started,
            text=response.data.decode(),
        )


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [DemoCommand()]
