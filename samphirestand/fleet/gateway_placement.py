"""Decisions about which job host runs the gateway of a service, free of I/O.

For services of uneven demand in zones whose hosts differ in size. A gateway
stays on its host while that can run it. Services without such a host are
distributed in one step, in proportion to the capacity of the hosts. Only the
host of a gateway may move it for the sake of load, and names its successor.
docs/design/gateway-placement.md has the reasons.
"""

import collections.abc
import dataclasses

from samphirestand.fleet import frames
from samphirestand.hosts import rendezvous
from samphirestand import node_settings

__all__ = [
    'OVERLOADED_UTILIZATION',
    'DemandMemory',
    'DemandMeter',
    'Gateway',
    'Move',
    'Unplaced',
    'choose_holder',
    'choose_move',
    'clamp_demand',
    'complete_capacities',
    'complete_demands',
    'distribute',
    'loads',
    'reportable_demands',
    'statements_per_s',
]

# Processor time and bytes each way that a statement takes on its gateway's
# host. CAPACITY.md measured 1.09 to 2.09 ms of a core for a primary read or a
# write on a host that is both entry and gateway host. A statement passes the
# links to its entry host and to its target, as a frame and as a line: frames
# have 176 bytes for a write of 60 and 266 for an answer of two rows of 100.
STATEMENT_CORE_MS = 1.5
STATEMENT_BYTES = 600

# What a gateway costs without statements: 0.61% of a core (CAPACITY.md), as a
# number of statements per second.
IDLE_GATEWAY_PER_S = 4

# Bounds of a known demand in statements per second. The three targets of a
# service, with 6 slots each and 3 ms a statement, run 6,000.
MIN_DEMAND_PER_S = 1
MAX_DEMAND_PER_S = 10_000

# The demand of each service if none is known.
DEFAULT_DEMAND_PER_S = 1.0

# A gateway is moved only from a host that is busy for half of its time; below
# that, statements hardly wait for its processor.
MIN_MOVE_UTILIZATION = 0.5

# A move must lower the utilization of the busier of its two hosts by this
# share. A move back would have to gain as much again, so that services don't
# oscillate between hosts: their demand must change by more than that first.
MIN_MOVE_GAIN = 0.25

# Above the first of these utilizations statements queue for the processor, and
# the second suffices as a gain. In the replay a host stayed overloaded by 5%
# beside one that was busy for 70% of its time.
OVERLOADED_UTILIZATION = 0.9
MIN_OVERLOADED_MOVE_GAIN = 0.1

# Demand is counted in windows, and averaged with this time constant, so that
# bursts of a few seconds move nothing.
WINDOW_MS = 1_000
AVERAGING_MS = 10_000

# A gateway tells its demand from this time on.
MIN_MEASURED_MS = 5_000

# The demand of a service whose gateway is gone is remembered for this long.
# Its successor takes over within a few seconds.
DEMAND_KEPT_MS = 15_000

# Demand is reported again when it has changed by this share and by this many
# statements per second. An average over 10 s varies by 3% at 50 a second.
REPORTED_CHANGE = 0.15
MIN_REPORTED_CHANGE_PER_S = 3


@dataclasses.dataclass(frozen=True)
class Unplaced:
    """A service that needs a host, and the hosts that may run its gateway."""

    service: str
    per_s: float
    candidate_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Gateway:
    """A gateway at work; ``per_s`` is its demand, None if that is unknown."""

    service: str
    holder_id: str
    per_s: float | None
    candidate_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Move:
    """A gateway that should move, with the utilization of both hosts."""

    service: str
    source_id: str
    successor_id: str
    source_utilization: float
    later_utilization: float  # of the busier of both hosts after the move


def statements_per_s(capacity: node_settings.Capacity) -> float | None:
    """Return how many statements per second a host can run; None: unknown."""
    rates = []
    if capacity.millicores > 0:
        rates.append(capacity.millicores / STATEMENT_CORE_MS)
    if capacity.link_kbps > 0:
        rates.append(capacity.link_kbps * 1000 / 8 / STATEMENT_BYTES)
    return min(rates, default=None)


def complete_capacities(
    rates_by_host: collections.abc.Mapping[str, float | None],
) -> dict[str, float]:
    """Replace unknown capacities by the mean of the known ones."""
    return _with_mean(rates_by_host, 1.0)


def complete_demands(
    demands_by_service: collections.abc.Mapping[str, float | None],
) -> dict[str, float]:
    """Replace unknown demands by the mean of the known ones."""
    return _with_mean(demands_by_service, DEFAULT_DEMAND_PER_S)


