"""Compression of the state in a snapshot, on disk, in memory and on the wire.

A state consists mostly of repeated names. As base64 text it needs no escapes
in a JSON message.
"""

import base64
import binascii
import zlib

from papayalock.compression import COMPRESSION_LEVEL
from papayalock.result import Code, StorageError

PACKED_PREFIX = 'z1:'


def pack_state(state: bytes) -> str:
    """Returns the text of a state in a snapshot."""
    packed = base64.b64encode(zlib.compress(state, COMPRESSION_LEVEL))
    return PACKED_PREFIX + packed.decode('ascii')


def unpack_state(text: str) -> bytes:
    """Returns a state from its text in a snapshot.

    Snapshots of former releases hold plain JSON.

    :raises StorageError: ``DATA_DAMAGED`` if the text is no packed state
    """
    if not text.startswith(PACKED_PREFIX):
        return text.encode()
    try:
        packed = base64.b64decode(text[len(PACKED_PREFIX) :], validate=True)
        return zlib.decompress(packed)
    except (binascii.Error, ValueError, zlib.error) as exc:
        raise StorageError(Code.DATA_DAMAGED, f'snapshot: {exc}') from exc
