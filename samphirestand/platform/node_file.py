"""Settings of one host, from the file that the platform writes."""

import pathlib
import tomllib
from typing import Any

import pydantic

from samphirestand import exceptions
from samphirestand import host_options
from samphirestand import node_settings

__all__ = ['FILE_VARIABLE', 'load']

# The environment variable that holds the path of the settings file.
FILE_VARIABLE = 'SAMPHIRESTAND_NODE_FILE'


# Names of sets of rules: accounts compete for room, zones can be taken out of
# service, and targets fail or slow down while their health checks succeed.
_COMPETING_ACCOUNTS = 'pressure'
_PLACES = 'places'
_HEALTH = 'health'

# The port from which the platform fetches metrics, the same on all machines.
# It must match deploy/system.toml.
METRICS_PORT = 9_464


class _Listen(pydantic.BaseModel):
    Front: str
    Ready: str


class _Bounds(pydantic.BaseModel):
    GraceS: float = 6  # from SIGTERM to SIGKILL
    # operations by which an account may exceed its rate
    QuotaSlack: int = pydantic.Field(default=0, ge=0)
    DrainMs: float = pydantic.Field(default=10_000, ge=0)
    EvacMs: float = pydantic.Field(default=5_000, ge=0)
    ColdExcess: float = pydantic.Field(default=1.5, ge=0)
    ColdSlack: float = pydantic.Field(default=5, ge=0)


class _Limits(pydantic.BaseModel):
    CpuShare: float = pydantic.Field(
        default=0.0, ge=0
    )  # usable share of each core
    Cores: int = pydantic.Field(default=0, ge=0)
    LinkMbps: float = pydantic.Field(default=0.0, ge=0)
    MemoryMb: int = pydantic.Field(default=0, ge=0)
    MaxFds: int = pydantic.Field(default=0, ge=0)


class _Store(pydantic.BaseModel):
    Addr: str


class _Cloud(pydantic.BaseModel):
    Addr: str = ''


class _FileModel(pydantic.BaseModel):
    """The fields of the settings file that are used; others are ignored."""

    Node: str
    Ip: pydantic.IPvAnyAddress
    Zone: str
    PortRange: tuple[int, int]
    # The sets of rules that are in force.
    Contracts: list[str] = pydantic.Field(default_factory=list)
    Listen: _Listen
    Limits: _Limits = pydantic.Field(default_factory=_Limits)
    Bounds: _Bounds = pydantic.Field(default_factory=_Bounds)
    platform: _Store
    Cloud: _Cloud = pydantic.Field(default_factory=_Cloud)


def load(
    path: pathlib.Path,
    options: host_options.HostOptions = host_options.DEFAULTS,
) -> node_settings.NodeSettings:
    """Read and validate the settings file; raises ``SettingsError``.

    ``options`` are the product's own ones, from a file of their own.
    """
    try:
        document: Any = tomllib.loads(path.read_text())
        model = _FileModel.model_validate(document)
        return _to_settings(model, options)
    except (
        OSError,
        UnicodeDecodeError,
        tomllib.TOMLDecodeError,
        ValueError,  # includes pydantic's ValidationError
    ) as error:
        raise exceptions.SettingsError(
            f'{path}: {error}', step='settings'
        ) from error


def _to_settings(
    model: _FileModel, options: host_options.HostOptions
) -> node_settings.NodeSettings:
    address = str(model.Ip)
    return node_settings.NodeSettings(
        host_id=model.Node,
        zone=model.Zone,
        callers=_parse_endpoint(model.Listen.Front),
        readiness=_parse_endpoint(model.Listen.Ready),
        peers=node_settings.Endpoint(address, model.PortRange[0]),
        metrics=node_settings.Endpoint(address, METRICS_PORT),
        store=_parse_endpoint(model.platform.Addr),
        promotions=(
            _parse_endpoint(model.Cloud.Addr) if model.Cloud.Addr else None
        ),
        grace_ms=int(model.Bounds.GraceS * 1_000),
        rate_slack=model.Bounds.QuotaSlack,
        capacity=node_settings.Capacity(
            millicores=int(model.Limits.CpuShare * model.Limits.Cores * 1_000),
            link_kbps=int(model.Limits.LinkMbps * 1_000),
            memory_mb=model.Limits.MemoryMb,
            descriptors=model.Limits.MaxFds,
        ),
        bounds=node_settings.Bounds(
            drain_ms=int(model.Bounds.DrainMs),
            evacuation_ms=int(model.Bounds.EvacMs),
            cold_excess=model.Bounds.ColdExcess,
            cold_slack=model.Bounds.ColdSlack,
            accounts_compete=_COMPETING_ACCOUNTS in model.Contracts,
            zones_can_be_evacuated=_PLACES in model.Contracts,
            targets_degrade=_HEALTH in model.Contracts,
        ),
        options=options,
    )


def _parse_endpoint(text: str) -> node_settings.Endpoint:
    address, _, port = text.rpartition(':')
    return node_settings.Endpoint(address, int(port))
