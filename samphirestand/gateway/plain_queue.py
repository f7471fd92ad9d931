"""Order of waiting statements by their keys alone, without fair shares.

Pure data structures without input and output, with the operations of
``fair_queue``. For deployments in which accounts don't compete for capacity:
there the order between accounts is no use, and its upkeep had cost more than
the rest of the gateway's work for a statement.
"""

import bisect
import heapq

from samphirestand.gateway import fair_queue

__all__ = ['KeyRanks', 'PlainQueue']


class PlainQueue:
    """Waiting entries in the order of their keys.

    They are in one heap for each set of targets that may run them. Removed
    entries stay in their heap until they are on top or outnumber the others.
    """

    def __init__(self) -> None:
        self._heaps: dict[
            frozenset[str], list[tuple[int, int, fair_queue.Entry]]
        ] = {}
        self._blocked: set[fair_queue.Entry] = set()
        self._count = 0
        self._removed_count = 0
        self.examined_count = 0  # entries of heaps looked at, for tests

    def __len__(self) -> int:
        return self._count

    @property
    def blocked_count(self) -> int:
        return len(self._blocked)

    def total_weight(self, resource: str) -> int:
        """Return 0: accounts aren't counted here."""
        return 0

    def push(self, entry: fair_queue.Entry) -> None:
        """Add an entry."""
        entry.queue = self
        entry.allowed = entry.resources
        self._count += 1
        self._add(entry)

    def _add(self, entry: fair_queue.Entry) -> None:
        heap = self._heaps.get(entry.allowed)
        if heap is None:
            heap = self._heaps[entry.allowed] = []
        heapq.heappush(heap, (entry.key, entry.sequence, entry))

    def remove(self, entry: fair_queue.Entry) -> None:
        """Remove a waiting entry."""
        entry.queue = None
        self._blocked.discard(entry)
        self._count -= 1
        self._note_removed()

    def take(self, entry: fair_queue.Entry, name: str) -> None:
        """Remove an entry that is served by a resource."""
        self.remove(entry)

    def _note_removed(self) -> None:
        self._removed_count += 1
        if not self._count:
            self._heaps.clear()
            self._removed_count = 0
        elif self._removed_count > self._count + fair_queue.MAX_REMOVED:
            self._compact()

    def _compact(self) -> None:
        """Drop removed entries from the heaps."""
        self._removed_count = 0
        # An entry that was blocked and offered again may be there twice.
        entries = {
            entry
            for allowed, heap in self._heaps.items()
            for _, _, entry in heap
            if entry.queue is self and entry.allowed == allowed
        }
        self._heaps.clear()
        for each in entries:
            self._add(each)

    def best(self, name: str) -> fair_queue.Entry | None:
        """Return the entry that goes next on a resource; None without one."""
        first: tuple[int, int, fair_queue.Entry] | None = None
        for allowed in [each for each in self._heaps if name in each]:
            heap = self._heaps[allowed]
            while heap:
                self.examined_count += 1
                entry = heap[0][2]
                if entry.queue is self and entry.allowed == allowed:
                    if first is None or heap[0] < first:
                        first = heap[0]
                    break
                heapq.heappop(heap)
                self._removed_count -= 1
            if not heap:
                del self._heaps[allowed]
        return first[2] if first is not None else None

    def block(self, entry: fair_queue.Entry, names: frozenset[str]) -> None:
        """Don't offer an entry to resources that can't run it now."""
        entry.allowed -= names
        self._add(entry)
        self._blocked.add(entry)
        self._note_removed()  # from its former heap

    def unblock(self) -> None:
        """Offer all entries to all of their resources again."""
        blocked, self._blocked = self._blocked, set()
        for entry in blocked:
            entry.allowed = entry.resources
            self._add(entry)
            self._note_removed()


class KeyRanks:
    """The keys of what waits and can still be in time, to rank a new one.

    As ``fair_queue.Backlog``, for work of one urgency and one account.
    """

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, entry: fair_queue.Entry) -> None:
        self._count += 1
        if not entry.is_late:
            bisect.insort(self._keys, entry.key)

    def remove(self, entry: fair_queue.Entry) -> None:
        """Remove an entry, with ``is_late`` as it was added."""
        self._count -= 1
        if not entry.is_late:
            del self._keys[bisect.bisect_left(self._keys, entry.key)]

    def ahead(self, urgency: int, key: int) -> int:
        """Return how many entries in time go before a key."""
        return bisect.bisect_left(self._keys, key)

    def own_ahead(self, account: str, urgency: int) -> int:
        """Return 0: accounts aren't counted here."""
        return 0

    def account_count(self, account: str) -> int:
        """Return 0: accounts aren't counted here."""
        return 0

    def last(self) -> None:
        """Return None: newcomers are refused, not what waits."""
