"""Durable journal of which version each attached node held, and when."""

import asyncio
import logging
from collections.abc import Iterator

import msgspec

from papayalock.control.frames import decode_frames, encode_frame
from papayalock.core.audit import HeldVersionJournal
from papayalock.messages import HeldRecord
from papayalock.ports import Clock, Disk
from papayalock.result import Code

log = logging.getLogger(__name__)

FLUSH_INTERVAL_S = 0.2
RECORDS_FILE = 'held.log'
ALIVE_FILE = 'held.alive'  # wall time in ms at which the process last ran
ALIVE_INTERVAL_S = 1.0
_RECORDS = msgspec.json.Decoder(list[HeldRecord])


class VersionJournal:
    """Persists the records of a :class:`HeldVersionJournal` in synced batches.

    ``history`` is that journal, whose records are kept in memory.
    """

    def __init__(
        self, disk: Disk, clock: Clock, max_records: int, late_ms: int
    ) -> None:
        """Loads the stored records.

        The time since ``ALIVE_FILE`` was last written is recorded as an
        outage, in which it is unknown what the nodes held.

        :param max_records: number of records in memory
        :param late_ms: time after a release from which a node's own apply
            time is recorded
        :raises StorageError: when the journal is damaged
        """
        self._disk = disk
        self._clock = clock
        self._max_records = max_records
        self._pending: list[HeldRecord] = []
        self.history = HeldVersionJournal(
            max_records, late_ms, self._pending.append
        )
        self.history.restore(self._load())
        self._written = len(self.history.records)
        alive = disk.read(ALIVE_FILE)
        if alive is not None:
            self._record_outage(int(alive or b'0'))

    async def run(self) -> None:
        """Flushes periodically until cancelled."""
        alive_at = float('-inf')
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            now = self._clock.monotonic()
            try:
                await asyncio.to_thread(self.flush)
                if now - alive_at >= ALIVE_INTERVAL_S:
                    alive_at = now
                    wall_ms = str(self._clock.wall_ms()).encode()
                    await asyncio.to_thread(
                        self._disk.replace, ALIVE_FILE, wall_ms
                    )
            except OSError as exc:
                log.error(
                    'version journal not written',
                    extra={'code': Code.DISK_FULL, 'reason': str(exc)},
                )

    def flush(self) -> None:
        """Makes the pending records durable.

        :raises OSError: when the disk refuses the write; the records stay
            pending
        """
        batch = list(self._pending)
        if not batch:
            return
        if self._written + len(batch) > 2 * self._max_records:
            self._rewrite(batch)
        else:
            self._disk.append(
                RECORDS_FILE, encode_frame(msgspec.json.encode(batch))
            )
            self._written += len(batch)
        del self._pending[: len(batch)]

    def _rewrite(self, batch: list[HeldRecord]) -> None:
        """Replaces the file by the records in memory, to bound its size."""
        records = list(self.history.records)
        self._disk.replace(
            RECORDS_FILE, encode_frame(msgspec.json.encode(records))
        )
        self._written = len(records)

    def _load(self) -> Iterator[HeldRecord]:
        data = self._disk.read(RECORDS_FILE) or b''
        frames = decode_frames(RECORDS_FILE, data)
        if frames.size < len(data):
            self._disk.truncate(RECORDS_FILE, frames.size)
        for payload in frames.payloads:
            yield from _RECORDS.decode(payload)

    def _record_outage(self, alive_ms: int) -> None:
        last_ms = self.history.records[-1].at_ms if self.history.records else 0
        outage = HeldRecord(
            at_ms=max(alive_ms, last_ms), kind='outage', subject='', version=0
        )
        self.history.records.append(outage)
        self._pending.append(outage)
