"""Rendezvous hash: the same choice on all hosts that see the same hosts."""

import collections.abc
import functools
import hashlib

from samphirestand import types

SCORE_BYTES = 8

# Pairs of host and key whose score is kept: those of a few hundred jobs on
# the hosts that do jobs.
CACHED_SCORES = 16_384


@functools.lru_cache(maxsize=CACHED_SCORES)
def score(host_id: str, key: str) -> bytes:
    """Return how well the host suits ``key``; the highest score wins."""
    return hashlib.blake2b(
        f'{host_id}\0{key}'.encode(), digest_size=SCORE_BYTES
    ).digest()


def choose(
    hosts: collections.abc.Sequence[types.Host], key: str
) -> types.Host | None:
    """Return the host with the highest score for ``key``."""
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
