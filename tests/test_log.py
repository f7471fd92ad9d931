"""Tests of the limits on log lines."""

import os

import pytest
import structlog

from samphirestand import log

PROMOTION_LINES = (
    'succession_started',
    'fencing_token_taken',
    'replica_answered',
    'promotion_ordered',
    'primary_changed',
)


class Lines:
    """A line budget with a clock set by hand, and what it lets through."""

    def __init__(self):
        self.now_s = 10.0
        self.written = []
        self.folded = []
        self.counts = {}
        self.is_buffer_full = False
        self.budget = log.LineBudget(
            self._count,
            self.folded.append,
            lambda: self.is_buffer_full,
            lambda: self.now_s,
        )

    def _count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def write(self, event, **fields):
        try:
            line = self.budget(None, 'info', {'event': event, **fields})
        except structlog.DropEvent:
            return
        self.written.append(line)

    def events(self):
        return [each['event'] for each in self.written]


@pytest.mark.parametrize('event', ['work_refused', 'transaction_ended'])
def test_refusals_dont_displace_lines_of_a_promotion(event):
    """Fails if a flood of refusals hides why a primary was replaced.

    An evacuated zone ends all transactions at its targets while their primary
    is replaced.
    """
    lines = Lines()
    for number in range(5_000):
        lines.now_s = 10 + number / 5_000
        lines.write(event, reason='no slot', request=f'r{number}')
        if number % 1_000 == 999:
            lines.write(PROMOTION_LINES[number // 1_000])
    assert set(PROMOTION_LINES) <= set(lines.events())
    assert len(lines.written) <= log.MAX_LINES_PER_REASON + 5
    lines.now_s = 11
    lines.write('ready')
    [folded] = lines.folded
    assert folded['count'] == 5_000 - log.MAX_LINES_PER_REASON
    assert folded['request'] == f'r{log.MAX_LINES_PER_REASON}'
    assert lines.counts == {f'log_lines_left_out_{event}': folded['count']}


def test_frequent_reason_leaves_room_for_a_rare_one():
    """Fails if the only line about a lost answer is among those left out."""
    lines = Lines()
    for number in range(1_000):
        lines.write('statement_failed', reason=f'a wait of {number} ms')
    lines.write('answer_lost', reason='connection closed')
    assert lines.events().count('answer_lost') == 1


def test_reasons_and_lines_of_a_second_are_bounded():
    """Fails if texts that callers choose fill the memory or the log."""
    lines = Lines()
    for number in range(10_000):
        name = ''.join(chr(97 + int(each)) for each in str(number))
        lines.write('request_refused', reason=name)
    for _ in range(1_000):
        lines.write('host_unreachable')
    limit = log.MAX_REQUEST_LINES_PER_S + log.MAX_STATE_LINES_PER_S
    assert len(lines.written) <= limit
    lines.now_s = 11
    lines.write('ready')
    assert len(lines.folded) <= log.MAX_REASONS + 1


def test_full_buffer_is_left_to_lines_about_state():
    """Fails if request lines fill the buffer of a reader that stands still."""
    lines = Lines()
    lines.is_buffer_full = True
    lines.write('work_refused', reason='no slot')
    lines.write('primary_changed')
    assert lines.events() == ['primary_changed']


def test_reader_that_stands_still_blocks_nothing():
    """Fails if the host waits for its log, or keeps lines without bound."""
    reader, descriptor = os.pipe()
    try:
        writer = log.BoundedWriter(descriptor)
        for _ in range(2_000):
            writer.msg('x' * 1_000)
        assert writer.buffered_bytes <= log.MAX_BUFFERED_BYTES + 1_001
        assert writer.dropped > 0
        while writer.buffered_bytes:
            os.read(reader, 65_536)
            writer._flush()
        writer.msg('after')
        data = os.read(reader, 65_536)
        while not data.endswith(b'after\n'):
            data += os.read(reader, 65_536)
        assert b'"lines_dropped"' in data
    finally:
        os.close(reader)
        os.close(descriptor)


@pytest.mark.parametrize('event', ['succession_started', 'started'])
def test_lines_about_state_are_not_folded(event):
    """Fails if two changes of one kind are taken for repeats."""
    lines = Lines()
    for _ in range(100):
        lines.write(event, reason='same')
    assert len(lines.written) == 100
