"""Asks the owner of the quotas for the tokens that calls of this node need."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec

from papayalock.core.controlselector import ControlSelector
from papayalock.core.quotashare import NodeShare
from papayalock.httpclient import TransportError
from papayalock.messages import Customer, QuotaReq, QuotaRes
from papayalock.node.outcome import NoResponse, Outcome
from papayalock.node.quotawaiters import NO_TOKEN, QuotaWaiters, settle
from papayalock.pool import Pool, json_request
from papayalock.ports import Clock
from papayalock.reachability import ReachabilityLog
from papayalock.result import Code
from papayalock.settings import Settings

log = logging.getLogger(__name__)

MS_PER_S = 1000
ASK_TIMEOUT_S = 0.25  # after which a request to the owner has failed
RETRY_S = 0.05  # after a failed request
MAX_RESPONSE_BYTES = 65_536
MAX_WAIT_S = 60.0  # that a refused caller is told to wait
OWNER_RETURN_S = 0.4  # in which a lost owner may be back, or another grant
OWN_SHARE = -1  # in place of the term of an owner that granted a token
_QUOTA_RES = msgspec.json.Decoder(QuotaRes)


class QuotaClient:
    """Gets a token for each call of a customer with a limit.

    Calls that arrive while a request is under way share the next one. Calls of
    a customer that has just got too few tokens are refused at once until more
    may be asked for.
    """

    def __init__(
        self,
        settings: Settings,
        selector: ControlSelector,
        pool: Pool,
        clock: Clock,
        boot_ms: int,
    ) -> None:
        """Starts out of contact.

        :param selector: knows the control VMs
        :param boot_ms: start of this process
        """
        self.enabled = bool(settings.quotas.port)
        self.refused = 0  # calls beyond a quota
        self._port = settings.quotas.port
        self._renew_s = settings.quotas.renew_ms / MS_PER_S
        self._address = settings.advertise or settings.listen
        self._selector = selector
        self._pool = pool
        self._clock = clock
        self._boot_ms = boot_ms
        self.share = NodeShare(settings.quotas.contact_ms / MS_PER_S)
        self._waiters = QuotaWaiters()
        self._returned: Counter[str] = Counter()
        self._refuse_until: dict[str, float] = {}
        self._sequence = 0
        self._answered = 0
        self._term = 0
        self._owner = ''
        self._tries = 0
        self._reachability = ReachabilityLog(log, 'quota owner')

    async def run_call(
        self, customer: Customer | None, run: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Runs a call within the quota of its customer.

        The token of a call that was not run goes back to the owner.

        :param run: runs the call
        :returns: its outcome, or why it was refused
        """
        if not self.enabled or customer is None or not customer.rate:
            return await run()
        term = await self._take_token(customer)
        if isinstance(term, NoResponse):
            return term
        outcome = await run()
        not_run = isinstance(outcome, NoResponse) and outcome.code.not_run
        if not_run and term == self._term:
            self._returned[customer.name] += 1
        return outcome

    async def run(self) -> None:
        """Keeps in contact with the owner, and asks for calls that wait."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._renew_s):
                    await self._waiters.arrived.wait()
            if not await self._exchange():
                await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Tells the owner that this node stops."""
        if not self.enabled:
            return
        await self._exchange(leaving=True)

    async def _take_token(self, customer: Customer) -> int | NoResponse:
        """Returns the term of the owner that granted a token.

        :returns: ``OWN_SHARE`` for a token of the node's own share, or why
            there is none
        """
        name = customer.name
        now = self._clock.monotonic()
        term: int | None = None
        if self.share.in_contact(now):
            term = await self._ask(name, now)
        if term == NO_TOKEN:
            return self._refuse(name)
        if term is not None:
            return term
        if self.share.take(customer, self._clock.monotonic()):
            return OWN_SHARE
        return NoResponse(
            Code.QUOTA_OWNER_LOST,
            'no quota left at this node',
            _in_ms(min(OWNER_RETURN_S, self.share.wait_s(customer))),
        )

    async def _ask(self, name: str, now: float) -> int | None:
        if now < self._refuse_until.get(name, now):
            return NO_TOKEN
        return await self._waiters.wait(name, self.share.remaining_s(now))

    def _refuse(self, name: str) -> NoResponse:
        self.refused += 1
        now = self._clock.monotonic()
        wait_s = self._refuse_until.get(name, now) - now
        return NoResponse(Code.OVER_QUOTA, 'over quota', _in_ms(wait_s))

    async def _exchange(self, *, leaving: bool = False) -> bool:
        """Makes one request; returns whether the owner answered it."""
        asked = self._waiters.take()
        req = self._request(
            {name: len(futs) for name, futs in asked.items()}, leaving=leaving
        )
        address = self._next_address()
        res = await self._post(address, req)
        if res is None or res.code != Code.DONE:
            self._waiters.restore(asked)
            self._owner = res.leader if res and res.leader != address else ''
            return False
        self._record_answer(address, req, res)
        settle(asked, res)
        return True

    async def _post(self, address: str, req: QuotaReq) -> QuotaRes | None:
        """Returns the response, or None if there is none in time."""
        body = msgspec.json.encode(req)
        http_req = json_request(b'POST', '/v1/quota', address, body)
        sent_at = self._clock.monotonic()
        try:
            _, answer = await self._pool.exchange(
                address,
                http_req,
                round(ASK_TIMEOUT_S * MS_PER_S),
                MAX_RESPONSE_BYTES,
            )
            res = _QUOTA_RES.decode(answer)
        except (TransportError, msgspec.MsgspecError) as exc:
            self._record_failure(address, exc)
            return None
        # The process may have been suspended meanwhile.
        late = self._clock.monotonic() - sent_at > 2 * ASK_TIMEOUT_S
        return None if late else res

    def _request(self, wants: dict[str, int], *, leaving: bool) -> QuotaReq:
        self._sequence += 1
        returned = dict(self._returned)
        self._returned.clear()  # a lost return only leaves tokens unused
        return QuotaReq(
            node=self._address,
            boot_ms=self._boot_ms,
            sequence=self._sequence,
            term=self._term,
            answered=self._answered,
            wants=wants,
            returned=returned,
            leaving=leaving,
        )

    def _record_answer(
        self, address: str, req: QuotaReq, res: QuotaRes
    ) -> None:
        now = self._clock.monotonic()
        self._reachability.mark_reachable('owner', now)
        if res.term != self._term:
            self._returned.clear()
        self._owner = address
        self._term = res.term
        self._answered = req.sequence
        self.share.record_response(res, now)
        for name, wait_ms in res.wait_ms.items():
            self._refuse_until[name] = now + wait_ms / MS_PER_S

    def _record_failure(self, address: str, exc: Exception) -> None:
        self._pool.close_idle(address)
        self._reachability.mark_unreachable(
            'owner',
            f'{address}: {type(exc).__name__}: {exc}',
            self._clock.monotonic(),
        )

    def _next_address(self) -> str:
        """Returns the owner, or else a control VM that may know it."""
        if self._owner:
            return self._owner
        known = self._selector.addresses
        self._tries += 1
        host = known[self._tries % len(known)].rpartition(':')[0]
        return f'{host}:{self._port}'


def _in_ms(seconds: float) -> int:
    return max(1, round(min(seconds, MAX_WAIT_S) * MS_PER_S))
