"""Limits what callers' connections make this process hold.

Answers crowds of callers that send large messages or many messages ahead,
that stop within a message or leave answers unread, and that open more
connections than the process has descriptors for. Each connection has a small
share of its own, so that ordinary callers are served beside a crowd. Beyond
the shares, connections are read until half of the budget is used, and from
then on one at a time; work takes the rest. The connections that hold most are
closed first.
"""

import collections.abc
import dataclasses
import itertools

__all__ = ['CallersBudget', 'Limits', 'Usage', 'derive_limits']

MIB = 1_048_576

# Part of the memory that a host needs in calm; measured 49 to 56 MB.
BASE_MEMORY_MB = 64

# The memory of a host whose settings don't say, the smallest one in use.
DEFAULT_MEMORY_MB = 200

# The smallest budget handles one message of the longest kind at a time.
MIN_BYTES = 16 * MIB

# Descriptors that callers never get: for targets, other hosts, the store and
# files. The smallest hosts have 4,300 and may have 4,000 sessions.
RESERVED_DESCRIPTORS = 300
MAX_SESSIONS = 20_000

# Bytes that a connection may have received and not handled, whatever others
# hold. Above the smallest, ordinary messages fit.
MIN_SHARE_BYTES = 2_048
MAX_SHARE_BYTES = 65_536

# Bytes that are received at once.
MIN_READ_BYTES = 1_024
MAX_READ_BYTES = 65_536

# Copies of a message while it is decoded, encoded and sent to a target.
COPIES_OF_WORK = 6

# While the budget is short, a connection is closed only if it has held its
# message or its answers for this long. The longest message takes 2 s on the
# slowest link of a host.
SHORT_AGE_MS = 2_000

# Callers send STARTUP at once. A connection that hasn't for this long gives
# way to a new one when there are too many.
UNSTARTED_AGE_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of all callers' connections of the process."""

    max_bytes: int
    max_sessions: int
    message_timeout_ms: int = 30_000
    answer_timeout_ms: int = 30_000

    @property
    def share_bytes(self) -> int:
        """Return what each connection may hold; all shares are a quarter."""
        share = self.max_bytes // 4 // max(1, self.max_sessions)
        return min(max(share, MIN_SHARE_BYTES), MAX_SHARE_BYTES)


