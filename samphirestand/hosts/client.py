"""RPC client for other hosts, with one connection and task for each peer."""

import asyncio
import collections.abc
import dataclasses
import random
import ssl
from typing import Any

import capnp

from samphirestand import addresses
from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import codec
from samphirestand import log
from samphirestand import types

logger = log.get_logger(__name__)

CONNECT_TIMEOUT_MS = 2_000
BACKOFF_FIRST_MS = 100
BACKOFF_MAX_MS = 2_000

# A connection that ends sooner than this doesn't reset the delay before the
# next attempt to connect.
STABLE_MS = 1_000

# A call waits at most this long for a connection, so that time is left to try
# the request on another host.
CONNECT_WAIT_MS = 500

# A peer can stop answering while the socket stays open. If calls are under way
# and no answer arrives for SILENT_MS, the client sends a ping; if that isn't
# answered within PING_TIMEOUT_MS, it replaces the connection.
SILENT_MS = 500
PING_TIMEOUT_MS = 1_000

# A host may call every other host over time, so idle connections are closed to
# save memory. They are checked rarely, because a host may have some thousand.
IDLE_CLOSE_MS = 60_000
IDLE_CHECK_MS = 30_000

Call = collections.abc.Callable[[Any], collections.abc.Awaitable[Any]]


@dataclasses.dataclass(frozen=True)
class Identity:
    """What this host sends to a peer when it logs in."""

    host_id: str
    zone: str
    incarnation: int
    secret: str


