"""A stand-in application server, which follows PROTOCOL.md."""

import asyncio
import json
import secrets
import time

from standins.deployment import HEARTBEAT_INTERVAL_S
from standins.wire import encode, exchange, read_message

HEALTH_PATH = '/health'
PING_TIMEOUT_S = 1.0
BODY = b'the bytes of the server'


class Run:
    """One request that the server began to work on."""

    def __init__(self, call, path, body, at):
        """Starts without an end."""
        self.call = call
        self.path = path
        self.body = body
        self.at = at
        self.ended = ''


class Server:
    """Serves requests beside one node and announces itself to it.

    The work of a request is in its path: ``/prefix/work-MS/...``.
    """

    def __init__(self, node, slots, record):
        """Starts without a listener."""
        self.node = node
        self.slots = slots
        self.record = record
        self.name = f'i-{secrets.token_hex(5)}'
        self.sequence = 0
        self.runs = []
        self._slot = asyncio.Semaphore(slots)
        self._listener = None
        self._writers = set()
        self._beats = None

    async def start(self):
        """Opens the listener and begins to send pings."""
        host, _, port = self.node.address('app').rpartition(':')
        self._listener = await asyncio.start_server(
            self._accept, host, int(port)
        )
        self._beats = asyncio.create_task(self._beat())

    def stop(self):
        """Ends the process of the server: all connections are lost."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def ping(self):
        """Returns a new ping as bytes."""
        self.sequence += 1
        body = {
            'address': self.node.address('app'),
            'info': {
                'service': self.node.service,
                'version': 'v1',
                'zone': self.node.zone,
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'sequence': self.sequence,
                'cold_remaining': '0ms',
            },
        }
        return encode(
            f'PUT /v1/instances/{self.name} HTTP/1.1',
            [
                ('Host', self.node.address('control')),
                ('Content-Type', 'application/json'),
            ],
            json.dumps(body).encode(),
        )

    async def _beat(self):
        while True:
            data = self.ping()
            try:
                await exchange(
                    self.node.address('control'), data, PING_TIMEOUT_S
                )
            except OSError:
                pass  # the node may be down; the next ping follows
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if not await self._answer(message, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, message, reader, writer):
        method, target, _ = message.first_line.split(' ')
        call = message.header('x-request-id')
        if method == 'GET' and target == HEALTH_PATH:
            writer.write(
                encode('HTTP/1.1 200 OK', [('X-Instance-Id', self.name)])
            )
            return True
        echo = [('X-Request-Id', call)]
        if not call:
            writer.write(
                encode('HTTP/1.1 400 Bad Request', [('X-Not-Executed', '1')])
            )
            return True
        wanted = message.header('x-target-instance')
        if wanted and wanted != self.name:
            self.record.write(self.name, f'421 to {call} (for {wanted})')
            writer.write(
                encode(
                    'HTTP/1.1 421 Misdirected Request',
                    [*echo, ('X-Instance-Id', self.name)],
                )
            )
            return True
        work = asyncio.ensure_future(self._run(message, target, call))
        gone = asyncio.ensure_future(_until_closed(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record.write(self.name, f'{call}: its connection closed')
            return False
        gone.cancel()
        status = work.result()
        stamp = ('X-Server-Stamp', f'{self.name}.{call}')
        writer.write(encode(f'HTTP/1.1 {status}', [*echo, stamp], BODY))
        return True

    async def _run(self, message, target, call):
        async with self._slot:
            run = Run(call, target, message.body, time.monotonic())
            self.runs.append(run)
            self.record.write(self.name, f'runs {call} {target}')
            left = message.header('x-request-deadline')
            work_s = _work_s(target)
            limit_s = int(left) / 1000 if left.isdigit() else work_s
            await asyncio.sleep(min(work_s, limit_s))
            run.ended = '504 Gateway Timeout' if work_s > limit_s else '200 OK'
            self.record.write(self.name, f'has run {call}: {run.ended}')
            return run.ended


async def _until_closed(reader):
    """Returns when the caller closes; it sends nothing before an answer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


def _work_s(target):
    for part in target.split('/'):
        if part.startswith('work-'):
            return int(part.removeprefix('work-')) / 1000
    return 0.02
