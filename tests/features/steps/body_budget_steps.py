import contextlib
import json

import trio
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock, memory_stream_pair

from tests.router_world import KEY, Answer
from tests.settings_samples import ENTRY
from wigeondrift.errors import RequestError, SettingsError
from wigeondrift.platform.settings import parse_settings as parse_router_settings
from wigeondrift.settings import EntrySettings, parse_settings
from wigeondrift.wire.body_budget import BodyBudget, get_needed_bytes
from wigeondrift.wire.http_server import HttpLimits, HttpServer

KB = 1000
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
ROUTER_SETTINGS = (
    "node=r\nzone=z\nip=127.0.0.1\nlisten.front=127.0.0.1:1\n"
    "listen.ready=127.0.0.1:2\nplatform.address=127.0.0.1:3\nlimits.memory_mb="
)


@given(
    "a budget of {limit:d} KB, an ordinary body of {small:d} KB, and bodies {first}"
    " and {second}"
)
def make_bodies(context, limit, small, first, second):
    now = [100.0]
    context.budget = BodyBudget(limit * KB, get_time=lambda: now[0])
    context.bodies = {}
    for name, text in (
        ("first", first),
        ("second", second),
        ("ordinary", f"{small} KB 0.1 s unfinished"),
    ):
        size, _, seconds, _, state = text.split()
        body = context.bodies[name] = context.budget.open()
        now[0] = 100.0 - float(seconds)
        body.begin(lambda: None)
        body.append(b"x" * (int(size) * KB))
        if state == "complete":
            body.finish()
    now[0] = 100.0


@when("a new body grows by {size:d} KB")
def grow_new_body(context, size):
    body = context.bodies["new"] = context.budget.open()
    body.begin(lambda: None)
    try:
        body.append(b"x" * (size * KB))
    except RequestError as error:
        assert error.status == 503


@then('only the body "{name}" is given up')
def check_given_up(context, name):
    given_up = [key for key, body in context.bodies.items() if body.is_evicted]
    assert given_up == [name], given_up
    # A body without its middle must not complete.
    body = context.bodies[name]
    for use in (lambda: body.append(b"rest"), body.finish):
        try:
            use()
        except RequestError as error:
            assert error.status == 503
        else:
            raise AssertionError("a body that was given up was used")


@then("{count:d} random uses keep the account within its bound and end at zero")
def check_random_uses(context, count):
    use = st.tuples(
        st.integers(0, 5),
        st.sampled_from(("begin", "append", "finish", "release")),
        st.integers(1, 400 * KB),
        st.floats(0, 3),
    )

    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @given_any(st.lists(use, max_size=60))
    def check(uses):
        now = [0.0]
        budget = BodyBudget(1000 * KB, get_time=lambda: now[0])
        bodies = [budget.open() for _ in range(6)]
        for number, name, size, seconds in uses:
            now[0] += seconds
            body = bodies[number]
            try:
                if name == "append" and body.is_open:
                    body.append(b"x" * size)
                elif name == "finish" and body.is_open:
                    assert len(body.finish()) == body.size
                elif name == "begin" and not body.held_bytes:
                    body.begin(lambda: None)
                elif name == "release":
                    body.release()
            except RequestError:
                assert body.held_bytes == 0
            assert budget.held_bytes == sum(b.held_bytes for b in bodies)
            assert budget.held_bytes <= budget.limit_bytes
        for body in bodies:
            budget.close(body)
        assert budget.held_bytes == 0

    check()


@given("a server with a budget for bodies of {size:d} KB")
def make_server(context, size):
    context.handled = []
    context.budget = BodyBudget(get_needed_bytes(size * KB, 0))

    async def handle(exchange):
        context.handled.append(exchange.request.body)
        await exchange.respond(200, [])

    context.handle = handle
    context.server = HttpServer(
        lambda exchange: context.handle(exchange),
        HttpLimits(body_bytes=size * KB, read_timeout=60.0),
        budget=context.budget,
    )


