"""Addresses of the form ``host:port``."""


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into its two parts.

    Raises
    ------
    ValueError
        If there is no port or the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
