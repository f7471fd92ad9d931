"""Transfer of the configuration between hosts of a large fleet."""

import asyncio
import collections
import random
import unittest.mock
import zlib

import pytest

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import catalog_exchange
from samphirestand.fleet import deflation
from samphirestand.fleet import frames
from samphirestand.fleet import links
from tests.fleet import simulation
from tests.fleet import test_catalog_exchange as fakes

RAW = simulation.configuration(8, 350)


def create_exchange(number):
    exchange = catalog_exchange.CatalogExchange(
        clock_module.ManualClock(),
        random.Random(number),
        fakes.FakeMembers(),
        fakes.FakeCatalog(),
    )
    exchange._members.local = frames.Hello(
        f'host-{number}', 'north', '127.0.0.1', 1, 1
    )
    return exchange


def test_hosts_of_a_zone_fetch_from_different_hosts():
    """Fails if one host sends a new configuration to all of its zone."""
    sources = collections.Counter()
    for number in range(60):
        exchange = create_exchange(number)
        job_links = [fakes.FakeLink(f'job-{each}', 8) for each in range(3)]
        exchange._members.links = job_links
        fakes.review_links(exchange, job_links, 1_000)
        sources.update(exchange._catalog.sources)
    assert sources.total() == 60
    assert max(sources.values()) < 30


def test_hosts_fetch_at_different_moments():
    """Fails if all hosts fetch in the round after they learn of a version."""
    link = fakes.FakeLink('job-1', 8)
    for number in range(60):
        exchange = create_exchange(number)
        exchange._members.links = [link]
        fakes.review_links(exchange, [link], 500)
    assert 10 < link.request_count < 50


def test_host_that_does_not_answer_is_not_asked_again():
    """Fails if a silent job host keeps others from a new configuration."""
    exchange = create_exchange(1)
    job_links = [fakes.FakeLink(f'job-{each}', 8) for each in range(3)]
    for link in job_links[:2]:
        link.request = unittest.mock.AsyncMock(return_value=links.TIMED_OUT)
    exchange._members.links = job_links
    fakes.review_links(exchange, job_links, 1_500)
    assert exchange._catalog.sources == ['job-2']


@pytest.mark.parametrize('reads_deflated', [True, False])
def test_snapshot_is_compressed_for_hosts_that_read_it(reads_deflated):
    """Fails if it is sent in full, or unreadable to an earlier release."""

    async def scenario():
        connection = links.FrameConnection(unittest.mock.Mock())
        transport = unittest.mock.Mock(spec=asyncio.Transport)
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        request = frames.SnapshotRequest(1, reads_deflated=reads_deflated)
        connection.data_received(frames.encode(request))
        connection.send(frames.Snapshot(1, 8, RAW))
        return transport.write.call_args.args[0]

    data = asyncio.run(scenario())
    assert (len(data) < len(RAW) / 4) == reads_deflated
    body = data[frames.LENGTH_PREFIX_BYTES :]
    assert frames.decode(body) == frames.Snapshot(1, 8, RAW)
    encoded = frames._schema.Frame.from_bytes_packed(body).snapshot
    assert encoded.isDeflated == reads_deflated


@pytest.mark.parametrize(
    'data',
    [
        zlib.compress(bytes(deflation.MAX_INFLATED_BYTES + 1)),
        zlib.compress(RAW)[:-9],
        b'no deflated data',
    ],
)
def test_malformed_compressed_configuration_is_refused(data):
    """Fails if a small frame fills the memory or ends the reader."""
    with pytest.raises(exceptions.HostError):
        deflation.inflate(data)
