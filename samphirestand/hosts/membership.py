"""Live hosts, gateway placement and rate owners.

Each host tracks the heartbeats of the hosts in its own zone only. For the
hosts of another zone it uses the conditions that their own zone reports, which
gossip carries only when they change, and the time since any host of that zone
was last known to be alive. The cost of heartbeats therefore depends on the
size of a zone, not on the size of the fleet.
"""

import array
import dataclasses
import enum

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import digest
from samphirestand.hosts import placement
from samphirestand import log
from samphirestand import types

logger = log.get_logger(__name__)

SUSPECT_MS = 2_000
GONE_MS = 10_000

# Gossip from another zone passes through several hosts, so a whole zone counts
# as cut off later than a host of the local zone becomes suspect.
ZONE_SUSPECT_MS = 3_000

# A longer gap between two calls of tick() means that this process was paused
# and couldn't receive heartbeats.
PAUSE_MS = 1_500

# The record of a gone host is kept this long, so that late gossip about the
# host doesn't add it again.
TOMBSTONE_MS = 600_000

# Number of gossip messages that carry a changed record. A host that none of
# them reaches gets the record when differing digests are repaired.
SPREAD_TIMES = 12


# A starting host has no configuration yet, and a draining host is handing its
# work over.
INELIGIBLE_STATUSES = frozenset(
    {types.HostStatus.STARTING, types.HostStatus.DRAINING}
)


