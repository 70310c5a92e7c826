"""As many disks are lost at once as the deployment says are to be borne."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standins-2'))

from lab import TROUBLE, CannotRun, play, route

ZONES = ('gulberg', 'model-town', 'johar-town', 'dha', 'shadman', 'iqbal-town')
TOLERATED = 2  # of 12 core machines, as in the large installation
DOWN_S = 0.83
RECOVERY_S = 15.0
READ_S = 6.0  # more than connectivity_window
ROUTES = [route('r-view', '/view/', 'safe', 'desk')]


async def story(lab):
    more = [*ROUTES, route('r-more', '/more/', 'safe', 'desk')]
    if not await lab.configure(2, 1, more):
        raise CannotRun('version 2 was not acknowledged')
    lost = lab.core[:TOLERATED]
    if TROUBLE:
        for machine in lost:
            machine.kill()
            machine.lose_disk()
        await asyncio.sleep(DOWN_S)
        for machine in lost:
            machine.start()
    await asyncio.sleep(RECOVERY_S)
    faults = []
    read = set()
    until = time.monotonic() + READ_S
    while time.monotonic() < until:
        for machine in lab.core:
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
    if not await lab.configure(3, 2, ROUTES, seconds=8):
        lab.record('version 3 has no ack either')
    return faults


play(
    Path(__file__).resolve().parent,
    [('gulberg', 'desk'), ('dha', 'desk')],
    ROUTES,
    story,
    core_zones=ZONES * 2,
    tolerance=TOLERATED,
)
