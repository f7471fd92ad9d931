"""The product's own options of a host, read from YAML.

The platform's settings file says where a host runs; the options say how it
treats callers, queues and targets. Without a file, all defaults hold.
"""

import pathlib
from typing import Any

import pydantic
import yaml

from samphirestand import exceptions

__all__ = [
    'DEFAULTS',
    'CallerOptions',
    'HostOptions',
    'LogOptions',
    'QueueOptions',
    'TargetOptions',
    'load',
]


class _Group(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CallerOptions(_Group):
    """Limits on what callers may make this process hold."""


class QueueOptions(_Group):
    """How statements wait for targets."""


class TargetOptions(_Group):
    """How much a target is given at once."""

    adaptive_limits: bool = True


class LogOptions(_Group):
    """How many log lines are written."""


class HostOptions(_Group):
    """All options of a host, by group."""

    callers: CallerOptions = CallerOptions()
    queue: QueueOptions = QueueOptions()
    targets: TargetOptions = TargetOptions()
    logging: LogOptions = LogOptions()


DEFAULTS = HostOptions()


def load(path: pathlib.Path) -> HostOptions:
    """Read and validate an options file; raises ``SettingsError``."""
    try:
        document: Any = yaml.safe_load(path.read_text()) or {}
        return HostOptions.model_validate(document)
    except (
        OSError,
        UnicodeDecodeError,
        yaml.YAMLError,
        ValueError,  # includes pydantic's ValidationError
    ) as error:
        raise exceptions.SettingsError(
            f'{path}: {error}', step='options'
        ) from error
