"""Compression of large messages between processes, by zlib."""

import zlib

TAG_PLAIN = b"\x00"
TAG_COMPRESSED = b"\x01"
COMPRESSION_THRESHOLD_BYTES = 4096
COMPRESSION_LEVEL = 6


def compress_message(data: bytes) -> bytes:
    """Return ``data`` with a mark, compressed if it is large."""
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return TAG_PLAIN + data
    return TAG_COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decompress_message(packed: bytes, max_bytes: int) -> bytes:
    """Return what was packed.

    Raises
    ------
    ValueError
        If it is no packed message or longer than ``max_bytes``.
    """
    tag, data = packed[:1], packed[1:]
    if tag == TAG_PLAIN:
        return data
    if tag != TAG_COMPRESSED:
        raise ValueError("the message has no known mark")
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError("the message does not decompress") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the message is too long or cut")
    return whole
