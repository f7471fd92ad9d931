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
NOT_SENT = exceptions.HostError('refused', step='run', peer='h2')
ANSWER_LOST = exceptions.HostAnswerLost('silence', step='run', peer='h2')


class Clients:
    """Returns an outcome, or raises an error, for each peer.

    For ``take_tokens``, the answer is the number of tokens that the peer has.
    """

    def __init__(self, answers_by_id):
        self.answers_by_id = answers_by_id
        self.asked = []

    async def run(self, host, request, timeout_ms):
        assert 0 < request.deadline_ms < timeout_ms
        self.asked.append(host.host_id)
        return self._answer_of(host)

    async def target_status(self, host, target_id, write, wait_ms, timeout):
        return self._answer_of(host)

    async def take_tokens(self, host, account, wanted, collect, timeout_ms):
        self.asked.append((host.host_id, wanted, collect))
        available = self._answer_of(host)
        given = min(wanted, available)
        self.answers_by_id[host.host_id] = available - given
        return types.TokenGrant(given, 300)

    def _answer_of(self, host):
        answer = self.answers_by_id[host.host_id]
        if isinstance(answer, Exception):
            raise answer
        return answer


def membership(peer_ids):
    result = memberships.Membership(fakes.host('h1'), clocks.ManualClock())
    for each in peer_ids:
        condition = memberships.Condition.ALIVE
        result.learn(memberships.HostRecord(fakes.host(each), 1, 1, condition))
    return result


def router(clients, peer_ids, gateway_id, gateway=None):
    local_membership = membership(peer_ids)
    if gateway_id != 'h1':
        # No host but ``gateway_id`` may have gateways then.
        local_membership.set_retired(
            frozenset({'h1', *peer_ids}) - {gateway_id}
        )
    configuration = fakes.Configuration()
    configuration.current = types.Configuration(
        targets_by_id={'t1': types.Target('t1', 's', 'a', 'ws://x', 2, 16)}
    )
    made_router = routing.HostRouter(
        configuration, local_membership, clients, clocks.ManualClock()
    )
    made_router.serve_locally(gateway or fakes.Gateway())
    return made_router


@pytest.mark.parametrize(
    ('answers', 'outcome', 'asked'),
    [
        ({'h2': DONE}, DONE, ['h2']),
        ({'h2': NOT_SENT}, 'target_unreachable', ['h2']),
        ({'h2': ANSWER_LOST}, 'gateway_answer_lost', ['h2']),
        ({'h2': NOT_GATEWAY, 'h3': DONE}, DONE, ['h2', 'h3']),
        ({'h2': NOT_GATEWAY, 'h3': NOT_SENT}, 'target_unreachable', None),
        ({'h2': NOT_GATEWAY, 'h3': ANSWER_LOST}, 'gateway_answer_lost', None),
        # The request is sent once to the host that a hint names, if that is a
        # known host.
        ({'h2': NOT_GATEWAY, 'h3': NOT_GATEWAY}, NOT_GATEWAY, ['h2', 'h3']),
        ({'h2': types.NotRun('not_gateway', '', hint='h9')}, None, ['h2']),
        ({'h2': types.NotRun('not_gateway', '', hint='h2')}, None, ['h2']),
        ({'h2': types.NotRun('not_primary', '', hint='h3')}, None, ['h2']),
    ],
)
def test_outcome_of_a_request_on_another_host(answers, outcome, asked):
    """Guards against "not run" for a request that may have run.

    Also guards against requests that hosts refer to each other without end.
    """
    clients = Clients(answers)
    made_router = router(clients, ['h2', 'h3'], 'h2')
    result = asyncio.run(made_router.run(fakes.request()))
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
        # An earlier attempt of the commit may have been sent.
        ('s.t1.gone.r', 'commit', types.Unknown),
        ('nonsense', 'statement', types.NotRun),
    ],
)
def test_transaction_runs_on_the_host_in_its_id(
    transaction, operation, expected
):
    """Guards against a statement that runs outside its transaction."""
    made_router = router(Clients({'h3': DONE}), ['h2', 'h3'], 'h2')
    request = fakes.request(operation=operation, transaction_id=transaction)
    result = asyncio.run(made_router.run(request))
    if isinstance(expected, type):
        assert isinstance(result, expected)
    else:
        assert result == expected


@pytest.mark.parametrize('gateway_id', ['h1', 'h2'])
def test_text_that_cannot_be_encoded(gateway_id):
    """Guards against an exception for JSON with a lone surrogate."""
    made_router = router(Clients({'h2': DONE}), ['h2'], gateway_id)
    result = asyncio.run(
        made_router.run(fakes.request(statement='SET a \ud800'))
    )
    assert result.code == 'bad_request'


@pytest.mark.parametrize('error', [NOT_SENT, ANSWER_LOST])
def test_target_status_of_an_unreachable_host(error):
    """Guards against an error that ends the task of the prober."""
    made_router = router(Clients({'h2': error}), ['h2'], 'h2')
    status = asyncio.run(made_router.target_status('t1', None, 0, 100))
    assert isinstance(status, exceptions.Sentinel)


def test_failed_local_gateway_gives_an_unknown_outcome():
    """Guards against "not run" for a request that failed while it ran."""

    class Failing(fakes.Gateway):
        async def run(self, request):
            raise exceptions.AnswerLost('lost', step='execute')

    made_router = router(Clients({}), [], 'h1', Failing())
    result = asyncio.run(made_router.run(fakes.request()))
    assert isinstance(result, types.Unknown)


def test_peers_that_give_all_tokens_are_asked_again():
    """Guards against tokens that stay on hosts that don't need them."""
    clients = Clients({'h2': 10, 'h3': 1, 'h4': ANSWER_LOST})
    exchange = token_exchange.TokenExchange(
        membership(['h2', 'h3', 'h4']), clients, clocks.ManualClock()
    )
    grant = asyncio.run(exchange.collect('acme', 9))
    assert grant == types.TokenGrant(9, 300)
    assert all(not collect for _, _, collect in clients.asked)


def test_tokens_are_taken_from_the_rate_owner():
    """Guards against requests to another host than the rate owner.

    The owner must not send a request to itself.
    """
    peers = ['h2', 'h3', 'h4']
    clients = Clients(dict.fromkeys(peers, 5))
    local_membership = membership(peers)
    exchange = token_exchange.TokenExchange(
        local_membership, clients, clocks.ManualClock()
    )
    for number in range(20):
        account = f'account{number}'
        clients.asked.clear()
        owner = local_membership.rate_owner(account).host_id
        grant = asyncio.run(exchange.take(account, 0))
        assert grant.tokens == 0
        expected = [] if owner == 'h1' else [(owner, 0, True)]
        assert clients.asked == expected
