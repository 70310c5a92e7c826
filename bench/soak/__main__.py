"""Runs the soak: ``python -m bench.soak --seed 7``, or ``--seeds 1-50``.

``--roll`` restarts nodes in turn and does nothing else to them; ``--kept``
runs every seed that once failed.
"""

import argparse
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from bench.soak.run import DEFAULT_TRAFFIC_S, run_soak

KEPT_SEEDS_PATH = Path(__file__).with_name('kept.toml')
MAX_VIOLATION_LINES = 40


def run_seed(seed: int, args: argparse.Namespace) -> int:
    """Runs one seed and prints its violations; returns the exit status."""
    folder = args.folder or Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    result = run_soak(
        seed, args.seconds, folder, timed=not args.safety, rolling=args.roll
    )
    name = f'rolling seed {seed}' if args.roll else f'seed {seed}'
    for line in result.violations[:MAX_VIOLATION_LINES]:
        print(f'{name}: {line}')
    print(f'{name}: {result.summary}; {folder}')
    return 1 if result.violations else 0


def run_seeds(seeds: Sequence[int], args: argparse.Namespace) -> int:
    """Runs each seed in its own process; returns the number that failed."""

    def run_process(seed: int) -> int:
        arguments = ['--seed', str(seed), '--seconds', str(args.seconds)]
        arguments.extend(['--safety'] if args.safety else [])
        arguments.extend(['--roll'] if args.roll else [])
        process = subprocess.run(
            [sys.executable, '-m', 'bench.soak', *arguments],
            check=False,
            capture_output=True,
            text=True,
        )
        sys.stdout.write(process.stdout + process.stderr)
        sys.stdout.flush()
        return int(process.returncode != 0)

    with ThreadPoolExecutor(args.jobs) as pool:
        failed = sum(pool.map(run_process, seeds))
    print(f'{len(seeds)} seeds, {failed} failed')
    return failed


def kept_seeds(*, rolling: bool = False) -> list[int]:
    """Returns the seeds that once failed with random or rolling faults."""
    document = tomllib.loads(KEPT_SEEDS_PATH.read_text())
    return [
        entry['number']
        for entry in document['seed']
        if entry.get('roll', False) == rolling
    ]


def run_kept_seeds(args: argparse.Namespace) -> int:
    """Runs all kept seeds; returns the number that failed."""
    failed = 0
    for rolling in (False, True):
        args.roll = rolling
        failed += run_seeds(kept_seeds(rolling=rolling), args)
    return failed


def main() -> int:
    """Runs one seed, a range of seeds, or the kept seeds."""
    parser = argparse.ArgumentParser(prog='bench.soak', description=__doc__)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--seeds', help='first and last seed, as in 1-50')
    parser.add_argument('--kept', action='store_true')
    parser.add_argument('--roll', action='store_true')
    parser.add_argument('--seconds', type=float, default=DEFAULT_TRAFFIC_S)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument(
        '--safety', action='store_true', help='check no bounds in time'
    )
    parser.add_argument('--folder', type=Path, help='for logs and records')
    args = parser.parse_args()
    if args.seeds:
        first, _, last = args.seeds.partition('-')
        return min(1, run_seeds(range(int(first), int(last) + 1), args))
    if args.kept:
        return min(1, run_kept_seeds(args))
    return run_seed(args.seed or 1, args)


if __name__ == '__main__':
    sys.exit(main())
