"""Which steps are sent to a target together with a statement."""

import asyncio

import pytest

from samphirestand.gateway import pool as pool_module
from tests import nodes


@pytest.fixture
def batches(monkeypatch):
    """Record the texts that are sent to a target together."""
    recorded = []
    run = pool_module.TargetPool.run

    async def record(self, connection, steps, timeout_ms):
        words = [each.text.split(' ') for each in steps]
        recorded.append(
            [each[2] if each[0] == 'WAITLSN' else each[0] for each in words]
        )
        return await run(self, connection, steps, timeout_ms)

    monkeypatch.setattr(pool_module.TargetPool, 'run', record)
    return recorded


def run_statements(database, texts, prepare=lambda fleet: None):
    async def main():
        async with nodes.running(1) as fleet:
            warm = await nodes.Client.connect(fleet.nodes[0], database)
            await warm.query('READ x')
            prepare(fleet)
            client = await nodes.Client.connect(fleet.nodes[0], database)
            return [await client.query(each) for each in texts]

    return asyncio.run(main())


def test_prepared_read_on_a_replica_takes_one_round_trip(batches):
    """Guards against a round trip to another zone before each read."""
    run_statements('old', ['PARSE s READ q', 'EXECUTE s x'])
    assert ['PARSE', 'EXECUTE'] in batches


def test_begin_is_sent_with_the_steps_before_it(batches):
    """Guards against a round trip for each step of a transaction's start."""
    run_statements(
        'main', ['SET a 1', 'PARSE s READ q', 'BEGIN', 'EXECUTE s x']
    )
    assert ['SET', 'PARSE', 'BEGIN'] in batches


@pytest.mark.parametrize(
    ('database', 'texts'),
    [
        ('old', ['SET a 1', 'READ x']),
        ('main', ['SET a 1', 'WRITE x 1']),
        ('main', ['PARSE s WRITE q', 'EXECUTE s x 1']),
        ('main', ['PARSE s READ q', 'EXECUTE s x']),
    ],
)
def test_statement_waits_for_steps_that_decide_whether_it_may_run(
    batches, database, texts
):
    """Guards against statements with wrong values or on a former primary."""
    run_statements(database, texts)
    for batch in batches:
        if {'READ', 'WRITE', 'EXECUTE'} & set(batch):
            assert not {'SET', 'PARSE', 'BEGIN'} & set(batch)


@pytest.mark.parametrize('code', ['BUSY', 'FAILED'])
def test_read_is_repeated_if_its_statement_was_not_prepared(code):
    """Guards against an error that reaches the caller of a prepared read."""

    def fail_first_prepare(fleet):
        for server in fleet.group.servers.values():
            server.planned_errors.append(('PARSE', code))

    answers = run_statements(
        'old', ['PARSE s READ q', 'EXECUTE s x'], fail_first_prepare
    )
    rows, result, _ = answers[-1]
    assert result.startswith('COMPLETE sig.')
    assert rows == ['none']


def test_step_that_fails_within_a_transaction_ends_it():
    """Guards against a statement that runs without its session values."""

    async def main():
        async with nodes.running(1) as fleet:
            client = await nodes.Client.connect(fleet.nodes[0])
            await client.query('BEGIN')
            await client.query('READ x')
            await client.query('SET a 1')
            fleet.group.primary.planned_errors.append(('SET', 'FAILED'))
            fleet.group.statements.clear()
            _, result, state = await client.query('READ x')
            assert result.startswith('ERROR ABORTED')
            assert state == 'E'
            client.close()

    asyncio.run(main())
