import msgspec
import trio
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from trio.testing import MockClock

from tests.router_world import ENGINE, RouterWorld, make_configuration, make_engine
from wigeondrift.entities import Route, Stage
from wigeondrift.errors import WigeondriftError
from wigeondrift.platform.upstreams import HttpRunnerControl
from wigeondrift.router.entities import Upstream
from wigeondrift.router.selector import Reservation
from wigeondrift.router.settings import Bounds
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import (
    CACHE_FRACTION,
    Chain,
    ChainSet,
    RouteDemand,
    RouteOffer,
)
from wigeondrift.systems.route_repair import (
    MAX_PARTS,
    RepairQueue,
    find_repair,
    get_repair_rank,
)
from wigeondrift_emulator.memory_network import MemoryClient, MemoryNetwork

LAYERS = 80
CUTS = (20, 30, 40, 50, 60, LAYERS)


def make_world(context, attempts=2, **engine):
    context.world = world = RouterWorld()
    options = make_configuration()
    options["services"][0]["engine"] = {**ENGINE, **engine}
    options["routes"][0]["attempts"] = attempts
    data = msgspec.json.encode(options)
    world.store.write("op/config", data)
    context.dead = set()
    context.answers = []
    context.before = []
    return world


def add_runner(context, name, kind, held, events, slots=4):
    world = context.world
    world.add_upstream(name, "model", kind=kind, held=held)
    world.write_entry(name, slots=slots)
    server = world.servers_by_id[name]
    server.events = events
    server.dead_addresses = context.dead


async def kill(context, name):
    address = context.world.address_of(name)
    context.dead.add(address)
    await context.world.network.crash(address)


@given(
    "{replicas:d} replicas of 3 stages with {streams:d} streams each and 2 spare"
    " runners"
)
def make_replicas(context, replicas, streams):
    make_world(context, kv_token_bytes=1_000_000)
    for number in range(replicas):
        for stage, held in zip("abc", ((0, 30), (30, 55), (55, 80)), strict=True):
            add_runner(
                context, f"{stage}{number}", "large", held, 40, slots=2 * streams
            )
    add_runner(context, "s0", "large", (30, 80), 40)
    add_runner(context, "s1", "small", (40, 80), 40)
    context.streams = replicas * streams


@when("the later stages {names} die at once after {seconds:f} seconds")
def kill_stages(context, names, seconds):
    async def play(world):
        async with trio.open_nursery() as nursery:

            async def ask():
                context.answers.append(await world.call("/draft/1", caller_timeout=4.0))

            for _ in range(context.streams):
                nursery.start_soon(ask)
            await trio.sleep(seconds)
            context.died_at = trio.current_time()
            for name in names.split():
                await kill(context, name)
        await trio.sleep(0.1)
        context.used = dict(world.parts.selector.ledger._own_by_id)

    context.world.run(play)


def list_served(context):
    return [
        request.headers_by_name["wigeondrift-request-id"]
        for server in context.world.servers_by_id.values()
        for request in server.served
    ]


@then("each stream has all its events exactly once")
def check_all_streams(context):
    assert len(context.answers) == context.streams
    for answer in context.answers:
        assert answer.is_whole, vars(answer)
        assert answer.event_ids == list(range(40)), answer.event_ids


@then("each request arrived at one first runner once")
def check_arrivals(context):
    served = list_served(context)
    assert len(served) == len(set(served)) == context.streams, len(served)


@then("each stream ended within {seconds:f} seconds of the failure")
def check_ends(context, seconds):
    latest = max(answer.ended_at for answer in context.answers)
    assert latest < context.died_at + seconds, latest - context.died_at


@then("no capacity is reserved")
def check_nothing_reserved(context):
    assert context.used == {}, context.used


@when("{count:d} streams ask for the repair of one runner")
def ask_for_repairs(context, count):
    queue = RepairQueue()
    context.order = []
    context.most = 0
    tickets = {}
    for number in range(count):
        # Even ones are late.
        rank = get_repair_rank(1.0 if number % 2 else -1.0, False, 0.0, 0.0)
        tickets[number] = queue.request(
            "a2", rank, lambda number=number: context.order.append(number)
        )
    while len(context.order) < count:
        active = [n for n in context.order if not tickets[n].is_ended]
        context.most = max(context.most, len(active))
        queue.end(tickets[active[0]])


@then("at most {most:d} repairs run at a time, and all {count:d} run")
def check_bound(context, most, count):
    assert context.most == most
    assert sorted(context.order) == list(range(count))


@then("streams that can still be on time are repaired before late ones")
def check_order(context):
    waited = context.order[32:]
    late = [number % 2 == 0 for number in waited]
    assert late == sorted(late), waited


