"""Log positions that cover all commits acknowledged before a moment."""

import bisect

from samphirestand import types

__all__ = ['Freshness']

# Evidence is kept for longer than the largest age that routes accept.
KEPT_MS = 10_000

# Evidence closer together than this is thinned out.
SPACING_MS = 50


class Freshness:
    """Positions at which the primary was seen to lead.

    An answer of the primary proves that its log held every commit that had
    been acknowledged when the question was sent.
    """

    def __init__(self) -> None:
        self._seen: list[tuple[int, types.Position]] = []

    @property
    def latest_ms(self) -> int | None:
        """Return when the newest evidence was asked for."""
        return self._seen[-1][0] if self._seen else None

    def record(self, sent_ms: int, position: types.Position) -> None:
        """Note that the primary led at ``position`` after ``sent_ms``."""
        if self._seen and self._seen[-1][1].term > position.term:
            return
        # Positions of an earlier term may have been rolled back.
        while self._seen and self._seen[-1][1].term < position.term:
            self._seen.pop()
        if self._seen and sent_ms - self._seen[-1][0] < SPACING_MS:
            return
        self._seen.append((sent_ms, position))
        oldest = bisect.bisect_left(self._seen, sent_ms - KEPT_MS, key=_moment)
        del self._seen[:oldest]

    def floor(self, needed_ms: int) -> types.Position | None:
        """Return a position that covers all commits before ``needed_ms``.

        The lowest one that is known, so that replicas which lag are used as
        long as the route allows. None if there is no evidence that new.
        """
        index = bisect.bisect_left(self._seen, needed_ms, key=_moment)
        return self._seen[index][1] if index < len(self._seen) else None


def _moment(seen: tuple[int, types.Position]) -> int:
    return seen[0]
