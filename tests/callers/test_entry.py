"""Tests of the request path of an entry host."""

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


def play(folder, call, outcomes=(), header=fakes.HEADER, prepare=None):
    """Handle one call; returns the world and the reply."""
    world = fakes.World(folder, outcomes)
    if prepare is not None:
        call = prepare(world, call) or call
    return world, asyncio.run(world.handle(call, header))


def test_done_answer_carries_a_new_token(tmp_path):
    """Guards against a session that doesn't see its own write."""
    world, reply = play(tmp_path, fakes.call())
    assert isinstance(reply.outcome, types.Done)
    session = world.signer.read(reply.session)
    assert session == tokens.Session('a', {'s': types.Position(2, 10)})


def with_session(**session):
    """Return a preparation that gives the call a token."""

    def prepare(world, call):
        return dataclasses.replace(call, session=world.token(**session))

    return prepare


def tampered(world, call):
    token = world.token(s=(2, 7))
    return dataclasses.replace(call, session=token[:-1] + 'g')


def unconfirmed(world, call):
    world.configuration.confirmed = False


def over_rate(world, call):
    world.limiter.refusal = types.NotRun('rate_exceeded', 'over', 50)


@pytest.mark.parametrize(
    ('header', 'fields', 'prepare', 'code'),
    [
        (None, {}, None, 'key_missing'),
        ('Bearer x.y', {}, None, 'key_unknown'),
        (f'Bearer key-old.{fakes.SECRET}', {}, None, 'key_withdrawn'),
        (fakes.OPERATOR_HEADER, {}, None, 'key_role_mismatch'),
        (None, {'service': 'nothing'}, None, 'key_missing'),
        (fakes.HEADER, {'service': 'nothing'}, None, 'service_unknown'),
        (fakes.HEADER, {}, unconfirmed, 'configuration_unconfirmed'),
        (fakes.HEADER, {'service': 'free'}, unconfirmed,
         'configuration_unconfirmed'),
        (fakes.HEADER, {}, over_rate, 'rate_exceeded'),
        (fakes.HEADER, {}, tampered, 'bad_session'),
        (fakes.HEADER, {}, with_session(account='b', s=(2, 7)),
         'session_account_mismatch'),
        (fakes.HEADER, {'operation': 'commit', 'transaction_id': 'x'}, None,
         'transaction_unknown'),
        (fakes.HEADER, {'operation': 'commit', 'service': 'free',
                        'transaction_id': TRANSACTION}, None,
         'transaction_unknown'),
    ],
)  # fmt: skip
def test_refused_before_anything_is_sent(
    tmp_path, header, fields, prepare, code
):
    """Guards against work for callers that must be refused."""
    world, reply = play(
        tmp_path, fakes.call(**fields), header=header, prepare=prepare
    )
    assert isinstance(reply.outcome, types.NotRun)
    assert reply.outcome.code == code
    assert world.router.requests == []
    assert world.entry.refusals.find('r1')[0].code == code


@pytest.mark.parametrize(
    ('header', 'service', 'account'),
    [
        (f'Bearer key-b.{fakes.SECRET}', 's', 'b'),
        (None, 'free', 'public'),
    ],
)
def test_served_while_isolated(tmp_path, header, service, account):
    """Guards against an isolated zone that refuses what it may serve."""
    call = fakes.call(service=service)
    world, reply = play(tmp_path, call, header=header, prepare=unconfirmed)
    assert isinstance(reply.outcome, types.Done)
    assert world.router.requests[0].account == account


def test_key_stays_on_the_entry_host(tmp_path):
    """Guards against a caller's key in what other hosts and targets get."""
    world, _ = play(
        tmp_path, fakes.read(max_age_ms=500), [fakes.not_run('behind')] * 2
    )
    assert len(world.router.requests) == 3
    for request in world.router.requests:
        assert fakes.SECRET not in repr(request)
        assert fakes.SHA256 not in repr(request)
        assert (request.account, request.key_id) == ('a', 'key-a')


BEHIND = fakes.not_run('replica_behind')
UNREACHABLE = fakes.not_run('target_unreachable')


