"""Which targets may hold a copy of an acknowledged commit.

An acknowledged commit is on the primary and on a replica that confirmed it, so
on two of the holders that the store records for a service, or it is at or
before the position that each new primary must have. A candidate that is the
newest of all holders but one thus has all acknowledged commits.
"""

import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module

__all__ = [
    'Changes',
    'CopyHolder',
    'HoldersById',
    'find_changes',
    'find_missing',
    'to_holder',
    'to_target',
]

# A commit is on two holders, so of one less than all at least one has it.
MAX_MISSING = 1


@dataclasses.dataclass(frozen=True)
class CopyHolder:
    """A target that may hold a copy, and where it can be asked.

    It may have left the registry since it was recorded.
    """

    address: str
    port: int
    started_ms: int  # server's wall clock

    @property
    def endpoint(self) -> tuple[str, int]:
        return self.address, self.port


HoldersById = collections.abc.Mapping[str, CopyHolder]


@dataclasses.dataclass(frozen=True)
class Changes:
    """How the recorded holders differ from the targets that are known.

    Those of ``left_ids`` have gone, or have started again and may lack what
    they had.
    """

    joined_ids: frozenset[str]
    left_ids: frozenset[str]

    def __bool__(self) -> bool:
        return bool(self.joined_ids or self.left_ids)


def to_holder(target: catalog_module.Target) -> CopyHolder:
    """Return the holder that a target is."""
    return CopyHolder(target.address, target.port, target.started_ms)


def to_target(
    target_id: str, service: str, holder: CopyHolder
) -> catalog_module.Target:
    """Return a holder as a target that can be asked, but gets no work."""
    return catalog_module.Target(
        target_id,
        service,
        holder.address,
        holder.port,
        zone='',
        slots=1,
        is_draining=False,
        claims_primary=False,
        started_ms=holder.started_ms,
    )


def find_changes(
    holders_by_id: HoldersById | None,
    reachable: collections.abc.Iterable[catalog_module.Target],
    registered_ids: collections.abc.Set[str],
    silent_ids: collections.abc.Set[str],
) -> Changes:
    """Return which targets have become holders, and which may not be any more.

    For servers that are added, replaced, restarted, lost for good, or cut off
    from the store while they go on confirming commits. ``reachable`` targets
    may confirm commits. A holder has gone if it is neither registered nor
    answers, or if its address belongs to another target now.
    """
    reachable_by_id = {each.target_id: each for each in reachable}
    recorded = holders_by_id or {}
    addresses_in_use = {
        (each.address, each.port) for each in reachable_by_id.values()
    }
    joined_ids = {
        target_id
        for target_id, target in reachable_by_id.items()
        if target_id not in recorded
        or recorded[target_id].endpoint != (target.address, target.port)
    }
    gone_ids = {
        target_id
        for target_id in recorded.keys()
        - reachable_by_id.keys()
        - registered_ids
        if target_id in silent_ids
        or recorded[target_id].endpoint in addresses_in_use
    }
    restarted_ids = {
        target_id
        for target_id, target in reachable_by_id.items()
        if target_id not in joined_ids
        and recorded[target_id].started_ms != target.started_ms
    }
    return Changes(frozenset(joined_ids), frozenset(gone_ids | restarted_ids))


def find_missing(
    holders_by_id: HoldersById | None,
    registered: collections.abc.Iterable[catalog_module.Target],
    unanswered_ids: collections.abc.Set[str],
    answered_ids: collections.abc.Set[str],
    is_settled: collections.abc.Callable[[catalog_module.TargetStart], bool],
) -> frozenset[str]:
    """Return the targets without whose answers nothing may be promoted.

    For crashes in short order and servers that are lost for good, while some
    replicas receive nothing. One holder may be missing, whichever it is; often
    it is the primary that is replaced. A holder that has gone counts as
    answering if a target at its address answers, which has its log.

    ``unanswered_ids`` are those that were asked, or have left lately. While no
    holders are recorded, all of them are needed: whether the primary counts
    among them isn't known. ``is_settled`` tells of a start that has gone
    whether a commit that others confirmed has been acknowledged since.
    """
    if holders_by_id is None:
        return frozenset(unanswered_ids)
    registered_by_id = {each.target_id: each for each in registered}
    answering_endpoints = {
        (each.address, each.port)
        for target_id, each in registered_by_id.items()
        if target_id in answered_ids
    }
    gone_ids = {
        target_id
        for target_id, holder in holders_by_id.items()
        if target_id not in registered_by_id
        and holder.endpoint not in answering_endpoints
        and not is_settled(
            catalog_module.TargetStart(target_id, holder.started_ms)
        )
    }
    missing_ids = (
        registered_by_id.keys() | gone_ids | unanswered_ids
    ) - answered_ids
    if len(missing_ids) <= MAX_MISSING:
        return frozenset()
    return frozenset(missing_ids)
