"""Emulated order service: several upstreams in one process that share a ledger.

``GET /control`` returns the ledger and the fault switches. ``POST /control`` with a
JSON ``SwitchUpdate`` sets the switches of one upstream or of all.
"""

import logging
import sys

import cyclopts
import msgspec
import trio

from wigeondrift.entry.service import ServiceCall
from wigeondrift.entry.service_memory import (
    AnswerLost,
    LedgerEntry,
    OrderLedger,
    Switches,
    UpstreamDied,
    serve_call,
)
from wigeondrift.telemetry.events import Event, configure_logging, log_event
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer

CONTROL_PATH = "/control"
JSON_HEADERS = [("Content-Type", "application/json")]
MAX_BODY_BYTES = 4194304


class SwitchUpdate(msgspec.Struct, forbid_unknown_fields=True):
    """Request to replace fault switches.

    Attributes
    ----------
    address : str
        Upstream to change; all if empty.
    switches : Switches
        New switches.
    """

    switches: Switches
    address: str = ""


class LedgerReport(msgspec.Struct, frozen=True):
    """Orders that the upstreams ran and the fault switches in force."""

    runs_by_key: dict[str, int]
    entries: list[LedgerEntry]
    switches_by_address: dict[str, Switches]


class OrderService:
    """Upstreams of the order service in one process.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of each upstream.
    switches : Switches
        Initial switches of every upstream.
    """

    __slots__ = ("_scopes_by_address", "ledger", "switches_by_address")

    def __init__(self, addresses: tuple[str, ...], switches: Switches) -> None:
        self.ledger = OrderLedger()
        self.switches_by_address = {
            address: msgspec.structs.replace(switches) for address in addresses
        }
        self._scopes_by_address: dict[str, trio.CancelScope] = {}

    async def run(self, logger: logging.Logger) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for address in self.switches_by_address:
                await nursery.start(self._serve_upstream, address)
            addresses = list(self.switches_by_address)
            log_event(logger, logging.INFO, Event.STARTED, addresses=addresses)

    async def _serve_upstream(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async def handle(exchange: Exchange) -> None:
            await self._handle(address, exchange)

        server = HttpServer(handle, HttpLimits(body_bytes=MAX_BODY_BYTES))
        host, port = parse_address(address)
        with trio.CancelScope() as scope:
            self._scopes_by_address[address] = scope
            listeners = await trio.open_tcp_listeners(port, host=host)
            task_status.started()
            await trio.serve_listeners(server.serve_stream, listeners)

    async def _handle(self, address: str, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == CONTROL_PATH:
            await self._handle_control(exchange)
            return
        headers = tuple(request.headers_by_name.items())
        call = ServiceCall(request.method, request.target, headers, request.body)
        switches = self.switches_by_address[address]
        try:
            response = await serve_call(self.ledger, address, switches, call)
        except UpstreamDied:
            self._scopes_by_address[address].cancel()
            return
        except AnswerLost:
            return
        await exchange.respond(response.status, response.headers, response.body)

    async def _handle_control(self, exchange: Exchange) -> None:
        if exchange.request.method == "POST":
            try:
                update = msgspec.json.decode(exchange.request.body, type=SwitchUpdate)
            except msgspec.DecodeError as error:
                await exchange.respond(400, [], str(error).encode())
                return
            self._apply_update(update)
        report = LedgerReport(
            self.ledger.runs_by_key, self.ledger.entries, self.switches_by_address
        )
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(report))

    def _apply_update(self, update: SwitchUpdate) -> None:
        for address in self.switches_by_address:
            if update.address in ("", address):
                self.switches_by_address[address] = msgspec.structs.replace(
                    update.switches
                )


app = cyclopts.App(name="wigeondrift_emulator.orders", help="Order service.")


@app.default
def main(
    *,
    listen: tuple[str, ...],
    checks_fencing: bool = False,
    drops_repeats: bool = False,
) -> None:
    """Run the order service.

    Parameters
    ----------
    listen
        ``host:port`` of an upstream; may be repeated.
    checks_fencing
        Refuse outdated fencing numbers.
    drops_repeats
        Answer a repeated idempotency key without running the order again.
    """
    logger = configure_logging("INFO", program="orders")
    switches = Switches(checks_fencing=checks_fencing, drops_repeats=drops_repeats)
    service = OrderService(listen, switches)
    try:
        trio.run(service.run, logger)
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    app()
