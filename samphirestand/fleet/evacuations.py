"""Which zones are evacuated, as far as this host knows."""

import collections.abc
import zlib

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.platform import records
from samphirestand.platform import store as store_module

__all__ = ['EVACUATED_ZONES', 'Evacuations']

# The gauge with the number of evacuated zones.
EVACUATED_ZONES = 'evacuated_zones'

# More rows than this can't name zones. Names of known zones are kept first.
MAX_ZONES = 1_000

# Zones that returned no longer ago are told to other hosts: for longer than
# targets take to warm up.
RETURN_KEPT_MS = 300_000

# Irregular rows that are logged with a line each, in the life of a process.
MAX_IRREGULAR_LINES = 20

# The store answers a feed at once when a row is written; degraded it takes up
# to this long. The row is no older than that, unless the feed was lost.
FEED_LAG_MS = 500

SOURCE_STORE = 'store'

_log = log.get_logger(__name__)


class Evacuations:
    """The evacuated zones and the version of the store that they are from.

    What is known is what the rows were at a version of the store, or later if
    they haven't changed since. Of two hosts the one with the higher version
    knows better. Unless ``is_enabled``, rows are ignored.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        on_change: collections.abc.Callable[[], None],
        *,
        is_enabled: bool = True,
        is_zone: collections.abc.Callable[[str], bool] = lambda zone: False,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._is_enabled = is_enabled
        self._is_zone = is_zone
        self._since_ms_by_zone: dict[str, int] = {}
        self._revoked_ms_by_zone: dict[str, int] = {}
        self.version = 0  # of the store; 0 while nothing is known
        self.digest = 0  # of the zones; 0 without any
        self.changed_ms = 0  # when the zones last changed
        self._complete_ms: int | None = None  # when rows were last known
        self._least_offset_ms: int | None = None  # to the store's clock
        self._irregular_keys: set[str] = set()
        metrics.set_gauge(EVACUATED_ZONES, 0)

    @property
    def is_known(self) -> bool:
        """Tell whether this host may send anything to targets."""
        return not self._is_enabled or self.version > 0

    @property
    def zones(self) -> frozenset[str]:
        return frozenset(self._since_ms_by_zone)

    def since_ms(self, zone: str) -> int | None:
        """Return the earliest moment of a zone's evacuation; None if none.

        That is when the row may have been acknowledged at the earliest.
        """
        return self._since_ms_by_zone.get(zone)

    def revoked_ms(self, zone: str) -> int | None:
        """Return when a zone's last evacuation was revoked; None if never."""
        return self._revoked_ms_by_zone.get(zone)

    def ages_by_zone(self) -> dict[str, int]:
        """Return how long ago each zone was evacuated, for another host."""
        now = self._clock.now()
        return {
            zone: max(0, now - since_ms)
            for zone, since_ms in self._since_ms_by_zone.items()
        }

    def return_ages_by_zone(self) -> dict[str, int]:
        """Return how long ago zones returned lately, for another host.

        A host that started after a zone's return can't learn of it from the
        store, where the row is gone.
        """
        now = self._clock.now()
        return {
            zone: now - revoked_ms
            for zone, revoked_ms in self._revoked_ms_by_zone.items()
            if now - revoked_ms < RETURN_KEPT_MS
            and zone not in self._since_ms_by_zone
        }

    @property
    def return_digest(self) -> int:
        """Return a number for the zones that returned; 0 without any."""
        return _digest(self.return_ages_by_zone())

    def needs_returns(self, digest: int) -> bool:
        """Tell whether a host with this digest may know other returns."""
        return self._is_enabled and digest not in (0, self.return_digest)

    def adopt_returns(
        self, ages_by_zone: collections.abc.Mapping[str, int]
    ) -> None:
        """Adopt which zones returned, as another host knows."""
        now = self._clock.now()
        returned = {
            zone: now - age_ms
            for zone, age_ms in ages_by_zone.items()
            if age_ms < RETURN_KEPT_MS
            and zone not in self._since_ms_by_zone
            and zone not in self.return_ages_by_zone()
        }
        if not self._is_enabled or not returned:
            return
        self._revoked_ms_by_zone = self._bounded(
            {**self._revoked_ms_by_zone, **returned}
        )
        self._on_change()

    def adopt_feed(self, feed: store_module.TableRows, sent_ms: int) -> None:
        """Adopt the rows that have changed since the feed's last answer."""
        zones = dict(self._since_ms_by_zone)
        delay_ms = self._answer_delay_ms(feed.now_ms)
        since_ms = max(sent_ms, self._clock.now() - delay_ms - FEED_LAG_MS)
        for row in feed.rows:
            zone = self._zone_of(row)
            if zone is not None:
                zones.setdefault(zone, since_ms)
            elif row.key.startswith(records.EVACUATION_PREFIX):
                zones.pop(row.key.removeprefix(records.EVACUATION_PREFIX), 0)
        self._replace(zones, max(self.version, feed.version), SOURCE_STORE)

    def _answer_delay_ms(self, store_now_ms: int) -> int:
        """Return how much later than others an answer was read here.

        A process that was suspended reads old answers, and can tell by the
        store's clock.
        """
        offset_ms = self._clock.now() - store_now_ms
        if self._least_offset_ms is None or offset_ms < self._least_offset_ms:
            self._least_offset_ms = offset_ms
        return offset_ms - self._least_offset_ms

    def adopt_table(self, table: store_module.TableRows) -> None:
        """Adopt all rows of the table, after a start or a lost feed.

        A row that wasn't known may be as old as the last answer.
        """
        self._answer_delay_ms(table.now_ms)
        if table.version < self.version:
            # Another host's rows are newer; the feed brings what follows.
            return
        since_ms = 0 if self._complete_ms is None else self._complete_ms
        zones = {
            zone: self._since_ms_by_zone.get(zone, since_ms)
            for zone in map(self._zone_of, table.rows)
            if zone is not None
        }
        # A table without any write has version 0 and is known nevertheless.
        self._replace(zones, max(1, table.version), SOURCE_STORE)

    def adopt_from_host(
        self,
        version: int,
        ages_by_zone: collections.abc.Mapping[str, int],
        source: str,
    ) -> None:
        """Adopt what another host knows if it is newer."""
        if version <= self.version:
            return
        now = self._clock.now()
        zones = {
            zone: self._since_ms_by_zone.get(zone, now - age_ms)
            for zone, age_ms in ages_by_zone.items()
        }
        self._replace(zones, version, source)

    def needs(self, version: int, digest: int) -> bool:
        """Tell whether a host with this version knows other zones, newer.

        Adopts the version where it has the same zones.
        """
        if not self._is_enabled or version <= self.version:
            return False
        if digest != self.digest:
            return True
        self._replace(dict(self._since_ms_by_zone), version, 'host')
        return False

    def _zone_of(self, row: store_module.Row) -> str | None:
        """Return the zone that a row evacuates; None if it evacuates none."""
        if row.is_deleted or not row.key.startswith(records.EVACUATION_PREFIX):
            return None
        zone = records.decode_evacuation(row.key, row.value)
        if not isinstance(zone, exceptions.Sentinel):
            return zone
        self._log_irregular(row.key, zone.reason)
        return None

    def _log_irregular(self, key: str, reason: str) -> None:
        if key in self._irregular_keys:
            return
        self._metrics.count('evacuation_rows_ignored')
        if len(self._irregular_keys) < MAX_IRREGULAR_LINES:
            self._irregular_keys.add(key)
            _log.warning(
                'evacuation_row_ignored',
                key=key[: records.MAX_NAME_LENGTH],
                reason=reason[: records.MAX_NAME_LENGTH],
            )

    def _replace(
        self, zones: dict[str, int], version: int, source: str
    ) -> None:
        self._complete_ms = self._clock.now()
        was_known = self.is_known
        if not self._is_enabled:
            # The version stays 0: other hosts must not rely on this one.
            for zone in zones:
                self._log_irregular(
                    records.EVACUATION_PREFIX + zone, 'not enabled'
                )
            return
        self.version = version
        zones = self._bounded(zones)
        learned = sorted(zones.keys() - self._since_ms_by_zone.keys())
        revoked = sorted(self._since_ms_by_zone.keys() - zones.keys())
        self._since_ms_by_zone = zones
        now = self._clock.now()
        self._revoked_ms_by_zone = self._bounded(
            {**self._revoked_ms_by_zone, **dict.fromkeys(revoked, now)}
        )
        if learned or revoked:
            self.digest = _digest(zones)
            self.changed_ms = now
            self._metrics.set_gauge(EVACUATED_ZONES, len(zones))
        if learned:
            _log.warning(
                'evacuation_learned',
                zones=learned[:MAX_IRREGULAR_LINES],
                count=len(zones),
                version=version,
                source=source,
            )
        if revoked:
            _log.warning(
                'evacuation_revoked',
                zones=revoked[:MAX_IRREGULAR_LINES],
                count=len(zones),
                version=version,
                source=source,
            )
        if learned or revoked or not was_known:
            self._on_change()

    def _bounded(self, zones: dict[str, int]) -> dict[str, int]:
        if len(zones) <= MAX_ZONES:
            return zones
        self._log_irregular(
            records.EVACUATION_PREFIX, f'{len(zones)} rows are too many'
        )
        kept = sorted(zones, key=lambda each: (not self._is_zone(each), each))
        return {zone: zones[zone] for zone in kept[:MAX_ZONES]}


def _digest(zones: collections.abc.Collection[str]) -> int:
    """Return a number that differs for other zones; 0 without any."""
    if not zones:
        return 0
    return zlib.crc32('\n'.join(sorted(zones)).encode()) or 1
