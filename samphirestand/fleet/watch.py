"""Follows the operators' configuration and the targets in the store."""

import asyncio
import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import evacuations as evacuations_module
from samphirestand.fleet import settlements as settlements_module
from samphirestand import log
from samphirestand.platform import records
from samphirestand.platform import store as store_module

__all__ = [
    'RELAXED_TARGETS_INTERVAL_MS',
    'TARGETS_INTERVAL_MS',
    'URGENT_TARGETS_INTERVAL_MS',
    'CatalogWatch',
    'Departure',
    'TargetWatch',
]

# How long a poll of the feed waits for a change. A configuration must be in
# force within 3 s of its acknowledgement, and a feed whose connection has gone
# silent is noticed only after this time and the store client's margin.
CATALOG_POLL_MS = 1_900

# How long a poll waits on hosts that aren't job hosts. Job hosts tell them of
# newer versions, so a poll waits nearly as long as the store allows.
RELAXED_CATALOG_POLL_MS = 25_000

# A host without jobs follows the store itself only when no host has confirmed
# for this long that its configuration is the newest. Normally the hosts that
# follow it do so every two seconds, and pings pass that on within a second.
RELAYED_CATALOG_AGE_MS = 3_500

# How often such a host checks that, and its delay between attempts to read
# while it can't reach the store: there may be thousands of them.
RELAY_CHECK_INTERVAL_MS = 250
RELAYED_RETRY_MS = 1_000

# Interval between reads of the registry. Registrations change with each
# heartbeat, so a poll that waits for a change would return at once. A leaving
# target must be known within 7 s.
TARGETS_INTERVAL_MS = 2_000

# Interval while a target doesn't answer or a service has no primary: whether
# its registration has lapsed decides what happens next.
URGENT_TARGETS_INTERVAL_MS = 500

# Interval between reads on hosts that are the gateway of no service.
RELAXED_TARGETS_INTERVAL_MS = 3_000

# Delay between attempts to read while the store can't be reached.
STORE_RETRY_MS = 400

# How long missing targets are kept after the store was unavailable, and how
# long a host that starts takes targets to be missing. Registrations that
# expired in the meantime are renewed within about two seconds of the store's
# return.
REREGISTRATION_GRACE_MS = 2_500

# How long a replica that has left the registry is remembered. It may have
# confirmed commits that no other replica has received yet.
DEPARTURE_KEPT_MS = 20_000

# The source of a configuration that this host has read itself, for the log.
SOURCE_STORE = 'store'

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Departure:
    """A target that has left the registry, and when this host noticed it."""

    target: catalog_module.Target
    noticed_ms: int


