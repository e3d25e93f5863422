"""Stand-ins and router processes for the scripts of the second independent review.

The stand-ins follow the users' pages: a store with revisions, watches and leases, plain
services, and clients. All addresses are loopback addresses with free ports.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "review.example"
KEY = "key-one"
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
START_SECONDS = 25.0
MAX_WATCH_MS = 30_000
READ_SIZE_BYTES = 16384
RECEIVE_BUFFER_BYTES = 65536


class Record:
    """Record of what was sent, answered and run; written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start, in seconds."""
        seconds = time.monotonic() - self.started_at
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()


class Message:
    """Received HTTP request or response."""

    def __init__(
        self, first_line: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body
        self.received_at = time.monotonic()

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header given by its lower-case name."""
        return dict(self.headers).get(name, default)


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Read one HTTP message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.append((name.strip().lower(), value.strip()))
    fields = dict(headers)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif is_response:
        body = await reader.read()
    return Message(lines[0], headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(body, None)
        size = int(line.split(b";")[0], 16)
        if not size:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readline()


def make_response(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Base of the stand-ins that serve HTTP."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def start(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            # The peer has left; its own record shows it.
            pass
        except asyncio.CancelledError:
            # The stand-in stops. The event loop would log the cancellation as an error.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Stop to listen, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks)


class Store(Server):
    """The platform's metadata store."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        self._changed = asyncio.Event()
        # Waiting watches: writer and the time since which each waits.
        self.waiting: dict[asyncio.StreamWriter, float] = {}
        self.calls = 0

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as the operator, a runner or a router does."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": known["create_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "removed": True})

    def _publish(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        now = time.monotonic()
        for lease, (_, ends_at) in list(self._leases.items()):
            if now >= ends_at:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    def cut_watches(self) -> int:
        """Close the connections of all watches that wait; return their number."""
        writers = list(self.waiting)
        for writer in writers:
            writer.close()
        return len(writers)

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a call."""
        self.calls += 1
        self.expire_leases()
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = parts.path.removeprefix("/wigeondrift/")
        if name == "kv-watch":
            status, answer = await self._watch(query, writer)
        else:
            await asyncio.sleep(0.004)
            status, answer = self._call(request, name, query)
        body = json.dumps(answer).encode()
        writer.write(
            make_response(status, [("Content-Type", "application/json")], body)
        )
        await writer.drain()
        return True

    def _call(self, request: Message, name: str, query: dict) -> tuple[int, dict]:
        call = json.loads(request.body) if request.body else {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if name == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[key] for key in keys]
            return 200, {"items": items, "more_pages": False, "as_of": self.revision}
        if name == "kv-txn":
            return self._commit(call)
        if name == "kv-lease":
            self._next_lease += 1
            seconds = call["ttl_ms"] / 1000.0
            self._leases[self._next_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"lease": self._next_lease, "ttl_ms": call["ttl_ms"]}
        kind, _, number = name.partition("/")
        lease = int(number)
        if lease not in self._leases:
            return 404, {}
        if kind == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        seconds, _ = self._leases[lease]
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        return 200, {"ttl_ms": int(seconds * 1000)}

    def _commit(self, call: dict) -> tuple[int, dict]:
        for row in call.get("expect", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items.get(r["key"]) for r in call["expect"]]
                return 412, {"items": [one for one in found if one]}
        for row in call.get("puts", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in call.get("puts", []):
            value = base64.b64decode(row["value"])
            self.write(row["key"], value, row.get("lease", 0))
        for key in call.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def _watch(
        self, query: dict, writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        now = time.monotonic()
        ends_at = now + min(int(query["wait_ms"]), MAX_WATCH_MS) / 1000.0
        self.waiting[writer] = now
        try:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as_of": self.revision}
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), min(left, 0.2))
                self.expire_leases()
        finally:
            self.waiting.pop(writer, None)


class PlainRunner(Server):
    """Runner of a plain service.

    Attributes
    ----------
    arrivals : list of (float, Message)
        Requests that reached it.
    runs : list of str
        Ids of the requests that it has run.
    answer : callable
        Returns status, headers and body for a request that it has run.
    """

    def __init__(self, name: str, record: Record, work_seconds: float = 0.02) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.work_seconds = work_seconds
        self.arrivals: list[tuple[float, Message]] = []
        self.runs: list[str] = []
        self.born = time.time_ns() // 1_000_000
        self.answer = lambda request: (200, [], b"done " + request.body[:100])

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it."""
        request_id = request.get("wigeondrift-request-id")
        headers = [("Wigeondrift-Instance-Id", self.name)]
        if request.target == "/health":
            writer.write(make_response(200, headers))
            await writer.drain()
            return True
        if request.get("wigeondrift-expect-instance", self.name) != self.name:
            writer.write(make_response(421, headers))
            await writer.drain()
            return True
        headers.append(("Wigeondrift-Request-Id", request_id))
        if not request_id:
            headers.append(("Wigeondrift-Not-Executed", "1"))
            writer.write(make_response(400, headers))
            await writer.drain()
            return True
        self.arrivals.append((time.monotonic(), request))
        self.record.add(f"{self.name} runs {request_id} {request.first_line}")
        self.runs.append(request_id)
        await asyncio.sleep(self.work_seconds)
        status, more, body = self.answer(request)
        headers += [("Wigeondrift-Response-Seal", f"seal.{request_id}"), *more]
        writer.write(make_response(status, headers, body))
        await writer.drain()
        self.record.add(f"{self.name} answered {request_id} with {status}")
        return True


class ModelRunner(PlainRunner):
    """Model runner with memory for all layers; streams events at a steady pace.

    Attributes
    ----------
    layers : tuple of (int, int)
        Range of layers held, the end excluded.
    orders : int
        Orders that have begun.
    event_seconds : float
        Time between two events.
    events : int
        Events of each stream.
    """

    def __init__(self, name: str, record: Record, publish) -> None:
        super().__init__(name, record)
        self.layers = (0, 0)
        self.orders = 0
        self.event_seconds = 0.1
        self.events = 10
        self._publish = publish

    def get_state(self) -> dict:
        """Return what the runner says of itself in its entry and its reports."""
        first, end = self.layers
        return {
            "stage": "both",
            "models": [{"name": "model", "version": 1, "adapters": []}],
            "kind": "large",
            "layers": {"from": first, "to": end, "version": 1},
            "seq": self.orders,
        }

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a report, an order or a request for a stream."""
        if request.get("wigeondrift-expect-instance", self.name) != self.name:
            writer.write(make_response(421, [("Wigeondrift-Instance-Id", self.name)]))
        elif request.target == "/wigeondrift/report":
            state = {**self.get_state(), "busy": False, "pace": 1.0, "stalled": []}
            counts = {"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 100_000}
            body = json.dumps({**state, **counts}).encode()
            writer.write(make_response(200, [], body))
        elif request.target == "/wigeondrift/order":
            order = json.loads(request.body)
            status = 409
            if order.get("expect", self.orders) == self.orders:
                self.orders += 1
                self.layers = (order["from"], order["to"])
                self.record.add(f"{self.name} takes layers {self.layers}")
                self._publish(self)
                status = 202
            writer.write(make_response(status, []))
        else:
            await self._stream(request, writer)
        await writer.drain()
        return True

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.get("wigeondrift-request-id")
        self.arrivals.append((time.monotonic(), request))
        self.runs.append(request_id)
        self.record.add(f"{self.name} runs {request_id} {request.first_line}")
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Wigeondrift-Request-Id: {request_id}",
            f"Wigeondrift-Response-Seal: seal.{request_id}",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        try:
            for number in range(self.events):
                await asyncio.sleep(self.event_seconds)
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
        except ConnectionError:
            self.record.add(f"{self.name} is left by the caller of {request_id}")
            raise
        writer.write(b"0\r\n\r\n")
        self.record.add(f"{self.name} has ended {request_id}")


class Answer:
    """What a client got for one request: a message, or None if nothing complete."""

    def __init__(self, request_id: str, sent_at: float, message: Message | None):
        self.request_id = request_id
        self.sent_at = sent_at
        self.message = message

    @property
    def status(self) -> int:
        """Status of the response, 0 if there was no complete one."""
        return 0 if self.message is None else self.message.status


class Client:
    """Client on one kept connection to a router."""

    def __init__(self, address: str, record: Record) -> None:
        self._address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self._address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))

    async def call(
        self,
        method: str,
        path: str,
        request_id: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 3000,
        key: str = KEY,
        more: tuple[tuple[str, str], ...] = (),
        timeout: float = 30.0,
    ) -> Answer:
        """Send one request and return its answer."""
        if self._streams is None:
            await self.connect()
        reader, writer = self._streams
        headers = [
            ("Host", HOST),
            ("Wigeondrift-Request-Id", request_id),
            ("Wigeondrift-Deadline-Remaining", str(deadline_ms)),
            *([("Authorization", f"Bearer {key}")] if key else []),
            *more,
            *([("Content-Length", str(len(body)))] if body else []),
        ]
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        self._record.add(f"client sends {request_id} {method} {path}")
        sent_at = time.monotonic()
        message = None
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            reading = read_message(reader, is_response=True)
            message = await asyncio.wait_for(reading, timeout)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            self._record.add(f"client loses the connection of {request_id}: {error!r}")
        answer = Answer(request_id, sent_at, message)
        retry = "" if message is None else message.get("retry-after", "none")
        seal = "" if message is None else message.get("wigeondrift-response-seal")
        self._record.add(
            f"client gets {answer.status} for {request_id} (seal {seal or 'none'},"
            f" retry-after {retry})"
        )
        if message is None or message.get("connection") == "close":
            await self.close()
        return answer

    async def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class KeptConnection:
    """Client's connection, which reads at its own pace."""

    def __init__(self, address: str, record: Record) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._record = record
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)

    async def connect(self) -> None:
        """Open the connection."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._address)

    async def call(
        self, path: str, request_id: str, rate: float, deadline_ms: int
    ) -> bool:
        """Send a request, read at a rate in bytes per second at most.

        Returns whether the answer was complete.
        """
        loop = asyncio.get_running_loop()
        lines = [
            f"GET {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Wigeondrift-Request-Id: {request_id}",
            f"Wigeondrift-Deadline-Remaining: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        self._record.add(f"client sends {request_id} GET {path}")
        data, started_at, needed = b"", time.monotonic(), 0
        received = 0
        try:
            await loop.sock_sendall(
                self._socket, "\r\n".join([*lines, "", ""]).encode()
            )
            while not needed or received < needed:
                piece = await loop.sock_recv(self._socket, READ_SIZE_BYTES)
                if not piece:
                    break
                received += len(piece)
                if not needed:
                    data += piece
                    head, separator, _ = data.partition(b"\r\n\r\n")
                    if separator:
                        length = head.lower().split(b"content-length:")[1].split()[0]
                        needed = len(head) + len(separator) + int(length)
                lag = started_at + received / rate - time.monotonic()
                if lag > 0:
                    await asyncio.sleep(lag)
        except OSError as error:
            self._record.add(f"client loses the connection of {request_id}: {error!r}")
        status = data[9:12].decode() or "no answer"
        is_complete = bool(needed) and received >= needed
        self._record.add(
            f"client gets {status} for {request_id}, {received} bytes of {needed}"
        )
        return is_complete

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name: str, settings: dict, folder: Path, record: Record):
        self.name = name
        self.settings = settings
        self._path = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._record = record
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self) -> None:
        """Write the settings file."""
        lines = [f"{key}={value}\n" for key, value in self.settings.items()]
        scratch = self._path.with_suffix(".new")
        scratch.write_text("".join(lines))
        scratch.replace(self._path)

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = f"{ROOT / 'target/deps'}{os.pathsep}{ROOT}"
        environment["WIGEONDRIFT_CONFIG"] = str(self._path)
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(f"{self.name} starts as process {self.process.pid}")

    @property
    def front(self) -> str:
        """Address for clients."""
        return self.settings["listen.front"]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.add(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether the readiness check is answered with 200."""
        host, _, port = self.settings["listen.ready"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /wigeondrift/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            answer = await asyncio.wait_for(read_message(reader), 1.0)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            answer = None
        writer.close()
        return answer is not None and answer.status == 200

    async def wait_until_ready(self) -> None:
        """Wait until the router says that it is ready."""
        ends_at = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)
        self._record.add(f"{self.name} is ready")

    async def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors="replace")


