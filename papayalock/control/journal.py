"""The durable journal of what the attached nodes held."""

import asyncio
import logging

import msgspec

from papayalock.control.frames import decode_frames, encode_frame
from papayalock.core.audit import HeldVersionJournal
from papayalock.messages import HeldRecord
from papayalock.ports import Clock, Disk
from papayalock.result import Code

log = logging.getLogger(__name__)

FLUSH_S = 0.2
FILE = 'held.log'
ALIVE_FILE = 'held.alive'
ALIVE_EVERY_S = 1.0
_RECORDS = msgspec.json.Decoder(list[HeldRecord])


class Journal:
    """Writes the records of a :class:`HeldVersionJournal` in synced batches."""

    def __init__(
        self, disk: Disk, clock: Clock, keep: int, late_ms: int
    ) -> None:
        """Reads what the disk holds.

        Time since the last sign of life is marked as an outage, for which
        nothing can be told.

        :raises StorageError: when the journal is damaged
        """
        self._disk = disk
        self._clock = clock
        self._keep = keep
        self._pending: list[HeldRecord] = []
        self.held = HeldVersionJournal(keep, late_ms, self._pending.append)
        self.held.restore(self._load())
        self._written = len(self.held.records)
        alive = disk.read(ALIVE_FILE)
        if alive is not None:
            self._mark_outage(int(alive or b'0'))

    async def run(self) -> None:
        """Flushes until cancelled."""
        alive_at = float('-inf')
        while True:
            await asyncio.sleep(FLUSH_S)
            now = self._clock.monotonic()
            try:
                await asyncio.to_thread(self.flush)
                if now - alive_at >= ALIVE_EVERY_S:
                    alive_at = now
                    mark = str(self._clock.wall_ms()).encode()
                    await asyncio.to_thread(
                        self._disk.replace, ALIVE_FILE, mark
                    )
            except OSError as exc:
                log.error(
                    'journal not written',
                    extra={'code': Code.DISK_FULL, 'reason': str(exc)},
                )

    def flush(self) -> None:
        """Makes the pending records durable.

        :raises OSError: when the disk refuses; the records stay pending
        """
        batch = list(self._pending)
        if not batch:
            return
        if self._written + len(batch) > 2 * self._keep:
            self._rewrite(batch)
        else:
            self._disk.append(FILE, encode_frame(msgspec.json.encode(batch)))
            self._written += len(batch)
        del self._pending[: len(batch)]

    def _rewrite(self, batch: list[HeldRecord]) -> None:
        kept = list(self.held.records)
        self._disk.replace(FILE, encode_frame(msgspec.json.encode(kept)))
        self._written = len(kept)

    def _load(self) -> list[HeldRecord]:
        data = self._disk.read(FILE) or b''
        frames = decode_frames(FILE, data)
        if frames.size < len(data):
            self._disk.truncate(FILE, frames.size)
        return [
            one
            for payload in frames.payloads
            for one in _RECORDS.decode(payload)
        ]

    def _mark_outage(self, alive_ms: int) -> None:
        last = self.held.records[-1].at_ms if self.held.records else 0
        mark = HeldRecord(
            at_ms=max(alive_ms, last), kind='outage', subject='', version=0
        )
        self.held.records.append(mark)
        self._pending.append(mark)
