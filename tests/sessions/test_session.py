"""Tests of caller sessions on real hosts, with stand-ins for targets."""

import asyncio

import pytest

from tests import nodes


def run_scenario(scenario, hosts=2):
    async def main():
        async with nodes.running(hosts) as fleet:
            return await scenario(fleet)

    return asyncio.run(main())


def test_write_is_visible_through_another_host():
    """Fails if a committed write isn't visible through another host."""

    async def scenario(fleet):
        first = await nodes.Client.connect(fleet.nodes[0])
        assert first.startup_reply == 'READY I -'
        rows, result, state = await first.query('WRITE x 1')
        assert (
            result
            == f'COMPLETE {fleet.group.signatures[first.last_request_id]}'
        )
        assert state == 'I'
        second = await nodes.Client.connect(fleet.nodes[1])
        rows, result, state = await second.query('READ x')
        assert rows == ['1']
        assert (
            result
            == f'COMPLETE {fleet.group.signatures[second.last_request_id]}'
        )

    run_scenario(scenario)


def test_transaction_commits_or_rolls_back():
    """Fails if a rolled back write is visible or a committed one is lost."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[1])
        assert (await client.query('BEGIN'))[2] == 'T'
        assert (await client.query('WRITE x 1'))[2] == 'T'
        assert (await client.query('COMMIT'))[2] == 'I'
        await client.query('BEGIN')
        await client.query('WRITE x 2')
        assert (await client.query('ROLLBACK'))[2] == 'I'
        assert (await client.query('READ x'))[0] == ['1']

    run_scenario(scenario)


def test_empty_transaction_is_committed_by_a_target():
    """Fails if the proxy answers a COMMIT without a target's signature."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        _, result, state = await client.query('COMMIT')
        assert (
            result
            == f'COMPLETE {fleet.group.signatures[client.last_request_id]}'
        )
        assert state == 'I'

    run_scenario(scenario)


def test_values_and_prepared_statements_belong_to_one_session():
    """Fails if a statement uses values or statements of another session."""

    async def scenario(fleet):
        first = await nodes.Client.connect(fleet.nodes[0])
        second = await nodes.Client.connect(fleet.nodes[0])
        for client, value, mode in ((first, 'u', 'READ'), (second, 'v', None)):
            if mode is not None:
                await client.query(f'SET who {value}')
            shape = f'{mode or "WRITE"} q{value}'
            assert (await client.query(f'PARSE s1 {shape}'))[1] == (
                'COMPLETE -'
            )
        for _ in range(3):
            await second.query('EXECUTE s1 x 5')
            assert (await first.query('EXECUTE s1 x'))[0] == ['5']
        ids = {first.last_request_id, second.last_request_id}
        executed = [
            each for each in fleet.group.statements if each.request_id in ids
        ]
        values = {each.request_id: dict(each.values) for each in executed}
        assert values == {
            first.last_request_id: {'who': 'u'},
            second.last_request_id: {},
        }

    run_scenario(scenario)


def test_replica_serves_reads_of_bounded_staleness():
    """Fails if the primary serves all reads of bounded staleness."""

    async def scenario(fleet):
        writer = await nodes.Client.connect(fleet.nodes[0])
        client = await nodes.Client.connect(fleet.nodes[0], 'old')
        for number in range(6):
            await writer.query(f'WRITE x {number}')
            rows, result, _ = await client.query('READ x')
            assert result.startswith('COMPLETE'), result
        primary = fleet.group.primary.server_id
        reads = [
            each.server_id
            for each in fleet.group.statements
            if 'READ x' in each.text
        ]
        assert any(each != primary for each in reads)

    run_scenario(scenario)


def test_session_reads_its_writes_while_a_replica_lags():
    """Fails if a read misses a commit of its own session."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0], 'mine')
        await client.query('WRITE x old')
        await client.query('READ x')
        servers = list(fleet.group.servers.values())
        servers[1].is_deaf = True
        for number in range(5):
            await client.query(f'WRITE x {number}')
            assert (await client.query('READ x'))[0] == [str(number)]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('database', 'key', 'code'),
    [('none', nodes.KEY, 'NODB'), ('main', 'wrong', 'DENIED')],
)
def test_unknown_database_or_key_is_refused(database, key, code):
    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0], database, key)
        assert client.startup_reply.startswith(f'ERROR {code} ')
        assert await client.read_line() == ''

    run_scenario(scenario, hosts=1)


def test_withdrawn_key_is_denied_in_an_open_session():
    """Fails if an open session still runs statements with a withdrawn key."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        assert (await client.query('READ x'))[1].startswith('COMPLETE')
        document = nodes.configuration(version=5)
        document['Tenants'][0]['ApiKeys'] = ['another']
        fleet.store.put('op', 'config', document)
        node = fleet.nodes[0]
        await fleet.until(lambda: node.catalog.current.version == 5, 3)
        assert (await client.query('READ x'))[1].startswith('ERROR DENIED')

    run_scenario(scenario, hosts=1)


