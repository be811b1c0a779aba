"""The command that runs the whole path on fakes and reports."""

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
READY_SECONDS = 10.0
MANUALS = 3
QUESTIONS = 4
PAGE = "Remove the crank, then the bottom bracket; torque 35 Nm. "


@attrs.define(kw_only=True)
class Outcome:
    """What became of one request.

    Attributes:
        what: the request, in a few words.
        complete: whether its stream was whole.
        first: seconds to the first token.
        prompt: prompt tokens.
        cached: prompt tokens that the engine took from its cache.
        text: what the answer said, or the error.
    """

    what: str
    complete: bool
    first: float = 0.0
    prompt: int = 0
    cached: int = 0
    text: str = ""


class DemoCommand(command.Command):
    """Starts everything in one process and sends real requests."""

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
                problems = self.play(emulator)
            finally:
                emulator.close()
        for problem in problems:
            self.line_error(f"FAILED: {problem}")
        if not problems:
            self.line("every answer was complete; each job card ran once")
        return 1 if problems else 0

    def play(self, emulator: emulators.Emulator) -> list[str]:
        """Sends the requests; returns what went wrong."""
        declare(emulator)
        entry = emulator.add_entry("entry-1")
        until = time.monotonic() + READY_SECONDS
        while not entry.ready() and time.monotonic() < until:
            time.sleep(0.02)
        caller = Caller(url=f"http://{entry.callers.address}")
        outcomes = [
            caller.ask(manual, question)
            for question in range(QUESTIONS)
            for manual in range(MANUALS)
        ]
        cards = [caller.post_card("card-1"), caller.post_card("card-1")]
        self.report(outcomes + cards)
        problems = [
            f"{each.what}: {each.text}"
            for each in outcomes + cards
            if not each.complete
        ]
        ran = sum(
            sum(plain.service.runs_by_key.values())
            for plain in emulator.services.values()
        )
        if ran != 1:
            problems.append(f"the job card sent twice ran {ran} times")
        return problems

    def report(self, outcomes: list[Outcome]) -> None:
        """Prints a line for each request, and the sums."""
        table = self.table(["request", "whole", "TTFT ms", "prompt", "cached"])
        for each in outcomes:
            table.add_row(
                [
                    each.what,
                    "yes" if each.complete else "NO",
                    f"{each.first * 1000:.1f}",
                    str(each.prompt),
                    str(each.cached),
                ]
            )
        table.render()
        prompt = sum(each.prompt for each in outcomes)
        cached = sum(each.cached for each in outcomes)
        share = 100.0 * cached / prompt if prompt else 0.0
        self.line(f"prefix hits: {cached} of {prompt} tokens, {share:.0f} %")


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
    """A caller of the demo.

    Attributes:
        url: where the entry serves.
    """

    def __init__(self, *, url: str):
        self.url = url
        self.pool = urllib3.PoolManager(retries=False)
        self.headers = {"Authorization": f"Bearer {API_KEY}"}

    def ask(self, manual: int, question: int) -> Outcome:
        """Asks one question about one manual; reads the whole stream."""
        what = f"manual {manual}, question {question}"
        prompt = f"Manual {manual}. " + PAGE * 200 + f"Question {question}?"
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
        outcome = Outcome(what=what, complete=False)
        if response.status != 200:
            outcome.text = response.data.decode()
            return outcome
        for line in response:
            if not line.startswith(b"data: "):
                continue
            if not outcome.first:
                outcome.first = time.monotonic() - started
            self.take(outcome, line[len(b"data: ") :].strip())
        return outcome

    def take(self, outcome: Outcome, data: bytes) -> None:
        """Takes one event of a stream."""
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
            outcome.prompt = usage["prompt_tokens"]
            outcome.cached = usage["prompt_tokens_details"]["cached_tokens"]

    def post_card(self, key: str) -> Outcome:
        """Posts a job card that may not be repeated."""
        started = time.monotonic()
        response = self.pool.request(
            "POST",
            f"{self.url}/services/{SERVICE}/cards",
            body=b'{"bike": 17}',
            headers={**self.headers, "Idempotency-Key": key},
        )
        return Outcome(
            what=f"job card {key}",
            complete=response.status == 200,
            first=time.monotonic() - started,
            text=response.data.decode(),
        )


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [DemoCommand()]
