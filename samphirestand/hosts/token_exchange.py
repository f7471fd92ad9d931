"""Obtains rate tokens from other hosts."""

import asyncio
import random
from typing import Protocol

from samphirestand import clock as clocks
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand import types

# Transferred tokens are valid for at most 500 ms from the request, so a late
# answer is of little use, and the next request waits for the present one.
TAKE_TIMEOUT_MS = 90
COLLECT_TIMEOUT_MS = 40
COLLECT_ROUNDS = 2

# The rate owner asks at most this many hosts at the same time; more would cost
# it too much.
COLLECT_HOSTS_MAX = 50

NO_TOKENS = types.TokenGrant(0, 0)


class TokenClient(Protocol):
    """The method of ``client.PeerClients`` that the exchange calls."""

    async def take_tokens(
        self,
        host: types.Host,
        account: str,
        wanted: int,
        collect: bool,
        timeout_ms: int,
    ) -> types.TokenGrant: ...


class TokenExchange:
    """Takes tokens from the rate owner, or collects them from peers.

    Tokens whose answer is lost or late are lost, so that no token is ever
    counted twice. Implements ``interfaces.TokenSource``.
    """

    def __init__(
        self,
        membership: interfaces.Membership,
        clients: TokenClient,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._clients = clients
        self._clock = clock
        self._rng = rng or random.Random()

    async def take(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask the rate owner for tokens.

        Returns no tokens if this host is the owner, or if the call fails.
        """
        owner = self._membership.rate_owner(account)
        if owner.host_id == self._membership.local.host_id:
            return NO_TOKENS
        return await self._ask(owner, account, wanted, True, TAKE_TIMEOUT_MS)

    async def collect(self, account: str, wanted: int) -> types.TokenGrant:
        """Ask reachable peers for surplus tokens, all at the same time.

        Peers that give all that they are asked for are asked once more. The
        result is valid as long as the grant that expires first, counted from
        the beginning of this call.
        """
        peers = self._choose_peers()
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

    def _choose_peers(self) -> list[types.Host]:
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
            return NO_TOKENS
