"""The numbered configuration history and this host's copy of it."""

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

# The fleet as a whole reads the head about 30 times a second.
POLL_INTERVAL_MS = 1_000
POLLS_PER_SECOND = 30

# How long a change is tried while the platform does not answer, and the
# back-off between two attempts.
RESOLVE_LIMIT_MS = 5_000
FIRST_DELAY_MS = 100
LARGEST_DELAY_MS = 1_000

# Rows kept for peers: about half a day of changes, 1 MB.
ROWS_KEPT = 1_000
ROWS_PER_ANSWER = 100
SNAPSHOTS_TRIED = 3

LOG = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A change that an operator asked for.

    ``if_version`` is the version that the operator has seen. ``repeated``
    says that an earlier attempt with this change id may have taken effect.
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
    """The change is in the history; ``replayed`` if it was there before."""

    row: types.ChangeRow
    replayed: bool = False


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another change came first; nothing was written."""

    winner: types.ChangeRow | None
    version: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is not allowed or could not be sent."""

    code: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Undetermined:
    """The change may have taken effect; repeat it with its change id."""

    change_id: str
    reason: str


Result = Accepted | Conflict | Refused | Undetermined


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of the history as the platform gave it."""

    version: int = 0
    table_version: int = 0


class ConfigurationStore:
    """Implements ``interfaces.ConfigurationSource``.

    ``is_confirmed`` decides by evidence of the whole fleet, ``host_count``
    says how many hosts poll, and ``on_evidence`` receives the instant, on
    this host's clock, at which a successful reading of the head began.
    """

    def __init__(
        self,
        platform: rows.Platform,
        clock: clocks.Clock,
        *,
        is_confirmed: collections.abc.Callable[[], bool],
        host_count: collections.abc.Callable[[], int] = lambda: 1,
        on_evidence: collections.abc.Callable[[int], None] = lambda _: None,
        metrics: metrics_module.Metrics | None = None,
        generator: random.Random | None = None,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._is_confirmed = is_confirmed
        self._host_count = host_count
        self._on_evidence = on_evidence
        self._metrics = metrics or metrics_module.Metrics()
        self._random = generator or random.Random()
        self._current = types.Configuration()
        self._callbacks: list[
            collections.abc.Callable[[types.Configuration], None]
        ] = []
        self._rows_by_version: collections.OrderedDict[
            int, types.ChangeRow
        ] = collections.OrderedDict()
        self._last_change_id = ''
        self._snapshot_due: rows.Snapshot | None = None
        self._proposed_ids: set[str] = set()

    @property
    def current(self) -> types.Configuration:
        """Return the highest version known; it never goes back."""
        return self._current

    def is_confirmed(self) -> bool:
        """Tell whether no newer version can be in force for over 5 s."""
        return self._is_confirmed()

    def subscribe(
        self, callback: collections.abc.Callable[[types.Configuration], None]
    ) -> None:
        """Call ``callback`` after each new version was applied."""
        self._callbacks.append(callback)

    def row(self, version: int) -> types.ChangeRow | None:
        """Return a row of the history if this host still keeps it."""
        return self._rows_by_version.get(version)

    async def history(self, count: int) -> list[types.ChangeRow]:
        """Return the latest ``count`` rows, oldest first.

        Raises ``PlatformError`` if older rows than this host keeps are
        needed and the platform doesn't answer.
        """
        first = max(1, self._current.version - count + 1)
        last = self._current.version
        if last >= first and first not in self._rows_by_version:
            return await self._read_history(first, last)
        return [self._rows_by_version[each] for each in range(first, last + 1)]

    def apply_rows(
        self, new_rows: collections.abc.Iterable[types.ChangeRow]
    ) -> int:
        """Apply rows of the platform or of a peer; return the version.

        Rows that are older or that don't follow are passed over, so copies
        and late messages do no harm.
        """
        for row in new_rows:
            if row.version <= self._current.version:
                self._check_same(row)
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
                self._adopt(rows.Snapshot(advanced, row.change_id))
                continue
            self._keep(row)
            self._publish(advanced)
            self._note_snapshot(row)
        return self._current.version

    def changes_after(self, version: int) -> list[types.ChangeRow]:
        """Return what a peer at ``version`` lacks, oldest first.

        A peer that is too far behind gets the whole configuration as one
        row, so a new host can start while the platform is down.
        """
        if version >= self._current.version:
            return []
        if version + 1 not in self._rows_by_version:
            return [rows.snapshot_row(self._current, self._last_change_id)]
        last = min(self._current.version, version + ROWS_PER_ANSWER)
        return [
            self._rows_by_version[each]
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
        """Read the head and all rows up to it.

        Raises ``PlatformError`` if the platform doesn't answer or lacks
        rows.
        """
        asked_at = self._clock.now()
        known = self._current.version
        row = await self._platform.get_row(rows.HISTORY_TABLE, rows.HEAD_KEY)
        head = Head()
        if row is not None:
            head = Head(rows.head_version(row.value), row.version)
        if head.version > self._current.version:
            await self._fetch(head.version)

        # An answer older than what this host already had is no evidence that
        # its configuration is the newest.
        if head.version < known:
            self._metrics.count('configuration_heads_stale')
            LOG.warning(
                'platform returned an older configuration version',
                step='configuration',
                peer='platform',
                version=head.version,
                known=known,
            )
        else:
            self._on_evidence(asked_at)
        return head

    async def propose(self, proposal: Proposal) -> Result:
        """Write a change at the head of the history.

        The outcome is looked up by change id until it is certain or
        ``RESOLVE_LIMIT_MS`` is over.
        """
        self._proposed_ids.add(proposal.change_id)
        try:
            return await self._resolve(proposal)
        finally:
            self._proposed_ids.discard(proposal.change_id)

    async def _resolve(self, proposal: Proposal) -> Result:
        give_up_at = self._clock.now() + RESOLVE_LIMIT_MS
        attempt = _Attempt(proposal, may_be_written=proposal.repeated)
        delay_ms = FIRST_DELAY_MS
        while True:
            try:
                return await self._try(attempt)
            except exceptions.PlatformError as error:
                reason = error.message
            if self._clock.now() + delay_ms > give_up_at:
                break
            await self._clock.sleep(self._random.randint(0, delay_ms))
            delay_ms = min(2 * delay_ms, LARGEST_DELAY_MS)
        if attempt.may_be_written:
            return Undetermined(proposal.change_id, reason)
        return Refused(
            'platform_unavailable', f'nothing was written: {reason}'
        )

    async def _try(self, attempt: '_Attempt') -> Result:
        """Make one attempt; raises ``PlatformError`` if it is undecided."""
        # The head is read before the change id: an earlier attempt that is
        # still under way can only succeed on the head that it was based on.
        proposal = attempt.proposal
        head = await self.refresh()
        if attempt.may_be_written:
            earlier = await self._earlier(attempt)
            if earlier is not None:
                return earlier
        if attempt.base_version is None:
            attempt.base_version = head.version
        wanted = proposal.if_version
        if wanted is not None and wanted != head.version:
            return await self._conflict(attempt, wanted)
        if attempt.base_version != head.version:
            return await self._conflict(attempt, attempt.base_version)
        if self._current.version != head.version:
            return await self._conflict(attempt, head.version)

        refusal = self._refusal(proposal.change)
        if refusal is not None:
            return refusal
        attempt.row = attempt.row or self._new_row(proposal)
        attempt.may_be_written = True
        asked_at = self._clock.now()
        try:
            await self._platform.transact(_puts(attempt.row, head))
        except exceptions.TableConflict:
            await self.refresh()
            earlier = await self._earlier(attempt)
            return earlier or await self._conflict(attempt, head.version)
        self.apply_rows([attempt.row])
        self._on_evidence(asked_at)
        return Accepted(attempt.row)

    def _refusal(self, change: changes.Change) -> Refused | None:
        checked = changes.validated(change)
        if isinstance(checked, exceptions.Sentinel):
            return Refused('value_not_allowed', checked.reason)
        applied = changes.apply(self._current, checked)
        if isinstance(applied, exceptions.Sentinel):
            return Refused('change_not_possible', applied.reason)
        return None

    def _new_row(self, proposal: Proposal) -> types.ChangeRow:
        return types.ChangeRow(
            version=self._current.version + 1,
            change_id=proposal.change_id,
            author=proposal.author,
            reason=proposal.reason,
            wall_ms=self._clock.wall(),
            command=proposal.command,
            document=changes.to_document(proposal.change),
        )

    async def _earlier(self, attempt: '_Attempt') -> Result | None:
        """Return the outcome of an attempt that is in the history."""
        proposal = attempt.proposal
        found = await self._platform.get_row(
            rows.CHANGE_TABLE, proposal.change_id
        )
        if found is None:
            return None
        row = await self._stored(rows.head_version(found.value))
        stored = changes.from_document(row.document)
        if isinstance(stored, exceptions.Sentinel) or not changes.same_intent(
            stored, proposal.change
        ):
            return Refused(
                'change_id_used',
                f'change id {proposal.change_id} belongs to version '
                f'{row.version}: {row.command}',
            )
        if row.version > self._current.version:
            await self._fetch(row.version)
        return Accepted(row, replayed=row != attempt.row)

    async def _conflict(
        self, attempt: '_Attempt', base_version: int
    ) -> Result:
        """Name the change that followed ``base_version``.

        After an attempt, only that row proves that the attempt failed: the
        platform may have answered with an old head.
        """
        if base_version < self._current.version:
            winner = await self._stored(base_version + 1)
            if winner.change_id == attempt.proposal.change_id:
                return Accepted(winner)
            return Conflict(winner, self._current.version)
        if attempt.may_be_written:
            raise _missing(base_version + 1)
        return Conflict(None, self._current.version)

    async def _stored(self, version: int) -> types.ChangeRow:
        kept = self._rows_by_version.get(version)
        if kept is not None:
            return kept
        row = await self._platform.get_row(
            rows.HISTORY_TABLE, rows.history_key(version)
        )
        if row is None:
            raise _missing(version)
        return rows.decode_row(row.value)

    async def _read_history(
        self, first: int, last: int
    ) -> list[types.ChangeRow]:
        found: list[types.ChangeRow] = []
        while first + len(found) <= last:
            page = await self._platform.list_rows(
                rows.HISTORY_TABLE,
                after=rows.history_key(first + len(found) - 1),
                limit=ROWS_PER_ANSWER,
            )
            page = [each for each in page if each.key.isdigit()]
            if not page:
                raise _missing(first + len(found))
            found += [rows.decode_row(each.value) for each in page]
        return found[: last - first + 1]

    async def _fetch(self, version: int) -> None:
        """Read rows until this host has ``version``."""
        if version - self._current.version > rows.SNAPSHOT_EVERY:
            await self._load_snapshot(version)
        while self._current.version < version:
            before = self._current.version
            listed = await self._platform.list_rows(
                rows.HISTORY_TABLE,
                after=rows.history_key(before),
                limit=ROWS_PER_ANSWER,
            )
            self.apply_rows(
                rows.decode_row(each.value)
                for each in listed
                if each.key.isdigit()
            )
            if self._current.version == before:
                raise _missing(before + 1)

    async def _load_snapshot(self, version: int) -> None:
        newest = version - version % rows.SNAPSHOT_EVERY
        for index in range(SNAPSHOTS_TRIED):
            wanted = newest - index * rows.SNAPSHOT_EVERY
            if wanted <= self._current.version:
                return
            data = await self._platform.get_object(rows.snapshot_name(wanted))
            if data is None:
                continue
            try:
                snapshot = rows.decode_snapshot(data, wanted)
            except exceptions.PlatformError as error:
                # Earlier snapshots and the rows hold the same changes.
                LOG.error(
                    'snapshot cannot be read',
                    step=error.step,
                    peer='platform',
                    version=wanted,
                    reason=error.message,
                )
                continue
            self._adopt(snapshot)
            return

    def _adopt(self, snapshot: rows.Snapshot) -> None:
        # Rows before a snapshot have a gap after them and serve no peer.
        if snapshot.configuration.version > self._current.version:
            self._rows_by_version.clear()
            self._last_change_id = snapshot.change_id
            self._publish(snapshot.configuration)

    async def _write_snapshot(self) -> None:
        due = self._snapshot_due
        if due is None:
            return
        await self._platform.put_object(
            rows.snapshot_name(due.configuration.version),
            rows.encode_snapshot(due),
        )
        if self._snapshot_due is due:
            self._snapshot_due = None

    def _keep(self, row: types.ChangeRow) -> None:
        self._rows_by_version[row.version] = row
        while len(self._rows_by_version) > ROWS_KEPT:
            self._rows_by_version.popitem(last=False)
        self._last_change_id = row.change_id

    def _note_snapshot(self, row: types.ChangeRow) -> None:
        # Only the host that made the change writes the snapshot.
        at_snapshot = row.version % rows.SNAPSHOT_EVERY == 0
        if at_snapshot and row.change_id in self._proposed_ids:
            self._snapshot_due = rows.Snapshot(self._current, row.change_id)

    def _publish(self, configuration: types.Configuration) -> None:
        self._current = configuration
        for callback in self._callbacks:
            try:
                callback(configuration)
            except Exception:
                # One part's fault must not keep the others, or the history,
                # at an old version.
                LOG.exception(
                    'configuration callback failed',
                    step='configuration',
                    version=configuration.version,
                )

    def _check_same(self, row: types.ChangeRow) -> None:
        kept = self._rows_by_version.get(row.version)
        if kept is not None and kept.change_id != row.change_id:
            self._metrics.count('configuration_rows_diverged')
            LOG.error(
                'two changes have the same configuration version',
                step='configuration',
                version=row.version,
                kept=kept.change_id,
                other=row.change_id,
            )

    def _poll_delay(self) -> int:
        average = max(
            POLL_INTERVAL_MS, 1_000 * self._host_count() // POLLS_PER_SECOND
        )
        return self._random.randint(average // 2, average + average // 2)


@dataclasses.dataclass
class _Attempt:
    """What is known about a proposal between two attempts."""

    proposal: Proposal
    may_be_written: bool
    base_version: int | None = None
    row: types.ChangeRow | None = None


def _puts(row: types.ChangeRow, head: Head) -> list[rows.Put]:
    # The row under the change id makes a repeated change impossible to
    # accept twice, however late its first attempt arrives.
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


def _missing(version: int) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'configuration version {version} cannot be read',
        step='configuration',
        peer='platform',
    )
