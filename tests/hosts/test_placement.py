"""Tests of the placement of keys on hosts and its cache."""

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
    """A placement with one zone that has the given hosts."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.placement = placement.Placement(
            lambda zone: list(self.hosts), lambda: ['zone']
        )

    def set_hosts(self, hosts):
        self.hosts = hosts
        self.placement.mark_changed('zone')

    def chosen_hosts(self):
        return [self.placement.choose_in_zone('zone', key) for key in KEYS]


@pytest.fixture
def score_calls(monkeypatch):
    """Record the arguments of each computed score."""
    calls = []
    score = rendezvous.score

    def recording_score(*arguments):
        calls.append(arguments)
        return score(*arguments)

    monkeypatch.setattr(rendezvous, 'score', recording_score)
    return calls


def test_cached_choices_equal_computed_choices():
    """Guards against hosts that place a gateway on different hosts.

    A host that has updated its cache for many changes must choose like a host
    that has just started.
    """
    rng = random.Random(1)
    zone = Zone([host(number) for number in range(10)])
    zone.chosen_hosts()
    for step in range(50):
        numbers = rng.sample(range(20), rng.randrange(0, 15))
        hosts = [host(number, incarnation=step) for number in numbers]
        zone.set_hosts(hosts)
        expected = [rendezvous.choose(hosts, key) for key in KEYS]
        assert zone.chosen_hosts() == expected


@pytest.mark.parametrize('change', ['nothing', 'joined', 'left'])
def test_change_of_one_host_keeps_other_choices(score_calls, change):
    """Guards against a host that blocks for seconds after each change.

    It computed all choices of a zone again when a host of the zone changed,
    and those of all zones after each change of the configuration.
    """
    hosts = [host(number) for number in range(20)]
    zone = Zone(hosts)
    zone.chosen_hosts()
    score_calls.clear()
    match change:
        case 'nothing':
            zone.placement.mark_all_changed()
            limit = 0
        case 'joined':
            zone.set_hosts([*hosts, host(20)])
            limit = len(KEYS)
        case 'left':
            moved = zone.chosen_hosts().count(hosts[0])
            zone.set_hosts(hosts[1:])
            limit = moved * 19
    zone.chosen_hosts()
    assert len(score_calls) <= limit


def test_cache_size_is_limited(monkeypatch):
    """Guards against a cache that grows with every key ever used."""
    monkeypatch.setattr(placement, 'CACHED_KEYS_MAX', 10)
    choices = placement.ZoneChoices()
    choices.update([host(1)])
    for key in KEYS:
        assert choices.choose(key) == host(1)
    assert len(choices._best_by_key) <= 10
