"""The client for claims of idempotency keys and for results of attempts."""

import logging
from urllib.parse import urlencode

import msgspec

from papayalock.httpclient import Request, TransportError
from papayalock.messages import (
    AttemptFate,
    Claim,
    ClaimRecord,
    ClaimRes,
    Finish,
)
from papayalock.pool import Pool, json_request
from papayalock.result import Code

log = logging.getLogger(__name__)

OK = 200
MAX_RESPONSE_BYTES = 4_194_304
FATE_TIMEOUT_MS = 500


class ClaimClient:
    """Sends claims to control VMs and queries gates about attempts.

    After a failure the next control VM is asked, and stays the first choice.
    """

    def __init__(
        self, addresses: list[str], pool: Pool, timeout_ms: int
    ) -> None:
        """Binds the parts.

        :param addresses: control VMs of the node's zone, most preferred first
        """
        self._addresses = list(addresses)
        self._pool = pool
        self._timeout_ms = timeout_ms

    async def claim(self, command: Claim) -> ClaimRes | None:
        """Claims an idempotency key; returns None when no quorum answered."""
        return await self._post('/v1/claim', command)

    async def finish(self, command: Finish) -> ClaimRes | None:
        """Records a key's outcome; returns None when no quorum answered."""
        return await self._post('/v1/finish', command)

    async def _post(
        self, path: str, command: Claim | Finish
    ) -> ClaimRes | None:
        body = msgspec.json.encode(command)
        for address in list(self._addresses):
            req = json_request(b'POST', path, address, body)
            try:
                status, response = await self._pool.exchange(
                    address, req, self._timeout_ms, MAX_RESPONSE_BYTES
                )
                if status == OK:
                    return msgspec.json.decode(response, type=ClaimRes)
            except (TransportError, msgspec.MsgspecError) as exc:
                log.info(
                    'claim request to a control VM failed',
                    extra={'address': address, 'reason': str(exc)},
                )
                self._pool.close_idle(address)
            self._addresses.append(self._addresses.pop(0))
        return None

    async def query_gate(self, record: ClaimRecord, age_ms: int) -> AttemptFate:
        """Asks the gate that runs a claimed attempt how the attempt ended.

        ``UNKNOWN_TIMEOUT`` means that the gate did not answer in time, so a
        repeated query may succeed.

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
                record.gate, req, FATE_TIMEOUT_MS, MAX_RESPONSE_BYTES
            )
            return msgspec.json.decode(body, type=AttemptFate)
        except TransportError as exc:
            timed_out = exc.code == Code.UNKNOWN_TIMEOUT
            return AttemptFate(
                code=exc.code if timed_out else Code.UNKNOWN_ATTEMPT
            )
        except msgspec.MsgspecError:
            return AttemptFate(code=Code.UNKNOWN_ATTEMPT)
