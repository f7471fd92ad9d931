"""Tests of the configuration history and the audit over HTTP."""

import asyncio
import contextlib

from tornado import httpserver

from samphirestand import clock
from samphirestand.control import audit
from samphirestand.control import changes
from samphirestand.control import client
from samphirestand.control import configuration
from standins import platform
from tests.control import fakes
from tests import processes

HOST_COUNT = 3
CHANGES_PER_HOST = 8
EVENT_COUNT = 8


@contextlib.asynccontextmanager
async def serve_platform():
    """Serve a simulated platform; yield it and a factory of clients."""
    system_clock = clock.SystemClock()
    served_platform = platform.Platform(system_clock)
    server = httpserver.HTTPServer(
        platform.application(served_platform, system_clock)
    )
    port = processes.free_ports(1)[0]
    server.listen(port, '127.0.0.1')
    clients = []

    def make_client():
        url = f'http://127.0.0.1:{port}'
        clients.append(client.PlatformClient(url, 'z1'))
        return clients[-1]

    try:
        yield served_platform, make_client
    finally:
        for each in clients:
            each.close()
        server.stop()
        await server.close_all_connections()


async def propose_until_accepted(store, name):
    """Propose changes; repeat each until it is accepted."""
    for number in range(CHANGES_PER_HOST):
        change = changes.CreateAccount(
            name=f'{name}-{number}', rate=1, burst=1
        )
        proposal = fakes.propose(change, f'{name}-{number}', repeated=True)
        result = None
        while not isinstance(result, configuration.Accepted):
            result = await store.propose(proposal)
            assert not isinstance(result, configuration.Refused)


async def record_events(audit_trail):
    """Record events, each in a batch of its own."""
    for number in range(EVENT_COUNT):
        audit_trail.record('failover', f's{number}', 'why')
        await processes.until(lambda: not audit_trail.buffered_count())


def test_changes_and_events_survive_lost_responses(monkeypatch):
    """Guards against fakes that behave differently from the platform."""
    # Without retries in the store, operators see lost responses and repeat
    # their commands.
    monkeypatch.setattr(configuration, 'RESOLVE_TIMEOUT_MS', 0)

    async def main():
        async with serve_platform() as (served_platform, make_client):
            served_platform.set_faults({'seed': 7, 'lost_probability': 0.3})
            stores = [
                fakes.make_store(make_client(), clock=clock.SystemClock())
                for _ in range(HOST_COUNT)
            ]
            audit_trail = audit.Audit(make_client(), clock.SystemClock(), 'h1')
            audit_task = asyncio.create_task(audit_trail.run())
            operators = [
                propose_until_accepted(store, f'o{number}')
                for number, store in enumerate(stores)
            ]
            await asyncio.gather(record_events(audit_trail), *operators)
            audit_task.cancel()
            assert served_platform.counters['dropped'] > 10
            served_platform.set_faults({'lost_probability': 0.0})
            for store in stores:
                await store.refresh()
            return stores, await audit_trail.query(audit.Query())

    stores, answer = asyncio.run(main())
    change_count = HOST_COUNT * CHANGES_PER_HOST
    for store in stores:
        assert store.current == stores[0].current
        assert store.current.version == change_count
        assert len(store.current.accounts_by_name) == change_count
    subjects = [event.subject for event in answer.events]
    assert sorted(subjects) == sorted(
        f's{number}' for number in range(EVENT_COUNT)
    )
