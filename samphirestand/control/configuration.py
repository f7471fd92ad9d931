"""The versioned configuration history and this host's copy of it."""

import collections
import collections.abc
import dataclasses
import random

from samphirestand import clock as clocks
from samphirestand.control import changes
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import types

# All hosts of the fleet together read the head row about 30 times a second.
POLL_INTERVAL_MS = 1_000
FLEET_POLLS_PER_S = 30

# How long a proposed change is retried while the platform doesn't respond, and
# the bounds of the backoff between two attempts.
RESOLVE_TIMEOUT_MS = 5_000
FIRST_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 1_000

# Rows cached for peers: about half a day of changes, 1 MB.
MAX_CACHED_ROWS = 1_000
ROWS_PER_PAGE = 100
MAX_SNAPSHOTS_TRIED = 3

LOG = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A configuration change that an operator requested.

    ``if_version`` is the version on which the operator based the change.
    ``repeated`` means that an earlier attempt with the same change id may
    have taken effect.
    """

    change: changes.Change
    change_id: str
    author: str
    reason: str
    command: str
    if_version: int | None = None
    repeated: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is in the history; ``replayed`` if it already was."""

    row: types.ChangeRow
    replayed: bool = False


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another change was accepted first; nothing was written."""

    winner: types.ChangeRow | None
    version: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change isn't allowed or couldn't be sent to the platform."""

    code: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Undetermined:
    """The change may have taken effect; retry it with its change id."""

    change_id: str
    reason: str


Result = Accepted | Conflict | Refused | Undetermined


@dataclasses.dataclass(frozen=True)
class Head:
    """The head row of the history as the platform returned it."""

    version: int = 0
    table_version: int = 0


