"""Limits the rates of client accounts over the whole fleet.

Each token source (see ``Members.is_token_source``) accrues an equal share of
every account's rate in a token bucket. It moves the tokens that it doesn't
need to the account's pool host, which grants them to hosts that run short.
Tokens are only moved, never duplicated, so the fleet stays within the rate
even when hosts can't reach each other.
"""

import asyncio
import collections.abc
import dataclasses
import enum

from samphirestand import catalog as catalog_module
from samphirestand import clock as clock_module
from samphirestand import exceptions
from samphirestand.fleet import frames
from samphirestand.fleet import members as members_module

__all__ = [
    'AccountRateLimiter',
    'Bucket',
    'RateState',
    'TokenPool',
    'TokenSource',
]

# Millitokens per token, and milliseconds per second.
MILLIS_PER_UNIT = 1_000

# The share of an account's burst that the buckets of all token sources
# together may hold; the rest may be held by the pool.
LOCAL_BURST_SHARE = 0.5

# A bucket holds part of the burst only if that part is at least this large.
# With less, every host would hold a fraction of a token, which admits no
# operation, so all tokens go to the pool host.
MIN_LOCAL_CAPACITY_MILLITOKENS = 2 * MILLIS_PER_UNIT

# A bucket can hold at least the tokens that it accrues in this time, which is
# two ping intervals: pings carry the surplus to the pool hosts.
RETAINED_ACCRUAL_MS = 500

# A token request and its answer may both cross zones. A later answer is of no
# use to a statement with a latency objective of about 100 ms.
TOKEN_REQUEST_TIMEOUT_MS = 60

# A host requests and retains enough tokens for its demand during this time.
PREFETCH_MS = 250

# At least this long passes between the end of a process and the time when its
# successor serves callers (restart delay and start-up). No tokens accrue in
# between, so a new bucket is credited with them.
RESTART_GAP_MS = 500

# A bucket that is created later than this is one of a new account, or of a
# host that has become a token source.
MAX_START_MS = 5_000

# A host whose bucket isn't empty may owe one token of an account, so that an
# operation needn't wait for the answer of the pool host.
MAX_OWED_MILLITOKENS = MILLIS_PER_UNIT

# Owed tokens may use this share of the operations by which an account may
# exceed its rate; a host that restarts forgets what it owes.
OWED_SLACK_SHARE = 0.5

# How long an operation waits for a token, and the delay between attempts.
MAX_TOKEN_WAIT_MS = 60
TOKEN_RETRY_MS = 20


@dataclasses.dataclass
class Bucket:
    """Token bucket of one account on one host."""

    millitokens: float = 0.0
    refilled_ms: int = 0
    demand_per_s: float = 0.0  # operations per second, smoothed
    rate: float | None = None  # tokens per second since the last refill

    def refill(self, now: int, rate: float, capacity: float) -> None:
        """Add tokens for the time since the last call."""
        self.millitokens = self.millitokens_at(now, rate, capacity)
        elapsed_ms = max(0, now - self.refilled_ms)
        self.refilled_ms = now
        self.rate = rate
        # The demand decays with a time constant of two seconds.
        self.demand_per_s *= max(0.0, 1 - elapsed_ms / 2_000)

    def millitokens_at(self, now: int, rate: float, capacity: float) -> float:
        """Return what the bucket holds with what accrued since the last call.

        Tokens accrue at ``rate`` tokens per second, or at the rate of the last
        call if that was lower: a host that has just become a token source
        accrued none before.
        """
        elapsed_ms = max(0, now - self.refilled_ms)
        accrued_rate = rate if self.rate is None else min(rate, self.rate)
        return min(
            max(capacity, self.millitokens),
            self.millitokens + accrued_rate * elapsed_ms,
        )

    def surplus_millitokens(self, capacity: float) -> int:
        """Return the millitokens that this host doesn't need."""
        needed_millitokens = min(capacity, self.demand_per_s * PREFETCH_MS)
        return max(0, int(self.millitokens - needed_millitokens))


@dataclasses.dataclass
class TokenPool:
    """Tokens of one account that its pool host holds for all hosts."""

    millitokens: float = 0.0

    def deposit(self, millitokens: int, capacity: float) -> None:
        """Add tokens up to ``capacity``, in millitokens."""
        self.millitokens = min(capacity, self.millitokens + millitokens)

    def can_grant(self, min_millitokens: int) -> bool:
        return self.millitokens >= min_millitokens

    def grant(self, wanted_millitokens: int, min_millitokens: int) -> int:
        """Remove and return up to ``wanted_millitokens``.

        Grants nothing if the pool holds fewer than ``min_millitokens``: less
        would not admit an operation on the requesting host.
        """
        if not self.can_grant(min_millitokens):
            return 0
        granted = int(min(wanted_millitokens, self.millitokens))
        self.millitokens -= granted
        return granted


