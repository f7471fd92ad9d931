"""Shares the descriptors of the process between its ports.

Answers crowds of idle or half-open connections on any port: some descriptors
always stay free for connections to targets, other hosts and the store.
"""

import collections

__all__ = ['DescriptorBudget']

# Descriptors that no accepted connection gets, or this part of a small limit.
MIN_FREE = 64
MIN_FREE_PART = 8


class DescriptorBudget:
    """Counts accepted connections by port; ``limit`` 0 means no limit."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._min_free = min(MIN_FREE, limit // MIN_FREE_PART)
        self._accepted_by_port: collections.Counter[str] = (
            collections.Counter()
        )
        self._other = 0

    def record_open(self, descriptors: int) -> None:
        """Record the number of all open descriptors of the process."""
        accepted = self._accepted_by_port.total()
        self._other = max(0, descriptors - accepted)

    def may_accept(self) -> bool:
        if not self._limit:
            return True
        in_use = self._other + self._accepted_by_port.total()
        return in_use < self._limit - self._min_free

    def count(self, port: str) -> int:
        return self._accepted_by_port[port]

    def add(self, port: str) -> None:
        self._accepted_by_port[port] += 1

    def remove(self, port: str) -> None:
        self._accepted_by_port[port] -= 1
