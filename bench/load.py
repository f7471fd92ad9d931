"""Seeded callers that send requests over HTTP and record the outcomes."""

import asyncio
import dataclasses
import random
from typing import Any

from bench import fleet as fleet_module
from bench import http
from bench import records
from samphirestand import clock as clock_module

DEADLINE_MS = 5_000
# Callers wait this long for an answer beyond the deadline that they send.
ANSWER_GRACE_MS = 2_000
MAX_ATTEMPTS = 3
RETRY_DELAY_MS = 50
HOST_CHANGE_SHARE = 0.1
MAX_LIST_LENGTH = 40
MAX_CALLERS_PER_ACCOUNT = 150

# Shares of the arrivals by operation. SCAN_SHARE and STALE_READ_SHARE are
# shares of the reads, ROLLBACK_SHARE of the transactions.
READ_SHARE = 0.72
TRANSACTION_SHARE = 0.02
FORBIDDEN_SHARE = 0.005
SCAN_SHARE = 0.05
STALE_READ_SHARE = 0.8
ROLLBACK_SHARE = 0.1
KEYS_PER_CALLER = 3
# A transaction is one arrival of five requests.
REQUESTS_PER_ARRIVAL = 1 + 4 * TRANSACTION_SHARE


@dataclasses.dataclass
class SharedState:
    """State that all callers of a run share.

    ``avoided_host_ids`` are hosts that are down or restarting.
    ``foreign_sessions`` and ``foreign_transactions`` hold the last session
    token, and the service and id of the last transaction, of each account;
    callers of other accounts use them in forbidden requests.
    """

    fleet: fleet_module.Fleet
    clock: clock_module.Clock
    calls: list[records.Call]
    avoided_host_ids: set[str]
    foreign_sessions: dict[str, str]
    foreign_transactions: dict[str, tuple[str, str]]


