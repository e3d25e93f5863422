import trio
from behave import given, then
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.machines.ordering import OrderMachine
from tests.order_faults import ChangePlatform, Heal, Settle, SwitchUpstream, TrapEntry
from tests.order_world import World
from wigeondrift.platform_core import DownMode
from wigeondrift.service_memory import FaultMode

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


def make_faults(verb, words):
    match verb, words:
        case "kill", [entry, point]:
            return [TrapEntry(int(entry), point, 0, 0)]
        case "pause", [entry, point, seconds]:
            return [TrapEntry(int(entry), point, 0, float(seconds))]
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
    raise AssertionError(f"no such step: {verb} {words}")


def make_action(service, text):
    verb, *words = text.split()

    async def act(world):
        if verb == "wait":
            await trio.sleep(float(words[0]))
        elif verb in ("send", "other"):
            body = "{}" if verb == "send" else "other"
            world.submit(int(words[0]), service, f"{service}-a", body)
        else:
            for fault in make_faults(verb, words):
                fault.apply(world, service)

    return act


@given("orders of service {service} with the plan {plan}")
def run_plan(context, service, plan):
    context.world = World(3)
    actions = [make_action(service, text) for text in plan.split("; ")]
    context.world.run([*actions, make_action(service, "wait 60")])


@then("the order ran {runs:d} times and the last caller was told {told}")
def check_plan(context, runs, told):
    assert sum(context.world.service.ledger.runs_by_key.values()) == runs
    last = context.world.replies[-1]
    heard = last.error.kind if last.error else last.outcome
    assert heard == told, heard
