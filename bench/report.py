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
        """Return the number of violations of all invariants."""
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
    """Return a table with one line for each result.

    ``refused`` counts requests that were not run, ``in rate`` those refused
    although the rate of the account wasn't used up. ``unknown`` includes lost
    answers. ``replica`` is the share of reads outside transactions that
    replicas served, ``gap ms`` the longest failover gap of a service.
    ``worst`` is the lowest share that an account got of the requests that fit
    its rate. ``p50`` and ``p99`` are percentiles of the response times in
    milliseconds, ``w.p99`` the highest ``p99`` of an account. ``broken`` lists
    the numbers of violated invariants with their counts of violations.
    """
    lines = [''.join(name.ljust(width) for name, width in COLUMNS)]
    for result in results:
        lines.append(
            ''.join(
                str(value).ljust(width)
                for value, (_, width) in zip(
                    _table_row(result), COLUMNS, strict=True
                )
            ).rstrip()
        )
    return '\n'.join(lines)


def document(results: list[Result], options: dict[str, Any]) -> dict[str, Any]:
    """Return the report as a dictionary for JSON.

    ``first`` holds up to ten violations of an invariant.
    """
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


def _table_row(result: Result) -> list[Any]:
    result_measures = result.measures
    violation_counts = [
        f'{verdict.invariant}:{len(verdict.violations)}'
        for verdict in result.verdicts
        if verdict.violations
    ]
    return [
        result.scenario,
        result.mode,
        result_measures.requests,
        result_measures.done,
        result_measures.not_run,
        result_measures.unknown + result_measures.lost,
        result_measures.refused_inside_rate,
        f'{result_measures.replica_share:.0%}',
        max(result_measures.failover_gap_ms_by_service.values(), default=0),
        f'{result_measures.worst_share:.0%}',
        result_measures.p50_ms,
        result_measures.p99_ms,
        result_measures.worst_p99_ms,
        ' '.join(violation_counts) or 'none',
    ]
