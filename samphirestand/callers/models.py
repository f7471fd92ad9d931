"""Validation of the bodies of callers' requests, and its errors."""

import dataclasses
from typing import Annotated
from typing import Literal
from typing import TypeVar

import pydantic

from samphirestand import exceptions
from samphirestand import types

DEFAULT_DEADLINE_MS = 5_000
MAX_DEADLINE_MS = 60_000

# A token of 32 services with long names takes about 4,000 characters.
MAX_TOKEN_CHARS = 8_192

REQUEST_ID_PATTERN = r'^[!-~]{1,128}$'
NAME_PATTERN = r'^[A-Za-z0-9_-]{1,64}$'
TRANSACTION_ID_PATTERN = r'^[A-Za-z0-9_.-]{1,256}$'


class BadRequest(exceptions.SamphirestandError):
    """The body isn't JSON, or a field is unknown, missing or invalid."""

    code = 'bad_request'

    def __init__(self, message: str) -> None:
        super().__init__(message, step='parse')


class BadStatement(BadRequest):
    """The statement is missing, blank or not a string."""

    code = 'bad_statement'


class BadSession(BadRequest):
    """The session token is empty, too long or not a string."""

    code = 'bad_session'


class BodyTooLarge(BadRequest):
    """The body is longer than the host accepts."""

    code = 'body_too_large'


@dataclasses.dataclass(frozen=True)
class Call:
    """A validated request; ``session`` is the token, not yet verified."""

    operation: str  # execute, begin, statement, commit, rollback
    service: str
    request_id: str
    deadline_ms: int
    statement: str = ''
    mode: types.Mode = types.Mode.WRITE
    repeatable: bool = False
    max_age_ms: int = 0
    session: str | None = None
    transaction_id: str = ''


@dataclasses.dataclass(frozen=True)
class TransactionId:
    """The parts of a transaction id that its requests are routed by."""

    service: str
    target_id: str
    host_id: str


RequestId = Annotated[str, pydantic.Field(pattern=REQUEST_ID_PATTERN)]
Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Deadline = Annotated[int, pydantic.Field(ge=1, le=MAX_DEADLINE_MS)]
SessionToken = Annotated[
    str, pydantic.Field(min_length=1, max_length=MAX_TOKEN_CHARS)
]


class EndBody(pydantic.BaseModel):
    """The body of a commit or a rollback."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    request_id: RequestId
    deadline_ms: Deadline = DEFAULT_DEADLINE_MS
    session: SessionToken | None = None


class BeginBody(EndBody):
    """The body of a request to begin a transaction."""

    service: Name


class StatementBody(BeginBody):
    """The body of a statement."""

    statement: Annotated[str, pydantic.Field(pattern=r'\S')]
    mode: Literal['read', 'write']
    repeatable: bool | None = None
    max_age_ms: Annotated[int, pydantic.Field(ge=0, le=86_400_000)] = 0
    transaction: (
        Annotated[str, pydantic.Field(pattern=TRANSACTION_ID_PATTERN)] | None
    ) = None


class OperatorBody(pydantic.BaseModel):
    """The body of an operator's command."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    command: Annotated[str, pydantic.Field(pattern=r'\S', max_length=65_536)]


BodyModel = TypeVar('BodyModel', bound=pydantic.BaseModel)


def validate_body(model: type[BodyModel], body: bytes) -> BodyModel:
    """Validate a body; raise ``BadRequest`` or the subclass for the field.

    The message names the field and the rule, never the value, which may be
    private.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        field_path = '.'.join(str(part) for part in first_error['loc'])
        message = f'{field_path or "body"}: {first_error["msg"]}'
        match first_error['loc'][:1]:
            case ('statement',):
                raise BadStatement(message) from None
            case ('session',):
                raise BadSession(message) from None
            case _:
                raise BadRequest(message) from None


def parse_statement(body: bytes) -> Call:
    """Validate the body of a statement; raise ``BadRequest``."""
    model = validate_body(StatementBody, body)
    mode = types.Mode(model.mode)
    if mode is types.Mode.WRITE and model.max_age_ms:
        raise BadRequest('max_age_ms: only a read can have an age')
    if model.transaction and model.max_age_ms:
        raise BadRequest('max_age_ms: not allowed in a transaction')
    repeatable = model.repeatable
    if repeatable is None:
        repeatable = mode is types.Mode.READ
    return Call(
        operation='statement' if model.transaction else 'execute',
        service=model.service,
        request_id=model.request_id,
        deadline_ms=model.deadline_ms,
        statement=model.statement,
        mode=mode,
        # Sent again, a statement could run twice in its transaction.
        repeatable=repeatable and not model.transaction,
        max_age_ms=model.max_age_ms,
        session=model.session,
        transaction_id=model.transaction or '',
    )


def parse_begin(body: bytes) -> Call:
    """Validate the body of a begin; raise ``BadRequest``."""
    model = validate_body(BeginBody, body)
    return Call(
        operation='begin',
        service=model.service,
        request_id=model.request_id,
        deadline_ms=model.deadline_ms,
        session=model.session,
    )


def parse_end(operation: str, transaction_id: str, body: bytes) -> Call:
    """Validate the body of a commit or rollback; raise ``BadRequest``."""
    model = validate_body(EndBody, body)
    id_parts = split_transaction_id(transaction_id)
    return Call(
        operation=operation,
        service=(
            id_parts.service if isinstance(id_parts, TransactionId) else ''
        ),
        request_id=model.request_id,
        deadline_ms=model.deadline_ms,
        session=model.session,
        transaction_id=transaction_id,
    )


def split_transaction_id(
    transaction_id: str,
) -> TransactionId | exceptions.Sentinel:
    """Split ``<service>.<target>.<gateway host id>.<random>``.

    Returns a sentinel if the id hasn't this form.
    """
    id_parts = transaction_id.split('.')
    if len(id_parts) != 4 or not all(id_parts):
        return exceptions.Sentinel('not a transaction id')
    return TransactionId(*id_parts[:3])
