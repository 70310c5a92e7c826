"""Simulates a scenario: ``python -m bench.loadmodel okwuosa --load 1.4``.

Prints an upper bound on the worth that callers can get, and the results for
the product code and for simpler baselines, as means over the seeds. ``--plot
FILE`` plots the share of the worth that callers got by kind of call, zone and
second.
"""

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.loadmodel.baseline import FifoGate, RandomPlacement
from bench.loadmodel.bound import bound_share
from bench.loadmodel.model import MeshSimulation, Variant
from bench.loadmodel.plot import write_plot
from bench.loadmodel.results import RunResult
from bench.loadmodel.scenario import (
    Scenario,
    read_bundled_scenario,
    read_scenario,
)
from papayalock.result import PapayalockError

VARIANTS = {
    'present': Variant(),
    'lot': Variant(placement=RandomPlacement),
    'fifo': Variant(gate=FifoGate),
    'lot, fifo': Variant(RandomPlacement, FifoGate),
}


def run_seed(scenario: Scenario, seed: int, variant: str) -> RunResult:
    """Simulates a scenario with one seed.

    :param variant: key of :data:`VARIANTS`
    """
    return MeshSimulation(scenario, seed, VARIANTS[variant]).run()


def format_summary(variant: str, results: list[RunResult]) -> str:
    """Returns a line with the means over all runs of a variant."""
    worths = [run.worth_share for run in results]
    deviation = statistics.stdev(worths) if len(worths) > 1 else 0.0
    shares = {
        name: statistics.mean(
            run.by_kind[name].worth / run.by_kind[name].max_worth
            for run in results
        )
        for name in sorted(results[0].by_kind)
    }
    by_kind = ', '.join(f'{name} {share:.3f}' for name, share in shares.items())
    refused = statistics.mean(
        sum(tally.refused for tally in run.by_kind.values()) for run in results
    )
    with_idle = sum(run.refused_with_idle_server for run in results)
    cross_zone_mb = (
        statistics.mean(run.cross_zone_bytes for run in results) / 1e6
    )
    return (
        f'{variant:10} worth {statistics.mean(worths):.3f} ± {deviation:.3f}: '
        f'{by_kind}; {refused:.0f} refused, {with_idle} with a server idle, '
        f'{cross_zone_mb:.1f} MB between zones'
    )


def main() -> int:
    """Runs the command line and returns the exit status."""
    parser = argparse.ArgumentParser(
        prog='bench.loadmodel', description=__doc__
    )
    parser.add_argument('scenario', help='a name, or a file')
    parser.add_argument('--load', type=float, help='factor on every rate')
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--variant', choices=sorted(VARIANTS), action='append')
    parser.add_argument('--plot', type=Path)
    args = parser.parse_args()
    try:
        path = Path(args.scenario)
        scenario = (
            read_scenario(path)
            if path.suffix
            else read_bundled_scenario(args.scenario)
        )
    except PapayalockError as exc:
        sys.stderr.write(f'{exc}\n')
        return 2
    scenario.load = args.load or scenario.load
    sys.stdout.write(f'upper bound {bound_share(scenario):.3f}\n')
    with ProcessPoolExecutor(args.jobs) as pool:
        for variant in args.variant or VARIANTS:
            futures = [
                pool.submit(run_seed, scenario, seed, variant)
                for seed in range(1, args.seeds + 1)
            ]
            results = [fut.result() for fut in futures]
            sys.stdout.write(f'{format_summary(variant, results)}\n')
            sys.stdout.flush()
            if args.plot:
                write_plot(
                    results[0],
                    args.plot.with_stem(f'{args.plot.stem}-{variant}'),
                )
    return 0


if __name__ == '__main__':
    sys.exit(main())
