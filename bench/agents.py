"""Many node agents in one process, each with its own connection.

They stand in for nodes where only distribution is measured: the agent,
configuration, routing table and endpoint table are those of a node.
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
    """A pool that counts the bytes of whole calls, without TCP and IP headers."""

    def __init__(self) -> None:
        """Starts at zero."""
        super().__init__(500, 30_000, 2)
        self.sent = 0
        self.received = 0

    async def exchange(
        self,
        address: str,
        req: Request,
        timeout_ms: int,
        limit: int,
        *,
        total_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Makes one call and counts it."""
        self.sent += len(req.head()) + len(req.body)
        status, body = await super().exchange(
            address, req, timeout_ms, limit, total_ms=total_ms
        )
        self.received += len(body) + 120
        return status, body


class FullPushAgent(Agent):
    """The baseline: holds the whole configuration."""

    def subscribe_all(self, services: int) -> None:
        """Widens the scope to every service."""
        for number in range(services):
            self._subscriptions.subscribe(f'svc-{number}', 0.0)


class Fleet:
    """The agents of one process and what they report."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Builds the agents."""
        self._pool = CountingPool()
        self._rng = random.Random(args.seed)
        self._args = args
        self._agents = [
            self._agent(args.first + step) for step in range(args.count)
        ]

    def _agent(self, number: int) -> Agent:
        balancer = Balancer(
            self._args.zone,
            self._rng,
            ramp_ms=0,
            eject_ms=1000,
            eject_percent=50,
        )
        kind = FullPushAgent if self._args.full_push else Agent
        agent = kind(
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
        agent.on_changed.append(lambda: self._report(number, agent))
        if isinstance(agent, FullPushAgent):
            agent.subscribe_all(self._args.services)
        agent.handle_announcement(
            Announcement(
                server=f's-{number}', service=service, address='127.0.0.1:1'
            )
        )
        return agent

    def _report(self, number: int, agent: Agent) -> None:
        line = [number, agent.configuration.version, time.monotonic()]
        sys.stdout.write(f'{json.dumps(line)}\n')

    async def run(self) -> None:
        """Polls until SIGTERM, then reports the bytes."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        tasks = [asyncio.create_task(agent.run()) for agent in self._agents]
        churn = asyncio.create_task(self._churn())
        reporter = asyncio.create_task(self._report_bytes())
        await stop.wait()
        for task in (*tasks, churn, reporter):
            task.cancel()

    async def _report_bytes(self) -> None:
        while True:
            mark = {
                'at': time.monotonic(),
                'sent': self._pool.sent,
                'received': self._pool.received,
            }
            sys.stdout.write(f'{json.dumps(mark)}\n')
            sys.stdout.flush()
            await asyncio.sleep(0.1)

    async def _churn(self) -> None:
        """Changes the state of a random server now and then."""
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
