"""Fake transports, clocks and an event loop for tests of the protocols."""

import asyncio

from papayalock.httpclient import ClientConn
from papayalock.node.listener import HttpServer, ServerLimits


class FakeClock:
    """A clock that stands still until a test sets ``now``."""

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall_ms(self) -> int:
        return int(self.now * 1000)


class LoopClock:
    """A clock that follows the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return int(self.monotonic() * 1000)


class FastLoop(asyncio.SelectorEventLoop):
    """An event loop that advances its clock instead of waiting.

    Executor jobs run at once, in the thread of the loop.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped_s = 0.0
        real_select = self._selector.select

        def select(timeout=None):
            if timeout:
                self._skipped_s += timeout
            return real_select(0)

        self._selector.select = select

    def time(self) -> float:
        return 1000.0 + self._skipped_s

    def stall(self, seconds: float) -> None:
        """Advances the clock as if a callback had blocked the loop."""
        self._skipped_s += seconds

    def run_in_executor(self, executor, func, *args):
        fut = self.create_future()
        try:
            fut.set_result(func(*args))
        except Exception as exc:
            fut.set_exception(exc)
        return fut


class FakeTransport(asyncio.Transport):
    """Records the bytes and the state changes that a protocol requests."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.aborted = False
        self.closed = False
        self.paused = False
        self.unsent = 0

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.aborted = True
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


def client() -> tuple[ClientConn, FakeTransport]:
    conn = ClientConn()
    transport = FakeTransport()
    conn.connection_made(transport)
    return conn, transport


def server(handler, **limits: int) -> tuple[HttpServer, 'ServerSide']:
    limit_values = {
        'header_bytes': 2048,
        'body_bytes': 4096,
        'connections': 4,
        **limits,
    }
    http_server = HttpServer(handler, ServerLimits(**limit_values))
    return http_server, ServerSide(http_server)


class ServerSide:
    """An accepted connection of the server under test, on a fake transport."""

    def __init__(self, http_server: HttpServer) -> None:
        self.conn = http_server.make_conn()
        self.transport = FakeTransport()
        self.conn.connection_made(self.transport)

    async def feed(self, data: bytes) -> bytes:
        self.conn.data_received(data)
        for _ in range(5):
            await asyncio.sleep(0)
        return self.transport.written