@given("two replicas, a spare for the second stage, and streams of 20 events")
def make_pair(context):
    make_world(context)
    add_pair(context)


def add_pair(context):
    for name, kind, held in (
        ("a1", "large", (0, 40)),
        ("a2", "large", (40, 80)),
        ("b1", "small", (0, 40)),
        ("b2", "small", (40, 80)),
        ("c2", "large", (40, 80)),
    ):
        add_runner(context, name, kind, held, 20)


@given("the route allows {attempts:d} attempts")
def set_attempts(context, attempts):
    make_world(context, attempts)
    add_pair(context)


@given('the first runner refuses orders over "{name}"')
def refuse_orders(context, name):
    server = context.world.servers_by_id["a1"]
    server.order_fault = "full"
    server.refused_address = context.world.address_of(name)


@given('the first runner answers orders by "{fault}"')
def break_orders(context, fault):
    context.world.servers_by_id["a1"].order_fault = fault


@given("the first runner dies {seconds:f} seconds after the start")
def kill_first_later(context, seconds):
    async def run(world):
        await trio.sleep(seconds)
        await kill(context, "a1")

    context.before.append(run)


@given('the runner "{name}" dies when it gets the stream')
def kill_replacement(context, name):
    async def run(world):
        while not world.servers_by_id["a1"].orders:
            await trio.sleep(0.005)
        await kill(context, name)

    context.before.append(run)


@given("the first runner stalls after 3 events for a reason that it does not report")
def stall_first(context):
    context.world.servers_by_id["a1"].fault = "stall"


@given("new parts of a route read for {seconds:d} seconds")
def slow_reading(context, seconds):
    context.world.servers_by_id["a1"].read_seconds = seconds


def play_stream(context, act):
    async def play(world):
        for task in context.before:
            world.nursery.start_soon(task, world)
        world.nursery.start_soon(act, world)
        context.answers.append(await world.call("/draft/1", caller_timeout=4.0))
        await trio.sleep(0.1)
        context.used = dict(world.parts.selector.ledger._own_by_id)
        # An order that was late finds no request.
        await trio.sleep(2.0)

    context.world.run(play)


@when("the second stage dies after {seconds:f} seconds of a stream")
def kill_second(context, seconds):
    async def act(world):
        await trio.sleep(seconds)
        assert world.servers_by_id["a1"].served
        await kill(context, "a2")

    play_stream(context, act)


@when(
    "the second stage dies after {seconds:f} seconds of a stream, which is reported at"
    " once"
)
def kill_and_report(context, seconds):
    async def act(world):
        await trio.sleep(seconds)
        await kill(context, "a2")
        assert world.parts.repairs.handle_fault("a2") == 1

    play_stream(context, act)


@when("a fault of the second stage is reported during a stream that is not stalled")
def report_wrongly(context):
    async def act(world):
        await trio.sleep(0.1)
        assert world.parts.repairs.handle_fault("a2") == 1

    play_stream(context, act)


@given("the other replica is there")
def keep_other(context):
    pass


@given("the other replica has no room")
def fill_other(context):
    fill_runner(context, "b1")


@given("the spare has no room")
def fill_spare(context):
    fill_runner(context, "c2")


def fill_runner(context, name):
    async def fill(world):
        stage = Stage(name, world.address_of(name), 0, 40)
        world.parts.selector.ledger.reserve(Route("", (stage,)), 1e6)
        context.filled = name

    context.before.append(fill)


@given("there is no retry budget")
def empty_budget(context):
    context.world.settings = msgspec.structs.replace(
        context.world.settings, bounds=Bounds(retry_ratio=0.0, retry_slack=0.0)
    )


@when("a stream is requested after the second stage has died")
def request_after_death(context):
    async def play(world):
        await kill(context, "a2")
        for task in context.before:
            await task(world)
        context.answers.append(await world.call("/draft/1", caller_timeout=4.0))
        await trio.sleep(0.1)
        context.used = dict(world.parts.selector.ledger._own_by_id)
        context.used.pop(getattr(context, "filled", ""), None)

    context.world.run(play)


def count_arrivals(context):
    """Count arrivals by first runner, with those that it turned away."""
    servers = context.world.servers_by_id
    counts = {name: len(s.served) + s.refusals for name, s in servers.items()}
    return {name: count for name, count in counts.items() if count}


@then("the request reached {runners:d} first runners in {arrivals:d} arrivals")
def check_reached(context, runners, arrivals):
    counts = count_arrivals(context)
    assert (len(counts), sum(counts.values())) == (runners, arrivals), counts


@then("the status is {status:d} after 1 arrival")
def check_refused(context, status):
    assert context.answers[-1].status == status
    assert sum(count_arrivals(context).values()) == 1


