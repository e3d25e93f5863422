import random

from behave import given, then, when

from tests.fleets import make_runner, make_tables
from tests.machines import quarantine
from wigeondrift.entities import Instance, Role
from wigeondrift.systems.quarantine import Quarantine
from wigeondrift.systems.routing import Routing
from wigeondrift.table.tables import Tables
from wigeondrift.wire.messages import SuspectNews

NAMES = ("a", "b")


@given('suspects "{first}" and "{second}" with deaths on "{upstream}"')
def make_suspects(context, first, second, upstream):
    context.quarantine = Quarantine(Tables())
    context.now = 0.0
    deaths = ((first, (f"{upstream}/1",)), (second, (f"{upstream}/1",)))
    context.news = [SuspectNews(deaths, (), ())]
    context.quarantine.merge(context.news[0], context.now)


@given('suspects "{first}" and "{second}" that share deaths on "{one}" and "{two}"')
def make_shared_suspects(context, first, second, one, two):
    make_suspects(context, first, second, one)
    deaths = ((first, (f"{two}/1",)), (second, (f"{two}/1",)))
    context.quarantine.merge(SuspectNews(deaths, (), ()), context.now)


def list_refused(context):
    context.now += 1.0
    context.quarantine.tick(context.now)
    return [name for name in NAMES if context.quarantine.is_refused(name)]


@when('"{upstream}" dies while it runs only "{name}"')
def record_single_death(context, name, upstream):
    news = SuspectNews(((name, (f"{upstream}/1",)),), (), ())
    context.news.append(news)
    context.quarantine.merge(news, context.now)


@when('"{name}" runs to its end')
def finish_run(context, name):
    context.quarantine.record_success(name, context.now)


@when("{seconds:d} seconds pass and the old messages arrive again")
def pass_time(context, seconds):
    context.now += seconds
    context.quarantine.tick(context.now)
    for news in context.news:
        context.quarantine.merge(news, context.now)


@then("neither suspect is refused")
def check_none_refused(context):
    assert list_refused(context) == []


@then('only "{name}" is refused')
def check_only_refused(context, name):
    assert list_refused(context) == [name]


@then('"{suspect}" is a suspect and "{cleared}" is not')
def check_cleared(context, suspect, cleared):
    assert context.quarantine.is_suspect(suspect)
    assert not context.quarantine.is_suspect(cleared)


def make_news(rng):
    name, upstream = rng.choice(NAMES), f"u{rng.randint(1, 3)}/1"
    return rng.choice(
        [
            SuspectNews(((name, (upstream,)),), (), ()),
            SuspectNews((), (f"{name}@{upstream}",), ()),
            SuspectNews((), (), (name,)),
        ]
    )


@then("{count:d} random orders of the same suspect messages give the same state")
def check_orders(context, count):
    rng = random.Random(3)
    for _ in range(count):
        news = [make_news(rng) for _ in range(6)]
        states = []
        for _ in range(2):
            rng.shuffle(news)
            one = Quarantine(Tables())
            for item in news + rng.sample(news, 3):
                one.merge(item, 1.0)
            states.append(
                [(one.is_refused(name), one.is_suspect(name)) for name in NAMES]
            )
        assert states[0] == states[1], news


@then(
    "{examples:d} fuzzed schedules with poison requests lose at most two runners"
    " per request"
)
def fuzz_quarantine(context, examples):
    quarantine.run(examples)


@given('runners "{one}" in "{first}" and "{two}" in "{second}" that run "{name}"')
def make_runners(context, one, first, two, second, name):
    tables = Tables()
    for runner, domain in ((one, first), (two, second)):
        tables.instances_by_id[runner] = make_runner(runner, 0, 12, domain)
    context.quarantine = Quarantine(tables)
    context.now = 0.0
    context.name = name


@when('"{one}" dies and "{two}" {seconds:g} seconds later')
def record_both_deaths(context, one, two, seconds):
    for runner in (one, two):
        record_death(context, context.name, runner)
        context.now += seconds


def record_death(context, name, runner):
    run = context.quarantine.begin_run(name, (runner,))
    run.has_started = True
    context.quarantine.record_death(run, runner, context.now)
    context.quarantine.end_run(run)


@when(
    'another upstream dies running "{other}", and {before:g} seconds later "{one}"'
    ' and "{two}"'
)
def record_preceding_death(context, other, before, one, two):
    record_death(context, other, "u9")
    context.quarantine.record_success(other, context.now)
    context.now += before
    record_both_deaths(context, one, two, 0.1)


@when(
    'another upstream dies running only "{other}", and {before:g} seconds later'
    ' "{one}" and "{two}"'
)
def record_preceding_unresolved_death(context, other, before, one, two):
    record_death(context, other, "u9")
    context.now += before
    record_both_deaths(context, one, two, 0.1)


@then('"{name}" is refused: {refused}')
def check_refused(context, name, refused):
    assert list_refused(context) == ([name] if refused == "yes" else [])


@given("{agents:d} agents and {runners:d} runners of one range in 3 failure domains")
def make_agents_and_runners(context, agents, runners):
    domains = ("rajkot", "morbi", "jamnagar")
    members = [make_runner(f"r{i}", 0, 12, domains[i % 3]) for i in range(runners)]
    names = [f"agent-{i}" for i in range(agents)]
    members += [Instance(name, 1, Role.AGENT, "", "rajkot") for name in names]
    tables = make_tables(members, 12, version="v1")
    context.members = tables.instances_by_id
    context.trial_runners_by_agent = {}
    for name in names:
        routing = Routing(tables, "rajkot", random.Random(1), name)
        routing.plan("kokil-lm", "counters", (), 0, 0.0)
        reserved = routing.list_reserved_runners("kokil-lm")
        context.trial_runners_by_agent[name] = {
            m for m in context.members if m[0] == "r"
        } - reserved


@then(
    "each runner is assigned to one agent, and each has {count:d} in different domains"
)
def check_trial_runners(context, count):
    parts = list(context.trial_runners_by_agent.values())
    assert sorted(m for part in parts for m in part) == [f"r{i}" for i in range(6)]
    for part in parts:
        assert len({context.members[m].failure_domain for m in part}) == count
