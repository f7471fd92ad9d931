"""Live hosts, gateway placement and rate owners.

Each host follows the heartbeats of its own zone only. Other zones are
followed by their own verdicts on their hosts, which are spread when they
change, and by the age of the latest sign of life of the whole zone. The cost
of heartbeats therefore depends on the size of a zone, not of the fleet.
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

# News of another zone pass through several hosts, so a zone counts as cut
# off later than a host of the own zone counts as suspect.
ZONE_SUSPECT_MS = 3_000

# A local gap of more than this between two ticks means that this process
# was paused and couldn't hear anybody.
PAUSE_MS = 1_500

# A gone host is kept that long so that late news don't bring it back.
TOMBSTONE_MS = 600_000

# How many messages carry a change. A host that it misses by chance gets it
# with the repair of differing digests.
SPREAD_TIMES = 12


class Condition(enum.StrEnum):
    """What the zone of a host says about it; later ones win a tie."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    GONE = 'gone'


# A host may have given a later heartbeat to another zone directly than to
# its own zone before it fell silent. A verdict still applies if it lags by no
# more beats than this; a live host is ahead of it by 4 or 20 beats.
_VERDICT_LAG = {
    Condition.SUSPECT: 3,
    Condition.GONE: 10,
}


@dataclasses.dataclass(frozen=True)
class News:
    """What a gossip message says about a host."""

    host: types.Host
    revision: int
    heartbeat: int
    condition: Condition


@dataclasses.dataclass
class Member:
    """What this host knows of a host."""

    host: types.Host
    revision: int
    heartbeat: int
    condition: Condition
    advanced_ms: int  # local time at which the heartbeat last advanced

    @property
    def news(self) -> News:
        return News(self.host, self.revision, self.heartbeat, self.condition)


class View:
    """The hosts of the own zone that heartbeats are exchanged about."""

    def __init__(self, members: list[Member]) -> None:
        self.members = [
            member for member in members if member.condition != Condition.GONE
        ]
        ids = [_incarnation_id(member) for member in self.members]
        self.digest = digest.digest64('\n'.join(ids))
        # The low byte of the key makes room for that of the heartbeat. Gone
        # hosts have one, too, because they may come back.
        self.members_by_key = {
            digest.digest64(_incarnation_id(member)) & ~0xFF: member
            for member in members
        }


def _incarnation_id(member: Member) -> str:
    return f'{member.host.host_id} {member.host.incarnation}'


