"""Emulated upstreams: model runners and instances of plain services."""

from collections.abc import Awaitable, Callable

import msgspec
import trio

from wigeondrift.wire.http_server import Exchange, Request

EVENT_SECONDS = 0.02
# Time after which a request that depends on a dead runner is cut off.
STALL_SECONDS = 2.5
SEAL_HEADER = ("Wigeondrift-Response-Seal", "stand-in")
LEAVING_HEADER = "Server-Leaving"
ROUTE_HEADER = "wigeondrift-hop-count"
FAULTY_HEADER = "At-Server"
NOT_EXECUTED_HEADER = ("Wigeondrift-Not-Executed", "1")


class RunningRequest:
    """A request in progress at its first runner.

    Attributes
    ----------
    path : list of str
        Addresses of the parts of its route.
    is_moved : bool
        Whether an order has changed the path.
    was_moved : trio.Event
        Set at the next change.
    is_stalled : bool
    """

    def __init__(self, path: list[str]) -> None:
        self.path = path
        self.is_moved = False
        self.was_moved = trio.Event()
        self.is_stalled = False

    def move(self, path: list[str]) -> None:
        """Continue over another path."""
        self.path = path
        self.is_moved = True
        self.was_moved.set()
        self.was_moved = trio.Event()


class ModelServer:
    """One model runner or one instance of a plain service.

    Parameters
    ----------
    upstream_id : str
    events : int
        Number of events in a stream.

    Attributes
    ----------
    latency : float
        Time before each answer or start of a stream, in seconds.
    gate : trio.Event or None
        Event that each answer or start of a stream waits for.
    served : list of Request
        Requests that the upstream started to run.
    refusals : int
        Number of requests answered with the fault ``refuse``.
    fault : str
        Injected fault, none if empty: ``refuse`` (full: 503, not executed),
        ``reset`` (connection reset after some events, or at once if the answer is no
        stream), ``stall`` (sends some events, then nothing), ``error`` (status 500),
        ``missing`` (status 404),
        ``unsigned`` (no response seal), ``foreign`` (id of another request),
        ``split`` (stream ends within an event), ``silent`` (runs, never answers),
        ``dribble`` (sends some events, then only comments).
    events_before_fault : int
        Number of events sent before a fault.
    reported_stall_address : str
        Address that the report names as the stalling peer of every request; if
        empty, the report lists no stalled requests.
    dead_peers : set of str
        Addresses of dead stages: a request whose route has one of them is refused
        without being run, and the answer names it.
    layers : tuple of (int, int)
        First layer and end of the layers held, the end excluded.
    order_count : int
        Number of orders accepted.
    orders : list of dict
        Orders accepted.
    dead_addresses : set of str
        Addresses of dead runners, shared by the servers of one world. A request whose
        path has one stalls until an order moves it, and is cut off after some seconds.
        One that arrives is answered 503 (not executed).
    read_seconds : float
        Time that new parts of a path take to read the tokens so far.
    order_fault : str
        Fault of orders to change a path, none if empty: ``full`` (409 that names
        ``refused_address``, if the path has it), ``late`` (carried out after
        ``late_seconds``, never answered), ``conflict`` (409 without an address).
    refused_address : str
    late_seconds : float
    running_by_id : dict of str to RunningRequest
    aborted_calls : int
        Number of calls that their caller closed before the answer was complete.
    pace : float
        Factor by which the report says that the upstream is slow.
    paces_by_address : dict of str to float
        Factors on the time between the events of streams whose path has these
        addresses; the largest one counts. Shared by the servers of one world.
    reports : int
        Number of times that the report was requested.
    limit : str
        Limit named in each answer, none if empty.
    retry_after : str
        Time named in each refusal, none if empty.
    leaving_mark : str
        Value of the header of leaving upstreams in each answer, none if empty.
    born : int
        Start of the present incarnation, in milliseconds since the epoch.
    deadly : str
        Text that no request may have in its prompt parts or its body, if not empty:
        the upstream dies when it begins to answer one, after an answer with the
        fault ``error``.
    deadly_events : int
        Number of events of a stream after which it dies, zero to die before them.
    on_death : callable or None
        Coroutine function that is called with the upstream when it dies.
    """

    def __init__(self, upstream_id: str, events: int = 6) -> None:
        self.upstream_id = upstream_id
        self.events = events
        self.latency = 0.0
        self.gate: trio.Event | None = None
        self.served: list[Request] = []
        self.refusals = 0
        self.fault = ""
        self.events_before_fault = 3
        self.reported_stall_address = ""
        self.dead_peers: set[str] = set()
        self.layers = (0, 0)
        self.order_count = 0
        self.orders: list[dict] = []
        self.dead_addresses: set[str] = set()
        self.read_seconds = 0.05
        self.order_fault = ""
        self.refused_address = ""
        self.late_seconds = 1.5
        self.running_by_id: dict[str, RunningRequest] = {}
        self.aborted_calls = 0
        self.pace = 1.0
        self.paces_by_address: dict[str, float] = {}
        self.reports = 0
        self.born = 1
        self.limit = ""
        self.leaving_mark = ""
        self.retry_after = ""
        self.deadly = ""
        self.deadly_events = 0
        self.on_death: Callable[[ModelServer], Awaitable[None]] | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        expected = request.headers_by_name.get("wigeondrift-expect-instance")
        if expected not in (None, self.upstream_id):
            await exchange.respond(421, [])
        elif request.path == "/wigeondrift/report":
            await self._respond_report(exchange)
        elif request.path == "/wigeondrift/order":
            await self._handle_order(exchange)
        else:
            ended = await exchange.run_until_closed(lambda: self._run(exchange))
            if not ended:
                self.aborted_calls += 1

    async def _respond_report(self, exchange: Exchange) -> None:
        self.reports += 1
        stalled = []
        for request in self.served:
            request_id = request.headers_by_name["wigeondrift-request-id"]
            address = self._find_stalling(request_id)
            if address:
                stalled.append({"id": request_id, "address": address})
        report = {
            "stage": "both",
            "busy": False,
            "seq": self.order_count,
            "running": 0,
            "waiting": 0,
            "kv_used": 0,
            "kv_total": 1000,
            "pace": self.pace,
            "born": self.born,
            "layers": {"from": self.layers[0], "to": self.layers[1], "version": 1},
            "stalled": stalled,
        }
        headers = self._make_leaving_headers()
        await exchange.respond(200, headers, msgspec.json.encode(report))

    def _find_stalling(self, request_id: str) -> str:
        """Return the address that stalls a request, empty if none does."""
        running = self.running_by_id.get(request_id)
        is_moved = running is not None and running.is_moved
        if self.reported_stall_address and not is_moved:
            return self.reported_stall_address
        if running is None or not running.is_stalled:
            return ""
        return self._find_dead(running.path)

    def _find_dead(self, path: list[str]) -> str:
        for address in path:
            if address in self.dead_addresses or address == self.reported_stall_address:
                return address
        return ""

    def _make_leaving_headers(self) -> list[tuple[str, str]]:
        return [(LEAVING_HEADER, self.leaving_mark)] if self.leaving_mark else []

    async def _handle_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body)
        if order["operation"] == "repath":
            await self._handle_repath(exchange, order)
            return
        if order.get("expect") != self.order_count:
            await exchange.respond(409, [])
            return
        self.order_count += 1
        self.orders.append(order)
        if order["operation"] == "place":
            self.layers = (order["from"], order["to"])
        await exchange.respond(202, [])

    async def _handle_repath(self, exchange: Exchange, order: dict) -> None:
        if self.order_fault == "late":
            await trio.sleep(self.late_seconds)
        running = self.running_by_id.get(order["id"])
        if running is None:
            await self._answer_order(exchange, 404)
            return
        path = _parse_path(order["path"])
        refused = self._find_dead(path)
        if self.order_fault == "full" and self.refused_address in path:
            refused = self.refused_address
        if refused:
            body = msgspec.json.encode({"address": refused})
            await self._answer_order(exchange, 409, body)
            return
        expected = order.get("expect", self.order_count)
        if expected != self.order_count or self.order_fault == "conflict":
            await self._answer_order(exchange, 409)
            return
        self.order_count += 1
        self.orders.append(order)
        running.move(path)
        await self._answer_order(exchange, 202)

    async def _answer_order(
        self, exchange: Exchange, status: int, body: bytes = b""
    ) -> None:
        if self.order_fault == "late":
            raise trio.BrokenResourceError
        await exchange.respond(status, [], body)

    async def _run(self, exchange: Exchange) -> None:
        path = _parse_path(exchange.request.headers_by_name.get(ROUTE_HEADER, ""))
        dead = next((part for part in path if part in self.dead_addresses), "")
        if dead:
            self.refusals += 1
            headers = [NOT_EXECUTED_HEADER, (FAULTY_HEADER, dead)]
            await exchange.respond(503, headers)
            return
        request_id = exchange.request.headers_by_name.get("wigeondrift-request-id", "")
        self.running_by_id[request_id] = RunningRequest(path)
        try:
            await self._run_request(exchange)
        finally:
            self.running_by_id.pop(request_id, None)

    async def _run_request(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.headers_by_name.get("wigeondrift-request-id", "")
        headers = [("Wigeondrift-Request-Id", request_id), SEAL_HEADER]
        if self.limit:
            headers.append(("Server-Limit", self.limit))
        headers.extend(self._make_leaving_headers())
        if self.fault == "refuse":
            headers = [*headers[2:], NOT_EXECUTED_HEADER]
            if self.retry_after:
                headers.append(("Retry-After", self.retry_after))
            self.refusals += 1
            await self._wait_to_answer()
            await exchange.respond(503, headers)
            return
        dead_peer = self._find_dead_peer(request)
        if dead_peer is not None:
            self.refusals += 1
            names = [NOT_EXECUTED_HEADER, (FAULTY_HEADER, dead_peer)]
            await exchange.respond(503, [*headers[2:], *names])
            return
        self.served.append(request)
        await self._wait_to_answer()
        is_deadly = bool(self.deadly) and self._is_deadly(request)
        if is_deadly and not self.deadly_events:
            await trio.sleep(EVENT_SECONDS)
            if self.fault == "error":
                await exchange.respond(500, headers, b"failed")
            await self._die()
        if self.fault == "foreign":
            headers[0] = ("Wigeondrift-Request-Id", "another")
        if self.fault == "unsigned":
            headers.pop()
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault == "error":
            await exchange.respond(500, headers, b"failed")
        elif self.fault == "missing":
            await exchange.respond(404, headers, b"missing")
        elif "wigeondrift-token-counts" in request.headers_by_name:
            await self._stream(exchange, headers, is_deadly)
        elif self.fault == "reset":
            raise trio.BrokenResourceError
        else:
            await exchange.respond(200, headers, b"done by a member")

    def _find_dead_peer(self, request: Request) -> str | None:
        """Return the address of a dead stage of a request's route, or None."""
        route = request.headers_by_name.get("wigeondrift-hop-count", "")
        addresses = [part.partition("=")[0] for part in route.split(",")]
        return next((a for a in addresses if a in self.dead_peers), None)

    async def _wait_to_answer(self) -> None:
        if self.latency:
            await trio.sleep(self.latency)
        if self.gate is not None:
            await self.gate.wait()

    def _is_deadly(self, request: Request) -> bool:
        parts = request.headers_by_name.get("wigeondrift-prompt-prefix", "")
        return self.deadly in parts or self.deadly.encode() in request.body

    async def _die(self) -> None:
        await self.on_death(self)
        raise trio.BrokenResourceError

    async def _stream(self, exchange: Exchange, headers: list, is_deadly: bool) -> None:
        request_id = exchange.request.headers_by_name.get("wigeondrift-request-id", "")
        running = self.running_by_id[request_id]
        after = exchange.request.headers_by_name.get("last-event-id")
        first = int(after) + 1 if after else 0
        await exchange.start(200, headers)
        for sent, number in enumerate(range(first, self.events)):
            paces = [self.paces_by_address.get(part, 1.0) for part in running.path]
            await trio.sleep(EVENT_SECONDS * max(paces, default=1.0))
            if is_deadly and sent == self.deadly_events:
                await self._die()
            if sent == self.events_before_fault and self.fault == "split":
                await exchange.finish(b"id: %d\ndata: to" % number)
                return
            if sent == self.events_before_fault and self.fault == "reset":
                raise trio.BrokenResourceError
            if sent == self.events_before_fault and self.fault == "stall":
                if not self.reported_stall_address:
                    await trio.sleep_forever()
                await self._wait_for_path(running)
            if sent == self.events_before_fault and self.fault == "dribble":
                await self._send_comments(exchange)
            if not self.dead_addresses.isdisjoint(running.path):
                await self._wait_for_path(running)
            await exchange.send(b"id: %d\ndata: token %d\n\n" % (number, number))
        await exchange.finish()

    async def _wait_for_path(self, running: RunningRequest) -> None:
        """Wait until an order moves a request away from dead runners."""
        running.is_stalled = True
        with trio.move_on_after(STALL_SECONDS) as scope:
            while self._find_dead(running.path):
                await running.was_moved.wait()
        if scope.cancelled_caught:
            raise trio.BrokenResourceError
        running.is_stalled = False
        await trio.sleep(self.read_seconds)

    async def _send_comments(self, exchange: Exchange) -> None:
        """Send comments, which are no events, until the caller closes."""
        while True:
            await exchange.send(b": still here\n\n")
            await trio.sleep(EVENT_SECONDS)


def _parse_path(text: str) -> list[str]:
    """Return the addresses of the parts of a route."""
    return [part.partition("=")[0] for part in text.split(",") if part]
