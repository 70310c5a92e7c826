"""Requests under which backend servers ended, and their quarantine.

A request may crash every server that runs it, and callers send it again. When
a server ends, each request that it ran is a suspect. Evidence is kept by the
start of the server that ended, so nodes can merge what they know in any order
and as often as they like.

Servers may also end together for another reason, under harmless requests. So
a request is quarantined only if a server ends under it while it is a suspect
already, and the only one there. An answer of a server clears it.

The load that it answers: one such request among many harmless ones, sent again
several times a second at any node.
"""

import hashlib
from collections.abc import Collection, Iterable
from enum import IntEnum

from papayalock.messages import CrashReport, ServerEnd

DIGEST_BYTES = 12
MAX_DIGESTED_BYTES = 1_048_576  # of a body; the rest counts by its length
FIRST_WEIGHT = 1  # of an end that makes its requests suspects
CONFIRMING_WEIGHT = 2  # of an end under a request that was the only suspect
ISOLATING_WEIGHT = 2
QUARANTINE_S = 600.0  # from the last end on; then a suspect for as long again
SUSPICION_S = 120.0  # from the last end on, of a request not quarantined
MAX_REQUESTS = 256
MAX_ENDS = 8  # per request
MS_PER_S = 1000


class CrashStatus(IntEnum):
    """What is known against a request."""

    CLEAR = 0
    SUSPECT = 1  # runs beside no other suspect
    ISOLATED = 2  # runs alone
    QUARANTINED = 3  # does not run


def request_digest(
    method: bytes, host: bytes, target: bytes, body: bytes, key: bytes
) -> str:
    """Returns the digest by which nodes know a request.

    The caller is left out: the same request crashes servers whoever sends it.

    :param key: secret of the mesh; '' for none
    """
    # None of the parts contains a line break.
    head = b'\n'.join((method, host.lower(), target, b'%d' % len(body), b''))
    return hashlib.blake2b(
        head + body[:MAX_DIGESTED_BYTES], digest_size=DIGEST_BYTES, key=key
    ).hexdigest()


class Evidence:
    """The ends of servers under one request, by the start of the server."""

    __slots__ = ('ends', 'last_end_at')

    def __init__(self) -> None:
        """Starts without ends."""
        self.ends: dict[str, ServerEnd] = {}
        self.last_end_at = float('-inf')

    @property
    def weight(self) -> int:
        """The weight of the ends that no later success has cleared."""
        return sum(end.weight for end in self.ends.values() if not end.cleared)

    @property
    def confirmed(self) -> bool:
        """Whether a server ended under the request as the only suspect."""
        return any(
            end.weight == CONFIRMING_WEIGHT and not end.cleared
            for end in self.ends.values()
        )

    def lifetime_s(self) -> float:
        """Returns the seconds from the last end on in which it counts."""
        return 2 * QUARANTINE_S if self.confirmed else SUSPICION_S

    def add(self, end: ServerEnd, at: float) -> bool:
        """Merges one end; returns whether anything changed."""
        known = self.ends.get(end.start)
        if known is None:
            if len(self.ends) >= MAX_ENDS:
                return False
            self.ends[end.start] = end
            self.last_end_at = max(self.last_end_at, at)
            return True
        merged = ServerEnd(
            start=end.start,
            weight=max(known.weight, end.weight),
            cleared=known.cleared or end.cleared,
        )
        self.ends[end.start] = merged
        return merged != known

    def clear(self) -> bool:
        """Marks all known ends as cleared; returns whether one was not."""
        changed = self.weight > 0
        for end in self.ends.values():
            end.cleared = True
        return changed


