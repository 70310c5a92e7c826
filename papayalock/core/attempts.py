"""A gate's record of the attempts it saw, which settles lost outcomes."""

from collections import OrderedDict
from dataclasses import dataclass

from papayalock.messages import Answer
from papayalock.result import Code

MS = 1000  # milliseconds in a second
CLOCK_SKEW_MS = 60_000  # bound on the difference of control VMs' clocks


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as this gate knows it."""

    code: Code
    at: float
    answer: Answer | None = None


class AttemptLog:
    """The newest attempts; evicting some never turns into a false claim."""

    __slots__ = ('_evicted_until', '_keep', '_seen', 'incarnation')

    def __init__(self, incarnation: int, keep: int) -> None:
        """Starts empty.

        :param incarnation: start time of this process, ms since the epoch
        :param keep: attempts remembered
        """
        self.incarnation = incarnation
        self._keep = keep
        self._seen: OrderedDict[str, AttemptRecord] = OrderedDict()
        self._evicted_until = float('-inf')

    def begin(self, attempt: str, incarnation: int, now: float) -> Code:
        """Returns DONE when the attempt may run now, else why it may not."""
        if incarnation != self.incarnation:
            return Code.STALE_ATTEMPT
        known = self._seen.get(attempt)
        if known is not None:
            return known.code if known.code.not_run else Code.UNKNOWN_ATTEMPT
        self._add(attempt, AttemptRecord(Code.STILL_RUNNING, now))
        return Code.DONE

    def finish(self, attempt: str, code: Code, answer: Answer | None) -> None:
        """Records the outcome of an attempt that began."""
        known = self._seen.get(attempt)
        if known is not None:
            known.code = code
            known.answer = answer

    def resolve(
        self, attempt: str, incarnation: int, age_ms: int, now: float
    ) -> AttemptRecord:
        """Returns the fate of an attempt; one never seen is refused from now on.

        :param age_ms: time since the attempt was claimed, by the clocks of
            control VMs; an attempt claimed before the last eviction may have
            run and been forgotten
        """
        if incarnation != self.incarnation:
            return AttemptRecord(Code.UNKNOWN_ATTEMPT, now)
        known = self._seen.get(attempt)
        if known is not None:
            return known
        claimed = now - (age_ms + CLOCK_SKEW_MS) / MS
        if claimed <= self._evicted_until:
            return AttemptRecord(Code.UNKNOWN_ATTEMPT, now)
        refused = AttemptRecord(Code.STALE_ATTEMPT, now)
        self._add(attempt, refused)
        return refused

    def _add(self, attempt: str, seen: AttemptRecord) -> None:
        self._seen[attempt] = seen
        if len(self._seen) > self._keep:
            _, oldest = self._seen.popitem(last=False)
            self._evicted_until = max(self._evicted_until, oldest.at)
