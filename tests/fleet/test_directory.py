"""The directory of job hosts: same choices, and nothing from stale ones."""

import asyncio
import dataclasses
import json
import unittest.mock

import pytest

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import directory
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand.fleet import members as members_module
from samphirestand.platform import store as store_module
from tests.fleet import simulation
from tests.fleet import test_job_hosts as fleets


class FakeStore:
    """A store that holds rows of two tables, and records the reads."""

    def __init__(self, hosts, found=None):
        self.rows = {}
        self.version = 0
        self.reads = []
        for each in hosts:
            self.put_host(each)
        if found is not None:
            self._put(directory.TABLE, directory.KEY, directory.encode(found))

    def put_host(self, hello):
        value = {
            'zone': hello.zone,
            'address': hello.address,
            'port': hello.port,
            'incarnation': hello.incarnation,
            'millicores': hello.capacity.millicores,
            'link_kbps': hello.capacity.link_kbps,
        }
        self._put('hosts', hello.host_id, json.dumps(value).encode())

    def _put(self, table, key, value, is_deleted=False):
        self.version += 1
        self.rows[table, key] = store_module.Row(
            table, key, value, self.version, is_deleted
        )

    def remove_host(self, host_id):
        self._put('hosts', host_id, b'', is_deleted=True)

    def _answer(self, kind, table, rows):
        rows = tuple(each for each in rows if each.table == table)
        self.reads.append((kind, table, len(rows)))
        return store_module.TableRows(rows, self.version, 0)

    async def read(self, table):
        live = [each for each in self.rows.values() if not each.is_deleted]
        return self._answer('read', table, live)

    async def changes(self, table, after_version, wait_ms):
        changed = [
            each for each in self.rows.values() if each.version > after_version
        ]
        return self._answer('changes', table, changed)

    async def put(self, table, key, value, expected_version):
        self._put(table, key, value)
        return self.version


def create_members(store, local, clock=None):
    members = members_module.Members(
        local, clock or clock_module.ManualClock(), store, lambda: None
    )
    # No connection is opened.
    members._add_link = unittest.mock.Mock()
    return members


