"""The rate limit that a backend server states, as a token bucket."""

# Time whose tokens may be saved up, so that calls need not be evenly spaced.
BURST_S = 0.25
# Lowest rate in requests per second: only a response can lift a limit.
MIN_RATE = 0.25
ROUNDING = 1e-6  # tokens by which a computed sum may be too low


class RateLimit:
    """Admits calls to one backend server at its stated rate.

    Without a rate it admits every call. Times are monotonic seconds.
    """

    __slots__ = ('_rate', '_tokens', '_updated_at')

    def __init__(self) -> None:
        """Starts without a rate."""
        self._rate: float | None = None
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def is_set(self) -> bool:
        """Whether there is a rate."""
        return self._rate is not None

    def change(self, per_s: float | None, now: float) -> None:
        """Changes the rate; a first rate starts without saved tokens.

        :param per_s: requests per second, or None for any number
        """
        if self._rate is None:
            self._tokens = 0.0
            self._updated_at = now
        self._refill(now)
        self._rate = None if per_s is None else max(per_s, MIN_RATE)

    def allows(self, now: float) -> bool:
        """Returns whether a call may start now."""
        return self.wait_s(0, now) == 0

    def take(self, now: float) -> None:
        """Counts a call that starts."""
        self._refill(now)
        self._tokens -= 1

    def wait_s(self, ahead: int, now: float) -> float:
        """Returns the seconds until a call may start.

        :param ahead: number of calls that start before it
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        missing = ahead + 1 - self._tokens
        return missing / self._rate if missing > ROUNDING else 0.0

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        if self._rate is not None:
            most = 1 + self._rate * BURST_S
            self._tokens = min(most, self._tokens + elapsed_s * self._rate)
