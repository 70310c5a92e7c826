"""Builds a node with host routing and runs it until it is stopped."""

import asyncio
import logging
import random

from papayalock.clock import SystemClock
from papayalock.core.admission import Job, ServerGate
from papayalock.core.controlselector import ControlSelector
from papayalock.core.heartbeats import BackendMonitor
from papayalock.core.placement import Placement
from papayalock.dialect import NodeDialects
from papayalock.node.announcements import AnnouncementHandler
from papayalock.node.crashparts import CrashParts
from papayalock.node.finder import BackendFinder
from papayalock.node.hostagent import HostAgent
from papayalock.node.hostmetrics import HostMetrics, metrics_address
from papayalock.node.http import Call, Reply
from papayalock.node.inbound import InboundProxy
from papayalock.node.lag import LoopLag
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.node.outbound import OutboundProxy
from papayalock.node.pools import NodePools
from papayalock.node.runstats import RunStats
from papayalock.node.shutdown import Shutdown
from papayalock.node.slotqueue import SlotQueue
from papayalock.settings import Settings

log = logging.getLogger(__name__)

MS_PER_S = 1000
HEARTBEATS_PER_LEASE = 4
SWEEP_INTERVAL_S = 0.25
OK = 200
UNAVAILABLE = 503
INTERNAL_HEADER_BYTES = 65536


