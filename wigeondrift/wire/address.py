"""Addresses of the form ``host:port``."""


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port number.

    Raises
    ------
    ValueError
        If the port is missing or is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
