"""Places gateways by the claims and the capacity of hosts.

``gateway_placement`` has the decisions.
"""

import collections.abc
import dataclasses

from samphirestand import clock as clock_module
from samphirestand.fleet import frames
from samphirestand.fleet import gateway_placement
from samphirestand.fleet import members as members_module
from samphirestand import log
from samphirestand import metrics as metrics_module

__all__ = ['DemandPlacement']

# A distribution of services without a host is used again for this long: until
# the first claims arrive, each statement asks for it.
DISTRIBUTION_KEPT_MS = 50

# How often a host looks for a gateway to move. While demand isn't known yet,
# hosts that start one after the other share the gateways in small steps, each
# of which takes up to 250 ms (a host without gateways checks that often).
REVIEW_INTERVAL_MS = 2_000
YOUNG_REVIEW_INTERVAL_MS = 500

# No gateway whose demand is known is moved for this long after another change
# in the same zone, unless its host is overloaded.
MOVE_INTERVAL_MS = 5_000

# A gateway that was placed by its demand stays for at least this long. It
# bounds the moves of a service whose demand swings, and is three averaging
# times. A host whose move has failed starts no other one for as long.
MIN_STAY_MS = 30_000

# A successor claims the gateway within 250 ms and a round trip. One that
# doesn't answer pings any more is noticed within a second and ends the move.
# 2 s ended moves that were still under way where claims took 900 ms.
HANDOVER_TIMEOUT_MS = 5_000

# Figures of demand are sent at most this often while the gateways stay.
DEMAND_REPORT_INTERVAL_MS = 5_000

# How often the figures of other hosts are copied, which are kept when a host
# ends.
RECORD_INTERVAL_MS = 250

# Yields each service and the zone of its primary, if that is known.
ServiceZones = collections.abc.Callable[
    [], collections.abc.Iterable[tuple[str, str | None]]
]

_log = log.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class _Survey:
    """The services that some hosts may run, and the capacity of all hosts."""

    gateways: list[gateway_placement.Gateway]
    unplaced: list[gateway_placement.Unplaced]
    rates_by_host: dict[str, float]


@dataclasses.dataclass(frozen=True)
class _Handover:
    """A gateway of this host that is being moved."""

    successor_id: str
    started_ms: int


