"""Stops a node so that callers go elsewhere and calls under way can end."""

import asyncio
import contextlib
import logging
import signal

from papayalock.core.closing import Closing
from papayalock.node.hostagent import HostAgent
from papayalock.node.listener import HttpServer
from papayalock.node.outbound import OutboundProxy
from papayalock.ports import Clock

log = logging.getLogger(__name__)

LEAVE_S = 0.2  # longest wait until a control VM knows that the node ends
QUIET_STEP_S = 0.01


def stop_signal() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


class Shutdown:
    """The graceful stop of one node."""

    def __init__(
        self,
        agent: HostAgent,
        outbound: OutboundProxy,
        callers: HttpServer,
        hop_server: HttpServer,
        closing: Closing,
        clock: Clock,
    ) -> None:
        """Binds the parts.

        :param callers: takes the calls of this VM
        :param hop_server: takes the calls that other nodes send
        """
        self._agent = agent
        self._outbound = outbound
        self._callers = callers
        self._hop_server = hop_server
        self._closing = closing
        self._clock = clock

    async def run(
        self,
        grace_s: float,
        listeners: list[asyncio.Server],
        tasks: list['asyncio.Task[None]'],
    ) -> bool:
        """Stops the node; returns whether every call had ended.

        :param grace_s: time in which the process has to end
        :param tasks: what the node does beside its calls
        """
        log.info('node stops')
        now = self._clock.monotonic()
        self._closing.begin(now, grace_s)
        self._agent.stopping = True
        self._callers.stopping = True
        self._agent.poke()
        await asyncio.sleep(self._closing.told_at - now)
        clean = await self._quiet()
        self._closing.end(self._clock.monotonic())
        await self._leave(tasks)
        for listener in listeners:
            listener.close()
        await self._callers.stop(0)
        await self._hop_server.stop(0)
        log.info('node stopped', extra={'clean': clean})
        return clean

    async def _quiet(self) -> bool:
        """Waits for a moment without calls; returns whether it came in time."""
        while self._clock.monotonic() < self._closing.ends_at:
            busy = self._callers.busy or self._hop_server.busy
            if not busy and not self._outbound.busy:
                return True
            await asyncio.sleep(QUIET_STEP_S)
        return False

    async def _leave(self, tasks: list['asyncio.Task[None]']) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S):
                await self._agent.leave()
