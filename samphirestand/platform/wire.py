"""Codec and connections of the line protocol of callers and targets.

A message is one line of UTF-8 that ends with CR LF.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import itertools

from samphirestand import exceptions
from samphirestand import sockets
from samphirestand import statements
from samphirestand import types

__all__ = [
    'Answer',
    'Complete',
    'Connection',
    'Error',
    'Malformed',
    'Query',
    'Ready',
    'Row',
    'Startup',
    'Status',
    'Terminate',
    'connect',
    'decode_answer',
    'decode_position',
    'decode_request',
    'decode_statement',
    'decode_status',
    'encode_complete',
    'encode_error',
    'encode_query',
    'encode_ready',
    'encode_row',
    'encode_startup',
    'execute_text',
    'pause_text',
    'prepare_text',
    'set_text',
    'step_down_text',
    'wait_for',
]

# The longest message that the protocol allows.
MAX_LINE_BYTES = 1_048_576

# A peer that leaves more than this unread is disconnected, so that unsent
# data can't grow without limit. A few of the largest messages fit.
MAX_UNSENT_BYTES = 4 * MAX_LINE_BYTES

# Messages that are received ahead of a slow consumer. Beyond that the socket
# is not read until the consumer has caught up.
MAX_BUFFERED_LINES = 64

# The request id of statements that the proxy itself sends to targets.
PROXY_REQUEST_ID = '-'

STATE_IDLE = 'I'
STATE_TRANSACTION = 'T'
STATE_FAILED = 'E'

BEGIN = 'BEGIN'
ROLLBACK = 'ROLLBACK'
DISCARD = 'DISCARD'
STATUS = 'STATUS'
RESUME = 'RESUME'


@dataclasses.dataclass(frozen=True)
class Startup:
    """Opens a caller's session; ``key`` identifies its account."""

    database: str
    key: str


@dataclasses.dataclass(frozen=True)
class Query:
    """A statement of a caller, under the id that the caller gave it."""

    request_id: str
    text: str


@dataclasses.dataclass(frozen=True)
class Terminate:
    """A caller ends its session."""


@dataclasses.dataclass(frozen=True)
class Malformed:
    """A line that isn't a valid message of the protocol."""

    reason: str
    request_id: str = PROXY_REQUEST_ID


Request = Startup | Query | Terminate | Malformed


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of an answer."""

    data: str


@dataclasses.dataclass(frozen=True)
class Complete:
    """The statement succeeded; the signature proves which target ran it."""

    signature: str


@dataclasses.dataclass(frozen=True)
class Error:
    """The statement failed."""

    code: str
    text: str


@dataclasses.dataclass(frozen=True)
class Ready:
    """End of an answer: the session's state and a position in the log.

    ``position`` is None where the line has none.
    """

    state: str
    position: types.Position | None


Answer = Row | Complete | Error | Ready


@dataclasses.dataclass(frozen=True)
class Status:
    """A target's answer to STATUS, PAUSE or RESUME.

    ``held`` is the term of a PAUSE, which the target refuses. It is above
    ``term`` while the target is paused.
    """

    is_primary: bool
    term: int
    received: types.Position
    held: int
    lag_ms: int
    busy: int
    connections: int


def decode_request(line: bytes) -> Request:
    """Decode a caller's message; an invalid line becomes ``Malformed``."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        return Malformed('not UTF-8')
    word, _, rest = text.partition(' ')
    match word:
        case 'QUERY':
            request_id, _, statement = rest.partition(' ')
            if not request_id or not statement:
                return Malformed('QUERY needs an id and a text')
            return Query(request_id, statement)
        case 'STARTUP':
            database, _, key = rest.partition(' ')
            return Startup(database, key)
        case 'TERMINATE':
            return Terminate()
        case _:
            return Malformed('unknown word')


