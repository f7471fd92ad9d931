"""Tests of the cached choices of hosts."""

import random

import pytest

from samphirestand.hosts import placement
from samphirestand.hosts import rendezvous
from samphirestand import types

KEYS = [f'target-{number}' for number in range(200)]


def host(number, incarnation=1):
    return types.Host(
        f'h{number}', 'zone', incarnation, 'http://10.0.0.1:1', '10.0.0.1', 2
    )


class Zone:
    """A placement whose zone has the hosts ``hosts``."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.placement = placement.Placement(
            lambda zone: list(self.hosts), lambda: ['zone']
        )

    def set(self, hosts):
        self.hosts = hosts
        self.placement.mark_changed('zone')

    def chosen(self):
        return [self.placement.choose_in_zone('zone', key) for key in KEYS]


@pytest.fixture
def scored(monkeypatch):
    """Count the hashes."""
    calls = []
    score = rendezvous.score

    def counted(*arguments):
        calls.append(arguments)
        return score(*arguments)

    monkeypatch.setattr(rendezvous, 'score', counted)
    return calls


def test_cached_choices_are_those_of_the_hash():
    """Guards against hosts that place a gateway differently.

    A host that has seen many changes must choose like one that has just
    started.
    """
    rng = random.Random(1)
    zone = Zone([host(number) for number in range(10)])
    zone.chosen()
    for step in range(50):
        numbers = rng.sample(range(20), rng.randrange(0, 15))
        hosts = [host(number, incarnation=step) for number in numbers]
        zone.set(hosts)
        expected = [rendezvous.choose(hosts, key) for key in KEYS]
        assert zone.chosen() == expected


@pytest.mark.parametrize('change', ['nothing', 'joined', 'left'])
def test_a_change_of_one_host_does_not_hash_all_again(scored, change):
    """Guards against a host that stops for seconds after each change.

    All choices were made again when a host of the zone changed, and those of
    all zones after each change of the configuration.
    """
    hosts = [host(number) for number in range(20)]
    zone = Zone(hosts)
    zone.chosen()
    scored.clear()
    match change:
        case 'nothing':
            zone.placement.mark_all_changed()
            most = 0
        case 'joined':
            zone.set([*hosts, host(20)])
            most = len(KEYS)
        case 'left':
            moved = zone.chosen().count(hosts[0])
            zone.set(hosts[1:])
            most = moved * 19
    zone.chosen()
    assert len(scored) <= most


def test_the_cache_is_bounded(monkeypatch):
    """Guards against memory that grows with every key ever used."""
    monkeypatch.setattr(placement, 'CACHED_KEYS_MAX', 10)
    choices = placement.ZoneChoices()
    choices.update([host(1)])
    for key in KEYS:
        assert choices.choose(key) == host(1)
    assert len(choices._best_by_key) <= 10
