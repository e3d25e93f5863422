"""Steps on priorities, fairness between teams and the pressure level."""

import trio
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings, strategies

from tests.features.steps.router_steps import FIRST_STAGES, queue_action, queue_check
from tests.machines.grants import CHECKS
from tests.router_world import KEY, TEAM, make_configuration, make_route
from wigeondrift.systems.urgency import (
    DEFAULT_URGENCY,
    MAX_URGENCY,
    MIN_URGENCY,
    UrgencyScale,
)

SECOND_TEAM = ("office", "office-key")
TICK_SECONDS = 0.1
# The objective of 0.5 s, and the time of the other events of a stream.
ON_TIME_SECONDS = 0.62
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


@then("the grant order {name}")
def check_grant_order(context, name):
    CHECKS[name]()


@given("a second team")
def add_team(context):
    tenants = [
        {"name": name, "api_keys": [key]} for name, key in ((TEAM, KEY), SECOND_TEAM)
    ]
    context.world.put_configuration(version=2, tenants=tenants)


def play_load(context, streams, seconds):
    """Queue an action that sends streams evenly, by name, each 0.1 seconds."""

    async def one(world, name, pause, path, key):
        await trio.sleep(pause)
        answer = await world.call(path, key=key)
        context.answers_by_name[name].append(answer)

    async def act(world):
        context.answers_by_name = {name: [] for name in streams}
        async with trio.open_nursery() as nursery:
            for tick in range(int(seconds / TICK_SECONDS)):
                for name, (count, path, key) in streams.items():
                    for n in range(count):
                        pause = (tick + n / count) * TICK_SECONDS
                        nursery.start_soon(one, world, name, pause, path, key)

    queue_action(context, act)


@when(
    '{draft:d} streams of "draft" and {batch:d} of "batch" arrive in each 0.1 seconds'
    " for {seconds:d} seconds"
)
def compete(context, draft, batch, seconds):
    streams = {"draft": (draft, "/draft/1", KEY), "batch": (batch, "/draft/b/1", KEY)}
    play_load(context, streams, seconds)


@when(
    "{first:d} streams of the first team and {second:d} of the second arrive in each"
    " 0.1 seconds"
)
def flood(context, first, second):
    second_key = SECOND_TEAM[1]
    play_load(
        context,
        {"first": (first, "/draft/1", KEY), "second": (second, "/draft/2", second_key)},
        4.0,
    )


def get_on_time_percent(answers):
    on_time = [a for a in answers if a.status == 200 and a.seconds <= ON_TIME_SECONDS]
    return 100.0 * len(on_time) / len(answers)


@then(
    '{most:d} % or more of the "draft" streams begin on time, and {others:d} % or fewer'
    ' of "batch"'
)
def check_on_time(context, most, others):
    def check(world):
        draft, batch = context.answers_by_name.values()
        percents = (get_on_time_percent(draft), get_on_time_percent(batch))
        assert percents[0] >= most and percents[1] <= others, percents

    queue_check(context, check)


@then('fewer than {most:d} % of the "draft" streams begin on time')
@then("fewer than {most:d} % of the streams of the second team begin on time")
def check_late(context, most):
    def check(world):
        name = "draft" if "draft" in context.answers_by_name else "second"
        percent = get_on_time_percent(context.answers_by_name[name])
        assert percent < most, percent

    queue_check(context, check)


@then("{most:d} % or more of the streams of the first team begin on time")
def check_first_team(context, most):
    def check(world):
        percent = get_on_time_percent(context.answers_by_name["first"])
        assert percent >= most, percent

    queue_check(context, check)


@then('each stream of "draft" is answered, and some of "batch"')
def check_answered(context):
    def check(world):
        draft, batch = context.answers_by_name.values()
        assert all(answer.status == 200 for answer in draft)
        assert any(answer.status == 200 for answer in batch)

    queue_check(context, check)
