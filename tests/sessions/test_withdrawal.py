"""Work whose caller has left: session, links, gateway host and queue."""

import asyncio

import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import service as service_module
from samphirestand.gateway import slot_queue
from samphirestand import metrics as metrics_module
from samphirestand.sessions import session as session_module
from samphirestand import work as work_module
from tests.fleet import test_links
from tests.gateway import test_slot_queue
from tests import nodes

WITHDRAWN = work_module.Refused('BUSY', work_module.WITHDRAWN_REASON)
ANSWERED = work_module.Answered((), 's', None, 'i-1')
CLAIMS = frames.Claims({}, takes_withdrawals=True)


class FakeConnection:
    """A connection to another host; it keeps what is sent."""

    is_closed = False
    hello = frames.Hello('host-1', 'north', '127.0.0.1', 1, 1)

    def __init__(self):
        self.sent = []

    def send(self, frame):
        self.sent.append(frame)


class FakeGateways:
    """Answers work when the test says so, or as soon as it is withdrawn."""

    claims = frames.Claims({})

    def __init__(self, is_running):
        self.is_running = is_running
        self.is_done = asyncio.Event()

    async def run(self, owner, work, withdrawal):
        if not self.is_running:
            withdrawal.notify(self.is_done.set)
        await self.is_done.wait()
        if withdrawal.is_requested and not self.is_running:
            return WITHDRAWN
        return ANSWERED

    async def abandon_all(self, owner):
        pass


def create_work():
    return work_module.Work(
        request_id='r',
        text='READ x',
        stage=work_module.Stage.SINGLE,
        service='svc',
        account='acct',
        consistency=catalog.Consistency.PRIMARY,
        max_age_ms=0,
        writes=False,
        budget_ms=60_000,
        objective_ms=60_000,
        priority=1,
    )


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


def create_service(is_running):
    gateways = FakeGateways(is_running)
    metrics = metrics_module.Metrics()
    service = service_module.PeerService(None, gateways, None, None, metrics)
    return service, gateways, metrics


def test_waiting_statement_is_dropped_without_a_slot():
    """Fails if work that nobody waits for is sent to a target."""

    async def scenario():
        clock = clock_module.ManualClock()
        group = test_slot_queue.FakeGroup(clock, 1)
        queue = slot_queue.SlotQueue(clock, group)
        group.primary.running_count = 2
        request = test_slot_queue.create_request(clock, needs_primary=True)
        waiting = asyncio.create_task(queue.wait_for_slot(request))
        await settle()
        request.withdrawal.request()
        request.withdrawal.request()
        outcome = await waiting
        again = await queue.wait_for_slot(request)
        assert group.primary.running_count == 2
        assert len(queue) == 0
        return outcome, again

    for each in asyncio.run(scenario()):
        assert isinstance(each, exceptions.Sentinel)
        assert each.reason == work_module.WITHDRAWN_REASON


def test_statement_with_a_slot_goes_on():
    """Fails if a slot is lost, or a statement broken off at its target."""

    async def scenario():
        clock = clock_module.ManualClock()
        group = test_slot_queue.FakeGroup(clock, 1)
        queue = slot_queue.SlotQueue(clock, group)
        request = test_slot_queue.create_request(clock, needs_primary=True)
        pool = await queue.wait_for_slot(request)
        request.withdrawal.request()
        assert pool is group.primary
        assert request.future.result() is pool

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('is_running', 'outcome'), [(False, WITHDRAWN), (True, ANSWERED)]
)
def test_gateway_host_answers_withdrawn_work_truly(is_running, outcome):
    """Fails if doubled, late or unknown withdrawals have an effect."""

    async def scenario():
        service, gateways, metrics = create_service(is_running)
        connection = FakeConnection()
        service.handle_frame(connection, frames.WorkFrame(7, create_work()))
        await settle()
        service.handle_frame(connection, frames.Withdraw(6))  # unknown
        service.handle_frame(connection, frames.Withdraw(7))
        service.handle_frame(connection, frames.Withdraw(7))  # doubled
        await settle()
        assert connection.sent == (
            [] if is_running else [frames.OutcomeFrame(7, outcome)]
        )
        gateways.is_done.set()
        await settle()
        service.handle_frame(connection, frames.Withdraw(7))  # late
        assert connection.sent == [frames.OutcomeFrame(7, outcome)]
        assert service._withdrawals_by_connection == {}
        assert metrics.counter('withdrawals_unknown') >= 2

    asyncio.run(scenario())


