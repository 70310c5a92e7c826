"""Computes the table of ``docs/CAPACITY.md`` from measured slopes."""

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
SECONDS_PER_DAY = 86_400
ZONES = 12
ENDPOINT_CHANGES_PER_DAY = 2_478  # failures and restarts
SERVICES_PER_NODE = 6  # services in a node's scope
CALLS_PER_S_PER_NODE = 265
MS_PER_S = 1000

Figures = dict[str, float]


def fit_line(
    figures: Figures, kind: str, name: str, divisor: float = 1.0
) -> tuple[float, float]:
    """Returns intercept and slope of a figure over the measured sizes.

    :param kind: the size that varies, ``nodes`` or ``services``
    :param divisor: divides the sizes, e.g. to get nodes per control VM
    """
    prefix = f'{kind}_'
    sizes = sorted(
        {int(key.split('_')[1]) for key in figures if key.startswith(prefix)}
    )
    measured = [figures[f'{kind}_{size}_{name}'] for size in sizes]
    slope, intercept = np.polyfit(
        [size / divisor for size in sizes], measured, 1
    )
    return float(intercept), float(slope)


def table_rows(
    document: dict[str, Any],
) -> list[tuple[str, str, str, str, str]]:
    """Returns the rows of the table.

    The columns are role, what, worked out, budget and verdict.
    """
    slopes: Figures = document['slopes']['figures']
    other: Figures = document['other']
    nodes_per_vm = NODES / CONTROL_VMS
    versions_per_s = VERSIONS_PER_DAY / SECONDS_PER_DAY
    return [
        *_node_rows(slopes, other, versions_per_s),
        *_control_rows(slopes, other, nodes_per_vm, versions_per_s),
        *_claim_rows(other),
    ]


def _node_rows(
    slopes: Figures, other: Figures, versions_per_s: float
) -> list[tuple[str, str, str, str, str]]:
    idle = slopes['nodes_180_agent_idle_cpu']
    version_ms = slopes['nodes_180_agent_ms_per_version']
    control_percent = 100 * (idle + version_ms / MS_PER_S * versions_per_s)
    bytes_per_s = (
        slopes['nodes_180_idle_bytes_s']
        + slopes['nodes_180_bytes_per_version'] * versions_per_s
    )
    calls_percent = (
        100 * CALLS_PER_S_PER_NODE * other['one_hop_cpu_ms_per_call'] / MS_PER_S
    )
    return [
        (
            'node',
            'control, share of a core',
            f'{control_percent:.2f}%',
            '2.3%',
            verdict(control_percent, 2.3),
        ),
        (
            'node',
            'control, bytes a second',
            f'{bytes_per_s:.0f}',
            '4,096',
            verdict(bytes_per_s, 4096),
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
            f'{calls_percent:.1f}%',
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
    slopes: Figures, other: Figures, nodes_per_vm: float, versions_per_s: float
) -> list[tuple[str, str, str, str, str]]:
    measured_vms = 3
    base, per_node = fit_line(
        slopes, 'nodes', 'follower_idle_cpu', measured_vms
    )
    idle_percent = 100 * (base + per_node * nodes_per_vm)
    fixed_ms, node_ms = fit_line(
        slopes, 'nodes', 'follower_ms_per_version', measured_vms
    )
    _, service_ms = fit_line(slopes, 'services', 'follower_ms_per_version')
    version_ms = fixed_ms + node_ms * nodes_per_vm + service_ms * SERVICES
    _, leader_service_ms = fit_line(slopes, 'services', 'leader_ms_per_version')
    leader_base, _ = fit_line(slopes, 'services', 'leader_ms_per_version')
    leader_ms = (
        leader_base + leader_service_ms * SERVICES + node_ms * nodes_per_vm
    )
    rss_base, rss_per_service = fit_line(slopes, 'services', 'leader_rss_mb')
    rss_mb = rss_base + rss_per_service * SERVICES
    polls_per_s = nodes_per_vm / 2
    follower_percent = (
        idle_percent + 100 * version_ms / MS_PER_S * versions_per_s
    )
    leader_percent = idle_percent + 100 * leader_ms / MS_PER_S * versions_per_s
    changes_per_s = ENDPOINT_CHANGES_PER_DAY / SECONDS_PER_DAY
    return [
        (
            'control VM, zone replica',
            'nodes attached',
            f'{nodes_per_vm:.0f}',
            '29 VMs in all',
            'met',
        ),
        (
            'control VM, zone replica',
            'polls in and out a second',
            f'{polls_per_s:.0f}',
            'none stated',
            '—',
        ),
        (
            'control VM, zone replica',
            'idle polls, share of a core',
            f'{idle_percent:.0f}%',
            'one core',
            verdict(idle_percent, 100),
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
            f'{follower_percent:.0f}%',
            'one core',
            verdict(follower_percent, 100),
        ),
        (
            'control VM, zone replica',
            'resident memory',
            f'{rss_mb:.0f} MB',
            'none stated',
            '—',
        ),
        (
            'control VM, zone replica',
            'endpoint changes a second',
            f'{changes_per_s:.3f}',
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
            f'{leader_percent:.0f}%',
            'one core',
            verdict(leader_percent, 100),
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


def verdict(measured: float, bound: float) -> str:
    """Returns the verdict on a figure with an upper bound."""
    return 'met' if measured <= bound else 'not met'


def table(document: dict[str, Any]) -> str:
    """Returns the table as Markdown."""
    lines = [
        '| role | what | worked out | budget | verdict |',
        '|---|---|---|---|---|',
    ]
    lines.extend(f'| {" | ".join(row)} |' for row in table_rows(document))
    return '\n'.join(lines)


def render(page: str, document: dict[str, Any]) -> str:
    """Returns the page with a newly computed table."""
    head, rest = page.split(BEGIN)
    _, tail = rest.split(END)
    return f'{head}{BEGIN}\n\n{table(document)}\n\n{END}{tail}'


def main() -> int:
    """Rewrites the page and prints its table."""
    document = json.loads(SLOPES.read_text())
    PAGE.write_text(render(PAGE.read_text(), document))
    sys.stdout.write(f'{table(document)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
