"""The product's own options of a host, read from YAML.

The platform's settings file says where a host runs; the options say how it
treats callers, queues and targets. Without a file, all defaults hold.
"""

import importlib
import pathlib
from typing import Any

import pydantic

from samphirestand import exceptions

__all__ = [
    'DEFAULTS',
    'CallerOptions',
    'HostOptions',
    'PlacementOptions',
    'QueueOptions',
    'TargetOptions',
    'load',
]


class _Group(pydantic.BaseModel):
    # Validators are built when a file is read: that takes processor time,
    # which all hosts need at once after a loss of power.
    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, defer_build=True
    )


class CallerOptions(_Group):
    """Limits on what callers may make this process hold.

    0 means that the limit follows from the size of the host. A message of
    1 MiB takes 2 s on the slowest link of a host, if it is alone there; the
    time limits leave room for several at once.
    """

    max_buffered_bytes: int = pydantic.Field(default=0, ge=0)
    max_sessions: int = pydantic.Field(default=0, ge=0)
    message_timeout_ms: int = pydantic.Field(default=30_000, gt=0)
    answer_timeout_ms: int = pydantic.Field(default=30_000, gt=0)


class QueueOptions(_Group):
    """How statements wait for targets.

    ``fair_shares`` says whether accounts share the slots by their weights;
    None means where the platform's settings say that accounts compete. At
    most ``max_waiting`` statements of ``max_waiting_bytes`` in all wait for
    one service on a host: ordinary callers have one each.
    """

    fair_shares: bool | None = None
    max_waiting: int = pydantic.Field(default=8_192, ge=1)
    max_waiting_bytes: int = pydantic.Field(default=16 * 2**20, ge=2**20)


class TargetOptions(_Group):
    """How much a target is given at once.

    ``adaptive_limits`` says whether that follows its statement times; None
    means where the platform's settings say that targets slow down or that
    accounts compete.
    """

    adaptive_limits: bool | None = None


class PlacementOptions(_Group):
    """Which hosts run the gateways of services.

    ``by_demand`` says whether that follows the capacity of hosts and the
    demand of services; None means where the platform's settings say that
    accounts compete.
    """

    by_demand: bool | None = None


class HostOptions(_Group):
    """All options of a host, by group."""

    callers: CallerOptions = CallerOptions.model_construct()
    queue: QueueOptions = QueueOptions.model_construct()
    targets: TargetOptions = TargetOptions.model_construct()
    placement: PlacementOptions = PlacementOptions.model_construct()


DEFAULTS = HostOptions.model_construct()


def load(path: pathlib.Path) -> HostOptions:
    """Read and validate an options file; raises ``SettingsError``."""
    # Most hosts have no such file and start sooner without the parser.
    yaml = importlib.import_module('yaml')
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
