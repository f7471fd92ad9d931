"""Tests of the validation of request bodies."""

import json

import pytest

from samphirestand.callers import models
from samphirestand import types

VALID_BODY = {
    'service': 's',
    'statement': 'GET x',
    'mode': 'read',
    'request_id': 'r1',
}


def body_with(**fields):
    """Return a valid body with changed fields; None removes a field."""
    document = {**VALID_BODY, **fields}
    kept = {key: value for key, value in document.items() if value is not None}
    return json.dumps(kept).encode()


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (b'', 'bad_request'),
        (b'{', 'bad_request'),
        (b'[]', 'bad_request'),
        (b'null', 'bad_request'),
        (b'\xff\xfe{}', 'bad_request'),
        (b'[' * 100_000, 'bad_request'),
        (b'{"service": "\\ud800"}', 'bad_request'),
        (body_with(service=None), 'bad_request'),
        (body_with(service='a/b'), 'bad_request'),
        (body_with(service=7), 'bad_request'),
        (body_with(mode='delete'), 'bad_request'),
        (body_with(mode=None), 'bad_request'),
        (body_with(request_id=''), 'bad_request'),
        (body_with(request_id='a b'), 'bad_request'),
        (body_with(request_id='a\n'), 'bad_request'),
        (body_with(request_id='a' * 129), 'bad_request'),
        (body_with(deadline_ms=0), 'bad_request'),
        (body_with(deadline_ms=60_001), 'bad_request'),
        (body_with(deadline_ms='5000'), 'bad_request'),
        (body_with(deadline_ms=1.5), 'bad_request'),
        (body_with(deadline_ms=True), 'bad_request'),
        (body_with(repeatable='yes'), 'bad_request'),
        (body_with(max_age_ms=-1), 'bad_request'),
        (body_with(max_age_ms=5, mode='write'), 'bad_request'),
        (body_with(max_age_ms=5, transaction='s.t.h.r'), 'bad_request'),
        (body_with(transaction='a b'), 'bad_request'),
        (body_with(surprise=1), 'bad_request'),
        (body_with(statement=None), 'bad_statement'),
        (body_with(statement=''), 'bad_statement'),
        (body_with(statement=' \n'), 'bad_statement'),
        (body_with(statement=['GET']), 'bad_statement'),
        (body_with(session=''), 'bad_session'),
        (body_with(session=5), 'bad_session'),
        (body_with(session='x' * 9_000), 'bad_session'),
    ],
)
def test_bad_body(body, code):
    """Guards against invalid bodies that are accepted or get a wrong code."""
    with pytest.raises(models.BadRequest) as raised:
        models.parse_statement(body)
    assert raised.value.code == code


def test_error_does_not_repeat_the_value():
    """Guards against private values that reach answers and logs."""
    with pytest.raises(models.BadRequest) as raised:
        models.parse_statement(body_with(mode='hunter2'))
    assert 'hunter2' not in raised.value.message


@pytest.mark.parametrize(
    ('fields', 'repeatable'),
    [
        ({}, True),
        ({'mode': 'write'}, False),
        ({'repeatable': False}, False),
        ({'mode': 'write', 'repeatable': True}, True),
        ({'repeatable': True, 'transaction': 's.t.h.r'}, False),
    ],
)
def test_repeatable(fields, repeatable):
    """Guards against a write that is repeatable by default."""
    assert models.parse_statement(body_with(**fields)).repeatable is repeatable


def test_defaults():
    """Guards against defaults that differ from the documented ones."""
    call = models.parse_statement(body_with())
    assert call.deadline_ms == 5_000
    assert call.max_age_ms == 0
    assert call.mode is types.Mode.READ
    assert call.operation == 'execute'


@pytest.mark.parametrize('text', ['', 's', 's.t.h', 's.t.h.r.x', 's..h.r'])
def test_malformed_transaction_id(text):
    """Guards against routing by an invalid transaction id."""
    assert not models.split_transaction_id(text)