@then("the stream is complete with events {first:d} to {last:d}")
def check_stream(context, first, last):
    answer = context.answers[-1]
    assert answer.is_whole, vars(answer)
    assert answer.event_ids == list(range(first, last + 1)), answer.event_ids


@then("the stream ended within {seconds:f} seconds")
def check_stream_end(context, seconds):
    assert context.answers[-1].seconds < seconds, context.answers[-1].seconds


@then('the first runner got one request and an order over "{name}"')
def check_order_over(context, name):
    assert len(list_served(context)) == 1
    order = context.world.servers_by_id["a1"].orders[-1]
    address = context.world.address_of(name)
    assert order["path"].endswith(f",{address}=40-80"), order
    assert order["path"].startswith(f"{context.world.address_of('a1')}=0-40,")


@then("the first runner got no order")
def check_no_order(context):
    assert not context.world.servers_by_id["a1"].orders
    assert len(list_served(context)) == 1


@then("the stream was resumed at the first stage of the other replica")
def check_resumed(context):
    served = {n: len(s.served) for n, s in context.world.servers_by_id.items()}
    assert served["a1"] == served["b1"] == 1, served


@then("{count:d} requests arrived at first runners, and no order was carried out")
def check_arrived(context, count):
    assert len(list_served(context)) == count
    assert not any(s.orders for s in context.world.servers_by_id.values())


@when('a runner answers an order to change a route with {status:d} and "{body}"')
@when('a runner answers an order to change a route with {status:d} and ""')
def answer_order(context, status, body=""):
    async def handle(exchange):
        if not status:
            raise trio.BrokenResourceError
        await exchange.respond(status, [], body.encode())

    async def main():
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            runner = make_runner("r1", 0, LAYERS)
            network.listen(runner.address, handle)
            control = HttpRunnerControl(MemoryClient(network))
            route = make_chain([runner], (LAYERS,)).route
            try:
                await control.repath(runner, "q1", route)
                context.outcome = "none"
            except WigeondriftError as error:
                context.outcome = type(error).__name__
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


@then("the outcome is {name}")
def check_outcome(context, name):
    assert context.outcome == name, context.outcome


def make_runner(name, first, end, domain="east", kind="large", version=1):
    return Upstream(
        upstream_id=name,
        service="model",
        address=f"{name}:80",
        failure_domain=domain,
        is_leaving=False,
        slots=4,
        kind=kind,
        first_layer=first,
        end_layer=end,
        weights_version=version,
    )


def make_chain(runners, ends):
    starts = (0, *ends[:-1])
    stages = tuple(
        Stage(runner.upstream_id, runner.address, first, end)
        for runner, first, end in zip(runners, starts, ends, strict=True)
    )
    return Chain(Route("", stages), tuple(runners))


@st.composite
def make_fleets(draw):
    """Draw a route, its lost runners, spare runners and their room in cells."""
    ends = sorted(draw(st.sets(st.sampled_from(CUTS[:-1]), min_size=1))) + [LAYERS]
    runners = []
    for number, (first, end) in enumerate(zip([0, *ends[:-1]], ends, strict=True)):
        held_end = draw(st.sampled_from([c for c in CUTS if c >= end]))
        held_first = draw(st.sampled_from([c for c in (0, *CUTS) if c <= first]))
        runners.append(make_runner(f"r{number}", held_first, held_end))
    lost = draw(st.sets(st.sampled_from([r.upstream_id for r in runners]), min_size=1))
    spares = []
    for number in range(draw(st.integers(1, 8))):
        first = draw(st.sampled_from([0, *CUTS[:-1], 25]))
        end = draw(st.sampled_from([cut for cut in (*CUTS, 35) if cut > first]))
        domain = draw(st.sampled_from(["east", "west"]))
        version = draw(st.sampled_from([1, 1, 1, 2]))
        spares.append(make_runner(f"s{number}", first, end, domain, version=version))
    rooms = {
        r.upstream_id: draw(st.sampled_from([1e5, 1e5, 900.0, 300.0]))
        for r in (*runners, *spares)
    }
    return make_chain(runners, ends), lost, spares, rooms


DEMAND = RouteDemand(10.0, 10.0)


