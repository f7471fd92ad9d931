"""Measures of a run, from what callers saw."""

import collections
import dataclasses
from typing import Any

from hdrh import histogram

from bench import checker
from bench import records

# Refusals that are the caller's own doing or that no proxy can avoid.
OWN_CODES = frozenset(
    {
        'bad_request',
        'bad_session',
        'bad_statement',
        'body_too_large',
        'conflict',
        'key_missing',
        'key_unknown',
        'key_withdrawn',
        'service_unknown',
        'session_account_mismatch',
        'session_position_discarded',
        'transaction_account_mismatch',
        'transaction_lost',
        'transaction_unknown',
    }
)
HIGHEST_US = 60_000_000


@dataclasses.dataclass(frozen=True)
class AccountMeasures:
    """How one account fared; ``share`` is of what it was entitled to."""

    account: str
    requests: int
    entitled: int
    done: int
    share: float
    p50_ms: float
    p99_ms: float
    refused_inside_rate: int


@dataclasses.dataclass(frozen=True)
class Measures:
    """The measures of a run."""

    requests: int
    done: int
    not_run: int
    unknown: int
    lost: int
    unsent: int
    refused_by_code: dict[str, int]
    reads: int
    replica_reads: int
    replica_share: float
    failover_gap_ms_by_service: dict[str, int]
    accounts: list[AccountMeasures]
    worst_account: str
    worst_share: float
    worst_p99_ms: float
    refused_inside_rate: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float


def measure(evidence: records.Evidence) -> Measures:
    """Return the measures of a run, without accounts whose key ended."""
    withdrawn = {
        event.subject for event in evidence.events if event.kind == 'withdrawn'
    }
    ended = {
        call.account for call in evidence.calls if call.key_id in withdrawn
    }
    calls = [
        call
        for call in evidence.calls
        if call.intent == 'normal' and call.account not in ended
    ]
    counts = collections.Counter(call.outcome for call in calls)
    codes = collections.Counter(
        call.code
        for call in calls
        if call.outcome in (records.NOT_RUN, records.UNKNOWN)
    )
    reads, replica_reads = _replica_reads(evidence, calls)
    accounts = [
        _account(account, [c for c in calls if c.account == name])
        for name, account in sorted(evidence.accounts_by_name.items())
        if any(c.account == name for c in calls)
    ]
    worst = min(accounts, key=lambda each: each.share, default=None)
    latencies = _latencies(calls)
    return Measures(
        requests=len(calls),
        done=counts[records.DONE],
        not_run=counts[records.NOT_RUN],
        unknown=counts[records.UNKNOWN],
        lost=counts[records.LOST],
        unsent=counts[records.UNSENT],
        refused_by_code=dict(sorted(codes.items())),
        reads=reads,
        replica_reads=replica_reads,
        replica_share=replica_reads / reads if reads else 0.0,
        failover_gap_ms_by_service={
            service: _gap(service, calls)
            for service in sorted(evidence.servers_by_service)
        },
        accounts=accounts,
        worst_account=worst.account if worst else '',
        worst_share=worst.share if worst else 0.0,
        worst_p99_ms=max((each.p99_ms for each in accounts), default=0.0),
        refused_inside_rate=sum(each.refused_inside_rate for each in accounts),
        p50_ms=_percentile(latencies, 50),
        p90_ms=_percentile(latencies, 90),
        p99_ms=_percentile(latencies, 99),
        p999_ms=_percentile(latencies, 99.9),
    )


class _Bucket:
    """A token bucket of an account's whole rate, full at first."""

    def __init__(self, account: records.Account, now: int) -> None:
        self._account = account
        self._last = now
        self.tokens = float(account.burst)

    def advance(self, now: int) -> None:
        """Earn tokens up to ``now``."""
        earned = (now - self._last) * self._account.rate / 1000
        self.tokens = min(self._account.burst, self.tokens + earned)
        self._last = now


def entitled(account: records.Account, calls: list[records.Call]) -> int:
    """Return how many of the calls, in order of sending, fit the rate."""
    bucket = _Bucket(account, calls[0].sent_ms)
    count = 0
    for call in calls:
        bucket.advance(call.sent_ms)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            count += 1
    return count


