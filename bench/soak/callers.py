"""Callers that keep using their connection until the other end is gone."""

import asyncio
import random
import time

import httpx

from bench.soak.history import Attempt
from papayalock.native import CALL_HEADER, REMAINING_HEADER
from papayalock.node.http import OUTCOME_HEADER

MS = 1000  # milliseconds in a second
HOST = 'mesh.example'
DEADLINES_MS = {'look': 1200, 'pay': 1500, 'history': 2000, 'mark': 1000}
KINDS = ('look', 'look', 'pay', 'pay', 'history', 'mark')
PAUSE_S = 0.12  # longest pause of a caller between two calls
PATIENCE_S = 1.5  # past the deadline, after which a caller gives up
LEAVE_SHARE = 0.03  # of the calls, whose caller leaves early
LEAVE_S = 0.03
RECENT = 3  # newest labels whose effect is asked for
REFUSED_WAIT_S = 0.05


class Caller:
    """One caller with one connection to one node."""

    def __init__(
        self, name: str, node: str, address: str, seed: int, labels: list[int]
    ) -> None:
        """Starts without calls.

        :param labels: labels that operators have sent so far
        """
        self.attempts: list[Attempt] = []
        self._name = name
        self._node = node
        self._url = f'http://{address}'
        self._rng = random.Random(f'{seed} {name}')
        self._labels = labels

    async def run(self, stop: asyncio.Event) -> None:
        """Calls until stopped."""
        limits = httpx.Limits(max_connections=1, keepalive_expiry=300)
        async with httpx.AsyncClient(
            limits=limits, trust_env=False, verify=False
        ) as http:
            while not stop.is_set():
                attempt = self._attempt()
                self.attempts.append(attempt)
                await self._send(http, attempt)
                if attempt.fault == 'refused':
                    await asyncio.sleep(REFUSED_WAIT_S)
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    def _attempt(self) -> Attempt:
        kind = self._rng.choice(KINDS)
        number = len(self.attempts)
        path = f'/{kind}/{number}'
        if kind == 'mark':
            label = self._rng.choice(self._labels[-RECENT:] or [1])
            path = f'/mark/{label}/{number}'
        now = time.monotonic()
        return Attempt(
            call=f'{self._name}-{number}',
            path=path,
            node=self._node,
            repeatable=kind != 'pay',
            sent=now,
            deadline=now + DEADLINES_MS[kind] / MS,
        )

    async def _send(self, http: httpx.AsyncClient, attempt: Attempt) -> None:
        left = attempt.deadline - attempt.sent
        wait = left + PATIENCE_S
        if self._rng.random() < LEAVE_SHARE:
            wait = LEAVE_S
        headers = {
            'host': HOST,
            CALL_HEADER.decode(): attempt.call,
            REMAINING_HEADER.decode(): str(int(left * MS)),
        }
        method = 'GET' if attempt.repeatable else 'POST'
        try:
            answer = await http.request(
                method,
                f'{self._url}{attempt.path}',
                headers=headers,
                timeout=wait,
            )
        except httpx.TimeoutException:
            attempt.fault = 'left' if wait == LEAVE_S else 'silent'
        except httpx.ConnectError:
            attempt.fault = 'refused'
        except httpx.TransportError:
            attempt.fault = 'broken'
        else:
            _read(attempt, answer)
        attempt.ended = time.monotonic()


def _read(attempt: Attempt, answer: httpx.Response) -> None:
    attempt.status = answer.status_code
    code = answer.headers.get(OUTCOME_HEADER.decode(), '').split(' ')[0]
    attempt.code = int(code) if code.isdigit() else -1
    if attempt.served:
        attempt.echo = answer.json().get('echo', '')
