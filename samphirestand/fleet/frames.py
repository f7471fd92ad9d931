"""Frames between hosts: data classes, codec and framing."""

import dataclasses
import pathlib
from typing import Any

import capnp

from samphirestand import catalog
from samphirestand import exceptions
from samphirestand import node_settings
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'Abandon',
    'Claims',
    'Deposit',
    'Frame',
    'Hello',
    'OutcomeFrame',
    'Ping',
    'Pong',
    'Snapshot',
    'SnapshotRequest',
    'TokenAnswer',
    'TokenRequest',
    'WorkFrame',
    'decode',
    'encode',
    'split',
]

capnp.remove_import_hook()
_schema: Any = capnp.load(str(pathlib.Path(__file__).parent / 'frames.capnp'))

# Four bytes of length go before each frame.
LENGTH_BYTES = 4

# The largest message of a caller and the fields around it; a configuration
# is smaller.
MAX_FRAME_BYTES = 4_194_304

UINT32_MAX = 2**32 - 1


@dataclasses.dataclass(frozen=True)
class Hello:
    """The first frame of a connection: who dialled."""

    host_id: str
    zone: str
    address: str
    port: int
    incarnation: int
    capacity: node_settings.Capacity = node_settings.Capacity()


@dataclasses.dataclass(frozen=True)
class WorkFrame:
    """A statement for the gateway on the receiving host."""

    call: int
    work: work_module.Work


@dataclasses.dataclass(frozen=True)
class OutcomeFrame:
    """The gateway's answer to the statement with the same number."""

    call: int
    outcome: work_module.Outcome


@dataclasses.dataclass(frozen=True)
class Deposit:
    """Rate tokens handed to the host that collects them."""

    account: str
    millitokens: int


@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks whether a host is alive; tells what changed."""

    sequence: int
    is_draining: bool
    catalog_version: int
    deposits: tuple[Deposit, ...] = ()


@dataclasses.dataclass(frozen=True)
class Pong:
    """The answer to the ping with the same number."""

    sequence: int
    is_draining: bool
    catalog_version: int
    reaches_store: bool = True


@dataclasses.dataclass(frozen=True)
class TokenRequest:
    """Asks the collecting host for rate tokens.

    Nothing is given if there are fewer than ``least`` thousandths.
    """

    call: int
    account: str
    millitokens: int
    least: int


@dataclasses.dataclass(frozen=True)
class TokenAnswer:
    """The tokens that were given."""

    call: int
    millitokens: int


@dataclasses.dataclass(frozen=True)
class SnapshotRequest:
    """Asks a host for the operators' configuration that it has."""

    call: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The operators' configuration as it stands in the store."""

    call: int
    catalog_version: int
    catalog: bytes


@dataclasses.dataclass(frozen=True)
class Abandon:
    """Asks the gateway to roll back a transaction of the sender."""

    transaction: int


@dataclasses.dataclass(frozen=True)
class Claims:
    """The services whose gateway the sender is, all of them.

    The value is the zone of the service's primary.
    """

    zones_by_service: dict[str, str]


Frame = (
    Hello
    | WorkFrame
    | OutcomeFrame
    | Ping
    | Pong
    | TokenRequest
    | TokenAnswer
    | SnapshotRequest
    | Snapshot
    | Abandon
    | Claims
)


