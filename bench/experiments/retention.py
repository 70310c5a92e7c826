"""Memory of a control VM against the number of changes of all routes.

One replica with its files, without a network: 1,000 split routes, all changed
by each publication, and a delta of all of them for nodes. The peak is that
since the figure before. Then a process starts on the files.
"""

import asyncio
import multiprocessing
import os
import random
import sys
import tempfile
from pathlib import Path

from bench.routesets import SERVICES, split_routes
from papayalock.clock import SystemClock
from papayalock.config import make_settings
from papayalock.control import heap
from papayalock.control.disk import FileDisk
from papayalock.control.group import CONFIG_GROUP, RaftGroup
from papayalock.control.groupfactory import make_group
from papayalock.control.identity import Identity
from papayalock.core.distribute import DeltaSource, HeldConfig
from papayalock.core.ledger import Ledger
from papayalock.core.retention import RetentionBudget
from papayalock.messages import Member, PeerMessage
from papayalock.ports import Random
from papayalock.result import Code

ROUTES = 1000
CHANGES = (100, 1000, 2000, 5000, 10_000)
HISTORY = 200
AUDIT_RECORDS = 100_000
BYTES_PER_MB = 1_048_576
POLL_S = 0.01
MEMBERS = [Member(member='a', zone='z', address='a', voter=True)]


class NoNetwork:
    """The network of a group with one member."""

    def send(self, message: PeerMessage) -> None:
        """Drops a message."""


def run(seed: int) -> dict[str, float]:
    """Measures the memory after each number of changes, and at a start."""
    heap.configure()
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(_change_often(Path(folder), random.Random(seed)))
        figures['files_mb'] = sum(
            path.stat().st_size / BYTES_PER_MB
            for path in Path(folder).iterdir()
        )
        with multiprocessing.get_context('spawn').Pool(1) as pool:
            figures['start_mb'] = pool.apply(_start_again, (folder,))
    return figures


def _resident_mb() -> float:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB


def _make_replica(folder: Path, rng: Random) -> RaftGroup:
    budget = RetentionBudget()
    ledger = Ledger(history=HISTORY, audit_records=AUDIT_RECORDS, budget=budget)
    settings = make_settings(
        {'role': 'control', 'name': 'a', 'data': str(folder)}
        | {'control': {'join': True}}
    )
    return make_group(
        CONFIG_GROUP,
        Identity('a', MEMBERS),
        ledger,
        settings.group,
        FileDisk(folder),
        NoNetwork(),
        SystemClock(),
        rng,
        budget.log,
    )


async def _change_often(folder: Path, rng: Random) -> dict[str, float]:
    group = _make_replica(folder, rng)
    task = asyncio.create_task(group.run())
    while not group.replica.is_leader:
        await asyncio.sleep(POLL_S)
    ledger = group.machine
    assert isinstance(ledger, Ledger)
    source = DeltaSource(ledger, RetentionBudget())
    figures: dict[str, float] = {'idle_mb': _resident_mb()}
    peak_mb = 0.0
    for label in range(1, CHANGES[-1] + 1):
        await _publish(group, ledger, label)
        _encode_delta(source, ledger)
        peak_mb = max(peak_mb, _resident_mb())
        if label in CHANGES:
            figures[f'peak_mb_{label}'] = peak_mb
            figures[f'versions_{label}'] = len(ledger.history)
            sys.stdout.write(f'up to {label}: {peak_mb:.0f} MB at most\n')
            sys.stdout.flush()
            peak_mb = 0.0
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return figures


async def _publish(group: RaftGroup, ledger: Ledger, label: int) -> None:
    command = ledger.route_sets.publish_command(split_routes(label, ROUTES))
    result = await group.propose(command)
    if result.code != Code.DONE:
        raise RuntimeError(result.message)


def _encode_delta(source: DeltaSource, ledger: Ledger) -> None:
    newest = ledger.history.newest
    if newest is not None:
        held = HeldConfig(SERVICES[0], (), 0, '', '', ())
        source.encoded_delta(held, newest)


def _start_again(folder: str) -> float:
    """Returns the memory of a process that has started on the files."""
    return asyncio.run(_replay(Path(folder)))


async def _replay(folder: Path) -> float:
    heap.configure()
    group = _make_replica(folder, random.Random(1))
    peak_mb = _resident_mb()
    task = asyncio.create_task(group.run())
    while not group.replica.leads_current_log:
        peak_mb = max(peak_mb, _resident_mb())
        await asyncio.sleep(POLL_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return max(peak_mb, _resident_mb())
