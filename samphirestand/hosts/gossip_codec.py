"""Encodes and decodes the records of hosts, routes and zones in gossip."""

import dataclasses
import struct
from typing import Any

from samphirestand.hosts import digest
from samphirestand.hosts import membership
from samphirestand import types

# Key of the zone, age in milliseconds, and how far the zone's lowest
# configuration version is behind the sender's.
ZONE_RECORD = struct.Struct('<IHH')
UINT16_MAX = 2**16 - 1
UINT32_MAX = 2**32 - 1


@dataclasses.dataclass(frozen=True)
class ZoneRecord:
    """What is known of a zone.

    ``age_ms`` is the time since one of its hosts was known to be alive and
    ``lowest_version`` the lowest configuration version of its live hosts.
    """

    key: int
    age_ms: int
    lowest_version: int


def zone_key(zone: str) -> int:
    """Return the 32-bit key that stands for the zone's name in messages."""
    return digest.digest64(zone) & UINT32_MAX


def encode_zones(records: list[ZoneRecord], version: int) -> bytes:
    """Encode the records; ``version`` is that of the sender."""
    return b''.join(
        ZONE_RECORD.pack(
            record.key,
            min(record.age_ms, UINT16_MAX),
            min(max(version - record.lowest_version, 0), UINT16_MAX),
        )
        for record in records
    )


def decode_zones(encoded: bytes, version: int) -> list[ZoneRecord]:
    """Return the records that a host with ``version`` has encoded.

    Returns none if the bytes aren't whole records, and leaves out ages that
    reach the limit of their field.
    """
    if len(encoded) % ZONE_RECORD.size:
        return []
    return [
        ZoneRecord(key, age_ms, max(version - lag, 0))
        for key, age_ms, lag in ZONE_RECORD.iter_unpack(encoded)
        if age_ms < UINT16_MAX
    ]


def encode_host_record(record: membership.HostRecord) -> dict[str, Any]:
    host = record.host
    return {
        'hostId': host.host_id,
        'zone': host.zone,
        'incarnation': host.incarnation,
        'heartbeat': record.heartbeat,
        'status': host.status.value,
        'callerUrl': host.caller_url,
        'peerAddress': host.peer_address,
        'peerPort': host.peer_port,
        'configurationVersion': host.configuration_version,
        'condition': record.condition.value,
        'revision': record.revision,
    }


def decode_host_record(message: Any) -> membership.HostRecord:
    """Return the record.

    Raises ``ValueError`` for an unknown status or condition.
    """
    host = types.Host(
        host_id=message.hostId,
        zone=message.zone,
        incarnation=message.incarnation,
        caller_url=message.callerUrl,
        peer_address=message.peerAddress,
        peer_port=message.peerPort,
        status=types.HostStatus(message.status),
        configuration_version=message.configurationVersion,
    )
    return membership.HostRecord(
        host,
        message.revision,
        message.heartbeat,
        membership.Condition(message.condition),
    )


def encode_route(route: types.Route) -> dict[str, Any]:
    return {
        'service': route.service,
        'term': route.term,
        'primaryTargetId': route.primary_target_id,
    }


def decode_route(message: Any) -> types.Route:
    return types.Route(message.service, message.term, message.primaryTargetId)