class Condition(enum.StrEnum):
    """Condition of a host as judged by the host's own zone.

    Of two conditions reported for the same heartbeat, the later one in this
    list takes precedence.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    GONE = 'gone'


# Before a host fell silent, it may have sent a later heartbeat to another zone
# directly than to its own zone. A reported condition still applies if its
# heartbeat is behind the known one by no more than this many heartbeats. A
# live host is ahead of a SUSPECT report by 4 and of a GONE report by 20.
_MAX_HEARTBEAT_LAG = {
    Condition.SUSPECT: 3,
    Condition.GONE: 10,
}


@dataclasses.dataclass(frozen=True)
class HostRecord:
    """The record of one host as gossip messages carry it."""

    host: types.Host
    revision: int
    heartbeat: int
    condition: Condition


@dataclasses.dataclass
class Member:
    """The record of one host as this host keeps it."""

    host: types.Host
    revision: int
    heartbeat: int
    condition: Condition
    advanced_ms: int  # local time when the heartbeat last advanced

    @property
    def record(self) -> HostRecord:
        return HostRecord(
            self.host, self.revision, self.heartbeat, self.condition
        )


class ZoneView:
    """The hosts of the local zone whose heartbeats are exchanged."""

    def __init__(self, members: list[Member]) -> None:
        self.members = [
            member for member in members if member.condition != Condition.GONE
        ]
        ids = [_incarnation_id(member) for member in self.members]
        self.digest = digest.digest64('\n'.join(ids))
        # The low byte of each key is zero, because messages put the low byte
        # of the heartbeat there. Gone hosts have a key, too, because they may
        # come back.
        self.members_by_key = {
            digest.digest64(_incarnation_id(member)) & ~0xFF: member
            for member in members
        }


def _incarnation_id(member: Member) -> str:
    return f'{member.host.host_id} {member.host.incarnation}'


class Membership:
    """The known hosts of the fleet; implements ``interfaces.Membership``."""

    def __init__(self, local: types.Host, clock: clocks.Clock) -> None:
        self._clock = clock
        self._local_id = local.host_id
        now_ms = clock.now()
        self._members_by_id = {
            local.host_id: Member(local, 1, 1, Condition.ALIVE, now_ms)
        }
        self._last_tick_ms = now_ms
        self._last_alive_ms_by_zone: dict[str, int] = {}
        self._retired_ids: frozenset[str] = frozenset()
        self._placement = placement.Placement(
            self._eligible_hosts, self._live_zones
        )
        self._cached_view: ZoneView | None = None
        self.digests = digest.BucketDigests()
        self.hot = digest.RecentKeys()
        self.changed_ms = now_ms
        self.change_count = 0
        self._versions_by_zone: dict[str, int] = {}
        self._record_changed(self._members_by_id[local.host_id])

    # interfaces.Membership

    @property
    def local(self) -> types.Host:
        return self._local_member.host

    def reachable(self) -> list[types.Host]:
        """Return the hosts that count as alive, including this host.

        A host of another zone is returned with the lowest configuration
        version of its zone, because the versions of the hosts of other zones
        aren't tracked one by one.
        """
        return [
            self._with_zone_version(member.host)
            for member in self._members_by_id.values()
            if self._is_reachable(member)
        ]

    def gateway_host(
        self, target: types.Target
    ) -> types.Host | exceptions.Sentinel:
        host = None
        if self._is_zone_live(target.zone):
            host = self._placement.choose_in_zone(
                target.zone, target.target_id
            )
        if host is None:
            host = self._placement.anywhere(target.target_id)
        return host or exceptions.Sentinel('no host can take gateways')

    def rate_owner(self, account: str) -> types.Host:
        return self._placement.anywhere(account) or self.local

    def host(self, host_id: str) -> types.Host | exceptions.Sentinel:
        """Return the host with this id unless it is unknown or gone.

        A suspect host is returned, too.
        """
        member = self._members_by_id.get(host_id)
        if member is None or member.condition == Condition.GONE:
            return exceptions.Sentinel(f'host {host_id} is gone')
        return member.host

    # The local host

    def set_status(self, status: types.HostStatus) -> None:
        """Set the status that this host reports to its peers."""
        if status != self.local.status:
            self._replace_local(dataclasses.replace(self.local, status=status))

    def set_configuration_version(self, version: int) -> None:
        """Set the configuration version in force on this host.

        The version is sent together with heartbeats.
        """
        own = self._local_member
        own.host = dataclasses.replace(own.host, configuration_version=version)

    def set_retired(self, host_ids: frozenset[str]) -> None:
        """Set the hosts that the operator has retired."""
        self._retired_ids = host_ids
        self._placement.mark_all_changed()

    def tick(self) -> None:
        """Advance the local heartbeat and re-evaluate the other hosts.

        Hosts of the local zone that are silent become suspect, then gone;
        expired records are dropped. Must be called every 500 ms.
        """
        now_ms = self._clock.now()
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        self._local_member.heartbeat += 1
        self._local_member.advanced_ms = now_ms
        if gap_ms > PAUSE_MS:
            self._resume(gap_ms)
        for member in list(self._members_by_id.values()):
            if member.host.zone == self.local.zone:
                self._evaluate(member, now_ms)
            elif self._is_expired(member, now_ms):
                self._remove(member)

    def _resume(self, gap_ms: int) -> None:
        """Resume after a pause, during which no heartbeat was received."""
        logger.warning('resumed_after_pause', pause_ms=gap_ms)
        for member in self._members_by_id.values():
            member.advanced_ms += gap_ms
        # Other hosts may have declared this host gone in the meantime.
        if gap_ms >= GONE_MS:
            self.raise_incarnation(self.local.incarnation + 1)

    def raise_incarnation(self, incarnation: int) -> None:
        """Take a higher incarnation, to which old records don't apply."""
        if incarnation > self.local.incarnation:
            self._replace_local(
                dataclasses.replace(self.local, incarnation=incarnation)
            )

    # Records and heartbeats received from other hosts

    def learn(self, record: HostRecord) -> None:
        """Merge a host's record that another host has sent."""
        known = self._members_by_id.get(record.host.host_id)
        if known is None:
            if record.condition != Condition.GONE:
                self._add(record)
        elif record.host.host_id == self._local_id:
            self._correct_own_record(record)
        elif record.host.incarnation > known.host.incarnation:
            self._add(record)
        elif record.host.incarnation == known.host.incarnation:
            self._merge(known, record)

    def learn_contact(self, host: types.Host) -> None:
        """Add a host that the platform or the settings name.

        It gets incarnation 0, so that any record of the host itself replaces
        this one.
        """
        known = self._members_by_id.get(host.host_id)
        contact = dataclasses.replace(host, incarnation=0)
        if known is None or (
            not known.host.incarnation and known.host != contact
        ):
            self._add(HostRecord(contact, 0, 0, Condition.SUSPECT))

    def record_heartbeat(
        self, host_id: str, incarnation: int, heartbeat: int, version: int = 0
    ) -> None:
        """Record a heartbeat and version received from the host itself.

        A message of another incarnation is ignored: it may be an old one that
        waited in a buffer.
        """
        member = self._members_by_id.get(host_id)
        if member is not None and member.host.incarnation == incarnation:
            self._advance_heartbeat(member, heartbeat)
            self._advance_version(member, version)

    def heard_zone(self, zone: str, at_ms: int, lowest_version: int) -> None:
        """Record that a host of ``zone`` was alive at ``at_ms`` local time.

        The live hosts of the zone ran configuration version
        ``lowest_version`` or a later one at that time.
        """
        if zone == self.local.zone:
            return
        if at_ms > self._last_alive_ms_by_zone.get(zone, at_ms - 1):
            self._last_alive_ms_by_zone[zone] = at_ms
            self._versions_by_zone[zone] = lowest_version

    def zone_age_ms(self, zone: str) -> int | None:
        """Return the time since a host of ``zone`` was known to be alive.

        None if no host of the zone was ever known to be alive.
        """
        if zone == self.local.zone:
            return 0
        alive_ms = self._last_alive_ms_by_zone.get(zone)
        return None if alive_ms is None else self._clock.now() - alive_ms

    @property
    def heartbeat(self) -> int:
        """Return the local host's heartbeat."""
        return self._local_member.heartbeat

    @property
    def view_digest(self) -> int:
        """Return a digest of the ids and incarnations of the local zone."""
        return self._zone_view().digest

    def heartbeats(self) -> tuple[bytes, bytes]:
        """Return the heartbeats and versions of the local zone.

        Each is one string of the values' low bytes in order of host id. The
        versions are empty when all hosts have the same version.
        """
        members = self._zone_view().members
        low_bytes = bytes(member.heartbeat & 0xFF for member in members)
        versions = [member.host.configuration_version for member in members]
        if len(set(versions)) == 1:
            return low_bytes, b''
        return low_bytes, bytes(version & 0xFF for version in versions)

    def keyed_heartbeats(self) -> bytes:
        """Return heartbeats with keys of their hosts.

        They are for a host that knows other hosts of the zone, or other
        incarnations, than this host does.
        """
        return array.array(
            'Q',
            [
                key | (member.heartbeat & 0xFF)
                for key, member in self._zone_view().members_by_key.items()
                if member.condition != Condition.GONE
            ],
        ).tobytes()

    def merge_heartbeats(
        self, view_digest: int, low_bytes: bytes, versions: bytes, version: int
    ) -> None:
        """Merge the result of ``heartbeats`` of a host of the local zone.

        It is ignored unless ``view_digest`` equals this host's own: the bytes
        then belong to other hosts.
        """
        members = self._zone_view().members
        if view_digest != self.view_digest or len(low_bytes) != len(members):
            return
        for index, member in enumerate(members):
            self._advance_low_byte(member, low_bytes[index])
            if member.heartbeat & 0xFF == low_bytes[index]:
                self._advance_version(
                    member, _restore_version(versions, index, version)
                )

    def merge_keyed_heartbeats(self, encoded: bytes) -> None:
        """Merge the result of ``keyed_heartbeats`` of a host of the zone."""
        if len(encoded) % 8:
            return
        members_by_key = self._zone_view().members_by_key
        for record in array.array('Q', encoded):
            member = members_by_key.get(record & ~0xFF)
            if member is not None:
                self._advance_low_byte(member, record & 0xFF)

    # Records to send by gossip

    def recent_records(self, limit: int) -> list[HostRecord]:
        """Return recently changed records for one message."""
        members = (
            self._members_by_id.get(key) for key in self.hot.take(limit)
        )
        return [member.record for member in members if member is not None]

    def records_in_buckets(
        self, buckets: set[int], limit: int
    ) -> list[HostRecord]:
        """Return the records in ``buckets``.

        Gone hosts are included, so that a host that missed their end doesn't
        keep them or send them to others again.
        """
        record_ids = (
            host_id
            for host_id, member in self._members_by_id.items()
            if member.host.incarnation
        )
        return [
            self._members_by_id[host_id].record
            for host_id in digest.keys_in_buckets(record_ids, buckets, limit)
        ]

    def members(self) -> list[Member]:
        """Return the records of all hosts, including gone ones."""
        return list(self._members_by_id.values())

    def lowest_version(self, zone: str) -> int:
        """Return the lowest known version of the live hosts of ``zone``."""
        if zone != self.local.zone:
            return self._versions_by_zone.get(zone, 0)
        return min(
            member.host.configuration_version
            for member in self._zone_view().members
            if member.condition == Condition.ALIVE
        )

    # Internals

    @property
    def _local_member(self) -> Member:
        return self._members_by_id[self._local_id]

    def _replace_local(self, host: types.Host) -> None:
        own = self._local_member
        own.host = host
        own.revision += 1
        own.heartbeat += 1
        self._record_changed(own)

    def _correct_own_record(self, record: HostRecord) -> None:
        """Correct a record that wrongly describes this host."""
        if record.host.incarnation < self.local.incarnation:
            return
        if record.host.incarnation > self.local.incarnation:
            logger.warning(
                'later_incarnation_heard', incarnation=record.host.incarnation
            )
            self.raise_incarnation(record.host.incarnation + 1)
        elif record.condition != Condition.ALIVE:
            self._local_member.heartbeat = (
                max(self._local_member.heartbeat, record.heartbeat) + 1
            )
            self._record_changed(self._local_member)

    def _add(self, record: HostRecord) -> None:
        member = Member(
            record.host,
            record.revision,
            record.heartbeat,
            record.condition,
            self._clock.now(),
        )
        self._members_by_id[record.host.host_id] = member
        self._record_changed(member)

    def _merge(self, known: Member, record: HostRecord) -> None:
        is_changed = record.revision > known.revision
        if is_changed:
            known.revision = record.revision
            known.host = dataclasses.replace(
                record.host,
                configuration_version=known.host.configuration_version,
            )
        if known.host.zone == self.local.zone:
            self._advance_heartbeat(known, record.heartbeat)
            # For hosts of the local zone, this host relies on the heartbeats
            # that it receives itself. If another host disagrees, it sends its
            # own record again.
            if record.condition != known.condition == Condition.ALIVE:
                is_changed = True
        elif self._is_newer_condition(known, record):
            is_changed |= record.condition != known.condition
            known.heartbeat = max(known.heartbeat, record.heartbeat)
            known.advanced_ms = self._clock.now()
            known.condition = record.condition
        if is_changed:
            self._record_changed(known)

    def _is_newer_condition(self, known: Member, record: HostRecord) -> bool:
        """Tell whether the zone of a host has reported a newer condition."""
        if record.condition == Condition.ALIVE:
            return record.heartbeat > known.heartbeat
        if known.condition == Condition.GONE:
            return False
        lag = _MAX_HEARTBEAT_LAG[record.condition]
        return record.heartbeat + lag >= known.heartbeat

    def _advance_heartbeat(self, member: Member, heartbeat: int) -> None:
        if heartbeat <= member.heartbeat:
            return
        member.heartbeat = heartbeat
        member.advanced_ms = self._clock.now()
        if member.condition != Condition.ALIVE:
            member.condition = Condition.ALIVE
            self._record_changed(member)

    def _advance_low_byte(self, member: Member, low_byte: int) -> None:
        delta = (low_byte - member.heartbeat) & 0xFF
        if 0 < delta < 0x80 and member.host.host_id != self._local_id:
            self._advance_heartbeat(member, member.heartbeat + delta)

    def _advance_version(self, member: Member, version: int) -> None:
        if version > member.host.configuration_version:
            member.host = dataclasses.replace(
                member.host, configuration_version=version
            )

    def _evaluate(self, member: Member, now_ms: int) -> None:
        """Mark a silent host of the local zone as suspect or gone."""
        if member.host.host_id == self._local_id:
            return
        silent_ms = now_ms - member.advanced_ms
        if silent_ms >= TOMBSTONE_MS:
            self._remove(member)
            return
        condition = member.condition
        if silent_ms >= GONE_MS:
            condition = Condition.GONE
        elif silent_ms >= SUSPECT_MS and condition == Condition.ALIVE:
            condition = Condition.SUSPECT
        if condition != member.condition:
            member.condition = condition
            logger.info(
                'host_condition',
                peer=member.host.host_id,
                condition=condition.value,
                silent_ms=silent_ms,
            )
            self._record_changed(member)

    def _is_expired(self, member: Member, now_ms: int) -> bool:
        is_obsolete = (
            member.condition == Condition.GONE or not member.host.incarnation
        )
        return is_obsolete and now_ms - member.advanced_ms >= TOMBSTONE_MS

    def _is_reachable(self, member: Member) -> bool:
        if member.host.host_id == self._local_id:
            return True
        return member.condition == Condition.ALIVE and self._is_zone_live(
            member.host.zone
        )

    def _with_zone_version(self, host: types.Host) -> types.Host:
        if host.zone == self.local.zone:
            return host
        return dataclasses.replace(
            host, configuration_version=self.lowest_version(host.zone)
        )

    def _is_zone_live(self, zone: str) -> bool:
        age_ms = self.zone_age_ms(zone)
        return age_ms is not None and age_ms < ZONE_SUSPECT_MS

    def _is_eligible(self, host: types.Host) -> bool:
        return (
            host.status not in INELIGIBLE_STATUSES
            and host.host_id not in self._retired_ids
        )

    def _eligible_hosts(self, zone: str) -> list[types.Host]:
        """Return the hosts of a live zone that may get work."""
        return [
            member.host
            for member in self._members_by_id.values()
            if member.host.zone == zone
            and member.condition == Condition.ALIVE
            and self._is_eligible(member.host)
        ]

    def _live_zones(self) -> list[str]:
        others = [
            zone
            for zone in self._last_alive_ms_by_zone
            if self._is_zone_live(zone)
        ]
        return [self.local.zone, *others]

    def _zone_view(self) -> 'ZoneView':
        if self._cached_view is None:
            self._cached_view = ZoneView(
                sorted(
                    (
                        member
                        for member in self._members_by_id.values()
                        if member.host.zone == self.local.zone
                        and member.host.incarnation
                    ),
                    key=lambda member: member.host.host_id,
                )
            )
        return self._cached_view

    def _zone_changed(self, zone: str) -> None:
        self._placement.mark_changed(zone)
        if zone == self.local.zone:
            self._cached_view = None

    def _record_changed(self, member: Member) -> None:
        """Update digests and caches and queue the record for gossip."""
        host = member.host
        self._zone_changed(host.zone)
        self.change_count += 1
        if not host.incarnation:
            return
        if member.condition == Condition.GONE:
            self.digests.remove(host.host_id)
        else:
            self.digests.put(
                host.host_id,
                f'{host.incarnation} {member.revision} {member.condition}',
            )
        self.hot.add(host.host_id, SPREAD_TIMES)
        self.changed_ms = self._clock.now()

    def _remove(self, member: Member) -> None:
        del self._members_by_id[member.host.host_id]
        self.digests.remove(member.host.host_id)
        self.hot.discard(member.host.host_id)
        self._zone_changed(member.host.zone)
        self.change_count += 1


def _restore_version(versions: bytes, index: int, sender_version: int) -> int:
    """Restore a version of which only the low byte was sent.

    It is the version closest to the sender's own; empty ``versions`` mean
    that all hosts have the sender's version.
    """
    if len(versions) <= index:
        return sender_version
    lag = (sender_version - versions[index]) & 0xFF
    return sender_version - (lag if lag < 0x80 else lag - 0x100)
