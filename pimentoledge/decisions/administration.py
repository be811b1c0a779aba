"""Operators' requests to an entry: authorization and answers.

Reads of one object go to the store, so that an operator gets the version to
base the next change on. While the store is down, and for lists, the answer is
this entry's own configuration and is marked so. Changes go to `updates`.
"""

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import documents
from pimentoledge.decisions import events
from pimentoledge.decisions import histories
from pimentoledge.decisions import stores
from pimentoledge.decisions import updates
from pimentoledge.decisions import validation
from pimentoledge.nodes import configuration_messages as messages

STATUS = "status"
MAX_READS = 256
MAX_LISTED = 1000
# Entries that have not reported within this time are shown as silent.
STATUS_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 5.0
FIRST_OPERATOR = "first-operator"

Actions = list[actions.Action]

# Kinds that only an admin may change; the others need an editor.
_ADMIN_KINDS = (declarations.Operator, declarations.EntryNode)
_RANK = {role: rank for rank, role in enumerate(declarations.Role)}


@attrs.define(kw_only=True)
class PendingRead:
    """A read that waits for the store.

    Attributes:
        event: the operator's request.
        path: path of the declaration.
        ends: time at which it is answered without the store.
    """

    event: events.OperatorRequest
    path: str
    ends: float


class Administration:
    """Answers the operators of one entry; each answer is a ReplyOperator.

    Attributes:
        configuration: this entry's configuration.
        distributor: collects the status of the other entries.
        updates: the running updates.
        first_key: digest of a key with the role of an admin, so that the
            first operators can be declared; empty for none.
        readings: PendingRead by the id of its store call.
        status_due: time at which each status request is answered, by request.
    """

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        view: configuration.Configuration,
        distributor: distribution.Distributor,
        first_key: str = "",
    ):
        self.configuration = view
        self.distributor = distributor
        self.updates = updates.Updates(
            name=name, seed=seed, view=view, distributor=distributor
        )
        self.first_key = first_key
        self.readings: dict[str, PendingRead] = {}
        self.status_due: dict[str, float] = {}

    def handle(self, event: object, now: float) -> Actions:
        """Handles a request of an operator or an answer of the store."""
        match event:
            case events.OperatorRequest():
                return self._on_request(event, now)
            case stores.StoreAnswer() if event.call in self.readings:
                return [self._on_read(self.readings.pop(event.call), event)]
            case stores.StoreAnswer():
                return self.updates.handle(event, now)
        return []

    def wake(self, now: float) -> Actions:
        """Answers the status requests and reads that are due."""
        todo = self.updates.wake(now)
        for request, due in list(self.status_due.items()):
            if due <= now:
                del self.status_due[request]
                todo.append(self._status(request, now))
        for call, reading in list(self.readings.items()):
            if reading.ends <= now:
                del self.readings[call]
                todo.append(self._reply_from_memory(reading))
        return todo

    def next_wake(self) -> float | None:
        """Returns when `wake` is due next."""
        times = [self.updates.next_wake(), *self.status_due.values()]
        times += [reading.ends for reading in self.readings.values()]
        return min((each for each in times if each is not None), default=None)

    def _on_request(self, event: events.OperatorRequest, now: float) -> Actions:
        error = self._authorization_error(event)
        if error is not None:
            return [updates.refusal(event.request, error)]
        if event.kind == STATUS:
            return self._start_status(event, now)
        if event.method != "GET":
            return self.updates.start(event, self._operator(event), now)
        if event.name:
            return self._start_read(event, now)
        return [self._list(event)]

    def _authorization_error(
        self, event: events.OperatorRequest
    ) -> results.Error | None:
        role = self._role(event.key_digest)
        if role is None:
            return results.Error(code=results.Code.OPERATOR_KEY)
        known = event.kind in documents.KINDS or event.kind == STATUS
        if not known:
            return results.Error(code=results.Code.NOT_FOUND)
        if event.name and not validation.NAME.fullmatch(event.name):
            text = f"{event.name!r} is not a name"
            code = results.Code.INVALID_DECLARATION
            return results.Error(code=code, text=text)
        changes = event.method != "GET"
        if changes and (event.kind == STATUS or not event.name):
            return results.Error(code=results.Code.METHOD_NOT_ALLOWED)
        needed = declarations.Role.VIEWER
        if changes:
            needed = declarations.Role.EDITOR
            if documents.KINDS[event.kind] in _ADMIN_KINDS:
                needed = declarations.Role.ADMIN
        if _RANK[role] >= _RANK[needed]:
            return None
        text = f"this takes the role {needed}"
        return results.Error(code=results.Code.OPERATOR_ROLE, text=text)

    def _role(self, digest: str) -> declarations.Role | None:
        operator = self.configuration.operator_by_key(digest)
        if operator is not None:
            return operator.role
        if self.first_key and digest == self.first_key:
            return declarations.Role.ADMIN
        return None

    def _operator(self, event: events.OperatorRequest) -> str:
        operator = self.configuration.operator_by_key(event.key_digest)
        return FIRST_OPERATOR if operator is None else operator.name

    def _start_read(self, event: events.OperatorRequest, now: float) -> Actions:
        kind = documents.KINDS[event.kind]
        path = declarations.PREFIXES[kind] + event.name
        reading = PendingRead(
            event=event, path=path, ends=now + READ_TIMEOUT_SECONDS
        )
        if len(self.readings) >= MAX_READS:
            return [self._reply_from_memory(reading)]
        call = f"admin.{event.request}"
        self.readings[call] = reading
        if event.history:
            path = histories.path_of(path)
        return [actions.CallStore(call=stores.Read(call=call, path=path))]

    def _on_read(
        self, reading: PendingRead, answer: stores.StoreAnswer
    ) -> actions.ReplyOperator:
        match answer.outcome:
            case stores.Outcome.FOUND | stores.Outcome.ABSENT:
                stored = answer.objects[0] if answer.objects else None
            case _:
                return self._reply_from_memory(reading)
        if reading.event.history:
            return self._history(reading, stored)
        return _object_reply(reading.event.request, stored)

    def _reply_from_memory(self, reading: PendingRead) -> actions.ReplyOperator:
        request = reading.event.request
        if reading.event.history:
            error = results.Error(
                code=results.Code.NOT_ACCEPTED,
                text="the platform's store did not answer; try again",
            )
            return updates.refusal(request, error)
        reply = _object_reply(request, self.configuration.newest(reading.path))
        reply.known = True
        return reply

    def _history(
        self, reading: PendingRead, stored: stores.Object | None
    ) -> actions.ReplyOperator:
        history = histories.decode(stored)
        formers = [
            documents.show(
                stores.Object(
                    path=reading.path,
                    version=former.version,
                    value=bytes(former.value),
                )
            )
            for former in reversed(history.formers)
        ]
        return actions.ReplyOperator(
            request=reading.event.request,
            status=200,
            fields={"former": formers, "dropped_up_to": history.dropped},
        )

    def _list(self, event: events.OperatorRequest) -> actions.ReplyOperator:
        kind = documents.KINDS[event.kind]
        limit = min(max(event.limit, 1), MAX_LISTED)
        names = self.configuration.page(kind, after=event.cursor, limit=limit)
        prefix = declarations.PREFIXES[kind]
        items = [
            documents.show(self.configuration.in_force(prefix + name))
            for name in names
        ]
        full = len(names) == limit
        fields = {"items": items, "cursor": names[-1] if full else None}
        return actions.ReplyOperator(
            request=event.request, status=200, fields=fields, known=True
        )

    def _start_status(
        self, event: events.OperatorRequest, now: float
    ) -> Actions:
        self.status_due[event.request] = now + STATUS_SECONDS
        return self.distributor.request_statuses(now)

    def _status(self, request: str, now: float) -> actions.ReplyOperator:
        own = self.distributor.status(now)
        statuses = self.distributor.peer_statuses.values()
        rows = [_row(own, 0.0, own.root)]
        rows += [_row(each.tell, now - each.at, own.root) for each in statuses]
        answered = {row["name"] for row in rows}
        silent = [
            entry.name
            for entry in self.configuration.entries()
            if entry.name not in answered
        ]
        fields = {
            "declared": {
                "version": self.configuration.version,
                "known": self.configuration.known,
                "objects": len(self.configuration.paths),
            },
            "entries": rows,
            "silent": silent,
        }
        return actions.ReplyOperator(request=request, status=200, fields=fields)


def _row(
    tell: messages.StatusAnswer, age: float, root: int
) -> dict[str, object]:
    return {
        "name": tell.name,
        "data_centre": tell.data_centre,
        "version": tell.version,
        "same": tell.root == root,
        "complete": tell.known >= 0,
        "rejected": tell.rejected,
        "seconds_ago": round(age, 3),
        "agents": tell.agents,
        "agents_behind": tell.behind,
    }


def _object_reply(
    request: str, stored: stores.Object | None
) -> actions.ReplyOperator:
    if stored is None or stored.value is None:
        error = results.Error(code=results.Code.ABSENT)
        return updates.refusal(request, error)
    return actions.ReplyOperator(
        request=request,
        status=200,
        fields=documents.show(stored),
        version=stored.version,
    )
