"""Rendezvous hashing of routers and upstreams."""

import hashlib

HASH_BYTES = 8


def get_fraction(router: str, upstream_id: str) -> float:
    """Return the hash of a router and an upstream as a number in (0, 1]."""
    name = f"{router}/{upstream_id}".encode()
    digest = hashlib.blake2b(name, digest_size=HASH_BYTES).digest()
    return (int.from_bytes(digest, "big") + 1) / 256**HASH_BYTES
