"""Assignment of free slots to waiting statements."""

import asyncio

from samphirestand import catalog
from samphirestand import clock as clock_module
from samphirestand.gateway import leadership
from samphirestand.gateway import pool as pool_module
from samphirestand.gateway import slot_queue
from samphirestand import work as work_module

WAITING = 300


class FakeGroup:
    """The targets of a service; the first is the primary."""

    def __init__(self, clock, count):
        self.pools_by_id = {
            f't{number}': pool_module.TargetPool(
                catalog.Target(
                    target_id=f't{number}',
                    service='svc',
                    address='127.0.0.1',
                    port=1,
                    zone='north',
                    slots=2,
                    is_draining=False,
                    claims_primary=number == 0,
                    started_ms=1,
                ),
                clock,
                90,
            )
            for number in range(count)
        }
        self.primary = self.pools_by_id['t0']
        self.primary_expected_ms = None
        self.leadership = leadership.Leadership('t0', 1)
        self.leadership.confirm(clock.now())

    def is_primary(self, pool):
        return pool is self.primary


def create_request(clock, needs_primary):
    work = work_module.Work(
        request_id='q',
        text='READ a',
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
    return slot_queue.SlotRequest(
        work,
        clock.now(),
        needs_primary,
        asyncio.get_running_loop().create_future(),
    )


def test_full_target_costs_nothing_when_another_has_a_slot():
    """Guards against a gateway that is busy with its own queue.

    Under overload each statement that ended on a replica led to a review of
    all statements that wait for the primary.
    """

    async def scenario():
        clock = clock_module.ManualClock()
        group = FakeGroup(clock, 3)
        queue = slot_queue.SlotQueue(clock, group)
        group.primary.running_count = 2
        for _ in range(WAITING):
            queue.enqueue(create_request(clock, needs_primary=True))
        reviewed = []
        queue._can_run = lambda *arguments: reviewed.append(arguments)
        queue.assign_slots()
        return reviewed, queue, group

    reviewed, queue, group = asyncio.run(scenario())
    assert reviewed == []
    assert len(queue) == WAITING


def test_slots_go_to_the_most_urgent_until_none_is_free():
    async def scenario():
        clock = clock_module.ManualClock()
        group = FakeGroup(clock, 1)
        queue = slot_queue.SlotQueue(clock, group)
        earlier = create_request(clock, needs_primary=True)
        clock.set(clock.now() + 5)
        later = [create_request(clock, needs_primary=True) for _ in range(3)]
        for each in (*later, earlier):
            queue.enqueue(each)
        queue.assign_slots()
        return earlier, later, queue, group

    earlier, later, queue, group = asyncio.run(scenario())
    assert earlier.future.result() is group.primary
    assert [each.future.done() for each in later] == [True, False, False]
    assert len(queue) == 2
    assert group.primary.running_count == 2


def test_requests_that_cannot_run_are_not_looked_at_for_each_slot():
    """Fails if an overload without evidence costs the square of its size.

    Statements that only an unconfirmed primary may run were looked at again
    whenever any other statement ended: a gateway at 300 hosts spent most of
    its processor time on that.
    """

    async def scenario():
        clock = clock_module.ManualClock()
        group = FakeGroup(clock, 3)
        group.leadership = leadership.Leadership('t0', 1)
        queue = slot_queue.SlotQueue(clock, group)
        for _ in range(200):
            queue.enqueue(create_request(clock, needs_primary=True))
        examined = []
        choose_target = queue._choose_target

        def choose_and_count(slot_request, free_pools):
            examined.append(slot_request)
            return choose_target(slot_request, free_pools)

        queue._choose_target = choose_and_count
        for _ in range(50):
            queue.assign_slots()
        assert len(examined) <= 200, len(examined)
        queue.recheck_all()
        assert len(examined) <= 400, len(examined)

    asyncio.run(scenario())
