"""Tells when something has made no progress for too long."""

import asyncio
from collections.abc import Callable

STALL_SHARE = 0.25  # of a timeout, by which its timer may run late


class ProgressTimer:
    """Waits for a count to stand still for a timeout.

    A loop that ran the timer late stood still itself, so what would have been
    progress may wait unread; it gets a little more time, once.
    """

    __slots__ = (
        '_count',
        '_due',
        '_expired',
        '_extended',
        '_handle',
        '_seen',
        '_timeout',
    )

    def __init__(
        self, count: Callable[[], int], expired: Callable[[], None]
    ) -> None:
        """Starts stopped.

        :param count: grows with each progress
        :param expired: called once when it has stood still
        """
        self._count = count
        self._expired = expired
        self._timeout = 0.0
        self._due = 0.0
        self._extended = False
        self._seen = 0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout: float) -> None:
        """Starts anew.

        :param timeout: longest time in seconds without progress
        """
        self.stop()
        self._timeout = timeout
        self.again()

    def again(self) -> None:
        """Waits for the same time once more."""
        self._seen = self._count()
        self._extended = False
        self._wait(self._timeout)

    def stop(self) -> None:
        """Stops."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + seconds
        self._handle = loop.call_at(self._due, self._on_timer)

    def _on_timer(self) -> None:
        late = asyncio.get_running_loop().time() - self._due
        if self._count() != self._seen:
            self.again()
        elif late > self._timeout * STALL_SHARE and not self._extended:
            self._extended = True
            self._wait(self._timeout * STALL_SHARE)
        else:
            self._expired()
