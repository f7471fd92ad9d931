"""Promotions around an outage in which the store answers nothing."""

import asyncio

import pytest

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.gateway import fencing
from samphirestand.gateway import succession
from samphirestand.platform import store as store_module
from tests import nodes


class RecoveringStore:
    """A store that never answers the first reads, and then all."""

    era = None

    def __init__(self, lost_reads):
        self.lost_reads = lost_reads
        self.read_count = 0

    async def read(self, table, key=None):
        self.read_count += 1
        if self.read_count <= self.lost_reads:
            await asyncio.Event().wait()
        return store_module.TableRows((), 7, 100)

    async def put(self, table, key, value, expected_version):
        return 8


def acquire(store, limit_s=5):
    async def main():
        tokens = fencing.FencingTokens('h0', clock_module.SystemClock(), store)
        async with asyncio.timeout(limit_s):
            return await tokens.acquire('svc')

    return asyncio.run(main())


@pytest.mark.parametrize('lost_reads', [0, 1, 2])
def test_token_is_taken_as_soon_as_the_store_answers_again(
    monkeypatch, lost_reads
):
    """Fails if a promotion waits for an answer that an outage has lost."""
    monkeypatch.setattr(fencing, 'READ_REPEAT_MS', 20)
    store = RecoveringStore(lost_reads)
    assert acquire(store).number == 1
    assert store.read_count == lost_reads + 1


def test_reads_of_a_token_are_bounded(monkeypatch):
    """Fails if a store that answers nothing gets ever more calls."""
    monkeypatch.setattr(fencing, 'READ_REPEAT_MS', 5)
    store = RecoveringStore(1_000)
    with pytest.raises(TimeoutError):
        acquire(store, limit_s=0.5)
    assert store.read_count == fencing.MAX_READ_ATTEMPTS


def test_refusal_of_the_store_is_not_repeated():
    """Fails if a store that refuses calls gets more of them."""
    store = RecoveringStore(0)

    async def refuse(table, key=None):
        store.read_count += 1
        raise exceptions.PlatformUnavailable('HTTP status 503', step='store')

    store.read = refuse
    with pytest.raises(exceptions.PlatformUnavailable):
        acquire(store)
    assert store.read_count == 1


@pytest.mark.parametrize('answers_meanwhile', [True, False])
def test_gateway_stays_if_the_store_answers_its_host_again(
    monkeypatch, answers_meanwhile
):
    """Fails if a gateway moves because of a call from before an outage's end.

    The next gateway host begins anew, with new connections, in the middle of
    the replacement.
    """
    monkeypatch.setattr(succession, 'RETRY_MS', 1)

    async def main():
        async with nodes.running(1) as fleet:
            [node] = fleet.nodes
            service = node.catalog.current.services_by_name[nodes.SERVICE]
            gateway = node.gateways._get_or_open_gateway(nodes.SERVICE)

            async def fail(*arguments):
                await asyncio.sleep(0.01)
                if answers_meanwhile:
                    await node.store.read('hosts')
                raise exceptions.PlatformUnavailable('lost', step='store')

            node.gateways._succession.replace_primary = fail
            # No other call of this host is answered meanwhile.
            node._background.cancel()
            await node.gateways._replace_primary(gateway, service, 'test')
            assert node.members.reaches_store is answers_meanwhile

    asyncio.run(main())
