"""Steps on input that is malformed, endless or stalled."""

import random
import tracemalloc

import msgspec
import trio
from behave import given, then, when
from trio.testing import MockClock

from tests.features.steps.restored_steps import record_log
from tests.features.steps.router_steps import (
    MEMBERS,
    make_call,
    queue_action,
    queue_check,
)
from wigeondrift.application import Application, Component, SupervisedNursery
from wigeondrift.errors import ProtocolViolation, TransportError, UpstreamEntryError
from wigeondrift.platform.upstreams import decode_upstream
from wigeondrift.router.event_stream import EventBuffer
from wigeondrift.telemetry.events import Event
from wigeondrift.timer import TimerService, TrioClock
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.model_server import SEAL_HEADER

HOST = "127.0.0.1"
BLOCK = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\n"
PAGE = b"page"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PIECES_BY_ANSWER = {
    "an endless status line": (b"HTTP/1.1 200 ", BLOCK),
    "an endless header": (HEAD + b"X-Long: ", BLOCK),
    "endless interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "an endless chunk extension": (CHUNKED + b"4;", BLOCK),
    "an endless body": (HEAD + b"\r\n", BLOCK),
    "an endless header name": (HEAD, BLOCK),
    "endless header lines": (HEAD, b"X-Line: one of many\r\n" * 1000),
    "endless blank lines": (b"", b"\r\n" * 30000),
    "an endless chunk size": (CHUNKED, b"0" * 65536),
    "an endless trailer": (CHUNKED + b"0\r\n", b"X-Line: one of many\r\n" * 1000),
    "an endless body with a length": (
        HEAD + b"Content-Length: 99999999999999\r\n\r\n",
        BLOCK,
    ),
    "a very long keep-alive time": (
        HEAD
        + b"Keep-Alive: timeout="
        + b"9" * 5000
        + b"\r\nContent-Length: 4\r\n\r\n"
        + PAGE,
        b"",
    ),
}
BODY_LIMIT_BYTES = 4 * 1048576


def make_value(text):
    digits, _, unit = text.partition(" ")
    return "9" * int(digits) if unit == "digits" else text


@when('a caller sends a "{route}" request whose header {header} is "{value}"')
def send_bad_header(context, route, header, value):
    async def step(world):
        answer = await world.call(f"/{route}/1", headers=[(header, make_value(value))])
        context.answers.append(answer)

    context.steps.append(step)


@then('the response names "{text}"')
def check_named(context, text):
    def check(world):
        assert text in context.answers[0].body.decode(), context.answers[0].body

    queue_check(context, check)


@when('a caller sends a {method} request to "{path}"')
def send_method(context, method, path):
    async def step(world):
        context.answers.append(await world.call(path, method=method, key=""))

    context.steps.append(step)


@given("an upstream that answers with {answer}")
def make_upstream(context, answer):
    context.pieces = PIECES_BY_ANSWER[answer]


async def serve_pieces(context, stream):
    first, repeated = context.pieces
    try:
        await stream.receive_some(65536)
        await stream.send_all(first)
        while repeated:
            await stream.send_all(repeated)
        await trio.sleep_forever()
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        context.closed = True


@when("a client requests a page of it")
def request_page(context):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            address = f"{HOST}:{listeners[0].socket.getsockname()[1]}"

            async def serve(stream):
                await serve_pieces(context, stream)

            nursery.start_soon(trio.serve_listeners, serve, listeners)
            client = HttpClient()
            try:
                async with client.request(
                    address, "GET", "/", head_timeout=60.0
                ) as response:
                    context.result = await response.read(BODY_LIMIT_BYTES)
            except TransportError as error:
                context.result = error
            await client.close()
            nursery.cancel_scope.cancel()

    tracemalloc.start()
    trio.run(main)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("the client fails and has used at most {factor:d} times its limit of memory")
def check_failure(context, factor):
    assert isinstance(context.result, TransportError), context.result
    assert context.peak_bytes < factor * BODY_LIMIT_BYTES, context.peak_bytes


@given("{count:d} upstreams that answer with an endless body, and one with a page")
def make_upstreams(context, count):
    context.endless_count = count


@when("a client requests a page of each")
def request_all(context):
    context.results = []

    async def serve_endless(stream):
        context.pieces = PIECES_BY_ANSWER["an endless body"]
        await serve_pieces(context, stream)

    async def serve_page(stream):
        await stream.receive_some(65536)
        await stream.send_all(HEAD + b"Content-Length: 4\r\n\r\n" + PAGE)

    async def request(client, address):
        try:
            async with client.request(address, "GET", "/") as response:
                context.results.append(await response.read(BODY_LIMIT_BYTES))
        except TransportError as error:
            # The error itself would keep the body alive by its traceback.
            context.results.append(type(error))

    async def main():
        async with trio.open_nursery() as nursery:
            addresses = []
            for serve in (serve_endless, serve_page):
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                addresses.append(f"{HOST}:{listeners[0].socket.getsockname()[1]}")
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            client = HttpClient()
            async with trio.open_nursery() as requests:
                for _ in range(context.endless_count):
                    requests.start_soon(request, client, addresses[0])
                requests.start_soon(request, client, addresses[1])
            await client.close()
            nursery.cancel_scope.cancel()

    tracemalloc.start()
    trio.run(main)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()


