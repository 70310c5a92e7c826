"""The replicated claims of idempotency keys: at most one attempt may run."""

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
    """Applies committed claims and outcomes in log order."""

    def __init__(self, retention_ms: int) -> None:
        """Starts empty.

        :param retention_ms: time a key is kept after its last change
        """
        self.records: dict[str, ClaimRecord] = {}
        self._retention = retention_ms

    def apply(self, index: int, command: Command) -> ClaimRes | None:
        """Applies one committed command and returns its answer, if it has one."""
        if isinstance(command, Claim):
            self._expire(command.at_ms)
            return self._claim(command)
        if isinstance(command, Finish):
            return self._finish(command)
        return None

    def dump(self) -> str:
        """Returns the state as JSON text."""
        return msgspec.json.encode(ClaimState(self.records)).decode()

    def load(self, text: str) -> None:
        """Replaces the state by a dumped one; an empty text resets it."""
        if text:
            self.records = msgspec.json.decode(text, type=ClaimState).records

    def _claim(self, command: Claim) -> ClaimRes:
        known = self.records.get(command.key)
        if not command.gate:
            return self._look_up(command, known)
        if known is None:
            return self._grant(command)
        if known.fingerprint != command.fingerprint:
            return ClaimRes(code=Code.KEY_REUSED)
        if known.attempt == command.attempt:
            return ClaimRes(code=Code.DONE, record=known)
        if self._is_free(command, known):
            return self._grant(command)
        return self._held(command, known)

    def _look_up(self, command: Claim, known: ClaimRecord | None) -> ClaimRes:
        """Answers a claim for which there is no gate to run it."""
        if known is None or self._is_free(command, known):
            return ClaimRes(code=Code.NO_SERVER)
        return self._held(command, known)

    def _is_free(self, command: Claim, known: ClaimRecord) -> bool:
        """Whether the earlier attempt is proven not to have run."""
        code = Code(known.code)
        replaced = code.may_have_run and command.replaces == known.attempt
        return code.not_run or replaced

    def _held(self, command: Claim, known: ClaimRecord) -> ClaimRes:
        age_ms = max(0, command.at_ms - known.at_ms)
        return ClaimRes(code=Code.KEY_HELD, record=known, age_ms=age_ms)

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
        known = self.records.get(command.key)
        if known is None or known.attempt != command.attempt:
            return ClaimRes(code=Code.STALE_ATTEMPT, record=known)
        if Code(known.code).may_have_run:
            known.code = command.code
            known.answer = command.answer
        return ClaimRes(code=Code.DONE, record=known)

    def _expire(self, now_ms: int) -> None:
        """Drops keys past their retention; insertion order is claim order."""
        limit = now_ms - self._retention
        while self.records:
            oldest = next(iter(self.records))
            if self.records[oldest].at_ms > limit:
                return
            self.records.pop(oldest)
