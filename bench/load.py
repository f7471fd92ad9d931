"""Seeded callers that send requests over HTTP and record what they see."""

import asyncio
import dataclasses
import random
from typing import Any

from bench import fleet as fleet_module
from bench import http
from bench import records
from samphirestand import clock as clock_module

DEADLINE_MS = 5_000
# Callers wait a little longer than the host may take.
GRACE_MS = 2_000
MOST_ATTEMPTS = 3
RETRY_PAUSE_MS = 50
ROAM_SHARE = 0.1
LIST_LENGTH = 40
MOST_CALLERS = 150

# Shares of the operations by their arrivals; a transaction has five requests.
READ_SHARE = 0.72
TRANSACTION_SHARE = 0.02
FORBIDDEN_SHARE = 0.005
SCAN_SHARE = 0.05
OLD_READ_SHARE = 0.8
ROLLBACK_SHARE = 0.1
KEYS_PER_CALLER = 3
# An arrival that begins a transaction stands for five requests.
REQUESTS_PER_ARRIVAL = 1 + 4 * TRANSACTION_SHARE


@dataclasses.dataclass
class Shared:
    """What all callers of a run share."""

    fleet: fleet_module.Fleet
    clock: clock_module.Clock
    calls: list[records.Call]
    host_ids_off: set[str]
    foreign_sessions: dict[str, str]
    foreign_transactions: dict[str, tuple[str, str]]


