"""Frames between hosts: what is sent arrives, and bad bytes end nothing."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand import catalog
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand import node_settings
from samphirestand import types
from samphirestand import work

WORK = work.Work(
    request_id='r1',
    text='EXECUTE s1 a b',
    stage=work.Stage.OPEN,
    service='svc',
    account='acct',
    consistency=catalog.Consistency.READ_YOUR_WRITES,
    max_age_ms=2500,
    writes=True,
    budget_ms=800,
    objective_ms=120,
    priority=1,
    transaction=7,
    begin_id='r0',
    begin_text='BEGIN READ',
    read_only=True,
    commits=True,
    wrote_before=True,
    values=(('a', 'b'), ('c', 'ä')),
    mode=types.Mode.READ,
    shape='q1',
    arguments='a b',
    session_position=types.Position(3, 9),
)


@pytest.mark.parametrize(
    'frame',
    [
        frames.Hello(
            'h',
            'z',
            '127.0.0.1',
            7560,
            12,
            node_settings.Capacity(516, 5_000),
        ),
        frames.Claims({'svc': 'north', 'other': ''}),
        frames.Ping(1, True, 7, (frames.Deposit('a', 1500),)),
        frames.Pong(1, True, 7, reaches_store=False),
        frames.WorkFrame(1, WORK),
        frames.OutcomeFrame(
            2, work.Answered(('x', ''), 's', types.Position(1, 2), 'i-1')
        ),
        frames.OutcomeFrame(3, work.Failed('BUSY', 'full', None, 'i-1')),
        frames.OutcomeFrame(4, work.Refused('BUSY', 'why', 40)),
        frames.OutcomeFrame(5, work.Lost('gone', timed_out=True)),
        frames.TokenRequest(6, 'a', 2000, 400),
        frames.TokenAnswer(6, 1000),
        frames.SnapshotRequest(7),
        frames.Snapshot(7, 9, b'{"Version":9}'),
        frames.Abandon(8),
    ],
)
def test_frame_arrives_as_it_was_sent(frame):
    """Fails if a field is left out of the codec."""
    [body] = frames.split(bytearray(frames.encode(frame)))
    assert frames.decode(body) == frame


def test_frames_may_arrive_in_pieces():
    data = frames.encode(frames.Abandon(1)) + frames.encode(frames.Abandon(2))
    buffer = bytearray()
    found = []
    for byte in data:
        buffer.append(byte)
        found += [frames.decode(body) for body in frames.split(buffer)]
    assert found == [frames.Abandon(1), frames.Abandon(2)]


def test_oversized_frame_is_refused():
    with pytest.raises(exceptions.HostError):
        frames.split(bytearray(b'\xff\xff\xff\xff'))


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_are_refused_or_decoded(data):
    """Fails if a strange connection can end the process."""
    try:
        frames.decode(data)
    except exceptions.HostError:
        pass
