"""The hash-chained audit trail and the journal of versions that nodes held."""

import bisect
import hashlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import Literal

import msgspec

from papayalock.messages import AuditRecord, HeldAnswer, HeldRecord
from papayalock.result import Code

DIGEST_BYTES = 32
RECORD_BYTES = 448  # memory of an audit record beside its detail
MAX_RELEASE_TIMES = 1000  # newest releases, to detect late applies
HeldKind = Literal['release', 'complete', 'attach', 'detach', 'late', 'outage']


def record_digest(record: AuditRecord) -> str:
    """Returns the digest that chains a record to its predecessor."""
    fields = [
        record.index,
        record.at_ms,
        record.kind,
        record.version,
        record.operator,
        record.detail,
        record.previous,
    ]
    encoded = msgspec.json.encode(fields)
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def verify_chain(records: Iterable[AuditRecord]) -> AuditRecord | None:
    """Returns the first record that breaks the chain; None if it is intact."""
    previous: str | None = None
    for record in records:
        if previous is not None and record.previous != previous:
            return record
        if record_digest(record) != record.digest:
            return record
        previous = record.digest
    return None


class AuditTrail:
    """The newest records of the audit trail.

    ``size`` is the memory in bytes that they take up.
    """

    __slots__ = ('_max_bytes', '_max_records', 'records', 'size')

    def __init__(self, max_records: int, max_bytes: int) -> None:
        """Starts empty; the oldest records are dropped first.

        :param max_records: number of records kept
        :param max_bytes: memory of the records kept
        """
        self.records: list[AuditRecord] = []
        self.size = 0
        self._max_records = max_records
        self._max_bytes = max_bytes

    def restore(self, records: list[AuditRecord]) -> None:
        """Replaces the records by those of a snapshot."""
        previous = ''
        for record in records:
            if record.previous == previous:
                record.previous = previous  # one object for both
            previous = record.digest
        self.records = records
        self.size = sum(map(_record_size, records))
        self._prune()

    def add(
        self,
        index: int,
        at_ms: int,
        kind: str,
        version: int,
        operator: str,
        detail: str,
    ) -> None:
        """Appends a record chained to the newest one."""
        previous = self.records[-1].digest if self.records else ''
        record = AuditRecord(
            index=index,
            at_ms=at_ms,
            kind=kind,
            version=version,
            operator=operator,
            detail=detail,
            previous=previous,
            digest='',
        )
        record.digest = record_digest(record)
        self.records.append(record)
        self.size += _record_size(record)
        self._prune()

    def _prune(self) -> None:
        """Drops the oldest records; the newest one carries the chain on."""
        count = 0
        while len(self.records) - count > 1 and (
            len(self.records) - count > self._max_records
            or self.size > self._max_bytes
        ):
            self.size -= _record_size(self.records[count])
            count += 1
        del self.records[:count]


def _record_size(record: AuditRecord) -> int:
    return RECORD_BYTES + len(record.detail)


