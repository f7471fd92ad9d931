"""Runs scenarios of load and faults on a fleet on loopback."""

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

SETTLE_TIME_MS = 3_000
WARM_UP_TIME_MS = 3_000
MODES = ('samphirestand', 'baseline')


async def run_scenario(
    scenario: scenarios.Scenario, mode: str, options: argparse.Namespace
) -> report.Result:
    """Run one scenario on a new fleet and check the evidence."""
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
    fault_script = scenarios.FaultScript(fleet, avoided_host_ids)
    try:
        await fleet.start()
        await fleet.clock.sleep(WARM_UP_TIME_MS)
        await asyncio.gather(
            *(
                each.run(scenario.duration_ms)
                for each in _account_loads(scenario, shared_state, options)
            ),
            fault_script.run(scenario),
        )
        await fleet.clock.sleep(SETTLE_TIME_MS)
        evidence = await fleet.collect_evidence(calls)
    finally:
        await fleet.stop()
    evidence.save(folder / 'evidence.json')
    return check_evidence(scenario.name, mode, evidence)


def check_evidence(
    scenario: str, mode: str, evidence: records.Evidence
) -> report.Result:
    """Check the invariants of a run and compute its measures."""
    return report.Result(
        scenario,
        mode,
        checker.check(evidence),
        measures_module.measure(evidence),
    )


def check_saved_evidence(output: pathlib.Path) -> list[report.Result]:
    """Check the saved evidence of earlier runs."""
    results = []
    for scenario in scenarios.SCENARIOS:
        for mode in MODES:
            path = output / f'{scenario.name}-{mode}' / 'evidence.json'
            if path.exists():
                evidence = records.Evidence.load(path)
                results.append(check_evidence(scenario.name, mode, evidence))
    return results


def _account_loads(
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
            * loads.get(number, scenarios.DEFAULT_LOAD)
            / load.REQUESTS_PER_ARRIVAL,
            options.seed,
        )
        for number, (name, account) in enumerate(
            shared_state.fleet.accounts.items()
        )
    ]


async def run(options: argparse.Namespace) -> list[report.Result]:
    """Run the chosen scenarios, one after the other.

    The report is written after each. On SIGTERM, the processes of the fleet
    are stopped before this process ends.
    """
    results: list[report.Result] = []
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    chosen_scenarios = [
        each
        for each in scenarios.SCENARIOS
        if not options.scenario or each.name in options.scenario
    ]
    for scenario in chosen_scenarios:
        for mode in options.mode or MODES:
            try:
                result = await run_scenario(scenario, mode, options)
            except Exception:
                # A failed scenario must not keep the next ones from running.
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
    reported_options = {
        name: value
        for name, value in vars(options).items()
        if name != 'output'
    }
    document = report.document(results, reported_options)
    path = options.output / 'report.json'
    path.write_text(json.dumps(document, indent=1))


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
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
        help='start no fleet; check the evidence saved in the output folder',
    )
    add('--output', type=pathlib.Path, default=pathlib.Path('run/bench'))
    return parser.parse_args(arguments)


def main() -> int:
    """Run the bench and return the exit code.

    1 if samphirestand violated an invariant or no scenario gave a result.
    """
    options = parse()
    options.output = options.output.resolve()
    if options.judge_again:
        results = check_saved_evidence(options.output)
        write_report(results, options)
    else:
        results = asyncio.run(run(options))
    print()
    print(report.table(results))
    has_violations = any(
        result.violations for result in results if result.mode == MODES[0]
    )
    return 1 if has_violations or not results else 0


if __name__ == '__main__':
    sys.exit(main())