def _with_mean(
    values_by_key: collections.abc.Mapping[str, float | None], default: float
) -> dict[str, float]:
    known = [each for each in values_by_key.values() if each is not None]
    mean = sum(known) / len(known) if known else default
    return {
        key: mean if value is None else value
        for key, value in values_by_key.items()
    }


def clamp_demand(per_s: int) -> float | None:
    """Return a reported demand within its bounds; None if it is unknown (0).

    For hosts that report figures that no service can have.
    """
    if per_s == 0:
        return None
    return float(min(max(per_s, MIN_DEMAND_PER_S), MAX_DEMAND_PER_S))


def choose_holder(
    service: str,
    candidate_ids: collections.abc.Collection[str],
    claims_by_host: collections.abc.Mapping[str, frames.Claims],
) -> str:
    """Return the host that runs a service's gateway; '' if none claims it.

    Hosts that know the same claims and candidates choose alike. A claim that
    names a successor ends as soon as the successor claims the service; before
    that, the successor is chosen if it is a candidate. Of two hosts that claim
    it, the one with fewer gateways keeps it, since a host that was cut off may
    have claimed all services; among equals a hash decides.
    """
    claiming_ids = [
        each
        for each in candidate_ids
        if each in claims_by_host
        and service in claims_by_host[each].zones_by_service
    ]
    staying_ids = [
        each
        for each in claiming_ids
        if service not in claims_by_host[each].successors_by_service
    ]
    if not staying_ids:
        for host_id in sorted(claiming_ids):
            successor_id = claims_by_host[host_id].successors_by_service[
                service
            ]
            if successor_id in candidate_ids:
                return successor_id
    return min(
        _by_score(staying_ids or claiming_ids, service),
        key=lambda each: len(claims_by_host[each].zones_by_service),
        default='',
    )


def _by_score(
    host_ids: collections.abc.Iterable[str], service: str
) -> list[str]:
    return sorted(
        host_ids,
        key=lambda host_id: rendezvous.score(host_id, service),
        reverse=True,
    )


