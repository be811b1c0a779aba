"""Operators' updates of declarations, safe against lost answers.

An update reads the object, adds the version that it replaces to the history,
and makes a conditional write on the version that the operator read. Of two
updates of one version the store accepts one; the other gets a conflict with
the newer version.

"Accepted" is answered only when the store is confirmed to have the update, and
"not accepted" only when it does not have it and never will. The answer of a
write can be lost after the write has taken effect, and a write can take
effect long after its sender gave up. After a lost answer the object is
therefore read back. If it is unchanged, the same write is repeated: whichever
of the two takes effect first makes the other one fail its condition. If it
has changed, the history shows whether this update was among the versions.
"""

import enum
import random

import attrs
from returns import result

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import documents
from pimentoledge.decisions import events
from pimentoledge.decisions import histories
from pimentoledge.decisions import stores
from pimentoledge.decisions import validation

MAX_RUNNING = 64
UPDATE_TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 0.25


class Step(enum.StrEnum):
    """The operation that an update waits for."""

    READ = "read"
    READ_HISTORY = "read_history"
    WRITE_HISTORY = "write_history"
    WRITE = "write"
    READ_BACK = "read_back"
    READ_BACK_HISTORY = "read_back_history"
    RETRY = "retry"


@attrs.define(kw_only=True)
class Update:
    """A running update.

    Attributes:
        event: the operator's request.
        by: the operator's name.
        kind: kind of the declaration.
        path: path of the object.
        write_id: id of its write, the same for each attempt.
        step: the operation that it waits for.
        call: id of the store call that it waits for.
        ends: time at which it is abandoned.
        retry: time of the next attempt, in step RETRY.
        uncertain: whether one of its writes may have taken effect or may
            still do so.
        current: the object as last read; None when absent.
        value: the new value; None to delete the object.
    """

    event: events.OperatorRequest
    by: str
    kind: type
    path: str
    write_id: str
    step: Step = Step.READ
    call: str = ""
    ends: float
    retry: float = 0.0
    uncertain: bool = False
    current: stores.Object | None = None
    value: bytes | None = None

    def current_version(self) -> int:
        """Returns the version of the object as read; 0 when absent."""
        return 0 if self.current is None else self.current.version


