"""Keepalives: interim 102 responses to the node that forwarded a call.

A call may take long without any fault. While it runs, the node that received
it sends interim responses, so that the calling node can distinguish a slow
response from a lost connection.
"""

import asyncio

from papayalock.node.http import Reply

MS_PER_S = 1000


class KeepaliveSender:
    """Context manager that sends keepalives while its body runs."""

    __slots__ = ('_interval_s', '_reply', '_timer')

    def __init__(self, reply: Reply, alive_ms: int) -> None:
        """Prepares the keepalives of one call.

        :param alive_ms: interval between two keepalives
        """
        self._reply = reply
        self._interval_s = alive_ms / MS_PER_S
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> 'KeepaliveSender':
        """Starts the timer; a call shorter than the interval sends none."""
        self._start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stops the timer."""
        self.stop()

    def stop(self) -> None:
        """Sends no further keepalives."""
        if self._timer is not None:
            self._timer.cancel()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval_s, self._send)

    def _send(self) -> None:
        self._reply.send_keepalive()
        self._start()
