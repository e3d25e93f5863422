import msgspec
import trio
from behave import given, then, when

from tests.features.steps.router_steps import play, queue_check
from tests.router_world import RouterWorld
from wigeondrift_emulator.memory_network import MemoryClient

RUNNERS_BY_DOMAIN = {"east": ("e1", "e2", "e3"), "west": ("w1", "w2", "w3")}
LEADER_KEY = "wigeondrift/planner"


@given("a platform with empty runners in two domains")
def make_platform(context):
    context.world = RouterWorld()
    context.steps = []
    context.answers = []
    context.run_scenario = play
    for domain, names in RUNNERS_BY_DOMAIN.items():
        for name in names:
            context.world.add_upstream(name, "model", zone=domain, kind="large")


@given("another router was the leader and is gone")
def hold_leadership(context):
    async def acquire_leadership(world):
        store = world.parts.store
        lease = await store.grant_lease(3.0)
        await store.put(LEADER_KEY, b"gone", 0, lease)

    context.steps.append(acquire_leadership)


@given("one runner has accepted an order that the list does not show")
def accept_unlisted_order(context):
    server = context.world.servers_by_id["e1"]
    server.layers = (0, 20)
    server.order_count = 1


def publish_held_layers(world):
    """Publish the layers that runners hold, as their heartbeats would."""

    async def publish():
        while True:
            await trio.sleep(1.2)
            for name, server in world.servers_by_id.items():
                first, end = server.layers
                shown = {"from": first, "to": end, "version": 1}
                if server.orders and world.entries_by_id[name]["layers"] != shown:
                    world.write_entry(name, layers=shown)

    world.nursery.start_soon(publish)


@when("a router leads for {seconds:d} seconds")
def run_leader(context, seconds):
    async def run(world):
        publish_held_layers(world)
        await world.parts.planner.start(world.nursery)
        await trio.sleep(seconds)

    context.steps.append(run)


@when("two routers run for {seconds:d} seconds")
def run_two(context, seconds):
    async def run(world):
        publish_held_layers(world)
        other = world.make_parts(MemoryClient(world.network), "router-2")
        await other.replica.start(world.nursery)
        await world.parts.planner.start(world.nursery)
        await other.planner.start(world.nursery)
        await trio.sleep(seconds)

    context.steps.append(run)


@then("each domain's runners were ordered to hold every layer once")
def check_orders(context):
    def check(world):
        for names in RUNNERS_BY_DOMAIN.values():
            held = sorted(
                (order["from"], order["to"])
                for name in names
                for order in world.servers_by_id[name].orders
            )
            assert held[0][0] == 0 and held[-1][1] == 80, held
            for (_, end), (first, _) in zip(held, held[1:], strict=False):
                assert end == first, held

    queue_check(context, check)


@then("a draft is served")
def check_served(context):
    async def request_draft(world):
        answer = await world.call("/draft/1")
        assert answer.status == 200 and answer.is_whole

    context.steps.append(request_draft)


@then("no runner got more than one order")
def check_single(context):
    def check(world):
        counts = [len(server.orders) for server in world.servers_by_id.values()]
        assert max(counts) == 1, counts

    queue_check(context, check)


@then("that runner got no order")
def check_no_order(context):
    def check(world):
        assert world.servers_by_id["e1"].orders == []
        assert msgspec.json.encode(world.servers_by_id["e1"].layers) == b"[0,20]"

    queue_check(context, check)


@then("the router has no idle connection to a runner")
def check_idle_connections(context):
    def check(world):
        assert world.parts.client.idle_count == 0, world.parts.client.idle_count

    queue_check(context, check)
