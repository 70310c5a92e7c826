"""Convergence time against control bytes for several coalescing windows.

For each window, submits five versions per second for ten seconds to 60
agents. The curve is written to ``docs/tradeoff.svg``.
"""

import random
import time

import matplotlib as mpl

from bench.experiments.convergence import convergence_delays, submit_at_interval
from bench.fleet import percentile, running_fleets
from bench.mesh import ROOT

mpl.use('Agg')

ZONES = ['a', 'b', 'c']
SERVICES = 60
AGENTS_PER_ZONE = 20
VERSIONS = 50
VERSION_INTERVAL_S = 0.2
COALESCE_WINDOWS_MS = (0, 250, 1000, 4000)


def run(seed: int) -> dict[str, float]:
    """Measures each coalescing window and draws the curve."""
    figures: dict[str, float] = {}
    points = []
    for coalesce_ms in COALESCE_WINDOWS_MS:
        p50, p99, bytes_per_node_s = _measure(seed, coalesce_ms)
        figures[f'c{coalesce_ms}_p50_s'] = p50
        figures[f'c{coalesce_ms}_p99_s'] = p99
        figures[f'c{coalesce_ms}_bytes_per_node_s'] = bytes_per_node_s
        points.append((coalesce_ms, p99, bytes_per_node_s))
    _draw(points)
    return figures


def _measure(seed: int, coalesce_ms: int) -> tuple[float, float, float]:
    settings: dict[str, dict[str, object]] = {
        'distribution': {'coalesce_ms': coalesce_ms}
    }
    with running_fleets(ZONES, SERVICES, settings) as fleets:
        fleets.start(AGENTS_PER_ZONE, seed=seed)
        fleets.wait_applied(fleets.version)
        time.sleep(2)
        start = time.monotonic()
        accepted_at = submit_at_interval(
            fleets, random.Random(seed), SERVICES, VERSIONS, VERSION_INTERVAL_S
        )
        fleets.wait_applied(fleets.version)
        time.sleep(0.3)
        end = time.monotonic()
        delays = convergence_delays(fleets, accepted_at)
        total_bytes = fleets.bytes_between(start, end).total
        bytes_per_node_s = total_bytes / fleets.agent_count / (end - start)
        return (
            percentile(delays, 0.5),
            percentile(delays, 0.99),
            bytes_per_node_s,
        )


def _draw(points: list[tuple[int, float, float]]) -> None:
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(figsize=(6, 4))
    axes.plot(
        [bytes_per_node_s for _, _, bytes_per_node_s in points],
        [p99 for _, p99, _ in points],
        marker='o',
    )
    for coalesce_ms, p99, bytes_per_node_s in points:
        axes.annotate(
            f'{coalesce_ms} ms',
            (bytes_per_node_s, p99),
            textcoords='offset points',
            xytext=(6, 6),
        )
    axes.set_xlabel('control bytes per node and second')
    axes.set_ylabel('convergence p99 (s)')
    axes.set_title('Coalescing window: time against bytes')
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(ROOT / 'docs' / 'tradeoff.svg', metadata={'Date': None})
