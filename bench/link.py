"""TCP proxies on loopback that inject network faults.

A link can drop bytes in both directions or of responses only, delay them,
refuse connections or reset them. A cut link keeps its connections open and
drops all bytes, as when a middlebox between both ends has lost its connection
state; bytes sent meanwhile stay lost after the cut ends.
"""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

READ_BYTES = 65536


class Link:
    """A proxy that forwards connections from a listening address to a target.

    The attributes ``cut``, ``refuse_connections``, ``drop_responses`` and
    ``delay_s`` inject faults and may change at any time.
    """

    def __init__(self, target: str) -> None:
        """Creates a link without faults; :class:`Links` opens the listener."""
        self.target = target
        self.address = ''
        self.cut = False
        self.refuse_connections = False
        self.drop_responses = False
        self.delay_s = 0.0
        self.blackholed: set[asyncio.StreamWriter] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    def blackhole_connections(self) -> None:
        """Drops all later bytes of the open connections; new ones work."""
        self.blackholed |= self.writers

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until either end closes it."""
        if self.refuse_connections:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, target_writer),
                self._forward(target_reader, writer, is_response=True),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.writers -= pair
            self.blackholed -= pair
            for end in pair:
                end.transport.abort()

    def reset(self) -> None:
        """Resets all open connections; new ones work."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool = False,
    ) -> None:
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                data = b''
            if not data:
                writer.transport.abort()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if (
                self.cut
                or writer in self.blackholed
                or is_response
                and self.drop_responses
            ):
                continue
            writer.write(data)


class Links:
    """All links of a run, served by an event loop in a thread of its own."""

    def __init__(self) -> None:
        """Starts the thread and its event loop."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._links: dict[tuple[str, str], Link] = {}

    def add(self, source: str, target: str, address: str) -> Link:
        """Opens a link through which a source reaches a target.

        :param address: address that the target itself listens on
        """
        link = Link(address)
        self._run(self._listen(link))
        self._links[source, target] = link
        return link

    def between(self, first: str, second: str) -> list[Link]:
        """Returns the links between two processes, in both directions."""
        found = (
            self._links.get((first, second)),
            self._links.get((second, first)),
        )
        return [link for link in found if link is not None]

    def link_to(self, name: str) -> Link:
        """Returns the link through which every source reaches a process."""
        return self._links['', name]

    def reset(self, name: str) -> None:
        """Resets all open connections to a process."""
        self._loop.call_soon_threadsafe(self.link_to(name).reset)

    def isolate(self, name: str, *, cut: bool = True) -> None:
        """Cuts every link from and to a process.

        :param cut: False ends the cut
        """
        for (source, target), link in self._links.items():
            if name in {source, target}:
                link.cut = cut

    def blackhole_connections(self, name: str) -> None:
        """Drops all later bytes of the open connections to a process."""
        for (_, target), link in self._links.items():
            if target == name:
                self._loop.call_soon_threadsafe(link.blackhole_connections)

    def restore(self) -> None:
        """Ends every cut, and lets links accept connections again."""
        for link in self._links.values():
            link.cut = False
            link.refuse_connections = False

    def close(self) -> None:
        """Closes every link and stops the thread."""
        asyncio.run_coroutine_threadsafe(
            self._cancel_tasks(), self._loop
        ).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _cancel_tasks(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _listen(self, link: Link) -> None:
        server = await asyncio.start_server(link.accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        link.address = f'{host}:{port}'

    def _run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)
