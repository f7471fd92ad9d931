"""Checks the invariants against the records of callers and targets.

The checker uses no internal state of the proxy. All times are wall times of
one machine. It relies on these properties of the workload: each key is
written by one caller only, each written value starts with the caller's next
sequence number, and a key is not used again after a write to it whose outcome
is unknown.
"""

import collections
import collections.abc
import dataclasses
import json
from typing import Any

from bench import records

KEY_WITHDRAWAL_BOUND_MS = 7_000
TARGET_RETIREMENT_BOUND_MS = 5_000
CONFIGURATION_BOUND_MS = 7_000
# Windows of the rate check start and end at multiples of this.
RATE_WINDOW_STEP_MS = 100

INVARIANTS = {
    1: 'read-your-writes',
    2: 'no acknowledgement by a replaced primary',
    3: 'transactions never mix',
    4: 'only for the account of the key',
    5: 'no key at a target',
    6: 'withdrawn keys stop working',
    7: 'rate and burst of an account',
    8: 'whole answer to the own request',
    9: 'not run is true',
    10: 'at most once',
    11: 'leaving targets get no new work',
    12: 'planned stops interrupt nothing',
    13: 'configuration in force, never reverts',
}


@dataclasses.dataclass(frozen=True)
class Verdict:
    """The result of one check.

    ``judged`` counts the items that the check examined; ``violations``
    describes those that break the invariant.
    """

    invariant: int
    judged: int
    violations: tuple[str, ...]


class _Findings:
    """Counts the items that a check examines and collects violations."""

    def __init__(self) -> None:
        self.judged = 0
        self.violations: list[str] = []

    def require(self, is_valid: bool, violation: str) -> None:
        """Count one examined item; record ``violation`` if it is not valid."""
        self.judged += 1
        if not is_valid:
            self.violations.append(violation)


def check(evidence: records.Evidence) -> list[Verdict]:
    """Check all invariants."""
    verdicts = []
    for invariant, check_invariant in _CHECKS.items():
        findings = _Findings()
        check_invariant(evidence, findings)
        verdicts.append(
            Verdict(invariant, findings.judged, tuple(findings.violations))
        )
    return verdicts


def took_effect(record: dict[str, Any]) -> bool:
    """Tell whether the target ran the message of a record without an error.

    An answer that the target replayed for a repeated request doesn't count.
    """
    result = record.get('result')
    if not result or 'error' in result:
        return False
    return not result['replayed']


def request_key(call: records.Call) -> str:
    """Return the key under which a target records a request."""
    return f'{call.account}/{call.request_id}'


def _all_records(
    evidence: records.Evidence,
) -> collections.abc.Iterator[dict[str, Any]]:
    for server_records in evidence.records_by_server.values():
        yield from server_records


def _calls_by_caller(
    evidence: records.Evidence,
) -> dict[str, list[records.Call]]:
    grouped_calls: dict[str, list[records.Call]] = collections.defaultdict(
        list
    )
    for call in sorted(evidence.calls, key=lambda call: call.sent_ms):
        grouped_calls[call.caller].append(call)
    return grouped_calls


def _calls_by_request(
    evidence: records.Evidence,
) -> dict[str, list[records.Call]]:
    grouped_calls: dict[str, list[records.Call]] = collections.defaultdict(
        list
    )
    for call in evidence.calls:
        grouped_calls[request_key(call)].append(call)
    return grouped_calls


class _Session:
    """Sequence numbers that a session wrote and read, by service and key."""

    def __init__(self) -> None:
        self.written_by_key: dict[tuple[str, str], int] = {}
        self.seen_by_key: dict[tuple[str, str], int] = {}
        self.pending_by_key: dict[tuple[str, str], int] = {}

    def lowest_readable(self, service_key: tuple[str, str]) -> int:
        """Return the lowest sequence number that a read may return."""
        return max(
            self.written_by_key.get(service_key, 0),
            self.seen_by_key.get(service_key, 0),
        )

    def commit(self) -> None:
        """Add the writes of the open transaction to the session's writes."""
        self.written_by_key.update(self.pending_by_key)
        self.pending_by_key.clear()


