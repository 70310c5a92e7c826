"""Stops a node gracefully.

Callers have time to move to other nodes, and running calls time to end.
"""

import asyncio
import contextlib
import logging

from papayalock.core.shutdowntimes import ShutdownTimes
from papayalock.node.hostagent import HostAgent
from papayalock.node.listener import HttpServer
from papayalock.node.outbound import OutboundProxy
from papayalock.ports import Clock
from papayalock.stopsignals import install_stop_signals

log = logging.getLogger(__name__)

DEPARTURE_REPORT_TIMEOUT_S = 0.2
IDLE_CHECK_INTERVAL_S = 0.01
LAST_REPLIES_S = 0.1  # for the replies to calls that came just before the end


class Shutdown:
    """Drains a node, then closes it within a grace time."""

    def __init__(
        self,
        agent: HostAgent,
        outbound: OutboundProxy,
        caller_server: HttpServer,
        hop_server: HttpServer,
        shutdown_times: ShutdownTimes,
        clock: Clock,
    ) -> None:
        """Binds the parts.

        :param caller_server: server for the callers on this VM
        :param hop_server: server for the hops from other nodes
        """
        self._agent = agent
        self._outbound = outbound
        self._caller_server = caller_server
        self._hop_server = hop_server
        self._shutdown_times = shutdown_times
        self._clock = clock

    def install_signals(self) -> asyncio.Event:
        """Handles the signals to stop; returns an event that they set."""
        return install_stop_signals()

    async def run(
        self,
        grace_s: float,
        listeners: list[asyncio.Server],
        tasks: list['asyncio.Task[None]'],
    ) -> bool:
        """Stops the node.

        :param grace_s: time in which the process has to end
        :param tasks: background tasks of the node, which are cancelled
        :returns: whether every call had ended
        """
        log.info('node stops')
        now = self._clock.monotonic()
        self._shutdown_times.begin(now, grace_s)
        self._agent.stopping = True
        self._caller_server.stopping = True
        self._agent.wake()
        await asyncio.sleep(self._shutdown_times.notified_at - now)
        clean = await self._wait_until_idle()
        self._shutdown_times.end(self._clock.monotonic())
        self._caller_server.end_calls()
        self._hop_server.end_calls()
        await self._stop_tasks(tasks)
        for listener in listeners:
            listener.close()
        await asyncio.gather(
            self._caller_server.stop(LAST_REPLIES_S),
            self._hop_server.stop(LAST_REPLIES_S),
        )
        log.info('node stopped', extra={'clean': clean})
        return clean

    async def _wait_until_idle(self) -> bool:
        """Waits until no call runs; returns False when the time is up first."""
        while self._clock.monotonic() < self._shutdown_times.ends_at:
            busy = self._caller_server.busy or self._hop_server.busy
            if not busy and not self._outbound.busy:
                return True
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        return False

    async def _stop_tasks(self, tasks: list['asyncio.Task[None]']) -> None:
        """Cancels the tasks and reports the departure to a control VM."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEPARTURE_REPORT_TIMEOUT_S):
                await asyncio.gather(
                    self._agent.report_departure(),
                    self._outbound.quotas.leave(),
                )
