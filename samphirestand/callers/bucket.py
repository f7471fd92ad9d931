"""Token buckets in exact integers: a host's own and transferred tokens."""

import dataclasses
import functools

LONGEST_VALIDITY_MS = 500

# Transfers are counted in thousandths of a token: with many slots the
# bucket of one slot may never hold a whole token.
MILLI = 1_000


@dataclasses.dataclass(frozen=True)
class Quota:
    """Rate (tokens a second) and burst of an account over all slots.

    Buckets count in parts: one token is ``1000 * slots`` parts, so a slot
    gains exactly ``rate`` parts in a millisecond.
    """

    rate: int
    burst: int
    slots: int

    @functools.cached_property
    def validity_ms(self) -> int:
        """Return how long a transferred token lives."""
        if self.rate == 0:
            return LONGEST_VALIDITY_MS
        half_burst_ms = self.burst * 1_000 // (2 * self.rate)
        return min(LONGEST_VALIDITY_MS, half_burst_ms)

    @functools.cached_property
    def depth(self) -> int:
        """Return the depth of one slot's bucket in parts.

        The burst less what transferred tokens may add: tokens that left
        their buckets live for the validity, in which the rate replaces them.
        """
        return 1_000 * self.burst - self.rate * self.validity_ms


class HomeBucket:
    """The bucket of the slots that this host holds, taken together."""

    def __init__(self, quota: Quota, births_ms: list[int], now: int) -> None:
        """Start as if it had filled since each slot's time of claim."""
        self.quota = quota
        self._held = len(births_ms)
        self._refilled_ms = now
        self._level = sum(
            min(quota.depth, quota.rate * (now - birth_ms))
            for birth_ms in births_ms
        )

    @property
    def millitokens(self) -> int:
        """Return what the last ``refill`` left, in thousandths."""
        return self._level // self.quota.slots

    def refill(self, now: int) -> None:
        """Add what came in since the last call."""
        elapsed_ms = now - self._refilled_ms
        if elapsed_ms <= 0:
            return
        self._refilled_ms = now
        gained = elapsed_ms * self.quota.rate * self._held
        self._level = min(self._held * self.quota.depth, self._level + gained)

    def take(self, millitokens: int) -> None:
        """Remove thousandths of a token that are there."""
        self._level -= millitokens * self.quota.slots
        assert self._level >= 0

    @property
    def holds_a_token(self) -> bool:
        """Tell whether the full bucket has a whole token."""
        full = self._held * self.quota.depth
        return full >= MILLI * self.quota.slots

    def per_second(self) -> float:
        """Return the tokens that come in each second."""
        return self.quota.rate * self._held / self.quota.slots

    def set_held(self, held: int) -> None:
        """Change the number of slots; call ``refill`` first.

        A lost slot takes its share of the tokens along, and a new one
        starts empty.
        """
        if held < self._held:
            self._level = self._level * held // self._held
        self._held = held

    def empty_slots(self, count: int) -> None:
        """Empty some of the held slots; call ``refill`` first."""
        if count:
            self._level = self._level * (self._held - count) // self._held

    def fill_slots(self, count: int) -> None:
        """Fill some of the held slots, which must be empty."""
        full = self._held * self.quota.depth
        self._level = min(full, self._level + count * self.quota.depth)

    def set_quota(self, quota: Quota) -> None:
        """Follow a change of the configuration; call ``refill`` first."""
        level = self._level * quota.slots // self.quota.slots
        self._level = min(self._held * quota.depth, level)
        self.quota = quota


class TransferredTokens:
    """Tokens of other hosts' buckets, in thousandths, until they expire."""

    def __init__(self) -> None:
        # Pairs of expiry and amount; the next to expire comes first.
        self._batches: list[tuple[int, int]] = []

    def add(self, millitokens: int, expires_ms: int) -> None:
        """Keep tokens that may be used before ``expires_ms``."""
        self._batches.append((expires_ms, millitokens))
        self._batches.sort()

    def available(self, now: int) -> int:
        """Return the thousandths that may still be used."""
        while self._batches and self._batches[0][0] <= now:
            del self._batches[0]
        return sum(amount for _, amount in self._batches)

    def take_until(self, millitokens: int, now: int) -> int:
        """Remove thousandths; returns for how long all of them live."""
        left_ms = LONGEST_VALIDITY_MS
        if millitokens:
            left_ms = self._batches[0][0] - now
        self.take(millitokens)
        return left_ms

    def take(self, millitokens: int) -> None:
        """Remove thousandths that ``available`` has just counted."""
        while millitokens:
            expires_ms, amount = self._batches[0]
            used = min(amount, millitokens)
            millitokens -= used
            if used == amount:
                del self._batches[0]
            else:
                self._batches[0] = (expires_ms, amount - used)
