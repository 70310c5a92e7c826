"""The clock of a running process."""

import time

MS_PER_NS = 1_000_000


class SystemClock:
    """The machine's clocks; satisfies ``ports.Clock``."""

    def monotonic(self) -> float:
        """Returns seconds from a fixed but unknown start."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // MS_PER_NS
