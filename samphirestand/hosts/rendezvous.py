"""Rendezvous hashing: hosts that know the same hosts choose alike."""

import collections.abc
import functools
import hashlib

from samphirestand import types

SCORE_BYTES = 8

# Number of scores in the cache, one for each pair of a host and a key: enough
# for a few hundred jobs and the hosts that run jobs.
CACHED_SCORES = 16_384


@functools.lru_cache(maxsize=CACHED_SCORES)
def score(host_id: str, key: str) -> bytes:
    """Return the score of the host for ``key``; the highest is chosen."""
    return hashlib.blake2b(
        f'{host_id}\0{key}'.encode(), digest_size=SCORE_BYTES
    ).digest()


def choose(
    hosts: collections.abc.Sequence[types.Host], key: str
) -> types.Host | None:
    """Return the host with the highest score, or None if there is none."""
    if not hosts:
        return None
    return max(hosts, key=lambda host: score(host.host_id, key))


def rank(
    hosts: collections.abc.Iterable[types.Host], key: str, count: int
) -> list[types.Host]:
    """Return the ``count`` hosts with the highest scores for ``key``."""
    ordered = sorted(
        hosts, key=lambda host: score(host.host_id, key), reverse=True
    )
    return ordered[:count]
