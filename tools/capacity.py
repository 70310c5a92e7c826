"""Recomputes the table of ``docs/CAPACITY.md`` from the measured slopes."""

import json
import sys
from pathlib import Path
from typing import Any

import numpy as np

ROOT = Path(__file__).resolve().parent.parent
SLOPES = ROOT / 'docs' / 'slopes.json'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- computed from slopes.json by make capacity -->'
END = '<!-- end of what is computed -->'

NODES = 23_000
SERVICES = 3_300
CONTROL_VMS = 29
VERSIONS_PER_DAY = 18_000
DAY_S = 86_400
ZONES = 12
MOVES_PER_DAY = 2_478  # failures and restarts
SLICE_SERVICES = 6  # services in a node's scope
CALLS_PER_NODE_S = 265
MS = 1000

Figures = dict[str, float]


def line(
    figures: Figures, kind: str, name: str, divisor: float = 1.0
) -> tuple[float, float]:
    """Returns intercept and slope of a figure over the measured sizes.

    :param divisor: sizes are divided by it, such as nodes by control VMs
    """
    prefix = f'{kind}_'
    sizes = sorted(
        {int(key.split('_')[1]) for key in figures if key.startswith(prefix)}
    )
    found = [figures[f'{kind}_{size}_{name}'] for size in sizes]
    slope, intercept = np.polyfit([size / divisor for size in sizes], found, 1)
    return float(intercept), float(slope)


def rows(document: dict[str, Any]) -> list[tuple[str, str, str, str, str]]:
    """Returns the rows: role, what, worked out, budget, verdict."""
    slopes: Figures = document['slopes']['figures']
    other: Figures = document['other']
    attached = NODES / CONTROL_VMS
    per_second = VERSIONS_PER_DAY / DAY_S
    return [
        *_node_rows(slopes, other, per_second),
        *_control_rows(slopes, other, attached, per_second),
        *_claim_rows(other),
    ]


def _node_rows(
    slopes: Figures, other: Figures, per_second: float
) -> list[tuple[str, str, str, str, str]]:
    idle = slopes['nodes_180_agent_idle_cpu']
    version_ms = slopes['nodes_180_agent_ms_per_version']
    cpu = 100 * (idle + version_ms / MS * per_second)
    sent = (
        slopes['nodes_180_idle_bytes_s']
        + slopes['nodes_180_bytes_per_version'] * per_second
    )
    calls = 100 * CALLS_PER_NODE_S * other['one_hop_cpu_ms_per_call'] / MS
    return [
        (
            'node',
            'control, share of a core',
            f'{cpu:.2f}%',
            '2.3%',
            verdict(cpu, 2.3),
        ),
        (
            'node',
            'control, bytes a second',
            f'{sent:.0f}',
            '4,096',
            verdict(sent, 4096),
        ),
        (
            'node',
            'resident memory',
            f'{other["node_rss_target_mb"]:.1f} MB',
            '32 MB',
            verdict(other['node_rss_target_mb'], 32),
        ),
        (
            'node',
            'calls, share of a core at 265 calls/s',
            f'{calls:.1f}%',
            'none stated',
            '—',
        ),
        (
            'node',
            'added at p99, one hop',
            f'{other["one_hop_added_p99_ms"]:.2f} ms',
            '0.56 ms',
            verdict(other['one_hop_added_p99_ms'], 0.56),
        ),
        (
            'node',
            'added at p50, one hop',
            f'{other["one_hop_added_p50_ms"]:.2f} ms',
            'none stated',
            '—',
        ),
    ]


def _control_rows(
    slopes: Figures, other: Figures, attached: float, per_second: float
) -> list[tuple[str, str, str, str, str]]:
    vms = 3
    base, per_node = line(slopes, 'nodes', 'follower_idle_cpu', vms)
    idle = 100 * (base + per_node * attached)
    fixed_ms, node_ms = line(slopes, 'nodes', 'follower_ms_per_version', vms)
    _, service_ms = line(slopes, 'services', 'follower_ms_per_version')
    version_ms = fixed_ms + node_ms * attached + service_ms * SERVICES
    _, leader_service_ms = line(slopes, 'services', 'leader_ms_per_version')
    leader_base, _ = line(slopes, 'services', 'leader_ms_per_version')
    leader_ms = leader_base + leader_service_ms * SERVICES + node_ms * attached
    memory_base, memory = line(slopes, 'services', 'leader_rss_mb')
    rss = memory_base + memory * SERVICES
    polls = attached / 2
    whole = idle + 100 * version_ms / MS * per_second
    leader = idle + 100 * leader_ms / MS * per_second
    moves = MOVES_PER_DAY / DAY_S
    return [
        (
            'control VM, zone replica',
            'nodes attached',
            f'{attached:.0f}',
            '29 VMs in all',
            'met',
        ),
        (
            'control VM, zone replica',
            'polls in and out a second',
            f'{polls:.0f}',
            'none stated',
            '—',
        ),
        (
            'control VM, zone replica',
            'idle polls, share of a core',
            f'{idle:.0f}%',
            'one core',
            verdict(idle, 100),
        ),
        (
            'control VM, zone replica',
            'processor time a version',
            f'{version_ms:.0f} ms',
            'none stated',
            '—',
        ),
        (
            'control VM, zone replica',
            'all, share of a core',
            f'{whole:.0f}%',
            'one core',
            verdict(whole, 100),
        ),
        (
            'control VM, zone replica',
            'resident memory',
            f'{rss:.0f} MB',
            'none stated',
            '—',
        ),
        (
            'control VM, zone replica',
            'endpoint changes a second',
            f'{moves:.3f}',
            'none stated',
            '—',
        ),
        (
            'control VM, log leader',
            'processor time a version',
            f'{leader_ms:.0f} ms',
            'none stated',
            '—',
        ),
        (
            'control VM, log leader',
            'all, share of a core',
            f'{leader:.0f}%',
            'one core',
            verdict(leader, 100),
        ),
        (
            'all',
            'convergence at 102 nodes, slowest',
            f'{other["convergence_max_s"]:.2f} s',
            '11 s',
            verdict(other['convergence_max_s'], 11),
        ),
    ]


def _claim_rows(other: Figures) -> list[tuple[str, str, str, str, str]]:
    return [
        (
            'claims shard',
            'claims a second on one core of its leader',
            f'{other["claims_per_leader_core_s"]:.0f}',
            'none stated',
            '—',
        ),
        (
            'claims shard',
            'added to a call at p50',
            f'{other["claim_added_p50_ms"]:.1f} ms',
            'free of 0.56 ms',
            '—',
        ),
    ]


def verdict(found: float, bound: float) -> str:
    """Returns whether a figure keeps its bound."""
    return 'met' if found <= bound else 'not met'


def table(document: dict[str, Any]) -> str:
    """Returns the table as Markdown."""
    lines = [
        '| role | what | worked out | budget | verdict |',
        '|---|---|---|---|---|',
    ]
    lines.extend(f'| {" | ".join(row)} |' for row in rows(document))
    return '\n'.join(lines)


def render(page: str, document: dict[str, Any]) -> str:
    """Returns the page with its table replaced."""
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    return f'{head}{BEGIN}\n\n{table(document)}\n\n{END}{tail}'


def main() -> int:
    """Rewrites the page."""
    document = json.loads(SLOPES.read_text())
    PAGE.write_text(render(PAGE.read_text(), document))
    sys.stdout.write(f'{table(document)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
