"""A fair queue that shares an engine among organisations by tokens.

Each organisation has a counter of the tokens that it was served, divided by
its share. The organisation with the smallest counter is served next, and its
items in order of arrival. The counter of an organisation that was idle starts
at the floor, so that it neither accumulates credit while idle nor is charged
for service that it used while no other organisation was waiting.
"""

import collections

import attrs

from pimentoledge.nodes import messages

# Bound on the idle organisations whose counter is kept. Beyond it the lowest
# counter is evicted: that organisation gains the least from a reset.
MAX_IDLE = 256


@attrs.define(kw_only=True)
class Item:
    """One queued dispatch.

    Attributes:
        dispatch: the dispatch.
        sender: the entry's mailbox.
        arrived: time of arrival.
        deadline: time when its answer is due.
        cost: expected uncached prompt tokens and generated tokens.
        crashes: engine crashes known for its content.
        started: whether it held a slot before it was paused.
    """

    dispatch: messages.Dispatch
    sender: str
    arrived: float
    deadline: float
    cost: int
    crashes: int = 0
    started: bool = False

    def key(self) -> tuple[str, int]:
        """Returns request and attempt."""
        return (self.dispatch.request, self.dispatch.attempt)


class FairQueue:
    """Waiting dispatches of one priority.

    Attributes:
        waiting: items by organisation, in order of arrival.
        counters: tokens served divided by share, by organisation.
        floor: counter of the organisation served last, before its charge.
        size: number of waiting items.
    """

    def __init__(self):
        self.waiting: dict[str, collections.deque[Item]] = {}
        self.counters: dict[str, float] = {}
        self.floor = 0.0
        self.size = 0

    def __iter__(self):
        for items in self.waiting.values():
            yield from items

    def push(self, item: Item) -> None:
        """Adds an item behind those of its organisation."""
        self._raise_to_floor(item.dispatch.organisation)
        items = self.waiting.setdefault(
            item.dispatch.organisation, collections.deque()
        )
        items.append(item)
        self.size += 1

    def push_front(self, item: Item) -> None:
        """Adds an item that has been paused ahead of its organisation's."""
        self.push(item)
        self.waiting[item.dispatch.organisation].rotate(1)

    def peek(self) -> Item | None:
        """Returns the next item to serve."""
        if not self.waiting:
            return None
        organisation = min(
            self.waiting,
            key=lambda each: (
                self.counters[each],
                self.waiting[each][0].arrived,
            ),
        )
        return self.waiting[organisation][0]

    def oldest(self) -> Item | None:
        """Returns the earliest-arrived of the organisations' first items."""
        heads = [items[0] for items in self.waiting.values()]
        return min(heads, key=lambda each: each.arrived, default=None)

    def heaviest(self) -> str:
        """Returns the organisation with the most waiting tokens per share."""
        return max(
            self.waiting,
            key=lambda each: sum(
                item.cost / item.dispatch.share for item in self.waiting[each]
            ),
        )

    def remove(self, item: Item) -> None:
        """Removes a waiting item."""
        organisation = item.dispatch.organisation
        self.waiting[organisation].remove(item)
        self.size -= 1
        if not self.waiting[organisation]:
            del self.waiting[organisation]

    def charge(self, item: Item) -> None:
        """Charges an item's expected tokens to its organisation, once."""
        if item.started:
            return
        organisation = item.dispatch.organisation
        self._raise_to_floor(organisation)
        self.floor = self.counters[organisation]
        self.counters[organisation] += item.cost / item.dispatch.share
        self._evict_idle()

    def correct(self, item: Item, tokens: int) -> None:
        """Replaces an item's expected tokens by the actual number."""
        organisation = item.dispatch.organisation
        if organisation in self.counters:
            change = (tokens - item.cost) / item.dispatch.share
            self.counters[organisation] += change

    def ahead(self, dispatch: messages.Dispatch) -> float:
        """Estimates how many items would start before a new dispatch."""
        own = len(self.waiting.get(dispatch.organisation, ()))
        shares = dispatch.share
        for organisation, items in self.waiting.items():
            if organisation != dispatch.organisation:
                shares += items[0].dispatch.share
        return min(self.size, (own + 1) * shares / dispatch.share - 1)

    def clear(self) -> list[Item]:
        """Removes and returns all items."""
        items = list(self)
        self.waiting.clear()
        self.size = 0
        return items

    def _raise_to_floor(self, organisation: str) -> None:
        # An organisation with waiting items keeps its counter, and with it
        # the service that it is still owed.
        if organisation not in self.waiting:
            counter = self.counters.get(organisation, self.floor)
            self.counters[organisation] = max(counter, self.floor)

    def _evict_idle(self) -> None:
        idle = [each for each in self.counters if each not in self.waiting]
        if len(idle) > MAX_IDLE:
            del self.counters[min(idle, key=self.counters.__getitem__)]
