"""zlib compression of large messages between processes."""

import zlib

TAG_PLAIN = b"\x00"
TAG_COMPRESSED = b"\x01"
COMPRESSION_THRESHOLD_BYTES = 4096
COMPRESSION_LEVEL = 6


def compress_message(data: bytes) -> bytes:
    """Return ``data`` after a tag byte, compressed if it reaches the threshold."""
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return TAG_PLAIN + data
    return TAG_COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decompress_message(packed: bytes, max_bytes: int) -> bytes:
    """Return the data passed to ``compress_message``.

    Raises
    ------
    ValueError
        If the tag byte is unknown, or the compressed data is invalid or expands to
        more than ``max_bytes``.
    """
    tag, data = packed[:1], packed[1:]
    if tag == TAG_PLAIN:
        return data
    if tag != TAG_COMPRESSED:
        raise ValueError("the message has an unknown tag byte")
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError("the message is not valid zlib data") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the message is too long or truncated")
    return message
