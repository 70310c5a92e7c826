"""Wires and runs a node that routes by host and path."""

import asyncio
import logging
import random
from pathlib import Path

from papayalock.clock import SystemClock
from papayalock.core.admission import Job, ServerGate
from papayalock.core.controlchoice import ControlChoice
from papayalock.core.heartbeats import BackendWatch
from papayalock.core.placing import Placement
from papayalock.dialect import NodeDialects
from papayalock.node.announcer import Announcer
from papayalock.node.finder import BackendFinder
from papayalock.node.gate import JobQueue
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics, metrics_address
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import Inbound
from papayalock.node.lag import LoopLag
from papayalock.node.listener import Server, ServerLimits
from papayalock.node.outbound import Outbound
from papayalock.node.shutdown import Shutdown, stop_signal
from papayalock.pool import Pool
from papayalock.reload import SettingsWatcher
from papayalock.settings import Settings

log = logging.getLogger(__name__)

MS = 1000  # milliseconds in a second
HEARTBEATS_PER_LEASE = 4
POOLED_PER_ADDRESS = 64
SWEEP_S = 0.25
OK = 200
UNAVAILABLE = 503
HEAD_BYTES = 65536


class HostNode:
    """The parts of one node, wired together."""

    def __init__(self, settings: Settings, dialects: NodeDialects) -> None:
        """Builds the parts; nothing runs yet."""
        self.settings = settings
        hosts = settings.hosts
        clock = SystemClock()
        rng = random.Random()
        address = settings.advertise or settings.listen
        self._clock = clock
        self.hops = Pool(
            hosts.connect_ms, settings.relay.idle_ms, POOLED_PER_ADDRESS
        )
        self.backend_pool = Pool(
            hosts.connect_ms, settings.relay.idle_ms, POOLED_PER_ADDRESS
        )
        self.watch = BackendWatch(
            HEARTBEATS_PER_LEASE * settings.membership.announce_ms,
            hosts.drain_ms,
        )
        self.placement = Placement(settings.zone, address, rng)
        self.choice = ControlChoice(
            settings.zone, settings.control.addresses, rng
        )
        self.agent = HostAgent(
            settings.name,
            settings.zone,
            address,
            self.choice,
            self.watch,
            self.placement,
            Pool(hosts.connect_ms, settings.relay.idle_ms, 2),
            clock,
            rng,
            poll_ms=settings.distribution.poll_ms,
            margin_ms=settings.distribution.margin_ms,
        )
        gate = ServerGate()
        self.lag = LoopLag(SWEEP_S)
        self.metrics = HostMetrics(self.agent, gate, self.lag, clock)
        self.inbound = Inbound(
            self.watch,
            JobQueue[Job](gate, clock),
            gate,
            self.backend_pool,
            dialects.calls,
            clock,
            hosts.alive_ms,
            self.lag,
        )
        self.outbound = Outbound(
            settings,
            self.agent,
            self.inbound,
            self.hops,
            dialects.calls,
            clock,
            self.metrics,
            self.lag,
            gate.closing,
        )
        self.announcer = Announcer(
            dialects.announcements,
            self.watch,
            self.agent,
            clock,
            hosts.backend,
            hosts.service,
        )
        limits = ServerLimits(
            settings.relay.header_bytes,
            settings.relay.body_bytes,
            settings.relay.connections,
            hosts.pipelined,
        )
        inner = ServerLimits(
            HEAD_BYTES, settings.relay.body_bytes, settings.relay.connections
        )
        self.callers = Server(self.outbound.handle, limits)
        self.hop_server = Server(self.inbound.handle, inner)
        self.ready_server = Server(self._ready, inner)
        self.announce_server = Server(self.announcer.handle, inner)
        self.metrics_server = Server(self.metrics.handle, inner)
        self.shutdown = Shutdown(
            self.agent,
            self.outbound,
            self.callers,
            self.hop_server,
            gate.closing,
            clock,
        )
        self.finder = BackendFinder(
            self.agent, dialects.calls, self.backend_pool, clock, hosts
        )
        self.agent.on_changed.append(self._refit)

    @property
    def ready(self) -> bool:
        """Whether the node can serve callers."""
        return (
            not self.agent.stopping
            and self.agent.configuration.version > 0
            and bool(self.placement.peers)
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops gracefully."""
        stop = stop_signal()
        listeners = await self._listen()
        tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self.finder.run()),
        ]
        for task in tasks:
            task.add_done_callback(_report_end)
        log.info('node started', extra={'listen': self.settings.listen})
        await stop.wait()
        grace_s = self.settings.hosts.grace_ms / MS
        await self.shutdown.run(grace_s, listeners, tasks)

    async def _listen(self) -> list[asyncio.Server]:
        hosts = self.settings.hosts
        pairs = [
            (hosts.outbound, self.callers),
            (self.settings.listen, self.hop_server),
            (hosts.ready, self.ready_server),
            (hosts.announce, self.announce_server),
            (metrics_address(self.settings), self.metrics_server),
        ]
        loop = asyncio.get_running_loop()
        listeners = []
        for address, server in pairs:
            host, _, port = address.rpartition(':')
            if port:
                listeners.append(
                    await loop.create_server(server.make_conn, host, int(port))
                )
        return listeners

    async def _ready(self, call: Call, reply: Reply) -> None:
        reply.whole(OK if self.ready else UNAVAILABLE, [], b'')

    def retune(self, settings: Settings) -> None:
        """Takes over changed settings that may change while running."""
        self.choice.reseed(settings.control.addresses)
        self.announcer.backend = settings.hosts.backend
        self.announcer.service = settings.hosts.service
        self.outbound.tries.own_service = settings.hosts.service

    def _refit(self) -> None:
        """Follows a change of the configuration or of the server."""
        self.inbound.refit()
        bounds = self.agent.hosts.limits
        if bounds is not None:
            limits = self.callers.limits
            limits.header_bytes = bounds.header_bytes
            limits.body_bytes = bounds.body_bytes
            limits.header_s = bounds.header_timeout_ms / MS
            limits.idle_s = bounds.idle_timeout_ms / MS

    async def _sweep(self) -> None:
        """Ends what has lasted too long, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            self.lag.note(self._clock.monotonic())
            self.callers.sweep(loop.time())
            self.inbound.refit()


def _report_end(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        log.critical('task ended', exc_info=task.exception())


async def run_host_node(
    settings: Settings, dialects: NodeDialects, path: Path
) -> None:
    """Runs a node until it is stopped.

    :param path: the settings file, which is read again when it changes
    """
    node = HostNode(settings, dialects)
    watch = SettingsWatcher(path, settings, node.retune)
    await watch.run_alongside(node.run())
