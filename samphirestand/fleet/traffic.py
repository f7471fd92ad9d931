"""Counts the frames and bytes between hosts by kind and direction.

For a fleet that starts or is killed as a whole, and for a new configuration:
control traffic then comes in bursts, and which kind of frame makes them can't
be told from the bytes of the sockets.
"""

import functools

from samphirestand.fleet import frames
from samphirestand import metrics as metrics_module

__all__ = ['FrameCounters']


class FrameCounters:
    """Counts what a host sends to other hosts and receives from them."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    def count_sent(self, frame: frames.Frame, size: int) -> None:
        self._count('sent', type(frame).__name__, size)

    def count_received(self, frame: frames.Frame, size: int) -> None:
        self._count('received', type(frame).__name__, size)

    def count_rejected(self, size: int) -> None:
        """Count a frame that was refused, whatever its kind."""
        self._count('received', 'rejected', size)

    def _count(self, direction: str, kind: str, size: int) -> None:
        frames_name, bytes_name = _counter_names(direction, kind)
        self._metrics.count(frames_name)
        self._metrics.count(bytes_name, size)


@functools.cache
def _counter_names(direction: str, kind: str) -> tuple[str, str]:
    """Return the names of two counters; there are few kinds of frames."""
    return f'peer_frames_{direction}_{kind}', f'peer_bytes_{direction}_{kind}'
