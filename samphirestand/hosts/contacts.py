"""Choice of the hosts to gossip with."""

import random

from samphirestand.hosts import membership as memberships
from samphirestand.hosts import rendezvous
from samphirestand import types

OWN_ZONE_EACH_ROUND = 3
OTHER_ZONES_EACH_ROUND = 2

# A host gossips with the same few hosts, so that the number of connections
# doesn't grow with the fleet. Hosts differ in their choice, which keeps the
# graph connected.
OWN_ZONE_CONTACTS = 16
OTHER_ZONE_CONTACTS = 3

# Now and then any host of a zone is tried, gone ones included: the usual
# contacts may all have died, and a healed partition must be noticed.
STRAY_PROBABILITY = 0.05


class Contacts:
    """Picks the hosts of each round."""

    def __init__(
        self, membership: memberships.Membership, rng: random.Random
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._zones: list[str] = []
        self._usual_by_zone: dict[str, list[types.Host]] = {}
        self._usual_of: int | None = None

    def choose(self, busy_ids: set[str]) -> list[types.Host]:
        """Return this round's hosts, without those in ``busy_ids``."""
        self._refresh()
        own_zone = self._membership.local.zone
        chosen = self._pick(own_zone, OWN_ZONE_EACH_ROUND, busy_ids)
        for zone in self._next_zones(own_zone):
            wanted = 1
            if len(self._usual_by_zone) <= OTHER_ZONES_EACH_ROUND:
                wanted = OTHER_ZONES_EACH_ROUND
            chosen += self._pick(zone, wanted, busy_ids)
        return chosen

    def _pick(
        self, zone: str, count: int, busy_ids: set[str]
    ) -> list[types.Host]:
        if self._rng.random() < STRAY_PROBABILITY:
            usual = self._others(zone)
        else:
            usual = self._usual_by_zone.get(zone, [])
        free = [host for host in usual if host.host_id not in busy_ids]
        return self._rng.sample(free, min(count, len(free)))

    def _next_zones(self, own_zone: str) -> list[str]:
        """Take the other zones in turn, in an order shuffled each time."""
        zones = [zone for zone in self._usual_by_zone if zone != own_zone]
        chosen: list[str] = []
        while zones and len(chosen) < min(OTHER_ZONES_EACH_ROUND, len(zones)):
            if not self._zones:
                self._zones = self._rng.sample(zones, len(zones))
            zone = self._zones.pop()
            if zone in zones and zone not in chosen:
                chosen.append(zone)
        return chosen

    def _refresh(self) -> None:
        """Choose the usual contacts again after hosts came or went."""
        if self._usual_of == self._membership.changes:
            return
        self._usual_of = self._membership.changes
        local = self._membership.local
        hosts_by_zone: dict[str, list[types.Host]] = {}
        for member in self._membership.members():
            if member.host.host_id == local.host_id:
                continue
            if member.condition == memberships.Condition.GONE:
                continue
            hosts_by_zone.setdefault(member.host.zone, []).append(member.host)
        self._usual_by_zone = {
            zone: rendezvous.rank(
                hosts,
                local.host_id,
                OWN_ZONE_CONTACTS
                if zone == local.zone
                else OTHER_ZONE_CONTACTS,
            )
            for zone, hosts in hosts_by_zone.items()
        }

    def _others(self, zone: str) -> list[types.Host]:
        return [
            member.host
            for member in self._membership.members()
            if member.host.zone == zone
            and member.host.host_id != self._membership.local.host_id
        ]
