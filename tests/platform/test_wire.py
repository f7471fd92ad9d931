"""Tests of the codec of the line protocol."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirestand.platform import wire
from samphirestand import statements
from samphirestand import types


@pytest.mark.parametrize(
    ('line', 'request_'),
    [
        (b'STARTUP db key', wire.Startup('db', 'key')),
        (b'STARTUP db', wire.Startup('db', '')),
        (b'QUERY 5c READ a b', wire.Query('5c', 'READ a b')),
        (b'TERMINATE', wire.Terminate()),
    ],
)
def test_request_is_decoded(line, request_):
    assert wire.decode_request(line) == request_


@pytest.mark.parametrize('line', [b'', b'QUERY', b'QUERY 1', b'\xff', b'HI x'])
def test_invalid_request_is_malformed(line):
    assert isinstance(wire.decode_request(line), wire.Malformed)


@pytest.mark.parametrize(
    ('text', 'statement'),
    [
        ('BEGIN', statements.Begin(read_only=False)),
        ('BEGIN READ', statements.Begin(read_only=True)),
        ('COMMIT', statements.Commit()),
        ('ROLLBACK', statements.Rollback()),
        ('READ 1a4', statements.Read('1a4')),
        ('WRITE 1a4 x y', statements.Write('1a4', 'x y')),
        ('SET a b c', statements.SetValue('a', 'b c')),
        (
            'PARSE s1 WRITE q2c',
            statements.Prepare('s1', types.Mode.WRITE, 'q2c'),
        ),
        ('EXECUTE s1 1a4 x', statements.Execute('s1', '1a4 x')),
        ('CLOSE s1', statements.Deallocate('s1')),
        ('WAITLSN 3.1 READ a', None),
        ('PARSE s1 OTHER q', None),
        ('BEGIN WRITE', None),
        ('DROP', None),
        ('', None),
    ],
)
def test_statement_is_decoded(text, statement):
    assert wire.decode_statement(text) == statement


@pytest.mark.parametrize(
    ('line', 'answer'),
    [
        (b'DATAROW a b', wire.Row('a b')),
        (b'COMPLETE 7.1f', wire.Complete('7.1f')),
        (b'ERROR BUSY i-1 x', wire.Error('BUSY', 'i-1 x')),
        (b'READY I 3.7', wire.Ready('I', types.Position(3, 7))),
        (b'READY T -', wire.Ready('T', None)),
        (b'HELLO', None),
        (b'\xff', None),
    ],
)
def test_answer_is_decoded(line, answer):
    assert wire.decode_answer(line) == answer


def test_status_is_decoded():
    status = wire.decode_status('replica 3 3.1209 4 12 2 17')
    assert status == wire.Status(
        False, 3, types.Position(3, 1209), 4, 12, 2, 17
    )


@pytest.mark.parametrize('data', ['', 'primary', 'king 1 1.1 0 0 0 0', 'x'])
def test_malformed_status_is_rejected(data):
    assert wire.decode_status(data) is None


def test_error_text_stays_on_one_line():
    """Fails if a line break in an error's text can inject a message."""
    assert wire.encode_error('BUSY', 'a\r\nREADY I -').count(b'\r\n') == 1


@hypothesis.given(strategies.binary(max_size=300))
def test_random_lines_raise_no_exception(data):
    """Fails if malformed input raises and so ends a session's task."""
    request = wire.decode_request(data)
    if isinstance(request, wire.Query):
        wire.decode_statement(request.text)
    wire.decode_answer(data)


@hypothesis.given(
    strategies.lists(strategies.sampled_from([b'a', b'\r', b'\n', b'\r\n'])),
    strategies.data(),
)
def test_pieces_of_messages_give_the_same_lines(parts, data):
    """Fails if lines depend on how the bytes were cut into pieces."""
    whole = b''.join(parts)
    connection = wire.Connection()
    start = 0
    while start < len(whole):
        end = start + data.draw(strategies.integers(1, 3))
        connection.data_received(whole[start:end])
        start = end
    expected = whole.split(b'\r\n')
    assert list(connection._lines) == expected[:-1]
    assert connection._partial == expected[-1]
