"""Tests of the configuration history and the store that applies it."""

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


def create_account(name, rate=10):
    return changes.CreateAccount(name=name, rate=rate, burst=rate)


def test_change_is_accepted_and_reaches_the_other_host():
    """Guards against a change that is applied only by the proposing host."""
    platform = fakes.FakePlatform()
    first, second = fakes.make_store(platform), fakes.make_store(platform)

    async def main():
        result = await first.propose(fakes.propose(create_account('a'), 'c1'))
        assert isinstance(result, configuration.Accepted)
        await second.refresh()

    asyncio.run(main())
    assert first.current == second.current
    assert second.current.accounts_by_name['a'].rate == 10


# Faults of the platform calls in order (get head, transact, get head,
# get row, ...), result type, number of versions in the history.
LOST_RESPONSES = [
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


@pytest.mark.parametrize('faults, outcome, versions', LOST_RESPONSES)
def test_lost_responses_are_resolved(faults, outcome, versions):
    """Guards against a wrong outcome and a change that is written twice."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    platform.faults = list(faults)
    proposal = fakes.propose(create_account('a'), 'c1')
    result = asyncio.run(store.propose(proposal))
    assert isinstance(result, outcome)
    platform.deliver()
    assert len(platform.history()) == versions


def test_repeated_change_is_accepted_once():
    """Guards against a repeated command that is applied twice."""
    platform = fakes.FakePlatform()
    stores = [fakes.make_store(platform) for _ in range(2)]
    platform.faults = ['', 'lost'] + ['down'] * 100
    proposal = fakes.propose(create_account('a'), 'c1')
    repeated = fakes.propose(create_account('a'), 'c1', repeated=True)

    async def main():
        first = await stores[0].propose(proposal)
        platform.faults = []
        other = fakes.propose(create_account('b'), 'c2')
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
    """Guards against a delayed first attempt written after its retry."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    platform.faults = ['', 'late']
    result = asyncio.run(
        store.propose(fakes.propose(create_account('a'), 'c1'))
    )
    platform.deliver()
    assert isinstance(result, configuration.Accepted)
    assert len(platform.history()) == 1


def test_change_id_of_another_command_is_refused():
    """Guards against `USING CHANGE` with the id of a different command."""
    store = fakes.make_store(fakes.FakePlatform())

    async def main():
        await store.propose(fakes.propose(create_account('a'), 'c1'))
        return await store.propose(
            fakes.propose(create_account('b'), 'c1', repeated=True)
        )

    result = asyncio.run(main())
    assert isinstance(result, configuration.Refused)
    assert result.code == 'change_id_used'


# Faults of the losing proposal's platform calls, of the winning proposal's
# calls, and IF VERSION of the losing proposal.
RACES = [
    ([], [], None),
    ([], ['', 'lost', 'down'], None),
    (['', 'late'], [], None),
    ([], [], 0),
]


@pytest.mark.parametrize('faults, winner_faults, if_version', RACES)
def test_losing_proposal_returns_the_winning_change(
    faults, winner_faults, if_version
):
    """Guards against two concurrent changes that are both accepted."""
    platform = fakes.FakePlatform()
    first, second = fakes.make_store(platform), fakes.make_store(platform)
    winner = fakes.propose(create_account('a', 1), 'c1', author='bob')
    loser = fakes.propose(create_account('a', 2), 'c2', if_version=if_version)

    async def main():
        async def propose_winner_first():
            platform.faults = list(winner_faults)
            await first.propose(winner)

        platform.before_transact = propose_winner_first
        platform.faults = list(faults)
        return await second.propose(loser)

    result = asyncio.run(main())
    assert isinstance(result, configuration.Conflict)
    assert (result.winner.author, result.winner.version) == ('bob', 1)
    platform.deliver()
    assert len(platform.history()) == 1
    assert second.current.accounts_by_name['a'].rate == 1


# Tables that return no row, and the number of reads until they do.
STALE_READS = [
    ([rows.CHANGE_TABLE], 3),
    ([rows.CHANGE_TABLE, rows.HISTORY_TABLE], 6),
]


@pytest.mark.parametrize('tables, stale_reads', STALE_READS)
def test_stale_reads_do_not_turn_acceptance_into_conflict(tables, stale_reads):
    """Guards against an accepted change that is reported as a conflict."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)
    get_row = platform.get_row
    read_tables = []

    async def get_stale_row(table, key):
        read_tables.append(table)
        if table in tables and len(read_tables) <= stale_reads:
            return None
        return await get_row(table, key)

    platform.get_row = get_stale_row
    platform.faults = [''] * (rows.HISTORY_TABLE not in tables) + ['lost']
    result = asyncio.run(
        store.propose(fakes.propose(create_account('a'), 'c1'))
    )
    assert isinstance(result, configuration.Accepted)
    assert len(read_tables) >= stale_reads


def test_if_version_conflict_names_the_next_change():
    """Guards against a command that overwrites a change not yet seen."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)

    async def main():
        for name in 'abc':
            await store.propose(fakes.propose(create_account(name), name))
        return [
            await store.propose(
                fakes.propose(create_account('x'), 'x', if_version=version)
            )
            for version in (1, 9, 3)
        ]

    old_conflict, unknown_conflict, current_result = asyncio.run(main())
    assert (old_conflict.winner.change_id, old_conflict.version) == ('b', 3)
    assert unknown_conflict == configuration.Conflict(None, 3)
    assert isinstance(current_result, configuration.Accepted)


async def propose_accounts(store, count):
    for number in range(count):
        result = await store.propose(
            fakes.propose(create_account(f'n{number}'), f'c{number}')
        )
        assert isinstance(result, configuration.Accepted)


def test_stale_head_is_no_evidence_and_changes_nothing():
    """Guards against a stale head row that sets a host back."""
    platform = fakes.FakePlatform()
    confirmed_at = []
    store = fakes.make_store(platform, on_head_confirmed=confirmed_at.append)

    async def main():
        await propose_accounts(store, 1)
        stale_rows = dict(platform.rows_by_table_and_key)
        await propose_accounts_between(store, 1, 2)
        platform.rows_by_table_and_key = stale_rows
        confirmed_at.clear()
        await store.refresh()
        assert not confirmed_at
        return await store.propose(fakes.propose(create_account('x'), 'x'))

    result = asyncio.run(main())
    assert isinstance(result, configuration.Conflict)
    assert store.current.version == 2


async def propose_accounts_between(store, start, end):
    for number in range(start, end):
        await store.propose(
            fakes.propose(create_account(f'n{number}'), f'c{number}')
        )


def test_evidence_starts_when_the_request_was_sent():
    """Guards against evidence that is taken as newer than it is."""
    platform = fakes.FakePlatform()
    confirmed_at = []
    manual_clock = fakes.InstantClock()
    store = fakes.make_store(
        platform, clock=manual_clock, on_head_confirmed=confirmed_at.append
    )
    get_row = platform.get_row

    async def get_row_slowly(table, key):
        await manual_clock.sleep(3_000)
        return await get_row(table, key)

    platform.get_row = get_row_slowly
    started_at = manual_clock.now()
    asyncio.run(store.refresh())
    assert confirmed_at == [started_at]


def test_no_evidence_before_the_rows_are_applied():
    """Guards against a host that counts as confirmed at an old version."""
    platform = fakes.FakePlatform()
    confirmed_at = []
    store = fakes.make_store(platform, on_head_confirmed=confirmed_at.append)

    async def main():
        await propose_accounts(fakes.make_store(platform), 1)
        platform.faults = ['', 'down']
        with pytest.raises(exceptions.PlatformUnavailable):
            await store.refresh()

    asyncio.run(main())
    assert not confirmed_at


# Versions of the rows given to a host at version 2, and the version after.
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
    asyncio.run(propose_accounts(source, 5))
    source_rows = source.changes_after(0)
    store.apply_rows(source_rows[:2])
    assert (
        store.apply_rows(source_rows[each - 1] for each in versions)
        == expected
    )
    assert len(store.current.accounts_by_name) == expected


def test_row_of_unknown_kind_stops_the_history():
    """Guards against a host that skips a kind of a later release."""
    counters = metrics.Metrics()
    source = fakes.make_store(fakes.FakePlatform())
    store = fakes.make_store(fakes.FakePlatform(), metrics=counters)
    asyncio.run(propose_accounts(source, 3))
    source_rows = source.changes_after(0)
    unknown_row = dataclasses.replace(
        source_rows[1], document={'kind': 'later'}
    )
    assert store.apply_rows([source_rows[0], unknown_row, source_rows[2]]) == 1
    assert counters.counter('configuration_rows_not_applied') == 1


def test_peer_far_behind_gets_the_whole_configuration():
    """Guards against a new host that can't start in a platform outage."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(fakes.FakePlatform())
    late_store = fakes.make_store(platform)

    async def main():
        await propose_accounts(source, 150)
        await late_store.refresh()

    asyncio.run(main())
    source._cached_rows_by_version.popitem(last=False)
    assert store.apply_rows(source.changes_after(0)) == 150
    assert store.current == source.current == late_store.current
    assert len(source.changes_after(20)) == configuration.ROWS_PER_PAGE
    assert source.changes_after(150) == []


@pytest.mark.parametrize('has_snapshot', [True, False])
def test_new_host_reads_the_snapshot(has_snapshot):
    """Guards against a new host that reads the whole history."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(platform)

    async def main():
        await propose_accounts(source, 100)
        await source._write_snapshot()
        await propose_accounts_between(source, 100, 230)
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
def test_invalid_snapshot_is_skipped(data):
    """Guards against an invalid snapshot that keeps hosts from starting."""
    platform = fakes.FakePlatform()
    store = fakes.make_store(platform)

    async def main():
        await propose_accounts(fakes.make_store(platform), 101)
        platform.objects_by_name['configuration-0000000100'] = data
        await store.refresh()

    asyncio.run(main())
    assert store.current.version == 101
    assert len(store.current.accounts_by_name) == 101


def test_snapshot_older_than_the_store_changes_nothing():
    """Guards against an older snapshot that replaces newer rows."""
    platform = fakes.FakePlatform()
    source = fakes.make_store(platform)
    store = fakes.make_store(platform)
    get_object = platform.get_object

    async def get_object_after_rows(name):
        data = await get_object(name)
        store.apply_rows(source.changes_after(0))
        store.apply_rows(source.changes_after(store.current.version))
        return data

    async def main():
        await propose_accounts(source, 100)
        await source._write_snapshot()
        await propose_accounts_between(source, 100, 150)
        platform.get_object = get_object_after_rows
        seen_versions = []
        store.subscribe(lambda current: seen_versions.append(current.version))
        await store.refresh()
        assert seen_versions == sorted(seen_versions)

    asyncio.run(main())
    assert store.current.version == 150


def test_diverging_histories_are_counted():
    """Guards against hosts whose histories diverge without a warning."""
    counters = metrics.Metrics()
    store = fakes.make_store(fakes.FakePlatform(), metrics=counters)
    other = fakes.make_store(fakes.FakePlatform())
    asyncio.run(propose_accounts(store, 2))
    asyncio.run(other.propose(fakes.propose(create_account('x'), 'x')))
    store.apply_rows(other.changes_after(0))
    assert counters.counter('configuration_rows_diverged') == 1


def test_snapshot_is_written_after_an_outage():
    """Guards against a snapshot that isn't retried after one failure."""
    platform = fakes.FakePlatform()
    manual_clock = clock.ManualClock()

    async def main():
        store = fakes.make_store(platform, clock=manual_clock)
        await propose_accounts(store, 100)
        platform.faults = ['', 'down', 'down']
        task = asyncio.create_task(store.run())
        await manual_clock.settle()
        assert not platform.objects_by_name
        await manual_clock.advance(5_000)
        task.cancel()

    asyncio.run(main())
    assert list(platform.objects_by_name) == ['configuration-0000000100']


@pytest.mark.parametrize(
    'hosts, min_polls, max_polls', [(9, 60, 120), (3000, 0, 2)]
)
def test_poll_rate_follows_the_number_of_hosts(hosts, min_polls, max_polls):
    """Guards against polling the table service above its rate."""
    platform = fakes.FakePlatform()
    manual_clock = clock.ManualClock()

    async def main():
        store = fakes.make_store(
            platform, clock=manual_clock, host_count=lambda: hosts
        )
        task = asyncio.create_task(store.run())
        await manual_clock.advance(60_000)
        task.cancel()

    asyncio.run(main())
    assert min_polls <= 1.2 * len(platform.calls) <= 1.2 * max_polls


def test_failing_callback_does_not_stop_the_others():
    """Guards against a failing callback that blocks other subscribers."""
    store = fakes.make_store(fakes.FakePlatform())
    seen_versions = []
    store.subscribe(lambda _: 1 / 0)
    store.subscribe(lambda current: seen_versions.append(current.version))
    asyncio.run(propose_accounts(store, 2))
    assert seen_versions == [1, 2]


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

# More failing calls than a host makes attempts.
OUTAGE = ['down'] * 60


class Fleet:
    """Three hosts on one platform, and the results operators received."""

    def __init__(self, seed):
        self.platform = fakes.FakePlatform()
        self.platform.pause_generator = random.Random(seed)
        self.stores = [fakes.make_store(self.platform) for _ in range(3)]
        self.last_versions = [0, 0, 0]
        self.proposals_by_id = {}
        self.results_by_id = {}

    async def run_operation(self, operation):
        kind, host, other = operation
        store = self.stores[host]
        match kind:
            case 'propose':
                change_id = f'c{len(self.proposals_by_id)}'
                change = create_account(
                    f'a{other}', 1 + len(self.proposals_by_id)
                )
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
                # With host < other the host loads its state from a peer,
                # otherwise later from the platform.
                peer = self.stores[other]
                self.stores[host] = fakes.make_store(self.platform)
                self.last_versions[host] = 0
                if host < other:
                    self.stores[host].apply_rows(peer.changes_after(0))

    def check_versions(self):
        for host, store in enumerate(self.stores):
            assert store.current.version >= self.last_versions[host]
            self.last_versions[host] = store.current.version

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
    """Guards against lost, duplicate or reverted changes.

    Runs random interleavings of operations on three hosts with faults of the
    platform.
    """
    fleet = Fleet(seed)

    async def main():
        for operations, faults, outage, deliver in steps:
            fleet.platform.faults = faults + OUTAGE * outage
            await asyncio.gather(*map(fleet.run_operation, operations))
            fleet.check_versions()
            if deliver:
                fleet.platform.deliver()
        fleet.platform.deliver()
        fleet.platform.faults = []
        for host in range(3):
            await fleet.run_operation(('refresh', host, host))
        fleet.check_versions()

    # With a snapshot every two versions, hosts often start from one.
    with mock.patch.object(rows, 'VERSIONS_PER_SNAPSHOT', 2):
        asyncio.run(main())
    fleet.check_history()