@pytest.mark.parametrize(
    ('fields', 'outcomes', 'targets'),
    [
        # Writes and reads without an age go to the primary.
        ({'mode': types.Mode.WRITE}, [], ['t1']),
        ({}, [], ['t1']),
        # Replicas are asked first, the primary when they refuse.
        ({'max_age_ms': 500}, [], ['t2']),
        ({'max_age_ms': 500}, [BEHIND], ['t2', 't3']),
        ({'max_age_ms': 500}, [BEHIND, UNREACHABLE], ['t2', 't3', 't1']),
        # What the primary would say as well is final.
        ({'max_age_ms': 500}, [fakes.not_run('bad_statement')], ['t2']),
        # A replica that is cut off may not know the newest history.
        (
            {'max_age_ms': 500},
            [fakes.not_run('session_position_discarded')],
            ['t2', 't3'],
        ),
        # The route's limit counts, too.
        ({'max_age_ms': 500, 'service': 'free'}, [], ['t1']),
    ],
)
def test_choice_of_target(tmp_path, fields, outcomes, targets):
    """Guards against reads that miss replicas or get too old an answer."""

    def prepare(world, call):
        world.entry._chooser._zone = 'franken'

    world, _ = play(tmp_path, fakes.read(**fields), outcomes, prepare=prepare)
    asked = [request.target_id for request in world.router.requests]
    assert asked == targets


@pytest.mark.parametrize(
    ('zone', 'first'), [('franken', 't2'), ('schwaben', 't3')]
)
def test_replica_of_the_own_zone_comes_first(tmp_path, zone, first):
    """Guards against reads that cross zones without need."""

    async def main():
        for _ in range(10):
            world = fakes.World(tmp_path)
            world.entry._chooser._zone = zone
            await world.handle(fakes.read(max_age_ms=500))
            assert world.router.requests[0].target_id == first

    asyncio.run(main())


def test_read_age_is_limited_by_the_route(tmp_path):
    """Guards against a read older than the route accepts."""
    world, _ = play(tmp_path, fakes.read(max_age_ms=60_000))
    assert world.router.requests[0].max_age_ms == 2_000


def test_session_position_goes_with_the_request(tmp_path):
    """Guards against reads that don't see the session's own writes."""
    world, _ = play(
        tmp_path,
        fakes.read(max_age_ms=500),
        prepare=with_session(s=(2, 7), other=(1, 1)),
    )
    assert world.router.requests[0].session == types.Position(2, 7)


def test_dropped_service_is_read_from_the_primary(tmp_path):
    """Guards against stale reads after a token ran out of room."""

    def prepare(world, call):
        token = world.signer.sign(tokens.Session('a', {}, truncated=True))
        return dataclasses.replace(call, session=token)

    world, _ = play(tmp_path, fakes.read(max_age_ms=500), prepare=prepare)
    assert world.router.requests[0].target_id == 't1'


def test_refusing_replica_is_left_out_for_a_while(tmp_path):
    """Guards against a detour of each read over a replica that is behind."""

    async def main():
        world = fakes.World(tmp_path, [BEHIND, BEHIND])
        call = fakes.read(max_age_ms=500)
        for _ in range(2):
            await world.handle(call)
        asked = [request.target_id for request in world.router.requests]
        assert asked[2:] == ['t1', 't1']
        # A read that asks for less may still be served there.
        await world.handle(fakes.read(max_age_ms=900))
        assert world.router.requests[-1].target_id != 't1'
        await world.clock.advance(5_000)
        await world.handle(call)
        assert world.router.requests[-1].target_id != 't1'

    asyncio.run(main())


def test_hint_prefers_the_replica_that_is_ahead(tmp_path):
    """Guards against a wait at one replica while another one is ready."""

    async def main():
        at = [types.Position(2, 7), types.Position(2, 3)]
        done = [types.Done((), each, '', 'replica') for each in at]
        world = fakes.World(tmp_path, done)
        world.entry._chooser.learn_done('t2', done[1])
        world.entry._chooser.learn_done('t3', done[0])
        world.entry._chooser._zone = 'franken'
        session = world.token(s=(2, 5))
        await world.handle(fakes.read(max_age_ms=500, session=session))
        assert world.router.requests[0].target_id == 't3'

    asyncio.run(main())


def test_discarded_position_gives_a_fresh_token(tmp_path):
    """Guards against a session that can't go on after a failover."""
    refused = fakes.not_run('session_position_discarded')
    world, reply = play(
        tmp_path,
        fakes.read(),
        [refused],
        prepare=with_session(s=(1, 99), other=(3, 4)),
    )
    assert reply.outcome == refused
    session = world.signer.read(reply.session)
    assert session.positions_by_service == {'other': types.Position(3, 4)}


