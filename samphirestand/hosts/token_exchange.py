"""Finds rate tokens on other hosts; implements ``interfaces.TokenSource``."""

import asyncio
import random
from typing import Protocol

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import types

# Transferred tokens are valid for at most 500 ms from the question, so a late
# answer brings little, and the next question waits for this one.
TAKE_TIMEOUT_MS = 90
COLLECT_TIMEOUT_MS = 40
COLLECT_ROUNDS = 2

# The owner asks this many hosts at once; more would cost it too much.
COLLECT_HOSTS_MAX = 50

NOTHING = types.TokenGrant(0, 0)


class Caller(Protocol):
    """The call of ``client.PeerClients`` that the exchange makes."""

    async def take_tokens(
        self,
        host: types.Host,
        account: str,
        wanted: int,
        collect: bool,
        timeout_ms: int,
    ) -> types.TokenGrant: ...


class TokenExchange:
    """Takes tokens from the rate owner or collects them from all peers.

    Tokens in an answer that is lost or late are lost; they are never counted
    twice.
    """

    def __init__(
        self,
        membership: interfaces.Membership,
        clients: Caller,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._clock = clock
        self._rng = rng or random.Random()

    async def take(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask the rate owner; empty if this host is the owner itself."""
        owner = self._membership.rate_owner(account)
        if owner.host_id == self._membership.local.host_id:
            return NOTHING
        return await self._ask(owner, account, wanted, True, TAKE_TIMEOUT_MS)

    async def collect(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask the reachable peers for surplus, all at the same time.

        Those that give all they are asked for are asked once more. The
        validity counts from the beginning of this call and is that of the
        grant that expires first.
        """
        peers = self._peers()
        started_ms = self._clock.now()
        tokens = 0
        valid_ms: list[int] = []
        for _ in range(COLLECT_ROUNDS):
            missing = wanted - tokens
            left_ms = COLLECT_TIMEOUT_MS - (self._clock.now() - started_ms)
            if not peers or missing <= 0 or left_ms <= 0:
                break
            share = -(-missing // len(peers))
            grants = await asyncio.gather(
                *(
                    self._ask(host, account, share, False, left_ms)
                    for host in peers
                )
            )
            tokens += sum(grant.tokens for grant in grants)
            valid_ms += [grant.valid_ms for grant in grants if grant.tokens]
            peers = [
                host
                for host, grant in zip(peers, grants, strict=True)
                if grant.tokens >= share
            ]
        return types.TokenGrant(tokens, min(valid_ms, default=0))

    def _peers(self) -> list[types.Host]:
        local_id = self._membership.local.host_id
        peers = [
            host
            for host in self._membership.reachable()
            if host.host_id != local_id
        ]
        return self._rng.sample(peers, min(COLLECT_HOSTS_MAX, len(peers)))

    async def _ask(
        self,
        host: types.Host,
        account: str,
        wanted: int,
        collect: bool,
        timeout_ms: int,
    ) -> types.TokenGrant:
        try:
            return await self._clients.take_tokens(
                host, account, wanted, collect, timeout_ms
            )
        except exceptions.HostError:
            return NOTHING
