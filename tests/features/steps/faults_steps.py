"""Steps on faults of upstreams that routers tell each other."""

import random

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings, strategies

from tests.fault_world import ROUTER_NAMES, FaultWorld
from tests.features.steps.router_steps import play, queue_action
from wigeondrift.router.entities import Upstream
from wigeondrift.systems.faults import AVOIDED_SECONDS, Evidence, FaultNews, FaultTable

FIRST, OTHERS = ROUTER_NAMES[0], ROUTER_NAMES[1:]
# Time in which a check and its news reach all routers.
NEWS_SECONDS = 0.05


@given("eight routers and two replicas of a model")
def make_world(context):
    context.world = FaultWorld()
    context.told = []
    context.steps = []
    context.run_scenario = play

    async def start(world):
        await world.start_routers()
        for parts in world.routers_by_name.values():
            parts.faults.subscribe(context.told.append)

    queue_action(context, start)


@given("messages between the routers are lost")
def disconnect(context):
    context.world.is_connected = False


@given("routers that don't probe")
def set_unprobed(context):
    context.world.has_probes = False


@when('"{name}" dies and one router finds it')
def kill(context, name):
    async def step(world):
        await world.kill(name)
        if name.startswith("first"):
            parts = world.routers_by_name[FIRST]
            runner = parts.directory.upstreams_by_id[name]
            while not parts.selector.is_avoided(runner, trio.current_time()):
                await world.call_from(FIRST, 1)
        else:
            await world.call_until_refused(FIRST)
        await trio.sleep(NEWS_SECONDS)
        context.refusals = world.count_refusals()

    queue_action(context, step)


async def call_from_others(world, count, path="/draft/1"):
    answers = []
    for name in OTHERS:
        answers += await world.call_from(name, count, path)
    return answers


@then("{count:d} requests of each other router are served without meeting it")
def check_unmet(context, count):
    async def step(world):
        answers = await call_from_others(world, count)
        assert all(answer.status == 200 and answer.is_whole for answer in answers)
        assert world.count_refusals() == context.refusals

    queue_action(context, step)


@then("this held for {seconds:g} seconds")
def check_longer(context, seconds):
    async def step(world):
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            await call_from_others(world, 1)
        assert world.count_refusals() == context.refusals

    queue_action(context, step)


@then("at least {least:d} more requests of the others meet it")
def check_met(context, least):
    async def step(world):
        await call_from_others(world, 6)
        assert world.count_refusals() >= context.refusals + least

    queue_action(context, step)


@then('each other router avoids "{name}" alone')
def check_avoided(context, name):
    async def step(world):
        for router in OTHERS:
            assert world.list_avoided(router) == {name}, router

    queue_action(context, step)


@then("each other router avoids nothing {seconds:g} seconds later")
def check_none_avoided(context, seconds):
    async def step(world):
        await trio.sleep(seconds)
        for router in OTHERS:
            assert not world.list_avoided(router), (router, world.list_avoided(router))

    queue_action(context, step)


@when('the first stages name the live "{name}" as at fault for {seconds:g} seconds')
def name_live(context, name, seconds):
    async def step(world):
        address = world.address_of(name)
        for server in world.servers_by_id.values():
            server.dead_peers.add(address)
        reports = world.servers_by_id[name].reports
        async with trio.open_nursery() as nursery:
            for router in ROUTER_NAMES:
                nursery.start_soon(world.call_from, router, 4)
        await trio.sleep(seconds)
        context.reports = world.servers_by_id[name].reports - reports
        context.refused = sum(
            bool(parts.selector.health._penalties_by_id)
            for parts in world.routers_by_name.values()
        )

    queue_action(context, step)


@then('one report of "{name}" was read by each router that was refused')
def check_reports(context, name):
    async def step(world):
        assert context.refused and context.reports == context.refused, (
            context.refused,
            context.reports,
        )

    queue_action(context, step)


@then("no news were sent")
def check_no_news(context):
    async def step(world):
        assert not world.sent, world.sent

    queue_action(context, step)


@when("all routers send requests for {seconds:g} seconds")
def call_for(context, seconds):
    async def step(world):
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            for router in ROUTER_NAMES:
                await world.call_from(router, 1)

    queue_action(context, step)


@then("each router sent at most one message in each second")
def check_rate(context):
    async def step(world):
        times = [at for at, _, _ in world.sent]
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert len(times) >= 3 and min(gaps) > 0.999, times

    queue_action(context, step)


@then("one router sent all of them")
def check_one_sender(context):
    async def step(world):
        assert {sender for _, sender, _ in world.sent} == {FIRST}, world.sent

    queue_action(context, step)


@then("at most {most:d} other router read the report of a dead runner")
def check_probers(context, most):
    async def step(world):
        probing = [
            router
            for router in OTHERS
            if world.routers_by_name[router].selector.health._penalties_by_id
        ]
        assert len(probing) <= most, probing

    queue_action(context, step)


@when('"{name}" answers again')
def revive(context, name):
    async def step(world):
        world.revive(name)

    queue_action(context, step)


def make_news(world, name, **changes):
    entry = world.parts.directory.upstreams_by_id[name]
    news = FaultNews(
        name,
        entry.started_at_ms,
        Evidence.REFUSED,
        entry.first_layer,
        entry.end_layer,
    )
    return msgspec.structs.replace(news, **changes)


@when('a router tells that "{name}" is at fault and falls silent')
def tell_one(context, name):
    async def step(world):
        await world.deliver(make_news(world, name), FIRST)

    queue_action(context, step)


