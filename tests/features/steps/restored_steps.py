"""Steps on a store that is restored from a copy of before."""

import logging
import random

import msgspec
import trio
from behave import then, when

from tests.features.steps.relay_steps import run
from tests.features.steps.router_steps import MEMBERS, queue_action, queue_check
from tests.platform_cases import expect_error
from tests.relay_world import RelayWorld, inject_faults
from tests.router_world import make_configuration, make_route
from wigeondrift.errors import LeaseEnded
from wigeondrift.router.membership import ROUTER_ENTRIES_PREFIX, RouterEntry
from wigeondrift.telemetry.events import LOGGER_NAME, Event
from wigeondrift_emulator.memory_network import MemoryClient

OUTAGE_SECONDS = 1.0
LEASE_SECONDS = 60.0
# Time after which the operator and the upstreams have written again.
REWRITE_SECONDS = 0.5


class RecordList(logging.Handler):
    """Keeps the records of some log events."""

    def __init__(self, event):
        super().__init__()
        self.event = event
        self.records = []

    def emit(self, record):
        if record.event == self.event:
            self.records.append(record)


def record_log(context, event):
    records = RecordList(event)
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(records)
    context.cleanups = [
        *getattr(context, "cleanups", []),
        lambda: logger.removeHandler(records),
    ]
    return records.records


@when("a copy of the store is made")
def copy_store(context):
    context.restorations = record_log(context, Event.PLATFORM_RESTORED)
    context.applied = record_log(context, Event.CONFIGURATION_APPLIED)

    async def copy(world):
        await trio.sleep(1.0)
        context.copy = world.store.copy()

    queue_action(context, copy)


def write_route(world, version, name):
    routes = [*make_configuration()["routes"], make_route(name, "safe", "desk")]
    world.put_configuration(version=version, routes=routes)


@when('configuration version {version:d} adds the route "{name}"')
def add_route(context, version, name):
    async def add(world):
        write_route(world, version, name)
        await trio.sleep(2.0)

    queue_action(context, add)


@when(
    "the store is restored, and at once version {version:d}"
    " and {later:d} changes written"
)
def restore_and_write(context, version, later):
    async def step(world):
        await restore(world, context.copy, is_rewritten=False)
        write_route(world, version, "added")
        write_changes(world, later)
        await trio.sleep(2.0)

    queue_action(context, step)


async def restore(world, copy, is_rewritten=True):
    world.store.is_down = True
    await trio.sleep(OUTAGE_SECONDS)
    world.store.restore(copy)
    world.store.is_down = False
    if is_rewritten:
        await trio.sleep(REWRITE_SECONDS)
        world.store.rewrite()


def write_changes(world, count):
    for number in range(count):
        world.store.write("wigeondrift/other", b"%d" % number)


@when("{count:d} changes are made")
def make_changes(context, count):
    async def change(world):
        write_changes(world, count)
        await trio.sleep(2.0)

    queue_action(context, change)


@then('a request for the route "{name}" is complete')
def check_route(context, name):
    async def check(world):
        answer = await world.call(f"/{name}/1")
        assert answer.status == 200 and answer.is_whole, vars(answer)

    queue_action(context, check)


@then("each version was applied once")
def check_applied(context):
    def check(world):
        versions = [record.version for record in context.applied]
        assert versions == sorted(set(versions)) and versions, versions

    queue_check(context, check)


@then("the router calls the store at most {count:d} times in {seconds:d} seconds")
def check_calls(context, count, seconds):
    async def check(world):
        before = sum(world.store.calls_by_name.values())
        await trio.sleep(seconds)
        calls = sum(world.store.calls_by_name.values()) - before
        assert calls <= count, calls

    queue_action(context, check)


@when("the store is restored without {lost:d} changes, and {later:d} others follow")
def restore_store_of_many(context, lost, later):
    async def step(world):
        copy = world.store.copy()
        write_changes(world, lost)
        await trio.sleep(3.0)
        await restore(world, copy, is_rewritten=False)
        world.write(2)
        write_changes(world, later)
        await trio.sleep(3.0)

    context.steps.append(step)


@when("a copy is made, {more:d} more start and the store is restored from the copy")
def restore_before_start(context, more):
    async def step(world):
        copy = world.store.copy()
        await start_more(world, more)
        context.counts = [count_peers(world)]
        world.nursery.start_soon(poll_peers, context, world)
        await restore(world, copy)

    context.steps.append(step)


