"""Measures of a run, computed from the recorded calls."""

import collections
import dataclasses
from typing import Any

from hdrh import histogram

from bench import checker
from bench import records

# Refusals that the caller caused or that no proxy can avoid.
CALLER_CAUSED_CODES = frozenset(
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
MAX_LATENCY_US = 60_000_000


@dataclasses.dataclass(frozen=True)
class AccountMeasures:
    """Measures of one account.

    ``entitled`` is the number of requests that fitted its rate and burst,
    ``share`` is ``done`` in relation to that, at most 1.
    ``refused_inside_rate`` counts refusals while the rate wasn't used up.
    """

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
    """Measures of a run.

    ``refused_by_code`` also counts unknown outcomes.
    ``failover_gap_ms_by_service`` is the longest time of each service
    without an acknowledged write.
    """

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
    """Return the measures of a run.

    Leaves out accounts whose key was withdrawn, and requests that were sent
    to be refused.
    """
    withdrawn_keys = {
        event.subject for event in evidence.events if event.kind == 'withdrawn'
    }
    excluded_accounts = {
        call.account
        for call in evidence.calls
        if call.key_id in withdrawn_keys
    }
    calls = [
        call
        for call in evidence.calls
        if call.intent == 'normal' and call.account not in excluded_accounts
    ]
    counts_by_outcome = collections.Counter(call.outcome for call in calls)
    counts_by_code = collections.Counter(
        call.code
        for call in calls
        if call.outcome in (records.NOT_RUN, records.UNKNOWN)
    )
    reads, replica_reads = _count_replica_reads(evidence, calls)
    accounts = [
        _account_measures(account, [c for c in calls if c.account == name])
        for name, account in sorted(evidence.accounts_by_name.items())
        if any(c.account == name for c in calls)
    ]
    worst_served = min(accounts, key=lambda each: each.share, default=None)
    latencies = _latency_histogram(calls)
    return Measures(
        requests=len(calls),
        done=counts_by_outcome[records.DONE],
        not_run=counts_by_outcome[records.NOT_RUN],
        unknown=counts_by_outcome[records.UNKNOWN],
        lost=counts_by_outcome[records.LOST],
        unsent=counts_by_outcome[records.UNSENT],
        refused_by_code=dict(sorted(counts_by_code.items())),
        reads=reads,
        replica_reads=replica_reads,
        replica_share=replica_reads / reads if reads else 0.0,
        failover_gap_ms_by_service={
            service: _failover_gap_ms(service, calls)
            for service in sorted(evidence.servers_by_service)
        },
        accounts=accounts,
        worst_account=worst_served.account if worst_served else '',
        worst_share=worst_served.share if worst_served else 0.0,
        worst_p99_ms=max((each.p99_ms for each in accounts), default=0.0),
        refused_inside_rate=sum(each.refused_inside_rate for each in accounts),
        p50_ms=_percentile(latencies, 50),
        p90_ms=_percentile(latencies, 90),
        p99_ms=_percentile(latencies, 99),
        p999_ms=_percentile(latencies, 99.9),
    )


class _TokenBucket:
    """A token bucket with the fleet-wide rate of an account; starts full."""

    def __init__(self, account: records.Account, now_ms: int) -> None:
        self._account = account
        self._refilled_ms = now_ms
        self.tokens = float(account.burst)

    def refill(self, now_ms: int) -> None:
        """Add the tokens earned up to ``now_ms``."""
        earned = (now_ms - self._refilled_ms) * self._account.rate / 1000
        self.tokens = min(self._account.burst, self.tokens + earned)
        self._refilled_ms = now_ms


def count_entitled(account: records.Account, calls: list[records.Call]) -> int:
    """Return how many calls fit the rate; they are sorted by sending time."""
    bucket = _TokenBucket(account, calls[0].sent_ms)
    count = 0
    for call in calls:
        bucket.refill(call.sent_ms)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            count += 1
    return count


def count_refused_inside_rate(
    account: records.Account, calls: list[records.Call]
) -> int:
    """Return how many calls were refused although the rate wasn't used up.

    ``calls`` are sorted by sending time. Only admitted calls, and refusals
    with a code of ``CALLER_CAUSED_CODES``, use the rate up. It doesn't matter
    which requests of an account above its rate were admitted. The bucket may
    go below zero, as admitted requests may have waited for a token. The
    result is limited to the number of requests that the account was entitled
    to but didn't get admitted.
    """
    bucket = _TokenBucket(account, calls[0].sent_ms)
    count = 0
    for call in calls:
        bucket.refill(call.sent_ms)
        if call.outcome != records.NOT_RUN or call.code in CALLER_CAUSED_CODES:
            bucket.tokens -= 1
        elif bucket.tokens >= 1:
            bucket.tokens -= 1
            count += 1
    admitted = sum(
        call.outcome != records.NOT_RUN or call.code in CALLER_CAUSED_CODES
        for call in calls
    )
    return min(count, max(0, count_entitled(account, calls) - admitted))


def _account_measures(
    account: records.Account, calls: list[records.Call]
) -> AccountMeasures:
    calls = sorted(calls, key=lambda call: call.sent_ms)
    entitled_requests = count_entitled(account, calls)
    done = sum(call.outcome == records.DONE for call in calls)
    latencies = _latency_histogram(calls)
    return AccountMeasures(
        account=account.name,
        requests=len(calls),
        entitled=entitled_requests,
        done=done,
        share=min(1.0, done / entitled_requests),
        p50_ms=_percentile(latencies, 50),
        p99_ms=_percentile(latencies, 99),
        refused_inside_rate=count_refused_inside_rate(account, calls),
    )


def _latency_histogram(calls: list[records.Call]) -> histogram.HdrHistogram:
    recorded_latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for call in calls:
        if call.outcome == records.DONE:
            duration_us = (call.done_ms - call.sent_ms) * 1000
            recorded_latencies.record_value(
                min(max(duration_us, 1), MAX_LATENCY_US)
            )
    return recorded_latencies


def _percentile(
    recorded_latencies: histogram.HdrHistogram, percent: float
) -> float:
    if not recorded_latencies.get_total_count():
        return 0.0
    return round(recorded_latencies.get_value_at_percentile(percent) / 1000, 1)


def _failover_gap_ms(service: str, calls: list[records.Call]) -> int:
    """Return the longest time of a service without an acknowledged write.

    The time before a write is sent or pending doesn't count, so that pauses
    in which the callers send no writes are left out.
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
    acknowledged_times_ms = sorted(
        call.done_ms for call in writes if call.outcome == records.DONE
    )
    longest_ms = 0
    index = 0
    for start_ms, end_ms in _write_gaps_ms(writes, acknowledged_times_ms):
        if end_ms - start_ms <= longest_ms:
            continue
        while index < len(writes) and writes[index].done_ms < start_ms:
            index += 1
        attempt_times_ms = [
            call.sent_ms for call in writes[index:] if call.done_ms > start_ms
        ]
        counted_from_ms = max(start_ms, min(attempt_times_ms, default=end_ms))
        longest_ms = max(longest_ms, end_ms - counted_from_ms)
    return longest_ms


def _write_gaps_ms(
    writes: list[records.Call], acknowledged_times_ms: list[int]
) -> list[tuple[int, int]]:
    if not writes:
        return []
    last_done_ms = max(call.done_ms for call in writes)
    times_ms = [writes[0].sent_ms, *acknowledged_times_ms, last_done_ms]
    return list(zip(times_ms, times_ms[1:], strict=False))


def _count_replica_reads(
    evidence: records.Evidence, calls: list[records.Call]
) -> tuple[int, int]:
    """Count the reads outside transactions, and those that replicas served."""
    promotion_times_ms = collections.defaultdict(list)
    for server, server_records in evidence.records_by_server.items():
        for record in server_records:
            if record['message']['op'] == 'promote' and checker.took_effect(
                record
            ):
                promotion_times_ms[server].append(record['run_wall_ms'])
    reads = replica_count = 0
    for call in calls:
        if (
            call.outcome != records.DONE
            or call.operation != 'execute'
            or call.mode != 'read'
        ):
            continue
        reads += 1
        if call.served_by != _primary_at(
            evidence, promotion_times_ms, call.service, call.done_ms
        ):
            replica_count += 1
    return reads, replica_count


def _primary_at(
    evidence: records.Evidence,
    promotion_times_ms: dict[str, list[int]],
    service: str,
    wall_ms: int,
) -> str:
    primary = evidence.primaries_by_service.get(service, '')
    latest_ms = 0
    for server in evidence.servers_by_service.get(service, ()):
        for promoted_ms in promotion_times_ms.get(server, ()):
            if latest_ms < promoted_ms <= wall_ms:
                latest_ms, primary = promoted_ms, server
    return primary


def as_document(measures: Measures) -> dict[str, Any]:
    """Return the measures as a dictionary for JSON."""
    return dataclasses.asdict(measures)
