"""Keeps the holders of copies that the store records up to date."""

import asyncio

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import copies
from samphirestand.gateway import fencing
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import group as group_module
from samphirestand.gateway import leadership as leadership_module
from samphirestand.gateway import pool as pool_module
from samphirestand import log
from samphirestand.platform import wire
from samphirestand import types

__all__ = ['CopyReviews']

# A target answers within two round trips.
STATUS_TIMEOUT_MS = 500

# How long evidence for the primary is waited for.
EVIDENCE_TIMEOUT_MS = 1_000

_log = log.get_logger(__name__)


class CopyReviews:
    """Compares the recorded holders of copies with the targets that run.

    A target that may confirm commits is added as soon as it is known. One that
    has gone is removed once another replica has received all that the primary
    had after it had gone: the position is recorded instead.
    """

    def __init__(
        self, clock: clock_module.Clock, tokens: fencing.FencingTokens
    ) -> None:
        self._clock = clock
        self._tokens = tokens

    def is_due(self, group: group_module.TargetGroup) -> bool:
        """Tell whether the recorded holders may have to change."""
        if not group.is_complete:
            return False
        if self._tokens.has_come_back(group.service):
            return True
        if not group.is_synchronous:
            return False
        duty = self._tokens.known_duty(group.service)
        return (
            duty is None
            or duty.holders_by_id is None
            or duty.must_be_written
            or bool(group.silent_departed_ids())
            or bool(_find_changes(group, duty))
        )

    async def review(self, gateway: gateway_module.ServiceGateway) -> None:
        """Record which holders have joined and which have gone.

        Does nothing while a primary is being replaced. Raises
        ``PlatformError`` while the store can't be reached.
        """
        group = gateway.group
        duty = self._tokens.known_duty(group.service)
        if duty is None or not duty.is_idle:
            duty = await self._tokens.read(group.service)
        if duty.has_lost_orders and leadership_module.are_replicas_open(
            await _ask_registered(group)
        ):
            duty = duty.without_lost_orders()
        if duty.has_lost_orders:
            gateway.awaits_orders = True
        if not duty.is_idle:
            return
        if not group.is_synchronous:
            if duty.is_restored:
                await self._tokens.record_holders(
                    group.service,
                    duty,
                    duty.holders_by_id,
                    duty.required_position,
                )
            return
        changes = _find_changes(group, duty)
        departed_ids = changes.left_ids | group.silent_departed_ids()
        moment = group.registry_moment
        joined_pools = [
            group.pools_by_id.get(each) or group.absent_pools_by_id[each]
            for each in sorted(changes.joined_ids)
        ]
        holders_by_id = dict(duty.holders_by_id or {})
        for pool in await _ask_which_answer(joined_pools):
            target = pool.target
            holders_by_id[target.target_id] = copies.to_holder(target)
        required_position = duty.required_position
        shown_position = None
        if departed_ids:
            if group.leadership.needs_refresh(self._clock.now()):
                # Goes on for as long as a waiting request lacks evidence.
                await asyncio.wait(
                    {gateway.request_evidence()},
                    timeout=EVIDENCE_TIMEOUT_MS / 1000,
                )
            shown_position = await _find_shown_position(group)
        if shown_position is not None and moment is not None:
            group.settle_departed(departed_ids, moment)
        if shown_position is not None and changes.left_ids:
            required_position = fencing.max_position(
                required_position, shown_position
            )
            for target_id in changes.left_ids:
                restarted_pool = group.pools_by_id.get(target_id)
                if restarted_pool is None:
                    del holders_by_id[target_id]
                else:
                    holders_by_id[target_id] = copies.to_holder(
                        restarted_pool.target
                    )
        if not holders_by_id or (
            holders_by_id == duty.holders_by_id and not duty.must_be_written
        ):
            return
        if not await self._tokens.record_holders(
            group.service, duty, holders_by_id, required_position
        ):
            return
        _log.info(
            'copy_holders_recorded',
            service=group.service,
            holders=sorted(holders_by_id),
            left=sorted(changes.left_ids) if shown_position else [],
            required=str(required_position),
        )


def _find_changes(
    group: group_module.TargetGroup, duty: fencing.Duty
) -> copies.Changes:
    answering_absent = group.answering_absent_pools()
    return copies.find_changes(
        duty.holders_by_id,
        [
            each.target
            for each in [
                *group.pools_by_id.values(),
                *answering_absent.values(),
            ]
            if not each.is_down
        ],
        group.pools_by_id.keys(),
        group.silent_absent_ids(),
    )


async def _ask_which_answer(
    pools: list[pool_module.TargetPool],
) -> list[pool_module.TargetPool]:
    """Return the pools whose targets answer."""
    statuses = await _ask_status(pools)
    return [
        pool
        for pool, status in zip(pools, statuses, strict=True)
        if not isinstance(status, exceptions.Sentinel)
    ]


async def _ask_status(
    pools: list[pool_module.TargetPool],
) -> list[wire.Status | exceptions.Sentinel]:
    return await asyncio.gather(
        *(each.run_command(wire.STATUS, STATUS_TIMEOUT_MS) for each in pools)
    )


async def _ask_registered(
    group: group_module.TargetGroup,
    left_out: pool_module.TargetPool | None = None,
) -> list[wire.Status]:
    """Return the answers of the registered targets, except of one."""
    statuses = await _ask_status(
        [
            each
            for each in group.pools_by_id.values()
            if each is not left_out and not each.is_down
        ]
    )
    return [
        each for each in statuses if not isinstance(each, exceptions.Sentinel)
    ]


async def _find_shown_position(
    group: group_module.TargetGroup,
) -> types.Position | None:
    """Return a position that covers all commits acknowledged until now.

    A replica has received it from the primary, too. None if that isn't so, or
    if there may be a later primary.
    """
    primary = group.primary
    if primary is None or not group.leadership.is_confirmed:
        return None
    [status] = await _ask_status([primary])
    if isinstance(status, exceptions.Sentinel) or not status.is_primary:
        return None
    answers = await _ask_registered(group, left_out=primary)
    if any(max(each.term, each.held) > status.term for each in answers):
        return None
    if not any(each.received >= status.received for each in answers):
        return None
    return status.received
