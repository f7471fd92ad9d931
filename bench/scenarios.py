"""Scenarios of a bench run: loads by account, and faults at set times.

Steps name a service, zone, host, target or account by its index in the fleet.
"""

import asyncio
import dataclasses
import signal
from typing import Any

from bench import fleet as fleet_module
from bench import http
from bench import records

# Offered load of an account in relation to its rate, unless the scenario sets
# another one.
DEFAULT_LOAD = 0.5
COMMAND_ATTEMPTS = 5
COMMAND_RETRY_DELAY_MS = 500


@dataclasses.dataclass(frozen=True)
class KillPrimary:
    """Kills the process of a service's primary."""

    service: int


@dataclasses.dataclass(frozen=True)
class CutZone:
    """Cuts a zone off from all other zones.

    With ``from_platform`` also from the platform. Callers still reach the
    hosts of the zone. The zone is ``zone``, or that of the primary of the
    service ``primary_of``. ``is_silent`` drops bytes without an error;
    otherwise connections are reset.
    """

    zone: int | None = None
    primary_of: int | None = None
    from_platform: bool = False
    is_silent: bool = True


@dataclasses.dataclass(frozen=True)
class HealZones:
    """Restores all links that ``CutZone`` cut."""


@dataclasses.dataclass(frozen=True)
class SetLag:
    """Sets the replication lag of all replicas; None resets it."""

    lag_ms: int | None


@dataclasses.dataclass(frozen=True)
class SetPlatform:
    """Sets the faults of the platform; the defaults end them.

    ``outage`` is ``hang``, ``error`` or empty. ``lost_share`` is the share of
    writes whose answer is lost.
    """

    outage: str = ''
    lost_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class RaceOperators:
    """Sends changes of one account through several hosts at the same time.

    Each of ``operators`` sends its change to a host of its own, once in each
    of ``rounds``.
    """

    account: int
    operators: int = 5
    rounds: int = 4


@dataclasses.dataclass(frozen=True)
class KillHost:
    """Kills the process of a host and starts it after ``down_ms``."""

    host: int
    down_ms: int = 5_000


@dataclasses.dataclass(frozen=True)
class PauseHost:
    """Stops the process of a host by SIGSTOP for ``pause_ms``."""

    host: int
    pause_ms: int


@dataclasses.dataclass(frozen=True)
class PausePrimary:
    """Freezes a service's primary for ``pause_ms``; it then continues."""

    service: int
    pause_ms: int


@dataclasses.dataclass(frozen=True)
class WithdrawKey:
    """Withdraws the key of an account."""

    account: int


@dataclasses.dataclass(frozen=True)
class StopHosts:
    """Restarts all hosts one after the other, by planned stops."""

    pause_ms: int = 1_000


@dataclasses.dataclass(frozen=True)
class SilenceTargets:
    """Makes all open connections of a service's targets stop answering.

    New connections work.
    """

    service: int


@dataclasses.dataclass(frozen=True)
class RetireTarget:
    """Retires a target by an operator's command."""

    target: int


