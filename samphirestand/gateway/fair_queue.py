"""Order of waiting statements: fair shares of accounts, then urgency.

Pure data structures without input and output. ``FairQueue`` answers an account
that floods within its rate, and one kind of statement that floods;
``Backlog`` answers overload that lasts, by telling which work goes last and is
therefore refused first. docs/design/fair-shares.md has the reasons.
"""

import bisect
import collections
import collections.abc
import dataclasses
import heapq
from typing import Any

__all__ = [
    'MAX_URGENCY',
    'Backlog',
    'Entry',
    'FairQueue',
    'UrgencyBalance',
    'clamp_urgency',
    'share_bound',
]

# Routes with a higher number are as little urgent as this one, which bounds
# the heaps of an account.
MAX_URGENCY = 7

# An account may be ahead of its share by this many statements for each unit
# of its weight before others go first. With less, accounts that send now and
# then would lose the urgency of their routes; with more, a flood would take
# the slots for longer.
SHARE_SLACK = 2.0

# An account that has waited until it is behind its share by this many
# statements for each unit of its weight goes first, however urgent the others'
# work is. With more, the short objectives of small accounts end before that;
# with less, urgency decides little between accounts.
SHARE_LAG = 2.0

# A kind of statement is raised to a more urgent kind of the same account while
# its served share is below this fraction of the other's, for each step of
# urgency between them. It doesn't starve and is never better served either.
STARVATION_DIVISOR = 8

# One statement is raised for this many served ones of its account at the most:
# a flood of a less urgent kind, of which only a small share can be served,
# takes no more than that from urgent work.
SERVED_FOR_RAISED = 16

# The counts of served and arrived statements are halved at this many
# arrivals, so that they describe the last seconds of a busy account.
BALANCE_ARRIVALS = 256

# Accounts without waiting work are forgotten above this number.
MAX_IDLE_ACCOUNTS = 1_024

# An account with fewer waiting statements for each unit of its weight isn't
# beyond its share, whatever the others have: of those accounts, the least
# urgent work is refused first.
BACKLOG_SLACK = 4

# Heaps are rebuilt when they hold this many removed entries more than others.
MAX_REMOVED = 32


def clamp_urgency(priority: int) -> int:
    """Return the urgency class of a route's priority, 0 the most urgent."""
    return min(max(priority, 0), MAX_URGENCY)


def share_bound(own_ahead: int, weight: int, total_weight: float) -> float:
    """Return how many statements may go before one at the most.

    ``own_ahead`` statements of its account go before it, and every account
    goes in proportion to its weight.
    """
    return (own_ahead + 1) * max(1.0, total_weight / weight)


@dataclasses.dataclass(eq=False)
class Entry:
    """A waiting item and what orders it; a lower key goes first.

    It can run on ``resources``. ``allowed`` are those of them that weren't
    found unable to run it now.
    """

    item: Any
    account: str
    weight: int
    urgency: int
    key: int
    sequence: int
    resources: frozenset[str]
    size: int = 0  # bytes
    is_late: bool = False
    allowed: frozenset[str] = frozenset()
    queue: Any = None  # in which it waits

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.urgency, self.key, self.sequence


_Rank = tuple[int, int, int]


def _rank(entry: Entry) -> _Rank:
    return entry.rank


