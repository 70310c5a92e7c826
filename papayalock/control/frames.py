"""Checksummed frames, the unit of a synced write to a log file."""

import struct
import zlib
from dataclasses import dataclass

from papayalock.result import Code, StorageError

MAGIC = b'PLK1'
HEADER = struct.Struct('>4sII')  # magic, payload length, CRC-32 of the payload


def encode_frame(payload: bytes) -> bytes:
    """Returns a payload with its header in front."""
    return HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


@dataclass(slots=True, frozen=True)
class Frames:
    """The intact frames at the start of a file.

    The payloads are views of the file's contents. ``size`` is the number of
    bytes that the frames take up.
    """

    payloads: tuple[memoryview, ...]
    size: int


def decode_frames(name: str, data: bytes) -> Frames:
    """Returns the frames of a file, without a torn write at its end.

    A frame is written only after the one before it was synced. A bad frame
    that an intact one follows is therefore no torn write: it was damaged
    later, and must not be skipped.

    :param name: file name for error messages
    :raises StorageError: ``DATA_DAMAGED`` when an intact frame follows a bad
        one
    """
    payloads: list[memoryview] = []
    position = 0
    while position < len(data):
        payload = _frame_at(data, position)
        if payload is None:
            _check_torn_write(name, data, position)
            break
        payloads.append(payload)
        position += HEADER.size + len(payload)
    return Frames(tuple(payloads), position)


def _frame_at(data: bytes, position: int) -> memoryview | None:
    """Returns the payload of the frame at a position, None when it is bad."""
    if position + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, position)
    start = position + HEADER.size
    if magic != MAGIC or start + length > len(data):
        return None
    payload = memoryview(data)[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _check_torn_write(name: str, data: bytes, position: int) -> None:
    """Raises when an intact frame follows the bad one at a position."""
    candidate = data.find(MAGIC, position + 1)
    while candidate >= 0:
        if _frame_at(data, candidate) is not None:
            raise StorageError(
                Code.DATA_DAMAGED,
                f'{name}: bad frame at byte {position}, followed by intact'
                ' ones',
            )
        candidate = data.find(MAGIC, candidate + 1)
