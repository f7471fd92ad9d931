"""Tests of the explanations."""

import ast
import asyncio
import pathlib
import random

import pytest

from samphirestand.callers import entry
from samphirestand import exceptions
from samphirestand import metrics
from samphirestand.operators import codes
from samphirestand.operators import explain
from samphirestand import types
from tests.operators import fakes

ROOT = pathlib.Path(__file__).parents[2]


def ask(found, command):
    async def main():
        if not found.store.current.version:
            await fakes.set_up(found)
        answer = await found.commands.execute(command, 'ada')
        return '\n'.join(row['explanation'] for row in answer['rows'])

    return asyncio.run(main())


def refuse(found, request_id='r1'):
    found.refusals.add(
        types.Refusal(
            request_id, 'a', 'rate_exceeded', 'no tokens', 'admission', 0
        )
    )


def test_request_refused_here_is_explained():
    """Guards against a refusal that an operator can't act on."""
    found = fakes.make()
    refuse(found)
    text = ask(found, 'EXPLAIN REQUEST r1')
    assert '1970-01-01T00:00:00.000Z: host h1 did not complete' in text
    assert 'step admission: rate_exceeded: no tokens' in text
    assert codes.CODES['rate_exceeded'].advice in text
    assert not found.peers.asked


def test_other_hosts_are_asked_about_a_request():
    """Guards against a refusal that only its own host can explain."""
    found, other = fakes.make(), fakes.make()
    refuse(other)
    found.peers.answers_by_host['h3'] = other.explainer.explain(
        'request', 'r1'
    )
    found.peers.answers_by_host['h2'] = exceptions.HostAnswerLost(
        'no answer', step='explain', peer='h2'
    )
    assert 'rate_exceeded' in ask(found, 'EXPLAIN REQUEST r1')
    assert found.peers.asked == [
        ('h2', 'request', 'r1'),
        ('h3', 'request', 'r1'),
    ]


def test_unknown_request_says_who_did_not_answer():
    """Guards against `unknown` where a host was only not reached."""
    found = fakes.make()
    found.peers.answers_by_host['h2'] = exceptions.HostError(
        'refused', step='explain', peer='h2'
    )
    text = ask(found, 'EXPLAIN REQUEST r1')
    assert 'the 1 other hosts that answered' in text
    assert 'no answer from: h2' in text


def test_questions_to_many_hosts_end_in_time(monkeypatch):
    """Guards against a command that runs for minutes in a large fleet."""
    monkeypatch.setattr(explain, 'HOSTS_AT_ONCE', 1)
    found = fakes.make()
    original = found.peers.explain

    async def slow(*arguments):
        await found.clock.sleep(explain.ASK_LIMIT_MS)
        return await original(*arguments)

    found.peers.explain = slow
    text = ask(found, 'EXPLAIN REQUEST r1')
    assert '1 hosts were not asked in time' in text


def test_primary_is_explained():
    """Guards against a failover whose reason nobody can find."""
    found = fakes.make()
    found.audit.record('failover', 's', 't1 is primary of term 4: t2 died')
    found.audit.record('failover', 'other', 'not asked for')
    text = ask(found, 'EXPLAIN PRIMARY s')
    assert 'target t1 is the primary of term 4' in text
    assert 'target t3 in availability zone z9, no gateway host' in text
    assert 't2 died' in text
    assert 'not asked for' not in text
    found.platform.down = True
    text = ask(found, 'EXPLAIN PRIMARY s')
    assert 'earlier failovers may be missing' in text
    assert 'no service x' in ask(found, 'EXPLAIN PRIMARY x')


# What is set on the parts, the host asked about, text in the answer.
HOSTS = [
    ({}, 'h1', 'nothing is known that keeps it from being ready'),
    ({'confirmed': False}, 'h1', 'cut off'),
    ({'slots': 0}, 'h1', 'holds no rate slot'),
    ({'retired': 'h1'}, 'h1', 'not ready: retired'),
    ({'draining': True}, 'h1', 'a planned stop is under way'),
    ({'answer': 'its own text'}, 'h2', 'its own text'),
    ({}, 'h2', 'did not answer this host within'),
    ({'retired': 'h2'}, 'h2', 'not ready: retired'),
    ({}, 'h9', 'was not heard of in the last 10 s'),
    ({'retired': 'h9'}, 'h9', 'the host is retired'),
]


@pytest.mark.parametrize('state, host_id, expected', HOSTS)
def test_host_is_explained(state, host_id, expected):
    """Guards against a host that is left out without a stated reason."""
    found = fakes.make()
    found.confirmed = state.get('confirmed', True)
    found.slots = state.get('slots', 1)
    if 'answer' in state:
        found.peers.answers_by_host['h2'] = state['answer']
    if 'draining' in state:
        found.membership.local = fakes.host(
            1, status=types.HostStatus.DRAINING
        )
    if 'retired' in state:

        async def retire():
            await found.commands.execute(
                f'RETIRE HOST {state["retired"]}', 'ada'
            )

        asyncio.run(retire())
    assert expected in ask(found, f'EXPLAIN HOST {host_id}')


def test_entry_keeps_the_given_refusals():
    """Guards against an empty store that the entry replaces."""
    found = fakes.make()
    made = entry.Entry(
        clock=found.clock,
        rng=random.Random(1),
        configuration=found.store,
        routes=found.routes,
        router=None,
        membership=found.membership,
        limiter=None,
        signer=None,
        metrics=metrics.Metrics(),
        refusals=found.refusals,
    )
    assert made.refusals is found.refusals


def codes_in_source():
    """Return the codes that the product's refusals are made with."""
    found = set()
    for path in (ROOT / 'samphirestand').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            first = node.args[0]
            if name in ('NotRun', 'Unknown') and isinstance(
                first, ast.Constant
            ):
                found.add(first.value)
    return found


def test_every_code_has_a_meaning():
    """Guards against a new code that operators can't look up."""
    used = codes_in_source()
    assert len(used) > 10
    assert used <= codes.CODES.keys()