@then(
    "any route found for lost stages covers each layer once and keeps the first stage"
)
def check_covers(context):
    engine = make_engine()
    found = 0

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given_values(make_fleets())
    def check(fleet):
        nonlocal found
        chain, lost, spares, rooms = fleet
        ledger = CacheLedger(lambda runner: rooms[runner.upstream_id])
        runners = [*chain.runners, *spares]
        plan = find_repair(ChainSet(engine, ()), chain, lost, runners, DEMAND, ledger)
        if chain.runners[0].upstream_id in lost:
            assert plan is None
        if plan is None:
            return
        found += 1
        stages = plan.chain.route.stages
        assert stages[0] == chain.route.stages[0]
        ends = [stage.end_layer for stage in stages]
        assert [stage.first_layer for stage in stages] == [0, *ends[:-1]]
        assert ends[-1] == LAYERS
        assert all(stage.first_layer < stage.end_layer for stage in stages)
        ids = plan.chain.route.instance_ids
        assert len(set(ids)) == len(ids) <= MAX_PARTS
        assert lost.isdisjoint(ids)
        for stage, runner in zip(stages, plan.chain.runners, strict=True):
            assert runner.upstream_id == stage.instance_id
            assert runner.first_layer <= stage.first_layer
            assert stage.end_layer <= runner.end_layer
            assert runner.weights_version == 1
            if stage not in chain.route.stages:
                assert stage in plan.new_stages
                cells = DEMAND.tokens * (stage.end_layer - stage.first_layer)
                assert cells <= CACHE_FRACTION * rooms[stage.instance_id]

    check()
    assert found > 50, found


@then("any lost stage is replaced if one spare runner with room holds its layers")
def check_found(context):
    engine = make_engine()
    found = 0

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given_values(make_fleets())
    def check(fleet):
        nonlocal found
        chain, _, spares, rooms = fleet
        stage = chain.route.stages[-1]
        lost = {stage.instance_id}
        cells = DEMAND.tokens * (stage.end_layer - stage.first_layer)
        fitting = {
            spare.upstream_id
            for spare in spares
            if spare.first_layer <= stage.first_layer
            and stage.end_layer <= spare.end_layer
            and spare.weights_version == 1
            and cells <= CACHE_FRACTION * rooms[spare.upstream_id]
        }
        if not fitting:
            return
        found += 1
        ledger = CacheLedger(lambda runner: rooms[runner.upstream_id])
        runners = [*chain.runners, *spares]
        plan = find_repair(ChainSet(engine, ()), chain, lost, runners, DEMAND, ledger)
        # One new part, and all other stages kept.
        assert len(plan.new_stages) == 1
        assert plan.new_stages[0].instance_id in fitting
        kept = [s for s in chain.route.stages if s != stage]
        assert [s for s in plan.chain.route.stages if s != plan.new_stages[0]] == kept

    check()
    assert found > 50, found


@then("after any sequence of repairs and releases the ledger has what the routes use")
def check_ledger(context):
    names = [f"r{number}" for number in range(6)]
    actions = st.tuples(
        st.sampled_from(["start", "move", "refuse", "unknown", "read", "release"]),
        st.integers(0, 3),
        st.permutations(names[1:]),
    )

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given_values(st.lists(actions, max_size=25))
    def check(sequence):
        ledger = CacheLedger(lambda runner: 1e9)
        reservations = {}
        extra = {}
        for action, number, order in sequence:
            if action == "start" and number not in reservations:
                chain = make_test_chain(names[0], order)
                offer = RouteOffer(chain, 0.0, 0.0)
                reservations[number] = Reservation(offer, DEMAND, ledger)
                extra[number] = []
            reservation = reservations.get(number)
            if reservation is None:
                continue
            if action in ("move", "refuse", "unknown"):
                chain = make_test_chain(names[0], order)
                old = reservation.chain.route.stages
                stages = tuple(s for s in chain.route.stages if s not in old)
                hold = reservation.reserve_parts(stages, 20.0)
                if action == "move":
                    reservation.move(chain, hold)
                    extra[number] = []
                elif action == "refuse":
                    hold.release()
                else:
                    reservation.add(hold)
                    extra[number] = [*extra[number], *stages]
            elif action == "read":
                reservation.record_prompt_read()
            elif action == "release":
                reservation.release()
                del reservations[number], extra[number]
            check_usage(ledger, names, reservations, extra)
        for reservation in reservations.values():
            reservation.release()
        assert ledger._own_by_id == {}

    check()


def make_test_chain(first, order):
    runners = [make_runner(name, 0, LAYERS) for name in (first, order[0], order[1])]
    return make_chain(runners, (30, 60, LAYERS))


def check_usage(ledger, names, reservations, extra):
    for name in names:
        stages = [
            stage
            for number, reservation in reservations.items()
            for stage in (*reservation.chain.route.stages, *extra[number])
            if stage.instance_id == name
        ]
        usage = ledger.get_usage(name)
        cells = sum(DEMAND.tokens * (s.end_layer - s.first_layer) for s in stages)
        assert (usage.cells, usage.requests) == (cells, len(stages)), (name, usage)
        assert usage.first_stage_requests == (len(stages) if name == names[0] else 0)
        assert usage.pending_prefill_tokens >= 0.0
