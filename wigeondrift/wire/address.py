"""Addresses of the form ``host:port``."""

MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port number.

    Raises
    ------
    ValueError
        If the host or the port is missing or the port is not a valid number.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isascii() or len(port) > MAX_PORT_DIGITS:
        raise ValueError(f"bad address {address[:80]!r}")
    return host.strip("[]"), int(port)
