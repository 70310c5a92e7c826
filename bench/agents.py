"""Runs many node agents in one process, each with its own connection.

They stand in for nodes in experiments that measure only distribution. The
agent, configuration, routing table and endpoint table are those of a node.
"""

import argparse
import asyncio
import json
import random
import signal
import sys
import time

import uvloop

from papayalock.clock import SystemClock
from papayalock.core.routing import Balancer
from papayalock.httpclient import Request
from papayalock.messages import Announcement
from papayalock.node.agent import Agent
from papayalock.pool import Pool

ANNOUNCE_LEASE_MS = 10_000_000


class CountingPool(Pool):
    """A pool that counts the bytes of HTTP exchanges, without TCP/IP headers."""

    def __init__(self) -> None:
        """Starts both counters at zero."""
        super().__init__(500, 30_000, 2)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def exchange(
        self,
        address: str,
        req: Request,
        timeout_ms: int,
        limit: int,
        *,
        total_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Sends one request and counts the bytes of it and of its response.

        A response's status line and headers are counted as 120 bytes.
        """
        self.sent_bytes += len(req.head()) + len(req.body)
        status, body = await super().exchange(
            address, req, timeout_ms, limit, total_ms=total_ms
        )
        self.received_bytes += len(body) + 120
        return status, body


class FullPushAgent(Agent):
    """An agent that subscribes to every service, as the full-push baseline."""

    def subscribe_all(self, services: int) -> None:
        """Subscribes to every service of the generated register."""
        for number in range(services):
            self._subscriptions.subscribe(f'svc-{number}', 0.0)


class Fleet:
    """The agents of one process, which report to standard output.

    Each applied version is a line ``[number, version, monotonic seconds]``, and
    every 0.1 s an object holds the bytes exchanged so far.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        """Creates the agents; none runs yet."""
        self._pool = CountingPool()
        self._rng = random.Random(args.seed)
        self._args = args
        self._agents = [
            self._make_agent(args.first + offset)
            for offset in range(args.count)
        ]

    def _make_agent(self, number: int) -> Agent:
        balancer = Balancer(
            self._args.zone,
            self._rng,
            ramp_ms=0,
            eject_ms=1000,
            eject_percent=50,
        )
        agent_class = FullPushAgent if self._args.full_push else Agent
        agent = agent_class(
            f'node-{number}',
            self._args.zone,
            f'127.0.0.1:{1 + number % 60000}',
            self._args.control.split(','),
            balancer,
            self._pool,
            SystemClock(),
            self._rng,
            poll_ms=self._args.poll_ms,
            extra_services=256,
            announce_lease_ms=ANNOUNCE_LEASE_MS,
        )
        service = f'svc-{number % self._args.services}'
        agent.on_changed.append(lambda: self._report_version(number, agent))
        if isinstance(agent, FullPushAgent):
            agent.subscribe_all(self._args.services)
        agent.handle_announcement(
            Announcement(
                server=f's-{number}', service=service, address='127.0.0.1:1'
            )
        )
        return agent

    def _report_version(self, number: int, agent: Agent) -> None:
        line = [number, agent.configuration.version, time.monotonic()]
        sys.stdout.write(f'{json.dumps(line)}\n')

    async def run(self) -> None:
        """Runs the agents and reports bytes until SIGTERM."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        tasks = [asyncio.create_task(agent.run()) for agent in self._agents]
        churn = asyncio.create_task(self._churn_servers())
        reporter = asyncio.create_task(self._report_bytes())
        await stop.wait()
        for task in (*tasks, churn, reporter):
            task.cancel()

    async def _report_bytes(self) -> None:
        while True:
            counts = {
                'at': time.monotonic(),
                'sent': self._pool.sent_bytes,
                'received': self._pool.received_bytes,
            }
            sys.stdout.write(f'{json.dumps(counts)}\n')
            sys.stdout.flush()
            await asyncio.sleep(0.1)

    async def _churn_servers(self) -> None:
        """Toggles the draining state of a random server every ``churn_ms``."""
        while self._args.churn_ms:
            await asyncio.sleep(self._args.churn_ms / 1000)
            agent = self._rng.choice(self._agents)
            agent.set_draining(draining=not agent.backend.draining)


def main() -> None:
    """Runs a fleet of agents."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--first', type=int, required=True)
    parser.add_argument('--count', type=int, required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument('--services', type=int, required=True)
    parser.add_argument('--poll-ms', type=int, default=2000)
    parser.add_argument('--churn-ms', type=int, default=0)
    parser.add_argument('--full-push', action='store_true')
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    uvloop.install()
    asyncio.run(Fleet(args).run())


if __name__ == '__main__':
    main()
