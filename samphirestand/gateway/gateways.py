"""The gateways on this host: opening, maintenance and closing."""

import asyncio
import collections.abc
import dataclasses
import random

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import allowance as allowance_module
from samphirestand.fleet import demand_placement
from samphirestand.fleet import frames
from samphirestand.fleet import members as members_module
from samphirestand.fleet import watch
from samphirestand.gateway import draining
from samphirestand.gateway import evacuation
from samphirestand.gateway import explanation
from samphirestand.gateway import gateway as gateway_module
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import succession as succession_module
from samphirestand.gateway import warmup
from samphirestand import host_options
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand.platform import wire
from samphirestand import work as work_module

__all__ = ['ServiceGateways', 'gateway_host', 'gateway_host_and_reason']

# How often a gateway host checks its gateways and their targets.
MAINTENANCE_INTERVAL_MS = 100

# How often a host without gateways checks whether it has become a gateway
# host. It also opens a gateway when the first statement for it arrives.
IDLE_HOST_MAINTENANCE_INTERVAL_MS = 250

# After another host has taken over a gateway, this host closes its idle
# connections when the gateway has not been used for this long: the connections
# of both hosts count towards the targets' limit.
HANDED_OVER_IDLE_MS = 500

# A gateway that another host has taken over is closed after this time without
# work: by then all hosts send their statements to the new gateway host.
UNUSED_GATEWAY_MS = 5_000

# Idle connections are closed after this time; targets would close them after a
# minute.
IDLE_CONNECTION_MS = 30_000

# The primary is asked for its log position when no statement has shown it for
# this long and a read that replicas may run arrived recently. Must be well
# below the smallest age that routes accept.
PRIMARY_POSITION_MAX_AGE_MS = 600
RECENT_READ_MS = 2_000

# After this many reads that a replica could not serve, or after a status that
# shows a pause, the gateway checks whether an unfinished promotion left the
# replica paused, and not again for this interval: lagging replicas are common
# when targets have problems, paused ones are rare.
MAX_LAGGING_READS = 5
PAUSED_REPLICA_CHECK_INTERVAL_MS = 2_000

# How much longer than operators allow a transaction may be idle here before it
# counts as given up: the entry host ends it first unless it is cut off.
ORPHAN_MARGIN_MS = 3_000

# How often a target that has left the registry is asked whether it runs.
ABSENT_TARGET_INTERVAL_MS = 1_000

# How often the holders of copies are reviewed while they have changed.
COPY_REVIEW_INTERVAL_MS = 1_000

# How often a former primary is told that there is a later one, until it
# registers as a replica.
STEP_DOWN_INTERVAL_MS = 1_000

_log = log.get_logger(__name__)


def gateway_host(
    members: members_module.Members,
    targets: watch.TargetWatch,
    service: str,
    placement: demand_placement.DemandPlacement | None = None,
) -> str:
    """Return the id of the gateway host of a service.

    It is in the availability zone of the primary, so that writes and
    transactions cross zones only once. Without ``placement`` a hash decides
    between the hosts there.
    """
    if not members.is_job_host:
        if placement is None:
            return members.gateway_for(service)
        return members.claimed_gateway_for(service) or placement.host_for(
            service, members.claimed_zone(service)
        )
    zone = _zone_of_primary(targets, service)
    if placement is not None:
        return placement.host_for(service, zone)
    return members.host_for(members_module.gateway_job(service), zone)


def _zone_of_primary(targets: watch.TargetWatch, service: str) -> str | None:
    primary = targets.claimed_primary(service)
    return primary.zone if primary is not None else None


def gateway_host_and_reason(
    members: members_module.Members,
    targets: watch.TargetWatch,
    service: str,
    placement: demand_placement.DemandPlacement | None = None,
) -> tuple[str, str]:
    """Return what ``gateway_host`` would return, and why it is that."""
    if not members.is_job_host:
        host_id, reason = members.claimed_gateway(service)
        if placement is None or members.is_claimed(service):
            return host_id, reason
        zone = members.claimed_zone(service)
        return placement.preview_host(service, zone), reason
    zone = _zone_of_primary(targets, service)
    where = (
        'no primary is registered'
        if zone is None
        else f'first those of the zone {zone} of the primary'
    )
    if placement is not None:
        return (
            placement.preview_host(service, zone),
            f'by claims, capacity and demand of the job hosts, {where}',
        )
    return (
        members.host_for(members_module.gateway_job(service), zone),
        f'chosen among the job hosts, {where}',
    )


