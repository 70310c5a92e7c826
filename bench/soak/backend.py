"""A stand-in backend server that records the start and end of each run.

SIGUSR1 makes it drain: its responses say that it leaves, and half of the time
it also announces that it drains and records when the node has acknowledged
this; it still runs the calls that arrive. From time to time it states a limit.
For some periods all servers of a service refuse most of their calls.
With ``--renamed`` it has a new name at each start and tells no start time.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import time
from pathlib import Path

import httpx
import msgspec
import uvloop

from bench.soak.history import INNER_CALL_SUFFIX
from bench.soak.rollouts import OLD_VERSION
from papayalock.messages import Announcement
from papayalock.native import (
    CALL_HEADER,
    CUSTOMER_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    REMAINING_HEADER,
    SERVER_HEADER,
)
from papayalock.node.http import OUTCOME_HEADER, Call, Reply
from papayalock.node.listener import HttpServer, ServerLimits
from papayalock.result import Code

ANNOUNCE_S = 0.5
MEAN_WORK_S = {'look': 0.02, 'pay': 0.03, 'history': 0.06}
DEFAULT_WORK_S = 0.005
INNER_CALL_SHARE = 0.5
ANNOUNCED_SHARE = 0.5
# Two pipelined calls: the server keeps reading while it runs a call, so it
# notices a lost connection and cancels the run.
MEAN_UNLIMITED_S = 20.0
LIMITED_S = (8.0, 12.0)
LIMIT_PER_S = (0.5, 6.0)
REFUSAL_PERIOD_S = 6.0
REFUSING_SHARE = 0.25  # of the periods
REFUSED_SHARE = 0.6  # of the calls in such a period
LIMITS = ServerLimits(65536, 1 << 20, 4096, pipelined=2)
OK = 200
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
UNAVAILABLE = 503
SHED = (OUTCOME_HEADER, b'%d %s' % (Code.SHED, Code.SHED.name.encode()))


class Backend:
    """Runs calls, announces itself and records its runs and its draining."""

    def __init__(self, args: argparse.Namespace) -> None:
        """Starts a new incarnation of the server and opens its records."""
        self._args = args
        self._started_ms = int(time.time() * 1000)
        self._incarnation = f'{args.name}@{self._started_ms}'
        renamed = bool(args.renamed)
        self._name = f'{args.name}-{self._started_ms}' if renamed else args.name
        self._born_ms = 0 if renamed else self._started_ms
        self._runs = 0
        self._sequence = 0
        self._draining = False
        self._limit: float | None = None
        self._rng = random.Random(args.seed + self._started_ms)
        self._notice_rng = random.Random(f'notices {self._started_ms}')
        self._announces_drain = self._notice_rng.random() < ANNOUNCED_SHARE
        self._records = os.open(
            args.book, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )
        self._http = httpx.AsyncClient(
            timeout=2.0, trust_env=False, verify=False
        )

    def append_record(self, **entry: object) -> None:
        """Appends one JSON line, unbuffered, so a kill loses no record."""
        entry['at'] = time.monotonic()
        os.write(self._records, f'{json.dumps(entry)}\n'.encode())

    async def handle(self, call: Call, reply: Reply) -> None:
        """Responds to a health check or runs a call."""
        path = call.target.decode()
        if path == '/health':
            status = UNAVAILABLE if self._draining else OK
            name = self._name.encode()
            headers = [(SERVER_HEADER, name), *self._notice_headers()]
            reply.send(status, headers, b'')
            return
        name = call.header(CALL_HEADER)
        if self._refuses():
            self.append_record(
                refused=name.decode(), service=self._args.service
            )
            headers = [(CALL_HEADER, name), SHED, *self._notice_headers()]
            reply.send(UNAVAILABLE, headers, b'')
            return
        number = self._record_start(call, path)
        completed = False
        try:
            status = await self._work(call, path.split('/')[1])
            completed = True
        finally:
            self.append_record(
                ended=number, server=self._incarnation, whole=completed
            )
        body = json.dumps({'echo': f'{name.decode()} {path}'}).encode()
        headers = [(CALL_HEADER, name), *self._notice_headers()]
        reply.send(status, headers, body)

    def _refuses(self) -> bool:
        """Whether to refuse a call; all servers share the periods."""
        period = int(time.monotonic() / REFUSAL_PERIOD_S)
        draw = random.Random(f'{self._args.service} {period}').random()
        refusing = draw < REFUSING_SHARE
        return refusing and self._rng.random() < REFUSED_SHARE

    def _notice_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(LEAVING_HEADER, b'1')] if self._draining else []
        if self._limit is not None:
            headers.append((LIMIT_HEADER, b'%.2f' % self._limit))
        return headers

    async def vary_limit(self) -> None:
        """States a limit from time to time until the process ends."""
        rng = self._notice_rng
        while True:
            await asyncio.sleep(rng.expovariate(1 / MEAN_UNLIMITED_S))
            self._state_limit(rng.uniform(*LIMIT_PER_S))
            await asyncio.sleep(rng.uniform(*LIMITED_S))
            self._state_limit(None)

    def _state_limit(self, limit: float | None) -> None:
        self._limit = limit
        self.append_record(limit=limit, server=self._incarnation)

    def _record_start(self, call: Call, path: str) -> int:
        """Records the start of a run and returns the number of the run."""
        self._runs += 1
        self.append_record(
            call=call.header(CALL_HEADER).decode(),
            path=path,
            server=self._incarnation,
            service=self._args.service,
            customer=call.header(CUSTOMER_HEADER).decode(),
            number=self._runs,
        )
        return self._runs

    async def _work(self, call: Call, kind: str) -> int:
        """Simulates the work of a call and returns the response status."""
        status = OK
        if kind == 'look' and self._rng.random() < INNER_CALL_SHARE:
            status = await self._make_inner_call(call)
        mean = MEAN_WORK_S.get(kind, DEFAULT_WORK_S)
        await asyncio.sleep(mean * self._rng.uniform(0.5, 1.5))
        if self._rng.random() < self._args.failing:
            return INTERNAL_ERROR
        return status

    async def _make_inner_call(self, call: Call) -> int:
        """Sends an inner call through the node and returns its status.

        The deadline of the outer call applies to it.
        """
        headers = {
            'host': 'mesh.example',
            CALL_HEADER.decode(): (
                f'{call.header(CALL_HEADER).decode()}{INNER_CALL_SUFFIX}'
            ),
            REMAINING_HEADER.decode(): call.header(REMAINING_HEADER).decode(),
        }
        try:
            response = await self._http.get(
                f'http://{self._args.outbound}/status/1', headers=headers
            )
        except httpx.HTTPError:
            return BAD_GATEWAY
        return OK if response.status_code == OK else BAD_GATEWAY

    async def announce(self) -> None:
        """Sends one announcement to the node."""
        self._sequence += 1
        draining = self._draining and self._announces_drain
        message = Announcement(
            server=self._name,
            service=self._args.service,
            address=self._args.advertise,
            draining=draining,
            slots=self._args.slots,
            born_ms=self._born_ms,
            sequence=self._sequence,
            version=self._args.version,
        )
        try:
            response = await self._http.post(
                f'http://{self._args.announce}/announce',
                content=msgspec.json.encode(message),
            )
        except httpx.HTTPError:
            return
        if draining and response.status_code == OK:
            self.append_record(drained=self._incarnation)

    async def run(self) -> None:
        """Serves calls and announces the server until the process ends."""
        loop = asyncio.get_running_loop()
        wake = asyncio.Event()

        def start_draining() -> None:
            self._draining = True
            wake.set()

        loop.add_signal_handler(signal.SIGUSR1, start_draining)
        limits = asyncio.create_task(self.vary_limit())
        limits.add_done_callback(lambda _: loop.stop())
        host, _, port = self._args.listen.rpartition(':')
        server = HttpServer(self.handle, LIMITS)
        await loop.create_server(server.make_conn, host, int(port))
        while True:
            await self.announce()
            try:
                async with asyncio.timeout(ANNOUNCE_S):
                    await wake.wait()
            except TimeoutError:
                continue
            wake.clear()


def main() -> None:
    """Runs one stand-in backend server."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    for name in ('name', 'service', 'listen', 'advertise', 'announce'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--outbound', required=True)
    parser.add_argument('--book', required=True, type=Path)
    parser.add_argument('--renamed', default='')
    parser.add_argument('--version', default=OLD_VERSION)
    parser.add_argument('--failing', type=float, default=0.0)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--seed', type=int, default=1)
    uvloop.install()
    asyncio.run(Backend(parser.parse_args()).run())


if __name__ == '__main__':
    main()