class TokenSource(enum.StrEnum):
    """Where an operation gets its token."""

    BUCKET = 'bucket'  # of this host
    OWED = 'owed'  # the pool host grants it afterwards
    POOL = 'pool'  # the pool host must grant it before


@dataclasses.dataclass(frozen=True)
class RateState:
    """Whether an account may start an operation, and why.

    ``is_admitted`` is None if that depends on the pool host, which is another
    host and must hold ``min_grant``. ``pool_millitokens`` are what this host
    holds for all. Tokens are in thousandths.
    """

    rate: int
    burst: int
    millitokens: int
    demand_per_s: float
    token_hosts: int
    pool_host: str
    source: TokenSource
    is_admitted: bool | None
    min_grant: int
    pool_millitokens: int


class AccountRateLimiter:
    """Decides whether an account may start another operation at its rate."""

    def __init__(
        self,
        clock: clock_module.Clock,
        members: members_module.Members,
        catalog: collections.abc.Callable[[], catalog_module.Catalog],
        rate_slack: int = 0,
    ) -> None:
        self._clock = clock
        self._members = members
        self._catalog = catalog
        # By how many operations an account may exceed its rate.
        self._rate_slack = rate_slack
        self._buckets_by_account: dict[str, Bucket] = {}
        self._pools_by_account: dict[str, TokenPool] = {}
        self._started_ms = clock.now()
        self._was_token_source = False
        self._request_tasks_by_account: dict[str, asyncio.Task[None]] = {}

    async def take_token(self, account: str) -> bool:
        """Take a token for one operation; return False if there is none.

        Where that can't exceed the account's rate by more than is tolerated,
        an operation of a calm account takes a token that this host owes until
        the pool host has granted it. Otherwise it waits up to
        ``MAX_TOKEN_WAIT_MS`` for one.
        """
        configured_account = self._catalog().accounts_by_name.get(account)
        if configured_account is None:
            return False
        bucket = self._refilled_bucket(configured_account)
        bucket.demand_per_s += 0.5
        deadline_ms = self._clock.now() + MAX_TOKEN_WAIT_MS
        while True:
            source = self._token_source(configured_account, bucket.millitokens)
            if source is not TokenSource.POOL:
                bucket.millitokens -= MILLIS_PER_UNIT
                if source is TokenSource.OWED:
                    self._start_request(configured_account, bucket)
                return True
            await self._request_tokens(configured_account, bucket)
            if bucket.millitokens < MILLIS_PER_UNIT:
                if self._clock.now() + TOKEN_RETRY_MS > deadline_ms:
                    return False
                await self._clock.sleep(TOKEN_RETRY_MS)
            self._refilled_bucket(configured_account)

    def _token_source(
        self, account: catalog_module.Account, millitokens: float
    ) -> TokenSource:
        """Return where an operation gets its token."""
        if millitokens >= MILLIS_PER_UNIT:
            return TokenSource.BUCKET
        if (
            millitokens >= MILLIS_PER_UNIT - MAX_OWED_MILLITOKENS
            and account.rate > 0
            and self._may_owe_tokens
        ):
            return TokenSource.OWED
        return TokenSource.POOL

    def explain(self, name: str) -> RateState | None:
        """Say whether an operation would get a token; takes none.

        None if the account is unknown.
        """
        account = self._catalog().accounts_by_name.get(name)
        if account is None:
            return None
        now = self._clock.now()
        bucket = self._buckets_by_account.get(name) or self._new_bucket(now)
        millitokens = self._millitokens_at(account, bucket, now)
        source = self._token_source(account, millitokens)
        pool_host = self._members.host_for(_pool_job(name))
        is_admitted: bool | None = source is not TokenSource.POOL or (
            # An operation waits a little for a token.
            self._token_source(
                account,
                self._millitokens_at(account, bucket, now + MAX_TOKEN_WAIT_MS),
            )
            is not TokenSource.POOL
        )
        pool = self._pools_by_account.get(name) or TokenPool()
        min_grant = _min_millitokens(millitokens)
        if not is_admitted and pool_host == self._members.local.host_id:
            is_admitted = pool.can_grant(min_grant)
        elif not is_admitted and self._members.link_to(pool_host) is not None:
            is_admitted = None
        return RateState(
            account.rate,
            account.burst,
            int(millitokens),
            round(bucket.demand_per_s, 1),
            self._members.token_source_count,
            pool_host,
            source,
            is_admitted,
            min_grant,
            int(pool.millitokens),
        )

    @property
    def _may_owe_tokens(self) -> bool:
        """Tell whether all hosts that need tokens may owe one at once.

        These are the gateway hosts, of which a service has one.
        """
        owing_hosts = min(
            len(self._catalog().services_by_name),
            self._members.token_source_count,
        )
        return (
            self._members.knows_fleet
            and 0 < owing_hosts <= OWED_SLACK_SHARE * self._rate_slack
        )

    def return_token(self, account: str) -> None:
        """Return the token of an operation that was sent to no target."""
        bucket = self._buckets_by_account.get(account)
        if bucket is not None:
            bucket.millitokens += MILLIS_PER_UNIT

    def retry_after_ms(self, account: str) -> int:
        """Return how long a caller without a token should wait to retry."""
        configured_account = self._catalog().accounts_by_name.get(account)
        if configured_account is None or configured_account.rate <= 0:
            return MILLIS_PER_UNIT
        return max(
            TOKEN_RETRY_MS, 2 * MILLIS_PER_UNIT // configured_account.rate
        )

    def describe_rate(self, account: str) -> str:
        """Return the values behind a rate decision, for a refusal's reason."""
        configured_account = self._catalog().accounts_by_name.get(account)
        bucket = self._buckets_by_account.get(account, Bucket())
        if configured_account is None:
            return 'no such account'
        return (
            f'rate {configured_account.rate}, '
            f'burst {configured_account.burst}, '
            f'{bucket.millitokens:.0f} thousandths here, '
            f'demand {bucket.demand_per_s:.1f}/s, '
            f'{self._members.token_source_count} hosts, collected by '
            f'{self._members.host_for(_pool_job(account))}'
        )

    def _refilled_bucket(self, account: catalog_module.Account) -> Bucket:
        now = self._clock.now()
        bucket = self._buckets_by_account.get(account.name)
        if bucket is None:
            bucket = self._new_bucket(now)
            self._buckets_by_account[account.name] = bucket
        if self._members.knows_fleet:
            bucket.refill(now, *self._accrual(account))
        return bucket

    def _new_bucket(self, now: int) -> Bucket:
        """Return the bucket of an account that has none on this host.

        An earlier process of this host may have spent its tokens until it
        ended, so it starts with those of the restart only.
        """
        is_starting = now - self._started_ms < MAX_START_MS
        return Bucket(refilled_ms=now - RESTART_GAP_MS if is_starting else now)

    def _millitokens_at(
        self, account: catalog_module.Account, bucket: Bucket, now: int
    ) -> float:
        """Return what a bucket holds when it is refilled at a moment."""
        if not self._members.knows_fleet:
            # Until it knows other hosts, this host would count itself as the
            # only token source and accrue the whole rate.
            return bucket.millitokens
        return bucket.millitokens_at(now, *self._accrual(account))

    def _accrual(self, account: catalog_module.Account) -> tuple[float, float]:
        """Return an account's rate on this host and a bucket's capacity."""
        rate = 0.0
        if self._members.is_token_source:
            rate = account.rate / self._members.token_source_count
        return rate, max(
            self._local_capacity(account), rate * RETAINED_ACCRUAL_MS
        )

    def _local_capacity(self, account: catalog_module.Account) -> float:
        """Return the millitokens of the burst that this host may hold."""
        capacity = (
            LOCAL_BURST_SHARE
            * account.burst
            * MILLIS_PER_UNIT
            / self._members.token_source_count
        )
        return capacity if capacity >= MIN_LOCAL_CAPACITY_MILLITOKENS else 0.0

    def _pool_capacity(self, account: catalog_module.Account) -> float:
        """Return the millitokens that the account's pool may hold."""
        local_total = (
            self._local_capacity(account) * self._members.token_source_count
        )
        return max(
            MILLIS_PER_UNIT, account.burst * MILLIS_PER_UNIT - local_total
        )

    async def _request_tokens(
        self, account: catalog_module.Account, bucket: Bucket
    ) -> None:
        """Get tokens from the pool host and wait for its answer."""
        await asyncio.shield(self._start_request(account, bucket))

    def _start_request(
        self, account: catalog_module.Account, bucket: Bucket
    ) -> asyncio.Task[None]:
        """Request tokens from the pool host, with one request at a time."""
        request_task = self._request_tasks_by_account.get(account.name)
        if request_task is None or request_task.done():
            request_task = asyncio.create_task(
                self._fetch_tokens(account, bucket)
            )
            self._request_tasks_by_account[account.name] = request_task
        return request_task

    async def _fetch_tokens(
        self, account: catalog_module.Account, bucket: Bucket
    ) -> None:
        min_millitokens = _min_millitokens(bucket.millitokens)
        prefetched = min(
            bucket.demand_per_s * PREFETCH_MS, self._local_capacity(account)
        )
        wanted_millitokens = int(min_millitokens + prefetched)
        host_id = self._members.host_for(_pool_job(account.name))
        if host_id == self._members.local.host_id:
            bucket.millitokens += self.grant_tokens(
                account.name, wanted_millitokens, min_millitokens
            )
            return
        link = self._members.link_to(host_id)
        if link is None:
            return
        answer = await link.request(
            lambda call_id: frames.TokenRequest(
                call_id, account.name, wanted_millitokens, min_millitokens
            ),
            TOKEN_REQUEST_TIMEOUT_MS,
        )
        match answer:
            case frames.TokenAnswer():
                bucket.millitokens += min(
                    answer.millitokens, wanted_millitokens
                )
            case exceptions.Sentinel():
                # Not logged here: the session answers the caller and logs
                # that there was no token.
                return

    def _accounts_to_review(self) -> list[catalog_module.Account]:
        """Return the accounts of which this host may have a surplus.

        Most hosts of a large fleet accrue no tokens, and this is asked for
        each round of pings.
        """
        accounts_by_name = self._catalog().accounts_by_name
        is_token_source = self._members.is_token_source
        # A host that has just stopped to accrue records that in all buckets.
        reviews_all = is_token_source or self._was_token_source
        self._was_token_source = is_token_source
        if reviews_all:
            return list(accounts_by_name.values())
        return [
            accounts_by_name[name]
            for name, bucket in self._buckets_by_account.items()
            if bucket.millitokens >= 1 and name in accounts_by_name
        ]

    def grant_tokens(
        self, account: str, wanted_millitokens: int, min_millitokens: int
    ) -> int:
        """Grant tokens of an account's pool to a host, as its pool host."""
        pool = self._pools_by_account.get(account)
        return (
            pool.grant(wanted_millitokens, min_millitokens)
            if pool is not None
            else 0
        )

    def accept_deposits(self, deposits: tuple[frames.Deposit, ...]) -> None:
        """Add the tokens that another host doesn't need to the pools."""
        for deposit in deposits:
            account = self._catalog().accounts_by_name.get(deposit.account)
            if account is None:
                continue
            pool = self._pools_by_account.setdefault(account.name, TokenPool())
            pool.deposit(deposit.millitokens, self._pool_capacity(account))

    def deposits_by_host(self) -> dict[str, tuple[frames.Deposit, ...]]:
        """Remove the surplus of all accounts and return it by pool host.

        The surplus whose pool is on this host goes to that pool at once.
        """
        surplus_by_account: dict[str, int] = {}
        for account in self._accounts_to_review():
            surplus_millitokens = self._refilled_bucket(
                account
            ).surplus_millitokens(self._local_capacity(account))
            if surplus_millitokens > 0:
                surplus_by_account[account.name] = surplus_millitokens
        host_ids = self._members.hosts_for(map(_pool_job, surplus_by_account))
        deposits: dict[str, list[frames.Deposit]] = {}
        for host_id, (name, surplus_millitokens) in zip(
            host_ids, surplus_by_account.items(), strict=True
        ):
            if not host_id:
                continue
            self._buckets_by_account[name].millitokens -= surplus_millitokens
            deposits.setdefault(host_id, []).append(
                frames.Deposit(name, surplus_millitokens)
            )
        own_deposits = deposits.pop(self._members.local.host_id, [])
        self.accept_deposits(tuple(own_deposits))
        return {key: tuple(value) for key, value in deposits.items()}


def _min_millitokens(millitokens: float) -> int:
    """Return the least grant that is of use to a bucket."""
    if millitokens < 0:
        # What this host owes is paid first, also if no more can be had.
        return max(1, int(-millitokens))
    return max(0, int(MILLIS_PER_UNIT - millitokens) + 1)


def _pool_job(account: str) -> str:
    """Return the name of the job of holding an account's token pool."""
    return f'rate/{account}'
