"""Metrics: counters, gauges and latency percentiles."""

import collections
from typing import Any

from hdrh import histogram

# The histograms hold latencies from 1 us to 60 s with two significant digits;
# all histograms of a host together take about 0.2 MB.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Metrics:
    """Counters, gauges and latency histograms of one process, by name."""

    def __init__(self) -> None:
        self._counters_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._gauges_by_name: dict[str, float] = {}
        self._histograms_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._counters_by_name[name] += amount

    def count_sized(self, name: str, size_name: str, size: int) -> None:
        """Add one to a counter, and ``size`` to another.

        For each frame between hosts, which are most of what an idle host does.
        """
        counters = self._counters_by_name
        counters[name] += 1
        counters[size_name] += size

    def counter(self, name: str) -> int:
        """Return the value of the counter ``name``, 0 if it doesn't exist."""
        return self._counters_by_name[name]

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to its present value."""
        self._gauges_by_name[name] = value

    def gauge(self, name: str) -> float:
        """Return the value of the gauge ``name``, 0 if it doesn't exist."""
        return self._gauges_by_name.get(name, 0)

    def remove_gauge(self, name: str) -> None:
        """Remove the gauge ``name`` of something that no longer exists."""
        self._gauges_by_name.pop(name, None)

    def record(self, name: str, duration_us: int) -> None:
        """Add a duration in microseconds to the histogram ``name``.

        A duration outside the range of the histogram is clamped to it.
        """
        if name not in self._histograms_by_name:
            self._histograms_by_name[name] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        value = min(max(duration_us, LOWEST_US), HIGHEST_US)
        self._histograms_by_name[name].record_value(value)

    def snapshot(self) -> dict[str, Any]:
        """Return gauges, counters and percentiles (in us) for JSON."""
        return {
            'counters': dict(sorted(self._counters_by_name.items())),
            'gauges': dict(sorted(self._gauges_by_name.items())),
            'latencies_us': {
                name: {
                    'count': latencies.get_total_count(),
                    **{
                        f'p{percent:g}': latencies.get_value_at_percentile(
                            percent
                        )
                        for percent in PERCENTILES
                    },
                }
                for name, latencies in sorted(self._histograms_by_name.items())
            },
        }
