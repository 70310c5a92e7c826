"""The tries of one call that are under way beside each other."""

import asyncio
import functools
from collections.abc import Coroutine
from typing import Any

from papayalock.node.calljournal import Trail
from papayalock.node.outcome import Outcome

Event = tuple[Trail, 'asyncio.Task[Outcome] | None']


class Race:
    """Tells in order which try has ended, and which has fallen silent."""

    __slots__ = ('_events', '_running')

    def __init__(self) -> None:
        """Starts without tries."""
        self._running: set[asyncio.Task[Outcome]] = set()
        self._events: asyncio.Queue[Event] = asyncio.Queue()

    @property
    def over(self) -> bool:
        """Whether nothing more will be told."""
        return not self._running and self._events.empty()

    def start(
        self, trail: Trail, attempt: Coroutine[Any, Any, Outcome]
    ) -> None:
        """Starts a try."""
        task = asyncio.ensure_future(attempt)
        self._running.add(task)
        task.add_done_callback(functools.partial(self._ended, trail))

    def silent(self, trail: Trail) -> None:
        """Notes that the node of a try has fallen silent."""
        self._events.put_nowait((trail, None))

    async def next(self) -> tuple[Trail, Outcome | None]:
        """Waits for the next try that ends; None for one that fell silent."""
        trail, task = await self._events.get()
        return trail, None if task is None else task.result()

    def cancel(self) -> None:
        """Takes back all tries."""
        for task in self._running:
            task.cancel()

    def _ended(self, trail: Trail, task: 'asyncio.Task[Outcome]') -> None:
        self._running.discard(task)
        if not task.cancelled():
            self._events.put_nowait((trail, task))
