"""Steps on priorities, fairness between teams and the pressure level."""

import itertools

import trio
from behave import given, then, when

from tests.features.steps.router_steps import FIRST_STAGES, queue_action, queue_check
from tests.machines import priorities
from tests.router_world import KEY, TEAM, make_configuration, make_route
from wigeondrift.router.wait_queue import POLL_SECONDS
from wigeondrift.systems.grant_order import Precedence

TICK_SECONDS, TICKS = 0.1, 40
# The objective of 0.5 s, and the time of the other events of a stream.
ON_TIME_SECONDS = 0.62
FLOOD_KEY = "flood-key"
CALLS_BY_NAME = {
    "draft": ("/draft/1", KEY),
    "batch": ("/draft/b/1", KEY),
    "flood": ("/draft/2", FLOOD_KEY),
}
URGENCY = "wigeondrift-request-urgency"


@then("each decision on priorities keeps its bounds")
def check_decisions(context):
    checks = [f for name, f in vars(priorities).items() if name.startswith("check_")]
    assert len(checks) == 11
    for check in checks:
        check()


@given('the priorities "{draft:d}" and "{batch:d}" of two routes, and "" of the team')
@given(
    'the priorities "{draft:d}" and "{batch:d}" of two routes, and "{team:d}" of the'
    " team"
)
def put_priorities(context, draft, batch, team=None):
    routes = [
        make_route("draft", "streaming", "model", priority=draft),
        make_route("batch", "streaming", "model", priority=batch, prefix="/draft/b/"),
    ]
    tenant = {"name": TEAM, "api_keys": [KEY], "priority": team}
    context.world.put_configuration(version=2, routes=routes, tenants=[tenant])


@given("a second team")
def add_team(context):
    context.routers_by_name = {}
    tenants = make_configuration()["tenants"]
    tenants.append({"name": "flood", "api_keys": [FLOOD_KEY]})
    context.world.put_configuration(version=2, tenants=tenants)


@when('a caller requests a stream of "{name}"')
def request_route(context, name):
    async def act(world):
        headers = [(URGENCY, "0")]
        context.answers.append(
            await world.call(CALLS_BY_NAME[name][0], headers=headers)
        )

    queue_action(context, act)


@then('the first runners got the urgencies "{urgencies}"')
def check_urgencies(context, urgencies):
    def check(world):
        firsts = [world.servers_by_id[name] for name in FIRST_STAGES]
        got = [r.headers_by_name.get(URGENCY, "none") for s in firsts for r in s.served]
        assert got == urgencies.split(", "), got

    queue_check(context, check)


@given("{count:d} routers with {link}")
def add_routers(context, count, link):
    context.routers_by_name = {}

    async def act(world):
        routers = [world.parts, await world.add_router("router-2")]
        context.routers_by_name = dict(zip(("draft", "batch"), routers, strict=True))
        if link == "news":
            routers[0].pressure.subscribe(routers[1].pressure.apply_news)
        world.nursery.start_soon(link_routers, routers)

    if count == 2:
        queue_action(context, act)


async def link_routers(routers):
    """Exchange usage and serve the queue of the second router."""
    for sequence in itertools.count():
        await trio.sleep(POLL_SECONDS)
        await routers[1].wait_queue.poll(trio.current_time())
        ledgers = [router.selector.ledger for router in routers]
        for ledger, other in (ledgers, ledgers[::-1]):
            usage = ledger.make_own_message("peer", sequence)
            other.apply_peer_usage(usage, trio.current_time())


@when("each 0.1 seconds bring {first:d} {name:w} and {second:d} {other:w} streams")
def play_load(context, first, name, second, other):
    async def one(world, name, pause):
        await trio.sleep(pause)
        path, key = CALLS_BY_NAME[name]
        answer = await world.call(
            path, key=key, router=context.routers_by_name.get(name)
        )
        context.answers_by_name[name].append(answer)

    async def act(world):
        context.answers_by_name = {name: [], other: []}
        async with trio.open_nursery() as nursery:
            for stream, count in ((name, first), (other, second)):
                for n in range(count * TICKS):
                    nursery.start_soon(one, world, stream, n / count * TICK_SECONDS)

    queue_action(context, act)


@then("{least:d} to {most:d} % of the {name:w} streams begin on time")
def check_on_time(context, least, most, name):
    def check(world):
        answers = context.answers_by_name[name]
        on_time = [a.status == 200 and a.seconds <= ON_TIME_SECONDS for a in answers]
        percent = 100 * sum(on_time) / len(answers)
        assert least <= percent <= most, percent

    queue_check(context, check)


@then("batch streams are held back for {seconds:g} s after the draft router has died")
def check_lapse(context, seconds):
    def is_held_back():
        pressure = context.routers_by_name["batch"].pressure
        return pressure.is_held_back("model", Precedence(3), trio.current_time())

    async def act(world):
        router = context.routers_by_name["draft"]
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(lambda: world.call("/draft/1", router=router))
            await trio.sleep(4 * POLL_SECONDS + 0.01)
            router.pressure.subscribe(lambda news: None)
            nursery.cancel_scope.cancel()
        await trio.sleep(POLL_SECONDS)
        assert is_held_back()
        await trio.sleep(seconds - POLL_SECONDS)
        assert not is_held_back()

    queue_action(context, act)
