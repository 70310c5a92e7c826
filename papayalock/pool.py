"""Pooled client connections, and whole exchanges over them."""

import asyncio
import contextlib

from papayalock.result import Code
from papayalock.wire import MS, ClientConn, Request, WireError


async def connect(address: str, timeout_ms: int) -> ClientConn:
    """Opens a connection.

    :param address: IP and port
    :raises WireError: ``NOT_CONNECTED`` when it cannot be opened in time
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / MS):
            _, conn = await loop.create_connection(ClientConn, host, int(port))
    except (OSError, TimeoutError, ValueError) as exc:
        raise WireError(
            Code.NOT_CONNECTED, f'{address}: {exc}', sent=False
        ) from exc
    return conn


class Pool:
    """Idle connections by address."""

    def __init__(self, connect_ms: int, idle_ms: int, per_address: int) -> None:
        """Starts empty.

        :param connect_ms: longest wait for a new connection
        :param idle_ms: idle time after which a connection is closed
        :param per_address: idle connections kept for one address
        """
        self._connect_ms = connect_ms
        self._idle = idle_ms / MS
        self._keep = per_address
        self._free: dict[str, list[ClientConn]] = {}

    async def take(self, address: str, *, fresh: bool = False) -> ClientConn:
        """Returns an idle connection, or opens one.

        :param fresh: never returns one that was used before
        :raises WireError: ``NOT_CONNECTED``
        """
        idle = self._free.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle and not fresh:
            conn = idle.pop()
            if conn.reusable and now - conn.idle_since < self._idle:
                return conn
            conn.close()
        return await connect(address, self._connect_ms)

    def give(self, address: str, conn: ClientConn) -> None:
        """Takes a connection back, or closes it when it is not reusable."""
        idle = self._free.setdefault(address, [])
        if conn.reusable and len(idle) < self._keep:
            idle.append(conn)
        else:
            conn.close()

    def drop(self, address: str) -> None:
        """Closes the idle connections of an address."""
        for conn in self._free.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._free):
            self.drop(address)

    async def exchange(
        self,
        address: str,
        req: Request,
        timeout_ms: int,
        limit: int,
        *,
        total_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Makes one whole call and returns its status and body.

        :param timeout_ms: longest wait without a byte of the answer
        :param limit: largest body
        :param total_ms: longest wait for the whole answer, if it may take
            longer than ``timeout_ms``, as a large one over a slow link does
        :raises WireError: when there is no whole answer
        """
        conn = await self.take(address)
        whole = False
        try:
            async with asyncio.timeout((total_ms or timeout_ms) / MS):
                response = await conn.call(req, timeout_ms)
                body = await response.read_all(limit)
            whole = True
        except TimeoutError as exc:
            raise WireError(
                Code.UNKNOWN_TIMEOUT, f'{address}: no answer in time', sent=True
            ) from exc
        finally:
            if whole:
                self.give(address, conn)
            else:
                with contextlib.suppress(RuntimeError):
                    conn.close()
        return response.status, body


def json_request(method: bytes, target: str, host: str, body: bytes) -> Request:
    """Returns a request with a JSON body."""
    headers = [(b'host', host.encode()), (b'content-type', b'application/json')]
    return Request(method, target.encode(), headers, body)
