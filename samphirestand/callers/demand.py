"""An estimate of an account's recent rate of requests on this host."""

import math

TIME_CONSTANT_MS = 500


class RequestRate:
    """A rate of requests that decays exponentially over time."""

    def __init__(self, now: int) -> None:
        self._decayed_count = 0.0
        self._updated_ms = now

    def record_request(self, now: int) -> None:
        """Count one request."""
        self._decay(now)
        self._decayed_count += 1.0

    def requests_per_second(self, now: int) -> float:
        """Return the estimated requests per second."""
        self._decay(now)
        return self._decayed_count * 1_000 / TIME_CONSTANT_MS

    def _decay(self, now: int) -> None:
        elapsed_ms = now - self._updated_ms
        if elapsed_ms > 0:
            self._decayed_count *= math.exp(-elapsed_ms / TIME_CONSTANT_MS)
            self._updated_ms = now
