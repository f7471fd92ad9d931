"""The rate owner's collection of an account's surplus tokens."""

import asyncio
import collections.abc
import dataclasses

from samphirestand.callers import bucket
from samphirestand import clock as clock_module
from samphirestand import interfaces
from samphirestand import log
from samphirestand import types

# A question that the first round can't satisfy stays for further rounds, so
# that hosts are served in turn. A last round begins before this time and its
# answer must reach the asker within 90 ms, after which it is lost; and the
# asker counts the validity of its tokens from the question.
LONGEST_HOLD_MS = 30
HOLD_SHARE = 4
ROUND_PAUSE_MS = 10

_log = log.get_logger(__name__)


@dataclasses.dataclass
class _Share:
    """What one host asked for, in thousandths of a token."""

    wanted: int
    asked_ms: int
    grant: asyncio.Future[types.TokenGrant]


class Collector:
    """Collects in rounds that the hosts waiting at their start share.

    A share that can't be used is no help: tokens go out whole, and what is
    left stays in a pool for the next round until it expires.
    """

    def __init__(
        self,
        account: str,
        clock: clock_module.Clock,
        token_source: interfaces.TokenSource,
        take_own: collections.abc.Callable[[int], int],
    ) -> None:
        self._account = account
        self._clock = clock
        self._token_source = token_source
        self._take_own = take_own
        self._shares: list[_Share] = []
        self._pool = bucket.TransferredTokens()
        self._rounds: asyncio.Task[None] | None = None

    async def collect(self, wanted: int, validity_ms: int) -> types.TokenGrant:
        """Collect up to ``wanted`` thousandths from this and other hosts."""
        share = _Share(
            wanted,
            self._clock.now(),
            asyncio.get_running_loop().create_future(),
        )
        self._shares.append(share)
        if self._rounds is None:
            self._rounds = asyncio.create_task(self._run(validity_ms))
        return await share.grant

    async def _run(self, validity_ms: int) -> None:
        try:
            while self._shares:
                served = await self._round(validity_ms)
                if self._shares and not served:
                    await self._clock.sleep(ROUND_PAUSE_MS)
        finally:
            self._rounds = None

    async def _round(self, validity_ms: int) -> bool:
        """Run one round; tells whether it served a share."""
        # Only hosts that asked before this moment take part: they count the
        # validity from their question, and the tokens leave their buckets
        # after it.
        shares, self._shares = self._shares, []
        started_ms = self._clock.now()
        wanted = sum(share.wanted for share in shares)
        own = self._take_own(wanted)
        lacking = wanted - own - self._pool.available(started_ms)
        others = await self._ask_others(lacking)
        now = self._clock.now()
        valid_ms = min(validity_ms, others.valid_ms or validity_ms)
        fresh = own + others.tokens
        parts = divide(
            fresh + self._pool.available(now),
            [share.wanted for share in shares],
        )
        hold_ms = min(LONGEST_HOLD_MS, validity_ms // HOLD_SHARE)
        unserved = []
        for share, part in zip(shares, parts, strict=True):
            if part:
                fresh_part = min(part, fresh)
                fresh -= fresh_part
                left_ms = self._pool.take_until(part - fresh_part, now)
                _answer(share, part, min(valid_ms, left_ms))
            elif now - share.asked_ms >= hold_ms:
                _answer(share, 0, 0)
            else:
                unserved.append(share)
        if fresh:
            self._pool.add(fresh, started_ms + valid_ms)
        self._shares = unserved + self._shares
        return any(parts)

    async def _ask_others(self, wanted: int) -> types.TokenGrant:
        if wanted <= 0:
            return types.TokenGrant(0, 0)
        try:
            return await self._token_source.collect(self._account, wanted)
        except Exception as error:
            _log.warning('no tokens', step='rate', error=str(error))
            return types.TokenGrant(0, 0)


def divide(total: int, wanted: list[int]) -> list[int]:
    """Divide thousandths of tokens among hosts.

    Each host gets whole tokens in proportion to what it wanted. The rest
    goes, in turn, to hosts that lack a token or less and can have it all.
    """
    sum_wanted = sum(wanted)
    if total >= sum_wanted:
        return list(wanted)
    parts = [
        total * each // sum_wanted // bucket.MILLI * bucket.MILLI
        for each in wanted
    ]
    left = total - sum(parts)
    for index, each in enumerate(wanted):
        chunk = min(bucket.MILLI, each - parts[index])
        if chunk <= left:
            parts[index] += chunk
            left -= chunk
    return parts


def _answer(share: _Share, tokens: int, valid_ms: int) -> None:
    if not share.grant.done():
        share.grant.set_result(types.TokenGrant(tokens, valid_ms))
