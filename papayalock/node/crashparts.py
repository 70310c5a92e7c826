"""Builds the parts of a node that deal with requests that crash servers."""

import functools

from papayalock.core.directory import Directory
from papayalock.node.crashadmin import CrashAdmin
from papayalock.node.crashgossip import CrashGossip
from papayalock.node.crashreports import EXCHANGE_HEADER, CrashReports
from papayalock.node.http import Call, Reply
from papayalock.node.listener import Handler
from papayalock.pool import Pool
from papayalock.ports import Clock, Random


class CrashParts:
    """The crash reports of a node, their exchange and their admin API."""

    __slots__ = ('_clock', 'gossip', 'reports')

    def __init__(
        self,
        directory: Directory,
        pool: Pool,
        own_address: str,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Starts without reports.

        :param directory: knows the addresses of the other nodes
        :param pool: connects to them
        """
        self.reports = CrashReports(clock)
        self.gossip = CrashGossip(
            self.reports, directory, pool, own_address, clock, rng
        )
        self._clock = clock

    def exchange_or(self, handler: Handler) -> Handler:
        """Returns a handler that answers the exchanges of other nodes.

        :param handler: gets all other calls
        """
        return functools.partial(self._handle_hop, handler)

    def admin_or(self, handler: Handler) -> Handler:
        """Returns a handler with the admin API; others go to ``handler``."""
        return CrashAdmin(self.reports, self._clock, handler).handle

    async def _handle_hop(
        self, handler: Handler, call: Call, reply: Reply
    ) -> None:
        if call.header(EXCHANGE_HEADER):
            await self.gossip.handle(call, reply)
        else:
            await handler(call, reply)
