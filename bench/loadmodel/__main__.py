"""Plays a scenario over seeds: ``python -m bench.loadmodel okwuosa --load 1.4``.

Prints what callers get with the present decisions beside a plain baseline,
and draws it by kind, zone and second with ``--plot FILE``.
"""

import argparse
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.loadmodel.model import Decisions, Figures, Mesh
from bench.loadmodel.plain import FifoGate, LotPlacement
from bench.loadmodel.plot import draw
from bench.loadmodel.scenario import Scenario, named, read_scenario
from papayalock.result import PapayalockError

VARIANTS = {
    'present': Decisions(),
    'lot': Decisions(placement=LotPlacement),
    'fifo': Decisions(gate=FifoGate),
    'lot, fifo': Decisions(LotPlacement, FifoGate),
}


def play(scenario: Scenario, seed: int, variant: str) -> Figures:
    """Plays one seed of a scenario."""
    return Mesh(scenario, seed, VARIANTS[variant]).run()


def report(variant: str, played: list[Figures]) -> str:
    """Returns a line with the means over seeds and their spread."""
    worths = [one.worth for one in played]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    kinds = {
        name: statistics.mean(
            one.by_kind[name].worth / one.by_kind[name].owed for one in played
        )
        for name in sorted(played[0].by_kind)
    }
    told = ', '.join(f'{name} {mean:.3f}' for name, mean in kinds.items())
    refused = statistics.mean(
        sum(kind.refused for kind in one.by_kind.values()) for one in played
    )
    idle = sum(one.idle_refusals for one in played)
    far = statistics.mean(one.far_bytes for one in played) / 1e6
    return (
        f'{variant:10} worth {statistics.mean(worths):.3f} ± {spread:.3f}: '
        f'{told}; {refused:.0f} refused, {idle} with a server idle, '
        f'{far:.1f} MB between zones'
    )


def main() -> int:
    """Plays what the command line names."""
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
        scenario = read_scenario(path) if path.suffix else named(args.scenario)
    except PapayalockError as exc:
        sys.stderr.write(f'{exc}\n')
        return 2
    scenario.load = args.load or scenario.load
    with ProcessPoolExecutor(args.jobs) as pool:
        for variant in args.variant or VARIANTS:
            runs = [
                pool.submit(play, scenario, seed, variant)
                for seed in range(1, args.seeds + 1)
            ]
            played = [one.result() for one in runs]
            sys.stdout.write(f'{report(variant, played)}\n')
            sys.stdout.flush()
            if args.plot:
                draw(
                    played[0],
                    args.plot.with_stem(f'{args.plot.stem}-{variant}'),
                )
    return 0


if __name__ == '__main__':
    sys.exit(main())