def run_peer(context, talk, **options):
    """Run ``talk`` with the streams of two connections to the server."""

    async def main():
        async with trio.open_nursery() as nursery:
            streams = []
            for _ in range(2):
                ours, theirs = memory_stream_pair()
                nursery.start_soon(context.server.serve_stream, theirs)
                streams.append(ours)
            await talk(*streams)
            nursery.cancel_scope.cancel()

    trio.run(main, **options)


@when("a peer sends half of 300 KB, another 300 KB, and the first one the rest")
def send_halves(context):
    async def talk(first, other):
        head = HEAD + b"Content-Length: 300000\r\n\r\n"
        await first.send_all(head + b"a" * 150000)
        await trio.testing.wait_all_tasks_blocked()
        await trio.sleep(2)
        await other.send_all(head + b"b" * 300000)
        await first.send_all(b"a" * 150000)
        await trio.testing.wait_all_tasks_blocked()
        context.answer = await first.receive_some()

    run_peer(context, talk, clock=MockClock(autojump_threshold=0.01))


@then("the first peer reads status 503 with Retry-After, and only the other is handled")
def check_refused(context):
    assert context.answer.startswith(b"HTTP/1.1 503 "), context.answer
    assert b"Retry-After: 1\r\n" in context.answer, context.answer
    sizes = [(body[:1], len(body)) for body in context.handled]
    assert sizes == [(b"b", 300000)], sizes


@then(
    "other tasks run at least {runs:d} times while {count:d} chunks of three bytes"
    " arrive"
)
def check_turns(context, runs, count):
    async def talk(ours, _):
        await ours.send_all(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        await trio.testing.wait_all_tasks_blocked()
        await ours.send_all(b"3\r\nabc\r\n" * count + b"0\r\n\r\n")
        others = 0
        while not context.handled:
            await trio.lowlevel.checkpoint()
            others += 1
        assert context.handled == [b"abc" * count]
        assert others >= runs, others

    run_peer(context, talk)


@when(
    "a peer sends {first:d} KB and then {size:d} KB every {seconds:g} s, {count:d}"
    " times"
)
def send_slowly(context, first, size, seconds, count):
    async def talk(ours, _):
        length = (first + count * size) * KB
        if not size:
            length += 1
        await ours.send_all(HEAD + b"Content-Length: %d\r\n\r\n" % length)
        await ours.send_all(b"x" * (first * KB))
        # The server closes the connection of a body that it refuses.
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(count):
                await trio.sleep(seconds)
                await ours.send_all(b"x" * (size * KB))
        context.answer = await ours.receive_some()

    run_peer(context, talk, clock=MockClock(autojump_threshold=0))


@then("it reads status {status:d}")
def check_status(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer


@then('a body of {size:d} KB sent to "{path}" is {state} while its response is awaited')
def check_release(context, size, path, state):
    async def check(world):
        ours, theirs = memory_stream_pair()
        budget = BodyBudget(1000 * size * KB)
        server = HttpServer(world.parts.forwarder.handle, budget=budget)
        world.nursery.start_soon(server.serve_stream, theirs)
        body = b"x" * (size * KB)
        world.nursery.start_soon(
            world.send_request, Answer(), ours, path, "POST", (), KEY, 3.0, body
        )
        await trio.sleep(0.3)
        assert sum(len(s.served) for s in world.servers_by_id.values()) == 1
        is_held = budget.held_bytes > size * KB
        assert is_held == (state == "held"), budget.held_bytes

    context.steps.append(check)


@then('{program} refuses the memory {value:d} and names "{key}"')
def check_memory_setting(context, program, value, key):
    try:
        if program == "a router":
            parse_router_settings(f"{ROUTER_SETTINGS}{value}\n")
        else:
            http = {"memory_mb": value, "body_bytes": 4194304}
            document = {**ENTRY, "http": http}
            parse_settings("f", json.dumps(document).encode(), EntrySettings)
    except SettingsError as error:
        assert key in str(error), error
        assert str(value) in str(error) or "1048576" in str(error), error
        return
    raise AssertionError("the settings were accepted")
