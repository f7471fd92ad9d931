"""Logging: JSON lines on standard output, written by structlog.

Lines about requests and lines about what the process believes (primaries,
tokens, hosts, configurations, its own life) have separate budgets: a flood of
refusals must not displace the lines that explain it.
"""

import collections
import collections.abc
import dataclasses
import logging
import os
import re
import sys
import time
from typing import Any
from typing import NoReturn

import structlog

# The events that are logged for single requests, sessions or transactions.
REQUEST_EVENTS = frozenset(
    (
        'answer_lost',
        'orphaned_transaction',
        'request_refused',
        'rollback_lost',
        'session_refused',
        'statement_failed',
        'target_refused_session',
        'transaction_access_ended',
        'transaction_ended',
        'transaction_idle',
        'work_refused',
        'work_refused_rate',
        'work_rerouted',
        'work_retried',
    )
)

# Lines of a second, by kind. A host at full load handles about 700 statements
# a second, and up to a tenth of them may fail.
MAX_REQUEST_LINES_PER_S = 150
MAX_STATE_LINES_PER_S = 200

# So many lines of a second with one reason are written; the others are folded
# into one line, so that a frequent reason leaves room for rare ones.
MAX_LINES_PER_REASON = 50

# Reasons that are told apart within a second; more are folded together.
MAX_REASONS = 32

# Limits of the bytes buffered while the reader of the stream is too slow; once
# it is exceeded, new lines are dropped. Request lines leave half of it free.
MAX_BUFFERED_BYTES = 262_144
MAX_BUFFERED_REQUEST_BYTES = MAX_BUFFERED_BYTES // 2

# The part of a reason that tells it from others.
MAX_REASON_LENGTH = 80
_DIGITS = re.compile(r'\d+')

_FOLDED = 'lines_folded'
_OTHER = 'other'


class BoundedWriter:
    """Writes lines to a file descriptor without blocking.

    Used as a structlog logger: each level is a method that takes a line. A
    line that exceeds the limit of the buffer is dropped; the next one that is
    written is preceded by a count.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self.buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or count it as dropped if the buffer is full."""
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self._flush()
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            note = f'{{"event": "lines_dropped", "count": {self.dropped}}}\n'
            self.dropped = 0
            self._enqueue(note.encode())
        self._enqueue(line.encode(errors='replace') + b'\n')
        self._flush()

    debug = info = warning = error = critical = exception = msg

    def _enqueue(self, data: bytes) -> None:
        self._buffer.append(data)
        self.buffered_bytes += len(data)

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
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


@dataclasses.dataclass
class _Repeats:
    """The lines of a second with one event and reason."""

    count: int = 0
    folded: int = 0
    request: str = ''  # id of the first one that was folded


class LineBudget:
    """Limits the lines of a second; used as a structlog processor.

    For floods of refusals beside changes that cause them or follow from them.
    Lines that are left out are counted by event with ``count``.
    """

    def __init__(
        self,
        count: collections.abc.Callable[[str], None],
        write_folded: collections.abc.Callable[[dict[str, Any]], None],
        is_buffer_full: collections.abc.Callable[[], bool] = lambda: False,
        now_s: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._count = count
        self._write_folded = write_folded
        self._is_buffer_full = is_buffer_full
        self._now_s = now_s
        self._second = 0
        self._state_lines = 0
        self._request_lines = 0
        self._repeats_by_reason: dict[tuple[str, str], _Repeats] = {}

    def __call__(
        self,
        logger: Any,
        method: str,
        event_dict: collections.abc.MutableMapping[str, Any],
    ) -> collections.abc.MutableMapping[str, Any]:
        """Return the line; raises ``DropEvent`` if it is left out."""
        self._begin_second(int(self._now_s()))
        event = str(event_dict.get('event', ''))
        if event not in REQUEST_EVENTS:
            if self._state_lines >= MAX_STATE_LINES_PER_S:
                self._leave_out(event)
            self._state_lines += 1
            return event_dict
        repeats = self._repeats(event, event_dict)
        repeats.count += 1
        if (
            repeats.count > MAX_LINES_PER_REASON
            or self._request_lines >= MAX_REQUEST_LINES_PER_S
            or self._is_buffer_full()
        ):
            if not repeats.folded:
                repeats.request = str(event_dict.get('request', ''))
            repeats.folded += 1
            self._leave_out(event)
        self._request_lines += 1
        return event_dict

    def _leave_out(self, event: str) -> NoReturn:
        self._count(f'log_lines_left_out_{event}')
        raise structlog.DropEvent

    def _repeats(
        self,
        event: str,
        event_dict: collections.abc.MutableMapping[str, Any],
    ) -> _Repeats:
        text = event_dict.get('reason', event_dict.get('code', ''))
        # Numbers in a reason, such as a time waited, don't make it another.
        key = (event, _DIGITS.sub('N', str(text))[:MAX_REASON_LENGTH])
        if (
            key not in self._repeats_by_reason
            and len(self._repeats_by_reason) >= MAX_REASONS
        ):
            key = (event, _OTHER)
        return self._repeats_by_reason.setdefault(key, _Repeats())

    def _begin_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second = second
        self._state_lines = 0
        self._request_lines = 0
        earlier = self._repeats_by_reason
        self._repeats_by_reason = {}
        for (event, reason), repeats in earlier.items():
            if repeats.folded:
                self._write_folded(
                    {
                        'of': event,
                        'reason': reason,
                        'count': repeats.folded,
                        'request': repeats.request,
                    }
                )


def configure(host_id: str, level: str = 'info') -> None:
    """Log to standard output as JSON lines with ``host_id`` in each."""
    writer = BoundedWriter(sys.stdout.fileno())
    budget = LineBudget(
        lambda name: _count(name),
        lambda fields: get_logger(__name__).info(_FOLDED, **fields),
        lambda: writer.buffered_bytes > MAX_BUFFERED_REQUEST_BYTES,
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            budget,
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


def _ignore(name: str) -> None:
    """Count nothing, until a process has metrics."""


_count: collections.abc.Callable[[str], None] = _ignore


def count_with(count: collections.abc.Callable[[str], None]) -> None:
    """Count lines that are left out by calling ``count`` with a name."""
    global _count
    _count = count


def silence() -> None:
    """Log only errors, for replays and benchmarks."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )


def get_logger(name: str) -> Any:
    """Return a logger that adds ``module=name`` to each line."""
    return structlog.get_logger(module=name)
