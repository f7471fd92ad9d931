"""Log positions that cover all commits acknowledged before a given time."""

import bisect

from samphirestand import types

__all__ = ['Freshness']

# Observations are kept for longer than the largest age that routes accept.
RETENTION_MS = 10_000

# An observation closer than this to the last one is dropped.
MIN_SPACING_MS = 50

# Before all positions, to search observations by their time.
_LOWEST = types.Position(-1, -1)


class Freshness:
    """Log positions that the primary reported, with the time of each request.

    An answer of the primary proves that its log held every commit that had
    been acknowledged when the request was sent.
    """

    def __init__(self) -> None:
        self._observations: list[tuple[int, types.Position]] = []

    @property
    def latest_sent_ms(self) -> int | None:
        """Return when the request of the newest observation was sent."""
        return self._observations[-1][0] if self._observations else None

    @property
    def latest(self) -> tuple[int, types.Position] | None:
        """Return the newest observation: when it was requested, and it."""
        return self._observations[-1] if self._observations else None

    def record(self, sent_ms: int, position: types.Position) -> None:
        """Record the primary's ``position`` in answer to a request.

        ``sent_ms`` is when the request was sent.
        """
        if (
            self._observations
            and self._observations[-1][1].term > position.term
        ):
            return
        # A promotion may have rolled back positions of an earlier term.
        while (
            self._observations
            and self._observations[-1][1].term < position.term
        ):
            self._observations.pop()
        if (
            self._observations
            and sent_ms - self._observations[-1][0] < MIN_SPACING_MS
        ):
            return
        self._observations.append((sent_ms, position))
        oldest = bisect.bisect_left(
            self._observations, (sent_ms - RETENTION_MS, _LOWEST)
        )
        del self._observations[:oldest]

    def minimum_position(self, needed_ms: int) -> types.Position | None:
        """Return a position that covers all commits before ``needed_ms``.

        Returns the lowest known one, so that lagging replicas are used for as
        long as the route allows. None if no observation is that new.
        """
        index = bisect.bisect_left(self._observations, (needed_ms, _LOWEST))
        return (
            self._observations[index][1]
            if index < len(self._observations)
            else None
        )
