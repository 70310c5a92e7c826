"""Sends responses over the VM's link: short ones at once, large ones paced."""

import asyncio
from dataclasses import dataclass

from papayalock.core.linkload import (
    LARGE_BYTES,
    PIECE_BYTES,
    LinkLoad,
    Transfer,
)
from papayalock.node.http import Reply
from papayalock.node.outcome import ServerResponse
from papayalock.ports import Clock

MIN_TIMER_S = 0.001


@dataclass(slots=True, eq=False)
class _Turn:
    """A piece of a transfer that waits for room on the link."""

    transfer: Transfer
    size: int
    granted: 'asyncio.Future[None]'


class ResponsePacer:
    """Hands large responses to their connections as fast as the link sends.

    What waits then waits here, where it has an order, and not in the queue of
    the link, where it would delay all that the VM sends.
    """

    def __init__(self, load: LinkLoad, clock: Clock) -> None:
        """Starts without responses.

        :param load: has to be charged with all that the VM sends
        """
        self._load = load
        self._clock = clock
        self._turns: list[_Turn] = []
        self._timer: asyncio.TimerHandle | None = None

    async def send(self, reply: Reply, response: ServerResponse) -> None:
        """Sends a response."""
        size = len(response.body)
        paced = self._load.budget.bytes_per_s and size > LARGE_BYTES
        if not paced:
            reply.send(response.status, response.headers, response.body)
            return
        transfer = self._load.begin(size)
        try:
            await self._send_pieces(reply, response, transfer)
        finally:
            self._load.end(transfer)

    async def _send_pieces(
        self, reply: Reply, response: ServerResponse, transfer: Transfer
    ) -> None:
        body = response.body
        for offset in range(0, len(body), PIECE_BYTES):
            piece = body[offset : offset + PIECE_BYTES]
            await self._wait_for_room(transfer, len(piece))
            if not reply.started:
                reply.start(response.status, response.headers, len(body))
            transfer.unsent -= len(piece)
            await reply.send_piece(piece)

    async def _wait_for_room(self, transfer: Transfer, size: int) -> None:
        """Waits until the link may take a piece, the oldest transfer first."""
        fut = asyncio.get_running_loop().create_future()
        turn = _Turn(transfer, size, fut)
        self._turns.append(turn)
        self._grant()
        try:
            await fut
        except asyncio.CancelledError:
            self._withdraw(turn)
            raise

    def _withdraw(self, turn: _Turn) -> None:
        if turn in self._turns:
            self._turns.remove(turn)
        elif not turn.granted.cancelled():
            self._load.budget.refund(turn.size)

    def _grant(self) -> None:
        """Grants the turns for which there is room, then sets the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock.monotonic()
        budget = self._load.budget
        while self._turns and not budget.wait_s(now):
            turn = min(self._turns, key=_order)
            self._turns.remove(turn)
            if not turn.granted.done():
                budget.prepay(turn.size, now)
                turn.granted.set_result(None)
        if self._turns:
            self._timer = asyncio.get_running_loop().call_later(
                max(MIN_TIMER_S, budget.wait_s(now)), self._grant
            )


def _order(turn: _Turn) -> int:
    return turn.transfer.sequence
