"""Circuit breaker of a target, and the budget for retries."""

import random

from samphirestand import clock as clock_module

FAILURES_TO_OPEN = 5
INITIAL_BACK_OFF_MS = 100
MAX_BACK_OFF_MS = 5_000

BUDGET_WINDOW_MS = 10_000
RETRIES_PER_WINDOW = 10
REQUESTS_PER_RETRY = 10


class CircuitBreaker:
    """Opens after consecutive connection failures.

    While it is open, one attempt is allowed after each back-off. The
    back-off doubles up to ``MAX_BACK_OFF_MS`` and has full jitter.
    """

    def __init__(self, clock: clock_module.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._consecutive_failures = 0
        self._next_attempt_at = 0

    @property
    def is_open(self) -> bool:
        return self._consecutive_failures >= FAILURES_TO_OPEN

    def remaining_back_off_ms(self) -> int:
        """Return the time until the next allowed attempt; 0 if allowed now."""
        if not self.is_open:
            return 0
        return max(0, self._next_attempt_at - self._clock.now())

    def allow_attempt(self) -> bool:
        """Tell whether to connect now.

        For an open breaker this starts the next back-off.
        """
        if self.remaining_back_off_ms():
            return False
        if self.is_open:
            self._schedule_attempt()
        return True

    def record_success(self) -> None:
        """Close the breaker after a connection was opened."""
        self._consecutive_failures = 0

    def record_failure(self) -> None:
        """Count a connection that couldn't be opened."""
        self._consecutive_failures += 1
        if self.is_open:
            self._schedule_attempt()

    def _schedule_attempt(self) -> None:
        doublings = min(self._consecutive_failures - FAILURES_TO_OPEN, 10)
        max_delay_ms = min(MAX_BACK_OFF_MS, INITIAL_BACK_OFF_MS << doublings)
        self._next_attempt_at = self._clock.now() + self._rng.randint(
            1, max_delay_ms
        )


class RetryBudget:
    """Limits retries to 10 plus 10% of the requests of a window.

    Counts start anew every 10 s, so that requests of a long quiet period
    don't allow a burst of retries.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._window_number = -1
        self._requests = 0
        self._retries = 0

    def count_request(self) -> None:
        """Count a first attempt."""
        self._reset_if_window_ended()
        self._requests += 1

    def take_retry(self) -> bool:
        """Use one retry; false when the budget of this window is spent."""
        self._reset_if_window_ended()
        allowed = RETRIES_PER_WINDOW + self._requests // REQUESTS_PER_RETRY
        if self._retries >= allowed:
            return False
        self._retries += 1
        return True

    def _reset_if_window_ended(self) -> None:
        window_number = self._clock.now() // BUDGET_WINDOW_MS
        if window_number != self._window_number:
            self._window_number = window_number
            self._requests = 0
            self._retries = 0
