"""Why a request was refused, a primary replaced, a host is not ready."""

import asyncio
import collections.abc
import datetime
from typing import Protocol

from samphirestand import clock as clocks
from samphirestand.control import audit
from samphirestand import exceptions
from samphirestand import interfaces
from samphirestand.operators import codes
from samphirestand import types

# Hosts are asked in groups, so that one command doesn't open connections to
# thousands of hosts at once, and until a time limit.
HOSTS_AT_ONCE = 32
ANSWER_TIMEOUT_MS = 1_000
ASK_LIMIT_MS = 8_000

FAILOVER_HOURS = 7 * 24
FAILOVERS_SHOWN = 5

Texts = list[str]


class Refusals(Protocol):
    """The latest refusals of this host."""

    def find(self, request_id: str) -> list[types.Refusal]:
        """Return the latest refusals with this request id."""


class Peers(Protocol):
    """Asks other hosts."""

    async def explain(
        self, host: types.Host, kind: str, subject: str, timeout_ms: int
    ) -> str | exceptions.Sentinel:
        """Return the text of ``host``; raises ``HostError``."""


class Trail(Protocol):
    """Reads the audit trail."""

    async def query(self, query: audit.Query) -> audit.Answer:
        """Return the events that match."""


class Explainer:
    """Explains from what this host, other hosts and the audit know."""

    def __init__(
        self,
        *,
        configuration: interfaces.ConfigurationSource,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        refusals: Refusals,
        trail: Trail,
        peers: Peers,
        clock: clocks.Clock,
        rate_slots: collections.abc.Callable[[], int] | None = None,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._routes = routes
        self._refusals = refusals
        self._trail = trail
        self._peers = peers
        self._clock = clock
        self._rate_slots = rate_slots

    def explain(self, kind: str, subject: str) -> str | exceptions.Sentinel:
        """Return what this host knows; a sentinel if it knows nothing.

        This is what other hosts ask for.
        """
        match kind:
            case 'request':
                lines = self._request(subject)
            case 'host' if subject == self._membership.local.host_id:
                lines = self._own_state()
            case _:
                lines = []
        if not lines:
            return exceptions.Sentinel(f'{kind} {subject} is unknown here')
        return '\n'.join(lines)

    async def ask(self, kind: str, subject: str) -> Texts:
        """Return lines for an operator, with what other hosts know."""
        match kind:
            case 'request':
                return await self._ask_request(subject)
            case 'host':
                return await self._ask_host(subject)
            case 'primary':
                return await self._primary(subject)
        return [f'{kind} cannot be explained']

    def _request(self, request_id: str) -> Texts:
        lines = []
        host_id = self._membership.local.host_id
        for refusal in self._refusals.find(request_id):
            code = codes.find(refusal.code)
            lines += [
                f'{moment(refusal.wall_ms)}: host {host_id} did not complete'
                f' request {request_id} of account {refusal.account or "-"}'
                f' in step {refusal.step}: {refusal.code}: {refusal.reason}',
                f'meaning: {code.meaning}',
                f'what to do: {code.advice}',
            ]
        return lines

    async def _ask_request(self, request_id: str) -> Texts:
        lines = self._request(request_id)
        if lines:
            return lines
        local_id = self._membership.local.host_id
        hosts = [
            host
            for host in self._membership.reachable()
            if host.host_id != local_id
        ]
        return await self._ask_hosts(hosts, request_id)

    async def _ask_hosts(
        self, hosts: list[types.Host], request_id: str
    ) -> Texts:
        """Ask until a host knows the request."""
        give_up_at = self._clock.now() + ASK_LIMIT_MS
        silent: list[str] = []
        asked = 0
        while asked < len(hosts) and self._clock.now() < give_up_at:
            group = hosts[asked : asked + HOSTS_AT_ONCE]
            asked += len(group)
            answers = await asyncio.gather(
                *(self._ask(host, 'request', request_id) for host in group)
            )
            found = [each for each in answers if isinstance(each, str)]
            if found:
                return [line for text in found for line in text.splitlines()]
            silent += [
                host.host_id
                for host, answer in zip(group, answers, strict=True)
                if answer is None
            ]
        return self._not_found(request_id, asked, len(hosts), silent)

    def _not_found(
        self, request_id: str, asked: int, known: int, silent: list[str]
    ) -> Texts:
        lines = [
            f'no refusal of request {request_id} is known to this host or to '
            f'the {asked - len(silent)} other hosts that answered',
            'a host keeps its latest 10,000 refusals and loses them when it '
            'stops; a request that was done leaves no record',
        ]
        if silent:
            lines.append(f'no answer from: {some(silent)}')
        if asked < known:
            lines.append(f'{known - asked} hosts were not asked in time')
        return lines

    async def _ask(
        self, host: types.Host, kind: str, subject: str
    ) -> str | exceptions.Sentinel | None:
        """Return the answer of ``host``, None if there was none."""
        try:
            return await self._peers.explain(
                host, kind, subject, ANSWER_TIMEOUT_MS
            )
        except exceptions.HostError:
            return None

    def _own_state(self) -> Texts:
        local = self._membership.local
        version = self._configuration.current.version
        lines = [
            f'host {local.host_id} in availability zone {local.zone}, '
            f'{local.status.value}, configuration version {version}'
        ]
        if local.status == types.HostStatus.DRAINING:
            lines.append('not ready: a planned stop is under way')
        if self._is_retired(local.host_id):
            lines.append('not ready: retired; RESTORE HOST takes it back')
        if not self._configuration.is_confirmed():
            lines.append(
                'cut off: for 5 s neither the platform nor a host of every '
                'zone was heard of; requests with a key are refused, except '
                'for accounts with WHEN ISOLATED SERVE'
            )
        if self._rate_slots is not None and not self._rate_slots():
            lines.append(
                'holds no rate slot: it depends on tokens of other hosts'
            )
        if len(lines) == 1:
            lines.append('nothing is known that keeps it from being ready')
        return lines

    async def _ask_host(self, host_id: str) -> Texts:
        if host_id == self._membership.local.host_id:
            return self._own_state()
        host = self._reachable(host_id)
        if host is None:
            return self._unreachable(host_id)
        answer = await self._ask(host, 'host', host_id)
        if isinstance(answer, str):
            return answer.splitlines()
        lines = [
            f'host {host_id} in availability zone {host.zone} is in contact '
            f'with its zone as {host.status.value}, but did not answer this '
            f'host within {ANSWER_TIMEOUT_MS} ms'
        ]
        if self._is_retired(host_id):
            lines.append('not ready: retired; RESTORE HOST takes it back')
        return lines

    def _unreachable(self, host_id: str) -> Texts:
        lines = [
            f'not ready: host {host_id} was not heard of in the last 10 s, '
            'or never; its process or its network is down, or the id is wrong'
        ]
        if self._is_retired(host_id):
            lines.append('the host is retired; RESTORE HOST takes it back')
        return lines

    def _reachable(self, host_id: str) -> types.Host | None:
        for host in self._membership.reachable():
            if host.host_id == host_id:
                return host
        return None

    def _is_retired(self, host_id: str) -> bool:
        return host_id in self._configuration.current.retired_host_ids

    async def _primary(self, name: str) -> Texts:
        service = self._configuration.current.services_by_name.get(name)
        if service is None:
            return [f'there is no service {name}; see SHOW SERVICES']
        return [
            self._route(name),
            *self._targets(service),
            *await self._failovers(name),
        ]

    def _route(self, name: str) -> str:
        route = self._routes.primary(name)
        if isinstance(route, exceptions.Sentinel):
            return f'service {name} has no known primary: {route.reason}'
        return (
            f'service {name}: target {route.primary_target_id} is the '
            f'primary of term {route.term}'
        )

    def _targets(self, service: types.Service) -> Texts:
        lines = []
        for target_id in service.target_ids:
            target = self._configuration.current.targets_by_id[target_id]
            gateway = self._membership.gateway_host(target)
            place = (
                f'gateway host {gateway.host_id}'
                if isinstance(gateway, types.Host)
                else f'no gateway host: {gateway.reason}'
            )
            retired = ', retired' if target.retired else ''
            lines.append(
                f'target {target_id} in availability zone {target.zone}'
                f'{retired}, {place}'
            )
        return lines

    async def _failovers(self, name: str) -> Texts:
        since_ms = self._clock.wall() - FAILOVER_HOURS * audit.HOUR_MS
        answer = await self._trail.query(
            audit.Query(
                since_ms=max(0, since_ms),
                kind='failover',
                subject=name,
                limit=FAILOVERS_SHOWN,
            )
        )
        lines = [
            f'{moment(event.wall_ms)}: {event.reason}'
            for event in answer.events
        ]
        if not answer.is_complete:
            lines.append(f'earlier failovers may be missing: {answer.reason}')
        elif not lines:
            lines.append(f'no failover in the last {FAILOVER_HOURS} hours')
        return lines


def moment(wall_ms: int) -> str:
    """Return wall time as people read it, in UTC."""
    found = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return found.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def some(names: collections.abc.Sequence[str], most: int = 10) -> str:
    """Return at most ``most`` names and how many more there are."""
    more = len(names) - most
    shown = ', '.join(names[:most])
    return f'{shown} and {more} more' if more > 0 else shown
