"""Explains why requests are refused, primaries replaced, hosts not ready."""

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
# thousands of hosts at once. No further group is asked after a time limit.
HOSTS_PER_GROUP = 32
ANSWER_TIMEOUT_MS = 1_000
ASK_TIMEOUT_MS = 8_000

FAILOVER_HOURS = 7 * 24
FAILOVERS_SHOWN = 5

Lines = list[str]


class Refusals(Protocol):
    """The latest refusals of this host."""

    def find(self, request_id: str) -> list[types.Refusal]:
        """Return the latest refusals with this request id."""


class Peers(Protocol):
    """Sends requests for explanations to other hosts."""

    async def explain(
        self, host: types.Host, kind: str, subject: str, timeout_ms: int
    ) -> str | exceptions.Sentinel:
        """Return the explanation of ``host``; raises ``HostError``."""


class AuditTrail(Protocol):
    """Reads the audit trail."""

    async def query(self, query: audit.Query) -> audit.Answer:
        """Return the events that match."""


class Explainer:
    """Explains from data of this host, other hosts and the audit trail."""

    def __init__(
        self,
        *,
        configuration: interfaces.ConfigurationSource,
        membership: interfaces.Membership,
        routes: interfaces.Routes,
        refusals: Refusals,
        audit_trail: AuditTrail,
        peers: Peers,
        clock: clocks.Clock,
        rate_slots: collections.abc.Callable[[], int] | None = None,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._routes = routes
        self._refusals = refusals
        self._audit_trail = audit_trail
        self._peers = peers
        self._clock = clock
        self._rate_slots = rate_slots

    def explain(self, kind: str, subject: str) -> str | exceptions.Sentinel:
        """Return what this host knows; a sentinel if it knows nothing.

        Answers the requests of other hosts.
        """
        match kind:
            case 'request':
                lines = self._local_refusals(subject)
            case 'host' if subject == self._membership.local.host_id:
                lines = self._local_host_state()
            case _:
                lines = []
        if not lines:
            return exceptions.Sentinel(f'{kind} {subject} is unknown here')
        return '\n'.join(lines)

    async def explain_to_operator(self, kind: str, subject: str) -> Lines:
        """Return an explanation for an operator; may ask other hosts."""
        match kind:
            case 'request':
                return await self._explain_request(subject)
            case 'host':
                return await self._explain_host(subject)
            case 'primary':
                return await self._explain_primary(subject)
        return [f'{kind} cannot be explained']

    def _local_refusals(self, request_id: str) -> Lines:
        lines = []
        host_id = self._membership.local.host_id
        for refusal in self._refusals.find(request_id):
            code = codes.find_entry(refusal.code)
            lines += [
                f'{format_time(refusal.wall_ms)}: host {host_id} did not '
                f'complete request {request_id} of account '
                f'{refusal.account or "-"} in step {refusal.step}: '
                f'{refusal.code}: {refusal.reason}',
                f'meaning: {code.meaning}',
                f'what to do: {code.advice}',
            ]
        return lines

    async def _explain_request(self, request_id: str) -> Lines:
        lines = self._local_refusals(request_id)
        if lines:
            return lines
        local_id = self._membership.local.host_id
        hosts = [
            host
            for host in self._membership.reachable()
            if host.host_id != local_id
        ]
        return await self._ask_hosts_for_request(hosts, request_id)

    async def _ask_hosts_for_request(
        self, hosts: list[types.Host], request_id: str
    ) -> Lines:
        """Ask hosts, group by group, until one knows the request."""
        deadline = self._clock.now() + ASK_TIMEOUT_MS
        silent_host_ids: list[str] = []
        asked_count = 0
        while asked_count < len(hosts) and self._clock.now() < deadline:
            group = hosts[asked_count : asked_count + HOSTS_PER_GROUP]
            asked_count += len(group)
            answers = await asyncio.gather(
                *(
                    self._ask_host(host, 'request', request_id)
                    for host in group
                )
            )
            explanations = [each for each in answers if isinstance(each, str)]
            if explanations:
                return [
                    line for text in explanations for line in text.splitlines()
                ]
            silent_host_ids += [
                host.host_id
                for host, answer in zip(group, answers, strict=True)
                if answer is None
            ]
        return self._request_not_found(
            request_id, asked_count, len(hosts), silent_host_ids
        )

    def _request_not_found(
        self,
        request_id: str,
        asked_count: int,
        host_count: int,
        silent_host_ids: list[str],
    ) -> Lines:
        lines = [
            f'no refusal of request {request_id} is known to this host or to '
            f'the {asked_count - len(silent_host_ids)} other hosts that '
            'answered',
            'a host keeps its latest 10,000 refusals and loses them when it '
            'stops; a request that was done leaves no record',
        ]
        if silent_host_ids:
            lines.append(f'no answer from: {join_some(silent_host_ids)}')
        if asked_count < host_count:
            lines.append(
                f'{host_count - asked_count} hosts were not asked in time'
            )
        return lines

    async def _ask_host(
        self, host: types.Host, kind: str, subject: str
    ) -> str | exceptions.Sentinel | None:
        """Return the answer of ``host``, or None if it didn't answer."""
        try:
            return await self._peers.explain(
                host, kind, subject, ANSWER_TIMEOUT_MS
            )
        except exceptions.HostError:
            return None

    def _local_host_state(self) -> Lines:
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

    async def _explain_host(self, host_id: str) -> Lines:
        if host_id == self._membership.local.host_id:
            return self._local_host_state()
        host = self._find_reachable(host_id)
        if host is None:
            return self._unreachable_host(host_id)
        answer = await self._ask_host(host, 'host', host_id)
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

    def _unreachable_host(self, host_id: str) -> Lines:
        lines = [
            f'not ready: host {host_id} was not heard of in the last 10 s, '
            'or never; its process or its network is down, or the id is wrong'
        ]
        if self._is_retired(host_id):
            lines.append('the host is retired; RESTORE HOST takes it back')
        return lines

    def _find_reachable(self, host_id: str) -> types.Host | None:
        for host in self._membership.reachable():
            if host.host_id == host_id:
                return host
        return None

    def _is_retired(self, host_id: str) -> bool:
        return host_id in self._configuration.current.retired_host_ids

    async def _explain_primary(self, name: str) -> Lines:
        service = self._configuration.current.services_by_name.get(name)
        if service is None:
            return [f'there is no service {name}; see SHOW SERVICES']
        return [
            self._route_line(name),
            *self._target_lines(service),
            *await self._failover_lines(name),
        ]

    def _route_line(self, name: str) -> str:
        route = self._routes.primary(name)
        if isinstance(route, exceptions.Sentinel):
            return f'service {name} has no known primary: {route.reason}'
        return (
            f'service {name}: target {route.primary_target_id} is the '
            f'primary of term {route.term}'
        )

    def _target_lines(self, service: types.Service) -> Lines:
        lines = []
        for target_id in service.target_ids:
            target = self._configuration.current.targets_by_id[target_id]
            gateway = self._membership.gateway_host(target)
            gateway_text = (
                f'gateway host {gateway.host_id}'
                if isinstance(gateway, types.Host)
                else f'no gateway host: {gateway.reason}'
            )
            retired = ', retired' if target.retired else ''
            lines.append(
                f'target {target_id} in availability zone {target.zone}'
                f'{retired}, {gateway_text}'
            )
        return lines

    async def _failover_lines(self, name: str) -> Lines:
        since_ms = self._clock.wall() - FAILOVER_HOURS * audit.HOUR_MS
        answer = await self._audit_trail.query(
            audit.Query(
                since_ms=max(0, since_ms),
                kind='failover',
                subject=name,
                limit=FAILOVERS_SHOWN,
            )
        )
        lines = [
            f'{format_time(event.wall_ms)}: {event.reason}'
            for event in answer.events
        ]
        if not answer.is_complete:
            lines.append(f'earlier failovers may be missing: {answer.reason}')
        elif not lines:
            lines.append(f'no failover in the last {FAILOVER_HOURS} hours')
        return lines


def format_time(wall_ms: int) -> str:
    """Return wall time in UTC as ISO 8601 text with milliseconds."""
    utc_time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return utc_time.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def join_some(names: collections.abc.Sequence[str], limit: int = 10) -> str:
    """Join at most ``limit`` names and add how many more there are."""
    more = len(names) - limit
    shown = ', '.join(names[:limit])
    return f'{shown} and {more} more' if more > 0 else shown
