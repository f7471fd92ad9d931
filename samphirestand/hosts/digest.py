"""Digests of sets of records, updated as the records change."""

import array
import collections.abc
import hashlib
import sys

BUCKET_COUNT = 32


def digest64(text: str) -> int:
    """Return a 64-bit hash of ``text``."""
    raw = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(raw, 'little')


def bucket_of(key: str) -> int:
    return digest64(key) % BUCKET_COUNT


class BucketDigests:
    """The exclusive-or of the digests of all records in each bucket.

    If ``total`` is equal on two hosts, their sets of records are equal.
    Otherwise the differing buckets tell which records to exchange.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKET_COUNT
        self._digests_by_key: dict[str, int] = {}
        self.total = 0

    def put(self, key: str, content: str) -> None:
        self._replace(key, digest64(f'{key}\0{content}'))

    def remove(self, key: str) -> None:
        self._replace(key, 0)

    def _replace(self, key: str, digest: int) -> None:
        change = self._digests_by_key.pop(key, 0) ^ digest
        if digest:
            self._digests_by_key[key] = digest
        self._buckets[bucket_of(key)] ^= change
        self.total ^= change

    def encode(self) -> bytes:
        buckets = array.array('Q', self._buckets)
        if sys.byteorder == 'big':
            buckets.byteswap()
        return buckets.tobytes()

    def differing(self, encoded: bytes) -> set[int]:
        """Return the buckets that differ from another host's digests."""
        if len(encoded) != BUCKET_COUNT * 8:
            return set()
        other = array.array('Q', encoded)
        if sys.byteorder == 'big':
            other.byteswap()
        return {
            index
            for index, digest in enumerate(other)
            if digest != self._buckets[index]
        }


def keys_in_buckets(
    keys: collections.abc.Iterable[str], buckets: set[int], limit: int
) -> list[str]:
    """Return the keys in ``buckets``, about ``limit`` at most.

    Returns all keys of a bucket or none, and at least one bucket: the peer
    asks again for the buckets that still differ.
    """
    keys_by_bucket: dict[int, list[str]] = {}
    for key in keys:
        bucket = bucket_of(key)
        if bucket in buckets:
            keys_by_bucket.setdefault(bucket, []).append(key)
    chosen: list[str] = []
    for bucket in sorted(keys_by_bucket):
        if chosen and len(chosen) + len(keys_by_bucket[bucket]) > limit:
            break
        chosen += keys_by_bucket[bucket]
    return chosen


class RecentKeys:
    """Keys of recently changed records, each with its remaining sends."""

    def __init__(self) -> None:
        self._remaining_sends_by_key: dict[str, int] = {}

    def add(self, key: str, times: int) -> None:
        """Send the record in the next ``times`` messages that have room."""
        self._remaining_sends_by_key[key] = times

    def discard(self, key: str) -> None:
        self._remaining_sends_by_key.pop(key, None)

    def take(self, limit: int) -> list[str]:
        """Return up to ``limit`` keys for one message, newest first.

        Counts the message as sent for each of them.
        """
        keys = list(reversed(self._remaining_sends_by_key))[:limit]
        for key in keys:
            self._remaining_sends_by_key[key] -= 1
            if self._remaining_sends_by_key[key] <= 0:
                del self._remaining_sends_by_key[key]
        return keys

    def __bool__(self) -> bool:
        return bool(self._remaining_sends_by_key)
