"""Draws what callers got, by kind, zone and second."""

from pathlib import Path

import matplotlib as mpl
from matplotlib import pyplot as plt

from bench.loadmodel.model import Figures, Tally

mpl.use('svg')


def draw(figures: Figures, path: Path) -> None:
    """Writes a picture of one run."""
    _, axes = plt.subplots(1, 3, figsize=(12, 3))
    _bars(axes[0], figures.by_kind, 'by kind')
    _bars(axes[1], figures.by_zone, 'by zone')
    seconds = sorted(figures.by_second)
    shares = [_share(figures.by_second[one]) for one in seconds]
    axes[2].plot(seconds, shares)
    axes[2].set_title('by second')
    axes[2].set_ylim(0, 1)
    plt.tight_layout()
    plt.savefig(path)
    plt.close()


def _bars(axis: plt.Axes, tallies: dict[str, Tally], title: str) -> None:
    names = sorted(tallies)
    axis.bar(names, [_share(tallies[name]) for name in names])
    axis.set_title(title)
    axis.set_ylim(0, 1)
    axis.tick_params(axis='x', labelrotation=20)


def _share(tally: Tally) -> float:
    return tally.worth / tally.owed if tally.owed else 0.0
