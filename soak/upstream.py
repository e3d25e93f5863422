"""Soak test program: one upstream, which logs each run on standard output.

Run as ``python -m soak.upstream ID SERVICE ADDRESS TOLD_ADDRESS ZONE STORE FIRST-END``.
``TOLD_ADDRESS`` is the address registered in the store: that of the upstream's proxy.
"""

import sys
import time

import msgspec
import trio

from wigeondrift.errors import TransportError
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer

HEARTBEAT_SECONDS = 1.2
CALL_TIMEOUT_SECONDS = 1.0
EVENT_SECONDS = 0.03
EVENTS = 20
# The largest body that a router forwards by default.
MAX_BODY_BYTES = 4194304
SEAL_HEADER = ("Wigeondrift-Response-Seal", "soak")
STAGES_HEADER = "wigeondrift-hop-count"


class SoakUpstream:
    """Model runner or instance of a plain service.

    Parameters
    ----------
    upstream_id : str
    layers : tuple of (int, int)
        First layer and end of the layers held, the end excluded; ``(0, 0)`` for an
        instance of a plain service.
    started_at_ms : int
        Start time, in milliseconds since the epoch.
    """

    def __init__(
        self, upstream_id: str, layers: tuple[int, int], started_at_ms: int
    ) -> None:
        self.layers = layers
        self._upstream_id = upstream_id
        self._started_at_ms = started_at_ms
        self._order_count = 0

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        expected = request.headers_by_name.get("wigeondrift-expect-instance")
        if expected not in (None, self._upstream_id):
            await exchange.respond(421, [])
        elif request.path == "/wigeondrift/report":
            await exchange.respond(200, [], msgspec.json.encode(self._make_report()))
        elif request.path == "/wigeondrift/order":
            await self._handle_order(exchange)
        elif self.layers != (0, 0) and not self._holds_stage(request.headers_by_name):
            await exchange.respond(421, [])
        else:
            await exchange.run_until_closed(lambda: self._run(exchange))

    def _holds_stage(self, headers_by_name: dict[str, str]) -> bool:
        stage, _, _ = headers_by_name.get(STAGES_HEADER, "").partition(",")
        first, _, end = stage.partition("=")[2].partition("-")
        if not (first.isdigit() and end.isdigit()):
            return False
        return self.layers[0] <= int(first) and int(end) <= self.layers[1]

    def _make_report(self) -> dict:
        first, end = self.layers
        return {
            "busy": False,
            "seq": self._order_count,
            "born": self._started_at_ms,
            "layers": {"from": first, "to": end, "version": 1},
            "stalled": [],
        }

    async def _handle_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body)
        if order.get("expect") != self._order_count:
            await exchange.respond(409, [])
            return
        self._order_count += 1
        self.layers = (order["from"], order["to"])
        await exchange.respond(202, [])

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.headers_by_name["wigeondrift-request-id"]
        line = {"id": request_id, "upstream": self._upstream_id, "at": time.monotonic()}
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()
        headers = [("Wigeondrift-Request-Id", request_id), SEAL_HEADER]
        if "wigeondrift-token-counts" not in request.headers_by_name:
            await trio.sleep(EVENT_SECONDS)
            await exchange.respond(200, headers, f"done {request_id}".encode())
            return
        after = request.headers_by_name.get("last-event-id")
        await exchange.start(200, headers)
        for number in range(int(after) + 1 if after else 0, EVENTS):
            await trio.sleep(EVENT_SECONDS)
            await exchange.send(f"id: {number}\ndata: {request_id}\n\n".encode())
        await exchange.finish()


async def send_heartbeats(
    upstream: SoakUpstream, store: str, key: str, entry: dict
) -> None:
    """Register the upstream and its layers in the store, periodically."""
    client = HttpClient(CALL_TIMEOUT_SECONDS)
    while True:
        first, end = upstream.layers
        if (first, end) != (0, 0) or entry.get("kind"):
            entry["layers"] = {"from": first, "to": end, "version": 1}
        value = msgspec.json.encode(entry).decode()
        call = msgspec.json.encode({"key": key, "value": value})
        try:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                async with client.request(
                    store, "POST", "/soak/beat", [], call
                ) as response:
                    await response.read()
        except TransportError as error:
            sys.stderr.write(f"heartbeat to the store failed: {error}\n")
        await trio.sleep(HEARTBEAT_SECONDS)


async def main(
    upstream_id: str,
    service: str,
    address: str,
    told_address: str,
    zone: str,
    store: str,
    layers: str,
) -> None:
    """Serve until killed."""
    first, _, end = layers.partition("-")
    started_at_ms = time.time_ns() // 1_000_000
    upstream = SoakUpstream(upstream_id, (int(first), int(end)), started_at_ms)
    entry = {
        "service": service,
        "address": told_address,
        "zone": zone,
        "state": "ready",
        "slots": 32,
        "born": started_at_ms,
        "seq": 1,
    }
    if service == "model":
        entry["kind"] = "large"
    host, port = parse_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host)
    async with trio.open_nursery() as nursery:
        server = HttpServer(upstream.handle, HttpLimits(body_bytes=MAX_BODY_BYTES))
        nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)
        nursery.start_soon(
            send_heartbeats, upstream, store, f"servers/{upstream_id}", entry
        )


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
