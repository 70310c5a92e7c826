"""An open-loop load generator.

Calls start at scheduled times, however long earlier calls take.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from papayalock.httpclient import Headers, Request, TransportError
from papayalock.pool import Pool

MAX_RESPONSE_BYTES = 1 << 24
CONNECT_MS = 1000
IDLE_MS = 10_000
MIN_LATENCY_US = 1
MAX_LATENCY_US = 100_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(slots=True)
class CallResult:
    """The result of one call; ``status`` is 0 without a complete response."""

    status: int
    outcome: str
    body: bytes
    latency_s: float
    error: str = ''

    @property
    def succeeded(self) -> bool:
        """Whether the call ran and its complete response is not a failure."""
        return self.outcome.startswith('0 ') and self.status < 500

    @property
    def code(self) -> int:
        """The code of the outcome header; -1 when there is none."""
        first_word = self.outcome.split(' ')[0]
        return int(first_word) if first_word.isdigit() else -1


class Caller:
    """Makes calls over pooled connections."""

    def __init__(self, per_address: int = 512) -> None:
        """Creates the pool; connections open with the first calls."""
        self._pool = Pool(CONNECT_MS, IDLE_MS, per_address)

    async def call(
        self,
        address: str,
        method: str,
        service: str,
        path: str,
        *,
        headers: Headers | None = None,
        body: bytes = b'',
        timeout_s: float = 10.0,
    ) -> CallResult:
        """Makes one call; transport errors and timeouts become a result."""
        request_headers: Headers = [
            (b'host', service.encode()),
            *(headers or []),
        ]
        req = Request(method.encode(), path.encode(), request_headers, body)
        started = time.perf_counter()
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, req, started)
        except (TransportError, TimeoutError) as exc:
            return CallResult(
                0, '', b'', time.perf_counter() - started, repr(exc)
            )

    async def _exchange(
        self, address: str, req: Request, started: float
    ) -> CallResult:
        conn = await self._pool.acquire(address)
        try:
            response = await conn.call(req, 60_000)
            body = await response.read_all(MAX_RESPONSE_BYTES)
        except BaseException:
            conn.close()
            raise
        self._pool.release(address, conn)
        outcome = response.header(b'papayalock-outcome').decode()
        return CallResult(
            response.status, outcome, body, time.perf_counter() - started
        )

    def close(self) -> None:
        """Closes the pooled connections."""
        self._pool.close()


def poisson_arrivals(
    rate: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yields arrival times of a Poisson process.

    :param rate: arrivals per second
    :param seconds: when the process ends
    """
    at = rng.expovariate(rate)
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


async def run_open_loop(
    times: Iterator[float], start: Callable[[], Awaitable[CallResult]]
) -> list[CallResult]:
    """Starts a call at each time and returns all results.

    :param times: seconds from now, in ascending order
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = []
    for at in times:
        delay = started + at - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.ensure_future(start()))
    return list(await asyncio.gather(*tasks))


def latency_histogram(results: list[CallResult]) -> HdrHistogram:
    """Returns the latencies of the successful calls, in microseconds."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for result in results:
        if result.succeeded:
            histogram.record_value(max(1, int(result.latency_s * 1_000_000)))
    return histogram


def latency_percentile_ms(results: list[CallResult], percent: float) -> float:
    """Returns a latency percentile of the successful calls."""
    return (
        float(latency_histogram(results).get_value_at_percentile(percent))
        / 1000
    )
