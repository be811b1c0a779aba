"""Keeps and finds the software versions of streams over all routers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import attrs

from pimentoledge.nodes import numbers
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import log_lines
from pimentoledge.routing import peer_messages
from pimentoledge.routing import rosters
from pimentoledge.routing import stream_versions
from pimentoledge.routing import version_histories

# Routers asked first for a stream's version, and the time for their answers.
FIRST_QUERIED = 4
FIRST_QUERIED_SECONDS = 0.15
# Further routers asked if none of those knows, and the time for all answers.
MAX_QUERIED = 32
ALL_QUERIED_SECONDS = 0.35
# Time until records that could not be sent are sent again.
RESEND_SECONDS = 0.2
# Records in one message when a router leaves.
MAX_HANDED_OVER = 200
# Bits of the random number of the first question of a process.
FIRST_NUMBER_BITS = 48


@attrs.define(kw_only=True)
class _Query:
    """A question that is open.

    Attributes:
        answered: set when it is decided.
        waiting_for: mailboxes of routers that have not answered.
        software: the version, or None.
        alone: versions that routers know to have served alone.
    """

    answered: asyncio.Event = attrs.field(factory=asyncio.Event)
    waiting_for: set[str] = attrs.field(factory=set)
    software: str | None = None
    alone: set[str] = attrs.field(factory=set)


class StreamVersionExchange:
    """Sends records of streams to their owners, and asks for them.

    Attributes:
        roster: the other routers.
        send: sends a message to a mailbox.
        lines: log of what is asked.
        view: cached state of the cluster.
        confirm: returns whether the view has all changes made before the call.
        records: streams that this router knows.
    """

    def __init__(
        self,
        *,
        roster: rosters.Roster,
        send: Callable[[str, object], None],
        lines: log_lines.Lines,
        view: cluster_views.ClusterView,
        confirm: Callable[[], Awaitable[bool]],
    ):
        self.roster = roster
        self.send = send
        self.lines = lines
        self.records = stream_versions.StreamRecords()
        self.view = view
        self.confirm = confirm
        # Answers to an earlier process at this mailbox have other numbers.
        self._number = random.getrandbits(FIRST_NUMBER_BITS)
        self._answering: set[asyncio.Task] = set()
        self._queries: dict[int, _Query] = {}
        self._unsent: list[stream_versions.Began] = []

    def began(self, request: str, software: str, seconds: float) -> None:
        """Records a stream that begins here, and tells its owners.

        Args:
            request: id of the request.
            software: version of the server.
            seconds: for how long the stream may be resumed.
        """
        began = stream_versions.Began(
            request=request,
            software=software,
            left_ms=numbers.milliseconds(seconds),
        )
        self.records.put(began, clocks.now())
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._send_unsent)
        self._unsent.append(began)

    def _send_unsent(self) -> None:
        unsent, self._unsent = self._unsent, []
        self._send_records(unsent)

    def _send_records(self, records: list[stream_versions.Began]) -> None:
        by_owner: dict[str, list[stream_versions.Began]] = {}
        members = self._members()
        for each in records:
            ranked = stream_versions.ranked(each.request, members)
            for owner in ranked[: stream_versions.OWNERS]:
                by_owner.setdefault(owner, []).append(each)
        for owner, owned in by_owner.items():
            for start in range(0, len(owned), MAX_HANDED_OVER):
                part = owned[start : start + MAX_HANDED_OVER]
                self.send(owner, peer_messages.StreamsBegan(streams=part))

    def _members(self) -> dict[str, str]:
        """Returns the data centres of other routers that seem to run."""
        now = clocks.now()
        members = self.roster.members(now)
        if self.roster.reaches_all():
            members = self.roster.present(now) or members
        # A router that has just started knows its seeds only.
        return {
            address: peer.data_centre
            for address, peer in (members or self.roster.known).items()
            if peer.heartbeat is None or not peer.heartbeat.leaving
        }

    def hand_over(self) -> None:
        """Tells the owners of all streams, as this router leaves."""
        self._send_records(self.records.current(clocks.now()))

    def resend_later(self, unsent: list[object]) -> None:
        """Sends records again that a router could not be sent."""
        lost = [
            each
            for message in unsent
            if isinstance(message, peer_messages.StreamsBegan)
            for each in message.streams
        ]
        if lost:
            asyncio.get_running_loop().call_later(
                RESEND_SECONDS, self._resend, lost, clocks.now()
            )

    def _resend(
        self, lost: list[stream_versions.Began], lost_at: float
    ) -> None:
        passed_ms = int(1000 * (clocks.now() - lost_at))
        self._send_records(
            [
                attrs.evolve(each, left_ms=each.left_ms - passed_ms)
                for each in lost
                if each.left_ms > passed_ms
            ]
        )

    def expire(self, now: float) -> None:
        """Forgets what can't be needed any more."""
        self.records.expire(now)
        self.view.servers.versions.expire(now)

    def receive(self, began: peer_messages.StreamsBegan) -> None:
        """Records streams that began at another router."""
        now = clocks.now()
        for each in began.streams:
            self.records.put(each, now)

    async def find(
        self, request: str, route: configurations.Route, seconds: float
    ) -> str | None:
        """Returns the version that a stream goes on at, or None if unknown.

        Args:
            request: id of the request that brought its first event, or "".
            route: its route.
            seconds: for how long a stream may be resumed.
        """
        now = clocks.now()
        source = "record"
        known = self.records.get(request, now)
        if known is None:
            source, known = await self._find_elsewhere(request, route, seconds)
        self.lines.write(
            "stream_resumed",
            began_as=request,
            software=known,
            source=source,
            query_ms=round(1000 * (clocks.now() - now), 1),
        )
        return known

    async def _find_elsewhere(
        self, request: str, route: configurations.Route, seconds: float
    ) -> tuple[str | None, str | None]:
        """Returns how a version is known that this router has no record of."""
        services = [share.service for share in route.shares]
        knows_all = self._knows_all(route.host, seconds)
        query = await self._query(
            peer_messages.StreamVersionQuery(
                number=self._next_number(),
                request=request,
                host=route.host,
                services=services,
                seconds=0.0 if knows_all else seconds,
            )
        )
        if query.software is not None:
            return "peer", query.software
        if knows_all:
            alone = await self._alone(route.host, services, seconds)
            return "alone", alone
        if len(query.alone) == 1:
            return "alone at peer", *query.alone
        return None, None

    def _knows_all(self, host: str, seconds: float) -> bool:
        """Returns whether no change that may matter to a stream is unknown."""
        if seconds > version_histories.REMEMBERED_SECONDS:
            return False
        since = self.view.servers.versions.known_since(
            host, self.view.caches_by_kind.get("servers")
        )
        return since is not None and clocks.now() - since >= seconds

    async def _alone(
        self, host: str, services: list[str], seconds: float
    ) -> str | None:
        """Returns the version that alone can have begun a stream, or None.

        Only the store can tell that no other version was registered up to now.
        """
        since = clocks.now() - seconds
        if not await self.confirm():
            return None
        # What was confirmed may be a listing, or other routes.
        if not self._knows_all(host, seconds):
            return None
        return self.view.servers.versions.only(services, since)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    async def _query(self, message: peer_messages.StreamVersionQuery) -> _Query:
        members = self._members()
        if self.roster.reaches_all():
            members |= {
                address: peer.data_centre
                for address, peer in self.roster.known.items()
            }
        ranked = stream_versions.ranked(message.request, members)
        query = self._queries[message.number] = _Query()
        first = FIRST_QUERIED if not self.roster.reaches_all() else MAX_QUERIED
        try:
            await self._query_some(
                query, ranked[:first], message, FIRST_QUERIED_SECONDS
            )
            if query.software is None:
                rest = ranked[first:MAX_QUERIED]
                await self._query_some(
                    query, rest, message, ALL_QUERIED_SECONDS
                )
        finally:
            del self._queries[message.number]
        return query

    async def _query_some(
        self,
        query: _Query,
        addresses: list[str],
        message: peer_messages.StreamVersionQuery,
        seconds: float,
    ) -> None:
        if not addresses and not query.waiting_for:
            return
        # Answers of the routers queried before may have set it.
        query.answered.clear()
        query.waiting_for.update(addresses)
        for each in addresses:
            self.send(each, message)
        try:
            async with asyncio.timeout(seconds):
                await query.answered.wait()
        except TimeoutError:
            # Routers that are cut off don't answer; the others have.
            return

    def answer(
        self, sender: str, query: peer_messages.StreamVersionQuery
    ) -> None:
        """Answers another router's question."""
        software = self.records.get(query.request, clocks.now())
        asks_alone = software is None and query.seconds > 0
        if asks_alone and self._knows_all(query.host, query.seconds):
            task = asyncio.get_running_loop().create_task(
                self._answer_alone(sender, query)
            )
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)
            return
        self._send_answer(sender, query, software=software)

    async def _answer_alone(
        self, sender: str, query: peer_messages.StreamVersionQuery
    ) -> None:
        alone = await self._alone(query.host, query.services, query.seconds)
        self._send_answer(sender, query, alone=alone)

    def _send_answer(
        self,
        sender: str,
        query: peer_messages.StreamVersionQuery,
        **found: str | None,
    ) -> None:
        answer = peer_messages.StreamVersionAnswer(number=query.number, **found)
        self.send(sender, answer)

    def receive_answer(
        self, sender: str, answer: peer_messages.StreamVersionAnswer
    ) -> None:
        """Handles another router's answer."""
        query = self._queries.get(answer.number)
        if query is None:
            return
        query.waiting_for.discard(sender)
        if answer.alone is not None:
            query.alone.add(answer.alone)
        if answer.software is not None:
            query.software = answer.software
        if answer.software is not None or not query.waiting_for:
            query.answered.set()
