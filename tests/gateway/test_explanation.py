"""Explanations of requests, against the requests themselves."""

import asyncio
import collections
import dataclasses
import itertools
import json
import random
import urllib.parse

import pytest

from samphirestand import exceptions
from samphirestand.fleet import allowance
from samphirestand.fleet import frames
from samphirestand.fleet import members
from samphirestand.gateway import explanation
from samphirestand.gateway import retries
from samphirestand import node_settings
from samphirestand.operators import host_explain
from samphirestand.sessions import entry_explanation
from tests import nodes

KINDS = tuple(entry_explanation.Kind)
TEXTS = {
    'read': ['READ x'],
    'write': ['WRITE x 1'],
    'begin': ['BEGIN', 'READ x', 'ROLLBACK'],
    'begin-read': ['BEGIN READ', 'READ x', 'ROLLBACK'],
}
COMPETING = node_settings.Bounds(
    accounts_compete=True,
    zones_can_be_evacuated=True,
    evacuation_ms=1_200,  # the margin leaves 200 ms to a primary
)


async def get(node, query):
    """Send a query to a host; returns the status and the answer."""
    endpoint = node.settings.metrics
    reader, writer = await asyncio.open_connection(
        endpoint.address, endpoint.port
    )
    writer.write(f'GET /explain?{query} HTTP/1.0\r\n\r\n'.encode())
    async with asyncio.timeout(nodes.TIMEOUT_S):
        head, _, body = (await reader.read()).partition(b'\r\n\r\n')
    writer.close()
    return int(head.split()[1]), body.decode()


async def explain(
    node, database='main', kind='read', account=nodes.ACCOUNT, key=nodes.KEY
):
    query = urllib.parse.urlencode(
        {'account': account, 'database': database, 'kind': kind}
    )
    status, body = await get(node, query)
    assert status == 200
    assert key not in body
    return json.loads(body)


async def request(fleet, node, database, kind, key=nodes.KEY):
    """Send a real request; returns its target, or '' and the refusal."""
    client = await nodes.Client.connect(node, database, key)
    if client.startup_reply.startswith('ERROR'):
        return '', client.startup_reply
    first = len(fleet.group.statements)
    refusal = ''
    for text in TEXTS[kind]:
        _, result, _ = await client.query(text)
        if result.startswith('ERROR') and not refusal:
            refusal = result
    client.close()
    targets = [
        each.server_id
        for each in fleet.group.statements[first:]
        if each.text.split(' ')[-2:] == TEXTS[kind][-1].split(' ')[-2:]
        or each.text.endswith('READ x')
    ]
    return ('', refusal) if refusal else (targets[-1], '')


