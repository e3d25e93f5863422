"""Steps on upstreams that name a request limit."""

import random

import trio
from behave import given, then, when

from tests.features.steps.router_steps import queue_action, queue_check
from tests.machines import herd
from tests.machines.limits import UPSTREAM, WINDOW_SECONDS, LimitMachine, get_bound
from tests.permit_routers import PermitRouters
from tests.router_world import make_engine
from wigeondrift.platform.requests import PlatformHeaderCodec
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import ChainSet, RouteDemand
from wigeondrift.systems.limits import RequestLimits

SEED = 11


@given("{count:d} routers with {calls:f} calls a second each for an upstream")
@given("{count:d} routers with {calls:d} calls a second each for an upstream")
def make_routers(context, count, calls):
    context.machine = LimitMachine(SEED, count, None, calls)
    context.machine.run(1.0)


@given("a third of the news is lost")
def lose_news(context):
    context.machine.loss = 1 / 3


@when("the upstream names a limit of {limit:g} for {seconds:d} seconds")
def name_limit(context, limit, seconds):
    context.machine.limit = limit
    context.machine.run(seconds)


@when("the upstream names a limit of {limit:g} while a router restarts each 5 seconds")
def name_limit_with_restarts(context, limit):
    machine = context.machine
    machine.limit = limit
    for number in range(8):
        machine.run(5.0)
        machine.restart(machine.names[number])


@then("no 4 seconds bring it more than the limit allows")
def check_bound(context):
    machine = context.machine
    assert machine.count_most() <= get_bound(machine.limit), machine.count_most()


@then("it gets {least:d} or more of these requests in the last {seconds:d} seconds")
def check_use(context, least, seconds):
    machine = context.machine
    got = machine.count_between(machine.now - seconds, machine.now)
    assert got >= least, got


@when("the upstream names a limit of {limit:g} for {seconds:d} seconds and lifts it")
def lift_limit(context, limit, seconds):
    name_limit(context, limit, seconds)
    context.machine.limit = None


@then("it gets {least:d} or more requests in the {seconds:d} seconds after")
def check_lifted(context, least, seconds):
    context.machine.run(seconds)
    check_use(context, least, seconds)


@when(
    "the upstream names a limit of {limit:g} while its issuer restarts each 10 seconds"
)
def name_limit_while_issuers_restart(context, limit):
    machine = context.machine
    machine.limit = limit
    for _ in range(4):
        machine.run(10.0)
        machine.restart(machine.get_issuer())


@when(
    "the upstream names a limit of {limit:g} and half of the routers don't hear"
    " its issuer"
)
def cut_issuer(context, limit):
    machine = context.machine
    machine.limit = limit
    machine.run(10.0)
    issuer = machine.get_issuer()
    others = [name for name in machine.names if name != issuer]
    machine.cut_pairs = {(name, issuer) for name in others[::2]}
    machine.run(30.0)


@when("only one of them has calls for 30 seconds of a limit of {limit:d}")
def silence_others(context, limit):
    machine = context.machine
    machine.limit = float(limit)
    machine.run(5.0)
    machine.silenced.update(machine.names[1:])
    machine.run(30.0)


@then("it gets {percent:d} % of the calls of {seconds:d} more seconds")
def check_served_share(context, percent, seconds):
    machine = context.machine
    started_at, calls = machine.now, machine.calls
    machine.run(seconds)
    got = machine.count_between(started_at, machine.now)
    assert got >= percent / 100 * (machine.calls - calls), (got, machine.calls - calls)
    check_bound(context)


@then("the upstream gets {least:d} or more requests in the last {seconds:d} of these")
def check_replaced(context, least, seconds):
    check_use(context, least, seconds)
    check_bound(context)


@given(
    "{count:d} routers that know a limit of {limit:d} and ask each other for permits"
)
def make_permit_routers(context, count, limit):
    context.routers = PermitRouters(count, float(limit))


@given("the issuer does not answer")
def silence_issuer(context):
    routers = context.routers
    routers.cut = {(name, routers.ranking[0]) for name in routers.ranking}


@given("the issuer does not answer the router that asks")
def silence_issuer_for_one(context):
    routers = context.routers
    routers.cut = {(routers.asking, routers.ranking[0])}


@when(
    "a router that is not the issuer asks for {count:d} permits"
    " within {seconds:d} seconds"
)
def ask_for_permits(context, count, seconds):
    context.results = context.routers.ask(count, seconds)


