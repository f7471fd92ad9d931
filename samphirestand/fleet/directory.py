"""A small row of the store that names the hosts that may run jobs.

For the start of a large fleet: a host without jobs needs the job hosts and
those that replace them, a few of each zone. Where all hosts read the rows of
all hosts instead, traffic grows with the square of the fleet.
"""

import collections.abc
import dataclasses
import ipaddress

import pydantic

from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand import node_settings
from samphirestand.platform import records

__all__ = ['KEY', 'TABLE', 'Directory', 'build', 'decode', 'encode']

# The place of the row. It isn't in the table of the hosts, where hosts of
# earlier releases would take it for the row of a host.
TABLE = 'fleet'
KEY = 'job-hosts'

# A longer row isn't decoded; one of six hosts in each of 60 zones fits.
MAX_ROW_BYTES = 131_072
MAX_HOSTS = 1_000

# The row doesn't change when a host only starts again.
UNKNOWN_INCARNATION = 0


@dataclasses.dataclass(frozen=True)
class Directory:
    """The hosts that may run jobs, and the size of the whole fleet."""

    size: job_hosts.FleetSize
    hosts: tuple[frames.Hello, ...]
    # The listed hosts that don't answer the writer. They are dialled, but a
    # host that starts needn't wait for them.
    silent_ids: frozenset[str] = frozenset()


class _HostModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    id: str = pydantic.Field(min_length=1, max_length=records.MAX_NAME_LENGTH)
    zone: str = pydantic.Field(
        min_length=1, max_length=records.MAX_NAME_LENGTH
    )
    address: str
    port: int = pydantic.Field(ge=1, le=65_535)
    millicores: int = pydantic.Field(ge=0, le=records.MAX_COUNT)
    link_kbps: int = pydantic.Field(ge=0, le=records.MAX_COUNT)

    @pydantic.field_validator('address')
    @classmethod
    def _check_address(cls, value: str) -> str:
        return str(ipaddress.IPv4Address(value))


class _DirectoryModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    host_count: int = pydantic.Field(ge=0, le=records.MAX_COUNT)
    max_millicores: int = pydantic.Field(ge=0, le=records.MAX_COUNT)
    max_link_kbps: int = pydantic.Field(ge=0, le=records.MAX_COUNT)
    hosts: list[_HostModel] = pydantic.Field(max_length=MAX_HOSTS)
    # Hosts of earlier releases ignore this field and omit it.
    silent: list[str] = pydantic.Field(default=[], max_length=MAX_HOSTS)


def build(
    hosts: collections.abc.Collection[frames.Hello],
    silent_ids: collections.abc.Container[str] = frozenset(),
) -> Directory:
    """Return the directory of a fleet, whatever the order of ``hosts``."""
    listed = job_hosts.candidates(hosts)
    return Directory(
        job_hosts.measure(hosts),
        tuple(
            dataclasses.replace(each, incarnation=UNKNOWN_INCARNATION)
            for each in listed
        ),
        frozenset(
            each.host_id for each in listed if each.host_id in silent_ids
        ),
    )


def encode(directory: Directory) -> bytes:
    model = _DirectoryModel(
        **dataclasses.asdict(directory.size),
        hosts=[
            _HostModel(
                id=each.host_id,
                zone=each.zone,
                address=each.address,
                port=each.port,
                millicores=each.capacity.millicores,
                link_kbps=each.capacity.link_kbps,
            )
            for each in directory.hosts
        ],
        silent=sorted(directory.silent_ids),
    )
    return model.model_dump_json().encode()


def decode(value: bytes) -> Directory | exceptions.Sentinel:
    """Decode the row; a sentinel if it is invalid."""
    if len(value) > MAX_ROW_BYTES:
        return exceptions.Sentinel(f'row of {len(value)} bytes')
    try:
        model = _DirectoryModel.model_validate_json(value)
    except pydantic.ValidationError as error:
        return exceptions.Sentinel(f'unreadable row: {error}')
    return Directory(
        job_hosts.FleetSize(
            model.host_count, model.max_millicores, model.max_link_kbps
        ),
        tuple(
            frames.Hello(
                each.id,
                each.zone,
                each.address,
                each.port,
                UNKNOWN_INCARNATION,
                node_settings.Capacity(each.millicores, each.link_kbps),
            )
            for each in model.hosts
        ),
        frozenset(model.silent) & {each.id for each in model.hosts},
    )
