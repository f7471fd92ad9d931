"""Published limit algorithms, to compare with the product's in replays.

Both use the product's own scale, times as multiples of the usual ones of
their kind, so that only the rules differ.
"""

import math

from samphirestand.gateway import concurrency

__all__ = ['LIMITS_BY_NAME']


class _SampleLimit(concurrency.ConcurrencyLimit):
    """A limit that changes with each sample."""

    estimate = math.inf

    @property
    def limit(self) -> int:
        return max(1, min(self.slots, int(min(self.estimate, self.slots))))

    def record(
        self,
        kind: concurrency.StatementKind,
        concurrency: float,
        took_ms: float,
    ) -> None:
        self.estimate = min(self.estimate, self.slots)
        log_ratio = self._kind_times.compare(
            kind, took_ms, is_calm=concurrency <= (self.slots + 1) // 2
        )
        if log_ratio is not None:
            changed = self.change(math.exp(log_ratio), concurrency)
            self.estimate = min(max(1.0, changed), self.slots)

    def change(self, ratio: float, concurrency: float) -> float:
        """Return the new estimate after a sample."""
        raise NotImplementedError

    def review(self) -> None:
        """Do nothing: samples change the limit."""


class GradientLimit(_SampleLimit):
    """A latency gradient: a long average over a short one."""

    TOLERANCE = 1.5
    QUEUE = 1.0
    LONG_SMOOTHING = 1 / 600
    SHORT_SMOOTHING = 0.1
    SMOOTHING = 0.2

    long = 1.0
    short = 1.0

    def change(self, ratio: float, concurrency: float) -> float:
        self.long += self.LONG_SMOOTHING * (ratio - self.long)
        self.short += self.SHORT_SMOOTHING * (ratio - self.short)
        gradient = min(1.0, max(0.5, self.TOLERANCE * self.long / self.short))
        if gradient == 1.0 and concurrency < self.estimate / 2:
            return self.estimate
        goal = self.estimate * gradient + self.QUEUE
        return self.estimate + self.SMOOTHING * (goal - self.estimate)


class AimdLimit(_SampleLimit):
    """Additive increase; multiplicative decrease after a slow statement."""

    SLOW_RATIO = 3.0
    DECREASE = 0.9

    def change(self, ratio: float, concurrency: float) -> float:
        if ratio > self.SLOW_RATIO:
            return self.estimate * self.DECREASE
        if concurrency < self.estimate / 2:
            return self.estimate
        return self.estimate + 1 / self.estimate


LIMITS_BY_NAME = {
    'curves': concurrency.ConcurrencyLimit,
    'gradient': GradientLimit,
    'aimd': AimdLimit,
}