def decode_statement(text: str) -> statements.Statement | None:
    """Decode the text of a query; None if it isn't a known statement."""
    word, _, rest = text.partition(' ')
    match word:
        case 'BEGIN':
            if rest not in ('', 'READ'):
                return None
            return statements.Begin(read_only=rest == 'READ')
        case 'COMMIT':
            return None if rest else statements.Commit()
        case 'ROLLBACK':
            return None if rest else statements.Rollback()
        case 'READ':
            return statements.Read(rest) if rest else None
        case 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            return statements.Execute(name, arguments) if name else None
        case 'WRITE':
            item, _, data = rest.partition(' ')
            return statements.Write(item, data) if item else None
        case 'SET':
            name, _, value = rest.partition(' ')
            return statements.SetValue(name, value) if name else None
        case 'PARSE':
            return _decode_prepare(rest)
        case 'CLOSE':
            return statements.Deallocate(rest) if rest else None
        case _:
            return None


def _decode_prepare(rest: str) -> statements.Prepare | None:
    name, _, definition = rest.partition(' ')
    mode, _, shape = definition.partition(' ')
    if not name or not shape or mode not in ('READ', 'WRITE'):
        return None
    return statements.Prepare(name, types.Mode(mode.lower()), shape)


def decode_answer(line: bytes) -> Answer | None:
    """Decode a target's message; None if it isn't part of an answer."""
    try:
        text = line.decode()
    except UnicodeDecodeError:
        return None
    word, _, rest = text.partition(' ')
    match word:
        case 'DATAROW':
            return Row(rest)
        case 'COMPLETE':
            return Complete(rest)
        case 'ERROR':
            code, _, reason = rest.partition(' ')
            return Error(code, reason)
        case 'READY':
            state, _, position = rest.partition(' ')
            return Ready(state, decode_position(position))
        case _:
            return None


def decode_position(text: str) -> types.Position | None:
    """Decode TERM.OFFSET; None for ``-`` and for malformed text."""
    term, separator, offset = text.partition('.')
    if not separator or not term.isdecimal() or not offset.isdecimal():
        return None
    return types.Position(int(term), int(offset))


def encode_position(position: types.Position | None) -> str:
    if position is None:
        return '-'
    return f'{position.term}.{position.offset}'


def encode_row(data: str) -> bytes:
    return f'DATAROW {data}\r\n'.encode()


def encode_complete(signature: str) -> bytes:
    return f'COMPLETE {signature}\r\n'.encode()


def encode_error(code: str, text: str) -> bytes:
    single_line_text = text.replace('\r', ' ').replace('\n', ' ')
    return f'ERROR {code} {single_line_text}\r\n'.encode()


def encode_ready(state: str, position: types.Position | None) -> bytes:
    return f'READY {state} {encode_position(position)}\r\n'.encode()


def encode_startup(service: str, account: str, target_id: str) -> bytes:
    """Return the message that opens a session with a target.

    A target with another id than ``target_id`` refuses the session.
    """
    return f'STARTUP {service} {account} {target_id}\r\n'.encode()


def encode_query(request_id: str, text: str) -> bytes:
    return f'QUERY {request_id} {text}\r\n'.encode()


def wait_for(position: types.Position | None, text: str) -> str:
    """Return the text that runs ``text`` once the log has ``position``.

    ``text`` is a read or a BEGIN; without a position it stays as it is.
    """
    if position is None:
        return text
    return f'WAITLSN {encode_position(position)} {text}'


def execute_text(name: str, arguments: str) -> str:
    return f'EXECUTE {name} {arguments}' if arguments else f'EXECUTE {name}'


def prepare_text(name: str, mode: types.Mode, shape: str) -> str:
    return f'PARSE {name} {mode.value.upper()} {shape}'


def set_text(name: str, value: str) -> str:
    return f'SET {name} {value}'


def pause_text(term: int) -> str:
    """Return the command that stops a replica from receiving its log.

    ``term`` must be above the newest term.
    """
    return f'PAUSE {term}'


def step_down_text(term: int) -> str:
    """Return the command that makes a primary of a lower term a replica."""
    return f'STEPDOWN {term}'


