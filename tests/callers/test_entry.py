"""Tests of the request path on an entry host."""

import asyncio
import dataclasses

import pytest

from samphirestand.callers import entry
from samphirestand.callers import holding
from samphirestand.callers import refusals
from samphirestand.callers import tokens
from samphirestand import types
from tests.callers import fakes
from tests.callers import fleet

TRANSACTION = 's.t1.h2.random'


def handle_call(
    folder, call, outcomes=(), header=fakes.KEY_HEADER, prepare=None
):
    """Handle one call; return the harness and the reply.

    ``prepare`` changes the harness before, and may return another call.
    """
    harness = fakes.Harness(folder, outcomes)
    if prepare is not None:
        call = prepare(harness, call) or call
    return harness, asyncio.run(harness.handle(call, header))


def test_answer_to_write_has_session_token(tmp_path):
    """Guards against a write whose position isn't in the session token."""
    harness, reply = handle_call(tmp_path, fakes.call())
    assert isinstance(reply.outcome, types.Done)
    session = harness.signer.verify(reply.session_token)
    assert session == tokens.Session('a', {'s': types.Position(2, 10)})


def use_token(**session):
    """Return a ``prepare`` that adds a session token to the call."""

    def prepare(harness, call):
        return dataclasses.replace(call, session=harness.token(**session))

    return prepare


def use_tampered_token(harness, call):
    token = harness.token(s=(2, 7))
    return dataclasses.replace(call, session=token[:-1] + 'g')


def set_unconfirmed(harness, call):
    harness.configuration.confirmed = False


def set_over_rate(harness, call):
    harness.limiter.refusal = types.NotRun('rate_exceeded', 'over', 50)


@pytest.mark.parametrize(
    ('header', 'fields', 'prepare', 'code'),
    [
        (None, {}, None, 'key_missing'),
        ('Bearer x.y', {}, None, 'key_unknown'),
        (f'Bearer key-old.{fakes.SECRET}', {}, None, 'key_withdrawn'),
        (fakes.OPERATOR_HEADER, {}, None, 'key_role_mismatch'),
        (None, {'service': 'nothing'}, None, 'key_missing'),
        (fakes.KEY_HEADER, {'service': 'nothing'}, None, 'service_unknown'),
        (fakes.KEY_HEADER, {}, set_unconfirmed, 'configuration_unconfirmed'),
        (fakes.KEY_HEADER, {'service': 'free'}, set_unconfirmed,
         'configuration_unconfirmed'),
        (fakes.KEY_HEADER, {}, set_over_rate, 'rate_exceeded'),
        (fakes.KEY_HEADER, {}, use_tampered_token, 'bad_session'),
        (fakes.KEY_HEADER, {}, use_token(account='b', s=(2, 7)),
         'session_account_mismatch'),
        (fakes.KEY_HEADER,
         {'operation': 'commit', 'transaction_id': 'x'}, None,
         'transaction_unknown'),
        (fakes.KEY_HEADER, {'operation': 'commit', 'service': 'free',
                        'transaction_id': TRANSACTION}, None,
         'transaction_unknown'),
    ],
)  # fmt: skip
def test_refused_before_anything_is_sent(
    tmp_path, header, fields, prepare, code
):
    """Guards against requests that are sent although they are refused."""
    harness, reply = handle_call(
        tmp_path, fakes.call(**fields), header=header, prepare=prepare
    )
    assert isinstance(reply.outcome, types.NotRun)
    assert reply.outcome.code == code
    assert harness.router.requests == []
    assert harness.entry.refusals.find('r1')[0].code == code


@pytest.mark.parametrize(
    ('header', 'service', 'account'),
    [
        (f'Bearer key-b.{fakes.SECRET}', 's', 'b'),
        (None, 'free', 'public'),
    ],
)
def test_served_while_isolated(tmp_path, header, service, account):
    """Guards against an isolated host that refuses what it may serve.

    It may serve accounts that are configured so, and requests without a key.
    """
    call = fakes.call(service=service)
    harness, reply = handle_call(
        tmp_path, call, header=header, prepare=set_unconfirmed
    )
    assert isinstance(reply.outcome, types.Done)
    assert harness.router.requests[0].account == account


