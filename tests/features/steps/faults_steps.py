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
from wigeondrift.systems.outcomes import (
    LOSS_WEIGHT_ONCE,
    OutcomeNews,
    OutcomeTable,
)

FIRST, OTHERS = ROUTER_NAMES[0], ROUTER_NAMES[1:]
# Time in which a check and its news reach all routers.
NEWS_SECONDS = 0.05


def queued(action):
    """Make a step of a coroutine function of the context and the world."""

    def step(context, **arguments):
        queue_action(context, lambda world: action(context, world, **arguments))

    return step


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


@given("messages between the routers are {outcome}")
def disconnect(context, outcome):
    context.world.is_connected = outcome == "passed"


@given("routers that don't probe")
def set_unprobed(context):
    context.world.has_probes = False


@when('"{name}" dies and one router finds it')
@queued
async def kill(context, world, name):
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


async def call_from_others(world, count, path="/draft/1"):
    answers = []
    for name in OTHERS:
        answers += await world.call_from(name, count, path)
    return answers


@then("{count:d} requests of each other router are served without meeting it")
@queued
async def check_unmet(context, world, count):
    answers = await call_from_others(world, count)
    assert all(answer.status == 200 and answer.is_whole for answer in answers)
    assert world.count_refusals() == context.refusals


@then("this held for {seconds:g} seconds")
@queued
async def check_longer(context, world, seconds):
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        await call_from_others(world, 1)
    assert world.count_refusals() == context.refusals


@then("at least {least:d} more requests of the others meet it")
@queued
async def check_met(context, world, least):
    await call_from_others(world, 6)
    assert world.count_refusals() >= context.refusals + least


@then('each other router avoids "{name}" alone')
@queued
async def check_avoided(context, world, name):
    for router in OTHERS:
        assert world.list_avoided(router) == {name}, router


@then("each other router avoids nothing {seconds:g} seconds later")
@queued
async def check_none_avoided(context, world, seconds):
    await trio.sleep(seconds)
    for router in OTHERS:
        assert not world.list_avoided(router), (router, world.list_avoided(router))


@when('the first stages name the live "{name}" as at fault for {seconds:g} seconds')
@queued
async def name_live(context, world, name, seconds):
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


@then('one report of "{name}" was read by each router that was refused')
@queued
async def check_reports(context, world, name):
    assert context.refused and context.reports == context.refused, (
        context.refused,
        context.reports,
    )


@then("no news were sent")
@queued
async def check_no_news(context, world):
    assert not world.sent, world.sent


@when("all routers send requests for {seconds:g} seconds")
@queued
async def call_for(context, world, seconds):
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        for router in ROUTER_NAMES:
            await world.call_from(router, 1)


@then("each router sent at most one message in each second")
@queued
async def check_rate(context, world):
    times = [at for at, _, _ in world.sent]
    gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert len(times) >= 3 and min(gaps) > 0.999, times


@then("one router sent all of them")
@queued
async def check_one_sender(context, world):
    assert {sender for _, sender, _ in world.sent} == {FIRST}, world.sent


@then("at most {most:d} other router read the report of a dead runner")
@queued
async def check_probers(context, world, most):
    probing = [
        router
        for router in OTHERS
        if world.routers_by_name[router].selector.health._penalties_by_id
    ]
    assert len(probing) <= most, probing


@when('"{name}" answers again')
@queued
async def revive(context, world, name):
    world.revive(name)


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
@queued
async def tell_one(context, world, name):
    await world.deliver(make_news(world, name), FIRST)


@when("a router tells that all upstreams are at fault and falls silent")
@queued
async def tell_all(context, world):
    for name in world.servers_by_id:
        await world.deliver(make_news(world, name), FIRST)


@when("all routers tell that all upstreams are at fault and fall silent")
@queued
async def tell_all_from_all(context, world):
    names = list(world.servers_by_id)
    for number, router in enumerate(ROUTER_NAMES):
        # Each router's word counts for one upstream of a service of this size.
        for name in (names[number % 4], names[4 + number % 3]):
            await world.deliver(make_news(world, name), router)
    for router in OTHERS:
        assert world.list_avoided(router) == set(world.servers_by_id)


@then("each other router avoids at most a third of a service, or one upstream")
@queued
async def check_quota(context, world):
    for router in OTHERS:
        avoided = sorted(world.list_avoided(router))
        assert [name.startswith("member") for name in avoided] == [False, True]


