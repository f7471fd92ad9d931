"""Choice of hosts for gateways and accounts, cached by zone.

A choice among other zones is made in two steps, first the zone and then the
host, so that a change in one zone leaves the cached choices of all others
valid and no choice costs a hash for each host of the fleet.
"""

import collections.abc

from samphirestand.hosts import rendezvous
from samphirestand import types

# Targets and accounts come and go; the cache is far larger than the keys
# that are in use at once.
KEYS_KEPT = 100_000


class ZoneChoices:
    """The eligible hosts of a zone and the choices made among them."""

    def __init__(self) -> None:
        self.hosts_by_id: dict[str, types.Host] = {}
        self.is_stale = True
        self._best_by_key: dict[str, tuple[bytes, str]] = {}

    def update(self, hosts: collections.abc.Iterable[types.Host]) -> None:
        """Take over the eligible hosts and keep all choices that still hold.

        Choosing again for all keys takes a hash for each pair of a key and a
        host, which stopped a host of a large fleet for seconds.
        """
        earlier = self.hosts_by_id
        self.hosts_by_id = {host.host_id: host for host in hosts}
        self.is_stale = False
        if earlier.keys() - self.hosts_by_id.keys():
            self._best_by_key = {
                key: best
                for key, best in self._best_by_key.items()
                if best[1] in self.hosts_by_id
            }
        added = self.hosts_by_id.keys() - earlier.keys()
        if added:
            for key, best in self._best_by_key.items():
                self._best_by_key[key] = max(best, _best(added, key))

    def choose(self, key: str) -> types.Host | None:
        """Return the host for ``key``, or None if there is none."""
        if not self.hosts_by_id:
            return None
        best = self._best_by_key.get(key)
        if best is None:
            if len(self._best_by_key) >= KEYS_KEPT:
                self._best_by_key.clear()
            best = _best(self.hosts_by_id, key)
            self._best_by_key[key] = best
        return self.hosts_by_id[best[1]]


class Placement:
    """Chooses hosts by rendezvous hash."""

    def __init__(
        self,
        eligible: collections.abc.Callable[[str], list[types.Host]],
        live_zones: collections.abc.Callable[[], list[str]],
    ) -> None:
        """``eligible`` lists the hosts of a zone that may get work."""
        self._eligible = eligible
        self._live_zones = live_zones
        self._choices_by_zone: dict[str, ZoneChoices] = {}

    def changed(self, zone: str) -> None:
        """Read the hosts of ``zone`` again before its next choice."""
        choices = self._choices_by_zone.get(zone)
        if choices is not None:
            choices.is_stale = True

    def changed_all(self) -> None:
        """Read the hosts of all zones again."""
        for choices in self._choices_by_zone.values():
            choices.is_stale = True

    def in_zone(self, zone: str, key: str) -> types.Host | None:
        """Return the host for ``key`` in a live zone."""
        return self._choices(zone).choose(key)

    def anywhere(self, key: str) -> types.Host | None:
        """Return the host for ``key`` among all live zones."""
        zones = [
            zone
            for zone in self._live_zones()
            if self._choices(zone).hosts_by_id
        ]
        if not zones:
            return None
        zone = max(zones, key=lambda each: rendezvous.score(each, key))
        return self.in_zone(zone, key)

    def _choices(self, zone: str) -> ZoneChoices:
        choices = self._choices_by_zone.get(zone)
        if choices is None:
            choices = self._choices_by_zone[zone] = ZoneChoices()
        if choices.is_stale:
            choices.update(self._eligible(zone))
        return choices


def _best(
    host_ids: collections.abc.Iterable[str], key: str
) -> tuple[bytes, str]:
    return max((rendezvous.score(each, key), each) for each in host_ids)
