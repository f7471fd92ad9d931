"""Decides from ages alone whether the configuration is confirmed.

Ages come only with answers to this host's own questions and count from the
moment it asked, so the clock of another host or a message that waited in a
buffer can't make old evidence look new.
"""

import collections.abc
import dataclasses

from samphirestand import clock as clocks

# A configuration without newer evidence than this is unconfirmed.
CONFIRMED_MS = 5_000


@dataclasses.dataclass
class Facts:
    """Evidence by the local time from which it dates."""

    platform_ms: int | None = None
    zones_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def merge(self, other: 'Facts') -> None:
        """Keep the later of each."""
        self.platform_ms = _later(self.platform_ms, other.platform_ms)
        for zone, at_ms in other.zones_ms.items():
            self.zones_ms[zone] = max(self.zones_ms.get(zone, at_ms), at_ms)


class Evidence:
    """What this host knows about the platform and the zones."""

    def __init__(
        self,
        clock: clocks.Clock,
        zones: collections.abc.Iterable[str],
        local_zone: str,
        version: collections.abc.Callable[[], int],
    ) -> None:
        """``version`` returns the configuration version applied here."""
        self._clock = clock
        self._other_zones = frozenset(zones) - {local_zone}
        self._version = version
        self._facts = Facts()
        self._waiting = Facts()
        self._waiting_version = 0

    def platform_read(self, *, asked_ms: int, head_version: int = 0) -> None:
        """Note that this host read the head at ``asked_ms`` or later.

        ``head_version`` is needed only if it isn't applied here yet.
        """
        self._learn(head_version, Facts(platform_ms=asked_ms))

    def heard(
        self,
        version: int,
        asked_ms: int,
        platform_age_ms: int | None,
        zone_ages_ms: dict[str, int],
    ) -> None:
        """Note the answer of a host that runs ``version``."""
        facts = Facts()
        if platform_age_ms is not None:
            facts.platform_ms = asked_ms - platform_age_ms
        facts.zones_ms = {
            zone: asked_ms - age_ms
            for zone, age_ms in zone_ages_ms.items()
            if zone in self._other_zones
        }
        self._learn(version, facts)

    def platform_age_ms(self) -> int | None:
        """Return how long ago some host read the head; None if never."""
        self._adopt()
        return self._age(self._facts.platform_ms)

    def platform_contact_age_ms(self) -> int | None:
        """Return the same also for a head that isn't applied here yet."""
        return self._age(
            _later(self._facts.platform_ms, self._waiting.platform_ms)
        )

    def zone_ages_ms(self) -> dict[str, int]:
        """Return the ages of the signs of life of the other zones."""
        self._adopt()
        now_ms = self._clock.now()
        return {
            zone: now_ms - at_ms
            for zone, at_ms in self._facts.zones_ms.items()
        }

    def is_confirmed(self) -> bool:
        """Tell whether no newer version can be in force for over 5 s."""
        platform_age_ms = self.platform_age_ms()
        if platform_age_ms is not None and platform_age_ms <= CONFIRMED_MS:
            return True
        ages_ms = self.zone_ages_ms()
        return all(
            ages_ms.get(zone, CONFIRMED_MS + 1) <= CONFIRMED_MS
            for zone in self._other_zones
        )

    def _learn(self, version: int, facts: Facts) -> None:
        """Keep the facts, but use them only once ``version`` is applied.

        Evidence of a host that knows a newer version doesn't confirm the
        version that is in force here.
        """
        if version <= self._version():
            self._facts.merge(facts)
            return
        self._adopt()
        self._waiting.merge(facts)
        self._waiting_version = max(self._waiting_version, version)

    def _adopt(self) -> None:
        if 0 < self._waiting_version <= self._version():
            self._facts.merge(self._waiting)
            self._waiting = Facts()
            self._waiting_version = 0

    def _age(self, at_ms: int | None) -> int | None:
        return None if at_ms is None else self._clock.now() - at_ms


def _later(first: int | None, second: int | None) -> int | None:
    if first is None or second is None:
        return second if first is None else first
    return max(first, second)
