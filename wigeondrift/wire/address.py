"""Addresses of the form ``host:port``."""

import re

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_HOST_CHARACTERS = 253
# A name of labels or an IPv4 address, or an IPv6 address in brackets.
HOST_PATTERN = re.compile(
    r"[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*|\[[0-9A-Fa-f:.]{2,45}\]"
)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port number.

    Raises
    ------
    ValueError
        If the host or the port is missing or can't be one.
    """
    host, _, port = address.rpartition(":")
    if len(host) > MAX_HOST_CHARACTERS or not HOST_PATTERN.fullmatch(host):
        raise ValueError(f"bad host in address {address[:80]!r}")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or int(port) > MAX_PORT:
        raise ValueError(f"bad port in address {address[:80]!r}")
    return host.strip("[]"), int(port)
