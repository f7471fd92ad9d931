"""Frames, the messages between hosts: data classes, codec and framing."""

import dataclasses
import itertools
import pathlib
from typing import Any

import capnp

from samphirestand import catalog
from samphirestand import exceptions
from samphirestand.fleet import deflation
from samphirestand import node_settings
from samphirestand import types
from samphirestand import work as work_module

__all__ = [
    'Abandon',
    'Claims',
    'Deposit',
    'Directory',
    'DirectoryRequest',
    'ExplainRequest',
    'Explanation',
    'Frame',
    'Hello',
    'Observation',
    'OutcomeFrame',
    'Ping',
    'Pong',
    'Snapshot',
    'SolePrimary',
    'SnapshotRequest',
    'TokenAnswer',
    'TokenRequest',
    'Withdraw',
    'WorkFrame',
    'decode',
    'encode',
    'extract_bodies',
]

capnp.remove_import_hook()
_schema: Any = capnp.load(str(pathlib.Path(__file__).parent / 'frames.capnp'))

# Each frame is preceded by its length as a big-endian integer.
LENGTH_PREFIX_BYTES = 4

# Enough for the largest message of a caller and the other fields of its frame;
# a configuration is smaller.
MAX_FRAME_BYTES = 4_194_304

# A packed frame may expand to a multiple of its length. Text doesn't shrink,
# so that a legal frame stays below this; a longer one isn't unpacked.
MAX_UNPACKED_BYTES = 4 * MAX_FRAME_BYTES
WORD_BYTES = 8

# The most entries of a list that has one for each account, service or target
# of the fleet: three times the services of the largest fleet.
MAX_LIST_ENTRIES = 16_384

UINT32_MAX = 2**32 - 1

# More evacuated zones than that aren't decoded.
MAX_EVACUATED_ZONES = 1_000
# An explanation has some hundred bytes for each of at most 64 targets.
MAX_EXPLANATION_BYTES = 262_144
# Limits of targets that are read from one observation; a service has three
# targets.
MAX_LIMITS = 64


@dataclasses.dataclass(frozen=True)
class Hello:
    """The first frame of a connection: describes the host that opened it.

    ``incarnation`` is the wall time of the process's start; it tells the
    processes of a host apart.
    """

    host_id: str
    zone: str
    address: str
    port: int
    incarnation: int
    capacity: node_settings.Capacity = node_settings.Capacity()


@dataclasses.dataclass(frozen=True)
class WorkFrame:
    """A statement that the gateway on the receiving host shall run."""

    call_id: int
    work: work_module.Work


@dataclasses.dataclass(frozen=True)
class OutcomeFrame:
    """The gateway's answer to the ``WorkFrame`` with the same call id."""

    call_id: int
    outcome: work_module.Outcome


@dataclasses.dataclass(frozen=True)
class Deposit:
    """Rate tokens of an account, moved to the host that holds its pool."""

    account: str
    millitokens: int


@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks whether a host is alive, and reports the sender's state to it."""

    sequence: int
    is_draining: bool
    catalog_version: int
    deposits: tuple[Deposit, ...] = ()


