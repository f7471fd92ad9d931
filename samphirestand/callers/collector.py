"""The collection of an account's surplus tokens by its rate owner.

The rate owner is the host that other hosts ask for tokens of the account.
"""

import asyncio
import collections.abc
import dataclasses

from samphirestand.callers import bucket
from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import log
from samphirestand import types

# A request that the first round can't satisfy stays queued for further
# rounds, so that hosts are served in turn. The last round begins within this
# time, because the answer must reach the requesting host within 90 ms, after
# which it is lost, and because that host counts the validity of the tokens
# from the moment it sent the request. For tokens that expire soon, the limit
# is the validity divided by QUEUED_VALIDITY_DIVISOR, if that is less.
MAX_QUEUED_MS = 30
QUEUED_VALIDITY_DIVISOR = 4
ROUND_PAUSE_MS = 10

_log = log.get_logger(__name__)


@dataclasses.dataclass
class _TokenRequest:
    """A host's request for ``wanted`` millitokens."""

    wanted: int
    queued_ms: int
    grant: asyncio.Future[types.TokenGrant]


class Collector:
    """Collects tokens in rounds and divides them among waiting hosts.

    A round serves the requests that are queued when it starts. A host can't
    use a fraction of a token, so it gets whole tokens or all that it asked
    for. What is left is kept for the next round until it expires.
    """

    def __init__(
        self,
        account: str,
        clock: clock_module.Clock,
        token_source: interfaces.TokenSource,
        take_local_surplus: collections.abc.Callable[[int], int],
    ) -> None:
        self._account = account
        self._clock = clock
        self._token_source = token_source
        self._take_local_surplus = take_local_surplus
        self._queue: list[_TokenRequest] = []
        self._leftover = bucket.TransferredTokens()
        self._rounds_task: asyncio.Task[None] | None = None

    async def collect(self, wanted: int, validity_ms: int) -> types.TokenGrant:
        """Collect up to ``wanted`` millitokens from this and other hosts."""
        request = _TokenRequest(
            wanted,
            self._clock.now(),
            asyncio.get_running_loop().create_future(),
        )
        self._queue.append(request)
        if self._rounds_task is None:
            self._rounds_task = asyncio.create_task(
                self._run_rounds(validity_ms)
            )
        return await request.grant

    async def _run_rounds(self, validity_ms: int) -> None:
        try:
            while self._queue:
                has_granted = await self._run_round(validity_ms)
                if self._queue and not has_granted:
                    await self._clock.sleep(ROUND_PAUSE_MS)
        finally:
            self._rounds_task = None

    async def _run_round(self, validity_ms: int) -> bool:
        """Run one round; tell whether it granted tokens to a host."""
        # Only requests that were sent before this moment take part: a host
        # counts the validity from its request, so the tokens must leave
        # their buckets after it.
        requests, self._queue = self._queue, []
        started_ms = self._clock.now()
        wanted = sum(request.wanted for request in requests)
        local_millitokens = self._take_local_surplus(wanted)
        missing_millitokens = (
            wanted
            - local_millitokens
            - self._leftover.available_millitokens(started_ms)
        )
        collected = await self._collect_from_hosts(missing_millitokens)
        now = self._clock.now()
        valid_ms = min(validity_ms, collected.valid_ms or validity_ms)
        new_millitokens = local_millitokens + collected.tokens
        amounts = divide_tokens(
            new_millitokens + self._leftover.available_millitokens(now),
            [request.wanted for request in requests],
        )
        max_queued_ms = min(
            MAX_QUEUED_MS, validity_ms // QUEUED_VALIDITY_DIVISOR
        )
        unserved = []
        for request, amount in zip(requests, amounts, strict=True):
            if amount:
                new_part = min(amount, new_millitokens)
                new_millitokens -= new_part
                leftover_valid_ms = self._leftover.consume_with_validity(
                    amount - new_part, now
                )
                _set_grant(request, amount, min(valid_ms, leftover_valid_ms))
            elif now - request.queued_ms >= max_queued_ms:
                _set_grant(request, 0, 0)
            else:
                unserved.append(request)
        if new_millitokens:
            self._leftover.add(new_millitokens, started_ms + valid_ms)
        self._queue = unserved + self._queue
        return any(amounts)

    async def _collect_from_hosts(self, wanted: int) -> types.TokenGrant:
        if wanted <= 0:
            return types.TokenGrant(0, 0)
        try:
            return await self._token_source.collect(self._account, wanted)
        except Exception as error:
            _log.warning('no tokens', step='rate', error=str(error))
            return types.TokenGrant(0, 0)


def divide_tokens(total: int, wanted: list[int]) -> list[int]:
    """Divide ``total`` millitokens among hosts; return an amount for each.

    Each host gets whole tokens in proportion to what it wanted. The rest
    goes to the hosts in order: each gets one more token, or what it lacks if
    that is less, unless the rest is too small for it.
    """
    sum_wanted = sum(wanted)
    if total >= sum_wanted:
        return list(wanted)
    amounts = [
        total
        * host_wanted
        // sum_wanted
        // bucket.MILLITOKENS_PER_TOKEN
        * bucket.MILLITOKENS_PER_TOKEN
        for host_wanted in wanted
    ]
    remaining = total - sum(amounts)
    for index, host_wanted in enumerate(wanted):
        chunk = min(bucket.MILLITOKENS_PER_TOKEN, host_wanted - amounts[index])
        if chunk <= remaining:
            amounts[index] += chunk
            remaining -= chunk
    return amounts


def _set_grant(request: _TokenRequest, tokens: int, valid_ms: int) -> None:
    if not request.grant.done():
        request.grant.set_result(types.TokenGrant(tokens, valid_ms))
