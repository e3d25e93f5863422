import re

import msgspec
import trio
from behave import given, then, when

from tests.processes import free_address
from tests.router_world import KEY, TEAM, Answer, RouterWorld
from wigeondrift.application import Application
from wigeondrift.entities import Route, Stage
from wigeondrift.router.listeners import CallerListener
from wigeondrift.wire.address import parse_address

MEMBERS = ("d1", "d2")
FIRST_COPY = ("a1", "a2")
SECOND_COPY = ("b1", "b2")
FIRST_STAGES = ("a1", "b1")


@given("a platform with two members of the desk")
def make_platform(context):
    context.world = RouterWorld()
    context.steps = []
    for name in MEMBERS:
        context.world.add_upstream(name, "desk")
    context.answers = []
    context.play = play


@given("runners of two copies of the model")
def add_runners(context):
    world = context.world
    world.add_upstream("a1", "model", kind="large", held=(0, 40))
    world.add_upstream("a2", "model", kind="large", held=(40, 80))
    world.add_upstream("b1", "model", kind="small", held=(0, 40))
    world.add_upstream("b2", "model", kind="small", held=(40, 80))


def set_fault(context, names, fault):
    for name in names:
        context.world.servers_by_id[name].fault = fault


@given('the first stage of the first copy has the fault "{fault}"')
def break_first_stage(context, fault):
    set_fault(context, ["a1"], fault)


@given("its report names the second stage as stalled")
def stall_second_stage(context):
    world = context.world
    world.servers_by_id["a1"].stalled_by = world.address_of("a2")


@given("the first stage of the first copy falls silent after 3 events")
def silence_first_stage(context):
    set_fault(context, ["a1"], "stall")
    context.steps.append(silence_when_served)


async def silence_when_served(world):
    async def watch():
        while not world.servers_by_id["a1"].served:
            await trio.sleep(0.01)
        world.network.silent.add(world.address_of("a1"))

    world.nursery.start_soon(watch)


@given('every first stage has the fault "{fault}"')
def break_first_stages(context, fault):
    set_fault(context, FIRST_STAGES, fault)
    for name in FIRST_STAGES:
        # More than two attempts bring before the fault.
        context.world.servers_by_id[name].events = 20


@given('every member has the fault "{fault}"')
def break_members(context, fault):
    set_fault(context, MEMBERS, fault)


@given('one member has the fault "{fault}"')
def break_member(context, fault):
    set_fault(context, ["d1"], fault)


@given("one member has crashed")
def crash_member(context):
    async def crash(world):
        await world.network.crash(world.address_of("d1"))

    context.steps.append(crash)


@given("one member drains")
def drain_member(context):
    context.world.write_entry("d1", state="draining")


@given("the router is closed to new requests")
def close_router(context):
    async def close(world):
        world.parts.forwarder.is_closed = True

    context.steps.append(close)


@given("every runner is full")
def fill_runners(context):
    async def fill(world):
        stages = tuple(
            Stage(name, world.address_of(name), 0, 40)
            for name in FIRST_COPY + SECOND_COPY
        )
        world.parts.choice.ledger.reserve(Route("", stages), 1e6)

    context.steps.append(fill)


@given("the runners have room again after {seconds:f} seconds")
def free_runners(context, seconds):
    async def free(world):
        async def release():
            await trio.sleep(seconds)
            stages = tuple(
                Stage(name, world.address_of(name), 0, 40)
                for name in FIRST_COPY + SECOND_COPY
            )
            ledger = world.parts.choice.ledger
            ledger.release(Route("", stages), 1e6)
            # Room for one request at a time on the first copy, none on the other.
            room = 1.7 * 12.5 * 40
            ledger._get_total = lambda runner: room if runner.kind == "large" else 1.0

        world.nursery.start_soon(release)

    context.steps.append(free)


