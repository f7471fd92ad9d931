"""The targets of one service, and which of them is the primary."""

import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand.fleet import watch
from samphirestand.gateway import concurrency
from samphirestand.gateway import copies
from samphirestand.gateway import draining
from samphirestand.gateway import evacuation
from samphirestand.gateway import freshness as freshness_module
from samphirestand.gateway import leadership as leadership_module
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import warmup
from samphirestand import log
from samphirestand import types

__all__ = ['Closure', 'TargetGroup']

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class Closure:
    """Why targets get no requests; ``is_evacuated`` if by their zones."""

    reason: str
    is_evacuated: bool


class TargetGroup:
    """The target pools of one service and its current primary.

    Follows the registry, except where a target's own answer is newer.
    """

    def __init__(
        self,
        service: str,
        clock: clock_module.Clock,
        targets: watch.TargetWatch,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
        zones: evacuation.ZoneView | None = None,
        cold_rules: warmup.ColdRules | None = None,
        *,
        adaptive_limits: bool = True,
        drain_ms: int | None = None,
    ) -> None:
        self.service = service
        self._clock = clock
        self._targets = targets
        self._catalog = catalog
        self._zones = zones or evacuation.ZoneView()
        self._cold_rules = cold_rules or warmup.ColdRules()
        # How long a target that drains may get requests; None: any time.
        self._drain_ms = drain_ms
        self.freshness = freshness_module.Freshness()
        self._adaptive_limits = adaptive_limits
        self._kind_times = concurrency.KindTimes()
        self._is_opened = False
        self.pools_by_id: dict[str, pool_module.TargetPool] = {}
        self._cold_bound = 0  # requests a second from this gateway; 0: any
        self._cold_share = warmup.NEW_SHARE
        # Since when this host is the gateway host; None if it isn't.
        self._owner_since_ms: int | None = None
        # Targets that have left the registry but may still run. They are
        # asked and paused like others, and run no statements of callers.
        self.absent_pools_by_id: dict[str, pool_module.TargetPool] = {}
        # Whether an absent target answered when it was asked last.
        self._is_answering_by_id: dict[str, bool] = {}
        self.leadership = leadership_module.Leadership()
        # Since when this gateway uses the primary, for explanations.
        self.primary_since_ms = clock.now()
        self.is_synchronous = True
        # Targets that are registered as primary but have answered that they
        # are not.
        self._not_primary_ids: set[str] = set()
        # The store's version of the newest registration of a primary that
        # was considered here. What the targets themselves answered is newer
        # than all registrations up to that version.
        self._claim_version = 0
        # The position of the newest commit acknowledged through this gateway,
        # and when the commit was sent.
        self.acknowledged_position: types.Position | None = None
        self.acknowledged_sent_ms = 0
        # When a new primary is expected to accept statements; None if unknown.
        self.primary_expected_ms: int | None = None

    @property
    def primary_id(self) -> str:
        """Return the id of the primary; '' if none is known."""
        return self.leadership.target_id

    @property
    def primary(self) -> pool_module.TargetPool | None:
        return self.pools_by_id.get(self.primary_id)

    @property
    def is_complete(self) -> bool:
        """Tell whether all registered targets of the service are known."""
        return self._targets.is_complete

    @property
    def registry_moment(self) -> catalog_module.RegistryMoment | None:
        return self._targets.moment

    @property
    def registry_age_ms(self) -> int | None:
        """Return how old the registry's state is here; None if unknown."""
        return self._targets.age_ms

    def refresh(self) -> None:
        """Adopt the current registry and configuration."""
        service = self._catalog().services_by_name.get(self.service)
        max_connections = service.max_connections if service is not None else 1
        self.is_synchronous = service is None or service.is_synchronous
        registered_by_id = {
            each.target_id: each
            for each in self._targets.of_service(self.service)
        }
        bound = self._cold_rules.gateway_bound(
            service.cold_rate_per_s if service is not None else 0,
            self._cold_share,
        )
        warmup_ms = service.warmup_ms if service is not None else 0
        earlier_warmups_by_id = {
            each: pool.warmup
            for each, pool in self.pools_by_id.items()
            if each in registered_by_id
            and registered_by_id[each].started_ms != pool.target.started_ms
        }
        for target_id in [
            each
            for each, pool in self.pools_by_id.items()
            if each not in registered_by_id or each in earlier_warmups_by_id
        ]:
            self.pools_by_id.pop(target_id).close()
        for target_id, target in registered_by_id.items():
            pool = self.pools_by_id.get(target_id)
            if pool is None:
                pool = pool_module.TargetPool(
                    target,
                    self._clock,
                    max_connections,
                    self._create_limit(target),
                )
                self.pools_by_id[target_id] = pool
                pool.warmup = earlier_warmups_by_id.get(target_id, pool.warmup)
                pool.warmup.begin(
                    bound,
                    self._warm_ms(
                        target,
                        warmup_ms,
                        has_restarted=target_id in earlier_warmups_by_id,
                    ),
                )
            elif bound != self._cold_bound:
                pool.warmup.set_bound(bound)
                pool.warmup.begin(bound, self._warm_ms(target, warmup_ms))
            earlier_limit = pool.zone_limit
            pool.target = target
            pool.cold_bound = bound
            pool.set_limits(
                self._zones.limit_of(target.zone), self._find_drain_limit(pool)
            )
            returned_ms = self._zones.revoked_ms(target.zone)
            if pool.zone_limit is None and earlier_limit is not None:
                self._begin_return(pool, earlier_limit, bound, warmup_ms)
            elif returned_ms is not None and returned_ms != pool.returned_ms:
                # Another host told of a return that was not seen here.
                pool.warmup.begin(bound, returned_ms + warmup_ms)
            pool.returned_ms = returned_ms
            if pool.limit is not None:
                pool.limit.slots = target.slots
            pool.max_connections = max_connections
            if not target.claims_primary:
                self._not_primary_ids.discard(target_id)
        self._cold_bound = bound
        self._is_opened = True
        self._choose_primary()

    def note_owner(self, is_owner: bool) -> None:
        """Record whether this host is the gateway host of the service.

        Its share of what cold targets may get depends on that.
        """
        now = self._clock.now()
        if not is_owner:
            self._owner_since_ms = None
        elif self._owner_since_ms is None:
            self._owner_since_ms = now
        share = warmup.gateway_share(
            None
            if self._owner_since_ms is None
            else now - self._owner_since_ms
        )
        if share != self._cold_share:
            self._cold_share = share
            self.refresh()

    def _find_drain_limit(
        self, pool: pool_module.TargetPool
    ) -> draining.DrainLimit | None:
        """Return until when a target that drains may get requests.

        A host that has never seen the target before it drained can't know how
        old the report is, so the time counts as over.
        """
        if self._drain_ms is None or not pool.target.is_draining:
            return None
        since_ms = self._targets.draining_since_ms(pool.target.target_id)
        if since_ms is not None:
            return draining.DrainLimit(since_ms, self._drain_ms)
        return pool.drain_limit or draining.DrainLimit(
            self._clock.now() - self._drain_ms, self._drain_ms
        )

    def _warm_ms(
        self,
        target: catalog_module.Target,
        warmup_ms: int,
        *,
        has_restarted: bool = False,
    ) -> int:
        """Return until when a target is cold; 0 if it is warm.

        By its registration and by its zone's evacuation, which may have ended
        before this gateway was opened. A restart that was seen here is new,
        whatever the registration says.
        """
        now = self._clock.now()
        cold_ms = target.warm_left_ms
        if warmup_ms > 0:
            cold_ms = min(cold_ms, warmup_ms)
        if has_restarted:
            cold_ms = max(cold_ms, warmup_ms)
        warm_ms = now + cold_ms if cold_ms > 0 else 0
        revoked_ms = self._zones.revoked_ms(target.zone)
        if revoked_ms is not None and now < revoked_ms + warmup_ms:
            warm_ms = max(warm_ms, revoked_ms + warmup_ms)
        return warm_ms

    def _begin_return(
        self,
        pool: pool_module.TargetPool,
        limit: evacuation.ZoneLimit,
        bound: int,
        warmup_ms: int,
    ) -> None:
        """Let the load of a target return gradually after an evacuation.

        A short evacuation leaves a target as it was.
        """
        now = self._clock.now()
        if now < limit.closes_ms:
            return
        if bound > 0:
            pool.warmup.begin(bound, now + warmup_ms)
        else:
            pool.warmup.begin(
                warmup.RETURN_REQUESTS_PER_SLOT * pool.target.slots, now
            )
        _log.info(
            'target_returns',
            service=self.service,
            target=pool.target.target_id,
            zone=limit.zone,
            requests_per_s=pool.warmup.limit(now),
        )

    def _create_limit(
        self, target: catalog_module.Target
    ) -> concurrency.ConcurrencyLimit | None:
        if not self._adaptive_limits:
            return None
        # A target that appears while the gateway is open has just started.
        return concurrency.ConcurrencyLimit(
            self._clock,
            target.slots,
            self._kind_times,
            starts_carefully=self._is_opened,
        )

    def limits_by_start(self) -> dict[catalog_module.TargetStart, int]:
        """Return the limits of the targets that have fewer than slots."""
        return {
            each.target.start: each.limit.settled_limit
            for each in self.pools_by_id.values()
            if each.limit is not None and each.limit.is_limited
        }

    def adopt_limits(
        self,
        limits_by_start: collections.abc.Mapping[
            catalog_module.TargetStart, int
        ],
    ) -> None:
        """Start from the limits that an earlier gateway has found."""
        for pool in self.pools_by_id.values():
            limit = limits_by_start.get(pool.target.start)
            if limit is not None and pool.limit is not None:
                pool.limit.adopt(limit)

    def _choose_primary(self) -> None:
        """Set the registered primary unless this host knows a newer one."""
        claimed = self._targets.claimed_primary(self.service)
        if claimed is None:
            return
        target_id = claimed.target_id
        version = self._targets.claim_version(target_id)
        if version > self._claim_version:
            self._claim_version = version
            self.set_primary(target_id, 'registry')
        elif not self.primary_id and target_id not in self._not_primary_ids:
            self.set_primary(target_id, 'registry')

    def set_primary(
        self, target_id: str, source: str, term: int | None = None
    ) -> None:
        """Use ``target_id`` as the primary from now on.

        ``source`` is written to the log. ``term`` is the one in which the
        target said that it leads, None if it was not asked.
        """
        claimed = self._targets.claimed_primary(self.service)
        if claimed is not None:
            self._claim_version = max(
                self._claim_version,
                self._targets.claim_version(claimed.target_id),
            )
        self._not_primary_ids.discard(target_id)
        self.primary_expected_ms = None
        if target_id == self.primary_id and term in (
            None,
            self.leadership.term,
        ):
            return
        _log.info(
            'primary_changed',
            service=self.service,
            target=target_id,
            earlier=self.primary_id,
            source=source,
            term=term,
        )
        if target_id != self.primary_id:
            self.primary_since_ms = self._clock.now()
        self.leadership = leadership_module.Leadership(target_id, term)

    def mark_not_primary(self, pool: pool_module.TargetPool) -> None:
        """Record a target's answer that it is not the primary."""
        target_id = pool.target.target_id
        if target_id in self._not_primary_ids:
            return
        self._not_primary_ids.add(target_id)
        _log.info('target_not_primary', service=self.service, target=target_id)
        if self.primary_id == target_id:
            self.leadership = leadership_module.Leadership()
        self._choose_primary()

    def record_primary_position(
        self,
        pool: pool_module.TargetPool,
        sent_ms: int,
        position: types.Position,
    ) -> None:
        """Record a log position that a target gave as the primary.

        It covers the commits that were acknowledged before the request was
        sent, but only as far as the target is known to have been the primary.
        """
        covered_until_ms = self.leadership.covered_until_ms
        if self.is_primary(pool) and covered_until_ms is not None:
            self.freshness.record(min(sent_ms, covered_until_ms), position)

    def record_commit(
        self,
        pool: pool_module.TargetPool,
        sent_ms: int,
        position: types.Position,
    ) -> None:
        """Record a commit that the primary acknowledged.

        A replica has confirmed it, so not all replicas were paused when it
        was sent. That doesn't end a suspension: a replica that restarts is no
        longer paused, and an order may still be carried out.
        """
        if (
            self.is_synchronous
            and self.is_primary(pool)
            and self.leadership.is_confirmed
        ):
            self.leadership.confirm(sent_ms)
        self.record_primary_position(pool, sent_ms, position)
        if (
            self.acknowledged_position is None
            or position > self.acknowledged_position
        ):
            self.acknowledged_position = position
            self.acknowledged_sent_ms = sent_ms

    def refresh_absent(
        self, holders_by_id: copies.HoldersById | None = None
    ) -> None:
        """Adopt which targets have left the registry.

        They include the recorded holders of copies that this host has never
        seen there.
        """
        absent_by_id = {
            each.target_id: each
            for each in self._targets.absent_targets(self.service)
        }
        endpoints_in_use = {
            (each.target.address, each.target.port)
            for each in self.pools_by_id.values()
        }
        for target_id, holder in (holders_by_id or {}).items():
            if (
                target_id not in self.pools_by_id
                and holder.endpoint not in endpoints_in_use
            ):
                absent_by_id.setdefault(
                    target_id,
                    copies.to_target(target_id, self.service, holder),
                )
        for target_id in self.absent_pools_by_id.keys() - absent_by_id.keys():
            self.absent_pools_by_id.pop(target_id).close()
            self._is_answering_by_id.pop(target_id, None)
        for target_id, target in absent_by_id.items():
            if target_id not in self.absent_pools_by_id:
                self.absent_pools_by_id[target_id] = pool_module.TargetPool(
                    target, self._clock, max_connections=1
                )

    def record_absent_asked(
        self, pool: pool_module.TargetPool, is_answering: bool
    ) -> None:
        """Record whether a target that has left the registry answers."""
        target = pool.target
        if self._is_answering_by_id.get(target.target_id) != is_answering:
            _log.info(
                'absent_target_asked',
                service=self.service,
                target=target.target_id,
                answers=is_answering,
            )
        self._is_answering_by_id[target.target_id] = is_answering
        if is_answering:
            self._targets.keep_departure(target.start)

    def answering_absent_pools(self) -> dict[str, pool_module.TargetPool]:
        """Return the pools of absent targets that answered lately."""
        return {
            target_id: pool
            for target_id, pool in self.absent_pools_by_id.items()
            if self._is_answering_by_id.get(target_id)
        }

    def silent_absent_ids(self) -> set[str]:
        """Return the ids of absent targets that were asked and are silent."""
        return {
            target_id
            for target_id in self.absent_pools_by_id
            if self._is_answering_by_id.get(target_id) is False
        }

    def is_departure_settled(self, start: catalog_module.TargetStart) -> bool:
        """Tell whether a remaining replica has all that a target confirmed.

        Not if the target answers although it has left the registry. A commit
        that this gateway sent after that is as good: each candidate must have
        it, whoever confirmed it.
        """
        if self._is_answering_by_id.get(start.target_id):
            return False
        return self._targets.is_settled(start) or any(
            each.target.start == start and self._is_commit_later(each)
            for each in self._silent_departures()
        )

    def _silent_departures(self) -> list[watch.Departure]:
        """Return unsettled departures of replicas that were asked in vain."""
        return [
            each
            for each in self._targets.departed_replicas(self.service)
            if self._is_answering_by_id.get(each.target.target_id) is False
        ]

    def silent_departed_ids(self) -> set[str]:
        """Return the ids of replicas whose departures aren't settled yet.

        They were asked and are silent.
        """
        return {each.target.target_id for each in self._silent_departures()}

    def _is_commit_later(self, departure: watch.Departure) -> bool:
        """Tell whether a commit was sent after a target had left for good."""
        absent_ms = self._targets.absent_since_ms(departure.target.target_id)
        return (
            absent_ms is not None
            and max(absent_ms, departure.noticed_ms)
            < self.acknowledged_sent_ms
        )

    def settle_departed(
        self,
        target_ids: collections.abc.Collection[str],
        moment: catalog_module.RegistryMoment,
    ) -> None:
        """Record departures after which another replica had everything.

        The targets had left the registry at ``moment``. An acknowledged commit
        alone doesn't show that: a target that only the primary reaches may
        have confirmed it.
        """
        self._targets.settle_departures(
            {
                each.target.start: moment
                for each in self._targets.departed_replicas(self.service)
                if each.target.target_id in target_ids
            }
        )

    def unconfirmed_departures(self) -> list[str]:
        """Return the ids of departed replicas that may hold the only copy.

        These are the ones that left after the newest acknowledged commit was
        sent. A commit sent after a replica had left was confirmed by a
        remaining replica, which thus has all earlier commits too. Replicas
        that still answer are left out, since they can be asked themselves.
        """
        return [
            each.target.target_id
            for each in self._targets.departed_replicas(self.service)
            if each.target.target_id != self.primary_id
            and not self._is_answering_by_id.get(each.target.target_id)
            and (
                each.noticed_ms >= self.acknowledged_sent_ms
                or each.target.target_id not in self._is_answering_by_id
            )
        ]

    async def read_registry_since(
        self, moment_ms: int, timeout_ms: int
    ) -> bool:
        """Adopt the registry's state of a moment or later.

        Returns whether that was possible within ``timeout_ms``.
        """
        return await self._targets.read_since(moment_ms, timeout_ms)

    def is_primary(self, pool: pool_module.TargetPool) -> bool:
        return pool.target.target_id == self.leadership.target_id

    def reachable_pools(self) -> list[pool_module.TargetPool]:
        """Return the pools of targets that are not down and get new work."""
        return [
            each
            for each in self.pools_by_id.values()
            if not each.is_down
            and (not each.limits or each.may_start(self.is_primary(each)))
        ]

    def closure(
        self,
        needs_primary: bool,
        pinned_pool: pool_module.TargetPool | None = None,
    ) -> Closure | None:
        """Return why no target may get work; None if that isn't so.

        Targets in evacuated zones, and those that drain, get no requests.
        """
        if pinned_pool is not None:
            if pinned_pool.may_continue:
                return None
            pools = [pinned_pool]
        elif needs_primary:
            pools = [self.primary] if self.primary is not None else []
        else:
            pools = list(self.pools_by_id.values())
        zone_limits = [
            each.zone_limit
            for each in pools
            if pinned_pool is not None
            or (each.limits and not each.may_start(self.is_primary(each)))
        ]
        if not zone_limits or len(zone_limits) < len(pools):
            return None
        zones = sorted({each.zone for each in zone_limits if each is not None})
        if pinned_pool is not None:
            who = "the transaction's target"
        else:
            who = 'the primary' if needs_primary else 'each target'
        reasons = ['draining'] if None in zone_limits else []
        if zones:
            reasons.append(f'in an evacuated zone: {", ".join(zones)}')
        return Closure(f'{who} is {" or ".join(reasons)}', bool(zones))

    def close(self) -> None:
        """Close all connections to the targets."""
        for pools in (self.pools_by_id, self.absent_pools_by_id):
            for pool in pools.values():
                pool.close()