@when("a router tells that all upstreams are at fault and falls silent")
def tell_all(context):
    async def step(world):
        for name in world.servers_by_id:
            await world.deliver(make_news(world, name), FIRST)

    queue_action(context, step)


@when("all routers tell that all upstreams are at fault and fall silent")
def tell_all_from_all(context):
    async def step(world):
        names = list(world.servers_by_id)
        for number, router in enumerate(ROUTER_NAMES):
            # Each router's word counts for one upstream of a service of this size.
            for name in (names[number % 4], names[4 + number % 3]):
                await world.deliver(make_news(world, name), router)
        for router in OTHERS:
            assert world.list_avoided(router) == set(world.servers_by_id)

    queue_action(context, step)


@then("each other router avoids at most a third of a service, or one upstream")
def check_quota(context):
    async def step(world):
        for router in OTHERS:
            avoided = sorted(world.list_avoided(router))
            assert [name.startswith("member") for name in avoided] == [False, True]

    queue_action(context, step)


@then('{count:d} requests of each other router to "{path}" and "{other}" are served')
def check_served(context, count, path, other):
    async def step(world):
        for target in (path, other):
            answers = await call_from_others(world, count, target)
            assert all(answer.status == 200 for answer in answers), target

    queue_action(context, step)


@when("news arrive of {what}")
def tell_wrong(context, what):
    changes_by_what = {
        "an earlier incarnation": {"started_at_ms": 0},
        "an earlier placement of layers": {"end_layer": 20},
        "an upstream that is not listed": {"upstream_id": "nobody"},
        "a link from a third domain": {"evidence": Evidence.SILENT},
    }

    async def step(world):
        for parts in world.routers_by_name.values():
            # The routers' own domain is not that of the one that tells.
            parts.selector.faults._failure_domain = "west"
            peers = parts.faults._membership.list_peers()
            peers[FIRST] = msgspec.structs.replace(
                next(iter(peers.values())), failure_domain="south"
            )
        news = make_news(world, "first-0", **changes_by_what[what])
        await world.deliver(news, FIRST)
        # The same news without the change is applied.
        parts = world.routers_by_name[OTHERS[0]]
        await world.deliver(make_news(world, "second-0"), FIRST)
        assert world.list_avoided(OTHERS[0]) == {"second-0"}
        for parts in world.routers_by_name.values():
            parts.faults.apply_news(make_news(world, "second-0", is_over=True), FIRST)

    queue_action(context, step)


@when('a router tells that "{name}" is at fault, which just served all others')
def tell_after_answer(context, name):
    async def step(world):
        async with trio.open_nursery() as nursery:
            for router in OTHERS:
                nursery.start_soon(world.call_from, router, 10, "/status/1")
        await world.deliver(make_news(world, name), FIRST)

    queue_action(context, step)


@then('subscribers of all routers were told of "{name}" once')
def check_subscribers(context, name):
    async def step(world):
        assert context.told == [name] * len(ROUTER_NAMES), context.told

    queue_action(context, step)


ENTRIES = [Upstream(f"u{n}", "s", f"10.1.0.{n}:80", "east", False, 4) for n in range(9)]


@settings(max_examples=100, deadline=None, database=None, derandomize=True)
@given_data(strategies.integers(0, 2**32), strategies.integers(1, 9))
def play_news(seed, size):
    rng = random.Random(seed)
    table = FaultTable("east")
    now = 0.0
    for _ in range(200):
        now += rng.choice((0.0, 0.01, 0.5))
        entry = rng.choice(ENTRIES[:size])
        news = FaultNews(
            entry.upstream_id,
            rng.choice((0, 0, 1)),
            rng.choice(list(Evidence)),
            is_over=rng.random() < 0.1,
        )
        sender = rng.choice(("a", "b"))
        table.apply_news(news, sender, rng.choice(("east", "west")), entry, size, now)
        if rng.random() < 0.1:
            table.record_answer(entry.upstream_id, now)
            assert not table.is_avoided(entry, now)
        if rng.random() < 0.1:
            table.record_fault(entry, Evidence.REFUSED, now)
        avoided = sum(table.is_avoided(entry, now) for entry in ENTRIES[:size])
        assert avoided <= 2 * max(1, size // 3)
        table.collect_due(now)
    now += AVOIDED_SECONDS
    assert not any(table.is_avoided(entry, now) for entry in ENTRIES)


@then("random news keep their bounds")
def check_random_news(context):
    play_news()


@given('three runners in "{domain}"')
def add_runners(context, domain):
    for number in range(3):
        context.world.add_upstream(
            f"{domain}-{number}", "model", domain, "large", (0, 40)
        )


@when('two runners in "{domain}" can\'t be reached by one router')
def lose_two(context, domain):
    async def step(world):
        selector = world.routers_by_name[FIRST].selector
        for number in range(2):
            name = f"{domain}-{number}"
            await world.kill(name)
            runner = world.parts.directory.upstreams_by_id[name]
            selector.record_unreachable(runner, "no answer")
        assert selector.reach.is_cut_off(domain, trio.current_time())

    queue_action(context, step)


@then('that router counts "{domain}" as cut off for less than {seconds:g} seconds')
def check_cut_off(context, domain, seconds):
    async def step(world):
        await trio.sleep(seconds)
        selector = world.routers_by_name[FIRST].selector
        assert not selector.reach.is_cut_off(domain, trio.current_time())

    queue_action(context, step)
