"""Tests of the fleet's configuration and of the report, without processes."""

import socket

import pytest
import yaml

from bench import baseline
from bench import checker
from bench import fleet as fleet_module
from bench import measures
from bench import records
from bench import report


def make_fleet(folder, deployment='bagmati', base_port=0):
    """Return a fleet with half of the configured rates; starts nothing."""
    return fleet_module.Fleet(
        deployment,
        folder,
        scale=0.5,
        base_port=base_port,
        seed=1,
        is_baseline=False,
    )


@pytest.mark.parametrize(
    ('deployment', 'hosts', 'zones'), [('bagmati', 9, 3), ('feldwacht', 9, 4)]
)
def test_every_connection_between_zones_uses_a_link(
    tmp_path, deployment, hosts, zones
):
    """Guards against connections that bypass the links between two zones.

    Cutting the links would leave the zones connected.
    """
    fleet = make_fleet(tmp_path, deployment)
    assert (len(fleet.hosts), len(fleet.zones)) == (hosts, zones)
    for zone in fleet.zones:
        translation = fleet._translations_by_zone[zone]
        foreign_addresses = {
            f'127.0.0.1:{port}'
            for zone_or_platform, port in (
                *((each.zone, each.peer_port) for each in fleet.hosts),
                *((each.zone, each.port) for each in fleet.targets),
                ('platform', fleet.platform_port),
            )
            if zone_or_platform != zone
        }
        assert set(translation) == foreign_addresses
        assert not foreign_addresses & set(translation.values())


def test_seed_fixes_keys_and_scale_multiplies_rates(tmp_path):
    """Guards against runs that the same seed doesn't reproduce."""
    fleet = make_fleet(tmp_path)
    assert fleet.keys_by_account == make_fleet(tmp_path).keys_by_account
    fleet._write_files()
    bootstrap = yaml.safe_load((tmp_path / 'bootstrap.yaml').read_text())
    assert bootstrap['accounts'][0]['rate'] == 150
    assert fleet.keys_by_account['archive'] not in str(bootstrap)


def test_port_in_use_is_refused(tmp_path):
    """Guards against sending load to another fleet that uses the port."""
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        with pytest.raises(RuntimeError, match='in use'):
            make_fleet(tmp_path, base_port=port - 1)


def test_report_names_broken_invariants():
    """Guards against violations that the report leaves out."""
    empty = records.Evidence([], {}, {}, [], {}, {}, [])
    verdicts = checker.check(empty)
    verdicts[8] = checker.Verdict(9, 3, ('x ran',))
    result = report.Result(
        'calm', 'baseline', verdicts, measures.measure(empty)
    )
    assert report.table([result]).endswith('9:1')
    document = report.document([result], {})
    assert document['results'][0]['invariants'][8]['first'] == ['x ran']


def test_baseline_limits_the_rate():
    """Guards against a baseline whose hosts don't limit the rate."""
    bucket = baseline.TokenBucket(rate=1.0, burst=2.0)
    assert [bucket.take(now) for now in (1, 1, 1, 1_001, 1_001)] == [
        True,
        True,
        False,
        True,
        False,
    ]
