"""Connections to one target, and how the target is doing."""

import asyncio
import collections

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import connection as connection_module
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

__all__ = ['TargetPool']

# The part of a target's connections that one gateway may open. When its host
# loses power, the target keeps these for another 3 s; its successor must do
# with the rest. One of them is for probes.
MAX_CONNECTION_SHARE = 0.5

# Opening takes two round trips and up to 30 ms of a slot; this bound also
# covers a target that is several times slower.
OPEN_TIMEOUT_MS = 700

PROBE_TIMEOUT_MS = 500

# Unanswered probes in a row after which a target counts as down.
MAX_FAILED_PROBES = 2

# A target that has answered nothing for this long, although something was
# asked, is probed.
SILENCE_LIMIT_MS = 400

# A target that went away this often within the time is unsteady.
FLAPPING_FAILURES = 2
FLAPPING_WINDOW_MS = 8_000

# The estimates of a target that isn't used move by this part, each 100 ms,
# towards a little less than what is usual, so that it is tried again within
# seconds.
ESTIMATE_DECAY = 0.1
UNUSED_STATEMENT_SHARE = 0.8

# A replica that lacked a position is not asked for it again for this long:
# replicas apply what they have received several times a second.
LAGGING_RETRY_MS = 80

# The name under which the proxy itself opens sessions for probes.
PROXY_ACCOUNT = 'samphirestand'

# The weight of a new sample of the smoothed times.
SMOOTHING = 0.1

# The first guess of how long a connection takes to open: two round trips and
# up to 30 ms of a slot.
INITIAL_OPENING_MS = 25.0

# The first guess of how long a target takes for one statement, and the weight
# of a new sample.
INITIAL_STATEMENT_MS = 15.0
STATEMENT_SMOOTHING = 0.05


