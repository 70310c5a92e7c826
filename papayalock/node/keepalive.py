"""Signs of life from a gate to the node that sent a call.

A call may take long without anything being wrong. While it runs, the gate
sends interim answers, so that the calling node can tell a slow answer from a
connection that went silent.
"""

import asyncio

from papayalock.node.http import Reply

MS_PER_S = 1000


class KeepaliveSender:
    """Sends interim answers while the body of its ``with`` statement runs."""

    __slots__ = ('_interval', '_reply', '_timer')

    def __init__(self, reply: Reply, alive_ms: int) -> None:
        """Keeps the reply.

        :param alive_ms: interval between two signs
        """
        self._reply = reply
        self._interval = alive_ms / MS_PER_S
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> 'KeepaliveSender':
        """Starts the timer; a call shorter than the interval costs no sign."""
        self._start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stops the signs."""
        self.stop()

    def stop(self) -> None:
        """Sends no further sign."""
        if self._timer is not None:
            self._timer.cancel()

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval, self._send)

    def _send(self) -> None:
        self._reply.send_keepalive()
        self._start()
