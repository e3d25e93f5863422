import os
import random
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from tests.router_world import KEY, RouterWorld, make_configuration
from wigeondrift.entities import Route, Stage
from wigeondrift.router.composition import DEFAULT_OPTIONS
from wigeondrift.router.hedging import ClaimedExchange, Race
from wigeondrift.router.options import HedgingOptions, RouterOptions, load_options
from wigeondrift.router.request_context import RequestContext
from wigeondrift.router.settings import Bounds
from wigeondrift.systems.chains import RouteDemand
from wigeondrift.systems.hedging import (
    BUCKET_GROWTH,
    HALF_LIFE_SECONDS,
    LONGEST_SECONDS,
    MAX_HISTOGRAMS,
    MIN_LATENCIES,
    SHORTEST_SECONDS,
    USUAL_SHARE,
    HedgeBudget,
    UsualLatencies,
    classify,
)
from wigeondrift.systems.suspects import make_digest
from wigeondrift.telemetry.metrics import Metric, NullMetrics

ROOT = Path(__file__).parents[3]
RATIO = 0.1
WARM_UP_REQUESTS = 40
CLASS = classify("desk", False, 0)
PATHS = {"safe": "/status/1", "stream": "/draft/1", "unsafe": "/order/1"}
NEW_PATH = "/status/new"
# The member and the first stages that the router prefers, and those that are left.
FIRST, SECOND = ("d1", "a1"), ("d2", "b1")


class CountingMetrics(NullMetrics):
    def __init__(self):
        self.counts = Counter()

    def count(self, metric, amount=1):
        self.counts[metric] += amount


@then("no sequence of requests and decisions exceeds the ratio in a window")
def check_budget(context):
    @settings(max_examples=300, deadline=None)
    @given_any(
        st.floats(0.001, 0.1),
        st.lists(st.tuples(st.floats(0.0, 3.0), st.booleans()), max_size=300),
    )
    def check(ratio, steps):
        play_budget(ratio, steps)

    check()


def play_budget(ratio, steps, window=10.0):
    """Check every window that ends with a hedge; return the times of both."""
    budget = HedgeBudget(ratio, window)
    now, requests, hedges = 0.0, [], []
    for pause, is_hedge in steps:
        now += pause / 10
        if not is_hedge:
            budget.record_request(now)
            requests.append(now)
        elif budget.has_room(now):
            budget.record_hedge(now)
            hedges.append(now)
            in_window = [sum(now - t <= window for t in x) for x in (requests, hedges)]
            assert in_window[1] <= ratio * in_window[0], (now, requests, hedges)
    assert len(hedges) <= ratio * len(requests)
    return requests, hedges


@then("the hedged requests of several routers stay within the ratio together")
def check_budgets_together(context):
    @settings(max_examples=50, deadline=None)
    @given_any(st.integers(2, 6), st.integers(0, 2**32))
    def check(routers, seed):
        rng = random.Random(seed)
        requests, hedges = [], []
        for _ in range(routers):
            steps = [(rng.expovariate(1.0), rng.random() < 0.3) for _ in range(400)]
            for all_times, times in zip(
                (requests, hedges), play_budget(RATIO, steps), strict=True
            ):
                all_times.extend(times)
        # Each hedge belongs to requests of at most a window before it.
        for end in hedges:
            sent = sum(end - 10.0 <= t <= end for t in hedges)
            came = sum(end - 20.0 <= t <= end for t in requests)
            assert sent <= RATIO * came

    check()


latency_lists = st.lists(
    st.floats(SHORTEST_SECONDS, LONGEST_SECONDS / 2), min_size=21, max_size=200
)


@then("the delay is above most latencies and at most a bucket above the longest one")
def check_delay(context):
    @settings(max_examples=300, deadline=None)
    @given_any(latency_lists)
    def check(latencies):
        usual = UsualLatencies()
        for seconds in latencies:
            usual.record(CLASS, seconds, 5.0)
        delay = usual.get_delay(CLASS, 5.0)
        below = sum(one <= delay * (1 + 1e-9) for one in latencies)
        assert below >= USUAL_SHARE * len(latencies) - 1e-6
        exact = sorted(latencies)[int(USUAL_SHARE * len(latencies) - 1e-6)]
        assert delay <= BUCKET_GROWTH * exact * (1 + 1e-9)

    check()