class Caller:
    """A caller with one session, which sends one request at a time.

    Reuses a connection to each host. Now and then, and if its host is down,
    it moves to another host.
    """

    def __init__(
        self,
        shared: SharedState,
        account: str,
        number: int,
        rng: random.Random,
    ) -> None:
        self.caller_id = f'{account}-{number}'
        self.account = account
        self._shared = shared
        self._rng = rng
        self._api_key = shared.fleet.keys_by_account[account]
        self._session = ''
        self._sequence = 0
        self._request_count = 0
        self._transaction_count = 0
        self._key_versions: dict[tuple[str, str], int] = {}
        self._list_lengths: dict[str, int] = {}
        self._channels: dict[str, http.Channel] = {}
        self._current_host = rng.choice(shared.fleet.hosts)

    async def run_operation(self) -> int:
        """Send a random operation; returns the number of its requests.

        Retries don't count.
        """
        rng = self._rng
        service = rng.choice(list(self._shared.fleet.services))
        random_share = rng.random()
        if random_share < TRANSACTION_SHARE:
            return await self._run_transaction(service)
        if random_share < TRANSACTION_SHARE + FORBIDDEN_SHARE:
            await self._send_forbidden(service)
        elif random_share < TRANSACTION_SHARE + FORBIDDEN_SHARE + READ_SHARE:
            await self._send_read(service)
        else:
            await self._send_write(service)
        return 1

    def close(self) -> None:
        """Close the connections to all hosts."""
        for channel in self._channels.values():
            channel.close()

    async def _send_read(self, service: str) -> None:
        rng = self._rng
        if rng.random() < SCAN_SHARE:
            statement = f'SCAN {self.account}/{self.caller_id}/k'
        else:
            name = rng.choice([*self._key_names(), 'l'])
            statement = f'GET {self._database_key(service, name)}'
        accepted_age_ms = self._shared.fleet.services[service][
            'max_read_age_ms'
        ]
        await self._send(
            self._new_call('execute', service, statement),
            max_age_ms=accepted_age_ms
            if rng.random() < STALE_READ_SHARE
            else 0,
        )

    async def _send_write(self, service: str) -> None:
        name = self._rng.choice([*self._key_names(), 'l'])
        verb = 'APPEND' if name == 'l' else 'SET'
        database_key = self._database_key(service, name)
        call = self._new_call('execute', service)
        call.statement = f'{verb} {database_key} {self._new_value(call)}'
        last_attempt = await self._send_until_known(call)
        if last_attempt.outcome in (records.UNKNOWN, records.LOST):
            self._abandon_key(service, name)
        elif verb == 'APPEND':
            self._list_lengths[database_key] = (
                self._list_lengths.get(database_key, 0) + 1
            )
            if self._list_lengths[database_key] >= MAX_LIST_LENGTH:
                self._abandon_key(service, name)

    async def _run_transaction(self, service: str) -> int:
        self._transaction_count += 1
        name = f't{self._transaction_count}'
        group = f'{self.caller_id}/{name}'
        prefix = f'{self.account}/{self.caller_id}/{name}'
        begin = self._new_call('begin', service, group=group)
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
            call = self._new_call('statement', service, group=group)
            call.statement = f'{verb} {prefix}/{part}'
            if verb == 'SET':
                call.statement += f' {self._new_value(call)}'
            await self._send(call, transaction=transaction)
            sent += 1
            if call.outcome != records.DONE:
                end = self._new_call('rollback', service, group=group)
                await self._send(end, transaction=transaction)
                return sent + 1
        is_rolled_back = self._rng.random() < ROLLBACK_SHARE
        end = self._new_call(
            'rollback' if is_rolled_back else 'commit', service, group=group
        )
        if is_rolled_back:
            await self._send(end, transaction=transaction)
        else:
            await self._send_until_known(end, transaction=transaction)
        return sent + 1

    async def _send_forbidden(self, service: str) -> None:
        """Send a request that no host may run.

        It has an unknown key, no key, or the session or transaction of
        another account.
        """
        call = self._new_call('execute', service)
        database_key = f'{self.account}/{self.caller_id}/forbidden'
        call.statement = f'SET {database_key} {self._new_value(call)}'
        other_accounts = [
            name
            for name in self._shared.foreign_sessions
            if name != self.account
        ]
        intents = ['unknown key', 'no key']
        if other_accounts:
            intents += ['foreign session', 'foreign transaction']
        call.intent = self._rng.choice(intents)
        match call.intent:
            case 'unknown key':
                call.key_id = 'kid-nobody-1'
                await self._send(call, key='kid-nobody-1.' + '0' * 64)
            case 'no key':
                call.key_id = ''
                await self._send(call, key='')
            case 'foreign session':
                other_account = self._rng.choice(sorted(other_accounts))
                session = self._shared.foreign_sessions[other_account]
                await self._send(call, session=session)
            case 'foreign transaction':
                transactions_by_account = self._shared.foreign_transactions
                other_account = self._rng.choice(sorted(other_accounts))
                if other_account in transactions_by_account:
                    call.operation = 'statement'
                    call.service, transaction = transactions_by_account[
                        other_account
                    ]
                    await self._send(call, transaction=transaction)

    async def _send_until_known(
        self, call: records.Call, transaction: str = ''
    ) -> records.Call:
        """Send a write; retry with the same id while its outcome is unknown.

        Some callers give up early, at random. Returns the last attempt; its
        outcome is ``unknown`` if an earlier attempt may have run.
        """
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            attempt = dataclasses.replace(call)
            await self._send(attempt, transaction=transaction)
            if attempt.outcome not in (records.UNKNOWN, records.LOST):
                break
            may_have_run = True
            if self._rng.random() < 0.5:
                break
            await self._shared.clock.sleep(RETRY_DELAY_MS)
        if may_have_run and attempt.outcome != records.DONE:
            # An earlier attempt may have run, whatever the last outcome is.
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
        """Send one attempt and record its outcome in ``call``.

        Returns the document of the answer, empty if none came.
        ``max_age_ms`` is the age that a read accepts; ``key`` and ``session``
        replace those of the caller.
        """
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
        channel = self._choose_channel(call)
        call.sent_ms = clock.wall()
        document: dict[str, Any] = {}
        try:
            response = await channel.request(
                'POST',
                path,
                body,
                self._api_key if key is None else key,
                (DEADLINE_MS + ANSWER_GRACE_MS) / 1000,
            )
            document = response.document
            _record_outcome(call, document)
        except http.Unsent as error:
            call.outcome, call.reason = records.UNSENT, str(error)
            self._current_host = self._shared.fleet.hosts[
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

    def _choose_channel(self, call: records.Call) -> http.Channel:
        hosts = self._shared.fleet.hosts
        avoided_ids = self._shared.avoided_host_ids
        if (
            self._rng.random() < HOST_CHANGE_SHARE
            or self._current_host.host_id in avoided_ids
        ):
            usable_hosts = [
                host for host in hosts if host.host_id not in avoided_ids
            ]
            self._current_host = self._rng.choice(usable_hosts or hosts)
        call.host = self._current_host.host_id
        if call.host not in self._channels:
            self._channels[call.host] = http.Channel(
                fleet_module.ADDRESS,
                self._current_host.caller_port,
                self._shared.fleet.standin_settings['caller_delay_ms'],
            )
        return self._channels[call.host]

    def _new_call(
        self,
        operation: str,
        service: str,
        statement: str = '',
        group: str = '',
    ) -> records.Call:
        self._request_count += 1
        return records.Call(
            caller=self.caller_id,
            account=self.account,
            key_id=self._api_key.partition('.')[0],
            host='',
            request_id=f'{self.caller_id}-{self._request_count}',
            operation=operation,
            service=service,
            statement=statement,
            group=group,
        )

    def _new_value(self, call: records.Call) -> str:
        self._sequence += 1
        return f'{self._sequence}:{self.caller_id}:{call.request_id}'

    def _key_names(self) -> list[str]:
        return [f'k{number}' for number in range(KEYS_PER_CALLER)]

    def _database_key(self, service: str, name: str) -> str:
        version = self._key_versions.get((service, name), 0)
        return f'{self.account}/{self.caller_id}/{name}-{version}'

    def _abandon_key(self, service: str, name: str) -> None:
        """Use another database key for ``name`` from now on.

        Called when a write to the key may still take effect, as the checker
        then can't tell which values are valid, and for long lists.
        """
        self._key_versions[service, name] = (
            self._key_versions.get((service, name), 0) + 1
        )


class AccountLoad:
    """Sends an account's operations at random times with a mean rate.

    ``rate`` is in operations a second. ``skipped_operations`` counts those
    that were not sent because all callers were busy.
    """

    def __init__(
        self, shared: SharedState, account: str, rate: float, seed: int
    ) -> None:
        self.account = account
        self.rate = rate
        self.skipped_operations = 0
        self._shared = shared
        self._rng = random.Random(f'{seed}/{account}')
        self._idle_callers: list[Caller] = []
        self._callers: list[Caller] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_ms: int) -> None:
        """Send operations for ``duration_ms``, then wait for the last ones."""
        clock = self._shared.clock
        end_ms = clock.now() + duration_ms
        due_ms = float(clock.now())
        while True:
            due_ms += self._rng.expovariate(self.rate) * 1000
            if due_ms >= end_ms:
                break
            await clock.sleep(round(due_ms) - clock.now())
            caller = self._take_idle_caller()
            if caller is None:
                self.skipped_operations += 1
                continue
            task = asyncio.create_task(self._run_operation(caller))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.gather(*self._tasks)
        for caller in self._callers:
            caller.close()

    async def _run_operation(self, caller: Caller) -> None:
        await caller.run_operation()
        self._idle_callers.append(caller)

    def _take_idle_caller(self) -> Caller | None:
        if self._idle_callers:
            return self._idle_callers.pop(
                self._rng.randrange(len(self._idle_callers))
            )
        if len(self._callers) >= MAX_CALLERS_PER_ACCOUNT:
            return None
        number = len(self._callers) + 1
        rng = random.Random(self._rng.random())
        caller = Caller(self._shared, self.account, number, rng)
        self._callers.append(caller)
        return caller


def _record_outcome(call: records.Call, document: dict[str, Any]) -> None:
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
