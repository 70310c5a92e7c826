"""A pool of HTTP client connections, and complete calls over them."""

import asyncio
import contextlib
import functools

from papayalock.core.buffers import BufferPool
from papayalock.httpclient import (
    MS_PER_S,
    ClientConn,
    OnWritten,
    Request,
    TransportError,
    ignore_written,
)
from papayalock.result import Code
from papayalock.turns import TurnQueue


async def connect(
    address: str,
    timeout_ms: int,
    buffers: BufferPool | None = None,
    on_written: OnWritten = ignore_written,
    turns: TurnQueue | None = None,
) -> ClientConn:
    """Opens a connection.

    :param address: IP and port of the server
    :param timeout_ms: maximum time for opening it
    :param buffers: memory for bodies that it shares with other connections
    :param turns: shares the event loop with costly ones of them
    :raises TransportError: ``NOT_CONNECTED`` when it cannot be opened in time
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            _, conn = await loop.create_connection(
                functools.partial(ClientConn, buffers, on_written, turns),
                host,
                int(port),
            )
    except (OSError, TimeoutError, ValueError) as exc:
        reason = f'{address}: {type(exc).__name__} {exc}'.rstrip()
        raise TransportError(Code.NOT_CONNECTED, reason, sent=False) from exc
    return conn


class Pool:
    """Keeps idle connections for reuse, by server address."""

    def __init__(
        self,
        connect_ms: int,
        idle_ms: int,
        per_address: int,
        buffers: BufferPool | None = None,
    ) -> None:
        """Creates an empty pool.

        :param connect_ms: maximum time for opening a connection
        :param idle_ms: idle time after which a connection isn't reused
        :param per_address: maximum number of idle connections per address
        :param buffers: memory that the bodies of responses share
        """
        self.on_written: OnWritten = ignore_written
        self._buffers = buffers
        self._turns = TurnQueue()
        self._connect_ms = connect_ms
        self._idle_s = idle_ms / MS_PER_S
        self._max_idle = per_address
        self._idle_conns: dict[str, list[ClientConn]] = {}

    async def acquire(self, address: str, *, fresh: bool = False) -> ClientConn:
        """Returns an idle connection, or opens one.

        :param address: IP and port of the server
        :param fresh: whether to open a new connection in any case
        :raises TransportError: ``NOT_CONNECTED`` when it cannot be opened
        """
        idle = self._idle_conns.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle and not fresh:
            conn = idle.pop()
            if conn.reusable and now - conn.idle_since < self._idle_s:
                return conn
            conn.close()
        return await connect(
            address,
            self._connect_ms,
            self._buffers,
            self.on_written,
            self._turns,
        )

    def release(self, address: str, conn: ClientConn) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        idle = self._idle_conns.setdefault(address, [])
        if conn.reusable and len(idle) < self._max_idle:
            idle.append(conn)
        else:
            conn.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for conn in self._idle_conns.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._idle_conns):
            self.close_idle(address)

    async def exchange(
        self,
        address: str,
        req: Request,
        timeout_ms: int,
        limit: int,
        *,
        total_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Makes one call and returns the status and the body.

        :param address: IP and port of the server
        :param timeout_ms: maximum time without receiving a byte
        :param limit: maximum size of the body in bytes
        :param total_ms: maximum time for the complete response; defaults to
            ``timeout_ms``, which is too short for a large response over a
            slow link
        :raises TransportError: when no complete response arrives in time
        """
        conn = await self.acquire(address)
        complete = False
        try:
            async with asyncio.timeout((total_ms or timeout_ms) / MS_PER_S):
                response = await conn.call(req, timeout_ms)
                body = await response.read_all(limit)
            complete = True
        except TimeoutError as exc:
            raise TransportError(
                Code.UNKNOWN_TIMEOUT,
                f'{address}: no complete response in time',
                sent=True,
            ) from exc
        finally:
            if complete:
                self.release(address, conn)
            else:
                with contextlib.suppress(RuntimeError):
                    conn.close()
        return response.status, body


def json_request(method: bytes, target: str, host: str, body: bytes) -> Request:
    """Returns a request with a JSON body.

    :param target: path and query
    :param host: value of the Host header
    """
    headers = [(b'host', host.encode()), (b'content-type', b'application/json')]
    return Request(method, target.encode(), headers, body)
