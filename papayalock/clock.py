"""The system clock."""

import time

MS_PER_NS = 1_000_000


class SystemClock:
    """Implements ``ports.Clock`` with the clocks of the operating system."""

    def monotonic(self) -> float:
        """Returns seconds since an arbitrary start; never goes backwards.

        Counts the time during which the VM was suspended, so that a lease or
        a deadline which ended meanwhile has ended.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch."""
        return time.time_ns() // MS_PER_NS