@pytest.mark.parametrize(
    ('operation', 'is_seen'),
    [('execute', True), ('commit', True), ('statement', False)],
)
def test_only_committed_positions_are_seen(tmp_path, operation, is_seen):
    """Guards against tokens with positions that were rolled back."""
    id_ = '' if operation == 'execute' else TRANSACTION
    call = fakes.call(operation=operation, transaction_id=id_)
    world, reply = play(tmp_path, call)
    session = world.signer.read(reply.session)
    assert ('s' in session.positions_by_service) is is_seen


HELD = [
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
        # Nothing ran: sent again, whatever the caller said.
        *[({}, fakes.not_run(code), 2, types.Done) for code in HELD],
        ({'repeatable': True}, UNREACHABLE, 2, types.Done),
        # Other refusals are final.
        ({}, fakes.not_run('bad_statement'), 1, types.NotRun),
        ({}, fakes.not_run('conflict'), 1, types.NotRun),
        ({}, fakes.not_run('deadline_unattainable'), 1, types.NotRun),
        ({'repeatable': True}, fakes.not_run('bad_statement'), 1,
         types.NotRun),
        # It may have run: only a repeatable request is sent again.
        ({}, fakes.LOST, 1, types.Unknown),
        ({'repeatable': True}, fakes.LOST, 2, types.Done),
        ({'mode': types.Mode.READ}, fakes.LOST, 1, types.Unknown),
        # A transaction is bound to its gateway.
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         UNREACHABLE, 2, types.Done),
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         fakes.not_run('not_gateway'), 1, types.NotRun),
        ({'transaction_id': TRANSACTION, 'operation': 'commit'},
         fakes.LOST, 1, types.Unknown),
        ({'transaction_id': TRANSACTION, 'operation': 'statement'},
         fakes.not_run('transaction_lost'), 1, types.NotRun),
        ({'operation': 'begin'}, fakes.LOST, 1, types.Unknown),
        ({'operation': 'begin'}, UNREACHABLE, 2, types.Done),
    ],
)  # fmt: skip
def test_what_is_sent_again(tmp_path, fields, first, attempts, last):
    """Guards against a second run, and against refusals that could wait."""
    world, reply = play(tmp_path, fakes.call(**fields), [first])
    assert len(world.router.requests) == attempts
    assert isinstance(reply.outcome, last)


def test_not_run_is_not_said_after_a_lost_answer(tmp_path):
    """Guards against a "not run" although the first attempt may have run."""
    world, reply = play(
        tmp_path,
        fakes.call(repeatable=True),
        [fakes.LOST, fakes.not_run('conflict')],
    )
    assert len(world.router.requests) == 2
    assert isinstance(reply.outcome, types.Unknown)


def test_lost_answer_leaves_time_for_another_attempt(tmp_path):
    """Guards against a silent connection that uses up all of the time."""

    def prepare(world, call):
        world.router.takes_ms = 2_500

    call = fakes.read(deadline_ms=5_100)
    world, reply = play(tmp_path, call, [fakes.LOST], prepare=prepare)
    assert world.router.requests[0].deadline_ms == 2_550
    assert isinstance(reply.outcome, types.Done)


def test_request_is_held_until_the_deadline(tmp_path):
    """Guards against refusals while a service has no primary."""

    def prepare(world, call):
        world.routes.target_id = ''

    world, reply = play(
        tmp_path, fakes.call(deadline_ms=2_000), prepare=prepare
    )
    assert reply.outcome.code == 'primary_unconfirmed'
    assert world.clock.now() - 1_000_000 >= 1_900
    assert world.router.requests == []


async def hold_many(world, count, outage_ms, call=None):
    """Send requests during an outage; returns replies and the end's time."""
    call = call or fakes.call(deadline_ms=10_000)
    tasks = [
        asyncio.create_task(
            world.entry.handle(call, fakes.HEADER, entry.Ticket())
        )
        for _ in range(count)
    ]
    await world.clock.advance(outage_ms)
    ended_ms = world.clock.now()
    world.router.outcomes.clear()
    return tasks, ended_ms


def test_retries_draw_on_the_budget(tmp_path):
    """Guards against a retry storm on a service that is down."""

    async def main():
        world = fakes.World(tmp_path, [UNREACHABLE] * 100_000)
        tasks, _ = await hold_many(world, 200, 3_000)
        # 200 first attempts, a tenth of them once, and ten a second.
        assert 200 < len(world.router.requests) <= 200 + 20 + 10 * 4
        await world.clock.advance(1_000)
        replies = fleet.results(tasks)
        assert all(isinstance(each.outcome, types.Done) for each in replies)

    asyncio.run(main())


