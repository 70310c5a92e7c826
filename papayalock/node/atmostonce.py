"""At-most-once execution of calls that are not idempotent.

Each call has an idempotency key. A node claims the key at the control VMs
before it runs the call, and records the outcome there. A repeated request with
the same key gets the recorded response, or waits for the earlier attempt.
"""

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
from papayalock.node.relayedcall import (
    KEY_HEADER,
    REPLAYED_HEADER,
    Attempt,
    Delivered,
    Failed,
    RelayedCall,
    TryOutcome,
    new_attempt_name,
)
from papayalock.ports import Clock, Random
from papayalock.result import Code

MAX_KEY_BYTES = 255
# Only then is the gate of an unfinished attempt asked; a younger attempt may
# not have reached its gate yet.
RESOLVE_AFTER_MS = 300
POLL_MIN_S = 0.02
POLL_MAX_S = 0.3
RETRY_AFTER_MS = 500
FINISH_TRIES = 3


@dataclass(slots=True, frozen=True)
class GateTarget:
    """The gate chosen for an attempt; ``server`` is None for the local one."""

    address: str
    incarnation: int
    server: Server | None


NO_GATE = GateTarget('', 0, None)


class AtMostOnceRunner:
    """Runs calls that are not idempotent at most once per key."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        claims: ClaimClient,
        balancer: Balancer,
        clock: Clock,
        rng: Random,
        *,
        tries: int,
        own_address: str,
        incarnation: int,
    ) -> None:
        """Starts without calls.

        :param tries: number of gates tried, as long as each earlier attempt is
            proven not to have run
        :param own_address: address of the local gate
        """
        self.dispatcher = dispatcher
        self.claims = claims
        self.clock = clock
        self.tries = tries
        self._balancer = balancer
        self._rng = rng
        self._own_address = own_address
        self._incarnation = incarnation

    async def run(
        self, relayed: RelayedCall, *, prefer_local: bool
    ) -> TryOutcome:
        """Runs a call, or replays the response to an earlier request.

        :param prefer_local: whether to use the local gate, as it has room
        """
        key = relayed.call.header(KEY_HEADER)
        if not key or len(key) > MAX_KEY_BYTES:
            return Failed(
                Code.KEY_MISSING, 'an idempotency-key header is needed'
            )
        names = (relayed.service, relayed.route.operation, relayed.caller)
        scoped_key = '/'.join((*names, key.decode('latin-1')))
        return await KeyedCall(
            self, relayed, scoped_key, prefer_local=prefer_local
        ).run()

    def choose_gate(
        self, relayed: RelayedCall, avoid: frozenset[str], *, prefer_local: bool
    ) -> GateTarget:
        """Returns the gate to try next; ``NO_GATE`` if there is none."""
        local = GateTarget(self._own_address, self._incarnation, None)
        if prefer_local:
            return local
        now = self.clock.monotonic()
        server = self._balancer.choose(relayed.part, now, avoid=avoid)
        if server is None:
            return NO_GATE
        endpoint = server.endpoint
        if endpoint.address == self._own_address:
            return local
        return GateTarget(endpoint.address, endpoint.incarnation, server)

    async def record_outcome(
        self, key: str, attempt: str, code: Code, answer: Answer | None
    ) -> None:
        """Records an outcome at the control VMs.

        If that fails, the outcome can still be had from the gate, which
        records its attempts.
        """
        command = Finish(
            kind='finish', key=key, attempt=attempt, code=code, answer=answer
        )
        for _ in range(FINISH_TRIES):
            if await self.claims.finish(command) is not None:
                return
            await asyncio.sleep(POLL_MAX_S * self._rng.random())


class KeyedCall:
    """One call with its key: claims the key or follows an earlier attempt."""

    def __init__(
        self,
        runner: AtMostOnceRunner,
        relayed: RelayedCall,
        key: str,
        *,
        prefer_local: bool,
    ) -> None:
        """Starts without an attempt."""
        self._runner = runner
        self._relayed = relayed
        self._key = key
        self._prefer_local = prefer_local
        self._tried_servers: frozenset[str] = frozenset()
        self._replaces = ''  # attempt that is proven not to have run
        self._poll_delay_s = POLL_MIN_S
        self._failed = Failed(Code.NO_SERVER, 'no backend server')
        self._follows_earlier_attempt = False

    async def run(self) -> TryOutcome:
        """Claims the key and runs the call until there is an outcome.

        Ends without one after the allowed tries or at the deadline.
        """
        while self._relayed.tries < self._runner.tries:
            if self._relayed.deadline.passed(self._runner.clock.monotonic()):
                return self._deadline_failure()
            outcome = await self._claim_and_run()
            if outcome is not None:
                return outcome
        return self._failed

    async def _claim_and_run(self) -> TryOutcome | None:
        target = self._runner.choose_gate(
            self._relayed, self._tried_servers, prefer_local=self._prefer_local
        )
        attempt = Attempt(new_attempt_name(), target.incarnation)
        res = await self._claim(target, attempt)
        if res is None:
            return Failed(
                Code.NO_QUORUM, 'the key could not be claimed', RETRY_AFTER_MS
            )
        if res.code == Code.DONE:
            return await self._run_attempt(target, attempt)
        if res.code == Code.KEY_HELD:
            return await self._follow_earlier_attempt(res)
        if res.code == Code.NO_SERVER:
            return self._failed
        return Failed(Code(res.code), 'the key was used for another request')

    async def _claim(
        self, target: GateTarget, attempt: Attempt
    ) -> ClaimRes | None:
        command = Claim(
            kind='claim',
            key=self._key,
            attempt=attempt.name,
            gate=target.address,
            incarnation=target.incarnation,
            fingerprint=self._relayed.fingerprint(),
            replaces=self._replaces,
        )
        return await self._runner.claims.claim(command)

    async def _run_attempt(
        self, target: GateTarget, attempt: Attempt
    ) -> TryOutcome | None:
        """Runs an attempt that was granted; None if another may follow.

        Another may follow if this one is proven not to have run.
        """
        relayed = self._relayed
        relayed.tries += 1
        relayed.attempt = attempt
        dispatcher = self._runner.dispatcher
        if target.server is None:
            outcome = await dispatcher.run_locally(relayed)
        else:
            outcome = await dispatcher.forward_to_node(relayed, target.server)
            self._tried_servers = self._tried_servers | {
                target.server.endpoint.server
            }
        self._prefer_local = False
        code = _outcome_code(outcome)
        if code != Code.STALE_ATTEMPT:
            await self._runner.record_outcome(
                self._key, attempt.name, code, relayed.recorded_response
            )
        if isinstance(outcome, Failed) and code.not_run:
            self._failed = outcome
            self._replaces = attempt.name
            return None
        return outcome

    async def _follow_earlier_attempt(self, res: ClaimRes) -> TryOutcome | None:
        """Replays the response of an earlier attempt; None while it runs."""
        self._follows_earlier_attempt = True
        record = res.record
        if record is None:
            return Failed(Code.NO_QUORUM, 'the claim has no record')
        if record.code == Code.DONE:
            return self._replay(record.answer)
        if res.age_ms >= RESOLVE_AFTER_MS:
            return await self._resolve_at_gate(record, res.age_ms)
        await self._wait_before_poll()
        return None

    async def _resolve_at_gate(
        self, record: ClaimRecord, age_ms: int
    ) -> TryOutcome | None:
        """Asks the gate of an unfinished attempt for the outcome.

        Returns None while the attempt runs, or if it is proven not to have
        run and may be replaced.
        """
        fate = await self._query_gate(record, age_ms)
        code = Code(fate.code)
        if code == Code.DONE:
            await self._runner.record_outcome(
                self._key, record.attempt, code, fate.answer
            )
            return self._replay(fate.answer)
        if code.not_run:
            self._replaces = record.attempt
            return None
        if code in {Code.STILL_RUNNING, Code.UNKNOWN_TIMEOUT}:
            await self._wait_before_poll()
            return None
        return Failed(
            Code.UNKNOWN_ATTEMPT,
            'an earlier request with this key may have run',
            RETRY_AFTER_MS,
        )

    async def _query_gate(
        self, record: ClaimRecord, age_ms: int
    ) -> AttemptFate:
        try:
            async with asyncio.timeout(self._remaining_s()):
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
        self._relayed.reply.send(answer.status, headers, body)
        return Delivered()

    async def _wait_before_poll(self) -> None:
        await asyncio.sleep(min(self._poll_delay_s, self._remaining_s()))
        self._poll_delay_s = min(self._poll_delay_s * 2, POLL_MAX_S)

    def _remaining_s(self) -> float:
        return max(
            0, self._relayed.deadline.at - self._runner.clock.monotonic()
        )

    def _deadline_failure(self) -> Failed:
        if not self._follows_earlier_attempt:
            return self._failed
        return Failed(
            Code.STILL_RUNNING,
            'an earlier request with this key has no answer yet',
            RETRY_AFTER_MS,
        )


def _outcome_code(outcome: TryOutcome) -> Code:
    if isinstance(outcome, Failed):
        return outcome.code
    return Code.DONE if outcome.complete else Code.INCOMPLETE_ANSWER