def fleet_of(host_count):
    """Return hosts, the best first, and the directory of all of them."""
    hosts = fleets.hosts_in_all_zones(host_count // 8, host_count // 8)
    found = directory.build(hosts)
    listed_ids = [each.host_id for each in found.hosts]
    hosts.sort(key=lambda each: each.host_id not in listed_ids)
    return hosts, found


@pytest.mark.parametrize('host_count', [16, 80, 800])
def test_directory_leads_to_the_choice_of_all_rows(host_count):
    """Fails if hosts with and without the rows choose other job hosts."""
    hosts, found = fleet_of(host_count)
    decoded = directory.decode(directory.encode(found))
    assert decoded == found
    assert len(found.hosts) <= 4 * job_hosts.MAX_CHOSEN_PER_ZONE
    chosen_ids = sorted(job_hosts.choose_job_hosts(hosts))
    for dead_ids in ([], chosen_ids[:1], chosen_ids[::2], chosen_ids):
        assert job_hosts.choose_job_hosts(
            decoded.hosts, dead_ids, decoded.size
        ) == job_hosts.choose_job_hosts(hosts, dead_ids)


@pytest.mark.parametrize(
    'value', [b'', b'{}', b'[' * 200_000, b'{"host_count":-1}']
)
def test_unreadable_directory_is_refused(value):
    """Fails if a row of another program ends the host that reads it."""
    assert isinstance(directory.decode(value), exceptions.Sentinel)


def test_marks_are_read_by_hosts_that_know_them_and_ignored_by_others():
    """Fails if hosts of two releases can't read each other's directory."""
    hosts, found = fleet_of(80)
    silent_id = found.hosts[0].host_id
    marked = directory.build(hosts, {silent_id, hosts[-1].host_id})
    assert directory.decode(directory.encode(marked)) == marked
    # Only hosts that are listed are marked, and their choice is the same.
    assert marked == dataclasses.replace(
        found, silent_ids=frozenset((silent_id,))
    )
    row = json.loads(directory.encode(marked))
    # What the model of an earlier release requires, and no more than that.
    assert row.keys() - {'silent'} == {
        'host_count',
        'max_millicores',
        'max_link_kbps',
        'hosts',
    }
    del row['silent']
    assert directory.decode(json.dumps(row).encode()) == found


@pytest.mark.parametrize(
    ('up_count', 'is_settled'), [(9, True), (8, False), (5, False), (0, False)]
)
def test_marks_shorten_the_wait_for_most_links_only(up_count, is_settled):
    """Fails if a wrong mark makes a host choose itself for every job."""
    hosts, found = fleet_of(80)
    clock = clock_module.ManualClock()
    members = create_members(FakeStore(hosts, found), hosts[-1], clock)
    asyncio.run(members._join_fleet())
    members._last_link_up_ms = clock.now()
    peer_ids = [each.host_id for each in found.hosts[:10]]
    members._links_by_id = {
        host_id: unittest.mock.Mock(is_up=number < up_count)
        for number, host_id in enumerate(peer_ids)
    }
    members._marked_ids = frozenset(peer_ids[9:])
    if up_count < 6:
        members._marked_ids = frozenset(peer_ids)
    assert members.is_settled == is_settled


def test_host_that_most_hosts_do_not_answer_marks_none():
    """Fails if a host that is cut off marks all others as silent."""
    hosts, found = fleet_of(80)
    clock = clock_module.ManualClock()
    members = create_members(FakeStore(hosts, found), hosts[-1], clock)
    answered_ms = clock.now()
    clock.set(answered_ms + members_module.SILENT_MARK_AFTER_MS + 1)
    links_by_id = {
        each.host_id: unittest.mock.Mock(
            is_up=False, last_answer_ms=answered_ms
        )
        for each in found.hosts[:10]
    }
    members._links_by_id = links_by_id
    assert members._find_silent_ids() == frozenset()
    for link in list(links_by_id.values())[:6]:
        link.is_up = True
    assert members._find_silent_ids() == {
        each.host_id for each in found.hosts[6:10]
    }


def test_host_without_jobs_reads_the_directory_only():
    """Fails if each host of a large fleet reads the rows of all."""
    hosts, found = fleet_of(80)
    store = FakeStore(hosts, found)
    members = create_members(store, hosts[-1])
    asyncio.run(members._join_fleet())
    assert store.reads == [('read', directory.TABLE, 1)]
    assert members.host_count == 80
    assert members._job_host_ids == job_hosts.choose_job_hosts(hosts)
    assert members.knows_fleet and not members.is_token_source


def test_job_host_reads_all_rows_once_and_then_their_changes():
    """Fails if job hosts go by a directory, or read all rows repeatedly."""

    async def scenario():
        hosts, found = fleet_of(80)
        [job_host] = [
            each
            for each in hosts
            if each.host_id == max(job_hosts.choose_job_hosts(hosts))
        ]
        store = FakeStore(hosts, found)
        members = create_members(store, job_host)
        await members._read_fleet()
        store.reads.clear()
        store.remove_host(hosts[-1].host_id)
        store.put_host(hosts[-2])
        await members._read_fleet()
        assert store.reads == [('changes', 'hosts', 2)]
        assert members.host_count == 79
        assert members.is_token_source

    asyncio.run(scenario())


def test_changes_that_the_store_forgot_are_read_as_a_whole():
    """Fails if a job host misses rows after the store was unavailable."""

    async def scenario():
        hosts, _ = fleet_of(16)
        store = FakeStore(hosts)
        members = create_members(store, hosts[0])
        await members._read_fleet()
        store.remove_host(hosts[-1].host_id)
        store.changes = unittest.mock.AsyncMock(return_value='forgotten')
        await members._read_rows()
        assert members.host_count == 15

    asyncio.run(scenario())


def test_stale_directory_makes_no_token_source():
    """Fails if a host accrues tokens that the rows give to others.

    The directory names hosts of a smaller fleet, by which this host does jobs.
    """

    async def scenario():
        hosts, found = fleet_of(80)
        local = hosts[-1]
        stale = directory.Directory(found.size, found.hosts[:-1])
        zone_hosts = [each for each in stale.hosts if each.zone != local.zone]
        store = FakeStore(
            hosts, directory.Directory(stale.size, tuple(zone_hosts))
        )
        members = create_members(store, local)
        await members._join_fleet()
        assert not members.is_token_source
        assert not members.is_job_host
        assert members.host_count == 80

    asyncio.run(scenario())


def test_removed_host_of_a_stale_directory_does_not_come_back():
    """Fails if a host keeps or publishes one whose row was deleted."""

    async def scenario():
        hosts, found = fleet_of(80)
        store = FakeStore(hosts, found)
        members = create_members(store, hosts[-1])
        await members._join_fleet()
        removed_id = hosts[0].host_id
        assert removed_id in members._hosts_by_id
        store.remove_host(removed_id)
        await members._read_rows()
        assert removed_id not in members._hosts_by_id
        assert removed_id not in members._job_host_ids

    asyncio.run(scenario())


def test_suspended_host_publishes_no_earlier_state():
    """Fails if a host that stood still brings a removed host back."""

    async def scenario():
        hosts, found = fleet_of(80)
        chosen_ids = job_hosts.choose_job_hosts(hosts)
        local = next(each for each in hosts if each.host_id in chosen_ids)
        store = FakeStore(hosts, found)
        members = create_members(store, local)
        await members._read_fleet()
        others = [
            each for each in found.hosts if each.host_id != local.host_id
        ]
        store.remove_host(others[0].host_id)
        with unittest.mock.patch.object(
            members_module.Members, '_maintains_directory', True
        ):
            await members._write_directory()
        row = store.rows[directory.TABLE, directory.KEY]
        written = directory.decode(row.value)
        assert others[0].host_id not in {
            each.host_id for each in written.hosts
        }
        assert written.size.host_count == 79

    asyncio.run(scenario())


def test_many_hellos_lead_to_one_choice():
    """Fails if the choice is computed anew for each host that starts."""
    hosts, _ = fleet_of(80)
    members = create_members(None, hosts[0])
    members.add_hosts(hosts[:40])
    with unittest.mock.patch.object(
        job_hosts, 'choose_job_hosts', wraps=job_hosts.choose_job_hosts
    ) as choose:
        for each in hosts[40:]:
            members.add_host(each)
        members._update_links()
    assert choose.call_count == 1
    assert members._job_host_ids == job_hosts.choose_job_hosts(hosts)


def test_returning_job_host_is_linked_at_once():
    """Fails if callers wait for a round of pings to reach its gateways."""
    hosts, _ = fleet_of(80)
    members = create_members(None, hosts[-1])
    members.add_hosts(hosts)
    returning_id = max(members._job_host_ids)
    link = members._links_by_id[returning_id] = unittest.mock.Mock()
    members._tasks_by_id[returning_id] = unittest.mock.Mock()
    members._add_link.reset_mock()
    hello = dataclasses.replace(
        members._hosts_by_id[returning_id], incarnation=7
    )
    members.add_host(hello)
    link.stop.assert_called_once()
    assert hello in [each.args[0] for each in members._add_link.mock_calls]


@pytest.mark.parametrize('has_earlier_release', [True, False])
@pytest.mark.parametrize('host_count', [30])
def test_stale_directory_is_replaced(host_count, has_earlier_release):
    """Fails if hosts go on with a directory whose hosts are gone.

    In a fleet of earlier releases nobody maintains or answers it.
    """

    @simulation.simulated
    async def scenario(loop, host_count):
        fleet = loop.fleet = simulation.Fleet(loop, host_count, 4)
        _, found = fleet_of(80)
        fleet.store.write(
            directory.TABLE, directory.KEY, directory.encode(found)
        )
        await fleet.start()
        nodes = fleet.nodes_by_id.values()
        chosen_ids = job_hosts.choose_job_hosts(
            [each.members.local for each in nodes]
        )
        await fleet.until(
            lambda node: (
                node.sessions.is_listening
                and node.members._token_source_ids == chosen_ids
            ),
            6,
        )

    if has_earlier_release:
        with (
            unittest.mock.patch.object(
                members_module.Members, '_maintains_directory', False
            ),
            unittest.mock.patch.object(
                members_module.Members, 'directory_value', b''
            ),
        ):
            scenario(host_count)
    else:
        scenario(host_count)


@pytest.mark.parametrize('is_joining', [True, False])
def test_job_host_keeps_its_jobs_unless_it_joins(is_joining):
    """Fails if a host with partial knowledge ends the jobs of another."""

    async def scenario():
        hosts, found = fleet_of(80)
        local = hosts[-1]
        members = create_members(FakeStore(hosts[:3] + [local]), local)
        await members._read_rows()
        assert members.is_job_host
        link = unittest.mock.AsyncMock(
            peer=hosts[0],
            is_up=True,
            fleet_digest=job_hosts.digest(job_hosts.choose_job_hosts(hosts)),
            answers_directory=True,
        )
        link.request.return_value = frames.Directory(
            1, directory.encode(found)
        )
        members._links_by_id = {hosts[0].host_id: link}
        if is_joining:
            members._joining_until_ms = members._clock.now() + 1
        await members._read_fleet()
        assert members.is_job_host != is_joining

    asyncio.run(scenario())
