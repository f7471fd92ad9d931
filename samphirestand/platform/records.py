"""Decodes the rows that operators and targets write to the store."""

import ipaddress
from typing import Annotated
from typing import Any

import pydantic

from samphirestand import catalog
from samphirestand import exceptions

__all__ = [
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'EVACUATION_PREFIX',
    'MAX_COUNT',
    'MAX_LONG',
    'MAX_NAME_LENGTH',
    'MAX_ZONE_LENGTH',
    'TARGETS_TABLE',
    'decode_catalog',
    'decode_evacuation',
    'decode_target',
]

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
# A row of the same table whose key is this and the name of a zone.
EVACUATION_PREFIX = 'evacuate/'
TARGETS_TABLE = 'servers'

_DEFAULT_ROUTE_TIMEOUT_MS = 1_000

# Hosts send each other durations and counts in 32 bits, versions and times of
# day in 64 bits.
MAX_COUNT = 2**32 - 1
MAX_LONG = 2**63 - 1

# The longest text of a row that is used as a name. Names are fields of lines
# that are sent to targets, so they have no blanks.
MAX_NAME_LENGTH = 200
MAX_ZONE_LENGTH = 64
NAME_PATTERN = r'^[!-~]+$'

_Number = Annotated[
    float, pydantic.Field(ge=0, le=MAX_COUNT, allow_inf_nan=False)
]
_Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
_Long = Annotated[int, pydantic.Field(ge=0, le=MAX_LONG)]
_Name = Annotated[
    str, pydantic.Field(pattern=NAME_PATTERN, max_length=MAX_NAME_LENGTH)
]
_NAME_ADAPTER = pydantic.TypeAdapter(_Name)
_FIELDS_ADAPTER = pydantic.TypeAdapter(dict[str, Any])

# The weights of accounts by their priority; others have the default weight.
_WEIGHTS = (4, 2)
_DEFAULT_WEIGHT = 1


def _clamp_priority(value: object) -> int | None:
    """Return a priority within range; None if it isn't a number.

    A priority orders work and permits nothing, so an odd one doesn't make a
    whole configuration unreadable.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return int(min(max(value, 0), MAX_COUNT)) if value == value else None


def _clamp_route_priority(value: object) -> int:
    return _clamp_priority(value) or 0


_Priority = Annotated[int | None, pydantic.BeforeValidator(_clamp_priority)]
_RoutePriority = Annotated[
    int, pydantic.BeforeValidator(_clamp_route_priority)
]


class _RouteModel(pydantic.BaseModel):
    Host: str  # the name of the database, not of a host
    RouteKind: catalog.Consistency
    Service: str
    TimeoutMs: _Number = _DEFAULT_ROUTE_TIMEOUT_MS
    TargetLatencyMs: _Number = _DEFAULT_ROUTE_TIMEOUT_MS
    Priority: _RoutePriority = 0
    MaxStalenessMs: _Number = 0
    Public: bool = False


class _ServiceModel(pydantic.BaseModel):
    Name: str
    MaxConns: int = pydantic.Field(ge=1, le=MAX_COUNT)
    SyncReplicas: int = 0
    WarmupS: _Number = 0
    ColdRateS: _Number = 0  # requests per second


class _AccountModel(pydantic.BaseModel):
    Name: str
    ApiKeys: list[str] = pydantic.Field(default_factory=list)
    RatePerS: _Number
    Burst: _Number
    Priority: _Priority = None


class _LimitsModel(pydantic.BaseModel):
    TxIdleMs: _Number = 3_000
    HeaderTimeoutMs: _Number = 3_000  # until a connection's first message


class _ConfigurationModel(pydantic.BaseModel):
    Version: _Long
    Routes: list[_RouteModel] = pydantic.Field(default_factory=list)
    Services: list[_ServiceModel] = pydantic.Field(default_factory=list)
    Tenants: list[_AccountModel] = pydantic.Field(default_factory=list)
    Limits: _LimitsModel = pydantic.Field(default_factory=_LimitsModel)


class _TargetModel(pydantic.BaseModel):
    """What a server registers; a row without one of the fields isn't one."""

    model_config = pydantic.ConfigDict(strict=True)

    Service: _Name
    Addr: str = pydantic.Field(max_length=MAX_NAME_LENGTH)
    Zone: _Name
    Version: str  # of the server's software
    Slots: int = pydantic.Field(ge=1, le=MAX_COUNT)
    State: str = pydantic.Field(pattern='^(ready|draining)$')
    DbRole: str = pydantic.Field(pattern='^(primary|replica)$')
    WarmLeftMs: _Number
    Seq: _Long  # of the heartbeat
    born: _Long = 0  # start of the server process, not its installation