@when("the limit is lifted {seconds:g} seconds after a request for a permit")
def lift_during_request(context, seconds):
    context.results = context.routers.ask(1, 1.0, lift_after=seconds)


@when(
    "a router is suspended for {seconds:d} seconds while the answer to its request"
    " arrives"
)
def suspend_router(context, seconds):
    context.routers.suspended_seconds = float(seconds)
    context.routers.ask(1, 1.0)


@then("it has asked twice")
def check_asked_twice(context):
    assert len(context.routers.requests) == 2, context.routers.requests


@then("it gets {least:d} to {most:d} of them")
def check_permits(context, least, most):
    got = sum(is_permitted for is_permitted, _ in context.results)
    assert least <= got <= most, got


@then("all are answered within {seconds:g} seconds")
def check_answer_times(context, seconds):
    longest = max(waited for _, waited in context.results)
    assert longest <= seconds, longest


def choose_head(context, **options):
    demand = RouteDemand(400.0, 300.0, 0.0)
    offer = context.chain_set.choose(
        demand, context.ledger, (), "zone-9", context.rng, "router-1", **options
    )
    return offer.chain.runners[0].upstream_id


@given('12 routes, all but "{head}" loaded, and a router that prefers others')
def make_routes(context, head):
    engine = make_engine()
    context.head = head
    context.rng = random.Random(SEED)
    context.chain_set = ChainSet(engine, herd.make_runners())
    context.ledger = CacheLedger(lambda runner: 1e6)
    for chain in context.chain_set.chains:
        if chain.runners[0].upstream_id != head:
            context.ledger.reserve(chain.route, 100.0, 5000.0)
    preferred = context.chain_set._list_preferred(context.ledger, "router-1")
    assert head not in [chain.runners[0].upstream_id for chain in preferred]


@then('the route of "{head}" is not chosen if it is at its limit')
def check_not_chosen(context, head):
    for _ in range(20):
        assert choose_head(context, closed={head}) != head


@then(
    "an answer without a limit to a request sent before the limit was known is ignored"
)
def check_late_answer(context):
    limits = RequestLimits("router-1")
    assert limits.record_answer(UPSTREAM, 2.0, 1.0, 1.1).limit == 2.0
    assert limits.record_answer(UPSTREAM, None, 0.9, 1.2) is None
    assert limits.get_limit(UPSTREAM) == 2.0
    assert limits.record_answer(UPSTREAM, None, 1.3, 1.4).limit is None
    assert limits.get_limit(UPSTREAM) is None


@then('the header "{header}" names the limit "{limit}"')
def check_header(context, header, limit):
    head = PlatformHeaderCodec().decode_head(200, [("server-limit", header)])
    assert str(head.limit) == limit, head.limit


@given('"{name}" names a limit of {limit}')
def limit_upstream(context, name, limit):
    server = context.world.servers_by_id[name]
    server.limit = limit
    server.served_at = []
    run = server._run

    async def record(exchange):
        server.served_at.append(trio.current_time())
        await run(exchange)

    server._run = record


def call_over_time(context, path, count, seconds):
    async def call(world):
        async def one(pause):
            await trio.sleep(pause)
            context.answers.append(await world.call(path))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(one, seconds * number / count)

    queue_action(context, call)


@when("{count:d} callers request streams within {seconds:d} seconds")
def request_streams(context, count, seconds):
    call_over_time(context, "/draft/1", count, seconds)


@when('{count:d} callers send "{route}" requests within {seconds:d} seconds')
def send_requests(context, count, route, seconds):
    call_over_time(context, f"/{route}/1", count, seconds)


@then('"{name}" gets no more than its limit allows')
def check_server(context, name):
    def check(world):
        server = world.servers_by_id[name]
        bound = get_bound(float(server.limit))
        for start in server.served_at:
            window = [
                at for at in server.served_at if start <= at < start + WINDOW_SECONDS
            ]
            assert len(window) <= bound, (len(window), bound)

    queue_check(context, check)


@then("the others are refused as not run with a time to come back")
def check_others(context):
    def check(world):
        statuses = {answer.status for answer in context.answers}
        assert statuses <= {200, 503}, statuses
        for answer in context.answers:
            if answer.status == 503:
                assert float(answer.headers["retry-after"]) > 0.0

    queue_check(context, check)