async def compare(
    fleet, node, database, kind, key=nodes.KEY, period_ms=0, **fields
):
    """Fail if a request doesn't do what its explanation says.

    With a schedule, a retry has a moment in a period: that comes nearer until
    the request, or the request gets the next period.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await explain(node, database, kind, **fields)
    target, refusal = await request(fleet, node, database, kind, key)
    decision = answer['decision']
    if refusal:
        assert decision['outcome'] == 'refused', (decision, refusal)
        assert refusal.startswith(f'ERROR {decision["code"]} ')
        retry_ms = 0
        if 'retry after' in refusal:
            retry_ms = int(refusal.split(' ')[-2])
        least, most = decision['retry_min_ms'], decision['retry_max_ms']
        if period_ms:
            least -= int((loop.time() - started) * 1000) + 1
        assert least <= retry_ms <= most + period_ms, (decision, refusal)
    else:
        assert decision['outcome'] in ('sent', 'waits'), decision
        assert decision['target'] == target, answer
    return answer


def run_fleet(scenario, hosts=1, bounds=None):
    async def main():
        async with nodes.running(hosts, bounds=bounds) as fleet:
            for database in ('main', 'old', 'old'):
                for node in fleet.nodes:
                    await request(fleet, node, database, 'read')
                    await request(fleet, node, 'main', 'write')
            await scenario(fleet)

    asyncio.run(main())


def dump(value, numbers):
    """Return the state of an object and of what it refers to."""
    match value:
        case None | bool() | int() | float() | str() | bytes():
            return repr(value)
        case itertools.count():
            return repr(value)
        case random.Random():
            return repr(value.getstate())
    if id(value) in numbers:
        return f'#{numbers[id(value)]}'
    numbers[id(value)] = len(numbers)
    match value:
        case dict():
            return [
                (dump(key, numbers), dump(each, numbers))
                for key, each in value.items()
            ]
        case list() | tuple() | collections.deque():
            return [dump(each, numbers) for each in value]
        case set() | frozenset():
            return sorted(
                each if isinstance(each, str) else str(id(each))
                for each in value
            )
    if not type(value).__module__.startswith('samphirestand'):
        return type(value).__name__
    return {
        name: dump(each, numbers)
        for name, each in getattr(value, '__dict__', {}).items()
        # A cache of what follows from the links at one moment.
        if name != '_cut_off_zones_memo'
    }


def explain_at_once(node, inquiry):
    """Return an explanation; nothing else of the process runs meanwhile."""
    coroutine = node.explainer.explain(inquiry)
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError('it waits for something')


@pytest.mark.parametrize('bounds', [node_settings.Bounds(), COMPETING])
def test_explanation_changes_no_state(bounds):
    """Fails if it takes a token, counts, moves, opens or draws anything."""

    async def scenario(fleet):
        node = fleet.nodes[0]
        service = nodes.configuration()['Services'][0]
        document = nodes.configuration(
            2, Services=[{**service, 'ColdRateS': 20, 'WarmupS': 1}]
        )
        fleet.store.put('op', 'config', document)
        await fleet.until(lambda: node.catalog.current.version == 2)
        for server in fleet.group.servers.values():
            server.work_ms = 250
        callers = [
            asyncio.create_task(request(fleet, node, database, kind))
            for database in ('main', 'old')
            for kind in ('read', 'read', 'write', 'begin')
        ]
        gateway = node.gateways._gateways_by_service[nodes.SERVICE]
        await fleet.until(lambda: len(gateway.queue) > 1, interval_s=0.005)
        outcomes = set()
        for number in range(4):
            # The clock goes on: objectives, pauses and windows end.
            await asyncio.sleep(0.05)
            if number == 3 and bounds is COMPETING:
                for zone in nodes.ZONES[::-1]:
                    fleet.store.put('op', f'evacuate/{zone}', {})
                await asyncio.sleep(0.5)
            for kind, database, account in itertools.product(
                KINDS, ('main', 'old', 'none'), (nodes.ACCOUNT, 'acct-b', '')
            ):
                inquiry = entry_explanation.Inquiry(account, database, kind)
                before = dump(node, {})
                answer = explain_at_once(node, inquiry)
                assert dump(node, {}) == before
                decision = answer['decision']
                outcomes |= {decision['outcome'], decision['cause']}
        assert outcomes >= {'waits', 'refused'}
        # Only there is a retry scheduled, which a request records.
        assert ('evacuated' in outcomes) == (bounds is COMPETING)
        for each in callers:
            each.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    run_fleet(scenario, bounds=bounds)


def test_a_gateway_is_not_opened():
    """Fails if a question opens a gateway, and connections with it."""

    async def scenario(fleet):
        node = fleet.nodes[0]
        node.gateways._close_gateway(
            node.gateways._gateways_by_service[nodes.SERVICE]
        )
        inquiry = entry_explanation.Inquiry(
            nodes.ACCOUNT, 'main', entry_explanation.Kind.READ
        )
        answer = explain_at_once(node, inquiry)
        assert not node.gateways.has_gateways
        assert answer['decision']['outcome'] == 'unknown'
        assert host_explain.exit_code(answer) == 3

    run_fleet(scenario)


@pytest.mark.parametrize('is_old', [False, True])
def test_request_goes_where_the_explanation_says(is_old):
    """Fails if the entry host, here or elsewhere, or the target differs."""

    async def scenario(fleet):
        for node, kind, database in itertools.product(
            fleet.nodes, KINDS, ('old', 'mine') if is_old else ('main',)
        ):
            answer = await compare(fleet, node, database, kind)
            assert answer['gateway']['host'] == 'host-0'
            assert answer['primary']['target'] == 'i-1'
            assert answer['configuration']['version'] == 1
            assert answer['rate']['rate'] == 1000
            assert host_explain.exit_code(answer) == 0
        # Evidence is old now: a request asks a replica first.
        await asyncio.sleep(0.6)
        await compare(fleet, fleet.nodes[1], 'main', 'read')

    run_fleet(scenario, hosts=2)


def test_primary_that_is_down():
    """Fails if work for it isn't shown as refused, with code and time."""

    async def scenario(fleet):
        fleet.store.is_down = True
        fleet.group.servers['i-1'].crash()
        # The statement finds it out.
        await request(fleet, fleet.nodes[0], 'main', 'write')
        gateway = fleet.nodes[0].gateways._gateways_by_service[nodes.SERVICE]
        await fleet.until(lambda: gateway.group.primary.is_down)
        for kind in KINDS:
            answer = await compare(fleet, fleet.nodes[0], 'main', kind)
            assert answer['decision']['cause'] == 'no_primary'
            assert answer['targets'][0]['state'].startswith('down')
            assert host_explain.exit_code(answer) == 1

    run_fleet(scenario)


