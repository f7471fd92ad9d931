"""Membership: which hosts exist, which answer, and which runs a job.

A job is a task that one host runs for the whole fleet, such as being the
gateway of a service or holding the token pool of an account.
"""

import asyncio
import collections.abc
import dataclasses
import ipaddress
import json
import math

import pydantic

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import directory
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand.fleet import links
from samphirestand.fleet import ping_schedule
from samphirestand.fleet import traffic
from samphirestand.hosts import rendezvous
from samphirestand import log
from samphirestand import node_settings
from samphirestand.platform import records
from samphirestand.platform import store as store_module
from samphirestand import types

__all__ = [
    'HOSTS_TABLE',
    'PING_INTERVAL_MS',
    'Members',
    'PingRound',
    'gateway_job',
]

# The table of the store in which hosts register and find each other.
HOSTS_TABLE = 'hosts'

# At this interval four consecutive pings go unanswered within 1 s when a host
# fails, which marks it as unreachable.
PING_INTERVAL_MS = 250

# Hosts of a zone that have left a ping unanswered for this long are cut off.
# Most answer within 50 ms.
SILENT_ZONE_MS = 500

# A link to a host that is no longer a job host is closed when it has been
# unused for this long: the last transaction on it has ended by then, as
# operators let a transaction be idle for about 3 s.
UNUSED_LINK_KEPT_MS = 10_000

# How often a host renews its row and reads the rows of other hosts. Hosts that
# aren't job hosts do so less often: they are many and change little, and job
# hosts tell them when there are new job hosts.
JOB_HOST_RENEW_MS = 10_000
OTHER_HOST_RENEW_MS = 60_000

# Job hosts that start together may miss each other's rows at the first read;
# the second read after this time finds them.
SECOND_READ_DELAY_MS = 1_500

# A host reads the rows when a job host has had another choice of job hosts
# for this long: hosts that start together differ for a moment.
DIFFERENCE_KEPT_MS = 500

# Rows that were read because of such a difference are not read again for this
# long, doubled up to the maximum while the difference stays.
MIN_REREAD_INTERVAL_MS = 500
MAX_REREAD_INTERVAL_MS = 60_000

# While a difference stays, a host without jobs gets the directory at most this
# often before it reads the rows of all hosts.
MAX_DIRECTORY_READS = 4

# A host without jobs reads the directory again when none of the hosts in it
# has answered for this long, and the second time the rows of all hosts. Links
# come up within a few round trips. The time is doubled for each attempt.
MIN_NO_ANSWER_MS = 300
MAX_NO_ANSWER_MS = 60_000

# In a new fleet each host knows only those that started before it. For this
# long it takes the directory of a host that knows more, even if that ends its
# jobs: the rows of a few hundred hosts are written within it.
JOINING_MS = 5_000

# Another host answers a request for the directory within this time.
DIRECTORY_TIMEOUT_MS = 500

# Changes of the fleet are written to the directory at most this often: many
# hosts may start within a second.
DIRECTORY_INTERVAL_MS = 500
# Limits of targets are adopted from a gateway host that told them within this
# time: what a target can take changes within seconds.
MAX_LIMIT_AGE_MS = 15_000

# The row of a host that doesn't answer is deleted when the host has missed
# more renewals than this.
MAX_MISSED_RENEWALS = 4

# A job host is replaced by the next host of its zone when it hasn't answered
# for this long; a process that ended has restarted within about a second.
DEAD_AFTER_MS = 2_000

# A host of the directory is marked as silent when it hasn't answered for this
# long: longer than a process that ended takes to start again, so that restarts
# don't change the row.
SILENT_MARK_AFTER_MS = 8_000

# A starting host waits at most this long for its links. They come up within a
# few round trips; hosts that start together are ready within half a second of
# each other.
MAX_SETTLE_MS = 800

# A starting host stops waiting when most links are up and no other link came
# up for this long: hosts that start together come up at shorter intervals.
SETTLE_QUIET_MS = 200

# A host is also isolated when hosts of other zones have only refused
# connections for this long. Hosts that were killed answer again within about a
# second.
ISOLATED_AFTER_MS = 1_300

# How long a host leaves jobs to other hosts after it failed to reach the store
# for a job.
STORE_FAILURE_PAUSE_MS = 3_000

# The job of following the configuration for the hosts of a zone.
CATALOG_JOB = 'catalog'

# The job of maintaining the directory of job hosts.
DIRECTORY_JOB = 'directory'

# How many host ids one log line lists.
MAX_LOGGED_HOSTS = 10

# Delay between attempts to register while the store can't be reached.
STORE_RETRY_MS = 700

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class PingRound:
    """What a round of pings tells each host.

    The hosts of ``required_host_ids`` must be pinged, because their pings
    move something to them or their answers are needed.
    """

    build_ping: collections.abc.Callable[[links.Link], frames.Ping]
    required_host_ids: collections.abc.Set[str] = frozenset()


# Called at the start of a round.
StartRound = collections.abc.Callable[[], PingRound]


class _RowModel(pydantic.BaseModel):
    """The row of a host; the numbers fit into the frames between hosts."""

    model_config = pydantic.ConfigDict(strict=True)

    zone: str = pydantic.Field(
        min_length=1, max_length=records.MAX_NAME_LENGTH
    )
    address: str
    port: int = pydantic.Field(ge=1, le=65_535)
    incarnation: int = pydantic.Field(ge=0, le=records.MAX_LONG)
    millicores: int = pydantic.Field(default=0, ge=0, le=records.MAX_COUNT)
    link_kbps: int = pydantic.Field(default=0, ge=0, le=records.MAX_COUNT)
    renew_ms: int = pydantic.Field(
        default=JOB_HOST_RENEW_MS, ge=0, le=OTHER_HOST_RENEW_MS
    )

    @pydantic.field_validator('address')
    @classmethod
    def _check_address(cls, value: str) -> str:
        return str(ipaddress.IPv4Address(value))