@then("the delay is not known before there are enough latencies")
def check_no_delay(context):
    usual = UsualLatencies()
    for _ in range(int(MIN_LATENCIES) - 1):
        usual.record(CLASS, 0.1, 0.0)
    assert usual.get_delay(CLASS, 0.0) is None
    usual.record(CLASS, 0.1, 0.0)
    assert usual.get_delay(CLASS, 0.0)
    assert usual.get_delay(classify("desk", True, 0), 0.0) is None
    assert usual.get_delay(CLASS, HALF_LIFE_SECONDS) is None


@then("the delay of a class forgets latencies of before")
def check_forgetting(context):
    usual = UsualLatencies()
    # A long quiet time must not let the weights overflow.
    for start, seconds in ((0.0, 0.1), (1e6, 0.1), (2e6, 3.0), (2e6 + 600, 0.2)):
        for number in range(100):
            usual.record(CLASS, seconds, start + number / 100)
        delay = usual.get_delay(CLASS, start + 1)
        assert seconds <= delay <= BUCKET_GROWTH * seconds, (start, delay)


@then("the histograms kept are bounded")
def check_bounded(context):
    usual = UsualLatencies()
    for number in range(2 * MAX_HISTOGRAMS):
        usual.record(classify(f"s{number}", False, 0), 0.1, 0.0)
    assert len(usual._histograms_by_class) == MAX_HISTOGRAMS


@when("a router is started with the options {options}")
def start_with_options(context, options):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(options)
        file.flush()
        context.path = file.name
        context.process = subprocess.run(
            [sys.executable, "-m", "wigeondrift.router", file.name],
            cwd=ROOT,
            env={**os.environ, "WIGEONDRIFT_CONFIG": ""},
            capture_output=True,
            text=True,
            timeout=30,
        )


@then('it exits with a failure that names "{location}" and "{reason}"')
def check_refused(context, location, reason):
    assert context.process.returncode == 1
    message = context.process.stderr
    assert f"{context.path}: {location}: " in message and reason in message, message


@then("the example of options has the ratio {ratio:f}")
def check_example(context, ratio):
    path = str(ROOT / "deploy" / "options-hedging.json")
    assert load_options(path).hedging.ratio == ratio
    deploy = (ROOT / "deploy" / "system.toml").read_text()
    assert "options-hedging" not in deploy


@then("hedging is off without a file of options")
def check_off(context):
    assert load_options(None) == DEFAULT_OPTIONS
    assert DEFAULT_OPTIONS.hedging.ratio == 0.0


def make_world(context, ratio=RATIO, slack=100.0):
    world = context.world = RouterWorld()
    world.options = RouterOptions(HedgingOptions(ratio))
    world.metrics = CountingMetrics()
    bounds = Bounds(retry_slack=slack, retry_ratio=1.0 if slack else 0.0)
    world.settings = msgspec.structs.replace(world.settings, bounds=bounds)
    context.prepare = []
    context.during = []
    context.path = ""
    return world


@given("a router that hedges and upstreams in two failure domains")
def make_hedging_world(context):
    world = make_world(context)
    world.add_upstream("d1", "desk")
    world.add_upstream("d2", "desk", zone="west")
    world.add_upstream("a1", "model", kind="large", held=(0, 40))
    world.add_upstream("a2", "model", kind="large", held=(40, 80))
    world.add_upstream("b1", "model", "west", kind="small", held=(0, 40))
    world.add_upstream("b2", "model", "west", kind="small", held=(40, 80))


@given("a router that hedges with three attempts and upstreams in two failure domains")
def make_patient_world(context):
    make_hedging_world(context)
    set_attempts(context.world, 3)


def set_attempts(world, attempts):
    routes = make_configuration()["routes"]
    for route in routes:
        if route["kind"] != "unsafe":
            route["attempts"] = attempts
    world.put_configuration(version=2, routes=routes)


@given("a router that hedges and members in {domains}")
def make_members_world(context, domains):
    world = make_world(context)
    for number, domain in enumerate(domains.split(", "), start=1):
        world.add_upstream(f"d{number}", "desk", zone=domain)
        # The first member is preferred: it has the lowest load for its slots.
        world.entries_by_id[f"d{number}"]["slots"] = 4
        world.write_entry(f"d{number}")
    context.prepare.append(prefer_first_member)