def test_work_of_a_host_that_is_gone_is_withdrawn():
    """Fails if work waits whose answer can't be delivered."""

    async def scenario():
        service, gateways, _ = create_service(is_running=False)
        connection = FakeConnection()
        service.handle_frame(connection, frames.WorkFrame(7, create_work()))
        await settle()
        service.handle_disconnect(connection)
        assert gateways.is_done.is_set()
        await settle()
        assert service._withdrawals_by_connection == {}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('claims', 'count'), [(CLAIMS, 1), (frames.Claims({}), 0)]
)
def test_lost_withdrawal_leaves_the_answer(claims, count):
    """Fails if the answer isn't waited for, or an older host is told."""

    async def scenario():
        link = test_links.create_link(clock_module.ManualClock())
        link._connection = FakeConnection()
        link.handle_frame(link._connection, claims)
        withdrawal = work_module.Withdrawal()
        request = asyncio.create_task(
            link.request(
                lambda call_id: frames.WorkFrame(call_id, create_work()),
                1_000,
                withdrawal,
            )
        )
        await settle()
        withdrawal.request()
        await settle()
        [work_frame, *others] = link._connection.sent
        assert others == [frames.Withdraw(work_frame.call_id)] * count
        answer = frames.OutcomeFrame(work_frame.call_id, ANSWERED)
        link.handle_frame(link._connection, answer)
        assert await request == answer

    asyncio.run(scenario())


class FakeCaller:
    """The connection of a caller that sent one statement, or more ahead."""

    has_line = False

    def __init__(self, lines):
        self.lines = [b'STARTUP main key', *lines]
        self.is_closed = False
        self.on_close = None
        self.written = b''

    async def read_line(self):
        if self.lines:
            return self.lines.pop(0)
        if not self.is_closed:
            await asyncio.Event().wait()
        return None

    def write(self, data):
        self.written += data

    def mark_started(self):
        pass

    async def admit_message(self, message_bytes):
        return True

    def finish_message(self):
        pass

    def close(self):
        self.is_closed = True


class FakeDispatcher:
    """A gateway at which work waits until it is withdrawn."""

    def __init__(self):
        self.withdrawals = []

    def choose(self, service):
        return 'host-1'

    async def run(self, host_id, work, withdrawal):
        done = asyncio.Event()
        self.withdrawals.append(withdrawal)
        withdrawal.notify(done.set)
        await done.wait()
        withdrawal.notify(None)
        return WITHDRAWN


def create_catalog(keys):
    route = catalog.Route(
        database='main',
        service='svc',
        consistency=catalog.Consistency.PRIMARY,
        timeout_ms=900,
        objective_ms=200,
        priority=1,
        max_age_ms=0,
        needs_key=True,
    )
    return catalog.Catalog(
        version=1,
        routes_by_database={'main': route},
        accounts_by_name={'acct': catalog.Account('acct', 9, 9)},
        account_names_by_key=dict.fromkeys(keys, 'acct'),
        services_by_name={'svc': catalog.Service('svc', 9, True)},
    )


def run_session(lines, act):
    """Run a session until its first statement waits; then ``act``."""

    async def scenario():
        catalogs = [create_catalog(['key'])]
        caller = FakeCaller(lines)
        dispatcher = FakeDispatcher()
        context = session_module.Context(
            clock_module.ManualClock(),
            lambda: catalogs[-1],
            dispatcher,
            metrics_module.Metrics(),
        )
        session = session_module.Session(caller, context)
        task = asyncio.create_task(session.run())
        await settle()
        assert [each.is_requested for each in dispatcher.withdrawals] == [
            False
        ]
        left = list(caller.lines)
        act(session, caller, catalogs)
        assert dispatcher.withdrawals[0].is_requested
        await settle()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return caller, left

    return asyncio.run(scenario())


def test_close_of_a_caller_withdraws_its_statement():
    """Fails if work waits on, or what was sent ahead is read, meanwhile."""

    def leave(session, caller, catalogs):
        caller.is_closed = True
        caller.on_close()

    lines = [b'QUERY q1 READ x', b'QUERY q2 READ x']
    _, left = run_session(lines, leave)
    assert left == lines[1:]


def test_withdrawn_key_ends_the_wait():
    """Fails if work of a withdrawn key waits on, or gets a false reason."""

    def withdraw_key(session, caller, catalogs):
        catalogs.append(create_catalog([]))
        session.review_access()

    caller, _ = run_session([b'QUERY q1 READ x'], withdraw_key)
    assert b'ERROR DENIED the key was withdrawn' in caller.written


@pytest.mark.parametrize('number', [0, 1])
def test_close_reaches_the_gateway_of_the_service(number):
    """Fails if the close of a connection isn't noticed, or not passed on."""

    async def scenario():
        async with nodes.running(2) as fleet:
            for server in fleet.group.servers.values():
                server.work_ms = 400
            node = fleet.nodes[number]
            clients = [await nodes.Client.connect(node) for _ in range(8)]
            for request, client in enumerate(clients):
                client.send(f'QUERY w{request} READ x')
            await asyncio.sleep(0.1)
            for client in clients:
                client.close()
            await fleet.until(
                lambda: sum(
                    each.metrics.counter('work_withdrawn')
                    for each in fleet.nodes
                )
            )

    asyncio.run(scenario())
