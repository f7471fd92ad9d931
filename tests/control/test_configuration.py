"""Tests of the configuration history."""

import asyncio
import dataclasses
import random
from unittest import mock

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand import clock
from samphirestand.control import changes
from samphirestand.control import configuration
from samphirestand.control import rows
from samphirestand import exceptions
from samphirestand import metrics
from samphirestand import types
from tests.control import fakes


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


def test_late_write_is_not_accepted_twice():
    """Guards against a delayed first attempt that lands after a repeat."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    platform.faults = ['', 'late']
    result = asyncio.run(store.propose(fakes.propose(account('a'), 'c1')))
    platform.deliver()
    assert isinstance(result, configuration.Accepted)
    assert len(platform.history()) == 1


def test_change_id_of_another_command_is_refused():
    """Guards against `USING CHANGE` that hides a different command."""
    store = fakes.make_store(fakes.FakePlatform())

    async def main():
        await store.propose(fakes.propose(account('a'), 'c1'))
        return await store.propose(
            fakes.propose(account('b'), 'c1', repeated=True)
        )

    result = asyncio.run(main())
    assert isinstance(result, configuration.Refused)
    assert result.code == 'change_id_used'


# Faults of the loser's calls, then of the winner's, and IF VERSION.
RACES = [
    ([], [], None),
    ([], ['', 'lost', 'down'], None),
    (['', 'late'], [], None),
    ([], [], 0),
]


@pytest.mark.parametrize('faults, winner_faults, if_version', RACES)
def test_loser_of_a_race_learns_the_winner(faults, winner_faults, if_version):
    """Guards against a race in which both operators think they won."""
    platform = fakes.FakePlatform()
    first, second = fakes.make_store(platform), fakes.make_store(platform)
    winner = fakes.propose(account('a', 1), 'c1', author='bob')
    loser = fakes.propose(account('a', 2), 'c2', if_version=if_version)

    async def main():
        async def overtake():
            platform.faults = list(winner_faults)
            await first.propose(winner)

        platform.before_transact = overtake
        platform.faults = list(faults)
        return await second.propose(loser)

    result = asyncio.run(main())
    assert isinstance(result, configuration.Conflict)
    assert (result.winner.author, result.winner.version) == ('bob', 1)
    platform.deliver()
    assert len(platform.history()) == 1
    assert second.current.accounts_by_name['a'].rate == 1


STALE = [
    ([rows.CHANGE_TABLE], 3),
    ([rows.CHANGE_TABLE, rows.HISTORY_TABLE], 6),
]


@pytest.mark.parametrize('tables, calls', STALE)
def test_old_answers_do_not_turn_acceptance_into_conflict(tables, calls):
    """Guards against an accepted change that is reported as refused."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    get_row = platform.get_row
    served = []

    async def old_answer(table, key):
        served.append(table)
        if table in tables and len(served) <= calls:
            return None
        return await get_row(table, key)

    platform.get_row = old_answer
    platform.faults = [''] * (rows.HISTORY_TABLE not in tables) + ['lost']
    result = asyncio.run(store.propose(fakes.propose(account('a'), 'c1')))
    assert isinstance(result, configuration.Accepted)
    assert len(served) >= calls