async def prefer_first_member(world):
    choose = world.parts.selector.choose_member

    def choose_first(service, excluded):
        if "d1" not in excluded:
            return world.parts.directory.upstreams_by_id["d1"]
        return choose(service, excluded)

    world.parts.forwarder._selector = Preferring(world.parts.selector, choose_first)


class Preferring:
    """Selector that chooses as told and does all else itself."""

    def __init__(self, selector, choose_member):
        self._selector = selector
        self.choose_member = choose_member

    def __getattr__(self, name):
        return getattr(self._selector, name)


def list_servers(context, which):
    names = FIRST if which == "first" else SECOND
    servers = context.world.servers_by_id
    return [servers[name] for name in names if name in servers]


@given("the {which} upstream answers after {seconds:f} seconds")
def set_latency(context, which, seconds):
    async def change(world):
        for server in list_servers(context, which):
            server.latency = seconds

    context.prepare.append(change)


@given('the {which} upstream has the fault "{fault}"')
def set_fault(context, which, fault):
    async def change(world):
        for server in list_servers(context, which):
            server.fault = fault

    context.prepare.append(change)


@given('the second upstream has the fault "dribble" before its first event')
def set_early_dribble(context):
    set_fault(context, "second", "dribble")
    for server in list_servers(context, "second"):
        server.events_before_fault = 0


@given("the first upstream sends one event and no more")
def set_pause(context):
    async def change(world):
        for server in list_servers(context, "first"):
            server.fault, server.events_before_fault = "stall", 1

    context.prepare.append(change)


@given("the second upstream can't be reached")
def cut_second(context):
    async def change(world):
        for server in list_servers(context, "second"):
            address = world.address_of(server.upstream_id)
            world.network.unreachable_addresses.add(address)

    context.prepare.append(change)


@given("both upstreams answer at the same time after {seconds:f} seconds")
def set_gate(context, seconds):
    async def change(world):
        gate = trio.Event()
        for which in ("first", "second"):
            for server in list_servers(context, which):
                server.gate = gate

        async def open_gate(world):
            await trio.sleep(seconds)
            gate.set()

        context.during.append(open_gate)

    context.prepare.append(change)


@given(
    "the router stops {seconds:f} seconds after the request and ends {grace:f} "
    "seconds later"
)
def stop_router(context, seconds, grace):
    async def stop(world):
        await trio.sleep(seconds)
        world.parts.forwarder.close(trio.current_time() + grace)

    context.during.append(stop)


@given("no hedged request may be sent as {reason}")
def prevent_hedge(context, reason):
    second = "d2"

    async def prevent(world):
        parts = world.parts
        selector, forwarder = parts.selector, parts.forwarder
        entry = parts.directory.upstreams_by_id[second]
        now = trio.current_time()
        if reason == "the router stops before the delay":
            context.during.append(close_at_once)
        elif reason == "an upstream died under the request":
            # The upstreams have just survived the requests of before.
            context.path = NEW_PATH
            context.during.append(let_an_upstream_die)
        elif reason == "another request waits for capacity":
            context.during.append(let_a_request_wait)
        elif reason == "the second upstream has a limit":
            selector.limits.record_answer(second, 100.0, now, now)
        elif reason == "the second upstream asked for a pause":
            selector.record_back_off(entry, 1.0, "")
        elif reason == "the second upstream has no free slot":
            for _ in range(entry.slots):
                selector.record_start(second)
        elif reason == "the second upstream is avoided":
            selector.record_failure((second,), "")
        elif reason == "the retry budget is used up":
            budget = forwarder._get_budget("desk")
            budget.update_bounds(0.0, 0.0, 10.0)
        elif reason == "the ratio is used up":
            budget = forwarder._hedger._get_budget("desk")
            while budget.has_room(now):
                budget.record_hedge(now)
        elif reason == "the route allows one attempt":
            set_attempts(world, 1)
            await trio.sleep(1.0)
        elif reason == "the second route has no room":
            stages = (Stage("b1", world.address_of("b1"), 0, 40),)
            selector.ledger.reserve(Route("", stages), 1e6)
        else:
            assert reason == "the request is unsafe", reason

    context.prepare.append(prevent)


async def close_at_once(world):
    # The delay is a millisecond, as the upstreams answered at once before.
    await trio.sleep(0.0005)
    world.parts.forwarder.is_closed = True


