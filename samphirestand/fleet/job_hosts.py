"""Chooses the job hosts from the registered hosts.

A job host may run jobs for the whole fleet, such as being the gateway of a
service.
"""

import collections
import collections.abc
import dataclasses
import hashlib

from samphirestand.fleet import frames
from samphirestand.hosts import rendezvous

__all__ = [
    'MAX_FULL_MESH_HOSTS',
    'FleetSize',
    'candidates',
    'choose_job_hosts',
    'digest',
    'large_host_ids',
    'measure',
]

# Live job hosts in each zone: enough that two of them may fail at once.
JOB_HOSTS_PER_ZONE = 3

# In fleets of up to this many hosts all are job hosts, with links between all.
MAX_FULL_MESH_HOSTS = 12

# The most hosts chosen in a zone, dead ones included. All hosts connect to
# these, so it limits connection attempts when a whole zone has failed.
MAX_CHOSEN_PER_ZONE = 2 * JOB_HOSTS_PER_ZONE

# Hosts with less than this share of the most processor capacity or link
# bandwidth of any host are job hosts only where no larger host is left.
MIN_LARGE_HOST_SHARE = 0.5

# The key of the rendezvous hash that orders hosts of the same size class.
RANKING_KEY = 'job-host'


@dataclasses.dataclass(frozen=True)
class FleetSize:
    """What the choice depends on apart from the hosts that may be chosen."""

    host_count: int
    max_millicores: int
    max_link_kbps: int

    def merge(self, other: 'FleetSize') -> 'FleetSize':
        """Return the larger of both, field by field."""
        return FleetSize(
            max(self.host_count, other.host_count),
            max(self.max_millicores, other.max_millicores),
            max(self.max_link_kbps, other.max_link_kbps),
        )


def measure(hosts: collections.abc.Collection[frames.Hello]) -> FleetSize:
    """Return the size of a fleet of which all hosts are known."""
    return FleetSize(
        len(hosts),
        max((each.capacity.millicores for each in hosts), default=0),
        max((each.capacity.link_kbps for each in hosts), default=0),
    )


def large_host_ids(
    hosts: collections.abc.Collection[frames.Hello],
    size: FleetSize | None = None,
) -> frozenset[str]:
    """Return the ids of hosts with enough processor and link for a gateway.

    ``size`` is that of the fleet, if ``hosts`` aren't all of its hosts.
    """
    size = size or measure(hosts)
    min_millicores = MIN_LARGE_HOST_SHARE * size.max_millicores
    min_link_kbps = MIN_LARGE_HOST_SHARE * size.max_link_kbps
    return frozenset(
        each.host_id
        for each in hosts
        if each.capacity.millicores >= min_millicores
        and each.capacity.link_kbps >= min_link_kbps
    )


def candidates(
    hosts: collections.abc.Collection[frames.Hello],
    size: FleetSize | None = None,
) -> list[frames.Hello]:
    """Return the hosts of each zone that may be chosen, the best first.

    A choice among these with the ``size`` of the fleet is the same as one
    among all of its hosts.
    """
    large_ids = large_host_ids(hosts, size)
    hosts_by_zone: dict[str, list[frames.Hello]] = collections.defaultdict(
        list
    )
    for each in hosts:
        hosts_by_zone[each.zone].append(each)
    return [
        each
        for _, zone_hosts in sorted(hosts_by_zone.items())
        for each in sorted(
            zone_hosts,
            key=lambda each: (
                each.host_id in large_ids,
                rendezvous.score(each.host_id, RANKING_KEY),
            ),
            reverse=True,
        )[:MAX_CHOSEN_PER_ZONE]
    ]


def choose_job_hosts(
    hosts: collections.abc.Collection[frames.Hello],
    dead_ids: collections.abc.Container[str] = frozenset(),
    size: FleetSize | None = None,
) -> frozenset[str]:
    """Return the ids of the job hosts, dead ones included.

    All hosts that see the same registrations and the same dead hosts make the
    same choice. For each dead job host the next host of its zone is added, up
    to ``MAX_CHOSEN_PER_ZONE``. ``size`` is that of the fleet, if ``hosts``
    aren't all of its hosts.
    """
    host_count = len(hosts) if size is None else size.host_count
    if host_count <= MAX_FULL_MESH_HOSTS:
        return frozenset(each.host_id for each in hosts)
    chosen_ids: list[str] = []
    alive_count_by_zone: collections.Counter[str] = collections.Counter()
    for each in candidates(hosts, size):
        if alive_count_by_zone[each.zone] < JOB_HOSTS_PER_ZONE:
            chosen_ids.append(each.host_id)
            alive_count_by_zone[each.zone] += each.host_id not in dead_ids
    return frozenset(chosen_ids)


def digest(host_ids: collections.abc.Iterable[str]) -> int:
    """Return 32 bits by which hosts compare their choices of job hosts."""
    text = '\0'.join(sorted(host_ids)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())
