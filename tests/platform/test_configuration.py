"""Tests of the configuration history."""

import asyncio

import pytest

from samphirestand.platform import changes
from samphirestand.platform import configuration
from tests.platform import fakes


def account(name, rate=10):
    return changes.CreateAccount(name=name, rate=rate, burst=rate)


def test_change_is_accepted_and_reaches_the_other_host():
    """Guards against a change that only its own host applies."""
    platform = fakes.FakePlatform()
    first, second = fakes.make_store(platform), fakes.make_store(platform)

    async def main():
        result = await first.propose(fakes.propose(account('a'), 'c1'))
        assert isinstance(result, configuration.Accepted)
        await second.refresh()

    asyncio.run(main())
    assert first.current == second.current
    assert second.current.accounts_by_name['a'].rate == 10


# Faults of the calls head, transact, head, row, ... and the outcome.
CASES = [
    ([], configuration.Accepted, 1),
    (['down'], configuration.Accepted, 1),
    (['', 'lost'], configuration.Accepted, 1),
    (['', 'down'], configuration.Accepted, 1),
    (['', 'lost', 'down', 'down'], configuration.Accepted, 1),
    (['', 'late'], configuration.Accepted, 1),
    (['down'] * 100, configuration.Refused, 0),
    (['', 'lost'] + ['down'] * 100, configuration.Undetermined, 1),
    (['', 'down'] + ['down'] * 100, configuration.Undetermined, 0),
]


@pytest.mark.parametrize('faults, outcome, versions', CASES)
def test_lost_answers_are_resolved(faults, outcome, versions):
    """Guards against a wrong outcome and a change that is made twice."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    platform.faults = list(faults)
    proposal = fakes.propose(account('a'), 'c1')
    result = asyncio.run(store.propose(proposal))
    assert isinstance(result, outcome)
    platform.deliver()
    assert len(platform.history()) == versions


def test_repeated_change_is_accepted_once():
    """Guards against a repeated command that runs twice."""
    platform = fakes.FakePlatform()
    stores = [fakes.make_store(platform) for _ in range(2)]
    platform.faults = ['', 'lost'] + ['down'] * 100
    proposal = fakes.propose(account('a'), 'c1')
    repeated = fakes.propose(account('a'), 'c1', repeated=True)

    async def main():
        first = await stores[0].propose(proposal)
        platform.faults = []
        other = fakes.propose(account('b'), 'c2')
        assert isinstance(
            await stores[1].propose(other), configuration.Accepted
        )
        return first, await stores[1].propose(repeated)

    first, second = asyncio.run(main())
    assert isinstance(first, configuration.Undetermined)
    assert isinstance(second, configuration.Accepted)
    assert second.row.version == 1
    assert [row.change_id for row in platform.history()] == ['c1', 'c2']