async def let_an_upstream_die(world):
    await trio.sleep(0.0005)
    trait = make_digest("desk", "request", NEW_PATH, KEY, b"")
    world.parts.suspects._add_death(
        world.parts.directory.upstreams_by_id["d2"], "r", (trait,), 0
    )


async def let_a_request_wait(world):
    parts = world.parts
    service = parts.replica.configuration.services_by_name["model"]
    demand = RouteDemand(1e9, 1.0, 0.2, False)
    now = trio.current_time()
    await parts.wait_queue.acquire(service, demand, (), now, now + 0.3)


class RecordingExchange:
    """Exchange that writes without a checkpoint."""

    def __init__(self):
        self.started = False
        self.written = []

    async def respond(self, status, headers, body=b""):
        self.started = True
        self.written.append(body)

    start = respond

    async def send(self, data):
        self.written.append(data)

    async def finish(self, data=b""):
        self.written.append(data)


@given("two concurrent attempts of which the second one has won")
def make_race(context):
    call = SimpleNamespace(
        arrived_at=0.0,
        caller_timeout=None,
        last_event_id=None,
        prompt_parts=(),
        target="/",
        key="",
        body=b"",
    )
    rule = SimpleNamespace(timeout=4.0)
    request = RequestContext(call, rule, SimpleNamespace(name="desk"), "")
    context.race = Race(request, lambda seconds: None)
    context.exchange = RecordingExchange()
    context.pair = [
        (attempt, ClaimedExchange(context.exchange, attempt, context.race))
        for attempt in (context.race.add(), context.race.add())
    ]


@when("the first one responds, starts, sends and finishes")
def write_without_claim(context):
    async def run():
        (loser, losing), (_, winning) = context.pair
        loser.sent_at = trio.current_time()
        loser.events.feed(b"id: 0\n\n")
        await winning.start(200, [], b"")
        assert not context.exchange.started, "started without an event"
        await winning.send(b": comment\n\n")
        winning._attempt.events.feed(b"id: 0\n\n")
        await winning.send(b"id: 0\n\n")
        assert winning.started and not losing.started
        calls = [
            lambda: losing.respond(200, [], b"lost"),
            lambda: losing.start(200, [], b"lost"),
            lambda: losing.send(b"lost"),
            lambda: losing.finish(b"lost"),
        ]
        assert loser.scope.cancel_called
        for call in calls:
            with trio.CancelScope() as scope:
                scope.cancel()
                await call()
            assert scope.cancelled_caught
        await winning.send(b"id: 1\n\n")
        await winning.finish()

    trio.run(run)


@then("nothing of it was written and the winner's events were")
def check_writes(context):
    written = [one for one in context.exchange.written if one]
    assert written == [b": comment\n\nid: 0\n\n", b"id: 1\n\n"], written


@when("a {kind} request is sent")
def send(context, kind):
    run(context, kind)


@when("a {kind} request is sent and its caller leaves after {seconds:f} seconds")
def send_and_leave(context, kind, seconds):
    run(context, kind, disconnect_after=seconds)


def run(context, kind, **options):
    world = context.world
    method = "POST" if kind == "stream" or kind == "unsafe" else "GET"

    async def scenario(world):
        for _ in range(WARM_UP_REQUESTS):
            answer = await world.call(PATHS[kind], method=method)
            assert answer.status == 200, vars(answer)
        # A refusal without the request's id is accepted on a new connection only.
        await world.parts.client.close()
        for change in context.prepare:
            await change(world)
        context.served_before = count_served(world)
        world.metrics.counts.clear()
        async with trio.open_nursery() as nursery:
            for action in context.during:
                nursery.start_soon(action, world)
            context.answer = await world.call(
                context.path or PATHS[kind], method=method, **options
            )
            context.answered_at = trio.current_time()
            await trio.sleep(0.45)
            served = count_served(world)
            context.served = served - context.served_before
            context.aborts_by_id = {
                name: server.aborted_calls
                for name, server in world.servers_by_id.items()
            }
            now = trio.current_time()
            selector = world.parts.selector
            context.avoided = [
                one.upstream_id
                for one in world.parts.directory.upstreams_by_id.values()
                if selector.is_avoided(one, now)
            ]
            context.deaths = world.parts.suspects._table.refresh(now)
            context.watched = len(world.parts.suspects._unconfirmed._deaths)
            context.active = dict(selector._active_calls_by_id)
            nursery.cancel_scope.cancel()

    world.run(scenario)


