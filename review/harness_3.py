"""Stand-ins and helpers of the scripts of the third review.

The store, the upstreams and the callers run in the script's own process; the routers
run as processes of their own, with the command of the deploy file.
"""

import os
import shlex
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from wigeondrift.errors import ConnectionLost, TransportError
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer
from wigeondrift_emulator.revision_server import RevisionServer

ROOT = Path(__file__).parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "review.example"
KEY = "review-key"
TEAM = "review-team"
SEAL = "review-seal"
# Loopback addresses: second and third number by the id of the process, last number by
# what listens there.
FIRST_BLOCK = 60
BLOCKS = 150
NETWORKS_PER_BLOCK = 250
FIRST_UPSTREAM = 10
FIRST_ROUTER = 100
START_SECONDS = 20.0
POLL_SECONDS = 0.05
# Time after which an upstream that crashed is back.
RESTART_SECONDS = 3.0
UPSTREAM_BODY_BYTES = 8 * 1048576
READ_BYTES = 65536
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def has_trouble() -> bool:
    """Whether the script plays its disruption (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside a script."""

    def __init__(self, script: str) -> None:
        self._path = Path(script).parent / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        seconds = time.monotonic() - self._started_at
        self._lines.append(f"{seconds:8.3f} {text}")

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Router:
    """Router process with the command of the deploy file.

    Attributes
    ----------
    address, ready_address : str
        ``host:port`` for callers and for readiness checks.
    """

    def __init__(self, name: str, ip: str, settings: dict[str, object]) -> None:
        self.name = name
        self.address, self.ready_address = f"{ip}:8227", f"{ip}:8220"
        self._settings = {
            "node": name,
            "ip": ip,
            "listen.front": self.address,
            "listen.ready": self.ready_address,
            **settings,
        }
        self._file = tempfile.NamedTemporaryFile("w+", suffix=".conf")  # noqa: SIM115
        self._log = tempfile.NamedTemporaryFile("w+", suffix=".log")  # noqa: SIM115
        self._write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = shlex.split(deploy["roles"]["router"]["run"])
        self._process = self._start()

    def _write_settings(self) -> None:
        lines = [f"{name}={value}\n" for name, value in self._settings.items()]
        Path(self._file.name).write_text("".join(lines))

    def _start(self) -> subprocess.Popen:
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(paths)
        environment["WIGEONDRIFT_CONFIG"] = self._file.name
        return subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def log(self) -> str:
        """What the process has written."""
        return Path(self._log.name).read_text(errors="replace")

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.is_running:
            self._process.kill()
        self._process.wait()


