"""Replicated claims of idempotency keys: at most one attempt may run."""

import zlib

import msgspec

from papayalock.commands import Command
from papayalock.messages import Claim, ClaimRecord, ClaimRes, Finish
from papayalock.result import Code


def shard_of(key: str, shards: int) -> int:
    """Returns the shard that holds a key."""
    return zlib.crc32(key.encode()) % shards


class ClaimState(msgspec.Struct):
    """The claims as a snapshot stores them."""

    records: dict[str, ClaimRecord]


class Claims:
    """State machine of a claim shard.

    It applies committed claims and outcomes in log order.
    """

    def __init__(self, retention_ms: int) -> None:
        """Starts empty.

        :param retention_ms: time a key is kept after its last claim
        """
        self.records: dict[str, ClaimRecord] = {}
        self._retention = retention_ms

    def apply(self, index: int, command: Command) -> ClaimRes | None:
        """Applies one committed command and returns its response, if any."""
        if isinstance(command, Claim):
            self._expire(command.at_ms)
            return self._claim(command)
        if isinstance(command, Finish):
            return self._finish(command)
        return None

    def prepare(self, command: Command) -> None:
        """Does nothing: claims take no long work."""

    def dump(self) -> bytes:
        """Returns the state as JSON text."""
        return msgspec.json.encode(ClaimState(self.records))

    def load(self, text: bytes) -> None:
        """Replaces the state by a dumped one; an empty text changes nothing."""
        if text:
            self.records = msgspec.json.decode(text, type=ClaimState).records

    def _claim(self, command: Claim) -> ClaimRes:
        existing = self.records.get(command.key)
        if not command.gate:
            return self._claim_without_gate(command, existing)
        if existing is None:
            return self._grant(command)
        if existing.fingerprint != command.fingerprint:
            return ClaimRes(code=Code.KEY_REUSED)
        if existing.attempt == command.attempt:
            return ClaimRes(code=Code.DONE, record=existing)
        if self._did_not_run(command, existing):
            return self._grant(command)
        return self._key_held(command, existing)

    def _claim_without_gate(
        self, command: Claim, existing: ClaimRecord | None
    ) -> ClaimRes:
        """Answers a claim that names no gate to run the attempt."""
        if existing is None or self._did_not_run(command, existing):
            return ClaimRes(code=Code.NO_SERVER)
        return self._key_held(command, existing)

    def _did_not_run(self, command: Claim, existing: ClaimRecord) -> bool:
        """Whether the earlier attempt is proven not to have run."""
        code = Code(existing.code)
        replaced = code.may_have_run and command.replaces == existing.attempt
        return code.not_run or replaced

    def _key_held(self, command: Claim, existing: ClaimRecord) -> ClaimRes:
        age_ms = max(0, command.at_ms - existing.at_ms)
        return ClaimRes(code=Code.KEY_HELD, record=existing, age_ms=age_ms)

    def _grant(self, command: Claim) -> ClaimRes:
        record = ClaimRecord(
            attempt=command.attempt,
            gate=command.gate,
            incarnation=command.incarnation,
            fingerprint=command.fingerprint,
            at_ms=command.at_ms,
        )
        self.records.pop(command.key, None)
        self.records[command.key] = record
        return ClaimRes(code=Code.DONE, record=record)

    def _finish(self, command: Finish) -> ClaimRes:
        existing = self.records.get(command.key)
        if existing is None or existing.attempt != command.attempt:
            return ClaimRes(code=Code.STALE_ATTEMPT, record=existing)
        if Code(existing.code).may_have_run:
            existing.code = command.code
            existing.answer = command.answer
        return ClaimRes(code=Code.DONE, record=existing)

    def _expire(self, now_ms: int) -> None:
        """Drops keys past their retention; insertion order is claim order."""
        limit = now_ms - self._retention
        while self.records:
            oldest = next(iter(self.records))
            if self.records[oldest].at_ms > limit:
                return
            self.records.pop(oldest)
