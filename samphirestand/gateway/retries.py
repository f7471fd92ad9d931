"""When refused callers should come back, and how often a gateway retries.

Decisions free of I/O, for overload that lasts for seconds with callers that
retry: each retry that is served takes the slot of new work that could still
be in time, so retries are spread and may add only a small part to the load.
"""

import collections
import itertools

from samphirestand.gateway import fair_queue

__all__ = ['RetryBudget', 'RetrySchedule', 'WindowCounter']

# Retries are this share of the statements of the last seconds at the most:
# the load that they add to an overload.
RETRY_SHARE = 0.1

# A gateway may retry this often in a window however little it has served: one
# that is new, or whose targets fail, must be able to try others.
MIN_RETRIES = 10

WINDOW_MS = 5_000
WINDOW_BUCKETS = 10

# The rate at which statements end is that of the last two seconds: long enough
# to count some hundred, short enough to follow a target that fails.
DRAIN_WINDOW_MS = 2_000

# Callers are told to come back within periods of this length, in each of which
# as many return as may be served.
PERIOD_MS = 50

# A caller returns no sooner, so that a refusal costs less than its statement.
MIN_RETRY_MS = 40


class WindowCounter:
    """Counts events of the last ``window_ms``."""

    def __init__(self, now: int, window_ms: int) -> None:
        self._started_ms = now
        self._bucket_ms = window_ms // WINDOW_BUCKETS
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0

    def add(self, now: int) -> None:
        number = now // self._bucket_ms
        self._total += 1
        if self._buckets and self._buckets[-1][0] == number:
            self._buckets[-1] = (number, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((number, 1))
        oldest = number - WINDOW_BUCKETS
        while self._buckets[0][0] <= oldest:
            self._total -= self._buckets.popleft()[1]

    def count(self, now: int) -> int:
        oldest = now // self._bucket_ms - WINDOW_BUCKETS
        expired = itertools.takewhile(
            lambda each: each[0] <= oldest, self._buckets
        )
        return self._total - sum(count for _, count in expired)

    def rate_per_ms(self, now: int) -> float:
        """Return how many events a millisecond had on average."""
        # The newest of the counted buckets isn't over yet.
        counted_from_ms = (
            now // self._bucket_ms - WINDOW_BUCKETS + 1
        ) * self._bucket_ms
        elapsed_ms = max(
            now - max(self._started_ms, counted_from_ms), self._bucket_ms
        )
        return self.count(now) / elapsed_ms


class RetryBudget:
    """Bounds the attempts of a gateway that repeat earlier ones.

    For targets that fail or refuse under overload: if every statement were
    tried up to the limit of attempts, the load would be a multiple. A new
    gateway starts with ``MIN_RETRIES``.
    """

    def __init__(self, now: int) -> None:
        self._statements = WindowCounter(now, WINDOW_MS)
        self._retries = WindowCounter(now, WINDOW_MS)

    def record_statement(self, now: int) -> None:
        self._statements.add(now)

    def take(self, now: int) -> bool:
        """Take one retry; return whether it is allowed."""
        allowed_count = max(
            MIN_RETRIES, int(self._statements.count(now) * RETRY_SHARE)
        )
        if self._retries.count(now) >= allowed_count:
            return False
        self._retries.add(now)
        return True


class RetrySchedule:
    """Tells refused callers when to come back, by what drains.

    For overload that lasts: a caller comes back when what goes before it will
    have been served, at a time at which no more than ``RETRY_SHARE`` of the
    statements that end are retries of its urgency or a more urgent one.
    Earlier refusals have earlier times. A caller for which there is no such
    time before its deadline gets none.
    """

    def __init__(self, now: int) -> None:
        self._served = WindowCounter(now, DRAIN_WINDOW_MS)
        # Promised returns by period and urgency, and the period until which
        # there is no room for an urgency.
        self._promised: dict[int, list[int]] = {}
        self._oldest = now // PERIOD_MS
        self._full_until = [0] * (fair_queue.MAX_URGENCY + 1)

    def record_served(self, now: int) -> None:
        self._served.add(now)

    def drain_ms(self, now: int, count: int, expected_ms: float) -> float:
        """Return how long ``count`` statements take, as lately measured.

        That is ``expected_ms`` if none was served lately.
        """
        rate = self._served.rate_per_ms(now)
        return count / rate if rate else expected_ms

    def plan(
        self,
        now: int,
        urgency: int,
        wait_ms: float,
        latest_ms: float,
        fraction: float,
    ) -> int:
        """Return in how many ms a caller should retry; 0 if it should not.

        It comes back after ``wait_ms`` and before ``latest_ms``; ``fraction``
        from 0 to 1 spreads the callers of a period.
        """
        self._forget_before(now // PERIOD_MS)
        earliest = self._earliest_period(now, wait_ms)
        end = int((now + latest_ms) // PERIOD_MS)
        found = self._find_period(now, urgency, earliest, end)
        full_until = self._full_until[urgency]
        if earliest <= full_until < found:
            self._full_until[urgency] = found
        if found >= end:
            return 0
        self._promised.setdefault(found, [0] * (fair_queue.MAX_URGENCY + 1))[
            urgency
        ] += 1
        return int((found + fraction) * PERIOD_MS) - now

    def preview(
        self,
        now: int,
        urgency: int,
        wait_ms: float,
        latest_ms: float,
        fraction: float,
    ) -> int:
        """Return what ``plan`` would return, without promising it."""
        end = int((now + latest_ms) // PERIOD_MS)
        found = self._find_period(
            now, urgency, self._earliest_period(now, wait_ms), end
        )
        return int((found + fraction) * PERIOD_MS) - now if found < end else 0

    def _earliest_period(self, now: int, wait_ms: float) -> int:
        return int((now + max(wait_ms, MIN_RETRY_MS)) // PERIOD_MS) + 1

    def _find_period(
        self, now: int, urgency: int, earliest: int, end: int
    ) -> int:
        """Return the first period with room; ``end`` if none has.

        The last period must end before the deadline.
        """
        capacity = max(
            1.0, self._served.rate_per_ms(now) * PERIOD_MS * RETRY_SHARE
        )
        for period in range(max(earliest, self._full_until[urgency]), end):
            promised = self._promised.get(period, [])
            if sum(promised[: urgency + 1]) < capacity:
                return period
        return end

    def _forget_before(self, period: int) -> None:
        if period == self._oldest:
            return
        self._oldest = period
        for each in [each for each in self._promised if each < period]:
            del self._promised[each]
