"""Gateway lock and state of a target, read over two connections.

The lock connection holds the lock and sends probes. The watch connection
waits for log positions.
"""

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
# The server releases the lock of a connection without calls for this long.
LOCK_SILENCE_MS = 3_000
# Longest wait of one status request on the watch connection. A position that
# the log never gets then doesn't delay the waits for other positions.
MAX_WATCH_MS = 250


@dataclasses.dataclass
class _PositionWaiter:
    """A caller that waits for a log position while ``term`` lasts."""

    position: types.Position
    term: int
    future: asyncio.Future[None]


class Probe:
    """Holds a target's gateway lock and keeps its latest state.

    ``on_lock_lost`` is called when a held lock is lost; the server then has
    closed, or will close, the other connections of this host.
    """

    def __init__(
        self,
        context: context_module.Context,
        target: types.Target,
        breaker: breaker_module.CircuitBreaker,
        on_lock_lost: collections.abc.Callable[[], None],
    ) -> None:
        # Set when the target's term or role has changed.
        self.term_or_role_changed = asyncio.Event()
        self.state: types.TargetState | None = None
        self.lock_holder = ''
        self._context = context
        self._target = target
        self._breaker = breaker
        self._on_lock_lost = on_lock_lost
        self._answered_call_sent_at = 0
        self._is_lock_granted = False
        self._lock_connection: interfaces.TargetConnection | None = None
        self._probe_requested = asyncio.Event()
        self._state_futures: list[
            asyncio.Future[types.TargetState | None]
        ] = []
        self._queued_calls: list[
            tuple[messages.Call, asyncio.Future[messages.Answer | None]]
        ] = []
        self._position_waiters: list[_PositionWaiter] = []
        self._watch_requested = asyncio.Event()

    @property
    def holds_lock(self) -> bool:
        """Tell whether this host holds the lock.

        False ``LOCK_SILENCE_MS`` after the last answered request was sent,
        as the server may have released the lock. This also covers a pause of
        this process, which can't notice the loss otherwise.
        """
        silence_ms = self._context.clock.now() - self._answered_call_sent_at
        return self._is_lock_granted and silence_ms < LOCK_SILENCE_MS

    async def run(self) -> None:
        """Connect, acquire the lock and probe until cancelled."""
        watch = asyncio.ensure_future(self._run_watch())
        try:
            while True:
                if self._breaker.allow_attempt():
                    await self._run_lock_connection()
                await self._context.clock.sleep(
                    max(
                        PROBE_INTERVAL_MS // 5,
                        self._breaker.remaining_back_off_ms(),
                    )
                )
        finally:
            watch.cancel()
            self.close()

    def close(self) -> None:
        """Close the lock connection, so that the server releases the lock."""
        if self._lock_connection is not None:
            self._lock_connection.close()
            self._lock_connection = None
        self._handle_lock_loss()

    async def fetch_state(self, timeout_ms: int) -> types.TargetState | None:
        """Return the state from a probe sent after this call.

        Returns None on a timeout and without the lock.
        """
        if not self.holds_lock:
            return None
        future = asyncio.get_running_loop().create_future()
        self._state_futures.append(future)
        self._probe_requested.set()
        return await self._wait_for_result(future, timeout_ms)

    async def call(
        self, message: messages.Call, timeout_ms: int
    ) -> messages.Answer | None:
        """Send a call on the lock connection.

        Returns None on a timeout and without the lock.
        """
        if not self.holds_lock:
            return None
        future = asyncio.get_running_loop().create_future()
        self._queued_calls.append((message, future))
        self._probe_requested.set()
        return await self._wait_for_result(future, timeout_ms)

    async def wait_for_position(
        self, position: types.Position, wait_ms: int
    ) -> types.TargetState | None:
        """Wait until the log holds ``position`` or the term changes.

        Returns the latest state, also after ``wait_ms`` without the position,
        and None without the lock. A state that contains the position may be
        older than this call: what a log contained in a term, it contained
        while that term was in force.
        """
        state = self.state
        if state is None or not self.holds_lock:
            return None
        if state.history.contains(position):
            return state
        future = asyncio.get_running_loop().create_future()
        waiter = _PositionWaiter(position, state.term, future)
        self._position_waiters.append(waiter)
        self._watch_requested.set()
        try:
            await context_module.wait_for(self._context.clock, future, wait_ms)
        except TimeoutError:
            pass
        finally:
            if waiter in self._position_waiters:
                self._position_waiters.remove(waiter)
        return self.state if self.holds_lock else None

    async def _wait_for_result(
        self, future: asyncio.Future[context_module.T], timeout_ms: int
    ) -> context_module.T | None:
        try:
            return await context_module.wait_for(
                self._context.clock, future, timeout_ms
            )
        except TimeoutError:
            return None

    async def _run_lock_connection(self) -> None:
        # Runs one lock connection from its opening to its end.
        try:
            connection = await self._context.connector.connect(
                self._target.url, self._context.host_id, CONNECT_TIMEOUT_MS
            )
        except exceptions.TargetError as error:
            self._record_failure(error)
            return
        self._breaker.record_success()
        self._lock_connection = connection
        try:
            if await self._acquire_lock(connection):
                await self._probe_until_closed(connection)
        except exceptions.TargetError as error:
            self._record_failure(error)
        finally:
            connection.close()
            self._handle_lock_loss()

    async def _acquire_lock(
        self, connection: interfaces.TargetConnection
    ) -> bool:
        # Retries on the same connection, so that waiting for the lock takes
        # only one of the server's reserved connections.
        while connection.is_open:
            sent_at = self._context.clock.now()
            answer = await connection.call(
                messages.Lock(LOCK_NAME, self._context.host_id),
                PROBE_TIMEOUT_MS,
            )
            self.lock_holder = answer.holder
            self._record_state(answer.state, sent_at)
            if answer.granted:
                self._is_lock_granted = True
                return True
            await self._context.clock.sleep(PROBE_INTERVAL_MS)
        return False

    async def _probe_until_closed(
        self, connection: interfaces.TargetConnection
    ) -> None:
        while connection.is_open:
            await self._send_calls(connection)
            waiting, self._state_futures = self._state_futures, []
            sent_at = self._context.clock.now()
            try:
                answer = await connection.call(
                    messages.Status(), PROBE_TIMEOUT_MS
                )
            except exceptions.TargetError:
                _resolve_futures(waiting, None)
                raise
            self._record_state(answer.state, sent_at)
            _resolve_futures(waiting, answer.state)
            if not self._state_futures and not self._queued_calls:
                await self._wait_for_probe_time()

    async def _send_calls(
        self, connection: interfaces.TargetConnection
    ) -> None:
        while self._queued_calls:
            message, future = self._queued_calls.pop(0)
            if future.done():
                continue
            sent_at = self._context.clock.now()
            try:
                answer = await connection.call(message, PROBE_TIMEOUT_MS)
            except exceptions.TargetError:
                _resolve_futures([future], None)
                raise
            self._record_state(answer.state, sent_at)
            _resolve_futures([future], answer)

    async def _wait_for_probe_time(self) -> None:
        self._probe_requested.clear()
        try:
            await context_module.wait_for(
                self._context.clock,
                self._probe_requested.wait(),
                PROBE_INTERVAL_MS,
            )
        except TimeoutError:
            pass

    async def _run_watch(self) -> None:
        connection: interfaces.TargetConnection | None = None
        while True:
            await self._watch_requested.wait()
            self._watch_requested.clear()
            while self._position_waiters and self.holds_lock:
                try:
                    if connection is None or not connection.is_open:
                        connection = await self._context.connector.connect(
                            self._target.url,
                            self._context.host_id,
                            CONNECT_TIMEOUT_MS,
                        )
                    await self._wait_for_lowest_position(connection)
                except exceptions.TargetError as error:
                    self._log_failure(error)
                    await self._context.clock.sleep(PROBE_INTERVAL_MS)

    async def _wait_for_lowest_position(
        self, connection: interfaces.TargetConnection
    ) -> None:
        position = min(waiter.position for waiter in self._position_waiters)
        sent_at = self._context.clock.now()
        answer = await connection.call(
            messages.Status(position, MAX_WATCH_MS),
            MAX_WATCH_MS + PROBE_TIMEOUT_MS,
        )
        self._record_state(answer.state, sent_at, is_lock_connection=False)

    def _record_state(
        self,
        state: types.TargetState,
        sent_at: int,
        is_lock_connection: bool = True,
    ) -> None:
        # An answer on one connection may arrive after a later answer on the
        # other one, so an older state doesn't replace a newer one.
        previous = self.state
        if previous is None or not _is_older(state, previous):
            self.state = state
            if previous is None or _term_and_role(state) != _term_and_role(
                previous
            ):
                self.term_or_role_changed.set()
        if is_lock_connection:
            self._answered_call_sent_at = max(
                self._answered_call_sent_at, sent_at
            )
        for waiter in list(self._position_waiters):
            holds_position = state.history.contains(waiter.position)
            if holds_position or state.term != waiter.term:
                self._position_waiters.remove(waiter)
                _resolve_futures([waiter.future], None)

    def _record_failure(self, error: exceptions.TargetError) -> None:
        if isinstance(error, exceptions.TargetConnectError):
            self._breaker.record_failure()
        self._log_failure(error)

    def _log_failure(self, error: exceptions.TargetError) -> None:
        self._context.metrics.count('probe_failures')
        LOG.warning(
            'target connection failed',
            step=error.step,
            peer=error.peer or self._target.target_id,
            reason=error.message,
        )

    def _handle_lock_loss(self) -> None:
        was_granted, self._is_lock_granted = self._is_lock_granted, False
        waiting, self._state_futures = self._state_futures, []
        _resolve_futures(waiting, None)
        calls, self._queued_calls = self._queued_calls, []
        _resolve_futures([future for _, future in calls], None)
        if was_granted:
            self._on_lock_lost()


def _term_and_role(state: types.TargetState) -> tuple[int, str]:
    return state.term, state.role


def _is_older(state: types.TargetState, previous: types.TargetState) -> bool:
    if state.term != previous.term:
        return state.term < previous.term
    return state.position < previous.position


def _resolve_futures(
    futures: list[asyncio.Future[context_module.T]], value: context_module.T
) -> None:
    for future in futures:
        if not future.done():
            future.set_result(value)
