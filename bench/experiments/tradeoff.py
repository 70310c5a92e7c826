"""The coalescing setting swept: convergence time against control bytes.

Five versions a second for ten seconds to 60 agents at each setting; the
curve is written to ``docs/tradeoff.svg``.
"""

import random
import time

import matplotlib as mpl

from bench.experiments.convergence import delays, submit_paced
from bench.fleet import percentile, running_fleets
from bench.mesh import ROOT

mpl.use('Agg')

ZONES = ['a', 'b', 'c']
SERVICES = 60
PER_ZONE = 20
VERSIONS = 50
PACE_S = 0.2
SETTINGS_MS = (0, 250, 1000, 4000)


def run(seed: int) -> dict[str, float]:
    """Measures each setting and draws the curve."""
    figures: dict[str, float] = {}
    points = []
    for coalesce_ms in SETTINGS_MS:
        p50, p99, sent = _measure(seed, coalesce_ms)
        figures[f'c{coalesce_ms}_p50_s'] = p50
        figures[f'c{coalesce_ms}_p99_s'] = p99
        figures[f'c{coalesce_ms}_bytes_per_node_s'] = sent
        points.append((coalesce_ms, p99, sent))
    _draw(points)
    return figures


def _measure(seed: int, coalesce_ms: int) -> tuple[float, float, float]:
    settings: dict[str, dict[str, object]] = {
        'distribution': {'coalesce_ms': coalesce_ms}
    }
    with running_fleets(ZONES, SERVICES, settings) as fleets:
        fleets.start(PER_ZONE, seed=seed)
        fleets.wait_applied(fleets.version)
        time.sleep(2)
        start = time.monotonic()
        accepted = submit_paced(
            fleets, random.Random(seed), SERVICES, VERSIONS, PACE_S
        )
        fleets.wait_applied(fleets.version)
        time.sleep(0.3)
        end = time.monotonic()
        found = delays(fleets, accepted)
        total = fleets.bytes_between(start, end).total
        sent = total / fleets.agent_count / (end - start)
        return percentile(found, 0.5), percentile(found, 0.99), sent


def _draw(points: list[tuple[int, float, float]]) -> None:
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 4))
    axes.plot(
        [sent for _, _, sent in points],
        [p99 for _, p99, _ in points],
        marker='o',
    )
    for coalesce_ms, p99, sent in points:
        axes.annotate(
            f'{coalesce_ms} ms',
            (sent, p99),
            textcoords='offset points',
            xytext=(6, 6),
        )
    axes.set_xlabel('control bytes per node and second')
    axes.set_ylabel('convergence p99 (s)')
    axes.set_title('Coalescing window: time against bytes')
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(ROOT / 'docs' / 'tradeoff.svg', metadata={'Date': None})