@when("a copy is made, 1 more starts and ends while the store is restored")
def restore_and_end(context):
    async def step(world):
        copy = world.store.copy()
        await start_more(world, 1)
        world.stop_router(world.count)
        await restore(world, copy)

    context.steps.append(step)


async def start_more(world, count):
    for _ in range(count):
        world.count += 1
        await world.add_router(world.count)
    await trio.sleep(5.0)


def count_peers(world):
    """Return the least number of other routers that any router knows."""
    return min(
        len(parts.membership.list_peers()) for parts in world.routers_by_name.values()
    )


async def poll_peers(context, world):
    while True:
        context.counts.append(count_peers(world))
        await trio.sleep(0.05)


@then("all have entries in the store {seconds:d} seconds later")
def check_entries(context, seconds):
    async def step(world):
        await trio.sleep(seconds)
        for name in world.routers_by_name:
            assert world.store.get(ROUTER_ENTRIES_PREFIX + name), name

    context.steps.append(step)


@then("no router has missed another since")
def check_peers(context):
    async def check(world):
        assert min(context.counts) == world.count - 1, context.counts

    run(context, check)


@then("the other routers list {count:d} peers {seconds:d} seconds later")
def check_peer_count(context, count, seconds):
    async def check(world):
        await trio.sleep(seconds)
        assert count_peers(world) == count

    run(context, check)


@then(
    "both bounds hold for {seconds:d} seconds of faults and restorations"
    " with seed {seed:d}"
)
def check_bounds(context, seconds, seed):
    async def check(world):
        rng = random.Random(seed)
        await inject_faults(world, rng, float(seconds), has_restorations=True)

    RelayWorld(context.count).run(check)


@when("the store is restored from the copy")
def restore_store(context):
    async def step(world):
        await restore(world, context.copy)
        await trio.sleep(2.0)

    queue_action(context, step)


@then("the log tells that a store at a lower revision has taken the place of another")
def check_log(context):
    def check(world):
        (record,) = context.restorations
        assert record.era == 2, vars(record)
        assert record.revision < record.known_revision, vars(record)

    queue_check(context, check)


@when("a router holds a lease that the store loses, and grants again to another")
def grant_twice(context):
    async def step(world):
        context.store = world.parts.store
        context.lease = await context.store.grant_lease(LEASE_SECONDS)
        await restore(world, context.copy)
        other = (await world.add_router("router-2")).store
        lease = await other.grant_lease(LEASE_SECONDS)
        assert lease.number == context.lease.number
        await other.put("wigeondrift/other", b"", 0, lease)

    queue_action(context, step)


@then("the first router can't {use} the lease, and the other's key stays")
def check_lease(context, use):
    async def check(world):
        store, lease = context.store, context.lease
        if use == "end":
            await store.end_lease(lease)
        elif use == "renew":
            await expect_error(LeaseEnded, store.renew_lease, lease)
        else:
            await expect_error(LeaseEnded, store.put, "wigeondrift/k", b"", 0, lease)
        assert world.store.get("wigeondrift/other") is not None
        assert world.store.get("wigeondrift/k") is None

    queue_action(context, check)


@when("the router leads the planning")
def lead(context):
    async def step(world):
        await world.parts.planner.start(world.nursery)
        await trio.sleep(3.0)
        assert world.parts.planner.is_leader

    queue_action(context, step)


@when("the store is restored from the copy, and a second router has its lease number")
def lead_twice(context):
    async def step(world):
        number = world.parts.planner._lease.number
        world.store.is_down = True
        await trio.sleep(0.5)
        world.store.restore(context.copy)
        world.store.is_down = False
        world.store.rewrite()
        while world.store.grant_lease(LEASE_SECONDS) < number:
            pass
        context.other = await world.add_router("router-2")
        await context.other.planner.start(world.nursery)

    queue_action(context, step)


@then("only one of the two leads the planning at any time")
def check_leaders(context):
    async def check(world):
        leaders = []
        for _ in range(200):
            await trio.sleep(0.05)
            planners = [world.parts.planner, context.other.planner]
            leaders.append(sum(planner.is_leader for planner in planners))
        assert max(leaders) == 1 and leaders[-1] == 1, leaders

    queue_action(context, check)


