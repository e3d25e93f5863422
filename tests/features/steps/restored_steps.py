"""Steps on a store that is restored from a copy of before."""

import logging

import trio
from behave import then, when

from tests.features.steps.router_steps import queue_action, queue_check
from tests.router_world import make_configuration, make_route
from wigeondrift.telemetry.events import LOGGER_NAME, Event

OUTAGE_SECONDS = 1.0
# Time after which the operator and the upstreams have written again.
REWRITE_SECONDS = 0.5


class RecordList(logging.Handler):
    """Keeps the records of some log events."""

    def __init__(self, event):
        super().__init__()
        self.event = event
        self.records = []

    def emit(self, record):
        if record.event == self.event:
            self.records.append(record)


def record_log(context, event):
    records = RecordList(event)
    logger = logging.getLogger(LOGGER_NAME)
    logger.addHandler(records)
    context.cleanups = [
        *getattr(context, "cleanups", []),
        lambda: logger.removeHandler(records),
    ]
    return records.records


@when("a copy of the store is made")
def copy_store(context):
    context.restorations = record_log(context, Event.PLATFORM_RESTORED)

    async def copy(world):
        await trio.sleep(1.0)
        context.copy = world.store.copy()

    queue_action(context, copy)


@when('configuration version {version:d} adds the route "{name}"')
def add_route(context, version, name):
    async def add(world):
        routes = [*make_configuration()["routes"], make_route(name, "safe", "desk")]
        world.put_configuration(version=version, routes=routes)
        await trio.sleep(2.0)

    queue_action(context, add)


async def restore(world, copy, is_rewritten=True):
    world.store.is_down = True
    await trio.sleep(OUTAGE_SECONDS)
    world.store.restore(copy)
    world.store.is_down = False
    if is_rewritten:
        await trio.sleep(REWRITE_SECONDS)
        world.store.rewrite()


@when("the store is restored from the copy")
def restore_store(context):
    async def step(world):
        await restore(world, context.copy)
        await trio.sleep(2.0)

    queue_action(context, step)


@then("the log tells that a store at a lower revision has taken the place of another")
def check_log(context):
    def check(world):
        (record,) = context.restorations
        assert record.era == 2, vars(record)
        assert record.revision < record.known_revision, vars(record)

    queue_check(context, check)
