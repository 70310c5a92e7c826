"""Plots the share of the worth that callers got in a run."""

from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from bench.loadmodel.results import RunResult, Tally

mpl.use('svg')


def write_plot(result: RunResult, path: Path) -> None:
    """Writes an image of a run, by kind of call, zone and second."""
    _, axes = plt.subplots(1, 3, figsize=(12, 3))
    _plot_bars(axes[0], result.by_kind, 'by kind')
    _plot_bars(axes[1], result.by_zone, 'by zone')
    seconds = sorted(result.by_second)
    shares = [_worth_share(result.by_second[second]) for second in seconds]
    axes[2].plot(seconds, shares)
    axes[2].set_title('by second')
    axes[2].set_ylim(0, 1)
    plt.tight_layout()
    plt.savefig(path)
    plt.close()


def _plot_bars(axis: plt.Axes, tallies: dict[str, Tally], title: str) -> None:
    names = sorted(tallies)
    axis.bar(names, [_worth_share(tallies[name]) for name in names])
    axis.set_title(title)
    axis.set_ylim(0, 1)
    axis.tick_params(axis='x', labelrotation=20)


def _worth_share(tally: Tally) -> float:
    return tally.worth / tally.max_worth if tally.max_worth else 0.0
