"""Counts and logs what limits on clients have refused or closed."""

import collections

from samphirestand import clock as clock_module
from samphirestand import log
from samphirestand import metrics as metrics_module

__all__ = ['LimitEvents']

# A crowd can meet limits thousands of times in a second; one line for each
# reason says how often.
LOG_INTERVAL_MS = 1_000

_log = log.get_logger(__name__)


class LimitEvents:
    """Counts at once, and logs each reason at most once in an interval."""

    def __init__(
        self, metrics: metrics_module.Metrics, clock: clock_module.Clock
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._logged_ms = 0

    def record(self, event: str, reason: str) -> None:
        self._metrics.count(event)
        self._metrics.count(f'{event}_{reason}')
        self._counts[event, reason] += 1

    def flush(self, held_bytes: int, sessions: int) -> None:
        """Log the counts of the last interval, if there are any."""
        now = self._clock.now()
        if not self._counts or now - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now
        for (event, reason), count in sorted(self._counts.items()):
            _log.warning(
                event,
                reason=reason,
                count=count,
                held_bytes=held_bytes,
                sessions=sessions,
            )
        self._counts.clear()