def test_key_stays_on_the_entry_host(tmp_path):
    """Guards against a key or its hash that is sent to hosts and targets."""
    harness, _ = handle_call(
        tmp_path, fakes.read(max_age_ms=500), [fakes.not_run('behind')] * 2
    )
    assert len(harness.router.requests) == 3
    for request in harness.router.requests:
        assert fakes.SECRET not in repr(request)
        assert fakes.SHA256 not in repr(request)
        assert (request.account, request.key_id) == ('a', 'key-a')


REPLICA_BEHIND = fakes.not_run('replica_behind')
TARGET_UNREACHABLE = fakes.not_run('target_unreachable')


@pytest.mark.parametrize(
    ('fields', 'outcomes', 'targets'),
    [
        # Writes, and reads without a maximum age, go to the primary.
        ({'mode': types.Mode.WRITE}, [], ['t1']),
        ({}, [], ['t1']),
        # Replicas are tried first, and the primary if they refuse.
        ({'max_age_ms': 500}, [], ['t2']),
        ({'max_age_ms': 500}, [REPLICA_BEHIND], ['t2', 't3']),
        (
            {'max_age_ms': 500},
            [REPLICA_BEHIND, TARGET_UNREACHABLE],
            ['t2', 't3', 't1'],
        ),
        # No other target is tried if the primary would refuse as well.
        ({'max_age_ms': 500}, [fakes.not_run('bad_statement')], ['t2']),
        # A replica that is cut off may not know the newest history.
        (
            {'max_age_ms': 500},
            [fakes.not_run('session_position_discarded')],
            ['t2', 't3'],
        ),
        # The service allows no age, so its reads go to the primary.
        ({'max_age_ms': 500, 'service': 'free'}, [], ['t1']),
    ],
)
def test_choice_of_target(tmp_path, fields, outcomes, targets):
    """Guards against reads that skip replicas, or that are too old."""

    def prepare(harness, call):
        harness.entry._target_selector._zone = 'franken'

    harness, _ = handle_call(
        tmp_path, fakes.read(**fields), outcomes, prepare=prepare
    )
    asked = [request.target_id for request in harness.router.requests]
    assert asked == targets


@pytest.mark.parametrize(
    ('zone', 'first'), [('franken', 't2'), ('schwaben', 't3')]
)
def test_replica_of_the_own_zone_comes_first(tmp_path, zone, first):
    """Guards against reads from another zone that the own zone can serve."""

    async def main():
        for _ in range(10):
            harness = fakes.Harness(tmp_path)
            harness.entry._target_selector._zone = zone
            await harness.handle(fakes.read(max_age_ms=500))
            assert harness.router.requests[0].target_id == first

    asyncio.run(main())


def test_read_age_is_limited_by_the_route(tmp_path):
    """Guards against a read older than the service accepts."""
    harness, _ = handle_call(tmp_path, fakes.read(max_age_ms=60_000))
    assert harness.router.requests[0].max_age_ms == 2_000


def test_session_position_goes_with_the_request(tmp_path):
    """Guards against reads that don't see the session's own writes."""
    harness, _ = handle_call(
        tmp_path,
        fakes.read(max_age_ms=500),
        prepare=use_token(s=(2, 7), other=(1, 1)),
    )
    assert harness.router.requests[0].session == types.Position(2, 7)


def test_dropped_service_is_read_from_the_primary(tmp_path):
    """Guards against stale reads of a service that a full token dropped."""

    def prepare(harness, call):
        token = harness.signer.sign(tokens.Session('a', {}, truncated=True))
        return dataclasses.replace(call, session=token)

    harness, _ = handle_call(
        tmp_path, fakes.read(max_age_ms=500), prepare=prepare
    )
    assert harness.router.requests[0].target_id == 't1'


