"""Rows of other writers among those that the hosts read."""

import asyncio
import json

import pytest

from samphirestand import exceptions
from samphirestand.platform import records
from tests import nodes

ROW = {
    'Service': nodes.SERVICE,
    'Addr': '127.0.0.1:9',
    'Zone': 'north',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmLeftMs': 0,
    'DbRole': 'replica',
    'Seq': 4,
}

WRONG_VALUES = {
    'Service': [None, 7, '', 'two words', 'line\r\nbreak', ['svc']],
    'Addr': [
        None,
        9,
        '',
        '127.0.0.1',
        '127.0.0.1:',
        '127.0.0.1:0',
        '127.0.0.1:-9',
        '127.0.0.1:65536',
        '127.0.0.1:99999999999999999999',
        '127.0.0.1:9.0',
        '127.0.0.1:\u0669',
        'example:9',
        ':9',
    ],
    'Zone': [None, 3, '', {}, 'n' * 300],
    'Version': [None, 1, ['v1']],
    'Slots': [None, 0, -1, '2', 2.5, True, 10**30],
    'State': [None, 'gone', '', 1, 'Ready', 'ready '],
    'DbRole': [None, 'leader', 1],
    'WarmLeftMs': [None, -1, '0', 1e999, 10**400],
    'Seq': [None, -1, '4', 1.5, True, 10**30],
    'born': [None, 'now', 1.5, -1, 10**30, True],
}

ODD_ROWS = {
    **{
        f'{field} {str(value)[:20]!r}': {**ROW, field: value}
        for field, values in WRONG_VALUES.items()
        for value in values
    },
    **{
        f'without {field}': {
            each: value for each, value in ROW.items() if each != field
        }
        for field in ROW
    },
    'an empty value': b'',
    'bytes that are not text': b'\xff\xfe{',
    'a list': [],
    'a number': 7,
    'a null': None,
    'deeply nested': b'[' * 30_000,
    'a deeply nested field': (
        json.dumps(ROW)[:-1].encode()
        + b', "x": '
        + b'[' * 20_000
        + b']' * 20_000
        + b'}'
    ),
    'a number too large to parse': b'{"Seq": ' + b'9' * 20_000 + b'}',
    'a lone surrogate': json.dumps({**ROW, 'Zone': '\ud800'}).encode(),
}


def encode(value):
    return value if isinstance(value, bytes) else json.dumps(value).encode()


def run_scenario(scenario, hosts=2):
    async def main():
        async with nodes.running(hosts) as fleet:
            return await scenario(fleet)

    return asyncio.run(main())


def test_complete_registration_is_read():
    target = records.decode_target('i-1', encode({**ROW, 'born': 12}))
    assert target.port == 9
    assert target.started_ms == 12
    new_field = {**ROW, 'Weight': [1]}
    assert records.decode_target('i-1', encode(new_field)).port == 9
    warm = {**ROW, 'WarmLeftMs': 12.5}
    assert records.decode_target('i-1', encode(warm)).slots == 2


@pytest.mark.parametrize('name', ODD_ROWS)
def test_odd_registration_names_no_target(name):
    """Guards against a row of another writer that is used as a server."""
    found = records.decode_target('i-1', encode(ODD_ROWS[name]))
    assert isinstance(found, exceptions.Sentinel)


@pytest.mark.parametrize(
    'key', ['', 'two words', 'a\r\nb', '\u00e9', 'k' * 201]
)
def test_registration_under_an_odd_key_names_no_target(key):
    """Guards against an id that would break a line to a target."""
    found = records.decode_target(key, encode(ROW))
    assert isinstance(found, exceptions.Sentinel)


def test_odd_registrations_do_not_keep_a_draining_primary():
    """Guards against a primary that stays since a row names no server.

    Hosts took a row without some of the fields for a replica and waited for
    its answer for good.
    """

    async def scenario(fleet):
        for number, value in enumerate(ODD_ROWS.values()):
            fleet.store.put('servers', f'odd-{number}', encode(value))
        fleet.store.put('servers', 'odd key', encode(ROW))
        await asyncio.sleep(2.2)
        node = fleet.nodes[0]
        assert len(node.targets.of_service(nodes.SERVICE)) == 3
        old_primary = fleet.group.primary
        old_primary.state = 'draining'
        old_primary.register()
        await fleet.until(
            lambda: fleet.group.primary not in (None, old_primary), 6
        )
        # The rows are there when a host starts, too.
        started = await fleet.start_node('south')
        await fleet.until(lambda: started.is_ready)
        assert len(started.targets.of_service(nodes.SERVICE)) == 3

    run_scenario(scenario)


