"""Tests of sessions whose key or account changes while they are open."""

import asyncio

import pytest

from tests import nodes


def run_scenario(scenario, hosts=2):
    async def main():
        async with nodes.running(hosts) as fleet:
            return await scenario(fleet)

    return asyncio.run(main())


def without_key():
    [first, second] = nodes.configuration()['Tenants']
    return [{**first, 'ApiKeys': ['another-key']}, second]


def without_account():
    return nodes.configuration()['Tenants'][1:]


def with_key_moved():
    [first, second] = nodes.configuration()['Tenants']
    return [{**first, 'ApiKeys': []}, {**second, 'ApiKeys': [nodes.KEY]}]


async def change_accounts(fleet, accounts):
    """Publish a configuration and wait until each host has adopted it."""
    fleet.store.put('op', 'config', nodes.configuration(2, Tenants=accounts))
    await fleet.until(
        lambda: all(node.catalog.current.version == 2 for node in fleet.nodes)
    )


def texts_of_clients(fleet):
    return [each.text for each in fleet.group.statements]


@pytest.mark.parametrize('statement', ['WRITE x 2', 'READ x', 'COMMIT'])
@pytest.mark.parametrize(
    ('accounts', 'code'),
    [
        (without_key, 'DENIED'),
        (without_account, 'DENIED'),
        (with_key_moved, 'ABORTED'),
    ],
)
def test_open_transaction_ends_with_its_key(accounts, code, statement):
    """Fails if a transaction goes on, or commits, after its key has gone.

    It ran under the account until it ended, for as long as its caller made
    pauses below the idle limit.
    """

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[1])
        await client.query('BEGIN')
        assert (await client.query('WRITE x 1'))[2] == 'T'
        await change_accounts(fleet, accounts())
        _, result, _ = await client.query(statement)
        assert result.split(' ')[1] == code
        assert statement not in texts_of_clients(fleet)
        reader = await nodes.Client.connect(fleet.nodes[0], key='key-of-b')
        assert (await reader.query('READ x'))[0] != ['1']

    run_scenario(scenario)


def test_withdrawn_key_frees_the_target_connection():
    """Fails if an idle transaction keeps its connection after its key went.

    The caller may send nothing more until the idle limit.
    """

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[1])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        await change_accounts(fleet, without_key())
        await fleet.until(
            lambda: (
                not any(node.gateways.has_transactions for node in fleet.nodes)
            ),
            limit_s=2,
        )

    run_scenario(scenario)


def test_session_of_a_withdrawn_key_is_closed_after_its_answer():
    """Fails if a session stays open that may run nothing any more."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        await change_accounts(fleet, without_key())
        _, result, _ = await client.query('WRITE x 2')
        assert result.startswith('ERROR DENIED')
        assert await client.read_line() == ''

    run_scenario(scenario)


def test_new_transaction_after_a_key_moved_runs_as_its_new_account():
    """Fails if the retry of an aborted transaction is refused."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        await change_accounts(fleet, with_key_moved())
        assert (await client.query('WRITE x 2'))[1].startswith('ERROR ABORTED')
        assert (await client.query('ROLLBACK'))[2] == 'I'
        await client.query('BEGIN')
        assert (await client.query('WRITE x 3'))[2] == 'T'
        assert (await client.query('COMMIT'))[1].startswith('COMPLETE')

    run_scenario(scenario)


def test_open_transaction_outlives_other_changes():
    """Fails if a change that keeps the key ends open transactions."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[1])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        accounts = nodes.configuration()['Tenants']
        accounts[0]['ApiKeys'].append('a-second-key')
        await change_accounts(fleet, accounts)
        assert (await client.query('COMMIT'))[1].startswith('COMPLETE')

    run_scenario(scenario)
