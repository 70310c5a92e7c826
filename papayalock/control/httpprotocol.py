"""uvicorn's server and HTTP protocol, with limits on the head of a request."""

import asyncio
import contextlib
import logging
from collections.abc import Iterator
from typing import Any

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from papayalock.core.framing import FramingLimit
from papayalock.result import Code

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 65536
HEAD_TIMEOUT_S = 10.0


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves the signals to its owner."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


class LimitedHttpProtocol(HttpToolsProtocol):
    """Closes a connection whose request has a head without end.

    uvicorn limits neither the size of a head nor the time that it takes.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Accepts the arguments of uvicorn's protocol."""
        super().__init__(*args, **kwargs)
        self._framing = FramingLimit(MAX_HEAD_BYTES)
        self._receiving = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer of an unfinished head."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, and counts bytes of a request begun earlier."""
        framing = self._framing if self._receiving else None
        super().data_received(data)
        if framing is None or framing is not self._framing:
            return
        framing.record_received(len(data))
        if self._receiving and framing.exceeded:
            self._abort('head or trailers are too large')

    def on_message_begin(self) -> None:
        """Starts the limits of a request."""
        super().on_message_begin()
        self._receiving = True
        self._framing = FramingLimit(MAX_HEAD_BYTES)
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_S, self._abort, 'the head took too long'
        )

    def on_headers_complete(self) -> None:
        """Ends the time limit of the head."""
        self._stop_head_timer()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Counts a piece of the body."""
        self._framing.record_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the limits of a request."""
        self._receiving = False
        super().on_message_complete()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _abort(self, reason: str) -> None:
        log.warning(
            'connection of an oversized request closed',
            extra={
                'code': Code.MESSAGE_TOO_LARGE,
                'reason': reason,
                'peer': str(self.client),
            },
        )
        self.transport.abort()
