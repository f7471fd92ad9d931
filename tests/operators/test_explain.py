"""Tests of `EXPLAIN`."""

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


def explain_text(components, command):
    async def main():
        if not components.store.current.version:
            await fakes.run_setup(components)
        answer = await components.commands.execute(command, 'ada')
        return '\n'.join(row['explanation'] for row in answer['rows'])

    return asyncio.run(main())


def add_refusal(components, request_id='r1'):
    components.refusals.add(
        types.Refusal(
            request_id, 'a', 'rate_exceeded', 'no tokens', 'admission', 0
        )
    )


def test_request_refused_by_the_local_host_is_explained():
    """Guards against a refusal explained without advice."""
    components = fakes.make_host_components()
    add_refusal(components)
    text = explain_text(components, 'EXPLAIN REQUEST r1')
    assert '1970-01-01T00:00:00.000Z: host h1 did not complete' in text
    assert 'step admission: rate_exceeded: no tokens' in text
    assert codes.CODES['rate_exceeded'].advice in text
    assert not components.peers.asked


def test_other_hosts_are_asked_about_a_request():
    """Guards against a refusal that only the refusing host can explain."""
    components, other = (
        fakes.make_host_components(),
        fakes.make_host_components(),
    )
    add_refusal(other)
    components.peers.answers_by_host['h3'] = other.explainer.explain(
        'request', 'r1'
    )
    components.peers.answers_by_host['h2'] = exceptions.HostAnswerLost(
        'no answer', step='explain', peer='h2'
    )
    assert 'rate_exceeded' in explain_text(components, 'EXPLAIN REQUEST r1')
    assert components.peers.asked == [
        ('h2', 'request', 'r1'),
        ('h3', 'request', 'r1'),
    ]


def test_unknown_request_lists_hosts_without_an_answer():
    """Guards against `unknown` without the hosts that didn't answer."""
    components = fakes.make_host_components()
    components.peers.answers_by_host['h2'] = exceptions.HostError(
        'refused', step='explain', peer='h2'
    )
    text = explain_text(components, 'EXPLAIN REQUEST r1')
    assert 'the 1 other hosts that answered' in text
    assert 'no answer from: h2' in text


def test_asking_many_hosts_ends_at_the_timeout(monkeypatch):
    """Guards against a command that runs for minutes in a large fleet."""
    monkeypatch.setattr(explain, 'HOSTS_PER_GROUP', 1)
    components = fakes.make_host_components()
    original = components.peers.explain

    async def explain_slowly(*arguments):
        await components.clock.sleep(explain.ASK_TIMEOUT_MS)
        return await original(*arguments)

    components.peers.explain = explain_slowly
    text = explain_text(components, 'EXPLAIN REQUEST r1')
    assert '1 hosts were not asked in time' in text


def test_primary_is_explained():
    """Guards against a failover whose reason can't be looked up."""
    components = fakes.make_host_components()
    components.audit.record(
        'failover', 's', 't1 is primary of term 4: t2 died'
    )
    components.audit.record('failover', 'other', 'not asked for')
    text = explain_text(components, 'EXPLAIN PRIMARY s')
    assert 'target t1 is the primary of term 4' in text
    assert 'target t3 in availability zone z9, no gateway host' in text
    assert 't2 died' in text
    assert 'not asked for' not in text
    components.platform.down = True
    text = explain_text(components, 'EXPLAIN PRIMARY s')
    assert 'earlier failovers may be missing' in text
    assert 'no service x' in explain_text(components, 'EXPLAIN PRIMARY x')


# State of the components, host asked about, part of the answer.
HOST_STATES = [
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


@pytest.mark.parametrize('state, host_id, expected', HOST_STATES)
def test_host_is_explained(state, host_id, expected):
    """Guards against a host that isn't ready without a stated reason."""
    components = fakes.make_host_components()
    components.confirmed = state.get('confirmed', True)
    components.slots = state.get('slots', 1)
    if 'answer' in state:
        components.peers.answers_by_host['h2'] = state['answer']
    if 'draining' in state:
        components.membership.local = fakes.make_host(
            1, status=types.HostStatus.DRAINING
        )
    if 'retired' in state:

        async def retire_host():
            await components.commands.execute(
                f'RETIRE HOST {state["retired"]}', 'ada'
            )

        asyncio.run(retire_host())
    assert expected in explain_text(components, f'EXPLAIN HOST {host_id}')


def test_entry_keeps_the_given_refusals():
    """Guards against an empty refusal store that the entry replaces."""
    components = fakes.make_host_components()
    new_entry = entry.Entry(
        clock=components.clock,
        rng=random.Random(1),
        configuration=components.store,
        routes=components.routes,
        router=None,
        membership=components.membership,
        limiter=None,
        signer=None,
        metrics=metrics.Metrics(),
        refusals=components.refusals,
    )
    assert new_entry.refusals is components.refusals


def codes_in_source():
    """Return the codes that the source passes to NotRun and Unknown."""
    used_codes = set()
    for path in (ROOT / 'samphirestand').rglob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = getattr(node.func, 'attr', getattr(node.func, 'id', ''))
            first = node.args[0]
            if name in ('NotRun', 'Unknown') and isinstance(
                first, ast.Constant
            ):
                used_codes.add(first.value)
    return used_codes


def test_every_code_has_a_meaning():
    """Guards against a code without an entry for operators."""
    used = codes_in_source()
    assert len(used) > 10
    assert used <= codes.CODES.keys()
