"""Replays demand, failures and late claims against the placement of gateways.

The hosts of a fleet decide with the production code, each by what it has been
told; links, time and load are models. Run it with
``python -m bench.placement_replay``.
"""

import argparse
import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random
import sys

from samphirestand import clock as clock_module
from samphirestand.fleet import demand_placement
from samphirestand.fleet import frames
from samphirestand.fleet import gateway_placement
from samphirestand.fleet import members as members_module
from samphirestand import log
from samphirestand import metrics as metrics_module
from samphirestand import node_settings

__all__ = ['PATTERNS', 'Pattern', 'Result', 'replay']

ZONE = 'north'
OTHER_ZONE = 'south'
SERVICES = 10

# As in samphirestand/gateway/gateways.py.
MAINTENANCE_INTERVAL_MS = 100

# A host that was killed counts as unreachable after four pings at most.
DETECTION_MS = 1_000

SMALL = node_settings.Capacity(500, 5_000)
MIDDLE = node_settings.Capacity(1_000, 50_000)
LARGE = node_settings.Capacity(2_150, 100_000)


@dataclasses.dataclass(frozen=True)
class Pattern:
    """One course of demand and events.

    Services have demands as 1, 1/2, 1/3 and so on; together they are ``load``
    times the capacity of the hosts that stay. Demand is multiplied by
    ``swing`` in turn for half of the services in each half of ``period_ms``.
    """

    name: str
    hosts: tuple[node_settings.Capacity, ...]
    load: float
    duration_ms: int = 120_000
    killed: tuple[int, ...] = ()  # the numbers of hosts
    killed_ms: int = 40_000
    swing: float = 1.0
    period_ms: int = 0
    max_delay_ms: int = 5
    # How many times a second each connection is lost.
    losses_per_s: float = 0.0
    disturbed_until_ms: int = 0  # delays and losses end then
    start_spread_ms: int = 0
    # A host of an earlier release, which runs until then.
    old_host: int | None = None
    old_until_ms: int = 0


PATTERNS = (
    Pattern('uneven', (LARGE, LARGE, SMALL, SMALL), 0.6),
    Pattern(
        'largest_lost',
        (LARGE, LARGE, MIDDLE, MIDDLE, MIDDLE),
        0.6,
        killed=(0, 1),
    ),
    Pattern(
        'swinging',
        (LARGE, LARGE, SMALL, SMALL),
        0.4,
        300_000,
        swing=3.0,
        period_ms=20_000,
    ),
    Pattern(
        'swinging_slowly',
        (LARGE, LARGE, SMALL, SMALL),
        0.4,
        600_000,
        swing=3.0,
        period_ms=120_000,
    ),
    Pattern(
        'staggered_start',
        (LARGE, LARGE, SMALL, SMALL),
        0.6,
        start_spread_ms=2_000,
    ),
    Pattern(
        'late_claims',
        (LARGE, LARGE, SMALL, SMALL),
        0.6,
        max_delay_ms=900,
        disturbed_until_ms=80_000,
    ),
    Pattern(
        'lost_claims',
        (LARGE, LARGE, SMALL, SMALL),
        0.6,
        losses_per_s=0.05,
        disturbed_until_ms=80_000,
    ),
    Pattern(
        'older_host',
        (LARGE, LARGE, SMALL, SMALL),
        0.6,
        old_host=1,
        old_until_ms=60_000,
    ),
)


