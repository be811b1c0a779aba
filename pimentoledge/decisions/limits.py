"""One contract's rate and concurrency limits over all entries.

For each organisation one entry, chosen by rendezvous hashing, owns the
limits (decisions.lending) and lends tokens and slots to the other entries
ahead of demand. An entry without a lent token admits a request from a small
share of its own and reports it to the owner as debt, so that most requests
are admitted without waiting for a message. While the owner is unreachable,
entries admit requests from this share only, which neither stops the
organisation nor lifts its limit.
"""

import math

import attrs
import xxhash

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import lending
from pimentoledge.decisions import limit_accounts
from pimentoledge.nodes import messages

MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 30.0
# Weight of the newest sample in the moving averages.
SMOOTHING = 0.2


@attrs.frozen(kw_only=True)
class Policy:
    """How entries share a limit.

    Attributes:
        own_share: fraction of the limit that all entries together may use
            without borrowing from the owner.
        chunk_seconds: duration of expected demand that one QuotaRequest
            requests tokens for.
        answer_seconds: time after which an owner that has not answered
            counts as silent.
        probe_seconds: interval between QuotaRequests sent to a silent owner.
        tick_seconds: interval at which leases and waiting requests are
            checked.
        idle_seconds: time without requests after which an account is
            dropped.
        max_waiting: maximum number of requests of one organisation that
            wait for the owner's answer.
        slots_ahead: whether a slot of the entry's own share may be used
            before the owner has answered.
    """

    own_share: float = 0.5
    chunk_seconds: float = 0.5
    answer_seconds: float = 0.25
    probe_seconds: float = 1.0
    tick_seconds: float = 0.1
    idle_seconds: float = 60.0
    max_waiting: int = 1000
    slots_ahead: bool = False


@attrs.frozen(kw_only=True)
class Granted:
    """The request may run; the caller must release it when it ends.

    Attributes:
        sends: messages to send, and decisions on other waiting requests.
    """

    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Refused:
    """The request must not run.

    Attributes:
        error: the error to return to the caller; a retry can succeed after
            its `retry_after`.
        sends: messages to send, and decisions on other waiting requests.
    """

    error: results.Error
    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Waiting:
    """A QuotaRequest is pending; a Decided follows within `answer_seconds`.

    Attributes:
        sends: messages to send, and decisions on other waiting requests.
    """

    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Decided:
    """The decision on a request that was Waiting.

    Attributes:
        request: request id.
        error: why the request is refused; None if it may run.
    """

    request: str
    error: results.Error | None


LimitOutcome = Granted | Refused | Waiting