class Upstream:
    """Member of a plain service, or a model runner, that registers in the store.

    Parameters
    ----------
    store : RevisionServer
    upstream_id, service, address : str
    handle : callable
        Answers the requests that are neither reports nor meant for another upstream.
    """

    def __init__(
        self,
        store: RevisionServer,
        upstream_id: str,
        service: str,
        address: str,
        handle: Callable[[Exchange], Awaitable[None]],
    ) -> None:
        self._store = store
        self._handle = handle
        self._name = upstream_id
        self._starts = 1
        self._scope = trio.CancelScope()
        self.upstream_id = upstream_id
        self.address = address
        self.entry = {
            "service": service,
            "address": address,
            "zone": "east",
            "version": "v1",
            "state": "ready",
            "slots": 96,
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": time.time_ns() // 1_000_000,
        }

    async def _answer(self, exchange: Exchange) -> None:
        expected = exchange.request.headers_by_name.get("wigeondrift-expect-instance")
        if expected not in (None, self.upstream_id):
            await exchange.respond(421, [])
        else:
            await self._handle(exchange)

    def register(self) -> None:
        """Write the entry in the store, as a heartbeat does if it has changed."""
        value = msgspec.json.encode(self.entry)
        key = f"servers/{self.upstream_id}"
        if self._store.get(key) != value:
            self._store.write(key, value)

    def remove(self) -> None:
        """Remove the entry, as when the upstream leaves; it goes on serving."""
        self._store.remove(f"servers/{self.upstream_id}")

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Listen and register until cancelled, again after each crash."""
        host, port = parse_address(self.address)
        while True:
            listeners = await trio.open_tcp_listeners(port, host=host)
            limits = HttpLimits(65536, UPSTREAM_BODY_BYTES, write_timeout=60.0)
            server = HttpServer(self._answer, limits)
            self.register()
            async with trio.open_nursery() as nursery:
                self._scope = nursery.cancel_scope
                nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)
                task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await trio.sleep(RESTART_SECONDS)
            self._start_again()

    def crash(self) -> None:
        """End all connections and stop listening; the entry stays for now."""
        self._scope.cancel()

    def _start_again(self) -> None:
        """Take another id, as most new starts do; the old entry has no more beats."""
        self.remove()
        self._starts += 1
        self.upstream_id = f"{self._name}-{self._starts}"
        self.entry["born"] = time.time_ns() // 1_000_000


class Deployment:
    """The store, the operator's configuration, upstreams and routers."""

    def __init__(self) -> None:
        # Scripts that run at the same time have addresses of their own.
        block, number = divmod(os.getpid(), NETWORKS_PER_BLOCK)
        self.network = f"127.{FIRST_BLOCK + block % BLOCKS}.{number}"
        self.store = RevisionServer()
        self._watch_scopes: set[trio.CancelScope] = set()
        self.store_address = f"{self.network}.1:7000"
        self.upstreams: list[Upstream] = []
        self.routers: list[Router] = []
        self.client = HttpClient(1.0)

    def configure(self, document: dict) -> None:
        """Write a configuration."""
        self.store.write("op/config", msgspec.json.encode(document))

    def add_upstream(
        self,
        upstream_id: str,
        service: str,
        handle: Callable[[Exchange], Awaitable[None]],
    ) -> Upstream:
        """Add an upstream, which ``start`` starts."""
        address = f"{self.network}.{FIRST_UPSTREAM + len(self.upstreams)}:7000"
        upstream = Upstream(self.store, upstream_id, service, address, handle)
        self.upstreams.append(upstream)
        return upstream

    def add_router(self, name: str, **changes: object) -> Router:
        """Start a router with the settings of the pages' example."""
        ip = f"{self.network}.{FIRST_ROUTER + len(self.routers)}"
        settings: dict[str, object] = {
            "role": "router",
            "machine_class": "front",
            "serves": "front",
            "zone": "east",
            "region": "here",
            "zones.east": "here",
            "internal_ports": "7340,7355",
            "bootstrap": "true",
            "limits.cpu_share": 0.537,
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1200,
            "bounds.stable_window_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.loss_slack_ms": 200,
            "bounds.config_apply_ms": 2000,
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": 5000,
            "bounds.budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_slack": 198,
            "bounds.stall_ms": 2000,
            "platform.address": self.store_address,
            **{key.replace("__", "."): value for key, value in changes.items()},
        }
        router = Router(name, ip, settings)
        self.routers.append(router)
        return router

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the store and the upstreams; wait until the routers are ready."""
        host, port = parse_address(self.store_address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        server = HttpServer(self._answer_for_store)
        nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)
        for upstream in self.upstreams:
            await nursery.start(upstream.run)
        with trio.fail_after(START_SECONDS):
            for router in self.routers:
                while not await self._is_ready(router):
                    await trio.sleep(POLL_SECONDS)

    async def _answer_for_store(self, exchange: Exchange) -> None:
        if not exchange.request.path.endswith("/kv-watch"):
            await self.store.handle(exchange)
            return
        with trio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                await self.store.handle(exchange)
            finally:
                self._watch_scopes.discard(scope)
        if scope.cancelled_caught:
            raise ConnectionLost("the watch was cut")

    def cut_watches(self) -> int:
        """End the connections of all waiting watches; return their number."""
        scopes = list(self._watch_scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)

    async def _is_ready(self, router: Router) -> bool:
        try:
            with trio.move_on_after(1.0):
                async with self.client.request(
                    router.ready_address, "GET", "/wigeondrift/readiness"
                ) as response:
                    await response.read()
                    return response.status == 200
        except TransportError:
            # It does not listen yet.
            return False
        return False

    def close(self) -> None:
        """Kill the routers that this deployment started."""
        for router in self.routers:
            router.kill()


def make_route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route with the values of the sheet of the Kokil fleet."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "priority": 1,
        "attempts": 1 if kind == "unsafe" else 2,
        "auth_exempt": False,
        "service": service,
        **changes,
    }


def make_configuration(version: int, routes: Iterable[dict], **limits: int) -> dict:
    """Return a configuration with one tenant and plain services."""
    routes = list(routes)
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 1000}
            for name in sorted({route["service"] for route in routes})
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY]}],
    }


def make_headers(request_id: str, remaining_ms: int) -> list[tuple[str, str]]:
    """Return the headers of a caller's request."""
    return [
        ("Host", HOST),
        ("Wigeondrift-Request-Id", request_id),
        ("Wigeondrift-Deadline-Remaining", str(remaining_ms)),
        ("Authorization", f"Bearer {KEY}"),
    ]


