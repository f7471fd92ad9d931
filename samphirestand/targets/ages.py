"""Age of a replica's data on this host's clock alone."""

import collections
import dataclasses

from samphirestand import types

# At one position each 250 ms these reach back 64 s, which is as long as the
# longest deadline.
MAX_PRIMARY_POSITIONS = 256


@dataclasses.dataclass(frozen=True)
class _PrimaryPosition:
    asked_at: int
    position: types.Position
    term: int


class ReplicaAges:
    """Positions of the primary with the instants at which it was asked."""

    def __init__(self) -> None:
        self._primary_positions: collections.deque[_PrimaryPosition] = (
            collections.deque(maxlen=MAX_PRIMARY_POSITIONS)
        )

    def record_primary(
        self, primary: types.TargetState, asked_at: int
    ) -> None:
        """Keep the state of a primary that was asked at ``asked``."""
        self._primary_positions.append(
            _PrimaryPosition(asked_at, primary.position, primary.term)
        )

    def age_ms(self, replica: types.TargetState, now: int) -> int | None:
        """Return how old the replica's data is at most; None if unknown.

        Counts from the last question to the primary whose answer the
        replica's log holds in the primary's term.
        """
        for observed in reversed(self._primary_positions):
            if observed.term != replica.term:
                continue
            if replica.history.contains(observed.position):
                return now - observed.asked_at
        return None
