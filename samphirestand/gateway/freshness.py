"""Log positions that cover all commits acknowledged before a moment."""

import bisect

from samphirestand import types

__all__ = ['Freshness']

# Evidence is kept for longer than the largest age that routes accept.
RETENTION_MS = 10_000

# Evidence closer together than this is thinned out.
MIN_SPACING_MS = 50


class Freshness:
    """Positions at which the primary was seen to lead.

    An answer of the primary proves that its log held every commit that had
    been acknowledged when the question was sent.
    """

    def __init__(self) -> None:
        self._observations: list[tuple[int, types.Position]] = []

    @property
    def latest_sent_ms(self) -> int | None:
        """Return when the newest evidence was asked for."""
        return self._observations[-1][0] if self._observations else None

    def record(self, sent_ms: int, position: types.Position) -> None:
        """Note that the primary led at ``position`` after ``sent_ms``."""
        if (
            self._observations
            and self._observations[-1][1].term > position.term
        ):
            return
        # Positions of an earlier term may have been rolled back.
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
            self._observations,
            sent_ms - RETENTION_MS,
            key=_observation_sent_ms,
        )
        del self._observations[:oldest]

    def minimum_position(self, needed_ms: int) -> types.Position | None:
        """Return a position that covers all commits before ``needed_ms``.

        The lowest one that is known, so that replicas which lag are used as
        long as the route allows. None if there is no evidence that new.
        """
        index = bisect.bisect_left(
            self._observations, needed_ms, key=_observation_sent_ms
        )
        return (
            self._observations[index][1]
            if index < len(self._observations)
            else None
        )


def _observation_sent_ms(observation: tuple[int, types.Position]) -> int:
    return observation[0]