class Updates:
    """The running updates of one entry.

    Attributes:
        name: this entry's name, the prefix of its write ids.
        configuration: this entry's configuration.
        distributor: sends accepted updates to the other nodes.
        running: Update by request id.
    """

    def __init__(
        self,
        *,
        name: str,
        seed: int,
        view: configuration.Configuration,
        distributor: distribution.Distributor,
    ):
        self.name = name
        self.configuration = view
        self.distributor = distributor
        self.running: dict[str, Update] = {}
        self._random = random.Random(seed)
        self._calls: dict[str, Update] = {}

    def start(
        self, event: events.OperatorRequest, by: str, now: float
    ) -> list[actions.Action]:
        """Starts an update that ends with a ReplyOperator.

        Args:
            event: a PUT, PATCH or DELETE of an object.
            by: the operator's name.
            now: the time.
        """
        if event.expected is None:
            code = results.Code.PRECONDITION_NEEDED
            return [refusal(event.request, results.Error(code=code))]
        if len(self.running) >= MAX_RUNNING:
            code = results.Code.OVERLOADED
            return [refusal(event.request, results.Error(code=code))]
        kind = documents.KINDS[event.kind]
        update = Update(
            event=event,
            by=by,
            kind=kind,
            path=declarations.PREFIXES[kind] + event.name,
            write_id=f"{self.name}.{self._random.getrandbits(128):032x}",
            ends=now + UPDATE_TIMEOUT_SECONDS,
        )
        known = self.configuration.newest(update.path)
        if known is not None and _rules_out(known, event.expected):
            return [_conflict(update, known)]
        if event.method == "PUT":
            match documents.read_body(event.body).bind(
                lambda fields: self._checked(update, fields)
            ):
                case result.Failure(faults):
                    return [invalid(event.request, faults)]
        self.running[event.request] = update
        return self._read(update, Step.READ, update.path)

    def handle(
        self, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        """Handles a store answer; ignores those to other components' calls."""
        update = self._calls.pop(answer.call, None)
        if update is None:
            return []
        match update.step:
            case Step.READ:
                return self._on_read(update, answer)
            case Step.READ_HISTORY:
                return self._on_history(update, answer)
            case Step.WRITE_HISTORY:
                return self._on_history_written(update, answer, now)
            case Step.WRITE:
                return self._on_written(update, answer, now)
            case Step.READ_BACK:
                return self._on_read_back(update, answer, now)
            case Step.READ_BACK_HISTORY:
                return self._on_history_read_back(update, answer, now)
        return []

    def wake(self, now: float) -> list[actions.Action]:
        """Makes the attempts that are due and ends updates that timed out."""
        done = []
        for update in list(self.running.values()):
            if now >= update.ends:
                done += self._give_up(update)
            elif update.step is Step.RETRY and now >= update.retry:
                done += self._try_again(update)
        return done

    def next_wake(self) -> float | None:
        """Returns when `wake` is due next."""
        return min(
            (
                each.retry if each.step is Step.RETRY else each.ends
                for each in self.running.values()
            ),
            default=None,
        )

    def _read(
        self, update: Update, step: Step, path: str
    ) -> list[actions.Action]:
        call = self._new_call(update, step)
        return [actions.CallStore(call=stores.Read(call=call, path=path))]

    def _new_call(self, update: Update, step: Step) -> str:
        self._calls.pop(update.call, None)
        update.step = step
        update.call = f"update.{self._random.getrandbits(64):016x}"
        self._calls[update.call] = update
        return update.call

    def _end(
        self, update: Update, reply: actions.ReplyOperator
    ) -> list[actions.Action]:
        self._calls.pop(update.call, None)
        self.running.pop(update.event.request, None)
        fields = {
            "operator": update.by,
            "method": update.event.method,
            "path": update.path,
            "status": reply.status,
            "version": reply.version,
        }
        return [reply, actions.LogDecision(kind="update", fields=fields)]

    def _fail(self, update: Update, code: results.Code) -> list[actions.Action]:
        error = results.Error(code=code)
        return self._end(update, refusal(update.event.request, error))

    def _checked(
        self, update: Update, fields: dict[str, object]
    ) -> result.Result[declarations.Declaration, list[validation.Fault]]:
        match documents.parse(update.kind, update.event.name, fields):
            case result.Success(declaration):
                faults = self._duplicate_keys(declaration)
            case failure:
                return failure
        if faults:
            return result.Failure(faults)
        change = declarations.Change(by=update.by, at=update.event.at)
        update.value = declarations.encode(declaration, change)
        return result.Success(declaration)

    def _duplicate_keys(
        self, declaration: declarations.Declaration
    ) -> list[validation.Fault]:
        if not isinstance(declaration, declarations.Contract):
            return []
        own = declaration.organisation
        faults = []
        for index, digest in enumerate(declaration.key_digests):
            other = self.configuration.contract_by_key(digest)
            if other is not None and other.organisation != own:
                text = "this key belongs to another contract"
                param = f"key_digests[{index}]"
                faults.append(validation.Fault(param=param, text=text))
        return faults

    def _on_read(
        self, update: Update, answer: stores.StoreAnswer
    ) -> list[actions.Action]:
        if not _was_read(answer):
            return self._fail(update, results.Code.NOT_ACCEPTED)
        update.current = _live(answer)
        event = update.event
        if update.current_version() != event.expected:
            if update.current is None and event.expected:
                return self._fail(update, results.Code.ABSENT)
            return self._end(update, _conflict(update, update.current))
        if event.method == "PATCH":
            faults = self._patched(update)
            if faults:
                return self._end(update, invalid(event.request, faults))
        if event.dry_run:
            return self._end(
                update, _accepted(update, update.current_version())
            )
        if update.current is None:
            return self._write(update)
        path = histories.path_of(update.path)
        return self._read(update, Step.READ_HISTORY, path)

    def _patched(self, update: Update) -> list[validation.Fault]:
        def merged(patch: dict[str, object]) -> result.Result:
            fields = documents.merge(update.kind, update.current, patch)
            return self._checked(update, fields)

        if update.current is None:
            text = "there is nothing to change; create it by PUT"
            return [validation.Fault(param="If-None-Match", text=text)]
        outcome = documents.read_body(update.event.body).bind(merged)
        return outcome.swap().value_or([])

    def _on_history(
        self, update: Update, answer: stores.StoreAnswer
    ) -> list[actions.Action]:
        if not _was_read(answer):
            return self._fail(update, results.Code.NOT_ACCEPTED)
        stored = answer.objects[0] if answer.objects else None
        history = histories.decode(stored)
        if history.holds(update.current.version):
            return self._write(update)
        call = stores.Write(
            call=self._new_call(update, Step.WRITE_HISTORY),
            path=histories.path_of(update.path),
            value=histories.extended(history, update.current),
            expected=0 if _live(answer) is None else stored.version,
            write_id=f"{update.write_id}.{update.call}",
        )
        return [actions.CallStore(call=call)]

    def _on_history_written(
        self, update: Update, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                return self._write(update)
            case stores.Outcome.DOWN:
                return self._fail(update, results.Code.NOT_ACCEPTED)
        # Lost, or another update of the same object was faster. The update
        # restarts with a read, since the object may have changed as well.
        return self._retry_later(update, now)

    def _write(self, update: Update) -> list[actions.Action]:
        call = stores.Write(
            call=self._new_call(update, Step.WRITE),
            path=update.path,
            value=update.value,
            expected=update.event.expected,
            write_id=update.write_id,
        )
        return [actions.CallStore(call=call)]

    def _on_written(
        self, update: Update, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        match answer.outcome:
            case stores.Outcome.WRITTEN:
                return self._accept(update, answer.version, now)
            case stores.Outcome.LOST:
                update.uncertain = True
                return self._retry_later(update, now)
            case stores.Outcome.CONFLICT:
                return self._read(update, Step.READ_BACK, update.path)
        if update.uncertain:
            return self._retry_later(update, now)
        return self._fail(update, results.Code.NOT_ACCEPTED)

    def _on_read_back(
        self, update: Update, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        if not _was_read(answer):
            # The write failed its condition, so this attempt did not take
            # effect, but an earlier one may have.
            if update.uncertain:
                return self._retry_later(update, now)
            return self._end(update, _conflict(update, None))
        stored = answer.objects[0] if answer.objects else None
        if stored is not None and stored.write_id == update.write_id:
            return self._accept(update, stored.version, now)
        update.current = _live(answer)
        if update.current_version() == update.event.expected:
            return self._write(update)
        deleted = update.value is None and update.current is None
        if deleted and update.uncertain:
            # Deleted, by this update or by another one at the same time.
            version = 0 if stored is None else stored.version
            return self._accept(update, version, now)
        if not update.uncertain:
            return self._end(update, _conflict(update, stored))
        path = histories.path_of(update.path)
        return self._read(update, Step.READ_BACK_HISTORY, path)

    def _on_history_read_back(
        self, update: Update, answer: stores.StoreAnswer, now: float
    ) -> list[actions.Action]:
        if not _was_read(answer):
            return self._retry_later(update, now)
        stored = answer.objects[0] if answer.objects else None
        history = histories.decode(stored)
        for former in history.formers:
            if former.write_id == update.write_id:
                return self._accept(update, former.version, now)
        # A deletion is not a former version, so the history does not show it.
        in_history = update.value is not None
        if in_history and history.is_complete_since(update.event.expected):
            return self._end(update, _conflict(update, update.current))
        return self._fail(update, results.Code.UNCONFIRMED)

    def _accept(
        self, update: Update, version: int, now: float
    ) -> list[actions.Action]:
        accepted = stores.Object(
            path=update.path, version=version, value=update.value
        )
        # This entry announces the update itself, so that an accepted update
        # spreads even if the store goes down or a watch misses it.
        announced = self.distributor.publish([accepted], now) if version else []
        return announced + self._end(update, _accepted(update, version))

    def _retry_later(self, update: Update, now: float) -> list[actions.Action]:
        update.step = Step.RETRY
        update.retry = min(now + RETRY_SECONDS, update.ends)
        return []

    def _try_again(self, update: Update) -> list[actions.Action]:
        step = Step.READ_BACK if update.uncertain else Step.READ
        return self._read(update, step, update.path)

    def _give_up(self, update: Update) -> list[actions.Action]:
        sent = update.uncertain or update.step is Step.WRITE
        if sent:
            return self._fail(update, results.Code.UNCONFIRMED)
        return self._fail(update, results.Code.NOT_ACCEPTED)


def refusal(
    request: str, error: results.Error, **further: object
) -> actions.ReplyOperator:
    """Returns the answer to a request that ends with an error."""
    fields = {**error.fields(), **further}
    return actions.ReplyOperator(
        request=request, status=error.status(), fields={"error": fields}
    )


def invalid(
    request: str, faults: list[validation.Fault]
) -> actions.ReplyOperator:
    """Returns the answer to an invalid declaration."""
    first = faults[0]
    error = results.Error(
        code=results.Code.INVALID_DECLARATION,
        text=f"{first.param}: {first.text}" if first.param else first.text,
    )
    wrong = [{"param": each.param, "text": each.text} for each in faults]
    return refusal(request, error, param=first.param, faults=wrong)


def _accepted(update: Update, version: int) -> actions.ReplyOperator:
    fields: dict[str, object] = {"version": version}
    if update.value is not None:
        stored = stores.Object(
            path=update.path, version=version, value=update.value
        )
        fields = documents.show(stored)
    created = update.event.expected == 0 and not update.event.dry_run
    return actions.ReplyOperator(
        request=update.event.request,
        status=201 if created else 200,
        fields={"dry_run": True, **fields} if update.event.dry_run else fields,
        version=version,
    )


def _conflict(
    update: Update, newer: stores.Object | None
) -> actions.ReplyOperator:
    error = results.Error(code=results.Code.VERSION_CONFLICT)
    request = update.event.request
    if newer is None:
        return refusal(request, error)
    current: dict[str, object] = {"version": newer.version, "deleted": True}
    if newer.value is not None:
        current = documents.show(newer)
    reply = refusal(request, error, current=current)
    reply.version = newer.version
    return reply


def _rules_out(known: stores.Object, expected: int) -> bool:
    """Returns whether a known version makes the condition false."""
    if expected:
        return known.version > expected
    return known.value is not None


def _was_read(answer: stores.StoreAnswer) -> bool:
    found = (stores.Outcome.FOUND, stores.Outcome.ABSENT)
    return answer.outcome in found


def _live(answer: stores.StoreAnswer) -> stores.Object | None:
    stored = answer.objects[0] if answer.objects else None
    return None if stored is None or stored.value is None else stored
