"""Stand-ins of the users' upstreams: model runners and members of plain services."""

import msgspec
import trio

from wigeondrift.wire.http_server import Exchange, Request

EVENT_SECONDS = 0.02
SEAL = ("Wigeondrift-Response-Seal", "stand-in")
NOT_RUN = ("Wigeondrift-Not-Executed", "1")


class ModelServer:
    """One runner or member.

    Parameters
    ----------
    upstream_id : str
    events : int
        Events of each stream.

    Attributes
    ----------
    served : list of Request
        Requests that it began to run.
    fault : str
        What it does wrong: ``""``, ``refuse`` (not run, full), ``reset`` (after some
        events, or at once where there are none), ``stall`` (some events, then
        silence), ``error`` (500), ``unsigned``, ``foreign`` (another request's id),
        ``split`` (ends within an event), ``silent`` (runs and never answers).
    cut_after : int
        Events before a fault.
    stalled_by : str
        Address that its report names for all requests.
    held : tuple of (int, int)
        Layers.
    order_count : int
    orders : list of dict
    reports : int
        Questions for its report.
    """

    def __init__(self, upstream_id: str, events: int = 6) -> None:
        self.upstream_id = upstream_id
        self.events = events
        self.served: list[Request] = []
        self.fault = ""
        self.cut_after = 3
        self.stalled_by = ""
        self.held = (0, 0)
        self.order_count = 0
        self.orders: list[dict] = []
        self.abandoned = 0
        self.reports = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        request = exchange.request
        expected = request.headers_by_name.get("wigeondrift-expect-instance")
        if expected not in (None, self.upstream_id):
            await exchange.respond(421, [])
        elif request.path == "/wigeondrift/report":
            await self._report(exchange)
        elif request.path == "/wigeondrift/order":
            await self._order(exchange)
        else:
            ended = await exchange.run_until_closed(lambda: self._run(exchange))
            if not ended:
                self.abandoned += 1

    async def _report(self, exchange: Exchange) -> None:
        self.reports += 1
        stalled = []
        if self.stalled_by:
            for request in self.served:
                name = request.headers_by_name["wigeondrift-request-id"]
                stalled.append({"id": name, "address": self.stalled_by})
        report = {
            "stage": "both",
            "busy": False,
            "seq": self.order_count,
            "running": 0,
            "waiting": 0,
            "kv_used": 0,
            "kv_total": 1000,
            "pace": 1.0,
            "born": 1,
            "layers": {"from": self.held[0], "to": self.held[1], "version": 1},
            "stalled": stalled,
        }
        await exchange.respond(200, [], msgspec.json.encode(report))

    async def _order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body)
        if order.get("expect") != self.order_count:
            await exchange.respond(409, [])
            return
        self.order_count += 1
        self.orders.append(order)
        if order["operation"] == "place":
            self.held = (order["from"], order["to"])
        await exchange.respond(202, [])

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        name = request.headers_by_name.get("wigeondrift-request-id", "")
        headers = [("Wigeondrift-Request-Id", name), SEAL]
        if self.fault == "refuse":
            await exchange.respond(503, [NOT_RUN])
            return
        self.served.append(request)
        if self.fault == "foreign":
            headers[0] = ("Wigeondrift-Request-Id", "another")
        if self.fault == "unsigned":
            headers.pop()
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault == "error":
            await exchange.respond(500, headers, b"failed")
        elif "wigeondrift-token-counts" in request.headers_by_name:
            await self._stream(exchange, headers)
        elif self.fault == "reset":
            raise trio.BrokenResourceError
        else:
            await exchange.respond(200, headers, b"done by a member")

    async def _stream(self, exchange: Exchange, headers: list) -> None:
        after = exchange.request.headers_by_name.get("last-event-id")
        first = int(after) + 1 if after else 0
        await exchange.start(200, headers)
        for sent, number in enumerate(range(first, self.events)):
            await trio.sleep(EVENT_SECONDS)
            if sent == self.cut_after and self.fault == "split":
                await exchange.finish(b"id: %d\ndata: to" % number)
                return
            if sent == self.cut_after and self.fault == "reset":
                raise trio.BrokenResourceError
            if sent == self.cut_after and self.fault == "stall":
                await trio.sleep_forever()
            await exchange.send(b"id: %d\ndata: token %d\n\n" % (number, number))
        await exchange.finish()
