"""Counts the frames and bytes between hosts by kind and direction.

For a fleet that starts or is killed as a whole, and for a new configuration:
control traffic then comes in bursts, and which kind of frame makes them can't
be told from the bytes of the sockets.
"""

import functools

from samphirestand import clock as clock_module
from samphirestand.fleet import frames
from samphirestand import log
from samphirestand import metrics as metrics_module

__all__ = ['FrameCounters']

# A peer that sends illegal frames may connect again at once. One line in this
# time is logged, with the number of those that were left out.
REJECTION_LOG_INTERVAL_MS = 1_000

_log = log.get_logger(__name__)


class FrameCounters:
    """Counts what a host sends to other hosts and receives from them."""

    def __init__(
        self, metrics: metrics_module.Metrics, clock: clock_module.Clock
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._next_log_ms = 0
        self._unlogged_count = 0

    def count_sent(self, frame: frames.Frame, size: int) -> None:
        self._metrics.count_sized(
            *_counter_names('sent', type(frame).__name__), size
        )

    def count_received(self, frame: frames.Frame, size: int) -> None:
        self._metrics.count_sized(
            *_counter_names('received', type(frame).__name__), size
        )

    def note_rejection(self, peer: str, reason: str, size: int) -> None:
        """Count and log a frame that was refused, whatever its kind."""
        self._metrics.count_sized(
            *_counter_names('received', 'rejected'), size
        )
        now = self._clock.now()
        if now < self._next_log_ms:
            self._unlogged_count += 1
            return
        _log.warning(
            'peer_frame_rejected',
            peer=peer,
            reason=reason,
            unlogged=self._unlogged_count,
        )
        self._next_log_ms = now + REJECTION_LOG_INTERVAL_MS
        self._unlogged_count = 0


@functools.cache
def _counter_names(direction: str, kind: str) -> tuple[str, str]:
    """Return the names of two counters; there are few kinds of frames."""
    return f'peer_frames_{direction}_{kind}', f'peer_bytes_{direction}_{kind}'