def test_held_requests_go_on_after_recovery(tmp_path):
    """Guards against held requests that the budget keeps waiting."""

    async def main():
        world = fakes.World(tmp_path, [UNREACHABLE] * 100_000)
        tasks, _ = await hold_many(world, 200, 3_000)
        await world.clock.advance(1_000)
        assert all(task.done() for task in tasks)

    asyncio.run(main())


@pytest.mark.parametrize('outage_ms', [2_000, 2_060, 2_120])
def test_held_request_goes_on_at_a_new_term(tmp_path, outage_ms):
    """Guards against a back-off that goes on after a failover is over."""

    async def main():
        world = fakes.World(tmp_path, [UNREACHABLE] * 100)
        tasks, _ = await hold_many(world, 1, outage_ms)
        sent = len(world.router.requests)
        world.routes.term = 3
        await world.clock.advance(holding.ROUTE_CHECK_MS + holding.SPREAD_MS)
        assert len(world.router.requests) == sent + 1
        assert tasks[0].done()

    asyncio.run(main())


def test_back_off_has_jitter_and_grows(tmp_path):
    """Guards against attempts in step or without a pause."""

    async def main():
        world = fakes.World(tmp_path, [UNREACHABLE] * 6)
        await world.handle(fakes.call(deadline_ms=60_000), step_ms=1)
        times = world.router.sent_ms
        gaps = [
            late - early for early, late in zip(times, times[1:], strict=False)
        ]
        assert len(set(gaps)) == len(gaps)
        assert gaps[0] >= 10
        assert gaps[-1] >= 125

    asyncio.run(main())


@pytest.mark.parametrize('change', ['withdraw', 'unconfirm'])
def test_key_is_checked_again_while_held(tmp_path, change):
    """Guards against a withdrawn key whose request is sent later."""

    async def main():
        world = fakes.World(tmp_path, [UNREACHABLE] * 3)
        task = asyncio.create_task(world.handle(fakes.call()))
        await world.clock.settle()
        if change == 'withdraw':
            world.configuration.withdraw('key-a')
        else:
            world.configuration.confirmed = False
        reply = await task
        assert len(world.router.requests) == 1
        assert isinstance(reply.outcome, types.NotRun)
        codes = ('key_withdrawn', 'configuration_unconfirmed')
        assert reply.outcome.code in codes

    asyncio.run(main())


def test_withdrawn_key_in_an_open_transaction(tmp_path):
    """Guards against a transaction that outlives its key."""

    async def main():
        world = fakes.World(tmp_path)
        await world.handle(fakes.call(operation='begin'))
        world.configuration.withdraw('key-a')
        for operation in ('statement', 'commit', 'rollback'):
            reply = await world.handle(
                fakes.call(operation=operation, transaction_id=TRANSACTION)
            )
            assert reply.outcome.code == 'key_withdrawn'
        assert len(world.router.requests) == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ('takes_ms', 'outcomes', 'attempts'),
    [
        # Held after a refusal: given up at once.
        (0, [UNREACHABLE] * 50, 1),
        # Under way: runs to its end, then isn't sent again.
        (100, [UNREACHABLE] * 50, 1),
    ],
)
def test_abandoned_request(tmp_path, takes_ms, outcomes, attempts):
    """Guards against work for a caller that has gone."""

    async def main():
        world = fakes.World(tmp_path, outcomes)
        world.router.takes_ms = takes_ms
        ticket = entry.Ticket()
        task = asyncio.create_task(
            world.entry.handle(fakes.call(), fakes.HEADER, ticket)
        )
        await world.clock.settle()
        ticket.abandon()
        await world.clock.advance(5_000)
        assert task.done()
        assert task.cancelled() is (takes_ms == 0)
        assert len(world.router.requests) == attempts

    asyncio.run(main())


def test_failing_router_gives_unknown(tmp_path):
    """Guards against a fault that is reported as not run."""

    def prepare(world, call):
        async def run(request):
            raise RuntimeError('fault')

        world.router.run = run

    _, reply = play(tmp_path, fakes.call(), prepare=prepare)
    assert isinstance(reply.outcome, types.Unknown)


def test_store_of_refusals_is_bounded():
    """Guards against a store that grows, and against mixed-up accounts."""
    store = refusals.Refusals(most=2)
    for account, id_ in [('a', '1'), ('b', '1'), ('a', '2')]:
        store.add(types.Refusal(id_, account, 'code', 'reason', 'run', 0))
    assert len(store) == 2
    assert [each.account for each in store.find('1')] == ['b']