@dataclasses.dataclass
class Result:
    """What a replay has shown."""

    # Of statements, those that exceeded what their host can run in a second.
    excess_share: float = 0.0
    # The same in the last 30 s.
    final_excess_share: float = 0.0
    # When each service changed hosts, and to which one.
    moves_by_service: dict[str, list[tuple[int, str]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    # For how long several hosts claimed each service, and the longest time.
    double_ms: int = 0
    longest_double_ms: int = 0
    unclaimed_ms: int = 0  # after the first second
    # Whether all hosts agree at the end, and on what.
    agrees: bool = True
    holders_by_service: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def moves(self) -> int:
        return sum(map(len, self.moves_by_service.values()))


class _Link:
    """What one host knows of another."""

    def __init__(self, peer: frames.Hello, now: int) -> None:
        self.peer = peer
        self.is_up = False
        self.is_draining = False
        self.reaches_store = True
        self.has_been_tried = True
        self.is_silent = False
        self.last_answer_ms = now
        self.fleet_digest = 0
        self.claims = frames.Claims({})
        self.claims_received_ms = 0

    def is_silent_for(self, limit_ms: int) -> bool:
        return self.is_silent


class _Host:
    """One host: its view of the others, and its gateways."""

    def __init__(
        self,
        hello: frames.Hello,
        clock: clock_module.Clock,
        started_ms: int,
        *,
        by_demand: bool,
    ) -> None:
        self.hello = hello
        self.started_ms = started_ms
        self.is_running = False
        self.by_demand = by_demand
        self.metrics = metrics_module.Metrics()
        # The store isn't used: the hosts are set.
        self.members = members_module.Members(
            hello,
            clock,
            None,  # type: ignore[arg-type]
            lambda: None,
        )
        self.claims = frames.Claims({}, places_by_demand=by_demand)
        self.placement = demand_placement.DemandPlacement(
            self.members,
            clock,
            self.metrics,
            lambda: ((each, ZONE) for each in _services()),
        )

    def connect(self, hosts: collections.abc.Iterable['_Host']) -> None:
        members = self.members
        for each in hosts:
            members._hosts_by_id[each.hello.host_id] = each.hello
            if each is not self:
                members._links_by_id[each.hello.host_id] = _Link(  # type: ignore[assignment]
                    each.hello, members._clock.now()
                )
        members._choose_job_hosts()

    def link_to(self, host: '_Host') -> _Link:
        return self.members._links_by_id[host.hello.host_id]  # type: ignore[return-value]

    def host_for(self, service: str) -> str:
        if self.by_demand:
            return self.placement.host_for(service, ZONE)
        return self.members.host_for(members_module.gateway_job(service), ZONE)

    def maintain(self) -> bool:
        """Update the claims as a gateway host does; tell if they changed."""
        owned = {
            service: ZONE
            for service in _services()
            if self.host_for(service) == self.hello.host_id
            or (self.by_demand and self.placement.hands_over(service))
        }
        claims = frames.Claims(owned)
        if self.by_demand:
            claims = self.placement.review(claims)
        has_changed = claims != self.claims
        self.claims = claims
        return has_changed


def _services() -> list[str]:
    return [f'svc-{number}' for number in range(SERVICES)]


class _Fleet:
    def __init__(self, pattern: Pattern, seed: int, by_demand: bool) -> None:
        self.pattern = pattern
        self.by_demand = by_demand
        self.clock = clock_module.ManualClock()
        self.start_ms = self.clock.now()
        self.generator = random.Random(seed)
        # Both placements meet the same losses.
        self.losses = random.Random(seed)
        self.result = Result()
        capacities = [(ZONE, each) for each in pattern.hosts]
        capacities += [(OTHER_ZONE, MIDDLE)] * 2
        self.hosts = [
            _Host(
                frames.Hello(
                    f'{seed}-{zone}-{number}',
                    zone,
                    '127.0.0.1',
                    1,
                    1,
                    capacity,
                ),
                self.clock,
                self.generator.randrange(pattern.start_spread_ms + 1),
                by_demand=by_demand and number != pattern.old_host,
            )
            for number, (zone, capacity) in enumerate(capacities)
        ]
        self.by_id = {each.hello.host_id: each for each in self.hosts}
        for each in self.hosts:
            each.connect(self.hosts)
        self.sequence = itertools.count()
        # Claims and changes of links on their way: when, in which order, the
        # receiver, the sender, claims, whether the connection is new.
        self.deliveries: list[
            tuple[int, int, _Host, _Host, frames.Claims, bool]
        ] = []
        self.busy_until: dict[tuple[str, str], int] = {}
        staying = [
            gateway_placement.statements_per_s(each)
            for number, each in enumerate(pattern.hosts)
            if number not in pattern.killed
        ]
        weights = [1 / (1 + number) for number in range(SERVICES)]
        total = pattern.load * sum(each for each in staying if each)
        self.demands = [total * each / sum(weights) for each in weights]
        self.generator.shuffle(self.demands)
        self.pending = dict.fromkeys(_services(), 0.0)
        self.holders = self.result.holders_by_service
        self.double_since: dict[str, int] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.totals = [0.0, 0.0]
        self.excess = [0.0, 0.0]

    @property
    def elapsed_ms(self) -> int:
        return self.clock.now() - self.start_ms

    def run(self) -> Result:
        while self.elapsed_ms < self.pattern.duration_ms:
            self._apply_events()
            self._lose_connections()
            self._deliver()
            for each in self.hosts:
                if each.is_running and each.maintain():
                    self._send(each)
            self._serve()
            self._observe()
            self.clock.set(self.clock.now() + MAINTENANCE_INTERVAL_MS)
            if self.elapsed_ms % 1_000 == 0:
                self._count_excess()
        result = self.result
        result.excess_share = self.excess[0] / self.totals[0]
        result.final_excess_share = self.excess[1] / self.totals[1]
        choices = {
            tuple(each.host_for(service) for service in _services())
            for each in self.hosts
            if each.is_running
        }
        result.agrees = len(choices) == 1
        for since_ms in self.double_since.values():
            self._end_double(since_ms)
        return result

    def _apply_events(self) -> None:
        now = self.elapsed_ms
        pattern = self.pattern
        for number, each in enumerate(self.hosts):
            if number in pattern.killed and now >= pattern.killed_ms:
                each.is_running = False
                if now >= pattern.killed_ms + DETECTION_MS:
                    self._set_link(each, False)
                continue
            if (
                self.by_demand
                and not each.by_demand
                and now >= pattern.old_until_ms
            ):
                # The older host restarts with this release.
                each.by_demand = True
                each.claims = frames.Claims({}, places_by_demand=True)
                self._connect(each)
            if not each.is_running and now >= each.started_ms:
                each.is_running = True
                self._connect(each)

    def _set_link(self, host: _Host, is_up: bool) -> None:
        for each in self.hosts:
            if each is not host:
                link = each.link_to(host)
                link.is_up = is_up
                link.last_answer_ms = self.clock.now()

    def _connect(self, host: _Host) -> None:
        for each in self.hosts:
            if each is not host and each.is_running:
                self._queue(each, host, host.claims, is_new=True)
                self._queue(host, each, each.claims, is_new=True)

    def _send(self, host: _Host) -> None:
        for each in self.hosts:
            if each is not host and each.is_running:
                self._queue(each, host, host.claims, is_new=False)

    def _lose_connections(self) -> None:
        """End some connections; the next ones bring the claims."""
        if self.elapsed_ms >= self.pattern.disturbed_until_ms:
            return
        probability = (
            self.pattern.losses_per_s * MAINTENANCE_INTERVAL_MS / 1000
        )
        for receiver, sender in itertools.permutations(self.hosts, 2):
            if self.losses.random() < probability and (
                receiver.is_running and sender.is_running
            ):
                receiver.link_to(sender).is_up = False
                self._queue(receiver, sender, None, is_new=True)

    def _queue(
        self,
        receiver: _Host,
        sender: _Host,
        claims: frames.Claims | None,
        *,
        is_new: bool,
    ) -> None:
        is_disturbed = self.elapsed_ms < self.pattern.disturbed_until_ms
        max_delay_ms = self.pattern.max_delay_ms if is_disturbed else 5
        due_ms = self.clock.now() + self.generator.randint(1, max_delay_ms)
        if claims is None:
            due_ms += DETECTION_MS
        key = receiver.hello.host_id, sender.hello.host_id
        # Frames of one connection arrive in order.
        due_ms = max(due_ms, self.busy_until.get(key, 0))
        self.busy_until[key] = due_ms
        heapq.heappush(
            self.deliveries,
            (
                due_ms,
                next(self.sequence),
                receiver,
                sender,
                claims or sender.claims,
                is_new,
            ),
        )

    def _deliver(self) -> None:
        now = self.clock.now()
        while self.deliveries and self.deliveries[0][0] <= now:
            _, _, receiver, sender, claims, is_new = heapq.heappop(
                self.deliveries
            )
            if not (receiver.is_running and sender.is_running):
                continue
            link = receiver.link_to(sender)
            if is_new:
                link.is_up = True
                claims = sender.claims
            link.claims = claims
            link.claims_received_ms = now
            link.last_answer_ms = now

    def _demand(self, number: int) -> float:
        pattern = self.pattern
        demand = self.demands[number]
        if not pattern.period_ms:
            return demand
        phase = self.elapsed_ms % pattern.period_ms * 2 // pattern.period_ms
        return demand * (pattern.swing if phase == number % 2 else 1.0)

    def _serve(self) -> None:
        """Send statements to the hosts that random entry hosts choose."""
        running = [each for each in self.hosts if each.is_running]
        if not running:
            return
        for number, service in enumerate(_services()):
            self.pending[service] += (
                self._demand(number) * MAINTENANCE_INTERVAL_MS / 1000
            )
            count = int(self.pending[service])
            self.pending[service] -= count
            entry = self.generator.choice(running)
            host_id = entry.host_for(service)
            host = self.by_id.get(host_id)
            if host is None or not host.is_running:
                continue
            self.counts[host_id] += count
            for _ in range(count):
                host.placement.record_statement(service)

    def _count_excess(self) -> None:
        is_final = self.elapsed_ms > self.pattern.duration_ms - 30_000
        for host_id, count in self.counts.items():
            rate = gateway_placement.statements_per_s(
                self.by_id[host_id].hello.capacity
            )
            assert rate is not None
            self.totals[0] += count
            self.excess[0] += max(0, count - rate)
            if is_final:
                self.totals[1] += count
                self.excess[1] += max(0, count - rate)
        self.counts.clear()

    def _observe(self) -> None:
        """Compare what the running hosts claim."""
        now = self.elapsed_ms
        for service in _services():
            claiming = [
                each
                for each in self.hosts
                if each.is_running and service in each.claims.zones_by_service
            ]
            staying = [
                each
                for each in claiming
                if service not in each.claims.successors_by_service
            ]
            if not claiming and now > 1_000:
                self.result.unclaimed_ms += MAINTENANCE_INTERVAL_MS
            if len(staying) > 1:
                self.double_since.setdefault(service, now)
            else:
                since_ms = self.double_since.pop(service, None)
                if since_ms is not None:
                    self._end_double(since_ms)
            if len(staying) == 1:
                host_id = staying[0].hello.host_id
                if self.holders.get(service, host_id) != host_id:
                    self.result.moves_by_service[service].append(
                        (now, host_id)
                    )
                self.holders[service] = host_id

    def _end_double(self, since_ms: int) -> None:
        lasted_ms = self.elapsed_ms - since_ms
        self.result.double_ms += lasted_ms
        self.result.longest_double_ms = max(
            self.result.longest_double_ms, lasted_ms
        )


def replay(pattern: Pattern, seed: int, *, by_demand: bool) -> Result:
    """Play a pattern, with the placement by demand or with the hash."""
    return _Fleet(pattern, seed, by_demand).run()


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    namespace = parser.parse_args(arguments)
    log.configure('replay', 'error')
    print(
        'pattern placement excess worst final_worst moves '
        'double_ms longest_double_ms unclaimed_ms agree'
    )
    for pattern in PATTERNS:
        for by_demand in (False, True):
            results = [
                replay(pattern, seed, by_demand=by_demand)
                for seed in range(namespace.seeds)
            ]
            print(
                pattern.name,
                'demand' if by_demand else 'hash',
                f'{sum(r.excess_share for r in results) / len(results):.4f}',
                f'{max(r.excess_share for r in results):.4f}',
                f'{max(r.final_excess_share for r in results):.4f}',
                sum(r.moves for r in results),
                sum(r.double_ms for r in results),
                max(r.longest_double_ms for r in results),
                sum(r.unclaimed_ms for r in results),
                all(r.agrees for r in results),
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