def test_primary_that_is_unknown():
    """Fails if a service without a known primary is shown as served."""

    async def scenario(fleet):
        fleet.store.is_down = True
        gateway = fleet.nodes[0].gateways._gateways_by_service[nodes.SERVICE]
        gateway.group.mark_not_primary(gateway.group.primary)
        answer = await compare(fleet, fleet.nodes[0], 'main', 'write')
        assert answer['primary'] is None
        assert answer['decision']['cause'] == 'no_primary'

    run_fleet(scenario)


def test_replica_that_is_down():
    """Fails if reads are shown at a replica that doesn't answer."""

    async def scenario(fleet):
        fleet.store.is_down = True  # its row stays
        gateway = fleet.nodes[0].gateways._gateways_by_service[nodes.SERVICE]
        fleet.group.servers['i-2'].crash()
        gateway.group.pools_by_id['i-2'].record_failure()
        await fleet.until(lambda: gateway.group.pools_by_id['i-2'].is_down)
        answer = await compare(fleet, fleet.nodes[0], 'old', 'read')
        [down] = [e for e in answer['targets'] if e['target'] == 'i-2']
        assert (down['usable'], down['state']) == (False, 'down')

    run_fleet(scenario)


def test_evacuated_zone():
    """Fails if reads are shown in an evacuated zone, or its age is not."""

    async def scenario(fleet):
        fleet.store.put('op', 'evacuate/south', {})
        node = fleet.nodes[0]
        await fleet.until(lambda: node.evacuations.zones)
        answer = await compare(fleet, node, 'old', 'read')
        [south] = [e for e in answer['targets'] if e['zone'] == 'south']
        assert south['reason'] == 'its zone is evacuated'
        assert answer['evacuations'][0]['zone'] == 'south'
        # The primary's zone comes last: there is no candidate then.
        for zone in ('east', 'north'):
            fleet.store.put('op', f'evacuate/{zone}', {})
        await fleet.until(
            lambda: all(len(e.evacuations.zones) == 3 for e in fleet.nodes)
        )
        await asyncio.sleep(0.5)
        for each in fleet.nodes:
            answer = await compare(
                fleet, each, 'old', 'read', period_ms=retries.PERIOD_MS
            )
            assert answer['decision']['cause'] == 'evacuated'

    run_fleet(scenario, hosts=2, bounds=COMPETING)


