"""A pool of connections to one target, each lent to one request."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
from typing import Any

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.targets import messages

CONNECT_TIMEOUT_MS = 1_000
BACKOFF_BASE_MS = 100
BACKOFF_LIMIT_MS = 5_000
# A connection can stop transferring data without being closed, so one that
# wasn't used for this long must answer a probe before it is lent.
PROBE_AFTER_IDLE_MS = 5_000
PROBE_TIMEOUT_MS = 500


@dataclasses.dataclass
class _IdleConnection:
    """An unused connection and the time of its last answer."""

    connection: interfaces.TargetConnection
    answered_ms: int


class ConnectionPool:
    """Opens and lends at most ``size`` connections to one target.

    Connections are opened one at a time when a caller waits or fewer than
    ``minimum`` exist. After a failed attempt the next one waits for a random
    time up to a limit that doubles with each failure (full jitter), so that
    hosts don't reconnect at the same time. Borrowers return a connection
    with ``release`` after a complete answer and with ``discard`` otherwise.
    """

    def __init__(
        self,
        connector: interfaces.TargetConnector,
        url: str,
        application: str,
        *,
        size: int,
        clock: clock_module.Clock,
        rng: random.Random,
        minimum: int = 1,
    ) -> None:
        self.size = size
        self.minimum = min(minimum, size)
        self.consecutive_failures = 0
        self._connector = connector
        self._url = url
        self._application = application
        self._clock = clock
        self._rng = rng
        self._idle: list[_IdleConnection] = []
        self._borrowed: set[interfaces.TargetConnection] = set()
        self._probing: set[interfaces.TargetConnection] = set()
        self._waiters: collections.deque[
            asyncio.Future[interfaces.TargetConnection]
        ] = collections.deque()
        self._open_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_draining = False
        self._all_returned = asyncio.Event()
        self._all_returned.set()

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._idle) + len(self._borrowed) + len(self._probing)

    @property
    def borrowed_count(self) -> int:
        """Return the number of lent connections."""
        return len(self._borrowed)

    def start(self) -> None:
        """Open ``minimum`` connections in the background."""
        self._open_if_needed()

    async def acquire(self, timeout_ms: int) -> interfaces.TargetConnection:
        """Lend a connection.

        Raises ``TargetError`` when there is none within ``timeout_ms``
        milliseconds or the pool is draining, and ``TargetConnectError`` when
        an attempt to connect failed and no other connection is open.
        """
        if self._is_draining:
            raise self._pool_error('the pool is draining')
        connection = self._take_idle()
        if connection is not None:
            return self._lend(connection)
        future: asyncio.Future[interfaces.TargetConnection] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.append(future)
        self._open_if_needed()
        timer = asyncio.create_task(self._clock.sleep(timeout_ms))
        try:
            awaited: set[asyncio.Future[Any]] = {future, timer}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release(future.result())
            raise
        finally:
            timer.cancel()
            if not future.done():
                future.cancel()
                self._waiters.remove(future)
        if future.cancelled():
            raise self._pool_error(f'no connection within {timeout_ms} ms')
        return future.result()

    def release(self, connection: interfaces.TargetConnection) -> None:
        """Take back a connection after a complete answer."""
        if connection not in self._borrowed:
            return
        self._mark_returned(connection)
        if self._is_draining or not connection.is_open:
            connection.close()
        else:
            self._lend_or_keep_idle(connection)
        self._open_if_needed()

    def discard(self, connection: interfaces.TargetConnection) -> None:
        """Close a connection without a complete, valid answer.

        The idle connections may have failed for the same reason, so they are
        probed before they are lent again.
        """
        connection.close()
        if connection not in self._borrowed:
            return
        self._mark_returned(connection)
        idle, self._idle = self._idle, []
        for each in idle:
            self._probe(each.connection)
        self._open_if_needed()

    async def drain(self) -> None:
        """Stop lending, and wait until all connections are closed."""
        self._is_draining = True
        self._stop_opening('the pool is draining')
        for each in self._idle:
            each.connection.close()
        self._idle.clear()
        await self._all_returned.wait()
        for task in list(self._tasks):
            task.cancel()
        for connection in self._probing:
            connection.close()

    def close(self) -> None:
        """Close all connections immediately, including lent ones."""
        self._is_draining = True
        self._stop_opening('the pool is closed')
        for task in list(self._tasks):
            task.cancel()
        idle = {each.connection for each in self._idle}
        for connection in idle | self._borrowed | self._probing:
            connection.close()
        self._idle.clear()
        self._borrowed.clear()
        self._probing.clear()
        self._all_returned.set()

    def _take_idle(self) -> interfaces.TargetConnection | None:
        now = self._clock.now()
        # Lends the most recently used connection, so that the others stay
        # unused and may be closed.
        while self._idle:
            idle = self._idle.pop()
            if not idle.connection.is_open:
                idle.connection.close()
                continue
            if now - idle.answered_ms <= PROBE_AFTER_IDLE_MS:
                return idle.connection
            self._probe(idle.connection)
            return None
        return None

    def _lend(
        self, connection: interfaces.TargetConnection
    ) -> interfaces.TargetConnection:
        self._borrowed.add(connection)
        self._all_returned.clear()
        return connection

    def _mark_returned(self, connection: interfaces.TargetConnection) -> None:
        self._borrowed.discard(connection)
        if not self._borrowed:
            self._all_returned.set()

    def _lend_or_keep_idle(
        self, connection: interfaces.TargetConnection
    ) -> None:
        while self._waiters:
            future = self._waiters.popleft()
            if not future.done():
                future.set_result(self._lend(connection))
                return
        self._idle.append(_IdleConnection(connection, self._clock.now()))

    def _probe(self, connection: interfaces.TargetConnection) -> None:
        self._probing.add(connection)
        self._start_task(self._run_probe(connection))

    async def _run_probe(
        self, connection: interfaces.TargetConnection
    ) -> None:
        try:
            await connection.call(messages.Status(), PROBE_TIMEOUT_MS)
        except exceptions.TargetError:
            connection.close()
        finally:
            self._probing.discard(connection)
        if self._is_draining:
            connection.close()
        elif connection.is_open:
            self._lend_or_keep_idle(connection)
        self._open_if_needed()

    def _start_task(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _needs_connection(self) -> bool:
        if self._is_draining or self.open_count >= self.size:
            return False
        if self.open_count < self.minimum:
            return True
        return len(self._waiters) > len(self._probing)

    def _open_if_needed(self) -> None:
        is_opening = self._open_task is not None and not self._open_task.done()
        if not is_opening and self._needs_connection():
            self._open_task = asyncio.create_task(self._open_connections())

    async def _open_connections(self) -> None:
        while self._needs_connection():
            if self.consecutive_failures:
                await self._clock.sleep(self._backoff_ms())
            try:
                connection = await self._connector.connect(
                    self._url, self._application, CONNECT_TIMEOUT_MS
                )
            except exceptions.TargetConnectError as error:
                self.consecutive_failures += 1
                if not self.open_count:
                    self._fail_waiters(error)
                continue
            self.consecutive_failures = 0
            self._lend_or_keep_idle(connection)

    def _backoff_ms(self) -> int:
        doublings = min(self.consecutive_failures - 1, 10)
        limit = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2**doublings)
        return self._rng.randint(0, limit)

    def _stop_opening(self, reason: str) -> None:
        if self._open_task is not None:
            self._open_task.cancel()
        self._fail_waiters(self._pool_error(reason))

    def _fail_waiters(self, error: exceptions.TargetError) -> None:
        while self._waiters:
            future = self._waiters.popleft()
            if not future.done():
                future.set_exception(error)

    def _pool_error(self, message: str) -> exceptions.TargetError:
        return exceptions.TargetError(
            message, step='target pool', peer=self._url
        )
