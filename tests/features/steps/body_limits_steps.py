"""Steps with real processes on loopback under callers that send bodies without end."""

import itertools
import os
import socket
import sys
import tempfile
import threading
from pathlib import Path

import msgspec
from behave import given, then, when

from soak.deployment import HOST, make_configuration
from wigeondrift.table.rows import LimitRow
from wigeondrift_emulator.processes import Process, wait_until
from wigeondrift_emulator.stack import (
    PLAIN,
    Stack,
    StackSettings,
    call,
    call_json,
    get_bearer_key,
)

MIB = 1048576
LARGE_CHUNK_BYTES = 65536
SMALL_CHUNK_BYTES = 3
# A caller with small chunks sends them until it has sent this much with the framing.
SMALL_CHUNKS_TOTAL_BYTES = 1 * MIB
FAR_OVER_BYTES = 64 * MIB
# Longest time that one socket operation of a caller blocks, in seconds. A caller whose
# connection the process neither reads nor closes goes on to stay open.
CALLER_TIMEOUT_SECONDS = 20.0
KEY = "key-1"


def add_closer(context, close):
    context.cleanups = [*getattr(context, "cleanups", []), close]


class Target:
    """Process under test and the requests that it accepts."""

    def __init__(self, process, address, path, headers, status):
        self.process = process
        self.address = address
        self.path = path
        self.status = status
        self._headers = headers
        self._request_ids = itertools.count()

    def make_headers(self):
        """Return the headers of a new request, with an id or key of its own."""
        *headers, (name, prefix) = self._headers
        return [*headers, (name, f"{prefix}-{next(self._request_ids)}")]

    def make_head(self, framing):
        lines = [f"POST {self.path} HTTP/1.1", "Host: " + HOST, framing]
        lines.extend(f"{name}: {value}" for name, value in self.make_headers())
        return "\r\n".join([*lines, "", ""]).encode()

    def request(self, body):
        headers = [("Host", HOST), *self.make_headers()]
        return call(self.address, "POST", self.path, headers, body)[0]


@given("a router of {memory:d} MB with a body limit of {limit:d} bytes")
def start_router(context, memory, limit):
    context.body_limit = limit
    prefix = f"127.{20 + os.getpid() % 200}"
    store, member, ip = f"{prefix}.1.1:7000", f"{prefix}.2.1:7000", f"{prefix}.4.1"
    processes = [
        Process("soak.store", [store]),
        Process("soak.upstream", ["m1", "desk", member, member, "east", store, "0-0"]),
    ]
    for process in processes:
        add_closer(context, process.kill)
    wait_until(lambda: call(store, "GET", "/soak/look")[0] == 200, "the store")
    configuration = make_configuration(1, [KEY])
    configuration["limits"] = {"max_body_bytes": limit}
    value = msgspec.json.encode(configuration).decode()
    call_json(store, "/soak/write", {"key": "op/config", "value": value})
    settings = {
        "node": "router-1",
        "zone": "east",
        "ip": ip,
        "listen.front": f"{ip}:8227",
        "listen.ready": f"{ip}:8220",
        "internal_ports": "7340,7355",
        "limits.memory_mb": memory,
        "platform.address": store,
    }
    file = tempfile.NamedTemporaryFile("w", suffix=".conf")  # noqa: SIM115
    add_closer(context, file.close)
    file.write("".join(f"{key}={value}\n" for key, value in settings.items()))
    file.flush()
    router = Process("wigeondrift.router", [], WIGEONDRIFT_CONFIG=file.name)
    add_closer(context, router.kill)
    headers = [
        ("Authorization", f"Bearer {KEY}"),
        ("Wigeondrift-Request-Id", "body-limits"),
    ]
    context.target = Target(router, f"{ip}:8227", "/status/1", headers, 200)
    ready = f"{ip}:8220"
    wait_until(
        lambda: call(ready, "GET", "/wigeondrift/readiness")[0] == 200, "the router"
    )
    wait_until(lambda: context.target.request(b"ready") == 200, "the member")


