import contextlib

import msgspec
import trio
from behave import given, then, when

from tests.engines import (
    LAYERS,
    OPENERS_BY_KIND,
    SERVICE,
    VERSION,
    collect,
    has_end,
    list_texts,
    make_order,
    make_runner_settings,
    make_stages,
    open_http_engine,
)
from tests.processes import Process, find_free_address, write_settings
from wigeondrift.entry.engine import CancelRequest, EngineRefused, FailureEvent
from wigeondrift.entry.engine_http import EventParser, HttpEngine
from wigeondrift.errors import ConnectFailed, ConnectionLost, ProtocolViolation
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.engine import EngineSettings
from wigeondrift_emulator.tokens import expected_tokens

PROMPT = "a cuckoo that is silent"


def sound_tokens(count):
    return expected_tokens(PROMPT, SERVICE, VERSION, LAYERS, count)


@given("a {form} engine with stages of 4 and 8 layers")
def use_engine(context, form):
    runners = [make_runner_settings("r0", 0, 4), make_runner_settings("r1", 4, 12)]
    context.engine_stages = make_stages(runners)
    context.open_engine = lambda: OPENERS_BY_KIND[form](runners)
    context.switches = []


@given("two http engines that hold one stage each")
def use_two_engines(context):
    first, second = make_runner_settings("r0", 0, 4), make_runner_settings("r1", 4, 12)
    context.engine_stages = make_stages([first, second])
    context.switches = []

    @contextlib.asynccontextmanager
    async def open_both():
        async with open_http_engine([second]), open_http_engine([first]) as pair:
            yield pair

    context.open_engine = open_both


@when('runner "{name}" is told to leave')
def leave(context, name):
    context.switches.append((name, "leaving", True))


@when('runner "{name}" is to die after {count:d} tokens')
def die_after(context, name, count):
    context.switches.append((name, "die_after_tokens", count))


def run_order(context, order, limit=float("inf")):
    address = context.engine_stages[0].address
    context.engine_events, context.engine_error = [], None

    async def run():
        async with context.open_engine() as (engine, cluster):
            for name, switch, value in context.switches:
                setattr(cluster.runners_by_id[name], switch, value)
            try:
                context.engine_events = await collect(engine, address, order, limit)
            except (EngineRefused, ConnectionLost) as error:
                context.engine_error = error
            context.cluster = cluster
            context.second_error = None
            if isinstance(context.engine_error, ConnectionLost):
                try:
                    await collect(engine, address, order)
                except ConnectFailed as error:
                    context.second_error = error

    trio.run(run)


@when("an order for {count:d} tokens is generated")
def generate(context, count):
    run_order(context, make_order(context.engine_stages, PROMPT, count))


@when("an order for {count:d} tokens is generated after {known:d} known ones")
def generate_after(context, count, known):
    tokens = tuple(sound_tokens(known))
    order = make_order(context.engine_stages, PROMPT, count, tokens=tokens)
    run_order(context, order)


@when("an order for {count:d} tokens is cancelled after its first token")
def cancel_order(context, count):
    order = make_order(context.engine_stages, PROMPT, count)

    async def run():
        async with context.open_engine() as (engine, cluster):
            address = context.engine_stages[0].address
            async with engine.generate(address, order) as batches:
                await anext(batches)
                cancel = CancelRequest(order.request_id, order.attempt)
                await engine.cancel(address, cancel)
                context.running = [
                    runner.slots.running for runner in cluster.runners_by_id.values()
                ]

    trio.run(run)


@then("the engine's slots are free")
def check_slots(context):
    assert context.running == [0, 0], context.running


@then("the engine's tokens are those of a sound pipeline")
def check_tokens(context):
    assert list_texts(context.engine_events) == sound_tokens(8)


@then("the engine's tokens are those of a sound pipeline from index {index:d}")
def check_tokens_from(context, index):
    assert list_texts(context.engine_events) == sound_tokens(8)[index:]


@then("the engine's answer has its end mark")
def check_end(context):
    assert has_end(context.engine_events)


@then('the engine refused with reason "{reason}" of stage "{stage}"')
def check_refusal(context, reason, stage):
    assert isinstance(context.engine_error, EngineRefused)
    assert (context.engine_error.reason, context.engine_error.stage) == (reason, stage)


@then("the engine's ledger holds no run")
def check_ledger(context):
    for runner in context.cluster.runners_by_id.values():
        assert not runner.tokens_by_request


@then('the engine\'s last event is a failure of stage "{stage}"')
def check_failure(context, stage):
    failure = context.engine_events[-1]
    assert isinstance(failure, FailureEvent)
    assert failure.failed_stage == stage
    assert not has_end(context.engine_events)


@then("the engine's connection was lost")
def check_lost(context):
    assert isinstance(context.engine_error, ConnectionLost)


@then("a new order finds no connection")
def check_no_connection(context):
    assert isinstance(context.second_error, ConnectFailed)


@then('the event parser refuses "{line}"')
def check_parser(context, line):
    try:
        EventParser().feed(line.replace("\\", "").encode() + b"\n")
    except ProtocolViolation:
        return
    raise AssertionError("taken")


@then("the event parser refuses a line without end")
def check_long_line(context):
    parser = EventParser(max_line_bytes=64)
    try:
        parser.feed(b"{" + b" " * 64)
    except ProtocolViolation:
        return
    raise AssertionError("taken")


@given("an engine process with stages of 4 and 8 layers")
def start_engine_process(context):
    runners = [make_runner_settings("r0", 0, 4), make_runner_settings("r1", 4, 12)]
    context.engine_stages = make_stages(runners)
    context.control = find_free_address()
    document = msgspec.to_builtins(EngineSettings(context.control, tuple(runners)))
    path = write_settings(document)
    process = Process("wigeondrift_emulator.engine", ["--settings", path])
    context.cleanups = [process.kill]
    process.wait_for_event("started")


async def turn_switch(client, control, **order):
    body = msgspec.json.encode(order)
    async with client.request(control, "POST", "/control", [], body) as response:
        assert response.status == 200, await response.read()
        await response.read()


@when(
    'the process is told to freeze "{frozen}" and to crash "{crashing}" on "{marker}"'
)
def turn_switches(context, frozen, crashing, marker):
    async def run():
        client = HttpClient()
        control = context.control
        await turn_switch(client, control, instance_id=frozen, action="freeze")
        await turn_switch(
            client, control, instance_id=crashing, action="crash_on", marker=marker
        )
        await client.close()

    trio.run(run)


@then(
    'an order for "{calm}" makes no progress and one for "{fatal}" kills "{crashing}"'
)
def check_switches(context, calm, fatal, crashing):
    async def run():
        client = HttpClient()
        engine = HttpEngine(client)
        address = context.engine_stages[0].address
        order = make_order(context.engine_stages, calm)
        with trio.move_on_after(0.2) as scope:
            await collect(engine, address, order)
        assert scope.cancelled_caught
        await turn_switch(client, context.control, instance_id="r1", action="thaw")
        events = await collect(engine, address, order)
        assert has_end(events)
        with contextlib.suppress(ConnectionLost):
            await collect(engine, address, make_order(context.engine_stages, fatal))
        assert not await answers(engine, address, order), f"{crashing} lives"

    trio.run(run)


async def answers(engine, address, order):
    """Return whether an order is answered, once the listener is closed or not.

    A connection that the system took in before the listener closed is reset.
    """
    while True:
        try:
            await collect(engine, address, order)
        except ConnectFailed:
            return False
        except ConnectionLost:
            await trio.sleep(0.01)
        else:
            return True
