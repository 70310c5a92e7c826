"""Messages between control VMs: one sender task and outbox for each peer."""

import asyncio
import logging
from collections import deque

import msgspec

from papayalock.reachability import ReachabilityLog
from papayalock.messages import PeerMessage
from papayalock.pool import Pool, json_request
from papayalock.httpclient import TransportError

log = logging.getLogger(__name__)

OUTBOX = 512  # messages kept for a peer that does not answer
SEND_TIMEOUT_MS = 1000
CONNECT_TIMEOUT_MS = 300
IDLE_MS = 30_000
MAX_ANSWER_BYTES = 65536
MAX_SENT = 64  # messages in one request
PAUSE_S = 0.05  # after a failed request


class PeerLinks:
    """Sends messages to peers by name; satisfies ``ports.Network``.

    A request that fails loses its messages, which the protocol allows. The
    connection is then closed, so that a silent one is not used again.
    """

    def __init__(self, addresses: dict[str, str]) -> None:
        """Starts without connections.

        :param addresses: IP and port of each peer, kept up to date by the owner
        """
        self.addresses = addresses
        self._pool = Pool(CONNECT_TIMEOUT_MS, IDLE_MS, per_address=2)
        self._outboxes: dict[str, deque[PeerMessage]] = {}
        self._wake: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._contacts = ReachabilityLog(log, 'control VM')

    def send(self, message: PeerMessage) -> None:
        """Queues a message; the oldest are dropped when a peer is slow."""
        name = message.receiver
        if name not in self._tasks:
            self._outboxes[name] = deque(maxlen=OUTBOX)
            self._wake[name] = asyncio.Event()
            self._tasks[name] = asyncio.create_task(self._run(name))
        self._outboxes[name].append(message)
        self._wake[name].set()

    def close(self) -> None:
        """Stops every sender."""
        for task in self._tasks.values():
            task.cancel()
        self._pool.close()

    async def _run(self, name: str) -> None:
        outbox = self._outboxes[name]
        while True:
            await self._wake[name].wait()
            self._wake[name].clear()
            while outbox:
                batch = [
                    outbox.popleft() for _ in range(min(len(outbox), MAX_SENT))
                ]
                await self._post(name, batch)

    async def _post(self, name: str, batch: list[PeerMessage]) -> None:
        address = self.addresses.get(name)
        if address is None:
            return
        req = json_request(
            b'POST', '/v1/peer', address, msgspec.json.encode(batch)
        )
        try:
            await self._pool.exchange(
                address, req, SEND_TIMEOUT_MS, MAX_ANSWER_BYTES
            )
            self._contacts.mark_reachable(name)
        except TransportError as exc:
            self._contacts.mark_unreachable(name, str(exc))
            self._pool.close_idle(address)
            await asyncio.sleep(PAUSE_S)
