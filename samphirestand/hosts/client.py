"""Calls to other hosts: one connection and one task for each peer."""

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
BACKOFF_LAST_MS = 2_000

# A connection that ends sooner than this doesn't reset the back-off.
STABLE_MS = 1_000

# A call without a connection waits at most this long for one, so that a
# request can still be tried on another host.
CONNECT_WAIT_MS = 500

# A connection can go silent while its socket stays open. When calls have
# been without any answer for SILENT_MS, a ping must be answered within
# PING_TIMEOUT_MS or the connection is replaced.
SILENT_MS = 500
PING_TIMEOUT_MS = 1_000

# A host may talk to all others over time; idle connections cost memory. They
# are looked at rarely, because a host may have some thousand of them.
IDLE_CLOSE_MS = 60_000
IDLE_CHECK_MS = 30_000

Call = collections.abc.Callable[[Any], collections.abc.Awaitable[Any]]


@dataclasses.dataclass(frozen=True)
class Identity:
    """What a host shows to its peers when it logs in."""

    host_id: str
    zone: str
    incarnation: int
    secret: str


class PeerClients:
    """Connections to all peers that this host calls.

    Each call raises ``HostError`` if nothing was sent and ``HostAnswerLost``
    if the call was sent and no usable answer came within ``timeout_ms``.
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
        self._links_by_address: dict[str, PeerLink] = {}
        self._closed = False

    async def run(
        self, host: types.Host, request: types.Request, timeout_ms: int
    ) -> types.Outcome:
        message = codec.encode_request(request)
        answer = await self._call(
            host, 'run', lambda peer: peer.run(message), timeout_ms
        )
        return _decoded(codec.decode_outcome, answer.outcome, host, 'run')

    async def gossip(
        self, host: types.Host, state: Any, timeout_ms: int
    ) -> Any:
        """Exchange gossip messages; the codec of gossip is the caller's."""
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
        """Return the status; its age counts from the sending of this call."""
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
        # A state probed after the question arrived is at most as old as the
        # call. An older one has aged on the way back, too.
        elapsed_ms = self._clock.now() - asked_ms
        is_fresh = answer.ageMs <= elapsed_ms
        return types.TargetStatus(
            state=_decoded(
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
            _decoded(codec.decode_change, each, host, 'configuration changes')
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
        link = self._links_by_address.get(_address(host))
        return link is not None and link.is_connected

    async def close(self) -> None:
        """Close all connections; calls under way raise HostAnswerLost."""
        self._closed = True
        links = list(self._links_by_address.values())
        await asyncio.gather(*(link.close() for link in links))

    async def _call(
        self, host: types.Host, step: str, call: Call, timeout_ms: int
    ) -> Any:
        if self._closed:
            raise exceptions.HostError(
                'this host is stopping', step=step, peer=host.host_id
            )
        address = _address(host)
        link = self._links_by_address.get(address)
        if link is None or link.is_finished:
            link = PeerLink(
                addresses.translate(
                    host.peer_address, host.peer_port, self._translation
                ),
                self._identity,
                self._clock,
                self._tls,
                self._rng,
            )
            self._links_by_address[address] = link
            link.start(lambda: self._forget(address))
        return await link.call(host.host_id, step, call, timeout_ms)

    def _forget(self, address: str) -> None:
        link = self._links_by_address.get(address)
        if link is not None and link.is_finished:
            del self._links_by_address[address]


class PeerLink:
    """One peer: connects, logs in, watches for silence, connects again."""

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
        self._changed = asyncio.Event()
        self._unanswered = asyncio.Event()
        self._failures = 0
        self._lost: asyncio.Future[None] | None = None
        self._pending: dict[int, int] = {}  # call number -> sent at, ms
        self._next_call = 0
        self._answered_ms = clock.now()
        self._used_ms = clock.now()
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
        self._disconnect('closed by this host')
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def call(
        self, host_id: str, step: str, call: Call, timeout_ms: int
    ) -> Any:
        """Call the peer; see ``PeerClients`` for the errors."""
        started_ms = self._clock.now()
        self._used_ms = started_ms
        peer, lost = await self._connected(host_id, step, timeout_ms)
        left_ms = timeout_ms - (self._clock.now() - started_ms)
        if left_ms <= 0:
            raise exceptions.HostError(
                f'no connection within {timeout_ms} ms',
                step=step,
                peer=host_id,
            )
        number = self._next_call
        self._next_call += 1
        self._pending[number] = self._clock.now()
        try:
            answer = await self._answer(peer, lost, call, left_ms)
        except capnp.KjException as error:
            raise _call_error(error, step, host_id) from error
        except TimeoutError as error:
            raise exceptions.HostAnswerLost(
                f'no answer within {timeout_ms} ms', step=step, peer=host_id
            ) from error
        finally:
            del self._pending[number]
        if answer is None:
            raise exceptions.HostAnswerLost(
                self._last_error, step=step, peer=host_id
            )
        return answer

    async def _answer(
        self,
        peer: Any,
        lost: asyncio.Future[None],
        call: Call,
        timeout_ms: int,
    ) -> Any:
        """Return the answer, or None if the connection was lost before.

        Raises ``TimeoutError`` after the time-out.
        """
        answer = asyncio.ensure_future(codec.awaited(call(peer)))
        try:
            await self._first(answer, lost, min(timeout_ms, SILENT_MS))
            if not answer.done() and not lost.done():
                self._unanswered.set()
                await self._first(answer, lost, timeout_ms - SILENT_MS)
            # A call fails as well when its connection is taken down; why
            # that was done says more than the failure.
            if lost.done() and (not answer.done() or answer.exception()):
                return None
            if not answer.done():
                raise TimeoutError
            result = answer.result()
            self._answered_ms = self._clock.now()
            return result
        finally:
            # An answer that comes after this is discarded by the library.
            answer.cancel()

    async def _first(
        self,
        answer: asyncio.Future[Any],
        lost: asyncio.Future[None],
        timeout_ms: int,
    ) -> None:
        await asyncio.wait(
            (answer, lost),
            timeout=max(0, timeout_ms) / 1000,
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _connected(
        self, host_id: str, step: str, timeout_ms: int
    ) -> tuple[Any, asyncio.Future[None]]:
        failures = self._failures
        wait_ms = min(timeout_ms, CONNECT_WAIT_MS)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._peer is None and not self.is_finished:
                    await self._changed.wait()
                    if self._failures != failures:
                        break
        except TimeoutError as error:
            raise exceptions.HostError(
                self._last_error, step=step, peer=host_id
            ) from error
        if self._peer is None or self._lost is None:
            raise exceptions.HostError(
                self._last_error, step=step, peer=host_id
            )
        # The address may belong to another host by now.
        if host_id and host_id != self._peer_id:
            raise exceptions.HostError(
                f'the address now belongs to host {self._peer_id}',
                step=step,
                peer=host_id,
            )
        return self._peer, self._lost

    async def _run(self) -> None:
        backoff_ms = BACKOFF_FIRST_MS
        try:
            while not self._is_idle():
                started_ms = self._clock.now()
                try:
                    await self._connect_once()
                except (OSError, capnp.KjException, TimeoutError) as error:
                    self._last_error = codec.describe(error)
                    self._failures += 1
                    self._announce()
                if self._clock.now() - started_ms >= STABLE_MS:
                    backoff_ms = BACKOFF_FIRST_MS
                await self._clock.sleep(self._rng.randint(0, backoff_ms))
                backoff_ms = min(2 * backoff_ms, BACKOFF_LAST_MS)
        finally:
            self.is_finished = True
            self._announce()

    async def _connect_once(self) -> None:
        """Connect, log in and supervise until the connection is useless."""
        stream = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                address, port = self._address
                stream = await capnp.AsyncIoStream.create_connection(
                    address, port, ssl=self._tls()
                )
                client = capnp.TwoPartyClient(stream)
                login = client.bootstrap().cast_as(codec.schema.Login)
                me = self._identity()
                answer = await login.hello(
                    me.host_id, me.zone, me.incarnation, me.secret
                )
            self._connect(answer.hostId, answer.peer)
            reason = await self._supervise(client)
            logger.info('peer_disconnected', peer=self._peer_id, why=reason)
            self._disconnect(reason)
        finally:
            self._disconnect('connection closed')
            if stream is not None:
                stream.close()

    async def _supervise(self, client: Any) -> str:
        """Return why the connection must be replaced."""
        gone = asyncio.ensure_future(codec.awaited(client.on_disconnect()))
        try:
            while not gone.done():
                await self._await_silence(gone)
                if self._is_idle():
                    return 'idle'
                if self._is_silent() and not await self._answers_ping():
                    return 'calls and a ping went unanswered'
        finally:
            gone.cancel()
        return 'closed by the peer'

    async def _await_silence(self, gone: asyncio.Future[Any]) -> None:
        """Wait until the connection needs a look."""
        wait_ms = SILENT_MS if self._pending else IDLE_CHECK_MS
        self._unanswered.clear()
        unanswered = asyncio.ensure_future(self._unanswered.wait())
        try:
            await asyncio.wait(
                (gone, unanswered),
                timeout=wait_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            unanswered.cancel()

    def _is_idle(self) -> bool:
        idle_ms = self._clock.now() - self._used_ms
        return not self._pending and idle_ms > IDLE_CLOSE_MS

    def _is_silent(self) -> bool:
        if not self._pending:
            return False
        since_ms = max(min(self._pending.values()), self._answered_ms)
        return self._clock.now() - since_ms >= SILENT_MS

    async def _answers_ping(self) -> bool:
        try:
            async with asyncio.timeout(PING_TIMEOUT_MS / 1000):
                await codec.awaited(self._peer.ping())
        except (TimeoutError, capnp.KjException):
            return False
        self._answered_ms = self._clock.now()
        return True

    def _connect(self, peer_id: str, peer: Any) -> None:
        self._peer_id = peer_id
        self._peer = peer
        self._lost = asyncio.get_running_loop().create_future()
        self._answered_ms = self._clock.now()
        self._announce()

    def _announce(self) -> None:
        """Wake the calls that wait for a connection."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _disconnect(self, reason: str) -> None:
        if self._peer is None:
            return
        self._last_error = reason
        self._peer = None
        if self._lost is not None and not self._lost.done():
            self._lost.set_result(None)


def _address(host: types.Host) -> str:
    return f'{host.peer_address}:{host.peer_port}'


def _call_error(
    error: capnp.KjException, step: str, peer: str
) -> exceptions.HostError:
    if error.type == 'UNIMPLEMENTED':
        return exceptions.HostError(
            codec.describe(error), step=step, peer=peer
        )
    return exceptions.HostAnswerLost(
        codec.describe(error), step=step, peer=peer
    )


def _decoded(
    decode: collections.abc.Callable[[Any], Any],
    message: Any,
    host: types.Host,
    step: str,
) -> Any:
    """Decode an answer; one that makes no sense counts as lost."""
    try:
        return decode(message)
    except (ValueError, capnp.KjException) as error:
        raise exceptions.HostAnswerLost(
            f'unusable answer: {codec.describe(error)}',
            step=step,
            peer=host.host_id,
        ) from error
