"""Fake transports, clocks and an event loop for tests of the protocols."""

import asyncio

from papayalock.httpclient import ClientConn
from papayalock.node.listener import HttpServer, ServerLimits


class FakeClock:
    """A clock that tests set."""

    def __init__(self, now: float = 100.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now

    def wall_ms(self) -> int:
        return int(self.now * 1000)


class LoopClock:
    """The clock of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        return int(self.monotonic() * 1000)


class FastLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock skips every wait."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0.0
        real_select = self._selector.select

        def select(timeout=None):
            if timeout:
                self._skipped += timeout
            return real_select(0)

        self._selector.select = select

    def time(self) -> float:
        return 1000.0 + self._skipped

    def stall(self, seconds: float) -> None:
        """Advances the clock as if the thread of the loop had been blocked."""
        self._skipped += seconds

    def run_in_executor(self, executor, func, *args):
        fut = self.create_future()
        try:
            fut.set_result(func(*args))
        except Exception as exc:
            fut.set_exception(exc)
        return fut


class FakeTransport(asyncio.Transport):
    """Records what the protocol writes and requests."""

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
    bounds = {
        'header_bytes': 2048,
        'body_bytes': 4096,
        'connections': 4,
        **limits,
    }
    listening = HttpServer(handler, ServerLimits(**bounds))
    return listening, ServerSide(listening)


class ServerSide:
    """One accepted connection of the server under test."""

    def __init__(self, listening: HttpServer) -> None:
        self.conn = listening.make_conn()
        self.transport = FakeTransport()
        self.conn.connection_made(self.transport)

    async def feed(self, data: bytes) -> bytes:
        self.conn.data_received(data)
        for _ in range(5):
            await asyncio.sleep(0)
        return self.transport.written
