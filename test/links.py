"""A VM's link of limited rate, and connections that send over it."""

import asyncio
from collections import deque

from papayalock.httpclient import ClientConn
from papayalock.node.listener import HttpServer
from test.hostmesh import PipeTransport

WINDOW_BYTES = 65_536  # that a connection may have on the link at a time
SEGMENT_BYTES = 4096
HIGH_WATER_BYTES = 65_536


class Link:
    """Carries what a VM sends, in order, at a fixed rate."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 125_000
        self._free_at = 0.0

    def carry(self, size: int) -> 'asyncio.Future[None]':
        """Puts bytes on the link; the future is done when they arrive."""
        loop = asyncio.get_running_loop()
        self._free_at = max(self._free_at, loop.time())
        self._free_at += size / self._bytes_per_s
        fut = loop.create_future()
        loop.call_at(self._free_at, _finish, fut)
        return fut


class LinkTransport(PipeTransport):
    """The end of a connection whose writes go over a link."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link
        self._pending: deque[bytes] = deque()
        self._on_link = 0
        self._full = False

    def get_write_buffer_size(self) -> int:
        return sum(map(len, self._pending))

    def write(self, data: bytes) -> None:
        for start in range(0, len(data), SEGMENT_BYTES):
            self._pending.append(data[start : start + SEGMENT_BYTES])
        self._send()
        if not self._full and self.get_write_buffer_size() > HIGH_WATER_BYTES:
            self._full = True
            self.protocol.pause_writing()

    def close(self) -> None:
        self._pending.clear()
        super().close()

    def _send(self) -> None:
        while self._pending and self._on_link < WINDOW_BYTES:
            segment = self._pending.popleft()
            self._on_link += len(segment)
            self._link.carry(len(segment)).add_done_callback(
                lambda _, segment=segment: self._arrived(segment)
            )

    def _arrived(self, segment: bytes) -> None:
        self._on_link -= len(segment)
        self.peer._arrive(segment)
        self._send()
        if self._full and not self._pending:
            self._full = False
            self.protocol.resume_writing()


def connect_over(link: Link, server: HttpServer) -> ClientConn:
    """Returns a connection to a server whose responses go over a link."""
    conn, accepted = ClientConn(), server.make_conn()
    near, far = PipeTransport(), LinkTransport(link)
    near.peer, near.protocol = far, conn
    far.peer, far.protocol = near, accepted
    conn.connection_made(near)
    accepted.connection_made(far)
    return conn


def _finish(fut: 'asyncio.Future[None]') -> None:
    if not fut.done():
        fut.set_result(None)
