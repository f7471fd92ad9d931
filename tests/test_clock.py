"""Tests of the clock."""

import asyncio

from samphirestand import clock


def test_manual_clock_wakes_sleeping_tasks_in_order():
    """Guards against tasks that wake late or in the wrong order."""
    manual = clock.ManualClock(0)
    wake_times = []

    async def sleep_and_record(duration_ms):
        await manual.sleep(duration_ms)
        wake_times.append((duration_ms, manual.now()))

    async def main():
        tasks = [
            asyncio.create_task(sleep_and_record(ms)) for ms in (30, 10, 20)
        ]
        await manual.advance(25)
        assert wake_times == [(10, 10), (20, 20)]
        await manual.advance(10)
        await asyncio.gather(*tasks)

    asyncio.run(main())
    assert wake_times[-1] == (30, 30)
