"""Simulated servers that crash and return, and their nodes' view of them."""

import simpy

from bench.loadmodel.scenario import ServerCrash
from bench.loadmodel.servers import SimProcess, SimulatedServer
from papayalock.core.heartbeats import BackendMonitor
from papayalock.messages import Announcement

HEARTBEAT_S = 1.5
LEASE_MS = 6000
DRAIN_MS = 2000


class CrashingServer:
    """The process behind a simulated server, and the monitor of its node."""

    def __init__(
        self,
        env: simpy.Environment,
        server: SimulatedServer,
        crash: ServerCrash,
        until: float,
    ) -> None:
        """Starts with a server that has been up for a while.

        :param until: seconds at which its heartbeats end
        """
        self._until = until
        self._env = env
        self._server = server
        self._crash = crash
        self._slots = server.gate.slots
        self._starts = 0
        self._sequence = int(crash.up_s / HEARTBEAT_S)
        self._up = True
        self._monitor = BackendMonitor(LEASE_MS, DRAIN_MS)

    def run(self) -> SimProcess:
        """Crashes the server, and starts it again after a time."""
        self._env.process(self._send_heartbeats())
        yield self._env.timeout(self._crash.at)
        self._up = False
        self._server.crash()
        yield self._env.timeout(self._crash.for_s)
        self._starts += 1
        self._sequence = 0
        self._up = True
        self._send_heartbeat()

    def _send_heartbeats(self) -> SimProcess:
        while self._env.now < self._until:
            if self._up:
                self._send_heartbeat()
            yield self._env.timeout(HEARTBEAT_S)

    def _send_heartbeat(self) -> None:
        """Has the node use the server, if it takes the heartbeat for new."""
        self._sequence += 1
        name = f'{self._server.name}-{self._starts}'
        heartbeat = Announcement(
            server=name,
            service=self._server.service,
            address='127.0.0.1:1',
            slots=self._slots,
            sequence=self._sequence,
        )
        self._monitor.record_heartbeat(heartbeat, self._env.now)
        serving = self._monitor.serving(self._env.now)
        is_known = serving is not None and serving.server == name
        self._server.gate.slots = self._slots if is_known else 0
