"""Tests of background tasks."""

import asyncio

import structlog

from samphirestand import background
from samphirestand import clock as clock_module


def test_failed_task_is_logged():
    """Guards against a background task that fails without a log line."""

    async def fail():
        raise ValueError('broken')

    async def main():
        tasks = background.Background()
        tasks.spawn(fail())
        await asyncio.sleep(0.01)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    [line] = lines
    assert line['event'] == 'task_failed'
    assert 'fail' in line['task']
    assert 'broken' in line['reason']


def test_cancelled_task_is_not_logged():
    async def main():
        tasks = background.Background()
        tasks.spawn(asyncio.sleep(60))
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0.01)

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    assert lines == []


def test_job_is_started_again_after_an_unexpected_error():
    """Guards against one error that stops a job of the whole process."""

    async def main():
        clock = clock_module.ManualClock()
        tasks = background.Background()
        runs = []

        async def job():
            runs.append(clock.now())
            if len(runs) < 3:
                raise ValueError('unexpected')
            await clock.sleep(60_000)

        tasks.keep_running(job, clock)
        await clock.advance(10_000)
        assert len(runs) == 3
        tasks.cancel()

    with structlog.testing.capture_logs() as lines:
        asyncio.run(main())
    assert [each['event'] for each in lines] == ['job_failed', 'job_failed']


def test_cancelled_job_is_not_started_again():
    """Guards against jobs that outlive the stop of the process."""

    async def main():
        clock = clock_module.ManualClock()
        tasks = background.Background()
        runs = []

        async def job():
            runs.append(1)
            await clock.sleep(60_000)

        tasks.keep_running(job, clock)
        await clock.settle()
        tasks.cancel()
        await clock.advance(10_000)
        assert runs == [1]

    asyncio.run(main())
