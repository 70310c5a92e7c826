"""Compression of large messages between control VMs and nodes.

A complete configuration consists mostly of repeated names, and a node's link
may be slow. The first byte of a body tells a compressed one from plain JSON.
"""

import zlib

MIN_COMPRESS_BYTES = 4096  # compressing smaller bodies isn't worth the time
COMPRESSION_LEVEL = 1  # the fastest; higher levels save little here
ZLIB_FIRST_BYTE = b'\x78'


def compress_body(body: bytes) -> bytes:
    """Returns a JSON body, compressed if it is large."""
    return (
        zlib.compress(body, COMPRESSION_LEVEL)
        if len(body) > MIN_COMPRESS_BYTES
        else body
    )


def decompress_body(body: bytes, limit: int) -> bytes:
    """Returns a JSON body, decompressed if it is compressed.

    :param limit: maximum size of a decompressed body in bytes
    :raises ValueError: if a compressed body is corrupt or exceeds ``limit``
    """
    if body[:1] != ZLIB_FIRST_BYTE:
        return body
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(body, limit)
    except zlib.error as exc:
        raise ValueError(f'corrupt compressed message: {exc}') from exc
    if not decompressor.eof:
        raise ValueError('compressed message is truncated or too large')
    return decompressed