class ConfigurationStore:
    """This host's copy of the configuration history.

    Implements ``interfaces.ConfigurationSource``. ``is_confirmed`` decides by
    what all hosts of the fleet report. ``host_count`` returns how many hosts
    poll the platform. ``on_head_confirmed`` is called when the platform has
    shown that this host's version is the newest; its argument is the time on
    this host's clock at which the request to the platform began.
    """

    def __init__(
        self,
        platform: rows.Platform,
        clock: clocks.Clock,
        *,
        is_confirmed: collections.abc.Callable[[], bool],
        host_count: collections.abc.Callable[[], int] = lambda: 1,
        on_head_confirmed: collections.abc.Callable[[int], None] = lambda _: (
            None
        ),
        metrics: metrics_module.Metrics | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._is_confirmed = is_confirmed
        self._host_count = host_count
        self._on_head_confirmed = on_head_confirmed
        self._metrics = metrics or metrics_module.Metrics()
        self._random = generator or random.Random()
        self._current = types.Configuration()
        self._callbacks: list[
            collections.abc.Callable[[types.Configuration], None]
        ] = []
        self._cached_rows_by_version: collections.OrderedDict[
            int, types.ChangeRow
        ] = collections.OrderedDict()
        self._current_change_id = ''
        self._pending_snapshot: rows.Snapshot | None = None
        self._proposed_change_ids: set[str] = set()

    @property
    def current(self) -> types.Configuration:
        """Return the highest known version; it never decreases."""
        return self._current

    def is_confirmed(self) -> bool:
        """Return false if a newer version may be in force for over 5 s."""
        return self._is_confirmed()

    def subscribe(
        self, callback: collections.abc.Callable[[types.Configuration], None]
    ) -> None:
        """Call ``callback`` with each new version after it is applied."""
        self._callbacks.append(callback)

    def row(self, version: int) -> types.ChangeRow | None:
        """Return a row of the history if this host has it in its cache."""
        return self._cached_rows_by_version.get(version)

    async def history(self, count: int) -> list[types.ChangeRow]:
        """Return the latest ``count`` rows, oldest first.

        Raises ``PlatformError`` if rows are needed that this host no longer
        caches and the platform doesn't respond.
        """
        first = max(1, self._current.version - count + 1)
        last = self._current.version
        if last >= first and first not in self._cached_rows_by_version:
            return await self._read_history(first, last)
        return [
            self._cached_rows_by_version[each]
            for each in range(first, last + 1)
        ]

    def apply_rows(
        self, new_rows: collections.abc.Iterable[types.ChangeRow]
    ) -> int:
        """Apply rows of the platform or of a peer.

        Returns the version of the configuration after that. Rows that are not
        newer or don't directly follow the current version are skipped, so
        duplicate and late messages have no effect.
        """
        for row in new_rows:
            if row.version <= self._current.version:
                self._check_for_divergence(row)
                continue
            if not rows.follows(self._current, row):
                continue
            advanced = rows.advance(self._current, row)
            if isinstance(advanced, exceptions.Sentinel):
                self._metrics.count('configuration_rows_not_applied')
                LOG.error(
                    'configuration row not applied',
                    step='configuration',
                    version=row.version,
                    reason=advanced.reason,
                )
                break
            if row.document.get('kind') == rows.SNAPSHOT_KIND:
                self._apply_snapshot(rows.Snapshot(advanced, row.change_id))
                continue
            self._cache_row(row)
            self._publish(advanced)
            self._schedule_snapshot(row)
        return self._current.version

    def changes_after(self, version: int) -> list[types.ChangeRow]:
        """Return the rows that a peer at ``version`` lacks, oldest first.

        If this host no longer caches the next row that the peer needs, it
        returns the whole configuration as one row, so that a new host can
        start while the platform is down.
        """
        if version >= self._current.version:
            return []
        if version + 1 not in self._cached_rows_by_version:
            return [rows.snapshot_row(self._current, self._current_change_id)]
        last = min(self._current.version, version + ROWS_PER_PAGE)
        return [
            self._cached_rows_by_version[each]
            for each in range(version + 1, last + 1)
        ]

    async def run(self) -> None:
        """Poll the platform until cancelled."""
        while True:
            try:
                await self.refresh()
                await self._write_snapshot()
            except exceptions.PlatformError as error:
                self._metrics.count('configuration_polls_failed')
                LOG.info(
                    'configuration poll failed',
                    step=error.step,
                    peer='platform',
                    reason=error.message,
                )
            await self._clock.sleep(self._poll_delay())

    async def refresh(self) -> Head:
        """Read the head row and apply all rows up to its version.

        Raises ``PlatformError`` if the platform doesn't respond or doesn't
        return all of the rows.
        """
        started_at = self._clock.now()
        previous_version = self._current.version
        row = await self._platform.get_row(rows.HISTORY_TABLE, rows.HEAD_KEY)
        head = Head()
        if row is not None:
            head = Head(rows.head_version(row.value), row.version)
        if head.version > self._current.version:
            await self._catch_up(head.version)

        # A head older than the version that this host had before the read
        # doesn't show that the host's configuration is the newest.
        if head.version < previous_version:
            self._metrics.count('configuration_heads_stale')
            LOG.warning(
                'platform returned an older configuration version',
                step='configuration',
                peer='platform',
                version=head.version,
                known_version=previous_version,
            )
        else:
            self._on_head_confirmed(started_at)
        return head

    async def propose(self, proposal: Proposal) -> Result:
        """Append a change to the history.

        If an attempt has no clear outcome, looks the change up by its id and
        retries until the outcome is known or ``RESOLVE_TIMEOUT_MS`` has
        passed.
        """
        self._proposed_change_ids.add(proposal.change_id)
        try:
            return await self._resolve(proposal)
        finally:
            self._proposed_change_ids.discard(proposal.change_id)

    async def _resolve(self, proposal: Proposal) -> Result:
        deadline = self._clock.now() + RESOLVE_TIMEOUT_MS
        attempt = _Attempt(proposal, may_be_written=proposal.repeated)
        delay_ms = FIRST_RETRY_DELAY_MS
        while True:
            try:
                return await self._attempt_once(attempt)
            except exceptions.PlatformError as error:
                reason = error.message
            if self._clock.now() + delay_ms > deadline:
                break
            await self._clock.sleep(self._random.randint(0, delay_ms))
            delay_ms = min(2 * delay_ms, MAX_RETRY_DELAY_MS)
        if attempt.may_be_written:
            return Undetermined(proposal.change_id, reason)
        return Refused(
            'platform_unavailable', f'nothing was written: {reason}'
        )

    async def _attempt_once(self, attempt: '_Attempt') -> Result:
        """Make one attempt; raise ``PlatformError`` if its outcome is open."""
        # Read the head before looking up the change id: an earlier attempt
        # that is still in progress can succeed only on the head on which it
        # was based.
        proposal = attempt.proposal
        head = await self.refresh()
        if attempt.may_be_written:
            earlier_outcome = await self._find_earlier_outcome(attempt)
            if earlier_outcome is not None:
                return earlier_outcome
        if attempt.base_version is None:
            attempt.base_version = head.version
        required_version = proposal.if_version
        if required_version is not None and required_version != head.version:
            return await self._resolve_conflict(attempt, required_version)
        if attempt.base_version != head.version:
            return await self._resolve_conflict(attempt, attempt.base_version)
        if self._current.version != head.version:
            return await self._resolve_conflict(attempt, head.version)

        refusal = self._check_change(proposal.change)
        if refusal is not None:
            return refusal
        attempt.row = attempt.row or self._build_row(proposal)
        attempt.may_be_written = True
        started_at = self._clock.now()
        try:
            await self._platform.transact(_build_puts(attempt.row, head))
        except exceptions.TableConflict:
            await self.refresh()
            earlier_outcome = await self._find_earlier_outcome(attempt)
            return earlier_outcome or await self._resolve_conflict(
                attempt, head.version
            )
        self.apply_rows([attempt.row])
        self._on_head_confirmed(started_at)
        return Accepted(attempt.row)

    def _check_change(self, change: changes.Change) -> Refused | None:
        checked = changes.validate(change)
        if isinstance(checked, exceptions.Sentinel):
            return Refused('value_not_allowed', checked.reason)
        applied = changes.apply(self._current, checked)
        if isinstance(applied, exceptions.Sentinel):
            return Refused('change_not_possible', applied.reason)
        return None

    def _build_row(self, proposal: Proposal) -> types.ChangeRow:
        return types.ChangeRow(
            version=self._current.version + 1,
            change_id=proposal.change_id,
            author=proposal.author,
            reason=proposal.reason,
            wall_ms=self._clock.wall(),
            command=proposal.command,
            document=changes.to_document(proposal.change),
        )

    async def _find_earlier_outcome(
        self, attempt: '_Attempt'
    ) -> Result | None:
        """Return the outcome if the change id is already in the history."""
        proposal = attempt.proposal
        change_id_row = await self._platform.get_row(
            rows.CHANGE_TABLE, proposal.change_id
        )
        if change_id_row is None:
            return None
        row = await self._get_row(rows.head_version(change_id_row.value))
        stored = changes.from_document(row.document)
        if isinstance(
            stored, exceptions.Sentinel
        ) or not changes.is_same_command(stored, proposal.change):
            return Refused(
                'change_id_used',
                f'change id {proposal.change_id} belongs to version '
                f'{row.version}: {row.command}',
            )
        if row.version > self._current.version:
            await self._catch_up(row.version)
        return Accepted(row, replayed=row != attempt.row)

    async def _resolve_conflict(
        self, attempt: '_Attempt', base_version: int
    ) -> Result:
        """Return the conflict with the change that followed ``base_version``.

        Once an attempt may have been written, only the row of that change
        proves that the attempt failed: the platform may have returned an old
        head row. Raises ``PlatformError`` if that row can't be read.
        """
        if base_version < self._current.version:
            winner = await self._get_row(base_version + 1)
            if winner.change_id == attempt.proposal.change_id:
                return Accepted(winner)
            return Conflict(winner, self._current.version)
        if attempt.may_be_written:
            raise _missing_version(base_version + 1)
        return Conflict(None, self._current.version)

    async def _get_row(self, version: int) -> types.ChangeRow:
        cached = self._cached_rows_by_version.get(version)
        if cached is not None:
            return cached
        row = await self._platform.get_row(
            rows.HISTORY_TABLE, rows.history_key(version)
        )
        if row is None:
            raise _missing_version(version)
        return rows.decode_row(row.value)

    async def _read_history(
        self, first: int, last: int
    ) -> list[types.ChangeRow]:
        history_rows: list[types.ChangeRow] = []
        while first + len(history_rows) <= last:
            page = await self._platform.list_rows(
                rows.HISTORY_TABLE,
                after=rows.history_key(first + len(history_rows) - 1),
                limit=ROWS_PER_PAGE,
            )
            page = [each for each in page if each.key.isdigit()]
            if not page:
                raise _missing_version(first + len(history_rows))
            history_rows += [rows.decode_row(each.value) for each in page]
        return history_rows[: last - first + 1]

    async def _catch_up(self, version: int) -> None:
        """Read and apply rows until this host has reached ``version``."""
        if version - self._current.version > rows.VERSIONS_PER_SNAPSHOT:
            await self._load_snapshot(version)
        while self._current.version < version:
            version_before = self._current.version
            page = await self._platform.list_rows(
                rows.HISTORY_TABLE,
                after=rows.history_key(version_before),
                limit=ROWS_PER_PAGE,
            )
            self.apply_rows(
                rows.decode_row(each.value)
                for each in page
                if each.key.isdigit()
            )
            if self._current.version == version_before:
                raise _missing_version(version_before + 1)

    async def _load_snapshot(self, version: int) -> None:
        latest_snapshot = version - version % rows.VERSIONS_PER_SNAPSHOT
        for index in range(MAX_SNAPSHOTS_TRIED):
            snapshot_version = (
                latest_snapshot - index * rows.VERSIONS_PER_SNAPSHOT
            )
            if snapshot_version <= self._current.version:
                return
            data = await self._platform.get_object(
                rows.snapshot_name(snapshot_version)
            )
            if data is None:
                continue
            try:
                snapshot = rows.decode_snapshot(data, snapshot_version)
            except exceptions.PlatformError as error:
                # Continue: an earlier snapshot and the rows after it hold the
                # same changes.
                LOG.error(
                    'snapshot cannot be read',
                    step=error.step,
                    peer='platform',
                    version=snapshot_version,
                    reason=error.message,
                )
                continue
            self._apply_snapshot(snapshot)
            return

    def _apply_snapshot(self, snapshot: rows.Snapshot) -> None:
        # The cached rows end before the snapshot. Peers can't use them,
        # because the rows between them and the snapshot are missing.
        if snapshot.configuration.version > self._current.version:
            self._cached_rows_by_version.clear()
            self._current_change_id = snapshot.change_id
            self._publish(snapshot.configuration)

    async def _write_snapshot(self) -> None:
        pending = self._pending_snapshot
        if pending is None:
            return
        await self._platform.put_object(
            rows.snapshot_name(pending.configuration.version),
            rows.encode_snapshot(pending),
        )
        if self._pending_snapshot is pending:
            self._pending_snapshot = None

    def _cache_row(self, row: types.ChangeRow) -> None:
        self._cached_rows_by_version[row.version] = row
        while len(self._cached_rows_by_version) > MAX_CACHED_ROWS:
            self._cached_rows_by_version.popitem(last=False)
        self._current_change_id = row.change_id

    def _schedule_snapshot(self, row: types.ChangeRow) -> None:
        # Only the host that proposed the change writes the snapshot.
        is_snapshot_version = row.version % rows.VERSIONS_PER_SNAPSHOT == 0
        if is_snapshot_version and row.change_id in self._proposed_change_ids:
            self._pending_snapshot = rows.Snapshot(
                self._current, row.change_id
            )

    def _publish(self, configuration: types.Configuration) -> None:
        self._current = configuration
        for callback in self._callbacks:
            try:
                callback(configuration)
            except Exception:
                # A failing callback must not keep the other subscribers or
                # the history at an old version.
                LOG.exception(
                    'configuration callback failed',
                    step='configuration',
                    version=configuration.version,
                )

    def _check_for_divergence(self, row: types.ChangeRow) -> None:
        cached = self._cached_rows_by_version.get(row.version)
        if cached is not None and cached.change_id != row.change_id:
            self._metrics.count('configuration_rows_diverged')
            LOG.error(
                'two changes have the same configuration version',
                step='configuration',
                version=row.version,
                cached_change_id=cached.change_id,
                received_change_id=row.change_id,
            )

    def _poll_delay(self) -> int:
        average_ms = max(
            POLL_INTERVAL_MS, 1_000 * self._host_count() // FLEET_POLLS_PER_S
        )
        return self._random.randint(
            average_ms // 2, average_ms + average_ms // 2
        )


@dataclasses.dataclass
class _Attempt:
    """The state of a proposal that is kept between its attempts."""

    proposal: Proposal
    may_be_written: bool
    base_version: int | None = None
    row: types.ChangeRow | None = None


def _build_puts(row: types.ChangeRow, head: Head) -> list[rows.Put]:
    # The row whose key is the change id must not exist yet. It prevents a
    # retried change from being accepted twice, however late the first attempt
    # reaches the platform.
    return [
        rows.Put(
            rows.HISTORY_TABLE,
            rows.HEAD_KEY,
            {'version': row.version},
            head.table_version,
        ),
        rows.Put(
            rows.HISTORY_TABLE,
            rows.history_key(row.version),
            rows.encode_row(row),
            0,
        ),
        rows.Put(
            rows.CHANGE_TABLE, row.change_id, {'version': row.version}, 0
        ),
    ]


def _missing_version(version: int) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'configuration version {version} cannot be read',
        step='configuration',
        peer='platform',
    )