def encode(frame: Frame) -> bytes:
    """Encode a frame with its length in front."""
    message = _schema.Frame.new_message()
    match frame:
        case WorkFrame():
            _fill_work(message.init('work'), frame)
        case OutcomeFrame():
            _fill_outcome(message.init('outcome'), frame)
        case Ping():
            part = message.init('ping')
            part.sequence = frame.sequence
            part.isDraining = frame.is_draining
            part.catalogVersion = frame.catalog_version
            deposits = part.init('deposits', len(frame.deposits))
            for entry, deposit in zip(deposits, frame.deposits, strict=True):
                entry.account = deposit.account
                entry.amount = min(deposit.millitokens, UINT32_MAX)
        case Pong():
            part = message.init('pong')
            part.sequence = frame.sequence
            part.isDraining = frame.is_draining
            part.catalogVersion = frame.catalog_version
            part.reachesStore = frame.reaches_store
        case TokenRequest():
            part = message.init('tokenRequest')
            part.call = frame.call
            part.account = frame.account
            part.amount = frame.millitokens
            part.least = frame.least
        case TokenAnswer():
            part = message.init('tokenAnswer')
            part.call = frame.call
            part.amount = frame.millitokens
        case SnapshotRequest():
            message.init('snapshotRequest').call = frame.call
        case Snapshot():
            part = message.init('snapshot')
            part.call = frame.call
            part.catalogVersion = frame.catalog_version
            part.catalog = frame.catalog
        case Abandon():
            message.init('abandon').call = frame.transaction
        case Claims():
            zones = frame.zones_by_service
            claims = message.init('claims').init('claims', len(zones))
            for claim, (service, zone) in zip(
                claims, zones.items(), strict=True
            ):
                claim.service = service
                claim.zone = zone
        case Hello():
            part = message.init('hello')
            part.hostId = frame.host_id
            part.zone = frame.zone
            part.address = frame.address
            part.port = frame.port
            part.incarnation = frame.incarnation
            part.millicores = frame.capacity.millicores
            part.linkKbps = frame.capacity.link_kbps
    body: bytes = message.to_bytes_packed()
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def split(buffer: bytearray) -> list[bytes]:
    """Remove all whole frames from ``buffer`` and return their bodies.

    Raises ``HostError`` if a frame is longer than the limit.
    """
    bodies = []
    start = 0
    while len(buffer) - start >= LENGTH_BYTES:
        body_start = start + LENGTH_BYTES
        length = int.from_bytes(buffer[start:body_start], 'big')
        if length > MAX_FRAME_BYTES:
            raise exceptions.HostError(
                f'a frame of {length} bytes', step='read frame'
            )
        if len(buffer) < body_start + length:
            break
        bodies.append(bytes(buffer[body_start : body_start + length]))
        start = body_start + length
    del buffer[:start]
    return bodies


def decode(body: bytes) -> Frame:
    """Decode a frame's body; raises ``HostError``."""
    try:
        return _decode(_schema.Frame.from_bytes_packed(body))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise exceptions.HostError(
            f'malformed frame: {error}', step='read frame'
        ) from error


def _decode(message: Any) -> Frame:
    match str(message.which()):
        case 'work':
            return _work(message.work)
        case 'outcome':
            return _outcome(message.outcome)
        case 'ping':
            part = message.ping
            deposits = tuple(
                Deposit(each.account, each.amount) for each in part.deposits
            )
            return Ping(
                part.sequence, part.isDraining, part.catalogVersion, deposits
            )
        case 'pong':
            part = message.pong
            return Pong(
                part.sequence,
                part.isDraining,
                part.catalogVersion,
                part.reachesStore,
            )
        case 'tokenRequest':
            part = message.tokenRequest
            return TokenRequest(
                part.call, part.account, part.amount, part.least
            )
        case 'tokenAnswer':
            return TokenAnswer(
                message.tokenAnswer.call, message.tokenAnswer.amount
            )
        case 'snapshotRequest':
            return SnapshotRequest(message.snapshotRequest.call)
        case 'snapshot':
            part = message.snapshot
            return Snapshot(
                part.call, part.catalogVersion, bytes(part.catalog)
            )
        case 'abandon':
            return Abandon(message.abandon.call)
        case 'claims':
            return Claims(
                {each.service: each.zone for each in message.claims.claims}
            )
        case 'hello':
            part = message.hello
            return Hello(
                part.hostId,
                part.zone,
                part.address,
                part.port,
                part.incarnation,
                node_settings.Capacity(part.millicores, part.linkKbps),
            )
        case other:
            raise ValueError(f'unknown frame {other}')


