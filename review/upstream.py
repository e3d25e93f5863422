"""Stand-in of a model runner or of a member of a plain service.

Run as ``python3 review/upstream.py`` with the options below. It speaks what the users'
pages say of runners, and registers itself in the store every 1.2 s. Each run of a
request is a line of JSON on standard output.

``--spoil-every N`` is the disruption ``garble``: in one of N streams a single byte is
wrong, a digit of an event's id. ``--pair`` hands out the events of a stream two at a
time, which is sound. ``--deadly-target`` names the path of a request that crashes the
runner that runs it, after ``--deadly-events`` events of its stream. After SIGUSR1 the
upstream leaves as some do: it never reports that it is draining, its entry is removed,
and it goes on serving.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import time

HEARTBEAT_SECONDS = 1.2
EVENTS = 20
EVENT_SECONDS = 0.02
SPOILED_EVENT = 11
CRASH_STATUS = 70


class Upstream:
    """One upstream and its counters."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.layers = tuple(int(part) for part in options.layers.split("-"))
        self.born = time.time_ns() // 1_000_000
        self.orders = 0
        self.streams = 0
        self.is_leaving = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        pairs = [line.split(":", 1) for line in lines[1:] if ":" in line]
        headers = {name.strip().lower(): value.strip() for name, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        expected = headers.get("wigeondrift-expect-instance", self.options.id)
        if expected != self.options.id:
            await self._respond(writer, headers, 421, b"", [])
        elif target == "/wigeondrift/report":
            await self._respond(writer, headers, 200, self._make_report(), [])
        elif target == "/wigeondrift/order":
            await self._take_order(writer, headers, json.loads(body))
        elif not self._holds_part(headers):
            await self._respond(writer, headers, 421, b"", [])
        else:
            await self._run(writer, method, target, headers)
        return headers.get("connection", "") != "close"

    async def _respond(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        status: int,
        body: bytes,
        extra: list[str],
    ) -> None:
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}", *extra]
        if "wigeondrift-request-id" in headers:
            lines.append(f"Wigeondrift-Request-Id: {headers['wigeondrift-request-id']}")
        if status in (421, 503):
            lines.append("Wigeondrift-Not-Executed: 1")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()

    def _make_report(self) -> bytes:
        first, end = self.layers
        report = {
            "busy": False,
            "seq": self.orders,
            "born": self.born,
            "layers": {"from": first, "to": end, "version": 1},
            "stalled": [],
        }
        return json.dumps(report).encode()

    async def _take_order(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], order: dict
    ) -> None:
        if order.get("expect") != self.orders:
            await self._respond(writer, headers, 409, b"", [])
            return
        self.orders += 1
        self.layers = (order["from"], order["to"])
        await self._respond(writer, headers, 202, b"", [])

    def _holds_part(self, headers: dict[str, str]) -> bool:
        if not self.options.kind:
            return True
        part = headers.get("wigeondrift-hop-count", "").partition(",")[0]
        first, _, end = part.partition("=")[2].partition("-")
        if not (first.isdigit() and end.isdigit()):
            return False
        return self.layers[0] <= int(first) and int(end) <= self.layers[1]

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
    ) -> None:
        request_id = headers["wigeondrift-request-id"]
        run = {
            "run": request_id,
            "upstream": self.options.id,
            "service": self.options.service,
            "method": method,
            "target": target,
            "last_event_id": headers.get("last-event-id"),
            "at": time.monotonic(),
        }
        sys.stdout.write(json.dumps(run) + "\n")
        sys.stdout.flush()
        seal = "Wigeondrift-Response-Seal: stand-in"
        if self.options.kind:
            is_deadly = target == self.options.deadly_target
            await self._write_stream(writer, headers, seal, is_deadly)
        else:
            await asyncio.sleep(EVENT_SECONDS)
            body = f"{self.options.service} done {request_id}".encode()
            await self._respond(writer, headers, 200, body, [seal])

    async def _write_stream(
        self,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        seal: str,
        is_deadly: bool,
    ) -> None:
        request_id = headers["wigeondrift-request-id"]
        self.streams += 1
        every = self.options.spoil_every
        is_spoiled = bool(every) and self.streams % every == 0
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Wigeondrift-Request-Id: {request_id}",
            seal,
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        after = headers.get("last-event-id")
        waiting = b""
        first = int(after) + 1 if after else 0
        for number in range(first, EVENTS):
            await asyncio.sleep(EVENT_SECONDS)
            if is_deadly and number - first >= self.options.deadly_events:
                line = {"crash": request_id, "upstream": self.options.id}
                sys.stdout.write(json.dumps({**line, "at": time.monotonic()}) + "\n")
                sys.stdout.flush()
                os._exit(CRASH_STATUS)
            shown = str(number)
            if is_spoiled and number == SPOILED_EVENT:
                shown = "0" + shown[1:]
                line = {"spoiled": request_id, "event": number, "shown": shown}
                sys.stdout.write(json.dumps(line) + "\n")
                sys.stdout.flush()
            waiting += f"id: {shown}\ndata: {request_id} piece {number}\n\n".encode()
            if self.options.pair and number % 2 == 0 and number < EVENTS - 1:
                continue
            writer.write(f"{len(waiting):x}\r\n".encode() + waiting + b"\r\n")
            waiting = b""
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def register(self) -> None:
        """Write the entry to the store, periodically."""
        options = self.options
        while not self.is_leaving:
            first, end = self.layers
            entry = {
                "service": options.service,
                "address": options.address,
                "zone": options.zone,
                "version": "v1",
                "state": "ready",
                "slots": 96,
                "cold_remaining_ms": 0,
                "seq": self.orders,
                "born": self.born,
            }
            if options.kind:
                entry["kind"] = options.kind
                entry["layers"] = {"from": first, "to": end, "version": 1}
            call = {"key": f"servers/{options.id}", "value": json.dumps(entry)}
            try:
                await self._call_store("/soak/beat", call)
            except (OSError, TimeoutError) as error:
                sys.stderr.write(f"no heartbeat: {error!r}\n")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def leave(self) -> None:
        """Remove the entry and go on serving."""
        self.is_leaving = True
        key = f"servers/{self.options.id}"
        call = {"expect": [], "puts": [], "deletes": [key]}
        await self._call_store("/wigeondrift/kv-txn", call)
        line = {"left": self.options.id, "at": time.monotonic()}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    async def _call_store(self, path: str, call: dict) -> None:
        host, port = self.options.store.split(":")
        body = json.dumps(call).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: {self.options.store}\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(reader.read(), 1.0)
        writer.close()
        if not answer.startswith(b"HTTP/1.1 200"):
            raise OSError(f"the store answered {answer[:40]!r}")


async def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "address", "zone", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--layers", default="0-0")
    parser.add_argument("--kind", default="")
    parser.add_argument("--pair", action="store_true")
    parser.add_argument("--spoil-every", type=int, default=0)
    parser.add_argument("--deadly-target", default="")
    parser.add_argument("--deadly-events", type=int, default=0)
    options = parser.parse_args()
    upstream = Upstream(options)
    tasks = set()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, lambda: tasks.add(asyncio.ensure_future(upstream.leave()))
    )
    host, port = options.address.split(":")
    server = await asyncio.start_server(upstream.serve, host, int(port))
    async with server:
        await asyncio.gather(upstream.register(), server.serve_forever())


if __name__ == "__main__":
    asyncio.run(main())
