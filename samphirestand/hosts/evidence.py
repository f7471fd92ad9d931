"""Decides whether the configuration in force on this host is confirmed.

The decision uses only the ages of evidence: of the last read of the platform
by any host, and of the last contact with each zone. Ages come only in answers
to requests of this host and count from the time of the request. So neither the
clock of another host nor a message that waited in a buffer can make old
evidence look recent.
"""

import collections.abc
import dataclasses

from samphirestand import clock as clocks

# The configuration is unconfirmed if its evidence is older than this.
CONFIRMED_MS = 5_000


@dataclasses.dataclass
class EvidenceTimes:
    """The local times from which evidence dates.

    ``platform_ms`` is when any host last read the head of the configuration,
    ``zones_ms`` when hosts of each other zone were last known to be alive.
    """

    platform_ms: int | None = None
    zones_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def merge(self, other: 'EvidenceTimes') -> None:
        """Keep the later time for the platform and for each zone."""
        self.platform_ms = _later(self.platform_ms, other.platform_ms)
        for zone, at_ms in other.zones_ms.items():
            self.zones_ms[zone] = max(self.zones_ms.get(zone, at_ms), at_ms)


class Evidence:
    """Evidence from the platform and the other zones on the configuration."""

    def __init__(
        self,
        clock: clocks.Clock,
        zones: collections.abc.Iterable[str],
        local_zone: str,
        version: collections.abc.Callable[[], int],
    ) -> None:
        """``version`` returns the configuration version in force here."""
        self._clock = clock
        self._other_zones = frozenset(zones) - {local_zone}
        self._applied_version = version
        self._usable_times = EvidenceTimes()
        self._pending_times = EvidenceTimes()
        self._pending_version = 0

    def platform_read(self, *, asked_ms: int, head_version: int = 0) -> None:
        """Record a read of the head that this host requested at ``asked_ms``.

        ``head_version`` is needed only if it isn't applied here yet.
        """
        self._record(head_version, EvidenceTimes(platform_ms=asked_ms))

    def record_answer(
        self,
        version: int,
        asked_ms: int,
        platform_age_ms: int | None,
        zone_ages_ms: dict[str, int],
    ) -> None:
        """Record the ages in the answer of a host that runs ``version``.

        They count back from ``asked_ms``, when this host sent the request.
        """
        times = EvidenceTimes()
        if platform_age_ms is not None:
            times.platform_ms = asked_ms - platform_age_ms
        times.zones_ms = {
            zone: asked_ms - age_ms
            for zone, age_ms in zone_ages_ms.items()
            if zone in self._other_zones
        }
        self._record(version, times)

    def platform_age_ms(self) -> int | None:
        """Return the time since any host read the head; None if none did.

        Reads of a version that isn't applied here yet don't count.
        """
        self._use_pending()
        return self._age_ms(self._usable_times.platform_ms)

    def platform_contact_age_ms(self) -> int | None:
        """Return the time since any host read the head; None if none did.

        Reads of a version that isn't applied here yet count, too.
        """
        return self._age_ms(
            _later(
                self._usable_times.platform_ms, self._pending_times.platform_ms
            )
        )

    def zone_ages_ms(self) -> dict[str, int]:
        """Return the time since each other zone was known to be alive."""
        self._use_pending()
        now_ms = self._clock.now()
        return {
            zone: now_ms - at_ms
            for zone, at_ms in self._usable_times.zones_ms.items()
        }

    def is_confirmed(self) -> bool:
        """Tell whether no newer version can be in force for over 5 s.

        That is so if within this time any host read the head, or all other
        zones were known to be alive.
        """
        platform_age_ms = self.platform_age_ms()
        if platform_age_ms is not None and platform_age_ms <= CONFIRMED_MS:
            return True
        ages_ms = self.zone_ages_ms()
        return all(
            ages_ms.get(zone, CONFIRMED_MS + 1) <= CONFIRMED_MS
            for zone in self._other_zones
        )

    def _record(self, version: int, times: EvidenceTimes) -> None:
        """Record evidence from a host that runs ``version``.

        Evidence for a newer version doesn't confirm the version in force
        here, so it is kept back until the newer version is applied.
        """
        if version <= self._applied_version():
            self._usable_times.merge(times)
            return
        self._use_pending()
        self._pending_times.merge(times)
        self._pending_version = max(self._pending_version, version)

    def _use_pending(self) -> None:
        """Use evidence that was kept back if its version is now applied."""
        if 0 < self._pending_version <= self._applied_version():
            self._usable_times.merge(self._pending_times)
            self._pending_times = EvidenceTimes()
            self._pending_version = 0

    def _age_ms(self, at_ms: int | None) -> int | None:
        return None if at_ms is None else self._clock.now() - at_ms


def _later(first: int | None, second: int | None) -> int | None:
    if first is None or second is None:
        return second if first is None else first
    return max(first, second)
