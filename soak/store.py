"""Soak test program: emulated store that also registers the upstreams.

Run as ``python -m soak.store ADDRESS``. Requests below ``/soak/`` come from the soak
test and the upstreams; they bypass the proxies and are served in every fault mode.
"""

import sys
import time
from collections import deque

import msgspec
import trio

from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_server import Exchange, HttpServer
from wigeondrift_emulator.revision_server import RevisionServer, StoreCopy

# A registration expires after three missed heartbeats.
EXPIRY_SECONDS = 3.6
POLL_SECONDS = 0.2
COPY_INTERVAL_SECONDS = 1.0
MAX_COPIES = 5
OUTAGE_SECONDS = 0.5
REWRITE_SECONDS = 0.3


class SoakStore:
    """Store with fault modes.

    ``down`` and ``lossy`` set the faults of ``RevisionServer``: unavailable, and
    transactions without a response. ``forget`` compacts the history once, and
    ``restored`` returns to a copy of some seconds ago, after which the operator and the
    upstreams write again.
    """

    def __init__(self) -> None:
        self._server = RevisionServer()
        self._heartbeat_at_by_key: dict[str, float] = {}
        self._copies: deque[StoreCopy] = deque(maxlen=MAX_COPIES)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        _, _, name = exchange.request.path.partition("/soak/")
        if not name:
            await self._server.handle(exchange)
            return
        call = msgspec.json.decode(exchange.request.body or b"{}")
        if name == "write":
            self._server.write(call["key"], call["value"].encode())
        elif name == "beat":
            self._heartbeat_at_by_key[call["key"]] = time.monotonic()
            value = call["value"].encode()
            if self._server.get(call["key"]) != value:
                self._server.write(call["key"], value)
        elif name == "mode":
            self._server.is_down = call["mode"] == "down"
            self._server.drops_responses = call["mode"] == "lossy"
            if call["mode"] == "forget":
                self._server.compact_history()
            if call["mode"] == "restored" and self._copies:
                await self._restore()
        await exchange.respond(200, [], str(self._server.revision).encode())

    async def _restore(self) -> None:
        self._server.is_down = True
        await trio.sleep(OUTAGE_SECONDS)
        self._server.restore(self._copies[0])
        self._copies.clear()
        self._server.is_down = False
        await trio.sleep(REWRITE_SECONDS)
        self._server.rewrite()

    async def copy_contents(self) -> None:
        """Keep copies of the last seconds."""
        while True:
            await trio.sleep(COPY_INTERVAL_SECONDS)
            self._copies.append(self._server.copy())

    async def expire_registrations(self) -> None:
        """Remove the registrations of upstreams whose heartbeats stopped."""
        while True:
            await trio.sleep(POLL_SECONDS)
            now = time.monotonic()
            for key, heartbeat_at in list(self._heartbeat_at_by_key.items()):
                if now - heartbeat_at > EXPIRY_SECONDS:
                    del self._heartbeat_at_by_key[key]
                    self._server.remove(key)


async def main(address: str) -> None:
    """Serve until killed."""
    store = SoakStore()
    host, port = parse_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.expire_registrations)
        nursery.start_soon(store.copy_contents)
        server = HttpServer(store.handle)
        nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