def test_targets_receive_the_account_but_not_the_key():
    """Fails if a target receives the caller's key."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('READ x')
        accounts = {each.account for each in fleet.group.statements}
        assert nodes.ACCOUNT in accounts
        assert nodes.KEY not in accounts

    run_scenario(scenario, hosts=1)


@pytest.mark.parametrize(
    'line',
    [
        b'NONSENSE\r\n',
        b'QUERY\r\n',
        b'QUERY q1 DROP TABLE\r\n',
        b'QUERY q1 EXECUTE missing\r\n',
        b'QUERY q1 COMMIT\r\n',
        b'\xff\xfe\r\n',
        b'\r\n',
    ],
)
def test_malformed_line_gets_an_error_and_the_session_continues(line):
    """Fails if malformed input ends the session or the process."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        client._writer.write(line)
        _, result, state = await client.read_answer()
        assert result.startswith('ERROR MALFORMED')
        assert state == 'I'
        assert (await client.query('READ x'))[1].startswith('COMPLETE')

    run_scenario(scenario, hosts=1)


def test_oversized_line_closes_the_connection():
    """Fails if an endless line is kept in memory."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        client._writer.write(b'QUERY q1 ' + b'x' * 1_200_000)
        try:
            assert (await client.read_answer())[1] == 'CLOSED'
        except ConnectionError:
            pass

    run_scenario(scenario, hosts=1)


def test_write_with_lost_answer_is_in_doubt():
    """Fails if a write that ran is reported as not run."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        fleet.group.primary.lost_answers.add('WRITE')
        _, result, _ = await client.query('WRITE x 1')
        assert result.startswith('ERROR INDOUBT')

    run_scenario(scenario, hosts=1)


def test_read_with_lost_answer_is_retried():
    """Fails if a read waits for its whole time limit before a retry."""

    async def scenario(fleet):
        writer = await nodes.Client.connect(fleet.nodes[0])
        await writer.query('WRITE x 1')
        client = await nodes.Client.connect(fleet.nodes[0], 'old')
        for server in fleet.group.servers.values():
            if not server.is_primary:
                server.lost_answers |= {'READ', 'WAITLSN'}
        loop = asyncio.get_running_loop()
        started = loop.time()
        rows, result, _ = await client.query('READ x')
        assert rows == ['1'], result
        assert loop.time() - started < 0.8

    run_scenario(scenario, hosts=1)


def test_commit_with_lost_answer_is_in_doubt():
    """Fails if a commit that may have happened is reported as aborted."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        fleet.group.primary.lost_answers.add('COMMIT')
        _, result, state = await client.query('COMMIT')
        assert result.startswith('ERROR INDOUBT')
        assert state == 'I'

    run_scenario(scenario, hosts=1)


def test_transaction_of_a_disconnected_caller_is_rolled_back():
    """Fails if a disconnected caller's transaction keeps its connection."""

    async def scenario(fleet):
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        client.close()
        await fleet.until(
            lambda: any(
                each.text == 'ROLLBACK' for each in fleet.group.statements
            )
        )

    run_scenario(scenario)


def test_idle_transaction_is_rolled_back_and_reported():
    """Fails if an idle transaction keeps its connection without limit."""

    async def scenario(fleet):
        document = nodes.configuration(version=2)
        document['Limits']['TxIdleMs'] = 200
        fleet.store.put('op', 'config', document)
        node = fleet.nodes[0]
        await fleet.until(lambda: node.catalog.current.version == 2)
        client = await nodes.Client.connect(node)
        await client.query('BEGIN')
        await client.query('WRITE x 1')
        await asyncio.sleep(0.4)
        _, result, state = await client.query('COMMIT')
        assert result.startswith('ERROR ABORTED')
        assert state == 'I'
        assert (await client.query('READ x'))[0] == ['none']

    run_scenario(scenario, hosts=1)


def test_transaction_survives_a_retried_begin():
    """Fails if the caller gets the error of a BEGIN that a target refused."""

    async def scenario(fleet):
        fleet.group.primary.planned_errors.append(('BEGIN', 'BUSY'))
        client = await nodes.Client.connect(fleet.nodes[0])
        await client.query('BEGIN')
        assert (await client.query('WRITE x 1'))[1].startswith('COMPLETE')
        assert (await client.query('COMMIT'))[1].startswith('COMPLETE')

    run_scenario(scenario, hosts=1)
