"""An inactivity timeout that tolerates a stalled event loop."""

import asyncio
from collections.abc import Callable

# Share of the timeout by which the timer may run late before the event loop
# counts as stalled; the timeout is then extended by the same share.
STALL_SHARE = 0.25


class ProgressTimer:
    """Calls back when a progress counter has not changed for a timeout.

    If the timer runs late, the event loop itself was stalled, and received
    bytes may not have been processed yet. The timeout is then extended once by
    ``STALL_SHARE``.
    """

    __slots__ = (
        '_read_progress',
        '_due',
        '_on_expired',
        '_extended',
        '_handle',
        '_last_progress',
        '_timeout',
    )

    def __init__(
        self, read_progress: Callable[[], int], on_expired: Callable[[], None]
    ) -> None:
        """Creates a stopped timer.

        :param read_progress: returns a counter that grows with each progress
        :param on_expired: called once when the timeout expires
        """
        self._read_progress = read_progress
        self._on_expired = on_expired
        self._timeout = 0.0
        self._due = 0.0
        self._extended = False
        self._last_progress = 0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, timeout: float) -> None:
        """Starts the timer, replacing a running one.

        :param timeout: maximum time without progress, in seconds
        """
        self.stop()
        self._timeout = timeout
        self.restart()

    def restart(self) -> None:
        """Starts the timer with the timeout of the last ``start``."""
        self._last_progress = self._read_progress()
        self._extended = False
        self._schedule(self._timeout)

    def stop(self) -> None:
        """Cancels the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + seconds
        self._handle = loop.call_at(self._due, self._on_timer)

    def _on_timer(self) -> None:
        overdue = asyncio.get_running_loop().time() - self._due
        if self._read_progress() != self._last_progress:
            self.restart()
        elif overdue > self._timeout * STALL_SHARE and not self._extended:
            self._extended = True
            self._schedule(self._timeout * STALL_SHARE)
        else:
            self._on_expired()