@then("the client gets the page and an error of each other one")
def check_results(context):
    assert context.results.count(PAGE) == 1
    assert len(context.results) == context.endless_count + 1


@then("it has used less than {size:d} MB")
def check_memory(context, size):
    assert context.peak_bytes < size * 1048576, context.peak_bytes


@then("the client gets the page")
def check_page(context):
    assert context.result == PAGE


@then("an event stream of {data} fails after at most {limit:d} bytes")
def check_stream_bound(context, data, limit):
    piece = {
        "one endless event": b"data: " + b"x" * 1000,
        "endless comments": b": still here\n\n",
        "an id of 5000 digits": b"id: " + b"9" * 5000 + b"\n\n",
    }[data]
    buffer = EventBuffer()
    sent = 0
    try:
        while sent <= 2 * limit:
            sent += len(piece)
            buffer.feed(piece)
    except ProtocolViolation:
        assert sent <= limit + len(piece)
        return
    raise AssertionError("the buffer accepted all")


@then("random events in random pieces come out complete and in order")
def check_pieces(context):
    rng = random.Random(11)
    for _ in range(200):
        ends = [rng.choice([b"\n\n", b"\r\n\r\n"]) for _ in range(12)]
        data = b"".join(b"id: %d\ndata: t" % n + end for n, end in enumerate(ends))
        buffer, received, rest = EventBuffer(), b"", data
        while rest:
            size = rng.randint(1, 9)
            received += buffer.feed(rest[:size])
            rest = rest[size:]
        assert received == data
        assert buffer.last_id == 11
        assert not buffer.has_pending


@then("the entry {entry} is not decoded")
def check_entry(context, entry):
    layers = '{"service":"a","address":"h:80","zone":"z","state":"ready","layers":%s}'
    data = {
        "layers from -5": layers % '{"from":-5,"to":3}',
        "layers to 1e30": layers % '{"from":0,"to":1e30}',
        "arrays nested 20000 deep": layers % ("[" * 20000),
    }.get(entry, entry)
    try:
        decode_upstream("u1", data.encode())
    except UpstreamEntryError:
        return
    raise AssertionError("the entry was decoded")


@given('both members send the header "{name}" of "{value}"')
def add_header(context, name, value):
    context.note = (name, value)

    async def answer(exchange):
        context.received = exchange.request.headers_by_name
        request_id = exchange.request.headers_by_name["wigeondrift-request-id"]
        headers = [("Wigeondrift-Request-Id", request_id), SEAL_HEADER, (name, value)]
        await exchange.respond(200, headers, b"done by a member")

    async def listen(world):
        for member in MEMBERS:
            world.network.listen(world.address_of(member), answer)

    queue_action(context, listen)


@when('a caller sends a "{route}" request that has the header {name} "{value}"')
def send_with_header(context, route, name, value):
    context.name = (name, value)
    header = (name, value.encode("latin-1"))
    queue_action(context, make_call(context, f"/{route}/1", headers=[header]))


@then("both got the other's header")
def check_headers(context):
    def check(world):
        name, value = context.name
        assert context.received[name] == value, context.received
        name, value = context.note
        assert context.answers[-1].headers[name] == value, vars(context.answers[-1])

    queue_check(context, check)


class SlowlyClosedChannel:
    """Idle connection that takes a while to close."""

    def __init__(self, usable_until):
        self.usable_until = usable_until
        self.is_open_and_silent = True

    async def close(self):
        self.is_open_and_silent = False
        await trio.sleep(0.1)


async def take_and_close(rng):
    """Take idle connections of one address while others close them."""
    client = HttpClient()
    now = trio.current_time()
    client._idle_by_address["a:1"] = [
        SlowlyClosedChannel(now + rng.choice((-1.0, 0.05, 5.0))) for _ in range(6)
    ]
    taken = []

    async def take(pause):
        await trio.sleep(pause)
        channel = await client._pop_idle_channel("a:1")
        if channel is not None:
            assert channel.is_open_and_silent
            taken.append(channel)

    async def close(pause, is_all):
        await trio.sleep(pause)
        if is_all:
            await client.close_idle("a:1")
        else:
            await client.prune(trio.current_time())

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(take, rng.uniform(0.0, 0.3))
        for _ in range(3):
            nursery.start_soon(close, rng.uniform(0.0, 0.3), rng.random() < 0.3)
    assert len(set(taken)) == len(taken)