@dataclasses.dataclass(frozen=True)
class SolePrimary:
    """Evidence that nothing could replace the primary of a term.

    It holds for the moment ``age_ms`` before the sending: a replica wasn't
    paused then, and no order to promote another target was under way.
    """

    term: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class Observation:
    """What a gateway tells the host that may succeed it.

    ``position`` covers all commits of the service until a moment ``age_ms``
    before the sending; None if no such position is known. ``limits_by_start``
    are the limits of the targets that get fewer statements than they have
    slots.
    """

    service: str
    position: types.Position | None
    age_ms: int
    sole_primary: SolePrimary | None = None
    limits_by_start: dict[catalog.TargetStart, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Pong:
    """The answer to the ping with the same sequence number.

    No version newer than ``catalog_version`` was published earlier than
    ``catalog_age_ms`` before the sending; None if nothing is known.
    """

    sequence: int
    is_draining: bool
    catalog_version: int
    reaches_store: bool = True
    fleet_digest: int = 0  # of the job hosts; 0 if the sender tells none
    observations: tuple[Observation, ...] = ()  # of the sender's gateways
    catalog_age_ms: int | None = None
    # Of what the sender knows of evacuated zones.
    evacuation_version: int = 0
    evacuation_digest: int = 0
    reads_deflated: bool = True  # hosts of earlier releases don't
    answers_directory: bool = True  # those of earlier releases don't
    return_digest: int = 0  # of the zones that returned lately
    answers_explain: bool = True  # those of earlier releases don't


@dataclasses.dataclass(frozen=True)
class TokenRequest:
    """Asks the host that holds an account's token pool for rate tokens.

    It grants up to ``millitokens``, or none if the pool holds fewer than
    ``min_millitokens``.
    """

    call_id: int
    account: str
    millitokens: int
    min_millitokens: int


@dataclasses.dataclass(frozen=True)
class TokenAnswer:
    """The tokens that were granted for the request with the same call id."""

    call_id: int
    millitokens: int


@dataclasses.dataclass(frozen=True)
class SnapshotRequest:
    """Asks a host for the operators' configuration that it holds.

    With ``omits_catalog``, only evacuated zones are asked for.
    """

    call_id: int
    omits_catalog: bool = False
    reads_deflated: bool = True  # hosts of earlier releases don't


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The operators' configuration, as the bytes of its row in the store.

    ``call_id`` is 0 if it was not requested. Ages of evacuations in ms, as of
    a version of the store; version 0 if the sender knows nothing of them.
    """

    call_id: int
    catalog_version: int
    catalog: bytes
    evacuation_version: int = 0
    evacuation_ages_by_zone: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    # How long ago evacuations were revoked.
    return_ages_by_zone: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class DirectoryRequest:
    """Asks a job host for the directory of job hosts."""

    call_id: int


@dataclasses.dataclass(frozen=True)
class Directory:
    """The directory of job hosts, as its row in the store would be.

    The value is empty if the sender hasn't read the rows of all hosts.
    """

    call_id: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class ExplainRequest:
    """Asks the host of a gateway what it would do with new work.

    Nothing changes there by the question.
    """

    call_id: int
    work: work_module.Work


@dataclasses.dataclass(frozen=True)
class Explanation:
    """The answer to an ``ExplainRequest``; see ``gateway.explanation``."""

    call_id: int
    document: bytes


@dataclasses.dataclass(frozen=True)
class Abandon:
    """Asks a gateway to roll back a transaction that the sender opened."""

    transaction: int


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Says that nobody waits for the answer to the work of a call any more.

    It is dropped if it waits; what was sent to a target goes on. The answer
    comes in any case.
    """

    call_id: int


@dataclasses.dataclass(frozen=True)
class Claims:
    """The complete list of services whose gateway the sender is.

    The value is the zone of the service's primary. The departures are those
    of targets of these services that promotions need not wait for, each with
    a moment at which the target was absent from the registry.
    ``takes_withdrawals`` tells whether the sender knows ``Withdraw``.

    ``places_by_demand`` tells whether it places gateways by demand. If so, it
    tells the demand of its services, in statements per second, as far as it
    is known, and to which hosts it hands gateways over.
    """

    zones_by_service: dict[str, str]
    settled_departures: dict[catalog.TargetStart, catalog.RegistryMoment] = (
        dataclasses.field(default_factory=dict)
    )
    takes_withdrawals: bool = False
    places_by_demand: bool = False
    demands_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    successors_by_service: dict[str, str] = dataclasses.field(
        default_factory=dict
    )


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
    | Withdraw
    | Claims
    | DirectoryRequest
    | Directory
    | ExplainRequest
    | Explanation
)


