"""Connections between hosts: one dialled to each other host."""

import asyncio
import collections.abc
import dataclasses
import itertools
from typing import Protocol

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand import log
from samphirestand import sockets
from samphirestand import work as work_module

__all__ = ['FrameConnection', 'Handler', 'Link', 'Listener']

# Between hosts a connection opens within two round trips; a host that is
# cut off doesn't answer at all.
CONNECT_TIMEOUT_MS = 600

# Pauses between attempts to dial, doubled up to the longest.
FIRST_RETRY_MS = 100
LONGEST_RETRY_MS = 1_000

# A host counts as unreachable when more than this many pings in a row were
# sent without an answer. At one ping each 250 ms that is 1 s; a lost packet
# is repeated within half of that time.
MAX_UNANSWERED = 3

# A host that doesn't read what it is sent is disconnected.
MAX_UNSENT_BYTES = 8_388_608

_log = log.get_logger(__name__)

_Answer = frames.Frame | exceptions.Sentinel


class Handler(Protocol):
    """Answers the frames of other hosts."""

    def handle(self, sender: 'FrameConnection', frame: frames.Frame) -> None:
        """Handle a frame; answers are sent on ``sender``."""

    def disconnected(self, sender: 'FrameConnection') -> None:
        """Note that a host's connection is gone."""


class FrameConnection(asyncio.Protocol):
    """A connection that carries frames."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        self.hello: frames.Hello | None = None  # of a host that dialled

    @property
    def is_closed(self) -> bool:
        return self.closed.is_set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.set_timeouts(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        try:
            for body in frames.split(self._buffer):
                frame = frames.decode(body)
                if isinstance(frame, frames.Hello):
                    self.hello = frame
                self._handler.handle(self, frame)
        except exceptions.HostError as error:
            _log.warning('peer_frame_rejected', reason=str(error))
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed.set()
        self._handler.disconnected(self)

    def send(self, frame: frames.Frame) -> None:
        """Send without waiting; nothing is sent once it is closed."""
        if self.is_closed or self._transport is None:
            return
        self._transport.write(frames.encode(frame))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()


class Listener:
    """Accepts the connections that other hosts dial."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FrameConnection(self._handler), address, port
        )

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


