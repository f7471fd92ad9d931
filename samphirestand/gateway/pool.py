"""Connections to one target, and estimates of its health and speed."""

import asyncio
import collections
import collections.abc

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import concurrency
from samphirestand.gateway import connection as connection_module
from samphirestand.gateway import draining
from samphirestand.gateway import evacuation
from samphirestand.gateway import warmup
from samphirestand import log
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['TargetPool']

# The share of a target's connections that one gateway may open. When the
# gateway host loses power, the target keeps its connections open for another
# 3 s, and the next gateway host must manage with the rest. One of them is for
# probes.
MAX_CONNECTION_SHARE = 0.5

# Opening a connection takes two round trips and up to 30 ms of a slot; this
# limit also covers a target that is several times slower.
OPEN_TIMEOUT_MS = 700

PROBE_TIMEOUT_MS = 500

# A probe without an answer for this long is repeated on a connection of its
# own: the first connection may be dead although the target is reachable.
PROBE_RETRY_MS = 120

# The kernel of a reachable target accepts a connection within a round trip,
# however busy the target is.
ACCEPT_TIMEOUT_MS = 250

# A target is down after this many unanswered probes in a row.
MAX_FAILED_PROBES = 2

# A target is probed when it has answered nothing for this multiple of its
# statement time, within these bounds, while a statement is running on it.
SILENCE_STATEMENTS = 12
MIN_SILENCE_MS = 200
MAX_SILENCE_MS = 400

# A target counts as unused when no statement on it ended for this long.
UNUSED_AFTER_MS = 400

# A target that became unreachable this often within the window is flapping.
FLAPPING_FAILURES = 2
FLAPPING_WINDOW_MS = 8_000

# Every 100 ms the estimates of an unused target move by this fraction towards
# an error share of 0 and a statement time a little below the average, so that
# the target is tried again within seconds.
ESTIMATE_DECAY = 0.1
UNUSED_STATEMENT_SHARE = 0.8

# A replica that lacked a log position is not tried for that position again for
# this long: replicas apply received commits several times a second.
LAGGING_RETRY_MS = 80

# A target that was down counts as cold for this long. It may be cold after its
# silence, and its row of a restart is read within about two seconds.
RESTART_NOTICE_MS = 3_000

# The account name under which the proxy opens its own sessions, for probes
# and other commands.
PROXY_ACCOUNT = 'samphirestand'

# The weight of a new sample in the moving averages.
SMOOTHING = 0.1

# The initial estimate of the time to open a connection: two round trips and
# up to 30 ms of a slot.
INITIAL_OPENING_MS = 25.0

# The initial estimate of the time that a target takes for one statement, and
# the weight of a new sample.
INITIAL_STATEMENT_MS = 15.0
STATEMENT_SMOOTHING = 0.05

_log = log.get_logger(__name__)


