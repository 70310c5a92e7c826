"""Claims idempotency keys, and asks gates how attempts ended."""

import logging
from urllib.parse import urlencode

import msgspec

from papayalock.messages import (
    AttemptFate,
    Claim,
    ClaimRecord,
    ClaimRes,
    Finish,
)
from papayalock.pool import Pool, json_request
from papayalock.result import Code
from papayalock.httpclient import Request, TransportError

log = logging.getLogger(__name__)

OK = 200
MAX_ANSWER_BYTES = 4_194_304
FATE_TIMEOUT_MS = 500


class ClaimClient:
    """Claims keys through the control VMs of the node's zone."""

    def __init__(
        self, addresses: list[str], pool: Pool, timeout_ms: int
    ) -> None:
        """Keeps the addresses in order of preference."""
        self._addresses = list(addresses)
        self._pool = pool
        self._timeout_ms = timeout_ms

    async def claim(self, command: Claim) -> ClaimRes | None:
        """Returns the answer to a claim, or None when no quorum answered."""
        return await self._post('/v1/claim', command)

    async def finish(self, command: Finish) -> ClaimRes | None:
        """Returns the answer to an outcome, or None when no quorum answered."""
        return await self._post('/v1/finish', command)

    async def _post(
        self, path: str, command: Claim | Finish
    ) -> ClaimRes | None:
        body = msgspec.json.encode(command)
        for address in list(self._addresses):
            req = json_request(b'POST', path, address, body)
            try:
                status, answer = await self._pool.exchange(
                    address, req, self._timeout_ms, MAX_ANSWER_BYTES
                )
                if status == OK:
                    return msgspec.json.decode(answer, type=ClaimRes)
            except (TransportError, msgspec.MsgspecError) as exc:
                log.info(
                    'no answer to a claim',
                    extra={'address': address, 'reason': str(exc)},
                )
                self._pool.close_idle(address)
            self._addresses.append(self._addresses.pop(0))
        return None

    async def ask_gate(self, record: ClaimRecord, age_ms: int) -> AttemptFate:
        """Returns what the gate of a claimed attempt knows of it.

        ``UNKNOWN_TIMEOUT`` says that the gate was silent; another question may
        be answered.

        :param age_ms: time since the attempt was claimed
        """
        query = urlencode(
            {
                'attempt': record.attempt,
                'incarnation': record.incarnation,
                'age_ms': age_ms,
            }
        )
        req = Request(
            b'GET',
            f'/papayalock/attempt?{query}'.encode(),
            [(b'host', record.gate.encode())],
        )
        try:
            _, body = await self._pool.exchange(
                record.gate, req, FATE_TIMEOUT_MS, MAX_ANSWER_BYTES
            )
            return msgspec.json.decode(body, type=AttemptFate)
        except TransportError as exc:
            silent = exc.code == Code.UNKNOWN_TIMEOUT
            return AttemptFate(
                code=exc.code if silent else Code.UNKNOWN_ATTEMPT
            )
        except msgspec.MsgspecError:
            return AttemptFate(code=Code.UNKNOWN_ATTEMPT)