class Membership:
    """The hosts of the fleet; implements ``interfaces.Membership``."""

    def __init__(self, local: types.Host, clock: clocks.Clock) -> None:
        self._clock = clock
        self._local_id = local.host_id
        now_ms = clock.now()
        self._members_by_id = {
            local.host_id: Member(local, 1, 1, Condition.ALIVE, now_ms)
        }
        self._ticked_ms = now_ms
        self._zone_heard_ms: dict[str, int] = {}
        self._retired_ids: frozenset[str] = frozenset()
        self._placement = placement.Placement(self._eligible, self._live_zones)
        self._view: View | None = None
        self.digests = digest.BucketDigests()
        self.hot = digest.HotKeys()
        self.changed_ms = now_ms
        self.changes = 0
        self._versions_by_zone: dict[str, int] = {}
        self._changed(self._members_by_id[local.host_id])

    # interfaces.Membership

    @property
    def local(self) -> types.Host:
        return self._own.host

    def reachable(self) -> list[types.Host]:
        """Return the hosts heard of lately, this host included.

        A host of another zone bears the lowest version of its zone, because
        the versions of its hosts aren't followed one by one.
        """
        return [
            self._with_version(member.host)
            for member in self._members_by_id.values()
            if self._is_reachable(member)
        ]

    def gateway_host(
        self, target: types.Target
    ) -> types.Host | exceptions.Sentinel:
        host = None
        if self._is_zone_live(target.zone):
            host = self._placement.in_zone(target.zone, target.target_id)
        if host is None:
            host = self._placement.anywhere(target.target_id)
        return host or exceptions.Sentinel('no host can take gateways')

    def rate_owner(self, account: str) -> types.Host:
        return self._placement.anywhere(account) or self.local

    def host(self, host_id: str) -> types.Host | exceptions.Sentinel:
        """Return a host by its id, whether or not it can be reached."""
        member = self._members_by_id.get(host_id)
        if member is None or member.condition == Condition.GONE:
            return exceptions.Sentinel(f'host {host_id} is gone')
        return member.host

    # The local host

    def set_status(self, status: types.HostStatus) -> None:
        """Change what this host says about itself."""
        if status != self.local.status:
            self._replace_own(dataclasses.replace(self.local, status=status))

    def set_configuration_version(self, version: int) -> None:
        """Note the version in force here; heartbeats carry it."""
        own = self._own
        own.host = dataclasses.replace(own.host, configuration_version=version)

    def set_retired(self, host_ids: frozenset[str]) -> None:
        """Note which hosts the operator has retired."""
        self._retired_ids = host_ids
        self._placement.changed_all()

    def tick(self) -> None:
        """Advance the own heartbeat and judge the hosts of the own zone.

        To be called every 500 ms.
        """
        now_ms = self._clock.now()
        gap_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        self._own.heartbeat += 1
        self._own.advanced_ms = now_ms
        if gap_ms > PAUSE_MS:
            self._resume(gap_ms)
        for member in list(self._members_by_id.values()):
            if member.host.zone == self.local.zone:
                self._judge(member, now_ms)
            elif self._is_expired(member, now_ms):
                self._forget(member)

    def _resume(self, gap_ms: int) -> None:
        """Continue after a pause, in which this host heard nobody."""
        logger.warning('resumed_after_pause', pause_ms=gap_ms)
        for member in self._members_by_id.values():
            member.advanced_ms += gap_ms
        # The others may have declared this host gone.
        if gap_ms >= GONE_MS:
            self.rejoin(self.local.incarnation + 1)

    def rejoin(self, incarnation: int) -> None:
        """Become a new host to the others; old news don't apply to it."""
        if incarnation > self.local.incarnation:
            self._replace_own(
                dataclasses.replace(self.local, incarnation=incarnation)
            )

    # News of other hosts

    def learn(self, news: News) -> None:
        """Merge what another host said about a host."""
        known = self._members_by_id.get(news.host.host_id)
        if known is None:
            if news.condition != Condition.GONE:
                self._add(news)
        elif news.host.host_id == self._local_id:
            self._refute(news)
        elif news.host.incarnation > known.host.incarnation:
            self._add(news)
        elif news.host.incarnation == known.host.incarnation:
            self._merge(known, news)

    def learn_contact(self, host: types.Host) -> None:
        """Add a host that the platform or the settings name.

        Its incarnation 0 makes way for whatever the host says itself.
        """
        known = self._members_by_id.get(host.host_id)
        contact = dataclasses.replace(host, incarnation=0)
        if known is None or (
            not known.host.incarnation and known.host != contact
        ):
            self._add(News(contact, 0, 0, Condition.SUSPECT))

    def heard_from(
        self, host_id: str, incarnation: int, heartbeat: int, version: int = 0
    ) -> None:
        """Note a heartbeat and a version that came from the host itself.

        One of an earlier incarnation may have waited in a buffer.
        """
        member = self._members_by_id.get(host_id)
        if member is not None and member.host.incarnation == incarnation:
            self._advance(member, heartbeat)
            self._raise_version(member, version)

    def heard_zone(self, zone: str, at_ms: int, lowest_version: int) -> None:
        """Note that some host of ``zone`` lived at ``at_ms`` local time.

        Its live hosts then ran ``lowest_version`` or a later one.
        """
        if zone == self.local.zone:
            return
        if at_ms > self._zone_heard_ms.get(zone, at_ms - 1):
            self._zone_heard_ms[zone] = at_ms
            self._versions_by_zone[zone] = lowest_version

    def zone_age_ms(self, zone: str) -> int | None:
        """Return the age of the last sign of life; None if none came."""
        if zone == self.local.zone:
            return 0
        heard_ms = self._zone_heard_ms.get(zone)
        return None if heard_ms is None else self._clock.now() - heard_ms

    @property
    def heartbeat(self) -> int:
        """Return the local host's heartbeat."""
        return self._own.heartbeat

    @property
    def view_digest(self) -> int:
        """Identify the ids and incarnations of the own zone's hosts."""
        return self._zone_view().digest

    def heartbeats(self) -> tuple[bytes, bytes]:
        """Return low bytes of heartbeats and versions of the own zone.

        The versions are empty when all are the same.
        """
        members = self._zone_view().members
        beats = bytes(member.heartbeat & 0xFF for member in members)
        versions = [member.host.configuration_version for member in members]
        if len(set(versions)) == 1:
            return beats, b''
        return beats, bytes(version & 0xFF for version in versions)

    def keyed_heartbeats(self) -> bytes:
        """Return heartbeats for a host that has another view of the zone."""
        return array.array(
            'Q',
            [
                key | (member.heartbeat & 0xFF)
                for key, member in self._zone_view().members_by_key.items()
                if member.condition != Condition.GONE
            ],
        ).tobytes()

    def learn_heartbeats(
        self, view_digest: int, beats: bytes, versions: bytes, version: int
    ) -> None:
        """Merge heartbeats of a host of the own zone with the same view."""
        members = self._zone_view().members
        if view_digest != self.view_digest or len(beats) != len(members):
            return
        for index, member in enumerate(members):
            self._advance_low_byte(member, beats[index])
            if member.heartbeat & 0xFF == beats[index]:
                self._raise_version(member, _version(versions, index, version))

    def learn_keyed_heartbeats(self, encoded: bytes) -> None:
        """Merge heartbeats of a host of the own zone with another view."""
        if len(encoded) % 8:
            return
        members_by_key = self._zone_view().members_by_key
        for record in array.array('Q', encoded):
            member = members_by_key.get(record & ~0xFF)
            if member is not None:
                self._advance_low_byte(member, record & 0xFF)

    # What gossip sends

    def entries(self, limit: int) -> list[News]:
        """Return the records that changed lately, for one message."""
        members = (
            self._members_by_id.get(key) for key in self.hot.take(limit)
        )
        return [member.news for member in members if member is not None]

    def entries_in(self, buckets: set[int], limit: int) -> list[News]:
        """Return the records in ``buckets``.

        Gone hosts are included, so that a host that missed the news doesn't
        keep them, or spread them again.
        """
        covered = (
            host_id
            for host_id, member in self._members_by_id.items()
            if member.host.incarnation
        )
        return [
            self._members_by_id[host_id].news
            for host_id in digest.whole_buckets(covered, buckets, limit)
        ]

    def members(self) -> list[Member]:
        """Return all members, gone ones included."""
        return list(self._members_by_id.values())

    def lowest_version(self, zone: str) -> int:
        """Return the lowest version known of the live hosts of ``zone``."""
        if zone != self.local.zone:
            return self._versions_by_zone.get(zone, 0)
        return min(
            member.host.configuration_version
            for member in self._zone_view().members
            if member.condition == Condition.ALIVE
        )

    # Internals

    @property
    def _own(self) -> Member:
        return self._members_by_id[self._local_id]

    def _replace_own(self, host: types.Host) -> None:
        own = self._own
        own.host = host
        own.revision += 1
        own.heartbeat += 1
        self._changed(own)

    def _refute(self, news: News) -> None:
        """Answer news about this host that aren't true."""
        if news.host.incarnation < self.local.incarnation:
            return
        if news.host.incarnation > self.local.incarnation:
            logger.warning(
                'later_incarnation_heard', incarnation=news.host.incarnation
            )
            self.rejoin(news.host.incarnation + 1)
        elif news.condition != Condition.ALIVE:
            self._own.heartbeat = max(self._own.heartbeat, news.heartbeat) + 1
            self._changed(self._own)

    def _add(self, news: News) -> None:
        member = Member(
            news.host,
            news.revision,
            news.heartbeat,
            news.condition,
            self._clock.now(),
        )
        self._members_by_id[news.host.host_id] = member
        self._changed(member)

    def _merge(self, known: Member, news: News) -> None:
        is_changed = news.revision > known.revision
        if is_changed:
            known.revision = news.revision
            known.host = dataclasses.replace(
                news.host,
                configuration_version=known.host.configuration_version,
            )
        if known.host.zone == self.local.zone:
            self._advance(known, news.heartbeat)
            # The own zone is judged by what this host hears itself.
            if news.condition != known.condition == Condition.ALIVE:
                is_changed = True
        elif self._is_later_verdict(known, news):
            is_changed |= news.condition != known.condition
            known.heartbeat = max(known.heartbeat, news.heartbeat)
            known.advanced_ms = self._clock.now()
            known.condition = news.condition
        if is_changed:
            self._changed(known)

    def _is_later_verdict(self, known: Member, news: News) -> bool:
        """Tell whether another zone's verdict replaces the known one."""
        if news.condition == Condition.ALIVE:
            return news.heartbeat > known.heartbeat
        if known.condition == Condition.GONE:
            return False
        lag = _VERDICT_LAG[news.condition]
        return news.heartbeat + lag >= known.heartbeat

    def _advance(self, member: Member, heartbeat: int) -> None:
        if heartbeat <= member.heartbeat:
            return
        member.heartbeat = heartbeat
        member.advanced_ms = self._clock.now()
        if member.condition != Condition.ALIVE:
            member.condition = Condition.ALIVE
            self._changed(member)

    def _advance_low_byte(self, member: Member, low_byte: int) -> None:
        delta = (low_byte - member.heartbeat) & 0xFF
        if 0 < delta < 0x80 and member.host.host_id != self._local_id:
            self._advance(member, member.heartbeat + delta)

    def _raise_version(self, member: Member, version: int) -> None:
        if version > member.host.configuration_version:
            member.host = dataclasses.replace(
                member.host, configuration_version=version
            )

    def _judge(self, member: Member, now_ms: int) -> None:
        """Suspect or give up a silent host of the own zone."""
        if member.host.host_id == self._local_id:
            return
        silent_ms = now_ms - member.advanced_ms
        if silent_ms >= TOMBSTONE_MS:
            self._forget(member)
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
            self._changed(member)

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

    def _with_version(self, host: types.Host) -> types.Host:
        if host.zone == self.local.zone:
            return host
        return dataclasses.replace(
            host, configuration_version=self.lowest_version(host.zone)
        )

    def _is_zone_live(self, zone: str) -> bool:
        age_ms = self.zone_age_ms(zone)
        return age_ms is not None and age_ms < ZONE_SUSPECT_MS

    def _may_have_work(self, host: types.Host) -> bool:
        return (
            host.status != types.HostStatus.DRAINING
            and host.host_id not in self._retired_ids
        )

    def _eligible(self, zone: str) -> list[types.Host]:
        """Return the hosts of a live zone that may get work."""
        return [
            member.host
            for member in self._members_by_id.values()
            if member.host.zone == zone
            and member.condition == Condition.ALIVE
            and self._may_have_work(member.host)
        ]

    def _live_zones(self) -> list[str]:
        others = [
            zone for zone in self._zone_heard_ms if self._is_zone_live(zone)
        ]
        return [self.local.zone, *others]

    def _zone_view(self) -> 'View':
        if self._view is None:
            self._view = View(
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
        return self._view

    def _zone_changed(self, zone: str) -> None:
        self._placement.changed(zone)
        if zone == self.local.zone:
            self._view = None

    def _changed(self, member: Member) -> None:
        """Bring digests and caches up to date and spread the record."""
        host = member.host
        self._zone_changed(host.zone)
        self.changes += 1
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

    def _forget(self, member: Member) -> None:
        del self._members_by_id[member.host.host_id]
        self.digests.remove(member.host.host_id)
        self.hot.discard(member.host.host_id)
        self._zone_changed(member.host.zone)
        self.changes += 1


def _version(versions: bytes, index: int, sender_version: int) -> int:
    """Return a version of which only the low byte was sent."""
    if len(versions) <= index:
        return sender_version
    lag = (sender_version - versions[index]) & 0xFF
    return sender_version - (lag if lag < 0x80 else lag - 0x100)
