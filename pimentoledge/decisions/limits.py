"""One contract's rate and concurrency limits over all entries.

For each organisation one entry, chosen by rendezvous hashing, owns the
limits (decisions.lending) and lends tokens and slots to the others ahead of
need. An entry without a token lets a request in from a small share of its
own and reports it as debt, so that the usual request waits for no message.
While the owner is silent only that share is left: neither nothing nor
everything.
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
        own_share: part of the limit, over all entries, that they may use
            without the owner.
        chunk_seconds: tokens are borrowed for this time of demand.
        answer_seconds: an owner that has not answered by then is silent.
        probe_seconds: a silent owner is asked again this often.
        tick_seconds: how often leases and waiting requests are looked at.
        idle_seconds: an account without requests is forgotten after this.
        max_waiting: requests that may wait for one owner's answer.
        slots_ahead: whether a slot is taken from the own share before the
            owner has answered.
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
    """The request may run; release it when it has ended.

    Attributes:
        sends: messages to send, and what became of others that waited.
    """

    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Refused:
    """The request must not run.

    Attributes:
        error: what to tell the caller, with an honest `retry_after`.
        sends: messages to send, and what became of others that waited.
    """

    error: results.Error
    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Waiting:
    """The owner is asked; a Decided follows within `answer_seconds`.

    Attributes:
        sends: messages to send, and what became of others that waited.
    """

    sends: "list[actions.Action | Decided]" = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Decided:
    """What became of a request that was Waiting.

    Attributes:
        request: request id.
        error: None when it may run.
    """

    request: str
    error: results.Error | None


LimitOutcome = Granted | Refused | Waiting


class ContractLimits:
    """The limits of all contracts, as one entry sees and keeps them.

    Attributes:
        name: this entry's name.
        address: this entry's mailbox.
        policy: how limits are shared.
        peers: mailboxes of all live entries, this one's among them.
        accounts: what this entry holds, by organisation.
        ledgers: what this entry owns, by organisation.
        organisations: organisation by request that runs or waits.
        silent: owners that owe an answer, with the time of the last probe.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        seed: int = 0,
        policy: Policy | None = None,
    ):
        """Starts with nothing lent and no peer known.

        Args:
            name: this entry's name.
            address: this entry's mailbox.
            seed: a number drawn for this life, so that messages of an
                earlier life of this entry are told from those of this one.
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

    def take(
        self, contract: declarations.Contract, request: str, now: float
    ) -> LimitOutcome:
        """Asks to let one request in.

        Args:
            contract: the organisation's contract as this entry knows it.
            request: request id.
            now: monotonic time in seconds.
        """
        if not contract.requests_per_second and not contract.concurrency:
            return Granted()
        account = self._account(contract, now)
        sent: list[actions.Action | Decided] = []
        lacking = self._check_quota(account, now)
        if lacking is _ASK_OWNER:
            sent = self._send_borrow(account, now, waiting=1)
            lacking = self._check_quota(account, now)
        if lacking is None:
            self._start_request(account, request, now)
            return Granted(sends=sent + self._borrow_ahead(account, now))
        if lacking is not _ASK_OWNER:
            return Refused(
                error=self._refusal(account, lacking, now), sends=sent
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
        """Ends a request that was granted, or one that gave up waiting."""
        organisation = self.organisations.pop(request, "")
        account = self.accounts.get(organisation)
        if account is None:
            return []
        account.waiting.pop(request, None)
        started = account.running.pop(request, None)
        if started is not None:
            held = now - started
            account.hold_seconds += SMOOTHING * (held - account.hold_seconds)
        account.slots_denied_until = 0.0
        # A freed slot that nobody hears of would be a refusal below the
        # limit at another entry.
        if account.scarce and account.asked_at is None:
            return self._send_borrow(account, now)
        return []

    def entries(
        self, addresses: list[str], now: float
    ) -> list[actions.Action | Decided]:
        """Takes over the list of live entries' mailboxes."""
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
        done: list[actions.Action | Decided] = []
        for organisation, account in self.accounts.items():
            owner = self.owner_of(organisation)
            if owner == account.owner:
                continue
            account.owner = owner
            account.asked_at = None
            account.slots = min(account.slots, len(account.running))
            # The new owner knows nothing of what runs here, and would lend
            # it out again.
            if account.running or account.waiting:
                done += self._send_borrow(account, now)
            done += self._decide_waiting(account, now)
        return done

    def handle(
        self, event: object, now: float
    ) -> list[actions.Action | Decided]:
        """Takes in a message of another entry, or the passing of time.

        Args:
            event: events.FromNode with a Borrow or a Lend, or
                events.Unreachable; anything else counts as time that passed.
            now: monotonic time in seconds.
        """
        match event:
            case events.FromNode(message=messages.Borrow() as ask):
                return self._handle_borrow(event.sender, ask, now)
            case events.FromNode(message=messages.Lend() as lent):
                return self._handle_lend(event.sender, lent, now)
            case events.Unreachable():
                self._invalidate_leases(event.address, now)
                return []
            case _:
                return self._tick(now)

    def next_wake(self) -> float | None:
        """Returns when handle should be called again without a message."""
        if not self.accounts and not self.ledgers:
            return None
        return (self.ticked_at or 0.0) + self.policy.tick_seconds

    def owner_of(self, organisation: str) -> str:
        """Returns the mailbox of the entry that owns the limits."""
        return max(self.peers, key=lambda peer: _score(organisation, peer))

    def _account(
        self, contract: declarations.Contract, now: float
    ) -> limit_accounts.Account:
        account = self.accounts.get(contract.organisation)
        if account is None:
            account = limit_accounts.Account(
                contract=contract,
                owner=self.owner_of(contract.organisation),
                own_at=now,
                used_at=now - 1.0,
            )
            account.own_level = self._own_burst(account)
            self.accounts[contract.organisation] = account
        if contract.version >= account.contract.version:
            account.contract = contract
        apart = now - account.used_at
        account.arrival_seconds += SMOOTHING * (apart - account.arrival_seconds)
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
        passed = max(0.0, now - account.own_at)
        level = account.own_level + rate * passed
        account.own_level = min(level, self._own_burst(account))
        account.own_at = max(now, account.own_at)

    def _check_quota(
        self, account: limit_accounts.Account, now: float
    ) -> object:
        """Returns None, a results.Code, or _ASK_OWNER."""
        lacking = self._check_slot(account, now)
        if isinstance(lacking, results.Code):
            return lacking
        return self._check_token(account, now) or lacking

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
        return results.Code.CONCURRENCY_LIMITED if silent else _ASK_OWNER

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
        return results.Code.RATE_LIMITED if silent else _ASK_OWNER

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
        """Returns an error that says when coming back is worth it.

        Callers refused at one time are told times one after another: with
        the same time for all, most of them would come back for nothing.
        """
        contract = account.contract
        match code:
            case results.Code.RATE_LIMITED:
                apart = 1.0 / contract.requests_per_second
                first = account.rate_denied_until
                if account.owner in self.silent:
                    apart *= len(self.peers) / max(0.01, self.policy.own_share)
                    first = now + apart * max(0.0, 1.0 - account.own_level)
            case _:
                apart = account.hold_seconds / max(1, contract.concurrency)
                first = now + apart
        start = max(first, account.promised_until, now)
        start = min(start, now + MAX_RETRY_SECONDS)
        account.promised_until = start + apart
        retry = max(MIN_RETRY_SECONDS, start - now)
        return results.Error(code=code, retry_after=retry)

    def _borrow_ahead(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        """Asks for more before the last token and slot are used."""
        contract = account.contract
        chunk = account.chunk(self.policy.chunk_seconds)
        few_tokens = contract.requests_per_second and (
            account.debt or account.tokens <= chunk // 2
        )
        few_slots = contract.concurrency and (
            len(account.running) > account.slots
            or (len(account.running) == account.slots and not account.scarce)
        )
        if account.asked_at is not None or not (few_tokens or few_slots):
            return []
        if account.owner in self.silent:
            return []
        if now < account.rate_denied_until and not few_slots:
            return []
        return self._send_borrow(account, now)

    def _send_borrow(
        self, account: limit_accounts.Account, now: float, waiting: int = 0
    ) -> list[actions.Action | Decided]:
        """Sends a Borrow, unless one is under way."""
        if account.asked_at is not None:
            return []
        ask = self._make_borrow(account, now, waiting)
        if account.owner == self.address:
            return self._handle_borrow(self.address, ask, now)
        return [actions.Send(address=account.owner, message=ask)]

    def _make_borrow(
        self, account: limit_accounts.Account, now: float, waiting: int
    ) -> messages.Borrow:
        contract = account.contract
        waiting += len(account.waiting)
        lapsed = account.tokens_until <= now
        returned = account.tokens if lapsed else 0
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
        account.asked_at = now
        account.needed = len(account.running) + waiting
        ask = messages.Borrow(
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
        # What is given back must not be used while the answer is under way.
        account.slots = min(account.slots, ask.slots)
        return ask

    def _handle_borrow(
        self, borrower: str, ask: messages.Borrow, now: float
    ) -> list[actions.Action | Decided]:
        ledger = self.ledgers.get(ask.organisation)
        if ledger is None:
            ledger = lending.open_ledger(ask, now)
            self.ledgers[ask.organisation] = ledger
        return self._reply(ledger.lend(borrower, ask, now), now)

    def _reply(
        self, replies: list[lending.Reply], now: float
    ) -> list[actions.Action | Decided]:
        done: list[actions.Action | Decided] = []
        for reply in replies:
            if reply.address == self.address:
                done += self._handle_lend(self.address, reply.message, now)
                continue
            done.append(
                actions.Send(address=reply.address, message=reply.message)
            )
        return done

    def _handle_lend(
        self, sender: str, lent: messages.Lend, now: float
    ) -> list[actions.Action | Decided]:
        self.silent.pop(sender, None)
        account = self.accounts.get(lent.organisation)
        # An answer to an older question, or of a former owner, speaks of a
        # state that has passed; its tokens lapse unspent.
        if account is None or account.owner != sender:
            return []
        if lent.number == lending.RECALL_NUMBER:
            account.scarce = True
            return self._send_borrow(account, now)
        if account.asked_at is None or account.number != lent.number:
            return []
        self._apply(account, lent, now)
        return self._decide_waiting(account, now)

    def _invalidate_leases(self, owner: str, now: float) -> None:
        """Makes the next tick tell an owner again what runs here.

        A connection that broke may mean that the owner has restarted. It
        would know of no lease, and lend each slot a second time.
        """
        for account in self.accounts.values():
            if account.owner != owner:
                continue
            account.asked_at = None
            account.slots = min(account.slots, len(account.running))
            account.slots_until = min(account.slots_until, now)

    def _apply(
        self, account: limit_accounts.Account, lent: messages.Lend, now: float
    ) -> None:
        asked_at = account.asked_at if account.asked_at is not None else now
        account.asked_at = None
        if lent.tokens:
            account.tokens += lent.tokens
            account.tokens_until = asked_at + lent.token_seconds
            account.rate_denied_until = 0.0
        if lent.wait:
            account.rate_denied_until = now + lent.wait
        account.slots = lent.slots
        account.slots_until = asked_at + lent.slot_seconds
        account.scarce = lent.scarce
        account.slots_denied_until = 0.0
        if account.contract.concurrency and lent.slots < account.needed:
            pause = account.hold_seconds / max(1, account.contract.concurrency)
            pause = max(pause, lending.MIN_WAIT_SECONDS)
            account.slots_denied_until = now + min(pause, 1.0)

    def _decide_waiting(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        """Decides what it can of the requests that wait, in their order."""
        done: list[actions.Action | Decided] = []
        for request in list(account.waiting):
            lacking = self._check_quota(account, now)
            if lacking is _ASK_OWNER:
                return done + self._send_borrow(account, now)
            del account.waiting[request]
            error = None
            if lacking is None:
                self._start_request(account, request, now)
            else:
                self.organisations.pop(request, None)
                error = self._refusal(account, lacking, now)
            done.append(Decided(request=request, error=error))
        return done

    def _tick(self, now: float) -> list[actions.Action | Decided]:
        self.ticked_at = now
        done: list[actions.Action | Decided] = []
        for organisation, account in list(self.accounts.items()):
            done += self._tick_account(account, now)
            idle = now - account.used_at > self.policy.idle_seconds
            if idle and not account.running and not account.tokens:
                del self.accounts[organisation]
        for organisation, ledger in list(self.ledgers.items()):
            done += self._reply(ledger.answer_pending(now), now)
            if ledger.idle(now):
                del self.ledgers[organisation]
        return done

    def _tick_account(
        self, account: limit_accounts.Account, now: float
    ) -> list[actions.Action | Decided]:
        policy = self.policy
        if account.asked_at is not None:
            late = now - account.asked_at >= policy.answer_seconds
            if not late:
                return []
            # The Borrow or its answer is lost, or the owner is dead or cut
            # off. What was borrowed with it is gone; asking again may only
            # lend too little, never the same tokens twice.
            account.asked_at = None
            self.silent.setdefault(account.owner, now)
            return self._decide_waiting(account, now)
        done = self._decide_waiting(account, now)
        if account.owner in self.silent:
            if now - self.silent[account.owner] < policy.probe_seconds:
                return done
            self.silent[account.owner] = now
            account.debt = 0
            return done + self._send_borrow(account, now)
        stale_tokens = account.tokens and account.tokens_until <= now
        renew = account.slots_until - now < lending.SLOT_SECONDS / 2
        stale_slots = account.slots and renew
        idle_slots = account.slots > len(account.running) and (
            account.scarce or now - account.used_at > lending.TOKEN_SECONDS
        )
        if stale_tokens or stale_slots or idle_slots or account.debt:
            done += self._send_borrow(account, now)
        return done


# The owner has to be asked.
_ASK_OWNER = object()


def _score(organisation: str, peer: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{peer}".encode())