class Members:
    """Tracks the hosts, keeps links to job hosts, and places jobs on them.

    A few hosts of each zone are job hosts, which run jobs for the fleet; large
    hosts are preferred. All hosts have links to the job hosts only.
    """

    def __init__(
        self,
        local: frames.Hello,
        clock: clock_module.Clock,
        store: store_module.Store,
        on_change: collections.abc.Callable[[], None],
        counters: traffic.FrameCounters | None = None,
    ) -> None:
        self.local = local
        self._counters = counters
        self.is_draining = False
        self._store_failed_until_ms = 0
        self._clock = clock
        self._store = store
        self._on_change = on_change
        self._hosts_by_id = {local.host_id: local}
        self._large_ids: frozenset[str] = frozenset()
        self._job_host_ids: frozenset[str] = frozenset()
        self._token_source_ids: frozenset[str] = frozenset()
        self._last_dead_ids: frozenset[str] = frozenset()
        # The hosts that this host would mark as silent in the directory, and
        # those that were marked in the one that it read last.
        self._silent_ids: frozenset[str] = frozenset()
        self._marked_ids: frozenset[str] = frozenset()
        # The size of the fleet by the directory, if this host knows only the
        # hosts in it; None if it has read the rows of all hosts.
        self._size: job_hosts.FleetSize | None = None
        # The directory of all hosts that this host knows, once it was asked.
        self._encoded_directory: bytes | None = None
        # Hosts that were added since the last choice of job hosts.
        self._added_ids: list[str] = []
        self._links_by_id: dict[str, links.Link] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}
        self._was_up_by_id: dict[str, bool] = {}
        # The hosts that this host knows from the directory.
        self._directory_ids: frozenset[str] = frozenset()
        # The rows of all hosts at a version of the store; None if unknown.
        self._rows_by_id: dict[str, store_module.Row] = {}
        self._rows_version: int | None = None
        # The version of each host's row, and when this host first read it.
        self._seen_versions_by_id: dict[str, tuple[int, int]] = {}
        # The interval of renewals that a readable row announces.
        self._renew_ms_by_id: dict[str, int] = {}
        # When the store first answered; None before.
        self._first_read_ms: int | None = None
        # Set when this host has joined the fleet without a row of its own.
        self._joining_until_ms = 0
        self._last_read_ms = clock.now()
        self._last_link_up_ms = clock.now()
        # When the zones that are cut off were last computed, and the result.
        self._cut_off_zones_memo: tuple[int | None, frozenset[str]] = (
            None,
            frozenset(),
        )
        # The zone of the primary by the last claim to be its gateway host.
        self._claimed_zones_by_service: dict[str, str] = {}
        self.fleet_digest = 0
        self._differs_since_ms: int | None = None
        self._reread_interval_ms = MIN_REREAD_INTERVAL_MS
        self._reread_wanted = asyncio.Event()
        # How often this host has tried to resolve the present difference, and
        # to find hosts that answer.
        self._difference_reads = 0
        # The versions of the row that was adopted last, and of one whose hosts
        # didn't answer.
        self._adopted_version = 0
        self._rejected_version = 0
        self._no_answer_reads = 0
        # Whether the directory may differ from what this host knows, and when
        # this host last compared them.
        self._is_directory_due = True
        self._directory_compared_ms = 0
        self._choose_job_hosts()

    @property
    def host_count(self) -> int:
        """Return how many hosts exist, reachable or not, this one included."""
        if self._size is None:
            return len(self._hosts_by_id)
        return max(self._size.host_count, len(self._hosts_by_id))

    @property
    def knows_fleet(self) -> bool:
        """Tell whether the rows of the other hosts have been read."""
        return self._first_read_ms is not None

    @property
    def token_source_count(self) -> int:
        """Return how many hosts the accounts' rates are divided among.

        Includes hosts that don't answer: they may be running behind a network
        partition and accrue tokens there.
        """
        return max(len(self._token_source_ids), 1)

    @property
    def is_token_source(self) -> bool:
        """Tell whether this host accrues a share of the accounts' rates.

        Only the rows of all hosts tell; the directory may be out of date.
        """
        return (
            self._size is None and self.local.host_id in self._token_source_ids
        )

    @property
    def is_job_host(self) -> bool:
        """Tell whether this host may run jobs for the fleet."""
        return self.local.host_id in self._job_host_ids

    @property
    def is_catalog_reader(self) -> bool:
        """Tell whether this host follows the configuration for its zone.

        One job host a zone does; the others learn from it of new versions.
        """
        if not self.is_job_host:
            return False
        candidates = [self.local.host_id] + [
            each.peer.host_id
            for each in self.up_links()
            if each.peer.zone == self.local.zone
            and each.peer.host_id in self._job_host_ids
            and not each.is_draining
        ]
        return self.local.host_id == max(
            candidates,
            key=lambda host_id: rendezvous.score(host_id, CATALOG_JOB),
        )

    @property
    def is_settled(self) -> bool:
        """Tell whether this host has links to the hosts that answer.

        Until then it would choose itself for every job. The wait for hosts
        that don't answer is limited.
        """
        if self._first_read_ms is None:
            return False
        now = self._clock.now()
        if now - self._first_read_ms > MAX_SETTLE_MS:
            return True
        link_count = len(self._links_by_id)
        up_count = len(self.up_links())
        if up_count == link_count:
            return True
        if 2 * up_count <= link_count:
            return False
        # The row of a host that is gone for good stays for a while, so this
        # host has a link to it that never comes up.
        return (
            now - self._last_link_up_ms > SETTLE_QUIET_MS
            or self._has_all_unmarked_links()
        )

    def _has_all_unmarked_links(self) -> bool:
        """Tell whether only hosts that the directory marks don't answer."""
        return all(
            link.is_up or host_id in self._marked_ids
            for host_id, link in self._links_by_id.items()
        )

    @property
    def reaches_store(self) -> bool:
        """Tell whether this host can run jobs that need the store."""
        return self._clock.now() >= self._store_failed_until_ms

    def note_store_failure(self) -> None:
        """Leave jobs to hosts that reach the store, for a limited time.

        Called only when a job failed because it couldn't reach the store, not
        whenever the store is unavailable: while it is unavailable to all
        hosts, jobs must not move between them.
        """
        self._store_failed_until_ms = (
            self._clock.now() + STORE_FAILURE_PAUSE_MS
        )

    def up_links(self) -> list[links.Link]:
        """Return the links to hosts that answer."""
        return [each for each in self._links_by_id.values() if each.is_up]

    def link_to(self, host_id: str) -> links.Link | None:
        """Return the link to a host, whether it answers or not."""
        return self._links_by_id.get(host_id)

    def host_for(self, job: str, zone: str | None = None) -> str:
        """Return the id of the host that should run ``job``; '' if none can.

        Prefers hosts that reach the store, then hosts of ``zone``, then large
        hosts. This host is chosen while it drains only if no other host can
        run the job, and other hosts are never chosen while they drain.
        """
        return _best_host(self._candidate_ids(zone), job)

    def hosts_for(self, jobs: collections.abc.Iterable[str]) -> list[str]:
        """Return the host of each job; see ``host_for``."""
        candidate_ids = self._candidate_ids(None)
        return [_best_host(candidate_ids, job) for job in jobs]

    def _candidate_ids(self, zone: str | None) -> list[str]:
        """Return the ids of the hosts among which a hash chooses."""
        candidate_ids = self.candidate_ids(zone)
        return [
            each for each in candidate_ids if each in self._large_ids
        ] or candidate_ids

    def candidate_ids(self, zone: str | None) -> list[str]:
        """Return the hosts that can run a job, whatever their size.

        Those of ``zone`` if there are any; see ``host_for``.
        """
        cut_off_zones = self._cut_off_zones()
        usable_links = [
            each
            for each in self.up_links()
            if not each.is_draining
            and each.peer.host_id in self._job_host_ids
            and each.peer.zone not in cut_off_zones
        ]
        candidates = [
            (each.peer.host_id, each.peer.zone, each.reaches_store)
            for each in usable_links
        ]
        if self.is_job_host and (not self.is_draining or not candidates):
            candidates.append(
                (self.local.host_id, self.local.zone, self.reaches_store)
            )
        reaching_store = [each for each in candidates if each[2]] or candidates
        preferred_zone = [
            each for each in reaching_store if each[1] == zone
        ] or reaching_store
        return [host_id for host_id, _, _ in preferred_zone]

    def job_links(self) -> list[links.Link]:
        """Return the links to job hosts, whether they answer or not."""
        return [
            each
            for host_id, each in self._links_by_id.items()
            if host_id in self._job_host_ids
        ]

    def gateway_for(self, service: str) -> str:
        """Return the id of the host that last claimed a service's gateway.

        While that host doesn't answer, is draining or in a zone that is cut
        off, returns the host that will take over, which the job hosts choose
        by the same rule. So does it between the moment when a host gives the
        gateway up and the next claim.
        """
        return self.claimed_gateway_for(service) or self.host_for(
            gateway_job(service), self.claimed_zone(service)
        )

    def claimed_zone(self, service: str) -> str | None:
        """Return the zone of the primary by the claim seen last."""
        return self._claimed_zones_by_service.get(service)

    def claimed_gateway_for(self, service: str) -> str:
        """Return the host that last claimed a gateway, if it can run it.

        Otherwise returns ''. A host that hands the gateway over keeps it only
        until its successor claims it.
        """
        newest_link = self._newest_claim(service)
        if newest_link is None:
            return ''
        self._claimed_zones_by_service[service] = (
            newest_link.claims.zones_by_service[service]
        )
        if self._claim_obstacle(newest_link):
            return ''
        return newest_link.peer.host_id

    def claimed_gateway(self, service: str) -> tuple[str, str]:
        """Return what ``gateway_for`` would return, and why it is that."""
        newest_link = self._newest_claim(service)
        if newest_link is None:
            zone = self.claimed_zone(service)
            obstacle = 'no host claims the gateway'
        else:
            zone = newest_link.claims.zones_by_service[service]
            obstacle = self._claim_obstacle(newest_link)
            if not obstacle:
                return newest_link.peer.host_id, 'it claims the gateway'
        return (
            self.host_for(gateway_job(service), zone),
            f'{obstacle}; chosen among the job hosts',
        )

    def is_claimed(self, service: str) -> bool:
        """Tell whether a host that can run a gateway claims it."""
        newest_link = self._newest_claim(service)
        return newest_link is not None and not self._claim_obstacle(
            newest_link
        )

    def _newest_claim(self, service: str) -> links.Link | None:
        """Return the link to the host that last claimed a gateway."""
        return max(
            (
                each
                for each in self._links_by_id.values()
                if service in each.claims.zones_by_service
            ),
            key=lambda each: (
                service not in each.claims.successors_by_service,
                each.claims_received_ms,
            ),
            default=None,
        )

    def _claim_obstacle(self, link: links.Link) -> str:
        """Return why the host that claims a gateway can't run it, or ''."""
        if not link.is_up:
            return 'the host that claims the gateway does not answer'
        if link.is_draining:
            return 'the host that claims the gateway is stopping'
        if self._is_in_cut_off_zone(link):
            return 'the zone of the claiming host is cut off'
        return ''

    def observed_positions(
        self, service: str
    ) -> list[tuple[int, types.Position]]:
        """Return what gateway hosts told about the log of a service.

        Each position covers all commits until the moment before it.
        """
        return [
            link.observed_by_service[service]
            for link in self._links_by_id.values()
            if service in link.observed_by_service
        ]

    def sole_primary_evidence(self, service: str) -> list[tuple[int, int]]:
        """Return what gateway hosts told about the primary of a service.

        Nothing could replace the primary of each term until the moment before
        it.
        """
        return [
            link.sole_primary_by_service[service]
            for link in self._links_by_id.values()
            if service in link.sole_primary_by_service
        ]

    def observed_limits(
        self, service: str
    ) -> dict[catalog_module.TargetStart, int]:
        """Return the limits of targets that a gateway host told last."""
        newest_ms, limits_by_start = max(
            (
                link.limits_by_service[service]
                for link in self._links_by_id.values()
                if service in link.limits_by_service
            ),
            key=lambda each: each[0],
            default=(0, {}),
        )
        if self._clock.now() - newest_ms > MAX_LIMIT_AGE_MS:
            return {}
        return limits_by_start

    def may_become_gateway_host(self, host_id: str) -> bool:
        return host_id in self._job_host_ids

    def settled_departures(
        self,
    ) -> dict[catalog_module.TargetStart, catalog_module.RegistryMoment]:
        """Return the departures of targets that gateway hosts call settled.

        With the latest moment at which one of them saw the target absent.
        """
        latest: dict[
            catalog_module.TargetStart, catalog_module.RegistryMoment
        ] = {}
        for link in self._links_by_id.values():
            for start, moment in link.claims.settled_departures.items():
                latest[start] = max(moment, latest.get(start, moment))
        return latest

    @property
    def is_isolated(self) -> bool:
        """Tell whether this host is cut off from the fleet.

        It is if all hosts in most of the other zones are silent, or if no
        host of another zone has answered for ``ISOLATED_AFTER_MS``. Hosts
        whose process has ended refuse connections and count only in the
        second case: after many hosts were killed the remaining ones must
        continue to serve callers. All hosts of a zone must come to the same
        answer soon: the load balancer uses unready hosts while a host of
        their zone is ready.
        """
        links_by_zone = self._links_by_other_zone()
        if not links_by_zone:
            # All hosts are in one zone.
            silent_count = sum(
                each.is_silent and not each.is_up
                for each in self._links_by_id.values()
            )
            return 2 * silent_count > len(self._links_by_id) + 1
        silent_zone_count = sum(
            _are_silent(zone_links) for zone_links in links_by_zone.values()
        )
        if 2 * silent_zone_count > len(links_by_zone):
            return True
        cutoff_ms = self._clock.now() - ISOLATED_AFTER_MS
        return all(
            not each.is_up and each.last_answer_ms < cutoff_ms
            for zone_links in links_by_zone.values()
            for each in zone_links
        )

    def is_cut_off_from(self, link: links.Link) -> bool:
        """Tell whether work sent over ``link`` would only wait for its end.

        A single silent host may just be slow, so that alone doesn't count.
        """
        return link.is_silent_for(SILENT_ZONE_MS) and self.is_isolated

    def _cut_off_zones(self) -> frozenset[str]:
        """Return the other zones in which several hosts are all silent.

        Kept for one millisecond, since a ping round asks once for each
        account.
        """
        now = self._clock.now()
        computed_ms, zones = self._cut_off_zones_memo
        if computed_ms != now:
            zones = frozenset(
                zone
                for zone, zone_links in self._links_by_other_zone().items()
                if _is_cut_off(zone_links)
            )
            self._cut_off_zones_memo = (now, zones)
        return zones

    def _is_in_cut_off_zone(self, link: links.Link) -> bool:
        """Tell whether a link's zone is one of ``_cut_off_zones``.

        Compares the links to that zone only: each statement asks for this.
        """
        zone = link.peer.zone
        return (
            zone != self.local.zone
            and link.is_silent_for(SILENT_ZONE_MS)
            and _is_cut_off(
                [
                    each
                    for each in self._links_by_id.values()
                    if each.peer.zone == zone and each.has_been_tried
                ]
            )
        )

    def _links_by_other_zone(self) -> dict[str, list[links.Link]]:
        """Return the links to hosts of other zones, by zone.

        Without links that haven't been tried yet, of which nothing is known.
        """
        links_by_zone: dict[str, list[links.Link]] = {}
        for each in self._links_by_id.values():
            if each.peer.zone != self.local.zone and each.has_been_tried:
                links_by_zone.setdefault(each.peer.zone, []).append(each)
        return links_by_zone

    def is_zone_silent(self, zone: str) -> bool:
        """Tell whether all hosts of another zone have gone silent."""
        zone_links = self._links_by_other_zone().get(zone, [])
        return bool(zone_links) and _are_silent(zone_links)

    def add_host(self, hello: frames.Hello) -> None:
        """Add a new host, or replace the record of one that has changed.

        When many hosts start, the choice of job hosts is computed once for
        all that were added since the last round of pings.
        """
        self._record_host(hello)
        if (
            hello.host_id in self._job_host_ids
            or self.host_count <= job_hosts.MAX_FULL_MESH_HOSTS + 1
        ):
            self._choose_if_due()

    def add_hosts(
        self, hellos: collections.abc.Iterable[frames.Hello]
    ) -> None:
        """Add or replace hosts, all of them before any link is opened."""
        for hello in hellos:
            self._record_host(hello)
        self._choose_if_due()

    def _record_host(self, hello: frames.Hello) -> None:
        # Incarnations are compared for equality, not order: they are wall
        # clock times, which may go back between two starts.
        if hello.host_id == self.local.host_id or (
            self._hosts_by_id.get(hello.host_id) == hello
        ):
            return
        self._hosts_by_id[hello.host_id] = hello
        self._close_link(hello.host_id)
        self._added_ids.append(hello.host_id)

    def _choose_if_due(self) -> None:
        if not self._added_ids:
            return
        _log.info(
            'hosts_added',
            count=len(self._added_ids),
            first=self._added_ids[:MAX_LOGGED_HOSTS],
            known=self.host_count,
        )
        self._choose_job_hosts()

    def _choose_job_hosts(self) -> None:
        """Choose job hosts and token sources, and link to new job hosts."""
        self._added_ids.clear()
        self._encoded_directory = None
        self._is_directory_due = True
        hosts = self._hosts_by_id.values()
        if self._size is not None:
            self._size = self._size.merge(job_hosts.measure(hosts))
        self._large_ids = job_hosts.large_host_ids(hosts, self._size)
        self._token_source_ids = job_hosts.choose_job_hosts(
            hosts, size=self._size
        )
        self.fleet_digest = job_hosts.digest(self._token_source_ids)
        self._replace_dead_job_hosts(self._dead_ids())

    def _dead_ids(self) -> frozenset[str]:
        now = self._clock.now()
        return frozenset(
            host_id
            for host_id, link in self._links_by_id.items()
            if not link.is_up and now - link.last_answer_ms > DEAD_AFTER_MS
        )

    def _find_silent_ids(self) -> frozenset[str]:
        """Return the hosts to mark as silent in the directory.

        None if most hosts don't answer: this host may be cut off itself.
        """
        now = self._clock.now()
        silent_ids = frozenset(
            host_id
            for host_id, link in self._links_by_id.items()
            if not link.is_up
            and now - link.last_answer_ms > SILENT_MARK_AFTER_MS
        )
        if 2 * len(silent_ids) >= len(self._links_by_id):
            return frozenset()
        return silent_ids

    def _build_directory(self) -> directory.Directory:
        return directory.build(self._hosts_by_id.values(), self._silent_ids)

    def _replace_dead_job_hosts(self, dead_ids: frozenset[str]) -> None:
        self._last_dead_ids = dead_ids
        hosts = self._hosts_by_id.values()
        chosen_ids = (
            job_hosts.choose_job_hosts(hosts, dead_ids, self._size)
            if dead_ids
            else self._token_source_ids
        )
        if chosen_ids != self._job_host_ids:
            _log.info(
                'job_hosts_changed',
                hosts=sorted(chosen_ids),
                dead=sorted(dead_ids),
                known=self.host_count,
            )
        self._job_host_ids = chosen_ids
        for host_id in chosen_ids - self._links_by_id.keys():
            if host_id != self.local.host_id:
                self._add_link(self._hosts_by_id[host_id])

    def _update_links(self) -> None:
        """Replace dead job hosts; close unused links to other hosts."""
        self._choose_if_due()
        dead_ids = self._dead_ids()
        if dead_ids != self._last_dead_ids:
            self._replace_dead_job_hosts(dead_ids)
        silent_ids = self._find_silent_ids()
        if silent_ids != self._silent_ids:
            self._silent_ids = silent_ids
            self._encoded_directory = None
            self._is_directory_due = True
        cutoff_ms = self._clock.now() - UNUSED_LINK_KEPT_MS
        for host_id, link in list(self._links_by_id.items()):
            if (
                host_id not in self._job_host_ids
                and link.last_used_ms < cutoff_ms
            ):
                self._close_link(host_id)

    def _add_link(self, hello: frames.Hello) -> None:
        link = links.Link(
            hello,
            self.local,
            self._clock,
            self._handle_link_change,
            self._counters,
        )
        self._links_by_id[hello.host_id] = link
        self._tasks_by_id[hello.host_id] = asyncio.create_task(link.run())

    def _close_link(self, host_id: str) -> None:
        link = self._links_by_id.pop(host_id, None)
        if link is None:
            return
        link.stop()
        self._tasks_by_id.pop(host_id).cancel()

    def _handle_link_change(self) -> None:
        for host_id, link in self._links_by_id.items():
            if self._was_up_by_id.get(host_id, False) == link.is_up:
                continue
            self._was_up_by_id[host_id] = link.is_up
            if link.is_up:
                self._last_link_up_ms = self._clock.now()
            event = 'host_reachable' if link.is_up else 'host_unreachable'
            _log.info(event, peer=host_id, zone=link.peer.zone)
        self._on_change()

    async def ping_forever(
        self,
        start_round: StartRound,
    ) -> None:
        """Ping all linked hosts until the task is cancelled.

        ``start_round`` is called before each round.
        """
        while True:
            self._update_links()
            self._compare_digests()
            self._find_hosts_that_answer()
            self._compare_directory()
            self.ping_once(start_round)
            await self._clock.sleep(PING_INTERVAL_MS)

    def _compare_digests(self) -> None:
        """Ask for the rows if job hosts know of others than this host does."""
        differs = any(
            each.fleet_digest not in (0, self.fleet_digest)
            for each in self.up_links()
            if each.peer.host_id in self._job_host_ids
        )
        if not differs:
            self._differs_since_ms = None
            self._reread_interval_ms = MIN_REREAD_INTERVAL_MS
            self._difference_reads = 0
            return
        now = self._clock.now()
        if self._differs_since_ms is None:
            self._differs_since_ms = now
        if (
            now - self._differs_since_ms >= DIFFERENCE_KEPT_MS
            and now - self._last_read_ms >= self._reread_interval_ms
        ):
            self._reread_interval_ms = min(
                2 * self._reread_interval_ms, MAX_REREAD_INTERVAL_MS
            )
            self._difference_reads += 1
            self._reread_wanted.set()

    def _find_hosts_that_answer(self) -> None:
        """Ask for the rows if no host of the directory answers."""
        if self._size is None or any(
            each.peer.host_id in self._job_host_ids for each in self.up_links()
        ):
            self._no_answer_reads = 0
            return
        # After a loss of power most hosts wait for the same few.
        spread = rendezvous.score(self.local.host_id, DIRECTORY_JOB)[0] / 256
        interval_ms = MIN_NO_ANSWER_MS * 2**self._no_answer_reads
        if self._clock.now() - self._last_read_ms >= min(
            interval_ms * (1 + spread), MAX_NO_ANSWER_MS
        ):
            self._no_answer_reads += 1
            self._reread_wanted.set()

    def _compare_directory(self) -> None:
        """Ask for a comparison with the directory if that is due here."""
        if self.is_job_host and self._size is not None:
            # A job host needs the rows of all hosts.
            self._reread_wanted.set()
        if not self._maintains_directory:
            self._is_directory_due = True
            return
        due_ms = self._directory_compared_ms + DIRECTORY_INTERVAL_MS
        if self._is_directory_due and self._clock.now() >= due_ms:
            self._reread_wanted.set()

    @property
    def _maintains_directory(self) -> bool:
        """Tell whether this host writes the directory of job hosts."""
        return (
            self.is_job_host
            and self._size is None
            and self.is_settled
            and not self.is_draining
            and self.host_for(DIRECTORY_JOB) == self.local.host_id
        )

    def ping_once(self, start_round: StartRound) -> None:
        """Start a round and ping the hosts whose ping is due in it."""
        ping_round = start_round()
        for link in self._links_to_ping(ping_round):
            was_up = link.is_up
            link.ping(ping_round.build_ping(link))
            if was_up and not link.is_up:
                self._handle_link_change()

    def _links_to_ping(self, ping_round: PingRound) -> list[links.Link]:
        """Return the links whose ping is due in a round.

        Job hosts ping every link in every round, because they choose by the
        answers which host runs which job.
        """
        all_links = self._links_by_id.values()
        if self.is_job_host:
            return list(all_links)
        return ping_schedule.due_links(
            all_links,
            self.local.zone,
            self._clock.now(),
            ping_round.required_host_ids,
        )

    async def register_forever(self) -> None:
        """Renew this host's row in the store and read those of other hosts.

        Runs until the task is cancelled.
        """
        has_failed = False
        is_first = True
        while True:
            try:
                if is_first:
                    await self._join_fleet()
                else:
                    await self._write_row()
                    self._rejected_version = 0
                    await self._read_fleet()
                is_first = False
                await self._reread_until_renewal()
            except exceptions.PlatformError as error:
                if not has_failed:
                    _log.warning('host_registration_failed', reason=str(error))
                has_failed = True
                await self._clock.sleep(STORE_RETRY_MS)
                continue
            has_failed = False

    async def _join_fleet(self) -> None:
        """Register this host and read the rows of other hosts.

        The store writes the rows of hosts that start together one after the
        other. A host that finds its row of an earlier start doesn't wait for
        its turn, since the rows of the others are there as well. Nor does one
        that does no job by the rows of a large fleet. Otherwise it waits: the
        others could not know of it, and it would choose itself for every job.
        """
        write = asyncio.create_task(self._write_row())
        try:
            if await self._read_directory():
                # This host does no job, so that nobody must know it.
                await write
                return
            feed = await self._store.read(HOSTS_TABLE)
            is_restart = any(
                row.key == self.local.host_id for row in feed.rows
            )
            knows_enough = is_restart or self._does_no_job(feed.rows)
            if knows_enough:
                await self._adopt_rows(feed)
            else:
                # Those that have started before know more when it is written.
                self.add_hosts(_hellos_from_rows(feed.rows))
            await write
            if not knows_enough:
                self._joining_until_ms = self._clock.now() + JOINING_MS
                await self._read_fleet()
        finally:
            write.cancel()
        if self.is_job_host:
            await self._clock.sleep(SECOND_READ_DELAY_MS)
            await self._read_rows()

    def _does_no_job(
        self, rows: collections.abc.Iterable[store_module.Row]
    ) -> bool:
        """Tell whether this host does no job if these rows are the fleet."""
        hosts = {each.host_id: each for each in _hellos_from_rows(rows)}
        hosts[self.local.host_id] = self.local
        return self.local.host_id not in job_hosts.choose_job_hosts(
            hosts.values()
        )

    async def _reread_until_renewal(self) -> None:
        """Read the rows whenever that is wanted, until the row is renewed.

        The host that maintains the directory also writes that.
        """
        renew_at_ms = self._clock.now() + self._renew_ms
        while True:
            remaining_ms = renew_at_ms - self._clock.now()
            self._reread_wanted.clear()
            try:
                async with asyncio.timeout(max(0, remaining_ms) / 1000):
                    await self._reread_wanted.wait()
            except TimeoutError:
                return
            if self._maintains_directory and self._is_directory_due:
                await self._write_directory()
                continue
            _log.info('hosts_read_again', known=self.host_count)
            await self._read_fleet()

    @property
    def _renew_ms(self) -> int:
        return JOB_HOST_RENEW_MS if self.is_job_host else OTHER_HOST_RENEW_MS

    async def _write_row(self) -> None:
        value = {
            'zone': self.local.zone,
            'address': self.local.address,
            'port': self.local.port,
            'incarnation': self.local.incarnation,
            'millicores': self.local.capacity.millicores,
            'link_kbps': self.local.capacity.link_kbps,
            'renew_ms': self._renew_ms,
        }
        await self._store.put(
            HOSTS_TABLE,
            self.local.host_id,
            json.dumps(value, separators=(',', ':')).encode(),
            None,
        )

    async def _read_fleet(self) -> None:
        """Read what this host needs to know of the others."""
        if (
            (self.is_job_host and not self._is_joining)
            or self._difference_reads > MAX_DIRECTORY_READS
            or self._no_answer_reads > 1
        ):
            if self._size is not None:
                self._rejected_version = self._adopted_version
            await self._read_rows()
            return
        if await self._request_directory():
            return
        if (
            self.knows_fleet and self.is_job_host
        ) or not await self._read_directory():
            await self._read_rows()

    @property
    def _is_joining(self) -> bool:
        """Tell whether this host may do jobs only because it knows few hosts.

        Later on, and after a restart, it leaves jobs only by the rows of all
        hosts.
        """
        return (
            not self.knows_fleet or self._clock.now() < self._joining_until_ms
        )

    async def _request_directory(self) -> bool:
        """Get the directory from a host that chooses other job hosts.

        Its row in the store is written only after those of hosts that start at
        the same time. Returns whether it was adopted.
        """
        own_digest = self.fleet_digest if self.knows_fleet else 0
        differing_links = [
            each
            for each in self.up_links()
            if each.answers_directory
            and each.fleet_digest not in (0, own_digest)
            and each.peer.host_id in self._job_host_ids
        ]
        if not differing_links:
            return False
        # Each host prefers another one.
        link = max(
            differing_links,
            key=lambda each: rendezvous.score(
                each.peer.host_id, self.local.host_id
            ),
        )
        answer = await link.request(
            frames.DirectoryRequest, DIRECTORY_TIMEOUT_MS
        )
        match answer:
            case frames.Directory() if answer.value:
                found = directory.decode(answer.value)
            case frames.Directory():
                return False
            case exceptions.Sentinel():
                found = answer
            case _:
                return False
        if isinstance(found, exceptions.Sentinel):
            _log.info(
                'directory_not_fetched',
                peer=link.peer.host_id,
                reason=found.reason,
            )
            return False
        if self.is_job_host and found.size.host_count <= self.host_count:
            return False
        return self._adopt_directory(found)

    @property
    def directory_value(self) -> bytes:
        """Return the directory for other hosts; empty if it isn't known."""
        if self._size is not None or not self.knows_fleet:
            return b''
        if self._encoded_directory is None:
            self._choose_if_due()
            self._encoded_directory = directory.encode(self._build_directory())
        return self._encoded_directory

    async def _read_directory(self) -> bool:
        """Adopt the directory of job hosts; return whether that suffices.

        It doesn't for job hosts, and in small fleets.
        """
        found = await self._fetch_directory()
        if found is None or found[0] == self._rejected_version:
            return False
        self._adopted_version = found[0]
        self._marked_ids = found[1].silent_ids
        return self._adopt_directory(found[1])

    def _is_contradicted(self, token_source_ids: frozenset[str]) -> bool:
        """Tell whether no job host that answers makes the same choice.

        The row of the directory is out of date then: hosts of earlier releases
        don't maintain it.
        """
        digests = {
            each.fleet_digest
            for each in self.up_links()
            if each.peer.host_id in self._job_host_ids
        } - {0}
        return bool(digests) and (
            job_hosts.digest(token_source_ids) not in digests
        )

    def _adopt_directory(self, found: directory.Directory) -> bool:
        """Adopt a directory; return whether it suffices for this host."""
        hosts = {each.host_id: each for each in found.hosts}
        hosts[self.local.host_id] = self.local
        size = found.size.merge(job_hosts.measure(hosts.values()))
        chosen_ids = job_hosts.choose_job_hosts(hosts.values(), size=size)
        if self.local.host_id in chosen_ids or self._is_contradicted(
            chosen_ids
        ):
            return False
        now = self._clock.now()
        self._size = size
        self._rows_by_id.clear()
        self._rows_version = None
        self._seen_versions_by_id.clear()
        self._last_read_ms = now
        for host_id in self._hosts_by_id.keys() - hosts.keys():
            if not self._is_reachable(host_id):
                del self._hosts_by_id[host_id]
                self._close_link(host_id)
        for hello in hosts.values():
            known = self._hosts_by_id.get(hello.host_id)
            # What a host said of itself is newer than the directory.
            if not self._is_reachable(hello.host_id) and (
                known is None
                or dataclasses.replace(known, incarnation=0) != hello
            ):
                self._record_host(hello)
        self._directory_ids = frozenset(hosts) - {self.local.host_id}
        self._choose_job_hosts()
        if self._first_read_ms is None:
            self._first_read_ms = now
        return True

    async def _fetch_directory(self) -> tuple[int, directory.Directory] | None:
        """Return the directory and its version; None if there is none."""
        feed = await self._store.read(directory.TABLE)
        for row in feed.rows:
            if row.key != directory.KEY:
                continue
            found = directory.decode(row.value)
            if isinstance(found, exceptions.Sentinel):
                _log.warning('directory_unreadable', reason=found.reason)
                found = directory.build([])
            return row.version, found
        return None

    async def _write_directory(self) -> None:
        """Write the directory if it isn't what the rows of all hosts say.

        The rows are read just before: this host may have been suspended.
        """
        self._directory_compared_ms = self._clock.now()
        await self._read_rows()
        if not self._maintains_directory:
            return
        built = self._build_directory()
        version, found = await self._fetch_directory() or (0, None)
        if found == built or (
            found is None
            and built.size.host_count <= job_hosts.MAX_FULL_MESH_HOSTS
        ):
            self._is_directory_due = built != self._build_directory()
            return
        result = await self._store.put(
            directory.TABLE, directory.KEY, directory.encode(built), version
        )
        if isinstance(result, store_module.Conflict):
            # Another host wrote it meanwhile; compared again later.
            return
        self._is_directory_due = built != self._build_directory()
        _log.info(
            'directory_written',
            hosts=len(built.hosts),
            known=built.size.host_count,
            silent=sorted(built.silent_ids),
        )

    async def _read_rows(self) -> None:
        """Read the rows of all hosts, or what has changed in them."""
        if self._rows_version is not None:
            feed = await self._store.changes(
                HOSTS_TABLE, self._rows_version, 0
            )
            if feed != 'forgotten':
                for row in feed.rows:
                    if row.is_deleted:
                        self._rows_by_id.pop(row.key, None)
                    else:
                        self._rows_by_id[row.key] = row
                self._rows_version = feed.version
                await self._apply_rows()
                return
        await self._adopt_rows(await self._store.read(HOSTS_TABLE))

    async def _adopt_rows(self, feed: store_module.TableRows) -> None:
        self._rows_by_id = {row.key: row for row in feed.rows}
        self._rows_version = feed.version
        await self._apply_rows()

    async def _apply_rows(self) -> None:
        """Adopt the rows of all hosts; forget those that are gone."""
        now = self._clock.now()
        self._size = None
        for host_id in self._directory_ids - self._rows_by_id.keys():
            if not self._is_reachable(host_id):
                self._hosts_by_id.pop(host_id, None)
                self._close_link(host_id)
        self._directory_ids = frozenset()
        if now - self._last_read_ms > self._renew_ms * MAX_MISSED_RENEWALS:
            # The store was unavailable, so no host could renew its row.
            self._seen_versions_by_id.clear()
        self._last_read_ms = now
        hellos = []
        removed_rows = []
        for row in self._rows_by_id.values():
            seen_version, since_ms = self._seen_versions_by_id.get(
                row.key, (0, 0)
            )
            is_new = row.version != seen_version
            if is_new:
                since_ms = now
            self._seen_versions_by_id[row.key] = (row.version, since_ms)
            if is_new:
                self._renew_ms_by_id.pop(row.key, None)
                model = _decode_row(row)
                if model is None:
                    continue
                self._renew_ms_by_id[row.key] = model.renew_ms
                hellos.append(_hello_from_row(row.key, model))
                continue
            if now - since_ms > self._expiry_ms(
                row.key
            ) and not self._is_reachable(row.key):
                removed_rows.append(row)
        self._remove_deleted(set(self._rows_by_id))
        self.add_hosts(hellos)
        if self._first_read_ms is None:
            self._first_read_ms = now
        await self._remove_hosts(removed_rows)

    def _expiry_ms(self, host_id: str) -> float:
        """Return how long the row of a host may stay as it is.

        The first row of a host that does no job announces the renewals of a
        job host: it didn't know the fleet when it was written. Job hosts have
        no link to it that would show that it runs.
        """
        renew_ms = self._renew_ms_by_id.get(host_id)
        if renew_ms is None:
            return math.inf
        if host_id not in self._job_host_ids:
            renew_ms = max(renew_ms, OTHER_HOST_RENEW_MS)
        return renew_ms * (MAX_MISSED_RENEWALS + 1)

    def _remove_deleted(self, present_ids: set[str]) -> None:
        """Remove hosts whose row another host has deleted."""
        removed_ids = [
            host_id
            for host_id in self._seen_versions_by_id.keys() - present_ids
            if not self._is_reachable(host_id)
        ]
        for host_id in removed_ids:
            del self._seen_versions_by_id[host_id]
            if self._hosts_by_id.pop(host_id, None) is not None:
                _log.info('host_removed', peer=host_id)
            self._close_link(host_id)
        if removed_ids:
            self._choose_job_hosts()

    def _is_reachable(self, host_id: str) -> bool:
        link = self._links_by_id.get(host_id)
        return host_id == self.local.host_id or (
            link is not None and link.is_up
        )

    async def _remove_hosts(
        self, rows: collections.abc.Sequence[store_module.Row]
    ) -> None:
        """Forget hosts that are gone; job hosts delete their rows."""
        was_known = False
        for row in rows:
            if self._hosts_by_id.pop(row.key, None) is not None:
                was_known = True
                _log.info('host_removed', peer=row.key)
            self._close_link(row.key)
        if was_known:
            self._choose_job_hosts()
        for row in rows:
            if self.is_job_host:
                await self._store.delete(HOSTS_TABLE, row.key, row.version)

    def stop(self) -> None:
        """Close all links."""
        for link in self._links_by_id.values():
            link.stop()
        for task in self._tasks_by_id.values():
            task.cancel()


