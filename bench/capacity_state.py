"""Costs of large configurations and of choosing gateways, in this process."""

import dataclasses
import gc
import random
import time
from typing import Any

from bench import processes
from samphirestand import clock as clocks
from samphirestand.control import changes
from samphirestand.control import rows
from samphirestand.hosts import membership as memberships
from samphirestand import metrics
from samphirestand.targets import gateways as gateways_module
from samphirestand import types

TARGETS_PER_SERVICE = 3
# Assumptions, as the plan gives no numbers: one account for five services, and
# four keys for each account, one of them withdrawn.
SERVICES_PER_ACCOUNT = 5
KEYS_PER_ACCOUNT = 4
ZONES = 9
REPEAT_COUNT = 5
VERSION = 99


def configuration_of(
    services: int, version: int = VERSION
) -> types.Configuration:
    """Return a configuration with this number of services."""
    accounts = max(1, services // SERVICES_PER_ACCOUNT)
    targets = [
        _target(service, index)
        for service in range(services)
        for index in range(TARGETS_PER_SERVICE)
    ]
    keys = [
        types.Key(
            f'kid-account-{account:05d}-{index}',
            f'account-{account:05d}',
            f'{account:032x}{index:032x}',
            withdrawn=index == 0,
        )
        for account in range(accounts)
        for index in range(KEYS_PER_ACCOUNT)
    ]
    return types.Configuration(
        version=version,
        accounts_by_name={
            name: types.Account(name, 380, 760)
            for name in (f'account-{each:05d}' for each in range(accounts))
        },
        keys_by_id={key.key_id: key for key in keys},
        services_by_name={
            name: types.Service(
                name, tuple(_target_id(each, n) for n in range(3)), 2_000
            )
            for each, name in (
                (each, f'service-{each:05d}') for each in range(services)
            )
        },
        targets_by_id={target.target_id: target for target in targets},
        rate_slots=3_000,
    )


def measure_configuration(services: int) -> dict[str, Any]:
    """Return memory, sizes and times of a configuration.

    Must run in a new process, as memory left by earlier work would falsify
    the result.
    """
    snapshot = _encode(configuration_of(services))
    gc.collect()
    bytes_before = processes.rss_bytes()
    configuration = _decode(snapshot)
    peak_bytes = processes.rss_bytes()
    gc.collect()
    resident_bytes = processes.rss_bytes()
    account_row = types.ChangeRow(
        version=configuration.version + 1,
        change_id='0123456789abcdef0123456789abcdef',
        author='operator',
        reason='',
        wall_ms=1_800_000_000_000,
        command='ALTER ACCOUNT account-00000 RATE 400',
        document=changes.to_document(
            changes.AlterAccount(name='account-00000', rate=400)
        ),
    )
    target_row = dataclasses.replace(
        account_row,
        document=changes.to_document(
            changes.RetireTarget(target_id=_target_id(services - 1, 2))
        ),
    )
    return {
        'services': services,
        'targets': len(configuration.targets_by_id),
        'accounts': len(configuration.accounts_by_name),
        'keys': len(configuration.keys_by_id),
        'snapshot_bytes': len(snapshot),
        'change_row_bytes': len(str(rows.encode_row(account_row))),
        'resident_mb': round((resident_bytes - bytes_before) / 1e6, 2),
        'resident_while_loading_mb': round(
            (peak_bytes - bytes_before) / 1e6, 2
        ),
        'load_snapshot_ms': _least_ms(
            lambda: _decode(snapshot),
        ),
        'write_snapshot_ms': _least_ms(
            lambda: _encode(configuration),
        ),
        'apply_account_change_ms': _least_ms(
            lambda: rows.advance(configuration, account_row)
        ),
        'apply_target_change_ms': _least_ms(
            lambda: rows.advance(configuration, target_row)
        ),
    }


def _encode(configuration: types.Configuration) -> bytes:
    return rows.encode_snapshot(rows.Snapshot(configuration, 'change'))


def _decode(data: bytes, version: int = VERSION) -> types.Configuration:
    return rows.decode_snapshot(data, version).configuration


class StaticSource:
    """A configuration source that never changes."""

    def __init__(self, configuration: types.Configuration) -> None:
        self.current = configuration

    def is_confirmed(self) -> bool:
        return True

    def subscribe(self, callback: Any) -> None:
        """Do nothing: the configuration never changes."""


class RecordingGateways(gateways_module.TargetGateways):
    """The gateways of a host, of which none starts; records the target ids."""

    def _start_gateway(self, target: types.Target) -> None:
        self.started.add(target.target_id)

    started: set[str]


def measure_placement(services: int, hosts: int, seed: int) -> dict[str, Any]:
    """Return the processor times of a host's reconcile step, in ms.

    For ``steady_ms`` nothing has changed since the last step. For
    ``after_a_host_changed_ms`` one host has left or joined a zone since then,
    which may be the zone of the measured host.
    """
    clock = clocks.ManualClock()
    bytes_before = processes.rss_bytes()
    membership = _membership(hosts, clock)
    membership_bytes = processes.rss_bytes() - bytes_before
    gateways = RecordingGateways(
        clock,
        random.Random(seed),
        None,  # type: ignore[arg-type]
        StaticSource(configuration_of(services)),
        membership,
        None,  # type: ignore[arg-type]
        None,  # type: ignore[arg-type]
        metrics.Metrics(),
        None,  # type: ignore[arg-type]
    )
    gateways.started = set()
    bytes_before = processes.rss_bytes()
    first_ms = _least_ms(gateways.reconcile, repeats=1)
    choices_bytes = processes.rss_bytes() - bytes_before
    steady_ms = _least_ms(gateways.reconcile, repeats=20)
    own_zone_ms = _least_ms(gateways.reconcile_own_zone, repeats=20)
    started_count = len(gateways.started)
    rng = random.Random(seed)
    after_host_changes_ms = []
    for number in range(REPEAT_COUNT):
        host = _host(rng.randrange(1, hosts), incarnation=2 + number)
        membership.learn(
            memberships.HostRecord(host, 1, 1, memberships.Condition.ALIVE)
        )
        after_host_changes_ms.append(_least_ms(gateways.reconcile, repeats=1))
    # The daemon sets the retired hosts after each change of the
    # configuration.
    membership.set_retired(frozenset())
    after_configuration_ms = _least_ms(gateways.reconcile, repeats=1)
    return {
        'targets': services * TARGETS_PER_SERVICE,
        'hosts': hosts,
        'zones': ZONES,
        'membership_mb': round(membership_bytes / 1e6, 2),
        'choices_mb': round(choices_bytes / 1e6, 2),
        'gateways_placed_here': started_count,
        'first_ms': first_ms,
        'steady_ms': steady_ms,
        'own_zone_only_ms': own_zone_ms,
        'after_a_host_changed_ms': round(
            sum(after_host_changes_ms) / len(after_host_changes_ms), 2
        ),
        'after_a_configuration_change_ms': after_configuration_ms,
    }


def _membership(hosts: int, clock: clocks.Clock) -> memberships.Membership:
    membership = memberships.Membership(_host(0), clock)
    for number in range(1, hosts):
        membership.learn(
            memberships.HostRecord(
                _host(number), 1, 1, memberships.Condition.ALIVE
            )
        )
    for zone in range(1, ZONES):
        membership.heard_zone(f'zone-{zone}', clock.now(), 99)
    return membership


def _host(number: int, incarnation: int = 1) -> types.Host:
    return types.Host(
        host_id=f'host-{number:04d}',
        zone=f'zone-{number % ZONES}',
        incarnation=incarnation,
        caller_url=f'http://10.0.{number >> 8}.{number & 255}:8080',
        peer_address=f'10.0.{number >> 8}.{number & 255}',
        peer_port=8_000,
        configuration_version=99,
    )


def _target_id(service: int, index: int) -> str:
    return f'service-{service:05d}-{index}'


def _target(service: int, index: int) -> types.Target:
    target_id = _target_id(service, index)
    return types.Target(
        target_id,
        f'service-{service:05d}',
        f'zone-{(service + index) % ZONES}',
        f'ws://10.{index}.{service >> 8}.{service & 255}:7000/session',
        5,
        60,
    )


def _least_ms(function: Any, repeats: int = REPEAT_COUNT) -> float:
    """Return the least processor time of several calls, in ms.

    Other processes can only make a call slower, so the least is the most
    exact.
    """
    best_ns = None
    for _ in range(repeats):
        started_ns = time.process_time_ns()
        function()
        elapsed_ns = time.process_time_ns() - started_ns
        best_ns = elapsed_ns if best_ns is None else min(best_ns, elapsed_ns)
    return round((best_ns or 0) / 1e6, 3)