class CatalogWatch:
    """Holds the newest configuration that this host has seen."""

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        on_change: collections.abc.Callable[[catalog_module.Catalog], None],
        evacuations: evacuations_module.Evacuations | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._evacuations = evacuations
        # Set from outside: True if no other host relies on this host's
        # version, so that polls may be longer.
        self.is_relaxed = False
        # Set from outside: True if this host relies on what other hosts tell
        # it, as long as they confirm its version.
        self.is_relayed = False
        self.current = catalog_module.Catalog()
        self.raw = b''
        # All versions published until this moment are no newer than the
        # current one. Newer versions that are adopted leave that true.
        self._confirmed_ms: int | None = None
        self._is_newest_unreadable = False

    @property
    def age_ms(self) -> int | None:
        """Return since how long versions may exist that this host lacks.

        None if it never knew that it had the newest.
        """
        if self._confirmed_ms is None:
            return None
        return max(0, self._clock.now() - self._confirmed_ms)

    def confirm(self, moment_ms: int) -> None:
        """Record that no newer version had been published at a moment."""
        if self._confirmed_ms is None or moment_ms > self._confirmed_ms:
            self._confirmed_ms = moment_ms

    @property
    def needs_store(self) -> bool:
        """Tell whether this host must follow the store itself."""
        age_ms = self.age_ms
        return (
            not self.is_relayed
            or age_ms is None
            or age_ms > RELAYED_CATALOG_AGE_MS
        )

    def adopt_if_newer(self, raw: bytes, source: str) -> None:
        """Decode a configuration and adopt it if it is newer than the current.

        ``source`` is logged: ``SOURCE_STORE`` or the id of a host.
        """
        try:
            catalog = records.decode_catalog(raw)
        except exceptions.PlatformError as error:
            _log.error(
                'configuration_unreadable', source=source, reason=str(error)
            )
            self._is_newest_unreadable |= source == SOURCE_STORE
            return
        if catalog.version <= self.current.version:
            return
        _log.info(
            'configuration_adopted',
            version=catalog.version,
            earlier=self.current.version,
            source=source,
        )
        self.current = catalog
        self.raw = raw
        self._is_newest_unreadable = False
        self._on_change(catalog)

    async def run(self) -> None:
        """Follow the configuration in the store until cancelled."""
        version: int | None = None
        has_failed = False
        follows_store = True
        while True:
            if follows_store != self.needs_store:
                follows_store = self.needs_store
                _log.info(
                    'configuration_unconfirmed'
                    if follows_store
                    else 'configuration_relayed',
                    version=self.current.version,
                    age_ms=self.age_ms,
                )
            if not follows_store:
                await self._clock.sleep(RELAY_CHECK_INTERVAL_MS)
                continue
            sent_ms = self._clock.now()
            wait_ms = self._poll_ms if version is not None else 0
            try:
                feed = await self._next_feed(version, wait_ms)
            except exceptions.PlatformError as error:
                if not has_failed:
                    _log.warning('configuration_feed_lost', reason=str(error))
                has_failed = True
                version = None
                await self._clock.sleep(
                    RELAYED_RETRY_MS if self.is_relayed else STORE_RETRY_MS
                )
                continue
            if has_failed:
                _log.info('configuration_feed_restored')
            has_failed = False
            is_whole_table = version is None
            version = None if feed is None else feed.version
            if feed is None:
                continue
            # Before the configuration, without which nothing is sent.
            if self._evacuations is not None and is_whole_table:
                self._evacuations.adopt_table(feed)
            elif self._evacuations is not None:
                self._evacuations.adopt_feed(feed, sent_ms)
            for row in feed.rows:
                if row.key == records.CONFIGURATION_KEY:
                    self.adopt_if_newer(row.value, SOURCE_STORE)
            if not self._is_newest_unreadable:
                self.confirm(self._confirmed_moment(feed, sent_ms, wait_ms))

    def _confirmed_moment(
        self, feed: store_module.TableRows, sent_ms: int, wait_ms: int
    ) -> int:
        """Return until when an answer shows all changes.

        An answer without a change is sent when the wait has passed.
        """
        if feed.rows or self._clock.now() - sent_ms < wait_ms:
            return sent_ms
        return sent_ms + wait_ms

    @property
    def _poll_ms(self) -> int:
        if self.is_relaxed and not self.is_relayed:
            return RELAXED_CATALOG_POLL_MS
        return CATALOG_POLL_MS

    async def _next_feed(
        self, version: int | None, wait_ms: int
    ) -> store_module.TableRows | None:
        table = records.CONFIGURATION_TABLE
        if version is None:
            return await self._store.read(table)
        feed = await self._store.changes(table, version, wait_ms)
        return None if feed == 'forgotten' else feed