class Link:
    """The connection that this host dialled to one other host."""

    def __init__(
        self,
        peer: frames.Hello,
        hello: frames.Hello,
        clock: clock_module.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self.peer = peer
        self._hello = hello
        self._clock = clock
        self._on_change = on_change
        self._connection: FrameConnection | None = None
        self._calls = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[_Answer]] = {}
        self._sequence = 0
        self._answered = 0
        self._sent_ms: dict[int, int] = {}
        self.is_draining = False
        self.reaches_store = True
        self.used_ms = 0  # when something other than a ping was last sent
        # The services whose gateway the host is, and when that was news.
        self.claims = frames.Claims({})
        self.claimed_ms = 0
        self.is_silent = False
        # When the host was last known to answer; the start of this link if
        # it never did.
        self.answered_ms = clock.now()
        self.catalog_version = 0
        self.round_trip_ms = 0
        self._is_stopped = False

    @property
    def is_up(self) -> bool:
        """Tell whether the host has answered lately."""
        return (
            self._connection is not None
            and not self._connection.is_closed
            and self._answered > 0
            and self._sequence - self._answered <= MAX_UNANSWERED
        )

    async def run(self) -> None:
        """Dial again and again until the task is cancelled."""
        retry_ms = FIRST_RETRY_MS
        while not self._is_stopped:
            connection = await self._dial()
            if connection is None:
                await self._clock.sleep(retry_ms)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)
                continue
            self._sequence = self._answered = 0
            self._connection = connection
            connection.send(self._hello)
            self.ping(frames.Ping(0, False, 0))
            retry_ms = FIRST_RETRY_MS
            await connection.closed.wait()

    async def _dial(self) -> FrameConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(self),
                    self.peer.address,
                    self.peer.port,
                )
        except TimeoutError:
            self.is_silent = True
            return None
        except OSError:
            # A host without a process refuses connections. Reported once,
            # when the state of the link changes.
            self.is_silent = False
            return None
        return connection

    def stop(self) -> None:
        self._is_stopped = True
        if self._connection is not None:
            self._connection.abort()

    def ping(self, ping: frames.Ping) -> None:
        """Send a ping under the next number; a dead link is closed."""
        connection = self._connection
        if connection is None or connection.is_closed:
            return
        if self._sequence - self._answered > MAX_UNANSWERED:
            self.is_silent = True
            connection.abort()
            return
        self._sequence += 1
        self._sent_ms[self._sequence] = self._clock.now()
        connection.send(dataclasses.replace(ping, sequence=self._sequence))

    async def ask(
        self,
        build: collections.abc.Callable[[int], frames.Frame],
        timeout_ms: int,
    ) -> frames.Frame | exceptions.Sentinel:
        """Send a frame and await its answer.

        ``build`` gets the call's number. The sentinel's reason is ``not
        sent`` if the frame did not leave this host.
        """
        connection = self._connection
        if connection is None or connection.is_closed:
            return NOT_SENT
        call = next(self._calls)
        future = asyncio.get_running_loop().create_future()
        self._waiting[call] = future
        self.used_ms = self._clock.now()
        connection.send(build(call))
        timer = asyncio.get_running_loop().call_later(
            timeout_ms / 1000, _expire, future
        )
        try:
            answer: frames.Frame | exceptions.Sentinel = await future
            return answer
        finally:
            timer.cancel()
            self._waiting.pop(call, None)

    def tell(self, frame: frames.Frame) -> None:
        """Send a frame that has no answer."""
        if self._connection is not None:
            self._connection.send(frame)

    def handle(self, sender: FrameConnection, frame: frames.Frame) -> None:
        match frame:
            case frames.OutcomeFrame() | frames.TokenAnswer():
                self._resolve(frame.call, frame)
            case frames.Snapshot():
                self._resolve(frame.call, frame)
            case frames.Pong():
                self._note_pong(frame)
            case frames.Claims():
                self.claims = frame
                self.claimed_ms = self._clock.now()
            case _:
                _log.warning(
                    'peer_frame_unexpected',
                    peer=self.peer.host_id,
                    kind=type(frame).__name__,
                )

    def _resolve(self, call: int, frame: frames.Frame) -> None:
        future = self._waiting.get(call)
        if future is not None and not future.done():
            future.set_result(frame)

    def _note_pong(self, pong: frames.Pong) -> None:
        was_up = self.is_up
        earlier = (self.is_draining, self.reaches_store)
        self._answered = max(self._answered, pong.sequence)
        self.is_draining = pong.is_draining
        self.reaches_store = pong.reaches_store
        self.is_silent = False
        self.answered_ms = self._clock.now()
        self.catalog_version = pong.catalog_version
        sent_ms = self._sent_ms.pop(pong.sequence, None)
        if sent_ms is not None:
            self.round_trip_ms = self._clock.now() - sent_ms
        for old in [each for each in self._sent_ms if each < pong.sequence]:
            del self._sent_ms[old]
        if was_up != self.is_up or earlier != (
            self.is_draining,
            self.reaches_store,
        ):
            self._on_change()

    def disconnected(self, sender: FrameConnection) -> None:
        if sender is not self._connection:
            return
        for future in list(self._waiting.values()):
            if not future.done():
                future.set_result(DISCONNECTED)
        self._sent_ms.clear()
        self._on_change()


NOT_SENT = exceptions.Sentinel('not sent')
DISCONNECTED = exceptions.Sentinel('disconnected')
UNREACHABLE = 'the gateway host is unreachable'
TIMED_OUT = exceptions.Sentinel('timed out')


def _expire(future: asyncio.Future[object]) -> None:
    if not future.done():
        future.set_result(TIMED_OUT)


def lost(reason: exceptions.Sentinel) -> work_module.Outcome:
    """Return the outcome of a statement whose answer didn't come."""
    if reason is NOT_SENT:
        return work_module.Refused('BUSY', UNREACHABLE)
    return work_module.Lost(
        f'gateway host: {reason.reason}', timed_out=reason is TIMED_OUT
    )
