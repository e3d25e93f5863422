"""A gateway with fake backends in the same process, on a loopback socket."""

import contextlib
import hashlib

import h11
import msgspec
import trio

from tests.processes import find_free_address
from wigeondrift.entities import Instance, Role
from wigeondrift.entry.gate import make_gate
from wigeondrift.entry.gateway import Gateway
from wigeondrift.entry.model_api import ModelApi
from wigeondrift.entry.orders import OrderResult
from wigeondrift.entry.policy import Policy
from wigeondrift.entry.request_ids import RequestIds
from wigeondrift.entry.runs import make_runs
from wigeondrift.entry.service import ServiceAnswer
from wigeondrift.entry.service_api import ServiceApi
from wigeondrift.errors import ErrorKind, Outcome, RequestError
from wigeondrift.settings import (
    AdmissionSettings,
    EntrySettings,
    HttpSettings,
    RequestSettings,
    StopSettings,
)
from wigeondrift.systems.shares import Limit
from wigeondrift.table.rows import LimitRow, ServiceKind, ServiceRow, Table, TeamRow
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.metrics import NullMetrics
from wigeondrift.telemetry.tracing import NonRecordingTracer
from wigeondrift.timer import TimerService, TrioClock

KEY = "counter-key"
MODEL = "kokil-lm"
ORDERS = "parts-desk"


class FakeGeneration:
    def __init__(self, generator, job):
        self.generator = generator
        self.job = job
        self.finish_reason = ""
        self.attempts = 1

    async def __aiter__(self):
        generator = self.generator
        for index in range(min(self.job.max_tokens, generator.length)):
            if index == generator.cut_at:
                raise RequestError(ErrorKind.STREAM_CUT, "the stream was cut")
            await generator.before_token()
            yield [f" t{index}"]
        self.finish_reason = "length"


class FakeGenerator:
    """Fake generator of the tokens t0, t1 and so on."""

    def __init__(self):
        self.length = 5
        self.cut_at = None
        self.runs = 0
        self.running = 0
        self.may_continue = trio.Event()
        self.may_continue.set()

    async def before_token(self):
        await trio.lowlevel.checkpoint()
        await self.may_continue.wait()

    @contextlib.asynccontextmanager
    async def open(self, job):
        self.runs += 1
        self.running += 1
        try:
            yield FakeGeneration(self, job)
        finally:
            self.running -= 1


class RecordingExecutor:
    """Fake order executor: records each call and echoes it in the answer."""

    def __init__(self):
        self.jobs = []

    async def run(self, job):
        self.jobs.append(job)
        headers = (("content-type", "text/x-order"), ("x-outcome", "forged"))
        body = job.call.method.encode() + b" " + job.call.body
        return OrderResult(ServiceAnswer(201, headers, body), self.outcome, False)


class UndividedLimits(Policy):
    def get_limit(self, row, now):
        limit = self.tables.table.limits_by_row[row]
        return Limit(limit.requests, limit.tokens, limit.running)


def make_tables(limit=None):
    tables = Tables()
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    row = limit or LimitRow()
    tables.table = Table(
        services_by_name={
            MODEL: ServiceRow(ServiceKind.MODEL, layers=4, version="v1"),
            ORDERS: ServiceRow(ServiceKind.PLAIN),
            "private": ServiceRow(ServiceKind.MODEL, layers=4, version="v1"),
        },
        teams_by_name={"counter": TeamRow((digest,))},
        limits_by_row={f"counter/{MODEL}": row, f"counter/{ORDERS}": row},
    )
    tables.table_version = 1
    runner = Instance(
        "runner-1",
        1,
        Role.RUNNER,
        "127.0.0.1:1",
        "rajkot",
        service=MODEL,
        version="v1",
        end_layer=4,
        slots=4,
    )
    tables.instances_by_id = {"runner-1": runner}
    return tables


class GatewayHarness:
    """A running gateway and its fake backends."""

    def __init__(self, gateway, gate, tables, generator, executor, address):
        self.gateway = gateway
        self.gate = gate
        self.tables = tables
        self.generator = generator
        self.executor = executor
        self.address = address

    async def send_raw(self, data, half_close=False):
        """Send bytes on a new connection and return all received bytes."""
        host, port = self.address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(data)
            if half_close:
                await stream.send_eof()
            received = bytearray()
            with trio.fail_after(10), contextlib.suppress(trio.BrokenResourceError):
                async for part in stream:
                    received += part
        return bytes(received)

    async def request(self, method, path, body=b"", headers=()):
        """Send a request; return status, headers by name and body of the answer."""
        all_headers = {"Host": "entry", "Authorization": f"Bearer {KEY}"}
        all_headers.update(headers)
        all_headers.update({"Content-Length": str(len(body)), "Connection": "close"})
        lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n"
        return parse_answer(await self.send_raw(head.encode() + body))

    async def post(self, path, document, headers=()):
        return await self.request("POST", path, msgspec.json.encode(document), headers)


def parse_answer(data):
    """Return status, headers by name and body of a complete answer."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "entry")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b"")
    head = client.next_event()
    body = bytearray()
    while isinstance(event := client.next_event(), h11.Data):
        body += event.data
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return head.status_code, headers, bytes(body)


@contextlib.asynccontextmanager
async def open_gateway(
    tables=None,
    admission=None,
    requests=None,
    http=None,
    stop=None,
    outcome=Outcome.RAN,
):
    """Enter with a running gateway."""
    tables = tables or make_tables()
    address = find_free_address()
    settings = EntrySettings(
        instance_id="rajkot-1",
        failure_domain="rajkot",
        listen=address,
        post=find_free_address(),
        agent=find_free_address(),
        platform=find_free_address(),
        http=http or HttpSettings(),
        requests=requests or RequestSettings(),
        admission=admission or AdmissionSettings(),
        stop=stop or StopSettings(notice=0.2, bound=5.0),
    )
    clock = TrioClock()
    timer = TimerService(clock)

    gate = make_gate(UndividedLimits(settings, tables), clock, timer)
    runs = make_runs(settings, clock, timer)
    generator = FakeGenerator()
    executor = RecordingExecutor()
    executor.outcome = outcome
    metrics = NullMetrics()
    tracer = NonRecordingTracer()
    models = ModelApi(tables, settings.requests, gate, runs, generator, metrics, tracer)
    services = ServiceApi(tables, gate, executor, metrics, tracer)
    ids = RequestIds("rajkot-1", "entry-0", 1)
    gateway = Gateway(
        settings,
        tables,
        ids,
        gate,
        runs,
        models,
        services,
        metrics,
        tracer,
        lambda: None,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        await gateway.start(nursery)
        yield GatewayHarness(gateway, gate, tables, generator, executor, address)
        nursery.cancel_scope.cancel()