def encode(frame: Frame, reads_deflated: bool = False) -> bytes:
    """Encode a frame, preceded by its length.

    ``reads_deflated`` tells whether the receiver reads compressed snapshots.
    """
    message = _schema.Frame.new_message()
    match frame:
        case WorkFrame():
            _fill_work(message.init('work'), frame)
        case ExplainRequest():
            _fill_work(message.init('explainRequest'), frame)
        case Explanation():
            builder = message.init('explanation')
            builder.call = frame.call_id
            builder.document = frame.document
        case OutcomeFrame():
            _fill_outcome(message.init('outcome'), frame)
        case Ping():
            builder = message.init('ping')
            builder.sequence = frame.sequence
            builder.isDraining = frame.is_draining
            builder.catalogVersion = frame.catalog_version
            deposits = builder.init('deposits', len(frame.deposits))
            for entry, deposit in zip(deposits, frame.deposits, strict=True):
                entry.account = deposit.account
                entry.amount = min(deposit.millitokens, UINT32_MAX)
        case Pong():
            builder = message.init('pong')
            builder.sequence = frame.sequence
            builder.isDraining = frame.is_draining
            builder.catalogVersion = frame.catalog_version
            builder.reachesStore = frame.reaches_store
            builder.fleetDigest = frame.fleet_digest
            observations = builder.init(
                'observations', len(frame.observations)
            )
            for item, observation in zip(
                observations, frame.observations, strict=True
            ):
                item.service = observation.service
                item.ageMs = observation.age_ms
                if observation.sole_primary is not None:
                    item.soleTerm = observation.sole_primary.term
                    item.soleAgeMs = min(
                        observation.sole_primary.age_ms, UINT32_MAX
                    )
                _fill_position(item.position, observation.position)
                _fill_limits(item, observation.limits_by_start)
            if frame.catalog_age_ms is not None:
                builder.isCatalogConfirmed = True
                builder.catalogAgeMs = min(frame.catalog_age_ms, UINT32_MAX)
            builder.evacuationVersion = frame.evacuation_version
            builder.evacuationDigest = frame.evacuation_digest
            builder.readsDeflated = frame.reads_deflated
            builder.answersDirectory = frame.answers_directory
            builder.returnDigest = frame.return_digest
            builder.answersExplain = frame.answers_explain
        case TokenRequest():
            builder = message.init('tokenRequest')
            builder.call = frame.call_id
            builder.account = frame.account
            builder.amount = frame.millitokens
            builder.least = frame.min_millitokens
        case TokenAnswer():
            builder = message.init('tokenAnswer')
            builder.call = frame.call_id
            builder.amount = frame.millitokens
        case SnapshotRequest():
            builder = message.init('snapshotRequest')
            builder.call = frame.call_id
            builder.omitsCatalog = frame.omits_catalog
            builder.readsDeflated = frame.reads_deflated
        case Snapshot():
            builder = message.init('snapshot')
            builder.call = frame.call_id
            builder.catalogVersion = frame.catalog_version
            builder.catalog = (
                deflation.deflate(frame.catalog)
                if reads_deflated
                else frame.catalog
            )
            builder.isDeflated = reads_deflated
            builder.evacuationVersion = frame.evacuation_version
            for name, ages in (
                ('evacuatedZones', frame.evacuation_ages_by_zone),
                ('returnedZones', frame.return_ages_by_zone),
            ):
                zones = builder.init(name, len(ages))
                for entry, (zone, age_ms) in zip(
                    zones, ages.items(), strict=True
                ):
                    entry.name = zone
                    entry.ageMs = min(age_ms, UINT32_MAX)
        case DirectoryRequest():
            message.init('directoryRequest').call = frame.call_id
        case Directory():
            builder = message.init('directory')
            builder.call = frame.call_id
            builder.value = frame.value
        case Abandon():
            message.init('abandon').call = frame.transaction
        case Withdraw():
            message.init('withdraw').call = frame.call_id
        case Claims():
            zones = frame.zones_by_service
            builder = message.init('claims')
            claims = builder.init('claims', len(zones))
            for claim, (service, zone) in zip(
                claims, zones.items(), strict=True
            ):
                claim.service = service
                claim.zone = zone
            builder.takesWithdrawals = frame.takes_withdrawals
            _fill_placement(builder, frame)
            settled = sorted(frame.settled_departures.items())
            departures = builder.init('settledDepartures', len(settled))
            for departure, (start, moment) in zip(
                departures, settled, strict=True
            ):
                departure.targetId = start.target_id
                departure.startedMs = start.started_ms
                departure.era = moment.era
                departure.version = moment.version
        case Hello():
            builder = message.init('hello')
            builder.hostId = frame.host_id
            builder.zone = frame.zone
            builder.address = frame.address
            builder.port = frame.port
            builder.incarnation = frame.incarnation
            builder.millicores = frame.capacity.millicores
            builder.linkKbps = frame.capacity.link_kbps
    body: bytes = message.to_bytes_packed()
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body


