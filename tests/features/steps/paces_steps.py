"""Steps on the measured pace of runners."""

import math
import random

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings, strategies

from tests.fault_world import MESSAGE_SECONDS, ROUTER_NAMES, FaultWorld, Peers
from tests.features.steps.router_steps import play, queue_action
from tests.router_world import hold_nursery, make_engine
from wigeondrift.platform.upstreams import decode_report
from wigeondrift.router.entities import Upstream
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import ChainSet
from wigeondrift.systems.paces import (
    ASK_SECONDS,
    HEARD_SECONDS,
    MAX_PACE,
    PACE_TTL_SECONDS,
    PaceNews,
    PaceTable,
    is_valid_pace,
)

FIRST, OTHERS = ROUTER_NAMES[0], ROUTER_NAMES[1:]
SLOW_PACE = 4.0
SLOW_ROUTE = ("first-0", "second-0")


class PaceWorld(FaultWorld):
    """Routers that tell each other paces; the first runner of one route is slow."""

    def __init__(self):
        super().__init__()
        self.has_probes = False
        self.paces_by_address = {}
        for server in self.servers_by_id.values():
            server.paces_by_address = self.paces_by_address
        self.set_pace(SLOW_PACE)
        self.told = []
        self.answers = []

    def set_pace(self, pace):
        self.servers_by_id[SLOW_ROUTE[0]].pace = pace
        self.paces_by_address[self.address_of(SLOW_ROUTE[0])] = pace

    async def start_routers(self):
        await super().start_routers()
        domains_by_name = dict.fromkeys(ROUTER_NAMES, "east")
        for name, parts in self.routers_by_name.items():
            parts.paces._membership = Peers(name, domains_by_name)
            # The routers of a world share one seed, but draw different delays.
            parts.paces._rng = random.Random(name)
            parts.paces.connect(self._make_pace_announcer(name))
            nursery = await self.nursery.start(hold_nursery)
            await parts.paces.start(nursery)
            if name == FIRST:
                self.first_nursery = nursery

    def _make_pace_announcer(self, sender):
        def announce(news):
            self.told.append((sender, news))
            self.nursery.start_soon(self.deliver_pace, news, sender)

        return announce

    async def deliver_pace(self, news, sender):
        await trio.sleep(MESSAGE_SECONDS)
        for name, parts in self.routers_by_name.items():
            if name != sender and news.is_plausible:
                parts.paces.apply_news(news, sender)

    async def call_for(self, name, seconds):
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            self.answers += await self.call_from(name, 1)

    def count_slow(self, names):
        return [self.routers_by_name[n].selector.paces.count_slow() for n in names]

    def count_begun(self):
        return len(self.servers_by_id[SLOW_ROUTE[0]].served)


@given("eight routers, and two routes of which one is slow")
def make_world(context):
    context.world = PaceWorld()
    context.steps = []
    context.run_scenario = play

    async def start(world):
        await world.start_routers()
        chains = world.parts.selector.get_chains(
            world.parts.replica.configuration.services_by_name["model"]
        ).chains
        assert chains[0].route.instance_ids == SLOW_ROUTE, chains[0].route

    queue_action(context, start)


@when("the routers send requests for {seconds:g} seconds")
def call_all(context, seconds):
    async def step(world):
        context.begun = world.count_begun()
        async with trio.open_nursery() as nursery:
            for name in ROUTER_NAMES:
                nursery.start_soon(world.call_for, name, seconds)

    queue_action(context, step)


@then("{quantity} of the later requests began on the slow route")
def check_begun(context, quantity):
    async def step(world):
        assert context.begun, "the slow route was not used at first"
        assert (world.count_begun() > context.begun) is (quantity == "some")

    queue_action(context, step)


@when("the slow route recovers")
def recover(context):
    async def step(world):
        world.set_pace(1.0)

    queue_action(context, step)


@when("the routers run for {seconds:g} more seconds")
def wait(context, seconds):
    queue_action(context, lambda world: trio.sleep(seconds))


@when("a router sends {count:d} requests at the same time")
def call_together(context, count):
    async def step(world):
        world.answers.clear()
        context.begun = world.count_begun()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(world.call_for, FIRST, 0.001)

    queue_action(context, step)


