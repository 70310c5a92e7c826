"""An operator that publishes route sets, valid or not, and reads them.

Some are published two at a time from the same base, as by two operators.
"""

import asyncio
import random
import time

import httpx
import msgspec

from bench.soak.callers import DEADLINES_MS, HOST
from bench.soak.customers import make_customers
from bench.soak.history import Publication, RouteRead
from papayalock.messages import HostRoute, RouteSet, ServicePolicy, Share
from papayalock.native import NativeOperator

ROUTES_PATH = NativeOperator.path
REQUEST_TIMEOUT_S = 4.0
MAX_TRIES = 6
MAX_PAUSE_S = 1.2  # between two changes
RETRY_DELAY_S = 0.3
RACE_SHARE = 0.25
INVALID_SHARE = 0.15
LARGE_SET_SHARE = 0.1
LARGE_SET_ROUTES = 600  # their command is prepared in a thread
TIMEOUT_MS = 1000  # of a route that callers do not use
TIMEOUTS = 500  # different ones; each large set changes all
FIRST_ACCEPT_S = 30.0  # for all processes to start on a busy machine
FIRST_RETRY_S = 0.1
OK = 200
FINAL_STATUSES = frozenset((400, 409))


def make_route_set(
    label: int, base: int, *, valid: bool, extra: int
) -> RouteSet:
    """Returns the route set of a label.

    Its mark route, ``/mark/LABEL/``, is in no other set, so a response to a
    call to it shows which version the node applies.
    """
    routes = [
        _make_route('look', '/look/', 'desk', 1),
        _make_route('pay', '/pay/', 'desk', 0),
        _make_route('history', '/history/', 'ledger', 2),
        _make_route('status', '/status/', 'ledger', 1),
        _make_route('mark', f'/mark/{label}/', 'ledger', 2),
    ]
    timeout_ms = TIMEOUT_MS + label % TIMEOUTS
    routes.extend(
        _make_route(
            f'more-{number}', f'/more/{number}/', 'ledger', 2, timeout_ms
        )
        for number in range(extra)
    )
    if not valid:
        routes.append(_make_route('wrong', '/wrong/', 'nowhere', 2))
    services = [
        ServicePolicy(service=name, health_path='/health', connections=64)
        for name in ('desk', 'ledger')
    ]
    return RouteSet(
        label=label,
        base=base,
        routes=routes,
        services=services,
        customers=make_customers(),
    )


def _make_route(
    name: str,
    prefix: str,
    service: str,
    rank: int,
    timeout_ms: int = TIMEOUT_MS,
) -> HostRoute:
    return HostRoute(
        name=name,
        host=HOST,
        prefix=prefix,
        repeatable=name != 'pay',
        public=name == 'status',
        timeout_ms=DEADLINES_MS.get(name, timeout_ms),
        target_ms=500,
        rank=rank,
        tries=2,
        shares=[Share(service=service, weight=1)],
    )


class Operator:
    """Publishes and reads route sets in a loop and records the outcomes."""

    def __init__(
        self,
        addresses: list[str],
        seed: int,
        labels: list[int],
        *,
        min_extra_routes: int = 0,
    ) -> None:
        """Prepares the operator; nothing is published yet.

        :param labels: list to which the label of each publication is added
        :param min_extra_routes: least number of routes in each set beyond
            those that callers use
        """
        self.publications: list[Publication] = []
        self.readings: list[RouteRead] = []
        self._addresses = addresses
        self._rng = random.Random(f'{seed} operator')
        self.labels = labels
        self._min_extra_routes = min_extra_routes
        self._base_label = 0
        self._newest_label = 0

    async def publish_first(self) -> None:
        """Publishes the first route set, retrying until it is accepted.

        :raises TimeoutError: if no control VM accepts it in FIRST_ACCEPT_S
        """
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False, verify=False
        ) as http:
            publication = self._new_publication(valid=True)
            give_up_at = time.monotonic() + FIRST_ACCEPT_S
            while time.monotonic() < give_up_at:
                await self._publish(http, publication, self._min_extra_routes)
                if publication.acked is not None:
                    self._base_label = publication.label
                    return
                publication.refused = False
                await asyncio.sleep(FIRST_RETRY_S)
        raise TimeoutError('no control VM accepted the first route set')

    async def run(self, stop: asyncio.Event) -> None:
        """Publishes and reads in turn until stopped."""
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False, verify=False
        ) as http:
            while not stop.is_set():
                await self._publish_change(http)
                await self.read(http)
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def read(self, http: httpx.AsyncClient) -> int:
        """Reads the routes at a random control VM.

        Returns their label, or 0 if the read failed.
        """
        sent = time.monotonic()
        address = self._rng.choice(self._addresses)
        try:
            response = await http.get(f'http://{address}{ROUTES_PATH}')
        except httpx.TransportError:
            return 0
        if response.status_code != OK:
            return 0
        label = msgspec.json.decode(response.content, type=RouteSet).label
        self.readings.append(RouteRead(label, sent))
        self._base_label = max(self._base_label, label)
        return label

    async def read_back(self, timeout_s: float) -> int:
        """Reads until a control VM responds; returns 0 after the timeout."""
        deadline = time.monotonic() + timeout_s
        async with httpx.AsyncClient(
            timeout=REQUEST_TIMEOUT_S, trust_env=False, verify=False
        ) as http:
            while time.monotonic() < deadline:
                label = await self.read(http)
                if label:
                    return label
                await asyncio.sleep(RETRY_DELAY_S)
        return 0

    async def _publish_change(self, http: httpx.AsyncClient) -> None:
        publications = [
            self._new_publication(valid=self._rng.random() >= INVALID_SHARE)
        ]
        if self._rng.random() < RACE_SHARE:
            publications.append(self._new_publication(valid=True))
        extra = self._min_extra_routes
        if self._rng.random() < LARGE_SET_SHARE:
            extra += LARGE_SET_ROUTES
        await asyncio.gather(
            *(
                self._publish(http, publication, extra)
                for publication in publications
            )
        )
        acked = [
            publication.label
            for publication in publications
            if publication.acked is not None
        ]
        self._base_label = max((self._base_label, *acked))

    def _new_publication(self, *, valid: bool) -> Publication:
        self._newest_label = max(self._newest_label, self._base_label) + 1
        publication = Publication(
            self._newest_label, self._base_label, valid, time.monotonic()
        )
        self.publications.append(publication)
        self.labels.append(publication.label)
        return publication

    async def _publish(
        self, http: httpx.AsyncClient, publication: Publication, extra: int
    ) -> None:
        """Sends a set until it is accepted or refused, or MAX_TRIES times.

        A refusal after a try of unknown outcome proves nothing, since that try
        may have been accepted.
        """
        routes = make_route_set(
            publication.label,
            publication.base,
            valid=publication.valid,
            extra=extra,
        )
        content = msgspec.json.encode(routes)
        outcome_unknown = False
        for _ in range(MAX_TRIES):
            address = self._rng.choice(self._addresses)
            try:
                response = await http.put(
                    f'http://{address}{ROUTES_PATH}', content=content
                )
            except httpx.TransportError:
                outcome_unknown = True
                continue
            if response.status_code == OK:
                publication.acked = time.monotonic()
                return
            if response.status_code in FINAL_STATUSES:
                publication.refused = not outcome_unknown
                return
            outcome_unknown = True
            await asyncio.sleep(RETRY_DELAY_S)
