"""Compresses the configuration for frames between hosts.

For a new configuration in a large fleet: nearly all hosts fetch it within a
second from the few hosts that do jobs, and its text shrinks to a tenth.
"""

import functools
import zlib

from samphirestand import exceptions

__all__ = ['MAX_INFLATED_BYTES', 'deflate', 'inflate']

# The longest configuration that another host may send; as long as a frame may
# be without compression.
MAX_INFLATED_BYTES = 4_194_304

# A host sends the same configuration to many others. Two are kept, since a
# host may be asked for the earlier one while it adopts the next.
CACHED_CONFIGURATIONS = 2


@functools.lru_cache(maxsize=CACHED_CONFIGURATIONS)
def deflate(raw: bytes) -> bytes:
    """Return ``raw`` compressed."""
    return zlib.compress(raw)


def inflate(data: bytes) -> bytes:
    """Return what ``deflate`` was given.

    Raises ``HostError`` if that is longer than ``MAX_INFLATED_BYTES``, before
    more has been decompressed, or if ``data`` is malformed.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(data, MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise exceptions.HostError(
            f'malformed configuration: {error}', step='read frame'
        ) from error
    if not decompressor.eof:
        raise exceptions.HostError(
            'a configuration is incomplete or too long', step='read frame'
        )
    return raw
