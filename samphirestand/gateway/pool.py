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
CONNECTION_SHARE = 0.5

# Opening takes two round trips and up to 30 ms of a slot; this bound also
# covers a target that is several times slower.
OPEN_TIMEOUT_MS = 700

PROBE_TIMEOUT_MS = 500

# Unanswered probes in a row after which a target counts as down.
MAX_FAILED_PROBES = 2

# A target that has answered nothing for this long, although something was
# asked, is probed.
SILENT_MS = 400

# A target that went away this often within the time is unsteady.
UNSTEADY_FAILURES = 2
UNSTEADY_MS = 8_000

# The estimates of a target that isn't used move by this part, each 100 ms,
# towards a little less than what is usual, so that it is tried again within
# seconds.
ESTIMATE_DECAY = 0.1
UNUSED_SERVICE_SHARE = 0.8

# A replica that lacked a position is not asked for it again for this long:
# replicas apply what they have received several times a second.
LACKING_MS = 80

# The name under which the proxy itself opens sessions for probes.
OWN_ACCOUNT = 'samphirestand'

# The weight of a new sample of the smoothed times.
SMOOTHING = 0.1

# The first guess of how long a connection takes to open: two round trips and
# up to 30 ms of a slot.
FIRST_OPENING_MS = 25.0