@then("all of them are served, {count:d} of them on the slow route")
def check_overflow(context, count):
    async def step(world):
        assert [a.status for a in world.answers] == [200] * 6, world.answers
        assert world.count_begun() - context.begun == count

    queue_action(context, step)


@then("all requests were served")
def check_served(context):
    async def step(world):
        assert world.answers and all(a.is_whole for a in world.answers)

    queue_action(context, step)


@when("{who} has a stream on the slow route for {seconds:g} seconds")
def stream(context, who, seconds):
    names_by_who = {
        "each router": ROUTER_NAMES,
        "each other router": OTHERS,
        "one router": (FIRST,),
    }
    names = names_by_who[who]

    async def step(world):
        for server in world.servers_by_id.values():
            server.events = 30
        # The other route takes no requests meanwhile.
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for name in names:
                    selector = world.routers_by_name[name].selector
                    selector.record_back_off(
                        selector._directory.upstreams_by_id["first-1"], 0.2, "r"
                    )
                    nursery.start_soon(world.call_from, name, 1)

    queue_action(context, step)


@then("each runner of the slow route was asked between {least:d} and {most:d} times")
def check_questions(context, least, most):
    async def step(world):
        for name in SLOW_ROUTE:
            reports = world.servers_by_id[name].reports
            assert least <= reports <= most, (name, reports)

    queue_action(context, step)


@then("the other runners were not asked")
def check_other_questions(context):
    async def step(world):
        servers = world.servers_by_id.items()
        assert not sum(s.reports for name, s in servers if name not in SLOW_ROUTE)

    queue_action(context, step)


@then("no runner was asked and nothing was told")
def check_no_questions(context):
    async def step(world):
        assert len(world.answers) == 8 and not world.told
        assert not sum(server.reports for server in world.servers_by_id.values())

    queue_action(context, step)


@when("that router ends")
def end_first(context):
    async def step(world):
        assert {sender for sender, _ in world.told} == {FIRST}
        world.first_nursery.cancel_scope.cancel()

    queue_action(context, step)


@then('the other routers know the pace of "{name}"')
def check_known(context, name):
    async def step(world):
        for router in OTHERS:
            parts = world.routers_by_name[router]
            runner = parts.directory.upstreams_by_id[name]
            assert parts.selector.paces.get_pace(runner) == SLOW_PACE, router

    queue_action(context, step)


@then("{who} knows a slow runner")
def check_none_slow(context, who):
    async def step(world):
        names = OTHERS if who == "no other router" else ROUTER_NAMES
        assert not any(world.count_slow(names))

    queue_action(context, step)


@when("a router tells a pace with {what}")
def tell_wrong(context, what):
    changes_by_what = {
        "an earlier incarnation": {"started_at_ms": 0},
        "an upstream that is not listed": {"upstream_id": "nobody"},
        "a member of a plain service": {"upstream_id": "member-0"},
        "a pace below 1": {"pace": 0.5},
        "a pace above 100": {"pace": 101.0},
        "a pace that is not a number": {"pace": math.nan},
        "a peer that is not known": {},
    }

    async def step(world):
        sender = "stranger" if "peer" in what else FIRST
        news = PaceNews("first-0", 1, SLOW_PACE)
        wrong = msgspec.structs.replace(news, **changes_by_what[what])
        assert wrong.is_plausible is is_valid_pace(wrong.pace)
        for parts in world.routers_by_name.values():
            # Also without the check at the reception.
            parts.paces.apply_news(wrong, sender)
        assert not any(world.count_slow(ROUTER_NAMES))
        # The same news without the change is applied, and its end too.
        await world.deliver_pace(news, FIRST)
        assert world.count_slow(OTHERS) == [1] * len(OTHERS)
        await world.deliver_pace(msgspec.structs.replace(news, pace=1.0), FIRST)

    queue_action(context, step)


@when("a router tells of a pace of {pace:g} for each runner and falls silent")
def tell_all(context, pace):
    async def step(world):
        for name in world.servers_by_id:
            await world.deliver_pace(PaceNews(name, 1, pace), FIRST)
        assert world.count_slow(OTHERS) == [4] * len(OTHERS)

    queue_action(context, step)


