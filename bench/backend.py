"""A stand-in backend server with slots, draining and load shedding.

It counts how often each idempotency key ran, so that an experiment can prove
that none ran twice.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
from dataclasses import dataclass, field

import uvloop

from papayalock.httpclient import Headers, TransportError
from papayalock.node.http import Call, Reply
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.pool import Pool, json_request

MS_PER_S = 1000
LIMITS = ServerLimits(65536, 1 << 20, 4096)
JSON_HEADERS: Headers = [(b'content-type', b'application/json')]
SHED_HEADERS: Headers = [
    *JSON_HEADERS,
    (b'retry-after', b'1'),
    (b'papayalock-outcome', b'103 SHED'),
]


@dataclass(slots=True)
class Behaviour:
    """How the stand-in responds; it can be changed while the server runs.

    Times are means in milliseconds, varied by the fraction ``spread`` either way.
    """

    service_ms: float = 1.0
    spread: float = 0.2
    slots: int = 9
    fail_percent: int = 0
    shed: bool = True
    history_bytes: int = 200_000
    history_ms: float = 40.0
    cold_ms: float = 0.0


@dataclass(slots=True)
class Tally:
    """Counts of the calls that the stand-in served, shed or saw cancelled."""

    served: int = 0
    shed: int = 0
    cancelled: int = 0
    runs: dict[str, int] = field(default_factory=dict)


class Backend:
    """A backend server that handles calls and announces itself to its node."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        node: str,
        behaviour: Behaviour,
        seed: int,
    ) -> None:
        """Creates the server; :meth:`run` opens its listener."""
        self.name = name
        self.service = service
        self.address = address
        self.node = node
        self.behaviour = behaviour
        self.tally = Tally()
        self.running = 0
        self.draining = False
        self._rng = random.Random(seed)
        self._pool = Pool(500, 30_000, 4)
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._control_handlers = {
            '/tally': self._handle_tally,
            '/drain': self._handle_drain,
            '/behaviour': self._handle_behaviour,
        }
        self.server = HttpServer(self.handle, LIMITS)

    async def handle(self, call: Call, reply: Reply) -> None:
        """Responds to one call, or to a control request of the bench."""
        path = call.target.split(b'?')[0].decode()
        control_handler = self._control_handlers.get(path)
        if control_handler is not None:
            await control_handler(call)
            reply.send(200, JSON_HEADERS, self._tally_json())
        elif self.behaviour.shed and self._slots.locked():
            self.tally.shed += 1
            reply.send(503, SHED_HEADERS, b'{}')
        else:
            await self._run(call, reply, path)

    def _tally_json(self) -> bytes:
        tally = self.tally
        state = {
            'served': tally.served,
            'shed': tally.shed,
            'cancelled': tally.cancelled,
            'runs': tally.runs,
            'running': self.running,
        }
        return json.dumps(state).encode()

    async def _handle_tally(self, call: Call) -> None:
        """Does nothing: every control response carries the tally."""

    async def _handle_drain(self, call: Call) -> None:
        self.draining = True
        await self.announce()

    async def _handle_behaviour(self, call: Call) -> None:
        for key, setting in json.loads(call.body).items():
            setattr(self.behaviour, key, setting)

    async def _run(self, call: Call, reply: Reply, path: str) -> None:
        self.running += 1
        try:
            async with self._slots:
                await self._respond(call, reply, path)
        except asyncio.CancelledError:
            self.tally.cancelled += 1
            raise
        finally:
            self.running -= 1

    async def _respond(self, call: Call, reply: Reply, path: str) -> None:
        behaviour = self.behaviour
        key = call.header(b'idempotency-key').decode()
        if key:
            self.tally.runs[key] = self.tally.runs.get(key, 0) + 1
        history = path.endswith('/history')
        mean_ms = behaviour.history_ms if history else behaviour.service_ms
        if mean_ms:
            await asyncio.sleep(
                mean_ms
                * self._rng.uniform(1 - behaviour.spread, 1 + behaviour.spread)
                / MS_PER_S
            )
        self.tally.served += 1
        if self._rng.randrange(100) < behaviour.fail_percent:
            reply.send(500, JSON_HEADERS, b'{"error":"stand-in fault"}')
        elif history:
            await self._stream_history(reply)
        else:
            body = {
                'server': self.name,
                'path': path,
                'echo': call.header(b'x-echo').decode(),
                'key': key,
            }
            reply.send(200, JSON_HEADERS, json.dumps(body).encode())

    async def _stream_history(self, reply: Reply) -> None:
        reply.start(200, [(b'content-type', b'text/plain')], None)
        remaining = self.behaviour.history_bytes
        while remaining > 0:
            size = min(remaining, 16384)
            await reply.send_piece(b'h' * size)
            remaining -= size
        reply.finish()

    async def announce(self) -> None:
        """Sends one announcement to the node, ignoring a failure to reach it."""
        body = json.dumps(
            {
                'server': self.name,
                'service': self.service,
                'address': self.address,
                'draining': self.draining,
            }
        ).encode()
        req = json_request(b'POST', '/papayalock/announce', self.node, body)
        with contextlib.suppress(TransportError):
            await self._pool.exchange(self.node, req, 500, 65536)

    async def run(self, announce_ms: int) -> None:
        """Serves calls and announces the server until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        host, _, port = self.address.rpartition(':')
        await loop.create_server(self.server.make_conn, host, int(port))
        while not stop.is_set():
            await self.announce()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(announce_ms / MS_PER_S):
                    await stop.wait()


def main() -> None:
    """Runs one stand-in backend server."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--node', required=True)
    parser.add_argument(
        '--behaviour', default='{}', help='JSON of the fields of Behaviour'
    )
    parser.add_argument('--announce-ms', type=int, default=500)
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    behaviour = Behaviour(**json.loads(args.behaviour))
    backend = Backend(
        args.name, args.service, args.listen, args.node, behaviour, args.seed
    )
    uvloop.install()
    asyncio.run(backend.run(args.announce_ms))


if __name__ == '__main__':
    main()