class TargetPool:
    """The connections of one gateway to one target, within their limit."""

    def __init__(
        self,
        target: catalog.Target,
        clock: clock_module.Clock,
        max_connections: int,
        limit: concurrency.ConcurrencyLimit | None = None,
    ) -> None:
        self.target = target
        # Set while the target's zone is evacuated.
        self.zone_limit: evacuation.ZoneLimit | None = None
        # Set while the target drains.
        self.drain_limit: draining.DrainLimit | None = None
        self.warmup = warmup.Warmup()
        # The return of its zone that the warm-up takes into account.
        self.returned_ms: int | None = None
        self.cold_bound = 0  # requests a second while it is cold; 0: any
        self._clock = clock
        self.max_connections = max_connections
        # None if the declared slots are used as they are.
        self.limit = limit
        self._connections: list[connection_module.TargetConnection] = []
        self._opening_count = 0
        self.opening_ms = INITIAL_OPENING_MS
        self.running_count = 0
        self.pinned_count = 0
        self.avoid_until_ms = 0
        self.is_down = False
        self.failed_probes = 0
        self.statement_ms = INITIAL_STATEMENT_MS
        self.failing_share = 0.0
        self._last_used_ms = clock.now()
        self._recent_failures_ms: collections.deque[int] = collections.deque(
            maxlen=FLAPPING_FAILURES
        )
        self._lacked_position: types.Position | None = None
        self._lacked_position_ms = 0
        self.lagging_count = 0  # reads refused since the last check
        self.is_paused = False  # by its last status
        self._newest_term = 0  # of its statuses
        self._failing_since_ms: int | None = None
        self._sent_ms_by_run: dict[object, int] = {}
        self._last_reply_ms = clock.now()
        self._closed_by_target_ms = 0
        self._reply_count = 0
        self.round_trip_ms = 1.0
        self._command_connection: connection_module.TargetConnection | None = (
            None
        )
        # Commands share a connection on which answers arrive in order and
        # carry no id: without the lock one would read another's answer.
        self._command_lock = asyncio.Lock()

    @property
    def limits(self) -> list[evacuation.SendingLimit]:
        """Return until when the target may get requests; empty if always."""
        return [
            each
            for each in (self.zone_limit, self.drain_limit)
            if each is not None
        ]

    @property
    def may_continue(self) -> bool:
        """Tell whether statements may be sent, as far as limits allow."""
        if self.zone_limit is None and self.drain_limit is None:
            # Asked several times for each statement.
            return True
        now = self._clock.now()
        return all(evacuation.may_continue(each, now) for each in self.limits)

    def may_start(self, is_primary: bool) -> bool:
        """Tell whether new work may be sent, as far as limits allow."""
        if self.zone_limit is None and self.drain_limit is None:
            return True
        now = self._clock.now()
        return all(
            evacuation.may_start(each, is_primary, now) for each in self.limits
        )

    @property
    def slots(self) -> int:
        """Return how many statements the target is given at once.

        That is at least one and at most the slots that it declares.
        """
        if self.limit is not None:
            return self.limit.limit
        return min(max(1, self.target.slots), concurrency.MAX_SLOTS)

    @property
    def settled_slots(self) -> int:
        """Return the slots without the deviations of short trials."""
        if self.limit is not None:
            return self.limit.settled_limit
        return self.slots

    @property
    def connection_limit(self) -> int:
        """Return how many connections may be open for statements."""
        return max(1, int(self.max_connections * MAX_CONNECTION_SHARE))

    @property
    def open_count(self) -> int:
        return len(self._connections) + self._opening_count

    def can_provide_connection(self, account: str) -> bool:
        """Tell whether a connection is idle or may be opened."""
        return self.open_count < self.connection_limit or any(
            not each.is_busy for each in self._connections
        )

    def has_idle(self, account: str) -> bool:
        """Tell whether a connection of ``account`` is idle."""
        return any(
            each.account == account and not each.is_busy
            for each in self._connections
        )

    async def checkout(
        self, work: work_module.Work, timeout_ms: int
    ) -> connection_module.TargetConnection:
        """Return a connection for the account of ``work``.

        Prefers the idle connection that needs the fewest setup steps. At the
        limit, closes the idle connection that was used least recently. Raises
        ``TargetError`` if all are in use or none can be opened.
        """
        self._drop_closed_connections()
        idle = [each for each in self._connections if not each.is_busy]
        account_connections = [
            each for each in idle if each.account == work.account
        ]
        if account_connections:
            best = min(
                account_connections,
                key=lambda each: each.count_missing_steps(work),
            )
            best.is_busy = True
            return best
        if self.open_count >= self.connection_limit:
            if not idle:
                raise exceptions.TargetError(
                    'all connections are in use',
                    step='choose connection',
                    peer=self.target.target_id,
                )
            least_recently_used = min(idle, key=lambda each: each.last_used_ms)
            self.discard(least_recently_used)
        return await self._open_for_account(work.account, timeout_ms)

    async def _open_for_account(
        self, account: str, timeout_ms: int
    ) -> connection_module.TargetConnection:
        self._opening_count += 1
        started_ms = self._clock.now()
        try:
            opened = await self._open(
                account, min(timeout_ms, OPEN_TIMEOUT_MS)
            )
        except exceptions.TargetRefused:
            self.record_reply()
            raise
        except exceptions.TargetConnectError:
            self.record_failure()
            raise
        finally:
            self._opening_count -= 1
        self.record_reply()
        self.opening_ms += SMOOTHING * (
            self._clock.now() - started_ms - self.opening_ms
        )
        opened.is_busy = True
        self._connections.append(opened)
        return opened

    async def _open(
        self, account: str, timeout_ms: int
    ) -> connection_module.TargetConnection:
        return await connection_module.open_connection(
            self.target, account, timeout_ms, self._clock.now()
        )

    def checkin(self, connection: connection_module.TargetConnection) -> None:
        """Return a connection that has no open transaction to the pool."""
        connection.is_busy = False
        connection.last_used_ms = self._clock.now()
        if not connection.is_usable:
            self.discard(connection)

    def discard(self, connection: connection_module.TargetConnection) -> None:
        """Close a connection and remove it from the pool."""
        connection.close()
        if connection in self._connections:
            self._connections.remove(connection)

    def _drop_closed_connections(self) -> None:
        """Remove idle connections that the target has closed.

        The target may have failed, so this also requests a probe.
        """
        for each in list(self._connections):
            if not each.is_busy and not each.is_usable:
                self.discard(each)
                self.record_failure()
                self.record_closed_by_target()

    def close_idle_connections(self, max_idle_ms: int) -> None:
        """Close connections that have been idle for ``max_idle_ms``."""
        self._drop_closed_connections()
        used_before_ms = self._clock.now() - max_idle_ms
        for each in list(self._connections):
            if not each.is_busy and each.last_used_ms <= used_before_ms:
                self.discard(each)

    def reset_connections(self) -> None:
        """Close all connections and withdraw what the target hasn't got."""
        for each in list(self._connections):
            each.discard_unsent_on_close()
            self.discard(each)

    def close(self) -> None:
        """Close all connections, busy ones included."""
        for each in list(self._connections):
            self.discard(each)
        self._close_command_connection()

    async def run(
        self,
        connection: connection_module.TargetConnection,
        steps: list[connection_module.TargetStatement],
        timeout_ms: int,
    ) -> list[connection_module.Reply]:
        """Run steps on a connection and record whether the target answered.

        Raises ``AnswerLost``, or ``NotSent`` if an evacuation or the drain of
        the target forbids it.
        """
        if not self.may_continue:
            raise exceptions.NotSent(
                'the target is draining'
                if self.zone_limit is None
                else 'the zone of the target is evacuated',
                step='statement',
                peer=self.target.target_id,
            )
        now = self._clock.now()
        if not self.warmup.may_send(now, len(steps)):
            raise exceptions.NotSent(
                'the target is cold and has got its requests',
                step='statement',
                peer=self.target.target_id,
            )
        self.warmup.record(now, len(steps))
        run_key = object()
        self._sent_ms_by_run[run_key] = self._clock.now()
        try:
            replies = await connection.run(steps, timeout_ms)
        except exceptions.AnswerLost as error:
            self.record_failure()
            if not isinstance(error.__cause__, TimeoutError):
                self.record_closed_by_target()
            raise
        finally:
            del self._sent_ms_by_run[run_key]
        self.record_reply()
        self.record_reply_since(connection.opened_ms)
        return replies

    def record_reply(self) -> None:
        """Record that the target answered."""
        self._reply_count += 1
        self._last_reply_ms = self._clock.now()
        self._failing_since_ms = None
        self.failed_probes = 0
        if self.is_down:
            # It may have restarted, which the registry tells soon.
            self.warmup.begin(
                self.cold_bound, self._last_reply_ms + RESTART_NOTICE_MS
            )
        self.is_down = False

    def record_closed_by_target(self) -> None:
        """Record that the target has closed a connection.

        A target that restarts within a second isn't found down, but it closes
        all connections. It counts as cold until its row must have been read.
        """
        self._closed_by_target_ms = now = self._clock.now()
        self.warmup.suspect(self.cold_bound, now + RESTART_NOTICE_MS, now)

    def record_reply_since(self, opened_ms: int) -> None:
        """Record an answer on a connection that was opened at a moment.

        A target that answers on an earlier connection has not restarted since
        it closed another one.
        """
        if opened_ms < self._closed_by_target_ms:
            self.warmup.clear_suspicion()

    def record_failure(self) -> None:
        """Record that the target is unreachable or doesn't answer."""
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now()
            self._recent_failures_ms.append(self._failing_since_ms)

    @property
    def is_flapping(self) -> bool:
        """Tell whether the target recently became unreachable repeatedly."""
        return (
            len(self._recent_failures_ms) == FLAPPING_FAILURES
            and self._clock.now() - self._recent_failures_ms[0]
            < FLAPPING_WINDOW_MS
        )

    def record_statement_served(self, took_ms: int) -> None:
        """Record how long the target took for a successful statement."""
        self._last_used_ms = self._clock.now()
        self.failing_share -= SMOOTHING * self.failing_share
        self.statement_ms += STATEMENT_SMOOTHING * (
            took_ms - self.statement_ms
        )

    @property
    def concurrency(self) -> float:
        """Return how many of the running statements are at the target.

        The others are crossing the network; for another availability zone
        that may be a third of them.
        """
        at_target_share = 1 - self.round_trip_ms / max(
            self.statement_ms, 2 * self.round_trip_ms
        )
        return self.running_count * at_target_share

    def record_sample(
        self, work: work_module.Work, concurrency_before: float, sent_ms: int
    ) -> None:
        """Record for the limit how long an answered statement took.

        ``concurrency_before`` was the concurrency when it was sent.
        """
        if self.limit is not None:
            self.limit.record(
                concurrency.statement_kind(work),
                concurrency_before,
                self._clock.now() - sent_ms - self.round_trip_ms,
            )

    def record_statement_failed(self) -> None:
        """Record that the target answered a statement with an error."""
        self._last_used_ms = self._clock.now()
        self.failing_share += SMOOTHING * (1 - self.failing_share)

    def decay_estimates(self, typical_ms: float) -> None:
        """Move the estimates of an unused target towards ``typical_ms``."""
        if self._clock.now() - self._last_used_ms < UNUSED_AFTER_MS:
            return
        self.statement_ms += ESTIMATE_DECAY * (
            UNUSED_STATEMENT_SHARE * typical_ms - self.statement_ms
        )
        self.failing_share -= ESTIMATE_DECAY * self.failing_share

    def record_lagging(self, position: types.Position | None) -> None:
        """Record the target's answer that its log lacks a position."""
        self.lagging_count += 1
        self._lacked_position = position
        self._lacked_position_ms = self._clock.now()

    def lacks_position(self, position: types.Position) -> bool:
        """Tell whether the target recently lacked ``position``."""
        return (
            self._lacked_position is not None
            and position >= self._lacked_position
            and self._clock.now() - self._lacked_position_ms < LAGGING_RETRY_MS
        )

    @property
    def needs_probe(self) -> bool:
        """Tell whether the target may be unreachable."""
        if self._failing_since_ms is not None or self.is_down:
            return True
        oldest_sent_ms = min(self._sent_ms_by_run.values(), default=None)
        if oldest_sent_ms is None:
            return False
        silent_since_ms = max(oldest_sent_ms, self._last_reply_ms)
        limit_ms = min(
            max(SILENCE_STATEMENTS * self.statement_ms, MIN_SILENCE_MS),
            MAX_SILENCE_MS,
        )
        return self._clock.now() - silent_since_ms > limit_ms

    async def probe(self, is_zone_silent: bool) -> None:
        """Check whether the target answers and mark it down if it doesn't.

        With ``is_zone_silent``, nothing in the target's availability zone
        answers, and one failed probe is enough to mark it down.
        """
        while not await self._answers_probe():
            self.failed_probes += 1
            if is_zone_silent or self.failed_probes >= MAX_FAILED_PROBES:
                self.is_down = True
                return

    async def _answers_probe(self) -> bool:
        """Ask for the status; return whether the target answered anything."""
        reply_count = self._reply_count
        command = asyncio.create_task(
            self.run_command(wire.STATUS, PROBE_TIMEOUT_MS)
        )
        tasks = [command]
        try:
            await asyncio.wait(tasks, timeout=PROBE_RETRY_MS / 1000)
            if command.done():
                return self._reply_count > reply_count
            retry = asyncio.create_task(
                self.run_command_on_new_connection(
                    wire.STATUS, PROBE_TIMEOUT_MS, ACCEPT_TIMEOUT_MS
                )
            )
            tasks.append(retry)
            # A target that accepts no connection won't answer the first
            # command either, so the end of the second one is waited for.
            while not retry.done() and self._reply_count == reply_count:
                await asyncio.wait(
                    [each for each in tasks if not each.done()],
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            for each in tasks:
                each.cancel()
        return self._reply_count > reply_count

    async def run_command(
        self,
        text: str,
        timeout_ms: int,
        may_send: collections.abc.Callable[[], bool] | None = None,
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command of the proxy itself; return the target's status.

        Returns a sentinel with the reason if the command failed, or if
        ``may_send`` forbids it when the connection is ready. Opens a new
        connection after a failure, since the old one may be dead although
        the target is reachable.
        """
        async with self._command_lock:
            try:
                if (
                    self._command_connection is None
                    or not self._command_connection.is_usable
                ):
                    self._command_connection = (
                        await self._open_command_connection(timeout_ms)
                    )
                if may_send is not None and not may_send():
                    return exceptions.Sentinel('the token may have expired')
                return await self._send_command(
                    self._command_connection, text, timeout_ms
                )
            except exceptions.TargetError as error:
                self._close_command_connection()
                return exceptions.Sentinel(str(error))
            except asyncio.CancelledError:
                self._close_command_connection()
                raise

    async def run_command_on_new_connection(
        self, text: str, timeout_ms: int, accept_timeout_ms: int | None = None
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command without waiting for earlier commands to finish.

        Earlier commands may be waiting on a connection that a partition has
        cut. ``accept_timeout_ms`` limits the time until the target accepts
        the connection.
        """
        try:
            opened = await self._open_command_connection(
                timeout_ms, accept_timeout_ms
            )
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        try:
            return await self._send_command(opened, text, timeout_ms)
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        finally:
            opened.close()

    async def _open_command_connection(
        self, timeout_ms: int, accept_timeout_ms: int | None = None
    ) -> connection_module.TargetConnection:
        opened = await connection_module.open_connection(
            self.target,
            PROXY_ACCOUNT,
            timeout_ms,
            self._clock.now(),
            accept_timeout_ms,
        )
        # A command that a partition held up must not take effect after it
        # was given up: RESUME would undo another host's pause.
        opened.discard_unsent_on_close()
        return opened

    async def _send_command(
        self,
        connection: connection_module.TargetConnection,
        text: str,
        timeout_ms: int,
    ) -> wire.Status | exceptions.Sentinel:
        sent_ms = self._clock.now()
        # Commands are not refused, but leave less to statements.
        self.warmup.record(sent_ms, 1)
        step = connection_module.TargetStatement(wire.PROXY_REQUEST_ID, text)
        [reply] = await connection.run([step], timeout_ms)
        # A target that refuses the command, as it does when it is busy, is
        # reachable.
        self.record_reply()
        self.round_trip_ms += SMOOTHING * (
            self._clock.now() - sent_ms - self.round_trip_ms
        )
        if reply.error is not None:
            return exceptions.Sentinel(reply.error.code)
        status = wire.decode_status(reply.rows[0]) if reply.rows else None
        if status is None:
            return self._reject_status('malformed status', reply.rows)
        if status.term < self._newest_term:
            return self._reject_status('the term went back', reply.rows)
        self._newest_term = status.term
        self.is_paused = not status.is_primary and status.held > status.term
        return status

    def _reject_status(
        self, reason: str, rows: tuple[str, ...]
    ) -> exceptions.Sentinel:
        """Log a status from which nothing can be concluded."""
        _log.warning(
            'status_rejected',
            target=self.target.target_id,
            reason=reason,
            rows=rows,
        )
        return exceptions.Sentinel(reason)

    def _close_command_connection(self) -> None:
        if self._command_connection is not None:
            self._command_connection.close()
            self._command_connection = None
