"""Evidence for the primary, with servers that go on after a promotion."""

import asyncio
import contextlib
import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import leadership
from samphirestand.gateway import policy
from samphirestand.gateway import slot_queue
from samphirestand.platform import promotion
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module
from tests import nodes


def status(term=1, held=0, is_primary=False):
    return wire.Status(is_primary, term, types.Position(1, 3), held, 0, 0, 0)


@pytest.mark.parametrize(
    ('answer', 'verdict'),
    [
        (status(), leadership.Confirmed()),
        (status(term=0), leadership.Confirmed()),
        (status(held=2), leadership.Suspended()),
        (status(term=0, held=2), leadership.Suspended()),
        (status(held=1), leadership.Confirmed()),
        (status(term=2), leadership.Superseded(2, False)),
        (status(term=2, is_primary=True), leadership.Superseded(2, True)),
        (status(is_primary=True), None),
    ],
)
def test_verdict_of_a_replica(answer, verdict):
    """Guards against evidence from a paused or differently led replica."""
    assert leadership.judge_replica(answer, 1) == verdict


def test_evidence_covers_reads_until_a_promotion_could_take_effect():
    """Guards against reads on a primary that may have been replaced."""
    held = leadership.Leadership('a', 1)
    assert not held.covers(0)
    held.confirm(1_000)
    assert held.covers(1_000 + policy.PROMOTION_DELAY_MS - 1)
    assert not held.covers(1_000 + policy.PROMOTION_DELAY_MS)


def test_earlier_answer_does_not_shorten_evidence():
    """Guards against a slow answer that replaces newer evidence."""
    held = leadership.Leadership('a', 1)
    held.confirm(1_000)
    held.confirm(400)
    assert held.covers(1_300)


class _Split:
    """Two hosts with a gateway each for one service.

    The first host keeps using the old primary: it doesn't hear of the
    registry's changes and reaches the old primary; the second one is told
    that the primary is down and replaces it.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.stale_node, self.promoting_node = fleet.nodes
        for node in fleet.nodes:
            node.gateways.gateway_host_id = lambda service, own=node: (
                own.members.local.host_id
            )
        self.old_primary = fleet.group.primary
        fleet.group.primaries_go_on = True

    def gateway(self, node):
        return node.gateways._get_or_open_gateway(nodes.SERVICE)

    def freeze_registry(self):
        """Let the first host hear no more of the registry."""
        self.stale_node.targets.is_needed = False
        self.stale_node._adjust_store_reads = lambda: None

    def report_primary_down(self):
        """Make the second host replace the primary, which it can't reach."""
        group = self.gateway(self.promoting_node).group
        pool = group.primary

        async def no_answer(text, timeout_ms):
            return exceptions.Sentinel('cut off')

        pool.run_command = no_answer
        pool.run_command_on_new_connection = no_answer
        pool.is_down = True
        pool.record_reply = lambda: None


@contextlib.asynccontextmanager
async def split_fleet():
    async with nodes.running(2) as fleet:
        yield _Split(fleet)


async def write_until_served(node, text, limit_s=6):
    async with asyncio.timeout(limit_s):
        while True:
            client = await nodes.Client.connect(node)
            _, result, _ = await client.query(text)
            client.close()
            if result.startswith('COMPLETE'):
                return
            await asyncio.sleep(0.05)


@pytest.mark.parametrize('begins', [(), ('BEGIN',), ('BEGIN READ',)])
def test_no_read_is_sent_to_a_primary_that_was_replaced(begins):
    """Guards against stale reads through a gateway that missed a promotion.

    The former primary accepts plain BEGINs until it is told to step down.
    """

    async def scenario():
        async with split_fleet() as split:
            await write_until_served(split.stale_node, 'WRITE x old')
            split.freeze_registry()
            split.report_primary_down()
            fleet = split.fleet
            await fleet.until(
                lambda: fleet.group.primary is not split.old_primary
            )
            await write_until_served(split.promoting_node, 'WRITE x new')
            fleet.group.statements.clear()
            client = await nodes.Client.connect(split.stale_node)
            for text in begins:
                await client.query(text)
            rows, _, _ = await client.query('READ x')
            assert rows in ([], ['new'])
            assert not [
                each
                for each in fleet.group.statements
                if each.server_id == split.old_primary.server_id
                and 'READ x' in each.text
            ]
            client.close()

    asyncio.run(scenario())


