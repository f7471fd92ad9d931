"""Encodes and decodes the messages between hosts."""

import dataclasses
import json
import pathlib
from typing import Any

import capnp

from samphirestand import types

capnp.remove_import_hook()
schema: Any = capnp.load(str(pathlib.Path(__file__).parent / 'peer.capnp'))

# The largest value of a duration: its fields are 32 bits wide.
UINT32_MAX = 2**32 - 1


def encode_position(position: types.Position) -> dict[str, int]:
    return {'term': position.term, 'offset': position.offset}


def decode_position(message: Any) -> types.Position:
    return types.Position(message.term, message.offset)


def _fill_position(message: Any, position: types.Position) -> None:
    message.term = position.term
    message.offset = position.offset


def encode_request(request: types.Request) -> Any:
    message = schema.Request.new_message(
        operation=request.operation,
        service=request.service,
        targetId=request.target_id,
        account=request.account,
        keyId=request.key_id,
        requestId=request.request_id,
        statement=request.statement,
        mode=request.mode.value,
        repeatable=request.repeatable,
        deadlineMs=_clamp_duration(request.deadline_ms),
        maxAgeMs=_clamp_duration(request.max_age_ms),
        transactionId=request.transaction_id,
    )
    if request.session is not None:
        _fill_position(message.session.init('position'), request.session)
    return message


def decode_request(message: Any) -> types.Request:
    """Return the request; raises ``ValueError`` if a field is unusable."""
    session = None
    if message.session.which() == 'position':
        session = decode_position(message.session.position)
    return types.Request(
        operation=message.operation,
        service=message.service,
        target_id=message.targetId,
        account=message.account,
        key_id=message.keyId,
        request_id=message.requestId,
        statement=message.statement,
        mode=types.Mode(message.mode),
        repeatable=message.repeatable,
        deadline_ms=message.deadlineMs,
        max_age_ms=message.maxAgeMs,
        session=session,
        transaction_id=message.transactionId,
    )


def encode_outcome(outcome: types.Outcome) -> Any:
    message = schema.Outcome.new_message()
    match outcome:
        case types.Done():
            _encode_done(outcome, message.init('done'))
        case types.NotRun():
            _encode_not_run(outcome, message.init('notRun'))
        case types.Unknown():
            unknown = message.init('unknown')
            unknown.code = outcome.code
            unknown.reason = _encodable(outcome.reason)
    return message


def _encode_done(outcome: types.Done, message: Any) -> None:
    message.rows = json.dumps(list(outcome.rows), separators=(',', ':'))
    if outcome.position is not None:
        _fill_position(message.position.init('at'), outcome.position)
    message.targetId = outcome.target_id
    message.role = outcome.role
    message.transactionId = outcome.transaction_id
    message.replayed = outcome.replayed
    message.ageMs = _clamp_duration(outcome.age_ms)


def _encode_not_run(outcome: types.NotRun, message: Any) -> None:
    message.code = outcome.code
    message.reason = _encodable(outcome.reason)
    if outcome.retry_after_ms is not None:
        message.retryAfterMs = outcome.retry_after_ms
    message.hint = outcome.hint


def decode_outcome(message: Any) -> types.Outcome:
    """Return the outcome; raises ``ValueError`` if its rows aren't JSON."""
    match message.which():
        case 'done':
            return _decode_done(message.done)
        case 'notRun':
            retry = message.notRun.retryAfterMs
            return types.NotRun(
                code=message.notRun.code,
                reason=message.notRun.reason,
                retry_after_ms=None if retry < 0 else retry,
                hint=message.notRun.hint,
            )
        case _:
            return types.Unknown(message.unknown.code, message.unknown.reason)


def _decode_done(message: Any) -> types.Done:
    position = None
    if message.position.which() == 'at':
        position = decode_position(message.position.at)
    return types.Done(
        rows=tuple(json.loads(message.rows)),
        position=position,
        target_id=message.targetId,
        role=message.role,
        transaction_id=message.transactionId,
        replayed=message.replayed,
        age_ms=message.ageMs,
    )


def encode_state(state: types.TargetState) -> Any:
    return schema.TargetState.new_message(
        server=state.server,
        term=state.term,
        role=state.role,
        starts=[
            {'term': term, 'offset': offset}
            for term, offset in state.history.starts
        ],
        end=state.history.end,
        primaryUrl=state.primary_url,
    )


def decode_state(message: Any) -> types.TargetState:
    starts = tuple((each.term, each.offset) for each in message.starts)
    return types.TargetState(
        server=message.server,
        term=message.term,
        role=message.role,
        history=types.History(starts, message.end),
        primary_url=message.primaryUrl,
    )


def encode_change(row: types.ChangeRow) -> dict[str, Any]:
    document = json.dumps(dataclasses.asdict(row), separators=(',', ':'))
    return {'version': row.version, 'document': document}


def decode_change(message: Any) -> types.ChangeRow:
    """Return the row.

    Raises ``ValueError`` if the message doesn't hold a row of configuration
    changes, or names another version than the row does.
    """
    document = json.loads(message.document)
    try:
        row = types.ChangeRow(**document)
    except TypeError as error:
        raise ValueError(f'not a configuration change: {error}') from error
    if row.version != message.version:
        raise ValueError('version differs from the stored row')
    return row


def describe(error: Exception) -> str:
    """Return one line that describes ``error``.

    It leaves out the memory addresses that the library adds.
    """
    text = getattr(error, 'description', '') or str(error)
    return f'{type(error).__name__}: {text}'.partition('\n')[0]


def _encodable(reason: str) -> str:
    """Replace lone surrogates, which UTF-8 can't encode.

    A reason may quote a statement that holds them.
    """
    return reason.encode(errors='replace').decode()


def _clamp_duration(duration_ms: int) -> int:
    return min(max(duration_ms, 0), UINT32_MAX)


async def wait_for_promise(promise: Any) -> Any:
    """Wrap a promise of the library in a coroutine, which tasks need."""
    return await promise
