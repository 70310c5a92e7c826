"""Runs requests that may not be repeated: claimed first, and run at most once."""

import asyncio
import base64
from dataclasses import dataclass

from papayalock.core.routing import Balancer, Server
from papayalock.messages import (
    Answer,
    AttemptFate,
    Claim,
    ClaimRecord,
    ClaimRes,
    Finish,
)
from papayalock.node.claims import ClaimClient
from papayalock.node.dispatch import Dispatcher
from papayalock.node.http import OUTCOME_HEADER
from papayalock.node.trip import (
    KEY_HEADER,
    REPLAYED_HEADER,
    Attempt,
    Delivered,
    Failed,
    Trip,
    TryOutcome,
    new_attempt_name,
)
from papayalock.ports import Clock, Random
from papayalock.result import Code

MAX_KEY_BYTES = 255
RESOLVE_AFTER_MS = 300  # younger attempts may still be on their way
POLL_FIRST_S = 0.02
POLL_LIMIT_S = 0.3
RETRY_TELL_MS = 500
FINISH_TRIES = 3


@dataclass(slots=True, frozen=True)
class Place:
    """The gate that is to run an attempt; ``server`` is None for this node's own."""

    address: str
    incarnation: int
    server: Server | None


NOWHERE = Place('', 0, None)


class OnceRunner:
    """Carries out at-most-once requests."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        claims: ClaimClient,
        balancer: Balancer,
        clock: Clock,
        rng: Random,
        *,
        tries: int,
        listen: str,
        incarnation: int,
    ) -> None:
        """Binds the parts.

        :param tries: gates tried while the attempt is proven not to have run
        :param listen: address of this node's own gate
        """
        self.dispatcher = dispatcher
        self.claims = claims
        self.clock = clock
        self.tries = tries
        self._balancer = balancer
        self._rng = rng
        self._listen = listen
        self._incarnation = incarnation

    async def run(self, trip: Trip, *, prefer_own: bool) -> TryOutcome:
        """Runs a request once, or answers as the earlier tap was answered.

        :param prefer_own: whether this node's own gate has room for it
        """
        key = trip.call.header(KEY_HEADER)
        if not key or len(key) > MAX_KEY_BYTES:
            return Failed(
                Code.KEY_MISSING, 'an idempotency-key header is needed'
            )
        names = (trip.service, trip.route.operation, trip.caller)
        scoped = '/'.join((*names, key.decode('latin-1')))
        return await KeyedRun(self, trip, scoped, prefer_own=prefer_own).run()

    def place(
        self, trip: Trip, avoid: frozenset[str], *, prefer_own: bool
    ) -> Place:
        """Returns the gate to try next; ``NOWHERE`` when there is none."""
        own = Place(self._listen, self._incarnation, None)
        if prefer_own:
            return own
        now = self.clock.monotonic()
        server = self._balancer.choose(trip.part, now, avoid=avoid)
        if server is None:
            return NOWHERE
        endpoint = server.endpoint
        if endpoint.address == self._listen:
            return own
        return Place(endpoint.address, endpoint.incarnation, server)

    async def record(
        self, key: str, attempt: str, code: Code, answer: Answer | None
    ) -> None:
        """Records an outcome; if that fails, the gate's own record stands in."""
        command = Finish(
            kind='finish', key=key, attempt=attempt, code=code, answer=answer
        )
        for _ in range(FINISH_TRIES):
            if await self.claims.finish(command) is not None:
                return
            await asyncio.sleep(POLL_LIMIT_S * self._rng.random())


