"""How many requests a cold target may get, free of I/O.

For load that returns at once to a target that has just started, or whose zone
was out of service: its caches are empty, and all of its share would overload
it.
"""

import collections
import dataclasses
import itertools

__all__ = ['NEW_SHARE', 'ColdRules', 'Warmup', 'gateway_share']

# While a gateway moves, the earlier and the next gateway host may both send,
# and neither can know for certain that the other one doesn't: they may be cut
# off from each other. So each has at most this share of the bound at all
# times, and two gateways together never exceed it, without any message between
# them.
ESTABLISHED_SHARE = 0.5

# The share of a gateway on a host that isn't its established gateway host. A
# gateway that moves twice is on three hosts, at most one of them established.
NEW_SHARE = 0.25

# A host is established when it has been the gateway host for this long: by
# then an earlier one has learned of its claim, or found out that it is
# isolated (1.3 s), and what it sent before no longer counts.
ESTABLISHED_AFTER_MS = 3_000

# Requests sent within this time count, more than a second: delays differ from
# request to request, so more may arrive within a second than were sent in one.
WINDOW_MS = 1_200

# Requests that a statement may need: BEGIN, a preparation, itself, ROLLBACK.
# So many are kept free for each running statement.
STATEMENT_REQUESTS = 4

# A target that has warmed up gets twice as many requests each such time, until
# the bound is this multiple; then it is no longer limited.
DOUBLING_MS = 1_000
MAX_GROWTH = 8

# The bound per slot from which a target's return starts whose service has no
# bound of its own: about half of what a slot serves at 50 ms a statement.
RETURN_REQUESTS_PER_SLOT = 10


@dataclasses.dataclass(frozen=True)
class ColdRules:
    """By how much a cold target may get more than its service's rate."""

    excess: float = 1.5
    slack: float = 5.0

    def gateway_bound(
        self, rate_per_s: float, share: float = ESTABLISHED_SHARE
    ) -> int:
        """Return how many requests a second one gateway may send; 0 if any.

        ``share`` is its part of what all gateways may send together.
        """
        if rate_per_s <= 0:
            return 0
        bound = rate_per_s * self.excess + self.slack
        return max(1, int(bound * share))


def gateway_share(owner_for_ms: int | None) -> float:
    """Return a gateway's share of the bound of a cold target.

    For gateways that move twice within a second, as in a rolling stop.
    ``owner_for_ms`` tells how long this host has been the gateway host; None
    if it isn't, or is cut off from the fleet.
    """
    if owner_for_ms is None or owner_for_ms < ESTABLISHED_AFTER_MS:
        return NEW_SHARE
    return ESTABLISHED_SHARE


class Warmup:
    """The requests that one gateway has sent to one target, and their bound.

    The bound is constant while the target is cold, doubles each second when it
    has warmed up, and ends soon after. Times are in ms of the caller's clock.
    """

    def __init__(self) -> None:
        self.bound = 0  # 0 while there is none
        self._warm_ms = 0  # the target is cold until then
        # Whether only the end of a connection tells that it may be cold.
        self._is_suspected = False
        self._sent: collections.deque[tuple[int, int]] = collections.deque()
        self._sent_count = 0

    def begin(self, bound: int, warm_ms: int) -> None:
        """Limit a target that is cold until ``warm_ms``.

        Nothing changes with a bound or a time of 0, or if it is cold longer.
        """
        if bound > 0 and warm_ms > 0 and warm_ms >= self._warm_ms:
            self.bound, self._warm_ms = bound, warm_ms
            self._is_suspected = False

    def suspect(self, bound: int, warm_ms: int, now_ms: int) -> None:
        """Limit a target until ``warm_ms`` because it may have restarted."""
        was_limited = self.limit(now_ms) is not None and not self._is_suspected
        self.begin(bound, warm_ms)
        self._is_suspected = self.bound > 0 and not was_limited

    def clear_suspicion(self) -> None:
        """End the limit of a target that has not restarted after all."""
        if self._is_suspected:
            self._is_suspected = False
            self._end()

    def set_bound(self, bound: int) -> None:
        """Adopt a bound that operators have changed while a target is cold."""
        if self.bound > 0:
            self.bound = bound

    def limit(self, now_ms: int) -> int | None:
        """Return the bound for a second; None if there is none."""
        if self.bound <= 0:
            return None
        warm_for_ms = max(0, now_ms - self._warm_ms)
        growth = 2.0 ** min(warm_for_ms / DOUBLING_MS, MAX_GROWTH)
        return int(self.bound * growth) if growth < MAX_GROWTH else None

    def may_start(self, now_ms: int, running_count: int) -> bool:
        """Tell whether one more statement may start beside the running ones.

        Those have not sent all of their requests yet.
        """
        limit = self.limit(now_ms)
        if limit is None:
            return True
        kept = STATEMENT_REQUESTS * (running_count + 1)
        if not running_count:
            kept = min(kept, limit)
        return self._recent_count(now_ms) + kept <= limit

    def may_send(self, now_ms: int, count: int) -> bool:
        """Tell whether ``count`` requests may be sent now."""
        limit = self.limit(now_ms)
        return limit is None or self._recent_count(now_ms) + count <= limit

    def record(self, now_ms: int, count: int) -> None:
        """Record requests that are sent now."""
        if self.bound <= 0:
            return
        if self.limit(now_ms) is None:
            self._end()
            return
        self._sent.append((now_ms, count))
        self._sent_count += count
        while self._sent[0][0] <= now_ms - WINDOW_MS:
            self._sent_count -= self._sent.popleft()[1]

    def _end(self) -> None:
        self.bound = 0
        self._sent.clear()
        self._sent_count = 0

    def _recent_count(self, now_ms: int) -> int:
        """Return how many requests count now.

        The older ones are removed when the next request is recorded.
        """
        expired = itertools.takewhile(
            lambda each: each[0] <= now_ms - WINDOW_MS, self._sent
        )
        return self._sent_count - sum(count for _, count in expired)