class UrgencyBalance:
    """Raises the urgency of statements whose kind would starve.

    For a kind of statement that floods and is more urgent than others of its
    account. Work that only the primary can run and other work are counted
    apart, since one may starve while the other is served. Such work of one
    urgency whose served share has fallen far below that of a more urgent kind
    is ordered and refused like that kind, until its share is
    ``1 / STARVATION_DIVISOR`` of the other's for each step between them. It is
    thus never better served.
    """

    def __init__(self) -> None:
        # Arrived and served statements by account, and by kind: the primary's
        # are in the second half.
        self._counts: dict[str, tuple[list[int], list[int]]] = {}
        self._served_since_raised: collections.Counter[str] = (
            collections.Counter()
        )

    def record_arrival(
        self, account: str, urgency: int, needs_primary: bool
    ) -> int:
        """Record a statement; return the urgency with which it waits."""
        raised = self.urgency_of_next(account, urgency, needs_primary)
        if account not in self._counts and (
            len(self._counts) >= MAX_IDLE_ACCOUNTS
        ):
            oldest = next(iter(self._counts))
            del self._counts[oldest]
            self._served_since_raised.pop(oldest, None)
        self._counts[account] = self._counts_with_next(
            account, _kind(urgency, needs_primary)
        )
        if raised < urgency:
            self._served_since_raised[account] = 0
        return raised

    def _counts_with_next(
        self, account: str, kind: int
    ) -> tuple[list[int], list[int]]:
        """Return the counts of an account with one more arrival of a kind."""
        earlier = self._counts.get(account, ([0] * _KINDS, [0] * _KINDS))
        arrived, served = map(list, earlier)
        arrived[kind] += 1
        if sum(arrived) > BALANCE_ARRIVALS:
            arrived = [each // 2 for each in arrived]
            served = [each // 2 for each in served]
        return arrived, served

    def urgency_of_next(
        self, account: str, urgency: int, needs_primary: bool
    ) -> int:
        """Return the urgency with which a statement would wait."""
        if self._served_since_raised[account] < SERVED_FOR_RAISED:
            return urgency
        kind = _kind(urgency, needs_primary)
        arrived, served = self._counts_with_next(account, kind)
        for other in range(urgency):
            other_kinds = (_kind(other, False), _kind(other, True))
            divisor = STARVATION_DIVISOR * (urgency - other)
            if served[kind] * divisor * sum(
                arrived[each] for each in other_kinds
            ) < arrived[kind] * sum(served[each] for each in other_kinds):
                return other
        return urgency

    def record_served(
        self, account: str, urgency: int, needs_primary: bool
    ) -> None:
        if account in self._counts:
            _, served = self._counts[account]
            served[_kind(urgency, needs_primary)] += 1
            self._served_since_raised[account] += 1


_KINDS = 2 * (MAX_URGENCY + 1)


def _kind(urgency: int, needs_primary: bool) -> int:
    return urgency + needs_primary * (MAX_URGENCY + 1)


class _Flow:
    """The waiting entries of one account in a ``FairQueue``."""

    def __init__(self, queue: 'FairQueue') -> None:
        self._queue = queue
        self.heaps: dict[
            tuple[frozenset[str], int], list[tuple[int, int, Entry]]
        ] = {}
        self.waiting = 0
        self.removed = 0
        self.waiting_by_resource: collections.Counter[str] = (
            collections.Counter()
        )
        self.tags: dict[str, float] = {}
        # The weight and the rank with which the account waits for a resource.
        self.weights: dict[str, int] = {}
        self.ready_ranks: dict[str, _Rank | None] = {}
        self.due_tags: dict[str, float] = {}

    def add(self, entry: Entry) -> None:
        heap = self.heaps.setdefault((entry.allowed, entry.urgency), [])
        heapq.heappush(heap, (entry.key, entry.sequence, entry))

    def best(self, resource: str) -> tuple[_Rank, Entry] | None:
        """Return the entry that goes next on a resource, with its rank."""
        heads = [
            entry
            for mask, urgency in list(self.heaps)
            if resource in mask
            and (entry := self._head(mask, urgency)) is not None
        ]
        if not heads:
            return None
        first = min(heads, key=_rank)
        return first.rank, first

    def _head(self, mask: frozenset[str], urgency: int) -> Entry | None:
        heap = self.heaps[mask, urgency]
        while heap:
            self._queue.examined_count += 1
            entry = heap[0][2]
            if entry.queue is self._queue and entry.allowed == mask:
                return entry
            heapq.heappop(heap)
            self.removed -= 1
        del self.heaps[mask, urgency]
        return None

    def compact(self) -> None:
        """Drop removed entries once they are more than the others."""
        if self.removed <= self.waiting + MAX_REMOVED:
            return
        self.removed = 0
        # An entry that was blocked and offered again may be there twice.
        entries = {
            entry
            for (mask, _), heap in self.heaps.items()
            for _, _, entry in heap
            if entry.queue is self._queue and entry.allowed == mask
        }
        self.heaps = {}
        for each in entries:
            self.heaps.setdefault((each.allowed, each.urgency), []).append(
                (each.key, each.sequence, each)
            )
        for heap in self.heaps.values():
            heapq.heapify(heap)


class _Resource:
    """What competes for one resource, in the order of its fair shares.

    ``ready`` holds accounts within their share by the rank of their next
    entry and ``due`` the same by the virtual time of their service; ``later``
    holds those ahead of their share.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.weight = 0
        self.ready: list[tuple[_Rank, int, _Flow]] = []
        self.due: list[tuple[float, int, _Flow]] = []
        self.later: list[tuple[float, int, _Flow]] = []


class FairQueue:
    """Waiting entries in the order of fair shares and of their urgency.

    For an account that floods within its rate: on each resource an account
    gets service in proportion to its weight. A virtual time runs at the rate
    at which an account of weight 1 is due; an account whose own service is
    ahead of it by more than ``SHARE_SLACK`` goes after the others, one that is
    behind by ``SHARE_LAG`` before them. Among the rest, the more urgent and
    then the earlier key goes first.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._resources: dict[str, _Resource] = {}
        self._blocked: set[Entry] = set()
        self._count = 0
        self._pushed = 0
        self.examined_count = 0  # entries of heaps looked at, for tests

    def __len__(self) -> int:
        return self._count

    @property
    def blocked_count(self) -> int:
        return len(self._blocked)

    def total_weight(self, resource: str) -> int:
        """Return the weight of all accounts that wait for a resource."""
        found = self._resources.get(resource)
        return found.weight if found is not None else 0

    def push(self, entry: Entry) -> None:
        """Add an entry."""
        entry.queue = self
        entry.allowed = entry.resources
        self._count += 1
        flow = self._flows.get(entry.account)
        if flow is None:
            if len(self._flows) >= MAX_IDLE_ACCOUNTS:
                self._forget_idle()
            flow = self._flows[entry.account] = _Flow(self)
        flow.waiting += 1
        flow.add(entry)
        for resource in entry.allowed:
            self._join(flow, entry, resource)

    def _forget_idle(self) -> None:
        for account in [
            account
            for account, flow in self._flows.items()
            if not flow.waiting
        ]:
            del self._flows[account]

    def _join(self, flow: _Flow, entry: Entry, name: str) -> None:
        """Let an account that has work for a resource compete for it."""
        resource = self._resources.setdefault(name, _Resource())
        flow.waiting_by_resource[name] += 1
        if name not in flow.weights:
            flow.weights[name] = entry.weight
            resource.weight += entry.weight
            tag = max(flow.tags.get(name, 0.0), resource.virtual_time)
            flow.tags[name] = tag
            self._place(flow, name, resource)
        elif flow.ready_ranks[name] is not None:
            self._place(flow, name, resource)

    def _place(self, flow: _Flow, name: str, resource: _Resource) -> None:
        """Put an account where it belongs among those that compete."""
        self._pushed += 1
        self._trim(name, resource)
        tag = flow.tags[name]
        if tag - SHARE_SLACK > resource.virtual_time:
            flow.ready_ranks[name] = None
            heapq.heappush(resource.later, (tag, self._pushed, flow))
            return
        best = flow.best(name)
        assert best is not None
        rank, _ = best
        if flow.ready_ranks.get(name) != rank:
            flow.ready_ranks[name] = rank
            heapq.heappush(resource.ready, (rank, self._pushed, flow))
        if flow.due_tags.get(name) != tag:
            flow.due_tags[name] = tag
            heapq.heappush(resource.due, (tag, self._pushed, flow))

    def _trim(self, name: str, resource: _Resource) -> None:
        """Drop outdated items once they are more than the accounts."""
        limit = 2 * len(self._flows) + MAX_REMOVED
        if len(resource.ready) > limit:
            resource.ready = [
                each
                for each in resource.ready
                if each[2].ready_ranks.get(name) == each[0]
            ]
            heapq.heapify(resource.ready)
        if len(resource.due) > limit:
            resource.due = [
                each
                for each in resource.due
                if each[2].due_tags.get(name) == each[0]
            ]
            heapq.heapify(resource.due)

    def _leave(self, flow: _Flow, names: frozenset[str]) -> None:
        for name in names:
            flow.waiting_by_resource[name] -= 1
            if flow.waiting_by_resource[name]:
                continue
            del flow.waiting_by_resource[name]
            del flow.ready_ranks[name]
            flow.due_tags.pop(name, None)
            self._resources[name].weight -= flow.weights.pop(name)

    def remove(self, entry: Entry) -> None:
        """Remove a waiting entry."""
        flow = self._flows[entry.account]
        self._leave(flow, entry.allowed)
        entry.queue = None
        self._blocked.discard(entry)
        self._count -= 1
        flow.waiting -= 1
        flow.removed += 1
        flow.compact()

    def take(self, entry: Entry, name: str) -> None:
        """Remove an entry that is served by a resource."""
        flow = self._flows[entry.account]
        resource = self._resources.setdefault(name, _Resource())
        # An account whose work can't run for a while saves up no more.
        tag = max(
            flow.tags.get(name, 0.0),
            resource.virtual_time - SHARE_LAG - SHARE_SLACK,
        )
        flow.tags[name] = tag + 1 / entry.weight
        resource.virtual_time += 1 / max(resource.weight, entry.weight)
        self.remove(entry)
        if name in flow.weights and flow.ready_ranks[name] is not None:
            self._place(flow, name, resource)

    def best(self, name: str) -> Entry | None:
        """Return the entry that goes next on a resource; None without one."""
        resource = self._resources.get(name)
        if resource is None:
            return None
        while True:
            self._advance(name, resource)
            entry = self._overdue(name, resource)
            if entry is not None:
                return entry
            while resource.ready:
                self.examined_count += 1
                rank, _, flow = resource.ready[0]
                if flow.ready_ranks.get(name) != rank:
                    heapq.heappop(resource.ready)
                    continue
                best = flow.best(name)
                assert best is not None
                if best[0] == rank:
                    return best[1]
                heapq.heappop(resource.ready)
                self._place(flow, name, resource)
            if not resource.later:
                return None
            # Nobody is within its share, so the one least ahead goes on.
            resource.virtual_time = resource.later[0][0] - SHARE_SLACK

    def _overdue(self, name: str, resource: _Resource) -> Entry | None:
        """Return the next entry of an account far behind its share."""
        while resource.due:
            self.examined_count += 1
            tag, _, flow = resource.due[0]
            if flow.due_tags.get(name) == tag == flow.tags[name]:
                if tag + SHARE_LAG >= resource.virtual_time:
                    return None
                best = flow.best(name)
                assert best is not None
                return best[1]
            heapq.heappop(resource.due)
        return None

    def _advance(self, name: str, resource: _Resource) -> None:
        """Let accounts compete whose share has caught up with them."""
        while resource.later:
            self.examined_count += 1
            tag, _, flow = resource.later[0]
            is_valid = (
                flow.ready_ranks.get(name, ()) is None
                and flow.tags[name] == tag
            )
            if is_valid and tag - SHARE_SLACK > resource.virtual_time:
                return
            heapq.heappop(resource.later)
            if is_valid:
                self._place(flow, name, resource)

    def block(self, entry: Entry, names: frozenset[str]) -> None:
        """Don't offer an entry to resources that can't run it now."""
        names &= entry.allowed
        flow = self._flows[entry.account]
        flow.removed += 1  # in its former heap
        entry.allowed -= names
        flow.add(entry)
        self._blocked.add(entry)
        self._leave(flow, names)
        flow.compact()

    def unblock(self) -> None:
        """Offer all entries to all of their resources again."""
        blocked, self._blocked = self._blocked, set()
        for entry in blocked:
            flow = self._flows[entry.account]
            flow.removed += 1
            names = entry.resources - entry.allowed
            entry.allowed = entry.resources
            flow.add(entry)
            for name in names:
                self._join(flow, entry, name)
            flow.compact()


class _Share:
    """The waiting entries of one account in a ``Backlog``."""

    def __init__(self) -> None:
        self.count = 0
        self.weight = 1
        self.counts_by_urgency = [0] * (MAX_URGENCY + 1)
        self.last: list[tuple[int, int, int, int, Entry]] = []


_Standing = tuple[float, int, int, int, int]


class Backlog:
    """What waits, by who uses most beyond its share, and the rank of a key.

    For overload that lasts: the last entry of all is the least urgent and
    youngest one of the account that has most waiting for its weight. It waits
    for everything else, so it is the one to refuse when not all can be served
    in time, and no other entry is served later because of that.
    """

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}
        self._worst: list[tuple[_Standing, str]] = []
        self._keys: list[list[int]] = [[] for _ in range(MAX_URGENCY + 1)]
        self._waiting: set[Entry] = set()
        self.size = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, entry: Entry) -> bool:
        return entry in self._waiting

    def add(self, entry: Entry) -> None:
        share = self._shares.setdefault(entry.account, _Share())
        share.count += 1
        share.weight = entry.weight
        share.counts_by_urgency[entry.urgency] += 1
        heapq.heappush(share.last, _reversed_order(entry))
        if not entry.is_late:
            bisect.insort(self._keys[entry.urgency], entry.key)
        self._waiting.add(entry)
        self.size += entry.size
        self._note_standing(entry.account, share)

    def remove(self, entry: Entry) -> None:
        """Remove an entry, with ``is_late`` as it was added."""
        self._waiting.remove(entry)
        self.size -= entry.size
        if not entry.is_late:
            keys = self._keys[entry.urgency]
            del keys[bisect.bisect_left(keys, entry.key)]
        share = self._shares[entry.account]
        share.count -= 1
        share.counts_by_urgency[entry.urgency] -= 1
        if not share.count:
            del self._shares[entry.account]
            return
        if len(share.last) > 2 * share.count + MAX_REMOVED:
            share.last = [
                each for each in share.last if self._is_current(each)
            ]
            heapq.heapify(share.last)
        self._note_standing(entry.account, share)

    def _is_current(self, item: tuple[int, int, int, int, Entry]) -> bool:
        # An entry that became late was added again with another order.
        return item[4] in self._waiting and item[0] == -item[4].is_late

    def _standing(self, share: _Share) -> _Standing:
        while not self._is_current(share.last[0]):
            heapq.heappop(share.last)
        excess = max(0.0, share.count / share.weight - BACKLOG_SLACK)
        return (-excess, *share.last[0][:4])

    def _note_standing(self, account: str, share: _Share) -> None:
        heapq.heappush(self._worst, (self._standing(share), account))
        if len(self._worst) > 4 * len(self._shares) + MAX_REMOVED:
            self._worst = [
                (self._standing(each), name)
                for name, each in self._shares.items()
            ]
            heapq.heapify(self._worst)

    def last(self) -> tuple[_Standing, Entry] | None:
        """Return the entry to refuse first, with what orders it."""
        while self._worst:
            standing, account = self._worst[0]
            share = self._shares.get(account)
            if share is not None and self._standing(share) == standing:
                return standing, share.last[0][4]
            heapq.heappop(self._worst)
        return None

    def account_count(self, account: str) -> int:
        """Return how many statements of an account wait."""
        share = self._shares.get(account)
        return share.count if share is not None else 0

    def own_ahead(self, account: str, urgency: int) -> int:
        """Return how many statements of an account go before a new one."""
        share = self._shares.get(account)
        if share is None:
            return 0
        return sum(share.counts_by_urgency[: urgency + 1])

    def ahead(self, urgency: int, key: int) -> int:
        """Return how many entries in time go before a key by urgency."""
        return sum(len(each) for each in self._keys[:urgency]) + (
            bisect.bisect_left(self._keys[urgency], key)
        )


def _reversed_order(entry: Entry) -> tuple[int, int, int, int, Entry]:
    return (
        -entry.is_late,
        -entry.urgency,
        -entry.key,
        -entry.sequence,
        entry,
    )