class TargetWatch:
    """Holds the targets that are registered."""

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._targets_by_id: dict[str, catalog_module.Target] = {}
        self._claim_versions_by_id: dict[str, int] = {}
        self._draining_since_ms_by_id: dict[str, int] = {}
        self._missing_since_ms_by_id: dict[str, int] = {}
        self._departures: list[Departure] = []
        self._settlements = settlements_module.Settlements(clock)
        # The registry as it was read last; None before the first read.
        self._moment: catalog_module.RegistryMoment | None = None
        self._answered_ms_by_start: dict[catalog_module.TargetStart, int] = {}
        self._removal_paused_until_ms = 0
        # From when on all registered targets are known; None before the first
        # read.
        self._complete_from_ms: int | None = None
        self._interval_ms = TARGETS_INTERVAL_MS
        self._interval_shortened = asyncio.Event()
        self._needed = asyncio.Event()
        # When the newest answer of the store was asked for; None before.
        self._read_sent_ms: int | None = None
        self._read_ended = asyncio.Event()
        self._wanted_ms = 0  # the next read begins then at the latest

    @property
    def has_read(self) -> bool:
        return self._read_sent_ms is not None

    @property
    def age_ms(self) -> int | None:
        """Return the age of what was read last; None before."""
        if self._read_sent_ms is None:
            return None
        return self._clock.now() - self._read_sent_ms

    @property
    def is_complete(self) -> bool:
        """Tell whether all targets are known whose registrations lapsed.

        Registrations may lapse while the store is unavailable, and a host that
        starts then or shortly afterwards has never seen them.
        """
        return (
            self._complete_from_ms is not None
            and self._clock.now() >= self._complete_from_ms
        )

    @property
    def is_needed(self) -> bool:
        """Tell whether this host uses the registry; set from outside."""
        return self._needed.is_set()

    @is_needed.setter
    def is_needed(self, value: bool) -> None:
        if value:
            self._needed.set()
        else:
            self._needed.clear()

    def set_interval(self, interval_ms: int) -> None:
        """Set the interval between reads; a shorter one takes effect now."""
        if interval_ms < self._interval_ms:
            self._interval_shortened.set()
        self._interval_ms = interval_ms

    async def read_since(self, moment_ms: int, timeout_ms: int) -> bool:
        """Read the registry again, unless that was done since a moment.

        Returns whether its state of that moment or later has been adopted
        within ``timeout_ms``.
        """
        if self._has_read_since(moment_ms):
            return True
        self._wanted_ms = max(self._wanted_ms, moment_ms)
        self._interval_shortened.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while not self._has_read_since(moment_ms):
                    self._read_ended.clear()
                    await self._read_ended.wait()
        except TimeoutError:
            return False
        return True

    def _has_read_since(self, moment_ms: int) -> bool:
        return self._read_sent_ms is not None and (
            self._read_sent_ms >= moment_ms
        )

    @property
    def zones(self) -> frozenset[str]:
        """Return the zones in which targets are registered."""
        return frozenset(each.zone for each in self._targets_by_id.values())

    def of_service(self, service: str) -> list[catalog_module.Target]:
        """Return the targets of a service, draining ones included."""
        return [
            each
            for each in self._targets_by_id.values()
            if each.service == service
        ]

    def claimed_primary(self, service: str) -> catalog_module.Target | None:
        """Return the target that last began to claim to be the primary."""
        claiming_targets = [
            each for each in self.of_service(service) if each.claims_primary
        ]
        return max(
            claiming_targets,
            key=lambda each: self._claim_versions_by_id.get(each.target_id, 0),
            default=None,
        )

    def departed_replicas(self, service: str) -> list[Departure]:
        """Return recently departed replicas of a service without a successor.

        A server that starts at the address of one that was due to leave has
        that server's log, so it counts as the successor. Settled departures
        are left out.
        """
        return [
            each
            for each in self._unreplaced_departures(service)
            if not each.target.claims_primary
            and not self.is_settled(each.target.start)
        ]

    def absent_targets(self, service: str) -> list[catalog_module.Target]:
        """Return targets that have left the registry but may still run.

        They may only be cut off from the store, and go on confirming commits;
        one that was the primary may have become a replica meanwhile. Those
        for which ``keep_departure`` is called are remembered longer.
        """
        registered_ids = {each.target_id for each in self.of_service(service)}
        return [
            each.target
            for each in self._unreplaced_departures(service)
            if each.target.target_id not in registered_ids
        ]

    def _unreplaced_departures(self, service: str) -> list[Departure]:
        since_ms = self._clock.now() - DEPARTURE_KEPT_MS
        self._departures = [
            each
            for each in self._departures
            if each.noticed_ms >= since_ms
            or self._answered_ms_by_start.get(each.target.start, 0) >= since_ms
        ]
        addresses_in_use = {
            (each.address, each.port) for each in self.of_service(service)
        }
        return [
            each
            for each in self._departures
            if each.target.service == service
            and (each.target.address, each.target.port) not in addresses_in_use
        ]

    def keep_departure(self, start: catalog_module.TargetStart) -> None:
        """Record that a departed target has answered."""
        now = self._clock.now()
        self._answered_ms_by_start[start] = now
        if self._moment is not None:
            # It may confirm commits until the next read at least.
            self._settlements.note_absence(
                start.target_id,
                dataclasses.replace(
                    self._moment, version=self._moment.version + 1
                ),
            )
        for each, answered_ms in list(self._answered_ms_by_start.items()):
            if answered_ms < now - DEPARTURE_KEPT_MS:
                del self._answered_ms_by_start[each]

    @property
    def moment(self) -> catalog_module.RegistryMoment | None:
        """Return the moment of the newest read; None before the first."""
        return self._moment

    def settle_departures(
        self,
        moments_by_start: collections.abc.Mapping[
            catalog_module.TargetStart, catalog_module.RegistryMoment
        ],
    ) -> None:
        """Record departures after which other targets had everything.

        Each target was absent at its moment. It says nothing of commits that
        the target confirms after a later return.
        """
        self._settlements.adopt(moments_by_start)

    def absent_since_ms(self, target_id: str) -> int | None:
        """Return since when this host knows that a target is absent."""
        return self._settlements.absent_since_ms(target_id)

    def is_settled(self, start: catalog_module.TargetStart) -> bool:
        """Tell whether a departure is settled, whoever observed it.

        Not if the target may have been back since.
        """
        return (
            start.target_id not in self._targets_by_id
            and self._settlements.is_settled(start)
        )

    def settled_departures(
        self, service: str
    ) -> dict[catalog_module.TargetStart, catalog_module.RegistryMoment]:
        """Return the recent departures of a service that are settled.

        Each with a moment at which the target was absent.
        """
        if self._moment is None:
            return {}
        return self._settlements.renew(
            [
                each.target.start
                for each in self._departures
                if each.target.service == service
                and each.target.target_id not in self._targets_by_id
            ],
            self._moment,
        )

    def claim_version(self, target_id: str) -> int:
        """Return the store's version at which a target claimed to be primary.

        It is the version of the first row with the claim; 0 if there is none.
        """
        return self._claim_versions_by_id.get(target_id, 0)

    def draining_since_ms(self, target_id: str) -> int | None:
        """Return the earliest moment of a target's report that it drains.

        Rows don't bear a time, so that is when the newest read began that
        still showed it as ready. None if this start of the target was never
        seen as ready.
        """
        return self._draining_since_ms_by_id.get(target_id)

    async def run(self) -> None:
        """Follow the registry in the store until cancelled."""
        version: int | None = None
        has_failed = False
        while True:
            await self._needed.wait()
            sent_ms = self._clock.now()
            try:
                version = await self._read_registry(version)
            except exceptions.PlatformError as error:
                if not has_failed:
                    _log.warning('registry_lost', reason=str(error))
                    if not self.is_complete:
                        self._complete_from_ms = None
                has_failed = True
                version = None
                await self._clock.sleep(STORE_RETRY_MS)
                continue
            now = self._clock.now()
            if has_failed:
                self._removal_paused_until_ms = now + REREGISTRATION_GRACE_MS
                _log.info(
                    'registry_restored', targets=len(self._targets_by_id)
                )
            if self._complete_from_ms is None:
                self._complete_from_ms = now + REREGISTRATION_GRACE_MS
            has_failed = False
            self._remove_missing(now)
            # Not complete yet if the store had forgotten the changes.
            if version is not None:
                self._read_sent_ms = sent_ms
                self._read_ended.set()
            await self._wait_until_due(now)

    async def _wait_until_due(self, read_ms: int) -> None:
        """Wait until the interval since the last read has passed."""
        while True:
            remaining_ms = read_ms + self._interval_ms - self._clock.now()
            if remaining_ms <= 0 or not self._has_read_since(self._wanted_ms):
                return
            self._interval_shortened.clear()
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    await self._interval_shortened.wait()
            except TimeoutError:
                pass

    async def _read_registry(self, version: int | None) -> int | None:
        table = records.TARGETS_TABLE
        if version is not None:
            feed = await self._store.changes(table, version, 0)
            era = self._store.era or 0
            if (
                feed == 'forgotten'
                or self._moment is None
                or self._moment.era != era
            ):
                return None
            self._moment = catalog_module.RegistryMoment(era, feed.version)
            for row in feed.rows:
                if row.is_deleted:
                    self._settlements.note_absence(
                        row.key,
                        catalog_module.RegistryMoment(
                            era, row.version or feed.version
                        ),
                    )
            self._apply_rows(feed.rows)
            return feed.version
        earlier_era = self._store.era
        feed = await self._store.read(table)
        if earlier_era not in (None, self._store.era):
            # The rows may be those of before the store went back.
            return None
        self._moment = catalog_module.RegistryMoment(
            self._store.era or 0, feed.version
        )
        self._settlements.note_whole_read(self._moment)
        present_ids = {row.key for row in feed.rows}
        deleted_rows = tuple(
            store_module.Row(table, each, b'', 0, is_deleted=True)
            for each in self._targets_by_id
            if each not in present_ids
        )
        self._apply_rows(feed.rows + deleted_rows)
        return feed.version

    def _apply_rows(self, rows: tuple[store_module.Row, ...]) -> None:
        has_changed = False
        for row in rows:
            if row.is_deleted:
                if row.key in self._targets_by_id:
                    self._missing_since_ms_by_id.setdefault(
                        row.key, self._clock.now()
                    )
                continue
            self._missing_since_ms_by_id.pop(row.key, None)
            has_changed |= self._apply_row(row)
        if has_changed:
            self._on_change()

    def _apply_row(self, row: store_module.Row) -> bool:
        """Update one target; return whether the targets have changed."""
        target = records.decode_target(row.key, row.value)
        if isinstance(target, exceptions.Sentinel):
            _log.warning(
                'registration_unreadable',
                target=row.key,
                reason=target.reason,
            )
            return self._remove_target(row.key)
        previous = self._targets_by_id.get(row.key)
        if target == previous:
            # What differs with each heartbeat is kept for gateways that open.
            self._targets_by_id[row.key] = target
            return False
        if target.claims_primary and not (
            previous is not None and previous.claims_primary
        ):
            self._claim_versions_by_id[row.key] = row.version
        self._note_draining(target, previous)
        self._targets_by_id[row.key] = target
        _log.info(
            'target_changed',
            target=row.key,
            service=target.service,
            zone=target.zone,
            draining=target.is_draining,
            primary=target.claims_primary,
            version=row.version,
        )
        return True

    def _note_draining(
        self,
        target: catalog_module.Target,
        previous: catalog_module.Target | None,
    ) -> None:
        """Record since when a target may have been draining."""
        is_same_start = previous is not None and previous.start == target.start
        if not target.is_draining or not is_same_start:
            self._draining_since_ms_by_id.pop(target.target_id, None)
        if (
            target.is_draining
            and is_same_start
            and previous is not None
            and not previous.is_draining
            and self._read_sent_ms is not None
        ):
            self._draining_since_ms_by_id[target.target_id] = (
                self._read_sent_ms
            )

    def _remove_missing(self, now: int) -> None:
        if now < self._removal_paused_until_ms:
            return
        for target_id in list(self._missing_since_ms_by_id):
            del self._missing_since_ms_by_id[target_id]
            if self._remove_target(target_id):
                self._on_change()

    def _remove_target(self, target_id: str) -> bool:
        """Remove a target and remember it; return whether it was known."""
        target = self._targets_by_id.pop(target_id, None)
        self._draining_since_ms_by_id.pop(target_id, None)
        if target is None:
            return False
        self._departures = [
            each
            for each in self._departures
            if each.target.start != target.start
        ]
        self._departures.append(Departure(target, self._clock.now()))
        _log.info('target_removed', target=target_id, service=target.service)
        return True
