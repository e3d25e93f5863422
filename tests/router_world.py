"""One router on an emulated platform, in memory and virtual time."""

import random

import h11
import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair

from wigeondrift.platform.configuration import decode_configuration
from wigeondrift.router.composition import RouterParts
from wigeondrift.router.options import RouterOptions
from wigeondrift.router.settings import Bounds, RouterSettings
from wigeondrift.telemetry.metrics import NullMetrics
from wigeondrift.wire.http_server import HttpServer
from wigeondrift_emulator.memory_network import MemoryClient, MemoryNetwork
from wigeondrift_emulator.model_server import ModelServer
from wigeondrift_emulator.revision_server import RevisionServer

STORE = "10.0.0.1:80"
RESTART_SECONDS = 3.0
STALL_SECONDS = 2.0
HOST = "shop.example"
KEY = "counter-key"
TEAM = "counters"
ENGINE = {
    "slots": 4,
    "kv_token_bytes": 80_000_000,
    "step_ms": 1.0,
    "per_seq_ms": 0.01,
    "context_per_k": 0.02,
    "read_per_s": 100000.0,
    "loads_at_once": 5,
    "layers": 80,
    "layer_mb": 100.0,
    "models": [{"name": "m", "load_s": 14.0}],
    "usual": {"prompt": 10, "answer": 5},
    "kinds": [
        {"name": "large", "mb": 9000.0, "pace": 2.0, "read_x": 3.0},
        {"name": "small", "mb": 5000.0, "pace": 8.0, "read_x": 6.0},
    ],
    "delays": [{"from": "east", "to": "west", "delay_ms": 0.5}],
}


def make_route(name, kind, service, **more):
    route = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "slo_ms": 500,
        "attempts": 2 if kind != "unsafe" else 1,
        "service": service,
        "resumable": kind == "streaming",
        "gap_aim_ms": 200,
    }
    return {**route, **more}


def make_configuration(version=1, keys=(KEY,), **more):
    configuration = {
        "version": version,
        "routes": [
            make_route("draft", "streaming", "model"),
            make_route("order", "unsafe", "desk"),
            make_route("status", "safe", "desk"),
        ],
        "services": [
            {"name": "model", "health_path": "/health", "engine": ENGINE},
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TEAM, "api_keys": list(keys)}],
    }
    return {**configuration, **more}


def make_engine():
    data = msgspec.json.encode(make_configuration())
    return decode_configuration(data).services_by_name["model"].engine