class Caller:
    """One caller: a session that sends one request after the other."""

    def __init__(
        self, shared: Shared, account: str, number: int, rng: random.Random
    ) -> None:
        self.caller_id = f'{account}-{number}'
        self.account = account
        self._shared = shared
        self._rng = rng
        self._key = shared.fleet.keys_by_account[account]
        self._session = ''
        self._sequence = 0
        self._requests = 0
        self._transactions = 0
        self._names: dict[tuple[str, str], int] = {}
        self._lengths: dict[str, int] = {}
        self._channels: dict[str, http.Channel] = {}
        self._host = rng.choice(shared.fleet.hosts)

    async def act(self) -> int:
        """Send one operation; returns how many requests it took."""
        rng = self._rng
        service = rng.choice(list(self._shared.fleet.services))
        draw = rng.random()
        if draw < TRANSACTION_SHARE:
            return await self._transaction(service)
        if draw < TRANSACTION_SHARE + FORBIDDEN_SHARE:
            await self._forbidden(service)
        elif draw < TRANSACTION_SHARE + FORBIDDEN_SHARE + READ_SHARE:
            await self._read(service)
        else:
            await self._write(service)
        return 1

    def close(self) -> None:
        """Close the connections."""
        for channel in self._channels.values():
            channel.close()

    async def _read(self, service: str) -> None:
        rng = self._rng
        if rng.random() < SCAN_SHARE:
            statement = f'SCAN {self.account}/{self.caller_id}/k'
        else:
            name = rng.choice([*self._key_names(), 'l'])
            statement = f'GET {self._place(service, name)}'
        age = self._shared.fleet.services[service]['max_read_age_ms']
        await self._send(
            self._call('execute', service, statement),
            max_age_ms=age if rng.random() < OLD_READ_SHARE else 0,
        )

    async def _write(self, service: str) -> None:
        name = self._rng.choice([*self._key_names(), 'l'])
        verb = 'APPEND' if name == 'l' else 'SET'
        place = self._place(service, name)
        call = self._call('execute', service)
        call.statement = f'{verb} {place} {self._value(call)}'
        last = await self._send_until_known(call)
        if last.outcome in (records.UNKNOWN, records.LOST):
            self._leave(service, name)
        elif verb == 'APPEND':
            self._lengths[place] = self._lengths.get(place, 0) + 1
            if self._lengths[place] >= LIST_LENGTH:
                self._leave(service, name)

    async def _transaction(self, service: str) -> int:
        self._transactions += 1
        name = f't{self._transactions}'
        group = f'{self.caller_id}/{name}'
        prefix = f'{self.account}/{self.caller_id}/{name}'
        begin = self._call('begin', service, group=group)
        answer = await self._send(begin)
        transaction = answer.get('transaction', '')
        if begin.outcome != records.DONE or not transaction:
            return 1
        self._shared.foreign_transactions[self.account] = (
            service,
            transaction,
        )
        sent = 1
        for verb, part in (('SET', 'a'), ('GET', 'a'), ('SET', 'b')):
            call = self._call('statement', service, group=group)
            call.statement = f'{verb} {prefix}/{part}'
            if verb == 'SET':
                call.statement += f' {self._value(call)}'
            await self._send(call, transaction=transaction)
            sent += 1
            if call.outcome != records.DONE:
                end = self._call('rollback', service, group=group)
                await self._send(end, transaction=transaction)
                return sent + 1
        is_rolled_back = self._rng.random() < ROLLBACK_SHARE
        end = self._call(
            'rollback' if is_rolled_back else 'commit', service, group=group
        )
        if is_rolled_back:
            await self._send(end, transaction=transaction)
        else:
            await self._send_until_known(end, transaction=transaction)
        return sent + 1

    async def _forbidden(self, service: str) -> None:
        """Send a request that no host may run."""
        call = self._call('execute', service)
        place = f'{self.account}/{self.caller_id}/forbidden'
        call.statement = f'SET {place} {self._value(call)}'
        others = [
            name
            for name in self._shared.foreign_sessions
            if name != self.account
        ]
        kinds = ['unknown key', 'no key']
        if others:
            kinds += ['foreign session', 'foreign transaction']
        call.intent = self._rng.choice(kinds)
        match call.intent:
            case 'unknown key':
                call.key_id = 'kid-nobody-1'
                await self._send(call, key='kid-nobody-1.' + '0' * 64)
            case 'no key':
                call.key_id = ''
                await self._send(call, key='')
            case 'foreign session':
                other = self._rng.choice(sorted(others))
                session = self._shared.foreign_sessions[other]
                await self._send(call, session=session)
            case 'foreign transaction':
                found = self._shared.foreign_transactions
                other = self._rng.choice(sorted(others))
                if other in found:
                    call.operation = 'statement'
                    call.service, transaction = found[other]
                    await self._send(call, transaction=transaction)

    async def _send_until_known(
        self, call: records.Call, transaction: str = ''
    ) -> records.Call:
        """Send a write, and again with its id while its fate is unknown."""
        is_in_doubt = False
        for _ in range(MOST_ATTEMPTS):
            attempt = dataclasses.replace(call)
            await self._send(attempt, transaction=transaction)
            if attempt.outcome not in (records.UNKNOWN, records.LOST):
                break
            is_in_doubt = True
            if self._rng.random() < 0.5:
                break
            await self._shared.clock.sleep(RETRY_PAUSE_MS)
        if is_in_doubt and attempt.outcome != records.DONE:
            # The earlier attempt may have run all the same.
            return dataclasses.replace(attempt, outcome=records.UNKNOWN)
        return attempt

    async def _send(
        self,
        call: records.Call,
        *,
        max_age_ms: int = 0,
        transaction: str = '',
        key: str | None = None,
        session: str | None = None,
    ) -> dict[str, Any]:
        """Send one attempt, fill in ``call`` and return the answer."""
        call.max_age_ms = max_age_ms
        verb = call.statement.partition(' ')[0]
        call.mode = 'read' if verb in ('GET', 'SCAN') else 'write'
        call.repeatable = call.mode == 'read' and not call.group
        body: dict[str, Any] = {
            'request_id': call.request_id,
            'deadline_ms': DEADLINE_MS,
        }
        token = self._session if session is None else session
        if token:
            body['session'] = token
        path = '/v1/statements'
        match call.operation:
            case 'begin':
                path = '/v1/transactions'
                body['service'] = call.service
            case 'commit' | 'rollback':
                path = f'/v1/transactions/{transaction}/{call.operation}'
            case _:
                body['service'] = call.service
                body['statement'] = call.statement
                body['mode'] = call.mode
                if transaction:
                    body['transaction'] = transaction
                elif max_age_ms:
                    body['max_age_ms'] = max_age_ms

        clock = self._shared.clock
        channel = self._channel(call)
        call.sent_ms = clock.wall()
        document: dict[str, Any] = {}
        try:
            response = await channel.request(
                'POST',
                path,
                body,
                self._key if key is None else key,
                (DEADLINE_MS + GRACE_MS) / 1000,
            )
            document = response.document
            _fill(call, document)
        except http.Unsent as error:
            call.outcome, call.reason = records.UNSENT, str(error)
            self._host = self._shared.fleet.hosts[
                self._rng.randrange(len(self._shared.fleet.hosts))
            ]
        except http.Garbled as error:
            call.outcome, call.code = records.LOST, 'garbled'
            call.reason = str(error)
        except http.Lost as error:
            call.outcome, call.reason = records.LOST, str(error)
        call.done_ms = clock.wall()
        self._shared.calls.append(call)
        if call.intent == 'normal' and document.get('session'):
            self._session = document['session']
            self._shared.foreign_sessions[self.account] = self._session
        return document

    def _channel(self, call: records.Call) -> http.Channel:
        hosts = self._shared.fleet.hosts
        off = self._shared.host_ids_off
        if self._rng.random() < ROAM_SHARE or self._host.host_id in off:
            ready = [host for host in hosts if host.host_id not in off]
            self._host = self._rng.choice(ready or hosts)
        call.host = self._host.host_id
        if call.host not in self._channels:
            self._channels[call.host] = http.Channel(
                fleet_module.ADDRESS,
                self._host.caller_port,
                self._shared.fleet.figures['caller_delay_ms'],
            )
        return self._channels[call.host]

    def _call(
        self,
        operation: str,
        service: str,
        statement: str = '',
        group: str = '',
    ) -> records.Call:
        self._requests += 1
        return records.Call(
            caller=self.caller_id,
            account=self.account,
            key_id=self._key.partition('.')[0],
            host='',
            request_id=f'{self.caller_id}-{self._requests}',
            operation=operation,
            service=service,
            statement=statement,
            group=group,
        )

    def _value(self, call: records.Call) -> str:
        self._sequence += 1
        return f'{self._sequence}:{self.caller_id}:{call.request_id}'

    def _key_names(self) -> list[str]:
        return [f'k{number}' for number in range(KEYS_PER_CALLER)]

    def _place(self, service: str, name: str) -> str:
        version = self._names.get((service, name), 0)
        return f'{self.account}/{self.caller_id}/{name}-{version}'

    def _leave(self, service: str, name: str) -> None:
        """Use another key: a write of this one may still take effect."""
        self._names[service, name] = self._names.get((service, name), 0) + 1


