"""Compression of large messages between control VMs and nodes.

Whole configurations are mostly names that repeat, and a node's link may be
slow. A packed message is told from JSON by its first byte.
"""

import zlib

PACK_ABOVE = 4096  # bytes from which packing is worth its time
LEVEL = 1  # the fastest; higher ones save little here
ZLIB_MARK = b'\x78'


def packed(body: bytes) -> bytes:
    """Returns a JSON text, compressed when it is large."""
    return zlib.compress(body, LEVEL) if len(body) > PACK_ABOVE else body


def unpacked(body: bytes, limit: int) -> bytes:
    """Returns the JSON text of a message.

    :param limit: largest text
    :raises ValueError: when it is damaged or larger
    """
    if body[:1] != ZLIB_MARK:
        return body
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(body, limit)
    except zlib.error as exc:
        raise ValueError(f'packed message: {exc}') from exc
    if not unpacker.eof:
        raise ValueError('packed message is cut short or too large')
    return text
