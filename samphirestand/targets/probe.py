"""The lock connection and the watch connection of a target."""

import asyncio
import collections.abc
import dataclasses

import structlog

from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.targets import breaker as breaker_module
from samphirestand.targets import context as context_module
from samphirestand.targets import messages
from samphirestand import types

LOG = structlog.get_logger()

LOCK_NAME = 'samphirestand.gateway'
PROBE_INTERVAL_MS = 250
PROBE_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 1_000
# The server releases the lock of a connection that is silent this long.
LOCK_SILENCE_MS = 3_000
# A watch returns at least this often, so that a position that never comes
# doesn't hold up the waiters of other positions.
LONGEST_WATCH_MS = 250


@dataclasses.dataclass
class _Waiter:
    position: types.Position
    term: int
    future: asyncio.Future[None]


class Probe:
    """Knows a target's state and holds its gateway lock.

    ``on_lost`` is called when the lock was held and is no more; the server
    has then ended, or will end, the other connections of this host.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        breaker: breaker_module.CircuitBreaker,
        on_lost: collections.abc.Callable[[], None],
    ) -> None:
        # Set when the target's term or role changed.
        self.changed = asyncio.Event()
        self.state: types.TargetState | None = None
        self.holder = ''
        self._context = context
        self._target = target
        self._breaker = breaker
        self._on_lost = on_lost
        self._asked_at = 0
        self._granted = False
        self._lock_connection: interfaces.TargetConnection | None = None
        self._wake = asyncio.Event()
        self._fresh: list[asyncio.Future[types.TargetState | None]] = []
        self._calls: list[
            tuple[messages.Call, asyncio.Future[messages.Answer | None]]
        ] = []
        self._waiters: list[_Waiter] = []
        self._watch_wanted = asyncio.Event()

    @property
    def is_held(self) -> bool:
        """Tell whether this host holds the lock.

        False after a silence as long as the server tolerates, also when this
        process was paused and can't have noticed it otherwise.
        """
        silence = self._context.clock.now() - self._asked_at
        return self._granted and silence < LOCK_SILENCE_MS

    async def run(self) -> None:
        """Connect, lock and probe until cancelled."""
        watch = asyncio.ensure_future(self._watch())
        try:
            while True:
                if self._breaker.allow():
                    await self._session()
                await self._context.clock.sleep(
                    max(PROBE_INTERVAL_MS // 5, self._breaker.wait_ms())
                )
        finally:
            watch.cancel()
            self.close()

    def close(self) -> None:
        """Close the lock connection; the server then frees the lock."""
        if self._lock_connection is not None:
            self._lock_connection.close()
            self._lock_connection = None
        self._lose()

    async def fresh(self, timeout_ms: int) -> types.TargetState | None:
        """Return the state from a probe sent after this call."""
        if not self.is_held:
            return None
        future = asyncio.get_running_loop().create_future()
        self._fresh.append(future)
        self._wake.set()
        return await self._result(future, timeout_ms)

    async def call(
        self, message: messages.Call, timeout_ms: int
    ) -> messages.Answer | None:
        """Send a call on the lock connection."""
        if not self.is_held:
            return None
        future = asyncio.get_running_loop().create_future()
        self._calls.append((message, future))
        self._wake.set()
        return await self._result(future, timeout_ms)

    async def containing(
        self, position: types.Position, wait_ms: int
    ) -> types.TargetState | None:
        """Wait until the log holds ``position`` or the term changes.

        Returns the latest state in any case. A state that holds the position
        may be older than this call: what a log held in a term, it held when
        that term was in force.
        """
        state = self.state
        if state is None or not self.is_held:
            return None
        if state.history.contains(position):
            return state
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(position, state.term, future)
        self._waiters.append(waiter)
        self._watch_wanted.set()
        try:
            await context_module.within(self._context.clock, future, wait_ms)
        except TimeoutError:
            pass
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return self.state if self.is_held else None

    async def _result(
        self, future: asyncio.Future[context_module.T], timeout_ms: int
    ) -> context_module.T | None:
        try:
            return await context_module.within(
                self._context.clock, future, timeout_ms
            )
        except TimeoutError:
            return None

    async def _session(self) -> None:
        # One life of the lock connection.
        try:
            connection = await self._context.connector.connect(
                self._target.url, self._context.host_id, CONNECT_TIMEOUT_MS
            )
        except exceptions.TargetError as error:
            self._failed(error)
            return
        self._breaker.succeeded()
        self._lock_connection = connection
        try:
            if await self._lock(connection):
                await self._probe(connection)
        except exceptions.TargetError as error:
            self._failed(error)
        finally:
            connection.close()
            self._lose()

    async def _lock(self, connection: interfaces.TargetConnection) -> bool:
        # Waits for the lock on the same connection, which needs no more than
        # one of the server's reserved connections.
        while connection.is_open:
            asked = self._context.clock.now()
            answer = await connection.call(
                messages.Lock(LOCK_NAME, self._context.host_id),
                PROBE_TIMEOUT_MS,
            )
            self.holder = answer.holder
            self._note(answer.state, asked)
            if answer.granted:
                self._granted = True
                return True
            await self._context.clock.sleep(PROBE_INTERVAL_MS)
        return False

    async def _probe(self, connection: interfaces.TargetConnection) -> None:
        while connection.is_open:
            await self._send_calls(connection)
            waiting, self._fresh = self._fresh, []
            asked = self._context.clock.now()
            try:
                answer = await connection.call(
                    messages.Status(), PROBE_TIMEOUT_MS
                )
            except exceptions.TargetError:
                _set_all(waiting, None)
                raise
            self._note(answer.state, asked)
            _set_all(waiting, answer.state)
            if not self._fresh and not self._calls:
                await self._pause()

    async def _send_calls(
        self, connection: interfaces.TargetConnection
    ) -> None:
        while self._calls:
            message, future = self._calls.pop(0)
            if future.done():
                continue
            asked = self._context.clock.now()
            try:
                answer = await connection.call(message, PROBE_TIMEOUT_MS)
            except exceptions.TargetError:
                _set_all([future], None)
                raise
            self._note(answer.state, asked)
            _set_all([future], answer)

    async def _pause(self) -> None:
        self._wake.clear()
        try:
            await context_module.within(
                self._context.clock, self._wake.wait(), PROBE_INTERVAL_MS
            )
        except TimeoutError:
            pass

    async def _watch(self) -> None:
        connection: interfaces.TargetConnection | None = None
        while True:
            await self._watch_wanted.wait()
            self._watch_wanted.clear()
            while self._waiters and self.is_held:
                try:
                    if connection is None or not connection.is_open:
                        connection = await self._context.connector.connect(
                            self._target.url,
                            self._context.host_id,
                            CONNECT_TIMEOUT_MS,
                        )
                    await self._watch_once(connection)
                except exceptions.TargetError as error:
                    self._log(error)
                    await self._context.clock.sleep(PROBE_INTERVAL_MS)

    async def _watch_once(
        self, connection: interfaces.TargetConnection
    ) -> None:
        position = min(waiter.position for waiter in self._waiters)
        asked = self._context.clock.now()
        answer = await connection.call(
            messages.Status(position, LONGEST_WATCH_MS),
            LONGEST_WATCH_MS + PROBE_TIMEOUT_MS,
        )
        self._note(answer.state, asked, is_lock=False)

    def _note(
        self, state: types.TargetState, asked: int, is_lock: bool = True
    ) -> None:
        # Answers of the two connections may overtake each other.
        known = self.state
        if known is None or not _is_older(state, known):
            self.state = state
            if known is None or _place(state) != _place(known):
                self.changed.set()
        if is_lock:
            self._asked_at = max(self._asked_at, asked)
        for waiter in list(self._waiters):
            held = state.history.contains(waiter.position)
            if held or state.term != waiter.term:
                self._waiters.remove(waiter)
                _set_all([waiter.future], None)

    def _failed(self, error: exceptions.TargetError) -> None:
        if isinstance(error, exceptions.TargetConnectError):
            self._breaker.failed()
        self._log(error)

    def _log(self, error: exceptions.TargetError) -> None:
        self._context.metrics.count('probe_failures')
        LOG.warning(
            'target connection failed',
            step=error.step,
            peer=error.peer or self._target.target_id,
            error=error.message,
        )

    def _lose(self) -> None:
        was_granted, self._granted = self._granted, False
        waiting, self._fresh = self._fresh, []
        _set_all(waiting, None)
        calls, self._calls = self._calls, []
        _set_all([future for _, future in calls], None)
        if was_granted:
            self._on_lost()


def _place(state: types.TargetState) -> tuple[int, str]:
    return state.term, state.role


def _is_older(state: types.TargetState, known: types.TargetState) -> bool:
    if state.term != known.term:
        return state.term < known.term
    return state.position < known.position


def _set_all(
    futures: list[asyncio.Future[context_module.T]], value: context_module.T
) -> None:
    for future in futures:
        if not future.done():
            future.set_result(value)
