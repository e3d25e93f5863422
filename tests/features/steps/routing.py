import random

from behave import given, then, when

from tests.fleets import SERVICE, TEAM, make_runner, make_tables
from wigeondrift.entities import LoadReport
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.systems.routing import Routing
from wigeondrift.table.rows import LimitRow

PROMPT_HASH = 0x1234567890ABCDEF


def is_exact(route, layers):
    next_layer = 0
    for stage in route.stages:
        if stage.first_layer != next_layer or stage.end_layer <= next_layer:
            return False
        next_layer = stage.end_layer
    return next_layer == layers and len(set(route.instance_ids)) == len(route.stages)


@given("a fleet of runners")
def make_fleet(context):
    instances = [
        make_runner(
            row["name"],
            int(row["first"]),
            int(row["end"]),
            row["domain"],
            row.get("version", "v1"),
            row.get("state", "live"),
        )
        for row in context.table
    ]
    context.tables = make_tables(instances, 12)
    context.routing = Routing(context.tables, "rajkot", random.Random(1))


@given("a fleet of {count:d} equal runners with one old report each")
def make_equal_fleet(context, count):
    instances = [make_runner(f"r{i}", 0, 12) for i in range(count)]
    context.tables = make_tables(instances, 12)
    for instance in instances:
        report = LoadReport(instance.instance_id, 0, 0, 0.01)
        context.tables.loads_by_id[instance.instance_id] = report
    context.routing = Routing(context.tables, "rajkot", random.Random(1))


@given('the row allows the failure domains "{domains}"')
def allow_domains(context, domains):
    row = LimitRow(domains=tuple(domains.split()))
    context.tables.table.limits_by_row[f"{TEAM}/{SERVICE}"] = row


def plan(context, excluded=(), prompt_hash=0):
    return context.routing.plan(SERVICE, TEAM, excluded, prompt_hash, 10.0)


@when("a route over 12 layers is planned")
def plan_route(context):
    context.route = None
    try:
        context.route = plan(context)
    except RequestError as error:
        context.refusal = error


@when('a route over 12 layers is planned {times:d} times without "{name}"')
def plan_routes_without(context, times, name):
    context.chosen = {plan(context, {name}).instance_ids for _ in range(times)}


@when('a route over 12 layers is planned {times:d} times without ""')
def plan_routes(context, times):
    plan_routes_without(context, times, "")


@when('runner "{name}" gets a leave mark')
def mark_leaving(context, name):
    former = context.tables.instances_by_id[name]
    context.tables.instances_by_id[name] = make_runner(
        name, former.first_layer, former.end_layer, state="leaving"
    )


@when('runner "{name}" failed')
def fail_runner(context, name):
    context.routing.record_failure([name], 10.0)


@when('the link from "{source}" to "{target}" takes {slow:d} ms and the others 1 ms')
def observe_links(context, source, target, slow):
    for _ in range(40):
        route = plan(context)
        domains = [
            context.tables.instances_by_id[name].failure_domain
            for name in route.instance_ids
        ]
        seconds = 0.04 + (slow / 1000 if domains == [source, target] else 0.001)
        context.routing.record_token_time(route, seconds)


@when("{count:d} requests start without a new report")
def start_requests(context, count):
    for _ in range(count):
        context.routing.record_start(plan(context).instance_ids, 10.0)


@when("a prompt is planned {times:d} times")
def plan_prompt(context, times):
    context.prompt_routes = {
        plan(context, prompt_hash=PROMPT_HASH).instance_ids for _ in range(times)
    }


@when("{count:d} requests start at the prompt's runner")
def load_affinity_runner(context, count):
    (context.affinity_route,) = context.prompt_routes
    for _ in range(count):
        context.routing.record_start(context.affinity_route, 10.0)


@then("the prompt's routes were all the same")
def check_same(context):
    assert len(context.prompt_routes) == 1


@then("the prompt's runner was not chosen")
def check_affinity_runner_avoided(context):
    assert context.affinity_route not in context.prompt_routes


@then("no runner has more than {count:d} requests")
def check_spread(context, count):
    loads = context.routing.loads
    assert max(loads.get_own_requests(f"r{i}") for i in range(10)) <= count


@then("the route covers {layers:d} layers exactly once")
def check_cover(context, layers):
    assert is_exact(context.route, layers), context.route


@then('the route\'s runners are "{names}"')
def check_runners(context, names):
    assert context.route.instance_ids == tuple(names.split())


@then("there is no route")
def check_no_route(context):
    assert context.route is None
    assert context.refusal.kind is ErrorKind.NO_ROUTE


@then('only "{name}" was chosen')
def check_chosen(context, name):
    assert context.chosen == {(name,)}


@then('routes converge to "{names}"')
def check_routes(context, names):
    routes = {plan(context).instance_ids for _ in range(20)}
    assert routes == {tuple(names.split())}, routes


@then("{count:d} random fleets have a route exactly when their ranges cover the layers")
def check_random_fleets(context, count):
    rng = random.Random(7)
    found = 0
    for _ in range(count):
        layers = rng.randint(1, 10)
        ranges = []
        for _ in range(rng.randint(1, 8)):
            first = rng.randrange(layers + 1)
            ranges.append((first, rng.randint(first + 1, layers + 2)))
        instances = [
            make_runner(f"r{i}", first, end, rng.choice(["rajkot", "morbi"]))
            for i, (first, end) in enumerate(ranges)
        ]
        routing = Routing(make_tables(instances, layers), "rajkot", rng)
        for instance in instances:
            routing.latencies._excess_by_id[instance.instance_id] = rng.random()
        covered = all(any(f <= layer < e for f, e in ranges) for layer in range(layers))
        try:
            route = routing.plan(SERVICE, TEAM, (), 0, 0.0)
        except RequestError:
            assert not covered, ranges
            continue
        assert covered and is_exact(route, layers), (ranges, route)
        found += 1
    assert 0 < found < count