class CrashLedger:
    """What one node knows of the requests under which servers ended."""

    __slots__ = ('_digest', '_evidence')

    def __init__(self) -> None:
        """Starts without evidence."""
        self._evidence: dict[str, Evidence] = {}
        self._digest = ''  # '' after a change

    def __len__(self) -> int:
        """Returns the number of requests that there is evidence on."""
        return len(self._evidence)

    def status(self, request: str, now: float) -> CrashStatus:
        """Returns the status of a request.

        :param request: its digest
        """
        evidence = self._evidence.get(request)
        if evidence is None:
            return CrashStatus.CLEAR
        weight = evidence.weight
        age = now - evidence.last_end_at
        if not weight or age >= evidence.lifetime_s():
            return CrashStatus.CLEAR
        if evidence.confirmed and age < QUARANTINE_S:
            return CrashStatus.QUARANTINED
        isolated = weight >= ISOLATING_WEIGHT
        return CrashStatus.ISOLATED if isolated else CrashStatus.SUSPECT

    def quarantine_left_s(self, request: str, now: float) -> float:
        """Returns the seconds until the quarantine on a request ends."""
        evidence = self._evidence.get(request)
        if evidence is None:
            return 0.0
        return max(0.0, evidence.last_end_at + QUARANTINE_S - now)

    def count(self, status: CrashStatus, now: float) -> int:
        """Returns the number of requests with a status."""
        return sum(
            self.status(request, now) is status for request in self._evidence
        )

    def record_end(
        self, start: str, requests: Collection[str], now: float
    ) -> list[str]:
        """Records that a server ended; returns the requests that it counts against.

        An end counts against the suspects that ran there, if there were any,
        otherwise against all requests.

        :param start: identifies the start of the server that ended
        :param requests: digests of the requests that it ran
        """
        uncounted = [
            request for request in requests if not self._knows(request, start)
        ]
        suspects = [
            request for request in uncounted if self.status(request, now)
        ]
        suspected = suspects or uncounted
        weight = CONFIRMING_WEIGHT if len(suspects) == 1 else FIRST_WEIGHT
        for request in suspected:
            end = ServerEnd(start=start, weight=weight)
            self._add(request, [end], now)
        return suspected

    def _knows(self, request: str, start: str) -> bool:
        evidence = self._evidence.get(request)
        return evidence is not None and start in evidence.ends

    def clear(self, request: str) -> bool:
        """Clears a request, since a server has answered it or by order.

        :returns: whether there was something to clear
        """
        evidence = self._evidence.get(request)
        if evidence is None or not evidence.clear():
            return False
        self._digest = ''
        return True

    def report(self, request: str, now: float) -> CrashReport | None:
        """Returns what is known of a request, for other nodes."""
        evidence = self._evidence.get(request)
        if evidence is None:
            return None
        age_ms = int(max(0.0, now - evidence.last_end_at) * MS_PER_S)
        ends = list(evidence.ends.values())
        return CrashReport(request=request, age_ms=age_ms, ends=ends)

    def newest_reports(self, limit: int, now: float) -> list[CrashReport]:
        """Returns the reports on the requests with the newest ends."""
        newest = sorted(
            self._evidence,
            key=lambda name: self._evidence[name].last_end_at,
            reverse=True,
        )
        reports = [self.report(request, now) for request in newest[:limit]]
        return [report for report in reports if report is not None]

    def merge(self, reports: Iterable[CrashReport], now: float) -> list[str]:
        """Merges the reports of another node.

        :returns: the requests on which something new was learned
        """
        return [
            report.request
            for report in reports
            if self._add(
                report.request, report.ends, now - report.age_ms / MS_PER_S
            )
        ]

    def digest(self) -> str:
        """Returns a digest that is equal at nodes with equal evidence."""
        if not self._digest:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> str:
        state = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for request in sorted(self._evidence):
            ends = self._evidence[request].ends
            state.update(request.encode())
            for start in sorted(ends):
                end = ends[start]
                text = f'{start} {end.weight} {end.cleared};'
                state.update(text.encode())
        return state.hexdigest()

    def drop_expired(self, now: float) -> None:
        """Forgets the requests whose last evidence is too old to count."""
        expired = [
            request
            for request, evidence in self._evidence.items()
            if now - evidence.last_end_at >= evidence.lifetime_s()
        ]
        for request in expired:
            self._evidence.pop(request)
            self._digest = ''

    def _add(self, request: str, ends: Iterable[ServerEnd], at: float) -> bool:
        evidence = self._evidence.setdefault(request, Evidence())
        self._digest = ''
        changes = [evidence.add(end, at) for end in ends]
        if len(self._evidence) > MAX_REQUESTS:
            self._drop_weakest()
        return any(changes)

    def _drop_weakest(self) -> None:
        weakest = min(
            self._evidence,
            key=lambda name: (
                self._evidence[name].weight,
                self._evidence[name].last_end_at,
            ),
        )
        self._evidence.pop(weakest)
