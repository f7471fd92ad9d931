"""Decodes the rows that operators and targets write to the store."""

import json
from typing import Any

import pydantic

from samphirestand import catalog
from samphirestand import exceptions

__all__ = [
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'TARGETS_TABLE',
    'decode_catalog',
    'decode_target',
]

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
TARGETS_TABLE = 'servers'

_DEFAULT_ROUTE_TIMEOUT_MS = 1_000


class _RouteModel(pydantic.BaseModel):
    Host: str  # the name of the database, not of a host
    RouteKind: catalog.Consistency
    Service: str
    TimeoutMs: float = _DEFAULT_ROUTE_TIMEOUT_MS
    TargetLatencyMs: float = _DEFAULT_ROUTE_TIMEOUT_MS
    Priority: int = 0
    MaxStalenessMs: float = 0
    Public: bool = False


class _ServiceModel(pydantic.BaseModel):
    Name: str
    MaxConns: int = pydantic.Field(ge=1)
    SyncReplicas: int = 0


class _AccountModel(pydantic.BaseModel):
    Name: str
    ApiKeys: list[str] = pydantic.Field(default_factory=list)
    RatePerS: float
    Burst: float


class _LimitsModel(pydantic.BaseModel):
    TxIdleMs: float = 3_000
    HeaderTimeoutMs: float = 3_000  # until a connection's first message


class _ConfigurationModel(pydantic.BaseModel):
    Version: int
    Routes: list[_RouteModel] = pydantic.Field(default_factory=list)
    Services: list[_ServiceModel] = pydantic.Field(default_factory=list)
    Tenants: list[_AccountModel] = pydantic.Field(default_factory=list)
    Limits: _LimitsModel = pydantic.Field(default_factory=_LimitsModel)


class _TargetModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    Service: str
    Addr: str
    Zone: str
    Slots: int = pydantic.Field(ge=1)
    State: str = pydantic.Field(pattern='^(ready|draining)$')
    DbRole: str = pydantic.Field(pattern='^(primary|replica)$')
    born: int = 0  # start of the server process, not its installation


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
                each.Name, int(each.RatePerS), int(each.Burst)
            )
            for each in model.Tenants
        },
        account_names_by_key={
            key: each.Name for each in model.Tenants for key in each.ApiKeys
        },
        services_by_name={
            each.Name: catalog.Service(
                each.Name, each.MaxConns, each.SyncReplicas > 0
            )
            for each in model.Services
        },
        idle_transaction_ms=int(model.Limits.TxIdleMs),
        startup_timeout_ms=int(model.Limits.HeaderTimeoutMs),
    )


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


def decode_target(
    target_id: str, value: bytes
) -> catalog.Target | exceptions.Sentinel:
    """Decode a target's registration; a sentinel if it is invalid."""
    try:
        document: Any = json.loads(value)
        model = _TargetModel.model_validate(document)
        address, _, port = model.Addr.rpartition(':')
        return catalog.Target(
            target_id=target_id,
            service=model.Service,
            address=address,
            port=int(port),
            zone=model.Zone,
            slots=model.Slots,
            is_draining=model.State == 'draining',
            claims_primary=model.DbRole == 'primary',
            started_ms=model.born,
        )
    except (ValueError, RecursionError) as error:
        return exceptions.Sentinel(f'unreadable registration: {error}')
