"""Token buckets with integer arithmetic, which has no rounding errors.

``LocalBucket`` holds the tokens of this host's rate slots, and
``TransferredTokens`` those that other hosts gave to this one.
"""

import dataclasses
import functools

MAX_VALIDITY_MS = 500

# Transfers are counted in thousandths of a token (millitokens): with many
# slots the bucket of one slot may never hold a whole token.
MILLITOKENS_PER_TOKEN = 1_000


@dataclasses.dataclass(frozen=True)
class Quota:
    """Rate (tokens per second) and burst of an account over all slots.

    The level of a bucket is counted in parts of a token: one token is
    ``1000 * slots`` parts, so that a slot gains exactly ``rate`` parts in a
    millisecond.
    """

    rate: int
    burst: int
    slots: int

    @functools.cached_property
    def validity_ms(self) -> int:
        """Return how long a transferred token is valid, in milliseconds.

        At most half of the time in which the rate refills the burst.
        """
        if self.rate == 0:
            return MAX_VALIDITY_MS
        half_burst_ms = self.burst * 1_000 // (2 * self.rate)
        return min(MAX_VALIDITY_MS, half_burst_ms)

    @functools.cached_property
    def slot_capacity(self) -> int:
        """Return the capacity of one slot's bucket in parts of a token.

        It is lower than the burst by what the rate refills in
        ``validity_ms``: tokens that were transferred stay valid for that
        time while their bucket refills, and the sum must not exceed the
        burst.
        """
        return 1_000 * self.burst - self.rate * self.validity_ms


class LocalBucket:
    """One bucket for all rate slots of an account that this host holds."""

    def __init__(self, quota: Quota, claims_ms: list[int], now: int) -> None:
        """Start with what each slot gained since it was claimed.

        ``claims_ms`` has the time at which each held slot was claimed.
        """
        self.quota = quota
        self._held_slots = len(claims_ms)
        self._refilled_ms = now
        self._level = sum(
            min(quota.slot_capacity, quota.rate * (now - claimed_ms))
            for claimed_ms in claims_ms
        )

    @property
    def millitokens(self) -> int:
        """Return the content at the last ``refill``, in millitokens."""
        return self._level // self.quota.slots

    def refill(self, now: int) -> None:
        """Add the tokens gained since the last call."""
        elapsed_ms = now - self._refilled_ms
        if elapsed_ms <= 0:
            return
        self._refilled_ms = now
        refilled = elapsed_ms * self.quota.rate * self._held_slots
        self._level = min(
            self._held_slots * self.quota.slot_capacity, self._level + refilled
        )

    def consume(self, millitokens: int) -> None:
        """Remove millitokens; the bucket must hold that many."""
        self._level -= millitokens * self.quota.slots
        assert self._level >= 0

    @property
    def can_hold_token(self) -> bool:
        """Tell whether the bucket, when full, holds a whole token."""
        capacity = self._held_slots * self.quota.slot_capacity
        return capacity >= MILLITOKENS_PER_TOKEN * self.quota.slots

    def tokens_per_second(self) -> float:
        """Return the tokens that the held slots gain per second."""
        return self.quota.rate * self._held_slots / self.quota.slots

    def set_held_slots(self, held_slots: int) -> None:
        """Set the number of held slots; call ``refill`` first.

        The share of a lost slot is removed from the bucket, and a new slot
        starts empty.
        """
        if held_slots < self._held_slots:
            self._level = self._level * held_slots // self._held_slots
        self._held_slots = held_slots

    def empty_slots(self, count: int) -> None:
        """Remove the share of ``count`` held slots; call ``refill`` first."""
        if count:
            self._level = (
                self._level * (self._held_slots - count) // self._held_slots
            )

    def fill_slots(self, count: int) -> None:
        """Add the capacity of ``count`` held slots, which must be empty."""
        capacity = self._held_slots * self.quota.slot_capacity
        self._level = min(
            capacity, self._level + count * self.quota.slot_capacity
        )

    def set_quota(self, quota: Quota) -> None:
        """Apply a changed quota; call ``refill`` first."""
        level = self._level * quota.slots // self.quota.slots
        self._level = min(self._held_slots * quota.slot_capacity, level)
        self.quota = quota


class TransferredTokens:
    """Millitokens from other hosts' buckets, kept until they expire."""

    def __init__(self) -> None:
        # Pairs of expiry time and millitokens; the next to expire is first.
        self._batches: list[tuple[int, int]] = []

    def add(self, millitokens: int, expires_ms: int) -> None:
        """Add millitokens that may be used before ``expires_ms``."""
        self._batches.append((expires_ms, millitokens))
        self._batches.sort()

    def available_millitokens(self, now: int) -> int:
        """Drop expired tokens; return the millitokens that are left."""
        while self._batches and self._batches[0][0] <= now:
            del self._batches[0]
        return sum(amount for _, amount in self._batches)

    def consume_with_validity(self, millitokens: int, now: int) -> int:
        """Remove millitokens; return for how long all of them are valid.

        Returns milliseconds, ``MAX_VALIDITY_MS`` if none are removed.
        """
        valid_ms = MAX_VALIDITY_MS
        if millitokens:
            valid_ms = self._batches[0][0] - now
        self.consume(millitokens)
        return valid_ms

    def consume(self, millitokens: int) -> None:
        """Remove millitokens, next to expire first.

        Not more than ``available_millitokens`` has just returned.
        """
        while millitokens:
            expires_ms, amount = self._batches[0]
            used = min(amount, millitokens)
            millitokens -= used
            if used == amount:
                del self._batches[0]
            else:
                self._batches[0] = (expires_ms, amount - used)
