"""An operator who publishes, races with another one, errs and reads back."""

import asyncio
import random
import time

import httpx
import msgspec

from bench.soak.callers import DEADLINES_MS, HOST
from bench.soak.history import Publication, Reading
from papayalock.messages import HostRoute, RouteSet, ServicePolicy, Share
from papayalock.native import NativeOperator

PATH = NativeOperator.path
ACK_S = 4.0
TRIES = 6
PAUSE_S = 1.2  # longest pause between two changes
BETWEEN_TRIES_S = 0.3
RACE_SHARE = 0.25
INVALID_SHARE = 0.15
BIG_SHARE = 0.1
BIG_ROUTES = 150
FIRST_TRIES = 60
OK = 200
FINAL = frozenset((400, 409))


def route_set(label: int, base: int, *, valid: bool, extra: int) -> RouteSet:
    """Returns the routes of a label; only they have the mark of it."""
    routes = [
        _route('look', '/look/', 'desk', rank=1),
        _route('pay', '/pay/', 'desk', rank=0),
        _route('history', '/history/', 'ledger', rank=2),
        _route('status', '/status/', 'ledger', rank=1),
        _route('mark', f'/mark/{label}/', 'ledger', rank=2),
    ]
    routes.extend(
        _route(f'more-{number}', f'/more/{number}/', 'ledger', rank=2)
        for number in range(extra)
    )
    if not valid:
        routes.append(_route('wrong', '/wrong/', 'nowhere', rank=2))
    services = [
        ServicePolicy(service=name, health_path='/health', connections=64)
        for name in ('desk', 'ledger')
    ]
    return RouteSet(label=label, base=base, routes=routes, services=services)


def _route(name: str, prefix: str, service: str, *, rank: int) -> HostRoute:
    return HostRoute(
        name=name,
        host=HOST,
        prefix=prefix,
        repeatable=name != 'pay',
        timeout_ms=DEADLINES_MS.get(name, 1000),
        target_ms=500,
        rank=rank,
        tries=2,
        shares=[Share(service=service, weight=1)],
    )


class Operator:
    """Changes the routes again and again, and reads them."""

    def __init__(
        self,
        addresses: list[str],
        seed: int,
        labels: list[int],
        *,
        more: int = 0,
    ) -> None:
        """Starts without changes.

        :param labels: gets the labels sent
        :param more: fewest routes beyond those that callers use
        """
        self.publications: list[Publication] = []
        self.readings: list[Reading] = []
        self._addresses = addresses
        self._rng = random.Random(f'{seed} operator')
        self.labels = labels
        self._more = more
        self._base = 0
        self._newest = 0

    async def first(self) -> None:
        """Publishes the first set as soon as somebody takes it.

        :raises TimeoutError: when nobody does
        """
        async with httpx.AsyncClient(
            timeout=ACK_S, trust_env=False, verify=False
        ) as http:
            publication = self._draft(valid=True)
            for _ in range(FIRST_TRIES):
                await self._settle(http, publication, self._more)
                if publication.acked is not None:
                    self._base = publication.label
                    return
                publication.refused = False
        raise TimeoutError('nobody accepts the first routes')

    async def run(self, stop: asyncio.Event) -> None:
        """Changes and reads until stopped."""
        async with httpx.AsyncClient(
            timeout=ACK_S, trust_env=False, verify=False
        ) as http:
            while not stop.is_set():
                await self._change(http)
                await self.read(http)
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def read(self, http: httpx.AsyncClient) -> int:
        """Reads the routes at some control VM; returns their label or 0."""
        sent = time.monotonic()
        address = self._rng.choice(self._addresses)
        try:
            answer = await http.get(f'http://{address}{PATH}')
        except httpx.TransportError:
            return 0
        if answer.status_code != OK:
            return 0
        label = msgspec.json.decode(answer.content, type=RouteSet).label
        self.readings.append(Reading(label, sent))
        self._base = max(self._base, label)
        return label

    async def read_back(self, patience_s: float) -> int:
        """Reads until there is an answer; returns 0 when there is none."""
        deadline = time.monotonic() + patience_s
        async with httpx.AsyncClient(
            timeout=ACK_S, trust_env=False, verify=False
        ) as http:
            while time.monotonic() < deadline:
                label = await self.read(http)
                if label:
                    return label
                await asyncio.sleep(BETWEEN_TRIES_S)
        return 0

    async def _change(self, http: httpx.AsyncClient) -> None:
        drafts = [self._draft(valid=self._rng.random() >= INVALID_SHARE)]
        if self._rng.random() < RACE_SHARE:
            drafts.append(self._draft(valid=True))
        extra = self._more
        if self._rng.random() < BIG_SHARE:
            extra += BIG_ROUTES
        await asyncio.gather(
            *(self._settle(http, draft, extra) for draft in drafts)
        )
        acked = [one.label for one in drafts if one.acked is not None]
        self._base = max((self._base, *acked))

    def _draft(self, *, valid: bool) -> Publication:
        self._newest = max(self._newest, self._base) + 1
        draft = Publication(self._newest, self._base, valid, time.monotonic())
        self.publications.append(draft)
        self.labels.append(draft.label)
        return draft

    async def _settle(
        self, http: httpx.AsyncClient, draft: Publication, extra: int
    ) -> None:
        """Sends a set until it has a clear answer, or for some tries."""
        routes = route_set(
            draft.label, draft.base, valid=draft.valid, extra=extra
        )
        content = msgspec.json.encode(routes)
        unclear = False
        for _ in range(TRIES):
            address = self._rng.choice(self._addresses)
            try:
                answer = await http.put(
                    f'http://{address}{PATH}', content=content
                )
            except httpx.TransportError:
                unclear = True
                continue
            if answer.status_code == OK:
                draft.acked = time.monotonic()
                return
            if answer.status_code in FINAL:
                draft.refused = not unclear
                return
            unclear = True
            await asyncio.sleep(BETWEEN_TRIES_S)
