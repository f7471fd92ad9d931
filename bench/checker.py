"""Judges the invariants from what callers and targets saw.

The checker knows nothing of the proxy's inside. Times are wall times of one
machine. The workload has properties that the checker relies on: each key is
written by one caller, each written value starts with the caller's next
sequence number, and a key is not used again after a write of it whose outcome
is unknown.
"""

import collections
import collections.abc
import dataclasses
import json
from typing import Any

from bench import records

KEY_BOUND_MS = 7_000
TARGET_BOUND_MS = 5_000
CONFIGURATION_BOUND_MS = 7_000
# Windows of the rate check start and end on this grid.
WINDOW_MS = 100

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
    """What one check examined and found wrong."""

    invariant: int
    judged: int
    violations: tuple[str, ...]


class _Findings:
    """Collects what a check examines."""

    def __init__(self) -> None:
        self.judged = 0
        self.violations: list[str] = []

    def judge(self, is_right: bool, text: str) -> None:
        """Count one examined item; ``text`` describes a violation."""
        self.judged += 1
        if not is_right:
            self.violations.append(text)


def check(evidence: records.Evidence) -> list[Verdict]:
    """Judge all invariants."""
    verdicts = []
    for invariant, examine in _CHECKS.items():
        findings = _Findings()
        examine(evidence, findings)
        verdicts.append(
            Verdict(invariant, findings.judged, tuple(findings.violations))
        )
    return verdicts


def ran(record: dict[str, Any]) -> bool:
    """Tell whether a target's record shows a call that took effect."""
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
    for found in evidence.records_by_server.values():
        yield from found


def _calls_by_caller(
    evidence: records.Evidence,
) -> dict[str, list[records.Call]]:
    found: dict[str, list[records.Call]] = collections.defaultdict(list)
    for call in sorted(evidence.calls, key=lambda call: call.sent_ms):
        found[call.caller].append(call)
    return found


def _calls_by_request(
    evidence: records.Evidence,
) -> dict[str, list[records.Call]]:
    found: dict[str, list[records.Call]] = collections.defaultdict(list)
    for call in evidence.calls:
        found[request_key(call)].append(call)
    return found


class _Session:
    """The least sequence numbers that a session may read."""

    def __init__(self) -> None:
        self.written: dict[tuple[str, str], int] = {}
        self.seen: dict[tuple[str, str], int] = {}
        self.pending: dict[tuple[str, str], int] = {}

    def least(self, place: tuple[str, str]) -> int:
        """Return the least sequence number that a read may return."""
        return max(self.written.get(place, 0), self.seen.get(place, 0))

    def commit(self) -> None:
        """Take over the writes of the transaction."""
        self.written.update(self.pending)
        self.pending.clear()


def _check_sessions(evidence: records.Evidence, findings: _Findings) -> None:
    for calls in _calls_by_caller(evidence).values():
        session = _Session()
        for call in calls:
            if call.intent == 'normal':
                _check_session_call(session, call, findings)


def _check_session_call(
    session: _Session, call: records.Call, findings: _Findings
) -> None:
    if call.code == 'session_position_discarded':
        # The caller goes on knowingly; what was acknowledged must remain.
        session.seen.clear()
    if call.operation in ('begin', 'rollback'):
        session.pending.clear()
        return
    if call.operation == 'commit':
        if call.outcome == records.DONE:
            session.commit()
        session.pending.clear()
        return
    if call.outcome != records.DONE:
        return
    place = (call.service, records.key_of(call.statement))
    if call.statement.startswith(('SET ', 'APPEND ')):
        sequence = records.sequence_of(records.value_of(call.statement))
        target = session.pending if call.group else session.written
        target[place] = sequence
        return
    if not call.statement.startswith('GET '):
        return

    value = call.rows[0][1] if call.rows else '0:'
    try:
        sequence = records.sequence_of(value)
    except ValueError:
        return
    least = session.pending.get(place, session.least(place))
    findings.judge(
        sequence >= least,
        f'{call.caller} read {sequence} of {place[1]} at {call.served_by}'
        f' after {least}, request {call.request_id}',
    )
    if not call.group:
        session.seen[place] = max(session.least(place), sequence)


