"""The attempts that a gate has run, to resolve outcomes that were lost.

An attempt is the one run that an idempotency key allows.
"""

from collections import OrderedDict
from dataclasses import dataclass

from papayalock.messages import Answer
from papayalock.result import Code

MS_PER_S = 1000
CLOCK_SKEW_MS = 60_000  # maximum difference between control VM clocks


@dataclass(slots=True)
class AttemptRecord:
    """The state of one attempt at this gate."""

    code: Code  # STILL_RUNNING until it ends
    at: float  # when it began or was refused, in monotonic seconds
    answer: Answer | None = None


class AttemptLog:
    """The newest attempts at one gate.

    After a record is evicted, older attempts resolve as unknown and never as
    not run.
    """

    __slots__ = ('_evicted_until', '_max_records', '_records', 'incarnation')

    def __init__(self, incarnation: int, max_records: int) -> None:
        """Starts empty.

        :param incarnation: start time of this process, ms since the epoch
        :param max_records: number of attempts kept
        """
        self.incarnation = incarnation
        self._max_records = max_records
        self._records: OrderedDict[str, AttemptRecord] = OrderedDict()
        self._evicted_until = float('-inf')

    def begin(self, attempt: str, incarnation: int, now: float) -> Code:
        """Records an attempt; returns DONE if it may run, else the reason."""
        if incarnation != self.incarnation:
            return Code.STALE_ATTEMPT
        record = self._records.get(attempt)
        if record is not None:
            return record.code if record.code.not_run else Code.UNKNOWN_ATTEMPT
        self._add(attempt, AttemptRecord(Code.STILL_RUNNING, now))
        return Code.DONE

    def finish(self, attempt: str, code: Code, answer: Answer | None) -> None:
        """Records the outcome of an attempt that has begun."""
        record = self._records.get(attempt)
        if record is not None:
            record.code = code
            record.answer = answer

    def resolve(
        self, attempt: str, incarnation: int, age_ms: int, now: float
    ) -> AttemptRecord:
        """Returns the state of an attempt.

        An attempt that cannot have begun is recorded as stale, so that it
        is refused if it arrives later.

        :param age_ms: time since the attempt was claimed, by the clocks of
            control VMs; an attempt claimed before the last eviction may have
            run, so its outcome is unknown
        """
        if incarnation != self.incarnation:
            return AttemptRecord(Code.UNKNOWN_ATTEMPT, now)
        record = self._records.get(attempt)
        if record is not None:
            return record
        claimed_at = now - (age_ms + CLOCK_SKEW_MS) / MS_PER_S
        if claimed_at <= self._evicted_until:
            return AttemptRecord(Code.UNKNOWN_ATTEMPT, now)
        refused = AttemptRecord(Code.STALE_ATTEMPT, now)
        self._add(attempt, refused)
        return refused

    def _add(self, attempt: str, record: AttemptRecord) -> None:
        self._records[attempt] = record
        if len(self._records) > self._max_records:
            _, oldest = self._records.popitem(last=False)
            self._evicted_until = max(self._evicted_until, oldest.at)
