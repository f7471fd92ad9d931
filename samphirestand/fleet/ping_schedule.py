"""Decides which links are pinged in a round, free of I/O.

For a large fleet in the calm, in which most hosts do no job and nearly all of
their links carry requests: pinging each of these links in every round would
cost more than the requests. A host that fails must be noticed as soon as
if it were.
"""

import collections.abc

from samphirestand.fleet import links as links_module

__all__ = [
    'CUT_OFF_SUSPECTED_MS',
    'ROUNDS_PER_IDLE_PING',
    'SUSPICIOUS_MS',
    'due_links',
]

# Links without a sign of trouble are pinged once in about this many rounds, at
# least one in each round: each round thus shows whether hosts are reached.
ROUNDS_PER_IDLE_PING = 16

# When no host of another zone has sent anything for this long, all of them
# are pinged in each round.
CUT_OFF_SUSPECTED_MS = 350

# A link that owes an answer for this long is pinged in each round, as are the
# other links to its zone. Most pings are answered within 50 ms; a round lasts
# longer, so that a ping without an answer is noticed in the next round.
SUSPICIOUS_MS = 100


def due_links(
    links: collections.abc.Collection[links_module.Link],
    local_zone: str,
    now: int,
    required_host_ids: collections.abc.Container[str],
) -> list[links_module.Link]:
    """Return the links to ping in this round of a host without jobs.

    ``required_host_ids`` are hosts that must be pinged. Links that were pinged
    the longest time ago come first.
    """
    if _suspects_cut(links, local_zone, now):
        return list(links)
    silent_zones = {
        each.peer.zone
        for each in links
        if each.peer.zone != local_zone and each.is_silent_for(SUSPICIOUS_MS)
    }
    due = []
    calm = []
    for each in links:
        if (
            not each.is_up
            or each.peer.zone in silent_zones
            or each.peer.host_id in required_host_ids
            or each.owes_answer_for(SUSPICIOUS_MS)
        ):
            due.append(each)
        else:
            calm.append(each)
    calm.sort(key=lambda each: each.last_ping_ms)
    turn_count = max(1, len(calm) // ROUNDS_PER_IDLE_PING)
    return due + calm[:turn_count]


def _suspects_cut(
    links: collections.abc.Iterable[links_module.Link],
    local_zone: str,
    now: int,
) -> bool:
    """Tell whether no host of another zone has sent anything lately."""
    last_answer_ms = max(
        (
            each.last_answer_ms
            for each in links
            if each.peer.zone != local_zone
        ),
        default=None,
    )
    return (
        last_answer_ms is not None
        and now - last_answer_ms > CUT_OFF_SUSPECTED_MS
    )