def test_refusing_replica_is_excluded_for_a_time(tmp_path):
    """Guards against reads that each try a replica that is behind first."""

    async def main():
        harness = fakes.Harness(tmp_path, [REPLICA_BEHIND, REPLICA_BEHIND])
        call = fakes.read(max_age_ms=500)
        for _ in range(2):
            await harness.handle(call)
        asked = [request.target_id for request in harness.router.requests]
        assert asked[2:] == ['t1', 't1']
        # A read that allows a higher age may still be served there.
        await harness.handle(fakes.read(max_age_ms=900))
        assert harness.router.requests[-1].target_id != 't1'
        await harness.clock.advance(5_000)
        await harness.handle(call)
        assert harness.router.requests[-1].target_id != 't1'

    asyncio.run(main())


def test_replica_that_is_not_behind_is_preferred(tmp_path):
    """Guards against a read that waits at a replica that is behind.

    Another replica has the required position already.
    """

    async def main():
        positions = [types.Position(2, 7), types.Position(2, 3)]
        done = [types.Done((), each, '', 'replica') for each in positions]
        harness = fakes.Harness(tmp_path, done)
        harness.entry._target_selector.record_success('t2', done[1])
        harness.entry._target_selector.record_success('t3', done[0])
        harness.entry._target_selector._zone = 'franken'
        session = harness.token(s=(2, 5))
        await harness.handle(fakes.read(max_age_ms=500, session=session))
        assert harness.router.requests[0].target_id == 't3'

    asyncio.run(main())


def test_discarded_position_gives_a_fresh_token(tmp_path):
    """Guards against a session that is refused for ever after a failover."""
    refused = fakes.not_run('session_position_discarded')
    harness, reply = handle_call(
        tmp_path,
        fakes.read(),
        [refused],
        prepare=use_token(s=(1, 99), other=(3, 4)),
    )
    assert reply.outcome == refused
    session = harness.signer.verify(reply.session_token)
    assert session.positions_by_service == {'other': types.Position(3, 4)}


@pytest.mark.parametrize(
    ('operation', 'is_in_token'),
    [('execute', True), ('commit', True), ('statement', False)],
)
def test_only_committed_positions_are_seen(tmp_path, operation, is_in_token):
    """Guards against tokens with positions that were rolled back."""
    transaction_id = '' if operation == 'execute' else TRANSACTION
    call = fakes.call(operation=operation, transaction_id=transaction_id)
    harness, reply = handle_call(tmp_path, call)
    session = harness.signer.verify(reply.session_token)
    assert ('s' in session.positions_by_service) is is_in_token


RETRYABLE = [
    'not_gateway',
    'not_primary',
    'primary_unconfirmed',
    'target_unreachable',
    'target_leaving',
    'draining',
    'replica_behind',
    'replica_too_old',
]


@pytest.mark.parametrize(
    ('fields', 'first', 'attempts', 'last'),
    [
        # Nothing ran, so it is sent again, repeatable or not.
        *[({}, fakes.not_run(code), 2, types.Done) for code in RETRYABLE],
        ({'repeatable': True}, TARGET_UNREACHABLE, 2, types.Done),
        # Other refusals are final.
        ({}, fakes.not_run('bad_statement'), 1, types.NotRun),
        ({}, fakes.not_run('conflict'), 1, types.NotRun),
        ({}, fakes.not_run('deadline_unattainable'), 1, types.NotRun),
        ({'repeatable': True}, fakes.not_run('bad_statement'), 1,
         types.NotRun),
        # The request may have run, so it is sent again only if repeatable.
        ({}, fakes.ANSWER_LOST, 1, types.Unknown),
        ({'repeatable': True}, fakes.ANSWER_LOST, 2, types.Done),
        ({'mode': types.Mode.READ}, fakes.ANSWER_LOST, 1, types.Unknown),
        # A transaction is bound to its gateway.
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         TARGET_UNREACHABLE, 2, types.Done),
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         fakes.not_run('not_gateway'), 1, types.NotRun),
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         fakes.ANSWER_LOST, 1, types.Unknown),
        ({'transaction_id': TRANSACTION, 'operation': 'statement'},
         fakes.not_run('transaction_lost'), 1, types.NotRun),
        ({'operation': 'begin'}, fakes.ANSWER_LOST, 1, types.Unknown),
        ({'operation': 'begin'}, TARGET_UNREACHABLE, 2, types.Done),
    ],
)  # fmt: skip
def test_retries_by_outcome(tmp_path, fields, first, attempts, last):
    """Guards against requests that run twice or are refused too early."""
    harness, reply = handle_call(tmp_path, fakes.call(**fields), [first])
    assert len(harness.router.requests) == attempts
    assert isinstance(reply.outcome, last)


