"""The choice of the target for a statement."""

import asyncio

from tests import nodes

ACCOUNTS = 9
ROUNDS = 5
AT_ONCE = 3


def account_rows():
    return [
        {
            'Name': f'acct-{number}',
            'ApiKeys': [f'key-{number}'],
            'Priority': 1,
            'RatePerS': 1000,
            'Burst': 1000,
        }
        for number in range(ACCOUNTS)
    ]


def test_statement_prefers_a_target_where_its_account_has_a_connection():
    """Guards against opening connections for all accounts on each target.

    A target allows fewer connections than there are accounts, and opening a
    connection takes as long as several statements.
    """

    async def scenario():
        async with nodes.running(1) as fleet:
            document = nodes.configuration(2, Tenants=account_rows())
            fleet.store.put('op', 'config', document)
            node = fleet.nodes[0]
            await fleet.until(lambda: node.catalog.current.version == 2)
            clients = [
                await nodes.Client.connect(node, 'old', f'key-{number}')
                for number in range(ACCOUNTS)
            ]
            for server in fleet.group.servers.values():
                server.work_ms = 5
                server.opening_ms = 25
            await asyncio.sleep(1)
            for number in range(ROUNDS):
                # Send fewer statements at once than the replicas have slots,
                # with a different group of accounts each time.
                order = clients[number:] + clients[:number]
                for start in range(0, ACCOUNTS, AT_ONCE):
                    await asyncio.gather(
                        *(
                            each.query('READ x')
                            for each in order[start : start + AT_ONCE]
                        )
                    )
            return {
                (each.account, each.server_id)
                for each in fleet.group.statements
                if 'READ x' in each.text
            }

    account_target_pairs = asyncio.run(scenario())
    assert len({account for account, _ in account_target_pairs}) == ACCOUNTS
    assert len(account_target_pairs) <= 1.5 * ACCOUNTS