def count_served(world):
    return Counter(
        {name: len(server.served) for name, server in world.servers_by_id.items()}
    )


def check_whole(context):
    answer = context.answer
    assert answer.status == 200 and answer.is_whole, vars(answer)
    if answer.event_ids:
        assert answer.event_ids == list(range(6)), answer.body
        expected = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(6))
        assert answer.body.replace(b": still here\n\n", b"") == expected
    else:
        assert answer.body == b"done by a member", answer.body


@then("the response is whole and came within {seconds:f} seconds")
def check_response(context, seconds):
    check_whole(context)
    assert context.answer.seconds <= seconds, context.answer.seconds


@then("both upstreams started the request and the first one was aborted")
def check_both(context):
    first, second = pair(context)
    assert context.served == Counter({first: 1, second: 1}), context.served
    assert context.aborts_by_id[first] == 1 and context.aborts_by_id[second] == 0


def pair(context):
    return next(p for p in zip(FIRST, SECOND, strict=True) if context.served[p[0]])


@then("{sent:d} hedged requests were sent and {won:d} won")
def check_counts(context, sent, won):
    counts = context.world.metrics.counts
    found = [
        counts[one]
        for one in (Metric.HEDGES_SENT, Metric.HEDGES_WON, Metric.HEDGES_LOST)
    ]
    assert found == [sent, won, sent - won], found


@then("no upstream is avoided and no death is on record")
def check_unrecorded(context):
    assert not context.avoided, context.avoided
    assert not context.deaths and not context.watched
    assert not context.active, context.active


@then("the status is {status:d} after {seconds:f} seconds")
def check_failure(context, status, seconds):
    answer = context.answer
    assert answer.status == status, vars(answer)
    assert abs(answer.seconds - seconds) < 0.1, answer.seconds


@then("the events are 0 to 5 and the response is complete")
def check_events(context):
    check_whole(context)


@then("the response contains no comment")
def check_no_comment(context):
    assert b"still here" not in context.answer.body, context.answer.body


@then("both upstreams were aborted within 0.5 seconds")
def check_aborted(context):
    first, second = pair(context)
    assert context.aborts_by_id[first] == context.aborts_by_id[second] == 1, (
        context.aborts_by_id
    )


@then("only the first upstream started the request")
def check_single(context):
    assert sum(context.served.values()) == 1, context.served
    assert context.world.metrics.counts[Metric.HEDGES_SENT] == 0


@then("the second attempt went to {member}")
def check_member(context, member):
    check_whole(context)
    assert context.served == Counter({"d1": 1, member: 1}), context.served


@given("{count:d} members of which 1 takes {slow:f} instead of {usual:f} seconds")
def make_members(context, count, slow, usual):
    context.world = None
    context.members = (count, slow, usual)


@when(
    "{count:d} safe requests come at {rate:d} per second with a hedging ratio of "
    "{ratio:g}"
)
def send_load(context, count, rate, ratio):
    members, slow, usual = context.members
    world = make_world(context, ratio)
    rng = random.Random(7)
    for number in range(members):
        world.add_upstream(f"d{number}", "desk")
        world.servers_by_id[f"d{number}"].latency = slow if number == 0 else usual
    context.seconds = []

    async def ask(world):
        answer = await world.call(PATHS["safe"], method="GET")
        assert answer.status == 200, vars(answer)
        context.seconds.append(answer.seconds)

    async def scenario(world):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(ask, world)
                await trio.sleep(rng.expovariate(rate))
        context.extra = sum(count_served(world).values()) - count

    world.run(scenario)


@then("the 99th percentile of the latencies is at {bound} {seconds:g} second")
@then("the 99th percentile of the latencies is at {bound} {seconds:g} seconds")
def check_percentile(context, bound, seconds):
    # The first requests teach what is usual.
    counted = sorted(context.seconds[100:])
    found = counted[int(0.99 * len(counted))]
    assert found <= seconds if bound == "most" else found >= seconds, found


@then("at most {count:d} requests were sent a second time")
def check_extra(context, count):
    assert 0 <= context.extra <= count, context.extra
