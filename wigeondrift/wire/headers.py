"""HTTP headers as text, and as bytes on the wire."""

from collections.abc import Iterable

Headers = list[tuple[str, str]]


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return headers as bytes; values may hold any bytes that HTTP allows.

    Raises
    ------
    UnicodeEncodeError
        If a name is not ASCII, or a value is not the text of bytes.
    """
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return received headers as text, each byte of a value as one character."""
    return [(name.decode("ascii"), value.decode("latin-1")) for name, value in headers]
