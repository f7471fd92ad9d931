"""Age of a replica's data, measured with this host's clock only."""

import collections
import dataclasses

from samphirestand import types

# At one position every 250 ms, these cover 64 s, which is as long as the
# longest deadline.
MAX_PRIMARY_POSITIONS = 256


@dataclasses.dataclass(frozen=True)
class _PrimaryPosition:
    asked_at: int
    position: types.Position
    term: int


class ReplicaAges:
    """Recent positions of the primary and the times of their requests."""

    def __init__(self) -> None:
        self._primary_positions: collections.deque[_PrimaryPosition] = (
            collections.deque(maxlen=MAX_PRIMARY_POSITIONS)
        )

    def record_primary(
        self, primary: types.TargetState, asked_at: int
    ) -> None:
        """Record the primary's answer to a request sent at ``asked_at``."""
        self._primary_positions.append(
            _PrimaryPosition(asked_at, primary.position, primary.term)
        )

    def age_ms(self, replica: types.TargetState, now: int) -> int | None:
        """Return an upper bound of the replica's age; None if unknown.

        Counts from the latest status request to the primary whose answered
        position the replica's log contains, in the same term.
        """
        for observed in reversed(self._primary_positions):
            if observed.term != replica.term:
                continue
            if replica.history.contains(observed.position):
                return now - observed.asked_at
        return None
