"""Watches the far end of a single try for silence."""

import asyncio
from collections.abc import Callable

from papayalock.core.routing import Server
from papayalock.node.trip import Trip
from papayalock.ports import Clock
from papayalock.httpclient import MS_PER_S, ClientConn, Request, Response


class Watch:
    """Bounds the waits of one try.

    Silence is a reason to suspect the far end and to try elsewhere; it does
    not end the try before the deadline of its call. A try that may not be
    repeated just waits for as long as there is time.
    """

    __slots__ = (
        'address',
        'alive',
        'server',
        'silent',
        '_bound',
        '_clock',
        '_limit_ms',
        '_silence_ms',
        '_suspect',
        '_trip',
    )

    def __init__(
        self,
        trip: Trip,
        address: str,
        server: Server | None,
        clock: Clock,
        *,
        silence_ms: int,
        suspect: Callable[['Watch'], None],
    ) -> None:
        """Starts before the request is sent.

        :param server: backend server behind another node; None for one's own
        :param silence_ms: time without a byte after which the far end is silent
        :param suspect: told once when it is
        """
        self.address = address
        self.server = server
        self.silent = False
        self.alive = False  # a wait that ran to the deadline saw signs of life
        self._trip = trip
        self._clock = clock
        self._silence_ms = silence_ms
        self._limit_ms = silence_ms
        self._suspect = suspect
        self._bound: asyncio.Timeout | None = None

    async def head(self, conn: ClientConn, req: Request) -> Response:
        """Sends a request and returns the head of its answer.

        :raises TimeoutError: at the deadline, or when the silent far end is
            given up for another
        :raises TransportError: when there is no answer
        """
        left_ms = max(1, self._left_ms())
        if self._trip.attempt is not None:
            self._limit_ms = left_ms
            return await conn.call(req, left_ms, expect_continue=conn.used)
        self._limit_ms = min(self._silence_ms, left_ms)
        return await self._until_deadline(conn, req, left_ms)

    async def read(self, response: Response) -> bytes:
        """Returns the next piece of an answer's body; b'' at its end.

        :raises TimeoutError: when the far end is silent past the deadline
        :raises TransportError: when the answer ends short of its length
        """
        async with self.patience():
            return await response.read()

    def patience(self) -> asyncio.Timeout:
        """Bounds a wait for an answer's body, which may pass the deadline."""
        return asyncio.timeout(max(self._limit_ms, self._left_ms()) / MS_PER_S)

    async def _until_deadline(
        self, conn: ClientConn, req: Request, left_ms: int
    ) -> Response:
        seen = conn.progress
        bound = asyncio.timeout(left_ms / MS_PER_S)
        self._bound = bound
        try:
            async with bound:
                return await conn.call(
                    req, self._limit_ms, on_unresponsive=self._on_silent
                )
        except TimeoutError:
            self.alive = conn.progress != seen
            raise
        finally:
            self._bound = None

    def _left_ms(self) -> int:
        return self._trip.deadline.remaining_ms(self._clock.monotonic())

    def _on_silent(self) -> None:
        self.silent = True
        self._suspect(self)
        bound = self._bound
        if bound is None or bound.expired():
            return
        if self._trip.gives_up():
            bound.reschedule(asyncio.get_running_loop().time())