def test_account_above_its_rate():
    """Fails if a flood isn't shown as refused, or the question adds to it."""

    async def scenario(fleet):
        node = fleet.nodes[0]
        [first, second] = nodes.configuration()['Tenants']
        slow = {**second, 'RatePerS': 1, 'Burst': 1}
        fleet.store.put(
            'op', 'config', nodes.configuration(2, Tenants=[first, slow])
        )
        await fleet.until(lambda: node.catalog.current.version == 2)
        refusal = ''
        while not refusal:
            _, refusal = await request(fleet, node, 'main', 'read', 'key-of-b')
        answer = await compare(
            fleet, node, 'main', 'read', key='key-of-b', account='acct-b'
        )
        assert 'above its rate' in answer['decision']['reason']
        assert answer['rate']['millitokens'] < 1000

    run_fleet(scenario)


def test_account_whose_tokens_are_on_another_host():
    """Fails if its pool host isn't asked, or loses tokens by the question."""

    async def scenario(fleet):
        node, pool_node = fleet.nodes
        [first, second] = nodes.configuration()['Tenants']
        slow = [
            {**second, 'Name': f's-{number}', 'ApiKeys': [f'key-s-{number}']}
            | {'RatePerS': 1, 'Burst': 1}
            for number in range(9)
        ]
        fleet.store.put(
            'op', 'config', nodes.configuration(2, Tenants=[first, *slow])
        )
        await fleet.until(
            lambda: all(e.catalog.current.version == 2 for e in fleet.nodes)
        )
        name = next(
            each['Name']
            for each in slow
            if node.members.host_for(f'rate/{each["Name"]}') == 'host-1'
        )
        asked = {'key': f'key-{name}', 'account': name}
        refusal = ''
        while not refusal:
            _, refusal = await request(
                fleet, node, 'main', 'read', asked['key']
            )
        answer = await compare(fleet, node, 'main', 'read', **asked)
        assert 'above its rate' in answer['decision']['reason']
        pool = allowance.TokenPool(3_000)
        pool_node.rate_limiter._pools_by_account[name] = pool
        for each in fleet.nodes:
            answer = await explain(each, account=name)
            assert answer['rate']['is_admitted']
            assert answer['rate']['pool_host'] == 'host-1'
        assert pool.millitokens >= 3_000
        await compare(fleet, node, 'main', 'read', **asked)

    run_fleet(scenario, hosts=2)


def test_unknown_names():
    """Fails if the entry host's own refusals differ, or a key is shown."""

    async def scenario(fleet):
        node = fleet.nodes[0]
        await compare(fleet, node, 'none', 'read')
        await compare(fleet, node, 'main', 'read', 'no-key', account='nobody')
        answer = await explain(node, account=nodes.KEY)
        assert answer['account'] == {'known': False}
        assert answer['decision']['code'] == 'DENIED'

    run_fleet(scenario)


@pytest.mark.parametrize('fault', ['older', 'silent', 'unknown'])
def test_gateway_host_that_does_not_explain(fault, monkeypatch):
    """Fails if the answer hides it, or an older host gets an unknown frame."""

    async def scenario(fleet):
        gateway_node, node = fleet.nodes
        link = node.members.link_to('host-0')
        service = gateway_node.peer_service
        build_pong, handle_frame = service._pong, service.handle_frame

        def build_older_pong(*arguments):
            return dataclasses.replace(
                build_pong(*arguments), answers_explain=False
            )

        def ignore_questions(connection, frame):
            if not isinstance(frame, frames.ExplainRequest):
                handle_frame(connection, frame)

        if fault == 'older':
            monkeypatch.setattr(service, '_pong', build_older_pong)
            await fleet.until(lambda: not link.answers_explain)
        elif fault == 'silent':
            monkeypatch.setattr(service, 'handle_frame', ignore_questions)
        else:
            host_for = node.members.host_for
            monkeypatch.setattr(
                node.members,
                'host_for',
                lambda job, zone=None: (
                    'host-9'
                    if job.startswith('gateway/')
                    else host_for(job, zone)
                ),
            )
            answer = await compare(fleet, node, 'main', 'read')
            assert host_explain.exit_code(answer) == 1
            return
        answer = await explain(node)
        assert answer['gateway']['host'] == 'host-0'
        assert answer['gateway']['unanswered']
        assert answer['route']['kind'] == 'primary'
        assert host_explain.exit_code(answer) == 3
        sent = node.metrics.counter('peer_frames_sent_ExplainRequest')
        assert sent == (fault == 'silent')
        assert link.is_up

    run_fleet(scenario, hosts=2)