def extract_bodies(buffer: bytearray) -> list[bytes]:
    """Remove all complete frames from ``buffer`` and return their bodies.

    Raises ``HostError`` if a frame is longer than ``MAX_FRAME_BYTES``.
    """
    bodies = []
    start = 0
    while len(buffer) - start >= LENGTH_PREFIX_BYTES:
        body_start = start + LENGTH_PREFIX_BYTES
        length = int.from_bytes(buffer[start:body_start], 'big')
        if length > MAX_FRAME_BYTES:
            raise exceptions.HostError(
                f'frame of {length} bytes is too long', step='read frame'
            )
        if len(buffer) < body_start + length:
            break
        bodies.append(bytes(buffer[body_start : body_start + length]))
        start = body_start + length
    del buffer[:start]
    return bodies


def decode(body: bytes) -> Frame:
    """Decode a frame's body; raises ``HostError`` if it is malformed."""
    try:
        message = _schema.Frame.from_bytes_packed(
            body, traversal_limit_in_words=MAX_UNPACKED_BYTES // WORD_BYTES
        )
        return _decode_message(message)
    except (capnp.KjException, ValueError, KeyError) as error:
        # The library adds a stack trace in further lines.
        reason = str(error).partition('\n')[0]
        raise exceptions.HostError(
            f'malformed frame: {reason}', step='read frame'
        ) from error


def _bounded(entries: Any) -> Any:
    """Return a list; raise ``HostError`` before one that is too long is read.

    Its length is a field of the frame, so that no entry is decoded.
    """
    if len(entries) > MAX_LIST_ENTRIES:
        raise exceptions.HostError(
            f'list of {len(entries)} entries is too long', step='read frame'
        )
    return entries