def make_answer_headers(exchange: Exchange) -> list[tuple[str, str]]:
    """Return the headers of an upstream's answer."""
    request_id = exchange.request.headers_by_name["wigeondrift-request-id"]
    return [("Wigeondrift-Request-Id", request_id), ("Wigeondrift-Response-Seal", SEAL)]


class Answer(NamedTuple):
    """What a caller received.

    Attributes
    ----------
    status : int
        Zero if there was no complete head.
    received, length : int
        Bytes of the body received and announced.
    """

    status: int
    received: int
    length: int

    @property
    def is_whole(self) -> bool:
        """Whether the answer is complete."""
        return self.status > 0 and self.received == self.length


class Caller:
    """Kept connection of a caller.

    Parameters
    ----------
    stream : trio.SocketStream
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    @classmethod
    async def connect(cls, address: str) -> "Caller":
        """Open a connection."""
        return cls(await trio.open_tcp_stream(*parse_address(address)))

    async def ask(
        self,
        path: str,
        request_id: str,
        remaining_ms: int,
        method: str = "GET",
    ) -> Answer:
        """Send a request without a body; return the answer, or what came of it."""
        headers = make_headers(request_id, remaining_ms)
        if method != "GET":
            headers.append(("Content-Length", "0"))
        lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
        data = bytearray()
        status = length = 0
        head_end = -1
        try:
            await self._stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode())
            while head_end < 0 or len(data) - head_end < length:
                piece = await self._stream.receive_some(READ_BYTES)
                if not piece:
                    break
                data += piece
                if head_end < 0 and b"\r\n\r\n" in data:
                    head_end = data.index(b"\r\n\r\n") + 4
                    status, length = _read_head(bytes(data[:head_end]))
        except trio.BrokenResourceError:
            # The router reset the connection; what came before counts.
            pass
        received = len(data) - head_end if head_end >= 0 else 0
        return Answer(status, received, length)

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self._stream)


def _read_head(head: bytes) -> tuple[int, int]:
    """Return the status and the length that a head announces."""
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return int(lines[0].split(" ")[1]), int(fields["content-length"])


def run(play: Callable[[Record], Awaitable[int]], script: str) -> None:
    """Play a case; exit with 1 if the rule broke, 0 if it held, 2 if it can't run."""
    record = Record(script)
    code = NOT_RUN
    try:
        code = trio.run(play, record)
    except BaseException as error:
        record.add(f"the case could not run: {error!r}")
        raise
    finally:
        record.write()
        if code == NOT_RUN:
            sys.stderr.write("the case could not run\n")
            os._exit(NOT_RUN)
    sys.exit(code)
