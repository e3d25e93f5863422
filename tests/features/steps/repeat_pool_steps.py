"""Steps on retries that routers share."""

import trio
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings, strategies

from tests.repeat_routers import RepeatRouters


@given("{count:d} routers that share {slack:g} retries in 10 seconds")
def make_routers(context, count, slack):
    context.routers = RepeatRouters(count, slack)


@given("the messages between them {arrive}")
def set_loss(context, arrive):
    context.routers.loss = 1.0 if arrive == "are lost" else 0.0


@when("{few:d} router asks for {count:d} retries each within {seconds:g} seconds")
@when("{few:d} routers ask for {count:d} retries each within {seconds:g} seconds")
def ask(context, few, count, seconds):
    routers = context.routers
    context.more = []

    async def play():
        names = routers.ranking[-few:]
        await routers.ask_often(names, count, seconds)
        context.granted = len(routers.granted)
        context.messages = routers.messages
        for is_under_way in (False, True):
            before = len(routers.granted)
            await routers.ask_often(names, 50, 1.0, is_under_way)
            context.more.append(len(routers.granted) - before)

    context.asked = few * count
    routers.run(play)


@then("{least:d} to {most:d} of them are granted")
def check_granted(context, least, most):
    assert least <= context.granted <= most, context.granted
    context.routers.check_bound()


@then("all of them are granted without a message")
def check_calm(context):
    assert context.granted == context.asked, context.granted
    assert not context.messages, context.messages


@then("{least:d} of 50 more are granted to streams under way, and none to others")
def check_under_way(context, least):
    others, under_way = context.more
    assert others == 0 and under_way >= least, context.more
    context.routers.check_bound()


@when("the issuer falls silent while others ask")
def silence_issuer(context):
    routers = context.routers

    async def play():
        routers.silent[routers.ranking[0]] = 99.0
        await routers.ask_often(routers.ranking[1:], 30, 6.0)

    routers.run(play)


@then("nothing took longer than {seconds:g} seconds")
def check_waits(context, seconds):
    assert 0.1 < max(context.routers.waits) <= seconds, max(context.routers.waits)


@when("the pool is used up and its issuer {ends}")
def use_up(context, ends):
    routers = context.routers
    asking = routers.ranking[-1:]
    context.counts = []

    async def ask_for(seconds):
        before = len(routers.granted)
        await routers.ask_often(asking, int(20 * seconds), seconds, True)
        context.counts.append(len(routers.granted) - before)

    async def play():
        await ask_for(4.0)
        if ends == "restarts":
            await routers.restart(routers.ranking[0])
        else:
            routers.silent[routers.ranking[0]] = 99.0
        await ask_for(5.5)
        await ask_for(20.0)

    routers.run(play)


@then("{most:d} or fewer are granted until a window later, and then most of the pool")
def check_successor(context, most):
    first, meanwhile, later = context.counts
    assert first >= 50 and meanwhile <= most and later >= 50, context.counts
    context.routers.check_bound()


@settings(max_examples=40, deadline=None, database=None, derandomize=True)
@given_data(
    strategies.integers(0, 2**32),
    strategies.integers(2, 9),
    strategies.sampled_from((12.0, 40.0, 90.0)),
    strategies.sampled_from((0.0, 0.1, 0.4)),
    strategies.booleans(),
)
def play_random(seed, count, slack, loss, has_restarts):
    routers = RepeatRouters(count, slack, seed)
    rng = routers.rng
    routers.loss, routers.duplicates, routers.lateness = loss, loss, loss / 2

    async def play():
        for _ in range(12):
            now = trio.current_time()
            name = rng.choice(routers.ranking[:2])
            action = rng.randrange(5)
            if action == 0:
                # Cut into two sides, or mended.
                for one in routers.names:
                    routers.sides[one] = rng.randrange(2)
            elif action == 1:
                routers.sides = dict.fromkeys(routers.names, 0)
            elif action == 2:
                routers.silent[name] = now + 4.0 * rng.random()
            elif action == 3 and has_restarts:
                await routers.restart(name)
            asking = rng.sample(routers.names, rng.randint(1, count))
            await routers.ask_often(asking, 25, 4.0 * rng.random(), rng.random() < 0.5)

    routers.run(play)
    routers.check_bound()


@then("random routers keep the bound")
def check_random(context):
    play_random()
