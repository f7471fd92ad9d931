"""Accepts callers' connections and closes them when the host stops."""

import asyncio

from samphirestand import clock as clock_module
from samphirestand import log
from samphirestand.platform import wire
from samphirestand.sessions import session as session_module

__all__ = ['Listener']

# Connections that wait to be accepted. The kernel drops the opening packets
# of connections beyond that, and callers send them again only after seconds.
ACCEPT_BACKLOG = 1_024

# Interval at which a stopping host closes sessions that have become idle.
DRAIN_INTERVAL_MS = 50

# A stopping host sends nothing more to targets for this long before it ends.
LAST_ANSWERS_MS = 1_000

_log = log.get_logger(__name__)


class Listener:
    """Accepts callers' connections and runs a session on each."""

    def __init__(
        self, context: session_module.Context, clock: clock_module.Clock
    ) -> None:
        self._context = context
        self._clock = clock
        self._server: asyncio.Server | None = None
        self._sessions_by_task: dict[
            asyncio.Task[None], session_module.Session
        ] = {}

    @property
    def is_listening(self) -> bool:
        return self._server is not None

    @property
    def session_count(self) -> int:
        return len(self._sessions_by_task)

    async def start(self, address: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self),
            address,
            port,
            backlog=ACCEPT_BACKLOG,
        )

    def start_session(self, connection: wire.Connection) -> None:
        """Start a session on a new connection."""
        session = session_module.Session(connection, self._context)
        task = asyncio.create_task(session.run())
        self._sessions_by_task[task] = session
        task.add_done_callback(self._on_session_end)

    def _on_session_end(self, task: asyncio.Task[None]) -> None:
        self._sessions_by_task.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            _log.error('session_failed', reason=repr(task.exception()))

    def review_access(self) -> None:
        """Roll back transactions whose key has lost its account.

        Called whenever the configuration has changed.
        """
        for session in self._sessions_by_task.values():
            session.review_access()

    def close_idle_sessions(self, max_count: int) -> None:
        """Close up to ``max_count`` sessions without a request in progress."""
        idle = [
            each for each in self._sessions_by_task.values() if each.can_close
        ]
        for session in idle[:max_count]:
            session.close()

    async def drain(self, limit_ms: int) -> int:
        """Close sessions as soon as they have no transaction.

        Accepts connections as long as there are sessions: some balancers go
        on sending them. After ``limit_ms`` ends those that are left, with
        answers to their requests, and returns how many these were.
        """
        stopping = self._context.stopping
        stopping.closes_idle = True
        deadline = self._clock.now() + limit_ms
        refuse_from_ms = deadline - LAST_ANSWERS_MS
        while self._clock.now() < deadline:
            if self._clock.now() >= refuse_from_ms:
                stopping.refuses_work = True
            if not self._sessions_by_task:
                if not self.is_listening:
                    return 0
                # A connection that was accepted just before gets a session.
                self.stop_listening()
            self.close_idle_sessions(self.session_count)
            await self._clock.sleep(DRAIN_INTERVAL_MS)
        self.stop_listening()
        remaining_count = self.session_count
        for session in list(self._sessions_by_task.values()):
            session.end()
        await self._clock.sleep(DRAIN_INTERVAL_MS)
        return remaining_count

    def stop_listening(self) -> None:
        """Accept no more connections; open sessions continue."""
        if self._server is not None:
            self._server.close()
            self._server = None


class _CallerConnection(wire.Connection):
    """A connection of a caller."""

    def __init__(self, listener: Listener) -> None:
        super().__init__()
        self._listener = listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.start_session(self)