def _decode_message(message: Any) -> Frame:
    match str(message.which()):
        case 'work':
            return _decode_work(message.work)
        case 'explainRequest':
            frame = _decode_work(message.explainRequest)
            return ExplainRequest(frame.call_id, frame.work)
        case 'explanation':
            if len(message.explanation.document) > MAX_EXPLANATION_BYTES:
                raise ValueError('the explanation is too long')
            return Explanation(
                message.explanation.call, bytes(message.explanation.document)
            )
        case 'outcome':
            return _decode_outcome(message.outcome)
        case 'ping':
            reader = message.ping
            deposits = tuple(
                Deposit(each.account, each.amount)
                for each in _bounded(reader.deposits)
            )
            return Ping(
                reader.sequence,
                reader.isDraining,
                reader.catalogVersion,
                deposits,
            )
        case 'pong':
            reader = message.pong
            return Pong(
                reader.sequence,
                reader.isDraining,
                reader.catalogVersion,
                reader.reachesStore,
                reader.fleetDigest,
                tuple(
                    _decode_observation(each)
                    for each in _bounded(reader.observations)
                ),
                reader.catalogAgeMs if reader.isCatalogConfirmed else None,
                reader.evacuationVersion,
                reader.evacuationDigest,
                reader.readsDeflated,
                reader.answersDirectory,
                reader.returnDigest,
                reader.answersExplain,
            )
        case 'tokenRequest':
            reader = message.tokenRequest
            return TokenRequest(
                reader.call, reader.account, reader.amount, reader.least
            )
        case 'tokenAnswer':
            return TokenAnswer(
                message.tokenAnswer.call, message.tokenAnswer.amount
            )
        case 'snapshotRequest':
            reader = message.snapshotRequest
            return SnapshotRequest(
                reader.call, reader.omitsCatalog, reader.readsDeflated
            )
        case 'snapshot':
            reader = message.snapshot
            if (
                max(len(reader.evacuatedZones), len(reader.returnedZones))
                > MAX_EVACUATED_ZONES
            ):
                raise ValueError('too many evacuated zones')
            raw = bytes(reader.catalog)
            return Snapshot(
                reader.call,
                reader.catalogVersion,
                deflation.inflate(raw) if reader.isDeflated else raw,
                reader.evacuationVersion,
                {each.name: each.ageMs for each in reader.evacuatedZones},
                {each.name: each.ageMs for each in reader.returnedZones},
            )
        case 'directoryRequest':
            return DirectoryRequest(message.directoryRequest.call)
        case 'directory':
            reader = message.directory
            return Directory(reader.call, bytes(reader.value))
        case 'abandon':
            return Abandon(message.abandon.call)
        case 'withdraw':
            return Withdraw(message.withdraw.call)
        case 'claims':
            return _decode_claims(message.claims)
        case 'hello':
            reader = message.hello
            return Hello(
                reader.hostId,
                reader.zone,
                reader.address,
                reader.port,
                reader.incarnation,
                node_settings.Capacity(reader.millicores, reader.linkKbps),
            )
        case other:
            raise ValueError(f'unknown frame type {other}')


def _fill_work(builder: Any, frame: WorkFrame | ExplainRequest) -> None:
    work = frame.work
    builder.call = frame.call_id
    builder.requestId = work.request_id
    builder.text = work.text
    builder.stage = work.stage.value
    builder.service = work.service
    builder.account = work.account
    builder.consistency = work.consistency.value
    builder.maxAgeMs = work.max_age_ms
    builder.writes = work.writes
    builder.budgetMs = max(0, work.budget_ms)
    builder.objectiveMs = work.objective_ms
    builder.priority = work.priority
    builder.transaction = work.transaction
    builder.beginId = work.begin_id
    builder.beginText = work.begin_text
    builder.readOnly = work.read_only
    builder.commits = work.commits
    builder.wroteBefore = work.wrote_before
    if work.values:
        pairs = builder.init('values', len(work.values))
        for pair, (name, value) in zip(pairs, work.values, strict=True):
            pair.name = name
            pair.value = value
    if work.mode is not None:
        builder.mode = work.mode.value
        builder.shape = work.shape
        builder.arguments = work.arguments
    _fill_position(builder.sessionPosition, work.session_position)


def _decode_work(reader: Any) -> WorkFrame:
    work = work_module.Work(
        request_id=reader.requestId,
        text=reader.text,
        stage=work_module.Stage(reader.stage),
        service=reader.service,
        account=reader.account,
        consistency=catalog.Consistency(reader.consistency),
        max_age_ms=reader.maxAgeMs,
        writes=reader.writes,
        budget_ms=reader.budgetMs,
        objective_ms=reader.objectiveMs,
        priority=reader.priority,
        transaction=reader.transaction,
        begin_id=reader.beginId,
        begin_text=reader.beginText,
        read_only=reader.readOnly,
        commits=reader.commits,
        wrote_before=reader.wroteBefore,
        values=tuple(
            (each.name, each.value) for each in _bounded(reader.values)
        ),
        mode=types.Mode(reader.mode) if reader.mode else None,
        shape=reader.shape,
        arguments=reader.arguments,
        session_position=_decode_position(reader.sessionPosition),
    )
    return WorkFrame(reader.call, work)


