"""Chooses the hosts to gossip with."""

import random

from samphirestand.hosts import membership as memberships
from samphirestand.hosts import rendezvous
from samphirestand import types

OWN_ZONE_EACH_ROUND = 3
OTHER_ZONES_EACH_ROUND = 2

# A host gossips with a few fixed contacts in each zone, so that the number of
# its connections doesn't grow with the fleet. Hosts choose different contacts,
# which keeps the graph of all contacts connected.
OWN_ZONE_CONTACTS = 16
OTHER_ZONE_CONTACTS = 3

# With this probability, a round chooses among all hosts of a zone, including
# gone ones: all contacts in the zone may have died, and the end of a network
# partition must be noticed.
ANY_HOST_PROBABILITY = 0.05


class Contacts:
    """Chooses the hosts that this host gossips with in each round."""

    def __init__(
        self, membership: memberships.Membership, rng: random.Random
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._remaining_zones: list[str] = []
        self._contacts_by_zone: dict[str, list[types.Host]] = {}
        self._seen_change_count: int | None = None

    def choose(self, busy_ids: set[str]) -> list[types.Host]:
        """Return the hosts for one round, without those in ``busy_ids``."""
        self._refresh_contacts()
        own_zone = self._membership.local.zone
        chosen = self._choose_in_zone(own_zone, OWN_ZONE_EACH_ROUND, busy_ids)
        for zone in self._next_zones(own_zone):
            wanted = 1
            if len(self._contacts_by_zone) <= OTHER_ZONES_EACH_ROUND:
                wanted = OTHER_ZONES_EACH_ROUND
            chosen += self._choose_in_zone(zone, wanted, busy_ids)
        return chosen

    def _choose_in_zone(
        self, zone: str, count: int, busy_ids: set[str]
    ) -> list[types.Host]:
        if self._rng.random() < ANY_HOST_PROBABILITY:
            candidates = self._all_in_zone(zone)
        else:
            candidates = self._contacts_by_zone.get(zone, [])
        idle = [host for host in candidates if host.host_id not in busy_ids]
        return self._rng.sample(idle, min(count, len(idle)))

    def _next_zones(self, own_zone: str) -> list[str]:
        """Return the next zones of a shuffled list of the other zones.

        The list is shuffled anew once every zone has had its turn.
        """
        zones = [zone for zone in self._contacts_by_zone if zone != own_zone]
        chosen: list[str] = []
        while zones and len(chosen) < min(OTHER_ZONES_EACH_ROUND, len(zones)):
            if not self._remaining_zones:
                self._remaining_zones = self._rng.sample(zones, len(zones))
            zone = self._remaining_zones.pop()
            if zone in zones and zone not in chosen:
                chosen.append(zone)
        return chosen

    def _refresh_contacts(self) -> None:
        """Choose the contacts again if the membership has changed."""
        if self._seen_change_count == self._membership.change_count:
            return
        self._seen_change_count = self._membership.change_count
        local = self._membership.local
        hosts_by_zone: dict[str, list[types.Host]] = {}
        for member in self._membership.members():
            if member.host.host_id == local.host_id:
                continue
            if member.condition == memberships.Condition.GONE:
                continue
            hosts_by_zone.setdefault(member.host.zone, []).append(member.host)
        self._contacts_by_zone = {
            zone: rendezvous.rank(
                hosts,
                local.host_id,
                OWN_ZONE_CONTACTS
                if zone == local.zone
                else OTHER_ZONE_CONTACTS,
            )
            for zone, hosts in hosts_by_zone.items()
        }

    def _all_in_zone(self, zone: str) -> list[types.Host]:
        return [
            member.host
            for member in self._membership.members()
            if member.host.zone == zone
            and member.host.host_id != self._membership.local.host_id
        ]
