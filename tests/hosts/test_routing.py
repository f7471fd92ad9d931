"""Tests of the router and of the token exchange with in-memory peers."""

import asyncio

import pytest

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand.hosts import membership as memberships
from samphirestand.hosts import routing
from samphirestand.hosts import token_exchange
from samphirestand import types
from tests.hosts import fakes

DONE = types.Done(rows=('x',))
NOT_GATEWAY = types.NotRun('not_gateway', 'elsewhere', hint='h3')
UNSENT = exceptions.HostError('refused', step='run', peer='h2')
LOST = exceptions.HostAnswerLost('silence', step='run', peer='h2')


class Clients:
    """Answers for each peer with an outcome or an error."""

    def __init__(self, answers_by_id):
        self.answers_by_id = answers_by_id
        self.asked = []

    async def run(self, host, request, timeout_ms):
        assert 0 < request.deadline_ms < timeout_ms
        self.asked.append(host.host_id)
        return self._answer(host)

    async def target_status(self, host, target_id, write, wait_ms, timeout):
        return self._answer(host)

    async def take_tokens(self, host, account, wanted, collect, timeout_ms):
        self.asked.append((host.host_id, wanted, collect))
        available = self._answer(host)
        given = min(wanted, available)
        self.answers_by_id[host.host_id] = available - given
        return types.TokenGrant(given, 300)

    def _answer(self, host):
        answer = self.answers_by_id[host.host_id]
        if isinstance(answer, Exception):
            raise answer
        return answer


def membership(others):
    made = memberships.Membership(fakes.host('h1'), clocks.ManualClock())
    for each in others:
        condition = memberships.Condition.ALIVE
        made.learn(memberships.News(fakes.host(each), 1, 1, condition))
    return made


def router(clients, others, gateway_id, gateway=None):
    members = membership(others)
    if gateway_id != 'h1':
        # The only host that may have gateways.
        members.set_retired(frozenset({'h1', *others}) - {gateway_id})
    configuration = fakes.Configuration()
    configuration.current = types.Configuration(
        targets_by_id={'t1': types.Target('t1', 's', 'a', 'ws://x', 2, 16)}
    )
    made = routing.HostRouter(
        configuration, members, clients, clocks.ManualClock()
    )
    made.serve_locally(gateway or fakes.Gateway())
    return made


@pytest.mark.parametrize(
    ('answers', 'outcome', 'asked'),
    [
        ({'h2': DONE}, DONE, ['h2']),
        ({'h2': UNSENT}, 'target_unreachable', ['h2']),
        ({'h2': LOST}, 'gateway_answer_lost', ['h2']),
        ({'h2': NOT_GATEWAY, 'h3': DONE}, DONE, ['h2', 'h3']),
        ({'h2': NOT_GATEWAY, 'h3': UNSENT}, 'target_unreachable', None),
        ({'h2': NOT_GATEWAY, 'h3': LOST}, 'gateway_answer_lost', None),
        # The hint is followed once, and only to a known host.
        ({'h2': NOT_GATEWAY, 'h3': NOT_GATEWAY}, NOT_GATEWAY, ['h2', 'h3']),
        ({'h2': types.NotRun('not_gateway', '', hint='h9')}, None, ['h2']),
        ({'h2': types.NotRun('not_gateway', '', hint='h2')}, None, ['h2']),
        ({'h2': types.NotRun('not_primary', '', hint='h3')}, None, ['h2']),
    ],
)
def test_outcome_of_a_remote_run(answers, outcome, asked):
    """Guards against a "not run" that may have run, and against loops."""
    clients = Clients(answers)
    made = router(clients, ['h2', 'h3'], 'h2')
    result = asyncio.run(made.run(fakes.request()))
    match outcome:
        case None:
            assert result == answers['h2']
        case 'target_unreachable':
            assert isinstance(result, types.NotRun)
            assert result.code == outcome
        case str():
            assert isinstance(result, types.Unknown)
            assert result.code == outcome
        case _:
            assert result == outcome
    assert asked is None or clients.asked == asked


@pytest.mark.parametrize(
    ('transaction', 'operation', 'expected'),
    [
        ('s.t1.h3.r', 'statement', DONE),
        ('s.t1.h1.r', 'commit', types.Done(rows=({'a': 1},))),
        ('s.t1.gone.r', 'statement', types.NotRun),
        # An earlier try of the commit may have been sent.
        ('s.t1.gone.r', 'commit', types.Unknown),
        ('nonsense', 'statement', types.NotRun),
    ],
)
def test_transactions_stay_on_their_host(transaction, operation, expected):
    """Guards against a statement that runs outside its transaction."""
    made = router(Clients({'h3': DONE}), ['h2', 'h3'], 'h2')
    request = fakes.request(operation=operation, transaction_id=transaction)
    result = asyncio.run(made.run(request))
    if isinstance(expected, type):
        assert isinstance(result, expected)
    else:
        assert result == expected


@pytest.mark.parametrize('gateway_id', ['h1', 'h2'])
def test_text_that_cannot_be_sent(gateway_id):
    """Guards against an exception for JSON with a lone surrogate."""
    made = router(Clients({'h2': DONE}), ['h2'], gateway_id)
    result = asyncio.run(made.run(fakes.request(statement='SET a \ud800')))
    assert result.code == 'bad_request'


@pytest.mark.parametrize('error', [UNSENT, LOST])
def test_target_status_of_an_unreachable_host(error):
    """Guards against a probe that raises and ends its task."""
    made = router(Clients({'h2': error}), ['h2'], 'h2')
    status = asyncio.run(made.target_status('t1', None, 0, 100))
    assert isinstance(status, exceptions.Sentinel)


def test_failing_gateway_of_this_host_is_no_proof():
    """Guards against "not run" after an error in the middle of a run."""

    class Failing(fakes.Gateway):
        async def run(self, request):
            raise exceptions.AnswerLost('lost', step='execute')

    made = router(Clients({}), [], 'h1', Failing())
    result = asyncio.run(made.run(fakes.request()))
    assert isinstance(result, types.Unknown)


def test_collecting_asks_again_those_that_give_all():
    """Guards against tokens that stay where nobody needs them."""
    clients = Clients({'h2': 10, 'h3': 1, 'h4': LOST})
    exchange = token_exchange.TokenExchange(
        membership(['h2', 'h3', 'h4']), clients, clocks.ManualClock()
    )
    grant = asyncio.run(exchange.collect('acme', 9))
    assert grant == types.TokenGrant(9, 300)
    assert all(not collect for _, _, collect in clients.asked)


def test_taking_from_the_owner():
    """Guards against hosts that ask different owners or themselves."""
    peers = ['h2', 'h3', 'h4']
    clients = Clients(dict.fromkeys(peers, 5))
    members = membership(peers)
    exchange = token_exchange.TokenExchange(
        members, clients, clocks.ManualClock()
    )
    for number in range(20):
        account = f'account{number}'
        clients.asked.clear()
        owner = members.rate_owner(account).host_id
        grant = asyncio.run(exchange.take(account, 0))
        assert grant.tokens == 0
        expected = [] if owner == 'h1' else [(owner, 0, True)]
        assert clients.asked == expected
