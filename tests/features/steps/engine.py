import contextlib

import msgspec
import trio
from behave import given, then, when

from tests.engines import (
    LAYERS,
    OPENERS_BY_TRANSPORT,
    SERVICE,
    VERSION,
    collect,
    has_end,
    list_texts,
    make_request,
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


def list_correct_tokens(count):
    return expected_tokens(PROMPT, SERVICE, VERSION, LAYERS, count)


@given("a {transport} engine with stages of 4 and 8 layers")
def use_engine(context, transport):
    runners = [make_runner_settings("r0", 0, 4), make_runner_settings("r1", 4, 12)]
    context.engine_stages = make_stages(runners)
    context.open_engine = lambda: OPENERS_BY_TRANSPORT[transport](runners)
    context.faults = []


@given("two http engines that hold one stage each")
def use_two_engines(context):
    first, second = make_runner_settings("r0", 0, 4), make_runner_settings("r1", 4, 12)
    context.engine_stages = make_stages([first, second])
    context.faults = []

    @contextlib.asynccontextmanager
    async def open_both():
        async with open_http_engine([second]), open_http_engine([first]) as pair:
            yield pair

    context.open_engine = open_both


@when('runner "{name}" starts to leave')
def leave(context, name):
    context.faults.append((name, "leaving", True))


@when('runner "{name}" is set to die after {count:d} tokens')
def die_after(context, name, count):
    context.faults.append((name, "die_after_tokens", count))


def run_request(context, request, limit=float("inf")):
    address = context.engine_stages[0].address
    context.engine_events, context.engine_error = [], None

    async def run():
        async with context.open_engine() as (engine, cluster):
            for name, field, value in context.faults:
                setattr(cluster.runners_by_id[name], field, value)
            try:
                context.engine_events = await collect(engine, address, request, limit)
            except (EngineRefused, ConnectionLost) as error:
                context.engine_error = error
            context.cluster = cluster
            context.second_error = None
            if isinstance(context.engine_error, ConnectionLost):
                try:
                    await collect(engine, address, request)
                except ConnectFailed as error:
                    context.second_error = error

    trio.run(run)


@when("a request for {count:d} tokens is generated")
def generate(context, count):
    run_request(context, make_request(context.engine_stages, PROMPT, count))


@when("a request for {count:d} tokens is generated after {known:d} known ones")
def generate_after(context, count, known):
    tokens = tuple(list_correct_tokens(known))
    request = make_request(context.engine_stages, PROMPT, count, tokens=tokens)
    run_request(context, request)


@when("a request for {count:d} tokens is cancelled after its first token")
def cancel_request(context, count):
    request = make_request(context.engine_stages, PROMPT, count)

    async def run():
        async with context.open_engine() as (engine, cluster):
            address = context.engine_stages[0].address
            async with engine.generate(address, request) as batches:
                await anext(batches)
                cancel = CancelRequest(request.request_id, request.attempt)
                await engine.cancel(address, cancel)
                context.running = [
                    runner.slots.running for runner in cluster.runners_by_id.values()
                ]

    trio.run(run)


@then("the engine's slots are free")
def check_slots(context):
    assert context.running == [0, 0], context.running


@then("the engine's tokens are those of a correct pipeline")
def check_tokens(context):
    assert list_texts(context.engine_events) == list_correct_tokens(8)


@then("the engine's tokens are those of a correct pipeline from index {index:d}")
def check_tokens_from(context, index):
    assert list_texts(context.engine_events) == list_correct_tokens(8)[index:]


@then("the engine's answer has an end event")
def check_end(context):
    assert has_end(context.engine_events)


@then('the engine refused the request with reason "{reason}" for stage "{stage}"')
def check_refusal(context, reason, stage):
    assert isinstance(context.engine_error, EngineRefused)
    assert (context.engine_error.reason, context.engine_error.stage) == (reason, stage)


@then("the engine's ledger contains no run")
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


@then("no connection can be made for a new request")
def check_no_connection(context):
    assert isinstance(context.second_error, ConnectFailed)


@then('the event parser rejects "{line}"')
def check_parser(context, line):
    try:
        EventParser().feed(line.replace("\\", "").encode() + b"\n")
    except ProtocolViolation:
        return
    raise AssertionError("the parser accepted the line")


@then("the event parser rejects a line longer than its limit")
def check_long_line(context):
    parser = EventParser(max_line_bytes=64)
    try:
        parser.feed(b"{" + b" " * 64)
    except ProtocolViolation:
        return
    raise AssertionError("the parser accepted the line")


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


async def send_command(client, control, **command):
    body = msgspec.json.encode(command)
    async with client.request(control, "POST", "/control", [], body) as response:
        assert response.status == 200, await response.read()
        await response.read()


@when('the process is to freeze "{frozen}" and to crash "{crashing}" on "{marker}"')
def send_fault_commands(context, frozen, crashing, marker):
    async def run():
        client = HttpClient()
        control = context.control
        await send_command(client, control, instance_id=frozen, action="freeze")
        await send_command(
            client, control, instance_id=crashing, action="crash_on", marker=marker
        )
        await client.close()

    trio.run(run)


@then(
    'a request for "{safe}" makes no progress and one for "{fatal}" crashes "{runner}"'
)
def check_faults(context, safe, fatal, runner):
    async def run():
        client = HttpClient()
        engine = HttpEngine(client)
        address = context.engine_stages[0].address
        request = make_request(context.engine_stages, safe)
        with trio.move_on_after(0.2) as scope:
            await collect(engine, address, request)
        assert scope.cancelled_caught
        await send_command(client, context.control, instance_id="r1", action="thaw")
        events = await collect(engine, address, request)
        assert has_end(events)
        with contextlib.suppress(ConnectionLost):
            await collect(engine, address, make_request(context.engine_stages, fatal))
        assert not await is_answered(engine, address, request), f"{runner} is alive"

    trio.run(run)


async def is_answered(engine, address, request):
    """Return whether a request is answered; retries while its connection is lost.

    A connection that the operating system accepted before the listener closed is
    reset, so only a refused connection shows that the runner is dead.
    """
    while True:
        try:
            await collect(engine, address, request)
        except ConnectFailed:
            return False
        except ConnectionLost:
            await trio.sleep(0.01)
        else:
            return True
