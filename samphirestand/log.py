"""Logging: structlog JSON lines on the standard output stream."""

import collections
import logging
import os
import sys
import time
from typing import Any

import structlog

# Lines that are written in one second; what goes beyond is counted and the
# count is written with the next line. A host under full load handles about
# 700 statements a second, of which a tenth fail on a bad day.
MAX_LINES_PER_S = 200

# Bytes that wait for a reader which doesn't keep up; more lines are dropped.
MAX_WAITING_BYTES = 262_144


class BoundedWriter:
    """Writes lines without ever waiting for the reader.

    Used as a structlog logger: each level is a method that takes a line.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        if (
            self._lines >= MAX_LINES_PER_S
            or self._waiting_bytes > MAX_WAITING_BYTES
        ):
            self.dropped += 1
            return
        self._lines += 1
        if self.dropped:
            note = f'{{"event": "lines_dropped", "count": {self.dropped}}}\n'
            self.dropped = 0
            self._add(note.encode())
        self._add(line.encode(errors='replace') + b'\n')
        self._flush()

    debug = info = warning = error = critical = exception = msg

    def _add(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def _flush(self) -> None:
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place to report it.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()


def configure(host_id: str, level: str = 'info') -> None:
    """Write JSON lines that name ``host_id`` to the standard output."""
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
    """Write nothing below the level of errors, for replays and measures."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def get_logger(name: str) -> Any:
    """Return a logger whose lines carry the module's ``name``."""
    return structlog.get_logger(module=name)