def refused_inside_rate(
    account: records.Account, calls: list[records.Call]
) -> int:
    """Return how many calls were refused although the rate wasn't used up.

    What was admitted uses the rate up; of an account that sends too much,
    it doesn't matter which of its requests these are. The bucket may go
    below zero, as requests may have waited for their tokens, and no more
    count than the account was short of its entitlement.
    """
    bucket = _Bucket(account, calls[0].sent_ms)
    count = 0
    for call in calls:
        bucket.advance(call.sent_ms)
        if call.outcome != records.NOT_RUN or call.code in OWN_CODES:
            bucket.tokens -= 1
        elif bucket.tokens >= 1:
            bucket.tokens -= 1
            count += 1
    admitted = sum(
        call.outcome != records.NOT_RUN or call.code in OWN_CODES
        for call in calls
    )
    return min(count, max(0, entitled(account, calls) - admitted))


def _account(
    account: records.Account, calls: list[records.Call]
) -> AccountMeasures:
    calls = sorted(calls, key=lambda call: call.sent_ms)
    fitting = entitled(account, calls)
    done = sum(call.outcome == records.DONE for call in calls)
    latencies = _latencies(calls)
    return AccountMeasures(
        account=account.name,
        requests=len(calls),
        entitled=fitting,
        done=done,
        share=min(1.0, done / fitting),
        p50_ms=_percentile(latencies, 50),
        p99_ms=_percentile(latencies, 99),
        refused_inside_rate=refused_inside_rate(account, calls),
    )


def _latencies(calls: list[records.Call]) -> histogram.HdrHistogram:
    found = histogram.HdrHistogram(1, HIGHEST_US, 3)
    for call in calls:
        if call.outcome == records.DONE:
            duration_us = (call.done_ms - call.sent_ms) * 1000
            found.record_value(min(max(duration_us, 1), HIGHEST_US))
    return found


def _percentile(found: histogram.HdrHistogram, percent: float) -> float:
    if not found.get_total_count():
        return 0.0
    return round(found.get_value_at_percentile(percent) / 1000, 1)


def _gap(service: str, calls: list[records.Call]) -> int:
    """Return the longest time without an acknowledged write.

    The time counts from a write's sending at the earliest, so that pauses
    of the callers don't count.
    """
    writes = sorted(
        (
            call
            for call in calls
            if call.service == service
            and call.operation == 'execute'
            and call.mode == 'write'
        ),
        key=lambda call: call.sent_ms,
    )
    acknowledged = sorted(
        call.done_ms for call in writes if call.outcome == records.DONE
    )
    longest = 0
    place = 0
    for start, end in _gaps(writes, acknowledged):
        if end - start <= longest:
            continue
        while place < len(writes) and writes[place].done_ms < start:
            place += 1
        trying = [
            call.sent_ms for call in writes[place:] if call.done_ms > start
        ]
        first = max(start, min(trying, default=end))
        longest = max(longest, end - first)
    return longest


def _gaps(
    writes: list[records.Call], acknowledged: list[int]
) -> list[tuple[int, int]]:
    if not writes:
        return []
    last = max(call.done_ms for call in writes)
    times = [writes[0].sent_ms, *acknowledged, last]
    return list(zip(times, times[1:], strict=False))


def _replica_reads(
    evidence: records.Evidence, calls: list[records.Call]
) -> tuple[int, int]:
    """Count the reads outside of transactions, and those by replicas."""
    promotions = collections.defaultdict(list)
    for server, found in evidence.records_by_server.items():
        for record in found:
            if record['message']['op'] == 'promote' and checker.took_effect(
                record
            ):
                promotions[server].append(record['run_wall_ms'])
    reads = by_replica = 0
    for call in calls:
        if (
            call.outcome != records.DONE
            or call.operation != 'execute'
            or call.mode != 'read'
        ):
            continue
        reads += 1
        if call.served_by != _primary_at(
            evidence, promotions, call.service, call.done_ms
        ):
            by_replica += 1
    return reads, by_replica


def _primary_at(
    evidence: records.Evidence,
    promotions: dict[str, list[int]],
    service: str,
    wall_ms: int,
) -> str:
    primary = evidence.primaries_by_service.get(service, '')
    latest = 0
    for server in evidence.servers_by_service.get(service, ()):
        for promoted in promotions.get(server, ()):
            if latest < promoted <= wall_ms:
                latest, primary = promoted, server
    return primary


def as_document(measures: Measures) -> dict[str, Any]:
    """Return the measures for JSON."""
    return dataclasses.asdict(measures)