@given("an entry of {memory:d} MB with a body limit of {limit:d} bytes")
def start_entry(context, memory, limit):
    context.body_limit = limit
    http = {"body_bytes": limit, "memory_mb": memory}
    settings = StackSettings(
        domains=("rajkot",), limit=LimitRow(tokens=1e6), entry={"http": http}
    )
    stack = Stack(settings)
    add_closer(context, stack.close)
    stack.start()
    headers = [
        ("Authorization", f"Bearer {get_bearer_key(0)}"),
        ("Idempotency-Key", "body-limits"),
    ]
    context.target = Target(
        stack.entries[0],
        stack.entry_addresses[0],
        f"/services/{PLAIN}/orders",
        headers,
        201,
    )


def make_chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def send_large_chunks(target, limit, connection):
    connection.sendall(target.make_head("Transfer-Encoding: chunked"))
    for _ in range(limit // LARGE_CHUNK_BYTES - 1):
        connection.sendall(make_chunk(LARGE_CHUNK_BYTES))
    connection.sendall(make_chunk(LARGE_CHUNK_BYTES - 1))


def send_small_chunks(target, limit, connection):
    connection.sendall(target.make_head("Transfer-Encoding: chunked"))
    chunk = make_chunk(SMALL_CHUNK_BYTES)
    batch = chunk * (LARGE_CHUNK_BYTES // len(chunk))
    for _ in range(SMALL_CHUNKS_TOTAL_BYTES // len(batch)):
        connection.sendall(batch)


def send_far_over(target, limit, connection):
    connection.sendall(target.make_head("Transfer-Encoding: chunked"))
    chunk = make_chunk(LARGE_CHUNK_BYTES)
    for _ in range(FAR_OVER_BYTES // LARGE_CHUNK_BYTES):
        connection.sendall(chunk)


def announce_far_over(target, limit, connection):
    connection.sendall(target.make_head(f"Content-Length: {FAR_OVER_BYTES}"))
    data = b"x" * LARGE_CHUNK_BYTES
    for _ in range(FAR_OVER_BYTES // LARGE_CHUNK_BYTES):
        connection.sendall(data)


def complete_request(target, limit, connection):
    connection.sendall(target.make_head(f"Content-Length: {limit}") + b"x" * limit)
    assert connection.recv(LARGE_CHUNK_BYTES), "no response"


SENDERS_BY_BEHAVIOUR = {
    "send large chunks up to the limit less a byte and stay": send_large_chunks,
    "send chunks of three bytes and stay": send_small_chunks,
    "send chunks far over the limit": send_far_over,
    "announce and send a body far over the limit": announce_far_over,
    "complete a request of the limit one by one and stay": complete_request,
}


def run_caller(context, send, connection):
    try:
        send(context.target, context.body_limit, connection)
    except OSError as error:
        # The process may refuse the body, close the connection or stop reading it.
        context.caller_errors.append(error)


@when("a crowd of {count:d} connections is told to {behaviour}")
def run_callers(context, count, behaviour):
    send = SENDERS_BY_BEHAVIOUR[behaviour]
    host, port = context.target.address.split(":")
    context.caller_errors = []
    threads = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), CALLER_TIMEOUT_SECONDS)
        # The connections stay open until the scenario ends.
        add_closer(context, connection.close)
        arguments = (context, send, connection)
        thread = threading.Thread(target=run_caller, args=arguments)
        thread.start()
        threads.append(thread)
        if send is complete_request:
            thread.join()
    for thread in threads:
        thread.join()


@when("one caller sends a body of {size:d} bytes")
def send_one_body(context, size):
    context.status = context.target.request(b"x" * size)


@then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


@then("the process lives with a peak below {memory:d} MB and {bound:d} descriptors")
def check_process(context, memory, bound):
    process = context.target.process
    assert process.is_running, process.log[-2000:]
    path = Path(f"/proc/{process.popen.pid}")
    status = dict(
        line.split(":", 1) for line in (path / "status").read_text().splitlines()
    )
    peak = int(status["VmHWM"].split()[0]) / 1024.0
    descriptors = len(list((path / "fd").iterdir()))
    if "BODY_LIMITS_FIGURES" in os.environ:
        figures = f"peak {peak:.0f} MB, {descriptors} descriptors"
        print(figures, file=sys.__stdout__, flush=True)
    assert peak < memory, f"peak of {peak:.0f} MB"
    assert descriptors < bound, f"{descriptors} descriptors"


@then("one ordinary request is answered")
def check_ordinary(context):
    status = context.target.request(b"ordinary")
    assert status == context.target.status, status
