"""Client of the platform's store."""

import asyncio
import random
from urllib import parse

import attrs

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import store_responses
from pimentoledge.routing import buffer_bounds
from pimentoledge.routing import calls
from pimentoledge.routing import registrations
from pimentoledge.routing import transfers

# Responses take a few milliseconds, a few hundred if the store is slow.
CALL_TIMEOUT_SECONDS = 2.5
# How long after its requested duration a watch may still be answered.
WATCH_GRACE_SECONDS = 2.0
# A response of which nothing has arrived for this long has stalled.
STALLED_SECONDS = 0.3
# Attempts to read each page of a listing after the first.
MAX_PAGE_ATTEMPTS = 6
# Longest delay before a page is requested again. The delay is random, because
# calls of other routers were refused at the same time.
MAX_PAGE_RETRY_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class _Answer:
    """A response of the store.

    Attributes:
        status: HTTP status.
        body: decoded JSON, or None.
        era: era of the store.
        transfer: how it arrived, or None.
    """

    status: int
    body: object
    era: int
    transfer: transfers.Transfer | None = None


class StoreClient:
    """Client of the store; every method returns a typed result.

    Attributes:
        address: IP:PORT of the store.
        caller: makes the calls.
        era: latest era of the store in any response.
    """

    def __init__(self, *, address: str, caller: calls.Caller):
        self.address = address
        self.caller = caller
        self.era = 0

    def forget_connections(self) -> None:
        """Makes the next call open a new connection."""
        self.caller.pool.forget(self.address)

    def is_receiving(self, kind: str, now: float, most_seconds: float) -> bool:
        """Returns whether a response with objects of a kind is arriving.

        Args:
            kind: the kind.
            now: the time.
            most_seconds: time after its begin for which a response counts.
        """
        target = names.OBJECTS_PATH + kind
        return any(
            each.target.startswith(target)
            and each.head_at is not None
            and now - each.head_at < most_seconds
            and now - each.connection.received_at < STALLED_SECONDS
            for each in self.caller.open_calls
        )

    async def _call(
        self,
        method: str,
        target: str,
        body: object = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> _Answer | registrations.Unavailable:
        writes = method != "GET"
        try:
            reply = await self.caller.call(
                address=self.address,
                method=method,
                target=names.OBJECTS_PATH + target,
                body=body,
                seconds=seconds,
                max_body_bytes=buffer_bounds.LISTING_BYTES,
                decode=store_responses.decode,
            )
        except calls.CallError as error:
            return registrations.Unavailable(
                reason=str(error),
                maybe_done=writes and error.sent,
                overdue=error.overdue,
                unreadable=error.unreadable,
            )
        if reply.status in (429, 503):
            return registrations.Unavailable(
                reason=f"status {reply.status}", maybe_done=False
            )
        try:
            era = _decode_era(reply)
        except ValueError as error:
            return registrations.Unavailable(
                reason=f"era: {error}", maybe_done=writes, unreadable=True
            )
        self.era = max(self.era, era)
        return _Answer(
            status=reply.status,
            body=reply.body,
            era=era,
            transfer=reply.transfer,
        )

    async def list(
        self, kind: str, *, allow_stale: bool = False
    ) -> registrations.Listing | registrations.Unavailable:
        """Returns all objects of a kind, as of the first page's revision.

        Pages of two eras are not one listing.

        Args:
            kind: the kind.
            allow_stale: whether the listing may be some seconds old, which
                costs a tenth.
        """
        listed: list[registrations.Stored] = []
        unreadable: list[str] = []
        revision = era = None
        after = ""
        while True:
            before = after
            reply = await self._read_page(kind, after, allow_stale)
            if isinstance(reply, registrations.Unavailable):
                return reply
            if reply.status != 200 or not _is_page(reply.body, "items"):
                return _unexpected_response(reply)
            if era not in (None, reply.era):
                return registrations.Unavailable(
                    reason=f"era {reply.era} after a page of era {era}",
                    maybe_done=False,
                )
            era = reply.era
            page, errors = decode_items(reply.body["items"], era)
            listed += page
            unreadable += errors
            if revision is None:
                # Changes made while later pages are read appear in the watch.
                revision = reply.body["storeRevision"]
            if not reply.body.get("more"):
                return registrations.Listing(
                    objects=listed,
                    revision=revision,
                    unreadable=tuple(unreadable),
                    era=era,
                    transfer=reply.transfer,
                )
            after = page[-1].name if page else before
            if after == before:
                return registrations.Unavailable(
                    reason="no name on a page of a listing", maybe_done=False
                )

    async def _read_page(
        self, kind: str, after: str, allow_stale: bool
    ) -> _Answer | registrations.Unavailable:
        """Reads a page of a listing; retries any page but the first.

        When hundreds of routers start at once, the store refuses part of their
        calls. A router that restarted the listing after each refusal would
        hardly ever get six successful responses in a row.
        """
        query = {names.ALLOW_STALE: "1"} if allow_stale else {}
        if after:
            query["after"] = after
        target = f"{kind}?{parse.urlencode(query)}" if query else kind
        reply = await self._call("GET", target)
        attempts = 1
        while (
            after
            and isinstance(reply, registrations.Unavailable)
            and attempts < MAX_PAGE_ATTEMPTS
        ):
            await asyncio.sleep(MAX_PAGE_RETRY_SECONDS * random.random())
            reply = await self._call("GET", target)
            attempts += 1
        return reply

    async def watch(
        self, kind: str, revision: int, seconds: float
    ) -> registrations.WatchResult:
        """Waits for changes after a revision and returns them."""
        target = f"{kind}?watch={revision}&waitMs={int(seconds * 1000)}"
        reply = await self._call(
            "GET", target, seconds=seconds + WATCH_GRACE_SECONDS
        )
        if isinstance(reply, registrations.Unavailable):
            return reply
        if reply.status == 410:
            return registrations.HistoryGone(era=reply.era)
        if reply.status != 200 or not _is_page(reply.body, "events"):
            return _unexpected_response(reply)
        return _decode_changes(reply)

    async def read(
        self, kind: str, name: str
    ) -> (
        registrations.Stored | registrations.Absent | registrations.Unavailable
    ):
        """Returns one object, or Absent if there is none."""
        reply = await self._call("GET", f"{kind}/{name}")
        if isinstance(reply, registrations.Unavailable):
            return reply
        if reply.status == 404:
            return registrations.Absent(era=reply.era)
        if reply.status != 200:
            return _unexpected_response(reply)
        return self._decode_object(reply, name, writes=False)

    async def write(
        self, kind: str, name: str, value: object, *, revision: int | None
    ) -> (
        registrations.Stored
        | registrations.Conflict
        | registrations.Unavailable
    ):
        """Creates an object, or replaces it if its revision matches.

        Args:
            kind: kind of the object.
            name: name of the object.
            value: its new content.
            revision: the expected revision, or None to create the object.
        """
        meta: dict[str, object] = {"name": name}
        method, target = "POST", kind
        if revision is not None:
            meta["rev"] = revision
            method, target = "PUT", f"{kind}/{name}"
        reply = await self._call(
            method, target, {"metadata": meta, "spec": value}
        )
        if isinstance(reply, registrations.Unavailable):
            return reply
        if reply.status in (200, 201):
            stored = self._decode_object(reply, name, writes=True)
            if isinstance(stored, registrations.Stored) and not _may_result(
                stored, value, revision
            ):
                return self._reject(
                    f"revision {stored.revision} after a write to {revision}",
                    writes=True,
                )
            return stored
        if reply.status == 409 and not reply.body:
            return registrations.Conflict(found=None, era=reply.era)
        if reply.status == 409:
            found = self._decode_object(reply, name, writes=True)
            if isinstance(found, registrations.Unavailable):
                return found
            return registrations.Conflict(found=found, era=reply.era)
        if reply.status == 404:
            return registrations.Conflict(found=None, era=reply.era)
        return _unexpected_response(reply)

    def _decode_object(
        self, reply: _Answer, name: str, *, writes: bool
    ) -> registrations.Stored | registrations.Unavailable:
        """Decodes the object in a response to a call for it."""
        try:
            stored = objects.decode_stored(reply.body, reply.era)
        except ValueError as error:
            return self._reject(str(error), writes=writes)
        if stored.name != name:
            return self._reject(
                f"object {stored.name} instead of {name}", writes=writes
            )
        return stored

    def _reject(
        self, reason: str, *, writes: bool
    ) -> registrations.Unavailable:
        """Returns the result of a call that got the response to another one.

        Its own response may still arrive, so the connection isn't used again.
        """
        self.forget_connections()
        return registrations.Unavailable(
            reason=f"not the response to this call: {reason}",
            maybe_done=writes,
            unreadable=True,
        )

    async def delete(
        self, kind: str, name: str, revision: int
    ) -> (
        registrations.Absent
        | registrations.Conflict
        | registrations.Unavailable
    ):
        """Deletes an object if its revision matches."""
        reply = await self._call("DELETE", f"{kind}/{name}?rev={revision}")
        if isinstance(reply, registrations.Unavailable):
            return reply
        if reply.status in (200, 204, 404):
            return registrations.Absent(era=reply.era)
        if reply.status == 409:
            return registrations.Conflict(found=None, era=reply.era)
        return _unexpected_response(reply)


def _may_result(
    stored: registrations.Stored, value: object, revision: int | None
) -> bool:
    """Returns whether an object may result from a successful write.

    Args:
        stored: the object.
        value: the content that was written.
        revision: the expected revision, or None if the object was created.
    """
    if revision is None or stored.revision > revision:
        return True
    # A write that changes nothing has no revision of its own.
    return stored.revision == revision and stored.value == value


def _is_page(body: object, name: str) -> bool:
    """Returns whether a body is a page of a listing or of a watch."""
    return (
        isinstance(body, dict)
        and isinstance(body.get(name), list)
        and isinstance(body.get("storeRevision"), int)
    )


def decode_items(
    items: list, era: int = 0
) -> tuple[list[registrations.Stored], list[str]]:
    """Returns the readable objects, and the errors of all others.

    An invalid object of another writer must not hide the rest of its page.
    """
    decoded, errors = [], []
    for item in items:
        try:
            decoded.append(objects.decode_stored(item, era))
        except ValueError as error:
            errors.append(str(error))
    return decoded, errors


def _decode_changes(reply: _Answer) -> registrations.Changes:
    changed, removed, unreadable = {}, {}, []
    for event in reply.body["events"]:
        if not isinstance(event, dict):
            unreadable.append("event is not a JSON object")
            continue
        page, errors = decode_items([event.get("object")], reply.era)
        unreadable += errors
        target, opposite = changed, removed
        if event.get("deleted"):
            target, opposite = removed, changed
        for each in page:
            target[each.name] = each
            opposite.pop(each.name, None)
    return registrations.Changes(
        changed=list(changed.values()),
        removed=list(removed.values()),
        revision=reply.body["storeRevision"],
        unreadable=tuple(unreadable),
        era=reply.era,
        transfer=reply.transfer,
    )


def _decode_era(reply: calls.Reply) -> int:
    """Returns the store's era, 0 if it has none; raises ValueError."""
    for name, value in reply.headers:
        if name == names.STORE_ERA:
            return int(value)
    return 0


def _unexpected_response(reply: _Answer) -> registrations.Unavailable:
    return registrations.Unavailable(
        reason=f"status {reply.status}: {str(reply.body)[:200]}",
        maybe_done=False,
        unreadable=reply.status == 200,
    )
