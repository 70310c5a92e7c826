"""Checksummed frames: the unit that a synced write makes durable as a whole."""

import struct
import zlib
from dataclasses import dataclass

from papayalock.result import Code, StorageError

MAGIC = b'PLK1'
HEADER = struct.Struct('>4sII')  # magic, length, checksum


def encode_frame(payload: bytes) -> bytes:
    """Returns a payload with its header."""
    return HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


@dataclass(slots=True, frozen=True)
class Frames:
    """The whole frames of a file and how far they reach."""

    payloads: tuple[bytes, ...]
    size: int


def decode_frames(name: str, data: bytes) -> Frames:
    """Returns the frames of a file up to a torn tail.

    A frame is written only after the one before it was synced. So a bad frame
    with a whole one after it was damaged later, and nothing is skipped.

    :raises StorageError: ``DATA_DAMAGED`` for a bad frame before a whole one
    """
    payloads: list[bytes] = []
    position = 0
    while position < len(data):
        payload = _frame_at(data, position)
        if payload is None:
            _refuse_damage(name, data, position)
            break
        payloads.append(payload)
        position += HEADER.size + len(payload)
    return Frames(tuple(payloads), position)


def _frame_at(data: bytes, position: int) -> bytes | None:
    if position + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, position)
    start = position + HEADER.size
    if magic != MAGIC or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if zlib.crc32(payload) == checksum else None


def _refuse_damage(name: str, data: bytes, position: int) -> None:
    later = data.find(MAGIC, position + 1)
    while later >= 0:
        if _frame_at(data, later) is not None:
            raise StorageError(
                Code.DATA_DAMAGED,
                f'{name}: bad record at byte {position}, whole ones after it',
            )
        later = data.find(MAGIC, later + 1)
