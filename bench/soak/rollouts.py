"""Rolls a new version of a service out during a run, and checks who got it.

The new version is bad in every second run. Its server starts once the versions
of the service have been recorded, and before the order, so that it is ready
and must still get no calls.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

import httpx
import msgspec

from papayalock.messages import OrderRollout, RolloutRes

SERVICE = 'desk'
NEW_SERVER = 'desk-9'
OLD_VERSION = 'v1'
NEW_VERSION = 'v2'
DURATION_MS = 12_000
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50  # calls
BAD_SHARE = 0.5  # of the calls of a bad version
READY_S = 3.0  # from the start of the new server to the order
RETRY_DELAY_S = 0.3
REQUEST_TIMEOUT_S = 4.0


@dataclass(slots=True)
class RolloutRecord:
    """What the operator of a roll-out saw; times in monotonic seconds."""

    is_bad: bool
    ordered: float = float('inf')
    acked: float | None = None
    ended: float | None = None  # when a read first showed the end
    state: str = ''
    final_target: str = ''  # of the roll-out that the last read showed
    readings: list[str] = field(default_factory=list)


class RolloutOperator:
    """Orders one roll-out and follows it."""

    def __init__(self, addresses: list[str], seed: int) -> None:
        """Draws whether the new version is bad."""
        self._addresses = addresses
        self._rng = random.Random(f'{seed} roll-out')
        self.record = RolloutRecord(is_bad=self._rng.random() < BAD_SHARE)
        self.versions_recorded = asyncio.Event()
        self.new_server_started = asyncio.Event()

    async def run(self, stop: asyncio.Event) -> None:
        """Orders and follows the roll-out until stopped."""
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False, verify=False
        ) as http:
            while not stop.is_set():
                await asyncio.sleep(RETRY_DELAY_S)
                await self._act(http)

    async def read_back(self) -> None:
        """Reads the roll-out once more, at the end of the run."""
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False, verify=False
        ) as http:
            for _ in range(20):
                res = await self._read(http)
                if res is not None and res.rollout is not None:
                    self.record.final_target = res.rollout.target
                    return
                await asyncio.sleep(RETRY_DELAY_S)

    async def _act(self, http: httpx.AsyncClient) -> None:
        """Takes the next action that is due."""
        record = self.record
        if not self.versions_recorded.is_set():
            res = await self._read(http)
            if res is not None and res.accepted:
                self.versions_recorded.set()
        elif not self.new_server_started.is_set():
            return
        elif record.acked is None:
            await self._order(http)
        elif record.ended is None:
            await self._follow(http)

    async def _order(self, http: httpx.AsyncClient) -> None:
        order = OrderRollout(
            kind='rollout',
            service=SERVICE,
            target=NEW_VERSION,
            duration_ms=DURATION_MS,
        )
        self.record.ordered = min(self.record.ordered, time.monotonic())
        res = await self._send(http, 'POST', '/v1/rollout-order', order)
        if res is not None and not res.code:
            self.record.acked = time.monotonic()

    async def _follow(self, http: httpx.AsyncClient) -> None:
        res = await self._read(http)
        if res is None or res.rollout is None:
            return
        self.record.state = res.rollout.state
        self.record.readings.append(res.rollout.state)
        if res.rollout.state != 'running':
            self.record.ended = time.monotonic()

    async def _read(self, http: httpx.AsyncClient) -> RolloutRes | None:
        path = f'/v1/rollout-status?service={SERVICE}'
        return await self._send(http, 'GET', path, None)

    async def _send(
        self,
        http: httpx.AsyncClient,
        method: str,
        path: str,
        message: OrderRollout | None,
    ) -> RolloutRes | None:
        """Returns the response of a random control VM, or None."""
        url = f'http://{self._rng.choice(self._addresses)}{path}'
        content = None if message is None else msgspec.json.encode(message)
        try:
            response = await http.request(method, url, content=content)
            return msgspec.json.decode(response.content, type=RolloutRes)
        except (httpx.TransportError, msgspec.MsgspecError):
            return None
