"""Border models of callers' requests and the errors of bad input."""

import dataclasses
from typing import Annotated
from typing import Literal
from typing import TypeVar

import pydantic

from samphirestand import exceptions
from samphirestand import types

DEFAULT_DEADLINE_MS = 5_000
LONGEST_DEADLINE_MS = 60_000

# A token of 32 services with long names takes about 4,000 characters.
LONGEST_TOKEN = 8_192

REQUEST_ID_PATTERN = r'^[!-~]{1,128}$'
NAME_PATTERN = r'^[A-Za-z0-9_-]{1,64}$'
TRANSACTION_ID_PATTERN = r'^[A-Za-z0-9_.-]{1,256}$'


class BadRequest(exceptions.SamphirestandError):
    """The body isn't JSON, or one of its fields isn't allowed."""

    code = 'bad_request'

    def __init__(self, message: str) -> None:
        super().__init__(message, step='parse')


class BadStatement(BadRequest):
    """The statement is missing, empty or not a text."""

    code = 'bad_statement'


class BadSession(BadRequest):
    """The session token isn't one that a host of this fleet signed."""

    code = 'bad_session'


class BodyTooLarge(BadRequest):
    """The body is longer than the host accepts."""

    code = 'body_too_large'


@dataclasses.dataclass(frozen=True)
class Call:
    """A checked request of a caller; ``session`` is the token as it came."""

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
    """The parts of a transaction id that route it."""

    service: str
    target_id: str
    host_id: str


RequestId = Annotated[str, pydantic.Field(pattern=REQUEST_ID_PATTERN)]
Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Deadline = Annotated[int, pydantic.Field(ge=1, le=LONGEST_DEADLINE_MS)]
Token = Annotated[str, pydantic.Field(min_length=1, max_length=LONGEST_TOKEN)]


class EndBody(pydantic.BaseModel):
    """The body of a commit or a rollback."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    request_id: RequestId
    deadline_ms: Deadline = DEFAULT_DEADLINE_MS
    session: Token | None = None


class BeginBody(EndBody):
    """The body of the begin of a transaction."""

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


def parse(model: type[BodyModel], body: bytes) -> BodyModel:
    """Check a body; raises ``BadRequest`` or the subclass for the field.

    The message names the field and the rule, never the value, which may be
    private.
    """
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        place = '.'.join(str(part) for part in first['loc'])
        message = f'{place or "body"}: {first["msg"]}'
        match first['loc'][:1]:
            case ('statement',):
                raise BadStatement(message) from None
            case ('session',):
                raise BadSession(message) from None
            case _:
                raise BadRequest(message) from None


def parse_statement(body: bytes) -> Call:
    """Check the body of a statement; raises ``BadRequest``."""
    model = parse(StatementBody, body)
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
        # A repeated statement of a transaction would run twice in it.
        repeatable=repeatable and not model.transaction,
        max_age_ms=model.max_age_ms,
        session=model.session,
        transaction_id=model.transaction or '',
    )


def parse_begin(body: bytes) -> Call:
    """Check the body of a begin; raises ``BadRequest``."""
    model = parse(BeginBody, body)
    return Call(
        operation='begin',
        service=model.service,
        request_id=model.request_id,
        deadline_ms=model.deadline_ms,
        session=model.session,
    )


def parse_end(operation: str, transaction_id: str, body: bytes) -> Call:
    """Check the body of a commit or rollback; raises ``BadRequest``."""
    model = parse(EndBody, body)
    parts = split_transaction_id(transaction_id)
    return Call(
        operation=operation,
        service=(parts.service if isinstance(parts, TransactionId) else ''),
        request_id=model.request_id,
        deadline_ms=model.deadline_ms,
        session=model.session,
        transaction_id=transaction_id,
    )


def split_transaction_id(
    transaction_id: str,
) -> TransactionId | exceptions.Sentinel:
    """Return the parts ``<service>.<target>.<gateway host id>.<random>``."""
    parts = transaction_id.split('.')
    if len(parts) != 4 or not all(parts):
        return exceptions.Sentinel('not a transaction id')
    return TransactionId(*parts[:3])
