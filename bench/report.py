"""The report of a bench run, as JSON and as a table."""

import dataclasses
from typing import Any

from bench import checker
from bench import measures as measures_module


@dataclasses.dataclass(frozen=True)
class Result:
    """One scenario in one mode (``samphirestand`` or ``baseline``)."""

    scenario: str
    mode: str
    verdicts: list[checker.Verdict]
    measures: measures_module.Measures

    @property
    def violations(self) -> int:
        """Return the count over all invariants."""
        return sum(len(each.violations) for each in self.verdicts)


COLUMNS = (
    ('scenario', 20),
    ('mode', 14),
    ('requests', 9),
    ('done', 7),
    ('refused', 8),
    ('unknown', 8),
    ('in rate', 8),
    ('replica', 8),
    ('gap ms', 8),
    ('worst', 7),
    ('p50', 7),
    ('p99', 8),
    ('w.p99', 8),
    ('broken', 12),
)


def table(results: list[Result]) -> str:
    """Return the table; ``broken`` lists invariant numbers and counts.

    ``refused`` are all not run, ``in rate`` those refused although inside
    the account's rate, ``unknown`` includes lost answers, ``replica`` the
    share of reads served by replicas, ``gap`` the longest failover gap of a
    service, ``worst`` the share of its entitlement that the worst-served
    account got, and ``w.p99`` its 99th percentile in milliseconds.
    """
    lines = [''.join(name.ljust(width) for name, width in COLUMNS)]
    for result in results:
        lines.append(
            ''.join(
                str(value).ljust(width)
                for value, (_, width) in zip(
                    _row(result), COLUMNS, strict=True
                )
            ).rstrip()
        )
    return '\n'.join(lines)


def document(results: list[Result], options: dict[str, Any]) -> dict[str, Any]:
    """Return the report for JSON."""
    return {
        'options': options,
        'results': [
            {
                'scenario': result.scenario,
                'mode': result.mode,
                'measures': dataclasses.asdict(result.measures),
                'invariants': [
                    {
                        'invariant': verdict.invariant,
                        'name': checker.INVARIANTS[verdict.invariant],
                        'judged': verdict.judged,
                        'violations': len(verdict.violations),
                        'first': list(verdict.violations[:10]),
                    }
                    for verdict in result.verdicts
                ],
            }
            for result in results
        ],
    }


def _row(result: Result) -> list[Any]:
    found = result.measures
    broken = [
        f'{verdict.invariant}:{len(verdict.violations)}'
        for verdict in result.verdicts
        if verdict.violations
    ]
    return [
        result.scenario,
        result.mode,
        found.requests,
        found.done,
        found.not_run,
        found.unknown + found.lost,
        found.refused_inside_rate,
        f'{found.replica_share:.0%}',
        max(found.failover_gap_ms_by_service.values(), default=0),
        f'{found.worst_share:.0%}',
        found.p50_ms,
        found.p99_ms,
        found.worst_p99_ms,
        ' '.join(broken) or 'none',
    ]