def decode_catalog(value: bytes) -> catalog.Catalog:
    """Decode the operators' configuration; raises ``PlatformError``."""
    try:
        model = _ConfigurationModel.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise exceptions.PlatformError(
            f'configuration: {error}', step='configuration'
        ) from error
    return catalog.Catalog(
        version=model.Version,
        routes_by_database={
            each.Host: _decode_route(each) for each in model.Routes
        },
        accounts_by_name={
            each.Name: catalog.Account(
                each.Name,
                int(each.RatePerS),
                int(each.Burst),
                _decode_weight(each.Priority),
            )
            for each in model.Tenants
        },
        account_names_by_key={
            key: each.Name for each in model.Tenants for key in each.ApiKeys
        },
        services_by_name={
            each.Name: catalog.Service(
                each.Name,
                each.MaxConns,
                each.SyncReplicas > 0,
                int(each.WarmupS * 1_000),
                each.ColdRateS,
            )
            for each in model.Services
        },
        idle_transaction_ms=int(model.Limits.TxIdleMs),
        startup_timeout_ms=int(model.Limits.HeaderTimeoutMs),
    )


def _decode_weight(priority: int | None) -> int:
    if priority is None or priority >= len(_WEIGHTS):
        return _DEFAULT_WEIGHT
    return _WEIGHTS[priority]


def _decode_route(model: _RouteModel) -> catalog.Route:
    return catalog.Route(
        database=model.Host,
        service=model.Service,
        consistency=model.RouteKind,
        timeout_ms=int(model.TimeoutMs),
        objective_ms=int(model.TargetLatencyMs),
        priority=model.Priority,
        max_age_ms=int(model.MaxStalenessMs),
        needs_key=not model.Public,
    )


def decode_evacuation(key: str, value: bytes) -> str | exceptions.Sentinel:
    """Return the zone that a row evacuates; a sentinel if it is irregular.

    The value is an object whose fields have no meaning.
    """
    try:
        zone = _NAME_ADAPTER.validate_python(
            key.removeprefix(EVACUATION_PREFIX)
        )
        _FIELDS_ADAPTER.validate_json(value)
    except ValueError as error:  # includes pydantic's ValidationError
        return exceptions.Sentinel(f'irregular evacuation: {error}')
    if len(zone) > MAX_ZONE_LENGTH:
        return exceptions.Sentinel('the name of the zone is too long')
    return zone


def decode_target(
    target_id: str, value: bytes
) -> catalog.Target | exceptions.Sentinel:
    """Decode a target's registration; a sentinel if it is invalid."""
    try:
        _NAME_ADAPTER.validate_python(target_id)
        model = _TargetModel.model_validate_json(value)
        address, port = _decode_address(model.Addr)
    except ValueError as error:  # includes pydantic's ValidationError
        return exceptions.Sentinel(f'unreadable registration: {error}')
    return catalog.Target(
        target_id=target_id,
        service=model.Service,
        address=address,
        port=port,
        zone=model.Zone,
        slots=model.Slots,
        is_draining=model.State == 'draining',
        claims_primary=model.DbRole == 'primary',
        started_ms=model.born,
        warm_left_ms=int(model.WarmLeftMs),
    )


def _decode_address(text: str) -> tuple[str, int]:
    """Decode IPv4 address and port; raises ``ValueError``."""
    address, _, port_text = text.rpartition(':')
    if not (port_text.isascii() and port_text.isdecimal()):
        raise ValueError(f'no port in {text!r}')
    port = int(port_text)
    if not 1 <= port <= 65_535:
        raise ValueError(f'port {port} is out of range')
    return str(ipaddress.IPv4Address(address)), port
