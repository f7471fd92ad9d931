"""Logging: JSON lines on standard output, written by structlog."""

import collections
import logging
import os
import sys
import time
from typing import Any

import structlog

# Lines above this rate are dropped; the next line that is written is preceded
# by their count. A host at full load handles about 700 statements a second,
# and up to a tenth of them may fail.
MAX_LINES_PER_S = 200

# Limit of the bytes buffered while the reader of the stream is too slow; once
# it is exceeded, new lines are dropped.
MAX_BUFFERED_BYTES = 262_144


class BoundedWriter:
    """Writes lines to a file descriptor without blocking.

    Used as a structlog logger: each level is a method that takes a line.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or count it as dropped if a limit is exceeded."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        if (
            self._lines_this_second >= MAX_LINES_PER_S
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        self._lines_this_second += 1
        if self.dropped:
            note = f'{{"event": "lines_dropped", "count": {self.dropped}}}\n'
            self.dropped = 0
            self._enqueue(note.encode())
        self._enqueue(line.encode(errors='replace') + b'\n')
        self._flush()

    debug = info = warning = error = critical = exception = msg

    def _enqueue(self, data: bytes) -> None:
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _flush(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error can't be reported anywhere.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def configure(host_id: str, level: str = 'info') -> None:
    """Log to standard output as JSON lines with ``host_id`` in each."""
    writer = BoundedWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=lambda *arguments: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host_id)


def silence() -> None:
    """Log only errors, for replays and benchmarks."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def get_logger(name: str) -> Any:
    """Return a logger that adds ``module=name`` to each line."""
    return structlog.get_logger(module=name)