def test_gateway_that_learns_of_a_promotion_stops_the_former_primary():
    """Guards against a primary that goes on where only one host reaches it."""

    async def scenario():
        async with split_fleet() as split:
            await write_until_served(split.stale_node, 'WRITE x old')
            split.freeze_registry()
            split.report_primary_down()
            fleet = split.fleet
            await fleet.until(
                lambda: fleet.group.primary is not split.old_primary
            )
            assert split.old_primary.is_primary
            client = await nodes.Client.connect(split.stale_node)
            await client.query('READ x')
            await fleet.until(lambda: not split.old_primary.is_primary)
            client.close()

    asyncio.run(scenario())


def test_promotion_follows_the_last_pause_by_the_delay():
    """Guards against a promotion while older evidence is still in use."""

    async def scenario():
        async with split_fleet() as split:
            await write_until_served(split.stale_node, 'WRITE x old')
            fleet = split.fleet
            loop = asyncio.get_running_loop()
            paused_at = {}

            def watch_pauses():
                for server in fleet.group.servers.values():
                    if server.paused_term:
                        paused_at.setdefault(server.server_id, loop.time())

            ordered_at = []
            order = fleet.store.on_promotion

            def record_order(service, server_id):
                ordered_at.append(loop.time())
                return order(service, server_id)

            fleet.store.on_promotion = record_order
            split.report_primary_down()
            async with asyncio.timeout(8):
                while not ordered_at:
                    watch_pauses()
                    await asyncio.sleep(0.002)
            replicas = set(fleet.group.servers) - {split.old_primary.server_id}
            assert set(paused_at) == replicas
            waited_ms = (ordered_at[0] - max(paused_at.values())) * 1_000
            assert waited_ms >= policy.PROMOTION_DELAY_MS - 5

    asyncio.run(scenario())


def test_former_primary_that_registers_again_is_not_used():
    """Guards against a registration that revives a former primary."""

    async def scenario():
        async with split_fleet() as split:
            await write_until_served(split.stale_node, 'WRITE x old')
            split.report_primary_down()
            fleet = split.fleet
            await fleet.until(
                lambda: fleet.group.primary is not split.old_primary
            )
            new_primary = fleet.group.primary
            await write_until_served(split.promoting_node, 'WRITE x new')
            # Its row expires and it registers once more as the primary.
            fleet.store.delete('servers', split.old_primary.server_id)
            await fleet.until(
                lambda: (
                    len(split.stale_node.targets.of_service(nodes.SERVICE))
                    == 2
                )
            )
            split.old_primary.register()
            await fleet.until(
                lambda: (
                    len(split.stale_node.targets.of_service(nodes.SERVICE))
                    == 3
                )
            )
            for node in fleet.nodes:
                client = await nodes.Client.connect(node)
                rows, _, _ = await client.query('READ x')
                assert rows in ([], ['new'])
                client.close()
            await write_until_served(split.stale_node, 'WRITE x newer')
            assert fleet.group.primary is new_primary
            await fleet.until(lambda: not split.old_primary.is_primary)

    asyncio.run(scenario())


def test_order_is_not_sent_once_the_token_may_have_expired():
    """Guards against a late order with a lower token, which isn't rejected.

    The process may be suspended between its check and the request.
    """

    async def scenario():
        async with nodes.running(1) as fleet:
            client = promotion.PromotionClient(fleet.nodes[0].settings.store)
            answer, _ = await client.order(
                nodes.SERVICE, 'i-2', 'host-0', 3, lambda: False
            )
            assert answer is promotion.PromotionAnswer.NOT_DONE
            assert fleet.store.promotions == []
            answer, _ = await client.order(
                nodes.SERVICE, 'i-2', 'host-0', 3, lambda: True
            )
            assert answer is promotion.PromotionAnswer.ACCEPTED
            assert fleet.store.promotions == [(nodes.SERVICE, 'i-2', 3)]
            client.close()

    asyncio.run(scenario())


PRIMARY = 'a'
REPLICAS = ('b', 'c')