# The first guess of how long a target takes for one statement, and the weight
# of a new sample.
FIRST_SERVICE_MS = 15.0
SERVICE_SMOOTHING = 0.05


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
        self._opening = 0
        self.opening_ms = FIRST_OPENING_MS
        self.running = 0
        self.pinned = 0
        self.avoid_until_ms = 0
        self.is_down = False
        self.failed_probes = 0
        self.service_ms = FIRST_SERVICE_MS
        self.failing_share = 0.0
        self._used_ms = clock.now()
        self._failures_ms: collections.deque[int] = collections.deque(
            maxlen=UNSTEADY_FAILURES
        )
        self._lacked: types.Position | None = None
        self._lacked_ms = 0
        self.lagging_count = 0  # reads refused since it was last looked at
        self._failing_since_ms: int | None = None
        self._sent_ms: dict[object, int] = {}
        self._replied_ms = clock.now()
        self.round_trip_ms = 1.0
        self._control: connection_module.TargetConnection | None = None
        # Commands share a connection, on which answers come in order.
        self._control_lock = asyncio.Lock()

    @property
    def limit(self) -> int:
        """Return how many connections may be open."""
        return max(1, int(self.max_connections * CONNECTION_SHARE))

    @property
    def open_count(self) -> int:
        return len(self._connections) + self._opening

    def can_serve(self, account: str) -> bool:
        """Tell whether a connection can be had without waiting for one."""
        return self.open_count < self.limit or any(
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
        self._drop_closed()
        idle = [each for each in self._connections if not each.is_busy]
        suited = [each for each in idle if each.account == work.account]
        if suited:
            best = min(suited, key=lambda each: each.lacks(work))
            best.is_busy = True
            return best
        if self.open_count >= self.limit:
            if not idle:
                raise exceptions.TargetError(
                    'all connections are in use',
                    step='choose connection',
                    peer=self.target.target_id,
                )
            oldest = min(idle, key=lambda each: each.used_ms)
            self.discard(oldest)
        return await self._open(work.account, timeout_ms)

    async def _open(
        self, account: str, timeout_ms: int
    ) -> connection_module.TargetConnection:
        self._opening += 1
        started_ms = self._clock.now()
        try:
            opened = await connection_module.open_connection(
                self.target,
                account,
                min(timeout_ms, OPEN_TIMEOUT_MS),
                self._clock.now(),
            )
        except exceptions.TargetRefused:
            self.note_reply()
            raise
        except exceptions.TargetConnectError:
            self.note_failure()
            raise
        finally:
            self._opening -= 1
        self.note_reply()
        self.opening_ms += SMOOTHING * (
            self._clock.now() - started_ms - self.opening_ms
        )
        opened.is_busy = True
        self._connections.append(opened)
        return opened

    def checkin(self, used: connection_module.TargetConnection) -> None:
        """Take back a connection that is outside a transaction."""
        used.is_busy = False
        used.used_ms = self._clock.now()
        if not used.is_usable:
            self.discard(used)

    def discard(self, used: connection_module.TargetConnection) -> None:
        """Close a connection."""
        used.close()
        if used in self._connections:
            self._connections.remove(used)

    def _drop_closed(self) -> None:
        """Forget connections that the target has closed.

        It may have failed, so it is probed.
        """
        for each in list(self._connections):
            if not each.is_busy and not each.is_usable:
                self.discard(each)
                self.note_failure()

    def close_idle(self, unused_ms: int) -> None:
        """Close connections that were not used for ``unused_ms``."""
        self._drop_closed()
        before = self._clock.now() - unused_ms
        for each in list(self._connections):
            if not each.is_busy and each.used_ms <= before:
                self.discard(each)

    def close(self) -> None:
        """Close all connections, busy ones too."""
        for each in list(self._connections):
            self.discard(each)
        self._close_control()

    async def run(
        self,
        used: connection_module.TargetConnection,
        steps: list[connection_module.Step],
        timeout_ms: int,
    ) -> list[connection_module.Reply]:
        """Run steps on a connection; raises ``AnswerLost``."""
        token = object()
        self._sent_ms[token] = self._clock.now()
        try:
            replies = await used.run(steps, timeout_ms)
        except exceptions.AnswerLost:
            self.note_failure()
            raise
        finally:
            del self._sent_ms[token]
        self.note_reply()
        return replies

    def note_reply(self) -> None:
        """Note that the target answered."""
        self._replied_ms = self._clock.now()
        self._failing_since_ms = None
        self.failed_probes = 0
        self.is_down = False

    def note_failure(self) -> None:
        """Note that the target could not be reached or went silent."""
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now()
            self._failures_ms.append(self._failing_since_ms)

    @property
    def is_unsteady(self) -> bool:
        """Tell whether the target went away several times lately."""
        return (
            len(self._failures_ms) == UNSTEADY_FAILURES
            and self._clock.now() - self._failures_ms[0] < UNSTEADY_MS
        )

    def note_served(self, took_ms: int) -> None:
        """Note how long the target took for a statement that succeeded."""
        self._used_ms = self._clock.now()
        self.failing_share -= SMOOTHING * self.failing_share
        self.service_ms += SERVICE_SMOOTHING * (took_ms - self.service_ms)

    def note_statement_failed(self) -> None:
        """Note that the target ran a statement and answered an error."""
        self._used_ms = self._clock.now()
        self.failing_share += SMOOTHING * (1 - self.failing_share)

    def decay_estimates(self, usual_ms: float) -> None:
        """Forget slowly how a target did that isn't used."""
        if self._clock.now() - self._used_ms < SILENT_MS:
            return
        self.service_ms += ESTIMATE_DECAY * (
            UNUSED_SERVICE_SHARE * usual_ms - self.service_ms
        )
        self.failing_share -= ESTIMATE_DECAY * self.failing_share

    def note_lacking(self, position: types.Position | None) -> None:
        """Note that the target answered that its log lacks a position."""
        self.lagging_count += 1
        self._lacked = position
        self._lacked_ms = self._clock.now()

    def lacks(self, position: types.Position) -> bool:
        """Tell whether the log was just found to lack a position."""
        return (
            self._lacked is not None
            and position >= self._lacked
            and self._clock.now() - self._lacked_ms < LACKING_MS
        )

    @property
    def needs_probe(self) -> bool:
        """Tell whether it is unclear that the target lives."""
        if self._failing_since_ms is not None or self.is_down:
            return True
        oldest = min(self._sent_ms.values(), default=None)
        if oldest is None:
            return False
        silent_since = max(oldest, self._replied_ms)
        return self._clock.now() - silent_since > SILENT_MS

    async def probe(self, is_zone_silent: bool) -> None:
        """Ask a target that seems to fail for its state.

        ``is_zone_silent`` tells that nothing in the target's zone answers:
        then one failed probe is enough.
        """
        status = await self.control(wire.STATUS, PROBE_TIMEOUT_MS)
        if not isinstance(status, exceptions.Sentinel):
            self.note_reply()
            return
        self.failed_probes += 1
        if is_zone_silent or self.failed_probes >= MAX_FAILED_PROBES:
            self.is_down = True

    async def control(
        self, text: str, timeout_ms: int
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command of the proxy's own; a sentinel if it failed.

        Uses a fresh connection after a failure, since an old one may have
        gone silent while the target lives.
        """
        async with self._control_lock:
            try:
                if self._control is None or not self._control.is_usable:
                    self._control = await self._open_control(timeout_ms)
                return await self._command(self._control, text, timeout_ms)
            except exceptions.TargetError as error:
                self._close_control()
                return exceptions.Sentinel(str(error))
            except asyncio.CancelledError:
                self._close_control()
                raise

    async def control_at_once(
        self, text: str, timeout_ms: int
    ) -> wire.Status | exceptions.Sentinel:
        """Send a command without waiting for earlier ones.

        Those may wait for a connection that is cut off.
        """
        try:
            opened = await self._open_control(timeout_ms)
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        try:
            return await self._command(opened, text, timeout_ms)
        except exceptions.TargetError as error:
            return exceptions.Sentinel(str(error))
        finally:
            opened.close()

    async def _open_control(
        self, timeout_ms: int
    ) -> connection_module.TargetConnection:
        return await connection_module.open_connection(
            self.target, OWN_ACCOUNT, timeout_ms, self._clock.now()
        )

    async def _command(
        self,
        used: connection_module.TargetConnection,
        text: str,
        timeout_ms: int,
    ) -> wire.Status | exceptions.Sentinel:
        sent_ms = self._clock.now()
        step = connection_module.Step(wire.OWN_ID, text)
        [reply] = await used.run([step], timeout_ms)
        self.round_trip_ms += SMOOTHING * (
            self._clock.now() - sent_ms - self.round_trip_ms
        )
        if reply.error is not None:
            return exceptions.Sentinel(reply.error.code)
        status = wire.decode_status(reply.rows[0]) if reply.rows else None
        if status is None:
            return exceptions.Sentinel('malformed status')
        return status

    def _close_control(self) -> None:
        if self._control is not None:
            self._control.close()
            self._control = None