class KeyedRun:
    """One request on its way to being run once, or joined to an earlier run."""

    def __init__(
        self, runner: OnceRunner, trip: Trip, key: str, *, prefer_own: bool
    ) -> None:
        """Starts without an attempt."""
        self._runner = runner
        self._trip = trip
        self._key = key
        self._prefer_own = prefer_own
        self._avoid: frozenset[str] = frozenset()
        self._replaces = ''  # attempt that is proven not to have run
        self._pause_s = POLL_FIRST_S
        self._failed = Failed(Code.NO_SERVER, 'no backend server')
        self._joined = False

    async def run(self) -> TryOutcome:
        """Claims and runs until there is an outcome or time is up."""
        while self._trip.tries < self._runner.tries:
            if self._trip.deadline.passed(self._runner.clock.monotonic()):
                return self._overdue()
            outcome = await self._step()
            if outcome is not None:
                return outcome
        return self._failed

    async def _step(self) -> TryOutcome | None:
        place = self._runner.place(
            self._trip, self._avoid, prefer_own=self._prefer_own
        )
        attempt = Attempt(new_attempt_name(), place.incarnation)
        res = await self._claim(place, attempt)
        if res is None:
            return Failed(
                Code.NO_QUORUM, 'the key could not be claimed', RETRY_TELL_MS
            )
        if res.code == Code.DONE:
            return await self._attempt(place, attempt)
        if res.code == Code.KEY_HELD:
            return await self._join(res)
        if res.code == Code.NO_SERVER:
            return self._failed
        return Failed(Code(res.code), 'the key was used for another request')

    async def _claim(self, place: Place, attempt: Attempt) -> ClaimRes | None:
        command = Claim(
            kind='claim',
            key=self._key,
            attempt=attempt.name,
            gate=place.address,
            incarnation=place.incarnation,
            fingerprint=self._trip.fingerprint(),
            replaces=self._replaces,
        )
        return await self._runner.claims.claim(command)

    async def _attempt(
        self, place: Place, attempt: Attempt
    ) -> TryOutcome | None:
        """Runs a granted attempt; None when it did not run and may again."""
        trip = self._trip
        trip.tries += 1
        trip.attempt = attempt
        dispatcher = self._runner.dispatcher
        if place.server is None:
            outcome = await dispatcher.through_gate(trip)
        else:
            outcome = await dispatcher.to_server(trip, place.server)
            self._avoid = self._avoid | {place.server.endpoint.server}
        self._prefer_own = False
        code = _code_of(outcome)
        if code != Code.STALE_ATTEMPT:
            await self._runner.record(
                self._key, attempt.name, code, trip.recorded
            )
        if isinstance(outcome, Failed) and code.not_run:
            self._failed = outcome
            self._replaces = attempt.name
            return None
        return outcome

    async def _join(self, res: ClaimRes) -> TryOutcome | None:
        """Answers from another attempt's record; None while that is open."""
        self._joined = True
        record = res.record
        if record is None:
            return Failed(Code.NO_QUORUM, 'the claim has no record')
        if record.code == Code.DONE:
            return self._replay(record.answer)
        if res.age_ms >= RESOLVE_AFTER_MS:
            return await self._ask_gate(record, res.age_ms)
        await self._pause()
        return None

    async def _ask_gate(
        self, record: ClaimRecord, age_ms: int
    ) -> TryOutcome | None:
        """Settles an open attempt by what its gate knows; None while it runs."""
        fate = await self._fate(record, age_ms)
        code = Code(fate.code)
        if code == Code.DONE:
            await self._runner.record(
                self._key, record.attempt, code, fate.answer
            )
            return self._replay(fate.answer)
        if code.not_run:
            self._replaces = record.attempt
            return None
        if code in {Code.STILL_RUNNING, Code.UNKNOWN_TIMEOUT}:
            await self._pause()
            return None
        return Failed(
            Code.UNKNOWN_ATTEMPT,
            'an earlier request with this key may have run',
            RETRY_TELL_MS,
        )

    async def _fate(self, record: ClaimRecord, age_ms: int) -> AttemptFate:
        try:
            async with asyncio.timeout(self._left_s()):
                return await self._runner.claims.query_gate(record, age_ms)
        except TimeoutError:
            return AttemptFate(code=Code.UNKNOWN_TIMEOUT)

    def _replay(self, answer: Answer | None) -> TryOutcome:
        if answer is None:
            return Failed(
                Code.ANSWER_NOT_KEPT,
                'the request ran; its answer was not kept',
            )
        headers = [
            (name.encode('latin-1'), content.encode('latin-1'))
            for name, content in answer.headers
        ]
        headers.extend(((OUTCOME_HEADER, b'0 DONE'), (REPLAYED_HEADER, b'1')))
        body = base64.b64decode(answer.body)
        self._trip.reply.whole(answer.status, headers, body)
        return Delivered()

    async def _pause(self) -> None:
        await asyncio.sleep(min(self._pause_s, self._left_s()))
        self._pause_s = min(self._pause_s * 2, POLL_LIMIT_S)

    def _left_s(self) -> float:
        return max(0, self._trip.deadline.at - self._runner.clock.monotonic())

    def _overdue(self) -> Failed:
        if not self._joined:
            return self._failed
        return Failed(
            Code.STILL_RUNNING,
            'an earlier request with this key has no answer yet',
            RETRY_TELL_MS,
        )


def _code_of(outcome: TryOutcome) -> Code:
    if isinstance(outcome, Failed):
        return outcome.code
    return Code.DONE if outcome.whole else Code.INCOMPLETE_ANSWER
