import random

from behave import given, then, when

from tests.router_world import make_engine
from wigeondrift.router.entities import Upstream
from wigeondrift.systems.placement import Placement

KINDS = ("large", "small")
DOMAINS = ("east", "west", "north")


def make_runner(name, domain, kind, first=0, end=0):
    return Upstream(
        name, "model", f"10.1.0.1:{len(name)}", domain, False, 4, kind, first, end, 1
    )


@given("empty runners")
def make_empty(context):
    context.runners = []
    for row in context.table:
        for _ in range(int(row["count"])):
            name = f"r{len(context.runners):02d}"
            context.runners.append(make_runner(name, row["domain"], row["kind"]))


@given("runners that hold layers")
def make_holding(context):
    context.runners = [
        make_runner(r["name"], r["domain"], r["kind"], int(r["first"]), int(r["end"]))
        for r in context.table
    ]


@given('"{name}" is gone')
def remove_runner(context, name):
    context.runners = [r for r in context.runners if r.upstream_id != name]


@given("the runner with layer 0 is gone")
def remove_first_holder(context):
    context.runners.remove(
        next(r for r in context.runners if r.held_layers and r.first_layer == 0)
    )


@given('an empty "{kind}" runner joins "{domain}"')
def add_empty_runner(context, kind, domain):
    context.runners.append(make_runner("newcomer", domain, kind))


def plan(runners):
    placement = Placement(make_engine())
    ranges = {r.upstream_id: (r.first_layer, r.end_layer) for r in runners}
    changes = placement.plan(runners, ranges)
    return changes, {**ranges, **changes}


def apply_plan(runners, ranges):
    return [
        make_runner(r.upstream_id, r.failure_domain, r.kind, *ranges[r.upstream_id])
        for r in runners
    ]


@when("the placement is planned")
def plan_now(context):
    context.changes, context.ranges = plan(context.runners)


@given("the placement is planned and applied")
@when("the placement is planned and applied")
def plan_and_apply(context):
    plan_now(context)
    context.runners = apply_plan(context.runners, context.ranges)


def list_covered(runners, ranges):
    covered = set()
    for runner in runners:
        covered.update(range(*ranges[runner.upstream_id]))
    return covered


@then('each of "{domains}" holds every layer')
def check_domains(context, domains):
    for domain in domains.split():
        members = [r for r in context.runners if r.failure_domain == domain]
        assert list_covered(members, context.ranges) == set(range(80)), context.ranges


@then("all together hold every layer")
def check_all(context):
    assert list_covered(context.runners, context.ranges) == set(range(80))


def list_cache_tokens(runners, ranges):
    placement = Placement(make_engine())
    cache_tokens = []
    for runner in runners:
        first, end = ranges[runner.upstream_id]
        if end > first:
            cache_tokens.append(placement.get_cache_tokens(runner, end - first))
    return cache_tokens


@then("no runner holds more than its memory")
def check_memory(context):
    assert all(
        tokens > 0 for tokens in list_cache_tokens(context.runners, context.ranges)
    )


@then("the cache of every runner fits {count:d} usual requests")
def check_cache_size(context, count):
    cache_tokens = list_cache_tokens(context.runners, context.ranges)
    assert min(cache_tokens) >= count * 15, cache_tokens


@then("the cache sizes differ by less than a fifth")
def check_cache_balance(context):
    cache_tokens = list_cache_tokens(context.runners, context.ranges)
    assert len(cache_tokens) == 2
    assert max(cache_tokens) < 1.2 * min(cache_tokens), cache_tokens


@then("no further change is planned")
def check_stable(context):
    assert plan(context.runners)[0] == {}


@then("no other runner changes its layers")
def check_only_newcomer_changes(context):
    assert set(context.changes) == {"newcomer"}, context.changes


@then('no "{kind}" runner changes its layers')
def check_kind_unchanged(context, kind):
    names = {r.upstream_id for r in context.runners if r.kind == kind}
    assert names.isdisjoint(context.changes)


@then("{fleets:d} random fleets keep to the rules over {n:d} changes")
def check_random(context, fleets, n):
    rng = random.Random(20261204)
    for _ in range(fleets):
        check_fleet(rng, n)


def check_fleet(rng, changes):
    runners = [
        make_runner(f"r{i:03d}", rng.choice(DOMAINS), rng.choice(KINDS))
        for i in range(rng.randint(1, 24))
    ]
    for step in range(changes):
        orders, ranges = plan(runners)
        for name, (first, end) in orders.items():
            assert 0 <= first < end <= 80, (name, first, end)
        cache_tokens = list_cache_tokens(runners, ranges)
        assert all(tokens > 0 for tokens in cache_tokens), ranges
        runners = apply_plan(runners, ranges)
        # Planning again after a plan was applied changes nothing.
        again, _ = plan(runners)
        assert not again, (orders, again)
        if runners and rng.random() < 0.6:
            runners.pop(rng.randrange(len(runners)))
        if rng.random() < 0.6:
            name = f"n{step:03d}{rng.randrange(1000)}"
            newcomer = make_runner(name, rng.choice(DOMAINS), rng.choice(KINDS))
            runners.append(newcomer)