def _fill_outcome(builder: Any, frame: OutcomeFrame) -> None:
    builder.call = frame.call_id
    match frame.outcome:
        case work_module.Answered() as outcome:
            builder.targetId = outcome.target_id
            _fill_position(builder.position, outcome.position)
            group = builder.init('answered')
            group.rows = list(outcome.rows)
            group.signature = outcome.signature
        case work_module.Failed() as outcome:
            builder.targetId = outcome.target_id
            _fill_position(builder.position, outcome.position)
            group = builder.init('failed')
            group.code = outcome.code
            group.text = outcome.text
        case work_module.Refused() as outcome:
            group = builder.init('refused')
            group.code = outcome.code
            group.reason = outcome.reason
            group.retryAfterMs = outcome.retry_after_ms
        case work_module.Lost() as outcome:
            group = builder.init('lost')
            group.reason = outcome.reason
            group.timedOut = outcome.timed_out


def _decode_outcome(reader: Any) -> OutcomeFrame:
    outcome: work_module.Outcome
    match str(reader.which()):
        case 'answered':
            outcome = work_module.Answered(
                rows=tuple(reader.answered.rows),
                signature=reader.answered.signature,
                position=_decode_position(reader.position),
                target_id=reader.targetId,
            )
        case 'failed':
            outcome = work_module.Failed(
                code=reader.failed.code,
                text=reader.failed.text,
                position=_decode_position(reader.position),
                target_id=reader.targetId,
            )
        case 'refused':
            outcome = work_module.Refused(
                reader.refused.code,
                reader.refused.reason,
                reader.refused.retryAfterMs,
            )
        case _:
            outcome = work_module.Lost(
                reader.lost.reason, reader.lost.timedOut
            )
    return OutcomeFrame(reader.call, outcome)


def _fill_limits(
    builder: Any, limits_by_start: dict[catalog.TargetStart, int]
) -> None:
    if not limits_by_start:
        return
    limits = builder.init('limits', len(limits_by_start))
    for item, (start, limit) in zip(
        limits, limits_by_start.items(), strict=True
    ):
        item.targetId = start.target_id
        item.startedMs = start.started_ms
        item.limit = limit


def _fill_placement(builder: Any, frame: Claims) -> None:
    builder.placesByDemand = frame.places_by_demand
    demands = frame.demands_by_service
    if demands:
        builder.demands = [
            min(max(demands.get(service, 0), 0), UINT32_MAX)
            for service in frame.zones_by_service
        ]
    successors = frame.successors_by_service
    if successors:
        items = builder.init('successors', len(successors))
        for item, (service, host_id) in zip(
            items, successors.items(), strict=True
        ):
            item.service = service
            item.hostId = host_id


def _decode_claims(reader: Any) -> Claims:
    zones_by_service = {
        each.service: each.zone for each in _bounded(reader.claims)
    }
    # A list of another length is that of no host of this release; what is
    # missing counts as unknown.
    demands = zip(
        (each.service for each in reader.claims),
        _bounded(reader.demands),
        strict=False,
    )
    return Claims(
        zones_by_service,
        {
            catalog.TargetStart(
                each.targetId, each.startedMs
            ): catalog.RegistryMoment(each.era, each.version)
            for each in _bounded(reader.settledDepartures)
        },
        reader.takesWithdrawals,
        reader.placesByDemand,
        {service: per_s for service, per_s in demands if per_s},
        {
            each.service: each.hostId
            for each in _bounded(reader.successors)
            if each.service in zones_by_service
        },
    )


def _decode_observation(reader: Any) -> Observation:
    return Observation(
        reader.service,
        _decode_position(reader.position),
        reader.ageMs,
        SolePrimary(reader.soleTerm, reader.soleAgeMs)
        if reader.soleTerm
        else None,
        {
            catalog.TargetStart(each.targetId, each.startedMs): each.limit
            for each in itertools.islice(reader.limits, MAX_LIMITS)
        },
    )


def _fill_position(builder: Any, position: types.Position | None) -> None:
    if position is None:
        return
    builder.term = position.term
    builder.offset = position.offset
    builder.isKnown = True


def _decode_position(reader: Any) -> types.Position | None:
    if not reader.isKnown:
        return None
    return types.Position(reader.term, reader.offset)
