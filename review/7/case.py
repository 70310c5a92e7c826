"""A core machine is replaced as planned, then another one loses its disk."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins-2'))

from lab import TROUBLE, CannotRun, play, route

CATCH_UP_S = 4.0
MARGIN_S = 2.0  # more than catch_up, between the successor's start and SIGTERM
AFTER_S = 0.5  # from the end of the removed machine to the loss of the disk
DOWN_S = 0.8
RECOVERY_S = 15.0
READ_S = 5.0  # more than connectivity_window
ROUTES = [route('r-view', '/view/', 'safe', 'floor')]


async def ends(machine):
    return machine.popen.poll() is not None


async def story(lab):
    removed, other = lab.core[0], lab.core[1]
    successor = lab.add_core(removed.zone)
    successor.start()
    more = [*ROUTES, route('r-more', '/more/', 'safe', 'floor')]
    if not await lab.configure(2, 1, more):
        raise CannotRun('version 2 was not acknowledged')
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    found = await lab.read_config(successor)
    if not isinstance(found, dict) or found['version'] != 2:
        raise CannotRun(f'the successor has not caught up: {found}')
    lab.record(f'operator: reads version 2 at {successor.name}, the successor')
    removed.send(signal.SIGTERM)
    await lab.wait_until(
        lambda: ends(removed), 6, f'{removed.name} has ended, for good'
    )
    if TROUBLE:
        await asyncio.sleep(AFTER_S)
        other.kill()
        other.lose_disk()
        await asyncio.sleep(DOWN_S)
        other.start()
    await asyncio.sleep(RECOVERY_S)
    faults = []
    read = set()
    until = time.monotonic() + READ_S
    while time.monotonic() < until:
        for machine in lab.core[1:]:
            found = await lab.read_config(machine)
            if isinstance(found, dict):
                found = found['version']
                read.add(found)
            lab.record(f'operator: reads at {machine.name}: {found}')
        await asyncio.sleep(0.5)
    if not read:
        faults.append('LOST: version 2 was acknowledged and does not come')
    elif max(read) < 2:
        faults.append(f'CONFIG: read back is version {max(read)}, not 2')
    if not await lab.configure(3, 2, ROUTES, seconds=6):
        lab.record('version 3 has no ack either')
    return faults


play(
    Path(__file__).resolve().parent,
    [('ikeja', 'floor'), ('lekki', 'floor')],
    ROUTES,
    story,
)
