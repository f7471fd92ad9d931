"""Rates of client accounts over the whole fleet.

Each host that does jobs gains an equal share of every account's rate. Tokens
that it doesn't need move to the account's collecting host, which hands them
out to hosts that run short. Tokens are only moved, never created twice, so the
fleet stays below the rate also when hosts can't reach each other.
"""

import asyncio
import collections.abc
import dataclasses

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import members as members_module

__all__ = ['Allowance', 'Bucket', 'Pot']

MILLI = 1_000

# The part of the burst that all hosts together may keep; the rest may lie at
# the collecting host.
HOME_SHARE = 0.5

# A host keeps tokens only if its part of the burst is at least this many
# thousandths. Where it is less, fractions of tokens would lie on all hosts
# and serve nobody, so all tokens go to the collecting host.
SMALLEST_HOME = 2 * MILLI

# Tokens gained since the last ping, which takes the surplus along, are kept
# for two intervals.
GAIN_KEPT_MS = 500

# A request for tokens crosses zones twice; later answers are of no use to a
# statement with an objective of about 100 ms.
ASK_TIMEOUT_MS = 60

# Tokens asked for ahead cover the demand of this time.
PREFETCH_MS = 250

# A process that ended has gained nothing for at least this long when its
# successor serves callers: the delay of the restart and the start itself.
START_CREDIT_MS = 500

# How long an operation waits for a token, and how often it tries again.
LONGEST_WAIT_MS = 60
RETRY_MS = 20


@dataclasses.dataclass
class Bucket:
    """Tokens of one account on one host, in thousandths."""

    millitokens: float = 0.0
    refilled_ms: int = 0
    demand: float = 0.0  # operations a second, smoothed

    def refill(self, now: int, rate: float, capacity: float) -> None:
        """Add ``rate`` tokens a second since the last call."""
        elapsed_ms = max(0, now - self.refilled_ms)
        self.refilled_ms = now
        self.millitokens = min(
            max(capacity, self.millitokens),
            self.millitokens + rate * elapsed_ms,
        )
        # Decays within about two seconds.
        self.demand *= max(0.0, 1 - elapsed_ms / 2_000)

    def surplus(self, capacity: float) -> int:
        """Return the thousandths that need not stay on this host."""
        needed = min(capacity, self.demand * PREFETCH_MS)
        return max(0, int(self.millitokens - needed))


@dataclasses.dataclass
class Pot:
    """Tokens that other hosts handed to the collecting host."""

    millitokens: float = 0.0

    def add(self, millitokens: int, capacity: float) -> None:
        self.millitokens = min(capacity, self.millitokens + millitokens)

    def give(self, wanted: int, least: int) -> int:
        """Remove and return up to ``wanted`` thousandths.

        Nothing if there are fewer than ``least``, which would serve nobody.
        """
        if self.millitokens < least:
            return 0
        given = int(min(wanted, self.millitokens))
        self.millitokens -= given
        return given