class Answer:
    """Response at the caller; ``status`` is 0 if the connection ended without one."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.is_closed = False
        self.seconds = 0.0
        self.ended_at = 0.0

    @property
    def event_ids(self):
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class RouterWorld:
    """Runs a scenario against one router."""

    def __init__(self, settings=None):
        self.clock = MockClock(autojump_threshold=0)
        self.store = RevisionServer()
        self.servers_by_id = {}
        self.entries_by_id = {}
        self.deaths = 0
        self.options = RouterOptions()
        self.metrics = NullMetrics()
        self.settings = settings or RouterSettings(
            instance_id="router-1",
            failure_domain="east",
            host="10.0.0.9",
            caller_address="10.0.0.9:80",
            ready_address="10.0.0.9:81",
            store_address=STORE,
            bounds=Bounds(retry_slack=100.0),
        )
        self.put_configuration()

    def put_configuration(self, **options):
        data = msgspec.json.encode(make_configuration(**options))
        self.store.write("op/config", data)

    def add_upstream(self, upstream_id, service, zone="east", kind="", held=(0, 0)):
        address = f"10.1.0.{len(self.servers_by_id) + 1}:80"
        server = ModelServer(upstream_id)
        server.layers = held
        server.on_death = self.restart_after_death
        self.servers_by_id[upstream_id] = server
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "state": "ready",
            "slots": 4,
            "born": 1,
            "seq": 1,
        }
        if kind:
            entry["kind"] = kind
            entry["layers"] = {"from": held[0], "to": held[1], "version": 1}
        self.entries_by_id[upstream_id] = entry
        self.write_entry(upstream_id)

    def write_entry(self, upstream_id, **changes):
        entry = self.entries_by_id[upstream_id]
        entry.update(changes)
        # An upstream may be listed under another id after a restart.
        key = f"servers/{self.servers_by_id[upstream_id].upstream_id}"
        self.store.write(key, msgspec.json.encode(entry))

    def address_of(self, upstream_id):
        return self.entries_by_id[upstream_id]["address"]

    def run(self, scenario):
        """Run a coroutine function that takes the world."""

        async def main():
            async with trio.open_nursery() as nursery:
                self.network = MemoryNetwork(nursery)
                self.network.listen(STORE, self.store.handle)
                for upstream_id, server in self.servers_by_id.items():
                    address = self.address_of(upstream_id)
                    self.network.listen(address, server.handle)
                self.nursery = nursery
                self.parts = self.make_parts(MemoryClient(self.network))
                self._router_nursery = await nursery.start(hold_nursery)
                await self.parts.replica.start(self._router_nursery)
                await self.parts.suspects.start(self._router_nursery)
                nursery.start_soon(self._run_timers)
                await trio.sleep(0.1)
                await scenario(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=self.clock)

    def make_parts(self, client, instance_id="router-1"):
        settings = msgspec.structs.replace(self.settings, instance_id=instance_id)
        # Virtual time has no separate clock that includes time spent suspended.
        return RouterParts(
            settings,
            client,
            MemoryClient(self.network),
            MemoryClient(self.network),
            self.metrics,
            random.Random(1),
            trio.current_time,
            self.options,
        )

    def stop_router(self):
        """End the tasks of the first router."""
        self._router_nursery.cancel_scope.cancel()

    async def add_router(self, instance_id):
        """Return the parts of another router that shares the store."""
        parts = self.make_parts(MemoryClient(self.network), instance_id)
        await parts.replica.start(self.nursery)
        await parts.suspects.start(self.nursery)
        await trio.sleep(0.1)
        return parts

    async def restart_after_death(self, server):
        """Close the connections of an upstream and restart it after some seconds."""
        self.deaths += 1
        self.nursery.start_soon(self._restart, server)
        # Closing the connections cancels the request that is being served.
        await self.network.crash(self.address_of(self._get_name(server)))

    async def restart_after_silence(self, server):
        """Let an upstream fall silent and restart it under a new id."""
        self.deaths += 1
        self.network.silent_addresses.add(self.address_of(self._get_name(server)))
        self.nursery.start_soon(self._restart, server, True)
        await trio.sleep_forever()

    async def restart_later_stage(self, server):
        """Let the last runner of a request's route die, which stalls the first one."""
        request = server.served[-1]
        route = request.headers_by_name["wigeondrift-hop-count"]
        address = route.rpartition(",")[2].partition("=")[0]
        name = next(n for n, e in self.entries_by_id.items() if e["address"] == address)
        self.deaths += 1
        self.nursery.start_soon(self._restart, self.servers_by_id[name])
        server.reported_stall_address = address
        await trio.sleep(STALL_SECONDS)
        server.reported_stall_address = ""

    async def return_after_silence(self, server):
        """Let an upstream fall silent for some seconds and answer again."""
        address = self.address_of(self._get_name(server))
        self.network.silent_addresses.add(address)

        async def end():
            await trio.sleep(RESTART_SECONDS)
            self.network.silent_addresses.discard(address)
            self.write_entry(self._get_name(server), seq=2)

        self.nursery.start_soon(end)
        await trio.sleep_forever()

    async def _restart(self, server, has_new_id=False):
        name = self._get_name(server)
        address = self.address_of(name)
        await trio.sleep(RESTART_SECONDS)
        await self.network.crash(address)
        self.network.silent_addresses.discard(address)
        self.network.listen(address, server.handle)
        if has_new_id:
            self.store.remove(f"servers/{server.upstream_id}")
            server.upstream_id += "+"
        server.born = self.entries_by_id[name]["born"] + 1
        self.write_entry(name, born=server.born)

    def _get_name(self, server):
        return next(n for n, one in self.servers_by_id.items() if one is server)

    async def _run_timers(self):
        while True:
            await self.parts.replica.expire(trio.current_time())
            await self.parts.client.prune(trio.current_time())
            await self.parts.wait_queue.poll(trio.current_time())
            await trio.sleep(0.05)

    async def call(
        self, path, method="POST", disconnect_after=None, headers=(), **options
    ):
        """Send one request on a new connection and read the response."""
        answer = Answer()
        with trio.move_on_after(disconnect_after or 60.0):
            await self._call(answer, path, method, headers, **options)
        return answer

    async def _call(
        self,
        answer,
        path,
        method,
        headers,
        key=KEY,
        caller_timeout=3.0,
        body=b"body",
        router=None,
    ):
        ours, theirs = memory_stream_pair()
        server = HttpServer((router or self.parts).forwarder.handle)
        self.nursery.start_soon(server.serve_stream, theirs)
        await self.send_request(
            answer, ours, path, method, headers, key, caller_timeout, body
        )

    async def send_request(
        self,
        answer,
        stream,
        path,
        method,
        headers=(),
        key=KEY,
        caller_timeout=3.0,
        body=b"body",
        awaits_close=False,
    ):
        """Send one request on a connection and read the response."""
        started_at = trio.current_time()
        request_headers = [
            ("Host", HOST),
            ("Wigeondrift-Request-Id", f"r{self._count()}"),
            ("Wigeondrift-Deadline-Remaining", str(int(caller_timeout * 1000))),
            *headers,
        ]
        if key:
            request_headers.append(("Authorization", f"Bearer {key}"))
        if path.startswith("/draft"):
            request_headers.append(("Wigeondrift-Token-Counts", "10,5"))
        if method != "GET":
            request_headers.append(("Content-Length", str(len(body))))
        connection = h11.Connection(h11.CLIENT)
        data = connection.send(
            h11.Request(method=method, target=path, headers=request_headers)
        )
        if method != "GET":
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        async with stream:
            await stream.send_all(data)
            await _read(answer, connection, stream)
            if awaits_close:
                answer.is_closed = await _is_closed(stream)
            answer.seconds = answer.ended_at - started_at

    def _count(self):
        self._calls = getattr(self, "_calls", 0) + 1
        return self._calls


async def hold_nursery(task_status):
    async with trio.open_nursery() as nursery:
        task_status.started(nursery)
        await trio.sleep_forever()


async def _is_closed(stream):
    """Whether the peer closes an idle connection."""
    with trio.move_on_after(1.0):
        try:
            return not await stream.receive_some(1)
        except trio.BrokenResourceError:
            return True
    return False


async def _read(answer, connection, stream):
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive_some(65536))
            except trio.BrokenResourceError:
                return
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                name.decode(): value.decode("latin-1") for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.is_whole = True
            answer.ended_at = trio.current_time()
            return
        else:
            return
