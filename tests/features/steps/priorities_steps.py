"""Steps on priorities, fairness between teams and the pressure level."""

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings, strategies

from tests.features.steps.router_steps import FIRST_STAGES, queue_action, queue_check
from tests.router_world import KEY, TEAM, make_configuration, make_route
from wigeondrift.systems.urgency import (
    DEFAULT_URGENCY,
    MAX_URGENCY,
    MIN_URGENCY,
    UrgencyScale,
)

PRIORITIES = strategies.sets(strategies.integers(0, 10**6), min_size=1, max_size=30)


@then("any set of priorities maps to urgencies from 0 to 9 in the same order")
def check_urgency_order(context):
    # Guards against a less urgent request that a runner admits first.
    @settings(deadline=None, derandomize=True)
    @given_values(PRIORITIES)
    def check(priorities):
        scale = UrgencyScale(priorities)
        levels = [scale.get_urgency(p, False) for p in scale.priorities]
        resumed = [scale.get_urgency(p, True) for p in scale.priorities]
        if len(priorities) == 1:
            assert (levels, resumed) == ([None], [DEFAULT_URGENCY - 1])
            return
        assert levels == sorted(levels)
        assert all(a - b == 1 for a, b in zip(levels, resumed, strict=True))
        assert min(resumed) >= MIN_URGENCY and max(levels) <= MAX_URGENCY
        if len(priorities) <= 9:
            assert len(set(levels)) == len(levels)
        if len(priorities) <= 5:
            assert not set(resumed) & set(levels)

    check()


@then("the most urgent priority is never above the default, the least never below")
def check_default_urgency(context):
    # Guards against requests without the header, of routers with an older
    # configuration, that pass more urgent ones or are passed by the least urgent.
    @settings(deadline=None, derandomize=True)
    @given_values(PRIORITIES.filter(lambda priorities: len(priorities) > 1))
    def check(priorities):
        scale = UrgencyScale(priorities)
        assert scale.get_urgency(min(priorities), False) <= DEFAULT_URGENCY
        assert scale.get_urgency(max(priorities), False) >= DEFAULT_URGENCY
        if scale.get_urgency(max(priorities), False) > DEFAULT_URGENCY:
            assert scale.get_urgency(max(priorities), True) >= DEFAULT_URGENCY

    check()


def put_priorities(context, draft, batch, team_priority=None):
    tenant = {"name": TEAM, "api_keys": [KEY]}
    if team_priority is not None:
        tenant["priority"] = team_priority
    routes = [
        make_route("draft", "streaming", "model", priority=draft),
        make_route("batch", "streaming", "model", priority=batch, prefix="/draft/b/"),
        *make_configuration()["routes"][1:],
    ]
    context.world.put_configuration(version=2, routes=routes, tenants=[tenant])
    context.priorities = (draft, batch)


@given(
    'the routes "draft" and "batch" of the model with priorities {draft:d}'
    " and {batch:d}"
)
def set_priorities(context, draft, batch):
    put_priorities(context, draft, batch)


@given('the team has the priority ""')
def keep_team_priority(context):
    pass


@given('the team has the priority "{priority:d}"')
def set_team_priority(context, priority):
    put_priorities(context, *context.priorities, priority)


@when('a caller requests a stream of "{route}" with the urgency header {urgency:d}')
def request_route(context, route, urgency):
    path = {"draft": "/draft/1", "batch": "/draft/b/1"}[route]

    async def act(world):
        headers = [("Wigeondrift-Request-Urgency", str(urgency))]
        context.answers.append(await world.call(path, headers=headers))

    queue_action(context, act)


def list_urgencies(world):
    requests = [r for name in FIRST_STAGES for r in world.servers_by_id[name].served]
    return [r.headers_by_name.get("wigeondrift-request-urgency", "") for r in requests]


@then('the first runner got the urgency ""')
def check_no_urgency(context):
    check_urgency(context, "")


@then('the first runner got the urgency "{urgency}"')
def check_urgency(context, urgency):
    def check(world):
        assert list_urgencies(world) == [urgency], list_urgencies(world)

    queue_check(context, check)


@then('the two first runners got the urgencies "" and "{resumed}"')
def check_resumed_urgency(context, resumed):
    def check(world):
        assert list_urgencies(world) == ["", resumed], list_urgencies(world)

    queue_check(context, check)