def test_if_version_names_the_change_that_came_between():
    """Guards against a command that overwrites an unseen change."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)

    async def main():
        for name in 'abc':
            await store.propose(fakes.propose(account(name), name))
        return [
            await store.propose(
                fakes.propose(account('x'), 'x', if_version=version)
            )
            for version in (1, 9, 3)
        ]

    old, unknown, current = asyncio.run(main())
    assert (old.winner.change_id, old.version) == ('b', 3)
    assert unknown == configuration.Conflict(None, 3)
    assert isinstance(current, configuration.Accepted)


async def history(store, count):
    for number in range(count):
        result = await store.propose(
            fakes.propose(account(f'n{number}'), f'c{number}')
        )
        assert isinstance(result, configuration.Accepted)


def test_old_head_is_no_evidence_and_changes_nothing():
    """Guards against an old copy that takes a host back."""
    platform = fakes.FakePlatform()
    seen = []
    store = fakes.make_store(platform, on_evidence=seen.append)

    async def main():
        await history(store, 1)
        old = dict(platform.rows_by_place)
        await history_from(store, 1, 2)
        platform.rows_by_place = old
        seen.clear()
        await store.refresh()
        assert not seen
        return await store.propose(fakes.propose(account('x'), 'x'))

    result = asyncio.run(main())
    assert isinstance(result, configuration.Conflict)
    assert store.current.version == 2


async def history_from(store, start, end):
    for number in range(start, end):
        await store.propose(fakes.propose(account(f'n{number}'), f'c{number}'))


def test_evidence_starts_when_the_question_was_sent():
    """Guards against evidence that looks younger than it is."""
    platform = fakes.FakePlatform()
    seen = []
    manual = fakes.InstantClock()
    store = fakes.make_store(platform, clock=manual, on_evidence=seen.append)
    get_row = platform.get_row

    async def slow(table, key):
        await manual.sleep(3_000)
        return await get_row(table, key)

    platform.get_row = slow
    started = manual.now()
    asyncio.run(store.refresh())
    assert seen == [started]


def test_no_evidence_before_the_rows_are_applied():
    """Guards against a host that seems confirmed at an old version."""
    platform = fakes.FakePlatform()
    seen = []
    store = fakes.make_store(platform, on_evidence=seen.append)

    async def main():
        await history(fakes.make_store(platform), 1)
        platform.faults = ['', 'down']
        with pytest.raises(exceptions.PlatformUnavailable):
            await store.refresh()

    asyncio.run(main())
    assert not seen


# Versions of the rows given to a host at version 2 and where it ends.
DELIVERIES = [
    ([1, 2], 2),
    ([3, 4], 4),
    ([4, 3], 3),
    ([5], 2),
    ([3, 2, 1, 4, 4, 5], 5),
]


@pytest.mark.parametrize('versions, expected', DELIVERIES)
def test_rows_apply_only_in_order(versions, expected):
    """Guards against a version that is skipped or undone."""
    source = fakes.make_store(fakes.FakePlatform())
    store = fakes.make_store(fakes.FakePlatform())
    asyncio.run(history(source, 5))
    found = source.changes_after(0)
    store.apply_rows(found[:2])
    assert store.apply_rows(found[each - 1] for each in versions) == expected
    assert len(store.current.accounts_by_name) == expected


def test_row_of_a_later_release_stops_the_history():
    """Guards against a host that passes over a change it doesn't know."""
    counts = metrics.Metrics()
    source = fakes.make_store(fakes.FakePlatform())
    store = fakes.make_store(fakes.FakePlatform(), metrics=counts)
    asyncio.run(history(source, 3))
    found = source.changes_after(0)
    unknown = dataclasses.replace(found[1], document={'kind': 'later'})
    assert store.apply_rows([found[0], unknown, found[2]]) == 1
    assert counts.counter('configuration_rows_not_applied') == 1


def test_peer_far_behind_gets_the_whole_configuration():
    """Guards against a new host that can't start in a platform outage."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(fakes.FakePlatform())
    late = fakes.make_store(platform)

    async def main():
        await history(source, 150)
        await late.refresh()

    asyncio.run(main())
    source._rows_by_version.popitem(last=False)
    assert store.apply_rows(source.changes_after(0)) == 150
    assert store.current == source.current == late.current
    assert len(source.changes_after(20)) == configuration.ROWS_PER_ANSWER
    assert source.changes_after(150) == []


@pytest.mark.parametrize('has_snapshot', [True, False])
def test_new_host_reads_the_snapshot(has_snapshot):
    """Guards against a new host that reads the whole history."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(platform)

    async def main():
        await history(source, 100)
        await source._write_snapshot()
        await history_from(source, 100, 230)
        if not has_snapshot:
            platform.objects_by_name.clear()
        platform.calls.clear()
        await store.refresh()

    asyncio.run(main())
    assert store.current == source.current
    listed = [call for call in platform.calls if call.startswith('list')]
    assert len(listed) == (2 if has_snapshot else 3)