@when('member "{name}" joins and the other members {leave}')
def replace_members(context, name, leave):
    async def step(world):
        world.add_upstream(name, "desk")
        world.network.listen(world.address_of(name), world.servers_by_id[name].handle)
        for member in MEMBERS:
            if leave == "drain":
                world.write_entry(member, state="draining")
            elif leave == "are delisted":
                world.store.remove(f"servers/{member}")
        await trio.sleep(2.0)

    queue_action(context, step)


@when(
    "the store is restored from the copy, and not written again for {seconds:d} seconds"
)
def restore_without_writes(context, seconds):
    async def step(world):
        await restore(world, context.copy, is_rewritten=False)
        await trio.sleep(seconds)

    queue_action(context, step)


async def count_served(world, count):
    """Return how many of some further requests each member served."""
    members = [n for n, e in world.entries_by_id.items() if e["service"] == "desk"]
    before = {name: len(world.servers_by_id[name].served) for name in members}
    for _ in range(count):
        answer = await world.call("/status/1")
        assert answer.status == 200, vars(answer)
    return {
        name: len(world.servers_by_id[name].served) - served
        for name, served in before.items()
    }


@then('{count:d} requests are served by "{name}" alone')
def check_served_by(context, count, name):
    async def check(world):
        served = await count_served(world, count)
        assert served[name] == count, served

    queue_action(context, check)


@then('{count:d} requests are served, none of them by "{name}"')
def check_not_served_by(context, count, name):
    async def check(world):
        served = await count_served(world, count)
        assert served[name] == 0, served

    queue_action(context, check)


@then("all other members are used again once their next incarnations are listed")
def check_next_incarnations(context):
    async def check(world):
        for member in MEMBERS:
            world.write_entry(member, state="ready", born=2)
        await trio.sleep(2.0)
        served = await count_served(world, 20)
        assert all(served[member] for member in MEMBERS), served

    queue_action(context, check)


@then("after {seconds:d} seconds all members that are still listed are used")
def check_listed_are_used(context, seconds):
    async def check(world):
        await trio.sleep(seconds)
        served = await count_served(world, 20)
        assert all(served[member] for member in MEMBERS), served

    queue_action(context, check)


@when("a second router starts while the store holds a copy without the revocation")
def start_on_copy(context):
    async def start(world):
        entry = RouterEntry("10.0.0.9:7340", "east")
        key = f"{ROUTER_ENTRIES_PREFIX}router-1"
        world.store.write(key, msgspec.json.encode(entry))
        copy = world.store.copy()
        world.put_configuration(version=2, keys=("another",))
        await trio.sleep(2.0)
        await restore(world, copy, is_rewritten=False)
        context.second = await start_second(world, world.parts.version_check)

    queue_action(context, start)


@when("a second router starts whose peer does not answer")
def start_beside_silent_peer(context):
    async def start(world):
        entry = RouterEntry("10.0.0.9:7340", "east")
        key = f"{ROUTER_ENTRIES_PREFIX}router-1"
        world.store.write(key, msgspec.json.encode(entry))
        context.second = await start_second(world, None)

    queue_action(context, start)


async def start_second(world, peer_check):
    """Start a router whose questions for versions reach ``peer_check``, if any."""
    parts = world.make_parts(MemoryClient(world.network), "router-2")

    async def ask(name, request):
        assert name == "router-1", name
        if peer_check is not None:
            parts.version_check.apply_answer(peer_check.answer_request(request))

    parts.version_check.connect(ask)
    await parts.version_check.start(world.nursery)
    await parts.replica.start(world.nursery)
    await trio.sleep(0.1)
    return parts


@then("the second router refuses the key until the operator has written again")
def check_refusal(context):
    async def check(world):
        for status in (503, 401):
            answer = await world.call("/status/1", method="GET", router=context.second)
            assert answer.status == status, vars(answer)
            world.store.rewrite()
            await trio.sleep(2.0)

    queue_action(context, check)


@then("the second router serves the key within a second")
def check_service(context):
    async def check(world):
        await trio.sleep(1.0)
        answer = await world.call("/status/1", method="GET", router=context.second)
        assert answer.status == 200, vars(answer)

    queue_action(context, check)
