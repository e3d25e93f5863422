import os
import random
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import trio
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from tests.router_world import KEY, RouterWorld, make_configuration
from wigeondrift.entities import Route, Stage
from wigeondrift.router.hedging import ClaimedExchange, Race
from wigeondrift.router.options import HedgingOptions, RouterOptions, load_options
from wigeondrift.router.request_context import RequestContext
from wigeondrift.systems import hedging
from wigeondrift.systems.chains import RouteDemand
from wigeondrift.systems.suspects import make_digest
from wigeondrift.telemetry.metrics import Metric, NullMetrics

ROOT = Path(__file__).parents[3]
WINDOW = 10.0
CLASS = hedging.classify("desk", False, 0)
PATHS = {"safe": "/status/1", "stream": "/draft/1", "unsafe": "/order/1"}
NEW_PATH = "/status/new"
EVENTS = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(6))
# The member and the first stage that the router prefers, and those that are left.
FIRST, SECOND = ("d1", "a1"), ("d2", "b1")
# Shorter than the delay, as the upstreams answer at once before.
SHORT_SECONDS = 0.0005


class CountingMetrics(NullMetrics):
    def __init__(self):
        self.counts = Counter()

    def count(self, metric, amount=1):
        self.counts[metric] += amount


@then("no sequence of requests and decisions exceeds the ratio in a window")
def check_budget(context):
    step = st.tuples(st.floats(0.0, 0.3), st.booleans())

    @settings(max_examples=300, deadline=None)
    @given_any(st.floats(0.001, 0.1), st.lists(step, max_size=300))
    def check(ratio, steps):
        play_budget(ratio, steps)

    check()


def play_budget(ratio, steps):
    """Check every window that ends with a hedge; return the times of both."""
    budget = hedging.HedgeBudget(ratio, WINDOW)
    now, requests, hedges = 0.0, [], []
    for pause, is_hedge in steps:
        now += pause
        if not is_hedge:
            budget.record_request(now)
            requests.append(now)
        elif budget.has_room(now):
            budget.record_hedge(now)
            hedges.append(now)
            came, sent = (
                sum(now - time <= WINDOW for time in times)
                for times in (requests, hedges)
            )
            assert sent <= ratio * came, (now, requests, hedges)
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
            steps = [(rng.random() / 5, rng.random() < 0.3) for _ in range(400)]
            found = play_budget(0.1, steps)
            requests.extend(found[0])
            hedges.extend(found[1])
        # Each hedge belongs to requests of at most a window before it.
        for end in hedges:
            sent = sum(end - WINDOW <= time <= end for time in hedges)
            came = sum(end - 2 * WINDOW <= time <= end for time in requests)
            assert sent <= 0.1 * came

    check()


@then("the delay is above most latencies and at most a bucket above the longest one")
def check_delay(context):
    longest = hedging.LONGEST_SECONDS / 2
    latency = st.floats(hedging.SHORTEST_SECONDS, longest)

    @settings(max_examples=300, deadline=None)
    @given_any(st.lists(latency, min_size=21, max_size=200))
    def check(latencies):
        usual = hedging.UsualLatencies()
        for seconds in latencies:
            usual.record(CLASS, seconds, 5.0)
        delay = usual.get_delay(CLASS, 5.0)
        rank = hedging.USUAL_SHARE * len(latencies) - 1e-6
        assert sum(one <= delay * (1 + 1e-9) for one in latencies) >= rank
        exact = sorted(latencies)[int(rank)]
        assert delay <= hedging.BUCKET_GROWTH * exact * (1 + 1e-9)

    check()


@then("the delay is known after enough latencies and forgets those of before")
def check_forgetting(context):
    usual = hedging.UsualLatencies()
    for _ in range(int(hedging.MIN_LATENCIES)):
        assert usual.get_delay(CLASS, 0.0) is None
        usual.record(CLASS, 0.1, 0.0)
    assert usual.get_delay(CLASS, 0.0)
    assert usual.get_delay(hedging.classify("desk", True, 0), 0.0) is None
    assert usual.get_delay(CLASS, hedging.HALF_LIFE_SECONDS) is None
    # A long quiet time must not let the weights overflow.
    for start, seconds in ((0.0, 0.1), (1e6, 0.1), (2e6, 3.0), (2e6 + 600, 0.2)):
        for number in range(100):
            usual.record(CLASS, seconds, start + number / 100)
        delay = usual.get_delay(CLASS, start + 1)
        assert seconds <= delay <= hedging.BUCKET_GROWTH * seconds, (start, delay)
    for number in range(2 * hedging.MAX_HISTOGRAMS):
        usual.record(hedging.classify(f"s{number}", False, 0), 0.1, 0.0)
    assert len(usual._histograms_by_class) == hedging.MAX_HISTOGRAMS


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


@then("the example of options has the ratio {ratio:f}, and without a file it is 0")
def check_example(context, ratio):
    path = str(ROOT / "deploy" / "options-hedging.json")
    assert load_options(path).hedging.ratio == ratio
    assert "options-hedging" not in (ROOT / "deploy" / "system.toml").read_text()
    assert load_options(None).hedging.ratio == 0.0