class Allowance:
    """Decides whether an account may start another operation."""

    def __init__(
        self,
        clock: clock_module.Clock,
        members: members_module.Members,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
    ) -> None:
        self._clock = clock
        self._members = members
        self._catalog = catalog
        self._buckets_by_account: dict[str, Bucket] = {}
        self._pots_by_account: dict[str, Pot] = {}
        self._started_ms = clock.now() - START_CREDIT_MS
        self._asking_by_account: dict[str, asyncio.Task[None]] = {}

    async def take(self, account: str) -> bool:
        """Take a token for one operation; False if there is none."""
        found = self._catalog().accounts_by_name.get(account)
        if found is None:
            return False
        bucket = self._refilled(found)
        bucket.demand += 0.5
        deadline = self._clock.now() + LONGEST_WAIT_MS
        while True:
            if bucket.millitokens >= MILLI:
                bucket.millitokens -= MILLI
                return True
            await self._ask(found, bucket)
            if bucket.millitokens < MILLI:
                if self._clock.now() + RETRY_MS > deadline:
                    return False
                await self._clock.sleep(RETRY_MS)
            self._refilled(found)

    def give_back(self, account: str) -> None:
        """Return the token of an operation that no target was offered."""
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            bucket.millitokens += MILLI

    def retry_after_ms(self, account: str) -> int:
        """Return when an account that ran short should come back."""
        found = self._catalog().accounts_by_name.get(account)
        if found is None or found.rate <= 0:
            return MILLI
        return max(RETRY_MS, 2 * MILLI // found.rate)

    def describe(self, account: str) -> str:
        """Return what the decision about an account rests on."""
        found = self._catalog().accounts_by_name.get(account)
        bucket = self._buckets_by_account.get(account, Bucket())
        if found is None:
            return 'no such account'
        return (
            f'rate {found.rate}, burst {found.burst}, '
            f'{bucket.millitokens:.0f} thousandths here, '
            f'demand {bucket.demand:.1f}/s, '
            f'{self._members.token_source_count} hosts, collected by '
            f'{self._members.host_for(_job(account))}'
        )

    def _refilled(self, account: catalog_module.Account) -> Bucket:
        now = self._clock.now()
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            # An earlier incarnation may have spent its share up to the
            # moment when it ended.
            since_ms = now - min(START_CREDIT_MS, now - self._started_ms)
            bucket = Bucket(refilled_ms=since_ms)
            self._buckets_by_account[account.name] = bucket
        if not self._members.knows_fleet:
            # This host would take itself for the only one.
            return bucket
        rate = 0.0
        if self._members.is_token_source:
            rate = account.rate / self._members.token_source_count
        capacity = max(self._home_capacity(account), rate * GAIN_KEPT_MS)
        bucket.refill(now, rate, capacity)
        return bucket

    def _home_capacity(self, account: catalog_module.Account) -> float:
        """Return the thousandths that this host may keep."""
        capacity = (
            HOME_SHARE
            * account.burst
            * MILLI
            / self._members.token_source_count
        )
        return capacity if capacity >= SMALLEST_HOME else 0.0

    def _pot_capacity(self, account: catalog_module.Account) -> float:
        """Return the thousandths that the collecting host may keep."""
        at_home = (
            self._home_capacity(account) * self._members.token_source_count
        )
        return max(MILLI, account.burst * MILLI - at_home)

    async def _ask(
        self, account: catalog_module.Account, bucket: Bucket
    ) -> None:
        """Get tokens from the collecting host, one request at a time."""
        asking = self._asking_by_account.get(account.name)
        if asking is None or asking.done():
            asking = asyncio.create_task(self._collect(account, bucket))
            self._asking_by_account[account.name] = asking
        await asyncio.shield(asking)

    async def _collect(
        self, account: catalog_module.Account, bucket: Bucket
    ) -> None:
        least = max(0, int(MILLI - bucket.millitokens) + 1)
        ahead = min(bucket.demand * PREFETCH_MS, self._home_capacity(account))
        wanted = int(least + ahead)
        host_id = self._members.host_for(_job(account.name))
        if host_id == self._members.local.host_id:
            bucket.millitokens += self.give(account.name, wanted, least)
            return
        link = self._members.link(host_id)
        if link is None:
            return
        answer = await link.ask(
            lambda call: frames.TokenRequest(
                call, account.name, wanted, least
            ),
            ASK_TIMEOUT_MS,
        )
        match answer:
            case frames.TokenAnswer():
                bucket.millitokens += min(answer.millitokens, wanted)
            case exceptions.Sentinel():
                # The caller is told and logged by the session.
                return

    def give(self, account: str, wanted: int, least: int) -> int:
        """Hand out tokens of the pot, as the collecting host."""
        pot = self._pots_by_account.get(account)
        return pot.give(wanted, least) if pot is not None else 0

    def accept(self, deposits: tuple[frames.Deposit, ...]) -> None:
        """Put tokens that another host doesn't need into the pots."""
        for deposit in deposits:
            account = self._catalog().accounts_by_name.get(deposit.account)
            if account is None:
                continue
            pot = self._pots_by_account.setdefault(account.name, Pot())
            pot.add(deposit.millitokens, self._pot_capacity(account))

    def deposits_by_host(self) -> dict[str, tuple[frames.Deposit, ...]]:
        """Remove the surplus of all accounts, by collecting host."""
        deposits: dict[str, list[frames.Deposit]] = {}
        for account in self._catalog().accounts_by_name.values():
            bucket = self._refilled(account)
            surplus = bucket.surplus(self._home_capacity(account))
            if surplus <= 0:
                continue
            bucket.millitokens -= surplus
            host_id = self._members.host_for(_job(account.name))
            deposits.setdefault(host_id, []).append(
                frames.Deposit(account.name, surplus)
            )
        own = deposits.pop(self._members.local.host_id, [])
        self.accept(tuple(own))
        return {key: tuple(value) for key, value in deposits.items()}


def _job(account: str) -> str:
    """Return the name of the job of collecting an account's tokens."""
    return f'rate/{account}'
