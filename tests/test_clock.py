"""Tests of the clock."""

import asyncio

from samphirestand import clock


def test_manual_clock_wakes_sleepers_in_order():
    """Guards against sleepers that wake late or in the wrong order."""
    manual = clock.ManualClock(0)
    woken = []

    async def sleeper(duration_ms):
        await manual.sleep(duration_ms)
        woken.append((duration_ms, manual.now()))

    async def main():
        tasks = [asyncio.create_task(sleeper(ms)) for ms in (30, 10, 20)]
        await manual.advance(25)
        assert woken == [(10, 10), (20, 20)]
        await manual.advance(10)
        await asyncio.gather(*tasks)

    asyncio.run(main())
    assert woken[-1] == (30, 30)
