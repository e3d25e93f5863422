import trio
from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.ordering import OrderMachine
from tests.order_faults import (
    ChangePlatform,
    FaultAtPoint,
    Heal,
    Settle,
    SwitchUpstream,
)
from tests.order_world import World
from wigeondrift.entry.service_memory import FaultMode
from wigeondrift.errors import Outcome
from wigeondrift.store.core import DownMode

EXAMPLES = 80
STEPS = 6


@then("orders under any faults run at most once")
def check_orders(context):
    run_state_machine_as_test(
        OrderMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


def make_faults(verb, arguments):
    match verb, arguments:
        case "kill", [entry, point]:
            return [FaultAtPoint(int(entry), point, 0, 0)]
        case "pause", [entry, point, seconds]:
            return [FaultAtPoint(int(entry), point, 0, float(seconds))]
        case "platform", ["down", mode]:
            return [ChangePlatform({"down": DownMode(mode)})]
        case "platform", [name, value]:
            return [ChangePlatform({name: float(value)})]
        case "late", [count, seconds]:
            change = {"late_writes": int(count), "late_seconds": float(seconds)}
            return [ChangePlatform(change)]
        case "upstream", [mode]:
            return [SwitchUpstream(0, FaultMode(mode), 1, 0.0)]
        case "upstreams", [mode]:
            return [SwitchUpstream(n, FaultMode(mode), -1, 0.0) for n in range(2)]
        case "heal", []:
            return [Heal()]
        case "settle", []:
            return [Settle("a")]
    raise AssertionError(f"no such step: {verb} {arguments}")


def make_action(service, text):
    verb, *arguments = text.split()

    async def act(world):
        if verb == "wait":
            await trio.sleep(float(arguments[0]))
        elif verb == "unkeyed":
            world.submit(int(arguments[0]), service, "")
        elif verb in ("send", "other"):
            body = "{}" if verb == "send" else "other"
            world.submit(int(arguments[0]), service, f"{service}-a", body)
        else:
            for fault in make_faults(verb, arguments):
                fault.apply(world, service)

    return act


@given("orders of service {service} with the plan {plan}")
def run_plan(context, service, plan):
    context.world = World(3)
    actions = [make_action(service, text) for text in plan.split("; ")]
    context.world.run([*actions, make_action(service, "wait 60")])


@then("the order ran {runs:d} times and the last caller received {expected}")
def check_plan(context, runs, expected):
    assert sum(context.world.service.ledger.runs_by_key.values()) == runs
    last = context.world.replies[-1]
    result = last.error.kind if last.error else last.outcome
    assert result == expected, result


async def repeat_until_run(world, number, waits):
    """Submit an order and retry it immediately until it runs."""
    refusals = 0
    while True:
        reply = world.submit(number % 3, "strict", f"strict-{number}")
        await reply.answered.wait()
        if reply.outcome is Outcome.RAN:
            waits.append((trio.current_time(), refusals))
            return
        assert reply.outcome is Outcome.NOT_RUN
        refusals += 1


@given(
    "{count:d} callers who repeat their order at once while the platform's calls "
    "{mode} for {seconds:d} s"
)
def repeat_through_outage(context, count, mode, seconds):
    context.world = World(3)
    context.waits = []

    async def act(world):
        world.store.change_faults(down=DownMode(mode))
        for number in range(count):
            world.nursery.start_soon(repeat_until_run, world, number, context.waits)
        await trio.sleep(seconds)
        world.heal()
        context.healed_at = trio.current_time()

    context.count = count
    context.world.run([act])


@then("each order was refused at most {most:d} times as not run, and ran once")
def check_refusals(context, most):
    runs = context.world.service.ledger.runs_by_key
    assert sorted(runs.values()) == [1] * context.count
    assert max(refusals for _, refusals in context.waits) <= most


@then("all callers had their answer {seconds:d} s after the platform answered again")
def check_answers_after_outage(context, seconds):
    assert len(context.waits) == context.count
    last = max(at for at, _ in context.waits)
    assert last - context.healed_at <= seconds, last - context.healed_at


@given('reads of orders where the first upstream is "{mode}"')
def prepare_reads(context, mode):
    context.mode = FaultMode(mode)


@when("{count:d} reads are sent")
def send_reads(context, count):
    context.world = World(1)

    async def act(world):
        world.switch("strict", 0, context.mode)
        for _ in range(count):
            reply = world.submit(0, "strict", "", method="GET")
            await reply.answered.wait()

    context.world.run([act])


@then("all reads ran and the platform had no call")
def check_reads(context):
    assert {reply.outcome for reply in context.world.replies} == {Outcome.RAN}
    assert context.world.core.calls_by_name == {}


@then("at most {most:d} reads were retried and the others were refused as not run")
def check_budget(context, most):
    outcomes = [reply.outcome for reply in context.world.replies]
    assert 0 < outcomes.count(Outcome.RAN) <= most
    assert set(outcomes) == {Outcome.RAN, Outcome.NOT_RUN}