class ContractLimits:
    """One entry's accounts and ledgers for the limits of all contracts.

    Attributes:
        name: this entry's name.
        address: this entry's mailbox.
        policy: how limits are shared.
        peers: mailboxes of all live entries, including this one's.
        accounts: tokens and slots borrowed by this entry, by organisation.
        ledgers: limits owned by this entry, by organisation.
        organisations: organisation by id of a running or waiting request.
        silent: time of the last probe, by mailbox of an owner that has not
            answered in time.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        seed: int = 0,
        policy: Policy | None = None,
    ):
        """Creates an entry's limits without leases or peers.

        Args:
            name: this entry's name.
            address: this entry's mailbox.
            seed: random id of this incarnation of the entry, sent as `life`
                in each QuotaRequest so that the owner can distinguish it
                from earlier incarnations.
            policy: how limits are shared.
        """
        self.name = name
        self.address = address
        self.seed = seed
        self.policy = policy or Policy()
        self.peers: list[str] = [address]
        self.accounts: dict[str, limit_accounts.Account] = {}
        self.ledgers: dict[str, lending.Ledger] = {}
        self.organisations: dict[str, str] = {}
        self.silent: dict[str, float] = {}
        self.ticked_at: float | None = None

    def admit(
        self, contract: declarations.Contract, request: str, now: float
    ) -> LimitOutcome:
        """Admits or refuses a request, or queues it for the owner's answer.

        Args:
            contract: the organisation's contract as cached by this entry.
            request: request id.
            now: monotonic time in seconds.
        """
        if not contract.requests_per_second and not contract.concurrency:
            return Granted()
        account = self._touch_account(contract, now)
        sent: list[actions.Action | Decided] = []
        shortage = self._check_quota(account, now)
        if shortage is _OWNER_DECIDES:
            sent = self._send_quota_request(account, now, waiting=1)
            shortage = self._check_quota(account, now)
        if shortage is None:
            self._start_request(account, request, now)
            return Granted(sends=sent + self._request_quota_ahead(account, now))
        if shortage is not _OWNER_DECIDES:
            return Refused(
                error=self._refusal(account, shortage, now), sends=sent
            )
        if len(account.waiting) >= self.policy.max_waiting:
            code = results.Code.OVERLOADED
            return Refused(error=self._refusal(account, code, now), sends=sent)
        account.waiting[request] = now
        self.organisations[request] = contract.organisation
        return Waiting(sends=sent)

    def release(
        self, request: str, now: float
    ) -> list[actions.Action | Decided]:
        """Releases a granted request, or removes a waiting one."""
        organisation = self.organisations.pop(request, "")
        account = self.accounts.get(organisation)
        if account is None:
            return []
        account.waiting.pop(request, None)
        started = account.running.pop(request, None)
        if started is not None:
            running_seconds = now - started
            account.hold_seconds += SMOOTHING * (
                running_seconds - account.hold_seconds
            )
        account.slots_denied_until = 0.0
        # When slots are scarce, a freed slot that is not reported at once
        # would make another entry refuse a request below the limit.
        if account.scarce and account.requested_at is None:
            return self._send_quota_request(account, now)
        return []

    def update_entries(
        self, addresses: list[str], now: float
    ) -> list[actions.Action | Decided]:
        """Replaces the list of live entries' mailboxes."""
        self.peers = sorted({*addresses, self.address})
        alive = set(self.peers)
        for organisation, ledger in list(self.ledgers.items()):
            ledger.keep_only(alive)
            if self.owner_of(organisation) != self.address:
                del self.ledgers[organisation]
        self.silent = {
            address: at
            for address, at in self.silent.items()
            if address in alive
        }
        outputs: list[actions.Action | Decided] = []
        for organisation, account in self.accounts.items():
            owner = self.owner_of(organisation)
            if owner == account.owner:
                continue
            account.owner = owner
            account.requested_at = None
            account.slots = min(account.slots, len(account.running))
            # The new owner has no record of the slots in use here and would
            # lend them again.
            if account.running or account.waiting:
                outputs += self._send_quota_request(account, now)
            outputs += self._decide_waiting(account, now)
        return outputs

    def handle(
        self, event: object, now: float
    ) -> list[actions.Action | Decided]:
        """Handles a message of another entry, or a tick.

        Args:
            event: events.FromNode with a QuotaRequest or a QuotaGrant, or
                events.Unreachable; any other value counts as a tick.
            now: monotonic time in seconds.
        """
        match event:
            case events.FromNode(
                message=messages.QuotaRequest() as quota_request
            ):
                return self._handle_quota_request(
                    event.sender, quota_request, now
                )
            case events.FromNode(message=messages.QuotaGrant() as grant):
                return self._handle_quota_grant(event.sender, grant, now)
            case events.Unreachable():
                self._invalidate_leases(event.address, now)
                return []
            case _:
                return self._tick(now)

    def next_wake(self) -> float | None:
        """Returns when to call `handle` for the next tick; None for never."""
        if not self.accounts and not self.ledgers:
            return None
        return (self.ticked_at or 0.0) + self.policy.tick_seconds

    def owner_of(self, organisation: str) -> str:
        """Returns the mailbox of the entry that owns the limits."""
        return max(self.peers, key=lambda peer: _score(organisation, peer))

    def _touch_account(
        self, contract: declarations.Contract, now: float
    ) -> limit_accounts.Account:
        account = self.accounts.get(contract.organisation)
        if account is None:
            account = limit_accounts.Account(
                contract=contract,
                owner=self.owner_of(contract.organisation),
                own_refilled_at=now,
                used_at=now - 1.0,
            )
            account.own_level = self._own_burst(account)
            self.accounts[contract.organisation] = account
        if contract.version >= account.contract.version:
            account.contract = contract
        interval = now - account.used_at
        account.arrival_seconds += SMOOTHING * (
            interval - account.arrival_seconds
        )
        account.used_at = now
        return account

    def _own_burst(self, account: limit_accounts.Account) -> float:
        if not self.policy.own_share:
            return 0.0
        part = self.policy.own_share * account.contract.burst
        return max(1.0, part / len(self.peers))

    def _own_slots(self, account: limit_accounts.Account) -> int:
        part = self.policy.own_share * account.contract.concurrency
        return max(1, math.floor(part / len(self.peers)))

    def _refill_own(self, account: limit_accounts.Account, now: float) -> None:
        rate = account.contract.requests_per_second
        rate *= self.policy.own_share / len(self.peers)
        passed = max(0.0, now - account.own_refilled_at)
        level = account.own_level + rate * passed
        account.own_level = min(level, self._own_burst(account))
        account.own_refilled_at = max(now, account.own_refilled_at)

    def _check_quota(
        self, account: limit_accounts.Account, now: float
    ) -> object:
        """Returns None if allowed, a results.Code, or _OWNER_DECIDES."""
        shortage = self._check_slot(account, now)
        if isinstance(shortage, results.Code):
            return shortage
        return self._check_token(account, now) or shortage

    def _check_slot(
        self, account: limit_accounts.Account, now: float
    ) -> object:
        if not account.contract.concurrency:
            return None
        running = len(account.running)
        if running < account.slots and now < account.slots_until:
            return None
        if now < account.slots_denied_until:
            return results.Code.CONCURRENCY_LIMITED
        silent = account.owner in self.silent
        own = running < self._own_slots(account)
        if own and (silent or self.policy.slots_ahead):
            return None
        return results.Code.CONCURRENCY_LIMITED if silent else _OWNER_DECIDES

    def _check_token(
        self, account: limit_accounts.Account, now: float
    ) -> object:
        if not account.contract.requests_per_second:
            return None
        if account.tokens and now < account.tokens_until:
            return None
        if now < account.rate_denied_until:
            return results.Code.RATE_LIMITED
        self._refill_own(account, now)
        if account.own_level >= 1.0:
            return None
        silent = account.owner in self.silent
        return results.Code.RATE_LIMITED if silent else _OWNER_DECIDES

    def _start_request(
        self, account: limit_accounts.Account, request: str, now: float
    ) -> None:
        account.running[request] = now
        self.organisations[request] = account.contract.organisation
        if not account.contract.requests_per_second:
            return
        if account.tokens and now < account.tokens_until:
            account.tokens -= 1
            return
        account.own_level -= 1.0
        account.debt += 1

    def _refusal(
        self, account: limit_accounts.Account, code: results.Code, now: float
    ) -> results.Error:
        """Returns an error with the time after which a retry can succeed.

        Callers that are refused together get staggered retry times. With the
        same time for all, most of them would be refused again.
        """
        contract = account.contract
        match code:
            case results.Code.RATE_LIMITED:
                interval = 1.0 / contract.requests_per_second
                first = account.rate_denied_until
                if account.owner in self.silent:
                    interval *= len(self.peers) / max(
                        0.01, self.policy.own_share
                    )
                    first = now + interval * max(0.0, 1.0 - account.own_level)
            case _:
                interval = account.hold_seconds / max(1, contract.concurrency)
                first = now + interval
        start = max(first, account.next_retry_at, now)
        start = min(start, now + MAX_RETRY_SECONDS)
        account.next_retry_at = start + interval
        retry = max(MIN_RETRY_SECONDS, start - now)
        return results.Error(code=code, retry_after=retry)

    def _request_quota_ahead(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        """Sends a QuotaRequest before the last token or slot is used."""
        contract = account.contract
        chunk = account.chunk(self.policy.chunk_seconds)
        few_tokens = contract.requests_per_second and (
            account.debt or account.tokens <= chunk // 2
        )
        few_slots = contract.concurrency and (
            len(account.running) > account.slots
            or (len(account.running) == account.slots and not account.scarce)
        )
        if account.requested_at is not None or not (few_tokens or few_slots):
            return []
        if account.owner in self.silent:
            return []
        if now < account.rate_denied_until and not few_slots:
            return []
        return self._send_quota_request(account, now)

    def _send_quota_request(
        self, account: limit_accounts.Account, now: float, waiting: int = 0
    ) -> list[actions.Action | Decided]:
        """Sends a QuotaRequest unless one is pending."""
        if account.requested_at is not None:
            return []
        quota_request = self._build_quota_request(account, now, waiting)
        if account.owner == self.address:
            return self._handle_quota_request(self.address, quota_request, now)
        return [actions.Send(address=account.owner, message=quota_request)]

    def _build_quota_request(
        self, account: limit_accounts.Account, now: float, waiting: int
    ) -> messages.QuotaRequest:
        contract = account.contract
        waiting += len(account.waiting)
        expired = account.tokens_until <= now
        returned = account.tokens if expired else 0
        account.tokens -= returned
        busy = now - account.used_at < lending.TOKEN_SECONDS
        chunk = account.chunk(self.policy.chunk_seconds) + waiting
        wanted = max(0, chunk - account.tokens) if busy or waiting else 0
        if now < account.rate_denied_until:
            wanted = 0
        slots = len(account.running) + waiting
        if busy and not account.scarce:
            slots += contract.concurrency // (4 * len(self.peers))
        account.number += 1
        account.requested_at = now
        account.needed_slots = len(account.running) + waiting
        quota_request = messages.QuotaRequest(
            organisation=contract.organisation,
            number=account.number,
            life=self.seed,
            version=contract.version,
            rate=contract.requests_per_second,
            burst=contract.burst,
            concurrency=contract.concurrency,
            tokens=wanted if contract.requests_per_second else 0,
            debt=account.debt,
            returned=returned,
            running=len(account.running),
            waiting=waiting if contract.concurrency else 0,
            slots=slots if contract.concurrency else 0,
        )
        account.debt = 0
        # Slots that this QuotaRequest returns must not be used while the
        # answer is pending: the owner may already have lent them again.
        account.slots = min(account.slots, quota_request.slots)
        return quota_request

    def _handle_quota_request(
        self, borrower: str, quota_request: messages.QuotaRequest, now: float
    ) -> list[actions.Action | Decided]:
        ledger = self.ledgers.get(quota_request.organisation)
        if ledger is None:
            ledger = lending.open_ledger(quota_request, now)
            self.ledgers[quota_request.organisation] = ledger
        return self._deliver_replies(
            ledger.grant(borrower, quota_request, now), now
        )

    def _deliver_replies(
        self, replies: list[lending.Reply], now: float
    ) -> list[actions.Action | Decided]:
        outputs: list[actions.Action | Decided] = []
        for reply in replies:
            if reply.address == self.address:
                outputs += self._handle_quota_grant(
                    self.address, reply.message, now
                )
                continue
            outputs.append(
                actions.Send(address=reply.address, message=reply.message)
            )
        return outputs

    def _handle_quota_grant(
        self, sender: str, grant: messages.QuotaGrant, now: float
    ) -> list[actions.Action | Decided]:
        self.silent.pop(sender, None)
        account = self.accounts.get(grant.organisation)
        # An answer to an older QuotaRequest, or from a former owner, describes
        # an outdated state; its tokens expire unspent.
        if account is None or account.owner != sender:
            return []
        if grant.number == lending.RECALL_NUMBER:
            account.scarce = True
            return self._send_quota_request(account, now)
        if account.requested_at is None or account.number != grant.number:
            return []
        self._apply_grant(account, grant, now)
        return self._decide_waiting(account, now)

    def _invalidate_leases(self, owner: str, now: float) -> None:
        """Makes the next tick report the slots in use here to the owner.

        A broken connection may mean that the owner has restarted. It would
        have lost all leases and lend each slot a second time.
        """
        for account in self.accounts.values():
            if account.owner != owner:
                continue
            account.requested_at = None
            account.slots = min(account.slots, len(account.running))
            account.slots_until = min(account.slots_until, now)

    def _apply_grant(
        self,
        account: limit_accounts.Account,
        grant: messages.QuotaGrant,
        now: float,
    ) -> None:
        requested_at = (
            account.requested_at if account.requested_at is not None else now
        )
        account.requested_at = None
        if grant.tokens:
            account.tokens += grant.tokens
            account.tokens_until = requested_at + grant.token_seconds
            account.rate_denied_until = 0.0
        if grant.wait:
            account.rate_denied_until = now + grant.wait
        account.slots = grant.slots
        account.slots_until = requested_at + grant.slot_seconds
        account.scarce = grant.scarce
        account.slots_denied_until = 0.0
        if account.contract.concurrency and grant.slots < account.needed_slots:
            pause = account.hold_seconds / max(1, account.contract.concurrency)
            pause = max(pause, lending.MIN_WAIT_SECONDS)
            account.slots_denied_until = now + min(pause, 1.0)

    def _decide_waiting(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        """Decides waiting requests in order of arrival, as far as possible."""
        outputs: list[actions.Action | Decided] = []
        for request in list(account.waiting):
            shortage = self._check_quota(account, now)
            if shortage is _OWNER_DECIDES:
                return outputs + self._send_quota_request(account, now)
            del account.waiting[request]
            error = None
            if shortage is None:
                self._start_request(account, request, now)
            else:
                self.organisations.pop(request, None)
                error = self._refusal(account, shortage, now)
            outputs.append(Decided(request=request, error=error))
        return outputs

    def _tick(self, now: float) -> list[actions.Action | Decided]:
        self.ticked_at = now
        outputs: list[actions.Action | Decided] = []
        for organisation, account in list(self.accounts.items()):
            outputs += self._tick_account(account, now)
            idle = now - account.used_at > self.policy.idle_seconds
            if idle and not account.running and not account.tokens:
                del self.accounts[organisation]
        for organisation, ledger in list(self.ledgers.items()):
            outputs += self._deliver_replies(ledger.answer_pending(now), now)
            if ledger.is_idle(now):
                del self.ledgers[organisation]
        return outputs

    def _tick_account(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        policy = self.policy
        if account.requested_at is not None:
            late = now - account.requested_at >= policy.answer_seconds
            if not late or account.owner == self.address:
                # This entry's own ledger answers in this tick if that is due.
                return []
            # The QuotaRequest or its answer is lost, or the owner is down or
            # unreachable. Tokens lent in a lost answer are not recovered:
            # the answer to a new QuotaRequest may grant too few, but never
            # the same tokens twice.
            account.requested_at = None
            self.silent.setdefault(account.owner, now)
            return self._decide_waiting(account, now)
        outputs = self._decide_waiting(account, now)
        if account.owner in self.silent:
            if now - self.silent[account.owner] < policy.probe_seconds:
                return outputs
            self.silent[account.owner] = now
            account.debt = 0
            return outputs + self._send_quota_request(account, now)
        stale_tokens = account.tokens and account.tokens_until <= now
        renew = account.slots_until - now < lending.SLOT_SECONDS / 2
        stale_slots = account.slots and renew
        idle_slots = account.slots > len(account.running) and (
            account.scarce or now - account.used_at > lending.TOKEN_SECONDS
        )
        if stale_tokens or stale_slots or idle_slots or account.debt:
            outputs += self._send_quota_request(account, now)
        return outputs


# Only the owner can decide whether the quota allows a request.
_OWNER_DECIDES = object()


def _score(organisation: str, peer: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{peer}".encode())