def make_world(context, ratio=0.1):
    world = context.world = RouterWorld()
    world.options = RouterOptions(HedgingOptions(ratio))
    world.metrics = CountingMetrics()
    context.prepare, context.during, context.path = [], [], ""
    context.won = ""
    return world


@given('a router that hedges, a first upstream "{first}" and a second one "{second}"')
def make_hedging_world(context, first, second):
    world = make_world(context)
    world.add_upstream("d1", "desk")
    world.add_upstream("d2", "desk", zone="west")
    world.add_upstream("a1", "model", kind="large", held=(0, 40))
    world.add_upstream("a2", "model", kind="large", held=(40, 80))
    world.add_upstream("b1", "model", "west", kind="small", held=(0, 40))
    world.add_upstream("b2", "model", "west", kind="small", held=(40, 80))

    async def prepare(world):
        gate = trio.Event()
        for names, text in ((FIRST, first), (SECOND, second)):
            for name in names:
                for word in text.split():
                    set_behaviour(world, name, word, gate)
        context.during.append(lambda world: open_later(gate))

    context.prepare.append(prepare)


def set_behaviour(world, name, word, gate):
    server = world.servers_by_id[name]
    if word[0].isdigit():
        server.latency = float(word)
    elif word == "gate":
        server.gate = gate
    elif word == "unreachable":
        world.network.unreachable_addresses.add(world.address_of(name))
    elif word == "comments":
        server.fault, server.events_before_fault = "dribble", 0
    else:
        server.fault, server.events_before_fault = word, 1


async def open_later(gate):
    await trio.sleep(0.3)
    gate.set()


@given("the routes allow {attempts:d} attempts")
def set_attempts(context, attempts):
    routes = make_configuration()["routes"]
    for route in routes:
        route["attempts"] = attempts if route["kind"] != "unsafe" else 1
    context.world.put_configuration(version=2, routes=routes)


@given("a router that hedges and members in {domains}")
def make_members_world(context, domains):
    world = make_world(context)
    for number, domain in enumerate(domains.split(", "), start=1):
        world.add_upstream(f"d{number}", "desk", zone=domain)

    async def prefer_first_member(world):
        selector = world.parts.selector
        for other in list(world.servers_by_id)[1:]:
            # One request of four slots; the first one is the least loaded.
            selector.record_start(other)
        world.servers_by_id["d1"].latency = 0.6

    context.prepare.append(prefer_first_member)


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
            forwarder._repeats.get_budget("desk").update_bounds(0.0, 0.0, WINDOW)
        elif reason == "the ratio is used up":
            budget = forwarder._hedger._get_budget("desk")
            for _ in range(40):
                budget.record_hedge(now)
        elif reason == "the route allows one attempt":
            set_attempts(context, 1)
            await trio.sleep(1.0)
        elif reason == "the second route has no room":
            stages = (Stage("b1", world.address_of("b1"), 0, 40),)
            selector.ledger.reserve(Route("", stages), 1e6)
        else:
            assert reason in ("the request is unsafe", "the first event has come")

    context.prepare.append(prevent)


async def close_at_once(world):
    await trio.sleep(SHORT_SECONDS)
    world.parts.forwarder.is_closed = True


async def let_an_upstream_die(world):
    await trio.sleep(SHORT_SECONDS)
    trait = make_digest("desk", "request", NEW_PATH, KEY, b"")
    upstream = world.parts.directory.upstreams_by_id["d2"]
    world.parts.suspects._add_death(upstream, "r", (trait,), 0)


async def let_a_request_wait(world):
    parts = world.parts
    service = parts.replica.configuration.services_by_name["model"]
    demand = RouteDemand(1e9, 1.0, 0.2, False)
    until = trio.current_time() + 0.3
    await parts.wait_queue.acquire(service, demand, (), until, until)


@when("a {kind} request is sent")
def send(context, kind, leave_after=None):
    world = context.world
    method = "GET" if kind == "safe" else "POST"

    async def scenario(world):
        for _ in range(40):
            answer = await world.call(PATHS[kind], method=method)
            assert answer.status == 200, vars(answer)
        # A refusal without the request's id is accepted on a new connection only.
        await world.parts.client.close()
        for change in context.prepare:
            await change(world)
        served_before = count_served(world)
        world.metrics.counts.clear()
        async with trio.open_nursery() as nursery:
            for action in context.during:
                nursery.start_soon(action, world)
            path = context.path or PATHS[kind]
            context.answer = await world.call(path, method, leave_after)
            await trio.sleep(0.45)
            context.served = count_served(world) - served_before
            note_records(context, world)
            nursery.cancel_scope.cancel()

    world.run(scenario)


@when("a {kind} request is sent and its caller leaves after {seconds:f} seconds")
def send_and_leave(context, kind, seconds):
    send(context, kind, seconds)


def count_served(world):
    servers = world.servers_by_id.items()
    return Counter({name: len(server.served) for name, server in servers})


