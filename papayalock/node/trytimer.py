"""Timeouts of a single try of a relayed call."""

import asyncio
from collections.abc import Callable

from papayalock.core.routing import Server
from papayalock.httpclient import MS_PER_S, ClientConn, Request, Response
from papayalock.node.relayedcall import RelayedCall
from papayalock.ports import Clock


class TryTimer:
    """Limits how long one try waits and detects an unresponsive peer.

    An unresponsive peer is backed off from, and its try is cancelled if
    another one follows. Otherwise the try waits until the deadline of the
    call. A try of a call that is not idempotent always waits until then.
    """

    __slots__ = (
        'address',
        'made_progress',
        'server',
        'unresponsive',
        '_clock',
        '_deadline_timer',
        '_limit_ms',
        '_on_unresponsive',
        '_relayed',
        '_silence_ms',
    )

    def __init__(
        self,
        relayed: RelayedCall,
        address: str,
        server: Server | None,
        clock: Clock,
        *,
        silence_ms: int,
        on_unresponsive: Callable[['TryTimer'], None],
    ) -> None:
        """Starts before the request is sent.

        :param server: backend server of another node; None for the local one
        :param silence_ms: time without a byte after which the peer counts as
            unresponsive
        :param on_unresponsive: called once when it does
        """
        self.address = address
        self.server = server
        self.unresponsive = False
        # Whether bytes arrived during a wait that ended at the deadline.
        self.made_progress = False
        self._relayed = relayed
        self._clock = clock
        self._silence_ms = silence_ms
        self._limit_ms = silence_ms
        self._on_unresponsive = on_unresponsive
        self._deadline_timer: asyncio.Timeout | None = None

    async def request(self, conn: ClientConn, req: Request) -> Response:
        """Sends a request and returns the head of the response.

        :raises TimeoutError: at the deadline, or when the try is cancelled
            because the peer is unresponsive and another try follows
        :raises TransportError: if there is no response
        """
        remaining_ms = max(1, self._remaining_ms())
        if self._relayed.attempt is not None:
            self._limit_ms = remaining_ms
            return await conn.call(req, remaining_ms, expect_continue=conn.used)
        self._limit_ms = min(self._silence_ms, remaining_ms)
        return await self._until_deadline(conn, req, remaining_ms)

    async def read_piece(self, response: Response) -> bytes:
        """Returns the next piece of a response body; b'' at its end.

        :raises TimeoutError: if the peer is unresponsive past the deadline
        :raises TransportError: if the response is truncated
        """
        async with self.body_timeout():
            return await response.read()

    def body_timeout(self) -> asyncio.Timeout:
        """Returns the timeout of a wait for a response body.

        It lasts until the deadline. Near or past the deadline it lasts for
        the limit on time without a byte instead.
        """
        return asyncio.timeout(
            max(self._limit_ms, self._remaining_ms()) / MS_PER_S
        )

    async def _until_deadline(
        self, conn: ClientConn, req: Request, remaining_ms: int
    ) -> Response:
        progress_before = conn.progress
        deadline_timer = asyncio.timeout(remaining_ms / MS_PER_S)
        self._deadline_timer = deadline_timer
        try:
            async with deadline_timer:
                return await conn.call(
                    req, self._limit_ms, on_unresponsive=self._on_silent
                )
        except TimeoutError:
            self.made_progress = conn.progress != progress_before
            raise
        finally:
            self._deadline_timer = None

    def _remaining_ms(self) -> int:
        return self._relayed.deadline.remaining_ms(self._clock.monotonic())

    def _on_silent(self) -> None:
        self.unresponsive = True
        self._on_unresponsive(self)
        deadline_timer = self._deadline_timer
        if deadline_timer is None or deadline_timer.expired():
            return
        if self._relayed.should_give_up():
            deadline_timer.reschedule(asyncio.get_running_loop().time())