def test_refusal_after_lost_answer_is_unknown(tmp_path):
    """Guards against "not run" although the first attempt may have run."""
    harness, reply = handle_call(
        tmp_path,
        fakes.call(repeatable=True),
        [fakes.ANSWER_LOST, fakes.not_run('conflict')],
    )
    assert len(harness.router.requests) == 2
    assert isinstance(reply.outcome, types.Unknown)


def test_lost_answer_leaves_time_for_another_attempt(tmp_path):
    """Guards against a silent connection that takes the whole deadline."""

    def prepare(harness, call):
        harness.router.answer_delay_ms = 2_500

    call = fakes.read(deadline_ms=5_100)
    harness, reply = handle_call(
        tmp_path, call, [fakes.ANSWER_LOST], prepare=prepare
    )
    assert harness.router.requests[0].deadline_ms == 2_550
    assert isinstance(reply.outcome, types.Done)


def test_request_is_queued_until_the_deadline(tmp_path):
    """Guards against refusals while a service has no primary."""

    def prepare(harness, call):
        harness.routes.target_id = ''

    harness, reply = handle_call(
        tmp_path, fakes.call(deadline_ms=2_000), prepare=prepare
    )
    assert reply.outcome.code == 'primary_unconfirmed'
    assert harness.clock.now() - 1_000_000 >= 1_900
    assert harness.router.requests == []


async def send_during_outage(harness, count, outage_ms, call=None):
    """Send requests during an outage; return their tasks and its end."""
    call = call or fakes.call(deadline_ms=10_000)
    tasks = [
        asyncio.create_task(
            harness.entry.handle(
                call, fakes.KEY_HEADER, entry.CancellationToken()
            )
        )
        for _ in range(count)
    ]
    await harness.clock.advance(outage_ms)
    ended_ms = harness.clock.now()
    harness.router.outcomes.clear()
    return tasks, ended_ms


def test_retries_use_the_budget(tmp_path):
    """Guards against a retry storm on a service that is down."""

    async def main():
        harness = fakes.Harness(tmp_path, [TARGET_UNREACHABLE] * 100_000)
        tasks, _ = await send_during_outage(harness, 200, 3_000)
        # 200 first attempts, and retries: a tenth of these in the first
        # second, and ten in each second.
        assert 200 < len(harness.router.requests) <= 200 + 20 + 10 * 4
        await harness.clock.advance(1_000)
        replies = fleet.results(tasks)
        assert all(isinstance(each.outcome, types.Done) for each in replies)

    asyncio.run(main())


def test_retries_after_lost_answers_always_use_the_budget(tmp_path):
    """Guards against a burst of requests that may have run already.

    After a recovery only requests that certainly did not run skip the budget.
    """

    async def main():
        harness = fakes.Harness(tmp_path, [fakes.ANSWER_LOST] * 200)
        call = fakes.call(repeatable=True, deadline_ms=10_000)
        await send_during_outage(harness, 200, 900, call)
        assert 200 < len(harness.router.requests) <= 200 + 20 + 10

    asyncio.run(main())


def test_queued_requests_are_sent_after_recovery(tmp_path):
    """Guards against a budget that delays queued requests after recovery."""

    async def main():
        harness = fakes.Harness(tmp_path, [TARGET_UNREACHABLE] * 100_000)
        tasks, _ = await send_during_outage(harness, 200, 3_000)
        await harness.clock.advance(1_000)
        assert all(task.done() for task in tasks)

    asyncio.run(main())


@pytest.mark.parametrize('outage_ms', [2_000, 2_060, 2_120])
def test_queued_request_is_sent_at_a_new_term(tmp_path, outage_ms):
    """Guards against a request that stays in back-off after a failover."""

    async def main():
        harness = fakes.Harness(tmp_path, [TARGET_UNREACHABLE] * 100)
        tasks, _ = await send_during_outage(harness, 1, outage_ms)
        sent = len(harness.router.requests)
        harness.routes.term = 3
        await harness.clock.advance(
            2 * holding.CHECK_INTERVAL_MS + holding.RELEASE_SPREAD_MS
        )
        assert len(harness.router.requests) == sent + 1
        assert tasks[0].done()

    asyncio.run(main())


