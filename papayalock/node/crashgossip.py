"""Spreads crash reports between nodes, without control VMs.

A node that learns of the end of a server tells a few others, which pass it on
if it is new to them too. While there are reports, each node compares a digest
with random others, so that clearances spread, and a node that was cut off or
has just started catches up.
"""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

import msgspec

from papayalock.core.directory import Directory
from papayalock.httpclient import Request, TransportError
from papayalock.messages import CrashExchange, CrashReport
from papayalock.node.crashreports import EXCHANGE_HEADER, CrashReports
from papayalock.node.http import Call, Reply
from papayalock.pool import Pool
from papayalock.ports import Clock, Random
from papayalock.result import Code

log = logging.getLogger(__name__)

FANOUT = 4  # nodes that new evidence is sent to
MIN_SEND_INTERVAL_S = 0.05
COMPARED_NODES = 2  # in each interval
COMPARE_INTERVAL_S = 1.0
START_COMPARISONS = 5  # of a node that knows nothing yet
MAX_REPORTS = 32  # in one message
SEND_TIMEOUT_MS = 300
MAX_RESPONSE_BYTES = 65536
OK = 200
_EXCHANGE = msgspec.json.Decoder(CrashExchange)


class CrashGossip:
    """Exchanges crash reports with other nodes."""

    def __init__(
        self,
        reports: CrashReports,
        directory: Directory,
        pool: Pool,
        own_address: str,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Binds the parts.

        :param directory: knows the addresses of the other nodes
        """
        self._reports = reports
        self._directory = directory
        self._pool = pool
        self._own_address = own_address
        self._clock = clock
        self._rng = rng
        self._changed: dict[str, None] = {}
        self._wake_requested = asyncio.Event()
        self._comparisons_left = START_COMPARISONS
        self._tasks: set[asyncio.Task[None]] = set()
        reports.on_evidence.append(self._on_evidence)

    async def run(self) -> None:
        """Exchanges reports until cancelled."""
        while True:
            try:
                async with asyncio.timeout(COMPARE_INTERVAL_S):
                    await self._wake_requested.wait()
            except TimeoutError:
                self._compare()
            else:
                self._send_changes()
                await asyncio.sleep(MIN_SEND_INTERVAL_S)

    async def handle(self, call: Call, reply: Reply) -> None:
        """Answers another node with the reports that it may lack."""
        try:
            exchange = _EXCHANGE.decode(call.body)
        except msgspec.MsgspecError as exc:
            reply.refuse(Code.BAD_MESSAGE, str(exc))
            return
        self._reports.merge(exchange.reports)
        own = self._message()
        if own.digest != exchange.digest:
            own.reports = self._newest()
        headers = [(b'content-type', b'application/json')]
        reply.send(OK, headers, msgspec.json.encode(own))

    def _on_evidence(self, requests: list[str]) -> None:
        self._changed.update(dict.fromkeys(requests))
        self._wake_requested.set()

    def _send_changes(self) -> None:
        now = self._clock.monotonic()
        known = [
            self._reports.ledger.report(request, now)
            for request in self._changed
        ]
        self._changed.clear()
        self._wake_requested.clear()
        changes = [report for report in known if report is not None]
        for address in self._choose_nodes(FANOUT):
            self._start(self._push(address, changes[:MAX_REPORTS]))

    def _compare(self) -> None:
        self._reports.ledger.drop_expired(self._clock.monotonic())
        if not len(self._reports.ledger) and not self._comparisons_left:
            return
        nodes = self._choose_nodes(COMPARED_NODES)
        if nodes and self._comparisons_left:
            self._comparisons_left -= 1
        for address in nodes:
            self._start(self._compare_with(address))

    def _choose_nodes(self, most: int) -> list[str]:
        """Returns the addresses of random other nodes."""
        addresses = sorted(
            {
                server.endpoint.address
                for server in self._directory.servers.values()
            }
            - {self._own_address}
        )
        chosen: list[str] = []
        while addresses and len(chosen) < most:
            chosen.append(addresses.pop(self._rng.randrange(len(addresses))))
        return chosen

    def _start(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _compare_with(self, address: str) -> None:
        """Takes what another node knows, and sends it what it lacks."""
        answer = await self._exchange(address, self._message())
        if answer is None:
            return
        self._reports.merge(answer.reports)
        if answer.digest != self._reports.ledger.digest():
            await self._push(address, self._newest())

    async def _push(self, address: str, changes: list[CrashReport]) -> None:
        message = self._message()
        message.reports = changes
        answer = await self._exchange(address, message)
        if answer is not None:
            self._reports.merge(answer.reports)

    async def _exchange(
        self, address: str, message: CrashExchange
    ) -> CrashExchange | None:
        headers = [(b'host', address.encode()), (EXCHANGE_HEADER, b'1')]
        body = msgspec.json.encode(message)
        req = Request(b'POST', b'/crashes', headers, body)
        try:
            _, answer = await self._pool.exchange(
                address, req, SEND_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
            return _EXCHANGE.decode(answer)
        except (TransportError, msgspec.MsgspecError) as exc:
            log.debug(
                'crash reports not exchanged',
                extra={'address': address, 'reason': str(exc)},
            )
            return None

    def _message(self) -> CrashExchange:
        return CrashExchange(digest=self._reports.ledger.digest())

    def _newest(self) -> list[CrashReport]:
        now = self._clock.monotonic()
        return self._reports.ledger.newest_reports(MAX_REPORTS, now)
