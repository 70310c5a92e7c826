"""Builds and runs a node with register routing."""

import asyncio
import contextlib
import logging
import random
import signal

from papayalock.clock import SystemClock
from papayalock.core.attempts import AttemptLog
from papayalock.core.disciplines import GuaranteedShare
from papayalock.core.gate import Gate
from papayalock.core.retry import RetryPolicy
from papayalock.core.routing import Balancer
from papayalock.node.admin import Admin
from papayalock.node.agent import Agent
from papayalock.node.atmostonce import AtMostOnceRunner
from papayalock.node.claims import ClaimClient
from papayalock.node.counters import Counters
from papayalock.node.dispatch import Dispatcher
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.node.relay import Relay
from papayalock.node.slotqueue import GateQueue
from papayalock.pool import Pool
from papayalock.settings import Settings

log = logging.getLogger(__name__)

MS_PER_S = 1000
ANNOUNCEMENTS_PER_LEASE = 4
POOLED_PER_ADDRESS = 64
DRAIN_REPORT_S = 0.3  # time for a poll to report the drain


class Node:
    """Builds the parts of one node and connects them."""

    def __init__(self, settings: Settings) -> None:
        """Builds the parts without starting any."""
        self.settings = settings
        clock = SystemClock()
        address = settings.advertise or settings.listen
        rng = random.Random()
        relay = settings.relay
        self.pool = Pool(relay.connect_ms, relay.idle_ms, POOLED_PER_ADDRESS)
        self.balancer = Balancer(
            settings.zone,
            rng,
            ramp_ms=relay.ramp_ms,
            eject_ms=relay.eject_ms,
            eject_percent=relay.eject_percent,
        )
        self.gate = Gate(
            GuaranteedShare(
                {
                    'normal': settings.gate.normal_percent,
                    'bulk': settings.gate.bulk_percent,
                },
                settings.gate.reserved_percent,
            ),
            settings.gate.queue,
        )
        self.queue = GateQueue(self.gate, clock)
        self.agent = Agent(
            settings.name,
            settings.zone,
            address,
            settings.control.addresses,
            self.balancer,
            self.pool,
            clock,
            rng,
            poll_ms=settings.distribution.poll_ms,
            extra_services=relay.extra_services,
            announce_lease_ms=ANNOUNCEMENTS_PER_LEASE
            * settings.membership.announce_ms,
        )
        attempts = AttemptLog(self.agent.incarnation, settings.gate.attempts)
        dispatcher = Dispatcher(
            self.agent,
            self.queue,
            self.balancer,
            attempts,
            self.pool,
            clock,
            progress_ms=relay.progress_ms,
            silence_ms=relay.silence_ms,
            answer_bytes=settings.claims.answer_bytes,
        )
        claims = ClaimClient(
            settings.control.addresses, self.pool, settings.claims.timeout_ms
        )
        at_most_once = AtMostOnceRunner(
            dispatcher,
            claims,
            self.balancer,
            clock,
            rng,
            tries=settings.retry.tries,
            own_address=address,
            incarnation=self.agent.incarnation,
        )
        counters = Counters()
        admin = Admin(
            self.agent, self.balancer, self.gate, attempts, counters, clock
        )
        policy = RetryPolicy(
            settings.retry.tries, settings.retry.backoff_ms, rng
        )
        self.relay = Relay(
            self.agent,
            self.balancer,
            self.gate,
            dispatcher,
            at_most_once,
            policy,
            admin,
            counters,
            clock,
            alive_ms=relay.alive_ms,
            budget_percent=settings.retry.budget_percent,
            budget_floor=settings.retry.budget_floor,
        )
        limits = ServerLimits(
            relay.header_bytes, relay.body_bytes, relay.connections
        )
        self.server = HttpServer(self.relay.handle, limits)
        self.agent.on_changed.append(self._update_gate)

    def _update_gate(self) -> None:
        """Applies the service's slots and the drain state to the gate."""
        announcement = self.agent.backend.serving
        service = announcement.service if announcement else ''
        self.queue.resize(self.agent.routes.parts.get(service))
        if self.agent.backend.draining:
            self.queue.drain()
        else:
            self.gate.draining = False

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then stops gracefully."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        host, _, port = self.settings.listen.rpartition(':')
        listener = await loop.create_server(
            self.server.make_conn, host, int(port)
        )
        agent = asyncio.create_task(self.agent.run())
        log.info('node started', extra={'listen': self.settings.listen})
        await stop.wait()
        await self._stop(listener, agent)
        self.pool.close()

    async def _stop(
        self, listener: asyncio.Server, agent: 'asyncio.Task[None]'
    ) -> None:
        """Reports the drain, stops listening and waits for running calls."""
        self.agent.set_draining(draining=True)
        await asyncio.sleep(DRAIN_REPORT_S)
        listener.close()
        agent.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await agent
        clean = await self.server.stop(self.settings.relay.stop_ms / MS_PER_S)
        await self.relay.idle()
        await self.agent.report_departure()
        log.info('node stopped', extra={'clean': clean})


async def run_node(settings: Settings) -> None:
    """Runs a node until it is stopped."""
    await Node(settings).run()