OTHER_VERSION = rows.encode_snapshot(
    rows.Snapshot(types.Configuration(version=500), 'c')
)


@pytest.mark.parametrize('data', [b'{}', b'\xff', OTHER_VERSION])
def test_damaged_snapshot_is_passed_over(data):
    """Guards against an unreadable object that keeps hosts from starting."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)

    async def main():
        await history(fakes.make_store(platform), 101)
        platform.objects_by_name['configuration-0000000100'] = data
        await store.refresh()

    asyncio.run(main())
    assert store.current.version == 101
    assert len(store.current.accounts_by_name) == 101


def test_snapshot_that_comes_late_changes_nothing():
    """Guards against a host that goes back while it reads a snapshot."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(platform)
    get_object = platform.get_object

    async def overtaken(name):
        data = await get_object(name)
        store.apply_rows(source.changes_after(0))
        store.apply_rows(source.changes_after(store.current.version))
        return data

    async def main():
        await history(source, 100)
        await source._write_snapshot()
        await history_from(source, 100, 150)
        platform.get_object = overtaken
        seen = []
        store.subscribe(lambda current: seen.append(current.version))
        await store.refresh()
        assert seen == sorted(seen)

    asyncio.run(main())
    assert store.current.version == 150


def test_two_histories_are_noticed():
    """Guards against fleets that silently run different versions."""
    counts = metrics.Metrics()
    store = fakes.make_store(fakes.FakePlatform(), metrics=counts)
    other = fakes.make_store(fakes.FakePlatform())
    asyncio.run(history(store, 2))
    asyncio.run(other.propose(fakes.propose(account('x'), 'x')))
    store.apply_rows(other.changes_after(0))
    assert counts.counter('configuration_rows_diverged') == 1


def test_snapshot_is_written_after_an_outage():
    """Guards against a snapshot that is given up after one failure."""
    platform = fakes.FakePlatform()
    manual = clock.ManualClock()

    async def main():
        store = fakes.make_store(platform, clock=manual)
        await history(store, 100)
        platform.faults = ['', 'down', 'down']
        task = asyncio.create_task(store.run())
        await manual.settle()
        assert not platform.objects_by_name
        await manual.advance(5_000)
        task.cancel()

    asyncio.run(main())
    assert list(platform.objects_by_name) == ['configuration-0000000100']


@pytest.mark.parametrize('hosts, least, most', [(9, 60, 120), (3000, 0, 2)])
def test_poll_rate_follows_the_number_of_hosts(hosts, least, most):
    """Guards against a table service that is polled beyond its rate."""
    platform = fakes.FakePlatform()
    manual = clock.ManualClock()

    async def main():
        store = fakes.make_store(
            platform, clock=manual, host_count=lambda: hosts
        )
        task = asyncio.create_task(store.run())
        await manual.advance(60_000)
        task.cancel()

    asyncio.run(main())
    assert least <= 1.2 * len(platform.calls) <= 1.2 * most


def test_failing_callback_does_not_stop_the_others():
    """Guards against one part's fault that keeps the old version."""
    store = fakes.make_store(fakes.FakePlatform())
    seen = []
    store.subscribe(lambda _: 1 / 0)
    store.subscribe(lambda current: seen.append(current.version))
    asyncio.run(history(store, 2))
    assert seen == [1, 2]


HOSTS = strategies.integers(0, 2)
OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just('propose'), HOSTS, strategies.integers(0, 3)
    ),
    strategies.tuples(strategies.just('refresh'), HOSTS, HOSTS),
    strategies.tuples(strategies.just('gossip'), HOSTS, HOSTS),
    strategies.tuples(strategies.just('old_copy'), HOSTS, HOSTS),
    strategies.tuples(strategies.just('repeat'), HOSTS, HOSTS),
    strategies.tuples(strategies.just('restart'), HOSTS, HOSTS),
)
STEPS = strategies.tuples(
    strategies.lists(OPERATIONS, min_size=1, max_size=3),
    strategies.lists(
        strategies.sampled_from(['', '', 'lost', 'late', 'down']), max_size=12
    ),
    strategies.booleans(),
    strategies.booleans(),
)