class HostNode:
    """Builds the parts of one node and connects them."""

    def __init__(self, settings: Settings, dialects: NodeDialects) -> None:
        """Builds the parts without starting any."""
        self.settings = settings
        hosts = settings.hosts
        clock = SystemClock()
        rng = random.Random()
        address = settings.advertise or settings.listen
        self._clock = clock
        pools = NodePools(settings)
        self.backend_monitor = BackendMonitor(
            HEARTBEATS_PER_LEASE * settings.membership.announce_ms,
            hosts.drain_ms,
        )
        self.placement = Placement(settings.zone, address, rng)
        self.control_selector = ControlSelector(
            settings.zone, settings.control.addresses, rng
        )
        self.agent = HostAgent(
            settings.name,
            settings.zone,
            address,
            self.control_selector,
            self.backend_monitor,
            self.placement,
            pools.control,
            clock,
            rng,
            poll_ms=settings.distribution.poll_ms,
            margin_ms=settings.distribution.margin_ms,
        )
        self.gate = ServerGate(hosts.link_mbps)
        self.lag = LoopLag(SWEEP_INTERVAL_S)
        self.crashes = CrashParts(
            self.placement, pools.hop, address, clock, rng
        )
        self.metrics = HostMetrics(
            self.agent, self.gate, self.lag, clock, self.crashes.reports
        )
        self.inbound = InboundProxy(
            self.backend_monitor,
            SlotQueue[Job](self.gate, clock),
            self.gate,
            pools.backend,
            dialects.calls,
            clock,
            hosts.alive_ms,
            self.lag,
            self.crashes.reports,
            RunStats(
                self.agent.exposure,
                self.backend_monitor,
                settings.zone,
                self.agent.incarnation,
            ),
        )
        self.agent.read_evidence = self.inbound.run_stats.report
        self.inbound.is_key_removed = self.agent.is_key_removed
        self.outbound = OutboundProxy(
            settings,
            self.agent,
            self.inbound,
            pools.hop,
            dialects.calls,
            clock,
            self.metrics,
            self.lag,
            self.gate.shutdown_times,
            rng,
            self.crashes.reports,
            started_at=clock.monotonic(),
        )
        self.announcement_handler = AnnouncementHandler(
            dialects.announcements,
            self.backend_monitor,
            self.agent,
            clock,
            hosts.backend,
            hosts.service,
        )
        caller_limits = ServerLimits(
            settings.relay.header_bytes,
            settings.relay.body_bytes,
            settings.relay.connections,
            hosts.pipelined,
        )
        internal_limits = ServerLimits(
            INTERNAL_HEADER_BYTES,
            settings.relay.body_bytes,
            settings.relay.connections,
        )
        bodies = pools.request_bodies
        self.caller_server = HttpServer(
            self.outbound.handle, caller_limits, bodies
        )
        self.hop_server = HttpServer(
            self.crashes.exchange_or(self.inbound.handle),
            internal_limits,
            bodies,
        )
        self.ready_server = HttpServer(
            self._handle_ready, internal_limits, bodies
        )
        self.announce_server = HttpServer(
            self.announcement_handler.handle, internal_limits, bodies
        )
        self.metrics_server = HttpServer(
            self.crashes.admin_or(self.metrics.handle), internal_limits, bodies
        )
        self._servers = (
            self.caller_server,
            self.hop_server,
            self.ready_server,
            self.announce_server,
            self.metrics_server,
        )
        self.shutdown = Shutdown(
            self.agent,
            self.outbound,
            self.caller_server,
            self.hop_server,
            self.gate.shutdown_times,
            clock,
        )
        self.finder = BackendFinder(
            self.agent,
            self.inbound.notices,
            dialects.calls,
            pools.backend,
            clock,
            hosts,
        )
        self.agent.polls.read_load = self._read_load
        if hosts.link_mbps:
            self._count_sent_bytes(pools)
        self.agent.on_changed.append(self._apply_changes)
        self.agent.on_leased_contact.append(self.outbound.checks.record_contact)
        self.inbound.notices.on_leaving.append(self.agent.backend_changed)

    @property
    def ready(self) -> bool:
        """Whether the node has routes and servers and is not stopping."""
        return (
            not self.agent.stopping
            and self.agent.configuration.version > 0
            and bool(self.placement.servers)
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops gracefully."""
        stop = self.shutdown.install_signals()
        listeners = await self._listen()
        tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self._sweep()),
            asyncio.create_task(self.finder.run()),
            asyncio.create_task(self.crashes.gossip.run()),
        ]
        if self.outbound.quotas.enabled:
            tasks.append(asyncio.create_task(self.outbound.quotas.run()))
        for task in tasks:
            task.add_done_callback(_log_task_failure)
        log.info('node started', extra={'listen': self.settings.listen})
        await stop.wait()
        grace_s = self.settings.hosts.grace_ms / MS_PER_S
        await self.shutdown.run(grace_s, listeners, tasks)

    async def _listen(self) -> list[asyncio.Server]:
        hosts = self.settings.hosts
        bindings = [
            (hosts.outbound, self.caller_server),
            (self.settings.listen, self.hop_server),
            (hosts.ready, self.ready_server),
            (hosts.announce, self.announce_server),
            (metrics_address(self.settings), self.metrics_server),
        ]
        loop = asyncio.get_running_loop()
        listeners = []
        for address, server in bindings:
            host, _, port = address.rpartition(':')
            if port:
                listeners.append(
                    await loop.create_server(server.make_conn, host, int(port))
                )
        return listeners

    async def _handle_ready(self, call: Call, reply: Reply) -> None:
        reply.send(OK if self.ready else UNAVAILABLE, [], b'')

    def apply_settings(self, settings: Settings) -> None:
        """Applies the settings that may change while the node runs."""
        self.control_selector.update_seeds(settings.control.addresses)
        self.announcement_handler.backend_address = settings.hosts.backend
        self.announcement_handler.service = settings.hosts.service
        self.outbound.try_runner.own_service = settings.hosts.service

    def _count_sent_bytes(self, pools: NodePools) -> None:
        """Charges the VM's link with all that is sent to other VMs."""
        self.hop_server.on_written = self._charge_link
        pools.hop.on_written = self._charge_link
        pools.control.on_written = self._charge_link

    def _charge_link(self, size: int) -> None:
        self.gate.link.budget.charge(size, self._clock.monotonic())

    def _read_load(self) -> dict[str, float]:
        """Returns what tells a full link, a slow VM and a lost peer apart."""
        return {
            'unsent_bytes': self.hop_server.unsent_bytes,
            'hop_conns': len(self.hop_server.conns),
            'loop_lag_ms': self.lag.max_lag_ms(self._clock.monotonic()),
        }

    def _apply_changes(self) -> None:
        """Applies a change of the configuration or of the backend server."""
        self.inbound.update_slots()
        published = self.agent.host_table.limits
        if published is not None:
            limits = self.caller_server.limits
            limits.header_bytes = published.header_bytes
            limits.body_bytes = published.body_bytes
            limits.header_s = published.header_timeout_ms / MS_PER_S
            limits.idle_s = published.idle_timeout_ms / MS_PER_S

    async def _sweep(self) -> None:
        """Closes timed-out connections periodically, until cancelled.

        Also measures the loop lag and applies an expired server lease.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.lag.record_run(self._clock.monotonic())
            for server in self._servers:
                server.close_expired(loop.time())
            self.inbound.update_slots()


def _log_task_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        log.critical('task ended', exc_info=task.exception())