class ServiceGateways:
    """The gateways on this host, by service."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        members: members_module.Members,
        targets: watch.TargetWatch,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
        rate_limiter: allowance_module.AccountRateLimiter,
        succession: succession_module.PrimaryFailover | None,
        metrics: metrics_module.Metrics,
        zones: evacuation.ZoneView | None = None,
        cold_rules: warmup.ColdRules | None = None,
        queue_options: host_options.QueueOptions | None = None,
        *,
        fair_shares: bool = False,
        adaptive_limits: bool = True,
        drain_ms: int | None = None,
        places_by_demand: bool = False,
    ) -> None:
        self._clock = clock
        self._random = generator
        self._members = members
        self._targets = targets
        self._catalog = catalog
        self._rate_limiter = rate_limiter
        self._succession = succession
        self._metrics = metrics
        self._zones = zones or evacuation.ZoneView()
        self._cold_rules = cold_rules
        self._queue_options = queue_options
        self._fair_shares = fair_shares
        self._adaptive_limits = adaptive_limits
        self._drain_ms = drain_ms
        self._gateways_by_service: dict[
            str, gateway_module.ServiceGateway
        ] = {}
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        # Called when the services change for which this host is the gateway
        # host.
        self.on_claims: collections.abc.Callable[[frames.Claims], None] = (
            _ignore_claims
        )
        # Called when only the demand of these services has changed.
        self.on_demands: collections.abc.Callable[[frames.Claims], None] = (
            _ignore_claims
        )
        self.claims = frames.Claims({}, places_by_demand=places_by_demand)
        self._placement = (
            demand_placement.DemandPlacement(
                members, clock, metrics, self._zones_of_services
            )
            if places_by_demand
            else None
        )

    def gateway_host_id(self, service: str) -> str:
        """Return the id of the gateway host of a service."""
        return gateway_host(
            self._members, self._targets, service, self._placement
        )

    def _zones_of_services(
        self,
    ) -> collections.abc.Iterator[tuple[str, str | None]]:
        """Yield each service and the zone of its primary, if known."""
        for service in self._catalog().services_by_name:
            if not self._members.is_job_host:
                # Hosts without jobs read no registry.
                self._members.claimed_gateway_for(service)
                yield service, self._members.claimed_zone(service)
                continue
            primary = self._targets.claimed_primary(service)
            yield service, primary.zone if primary is not None else None

    def gateway_host_and_reason(self, service: str) -> tuple[str, str]:
        """Return the id of the gateway host of a service, and why."""
        return gateway_host_and_reason(
            self._members, self._targets, service, self._placement
        )

    @property
    def has_gateways(self) -> bool:
        """Tell whether a gateway is open on this host."""
        return bool(self._gateways_by_service)

    @property
    def has_transactions(self) -> bool:
        """Tell whether a statement or transaction is running or waiting."""
        return not all(
            each.is_idle for each in self._gateways_by_service.values()
        )

    def _get_or_open_gateway(
        self, service: str
    ) -> gateway_module.ServiceGateway:
        found = self._gateways_by_service.get(service)
        if found is None:
            found = gateway_module.ServiceGateway(
                service,
                self._clock,
                self._random,
                self._targets,
                self._catalog,
                self._metrics,
                self._succession.read_ordered_ids
                if self._succession is not None
                else None,
                lambda: self._members.sole_primary_evidence(service),
                self._zones,
                self._cold_rules,
                self._queue_options,
                fair_shares=self._fair_shares,
                adaptive_limits=self._adaptive_limits,
                drain_ms=self._drain_ms,
            )
            self._gateways_by_service[service] = found
            self._adopt_observations(found)
            found.group.adopt_limits(self._members.observed_limits(service))
            _log.info('gateway_opened', service=service)
        return found

    def _adopt_observations(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Adopt log positions that earlier gateway hosts observed.

        Replicas can then serve reads while the primary is being replaced.
        """
        freshness = gateway.group.freshness
        for moment_ms, position in sorted(
            self._members.observed_positions(gateway.service)
        ):
            freshness.record(moment_ms, position)

    def observations(self) -> tuple[frames.Observation, ...]:
        """Return the newest log position and the limits of each gateway."""
        now = self._clock.now()
        observations = []
        for service, gateway in self._gateways_by_service.items():
            latest = gateway.group.freshness.latest
            limits = gateway.group.limits_by_start()
            if latest is not None:
                moment_ms, position = latest
                observations.append(
                    frames.Observation(
                        service,
                        position,
                        max(0, now - moment_ms),
                        _sole_primary(gateway, now),
                        limits,
                    )
                )
            elif limits:
                observations.append(
                    frames.Observation(
                        service, None, 0, limits_by_start=limits
                    )
                )
        return tuple(observations)

    async def run(
        self,
        owner: str,
        work: work_module.Work,
        withdrawal: work_module.Withdrawal | None = None,
    ) -> work_module.Outcome:
        """Run a statement that the entry host ``owner`` received."""
        refusal = self._unserved_refusal(work)
        if refusal is None:
            refusal = await self._take_rate_token(work)
        if refusal is not None:
            return refusal
        if self._placement is not None:
            self._placement.record_statement(work.service)
        outcome = await self._get_or_open_gateway(work.service).run(
            owner, work, withdrawal
        )
        if (
            isinstance(outcome, work_module.Refused)
            and outcome.reason == work_module.WITHDRAWN_REASON
        ):
            self._metrics.count('work_withdrawn')
        if isinstance(outcome, work_module.Refused) and _needs_rate_token(
            work
        ):
            # Nothing ran, and the caller's retry will take another token.
            self._rate_limiter.return_token(work.account)
        return outcome

    def _unserved_refusal(
        self, work: work_module.Work
    ) -> work_module.Refused | None:
        """Return why work is refused whatever its account and targets are."""
        if work.service not in self._catalog().services_by_name:
            return work_module.Refused('BUSY', 'unknown service')
        if not self._zones.is_known():
            return work_module.Refused(
                'BUSY',
                'evacuated zones are not known yet',
                gateway_module.NO_PRIMARY_RETRY_MS,
            )
        return None

    def explain(self, work: work_module.Work) -> explanation.GatewayPart:
        """Say what would happen to new work on this host; changes nothing."""
        refusal = self._unserved_refusal(work)
        if refusal is not None:
            return explanation.GatewayPart(explanation.refused(refusal))
        rate = None
        rate_refusal = None
        if _needs_rate_token(work):
            rate = self._rate_limiter.explain(work.account)
            if rate is None or not rate.is_admitted:
                rate_refusal = self._rate_refusal(work)
        return explanation.explain_work(
            work,
            rate,
            rate_refusal,
            self._gateways_by_service.get(work.service),
            self._clock.now(),
        )

    def _rate_refusal(self, work: work_module.Work) -> work_module.Refused:
        """Return the refusal of work whose account is above its rate."""
        reason = (
            f'account {work.account} is above its rate: '
            f'{self._rate_limiter.describe_rate(work.account)}'
        )
        return work_module.Refused(
            'BUSY', reason, self._rate_limiter.retry_after_ms(work.account)
        )

    async def _take_rate_token(
        self, work: work_module.Work
    ) -> work_module.Refused | None:
        """Take a rate token for the first statement of an operation.

        Returns a refusal if the account is above its rate. Tokens are taken on
        gateway hosts, since these are few: an account's tokens are then split
        among few hosts, even where callers connect to many.
        """
        if not _needs_rate_token(work):
            return None
        if await self._rate_limiter.take_token(work.account):
            return None
        refusal = self._rate_refusal(work)
        self._metrics.count('refused_rate')
        _log.info(
            'work_refused_rate',
            request=work.request_id,
            service=work.service,
            account=work.account,
            reason=refusal.reason,
            version=self._catalog().version,
        )
        return refusal

    async def abandon(self, owner: str, number: int) -> None:
        """Roll back a transaction whose caller has disconnected."""
        for each in list(self._gateways_by_service.values()):
            await each.roll_back_abandoned(owner, number)

    async def abandon_all(self, owner: str) -> None:
        """Roll back all transactions of an entry host that disconnected."""
        for each in list(self._gateways_by_service.values()):
            await each.roll_back_all_abandoned(owner)

    def refresh(self) -> None:
        """Adopt a change of the registry, the configuration or the fleet."""
        for each in self._gateways_by_service.values():
            each.refresh()

    async def maintain_forever(self) -> None:
        """Open, maintain and close gateways until cancelled."""
        while True:
            zones_by_service: dict[str, str] = {}
            settled_departures: dict[
                catalog_module.TargetStart, catalog_module.RegistryMoment
            ] = {}
            if not self._members.is_settled:
                await self._clock.sleep(MAINTENANCE_INTERVAL_MS)
                continue
            if not (
                self._members.is_job_host
                or self._gateways_by_service
                or self.claims.zones_by_service
            ):
                # No service can have its gateway here.
                await self._clock.sleep(IDLE_HOST_MAINTENANCE_INTERVAL_MS)
                continue
            self._targets.settle_departures(self._members.settled_departures())
            for service in self._catalog().services_by_name.values():
                is_owner = (
                    self.gateway_host_id(service.name)
                    == self._members.local.host_id
                ) or (
                    self._placement is not None
                    and self._placement.hands_over(service.name)
                )
                if is_owner:
                    primary = self._targets.claimed_primary(service.name)
                    zones_by_service[service.name] = (
                        primary.zone if primary is not None else ''
                    )
                gateway = self._gateways_by_service.get(service.name)
                if gateway is None and not is_owner:
                    continue
                gateway = gateway or self._get_or_open_gateway(service.name)
                self._maintain_gateway(gateway, service, is_owner)
                if is_owner:
                    settled_departures |= self._targets.settled_departures(
                        service.name
                    )
                if not is_owner and self._is_unused(gateway):
                    self._close_gateway(gateway)
            claims = frames.Claims(zones_by_service, settled_departures)
            if self._placement is not None:
                claims = self._placement.review(claims)
            self._announce_claims(claims)
            self._targets.set_interval(self._registry_interval_ms())
            await self._clock.sleep(
                MAINTENANCE_INTERVAL_MS
                if self._gateways_by_service
                else IDLE_HOST_MAINTENANCE_INTERVAL_MS
            )

    def _registry_interval_ms(self) -> int:
        """Return how often the registry is read, by what depends on it."""
        if not self._gateways_by_service:
            return watch.RELAXED_TARGETS_INTERVAL_MS
        for gateway in self._gateways_by_service.values():
            group = gateway.group
            if group.primary is None or any(
                pool.needs_probe for pool in group.pools_by_id.values()
            ):
                return watch.URGENT_TARGETS_INTERVAL_MS
        return watch.TARGETS_INTERVAL_MS

    def _is_unused(self, gateway: gateway_module.ServiceGateway) -> bool:
        unused_ms = self._clock.now() - gateway.last_used_ms
        return gateway.is_idle and unused_ms > UNUSED_GATEWAY_MS

    def _close_gateway(self, gateway: gateway_module.ServiceGateway) -> None:
        _log.info('gateway_closed', service=gateway.service)
        gateway.close()
        self._metrics.remove_gauge(_absent_holders_gauge(gateway.service))
        del self._gateways_by_service[gateway.service]

    def _announce_claims(self, claims: frames.Claims) -> None:
        if claims == self.claims:
            return
        earlier = self.claims
        self.claims = claims
        if claims == dataclasses.replace(
            earlier, demands_by_service=claims.demands_by_service
        ):
            self.on_demands(claims)
            return
        _log.info(
            'gateways_claimed',
            services=claims.zones_by_service,
            settled=len(claims.settled_departures),
        )
        self.on_claims(claims)

    def _maintain_gateway(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        is_owner: bool,
    ) -> None:
        now = self._clock.now()
        gateway.leave_closed_targets()
        gateway.group.note_owner(is_owner and not self._members.is_isolated)
        max_idle_ms = IDLE_CONNECTION_MS
        if not is_owner and now - gateway.last_used_ms > HANDED_OVER_IDLE_MS:
            max_idle_ms = 0
        for target_id, pool in gateway.group.pools_by_id.items():
            pool.close_idle_connections(max_idle_ms)
            is_zone_silent = self._members.is_zone_silent(pool.target.zone)
            if is_zone_silent:
                pool.record_failure()
            if pool.needs_probe:
                self._start_unless_running(
                    f'probe/{target_id}', pool.probe(is_zone_silent)
                )
        self._start_unless_running(
            f'roll_back_idle/{service.name}',
            gateway.roll_back_idle(
                self._catalog().idle_transaction_ms + ORPHAN_MARGIN_MS
            ),
        )
        if not is_owner:
            if self._succession is not None:
                self._succession.forget_holders(service.name)
            return
        self._adopt_observations(gateway)
        holders_by_id = (
            None
            if self._succession is None
            else self._succession.known_holders(service.name)
        )
        gateway.group.refresh_absent(holders_by_id)
        self._metrics.set_gauge(
            _absent_holders_gauge(service.name),
            len((holders_by_id or {}).keys() - gateway.group.pools_by_id),
        )
        for target_id, pool in gateway.group.absent_pools_by_id.items():
            self._start_unless_running(
                f'absent/{target_id}', self._ask_absent_target(gateway, pool)
            )
        gateway.review_waiting()
        self._step_down_former_primaries(gateway)
        # A host that is cut off can't tell what failed: once it is reachable
        # again, it would replace primaries that others use.
        reason = (
            None
            if self._members.is_isolated
            else self._primary_replacement_reason(gateway)
        )
        if reason is not None and self._succession is not None:
            self._start_unless_running(
                f'replace/{service.name}',
                self._replace_primary(gateway, service, reason),
            )
            return
        if self._succession is not None and (
            self._succession.is_copy_review_due(gateway.group)
        ):
            self._start_unless_running(
                f'copies/{service.name}',
                self._review_copies(gateway, self._succession),
            )
        if self._succession is not None and gateway.awaits_orders:
            self._start_unless_running(
                f'settle/{service.name}', self._settle_orders(gateway)
            )
        for target_id, pool in gateway.group.pools_by_id.items():
            if self._succession is not None and (
                pool.is_paused or pool.lagging_count >= MAX_LAGGING_READS
            ):
                self._start_unless_running(
                    f'resume/{target_id}',
                    self._resume_paused_replica(gateway, pool),
                )
        latest_sent_ms = gateway.group.freshness.latest_sent_ms
        if now - gateway.last_bounded_read_ms < RECENT_READ_MS and (
            latest_sent_ms is None
            or now - latest_sent_ms > PRIMARY_POSITION_MAX_AGE_MS
        ):
            self._start_unless_running(
                f'evidence/{service.name}',
                self._record_primary_position(gateway),
            )

    def _step_down_former_primaries(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Stop targets that act as primary although there is a later one."""
        leadership = gateway.group.leadership
        if not leadership.is_confirmed or leadership.term is None:
            return
        for target_id, pool in gateway.group.pools_by_id.items():
            if (
                target_id != leadership.target_id
                and pool.target.claims_primary
                and not pool.is_down
            ):
                self._start_unless_running(
                    f'step_down/{target_id}',
                    self._step_down_and_wait(gateway, pool, leadership.term),
                )

    async def _step_down_and_wait(
        self,
        gateway: gateway_module.ServiceGateway,
        pool: pool_module.TargetPool,
        term: int,
    ) -> None:
        await gateway.step_down(pool, term)
        await self._clock.sleep(STEP_DOWN_INTERVAL_MS)

    def _primary_replacement_reason(
        self, gateway: gateway_module.ServiceGateway
    ) -> str | None:
        """Return why the primary must be replaced; None if it need not be."""
        if (
            not gateway.group.pools_by_id
            or not self._targets.is_complete
            or not self._zones.is_known()
        ):
            return None
        primary = gateway.group.primary
        if primary is None:
            return 'no target is the primary'
        if primary.is_down:
            return 'the primary does not answer'
        others = [
            each
            for each in gateway.group.pools_by_id.values()
            if each is not primary
            and each.zone_limit is None
            and not each.is_down
        ]
        if draining.must_replace(
            is_draining=primary.target.is_draining,
            is_open=primary.may_start(is_primary=True),
            staying_count=sum(not each.target.is_draining for each in others),
            open_draining_count=sum(
                each.target.is_draining and each.may_start(is_primary=True)
                for each in others
            ),
        ):
            return 'the primary is draining'
        if evacuation.must_replace(
            primary.zone_limit,
            sum(
                each.zone_limit is None and not each.is_down
                for each in gateway.group.pools_by_id.values()
            ),
        ):
            return 'the zone of the primary is evacuated'
        return None

    def _start_unless_running(
        self,
        name: str,
        coroutine: collections.abc.Coroutine[object, object, None],
    ) -> None:
        """Start a task unless one of the same name is still running."""
        running_task = self._tasks_by_name.get(name)
        if running_task is not None and not running_task.done():
            coroutine.close()
            return
        self._tasks_by_name[name] = asyncio.create_task(coroutine)

    async def _replace_primary(
        self,
        gateway: gateway_module.ServiceGateway,
        service: catalog_module.Service,
        reason: str,
    ) -> None:
        assert self._succession is not None
        started_ms = self._clock.now()
        try:
            is_done = await self._succession.replace_primary(
                gateway, service, reason
            )
        except exceptions.PlatformError as error:
            _log.warning(
                'succession_failed', service=service.name, reason=str(error)
            )
            is_done = False
            if not self._succession.has_reached_store(started_ms):
                self._members.note_store_failure()
        if not is_done:
            await self._clock.sleep(succession_module.RETRY_MS)

    async def _ask_absent_target(
        self,
        gateway: gateway_module.ServiceGateway,
        pool: pool_module.TargetPool,
    ) -> None:
        """Find out whether a target that left the registry still runs."""
        status = await pool.run_command(
            wire.STATUS, pool_module.PROBE_TIMEOUT_MS
        )
        gateway.group.record_absent_asked(
            pool, not isinstance(status, exceptions.Sentinel)
        )
        await self._clock.sleep(ABSENT_TARGET_INTERVAL_MS)

    async def _review_copies(
        self,
        gateway: gateway_module.ServiceGateway,
        succession: succession_module.PrimaryFailover,
    ) -> None:
        """Record which targets may hold copies of commits."""
        try:
            await succession.review_copies(gateway)
        except exceptions.PlatformError as error:
            _log.warning(
                'copy_holders_not_recorded',
                service=gateway.service,
                reason=str(error),
            )
        await self._clock.sleep(COPY_REVIEW_INTERVAL_MS)

    async def _settle_orders(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Make sure that no earlier order replaces the primary."""
        assert self._succession is not None
        try:
            await self._succession.settle_orders(gateway)
        except exceptions.PlatformError as error:
            _log.warning(
                'settle_failed', service=gateway.service, reason=str(error)
            )
        await self._clock.sleep(succession_module.RETRY_MS)

    async def _resume_paused_replica(
        self,
        gateway: gateway_module.ServiceGateway,
        pool: pool_module.TargetPool,
    ) -> None:
        """Resume a lagging replica if it was left paused."""
        assert self._succession is not None
        try:
            await self._succession.resume_replica(gateway, pool)
        except exceptions.PlatformError as error:
            _log.info('resume_failed', reason=str(error))
        await self._clock.sleep(PAUSED_REPLICA_CHECK_INTERVAL_MS)
        pool.lagging_count = 0

    async def _record_primary_position(
        self, gateway: gateway_module.ServiceGateway
    ) -> None:
        """Ask the primary for its log position and record it."""
        if gateway.group.leadership.needs_refresh(self._clock.now()):
            await gateway.request_evidence()
        pool = gateway.group.primary
        if pool is None or not pool.may_start(is_primary=True):
            return
        sent_ms = self._clock.now()
        status = await pool.run_command(
            wire.STATUS, pool_module.PROBE_TIMEOUT_MS
        )
        if isinstance(status, exceptions.Sentinel):
            _log.info(
                'primary_position_missing',
                service=gateway.service,
                reason=status.reason,
            )
            pool.record_failure()
            return
        if status.is_primary:
            gateway.group.record_primary_position(
                pool, sent_ms, status.received
            )

    def close(self) -> None:
        for task in self._tasks_by_name.values():
            task.cancel()
        for each in self._gateways_by_service.values():
            each.close()


def _ignore_claims(claims: frames.Claims) -> None:
    """Ignore the claims: the default until ``on_claims`` is set."""


def _absent_holders_gauge(service: str) -> str:
    """Name the gauge of the holders of copies that aren't registered."""
    return f'copy_holders_absent_{service}'


def _sole_primary(
    gateway: gateway_module.ServiceGateway, now: int
) -> frames.SolePrimary | None:
    """Return what a successor needs to use the primary without the store."""
    leadership = gateway.group.leadership
    if (
        not leadership.is_free_of_orders
        or not leadership.is_confirmed
        or leadership.confirmed_ms is None
        or leadership.term is None
    ):
        return None
    return frames.SolePrimary(
        leadership.term, max(0, now - leadership.confirmed_ms)
    )


def _needs_rate_token(work: work_module.Work) -> bool:
    """Tell whether work is the first statement of an account's operation."""
    return bool(work.account) and work.stage in (
        work_module.Stage.SINGLE,
        work_module.Stage.OPEN,
    )
