"""Sends Raft messages to the other control VMs over HTTP."""

import asyncio
import logging
from collections import deque

import msgspec

from papayalock.httpclient import TransportError
from papayalock.messages import PeerMessage
from papayalock.pool import Pool, json_request
from papayalock.reachability import ReachabilityLog

log = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 512  # for a peer that does not respond
SEND_TIMEOUT_MS = 1000
CONNECT_TIMEOUT_MS = 300
IDLE_MS = 30_000
MAX_RESPONSE_BYTES = 65536
MAX_REQUEST_MESSAGES = 64
MAX_REQUEST_CHARS = 4_194_304  # of the entries and snapshots in one request
RETRY_DELAY_S = 0.05  # after a failed request


def take_batch(outbox: deque[PeerMessage]) -> list[PeerMessage]:
    """Removes and returns the messages of the next request.

    A message that alone is larger than a request should be goes alone.
    """
    batch = [outbox.popleft()]
    size = _content_size(batch[0])
    while outbox and len(batch) < MAX_REQUEST_MESSAGES:
        size += _content_size(outbox[0])
        if size > MAX_REQUEST_CHARS:
            break
        batch.append(outbox.popleft())
    return batch


def _content_size(message: PeerMessage) -> int:
    size = sum(len(entry.payload) for entry in message.entries)
    if message.snapshot is not None:
        size += len(message.snapshot.state)
    return size


class PeerTransport:
    """Sends messages to peers by name; satisfies ``ports.Network``.

    Each peer has its own queue and sender task. A failed request loses its
    messages, which Raft allows, and its connection is closed, so that an
    unresponsive one is not used again.
    """

    def __init__(self, addresses: dict[str, str]) -> None:
        """Starts without connections.

        :param addresses: IP and port of each peer by name, updated by the
            coordinator
        """
        self.addresses = addresses
        self._pool = Pool(CONNECT_TIMEOUT_MS, IDLE_MS, per_address=2)
        self._outboxes: dict[str, deque[PeerMessage]] = {}
        self._wakeups: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._reachability = ReachabilityLog(log, 'control VM')

    def send(self, message: PeerMessage) -> None:
        """Queues a message and drops the oldest one when the queue is full."""
        name = message.receiver
        if name not in self._tasks:
            self._outboxes[name] = deque(maxlen=MAX_QUEUED_MESSAGES)
            self._wakeups[name] = asyncio.Event()
            self._tasks[name] = asyncio.create_task(self._run(name))
        self._outboxes[name].append(message)
        self._wakeups[name].set()

    def close(self) -> None:
        """Cancels the sender tasks and closes all connections."""
        for task in self._tasks.values():
            task.cancel()
        self._pool.close()

    async def _run(self, name: str) -> None:
        outbox = self._outboxes[name]
        while True:
            await self._wakeups[name].wait()
            self._wakeups[name].clear()
            while outbox:
                await self._post(name, take_batch(outbox))

    async def _post(self, name: str, batch: list[PeerMessage]) -> None:
        address = self.addresses.get(name)
        if address is None:
            return
        req = json_request(
            b'POST', '/v1/peer', address, msgspec.json.encode(batch)
        )
        try:
            await self._pool.exchange(
                address, req, SEND_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
            self._reachability.mark_reachable(name, _now())
        except TransportError as exc:
            self._reachability.mark_unreachable(name, str(exc), _now())
            self._pool.close_idle(address)
            await asyncio.sleep(RETRY_DELAY_S)


def _now() -> float:
    return asyncio.get_running_loop().time()
