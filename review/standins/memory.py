"""The platform's limit on the memory of a process."""

import asyncio
import os
import signal
from pathlib import Path

CHECK_S = 0.005


def memory_mb(machine):
    """Returns the resident memory of a machine's process."""
    path = Path(f'/proc/{machine.popen.pid}/statm')
    pages = int(path.read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


class MemoryLimit:
    """Kills a process that uses more than ``memory_mb`` of its machine."""

    def __init__(self, deployment, machines, limit_mb, restart_s=None):
        """Starts without a measurement.

        :param restart_s: time until a killed process starts again; None if
            the case ends before
        """
        self.most = {machine.name: 0.0 for machine in machines}
        self.killed = []
        self._deployment = deployment
        self._machines = machines
        self._limit_mb = limit_mb
        self._restart_s = restart_s
        self._tasks = set()

    async def run(self):
        """Checks all machines until cancelled."""
        while True:
            for machine in self._machines:
                if machine.popen.poll() is None:
                    self._check(machine)
            await asyncio.sleep(CHECK_S)

    def _check(self, machine):
        used = memory_mb(machine)
        self.most[machine.name] = max(self.most[machine.name], used)
        if used <= self._limit_mb:
            return
        self._deployment.record.write(
            'platform',
            f'{machine.name} uses {used:.0f} MB of {self._limit_mb}',
        )
        self._deployment.signal(machine, signal.SIGKILL)
        machine.popen.wait()
        self.killed.append(machine.name)
        if self._restart_s is not None:
            task = asyncio.ensure_future(self._restart(machine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _restart(self, machine):
        await asyncio.sleep(self._restart_s)
        self._deployment.start(machine)
