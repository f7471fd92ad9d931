"""Measures a fleet on loopback under load and faults."""

import argparse
import asyncio
import json
import pathlib
import signal
import sys
import traceback

from bench import checker
from bench import fleet as fleet_module
from bench import load
from bench import measures as measures_module
from bench import records
from bench import report
from bench import scenarios

SETTLE_MS = 3_000
WARM_UP_MS = 3_000
MODES = ('samphirestand', 'baseline')


async def run_scenario(
    scenario: scenarios.Scenario, mode: str, options: argparse.Namespace
) -> report.Result:
    """Run one scenario on a new fleet and judge it."""
    folder = options.output / f'{scenario.name}-{mode}'
    fleet = fleet_module.Fleet(
        options.deployment,
        folder,
        scale=options.scale,
        base_port=options.base_port,
        seed=options.seed,
        is_baseline=mode == 'baseline',
    )
    calls: list[records.Call] = []
    avoided_host_ids: set[str] = set()
    shared_state = load.SharedState(
        fleet, fleet.clock, calls, avoided_host_ids, {}, {}
    )
    script = scenarios.FaultScript(fleet, avoided_host_ids)
    try:
        await fleet.start()
        await fleet.clock.sleep(WARM_UP_MS)
        await asyncio.gather(
            *(
                each.run(scenario.duration_ms)
                for each in _loads(scenario, shared_state, options)
            ),
            script.run(scenario),
        )
        await fleet.clock.sleep(SETTLE_MS)
        evidence = await fleet.collect_evidence(calls)
    finally:
        await fleet.stop()
    evidence.save(folder / 'evidence.json')
    return judge(scenario.name, mode, evidence)


def judge(
    scenario: str, mode: str, evidence: records.Evidence
) -> report.Result:
    """Return the verdicts and the measures of a run."""
    return report.Result(
        scenario,
        mode,
        checker.check(evidence),
        measures_module.measure(evidence),
    )


def judge_again(output: pathlib.Path) -> list[report.Result]:
    """Judge the evidence of earlier runs."""
    results = []
    for scenario in scenarios.SCENARIOS:
        for mode in MODES:
            path = output / f'{scenario.name}-{mode}' / 'evidence.json'
            if path.exists():
                evidence = records.Evidence.load(path)
                results.append(judge(scenario.name, mode, evidence))
    return results


def _loads(
    scenario: scenarios.Scenario,
    shared_state: load.SharedState,
    options: argparse.Namespace,
) -> list[load.AccountLoad]:
    loads = dict(scenario.loads_by_account)
    return [
        load.AccountLoad(
            shared_state,
            name,
            account.rate
            * loads.get(number, scenarios.USUAL_LOAD)
            / load.REQUESTS_PER_ARRIVAL,
            options.seed,
        )
        for number, (name, account) in enumerate(
            shared_state.fleet.accounts.items()
        )
    ]


async def run(options: argparse.Namespace) -> list[report.Result]:
    """Run the chosen scenarios, one after the other.

    The report is written after each, and a SIGTERM stops the processes of
    the fleet before it ends this one.
    """
    results: list[report.Result] = []
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    chosen = [
        each
        for each in scenarios.SCENARIOS
        if not options.scenario or each.name in options.scenario
    ]
    for scenario in chosen:
        for mode in options.mode or MODES:
            try:
                result = await run_scenario(scenario, mode, options)
            except Exception:
                # The other scenarios are worth running all the same.
                print(f'{scenario.name} {mode} failed', file=sys.stderr)
                traceback.print_exc()
                continue
            results.append(result)
            write_report(results, options)
            print(report.table([result]), flush=True)
            for verdict in result.verdicts:
                for text in verdict.violations[:3]:
                    print(f'  {verdict.invariant}: {text[:200]}')
    return results


def write_report(
    results: list[report.Result], options: argparse.Namespace
) -> None:
    """Write ``report.json`` to the output folder."""
    shown = {
        name: value
        for name, value in vars(options).items()
        if name != 'output'
    }
    document = report.document(results, shown)
    path = options.output / 'report.json'
    path.write_text(json.dumps(document, indent=1))


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m bench', description=__doc__
    )
    add = parser.add_argument
    add('--deployment', choices=['bagmati', 'feldwacht'], default='bagmati')
    names = [each.name for each in scenarios.SCENARIOS]
    add('--scenario', action='append', choices=names, help='default: all')
    add('--mode', action='append', choices=MODES, help='default: both')
    add('--seed', type=int, default=1)
    add(
        '--scale',
        type=float,
        default=0.25,
        help='multiplies the rates and bursts of all accounts',
    )
    add('--base-port', type=int, default=0, help='default: a free range')
    add(
        '--judge-again',
        action='store_true',
        help='start nothing; judge the evidence in the output folder',
    )
    add('--output', type=pathlib.Path, default=pathlib.Path('run/bench'))
    return parser.parse_args(arguments)


def main() -> int:
    """Run the bench; 1 if the product broke an invariant or a run failed."""
    options = parse()
    options.output = options.output.resolve()
    if options.judge_again:
        results = judge_again(options.output)
        write_report(results, options)
    else:
        results = asyncio.run(run(options))
    print()
    print(report.table(results))
    is_bad = any(
        result.violations for result in results if result.mode == MODES[0]
    )
    return 1 if is_bad or not results else 0


if __name__ == '__main__':
    sys.exit(main())