def decode_status(data: str) -> Status | None:
    """Decode the row that answers STATUS, PAUSE or RESUME.

    Returns None if it is malformed.
    """
    fields = data.split(' ')
    if len(fields) < 7 or fields[0] not in ('primary', 'replica'):
        return None
    received = decode_position(fields[2])
    numbers = (fields[1], *fields[3:7])
    if received is None or not all(each.isdecimal() for each in numbers):
        return None
    return Status(
        is_primary=fields[0] == 'primary',
        term=int(fields[1]),
        received=received,
        held=int(fields[3]),
        lag_ms=int(fields[4]),
        busy=int(fields[5]),
        connections=int(fields[6]),
    )


class Connection(asyncio.Protocol):
    """A connection to a caller or a target that carries lines."""

    max_unsent_bytes = MAX_UNSENT_BYTES

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._lines: collections.deque[bytes] = collections.deque()
        # A message without its end. It grows in place, so that one that comes
        # in small pieces isn't copied for each.
        self._partial = bytearray()
        self._waiter: asyncio.Future[None] | None = None
        self._is_reading_paused = False
        self.is_closed = False
        # Called when the connection is closed, by whomever.
        self.on_close: collections.abc.Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.set_timeouts(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        known_lines = len(self._lines)
        self._split_lines(data)
        new_lines = itertools.islice(self._lines, known_lines, None)
        longest = max(map(len, new_lines), default=0)
        if max(longest, len(self._partial)) > MAX_LINE_BYTES:
            self._lines.append(b'')
            self._partial.clear()
            self.abort()
        self._adjust_reading()
        self._wake_reader()

    def _split_lines(self, data: bytes) -> None:
        """Append complete lines to ``_lines``; searches only new bytes."""
        partial = self._partial
        if partial:
            # The CR may have been the last byte before.
            searched = len(partial) - 1
            partial += data
            end = partial.find(b'\r\n', searched)
            if end < 0:
                return
            with memoryview(partial) as view:
                self._lines.append(bytes(view[:end]))
                data = bytes(view[end + 2 :])
            partial.clear()
        lines = data.split(b'\r\n')
        partial += lines.pop()
        self._lines.extend(lines)

    def _adjust_reading(self) -> None:
        """Pause or resume reading, by what the consumer hasn't read yet."""
        if len(self._lines) > MAX_BUFFERED_LINES:
            self._set_reading_paused(True)
        elif not self._lines:
            self._set_reading_paused(False)

    def _set_reading_paused(self, is_paused: bool) -> None:
        if self._is_reading_paused == is_paused or self._transport is None:
            return
        self._is_reading_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self._mark_closed()

    def _mark_closed(self) -> None:
        self.is_closed = True
        self._wake_reader()
        if self.on_close is not None:
            self.on_close()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def has_line(self) -> bool:
        """Tell whether a complete line has been received and not yet read."""
        return bool(self._lines)

    async def read_line(self) -> bytes | None:
        """Return the next line without CR LF; None once the peer is gone.

        Lines received before the connection was closed are returned first.
        """
        while not self._lines:
            if self.is_closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        line = self._lines.popleft()
        self._adjust_reading()
        return line

    def write(self, data: bytes) -> None:
        """Send without waiting; disconnects a peer that doesn't read."""
        if self.is_closed or self._transport is None:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > self.max_unsent_bytes:
            self.abort()

    def close(self) -> None:
        """Close the connection after all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def discard_unsent_on_close(self) -> None:
        """Reset the connection when it is closed."""
        if self._transport is not None:
            sockets.discard_unsent_on_close(
                self._transport.get_extra_info('socket')
            )

    def abort(self) -> None:
        """Close the connection at once; unsent data is dropped."""
        if self._transport is not None:
            self._transport.abort()
        self._mark_closed()


async def connect(address: str, port: int, timeout_ms: int) -> Connection:
    """Open a connection to a target; raises ``TargetConnectError``."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, connection = await loop.create_connection(
                Connection, address, port
            )
    except (OSError, TimeoutError) as error:
        raise exceptions.TargetConnectError(
            str(error) or 'no answer in time',
            step='connect',
            peer=f'{address}:{port}',
        ) from error
    return connection
