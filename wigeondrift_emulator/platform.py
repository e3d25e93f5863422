"""Emulator of the platform's key-value service and instance list.

The protocol is HTTP/1.1 with JSON bodies, specified in docs/STORE-STANDIN.md.
``POST /v1/CALL`` takes one of the calls of ``wigeondrift.store.calls``. The response
has status 200 and the result, or status 409, 422 or 429 and a ``Refusal``, in which
case nothing was written. If a connection closes without a response, a write may or may
not have taken effect.

Control requests are not counted and are answered during any outage:

- ``GET /control``: returns a ``ControlReport`` with call counts and active faults.
- ``POST /control``: sets the named fields of ``wigeondrift.store.core.Faults``.
- ``POST /control/instances``: applies an ``InstancesUpdate``.

Each ``--listen`` address is one caller in ``Faults.down_by_caller``, so that a failure
domain with its own address can be disconnected alone.
"""

import functools
import logging
import math
from collections.abc import Awaitable, Callable

import cyclopts
import msgspec
import trio

from wigeondrift.entities import InstanceState
from wigeondrift.errors import (
    ConnectionLost,
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.store.calls import (
    CALL_TYPES_BY_NAME,
    PATH_PREFIX,
    STATUS_CODES_BY_REFUSAL,
    Call,
    ControlReport,
    DeleteCall,
    GetCall,
    GrantLeaseCall,
    InstancesUpdate,
    KeysResponse,
    LeaseResponse,
    ListInstancesCall,
    ListKeysCall,
    PutCall,
    PutResponse,
    Refusal,
    RefusalKind,
    RenewLeaseCall,
    Response,
    WatchCall,
)
from wigeondrift.store.core import Faults, StoreCore
from wigeondrift.store.memory import MemoryStore
from wigeondrift.telemetry.events import Event, configure_logging, log_event
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer

MAX_BODY_BYTES = 2 * 1048576
MAX_CONNECTIONS = 16384
JSON_HEADERS = [("Content-Type", "application/json")]
STATUS_NOT_FOUND = 404


async def run_call(store: MemoryStore, call: Call) -> Response:
    """Run one call and return its response; raises the errors of the store."""
    match call:
        case GetCall(key):
            return await store.get(key)
        case PutCall(key, value, expected, lease):
            return PutResponse(await store.put(key, value, expected, lease))
        case DeleteCall(key, expected):
            await store.delete(key, expected)
            return PutResponse(0)
        case ListKeysCall(prefix, limit):
            return KeysResponse(tuple(await store.list_keys(prefix, limit)))
        case WatchCall(key, after, wait):
            return await store.watch(key, after, wait)
        case GrantLeaseCall(seconds):
            return LeaseResponse(await store.grant_lease(seconds), True)
        case RenewLeaseCall(lease):
            return LeaseResponse(lease, await store.renew_lease(lease))
        case ListInstancesCall(after, wait):
            return await store.list_instances(after, wait)
    raise PlatformRefused("unknown call")


class PlatformEmulator:
    """HTTP server for an in-memory store.

    Parameters
    ----------
    faults : Faults
        Initial faults and rate limits.
    seed : int
        Seed of the choice of lost responses.
    """

    __slots__ = ("_stores_by_caller", "store")

    def __init__(self, faults: Faults, seed: int = 0) -> None:
        core = StoreCore(faults, seed)
        self.store = MemoryStore(core, call_timeout=math.inf)
        self._stores_by_caller: dict[str, MemoryStore] = {}

    def make_server(self, caller: str) -> HttpServer:
        """Return an HTTP server for the connections of one caller."""
        store = self.store.connect(caller)
        self._stores_by_caller[caller] = store
        limits = HttpLimits(
            body_bytes=MAX_BODY_BYTES,
            connections=MAX_CONNECTIONS,
            idle_timeout=math.inf,
        )
        return HttpServer(functools.partial(self._handle, store), limits)

    async def _handle(self, store: MemoryStore, exchange: Exchange) -> None:
        path = exchange.request.path
        if path.startswith(PATH_PREFIX):
            await self._handle_call(store, exchange)
        elif path == "/control":
            await self._respond_to_control(exchange, self._update_faults)
        elif path == "/control/instances":
            await self._respond_to_control(exchange, self._update_instances)
        else:
            await exchange.respond(STATUS_NOT_FOUND, JSON_HEADERS, b"{}")

    async def _handle_call(self, store: MemoryStore, exchange: Exchange) -> None:
        name = exchange.request.path.removeprefix(PATH_PREFIX)
        try:
            kind = CALL_TYPES_BY_NAME.get(name)
            if kind is None:
                raise PlatformRefused("unknown call")
            call = msgspec.json.decode(exchange.request.body, type=kind)
            response = await run_call(store, call)
        except RevisionConflict as error:
            refusal = Refusal(RefusalKind.CONFLICT, str(error), error.found)
        except PlatformThrottled as error:
            refusal = Refusal(RefusalKind.THROTTLED, str(error))
        except (PlatformRefused, msgspec.MsgspecError) as error:
            refusal = Refusal(RefusalKind.INVALID, str(error))
        except PlatformUnavailable as error:
            raise ConnectionLost("the store is unavailable") from error
        else:
            await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(response))
            return
        status = STATUS_CODES_BY_REFUSAL[refusal.kind]
        await exchange.respond(status, JSON_HEADERS, msgspec.json.encode(refusal))

    async def _respond_to_control(
        self, exchange: Exchange, apply_change: Callable[[Exchange], Awaitable[None]]
    ) -> None:
        try:
            if exchange.request.method == "POST":
                await apply_change(exchange)
        except msgspec.MsgspecError as error:
            refusal = Refusal(RefusalKind.INVALID, str(error))
            body = msgspec.json.encode(refusal)
            status = STATUS_CODES_BY_REFUSAL[RefusalKind.INVALID]
            await exchange.respond(status, JSON_HEADERS, body)
            return
        report = msgspec.json.encode(self.make_report())
        await exchange.respond(200, JSON_HEADERS, report)

    async def _update_faults(self, exchange: Exchange) -> None:
        changes = msgspec.json.decode(exchange.request.body, type=dict[str, object])
        merged = {**msgspec.to_builtins(self.store.faults), **changes}
        faults = msgspec.convert(merged, Faults)
        for field in msgspec.structs.fields(Faults):
            self.store.change_faults(**{field.name: getattr(faults, field.name)})

    async def _update_instances(self, exchange: Exchange) -> None:
        update = msgspec.json.decode(exchange.request.body, type=InstancesUpdate)
        current = self.store.core.newest_instances.instances
        leaving = tuple(
            msgspec.structs.replace(instance, state=InstanceState.LEAVING)
            for instance in (*current, *update.put)
            if instance.instance_id in update.leaving
        )
        self.store.update_instances((*update.put, *leaving), update.removed)

    def make_report(self) -> ControlReport:
        """Return call counts and active faults."""
        core = self.store.core
        watching = sum(store.watching for store in self._stores_by_caller.values())
        return ControlReport(
            calls_by_name=core.calls_by_name,
            throttled=core.throttled,
            watching=watching,
            faults=msgspec.to_builtins(core.faults),
        )

    async def serve(self, addresses: list[str]) -> None:
        """Serve on all addresses until cancelled."""
        logger = logging.getLogger("wigeondrift")
        async with trio.open_nursery() as nursery:
            for address in addresses:
                host, port = parse_address(address)
                listeners = await trio.open_tcp_listeners(port, host=host)
                server = self.make_server(address)
                nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)
            log_event(logger, logging.INFO, Event.STARTED, listen=addresses)


app = cyclopts.App(name="platform", help=__doc__.partition("\n")[0])


@app.default
def run(
    *,
    listen: list[str],
    writes_per_second: float = 300.0,
    reads_per_second: float = 2000.0,
    seed: int = 0,
) -> None:
    """Run the platform emulator.

    Parameters
    ----------
    listen
        Address to listen on, ``host:port``; may be repeated.
    writes_per_second
        Maximum rate of writes, more are refused; no limit if zero.
    reads_per_second
        Maximum rate of reads, more are refused; no limit if zero.
    seed
        Seed of the choice of lost responses.
    """
    configure_logging("INFO", emulator="platform")
    faults = Faults(
        writes_per_second=writes_per_second, reads_per_second=reads_per_second
    )
    trio.run(PlatformEmulator(faults, seed).serve, listen)


if __name__ == "__main__":
    app()