def note_records(context, world):
    parts, now = world.parts, trio.current_time()
    avoided = [
        name
        for name, upstream in parts.directory.upstreams_by_id.items()
        if parts.selector.is_avoided(upstream, now)
    ]
    deaths = [*parts.suspects._table.refresh(now), *parts.suspects._unconfirmed._deaths]
    context.records = avoided + deaths


@then(
    "the status is {status:d} within {seconds:f} seconds and {won} hedged requests won"
)
def check_answer(context, status, seconds, won):
    answer, counts = context.answer, context.world.metrics.counts
    assert answer.status == status and answer.is_whole, vars(answer)
    assert answer.seconds <= seconds, answer.seconds
    if status == 200:
        assert answer.body in (EVENTS, b"done by a member"), answer.body
    assert counts[Metric.HEDGES_SENT] == 1
    assert counts[Metric.HEDGES_WON] + counts[Metric.HEDGES_LOST] == 1
    context.won = won
    assert won in ("any", str(counts[Metric.HEDGES_WON])), counts
    assert not context.world.parts.selector._active_calls_by_id


@then("of deaths and avoided upstreams {recorded} are on record")
def check_records(context, recorded):
    expected = {"none": [False], "some": [True], "any": [False, True]}[recorded]
    assert bool(context.records) in expected, context.records
    if recorded == "none" and context.won == "1":
        # Both ran it, so that the connection to the loser was closed.
        started = [context.world.servers_by_id[name] for name in context.served]
        assert sum(server.aborted_calls for server in started) == len(started) - 1


@then("both upstreams were aborted within 0.5 seconds")
def check_aborted(context):
    assert len(context.served) == 2, context.served
    for name in context.served:
        assert context.world.servers_by_id[name].aborted_calls == 1, name


@then("only the first upstream started the request")
def check_single(context):
    assert len(context.served) == 1 and set(context.served) <= set(FIRST)
    assert context.world.metrics.counts[Metric.HEDGES_SENT] == 0


@then("the second attempt went to {member}")
def check_member(context, member):
    assert context.answer.status == 200
    assert context.served == Counter({"d1": 1, member: 1}), context.served


class RecordingExchange:
    """Exchange that writes without a checkpoint."""

    def __init__(self):
        self.started = False
        self.written = []

    async def respond(self, status, headers, body=b""):
        self.started = True
        self.written.append(body)

    start = respond

    async def send(self, data=b""):
        self.written.append(data)

    finish = send


@given("two concurrent attempts of which the second one has won")
def make_race(context):
    names = ("caller_timeout", "last_event_id", "target", "key", "body")
    call = SimpleNamespace(arrived_at=0.0, prompt_parts=(), **dict.fromkeys(names))
    rule = SimpleNamespace(timeout=4.0, priority=0)
    service = SimpleNamespace(name="desk")
    race = Race(RequestContext(call, rule, service, ""), lambda seconds: None)
    context.exchange = RecordingExchange()
    context.pair = [
        (attempt, ClaimedExchange(context.exchange, attempt, race))
        for attempt in (race.add(), race.add())
    ]


@when("the first one responds, starts, sends and finishes")
def write_without_claim(context):
    async def run():
        (loser, losing), (winner, winning) = context.pair
        loser.sent_at = trio.current_time()
        loser.events.feed(b"id: 0\n\n")
        await winning.start(200, [], b"")
        assert not context.exchange.started, "started without an event"
        await winning.send(b": comment\n\n")
        winner.events.feed(b"id: 0\n\n")
        await winning.send(b"id: 0\n\n")
        assert winning.started and not losing.started and loser.scope.cancel_called
        for method, *arguments in (
            (losing.respond, 200, [], b"lost"),
            (losing.start, 200, [], b"lost"),
            (losing.send, b"lost"),
            (losing.finish, b"lost"),
        ):
            with trio.CancelScope() as scope:
                scope.cancel()
                await method(*arguments)
            assert scope.cancelled_caught
        await winning.send(b"id: 1\n\n")
        await winning.finish()

    trio.run(run)


@then("nothing of it was written and the winner's events were")
def check_writes(context):
    written = [one for one in context.exchange.written if one]
    assert written == [b": comment\n\nid: 0\n\n", b"id: 1\n\n"], written


@given("{count:d} members of which 1 takes {slow:f} instead of {usual:f} seconds")
def make_members(context, count, slow, usual):
    context.latencies = [slow, *[usual] * (count - 1)]


@when(
    "{count:d} safe requests come at {rate:d} per second with a hedging ratio of "
    "{ratio:g}"
)
def send_load(context, count, rate, ratio):
    world = make_world(context, ratio)
    rng = random.Random(7)
    for number, latency in enumerate(context.latencies):
        world.add_upstream(f"d{number}", "desk")
        world.servers_by_id[f"d{number}"].latency = latency
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


@then("the 99th percentile of the latencies is from {least:f} to {most:f} seconds")
def check_percentile(context, least, most):
    # The first requests teach what is usual.
    counted = sorted(context.seconds[100:])
    found = counted[int(0.99 * len(counted))]
    assert least <= found <= most, found


@then("at most {count:d} requests were sent a second time")
def check_extra(context, count):
    assert 0 <= context.extra <= count, context.extra
