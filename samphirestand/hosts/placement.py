"""Choice of hosts for gateways and accounts, cached by zone.

A choice among other zones is made in two steps, first the zone and then the
host, so that a change in one zone leaves the cached choices of all others
valid and no choice costs a hash for each host of the fleet.
"""

import collections.abc
import dataclasses

from samphirestand.hosts import rendezvous
from samphirestand import types


@dataclasses.dataclass
class ZoneChoices:
    """The eligible hosts of a zone and the choices made among them."""

    hosts: list[types.Host]
    hosts_by_key: dict[str, types.Host | None] = dataclasses.field(
        default_factory=dict
    )


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
        """Forget the choices of ``zone`` after one of its hosts changed."""
        self._choices_by_zone.pop(zone, None)

    def changed_all(self) -> None:
        self._choices_by_zone.clear()

    def in_zone(self, zone: str, key: str) -> types.Host | None:
        """Return the host for ``key`` in a live zone."""
        choices = self._choices(zone)
        if key not in choices.hosts_by_key:
            choices.hosts_by_key[key] = rendezvous.choose(choices.hosts, key)
        return choices.hosts_by_key[key]

    def anywhere(self, key: str) -> types.Host | None:
        """Return the host for ``key`` among all live zones."""
        zones = [
            zone for zone in self._live_zones() if self._choices(zone).hosts
        ]
        if not zones:
            return None
        zone = max(zones, key=lambda each: rendezvous.score(each, key))
        return self.in_zone(zone, key)

    def _choices(self, zone: str) -> ZoneChoices:
        if zone not in self._choices_by_zone:
            self._choices_by_zone[zone] = ZoneChoices(self._eligible(zone))
        return self._choices_by_zone[zone]
