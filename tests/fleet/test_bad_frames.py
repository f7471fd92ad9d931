"""Illegal frames are refused before they are decoded."""

import asyncio
import unittest.mock

import pytest

from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import links
from samphirestand.fleet import traffic
from samphirestand import metrics as metrics_module


def packed_zeros(word_count):
    """Return a packed message of one segment of zeros, 256 words a pair."""
    header = bytes(4) + word_count.to_bytes(4, 'little')
    tag = sum(1 << each for each, byte in enumerate(header) if byte)
    packed_header = bytes([tag]) + header.replace(b'\0', b'')
    return packed_header + b'\0\xff' * (word_count // 256)


def test_small_frame_that_expands_is_refused():
    """Fails if a frame of 60 kB takes 60 MB of memory."""
    body = packed_zeros(256 * 30_000)
    assert len(body) < 61_000
    with pytest.raises(exceptions.HostError, match='too large'):
        frames.decode(body)


@pytest.mark.parametrize(
    'frame',
    [
        frames.Ping(1, False, 1, (frames.Deposit('a', 1),) * 20_000),
        frames.Claims({str(each): 'north' for each in range(20_000)}),
    ],
)
def test_list_that_is_too_long_is_refused(frame):
    """Fails if the receiver builds an object for each entry."""
    body = frames.encode(frame)[frames.LENGTH_PREFIX_BYTES :]
    with (
        unittest.mock.patch.object(frames, 'Deposit') as deposit,
        pytest.raises(exceptions.HostError, match='too long'),
    ):
        frames.decode(body)
    deposit.assert_not_called()


def test_sender_of_illegal_frames_is_disconnected_and_logged_once():
    """Fails if a peer that returns at once fills the log or the memory."""

    async def scenario():
        metrics = metrics_module.Metrics()
        counters = traffic.FrameCounters(metrics, clock_module.ManualClock())
        for _ in range(100):
            handler = unittest.mock.Mock()
            connection = links.FrameConnection(handler, counters=counters)
            transport = unittest.mock.Mock(spec=asyncio.Transport)
            connection.connection_made(transport)
            connection.data_received(b'\xff' * 5)
            connection.data_received(frames.encode(frames.Abandon(1)))
            transport.abort.assert_called_once()
            handler.handle_frame.assert_not_called()
        return metrics

    with unittest.mock.patch.object(traffic._log, 'warning') as warning:
        metrics = asyncio.run(scenario())
    assert metrics.counter('peer_frames_received_rejected') == 100
    assert warning.call_count == 1
