"""Runs one experiment; the last line it prints is JSON with the figures."""

import argparse
import importlib
import json
import pkgutil
import sys

from bench import experiments


def experiment_names() -> list[str]:
    """Returns the names of all experiments."""
    return sorted(
        module.name for module in pkgutil.iter_modules(experiments.__path__)
    )


def main() -> int:
    """Runs the experiment named on the command line."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('experiment', choices=experiment_names())
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    module = importlib.import_module(f'bench.experiments.{args.experiment}')
    figures = module.run(args.seed)
    rounded = {name: round(figure, 4) for name, figure in figures.items()}
    line = {
        'experiment': args.experiment,
        'seed': args.seed,
        'figures': rounded,
    }
    sys.stdout.write(f'{json.dumps(line)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