class PromotionMachine(stateful.RuleBasedStateMachine):
    """A gateway, a promoter, a former primary and replicas on one clock.

    The gateway is the product's evidence; servers are modelled. Each message
    is delivered by a rule of its own, in any order and as late as it likes.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.leadership = leadership.Leadership(PRIMARY, 1)
        self.held = dict.fromkeys(REPLICAS, 0)
        self.terms = dict.fromkeys(REPLICAS, 1)
        self.paused_ms = {}
        self.leader = PRIMARY
        self.replaced_ms = None
        self.ordered_ms = None
        self.answers = []
        self.questions = []

    @stateful.rule(replica=strategies.sampled_from(REPLICAS))
    def send_question(self, replica):
        self.questions.append((replica, self.clock.now()))

    @stateful.precondition(lambda self: self.questions)
    @stateful.rule(data=strategies.data())
    def reach_replica(self, data):
        index = data.draw(
            strategies.integers(0, len(self.questions) - 1), 'question'
        )
        target, sent_ms = self.questions.pop(index)
        answer = status(
            self.terms[target], self.held[target], self.leader == target
        )
        self.answers.append((sent_ms, answer))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=strategies.data())
    def receive_answer(self, data):
        index = data.draw(
            strategies.integers(0, len(self.answers) - 1), 'answer'
        )
        sent_ms, answer = self.answers.pop(index)
        verdict = leadership.judge_replica(answer, 1)
        if verdict == leadership.Confirmed():
            self.leadership.confirm(sent_ms)
        elif verdict == leadership.Suspended():
            self.leadership.suspend()

    @stateful.rule(replica=strategies.sampled_from(REPLICAS))
    def pause(self, replica):
        if self.ordered_ms is None:
            self.held[replica] = 2
            self.paused_ms[replica] = self.clock.now()

    @stateful.rule()
    def resume_all(self):
        if self.ordered_ms is None:
            self.held = dict.fromkeys(REPLICAS, 0)
            self.paused_ms.clear()

    @stateful.rule()
    def order(self):
        if (
            len(self.paused_ms) == len(REPLICAS)
            and self.clock.now() - max(self.paused_ms.values())
            >= policy.PROMOTION_DELAY_MS
        ):
            self.ordered_ms = self.clock.now()

    @stateful.rule()
    def take_effect(self):
        if self.ordered_ms is not None and self.replaced_ms is None:
            self.replaced_ms = self.clock.now()
            self.leader = REPLICAS[0]
            self.terms = dict.fromkeys(REPLICAS, 2)
            self.held = dict.fromkeys(REPLICAS, 0)

    @stateful.rule(duration=strategies.integers(1, 900))
    def pass_time(self, duration):
        """Let time pass, also while the gateway is frozen."""
        self.clock.set(self.clock.now() + duration)

    @stateful.invariant()
    def no_read_is_sent_after_the_promotion(self):
        """A read that arrives now isn't sent once there is a new primary."""
        if self.replaced_ms is not None and (
            self.clock.now() > self.replaced_ms
        ):
            assert not self.leadership.covers(self.clock.now())


TestPromotionMachine = PromotionMachine.TestCase
TestPromotionMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


def test_write_waits_while_the_primary_is_being_replaced():
    """Guards against writes of which nobody can tell whether they ran.

    Sent to a primary whose replicas are paused, a write gets no answer.
    """

    async def scenario():
        async with nodes.running(1) as fleet:
            node = fleet.nodes[0]
            await write_until_served(node, 'WRITE x 1')
            gateway = node.gateways._get_or_open_gateway(nodes.SERVICE)
            duty = {
                'token': 7,
                'holder': 'another',
                'until_ms': int(time.monotonic() * 1000) + 60_000,
            }
            fleet.store.put('duties', f'promotion/{nodes.SERVICE}', duty)
            for server in fleet.group.servers.values():
                if not server.is_primary:
                    server.paused_term = 2
            gateway.group.leadership.suspend()
            fleet.group.statements.clear()
            client = await nodes.Client.connect(node)
            _, result, _ = await client.query('WRITE x 2')
            assert result.startswith('ERROR BUSY')
            assert not any('WRITE' in e.text for e in fleet.group.statements)
            client.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('position', 'covers'), [(None, True), ((1, 9), True), ((2, 1), False)]
)
def test_session_that_committed_later_is_not_read_on_a_former_primary(
    position, covers
):
    """Guards against reads that miss the session's own commits."""

    async def scenario():
        async with nodes.running(1) as fleet:
            node = fleet.nodes[0]
            await write_until_served(node, 'WRITE x 1')
            gateway = node.gateways._get_or_open_gateway(nodes.SERVICE)
            now = 10_000
            held = leadership.Leadership(gateway.group.primary_id, 1)
            held.confirm(now - 1_000)
            gateway.group.leadership = held
            request = slot_queue.SlotRequest(
                _read_work(position and types.Position(*position)),
                now,
                False,
                asyncio.get_running_loop().create_future(),
            )
            assert gateway._queue.may_use_primary(request) is covers

    asyncio.run(scenario())


def _read_work(position):
    return work_module.Work(
        request_id='r1',
        text='READ x',
        stage=work_module.Stage.SINGLE,
        service=nodes.SERVICE,
        account=nodes.ACCOUNT,
        consistency=catalog.Consistency.READ_YOUR_WRITES,
        max_age_ms=2_500,
        writes=False,
        budget_ms=900,
        objective_ms=200,
        priority=1,
        session_position=position,
    )
