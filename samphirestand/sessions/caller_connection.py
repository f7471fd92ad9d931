"""A caller's connection, within the budget of all of them."""

import asyncio
import itertools

from samphirestand import callers_budget
from samphirestand import clock as clock_module
from samphirestand.platform import wire

__all__ = ['CallerConnection', 'Owner']

# Above this, the next message isn't handled before the caller has read its
# answers.
UNSENT_HIGH_BYTES = 65_536
UNSENT_LOW_BYTES = 16_384

# One answer may follow what is unsent already. Those of other hosts have up to
# 4 MiB; the sum of all callers is limited by the budget.
MAX_UNSENT_BYTES = 2 * wire.MAX_UNSENT_BYTES

# How long a large message waits for room before it is refused.
ROOM_TIMEOUT_MS = 500
ROOM_INTERVAL_MS = 10

# Bytes of a session's values and prepared statements. One of the longest
# fits, and a frame of 4 MiB to another host has room for it twice.
MAX_KEPT_BYTES = wire.MAX_LINE_BYTES + 65_536

# All connections receive into the same memory, one after another.
_buffer = memoryview(bytearray(callers_budget.MAX_READ_BYTES))


class Owner:
    """What a connection needs of its listener."""

    budget: callers_budget.CallersBudget
    clock: clock_module.Clock

    def on_connection(self, connection: 'CallerConnection') -> None:
        """Start a session on a new connection."""

    def on_disconnect(self, connection: 'CallerConnection') -> None:
        """Forget a connection that has ended."""

    def on_change(self) -> None:
        """React to a change of what is held."""


class CallerConnection(wire.Connection, asyncio.BufferedProtocol):
    """Receives only as much as the budget allows."""

    max_unsent_bytes = MAX_UNSENT_BYTES

    def __init__(self, owner: Owner) -> None:
        super().__init__()
        self._owner = owner
        self._budget = owner.budget
        self._clock = owner.clock
        self.usage = self._budget.open(self._clock.now())
        self._line_bytes = 0
        # Of the message that was read and has no room yet.
        self._current_bytes = 0
        self._can_write = asyncio.Event()
        self._can_write.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(UNSENT_HIGH_BYTES, UNSENT_LOW_BYTES)
        self._owner.on_connection(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._can_write.set()
        super().connection_lost(error)
        self._budget.close(self.usage)
        self._owner.on_disconnect(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        allowance = self._budget.read_allowance(self.usage, self.has_line)
        size = max(allowance, callers_budget.MIN_READ_BYTES)
        return _buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(_buffer[:nbytes]))

    def _split_lines(self, data: bytes) -> None:
        known_lines = len(self._lines)
        super()._split_lines(data)
        new_lines = itertools.islice(self._lines, known_lines, None)
        self._line_bytes += sum(map(len, new_lines))
        since_ms = None
        if self._partial:
            since_ms = self.usage.message_since_ms
            if since_ms is None or len(self._lines) > known_lines:
                since_ms = self._clock.now()
        self._record_received(since_ms)

    def _record_received(self, since_ms: int | None) -> None:
        received = self._line_bytes + self._current_bytes + len(self._partial)
        self._budget.set_received(self.usage, received, since_ms)
        self._owner.on_change()

    def _adjust_reading(self) -> None:
        if self.is_closed:
            return
        was_paused = self._is_reading_paused
        is_paused = len(
            self._lines
        ) > wire.MAX_BUFFERED_LINES or not self._budget.read_allowance(
            self.usage, self.has_line
        )
        self._set_reading_paused(is_paused)
        if was_paused and not is_paused and self._partial:
            # The caller couldn't go on meanwhile.
            self.usage.message_since_ms = self._clock.now()

    def resume_reading_if_allowed(self) -> None:
        """Read again if this connection's turn has come."""
        self._adjust_reading()

    async def read_line(self) -> bytes | None:
        self._current_bytes = 0
        line = await super().read_line()
        if line is not None:
            self._current_bytes = len(line)
            self._line_bytes = max(0, self._line_bytes - len(line))
        return line

    def mark_started(self) -> None:
        """Record that the caller has opened its session."""
        self._budget.mark_started(self.usage)
        self.finish_message()

    async def admit_message(self, message_bytes: int) -> bool:
        """Wait until answers are read and there is room for a message.

        Returns False if there is no room in time, or if the connection was
        closed meanwhile; the message is then not handled.
        """
        if not self._can_write.is_set():
            await self._can_write.wait()
            if self.is_closed:
                return False
        waited_ms = 0
        while not self._budget.begin_work(self.usage, message_bytes):
            if waited_ms >= ROOM_TIMEOUT_MS or self.is_closed:
                return False
            await self._clock.sleep(ROOM_INTERVAL_MS)
            waited_ms += ROOM_INTERVAL_MS
        self._current_bytes = 0
        self._record_received(self.usage.message_since_ms)
        return True

    def finish_message(self) -> None:
        """Release the room of the message that was handled."""
        self._current_bytes = 0
        self._budget.end_work(self.usage)
        self._record_received(self.usage.message_since_ms)
        self._adjust_reading()

    def abort_by_limit(self) -> None:
        """Close the connection at once, and drop all that it holds."""
        self._lines.clear()
        self._partial.clear()
        self._budget.close(self.usage)
        self.abort()

    def keep(self, kept_bytes: int) -> bool:
        """Reserve ``kept_bytes`` in all for the session's values."""
        if kept_bytes > MAX_KEPT_BYTES:
            return False
        self._budget.set_kept(self.usage, kept_bytes)
        return True

    def write(self, data: bytes) -> None:
        super().write(data)
        self.record_unsent(len(data))
        self._owner.on_change()

    def record_unsent(self, written: int = 0) -> None:
        """Record how many bytes the caller hasn't read."""
        if self._transport is None:
            return
        self._budget.set_unsent(
            self.usage,
            written,
            self._transport.get_write_buffer_size(),
            self._clock.now(),
        )

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()
        self.record_unsent()