Step = (
    KillPrimary
    | CutZone
    | HealZones
    | SetLag
    | SetPlatform
    | RaceOperators
    | KillHost
    | PauseHost
    | PausePrimary
    | WithdrawKey
    | StopHosts
    | SilenceTargets
    | RetireTarget
)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Loads and faults of a run.

    ``steps`` are pairs ``(at_ms, step)``. ``loads_by_account`` are pairs of an
    account's index and its offered load in relation to its rate.
    """

    name: str
    duration_ms: int
    steps: tuple[tuple[int, Step], ...] = ()
    loads_by_account: tuple[tuple[int, float], ...] = ()


SCENARIOS = (
    Scenario('calm', 20_000),
    Scenario('primary-killed', 30_000, ((8_000, KillPrimary(0)),)),
    Scenario(
        'primary-cut-off',
        40_000,
        (
            (8_000, CutZone(primary_of=0)),
            (28_000, HealZones()),
        ),
    ),
    Scenario('noisy-account', 25_000, loads_by_account=((1, 5.0),)),
    Scenario(
        'replicas-behind',
        30_000,
        ((5_000, SetLag(10_000)), (20_000, SetLag(None))),
    ),
    Scenario(
        'platform-down',
        40_000,
        ((5_000, SetPlatform('hang')), (30_000, SetPlatform(''))),
    ),
    Scenario(
        'zone-cut-off',
        40_000,
        (
            (8_000, CutZone(zone=0, from_platform=True)),
            (28_000, HealZones()),
        ),
    ),
    Scenario(
        'hosts-killed',
        35_000,
        ((5_000, KillHost(0)), (10_000, KillHost(4)), (15_000, KillHost(8))),
    ),
    Scenario(
        'paused',
        40_000,
        (
            (5_000, PauseHost(1, 15_000)),
            (8_000, PausePrimary(0, 12_000)),
        ),
    ),
    Scenario('key-withdrawn', 25_000, ((8_000, WithdrawKey(2)),)),
    Scenario(
        'operators-race',
        25_000,
        (
            (4_000, RaceOperators(0)),
            (8_000, SetPlatform(lost_share=0.3)),
            (8_000, RaceOperators(1)),
            (14_000, SetPlatform()),
        ),
    ),
    Scenario('planned-stops', 60_000, ((5_000, StopHosts()),)),
    Scenario('silent-connections', 25_000, ((8_000, SilenceTargets(0)),)),
    Scenario(
        'targets-retired',
        30_000,
        # The second target of the first service, initially a replica, and
        # the initial primary of the second service.
        ((6_000, RetireTarget(1)), (14_000, RetireTarget(3))),
    ),
    Scenario(
        'two-at-once',
        40_000,
        (
            (5_000, SetPlatform('hang')),
            (10_000, KillPrimary(0)),
            (10_000, KillHost(3)),
            (30_000, SetPlatform('')),
        ),
    ),
    # No two of the first service's three targets can reach each other, so it
    # takes no writes until the zone is back. The scenario tests that no
    # invariant is violated, not that requests are served.
    Scenario(
        'majority-lost',
        40_000,
        (
            (8_000, KillPrimary(0)),
            (8_000, CutZone(zone=1)),
            (25_000, HealZones()),
        ),
    ),
)


class FaultScript:
    """Executes the steps of a scenario and polls the health of the hosts."""

    def __init__(
        self, fleet: fleet_module.Fleet, avoided_host_ids: set[str]
    ) -> None:
        self._fleet = fleet
        self._avoided_host_ids = avoided_host_ids
        self._cut_groups: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, scenario: Scenario) -> None:
        """Execute the steps; returns when all are done and the run is over."""
        started_ms = self._fleet.clock.now()
        health_task = asyncio.create_task(self._poll_health())
        try:
            for at_ms, step in scenario.steps:
                delay_ms = started_ms + at_ms - self._fleet.clock.now()
                await self._fleet.clock.sleep(delay_ms)
                await self._execute_step(step)
            await asyncio.gather(*self._tasks)
            delay_ms = (
                started_ms + scenario.duration_ms - self._fleet.clock.now()
            )
            await self._fleet.clock.sleep(delay_ms)
        finally:
            health_task.cancel()

    async def _execute_step(self, step: Step) -> None:
        fleet = self._fleet
        match step:
            case KillPrimary():
                target = await fleet.find_primary(
                    self._service_name(step.service)
                )
                if target is not None:
                    await fleet.kill(target.target_id)
            case CutZone():
                await self._cut_zone(step)
            case HealZones():
                groups = sorted(self._cut_groups)
                await fleet.set_link_fault(groups, state='up')
                fleet.record_event('healed', ', '.join(groups))
                self._cut_groups.clear()
            case SetLag():
                configured_lag_ms = fleet.standin_settings['lag_ms']
                new_lag_ms = (
                    configured_lag_ms if step.lag_ms is None else step.lag_ms
                )
                for target in fleet.targets:
                    await self._set_target_fault(
                        target, {'lag_ms': new_lag_ms}
                    )
                fleet.record_event('fault', f'lag {new_lag_ms} ms')
            case SetPlatform():
                port = fleet.platform_port
                await fleet_module.post_json(
                    f'http://{fleet_module.ADDRESS}:{port}/faults',
                    {
                        'outage': step.outage,
                        'lost_probability': step.lost_share,
                        'seed': 1,
                    },
                )
                state = step.outage or 'up'
                fleet.record_event(
                    'fault', f'platform {state}, lost {step.lost_share}'
                )
            case RaceOperators():
                await self._race_operators(step)
            case KillHost():
                host = fleet.hosts[step.host]
                await fleet.kill(host.host_id)
                self._start_task(self._restart_host(host, step.down_ms))
            case PauseHost():
                self._start_task(
                    self._pause_host(fleet.hosts[step.host], step.pause_ms)
                )
            case PausePrimary():
                target = await fleet.find_primary(
                    self._service_name(step.service)
                )
                if target is not None:
                    fleet.record_event(
                        'fault', target.target_id, text='paused'
                    )
                    await self._set_target_fault(
                        target, {'freeze_ms': step.pause_ms}
                    )
            case WithdrawKey():
                await self._withdraw_key(step)
            case StopHosts():
                await self._stop_hosts(step)
            case SilenceTargets():
                name = self._service_name(step.service)
                for target in fleet.targets:
                    if target.service == name:
                        await self._set_target_fault(target, {'silent': True})
                fleet.record_event('fault', f'silent connections of {name}')
            case RetireTarget():
                target = fleet.targets[step.target]
                await self._send_change(
                    f'RETIRE TARGET {target.target_id}',
                    'retired',
                    target.target_id,
                )

    async def _send_change(self, text: str, kind: str, subject: str) -> None:
        """Send an operator's change until it is accepted, and record it.

        The recorded time is that of sending. The answer comes only after the
        change has spread, so bounds that count from there would be laxer.
        Raises ``RuntimeError`` if it is refused ``COMMAND_ATTEMPTS`` times.
        """
        for _ in range(COMMAND_ATTEMPTS):
            sent_ms = self._fleet.clock.wall()
            answer = await self.send_command(text)
            if answer.get('outcome') == 'accepted':
                version = int(answer['version'])
                self._fleet.events += [
                    records.Event(kind, subject, sent_ms),
                    records.Event('accepted', text, sent_ms, version),
                ]
                return
            await self._fleet.clock.sleep(COMMAND_RETRY_DELAY_MS)
        raise RuntimeError(f'{text} was not accepted: {answer}')

    async def send_command(self, text: str) -> dict[str, Any]:
        """Send an operator's command to the hosts until one runs it.

        Returns its answer, empty if no host ran the command.
        """
        for host in self._fleet.hosts:
            if answer := await self._send_command_to_host(host, text):
                return answer
        return {}

    async def _send_command_to_host(
        self, host: fleet_module.Host, text: str
    ) -> dict[str, Any]:
        fleet = self._fleet
        channel = http.Channel(fleet_module.ADDRESS, host.caller_port)
        key = fleet.keys_by_account[fleet_module.OPERATOR]
        try:
            response = await channel.request(
                'POST', '/v1/operator', {'command': text}, key
            )
        except (http.Unsent, http.Lost):
            return {}
        finally:
            channel.close()
        if response.status == 200:
            return response.document
        fleet.record_event('refused', text, text=str(response.document))
        return {}

    async def _race_operators(self, step: RaceOperators) -> None:
        account = list(self._fleet.accounts)[step.account]
        for number in range(step.rounds):
            await asyncio.gather(
                *(
                    self._send_racing_change(
                        f'ALTER ACCOUNT {account} WEIGHT'
                        f' {1 + number * step.operators + operator}',
                        self._fleet.hosts[operator],
                    )
                    for operator in range(step.operators)
                )
            )

    async def _send_racing_change(
        self, text: str, host: fleet_module.Host
    ) -> None:
        sent_ms = self._fleet.clock.wall()
        answer = await self._send_command_to_host(host, text)
        if answer.get('outcome') == 'accepted':
            version = int(answer['version'])
            self._fleet.events.append(
                records.Event('accepted', text, sent_ms, version)
            )

    async def _withdraw_key(self, step: WithdrawKey) -> None:
        account = list(self._fleet.accounts)[step.account]
        key_id = self._fleet.keys_by_account[account].partition('.')[0]
        await self._send_change(f'WITHDRAW KEY {key_id}', 'withdrawn', key_id)

    async def _cut_zone(self, step: CutZone) -> None:
        fleet = self._fleet
        zone = fleet.zones[step.zone or 0]
        if step.primary_of is not None:
            target = await fleet.find_primary(
                self._service_name(step.primary_of)
            )
            zone = target.zone if target else zone
        groups = fleet.zone_link_groups(zone)
        if step.from_platform:
            groups.append(fleet_module.link_group(zone, fleet_module.PLATFORM))
        state = 'blackhole' if step.is_silent else 'cut'
        await fleet.set_link_fault(groups, state=state)
        self._cut_groups.update(groups)
        fleet.record_event('fault', zone, text=f'{state} {", ".join(groups)}')

    async def _stop_hosts(self, step: StopHosts) -> None:
        for host in self._fleet.hosts:
            # A host that is stopping reports that it is draining, so that
            # callers leave it. Callers that stay are served until its
            # listener closes.
            await self._fleet.stop_host(host)
            self._avoided_host_ids.add(host.host_id)
            self._fleet.start_host(host)
            await self._wait_until_ready(host)
            self._avoided_host_ids.discard(host.host_id)
            await self._fleet.clock.sleep(step.pause_ms)

    async def _pause_host(
        self, host: fleet_module.Host, pause_ms: int
    ) -> None:
        process = self._fleet.processes_by_name[host.host_id]
        self._fleet.record_event('fault', host.host_id, text='paused')
        process.send_signal(signal.SIGSTOP)
        try:
            await self._fleet.clock.sleep(pause_ms)
        finally:
            process.send_signal(signal.SIGCONT)

    async def _restart_host(
        self, host: fleet_module.Host, down_ms: int
    ) -> None:
        self._avoided_host_ids.add(host.host_id)
        await self._fleet.clock.sleep(down_ms)
        self._fleet.start_host(host)
        await self._wait_until_ready(host)
        self._avoided_host_ids.discard(host.host_id)

    async def _wait_until_ready(self, host: fleet_module.Host) -> None:
        for _ in range(200):
            document = await self._fetch_health(host)
            if document.get('status') == 'ready':
                return
            await self._fleet.clock.sleep(100)

    async def _poll_health(self) -> None:
        """Record the configuration version and status of each host."""
        while True:
            for host in self._fleet.hosts:
                document = await self._fetch_health(host)
                if 'version' in document:
                    self._fleet.record_event(
                        'health',
                        host.host_id,
                        document['version'],
                        document.get('status', ''),
                    )
            await self._fleet.clock.sleep(500)

    async def _fetch_health(self, host: fleet_module.Host) -> dict[str, Any]:
        channel = http.Channel(fleet_module.ADDRESS, host.caller_port)
        try:
            response = await channel.request(
                'GET', '/v1/health', timeout_s=1.0
            )
        except (http.Unsent, http.Lost):
            return {}
        finally:
            channel.close()
        return response.document

    async def _set_target_fault(
        self, target: fleet_module.Target, fault: dict[str, Any]
    ) -> None:
        if target.target_id in self._fleet.processes_by_name:
            await fleet_module.post_json(f'{target.control_url}/faults', fault)

    def _service_name(self, number: int) -> str:
        return list(self._fleet.services)[number]

    def _start_task(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.create_task(coroutine))