# Failures that outlast the attempts of a host.
OUTAGE = ['down'] * 60


class Fleet:
    """Three hosts on one platform, and what operators were told."""

    def __init__(self, seed):
        self.platform = fakes.FakePlatform()
        self.platform.pauses = random.Random(seed)
        self.stores = [fakes.make_store(self.platform) for _ in range(3)]
        self.seen = [0, 0, 0]
        self.proposals_by_id = {}
        self.results_by_id = {}

    async def operate(self, operation):
        kind, host, other = operation
        store = self.stores[host]
        match kind:
            case 'propose':
                change_id = f'c{len(self.proposals_by_id)}'
                change = account(f'a{other}', 1 + len(self.proposals_by_id))
                if f'a{other}' in store.current.accounts_by_name:
                    change = changes.AlterAccount(
                        name=f'a{other}', rate=change.rate
                    )
                proposal = fakes.propose(change, change_id)
                self.proposals_by_id[change_id] = proposal
                self.results_by_id[change_id] = await store.propose(proposal)
            case 'repeat':
                for change_id, result in list(self.results_by_id.items()):
                    if isinstance(result, configuration.Undetermined):
                        repeated = dataclasses.replace(
                            self.proposals_by_id[change_id], repeated=True
                        )
                        result = await store.propose(repeated)
                        self.results_by_id[change_id] = result
            case 'refresh':
                try:
                    await store.refresh()
                    await store._write_snapshot()
                except exceptions.PlatformError:
                    pass
            case 'gossip':
                peer = self.stores[other]
                store.apply_rows(peer.changes_after(store.current.version))
            case 'old_copy':
                store.apply_rows(reversed(self.stores[other].changes_after(0)))
            case 'restart':
                # Some hosts start from a peer, some from the platform.
                peer = self.stores[other]
                self.stores[host] = fakes.make_store(self.platform)
                self.seen[host] = 0
                if host < other:
                    self.stores[host].apply_rows(peer.changes_after(0))

    def check_versions(self):
        for host, store in enumerate(self.stores):
            assert store.current.version >= self.seen[host]
            self.seen[host] = store.current.version

    def check_history(self):
        history_rows = self.platform.history()
        versions_by_id = {row.change_id: row.version for row in history_rows}
        assert len(versions_by_id) == len(history_rows)
        for change_id, result in self.results_by_id.items():
            match result:
                case configuration.Accepted(row=row):
                    assert versions_by_id[change_id] == row.version
                case configuration.Conflict() | configuration.Refused():
                    assert change_id not in versions_by_id
        for store in self.stores:
            expected = types.Configuration()
            for row in history_rows[: store.current.version]:
                expected = rows.advance(expected, row)
            assert store.current == expected


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    steps=strategies.lists(STEPS, max_size=12), seed=strategies.integers(0, 99)
)
def test_no_accepted_change_is_lost(steps, seed):
    """Guards against lost, doubled or undone changes in any interleaving."""
    fleet = Fleet(seed)

    async def main():
        for operations, faults, outage, deliver in steps:
            fleet.platform.faults = faults + OUTAGE * outage
            await asyncio.gather(*map(fleet.operate, operations))
            fleet.check_versions()
            if deliver:
                fleet.platform.deliver()
        fleet.platform.deliver()
        fleet.platform.faults = []
        for host in range(3):
            await fleet.operate(('refresh', host, host))
        fleet.check_versions()

    # Snapshots every two versions, so that hosts often start from one.
    with mock.patch.object(rows, 'SNAPSHOT_EVERY', 2):
        asyncio.run(main())
    fleet.check_history()