def derive_limits(
    memory_mb: int,
    descriptors: int,
    max_buffered_bytes: int = 0,
    max_sessions: int = 0,
) -> Limits:
    """Return limits for a host of the given size; 0 stands for unknown.

    Half of the memory beyond what the host needs in calm is for callers. The
    other half is for answers of targets and for other hosts.
    """
    spare_mb = (memory_mb or DEFAULT_MEMORY_MB) - BASE_MEMORY_MB
    reserved = min(RESERVED_DESCRIPTORS, descriptors // 2)
    available = descriptors - reserved if descriptors else MAX_SESSIONS
    return Limits(
        max(max_buffered_bytes or spare_mb * MIB // 2, MIN_BYTES),
        min(max_sessions or available, available, MAX_SESSIONS),
    )


@dataclasses.dataclass(eq=False)
class Usage:
    """What one connection makes the process hold, in bytes."""

    opened_ms: int
    received: int = 0  # received and not handled
    working: int = 0  # for the message that is handled
    kept: int = 0  # values and prepared statements
    unsent: int = 0
    is_started: bool = False
    is_large_work: bool = False
    # When the message was begun that isn't complete.
    message_since_ms: int | None = None
    # Since when the answers that were unsent then are waited for.
    answer_since_ms: int | None = None
    _written: int = 0
    _awaited: int = 0  # of the bytes written

    @property
    def total(self) -> int:
        return self.received + self.working + self.kept + self.unsent

    @property
    def at_rest(self) -> int:
        """Return what closing the connection frees at once."""
        return self.received + self.kept + self.unsent

    def record_unsent(self, written: int, unsent: int, now_ms: int) -> None:
        """Record that ``written`` bytes more were written, ``unsent`` wait."""
        self._written += written
        self.unsent = unsent
        if not unsent:
            self.answer_since_ms = None
        elif (
            self.answer_since_ms is None
            or self._written - unsent >= self._awaited
        ):
            self.answer_since_ms = now_ms
            self._awaited = self._written

    def is_older_than(self, age_ms: int, now_ms: int) -> bool:
        """Tell whether a message or an answer is held for ``age_ms``."""
        since = [
            each
            for each in (self.message_since_ms, self.answer_since_ms)
            if each is not None
        ]
        return now_ms - min(since, default=self.opened_ms) >= age_ms


class CallersBudget:
    """Decides who may be read, who waits, who is refused or closed."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.total = 0
        self._share = limits.share_bytes
        self._usages: dict[Usage, None] = {}
        self._unstarted: dict[Usage, None] = {}
        # Connections that aren't read for want of room, the first to wait
        # first.
        self._waiting: dict[Usage, None] = {}
        self._large_works = 0

    @property
    def session_count(self) -> int:
        return len(self._usages)

    @property
    def reading_limit(self) -> int:
        """Return the bytes from which on connections are read in turn."""
        return self.limits.max_bytes // 2

    @property
    def work_limit(self) -> int:
        """Return the bytes up to which large messages are handled.

        What is left takes messages that are read in turn, so that work alone
        doesn't make the budget close connections.
        """
        return self.limits.max_bytes * 7 // 8

    def open(self, now_ms: int) -> Usage:
        usage = Usage(now_ms)
        self._usages[usage] = None
        self._unstarted[usage] = None
        return usage

    def mark_started(self, usage: Usage) -> None:
        usage.is_started = True
        self._unstarted.pop(usage, None)

    def close(self, usage: Usage) -> None:
        if usage not in self._usages:
            return
        self.end_work(usage)
        self.total -= usage.total
        del self._usages[usage]
        self._unstarted.pop(usage, None)
        self._waiting.pop(usage, None)

    def unstarted_to_replace(self, now_ms: int) -> Usage | None:
        """Return a connection that gives way to a new one; None if none."""
        oldest = next(iter(self._unstarted), None)
        if oldest is None or now_ms - oldest.opened_ms < UNSTARTED_AGE_MS:
            return None
        return oldest

    def set_received(
        self, usage: Usage, received: int, since_ms: int | None
    ) -> None:
        """Record bytes not handled; ``since_ms`` is of a partial message."""
        self.total += self._if_open(usage, received - usage.received)
        usage.received = received
        usage.message_since_ms = since_ms

    def set_unsent(
        self, usage: Usage, written: int, unsent: int, now_ms: int
    ) -> None:
        self.total += self._if_open(usage, unsent - usage.unsent)
        usage.record_unsent(written, unsent, now_ms)

    def set_kept(self, usage: Usage, kept: int) -> None:
        self.total += self._if_open(usage, kept - usage.kept)
        usage.kept = kept

    def _if_open(self, usage: Usage, change: int) -> int:
        return change if usage in self._usages else 0

    def read_allowance(self, usage: Usage, has_lines: bool) -> int:
        """Return how many bytes may be received; 0 if not now.

        With complete lines, a connection is read again when they have been
        handled. Otherwise it waits for its turn.
        """
        if usage.received < self._share:
            self._waiting.pop(usage, None)
            return max(self._share - usage.received, MIN_READ_BYTES)
        if has_lines:
            self._waiting.pop(usage, None)
            return 0
        room = self.reading_limit - self.total
        if room > 0:
            self._waiting.pop(usage, None)
            return min(max(room, MIN_READ_BYTES), MAX_READ_BYTES)
        self._waiting.setdefault(usage)
        # Complete messages that wait for room come before another one.
        if self.total >= self.work_limit or not self._is_first(usage):
            return 0
        return MAX_READ_BYTES

    def _is_first(self, usage: Usage) -> bool:
        return next(iter(self._waiting)) is usage

    @property
    def has_waiting(self) -> bool:
        """Tell whether a connection waits for its turn to be read.

        The first of them may always be read.
        """
        return bool(self._waiting)

    def readable(self) -> list[Usage]:
        """Return the waiting connections that may be read now."""
        room = self.reading_limit - self.total
        count = 1 + max(0, room) // MAX_READ_BYTES
        return list(itertools.islice(self._waiting, count))

    def begin_work(self, usage: Usage, message_bytes: int) -> bool:
        """Reserve room for handling a message; False if there is none.

        A message within the share always has room, and one larger message,
        too. Until then the message counts as received.
        """
        if message_bytes <= self._share and usage.kept <= self._share:
            self._set_working(usage, message_bytes)
            return True
        needed = COPIES_OF_WORK * (message_bytes + usage.kept)
        if (
            self._large_works
            and self.total + needed - message_bytes > self.work_limit
        ):
            return False
        self._set_working(usage, needed)
        usage.is_large_work = True
        self._large_works += 1
        return True

    def end_work(self, usage: Usage) -> None:
        self._set_working(usage, 0)
        if usage.is_large_work:
            usage.is_large_work = False
            self._large_works -= 1

    def _set_working(self, usage: Usage, working: int) -> None:
        self.total += self._if_open(usage, working - usage.working)
        usage.working = working

    def over_limit(self) -> list[Usage]:
        """Return the connections to close at once, the largest first."""
        return self._largest_until(self.limits.max_bytes, self._usages)

    def overdue(self, now_ms: int) -> list[tuple[Usage, str]]:
        """Return the connections to close by now, with the reason."""
        limits = self.limits
        closing: dict[Usage, str] = {}
        for usage in self._usages:
            message_ms = usage.message_since_ms
            answer_ms = usage.answer_since_ms
            if (
                message_ms is not None
                and usage not in self._waiting
                and now_ms - message_ms >= limits.message_timeout_ms
            ):
                closing[usage] = 'message'
            elif (
                answer_ms is not None
                and now_ms - answer_ms >= limits.answer_timeout_ms
            ):
                closing[usage] = 'answer'
        if self._waiting or self.total > limits.max_bytes * 3 // 4:
            aged = [
                each
                for each in self._usages
                if each.is_older_than(SHORT_AGE_MS, now_ms)
            ]
            # Whoever may be read first and doesn't send keeps all others
            # waiting.
            first = next(iter(self._waiting), None)
            if first in aged and self.total > self.reading_limit:
                closing.setdefault(first, 'bytes')
            for usage in self._largest_until(self.reading_limit, aged):
                closing.setdefault(usage, 'bytes')
        return list(closing.items())

    def _largest_until(
        self, limit: int, candidates: collections.abc.Iterable[Usage]
    ) -> list[Usage]:
        """Return the largest whose end brings the total to ``limit``."""
        excess = self.total - limit
        if excess <= 0:
            return []
        closing = []
        for usage in sorted(
            (each for each in candidates if each.at_rest > self._share),
            key=lambda each: -each.at_rest,
        ):
            if excess <= 0:
                break
            closing.append(usage)
            excess -= usage.at_rest
        return closing