class AccountLoad:
    """Random arrivals of an account's requests at a mean rate."""

    def __init__(
        self, shared: Shared, account: str, rate: float, seed: int
    ) -> None:
        self.account = account
        self.rate = rate
        self.overflow = 0
        self._shared = shared
        self._rng = random.Random(f'{seed}/{account}')
        self._idle: list[Caller] = []
        self._callers: list[Caller] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_ms: int) -> None:
        """Send for ``duration_ms`` and wait for the answers."""
        clock = self._shared.clock
        end = clock.now() + duration_ms
        due = float(clock.now())
        while True:
            due += self._rng.expovariate(self.rate) * 1000
            if due >= end:
                break
            await clock.sleep(round(due) - clock.now())
            caller = self._free_caller()
            if caller is None:
                self.overflow += 1
                continue
            task = asyncio.create_task(self._act(caller))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.gather(*self._tasks)
        for caller in self._callers:
            caller.close()

    async def _act(self, caller: Caller) -> None:
        await caller.act()
        self._idle.append(caller)

    def _free_caller(self) -> Caller | None:
        if self._idle:
            return self._idle.pop(self._rng.randrange(len(self._idle)))
        if len(self._callers) >= MOST_CALLERS:
            return None
        number = len(self._callers) + 1
        rng = random.Random(self._rng.random())
        caller = Caller(self._shared, self.account, number, rng)
        self._callers.append(caller)
        return caller


def _fill(call: records.Call, document: dict[str, Any]) -> None:
    outcome = document.get('outcome')
    if outcome not in (records.DONE, records.NOT_RUN, records.UNKNOWN):
        call.outcome, call.code = records.LOST, 'garbled'
        call.reason = f'outcome {outcome!r}'
        return
    call.outcome = outcome
    call.code = document.get('code', '')
    call.reason = document.get('reason', '')
    call.rows = list(document.get('rows', ()))
    call.served_by = document.get('served_by', '')