def _fill_work(part: Any, frame: WorkFrame) -> None:
    work = frame.work
    part.call = frame.call
    part.requestId = work.request_id
    part.text = work.text
    part.stage = work.stage.value
    part.service = work.service
    part.account = work.account
    part.consistency = work.consistency.value
    part.maxAgeMs = work.max_age_ms
    part.writes = work.writes
    part.budgetMs = max(0, work.budget_ms)
    part.objectiveMs = work.objective_ms
    part.priority = work.priority
    part.transaction = work.transaction
    part.beginId = work.begin_id
    part.beginText = work.begin_text
    part.readOnly = work.read_only
    part.commits = work.commits
    part.wroteBefore = work.wrote_before
    if work.values:
        pairs = part.init('values', len(work.values))
        for pair, (name, value) in zip(pairs, work.values, strict=True):
            pair.name = name
            pair.value = value
    if work.mode is not None:
        part.mode = work.mode.value
        part.shape = work.shape
        part.arguments = work.arguments
    _fill_position(part.sessionPosition, work.session_position)


def _work(part: Any) -> WorkFrame:
    work = work_module.Work(
        request_id=part.requestId,
        text=part.text,
        stage=work_module.Stage(part.stage),
        service=part.service,
        account=part.account,
        consistency=catalog.Consistency(part.consistency),
        max_age_ms=part.maxAgeMs,
        writes=part.writes,
        budget_ms=part.budgetMs,
        objective_ms=part.objectiveMs,
        priority=part.priority,
        transaction=part.transaction,
        begin_id=part.beginId,
        begin_text=part.beginText,
        read_only=part.readOnly,
        commits=part.commits,
        wrote_before=part.wroteBefore,
        values=tuple((each.name, each.value) for each in part.values),
        mode=types.Mode(part.mode) if part.mode else None,
        shape=part.shape,
        arguments=part.arguments,
        session_position=_position(part.sessionPosition),
    )
    return WorkFrame(part.call, work)


def _fill_outcome(part: Any, frame: OutcomeFrame) -> None:
    part.call = frame.call
    match frame.outcome:
        case work_module.Answered() as outcome:
            part.targetId = outcome.target_id
            _fill_position(part.position, outcome.position)
            group = part.init('answered')
            group.rows = list(outcome.rows)
            group.signature = outcome.signature
        case work_module.Failed() as outcome:
            part.targetId = outcome.target_id
            _fill_position(part.position, outcome.position)
            group = part.init('failed')
            group.code = outcome.code
            group.text = outcome.text
        case work_module.Refused() as outcome:
            group = part.init('refused')
            group.code = outcome.code
            group.reason = outcome.reason
            group.retryAfterMs = outcome.retry_after_ms
        case work_module.Lost() as outcome:
            group = part.init('lost')
            group.reason = outcome.reason
            group.timedOut = outcome.timed_out


def _outcome(part: Any) -> OutcomeFrame:
    outcome: work_module.Outcome
    match str(part.which()):
        case 'answered':
            outcome = work_module.Answered(
                rows=tuple(part.answered.rows),
                signature=part.answered.signature,
                position=_position(part.position),
                target_id=part.targetId,
            )
        case 'failed':
            outcome = work_module.Failed(
                code=part.failed.code,
                text=part.failed.text,
                position=_position(part.position),
                target_id=part.targetId,
            )
        case 'refused':
            outcome = work_module.Refused(
                part.refused.code,
                part.refused.reason,
                part.refused.retryAfterMs,
            )
        case _:
            outcome = work_module.Lost(part.lost.reason, part.lost.timedOut)
    return OutcomeFrame(part.call, outcome)


def _fill_position(part: Any, position: types.Position | None) -> None:
    if position is None:
        return
    part.term = position.term
    part.offset = position.offset
    part.isKnown = True


def _position(part: Any) -> types.Position | None:
    if not part.isKnown:
        return None
    return types.Position(part.term, part.offset)
