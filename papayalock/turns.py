"""Shares the event loop between connections whose bytes are costly to parse.

A body in chunks of a few bytes, or many interim responses, cost a call of the
parser for each few bytes. Connections that always have such bytes ready would
keep the loop busy, so that all other calls wait. They take turns here: one
slice of one of them at a time, with a pause for the others in between.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

SLICE_BYTES = 4096  # fed to the parser in one turn
MAX_EVENTS = 64  # parser events in a slice above which its bytes are costly
PAUSE_S = 0.002  # between two turns
Turn = Callable[[], bool]  # returns whether another turn is needed


class TurnQueue:
    """Runs the turns of costly connections one after the other."""

    __slots__ = ('_turns', 'waits')

    def __init__(self) -> None:
        """Starts empty."""
        self._turns: deque[Turn] = deque()
        self.waits = False

    def add(self, turn: Turn) -> None:
        """Adds the turns of one connection."""
        self._turns.append(turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._turns and not self.waits:
            self.waits = True
            asyncio.get_running_loop().call_later(PAUSE_S, self._run)

    def _run(self) -> None:
        self.waits = False
        turn = self._turns.popleft()
        if turn():
            self._turns.append(turn)
        self._schedule()


class Parsing(Protocol):
    """A connection that parses what it receives."""

    transport: asyncio.Transport | None

    def parse(self, data: bytes) -> None:
        """Parses some bytes."""
        ...


class SlicedFeed:
    """Feeds one connection's parser in slices, and in turns if they are costly.

    Reading is paused while bytes wait for a turn, and while the owner asks.
    """

    __slots__ = ('_backlog', '_conn', '_events', '_turns', 'paused')

    def __init__(self, conn: Parsing, turns: TurnQueue) -> None:
        """Starts without bytes."""
        self.paused = False
        self._conn = conn
        self._turns = turns
        self._events = 0
        self._backlog = bytearray()

    def pause(self) -> None:
        """Takes no more bytes until :meth:`resume`."""
        self.paused = True
        if self._conn.transport is not None:
            self._conn.transport.pause_reading()

    def resume(self) -> None:
        """Takes bytes again."""
        if not self.paused:
            return
        self.paused = False
        if not self._backlog and self._conn.transport is not None:
            self._conn.transport.resume_reading()

    def count_event(self) -> None:
        """Counts a piece of a body, or an interim response."""
        self._events += 1

    def receive(self, data: bytes) -> None:
        """Parses bytes from the network, now or in turns."""
        if self._backlog:
            self._backlog += data
            return
        for start in range(0, len(data), SLICE_BYTES):
            self._events = 0
            self._conn.parse(data[start : start + SLICE_BYTES])
            rest = data[start + SLICE_BYTES :] if self._is_costly else b''
            if rest:
                self._wait(rest)
                return

    @property
    def _is_costly(self) -> bool:
        return self._events > MAX_EVENTS

    def _wait(self, rest: bytes) -> None:
        self._backlog += rest
        if self._conn.transport is not None:
            self._conn.transport.pause_reading()
        self._turns.add(self._take_turn)

    def _take_turn(self) -> bool:
        transport = self._conn.transport
        if transport is None or transport.is_closing():
            self._backlog.clear()
            return False
        if self.paused:
            return True
        piece = bytes(self._backlog[:SLICE_BYTES])
        del self._backlog[:SLICE_BYTES]
        self._conn.parse(piece)
        if not self._backlog and not self.paused:
            transport.resume_reading()
        return bool(self._backlog)
