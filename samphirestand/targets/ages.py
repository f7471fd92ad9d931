"""Age of a replica's data on this host's clock alone."""

import collections
import dataclasses

from samphirestand import types

# At one position each 250 ms these reach back 64 s, which is as long as the
# longest deadline.
KEPT_POSITIONS = 256


@dataclasses.dataclass(frozen=True)
class _Known:
    asked_at: int
    position: types.Position
    term: int


class Ages:
    """Positions of the primary with the instants at which it was asked."""

    def __init__(self) -> None:
        self._known: collections.deque[_Known] = collections.deque(
            maxlen=KEPT_POSITIONS
        )

    def note(self, primary: types.TargetState, asked: int) -> None:
        """Keep the state of a primary that was asked at ``asked``."""
        self._known.append(_Known(asked, primary.position, primary.term))

    def age_ms(self, replica: types.TargetState, now: int) -> int | None:
        """Return how old the replica's data is at most; None if unknown.

        Counts from the last question to the primary whose answer the
        replica's log holds in the primary's term.
        """
        for known in reversed(self._known):
            if known.term != replica.term:
                continue
            if replica.history.contains(known.position):
                return now - known.asked_at
        return None