class HeldVersionJournal:
    """Journal of the versions that nodes attached to one control VM held.

    It records only releases into the zone, the time at which all attached
    nodes had applied each, the nodes that attached or detached, and those that
    applied a version late. Between a release and its completion a node that was
    not late may have held either version.
    """

    def __init__(
        self,
        max_records: int,
        late_ms: int,
        record: Callable[[HeldRecord], None],
    ) -> None:
        """Starts empty.

        :param max_records: number of records kept in memory
        :param late_ms: delay after a release beyond which a node's own apply
            time is recorded
        :param record: called with each new record, to make it durable
        """
        self.records: list[HeldRecord] = []
        self._max_records = max_records
        self._late_ms = late_ms
        self._record = record
        self._released_at: dict[int, int] = {}
        self._nodes: dict[str, int] = {}
        self._pending_nodes: set[str] = set()  # nodes below the newest release
        self._newest = 0
        self._completed = 0

    def restore(self, records: Iterable[HeldRecord]) -> None:
        """Restores the journal from the records on disk."""
        self.records = list(deque(records, self._max_records))
        for record in self.records:
            if record.kind == 'release':
                self._remember_release(record.version, record.at_ms)
            elif record.kind == 'complete':
                self._completed = max(self._completed, record.version)

    def record_release(self, version: int, now_ms: int) -> None:
        """Records that a version was released to the attached nodes."""
        if version <= self._newest:
            return
        self._remember_release(version, now_ms)
        self._pending_nodes = {
            node for node, applied in self._nodes.items() if applied < version
        }
        self._add('release', '', version, now_ms)
        self._complete_if_applied(now_ms)

    def record_applied(self, node: str, version: int, now_ms: int) -> None:
        """Records the version that a node reports as applied."""
        previous = self._nodes.get(node)
        if previous == version:
            return
        self._nodes[node] = version
        if version >= self._newest:
            self._pending_nodes.discard(node)
        else:
            self._pending_nodes.add(node)
        if previous is None:
            self._add('attach', node, version, now_ms)
        elif self._is_late(version, now_ms):
            self._add('late', node, version, now_ms)
        self._complete_if_applied(now_ms)

    def record_detached(self, node: str, now_ms: int) -> None:
        """Records that a node no longer reports."""
        version = self._nodes.pop(node, None)
        if version is not None:
            self._pending_nodes.discard(node)
            self._add('detach', node, version, now_ms)
            self._complete_if_applied(now_ms)

    def version_held(self, node: str, at_ms: int) -> HeldAnswer:
        """Returns the versions a node may have held, or that it is unknown."""
        position = bisect.bisect_right(
            self.records, at_ms, key=lambda record: record.at_ms
        )
        past = self.records[:position]
        own = [record for record in past if record.subject == node]
        if not own or own[-1].kind == 'detach':
            return _cannot_know(
                node, at_ms, 'it did not report to this control VM'
            )
        since = [record for record in past if record.at_ms >= own[-1].at_ms]
        if any(record.kind == 'outage' for record in since):
            return _cannot_know(node, at_ms, 'the control VM was down')
        low = max(own[-1].version, _newest(since, 'complete'))
        high = max(low, _newest(past, 'release'))
        late_record = self._next_late_record(node, position)
        if late_record is not None:
            high = max(low, min(high, late_record.version - 1))
        answer = HeldAnswer(code=Code.DONE, node=node, at_ms=at_ms)
        answer.low = low
        answer.high = high
        answer.reason = '' if low == high else 'a release was under way'
        return answer

    def _next_late_record(self, node: str, position: int) -> HeldRecord | None:
        """Returns the node's next record if it is one of a late apply."""
        later = (
            record
            for record in self.records[position:]
            if record.subject == node
        )
        following = next(later, None)
        if following is None or following.kind != 'late':
            return None
        return following

    def _is_late(self, version: int, now_ms: int) -> bool:
        released_at = self._released_at.get(version)
        return released_at is None or now_ms - released_at > self._late_ms

    def _remember_release(self, version: int, at_ms: int) -> None:
        self._newest = max(self._newest, version)
        self._released_at[version] = at_ms
        if len(self._released_at) > MAX_RELEASE_TIMES:
            self._released_at.pop(next(iter(self._released_at)))

    def _complete_if_applied(self, now_ms: int) -> None:
        pending = self._pending_nodes or not self._nodes
        if self._newest > self._completed and not pending:
            self._completed = self._newest
            self._add('complete', '', self._newest, now_ms)

    def _add(
        self, kind: HeldKind, subject: str, version: int, now_ms: int
    ) -> None:
        record = HeldRecord(
            at_ms=now_ms, kind=kind, subject=subject, version=version
        )
        self.records.append(record)
        if len(self.records) > self._max_records:
            del self.records[: len(self.records) - self._max_records]
        self._record(record)


def _cannot_know(node: str, at_ms: int, reason: str) -> HeldAnswer:
    return HeldAnswer(
        code=Code.CANNOT_KNOW, node=node, at_ms=at_ms, reason=reason
    )


def _newest(records: list[HeldRecord], kind: HeldKind) -> int:
    versions = [record.version for record in records if record.kind == kind]
    return max(versions, default=0)