HOST_ROW = {
    'zone': 'north',
    'address': '127.0.0.1',
    'port': 9,
    'incarnation': 1,
    'millicores': 1,
    'link_kbps': 1,
    'renew_ms': 10_000,
}

WRONG_HOST_VALUES = {
    'zone': ['', 7, None],
    'address': ['', 'example', 7, 'a\x00b'],
    'port': [0, 65_536, '9', -1, 1.5],
    'incarnation': [-1, 10**30, '1', 2**64],
    'millicores': [10**30, -1, 2**32],
    'link_kbps': [10**30, 1.5],
    'renew_ms': [10**30, -1],
}


def test_odd_rows_of_hosts_do_not_stop_the_fleet():
    """Guards against a row of another writer that ends the work of hosts.

    Its numbers didn't fit into the messages between hosts.
    """

    async def scenario(fleet):
        odd_rows = [
            {**HOST_ROW, field: value}
            for field, values in WRONG_HOST_VALUES.items()
            for value in values
        ]
        odd_rows += [[], 7, None, b'', b'\xff', b'[' * 30_000]
        for number, value in enumerate(odd_rows):
            fleet.store.put('hosts', f'odd-{number}', encode(value))
        for node in fleet.nodes:
            await node.members._read_rows()
            assert node.members.host_count == 2
        started = await fleet.start_node('south')
        await fleet.until(lambda: started.is_ready)
        assert started.members.host_count == 3
        client = await nodes.Client.connect(started)
        _, result, _ = await client.query('WRITE x 1')
        assert result.startswith('COMPLETE')

    run_scenario(scenario)


@pytest.mark.parametrize(
    'change',
    [
        {'Version': 10**30},
        {'Version': -1},
        {'Limits': {'TxIdleMs': 1e999}},
        {'Limits': {'HeaderTimeoutMs': -5}},
        {'Tenants': [{'Name': 'a', 'RatePerS': 1e999, 'Burst': 1}]},
        {'Services': [{'Name': 'a', 'MaxConns': 10**30}]},
        {'Routes': [[]]},
    ],
)
def test_odd_configuration_is_rejected_as_unreadable(change):
    """Guards against a configuration that ends the task that follows it."""
    document = {**nodes.configuration(), **change}
    with pytest.raises(exceptions.PlatformError):
        records.decode_catalog(encode(document))


def test_configuration_is_followed_after_an_odd_one():
    """Guards against hosts that stop following the configuration."""

    async def scenario(fleet):
        [node] = fleet.nodes
        for value in (b'[' * 30_000, b'\xff', b'{"Version": 1e999}'):
            fleet.store.put('op', 'config', value)
            await asyncio.sleep(0.1)
        fleet.store.put('op', 'config', nodes.configuration(9))
        await fleet.until(lambda: node.catalog.current.version == 9, 5)

    run_scenario(scenario, hosts=1)


@pytest.mark.parametrize(
    ('priority', 'weight'),
    [
        (0, 4),
        (1, 2),
        (2, 1),
        (9, 1),
        (-3, 4),
        (1e30, 1),
        (None, 1),
        ('gold', 1),
        (True, 1),
    ],
)
def test_priority_of_an_account_is_its_weight(priority, weight):
    """Fails if an odd priority has no weight or spoils a configuration."""
    catalog = decode_priorities(priority, 0)
    assert catalog.accounts_by_name['a'].weight == weight


@pytest.mark.parametrize(
    ('priority', 'decoded'),
    [(3, 3), (-3, 0), (2**40, 2**32 - 1), (None, 0), ('high', 0)],
)
def test_priority_of_a_route_is_clamped(priority, decoded):
    """Fails if an odd priority of a route spoils a configuration."""
    catalog = decode_priorities(0, priority)
    assert catalog.routes_by_database['db'].priority == decoded


def test_missing_priority_of_an_account_is_the_lowest_weight():
    """Fails if accounts without a priority go before those with one."""
    value = {
        'Version': 1,
        'Tenants': [{'Name': 'a', 'RatePerS': 1, 'Burst': 1}],
    }
    catalog = records.decode_catalog(json.dumps(value).encode())
    assert catalog.accounts_by_name['a'].weight == 1


def decode_priorities(account_priority, route_priority):
    value = {
        'Version': 1,
        'Tenants': [
            {
                'Name': 'a',
                'RatePerS': 1,
                'Burst': 1,
                'Priority': account_priority,
            }
        ],
        'Routes': [
            {
                'Host': 'db',
                'RouteKind': 'primary',
                'Service': 'svc',
                'Priority': route_priority,
            }
        ],
    }
    return records.decode_catalog(json.dumps(value).encode())