class DemandPlacement:
    """Chooses the hosts of gateways, and tells the demand of this host's."""

    def __init__(
        self,
        members: members_module.Members,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        services: ServiceZones,
    ) -> None:
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._services = services
        # What this host claims.
        self._own_claims = frames.Claims({}, places_by_demand=True)
        self._memory = gateway_placement.DemandMemory()
        self._recorded_ms: int | None = None
        self._meters_by_service: dict[str, gateway_placement.DemandMeter] = {}
        self._stays_until_ms_by_service: dict[str, int] = {}
        self._handovers_by_service: dict[str, _Handover] = {}
        self._conflicting: frozenset[str] = frozenset()
        self._used_hash: bool | None = None
        self._distributed_ms: int | None = None
        self._hosts_by_unplaced_service: dict[str, str] = {}
        self._reported_ms = clock.now()
        self._reviewed_ms = clock.now()
        # Set when a move has failed.
        self._move_again_ms = clock.now()
        # The hosts of the gateways of this zone, and since when.
        self._holders_by_service: dict[str, str] = {}
        self._changed_ms = clock.now()

    def record_statement(self, service: str) -> None:
        """Count a statement for a gateway of this host."""
        meter = self._meters_by_service.get(service)
        if meter is not None:
            meter.record()

    def host_for(self, service: str, zone: str | None) -> str:
        """Return the host that runs a service's gateway; '' if none can.

        ``zone`` is that of the primary. Decided by hash while a job host of an
        earlier release, or with another option, answers: it sends statements
        by the hash.
        """
        now = self._clock.now()
        self._record_demands(now)
        job = members_module.gateway_job(service)
        if self._uses_hash():
            return self._members.host_for(job, zone)
        candidate_ids = self._members.candidate_ids(zone)
        claims_by_host = self._claims_by_host()
        holder_id = gateway_placement.choose_holder(
            service, candidate_ids, claims_by_host
        )
        if holder_id:
            return holder_id
        if any(each not in claims_by_host for each in candidate_ids):
            # One of them may have the gateway.
            self._metrics.count('gateways_placed_without_claims')
            return self._members.host_for(job, zone)
        found = self._kept_host(service, candidate_ids, now)
        if not found:
            self._hosts_by_unplaced_service = self._distribute(
                candidate_ids, now
            )
            self._distributed_ms = now
            found = self._hosts_by_unplaced_service.get(service, '')
        return found or self._members.host_for(job, zone)

    def preview_host(self, service: str, zone: str | None) -> str:
        """Return what ``host_for`` would return, without any effect."""
        host_by_hash = self._members.host_for(
            members_module.gateway_job(service), zone
        )
        if self._is_hash_in_use():
            return host_by_hash
        candidate_ids = self._members.candidate_ids(zone)
        claims_by_host = self._claims_by_host()
        holder_id = gateway_placement.choose_holder(
            service, candidate_ids, claims_by_host
        )
        if holder_id:
            return holder_id
        if any(each not in claims_by_host for each in candidate_ids):
            return host_by_hash
        now = self._clock.now()
        return (
            self._kept_host(service, candidate_ids, now)
            or self._distribute(candidate_ids, now).get(service)
            or host_by_hash
        )

    def _kept_host(
        self, service: str, candidate_ids: list[str], now: int
    ) -> str:
        """Return the host by the last distribution; '' if it is too old."""
        found = self._hosts_by_unplaced_service.get(service, '')
        if (
            found in candidate_ids
            and self._distributed_ms is not None
            and now - self._distributed_ms < DISTRIBUTION_KEPT_MS
        ):
            return found
        return ''

    def _distribute(
        self, candidate_ids: list[str], now: int
    ) -> dict[str, str]:
        """Choose hosts for the services that no usable host claims."""
        survey = self._survey(candidate_ids, now)
        demands_by_service = gateway_placement.complete_demands(
            {each.service: each.per_s for each in survey.gateways}
        )
        return gateway_placement.distribute(
            survey.unplaced,
            gateway_placement.loads(survey.gateways, demands_by_service),
            survey.rates_by_host,
        )

    def _is_hash_in_use(self) -> bool:
        """Tell whether a job host that answers places by the hash."""
        return any(
            each.is_up
            and each.claims_received_ms
            and not each.claims.places_by_demand
            for each in self._members.job_links()
        )

    def _uses_hash(self) -> bool:
        uses_hash = self._is_hash_in_use()
        if uses_hash != self._used_hash:
            if uses_hash or self._used_hash is not None:
                _log.info('gateway_placement_changed', by_hash=uses_hash)
            self._used_hash = uses_hash
        return uses_hash

    def _claims_by_host(self) -> dict[str, frames.Claims]:
        """Return what each host claims, of those that have said so."""
        claims_by_host = {
            each.peer.host_id: each.claims
            for each in self._members.job_links()
            if each.claims_received_ms
        }
        claims_by_host[self._members.local.host_id] = self._own_claims
        return claims_by_host

    def _record_demands(self, now: int) -> None:
        """Keep the figures of hosts that answer."""
        if (
            self._recorded_ms is not None
            and now - self._recorded_ms < RECORD_INTERVAL_MS
        ):
            return
        self._recorded_ms = now
        self._memory.expire(now)
        claims = [
            each.claims
            for each in sorted(
                self._members.job_links(),
                key=lambda each: each.claims_received_ms,
            )
            if each.is_up
        ]
        for each in (*claims, self._own_claims):
            for service, reported in each.demands_by_service.items():
                per_s = gateway_placement.clamp_demand(reported)
                if per_s is not None:
                    self._memory.record(service, per_s, now)

    def _survey(
        self, host_ids: collections.abc.Collection[str], now: int
    ) -> _Survey:
        """Return the services that any of ``host_ids`` may run."""
        claims_by_host = self._claims_by_host()
        candidates_by_zone: dict[str | None, tuple[str, ...]] = {}
        gateways = []
        unplaced: list[tuple[str, tuple[str, ...]]] = []
        demands_by_service: dict[str, float | None] = {}
        for service, zone in self._services():
            if zone not in candidates_by_zone:
                candidate_ids = tuple(self._members.candidate_ids(zone))
                candidates_by_zone[zone] = (
                    ()
                    if set(candidate_ids).isdisjoint(host_ids)
                    else candidate_ids
                )
            candidate_ids = candidates_by_zone[zone]
            if not candidate_ids:
                continue
            demand = self._memory.per_s(service, now)
            demands_by_service[service] = demand
            holder_id = gateway_placement.choose_holder(
                service, candidate_ids, claims_by_host
            )
            if holder_id:
                gateways.append(
                    gateway_placement.Gateway(
                        service, holder_id, demand, candidate_ids
                    )
                )
            else:
                unplaced.append((service, candidate_ids))
        complete = gateway_placement.complete_demands(demands_by_service)
        return _Survey(
            gateways,
            [
                gateway_placement.Unplaced(
                    service, complete[service], candidate_ids
                )
                for service, candidate_ids in unplaced
            ],
            self._rates_by_host(),
        )

    def _rates_by_host(self) -> dict[str, float]:
        hosts = [
            self._members.local,
            *(each.peer for each in self._members.job_links()),
        ]
        return gateway_placement.complete_capacities(
            {
                each.host_id: gateway_placement.statements_per_s(each.capacity)
                for each in hosts
            }
        )

    def hands_over(self, service: str) -> bool:
        """Tell whether this host keeps a gateway until another claims it."""
        return service in self._handovers_by_service

    def review(
        self,
        claims: frames.Claims,
    ) -> frames.Claims:
        """Add to this host's claims what other hosts need to place gateways.

        ``claims`` include the gateways for which ``hands_over`` is true. Looks
        for a gateway to move.
        """
        now = self._clock.now()
        self._record_demands(now)
        taken_services = self._end_handovers(now)
        claims = dataclasses.replace(
            claims,
            zones_by_service={
                service: zone
                for service, zone in claims.zones_by_service.items()
                # Claimed again, it would conflict with its new host.
                if service not in taken_services
            },
        )
        self._adopt_services(claims.zones_by_service, now)
        self._count_conflicts(claims.zones_by_service)
        self._move_if_due(claims.zones_by_service, now)
        measured_by_service = {
            service: meter.per_s(now)
            for service, meter in self._meters_by_service.items()
        }
        for service, per_s in measured_by_service.items():
            if per_s is not None:
                self._metrics.set_gauge(_gauge(service), round(per_s, 1))
        reported = self._own_claims.demands_by_service
        demands = gateway_placement.reportable_demands(
            measured_by_service, reported
        )
        if (
            claims.zones_by_service == self._own_claims.zones_by_service
            and now - self._reported_ms < DEMAND_REPORT_INTERVAL_MS
        ):
            demands = dict(reported)
        if demands != reported:
            self._reported_ms = now
        self._own_claims = dataclasses.replace(
            claims,
            places_by_demand=True,
            demands_by_service=demands,
            successors_by_service={
                service: each.successor_id
                for service, each in self._handovers_by_service.items()
            },
        )
        return self._own_claims

    def _adopt_services(
        self, services: collections.abc.Collection[str], now: int
    ) -> None:
        """Measure the demand of this host's gateways and of no others."""
        for service in self._meters_by_service.keys() - services:
            del self._meters_by_service[service]
            self._stays_until_ms_by_service.pop(service, None)
            self._metrics.remove_gauge(_gauge(service))
        for service in services:
            if service not in self._meters_by_service:
                adopted_per_s = self._memory.per_s(service, now)
                self._meters_by_service[service] = (
                    gateway_placement.DemandMeter(now, adopted_per_s)
                )
                # A gateway that was placed without a figure may move as soon
                # as there is one.
                if adopted_per_s is not None:
                    self._stays_until_ms_by_service[service] = (
                        now + MIN_STAY_MS
                    )

    def _end_handovers(self, now: int) -> set[str]:
        """End hand-overs; return the services whose successor claims them."""
        taken_services = set()
        claims_by_host = self._claims_by_host()
        local_id = self._members.local.host_id
        for service, handover in list(self._handovers_by_service.items()):
            successor_claims = claims_by_host.get(handover.successor_id)
            zone = self._own_claims.zones_by_service.get(service)
            if local_id not in self._members.candidate_ids(zone):
                reason = 'this host can not run it any more'
            elif (
                successor_claims is not None
                and service in successor_claims.zones_by_service
            ):
                reason = ''
                taken_services.add(service)
            elif now - handover.started_ms > HANDOVER_TIMEOUT_MS:
                reason = 'the successor did not claim it'
            else:
                continue
            del self._handovers_by_service[service]
            if reason:
                self._move_again_ms = now + MIN_STAY_MS
            self._metrics.count(
                'gateway_moves_failed' if reason else 'gateways_moved'
            )
            _log.info(
                'gateway_move_ended',
                service=service,
                successor=handover.successor_id,
                reason=reason,
                after_ms=now - handover.started_ms,
            )
        return taken_services

    def _count_conflicts(
        self, services: collections.abc.Collection[str]
    ) -> None:
        """Count services that another host claims as well."""
        conflicting = frozenset(
            service
            for each in self._members.job_links()
            if each.is_up and not each.is_draining
            for service in each.claims.zones_by_service
            if service in services
            and service not in self._handovers_by_service
            and service not in each.claims.successors_by_service
        )
        new = conflicting - self._conflicting
        if new:
            self._metrics.count('gateway_claims_conflicting', len(new))
        self._conflicting = conflicting

    def _move_if_due(
        self, services: collections.abc.Collection[str], now: int
    ) -> None:
        has_young = any(
            meter.per_s(now) is None
            for meter in self._meters_by_service.values()
        )
        interval_ms = (
            YOUNG_REVIEW_INTERVAL_MS if has_young else REVIEW_INTERVAL_MS
        )
        if (
            now - self._reviewed_ms < interval_ms
            or now < self._move_again_ms
            or self._handovers_by_service
            or self._members.is_isolated
            or self._uses_hash()
        ):
            return
        self._reviewed_ms = now
        local_id = self._members.local.host_id
        survey = self._survey([local_id], now)
        holders_by_service = {
            each.service: each.holder_id for each in survey.gateways
        }
        if holders_by_service != self._holders_by_service:
            self._holders_by_service = holders_by_service
            self._changed_ms = now
        claims_by_host = self._claims_by_host()
        if survey.unplaced or any(
            each not in claims_by_host
            for each in self._members.candidate_ids(self._members.local.zone)
        ):
            return
        move = gateway_placement.choose_move(
            survey.gateways, survey.rates_by_host
        )
        if (
            move is None
            or move.source_id != local_id
            or move.service not in services
            or not self._may_move(move, now)
        ):
            return
        self._handovers_by_service[move.service] = _Handover(
            move.successor_id, now
        )
        _log.info(
            'gateway_move_started',
            service=move.service,
            successor=move.successor_id,
            demand_per_s=self._memory.per_s(move.service, now),
            utilization=round(move.source_utilization, 2),
            later_utilization=round(move.later_utilization, 2),
        )

    def _may_move(self, move: gateway_placement.Move, now: int) -> bool:
        if self._memory.per_s(move.service, now) is None:
            return True
        if now < self._stays_until_ms_by_service.get(move.service, now):
            return False
        return (
            now - self._changed_ms >= MOVE_INTERVAL_MS
            or move.source_utilization
            > gateway_placement.OVERLOADED_UTILIZATION
        )


def _gauge(service: str) -> str:
    return f'gateway_demand_{service}'
