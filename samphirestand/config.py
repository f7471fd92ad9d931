"""Settings: YAML files checked by pydantic models, data classes inside."""

import dataclasses
import pathlib
from typing import Any
from typing import Literal

import pydantic
import yaml

from samphirestand import exceptions


class Endpoint(pydantic.BaseModel):
    """An address to listen on: an IP number and a port."""

    model_config = pydantic.ConfigDict(extra='forbid')

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)


class TlsModel(pydantic.BaseModel):
    """Certificate files for a listener."""

    model_config = pydantic.ConfigDict(extra='forbid')

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path | None = None


class SettingsModel(pydantic.BaseModel):
    """The settings file of one host."""

    model_config = pydantic.ConfigDict(extra='forbid')

    host_id: str = pydantic.Field(pattern=r'^[A-Za-z0-9_-]{1,40}$')
    zone: str = pydantic.Field(pattern=r'^[A-Za-z0-9_-]{1,40}$')
    zones: list[str] = pydantic.Field(min_length=1)
    callers: Endpoint
    peers: Endpoint
    platform_url: str = pydantic.Field(pattern=r'^https?://')
    fleet_secret_file: pathlib.Path
    token_secrets_file: pathlib.Path
    bootstrap_file: pathlib.Path | None = None
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    max_body_bytes: int = pydantic.Field(1_048_576, ge=1_024, le=16_777_216)
    stop_limit_ms: int = pydantic.Field(65_000, ge=1_000, le=600_000)
    drain_notice_ms: int = pydantic.Field(3_000, ge=0, le=60_000)
    address_translation: dict[str, str] = pydantic.Field(default_factory=dict)
    caller_tls: TlsModel | None = None
    peer_tls: TlsModel | None = None

    @pydantic.field_validator('zones')
    @classmethod
    def _zone_is_listed(
        cls, zones: list[str], info: pydantic.ValidationInfo
    ) -> list[str]:
        zone = info.data.get('zone')
        if zone is not None and zone not in zones:
            raise ValueError(f'zone {zone!r} must be one of the zones')
        return zones


@dataclasses.dataclass(frozen=True)
class Tls:
    """Certificate files; the authority is set where peers are checked."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path | None


@dataclasses.dataclass(frozen=True)
class Settings:
    """Checked settings of one host; paths are absolute."""

    host_id: str
    zone: str
    zones: tuple[str, ...]
    caller_address: str
    caller_port: int
    peer_address: str
    peer_port: int
    platform_url: str
    fleet_secret_file: pathlib.Path
    token_secrets_file: pathlib.Path
    bootstrap_file: pathlib.Path | None
    log_level: str
    max_body_bytes: int
    stop_limit_ms: int
    drain_notice_ms: int
    address_translation: dict[str, str]
    caller_tls: Tls | None
    peer_tls: Tls | None


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Secrets are named by file; relative file names start at the settings
    file. Raises ``SettingsError`` that names the file, the place in it, the
    value and what is allowed.
    """
    try:
        document = yaml.safe_load(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise exceptions.SettingsError(
            f'{path}: {reason}', step='settings'
        ) from error
    except yaml.YAMLError as error:
        raise exceptions.SettingsError(
            f'{path}: not YAML: {error}', step='settings'
        ) from error
    try:
        model = SettingsModel.model_validate(document)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(
            _describe(path, error), step='settings'
        ) from error
    return _settings(model, path.resolve().parent)


def _describe(path: pathlib.Path, error: pydantic.ValidationError) -> str:
    return '\n'.join(_clause(path, each) for each in error.errors())


def _clause(path: pathlib.Path, error: Any) -> str:
    place = f'{path}: {_place(error["loc"])}'
    if error['type'] == 'missing':
        return f'{place}: missing'
    return f'{place}: {error["input"]!r}: {error["msg"]}'


def _place(location: tuple[Any, ...]) -> str:
    return '.'.join(str(part) for part in location) or 'document'


def _settings(model: SettingsModel, folder: pathlib.Path) -> Settings:
    return Settings(
        host_id=model.host_id,
        zone=model.zone,
        zones=tuple(model.zones),
        caller_address=str(model.callers.address),
        caller_port=model.callers.port,
        peer_address=str(model.peers.address),
        peer_port=model.peers.port,
        platform_url=model.platform_url.rstrip('/'),
        fleet_secret_file=folder / model.fleet_secret_file,
        token_secrets_file=folder / model.token_secrets_file,
        bootstrap_file=_optional(folder, model.bootstrap_file),
        log_level=model.log_level,
        max_body_bytes=model.max_body_bytes,
        stop_limit_ms=model.stop_limit_ms,
        drain_notice_ms=model.drain_notice_ms,
        address_translation=model.address_translation,
        caller_tls=_tls(model.caller_tls, folder),
        peer_tls=_tls(model.peer_tls, folder),
    )


def _tls(model: TlsModel | None, folder: pathlib.Path) -> Tls | None:
    if model is None:
        return None
    return Tls(
        certificate_file=folder / model.certificate_file,
        key_file=folder / model.key_file,
        authority_file=_optional(folder, model.authority_file),
    )


def _optional(
    folder: pathlib.Path, path: pathlib.Path | None
) -> pathlib.Path | None:
    return None if path is None else folder / path