class Deployment:
    """Store, plain runners and routers of one script."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = f"127.{60 + os.getpid() % 150}.{1 + os.getpid() // 150 % 250}"
        self._hosts = 0
        self.store = Store()
        self.runners: dict[str, PlainRunner] = {}
        self.routers: dict[str, Router] = {}
        self._servers: list[Server] = [self.store]

    def make_host(self) -> str:
        """Return a loopback address of its own."""
        self._hosts += 1
        return f"{self._prefix}.{self._hosts}"

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"{self.make_host()}:{get_free_port()}")

    async def add_runner(
        self, name: str, service: str, zone: str = "east", work_seconds: float = 0.02
    ) -> PlainRunner:
        """Start a runner of a plain service and register it."""
        runner = PlainRunner(name, self.record, work_seconds)
        await self.add_server(runner, service, zone=zone)
        return runner

    async def add_server(
        self,
        runner: PlainRunner,
        service: str,
        address: str = "",
        zone: str = "east",
    ) -> None:
        """Start a runner, at an address of its own if none is given; register it."""
        await runner.start(address or f"{self.make_host()}:{get_free_port()}")
        self.runners[runner.name] = runner
        self._servers.append(runner)
        self.register(runner, service, zone)

    async def add_model_runner(
        self, name: str, service: str, zone: str = "east"
    ) -> ModelRunner:
        """Start an empty model runner and register it."""

        def publish(changed: ModelRunner) -> None:
            self.register(changed, service, zone)

        runner = ModelRunner(name, self.record, publish)
        await self.add_server(runner, service, zone=zone)
        return runner

    def register(
        self, runner: PlainRunner, service: str, zone: str, state: str = "ready"
    ) -> None:
        """Write a runner's entry."""
        entry = {
            "service": service,
            "address": runner.address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "born": runner.born,
            "seq": 0,
        }
        if isinstance(runner, ModelRunner):
            entry.update(runner.get_state())
        self.store.write(f"servers/{runner.name}", json.dumps(entry).encode())

    def configure(
        self, version: int, routes: list[dict], services: list[dict], keys=(KEY,)
    ) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "team-a", "api_keys": list(keys), "priority": 1}],
        }
        self.store.write("op/config", json.dumps(document).encode())
        self.record.add(f"the store has acknowledged configuration {version}")

    async def add_router(
        self, name: str, zone: str = "east", **settings: object
    ) -> Router:
        """Start a router with settings like those of a small deployment."""
        ip = self.make_host()
        values = {
            "node": name,
            "role": "router",
            "machine_class": "front",
            "serves": "front",
            "ip": ip,
            "zone": zone,
            "region": "here",
            f"zones.{zone}": "here",
            "listen.front": f"{ip}:{get_free_port()}",
            "listen.ready": f"{ip}:{get_free_port()}",
            "internal_ports": "7340,7355",
            "bootstrap": "true",
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1200,
            "bounds.stable_window_ms": 3000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.config_apply_ms": 2000,
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": 5000,
            "bounds.budget_ratio": 0.2,
            "bounds.budget_window_s": 10,
            "bounds.budget_slack": 198,
            "platform.address": self.store.address,
            "platform.form": "kv",
            "platform.ttl_min_ms": 1000,
            **settings,
        }
        router = Router(name, values, self.scratch, self.record)
        self.routers[name] = router
        await router.start()
        return router

    async def close(self) -> None:
        """End all processes and stand-ins that were started."""
        for router in self.routers.values():
            await router.stop()
        for server in self._servers:
            await server.stop()
        shutil.rmtree(self.scratch, ignore_errors=True)


