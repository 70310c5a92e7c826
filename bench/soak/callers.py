"""Callers that reuse one connection until the node closes it."""

import asyncio
import random
import time

import httpx

from bench.soak.customers import (
    FORGED_CUSTOMER,
    KEYS,
    WRONG_KEY,
    WRONG_SHARE,
)
from bench.soak.history import CallRecord
from papayalock.native import (
    API_KEY_HEADER,
    CALL_HEADER,
    CUSTOMER_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    REMAINING_HEADER,
)
from papayalock.node.http import OUTCOME_HEADER

MS_PER_S = 1000
HOST = 'mesh.example'
DEADLINES_MS = {'look': 1200, 'pay': 1500, 'history': 2000, 'mark': 1000}
CALL_KINDS = ('look', 'look', 'pay', 'pay', 'history', 'mark')
MAX_PAUSE_S = 0.12  # between two calls of a caller
RESPONSE_SLACK_S = 1.5  # a caller waits this long past the deadline
ABANDON_SHARE = 0.03  # of the calls; their caller disconnects early
ABANDON_AFTER_S = 0.03
RECENT_LABELS = 3  # mark calls use one of this many newest labels
REFUSED_RETRY_S = 0.05


class Caller:
    """Sends calls to one node over one connection and records them."""

    def __init__(
        self, name: str, node: str, address: str, seed: int, labels: list[int]
    ) -> None:
        """Prepares the caller; no call is sent yet.

        :param labels: labels that the operator has sent so far; it adds to
            this list
        """
        self.attempts: list[CallRecord] = []
        self._name = name
        self._node = node
        self._url = f'http://{address}'
        self._rng = random.Random(f'{seed} {name}')
        self._labels = labels
        self._rng_key = random.Random(f'{seed} {name} key')
        self._customer = self._rng_key.choice(sorted(KEYS))

    async def run(self, stop: asyncio.Event) -> None:
        """Sends calls until stopped."""
        limits = httpx.Limits(max_connections=1, keepalive_expiry=300)
        async with httpx.AsyncClient(
            limits=limits, trust_env=False, verify=False
        ) as http:
            while not stop.is_set():
                record = self._new_call()
                self.attempts.append(record)
                await self._send(http, record)
                if record.fault == 'refused':
                    await asyncio.sleep(REFUSED_RETRY_S)
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def _new_call(self) -> CallRecord:
        kind = self._rng.choice(CALL_KINDS)
        number = len(self.attempts)
        path = f'/{kind}/{number}'
        if kind == 'mark':
            label = self._rng.choice(self._labels[-RECENT_LABELS:] or [1])
            path = f'/mark/{label}/{number}'
        now = time.monotonic()
        return CallRecord(
            call=f'{self._name}-{number}',
            path=path,
            node=self._node,
            repeatable=kind != 'pay',
            customer=''
            if self._rng_key.random() < WRONG_SHARE
            else self._customer,
            sent=now,
            deadline=now + DEADLINES_MS[kind] / MS_PER_S,
        )

    async def _send(self, http: httpx.AsyncClient, record: CallRecord) -> None:
        remaining_s = record.deadline - record.sent
        timeout_s = remaining_s + RESPONSE_SLACK_S
        if self._rng.random() < ABANDON_SHARE:
            timeout_s = ABANDON_AFTER_S
        headers = {
            'host': HOST,
            CALL_HEADER.decode(): record.call,
            API_KEY_HEADER.decode(): KEYS.get(record.customer, WRONG_KEY),
            CUSTOMER_HEADER.decode(): FORGED_CUSTOMER,
            REMAINING_HEADER.decode(): str(int(remaining_s * MS_PER_S)),
        }
        method = 'GET' if record.repeatable else 'POST'
        try:
            response = await http.request(
                method,
                f'{self._url}{record.path}',
                headers=headers,
                timeout=timeout_s,
            )
        except httpx.TimeoutException:
            record.fault = 'left' if timeout_s == ABANDON_AFTER_S else 'silent'
        except httpx.ConnectError:
            record.fault = 'refused'
        except httpx.TransportError:
            record.fault = 'broken'
        else:
            _record_response(record, response)
        record.ended = time.monotonic()


def _record_response(record: CallRecord, response: httpx.Response) -> None:
    record.status = response.status_code
    code = response.headers.get(OUTCOME_HEADER.decode(), '').split(' ')[0]
    record.limit_stated = LIMIT_HEADER.decode() in response.headers
    record.leaving = LEAVING_HEADER.decode() in response.headers
    record.code = int(code) if code.isdigit() else -1
    if record.served:
        record.echo = response.json().get('echo', '')
