import trio
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock, memory_stream_pair

from tests.processes import find_free_address
from wigeondrift.errors import ConnectFailed, ConnectionLost
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import HttpLimits, HttpServer

REQUEST_HEAD = b"POST /echo HTTP/1.1\r\nHost: a\r\n"
BYTES_BY_NAME = {
    "an oversized header": REQUEST_HEAD + b"X: " + b"y" * 4000 + b"\r\n\r\n",
    "an oversized body": REQUEST_HEAD + b"Content-Length: 2000\r\n\r\n" + b"y" * 2000,
    "an announced huge body": REQUEST_HEAD + b"Content-Length: 99999999999\r\n\r\n",
    "a body with two lengths": REQUEST_HEAD
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "a body of a bad length": REQUEST_HEAD + b"Content-Length: 4, 5\r\n\r\nbody",
    "a bad chunk size": REQUEST_HEAD
    + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nbody\r\n",
    "something other than HTTP": b"\x16\x03\x01\x02\r\n\r\n",
    "half a request and waits": REQUEST_HEAD + b"Content-Length: 9\r\n\r\nhalf",
    "half a request and EOF": REQUEST_HEAD + b"Content-Length: 9\r\n\r\nhalf",
    "a whole request and EOF": REQUEST_HEAD + b"Content-Length: 4\r\n\r\nbody",
}


async def echo(exchange):
    await exchange.respond(200, [], exchange.request.body)


@given(
    "an echo server with a header limit of {header:d} and a body limit of {body:d}"
    " bytes"
)
def make_server(context, header, body):
    context.server = HttpServer(echo, HttpLimits(header_bytes=header, body_bytes=body))


@when("a peer sends {name}")
def send_bytes(context, name):
    async def run_peer():
        ours, theirs = memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.server.serve_stream, theirs)
            await ours.send_all(BYTES_BY_NAME[name])
            if name.endswith("EOF"):
                await ours.send_eof()
            context.answer = b""
            while data := await ours.receive_some(65536):
                context.answer += data

    trio.run(run_peer, clock=MockClock(autojump_threshold=0))


@then("the peer reads status {status:d} and the end of the connection")
def check_status(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer


async def serve_and_count(context, handler, nursery):
    context.accepted = 0

    async def serve(stream):
        context.accepted += 1
        await handler(stream)

    address = find_free_address()
    host, port = address.split(":")
    await nursery.start(
        lambda task_status: trio.serve_tcp(
            serve, int(port), host=host, task_status=task_status
        )
    )
    return address


@when('a client sends "{first}" and then "{second}"')
def send_two_requests(context, first, second):
    async def run_client():
        client = HttpClient()
        async with trio.open_nursery() as nursery:
            address = await serve_and_count(
                context, context.server.serve_stream, nursery
            )
            context.read = []
            for text in (first, second):
                async with client.request(
                    address, "POST", "/echo", body=text.encode()
                ) as response:
                    context.read.append((await response.read()).decode())
            await client.close()
            nursery.cancel_scope.cancel()

    trio.run(run_client)


@then('the client reads "{first}" and then "{second}" over {count:d} connection')
def check_two_responses(context, first, second, count):
    assert context.read == [first, second]
    assert context.accepted == count


async def request_once(address, **options):
    async with HttpClient().request(address, "GET", "/", **options) as response:
        await response.read()


def assert_raises(kind, function, *arguments):
    try:
        trio.run(function, *arguments)
    except kind:
        return
    raise AssertionError(f"{kind.__name__} was not raised")


@then("a request to a closed port raises ConnectFailed")
def check_connect_failed(context):
    assert_raises(ConnectFailed, request_once, find_free_address())


@then("a request to an unresponsive server raises ConnectionLost")
def check_unresponsive(context):
    async def stay_silent(stream):
        await trio.sleep_forever()

    async def run_client():
        async with trio.open_nursery() as nursery:
            address = await serve_and_count(context, stay_silent, nursery)
            try:
                await request_once(address, head_timeout=0.05)
            finally:
                nursery.cancel_scope.cancel()

    assert_raises_in_group(ConnectionLost, run_client)


@then("a response that ends before its content length raises ConnectionLost")
def check_truncated(context):
    async def send_truncated(stream):
        await stream.receive_some(65536)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        await stream.aclose()

    async def run_client():
        async with trio.open_nursery() as nursery:
            address = await serve_and_count(context, send_truncated, nursery)
            try:
                await request_once(address)
            finally:
                nursery.cancel_scope.cancel()

    assert_raises_in_group(ConnectionLost, run_client)


def assert_raises_in_group(kind, function):
    raised = False
    try:
        trio.run(function)
    except* kind:
        raised = True
    assert raised, f"{kind.__name__} was not raised"


WHOLE = REQUEST_HEAD + b"Content-Length: 4\r\n\r\nbody"


@then(
    "{count:d} random mutations of a request are echoed completely, refused or closed"
)
def check_mutations(context, count):
    mutation = st.tuples(
        st.integers(0, len(WHOLE)), st.integers(0, 6), st.binary(max_size=6)
    )

    async def talk(data):
        ours, theirs = memory_stream_pair()
        answer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.server.serve_stream, theirs)
            await ours.send_all(data)
            await ours.send_eof()
            while part := await ours.receive_some(65536):
                answer += part
        return answer

    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @given_any(st.lists(mutation, min_size=1, max_size=3))
    def check(mutations):
        data = WHOLE
        for place, removed, added in mutations:
            data = data[:place] + added + data[place + removed :]
        answer = trio.run(talk, data, clock=MockClock(autojump_threshold=0))
        if answer:
            status = int(answer.split(b" ", 2)[1])
            assert answer.startswith(b"HTTP/1.1 ")
            assert status in (200, 400, 408, 413, 431), answer
            if status == 200:
                # What was echoed stands in what was sent.
                body = answer.partition(b"\r\n\r\n")[2].split(b"HTTP/1.1")[0]
                assert body in data or b"chunked" in data.lower(), answer

    check()
