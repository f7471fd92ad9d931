"""Chooses the hosts of gateways and the rate owners of accounts.

The choices are cached for each zone. A choice among several zones is made in
two steps, first the zone and then the host. So a change in one zone leaves the
cached choices of all other zones valid, and no choice has to compute a hash
for each host of the fleet.
"""

import collections.abc

from samphirestand.hosts import rendezvous
from samphirestand import types

# The cache of a zone is cleared at this size, because the choices for removed
# targets and accounts stay in it. Far fewer keys are in use at once.
CACHED_KEYS_MAX = 100_000


class ZoneChoices:
    """The eligible hosts of a zone and the cached choices among them."""

    def __init__(self) -> None:
        self.hosts_by_id: dict[str, types.Host] = {}
        self.is_stale = True
        self._best_by_key: dict[str, tuple[bytes, str]] = {}

    def update(self, hosts: collections.abc.Iterable[types.Host]) -> None:
        """Set the eligible hosts and keep the choices that are still valid.

        To choose again for all keys takes a hash for each pair of a key and a
        host, which blocked a host of a large fleet for seconds.
        """
        previous = self.hosts_by_id
        self.hosts_by_id = {host.host_id: host for host in hosts}
        self.is_stale = False
        if previous.keys() - self.hosts_by_id.keys():
            self._best_by_key = {
                key: best
                for key, best in self._best_by_key.items()
                if best[1] in self.hosts_by_id
            }
        added = self.hosts_by_id.keys() - previous.keys()
        if added:
            for key, best in self._best_by_key.items():
                self._best_by_key[key] = max(best, _best_scored(added, key))

    def choose(self, key: str) -> types.Host | None:
        """Return the host for ``key``, or None if there is none."""
        if not self.hosts_by_id:
            return None
        best = self._best_by_key.get(key)
        if best is None:
            if len(self._best_by_key) >= CACHED_KEYS_MAX:
                self._best_by_key.clear()
            best = _best_scored(self.hosts_by_id, key)
            self._best_by_key[key] = best
        return self.hosts_by_id[best[1]]


class Placement:
    """Chooses hosts by rendezvous hashing."""

    def __init__(
        self,
        eligible: collections.abc.Callable[[str], list[types.Host]],
        live_zones: collections.abc.Callable[[], list[str]],
    ) -> None:
        """``eligible`` lists the hosts of a zone that may get work."""
        self._eligible = eligible
        self._live_zones = live_zones
        self._choices_by_zone: dict[str, ZoneChoices] = {}

    def mark_changed(self, zone: str) -> None:
        """Read the hosts of ``zone`` again before the next choice there."""
        choices = self._choices_by_zone.get(zone)
        if choices is not None:
            choices.is_stale = True

    def mark_all_changed(self) -> None:
        """Read the hosts of all zones again before the next choice."""
        for choices in self._choices_by_zone.values():
            choices.is_stale = True

    def choose_in_zone(self, zone: str, key: str) -> types.Host | None:
        """Return the host for ``key`` in a live zone."""
        return self._fresh_choices(zone).choose(key)

    def anywhere(self, key: str) -> types.Host | None:
        """Return the host for ``key`` among all live zones."""
        zones = [
            zone
            for zone in self._live_zones()
            if self._fresh_choices(zone).hosts_by_id
        ]
        if not zones:
            return None
        zone = max(zones, key=lambda each: rendezvous.score(each, key))
        return self.choose_in_zone(zone, key)

    def _fresh_choices(self, zone: str) -> ZoneChoices:
        choices = self._choices_by_zone.get(zone)
        if choices is None:
            choices = self._choices_by_zone[zone] = ZoneChoices()
        if choices.is_stale:
            choices.update(self._eligible(zone))
        return choices


def _best_scored(
    host_ids: collections.abc.Iterable[str], key: str
) -> tuple[bytes, str]:
    return max((rendezvous.score(each, key), each) for each in host_ids)
