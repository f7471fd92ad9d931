"""Accepts callers' connections and closes them when the host stops."""

import asyncio
import contextlib
import socket

from samphirestand import acceptor as acceptor_module
from samphirestand import callers_budget
from samphirestand import clock as clock_module
from samphirestand import descriptor_budget
from samphirestand import limit_events
from samphirestand import log
from samphirestand.platform import wire
from samphirestand.sessions import caller_connection
from samphirestand.sessions import session as session_module

__all__ = ['Listener']

# Connections that wait to be accepted. The kernel drops the opening packets
# of connections beyond that, and callers send them again only after seconds.
ACCEPT_BACKLOG = 1_024

# Interval at which a stopping host closes sessions that have become idle.
DRAIN_INTERVAL_MS = 50

# A stopping host sends nothing more to targets for this long before it ends.
LAST_ANSWERS_MS = 1_000

# Interval at which connections are checked against the limits of time.
REVIEW_INTERVAL_MS = 500

PORT = 'callers'
TOO_MANY_REASON = 'the host has too many sessions'

_log = log.get_logger(__name__)


class Listener(caller_connection.Owner):
    """Accepts callers' connections and runs a session on each."""

    def __init__(
        self,
        context: session_module.Context,
        clock: clock_module.Clock,
        limits: callers_budget.Limits | None = None,
        descriptors: descriptor_budget.DescriptorBudget | None = None,
    ) -> None:
        self._context = context
        self.clock = clock
        self.budget = callers_budget.CallersBudget(
            limits or callers_budget.derive_limits(0, 0)
        )
        self._descriptors = descriptors or descriptor_budget.DescriptorBudget(
            0
        )
        self.limit_events = limit_events.LimitEvents(context.metrics, clock)
        self._acceptor: acceptor_module.Acceptor | None = None
        self._sessions_by_task: dict[
            asyncio.Task[None], session_module.Session
        ] = {}
        self._connections_by_usage: dict[
            callers_budget.Usage, caller_connection.CallerConnection
        ] = {}
        self._accepting: set[asyncio.Task[object]] = set()
        self._is_wake_scheduled = False
        # Bytes held when the limit was exceeded and nothing could be closed.
        self._futile_total = 0

    @property
    def is_listening(self) -> bool:
        return self._acceptor is not None

    @property
    def session_count(self) -> int:
        return len(self._sessions_by_task)

    async def start(self, address: str, port: int) -> None:
        self._acceptor = acceptor_module.Acceptor(
            self._accept,
            lambda: self.limit_events.record(
                'callers_refused_limit', 'descriptors'
            ),
        )
        self._acceptor.listen(address, port, ACCEPT_BACKLOG)

    def _accept(self, sock: socket.socket) -> None:
        reason = None
        if self._descriptors.count(PORT) >= self.budget.limits.max_sessions:
            reason = 'sessions'
        elif not self._descriptors.may_accept():
            reason = 'descriptors'
        if reason is not None and not self._replace_unstarted():
            self.limit_events.record('callers_refused_limit', reason)
            with contextlib.suppress(OSError):
                sock.send(wire.encode_error('TOOMANY', TOO_MANY_REASON))
            sock.close()
            return
        self._descriptors.add(PORT)
        task: asyncio.Task[object] = asyncio.create_task(self._connect(sock))
        self._accepting.add(task)
        task.add_done_callback(self._accepting.discard)

    def _replace_unstarted(self) -> bool:
        """Close a connection without a session, for a new one."""
        usage = self.budget.unstarted_to_replace(self.clock.now())
        connection = self._connections_by_usage.get(usage) if usage else None
        if connection is None:
            return False
        self._close_by_limit(connection, 'unstarted')
        return True

    async def _connect(self, sock: socket.socket) -> None:
        connection = caller_connection.CallerConnection(self)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: connection, sock
            )
        except OSError:
            # The caller has gone already.
            sock.close()
        if connection.usage not in self._connections_by_usage and (
            not connection.is_closed
        ):
            self.budget.close(connection.usage)
            self._descriptors.remove(PORT)

    def on_connection(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        self._connections_by_usage[connection.usage] = connection
        session = session_module.Session(connection, self._context)
        task = asyncio.create_task(session.run())
        self._sessions_by_task[task] = session
        task.add_done_callback(self._on_session_end)

    def on_disconnect(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        self._connections_by_usage.pop(connection.usage, None)
        self._descriptors.remove(PORT)
        self.on_change()

    def on_change(self) -> None:
        """Close the largest connections above the limit; wake waiting ones."""
        budget = self.budget
        if budget.total > max(budget.limits.max_bytes, self._futile_total):
            closing = budget.over_limit()
            for usage in closing:
                self._close_by_limit(self._connections_by_usage[usage], 'full')
            self._futile_total = 0 if closing else budget.total
        elif budget.total <= budget.limits.max_bytes:
            self._futile_total = 0
        if budget.has_waiting and not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            asyncio.get_running_loop().call_soon(self._wake_waiting)

    def _wake_waiting(self) -> None:
        self._is_wake_scheduled = False
        for usage in self.budget.readable():
            self._connections_by_usage[usage].resume_reading_if_allowed()

    def _close_by_limit(
        self, connection: caller_connection.CallerConnection, reason: str
    ) -> None:
        self.limit_events.record('callers_closed_limit', reason)
        connection.abort_by_limit()

    async def review_forever(self) -> None:
        """Close connections that hold something for too long."""
        while True:
            await self.clock.sleep(REVIEW_INTERVAL_MS)
            for connection in list(self._connections_by_usage.values()):
                if connection.usage.unsent:
                    connection.record_unsent()
            for usage, reason in self.budget.overdue(self.clock.now()):
                self._close_by_limit(self._connections_by_usage[usage], reason)
            self._wake_waiting()
            self.limit_events.flush(
                self.budget.total, self.budget.session_count
            )

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
        deadline = self.clock.now() + limit_ms
        refuse_from_ms = deadline - LAST_ANSWERS_MS
        while self.clock.now() < deadline:
            if self.clock.now() >= refuse_from_ms:
                stopping.refuses_work = True
            if not self._sessions_by_task:
                if not self.is_listening:
                    return 0
                # A connection that was accepted just before gets a session.
                self.stop_listening()
            self.close_idle_sessions(self.session_count)
            await self.clock.sleep(DRAIN_INTERVAL_MS)
        self.stop_listening()
        remaining_count = self.session_count
        for session in list(self._sessions_by_task.values()):
            session.end()
        await self.clock.sleep(DRAIN_INTERVAL_MS)
        return remaining_count

    def stop_listening(self) -> None:
        """Accept no more connections; open sessions continue."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