@then("a report with the pace {pace} tells {known}")
def check_report(context, pace, known):
    report = decode_report(f'{{"seq": 7, "pace": {pace}}}'.encode())
    assert report.order_count == 7
    entry = Upstream("u", "m", "10.1.0.1:80", "east", False, 4, end_layer=1)
    table = PaceTable()
    table.record_report(entry, report.pace, 0.0)
    assert table.get_pace(entry) == (1.0 if known == "nothing" else float(known))


@then("the rate of a route follows the pace of its runners")
def check_rate(context):
    table = PaceTable()
    runners = [
        Upstream(f"u{n}", "m", f"10.1.0.{n}:80", "east", False, 4, "large", 0, 80)
        for n in range(8)
    ]
    chain_set = ChainSet(make_engine(), runners, table)
    ledger = CacheLedger(lambda runner: 5000.0)
    chain = chain_set._list_preferred(ledger, "r")[0]
    rate = chain_set.get_rate(chain, ledger)
    table.record_report(chain.runners[0], 50.0, 0.0)
    assert chain_set.get_rate(chain, ledger) < rate / 10.0
    assert chain not in chain_set._list_preferred(ledger, "r")
    table.expire(PACE_TTL_SECONDS)
    assert chain_set.get_rate(chain, ledger) == rate
    assert chain_set._list_preferred(ledger, "r")[0] is chain


@then("the pace of a runner ends when it is listed with another incarnation")
def check_restart(context):
    table = PaceTable()
    entry = Upstream("u", "m", "10.1.0.1:80", "east", False, 4, end_layer=1)
    table.record_report(entry, SLOW_PACE, 0.0)
    assert table.get_pace(entry) == SLOW_PACE
    restarted = msgspec.structs.replace(entry, started_at_ms=9)
    assert table.get_pace(restarted) == 1.0
    assert not table.retain({"u": entry}) and table.retain({"u": restarted}) == [entry]
    assert table.get_pace(entry) == 1.0 and table.get_next_due() is None


@settings(max_examples=100, deadline=None, database=None, derandomize=True)
@given_data(strategies.integers(0, 2**32))
def play_paces(seed):
    rng = random.Random(seed)
    table = PaceTable("b")
    entries = [
        Upstream(f"u{n}", "m", "10.1.0.1:80", "east", False, 4, end_layer=1)
        for n in range(3)
    ]
    now = 0.0
    asked_at_by_id, quiet_until_by_id = {}, {}
    for _ in range(200):
        now += rng.choice((0.0, 0.01, 0.4, 1.0))
        entry = rng.choice(entries)
        name = entry.upstream_id
        table.expire(now)
        if table.may_ask(entry, now):
            assert now >= quiet_until_by_id.get(name, 0.0)
            due = [entry]
            table.record_question(name, now)
        else:
            due = table.collect_due(now)
        for asked in due:
            asked_at = asked_at_by_id.get(asked.upstream_id, -math.inf)
            assert now >= asked_at + ASK_SECONDS
            asked_at_by_id[asked.upstream_id] = now
            if rng.random() < 0.8:
                table.record_report(asked, rng.choice((1.0, 3.0, 0.5, math.nan)), now)
        if rng.random() < 0.3:
            pace = rng.choice((1.0, 9.0, math.inf, math.nan, -1.0))
            news = PaceNews(name, rng.choice((0, 0, 5)), pace)
            sender = rng.choice("ac")
            before = table.change_count
            is_changed = table.apply_news(news, sender, entry, now)
            assert table.change_count - before == is_changed
            if news.is_plausible and not news.started_at_ms:
                until = now + (HEARD_SECONDS if pace > 1.0 else ASK_SECONDS)
                if sender == "c":
                    # Not heard while this router asks; else the latest news count.
                    until = min(until, quiet_until_by_id.get(name, 0.0))
                quiet_until_by_id[name] = until
        assert all(1.0 <= table.get_pace(e) <= MAX_PACE for e in entries)
    table.expire(now + PACE_TTL_SECONDS)
    assert table.get_next_due() is None
    assert all(table.get_pace(e) == 1.0 for e in entries)


@then("random reports and news keep their bounds")
def check_random(context):
    play_paces()
