"""Compression of large messages between processes, by zlib."""

import zlib

PLAIN = b"\x00"
COMPRESSED = b"\x01"
LEAST_BYTES = 4096
COMPRESSION_LEVEL = 6


def pack(data: bytes) -> bytes:
    """Return ``data`` with a mark, compressed if it is large."""
    if len(data) < LEAST_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def unpack(packed: bytes, most_bytes: int) -> bytes:
    """Return what was packed.

    Raises
    ------
    ValueError
        If it is no packed message or longer than ``most_bytes``.
    """
    mark, data = packed[:1], packed[1:]
    if mark == PLAIN:
        return data
    if mark != COMPRESSED:
        raise ValueError("the message has no known mark")
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(data, most_bytes)
    except zlib.error as error:
        raise ValueError("the message does not decompress") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the message is too long or cut")
    return whole
