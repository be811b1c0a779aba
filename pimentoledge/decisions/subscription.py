"""An agent's part in the distribution: its declarations and kept buckets."""

import random

from pimentoledge.decisions import actions
from pimentoledge.decisions import agent_subscriptions
from pimentoledge.decisions import bucket_repairs
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.nodes import configuration_messages as messages

POLL_SECONDS = 4.0
# Poll interval until a complete entry has answered.
FIRST_POLL_SECONDS = 0.5
UNREACHABLE_SECONDS = 10.0
MAX_ENTRIES = 16

Actions = list[actions.Action]


class Subscriber:
    """Polls the entries on behalf of one agent; never calls the store.

    Attributes:
        name: the backend server's name.
        configuration: the declarations of the server and of what it serves.
        kept: copies of the buckets kept for entries that restart.
        entries: mailboxes of the entries to poll.
        runners: number of runners of its model in state IN; 0 until an entry
            has reported it.
    """

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        view: configuration.Configuration,
        seeds: list[str],
    ):
        self.name = name
        self.configuration = view
        self.kept = configuration.Configuration()
        self.entries = list(seeds)
        self.runners = 0
        self._seeds = seeds
        self._complete_to: dict[int, int] = {}
        self._unreachable_until: dict[str, float] = {}
        self._random = random.Random(seed)
        self._next_poll = float("-inf")
        self._complete = False

    def handle(self, event: object, now: float) -> Actions:
        """Handles a message of an entry, or that an address is unreachable."""
        match event:
            case events.FromNode(message=messages.Changes() as changes):
                self._apply_changes(changes)
                self._add_entry(event.sender, now)
            case events.FromNode(message=messages.PollAnswer() as answer):
                return self._on_poll_answer(answer, event.sender)
            case events.FromNode(message=messages.BucketRequest() as fetch):
                return self._answer_fetch(fetch, event.sender)
            case events.Unreachable(address=address):
                self._unreachable_until[address] = now + UNREACHABLE_SECONDS
                # Polls another entry at once, but only while one is left
                # that was not found unreachable. Polling the unreachable
                # ones in turn would send hundreds of messages per second
                # during an outage.
                if any(
                    each not in self._unreachable_until for each in self.entries
                ):
                    self._next_poll = now
        return []

    def wake(self, now: float) -> Actions:
        """Polls an entry when a poll is due."""
        if now < self._next_poll:
            return []
        pause = POLL_SECONDS if self._complete else FIRST_POLL_SECONDS
        self._next_poll = now + pause * self._random.uniform(0.8, 1.2)
        usable = self._usable(now)
        if not usable:
            return []
        self._complete = False
        entry = self._random.choice(usable)
        return [actions.Send(address=entry, message=self._poll())]

    def next_wake(self) -> float | None:
        """Returns when `wake` is due next."""
        return self._next_poll

    def _add_entry(self, entry: str, now: float) -> None:
        """Polls an unknown sender when no complete entry has answered."""
        if self._complete or entry in self.entries:
            return
        self.entries = [entry, *self.entries][:MAX_ENTRIES]
        self._next_poll = now

    def _usable(self, now: float) -> list[str]:
        self._unreachable_until = {
            m: t for m, t in self._unreachable_until.items() if t > now
        }
        known = list(dict.fromkeys(self.entries + self._seeds))
        return [
            each for each in known if each not in self._unreachable_until
        ] or known

    def _poll(self) -> messages.Poll:
        versions = [
            (path, record.version)
            for bucket_records in self.configuration.records
            for path, record in bucket_records.items()
        ]
        held = [
            messages.BucketState(
                number=number, digest=self.kept.buckets[number], known=known
            )
            for number, known in self._complete_to.items()
        ]
        return messages.Poll(server=self.name, versions=versions, held=held)

    def _apply_changes(self, changes: messages.Changes) -> None:
        objects = changes.objects
        self.kept.apply(
            [
                each
                for each in objects
                if configuration.bucket_of(each.path) in self._complete_to
            ],
            from_store=False,
        )
        mine = declarations.PREFIXES[declarations.BackendServer] + self.name
        self.configuration.apply(
            [each for each in objects if each.path == mine], from_store=False
        )
        server = self.configuration.server(self.name)
        wanted = [] if server is None else agent_subscriptions.own_paths(server)
        self.configuration.apply(
            [each for each in objects if each.path in wanted], from_store=False
        )
        self._mark_complete(changes.done)
        # A bucket that still differs after all of its objects were received
        # has an object here whose deletion left no tombstone at the entry.
        # The bucket is only a copy, so it is dropped and fetched again.
        for each in changes.done:
            if self.kept.buckets[each.number] != each.digest:
                self.kept.clear_bucket(each.number)

    def _on_poll_answer(
        self, answer: messages.PollAnswer, sender: str
    ) -> Actions:
        if answer.known < 0:
            # A starting entry has no complete configuration to copy from.
            return []
        self._complete = True
        self.entries = answer.entries[:MAX_ENTRIES]
        self.runners = answer.runners
        wanted = {each.number for each in answer.held}
        for number in self._complete_to.keys() - wanted:
            self.kept.clear_bucket(number)
            del self._complete_to[number]
        for each in answer.held:
            self._complete_to.setdefault(each.number, configuration.UNKNOWN)
        self._mark_complete(answer.held)
        differ = [
            each.number
            for each in answer.held
            if self.kept.buckets[each.number] != each.digest
        ]
        if not differ:
            return []
        buckets = [
            bucket_repairs.bucket_fingerprints(self.kept, number)
            for number in differ
        ]
        fetch = messages.BucketRequest(buckets=buckets, answer=False)
        return [actions.Send(address=sender, message=fetch)]

    def _mark_complete(self, held: list[messages.BucketState]) -> None:
        for each in held:
            same = self.kept.buckets[each.number] == each.digest
            if each.number in self._complete_to and same:
                known = max(self._complete_to[each.number], each.known)
                self._complete_to[each.number] = known

    def _answer_fetch(
        self, fetch: messages.BucketRequest, sender: str
    ) -> Actions:
        fetch.buckets = [
            b for b in fetch.buckets if b.number in self._complete_to
        ]
        if not fetch.buckets:
            return []
        known = min(self._complete_to[b.number] for b in fetch.buckets)
        return [
            actions.Send(address=sender, message=part)
            for part in bucket_repairs.answers(self.kept, fetch, known=known)
        ]