def loads(
    gateways: collections.abc.Iterable[Gateway],
    demands_by_service: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the statements per second that each host's gateways cost it."""
    loads_by_host: dict[str, float] = {}
    for each in gateways:
        loads_by_host[each.holder_id] = (
            loads_by_host.get(each.holder_id, 0)
            + demands_by_service[each.service]
            + IDLE_GATEWAY_PER_S
        )
    return loads_by_host


def distribute(
    services: collections.abc.Iterable[Unplaced],
    loads_by_host: collections.abc.Mapping[str, float],
    rates_by_host: collections.abc.Mapping[str, float],
) -> dict[str, str]:
    """Choose a host for each service, those with most demand first.

    For a start of the fleet and for the loss of several hosts at once. Each
    service goes to the host that is least utilized with it; among equals a
    hash decides. Returns the hosts by service.
    """
    new_loads_by_host = dict(loads_by_host)
    hosts_by_service: dict[str, str] = {}
    for each in sorted(services, key=lambda each: (-each.per_s, each.service)):
        if not each.candidate_ids:
            continue
        cost = each.per_s + IDLE_GATEWAY_PER_S
        later_by_host = {
            host_id: (new_loads_by_host.get(host_id, 0) + cost)
            / rates_by_host[host_id]
            for host_id in _by_score(each.candidate_ids, each.service)
        }
        host_id = min(later_by_host, key=later_by_host.__getitem__)
        hosts_by_service[each.service] = host_id
        new_loads_by_host[host_id] = new_loads_by_host.get(host_id, 0) + cost
    return hosts_by_service


def choose_move(
    gateways: collections.abc.Collection[Gateway],
    rates_by_host: collections.abc.Mapping[str, float],
) -> Move | None:
    """Return the move that is worth its cost most; None if none is.

    For demand that has shifted for longer than a burst, and for hosts that
    start one after the other. A gateway whose demand isn't known yet is young
    and cheap to move, so it needs no busy host. Starts with the most utilized
    host, so that hosts that know the same claims agree on one move.
    """
    demands_by_service = complete_demands(
        {each.service: each.per_s for each in gateways}
    )
    loads_by_host = loads(gateways, demands_by_service)
    utilizations_by_host = {
        host_id: load / rates_by_host[host_id]
        for host_id, load in loads_by_host.items()
    }
    for source_id in sorted(
        utilizations_by_host,
        key=lambda host_id: (-utilizations_by_host[host_id], host_id),
    ):
        utilization = utilizations_by_host[source_id]
        moves = []
        for each in gateways:
            if each.holder_id != source_id or (
                each.per_s is not None and utilization < MIN_MOVE_UTILIZATION
            ):
                continue
            cost = demands_by_service[each.service] + IDLE_GATEWAY_PER_S
            remaining = (loads_by_host[source_id] - cost) / rates_by_host[
                source_id
            ]
            for host_id in each.candidate_ids:
                if host_id == source_id:
                    continue
                later = (loads_by_host.get(host_id, 0) + cost) / rates_by_host[
                    host_id
                ]
                moves.append(
                    Move(
                        each.service,
                        source_id,
                        host_id,
                        utilization,
                        max(remaining, later),
                    )
                )
        best = min(
            moves,
            key=lambda each: (
                each.later_utilization,
                each.service,
                each.successor_id,
            ),
            default=None,
        )
        min_gain = (
            MIN_OVERLOADED_MOVE_GAIN
            if utilization > OVERLOADED_UTILIZATION
            else MIN_MOVE_GAIN
        )
        if best is not None and (
            best.later_utilization <= utilization * (1 - min_gain)
        ):
            return best
    return None


class DemandMeter:
    """Measures the statements per second of one gateway.

    ``adopted_per_s`` is what an earlier gateway reported; None if unknown.
    """

    def __init__(self, now: int, adopted_per_s: float | None = None) -> None:
        self._average_per_s = adopted_per_s
        self._started_ms = now
        self._window_started_ms = now
        self._count = 0
        self._is_adopted = adopted_per_s is not None

    def record(self) -> None:
        """Count a statement."""
        self._count += 1

    def per_s(self, now: int) -> float | None:
        """Return the average demand; None while that isn't known."""
        elapsed_ms = now - self._window_started_ms
        if elapsed_ms >= WINDOW_MS:
            measured_per_s = self._count * 1000 / elapsed_ms
            # A window that was long, after a pause of the process, counts as
            # much as the time that it covers.
            measured_ms = now - self._started_ms
            weight = min(
                1.0,
                elapsed_ms
                / (
                    AVERAGING_MS
                    if self._is_adopted
                    else min(AVERAGING_MS, measured_ms)
                ),
            )
            earlier_per_s = self._average_per_s or 0.0
            self._average_per_s = earlier_per_s + weight * (
                measured_per_s - earlier_per_s
            )
            self._window_started_ms = now
            self._count = 0
        if not self._is_adopted and now - self._started_ms < MIN_MEASURED_MS:
            return None
        return self._average_per_s


class DemandMemory:
    """Keeps the last known demand of each service for a limited time.

    For hosts that end, whose figures would be lost with them.
    """

    def __init__(self) -> None:
        self._last_by_service: dict[str, tuple[int, float]] = {}

    def record(self, service: str, per_s: float, now: int) -> None:
        """Adopt a figure that a gateway reports at present."""
        self._last_by_service[service] = now, per_s

    def expire(self, now: int) -> None:
        """Forget figures that are too old."""
        for service, (recorded_ms, _) in list(self._last_by_service.items()):
            if now - recorded_ms > DEMAND_KEPT_MS:
                del self._last_by_service[service]

    def per_s(self, service: str, now: int) -> float | None:
        """Return the demand of a service; None if it is unknown."""
        recorded_ms, per_s = self._last_by_service.get(service, (None, None))
        if recorded_ms is None or now - recorded_ms > DEMAND_KEPT_MS:
            return None
        return per_s


def reportable_demands(
    measured_by_service: collections.abc.Mapping[str, float | None],
    reported_by_service: collections.abc.Mapping[str, int],
) -> dict[str, int]:
    """Return the figures to report; earlier ones unless they have changed.

    Without this each window would bring another figure to all job hosts.
    """
    demands_by_service: dict[str, int] = {}
    for service, per_s in measured_by_service.items():
        if per_s is None:
            continue
        value = min(max(round(per_s), MIN_DEMAND_PER_S), MAX_DEMAND_PER_S)
        earlier = reported_by_service.get(service)
        if earlier is not None and abs(value - earlier) <= max(
            REPORTED_CHANGE * earlier, MIN_REPORTED_CHANGE_PER_S
        ):
            value = earlier
        demands_by_service[service] = value
    return demands_by_service