@then('{count:d} requests of each other router to "{path}" and "{other}" are served')
@queued
async def check_served(context, world, count, path, other):
    for target in (path, other):
        answers = await call_from_others(world, count, target)
        assert all(answer.status == 200 for answer in answers), target


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
@queued
async def tell_after_answer(context, world, name):
    async with trio.open_nursery() as nursery:
        for router in OTHERS:
            nursery.start_soon(world.call_from, router, 10, "/status/1")
    await world.deliver(make_news(world, name), FIRST)


@then('subscribers of all routers were told of "{name}" once')
@queued
async def check_subscribers(context, world, name):
    assert context.told == [name] * len(ROUTER_NAMES), context.told


@when('"{name}" loses its answers and one router has lost {count:d}')
@queued
async def lose_answers(context, world, name, count):
    server = world.servers_by_id[name]
    server.fault = "silent"
    while len(server.served) < count:
        await world.call_from(FIRST, 1, "/order/1")
    await trio.sleep(NEWS_SECONDS)
    context.name = name


@then("{count:d} orders of each other router bring {least:d} to {most:d} more losses")
@queued
async def check_losses(context, world, count, least, most):
    served = world.servers_by_id[context.name].served
    before = len(served)
    async with trio.open_nursery() as nursery:
        for router in OTHERS:
            nursery.start_soon(world.call_from, router, count, "/order/1")
    assert least <= len(served) - before <= most, len(served) - before


@then("each router sent at most {most:d} messages")
@queued
async def check_messages(context, world, most):
    senders = [sender for _, sender, _ in world.sent]
    assert senders and max(map(senders.count, senders)) <= most, senders


@when("all members lose answers")
@queued
async def lose_all(context, world):
    for router in world.routers_by_name.values():
        for number in range(3):
            member = router.directory.upstreams_by_id[f"member-{number}"]
            for _ in range(5):
                router.faults.record_outcome(member, is_answered=False)
    await trio.sleep(NEWS_SECONDS)


@then("each router still chooses a member, and a loaded one last")
@queued
async def check_chosen(context, world):
    for router in world.routers_by_name.values():
        chosen = set()
        for _ in range(3):
            member = router.selector.choose_member("desk", (), is_repeatable=False)
            router.selector.record_start(member.upstream_id)
            chosen.add(member.upstream_id)
        assert len(chosen) == 3, chosen


@then("one loss of many answers, told by a peer, adds less than a request to the load")
def check_one_loss(context):
    tables = [OutcomeTable() for _ in range(8)]
    entry = ENTRIES[0]
    for table in tables:
        for _ in range(5):
            table.record(entry, True, 0.0)
    tables[0].record(entry, False, 0.0)
    for _ in range(2):
        for number, table in enumerate(tables):
            for news in table.collect_due(0.0):
                for other in tables:
                    if other is not table:
                        other.apply_news(news, str(number), entry, 0.0)
    loss = tables[1].estimate_loss(entry, 0.0)
    assert LOSS_WEIGHT_ONCE * loss < 1.0 / entry.slots, loss


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


@given("the outcome table of a router that hears of losses from {count:d} others")
def hear_of_losses(context, count):
    context.entry = Upstream("m1", "desk", "10.0.0.1:80", "east", False, 6)
    context.outcomes = OutcomeTable()
    context.outcomes.record(context.entry, True, 0.0)
    context.senders = [f"router-{number}" for number in range(count)]
    for sender in context.senders:
        news = OutcomeNews("m1", 0, 1.0, 1.0)
        context.outcomes.apply_news(news, sender, context.entry, 0.0)


@then(
    "it tells of its answers at most {most:d} times in {seconds:d} seconds,"
    " and of its own loss within {bound:d} s"
)
def check_news(context, most, seconds, bound):
    told = 0
    for tenth in range(10 * seconds):
        now = tenth / 10
        context.outcomes.record(context.entry, True, now)
        sender = context.senders[tenth % len(context.senders)]
        news = OutcomeNews("m1", 0, 1.0, 1.0)
        context.outcomes.apply_news(news, sender, context.entry, now)
        told += len(context.outcomes.collect_due(now))
    assert 0 < told <= most, told
    context.outcomes.record(context.entry, False, seconds)
    assert context.outcomes.collect_due(seconds + bound)