def _check_sessions(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that a session's reads include its writes and never go back."""
    for calls in _calls_by_caller(evidence).values():
        session = _Session()
        for call in calls:
            if call.intent == 'normal':
                _check_session_call(session, call, findings)


def _check_session_call(
    session: _Session, call: records.Call, findings: _Findings
) -> None:
    if call.code == 'session_position_discarded':
        # The caller was told that its session position is dropped: reads may
        # go back behind earlier reads, but not behind acknowledged writes.
        session.seen_by_key.clear()
    if call.operation in ('begin', 'rollback'):
        session.pending_by_key.clear()
        return
    if call.operation == 'commit':
        if call.outcome == records.DONE:
            session.commit()
        session.pending_by_key.clear()
        return
    if call.outcome != records.DONE:
        return
    service_key = (call.service, records.statement_key(call.statement))
    if call.statement.startswith(('SET ', 'APPEND ')):
        sequence = records.last_sequence(
            records.statement_value(call.statement)
        )
        written_sequences = (
            session.pending_by_key if call.group else session.written_by_key
        )
        written_sequences[service_key] = sequence
        return
    if not call.statement.startswith('GET '):
        return

    value = call.rows[0][1] if call.rows else '0:'
    try:
        sequence = records.last_sequence(value)
    except ValueError:
        return
    lowest_valid = session.pending_by_key.get(
        service_key, session.lowest_readable(service_key)
    )
    findings.require(
        sequence >= lowest_valid,
        f'{call.caller} read {sequence} of {service_key[1]}'
        f' at {call.served_by} after {lowest_valid},'
        f' request {call.request_id}',
    )
    if not call.group:
        session.seen_by_key[service_key] = max(
            session.lowest_readable(service_key), sequence
        )


def _check_replaced_primaries(
    evidence: records.Evidence, findings: _Findings
) -> None:
    """Check that acknowledged writes remain and ran on a current primary."""
    acknowledged_keys = {
        request_key(call)
        for call in evidence.calls
        if call.outcome == records.DONE and _is_write(call)
    }
    for service, entries in evidence.entries_by_service.items():
        logged_keys = {entry['request_key'] for entry in entries}
        lost_keys = {
            request_key(call)
            for call in evidence.calls
            if call.service == service
            and request_key(call) in acknowledged_keys
            and _has_effect(call)
        } - logged_keys
        for key in logged_keys & acknowledged_keys:
            findings.require(True, key)
        for key in sorted(lost_keys):
            findings.require(False, f'{service}: acknowledged {key} is lost')

        # A write with a lower term than that of an earlier promotion ran on
        # a replaced primary.
        server_ids = evidence.servers_by_service[service]
        effective_records = [
            record
            for server_id in server_ids
            for record in evidence.records_by_server.get(server_id, [])
            if took_effect(record)
        ]
        promotions = [
            (record['run_wall_ms'], record['message']['term'])
            for record in effective_records
            if record['message']['op'] == 'promote'
        ]
        # One valid run is enough: a caller's retry may have run again on the
        # new primary.
        has_valid_run_by_key: dict[str, bool] = {}
        for record in effective_records:
            message = record['message']
            key = message.get('request_key')
            if message['op'] not in ('execute', 'commit') or (
                key not in acknowledged_keys
            ):
                continue
            ran_on_replaced_primary = any(
                promoted_ms < record['run_wall_ms'] and term > message['term']
                for promoted_ms, term in promotions
            )
            has_valid_run_by_key[key] = has_valid_run_by_key.get(
                key, False
            ) or (not ran_on_replaced_primary)
        for key, has_valid_run in has_valid_run_by_key.items():
            findings.require(
                has_valid_run,
                f'{service}: acknowledged {key} ran only on a replaced'
                ' primary',
            )


def _is_write(call: records.Call) -> bool:
    return call.operation == 'commit' or (
        call.operation == 'execute' and call.mode == 'write'
    )


def _has_effect(call: records.Call) -> bool:
    return _is_write(call) and call.intent != 'empty transaction'


def _check_transactions(
    evidence: records.Evidence, findings: _Findings
) -> None:
    """Check that transactions are isolated on a target's connections."""
    groups_by_transaction: dict[tuple[str, int], set[records.Key]] = (
        collections.defaultdict(set)
    )
    transactions_by_group: dict[records.Key, set[tuple[str, int]]] = (
        collections.defaultdict(set)
    )
    for record in _all_records(evidence):
        connection_name = (
            f'{record["server"]}, connection {record["connection"]}'
        )
        findings.require(
            not record['overlapped'],
            f'{connection_name}: two calls at the same time',
        )
        error = (record.get('result') or {}).get('error') or {}
        if 'transaction is open' in error.get('message', ''):
            findings.require(False, f'{connection_name}: {error["message"]}')
        message = record['message']
        if message['op'] != 'statement' or not took_effect(record):
            continue
        group = records.parse_key(records.statement_key(message['statement']))
        if group is not None:
            transaction = (record['server'], record['transaction'])
            groups_by_transaction[transaction].add(group)
            transactions_by_group[group].add(transaction)

    for transaction, groups in groups_by_transaction.items():
        findings.require(len(groups) == 1, f'{transaction} mixes {groups}')
    for group, transactions in transactions_by_group.items():
        findings.require(
            len(transactions) == 1, f'{group} ran in {transactions}'
        )
    _check_atomicity(evidence, findings)


def _check_atomicity(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that a commit changed exactly the keys that its group wrote."""
    statements: dict[str, set[str]] = collections.defaultdict(set)
    commits = {}
    for call in evidence.calls:
        if call.operation == 'statement' and call.outcome == records.DONE:
            if call.mode == 'write':
                statements[call.group].add(
                    records.statement_key(call.statement)
                )
        elif call.operation == 'commit' and call.outcome == records.DONE:
            commits[request_key(call)] = call.group
    for entries in evidence.entries_by_service.values():
        for entry in entries:
            group = commits.get(entry['request_key'])
            if group is None:
                continue
            changed = {key for key, _ in entry['changes']}
            findings.require(
                changed == statements[group],
                f'{group} committed {sorted(changed)} instead of'
                f' {sorted(statements[group])}',
            )


def _check_accounts(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that forbidden requests fail and accounts use only their keys."""
    forbidden_by_request_id = {
        call.request_id: call
        for call in evidence.calls
        if call.intent not in ('normal', 'empty transaction')
    }
    for call in forbidden_by_request_id.values():
        findings.require(
            call.outcome != records.DONE,
            f'{call.caller}: request {call.request_id} with {call.intent}'
            ' was run',
        )
    for record in _all_records(evidence):
        message = record['message']
        if 'account' not in message:
            continue
        key = records.parse_key(
            records.statement_key(message.get('statement', ''))
        )
        if key is not None:
            findings.require(
                key.account == message['account'],
                f'{record["server"]} ran {message["statement"]!r} for'
                f' {message["account"]}',
            )
        request_id = message.get('request_key', '').partition('/')[2]
        if request_id in forbidden_by_request_id:
            call = forbidden_by_request_id[request_id]
            findings.require(
                not took_effect(record),
                f'{call.caller}: request with {call.intent} ran at'
                f' {record["server"]}',
            )


def _check_secrets(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that no target received a caller's key or a part of it."""
    for record in _all_records(evidence):
        text = json.dumps([record['message'], record['application']])
        leaked_secrets = [
            secret for secret in evidence.secrets if secret in text
        ]
        findings.require(
            not leaked_secrets,
            f'{record["server"]} got a secret in {record["message"]["op"]}',
        )


def _check_withdrawals(
    evidence: records.Evidence, findings: _Findings
) -> None:
    """Check that requests with a withdrawn key are refused in time."""
    for event in evidence.events:
        if event.kind != 'withdrawn':
            continue
        limit_ms = event.wall_ms + KEY_WITHDRAWAL_BOUND_MS
        for call in evidence.calls:
            if call.key_id != event.subject or call.sent_ms <= limit_ms:
                continue
            findings.require(
                call.outcome != records.DONE,
                f'{call.request_id} with {event.subject} was done'
                f' {call.sent_ms - event.wall_ms} ms after the withdrawal',
            )


def _check_rates(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that the requests admitted for each account keep to its rate."""
    calls_by_account = collections.defaultdict(list)
    for call in evidence.calls:
        if call.outcome in (records.DONE, records.UNKNOWN):
            calls_by_account[call.account].append(call)
    for name, calls in calls_by_account.items():
        account = evidence.accounts_by_name.get(name)
        if account is not None:
            _check_windows(account, calls, findings)


def _check_windows(
    account: records.Account, calls: list[records.Call], findings: _Findings
) -> None:
    """Compare the requests within each window with the rate and burst.

    Only requests that start and end within the window count. A request
    takes its rate token between its start and its end, so each of these was
    admitted within the window.
    """
    first_index = min(call.sent_ms for call in calls) // RATE_WINDOW_STEP_MS
    last_index = (
        max(call.done_ms for call in calls) // RATE_WINDOW_STEP_MS
        + 1
        - first_index
    )
    ends_by_start: dict[int, list[int]] = collections.defaultdict(list)
    for call in calls:
        start = call.sent_ms // RATE_WINDOW_STEP_MS - first_index
        ends_by_start[start].append(
            -(-call.done_ms // RATE_WINDOW_STEP_MS) - first_index
        )
    counts = [0] * (last_index + 1)
    for start in range(last_index - 1, -1, -1):
        for end in ends_by_start.get(start, ()):
            counts[end] += 1
        requests = 0
        worst_excess = 0.0
        for end in range(start, last_index + 1):
            requests += counts[end]
            window_s = (end - start) * RATE_WINDOW_STEP_MS / 1000
            allowed_requests = account.rate * window_s + account.burst
            worst_excess = max(worst_excess, requests - allowed_requests)
        findings.require(
            worst_excess <= 0,
            f'{account.name} was {worst_excess:.0f} requests over its rate'
            f' in a window from {(start + first_index) * RATE_WINDOW_STEP_MS}',
        )


def _check_answers(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that each answer is complete and belongs to its request."""
    for call in evidence.calls:
        if call.outcome == records.LOST and call.code == 'garbled':
            findings.require(False, f'{call.request_id}: {call.reason}')
        if call.outcome != records.DONE or not call.statement:
            continue
        findings.require(
            _answers_the_request(call),
            f'{call.request_id} {call.statement!r} got {call.rows!r}',
        )


def _answers_the_request(call: records.Call) -> bool:
    verb = call.statement.partition(' ')[0]
    key = records.statement_key(call.statement)
    try:
        rows = [(row[0], row[1]) for row in call.rows]
    except (IndexError, TypeError):
        return False
    match verb:
        case 'SET':
            return rows == [(key, records.statement_value(call.statement))]
        case 'APPEND':
            value = records.statement_value(call.statement)
            return (
                len(rows) == 1
                and rows[0][0] == key
                and (rows[0][1].split(',')[-1] == value)
            )
        case 'GET':
            return not rows or (
                len(rows) == 1
                and rows[0][0] == key
                and _was_written_by(rows[0][1], call.caller)
            )
        case 'SCAN':
            keys = [row[0] for row in rows]
            return keys == sorted(set(keys)) and all(
                each.startswith(key) for each in keys
            )
    return True


def _was_written_by(value: str, caller: str) -> bool:
    """Tell whether each part of a value names the caller that wrote it."""
    return all(caller in part.split(':')[1:2] for part in value.split(','))


def _check_not_run(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that writes that were refused as not run had no effect."""
    effective_request_keys = {
        record['message'].get('request_key')
        for record in _all_records(evidence)
        if record['message']['op'] in ('execute', 'commit')
        and record['message'].get('mode') != 'read'
        and took_effect(record)
    }
    for entries in evidence.entries_by_service.values():
        effective_request_keys |= {entry['request_key'] for entry in entries}
    for key, calls in _calls_by_request(evidence).items():
        if not any(_is_write(call) for call in calls):
            continue
        if all(call.outcome == records.NOT_RUN for call in calls):
            findings.require(
                key not in effective_request_keys,
                f'{key} was refused with {calls[-1].code} but ran',
            )


def _check_at_most_once(
    evidence: records.Evidence, findings: _Findings
) -> None:
    """Check that each write ran once and is once in the log."""
    calls_by_request = _calls_by_request(evidence)
    for service, entries in evidence.entries_by_service.items():
        counts = collections.Counter(entry['request_key'] for entry in entries)
        for key, count in counts.items():
            if key:
                findings.require(
                    count == 1, f'{service}: {key} is {count} times in the log'
                )
    runs = collections.Counter(
        record['message']['request_key']
        for record in _all_records(evidence)
        if record['message']['op'] == 'execute'
        and record['message'].get('request_key')
        and took_effect(record)
    )
    for key, count in runs.items():
        calls = calls_by_request.get(key, [])
        # A caller's own retry may run again if the first run was discarded
        # with a replaced primary. Such requests are checked only against the
        # log, above.
        if len(calls) == 1 and not calls[0].repeatable:
            findings.require(count == 1, f'{key} ran {count} times')


def _check_leaving(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that retired targets get no new statements or transactions."""
    for event in evidence.events:
        if event.kind != 'retired':
            continue
        restored_times_ms = [
            other.wall_ms
            for other in evidence.events
            if other.kind == 'restored'
            and other.subject == event.subject
            and other.wall_ms > event.wall_ms
        ]
        restored_ms = min(restored_times_ms, default=None)
        findings.require(True, f'{event.subject} was retired')
        for record in evidence.records_by_server.get(event.subject, []):
            is_past_bound = (
                record['wall_ms'] > event.wall_ms + TARGET_RETIREMENT_BOUND_MS
            )
            if not is_past_bound or (
                restored_ms and record['wall_ms'] > restored_ms
            ):
                continue
            findings.require(
                record['message']['op'] not in ('execute', 'begin')
                or not took_effect(record),
                f'{event.subject} got {record["message"]["op"]}'
                f' {record["wall_ms"] - event.wall_ms} ms after it was'
                ' retired',
            )


def _check_stops(evidence: records.Evidence, findings: _Findings) -> None:
    """Check that planned stops end with exit code 0 and lose no request."""
    asked_ms_by_host = {}
    has_faults = False
    for event in sorted(evidence.events, key=lambda event: event.wall_ms):
        match event.kind:
            case 'fault':
                has_faults = True
            case 'stop_asked':
                asked_ms_by_host[event.subject] = event.wall_ms
            case 'stopped':
                asked_ms = asked_ms_by_host.pop(event.subject, event.wall_ms)
                findings.require(
                    event.value == 0,
                    f'{event.subject} ended with exit code {event.value}',
                )
                _check_stop(evidence, event, asked_ms, has_faults, findings)
    for host in asked_ms_by_host:
        findings.require(False, f'{host} did not stop')


def _check_stop(
    evidence: records.Evidence,
    stopped: records.Event,
    asked_ms: int,
    has_faults: bool,
    findings: _Findings,
) -> None:
    for call in evidence.calls:
        if call.done_ms < asked_ms or call.sent_ms > stopped.wall_ms:
            continue
        if call.host == stopped.subject and call.outcome != records.UNSENT:
            findings.require(
                call.outcome != records.LOST,
                f'{call.request_id} was interrupted by the stop of'
                f' {stopped.subject}',
            )
        # If the run has injected faults, they may have caused the loss.
        if call.operation != 'begin' and call.group and not has_faults:
            findings.require(
                call.code != 'transaction_lost',
                f'{call.group} was lost by the stop of {stopped.subject}',
            )


def _check_configuration(
    evidence: records.Evidence, findings: _Findings
) -> None:
    """Check that versions never go back and changes are applied in time."""
    events = sorted(evidence.events, key=lambda event: event.wall_ms)
    accepted_changes = [event for event in events if event.kind == 'accepted']
    changes_by_version: dict[int, str] = {}
    for event in accepted_changes:
        # If two changes were accepted as one version, both operators would
        # believe that their change is in force.
        first_change = changes_by_version.setdefault(
            event.value, event.subject
        )
        findings.require(
            first_change == event.subject,
            f'version {event.value} is {first_change!r} and {event.subject!r}',
        )
    highest_by_host: dict[str, int] = {}
    for event in events:
        if event.kind == 'started':
            highest_by_host.pop(event.subject, None)
        if event.kind != 'health':
            continue
        highest_version = highest_by_host.get(event.subject, 0)
        findings.require(
            event.value >= highest_version,
            f'{event.subject} went from version {highest_version}'
            f' to {event.value}',
        )
        highest_by_host[event.subject] = max(highest_version, event.value)
        # A host that is cut off reports another status and refuses requests
        # with a key, so it may have an old version.
        if event.text != 'ready':
            continue
        due_versions = [
            change.value
            for change in accepted_changes
            if change.wall_ms + CONFIGURATION_BOUND_MS < event.wall_ms
        ]
        findings.require(
            event.value >= max(due_versions, default=0),
            f'{event.subject} has version {event.value}; the bound for'
            f' {max(due_versions, default=0)} has passed',
        )


_CHECKS: dict[
    int, collections.abc.Callable[[records.Evidence, _Findings], None]
] = {
    1: _check_sessions,
    2: _check_replaced_primaries,
    3: _check_transactions,
    4: _check_accounts,
    5: _check_secrets,
    6: _check_withdrawals,
    7: _check_rates,
    8: _check_answers,
    9: _check_not_run,
    10: _check_at_most_once,
    11: _check_leaving,
    12: _check_stops,
    13: _check_configuration,
}