@then("{count:d} rounds of requests beside the closing of idle connections share none")
def check_idle_channels(context, count):
    async def main():
        rng = random.Random(5)
        for _ in range(count):
            await take_and_close(rng)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def make_odd_entry(upstream, oddity):
    """Return the id and the bytes of an entry that another writer has left."""
    upstream_id = "odd\r\nX-Odd: 1" if oddity == "an id that is no header" else "odd"
    number = b"9" * 400
    address = {
        "the port 70000": "10.1.0.99:70000",
        "the port -1": "10.1.0.99:-1",
        "the port 0": "10.1.0.99:0",
        'the port " 80"': "10.1.0.99: 80",
        "a host with a long label": "a" * 70 + ":80",
        "a host with a line break": "a\r\nb:80",
        "an empty host": "[]:80",
    }.get(oddity, "10.1.0.99:80")
    more = {
        "slots of 400 digits": b'"slots":' + number,
        "a start of 400 digits": b'"born":' + number,
        "a negative start": b'"born":-5',
        "other fields nested deeply": b'"x":' + b"[" * 100000 + b"]" * 100000,
    }.get(oddity, b'"seq":1')
    layers = {
        "layers nested deeply": b"[" * 100000 + b"]" * 100000,
        "a weights version of 400 digits": b'{"from":0,"to":40,"version":%s}' % number,
    }.get(oddity, b'{"from":0,"to":40,"version":1}')
    service = b'"service":"desk"'
    if upstream == "runner":
        service = b'"service":"model","kind":"large","layers":' + layers
    text = msgspec.json.encode(address)
    data = b'{%s,"address":%s,"zone":"east","state":"ready",%s}' % (service, text, more)
    return upstream_id, b"\xff\xfe" if oddity == "bytes that are no text" else data


@when("an entry of a {upstream} with {oddity} is listed, and then changes again")
def list_odd_entry(context, upstream, oddity):
    context.failures = [
        record_log(context, Event.TASK_FAILED),
        record_log(context, Event.HANDLER_FAILED),
    ]
    context.odd_id, data = make_odd_entry(upstream, oddity)

    async def write(world):
        for spaces in (b"", b" "):
            world.store.write(f"servers/{context.odd_id}", data + spaces)
            await trio.sleep(2.0)

    queue_action(context, write)


@when("{count:d} requests of each kind are sent")
def send_requests(context, count):
    for _ in range(count):
        for path in ("/draft/1", "/status/1", "/order/1"):
            queue_action(context, make_call(context, path))


@then("all of them are complete, and no task or request has failed unexpectedly")
def check_complete(context):
    def check(world):
        for answer in context.answers:
            assert answer.status == 200 and answer.is_whole, vars(answer)
        assert not any(context.failures), context.failures

    queue_check(context, check)


@then("the entry names no upstream")
def check_no_upstream(context):
    def check(world):
        assert context.odd_id not in world.parts.directory.upstreams_by_id

    queue_check(context, check)


class FailingTask(Component):
    def __init__(self):
        self.starts = 0
        self.ticks = 0

    async def start(self, nursery):
        nursery.start_soon(self._fail)
        nursery.start_soon(self._tick)

    async def _fail(self):
        self.starts += 1
        if self.starts <= 2:
            raise KeyError("malformed")
        await trio.sleep_forever()

    async def _tick(self):
        while True:
            self.ticks += 1
            await trio.sleep(0.1)


@given("an application with a task that fails twice")
def make_application(context):
    context.component = FailingTask()
    context.main = Application([context.component], 1.0).run


@given("a timer with a callback that fails")
def make_timer(context):
    context.calls_by_name = {"bad": 0, "good": 0}
    timer = TimerService(TrioClock())

    async def fail(now):
        context.calls_by_name["bad"] += 1
        raise ValueError("malformed")

    async def count(now):
        context.calls_by_name["good"] += 1

    timer.subscribe("bad", 0.1, fail)
    timer.subscribe("good", 0.1, count)

    async def main():
        async with trio.open_nursery() as nursery:
            await timer.start(SupervisedNursery(nursery))

    context.main = main


@when("it runs for {seconds:d} second")
def run_for(context, seconds):
    async def main():
        with trio.move_on_after(seconds - 0.01):
            await context.main()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("the task was started {count:d} times and the other task ran on")
def check_restarts(context, count):
    assert context.component.starts == count
    assert context.component.ticks == 10, context.component.ticks


@then("each callback was called {count:d} times")
def check_callbacks(context, count):
    assert set(context.calls_by_name.values()) == {count}, context.calls_by_name
