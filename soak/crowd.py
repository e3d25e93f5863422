"""Callers of the soak test that leave large chunked bodies unfinished."""

import trio

from soak.deployment import HOST
from wigeondrift.wire.address import parse_address

CONNECTIONS = 30
CHUNK_BYTES = 65536
# All chunks but the end of a body of the largest size, 4,194,304 bytes.
CHUNKS = 63
HEAD = (
    f"POST /status/crowd HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)


async def hold_bodies(address: str) -> None:
    """Keep unfinished bodies open at a router until cancelled."""
    async with trio.open_nursery() as nursery:
        for _ in range(CONNECTIONS):
            nursery.start_soon(_hold_body, address)


async def _hold_body(address: str) -> None:
    try:
        stream = await trio.open_tcp_stream(*parse_address(address))
        async with stream:
            await stream.send_all(HEAD)
            for _ in range(CHUNKS):
                await stream.send_all(CHUNK)
            await trio.sleep_forever()
    except (OSError, trio.BrokenResourceError):
        # The router refuses the body or is away.
        return
