"""Tests of the history and the audit on the client and the stand-in."""

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

HOSTS = 3
CHANGES_EACH = 8
EVENTS = 8


@contextlib.asynccontextmanager
async def served():
    """Serve a platform; gives it and a function that makes clients."""
    system = clock.SystemClock()
    served_platform = platform.Platform(system)
    server = httpserver.HTTPServer(
        platform.application(served_platform, system)
    )
    port = processes.free_ports(1)[0]
    server.listen(port, '127.0.0.1')
    clients = []

    def connect():
        url = f'http://127.0.0.1:{port}'
        clients.append(client.PlatformClient(url, 'z1'))
        return clients[-1]

    try:
        yield served_platform, connect
    finally:
        for each in clients:
            each.close()
        server.stop()
        await server.close_all_connections()


async def operate(store, name):
    """Repeat each change until it is accepted."""
    for number in range(CHANGES_EACH):
        change = changes.CreateAccount(
            name=f'{name}-{number}', rate=1, burst=1
        )
        proposal = fakes.propose(change, f'{name}-{number}', repeated=True)
        result = None
        while not isinstance(result, configuration.Accepted):
            result = await store.propose(proposal)
            assert not isinstance(result, configuration.Refused)


async def record(trail):
    """Record events, one batch each."""
    for number in range(EVENTS):
        trail.record('failover', f's{number}', 'why')
        await processes.until(lambda: not trail.buffered())


def test_changes_and_events_survive_lost_answers(monkeypatch):
    """Guards against fakes that answer otherwise than the platform."""
    # Lost answers then reach the operators, who repeat their commands.
    monkeypatch.setattr(configuration, 'RESOLVE_LIMIT_MS', 0)

    async def main():
        async with served() as (served_platform, connect):
            served_platform.set_faults({'seed': 7, 'lost_probability': 0.3})
            stores = [
                fakes.make_store(connect(), clock=clock.SystemClock())
                for _ in range(HOSTS)
            ]
            trail = audit.Audit(connect(), clock.SystemClock(), 'h1')
            writing = asyncio.create_task(trail.run())
            operating = [
                operate(store, f'o{number}')
                for number, store in enumerate(stores)
            ]
            await asyncio.gather(record(trail), *operating)
            writing.cancel()
            assert served_platform.counters['dropped'] > 10
            served_platform.set_faults({'lost_probability': 0.0})
            for store in stores:
                await store.refresh()
            return stores, await trail.query(audit.Query())

    stores, answer = asyncio.run(main())
    total = HOSTS * CHANGES_EACH
    for store in stores:
        assert store.current == stores[0].current
        assert store.current.version == total
        assert len(store.current.accounts_by_name) == total
    subjects = [event.subject for event in answer.events]
    assert sorted(subjects) == sorted(f's{number}' for number in range(EVENTS))