class PeerClients:
    """Calls the methods of other hosts.

    Each call raises ``HostError`` if nothing was sent, and ``HostAnswerLost``
    if the call was sent and no usable answer arrived within ``timeout_ms``.
    """

    def __init__(
        self,
        identity: collections.abc.Callable[[], Identity],
        clock: clocks.Clock,
        translation: dict[str, str] | None = None,
        tls: collections.abc.Callable[[], ssl.SSLContext | None] = (
            lambda: None
        ),
        rng: random.Random | None = None,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._translation = translation or {}
        self._tls = tls
        self._rng = rng or random.Random()
        self._connections_by_address: dict[str, PeerConnection] = {}
        self._closed = False

    async def run(
        self, host: types.Host, request: types.Request, timeout_ms: int
    ) -> types.Outcome:
        message = codec.encode_request(request)
        answer = await self._call(
            host, 'run', lambda peer: peer.run(message), timeout_ms
        )
        return _decode_answer(
            codec.decode_outcome, answer.outcome, host, 'run'
        )

    async def gossip(
        self, host: types.Host, state: Any, timeout_ms: int
    ) -> Any:
        """Send a gossip message and return the answer, both encoded."""
        answer = await self._call(
            host, 'gossip', lambda peer: peer.gossip(state), timeout_ms
        )
        return answer.state

    async def take_tokens(
        self,
        host: types.Host,
        account: str,
        wanted: int,
        collect: bool,
        timeout_ms: int,
    ) -> types.TokenGrant:
        answer = await self._call(
            host,
            'take tokens',
            lambda peer: peer.takeTokens(account, wanted, collect),
            timeout_ms,
        )
        return types.TokenGrant(answer.tokens, answer.validMs)

    async def target_status(
        self,
        host: types.Host,
        target_id: str,
        for_write: types.Position | None,
        wait_ms: int,
        timeout_ms: int,
    ) -> types.TargetStatus | exceptions.Sentinel:
        """Return the status of a target that has its gateway on ``host``.

        The age in the status is at least the time since the target's state
        was probed. Returns a sentinel if the gateway isn't on ``host``.
        """
        asked_ms = self._clock.now()
        arguments: dict[str, Any] = {'targetId': target_id, 'waitMs': wait_ms}
        if for_write is not None:
            arguments['forWrite'] = codec.encode_position(for_write)
        answer = await self._call(
            host,
            'target status',
            lambda peer: peer.targetStatus(**arguments),
            timeout_ms,
        )
        if not answer.known:
            return exceptions.Sentinel(f'no gateway on {host.host_id}')
        # A state that was probed after the call arrived is at most as old as
        # the call. An earlier state has also aged while the answer was on its
        # way, so the whole time of the call is added.
        elapsed_ms = self._clock.now() - asked_ms
        is_fresh = answer.ageMs <= elapsed_ms
        return types.TargetStatus(
            state=_decode_answer(
                codec.decode_state, answer.state, host, 'target status'
            ),
            age_ms=elapsed_ms if is_fresh else answer.ageMs + elapsed_ms,
            suspects_primary=answer.suspect,
        )

    async def configuration_changes(
        self, host: types.Host, after: int, timeout_ms: int
    ) -> list[types.ChangeRow]:
        answer = await self._call(
            host,
            'configuration changes',
            lambda peer: peer.configurationChanges(after),
            timeout_ms,
        )
        return [
            _decode_answer(
                codec.decode_change, each, host, 'configuration changes'
            )
            for each in answer.changes
        ]

    async def explain(
        self, host: types.Host, kind: str, subject: str, timeout_ms: int
    ) -> str | exceptions.Sentinel:
        answer = await self._call(
            host,
            'explain',
            lambda peer: peer.explain(kind, subject),
            timeout_ms,
        )
        if not answer.found:
            return exceptions.Sentinel(f'unknown on {host.host_id}')
        return answer.text

    def is_connected(self, host: types.Host) -> bool:
        """Tell whether a call to ``host`` would be sent at once."""
        connection = self._connections_by_address.get(_address(host))
        return connection is not None and connection.is_connected

    async def close(self) -> None:
        """Close all connections; calls under way raise HostAnswerLost."""
        self._closed = True
        connections = list(self._connections_by_address.values())
        await asyncio.gather(
            *(connection.close() for connection in connections)
        )

    async def _call(
        self, host: types.Host, step: str, call: Call, timeout_ms: int
    ) -> Any:
        if self._closed:
            raise exceptions.HostError(
                'this host is stopping', step=step, peer=host.host_id
            )
        address = _address(host)
        connection = self._connections_by_address.get(address)
        if connection is None or connection.is_finished:
            connection = PeerConnection(
                addresses.translate(
                    host.peer_address, host.peer_port, self._translation
                ),
                self._identity,
                self._clock,
                self._tls,
                self._rng,
            )
            self._connections_by_address[address] = connection
            connection.start(lambda: self._remove_finished(address))
        return await connection.call(host.host_id, step, call, timeout_ms)

    def _remove_finished(self, address: str) -> None:
        connection = self._connections_by_address.get(address)
        if connection is not None and connection.is_finished:
            del self._connections_by_address[address]


class PeerConnection:
    """The connection to one peer.

    Its task connects, logs in, replaces a connection that fails or goes
    silent, and ends after the connection has been idle.
    """

    def __init__(
        self,
        address: tuple[str, int],
        identity: collections.abc.Callable[[], Identity],
        clock: clocks.Clock,
        tls: collections.abc.Callable[[], ssl.SSLContext | None],
        rng: random.Random,
    ) -> None:
        self._address = address
        self._identity = identity
        self._clock = clock
        self._tls = tls
        self._rng = rng
        self._peer: Any = None
        self._peer_id = ''
        self._last_error = 'not connected yet'
        self._state_changed = asyncio.Event()
        self._answer_overdue = asyncio.Event()
        self._failed_attempts = 0
        self._connection_lost: asyncio.Future[None] | None = None
        self._sent_ms_by_call: dict[int, int] = {}
        self._next_call_number = 0
        self._last_answer_ms = clock.now()
        self._last_call_ms = clock.now()
        self._task: asyncio.Task[None] | None = None
        self.is_finished = False

    @property
    def is_connected(self) -> bool:
        return self._peer is not None

    def start(self, on_end: collections.abc.Callable[[], None]) -> None:
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(lambda _: on_end())

    async def close(self) -> None:
        self.is_finished = True
        self._set_disconnected('closed by this host')
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def call(
        self, host_id: str, step: str, call: Call, timeout_ms: int
    ) -> Any:
        """Call the peer and return its answer.

        Raises the errors that ``PeerClients`` describes.
        """
        started_ms = self._clock.now()
        self._last_call_ms = started_ms
        peer, connection_lost = await self._wait_for_connection(
            host_id, step, timeout_ms
        )
        left_ms = timeout_ms - (self._clock.now() - started_ms)
        if left_ms <= 0:
            raise exceptions.HostError(
                f'no connection within {timeout_ms} ms',
                step=step,
                peer=host_id,
            )
        call_number = self._next_call_number
        self._next_call_number += 1
        self._sent_ms_by_call[call_number] = self._clock.now()
        try:
            answer = await self._await_answer(
                peer, connection_lost, call, left_ms
            )
        except capnp.KjException as error:
            raise _error_of_call(error, step, host_id) from error
        except TimeoutError as error:
            raise exceptions.HostAnswerLost(
                f'no answer within {timeout_ms} ms', step=step, peer=host_id
            ) from error
        finally:
            del self._sent_ms_by_call[call_number]
        if answer is None:
            raise exceptions.HostAnswerLost(
                self._last_error, step=step, peer=host_id
            )
        return answer

    async def _await_answer(
        self,
        peer: Any,
        connection_lost: asyncio.Future[None],
        call: Call,
        timeout_ms: int,
    ) -> Any:
        """Return the answer, or None if the connection was lost before it.

        Raises ``TimeoutError`` after ``timeout_ms``.
        """
        answer = asyncio.ensure_future(codec.wait_for_promise(call(peer)))
        try:
            await self._wait_for_first(
                answer, connection_lost, min(timeout_ms, SILENT_MS)
            )
            if not answer.done() and not connection_lost.done():
                self._answer_overdue.set()
                await self._wait_for_first(
                    answer, connection_lost, timeout_ms - SILENT_MS
                )
            # When a connection is closed, its calls fail, too. The reason for
            # closing tells more than such a failure, so the latter is dropped.
            if connection_lost.done() and (
                not answer.done() or answer.exception()
            ):
                return None
            if not answer.done():
                raise TimeoutError
            result = answer.result()
            self._last_answer_ms = self._clock.now()
            return result
        finally:
            # The library discards an answer that arrives later.
            answer.cancel()

    async def _wait_for_first(
        self,
        answer: asyncio.Future[Any],
        connection_lost: asyncio.Future[None],
        timeout_ms: int,
    ) -> None:
        await asyncio.wait(
            (answer, connection_lost),
            timeout=max(0, timeout_ms) / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _wait_for_connection(
        self, host_id: str, step: str, timeout_ms: int
    ) -> tuple[Any, asyncio.Future[None]]:
        """Return the peer and a future that ends with its connection.

        Raises ``HostError`` if no connection is made in time, if an attempt to
        connect fails, or if another host answers at the address.
        """
        failed_attempts_before = self._failed_attempts
        wait_ms = min(timeout_ms, CONNECT_WAIT_MS)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._peer is None and not self.is_finished:
                    await self._state_changed.wait()
                    if self._failed_attempts != failed_attempts_before:
                        break
        except TimeoutError as error:
            raise exceptions.HostError(
                self._last_error, step=step, peer=host_id
            ) from error
        if self._peer is None or self._connection_lost is None:
            raise exceptions.HostError(
                self._last_error, step=step, peer=host_id
            )
        # Another host may have taken over the address.
        if host_id and host_id != self._peer_id:
            raise exceptions.HostError(
                f'the address now belongs to host {self._peer_id}',
                step=step,
                peer=host_id,
            )
        return self._peer, self._connection_lost

    async def _run(self) -> None:
        backoff_ms = BACKOFF_FIRST_MS
        try:
            while not self._is_idle():
                started_ms = self._clock.now()
                try:
                    await self._connect_once()
                except (OSError, capnp.KjException, TimeoutError) as error:
                    self._last_error = codec.describe(error)
                    self._failed_attempts += 1
                    self._wake_waiting_calls()
                if self._clock.now() - started_ms >= STABLE_MS:
                    backoff_ms = BACKOFF_FIRST_MS
                await self._clock.sleep(self._rng.randint(0, backoff_ms))
                backoff_ms = min(2 * backoff_ms, BACKOFF_MAX_MS)
        finally:
            self.is_finished = True
            self._wake_waiting_calls()

    async def _connect_once(self) -> None:
        """Connect, log in and wait until the connection must be replaced."""
        stream = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                address, port = self._address
                stream = await capnp.AsyncIoStream.create_connection(
                    address, port, ssl=self._tls()
                )
                client = capnp.TwoPartyClient(stream)
                login = client.bootstrap().cast_as(codec.schema.Login)
                own = self._identity()
                answer = await login.hello(
                    own.host_id, own.zone, own.incarnation, own.secret
                )
            self._set_connected(answer.hostId, answer.peer)
            reason = await self._supervise(client)
            logger.info('peer_disconnected', peer=self._peer_id, reason=reason)
            self._set_disconnected(reason)
        finally:
            self._set_disconnected('connection closed')
            if stream is not None:
                stream.close()

    async def _supervise(self, client: Any) -> str:
        """Wait until the connection must be replaced; return the reason."""
        disconnected = asyncio.ensure_future(
            codec.wait_for_promise(client.on_disconnect())
        )
        try:
            while not disconnected.done():
                await self._wait_for_check(disconnected)
                if self._is_idle():
                    return 'idle'
                if self._is_silent() and not await self._answers_ping():
                    return 'calls and a ping went unanswered'
        finally:
            disconnected.cancel()
        return 'closed by the peer'

    async def _wait_for_check(self, disconnected: asyncio.Future[Any]) -> None:
        """Wait until the connection must be checked for silence or idleness.

        That is the case when a call has waited for SILENT_MS, after an
        interval, and at once when ``disconnected`` is done.
        """
        wait_ms = SILENT_MS if self._sent_ms_by_call else IDLE_CHECK_MS
        self._answer_overdue.clear()
        overdue = asyncio.ensure_future(self._answer_overdue.wait())
        try:
            await asyncio.wait(
                (disconnected, overdue),
                timeout=wait_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            overdue.cancel()

    def _is_idle(self) -> bool:
        idle_ms = self._clock.now() - self._last_call_ms
        return not self._sent_ms_by_call and idle_ms > IDLE_CLOSE_MS

    def _is_silent(self) -> bool:
        if not self._sent_ms_by_call:
            return False
        since_ms = max(
            min(self._sent_ms_by_call.values()), self._last_answer_ms
        )
        return self._clock.now() - since_ms >= SILENT_MS

    async def _answers_ping(self) -> bool:
        try:
            async with asyncio.timeout(PING_TIMEOUT_MS / 1000):
                await codec.wait_for_promise(self._peer.ping())
        except (TimeoutError, capnp.KjException):
            return False
        self._last_answer_ms = self._clock.now()
        return True

    def _set_connected(self, peer_id: str, peer: Any) -> None:
        self._peer_id = peer_id
        self._peer = peer
        self._connection_lost = asyncio.get_running_loop().create_future()
        self._last_answer_ms = self._clock.now()
        self._wake_waiting_calls()

    def _wake_waiting_calls(self) -> None:
        """Wake up the calls that wait for a connection."""
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    def _set_disconnected(self, reason: str) -> None:
        if self._peer is None:
            return
        self._last_error = reason
        self._peer = None
        if (
            self._connection_lost is not None
            and not self._connection_lost.done()
        ):
            self._connection_lost.set_result(None)


def _address(host: types.Host) -> str:
    return f'{host.peer_address}:{host.peer_port}'


def _error_of_call(
    error: capnp.KjException, step: str, peer: str
) -> exceptions.HostError:
    if error.type == 'UNIMPLEMENTED':
        return exceptions.HostError(
            codec.describe(error), step=step, peer=peer
        )
    return exceptions.HostAnswerLost(
        codec.describe(error), step=step, peer=peer
    )


def _decode_answer(
    decode: collections.abc.Callable[[Any], Any],
    message: Any,
    host: types.Host,
    step: str,
) -> Any:
    """Decode an answer; raise ``HostAnswerLost`` if it is unusable."""
    try:
        return decode(message)
    except (ValueError, capnp.KjException) as error:
        raise exceptions.HostAnswerLost(
            f'unusable answer: {codec.describe(error)}',
            step=step,
            peer=host.host_id,
        ) from error