@when("a caller asks for a draft and another one {seconds:f} seconds later")
def ask_two(context, seconds):
    async def ask(world):
        context.ends = []

        async def one(name, pause):
            await trio.sleep(pause)
            context.answers.append(await world.call("/draft/1"))
            context.ends.append(name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(one, "first", 0.0)
            nursery.start_soon(one, "second", seconds)

    later(context, ask)


@then("the second caller's answer began first")
def check_order(context):
    run_to_here(context, lambda world: check_true(context.ends[0] == "second"))


@then("all but the first {count:d} answers came at once")
def check_at_once(context, count):
    def check(world):
        seconds = sorted(answer.seconds for answer in context.answers)
        assert all(wait < 0.01 for wait in seconds[:-count]), seconds

    run_to_here(context, check)


def later(context, action):
    """Queue an action; the checks run all that is queued in one world."""
    context.steps.append(action)


@when("a caller asks for a draft")
def ask_draft(context):
    later(context, make_call(context, "/draft/1"))


@when("a caller places an order")
def place_order(context):
    later(context, make_call(context, "/order/1"))


@when('a caller calls "{path}" with the key "{key}"')
def call_with_key(context, path, key):
    later(context, make_call(context, path, key=key))


@when('a caller calls "{path}" with the key ""')
def call_without_key(context, path):
    later(context, make_call(context, path, key=""))


def make_call(context, path, **named):
    async def call(world):
        context.answers.append(await world.call(path, **named))

    return call


@when("{count:d} callers ask for a status one after another")
def ask_statuses(context, count):
    for _ in range(count):
        later(context, make_call(context, "/status/1", method="GET"))


@when("{count:d} callers place an order one after another")
def place_orders(context, count):
    for _ in range(count):
        later(context, make_call(context, "/order/1"))


@when("{count:d} callers ask for drafts at once")
def ask_drafts(context, count):
    async def ask(world):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(make_call(context, "/draft/1"), world)

    later(context, ask)


@when("a caller asks for a draft and leaves after {seconds:f} seconds")
def ask_and_leave(context, seconds):
    async def ask(world):
        await world.call("/draft/1", leave_after=seconds)
        await trio.sleep(0.2)

    later(context, ask)


@when("the key is taken away and a second passes")
def take_key(context):
    async def take(world):
        world.put_configuration(version=2, keys=("another",))
        await trio.sleep(1.0)

    later(context, take)


@when("the store is down for {seconds:d} seconds")
def stop_store(context, seconds):
    async def stop(world):
        world.store.is_down = True
        await trio.sleep(seconds)

    later(context, stop)


@when("the store is back for {seconds:d} seconds")
def start_store(context, seconds):
    async def start(world):
        world.store.is_down = False
        await trio.sleep(seconds)

    later(context, start)


@when("a newer configuration is followed by an older one")
def step_back(context):
    async def write(world):
        world.put_configuration(version=9)
        await trio.sleep(1.0)
        world.put_configuration(version=5)
        await trio.sleep(1.0)

    later(context, write)


@when("a configuration that can't be read is written")
def write_garbage(context):
    async def write(world):
        world.store.write("op/config", b"\xff{")
        await trio.sleep(1.0)

    later(context, write)


@when("the history is lost while the key is taken away")
def lose_history(context):
    async def lose(world):
        world.put_configuration(version=2, keys=("another",))
        world.store.forget_history()
        await trio.sleep(2.5)

    later(context, lose)


def play(context):
    """Run the queued actions and checks in one world."""

    async def run_steps(world):
        for step in context.steps:
            await step(world)

    context.world.run(run_steps)


def run_to_here(context, check):
    """Check something in the middle of the world's time."""

    async def look(world):
        check(world)

    context.steps.append(look)


@then("the status is {status:d}")
def check_status(context, status):
    def check(world):
        assert context.answers[-1].status == status, vars(context.answers[-1])

    run_to_here(context, check)


@then("every status is {status:d}")
def check_statuses(context, status):
    def check(world):
        statuses = [answer.status for answer in context.answers]
        assert statuses == [status] * len(statuses), statuses

    run_to_here(context, check)


@then("the events are {first:d} to {last:d}")
def check_events(context, first, last):
    def check(world):
        wanted = list(range(first, last + 1))
        assert context.answers[-1].event_ids == wanted, context.answers[-1].body

    run_to_here(context, check)


@then("each gets its own events {first:d} to {last:d}")
def check_all_events(context, first, last):
    def check(world):
        wanted = list(range(first, last + 1))
        assert all(answer.event_ids == wanted for answer in context.answers)
        assert len(context.answers) == 6

    run_to_here(context, check)


@then("the answer is whole")
def check_whole(context):
    run_to_here(context, lambda world: check_true(context.answers[-1].is_whole))


@then("the answer is cut")
def check_cut(context):
    run_to_here(context, lambda world: check_true(not context.answers[-1].is_whole))


def check_true(value):
    assert value


def count_served(world, names):
    return sum(len(world.servers_by_id[name].served) for name in names)


@then("{count:d} runners began the request")
def check_runners(context, count):
    def check(world):
        assert count_served(world, FIRST_COPY + SECOND_COPY) == count

    run_to_here(context, check)


@then("{count:d} members began the request")
def check_members(context, count):
    def check(world):
        assert count_served(world, MEMBERS) == count

    run_to_here(context, check)


@then("nothing began to run")
def check_nothing(context):
    def check(world):
        assert count_served(world, world.servers_by_id) == 0

    run_to_here(context, check)


@then("the draining member began nothing")
def check_draining(context):
    run_to_here(context, lambda world: check_true(not count_served(world, ["d1"])))


@then("the answer bears no promise")
def check_no_promise(context):
    def check(world):
        assert context.answers[-1].status not in (408, 421, 429, 503)
        assert "retry-after" not in context.answers[-1].headers

    run_to_here(context, check)


@then("the answer says when to come back")
def check_retry_after(context):
    def check(world):
        assert float(context.answers[-1].headers["retry-after"]) > 0

    run_to_here(context, check)


@then("the answer came within {seconds:f} seconds of virtual time")
def check_seconds(context, seconds):
    run_to_here(
        context, lambda world: check_true(context.answers[-1].seconds < seconds)
    )


@then("the router is ready")
def check_ready(context):
    run_to_here(context, lambda world: check_true(world.parts.readiness.is_ready))


@then("the router is not ready")
def check_not_ready(context):
    run_to_here(context, lambda world: check_true(not world.parts.readiness.is_ready))


@then("the newer one is in force")
def check_newer(context):
    def check(world):
        assert world.parts.replica.configuration.version == 9

    run_to_here(context, check)


@then("the second stage of the first copy is avoided")
def check_avoided(context):
    def check(world):
        health = world.parts.choice.health
        assert health.is_avoided("a2", trio.current_time())
        assert not health.is_avoided("a1", trio.current_time())

    run_to_here(context, check)


@then("the runner's work has been abandoned")
def check_abandoned(context):
    def check(world):
        servers = [world.servers_by_id[name] for name in FIRST_STAGES]
        assert sum(server.abandoned for server in servers) == 1

    run_to_here(context, check)


@then("the first stage was told a route that covers all layers once")
def check_route(context):
    def check(world):
        served = [s for n in FIRST_STAGES for s in world.servers_by_id[n].served]
        path = served[0].headers_by_name["wigeondrift-hop-count"]
        at = 0
        for stage in path.split(","):
            first, end = re.fullmatch(r"[0-9.:]+=(\d+)-(\d+)", stage).groups()
            assert int(first) == at < int(end)
            at = int(end)
        assert at == 80

    run_to_here(context, check)


@then("the upstreams saw the team and no key")
def check_team(context):
    def check(world):
        served = [s for n in FIRST_STAGES for s in world.servers_by_id[n].served]
        for request in served:
            assert request.headers_by_name["wigeondrift-tenant"] == TEAM
            assert KEY not in str(msgspec.json.encode(request.headers))

    run_to_here(context, check)


@given("the router listens on a socket and is told to stop while a stream runs")
def stop_while_streaming(context):
    # Sockets need the real clock; nothing here is measured against it.
    world = context.world
    world.servers_by_id["a1"].events = 30
    address = free_address()

    async def stop(world):
        listener = CallerListener(
            address,
            world.parts.forwarder,
            world.parts.replica,
            world.parts.readiness,
            grace=8.0,
            connections=10,
            notice=0.1,
        )
        application = Application([listener], 8.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(application.run)
            await trio.sleep(0.1)
            host, port = parse_address(address)
            stream = await trio.open_tcp_stream(host, port)
            nursery.start_soon(ask_over, world, context, stream)
            while not world.servers_by_id["a1"].served:
                await trio.sleep(0.01)
            application.stop_requested.set()
            await trio.sleep(0.3)
            try:
                await trio.open_tcp_stream(host, port)
            except OSError:
                context.was_refused = True
        context.has_ended = True

    context.steps.append(stop)
    context.play = play_in_real_time


async def ask_over(world, context, stream):
    answer = Answer()
    context.answers.append(answer)
    await world.talk(answer, stream, "/draft/1", "POST", awaits_close=True)


def play_in_real_time(context):
    context.world.clock = None
    play(context)


@then("the stream came whole")
def check_stream_whole(context):
    def check(world):
        assert context.answers[-1].event_ids == list(range(30))
        assert context.answers[-1].is_whole

    run_to_here(context, check)


@then("its connection was closed after the answer")
def check_closing(context):
    def check(world):
        # The head went out before the stop; what counts is the end of the connection.
        assert context.answers[-1].is_closed

    run_to_here(context, check)


@then("a later connection was not taken")
def check_refused(context):
    run_to_here(context, lambda world: check_true(context.was_refused))


@then("the router ended by itself")
def check_ended(context):
    run_to_here(context, lambda world: check_true(context.has_ended))


@then("no member is avoided and no question was put to one")
def check_members_sound(context):
    def check(world):
        now = trio.current_time()
        for name in MEMBERS:
            assert not world.parts.choice.health.is_avoided(name, now)
            assert world.servers_by_id[name].reports == 0

    run_to_here(context, check)


@when("{seconds:d} seconds pass")
def pass_seconds(context, seconds):
    async def wait(world):
        await trio.sleep(seconds)

    later(context, wait)


@then("no idle connection is left")
def check_idle(context):
    def check(world):
        assert world.parts.client.idle_count == 0

    run_to_here(context, check)


@given("the router fails at its next {call}")
def fail_once(context, call):
    async def fail(world):
        owner, name = {
            "choice": (world.parts.choice, "choose_chain"),
            "answer": (world.parts.choice, "note_answer"),
        }[call]
        sound = getattr(type(owner), name)

        def broken(*arguments):
            setattr(type(owner), name, sound)
            raise RuntimeError("a fault of the router's own")

        setattr(type(owner), name, broken)

    context.steps.append(fail)
