"""Settings of a host, read from YAML and validated by pydantic models."""

import dataclasses
import pathlib
from typing import Any
from typing import Literal

import pydantic
import yaml

from samphirestand import exceptions


class Endpoint(pydantic.BaseModel):
    """An IP address and a port to listen on."""

    model_config = pydantic.ConfigDict(extra='forbid')

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=65535)


class TlsModel(pydantic.BaseModel):
    """TLS files of a listener."""

    model_config = pydantic.ConfigDict(extra='forbid')

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path | None = None


class Contact(pydantic.BaseModel):
    """Another host that this host may contact when it starts."""

    model_config = pydantic.ConfigDict(extra='forbid')

    host_id: str = pydantic.Field(pattern=r'^[A-Za-z0-9_-]{1,40}$')
    zone: str = pydantic.Field(pattern=r'^[A-Za-z0-9_-]{1,40}$')
    peers: Endpoint


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
    contacts: list[Contact] = pydantic.Field(default_factory=list)
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
    """TLS files; ``authority_file`` is set where peers are verified."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    authority_file: pathlib.Path | None


@dataclasses.dataclass(frozen=True)
class KnownHost:
    """Another host listed in the settings."""

    host_id: str
    zone: str
    peer_address: str
    peer_port: int


@dataclasses.dataclass(frozen=True)
class Settings:
    """Validated settings of one host; paths are absolute."""

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
    contacts: tuple[KnownHost, ...]
    address_translation: dict[str, str]
    caller_tls: Tls | None
    peer_tls: Tls | None


def load(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Settings name the files that hold secrets; relative paths are resolved
    against the directory of the settings file. Raises ``SettingsError`` with
    the file, the field, its value and what is allowed.
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
            _describe_errors(path, error), step='settings'
        ) from error
    return _build_settings(model, path.resolve().parent)


def _describe_errors(
    path: pathlib.Path, error: pydantic.ValidationError
) -> str:
    return '\n'.join(_describe_error(path, each) for each in error.errors())


def _describe_error(path: pathlib.Path, error: Any) -> str:
    prefix = f'{path}: {_field_path(error["loc"])}'
    if error['type'] == 'missing':
        return f'{prefix}: missing'
    return f'{prefix}: {error["input"]!r}: {error["msg"]}'


def _field_path(loc: tuple[Any, ...]) -> str:
    return '.'.join(str(part) for part in loc) or 'document'


def _build_settings(model: SettingsModel, directory: pathlib.Path) -> Settings:
    return Settings(
        host_id=model.host_id,
        zone=model.zone,
        zones=tuple(model.zones),
        caller_address=str(model.callers.address),
        caller_port=model.callers.port,
        peer_address=str(model.peers.address),
        peer_port=model.peers.port,
        platform_url=model.platform_url.rstrip('/'),
        fleet_secret_file=directory / model.fleet_secret_file,
        token_secrets_file=directory / model.token_secrets_file,
        bootstrap_file=_resolve_optional(directory, model.bootstrap_file),
        log_level=model.log_level,
        max_body_bytes=model.max_body_bytes,
        stop_limit_ms=model.stop_limit_ms,
        drain_notice_ms=model.drain_notice_ms,
        contacts=tuple(
            KnownHost(
                each.host_id,
                each.zone,
                str(each.peers.address),
                each.peers.port,
            )
            for each in model.contacts
        ),
        address_translation=model.address_translation,
        caller_tls=_build_tls(model.caller_tls, directory),
        peer_tls=_build_tls(model.peer_tls, directory),
    )


def _build_tls(model: TlsModel | None, directory: pathlib.Path) -> Tls | None:
    if model is None:
        return None
    return Tls(
        certificate_file=directory / model.certificate_file,
        key_file=directory / model.key_file,
        authority_file=_resolve_optional(directory, model.authority_file),
    )


def _resolve_optional(
    directory: pathlib.Path, path: pathlib.Path | None
) -> pathlib.Path | None:
    return None if path is None else directory / path