def _check_replaced_primaries(
    evidence: records.Evidence, findings: _Findings
) -> None:
    acknowledged = {
        request_key(call)
        for call in evidence.calls
        if call.outcome == records.DONE and _is_write(call)
    }
    for service, entries in evidence.entries_by_service.items():
        kept = {entry['request_key'] for entry in entries}
        lost = {
            request_key(call)
            for call in evidence.calls
            if call.service == service
            and request_key(call) in acknowledged
            and _has_effect(call)
        } - kept
        for key in kept & acknowledged:
            findings.judge(True, key)
        for key in sorted(lost):
            findings.judge(False, f'{service}: acknowledged {key} is lost')

        # A write that ran after another server was promoted to a higher
        # term ran on a replaced primary.
        servers = evidence.servers_by_service[service]
        found = [
            record
            for server in servers
            for record in evidence.records_by_server.get(server, [])
            if ran(record)
        ]
        promotions = [
            (record['run_wall_ms'], record['message']['term'])
            for record in found
            if record['message']['op'] == 'promote'
        ]
        # A caller's retry may have run again on the new primary.
        is_timely_by_key: dict[str, bool] = {}
        for record in found:
            message = record['message']
            key = message.get('request_key')
            if message['op'] not in ('execute', 'commit') or (
                key not in acknowledged
            ):
                continue
            is_late = any(
                promoted < record['run_wall_ms'] and term > message['term']
                for promoted, term in promotions
            )
            is_timely_by_key[key] = is_timely_by_key.get(key, False) or (
                not is_late
            )
        for key, is_timely in is_timely_by_key.items():
            findings.judge(
                is_timely,
                f'{service}: {key} was acknowledged by a replaced primary',
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
    groups_by_transaction: dict[tuple[str, int], set[records.Key]] = (
        collections.defaultdict(set)
    )
    transactions_by_group: dict[records.Key, set[tuple[str, int]]] = (
        collections.defaultdict(set)
    )
    for record in _all_records(evidence):
        place = f'{record["server"]}, connection {record["connection"]}'
        findings.judge(
            not record['overlapped'], f'{place}: two calls at the same time'
        )
        error = (record.get('result') or {}).get('error') or {}
        if 'transaction is open' in error.get('message', ''):
            findings.judge(False, f'{place}: {error["message"]}')
        message = record['message']
        if message['op'] != 'statement' or not ran(record):
            continue
        group = records.split_key(records.key_of(message['statement']))
        if group is not None:
            transaction = (record['server'], record['transaction'])
            groups_by_transaction[transaction].add(group)
            transactions_by_group[group].add(transaction)

    for transaction, groups in groups_by_transaction.items():
        findings.judge(len(groups) == 1, f'{transaction} mixes {groups}')
    for group, transactions in transactions_by_group.items():
        findings.judge(
            len(transactions) == 1, f'{group} ran in {transactions}'
        )
    _check_atomicity(evidence, findings)


def _check_atomicity(evidence: records.Evidence, findings: _Findings) -> None:
    statements: dict[str, set[str]] = collections.defaultdict(set)
    commits = {}
    for call in evidence.calls:
        if call.operation == 'statement' and call.outcome == records.DONE:
            if call.mode == 'write':
                statements[call.group].add(records.key_of(call.statement))
        elif call.operation == 'commit' and call.outcome == records.DONE:
            commits[request_key(call)] = call.group
    for entries in evidence.entries_by_service.values():
        for entry in entries:
            group = commits.get(entry['request_key'])
            if group is None:
                continue
            changed = {key for key, _ in entry['changes']}
            findings.judge(
                changed == statements[group],
                f'{group} committed {sorted(changed)} instead of'
                f' {sorted(statements[group])}',
            )


def _check_accounts(evidence: records.Evidence, findings: _Findings) -> None:
    forbidden = {
        call.request_id: call
        for call in evidence.calls
        if call.intent not in ('normal', 'empty transaction')
    }
    for call in forbidden.values():
        findings.judge(
            call.outcome != records.DONE,
            f'{call.intent} of {call.caller} was done, {call.request_id}',
        )
    for record in _all_records(evidence):
        message = record['message']
        if 'account' not in message:
            continue
        key = records.split_key(records.key_of(message.get('statement', '')))
        if key is not None:
            findings.judge(
                key.account == message['account'],
                f'{record["server"]} ran {message["statement"]!r} for'
                f' {message["account"]}',
            )
        request_id = message.get('request_key', '').partition('/')[2]
        if request_id in forbidden:
            call = forbidden[request_id]
            findings.judge(
                not ran(record),
                f'{call.intent} of {call.caller} ran at {record["server"]}',
            )


def _check_secrets(evidence: records.Evidence, findings: _Findings) -> None:
    for record in _all_records(evidence):
        text = json.dumps([record['message'], record['application']])
        found = [each for each in evidence.secrets if each in text]
        findings.judge(
            not found,
            f'{record["server"]} saw a key in {record["message"]["op"]}',
        )


def _check_withdrawals(
    evidence: records.Evidence, findings: _Findings
) -> None:
    for event in evidence.events:
        if event.kind != 'withdrawn':
            continue
        limit = event.wall_ms + KEY_BOUND_MS
        for call in evidence.calls:
            if call.key_id != event.subject or call.sent_ms <= limit:
                continue
            findings.judge(
                call.outcome != records.DONE,
                f'{call.request_id} with {event.subject} was done'
                f' {call.sent_ms - event.wall_ms} ms after the withdrawal',
            )


def _check_rates(evidence: records.Evidence, findings: _Findings) -> None:
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
    """Count the requests that lie entirely within each window.

    A request takes its token between its start and its end, so each of
    these was admitted within the window.
    """
    origin = min(call.sent_ms for call in calls) // WINDOW_MS
    last = max(call.done_ms for call in calls) // WINDOW_MS + 1 - origin
    ends_by_start: dict[int, list[int]] = collections.defaultdict(list)
    for call in calls:
        start = call.sent_ms // WINDOW_MS - origin
        ends_by_start[start].append(-(-call.done_ms // WINDOW_MS) - origin)
    counts = [0] * (last + 1)
    for start in range(last - 1, -1, -1):
        for end in ends_by_start.get(start, ()):
            counts[end] += 1
        total = 0
        worst = 0.0
        for end in range(start, last + 1):
            total += counts[end]
            window_s = (end - start) * WINDOW_MS / 1000
            allowed = account.rate * window_s + account.burst
            worst = max(worst, total - allowed)
        findings.judge(
            worst <= 0,
            f'{account.name} had {worst:.0f} requests too many in a window'
            f' from {(start + origin) * WINDOW_MS}',
        )


def _check_answers(evidence: records.Evidence, findings: _Findings) -> None:
    for call in evidence.calls:
        if call.outcome == records.LOST and call.code == 'garbled':
            findings.judge(False, f'{call.request_id}: {call.reason}')
        if call.outcome != records.DONE or not call.statement:
            continue
        findings.judge(
            _is_own_answer(call),
            f'{call.request_id} {call.statement!r} got {call.rows!r}',
        )


def _is_own_answer(call: records.Call) -> bool:
    verb = call.statement.partition(' ')[0]
    key = records.key_of(call.statement)
    try:
        rows = [(row[0], row[1]) for row in call.rows]
    except (IndexError, TypeError):
        return False
    match verb:
        case 'SET':
            return rows == [(key, records.value_of(call.statement))]
        case 'APPEND':
            value = records.value_of(call.statement)
            return (
                len(rows) == 1
                and rows[0][0] == key
                and (rows[0][1].split(',')[-1] == value)
            )
        case 'GET':
            return not rows or (
                len(rows) == 1
                and rows[0][0] == key
                and _belongs_to(rows[0][1], call.caller)
            )
        case 'SCAN':
            keys = [row[0] for row in rows]
            return keys == sorted(set(keys)) and all(
                each.startswith(key) for each in keys
            )
    return True


def _belongs_to(value: str, caller: str) -> bool:
    """Tell whether each part of a value names the caller that wrote it."""
    return all(caller in part.split(':')[1:2] for part in value.split(','))


def _check_not_run(evidence: records.Evidence, findings: _Findings) -> None:
    effects = {
        record['message'].get('request_key')
        for record in _all_records(evidence)
        if record['message']['op'] in ('execute', 'commit')
        and record['message'].get('mode') != 'read'
        and ran(record)
    }
    for entries in evidence.entries_by_service.values():
        effects |= {entry['request_key'] for entry in entries}
    for key, calls in _calls_by_request(evidence).items():
        if not any(_is_write(call) for call in calls):
            continue
        if all(call.outcome == records.NOT_RUN for call in calls):
            findings.judge(
                key not in effects,
                f'{key} was refused with {calls[-1].code} and ran',
            )


def _check_at_most_once(
    evidence: records.Evidence, findings: _Findings
) -> None:
    calls_by_request = _calls_by_request(evidence)
    for service, entries in evidence.entries_by_service.items():
        counts = collections.Counter(entry['request_key'] for entry in entries)
        for key, count in counts.items():
            if key:
                findings.judge(
                    count == 1, f'{service}: {key} is {count} times there'
                )
    runs = collections.Counter(
        record['message']['request_key']
        for record in _all_records(evidence)
        if record['message']['op'] == 'execute'
        and record['message'].get('request_key')
        and ran(record)
    )
    for key, count in runs.items():
        calls = calls_by_request.get(key, [])
        # A caller's own retry may run again after the first run was
        # discarded with a replaced primary; then the log above decides.
        if len(calls) == 1 and not calls[0].repeatable:
            findings.judge(count == 1, f'{key} ran {count} times')


def _check_leaving(evidence: records.Evidence, findings: _Findings) -> None:
    for event in evidence.events:
        if event.kind != 'retired':
            continue
        restored = [
            other.wall_ms
            for other in evidence.events
            if other.kind == 'restored'
            and other.subject == event.subject
            and other.wall_ms > event.wall_ms
        ]
        until = min(restored, default=None)
        findings.judge(True, f'{event.subject} was retired')
        for record in evidence.records_by_server.get(event.subject, []):
            is_after = record['wall_ms'] > event.wall_ms + TARGET_BOUND_MS
            if not is_after or (until and record['wall_ms'] > until):
                continue
            findings.judge(
                record['message']['op'] not in ('execute', 'begin')
                or not ran(record),
                f'{event.subject} got {record["message"]["op"]}'
                f' {record["wall_ms"] - event.wall_ms} ms after it was'
                ' retired',
            )


def _check_stops(evidence: records.Evidence, findings: _Findings) -> None:
    asked_by_host = {}
    has_faults = False
    for event in sorted(evidence.events, key=lambda event: event.wall_ms):
        match event.kind:
            case 'fault':
                has_faults = True
            case 'stop_asked':
                asked_by_host[event.subject] = event.wall_ms
            case 'stopped':
                asked = asked_by_host.pop(event.subject, event.wall_ms)
                findings.judge(
                    event.value == 0,
                    f'{event.subject} ended with {event.value}',
                )
                _check_stop(evidence, event, asked, has_faults, findings)
    for host in asked_by_host:
        findings.judge(False, f'{host} did not stop')


def _check_stop(
    evidence: records.Evidence,
    stopped: records.Event,
    asked: int,
    has_faults: bool,
    findings: _Findings,
) -> None:
    for call in evidence.calls:
        if call.done_ms < asked or call.sent_ms > stopped.wall_ms:
            continue
        if call.host == stopped.subject and call.outcome != records.UNSENT:
            findings.judge(
                call.outcome != records.LOST,
                f'{call.request_id} was interrupted by the stop of'
                f' {stopped.subject}',
            )
        # With other faults about, a lost transaction may be theirs.
        if call.operation != 'begin' and call.group and not has_faults:
            findings.judge(
                call.code != 'transaction_lost',
                f'{call.group} was lost by the stop of {stopped.subject}',
            )


def _check_configuration(
    evidence: records.Evidence, findings: _Findings
) -> None:
    events = sorted(evidence.events, key=lambda event: event.wall_ms)
    accepted = [event for event in events if event.kind == 'accepted']
    changes_by_version: dict[int, str] = {}
    for event in accepted:
        # Two operators who both won would each think theirs is in force.
        first = changes_by_version.setdefault(event.value, event.subject)
        findings.judge(
            first == event.subject,
            f'version {event.value} is {first!r} and {event.subject!r}',
        )
    highest_by_host: dict[str, int] = {}
    for event in events:
        if event.kind == 'started':
            highest_by_host.pop(event.subject, None)
        if event.kind != 'health':
            continue
        highest = highest_by_host.get(event.subject, 0)
        findings.judge(
            event.value >= highest,
            f'{event.subject} went from version {highest} to {event.value}',
        )
        highest_by_host[event.subject] = max(highest, event.value)
        # A host that is cut off says so and refuses requests with a key.
        if event.text != 'ready':
            continue
        due = [
            each.value
            for each in accepted
            if each.wall_ms + CONFIGURATION_BOUND_MS < event.wall_ms
        ]
        findings.judge(
            event.value >= max(due, default=0),
            f'{event.subject} has version {event.value} although'
            f' {max(due, default=0)} was accepted long ago',
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