def test_host_without_jobs_goes_by_claims(monkeypatch):
    """Fails if it names another host than requests go to, or notes claims."""

    async def scenario(fleet):
        node = fleet.nodes[1]
        monkeypatch.setattr(
            members.Members,
            'is_job_host',
            property(lambda each: each.local.host_id == 'host-0'),
        )
        node.members._claimed_zones_by_service.clear()
        before = dump(node, {})
        found = node.gateways.gateway_host_and_reason(nodes.SERVICE)
        assert dump(node, {}) == before
        assert found == ('host-0', 'it claims the gateway')
        assert node.gateways.gateway_host_id(nodes.SERVICE) == 'host-0'
        link = node.members.link_to('host-0')
        link.is_draining = True
        host_id, reason = node.gateways.gateway_host_and_reason(nodes.SERVICE)
        assert node.gateways.gateway_host_id(nodes.SERVICE) == host_id
        assert 'is stopping' in reason

    run_fleet(scenario, hosts=2)


def query(**fields):
    values = {'account': 'a', 'database': 'd', 'kind': 'read', **fields}
    return urllib.parse.urlencode(values, doseq=True)


def test_odd_input_is_refused():
    """Fails if input isn't bounded, or two explanations run at once."""
    odd = [
        '',
        query(kind='delete'),
        query(account='x' * 201),
        query(database='ü' * 101),
        query(database=''),
        query(database='a\nb'),
        query(account=['a', 'b']),
        query(key='k'),
        query(account=b'\xff'),
    ]

    async def scenario(fleet):
        node = fleet.nodes[0]
        for each in odd:
            status, body = await get(node, each)
            assert (status, bool(json.loads(body)['error'])) == (400, True)
        status, _ = await get(node, query(account='x' * 200))
        assert status == 200
        node.explainer.is_busy = True
        status, _ = await get(node, query())
        assert status == 429

    run_fleet(scenario)


def test_fault_does_not_show_a_key(monkeypatch, capfd):
    """Fails if a key that was given as an account gets into the log."""

    async def scenario(fleet):
        node = fleet.nodes[0]
        monkeypatch.setattr(node.explainer, '_explain', None)
        status, body = await get(node, query(account='secret-key'))
        assert status == 500
        assert 'secret-key' not in body
        assert 'secret-key' not in ''.join(capfd.readouterr())
        assert not node.explainer.is_busy

    run_fleet(scenario)


def test_answers_of_other_releases_are_read():
    """Fails if a frame changes on its way, or an odd one ends anything."""
    part = explanation.GatewayPart(
        explanation.Decision(explanation.Outcome.SENT, target='i-1')
    )
    frame = frames.Explanation(7, explanation.encode(part))
    assert frames.decode(frames.encode(frame)[4:]) == frame
    assert explanation.decode(frame.document) == part
    newer = json.loads(frame.document) | {'added': 1}
    assert explanation.decode(json.dumps(newer).encode()) == part
    for odd in (b'', b'[]', b'{"decision": {"outcome": "other"}}', b'\xff'):
        assert not explanation.decode(odd)
    too_long = frames.Explanation(1, bytes(frames.MAX_EXPLANATION_BYTES + 1))
    with pytest.raises(exceptions.HostError):
        frames.decode(frames.encode(too_long)[4:])
