"""The calls of a node that wait for tokens of their customers' quotas."""

import asyncio
from collections import deque

from papayalock.messages import QuotaRes

NO_TOKEN = 0  # in place of the term of the owner that granted one
Grant = asyncio.Future[int]  # of the owner's term, or NO_TOKEN
Asked = dict[str, deque[Grant]]  # the calls of one request, by customer


class QuotaWaiters:
    """The waiting calls by customer, in the order of their arrival."""

    def __init__(self) -> None:
        """Starts without calls."""
        self.arrived = asyncio.Event()
        self._waiting: Asked = {}

    async def wait(self, name: str, wait_s: float) -> int | None:
        """Waits for a token of a customer.

        :param wait_s: longest wait
        :returns: the term of the owner that granted it, ``NO_TOKEN`` if it
            granted none, None if it has not answered
        """
        fut: Grant = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(name, deque()).append(fut)
        self.arrived.set()
        try:
            async with asyncio.timeout(wait_s):
                return await fut
        except TimeoutError:
            return None

    def take(self) -> Asked:
        """Returns the calls that still wait, for one request."""
        self.arrived.clear()
        asked: Asked = {}
        for name, futs in self._waiting.items():
            pending = deque(fut for fut in futs if not fut.done())
            if pending:
                asked[name] = pending
        self._waiting = {}
        return asked

    def restore(self, asked: Asked) -> None:
        """Has the calls of a failed request wait for the next one."""
        for name, futs in asked.items():
            self._waiting.setdefault(name, deque()).extendleft(reversed(futs))
            self.arrived.set()


def settle(asked: Asked, res: QuotaRes) -> None:
    """Gives the granted tokens to the calls that waited longest."""
    for name, futs in asked.items():
        granted = res.granted.get(name, 0)
        for position, fut in enumerate(futs):
            if not fut.done():
                fut.set_result(res.term if position < granted else NO_TOKEN)