class TargetPool:
    """Keeps the connections to one target within their limit."""

    def __init__(
        self,
        target: catalog.Target,
        clock: clock_module.Clock,
        max_connections: int,
    ) -> None:
        self.target = target
        self._clock = clock
        self.max_connections = max_connections
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
        self.lagging_count = 0  # reads refused since it was last looked at
        self._failing_since_ms: int | None = None
        self._sent_ms_by_token: dict[object, int] = {}
        self._last_reply_ms = clock.now()
        self.round_trip_ms = 1.0
        self._command_connection: connection_module.TargetConnection | None = (
            None
        )
        # Commands share a connection, on which answers come in order.
        self._command_lock = asyncio.Lock()

    @property
    def connection_limit(self) -> int:
        """Return how many connections may be open."""
        return max(1, int(self.max_connections * MAX_CONNECTION_SHARE))

    @property
    def open_count(self) -> int:
        return len(self._connections) + self._opening_count

    def can_provide_connection(self, account: str) -> bool:
        """Tell whether a connection can be had without waiting for one."""
        return self.open_count < self.connection_limit or any(
            not each.is_busy for each in self._connections
        )

    def has_idle(self, account: str) -> bool:
        """Tell whether a connection of an account can be used at once."""
        return any(
            each.account == account and not each.is_busy
            for each in self._connections
        )

    async def checkout(
        self, work: work_module.Work, timeout_ms: int
    ) -> connection_module.TargetConnection:
        """Return a connection for the account of ``work``.

        Prefers the idle connection that lacks least. Raises ``TargetError``.
        """
        self._drop_closed_connections()
        idle = [each for each in self._connections if not each.is_busy]
        suited = [each for each in idle if each.account == work.account]
        if suited:
            best = min(suited, key=lambda each: each.count_missing_steps(work))
            best.is_busy = True
            return best
        if self.open_count >= self.connection_limit:
            if not idle:
                raise exceptions.TargetError(
                    'all connections are in use',
                    step='choose connection',
                    peer=self.target.target_id,
                )
            oldest = min(idle, key=lambda each: each.last_used_ms)
            self.discard(oldest)
        return await self._open_for_account(work.account, timeout_ms)

    async def _open_for_account(
        self, account: str, timeout_ms: int
    ) -> connection_module.TargetConnection:
        self._opening_count += 1
        started_ms = self._clock.now()
        try:
            opened = await connection_module.open_connection(
                self.target,
                account,
                min(timeout_ms, OPEN_TIMEOUT_MS),
                self._clock.now(),
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

    def checkin(self, connection: connection_module.TargetConnection) -> None:
        """Take back a connection that is outside a transaction."""
        connection.is_busy = False
        connection.last_used_ms = self._clock.now()
        if not connection.is_usable:
            self.discard(connection)

    def discard(self, connection: connection_module.TargetConnection) -> None:
        """Close a connection."""
        connection.close()
        if connection in self._connections:
            self._connections.remove(connection)

    def _drop_closed_connections(self) -> None:
        """Forget connections that the target has closed.

        It may have failed, so it is probed.
        """
        for each in list(self._connections):
            if not each.is_busy and not each.is_usable:
                self.discard(each)
                self.record_failure()

    def close_idle_connections(self, max_idle_ms: int) -> None:
        """Close connections that were not used for ``unused_ms``."""
        self._drop_closed_connections()
        used_before_ms = self._clock.now() - max_idle_ms
        for each in list(self._connections):
            if not each.is_busy and each.last_used_ms <= used_before_ms:
                self.discard(each)

    def close(self) -> None:
        """Close all connections, busy ones too."""
        for each in list(self._connections):
            self.discard(each)
        self._close_command_connection()

    async def run(
        self,
        connection: connection_module.TargetConnection,
        steps: list[connection_module.Step],
        timeout_ms: int,
    ) -> list[connection_module.Reply]:
        """Run steps on a connection; raises ``AnswerLost``."""
        token = object()
        self._sent_ms_by_token[token] = self._clock.now()
        try:
            replies = await connection.run(steps, timeout_ms)
        except exceptions.AnswerLost:
            self.record_failure()
            raise
        finally:
            del self._sent_ms_by_token[token]
        self.record_reply()
        return replies

    def record_reply(self) -> None:
        """Note that the target answered."""
        self._last_reply_ms = self._clock.now()
        self._failing_since_ms = None
        self.failed_probes = 0
        self.is_down = False

    def record_failure(self) -> None:
        """Note that the target could not be reached or went silent."""
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now()
            self._recent_failures_ms.append(self._failing_since_ms)

    @property
    def is_flapping(self) -> bool:
        """Tell whether the target went away several times lately."""
        return (
            len(self._recent_failures_ms) == FLAPPING_FAILURES
            and self._clock.now() - self._recent_failures_ms[0]
            < FLAPPING_WINDOW_MS
        )

    def record_statement_served(self, took_ms: int) -> None:
        """Note how long the target took for a statement that succeeded."""
        self._last_used_ms = self._clock.now()
        self.failing_share -= SMOOTHING * self.failing_share
        self.statement_ms += STATEMENT_SMOOTHING * (
            took_ms - self.statement_ms
        )

    def record_statement_failed(self) -> None:
        """Note that the target ran a statement and answered an error."""
        self._last_used_ms = self._clock.now()
        self.failing_share += SMOOTHING * (1 - self.failing_share)

    def decay_estimates(self, typical_ms: float) -> None:
        """Forget slowly how a target did that isn't used."""
        if self._clock.now() - self._last_used_ms < SILENCE_LIMIT_MS:
            return
        self.statement_ms += ESTIMATE_DECAY * (
            UNUSED_STATEMENT_SHARE * typical_ms - self.statement_ms
        )
        self.failing_share -= ESTIMATE_DECAY * self.failing_share

    def record_lagging(self, position: types.Position | None) -> None:
        """Note that the target answered that its log lacks a position."""
        self.lagging_count += 1
        self._lacked_position = position
        self._lacked_position_ms = self._clock.now()

    def lacks_position(self, position: types.Position) -> bool:
        """Tell whether the log was just found to lack a position."""
        return (
            self._lacked_position is not None
            and position >= self._lacked_position
            and self._clock.now() - self._lacked_position_ms < LAGGING_RETRY_MS
        )

    @property
    def needs_probe(self) -> bool:
        """Tell whether it is unclear that the target lives."""
        if self._failing_since_ms is not None or self.is_down:
            return True
        oldest = min(self._sent_ms_by_token.values(), default=None)
        if oldest is None:
            return False
        silent_since = max(oldest, self._last_reply_ms)
        return self._clock.now() - silent_since > SILENCE_LIMIT_MS

    async def probe(self, is_zone_silent: bool) -> None:
        """Ask a target that seems to fail for its state.

        ``is_zone_silent`` tells that nothing in the target's zone answers:
        then one failed probe is enough.
        """
        status = await self.run_command(wire.STATUS, PROBE_TIMEOUT_MS)
        if not isinstance(status, exceptions.Sentinel):
            self.record_reply()
            return
        self.failed_probes += 1
        if is_zone_silent or self.failed_probes >= MAX_FAILED_PROBES:
            self.is_down = True

    async def run_command(
        self, text: str, timeout_ms: int
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command of the proxy's own; a sentinel if it failed.

        Uses a fresh connection after a failure, since an old one may have
        gone silent while the target lives.
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
        self, text: str, timeout_ms: int
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command without waiting for earlier ones.

        Those may wait for a connection that is cut off.
        """
        try:
            opened = await self._open_command_connection(timeout_ms)
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        try:
            return await self._send_command(opened, text, timeout_ms)
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        finally:
            opened.close()

    async def _open_command_connection(
        self, timeout_ms: int
    ) -> connection_module.TargetConnection:
        return await connection_module.open_connection(
            self.target, PROXY_ACCOUNT, timeout_ms, self._clock.now()
        )

    async def _send_command(
        self,
        connection: connection_module.TargetConnection,
        text: str,
        timeout_ms: int,
    ) -> wire.Status | exceptions.Sentinel:
        sent_ms = self._clock.now()
        step = connection_module.Step(wire.OWN_ID, text)
        [reply] = await connection.run([step], timeout_ms)
        self.round_trip_ms += SMOOTHING * (
            self._clock.now() - sent_ms - self.round_trip_ms
        )
        if reply.error is not None:
            return exceptions.Sentinel(reply.error.code)
        status = wire.decode_status(reply.rows[0]) if reply.rows else None
        if status is None:
            return exceptions.Sentinel('malformed status')
        return status

    def _close_command_connection(self) -> None:
        if self._command_connection is not None:
            self._command_connection.close()
            self._command_connection = None
