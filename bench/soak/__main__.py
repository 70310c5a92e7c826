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

from bench.soak.run import SECONDS, soak

KEPT = Path(__file__).with_name('kept.toml')
OUTPUT_LINES = 40


def one(seed: int, args: argparse.Namespace) -> int:
    """Runs one seed and says what did not hold; returns the exit status."""
    folder = args.folder or Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    found = soak(
        seed, args.seconds, folder, timed=not args.safety, rolling=args.roll
    )
    name = f'rolling seed {seed}' if args.roll else f'seed {seed}'
    for line in found.broken[:OUTPUT_LINES]:
        print(f'{name}: {line}')
    print(f'{name}: {found.summary}; {folder}')
    return 1 if found.broken else 0


def many(seeds: Sequence[int], args: argparse.Namespace) -> int:
    """Runs each seed as a process of its own; returns the failed ones."""

    def run(seed: int) -> int:
        words = ['--seed', str(seed), '--seconds', str(args.seconds)]
        words.extend(['--safety'] if args.safety else [])
        words.extend(['--roll'] if args.roll else [])
        done = subprocess.run(
            [sys.executable, '-m', 'bench.soak', *words],
            check=False,
            capture_output=True,
            text=True,
        )
        sys.stdout.write(done.stdout + done.stderr)
        sys.stdout.flush()
        return int(done.returncode != 0)

    with ThreadPoolExecutor(args.jobs) as pool:
        failed = sum(pool.map(run, seeds))
    print(f'{len(seeds)} seeds, {failed} failed')
    return failed


def kept_seeds(*, rolling: bool = False) -> list[int]:
    """Returns the seeds that once failed, of one plan."""
    document = tomllib.loads(KEPT.read_text())
    return [
        found['number']
        for found in document['seed']
        if found.get('roll', False) == rolling
    ]


def kept(args: argparse.Namespace) -> int:
    """Runs the kept seeds of both plans; returns the failed ones."""
    failed = 0
    for rolling in (False, True):
        args.roll = rolling
        failed += many(kept_seeds(rolling=rolling), args)
    return failed


def main() -> int:
    """Runs one seed, a range of seeds, or those that are kept."""
    parser = argparse.ArgumentParser(prog='bench.soak', description=__doc__)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--seeds', help='first and last seed, as in 1-50')
    parser.add_argument('--kept', action='store_true')
    parser.add_argument('--roll', action='store_true')
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--jobs', type=int, default=3)
    parser.add_argument(
        '--safety', action='store_true', help='check no bounds in time'
    )
    parser.add_argument('--folder', type=Path, help='for logs and records')
    args = parser.parse_args()
    if args.seeds:
        first, _, last = args.seeds.partition('-')
        return min(1, many(range(int(first), int(last) + 1), args))
    if args.kept:
        return min(1, kept(args))
    return one(args.seed or 1, args)


if __name__ == '__main__':
    sys.exit(main())
