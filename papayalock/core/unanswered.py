"""The requests that a backend server runs or has left unanswered.

When the server ends, they are the ones that may have caused it.
"""

import itertools

MAX_GIVEN_UP = 32
# A response may be read this long after the end of the server that sent it, so
# it does not show that the server survived what was given up since then.
READ_DELAY_S = 0.1


class UnansweredRequests:
    """The requests sent to one start of a server and not answered by it."""

    __slots__ = ('_given_up', '_numbers', '_running')

    def __init__(self) -> None:
        """Starts without requests."""
        self._numbers = itertools.count()
        self._running: dict[int, str] = {}
        self._given_up: dict[str, float] = {}

    @property
    def running(self) -> frozenset[int]:
        """The numbers of the requests that run."""
        return frozenset(self._running)

    def start(self, request: str) -> int:
        """Counts a request that is being sent, and returns its number.

        :param request: its digest
        """
        number = next(self._numbers)
        self._running[number] = request
        return number

    def finish(self, number: int, now: float, *, answered: bool) -> None:
        """Counts the end of a request.

        Any response shows that the server still runs, so it has survived the
        requests that were given up before.
        """
        request = self._running.pop(number)
        if answered:
            self._given_up = {
                name: at
                for name, at in self._given_up.items()
                if now - at < READ_DELAY_S
            }
        elif len(self._given_up) < MAX_GIVEN_UP:
            self._given_up[request] = now

    def take_all(self) -> list[str]:
        """Returns the requests, since the server ended; forgets given up ones.

        The connections of the running ones are about to fail.
        """
        requests = [*self._running.values(), *self._given_up]
        self._given_up = {}
        return list(dict.fromkeys(requests))
