"""Links on loopback that can be cut silently, one way, closed or delayed.

A cut link keeps its connections open and passes nothing on, as when something
between two ends has lost track of them; what was sent meanwhile is lost.
"""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

PIECE_BYTES = 65536


class Link:
    """One listening address that passes bytes on to another."""

    def __init__(self, target: str) -> None:
        """Keeps the target; :class:`Links` opens the listener."""
        self.target = target
        self.address = ''
        self.cut = False
        self.refuse_connections = False
        self.drop_responses = False
        self.delay_s = 0.0
        self.blackholed: set[asyncio.StreamWriter] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    def blackhole_connections(self) -> None:
        """Makes all open connections silent for good; new ones work."""
        self.blackholed |= self.writers

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes one connection on until either end closes it."""
        if self.refuse_connections:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._pass(reader, far_writer),
                self._pass(far_reader, writer, answer=True),
            )
        except asyncio.CancelledError:
            return
        finally:
            self.writers -= pair
            self.blackholed -= pair
            for one in pair:
                one.transport.abort()

    def reset(self) -> None:
        """Closes all open connections; new ones work."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answer: bool = False,
    ) -> None:
        while True:
            try:
                piece = await reader.read(PIECE_BYTES)
            except OSError:
                piece = b''
            if not piece:
                writer.transport.abort()
                return
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if (
                self.cut
                or writer in self.blackholed
                or answer
                and self.drop_responses
            ):
                continue
            writer.write(piece)


class Links:
    """All links of a run, served by one thread."""

    def __init__(self) -> None:
        """Starts the thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._links: dict[tuple[str, str], Link] = {}

    def add(self, source: str, target: str, address: str) -> Link:
        """Opens a link that a source uses to reach a target.

        :param address: where the target really listens
        """
        link = Link(address)
        self._run(self._listen(link))
        self._links[source, target] = link
        return link

    def between(self, one: str, other: str) -> list[Link]:
        """Returns the links in both directions."""
        found = (self._links.get((one, other)), self._links.get((other, one)))
        return [link for link in found if link is not None]

    def link_to(self, name: str) -> Link:
        """Returns the link by which all others reach a process."""
        return self._links['', name]

    def reset(self, name: str) -> None:
        """Closes all open connections to a process."""
        self._loop.call_soon_threadsafe(self.link_to(name).reset)

    def isolate(self, name: str, *, cut: bool = True) -> None:
        """Cuts, or mends, every link from and to a process."""
        for (source, target), link in self._links.items():
            if name in {source, target}:
                link.cut = cut

    def blackhole_connections(self, name: str) -> None:
        """Makes the open connections to a process silent for good."""
        for (_, target), link in self._links.items():
            if target == name:
                self._loop.call_soon_threadsafe(link.blackhole_connections)

    def restore(self) -> None:
        """Mends every link."""
        for link in self._links.values():
            link.cut = False
            link.refuse_connections = False

    def close(self) -> None:
        """Stops the thread."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _stop(self) -> None:
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    async def _listen(self, link: Link) -> None:
        server = await asyncio.start_server(link.accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        link.address = f'{host}:{port}'

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(5)
