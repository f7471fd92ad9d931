"""An estimate of the recent demand of an account on this host."""

import math

TIME_CONSTANT_MS = 500


class Demand:
    """An exponentially weighted rate of requests."""

    def __init__(self, now: int) -> None:
        self._weight = 0.0
        self._noted_ms = now

    def note(self, now: int) -> None:
        """Count one request."""
        self._decay(now)
        self._weight += 1.0

    def per_second(self, now: int) -> float:
        """Return the estimated requests a second."""
        self._decay(now)
        return self._weight * 1_000 / TIME_CONSTANT_MS

    def _decay(self, now: int) -> None:
        elapsed_ms = now - self._noted_ms
        if elapsed_ms > 0:
            self._weight *= math.exp(-elapsed_ms / TIME_CONSTANT_MS)
            self._noted_ms = now
