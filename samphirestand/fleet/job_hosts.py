"""Chooses the job hosts from the registered hosts.

A job host may run jobs for the whole fleet, such as being the gateway of a
service.
"""

import collections
import collections.abc
import hashlib

from samphirestand.fleet import frames
from samphirestand.hosts import rendezvous

__all__ = ['choose_job_hosts', 'digest', 'large_host_ids']

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


def large_host_ids(
    hosts: collections.abc.Collection[frames.Hello],
) -> frozenset[str]:
    """Return the ids of hosts with enough processor and link for a gateway."""
    max_millicores = max(
        (each.capacity.millicores for each in hosts), default=0
    )
    max_link_kbps = max((each.capacity.link_kbps for each in hosts), default=0)
    return frozenset(
        each.host_id
        for each in hosts
        if each.capacity.millicores >= MIN_LARGE_HOST_SHARE * max_millicores
        and each.capacity.link_kbps >= MIN_LARGE_HOST_SHARE * max_link_kbps
    )


def choose_job_hosts(
    hosts: collections.abc.Collection[frames.Hello],
    dead_ids: collections.abc.Container[str] = frozenset(),
) -> frozenset[str]:
    """Return the ids of the job hosts, dead ones included.

    All hosts that see the same registrations and the same dead hosts make the
    same choice. For each dead job host the next host of its zone is added, up
    to ``MAX_CHOSEN_PER_ZONE``.
    """
    if len(hosts) <= MAX_FULL_MESH_HOSTS:
        return frozenset(each.host_id for each in hosts)
    large_ids = large_host_ids(hosts)
    hosts_by_zone: dict[str, list[frames.Hello]] = collections.defaultdict(
        list
    )
    for each in hosts:
        hosts_by_zone[each.zone].append(each)
    chosen_ids: list[str] = []
    for zone_hosts in hosts_by_zone.values():
        zone_hosts.sort(
            key=lambda each: (
                each.host_id in large_ids,
                rendezvous.score(each.host_id, RANKING_KEY),
            ),
            reverse=True,
        )
        alive_count = 0
        for each in zone_hosts[:MAX_CHOSEN_PER_ZONE]:
            if alive_count == JOB_HOSTS_PER_ZONE:
                break
            chosen_ids.append(each.host_id)
            alive_count += each.host_id not in dead_ids
    return frozenset(chosen_ids)


def digest(host_ids: collections.abc.Iterable[str]) -> int:
    """Return 32 bits by which hosts compare their choices of job hosts."""
    text = '\0'.join(sorted(host_ids)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())