def _best_host(candidate_ids: collections.abc.Iterable[str], job: str) -> str:
    return max(
        candidate_ids,
        key=lambda host_id: rendezvous.score(host_id, job),
        default='',
    )


def _is_cut_off(zone_links: collections.abc.Collection[links.Link]) -> bool:
    """Tell whether a zone is cut off, by the links to its hosts.

    That shows a cut sooner than the state of each link does. A single host
    may just be slow.
    """
    return len(zone_links) > 1 and _are_silent(zone_links)


def _are_silent(zone_links: collections.abc.Iterable[links.Link]) -> bool:
    return all(each.is_silent_for(SILENT_ZONE_MS) for each in zone_links)


def gateway_job(service: str) -> str:
    """Return the name of the job of being the gateway of a service."""
    return f'gateway/{service}'


def _decode_row(row: store_module.Row) -> _RowModel | None:
    try:
        return _RowModel.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        _log.warning('host_row_unreadable', peer=row.key, reason=str(error))
        return None


def _hellos_from_rows(
    rows: collections.abc.Iterable[store_module.Row],
) -> list[frames.Hello]:
    return [
        _hello_from_row(row.key, model)
        for row in rows
        if (model := _decode_row(row)) is not None
    ]


def _hello_from_row(host_id: str, model: _RowModel) -> frames.Hello:
    return frames.Hello(
        host_id,
        model.zone,
        model.address,
        model.port,
        model.incarnation,
        node_settings.Capacity(model.millicores, model.link_kbps),
    )
