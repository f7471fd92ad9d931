"""Connections between hosts.

A host opens one connection to each host that it has a link to, and accepts
those that other hosts open to it.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import itertools
import socket
from typing import Protocol

from samphirestand import acceptor as acceptor_module
from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import descriptor_budget
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import traffic
from samphirestand import limit_events
from samphirestand import log
from samphirestand import sockets
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['FrameConnection', 'Handler', 'Link', 'Listener']

# A connection to another host opens within two round trips; a host that is
# cut off doesn't answer at all.
CONNECT_TIMEOUT_MS = 600

# Delay between attempts to connect, doubled up to the maximum.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 1_000

# A host counts as unreachable when more than this many consecutive pings are
# unanswered. At one ping each 250 ms that takes 1 s; a lost packet is
# retransmitted within half of that time.
MAX_UNANSWERED_PINGS = 3

# A host that connects says at once who it is. Until then its connection may
# hold little; a Hello has a few hundred bytes.
HELLO_TIMEOUT_MS = 5_000
MAX_BYTES_BEFORE_HELLO = 65_536

# Connections that wait to be accepted: all hosts of a fleet may start at once.
ACCEPT_BACKLOG = 512

# The part of the descriptors that other hosts' connections may use, and the
# number of connections without a Hello; a fleet that starts has up to 300.
DESCRIPTORS_PART = 3
MAX_UNIDENTIFIED = 512

# When there are too many connections, one without a Hello for this long gives
# way to a new one.
MIN_UNIDENTIFIED_MS = 1_000

PORT = 'peers'

# A connection with more unsent bytes is closed: its peer doesn't read.
MAX_UNSENT_BYTES = 8_388_608

_log = log.get_logger(__name__)

_Answer = frames.Frame | exceptions.Sentinel


class Handler(Protocol):
    """Handles the frames that arrive on a connection."""

    def handle_frame(
        self, connection: 'FrameConnection', frame: frames.Frame
    ) -> None:
        """Handle a frame; answers are sent on ``connection``."""

    def handle_disconnect(self, connection: 'FrameConnection') -> None:
        """Handle the end of a connection."""


class FrameConnection(asyncio.Protocol):
    """A connection to another host that carries frames."""

    def __init__(
        self,
        handler: Handler,
        on_lost: collections.abc.Callable[['FrameConnection'], None]
        | None = None,
        counters: traffic.FrameCounters | None = None,
    ) -> None:
        self._handler = handler
        self._counters = counters
        # Given for connections that were accepted, so a Hello must come.
        self._on_lost = on_lost
        self._hello_timer: asyncio.TimerHandle | None = None
        self._buffer = bytearray()
        self._is_rejected = False
        self._transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()
        # Whether the peer reads compressed snapshots; hosts of earlier
        # releases don't say so.
        self._peer_reads_deflated = False
        # Sent by the peer if it opened the connection.
        self.hello: frames.Hello | None = None
        self.connected_s: float | None = None  # time of the event loop

    @property
    def is_closed(self) -> bool:
        return self.closed.is_set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.set_timeouts(transport.get_extra_info('socket'))
        if self._on_lost is not None:
            loop = asyncio.get_running_loop()
            self.connected_s = loop.time()
            self._hello_timer = loop.call_later(
                HELLO_TIMEOUT_MS / 1000, self._check_hello
            )

    def _check_hello(self) -> None:
        if self.hello is None:
            self.abort()

    def data_received(self, data: bytes) -> None:
        if self._is_rejected:
            return
        self._buffer += data
        try:
            for body in frames.extract_bodies(self._buffer):
                frame = frames.decode(body)
                if self._counters is not None:
                    size = frames.LENGTH_PREFIX_BYTES + len(body)
                    self._counters.count_received(frame, size)
                match frame:
                    case frames.Hello():
                        self.hello = frame
                    case frames.SnapshotRequest() | frames.Pong():
                        self._peer_reads_deflated = frame.reads_deflated
                self._handler.handle_frame(self, frame)
            if (
                self._on_lost is not None
                and self.hello is None
                and len(self._buffer) > MAX_BYTES_BEFORE_HELLO
            ):
                raise exceptions.HostError('no Hello', step='read frame')
        except exceptions.HostError as error:
            self._reject(str(error))

    def _reject(self, reason: str) -> None:
        """Disconnect a peer that sent an illegal frame, and log that."""
        self._is_rejected = True
        size = len(self._buffer)
        self._buffer.clear()
        if self._counters is None:
            _log.warning('peer_frame_rejected', reason=reason)
        else:
            peer = '' if self.hello is None else self.hello.host_id
            self._counters.note_rejection(peer, reason, size)
        self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self._buffer.clear()
        self.closed.set()
        if self._hello_timer is not None:
            self._hello_timer.cancel()
        if self._on_lost is not None:
            self._on_lost(self)
        self._handler.handle_disconnect(self)

    def send(self, frame: frames.Frame, data: bytes | None = None) -> None:
        """Send a frame without waiting; drop it if the connection is closed.

        ``data`` is the encoded frame if that goes to several hosts. Closes the
        connection if too many bytes are unsent.
        """
        if self.is_closed or self._transport is None:
            return
        if data is None:
            data = frames.encode(frame, self._peer_reads_deflated)
        self._transport.write(data)
        if self._counters is not None:
            self._counters.count_sent(frame, len(data))
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        if self._transport is not None:
            self._transport.abort()


class Listener:
    """Accepts connections that other hosts open."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int = 0,
        descriptors: descriptor_budget.DescriptorBudget | None = None,
        events: limit_events.LimitEvents | None = None,
        counters: traffic.FrameCounters | None = None,
    ) -> None:
        self._handler = handler
        self._counters = counters
        self._max_connections = max_connections  # 0: no limit
        self._descriptors = descriptors or descriptor_budget.DescriptorBudget(
            0
        )
        self._events = events
        self._acceptor: acceptor_module.Acceptor | None = None
        self._connections: dict[FrameConnection, None] = {}
        # Those of them that may have sent no Hello yet, the oldest first.
        self._unidentified: dict[FrameConnection, None] = {}
        self._accepting: set[asyncio.Task[object]] = set()

    async def start(self, address: str, port: int) -> None:
        self._acceptor = acceptor_module.Acceptor(
            self._accept, lambda: self._record('descriptors')
        )
        self._acceptor.listen(address, port, ACCEPT_BACKLOG)

    def _record(self, reason: str) -> None:
        if self._events is not None:
            self._events.record('peers_refused_limit', reason)

    def _accept(self, sock: socket.socket) -> None:
        count = len(self._connections)
        if (
            not self._descriptors.may_accept()
            or (self._max_connections and count >= self._max_connections)
            or self._count_unidentified() >= MAX_UNIDENTIFIED
        ):
            self._record('connections')
            # A host that connects isn't kept out by clients that aren't.
            if not self._abort_unidentified():
                sock.close()
                return
        connection = FrameConnection(
            self._handler, self._forget, self._counters
        )
        self._connections[connection] = None
        self._unidentified[connection] = None
        self._descriptors.add(PORT)
        task: asyncio.Task[object] = asyncio.create_task(
            self._connect(sock, connection)
        )
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)

    async def _connect(
        self, sock: socket.socket, connection: FrameConnection
    ) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: connection, sock
            )
        except OSError:
            # The client has gone already.
            sock.close()
            self._forget(connection)

    def _count_unidentified(self) -> int:
        if len(self._unidentified) >= MAX_UNIDENTIFIED:
            for each in list(self._unidentified):
                if each.hello is not None:
                    del self._unidentified[each]
        return len(self._unidentified)

    def _abort_unidentified(self) -> bool:
        """Close the oldest connection without a Hello; False if none is."""
        loop_s = asyncio.get_running_loop().time()
        while self._unidentified:
            oldest = next(iter(self._unidentified))
            if oldest.hello is not None:
                del self._unidentified[oldest]
                continue
            since_s = oldest.connected_s
            if since_s is None or (
                (loop_s - since_s) * 1000 < MIN_UNIDENTIFIED_MS
            ):
                return False
            del self._unidentified[oldest]
            oldest.abort()
            return True
        return False

    def _forget(self, connection: FrameConnection) -> None:
        self._unidentified.pop(connection, None)
        if connection not in self._connections:
            return
        del self._connections[connection]
        self._descriptors.remove(PORT)
        if connection.hello is None and self._events is not None:
            self._events.record('peers_closed_limit', 'unidentified')

    def close(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()


class Link:
    """Keeps a connection from this host to one other host open."""

    def __init__(
        self,
        peer: frames.Hello,
        hello: frames.Hello,
        clock: clock_module.Clock,
        on_change: collections.abc.Callable[[], None],
        counters: traffic.FrameCounters | None = None,
    ) -> None:
        self.peer = peer
        self._counters = counters
        self._local_hello = hello
        self._clock = clock
        self._on_change = on_change
        self._connection: FrameConnection | None = None
        self._call_ids = itertools.count(1)
        self._futures_by_call_id: dict[int, asyncio.Future[_Answer]] = {}
        # When each request without an answer was sent, the oldest first.
        self._sent_ms_by_call_id: dict[int, int] = {}
        self._sent_sequence = 0
        self._answered_sequence = 0
        self._sent_ms_by_sequence: dict[int, int] = {}
        self.is_draining = False
        self.reaches_store = True
        self.last_used_ms = 0  # when the last request was sent
        self.last_ping_ms = 0
        # The services for which the host claims to be the gateway, and when
        # it last said so.
        self.claims = frames.Claims({})
        self.claims_received_ms = 0
        # Whether the host neither answers nor refuses connections. A host
        # whose process has ended refuses them.
        self.is_silent = False
        # Whether an attempt to connect has ended, in whatever way.
        self.has_been_tried = False
        # When the host last sent anything; the creation time of this link if
        # it never did.
        self.last_answer_ms = clock.now()
        self.catalog_version = 0
        # When the ping was sent that the host last answered.
        self.answered_ping_ms = 0
        # All versions published until this moment are no newer than that one.
        self.catalog_confirmed_ms: int | None = None
        # What the host knows of evacuated zones.
        self.evacuation_version = 0
        self.evacuation_digest = 0
        self.return_digest = 0
        self.fleet_digest = 0
        self.answers_directory = False
        self.answers_explain = False
        # For each service of which the host is the gateway, a log position
        # and until when it covers all commits.
        self.observed_by_service: dict[str, tuple[int, types.Position]] = {}
        # For each of these services, a term and until when nothing could
        # replace its primary.
        self.sole_primary_by_service: dict[str, tuple[int, int]] = {}
        # For each such service, when its limits of targets were asked for.
        self.limits_by_service: dict[
            str, tuple[int, dict[catalog.TargetStart, int]]
        ] = {}
        self._is_stopped = False

    @property
    def is_open(self) -> bool:
        """Tell whether a request would leave this host."""
        return self._connection is not None and not self._connection.is_closed

    @property
    def is_up(self) -> bool:
        """Tell whether the connection is open and its pings are answered."""
        return (
            self._connection is not None
            and not self._connection.is_closed
            and self._answered_sequence > 0
            and self._sent_sequence - self._answered_sequence
            <= MAX_UNANSWERED_PINGS
        )

    def is_silent_for(self, limit_ms: int) -> bool:
        """Tell whether the host hasn't answered a ping for ``limit_ms``.

        Also true while it neither answers nor refuses connections.
        """
        oldest_sent_ms = min(self._sent_ms_by_sequence.values(), default=None)
        if oldest_sent_ms is None:
            return self.is_silent
        return self._clock.now() - oldest_sent_ms >= limit_ms

    def owes_answer_for(self, limit_ms: int) -> bool:
        """Tell whether a request or ping has had no answer for ``limit_ms``.

        A host that has sent anything since then is alive: the answer to a
        request may take long.
        """
        if self.is_silent_for(limit_ms):
            return True
        oldest_sent_ms = next(iter(self._sent_ms_by_call_id.values()), None)
        return (
            oldest_sent_ms is not None
            and self._clock.now() - max(oldest_sent_ms, self.last_answer_ms)
            >= limit_ms
        )

    async def run(self) -> None:
        """Connect, and reconnect when the connection ends, until cancelled."""
        retry_ms = MIN_RETRY_MS
        while not self._is_stopped:
            connection = await self._connect()
            self.has_been_tried = True
            if connection is None:
                await self._clock.sleep(retry_ms)
                retry_ms = min(2 * retry_ms, MAX_RETRY_MS)
                continue
            self._sent_sequence = self._answered_sequence = 0
            self._connection = connection
            connection.send(self._local_hello)
            self.ping(frames.Ping(0, False, 0))
            retry_ms = MIN_RETRY_MS
            await connection.closed.wait()

    async def _connect(self) -> FrameConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await loop.create_connection(
                    lambda: FrameConnection(self, counters=self._counters),
                    self.peer.address,
                    self.peer.port,
                )
        except TimeoutError:
            self.is_silent = True
            return None
        except OSError:
            # A host whose process has ended refuses connections. Not logged
            # for each attempt: a change of the link's state is logged once.
            self.is_silent = False
            return None
        return connection

    def stop(self) -> None:
        self._is_stopped = True
        if self._connection is not None:
            self._connection.abort()

    def ping(self, ping: frames.Ping) -> None:
        """Send a ping with the next sequence number.

        Closes the connection if too many pings are unanswered.
        """
        connection = self._connection
        if connection is None or connection.is_closed:
            return
        if (
            self._sent_sequence - self._answered_sequence
            > MAX_UNANSWERED_PINGS
        ):
            self.is_silent = True
            connection.abort()
            return
        self._sent_sequence += 1
        self.last_ping_ms = self._clock.now()
        self._sent_ms_by_sequence[self._sent_sequence] = self.last_ping_ms
        connection.send(
            dataclasses.replace(ping, sequence=self._sent_sequence)
        )

    async def request(
        self,
        build_frame: collections.abc.Callable[[int], frames.Frame],
        timeout_ms: int,
        withdrawal: work_module.Withdrawal | None = None,
        *,
        is_use: bool = True,
    ) -> frames.Frame | exceptions.Sentinel:
        """Send a frame and return its answer.

        ``build_frame`` gets the number of the call. With ``withdrawal`` the
        host is told when nobody waits any more; its answer is still waited
        for. Without ``is_use``, neither pings nor the closing of unused links
        depend on the request. Returns a sentinel if no answer comes:
        ``NOT_SENT`` if the frame did not leave this host, otherwise
        ``DISCONNECTED`` or ``TIMED_OUT``.
        """
        connection = self._connection
        if connection is None or connection.is_closed:
            return NOT_SENT
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self._futures_by_call_id[call_id] = future
        if is_use:
            self.last_used_ms = self._clock.now()
            self._sent_ms_by_call_id[call_id] = self.last_used_ms
        connection.send(build_frame(call_id))
        timer = asyncio.get_running_loop().call_later(
            timeout_ms / 1000, _set_timed_out, future
        )
        if withdrawal is not None:
            withdrawal.notify(
                functools.partial(self._withdraw, connection, call_id)
            )
        try:
            answer: frames.Frame | exceptions.Sentinel = await future
            return answer
        finally:
            timer.cancel()
            if withdrawal is not None:
                withdrawal.notify(None)
            self._futures_by_call_id.pop(call_id, None)
            self._sent_ms_by_call_id.pop(call_id, None)

    def _withdraw(self, connection: FrameConnection, call_id: int) -> None:
        """Tell the host that nobody waits for a call any more.

        A host of an older release would end the connection.
        """
        if self.claims.takes_withdrawals:
            connection.send(frames.Withdraw(call_id))

    def send(self, frame: frames.Frame) -> None:
        """Send a frame that has no answer."""
        if self._connection is not None:
            self._connection.send(frame)

    def handle_frame(
        self, connection: FrameConnection, frame: frames.Frame
    ) -> None:
        self.last_answer_ms = self._clock.now()
        match frame:
            case frames.OutcomeFrame() | frames.TokenAnswer():
                self._complete_call(frame.call_id, frame)
            case frames.Snapshot() | frames.Directory() | frames.Explanation():
                self._complete_call(frame.call_id, frame)
            case frames.Pong():
                self._record_pong(frame)
            case frames.Claims():
                self.claims = frame
                self.claims_received_ms = self._clock.now()
            case _:
                _log.warning(
                    'peer_frame_unexpected',
                    peer=self.peer.host_id,
                    kind=type(frame).__name__,
                )

    def _complete_call(self, call_id: int, frame: frames.Frame) -> None:
        future = self._futures_by_call_id.get(call_id)
        if future is not None and not future.done():
            future.set_result(frame)

    def _record_pong(self, pong: frames.Pong) -> None:
        was_up = self.is_up
        previous_state = (self.is_draining, self.reaches_store)
        self._answered_sequence = max(self._answered_sequence, pong.sequence)
        self.is_draining = pong.is_draining
        self.reaches_store = pong.reaches_store
        self.is_silent = False
        self.catalog_version = pong.catalog_version
        self.fleet_digest = pong.fleet_digest
        self.evacuation_version = pong.evacuation_version
        self.evacuation_digest = pong.evacuation_digest
        self.return_digest = pong.return_digest
        self.answers_directory = pong.answers_directory
        self.answers_explain = pong.answers_explain
        sent_ms = self._sent_ms_by_sequence.pop(pong.sequence, None)
        if sent_ms is not None:
            self.answered_ping_ms = sent_ms
            # The answer was sent after the ping, at a moment unknown here.
            self.catalog_confirmed_ms = (
                None
                if pong.catalog_age_ms is None
                else sent_ms - pong.catalog_age_ms
            )
            for each in pong.observations:
                self.limits_by_service[each.service] = (
                    sent_ms,
                    each.limits_by_start,
                )
                if each.position is None:
                    continue
                self.observed_by_service[each.service] = (
                    sent_ms - each.age_ms,
                    each.position,
                )
                if each.sole_primary is not None:
                    self.sole_primary_by_service[each.service] = (
                        sent_ms - each.sole_primary.age_ms,
                        each.sole_primary.term,
                    )
        for sequence in [
            each for each in self._sent_ms_by_sequence if each < pong.sequence
        ]:
            del self._sent_ms_by_sequence[sequence]
        if was_up != self.is_up or previous_state != (
            self.is_draining,
            self.reaches_store,
        ):
            self._on_change()

    def handle_disconnect(self, connection: FrameConnection) -> None:
        if connection is not self._connection:
            return
        for future in list(self._futures_by_call_id.values()):
            if not future.done():
                future.set_result(DISCONNECTED)
        self._sent_ms_by_sequence.clear()
        self._on_change()


NOT_SENT = exceptions.Sentinel('not sent')
DISCONNECTED = exceptions.Sentinel('disconnected')
UNREACHABLE = 'the gateway host is unreachable'
TIMED_OUT = exceptions.Sentinel('timed out')


def _set_timed_out(future: asyncio.Future[object]) -> None:
    if not future.done():
        future.set_result(TIMED_OUT)


def outcome_without_answer(reason: exceptions.Sentinel) -> work_module.Outcome:
    """Return the outcome of a statement that got no answer.

    ``reason`` is one of the sentinels above.
    """
    if reason is NOT_SENT:
        return work_module.Refused('BUSY', UNREACHABLE)
    return work_module.Lost(
        f'gateway host: {reason.reason}', timed_out=reason is TIMED_OUT
    )