def make_route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route like those of the users' small sites."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "priority": 1,
        "attempts": 1 if kind == "unsafe" else 2,
        "service": service,
        "auth_exempt": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def make_engine() -> dict:
    """Return the engine of a small model."""
    return {
        "slots": 96,
        "kv_capacity_tokens": 50000,
        "kv_token_bytes": 80000,
        "stride": 3,
        "models": [{"name": "model", "pace": 1.0, "load_s": 0.5, "warm_s": 0.1}],
        "step_ms": 1.0,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100000.0,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 100, "answer": 60},
        "layers": 80,
        "layer_mb": 100.0,
        "kinds": [{"name": "large", "mb": 20000.0, "pace": 1.0, "read_x": 1.0}],
    }


def get_free_port() -> int:
    """Return a port that is free on the loopback addresses."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def has_trouble() -> bool:
    """Whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, folder: str) -> None:
    """Run a case and exit with its result.

    Parameters
    ----------
    case : callable
        Coroutine function that takes a ``Deployment`` and returns whether the rule was
        broken.
    folder : str
        Folder of the case.
    """

    async def play() -> int:
        deployment = Deployment(Path(folder))
        try:
            is_broken = await asyncio.wait_for(case(deployment), 110.0)
        except Exception as error:
            deployment.record.add(f"the case could not run: {error!r}")
            for router in deployment.routers.values():
                sys.stderr.write(router.read_log()[-1000:])
            sys.stderr.write(f"{error!r}\n")
            return EXIT_NOT_RUN
        finally:
            await deployment.close()
        deployment.record.add("the rule was broken" if is_broken else "the rule held")
        return EXIT_BROKEN if is_broken else EXIT_HELD

    sys.exit(asyncio.run(play()))