def test_back_off_has_jitter_and_grows(tmp_path):
    """Guards against retries at the same times or without a pause."""

    async def main():
        harness = fakes.Harness(tmp_path, [TARGET_UNREACHABLE] * 6)
        await harness.handle(fakes.call(deadline_ms=60_000), step_ms=1)
        times = harness.router.sent_times_ms
        intervals_ms = [
            later_ms - earlier_ms
            for earlier_ms, later_ms in zip(times, times[1:], strict=False)
        ]
        assert len(set(intervals_ms)) == len(intervals_ms)
        assert intervals_ms[0] >= 10
        assert intervals_ms[-1] >= 125

    asyncio.run(main())


@pytest.mark.parametrize('change', ['withdraw', 'unconfirm'])
def test_key_is_checked_again_before_a_retry(tmp_path, change):
    """Guards against a retry with a key that was withdrawn meanwhile."""

    async def main():
        harness = fakes.Harness(tmp_path, [TARGET_UNREACHABLE] * 3)
        task = asyncio.create_task(harness.handle(fakes.call()))
        await harness.clock.settle()
        if change == 'withdraw':
            harness.configuration.withdraw('key-a')
        else:
            harness.configuration.confirmed = False
        reply = await task
        assert len(harness.router.requests) == 1
        assert isinstance(reply.outcome, types.NotRun)
        codes = ('key_withdrawn', 'configuration_unconfirmed')
        assert reply.outcome.code in codes

    asyncio.run(main())


def test_withdrawn_key_in_an_open_transaction(tmp_path):
    """Guards against a transaction that goes on with a withdrawn key."""

    async def main():
        harness = fakes.Harness(tmp_path)
        await harness.handle(fakes.call(operation='begin'))
        harness.configuration.withdraw('key-a')
        for operation in ('statement', 'commit', 'rollback'):
            reply = await harness.handle(
                fakes.call(operation=operation, transaction_id=TRANSACTION)
            )
            assert reply.outcome.code == 'key_withdrawn'
        assert len(harness.router.requests) == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ('answer_delay_ms', 'outcomes', 'attempts'),
    [
        # Queued after a refusal: cancelled at once.
        (0, [TARGET_UNREACHABLE] * 50, 1),
        # Already sent: runs to its end and isn't sent again.
        (100, [TARGET_UNREACHABLE] * 50, 1),
    ],
)
def test_abandoned_request(tmp_path, answer_delay_ms, outcomes, attempts):
    """Guards against requests that are sent for a caller that has gone."""

    async def main():
        harness = fakes.Harness(tmp_path, outcomes)
        harness.router.answer_delay_ms = answer_delay_ms
        cancellation = entry.CancellationToken()
        task = asyncio.create_task(
            harness.entry.handle(fakes.call(), fakes.KEY_HEADER, cancellation)
        )
        await harness.clock.settle()
        cancellation.abandon()
        await harness.clock.advance(5_000)
        assert task.done()
        assert task.cancelled() is (answer_delay_ms == 0)
        assert len(harness.router.requests) == attempts

    asyncio.run(main())


def test_router_error_gives_unknown(tmp_path):
    """Guards against an internal error that is reported as not run."""

    def prepare(harness, call):
        async def run(request):
            raise RuntimeError('fault')

        harness.router.run = run

    _, reply = handle_call(tmp_path, fakes.call(), prepare=prepare)
    assert isinstance(reply.outcome, types.Unknown)


def test_store_of_refusals_is_bounded():
    """Guards against a store that grows, and accounts that are mixed up."""
    store = refusals.RecentRefusals(max_refusals=2)
    for account, request_id in [('a', '1'), ('b', '1'), ('a', '2')]:
        store.add(
            types.Refusal(request_id, account, 'code', 'reason', 'run', 0)
        )
    assert len(store) == 2
    assert [each.account for each in store.find('1')] == ['b']
