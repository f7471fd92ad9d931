"""Which hosts do jobs for the fleet, decided from the registered hosts."""

import collections
import collections.abc

from samphirestand.fleet import frames
from samphirestand.hosts import rendezvous

__all__ = ['choose_job_hosts', 'large_host_ids']

# Hosts of a zone that do jobs: enough that two of them may fail at once.
JOB_HOSTS_PER_ZONE = 3

# Fleets of up to this many hosts have links between all of them.
SMALL_FLEET = 12

# Hosts of a zone that are dialled while some of its job hosts are dead. It
# bounds the dialling when a whole zone is gone.
MOST_PER_ZONE = 2 * JOB_HOSTS_PER_ZONE

# Hosts with less than this part of the largest processor or link do jobs
# only where no larger one is left.
LARGE_SHARE = 0.5

# The job under which hosts of equal size are ordered.
RANK_KEY = 'job-host'


def large_host_ids(
    hosts: collections.abc.Collection[frames.Hello],
) -> frozenset[str]:
    """Return the ids of the hosts that are large enough for a gateway."""
    most_cores = max((each.capacity.millicores for each in hosts), default=0)
    most_link = max((each.capacity.link_kbps for each in hosts), default=0)
    return frozenset(
        each.host_id
        for each in hosts
        if each.capacity.millicores >= LARGE_SHARE * most_cores
        and each.capacity.link_kbps >= LARGE_SHARE * most_link
    )


def choose_job_hosts(
    hosts: collections.abc.Collection[frames.Hello],
    dead_ids: collections.abc.Container[str] = frozenset(),
) -> frozenset[str]:
    """Return the ids of the hosts that may do jobs, dead ones included.

    All hosts that see the same registrations and the same dead hosts choose
    alike. For each dead host the next one of its zone is added.
    """
    if len(hosts) <= SMALL_FLEET:
        return frozenset(each.host_id for each in hosts)
    large = large_host_ids(hosts)
    by_zone: dict[str, list[frames.Hello]] = collections.defaultdict(list)
    for each in hosts:
        by_zone[each.zone].append(each)
    chosen: list[str] = []
    for members in by_zone.values():
        members.sort(
            key=lambda each: (
                each.host_id in large,
                rendezvous.score(each.host_id, RANK_KEY),
            ),
            reverse=True,
        )
        alive = 0
        for each in members[:MOST_PER_ZONE]:
            if alive == JOB_HOSTS_PER_ZONE:
                break
            chosen.append(each.host_id)
            alive += each.host_id not in dead_ids
    return frozenset(chosen)
