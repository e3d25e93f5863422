import functools

import trio
from behave import then, when

from tests.callers import order, order_until_answered
from wigeondrift_emulator.stack import call_json

KEYS = [f"bench-{number}" for number in range(12)]
REPEATS = 400
PHASE_SECONDS = 0.7
TIMEOUT_SECONDS = 60
FINAL_STATUSES = (201, 502)


def run(task, *arguments):
    async def main():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await task(*arguments)

    return trio.run(main)


async def switch_orders(stack, **switches):
    change = functools.partial(call_json, stack.order_addresses[0], "/control")
    await trio.to_thread.run_sync(change, {"switches": switches})


async def change_platform(stack, **faults):
    await trio.to_thread.run_sync(stack.post_platform_control, faults)


async def repeat_order(stack, key, outcomes, stopped):
    """Send one order over both entries concurrently; resend it when it is refused."""

    async def send(address):
        for _ in range(REPEATS):
            status, outcome = await order(address, key)
            outcomes.append(outcome)
            if status in FINAL_STATUSES or stopped.is_set():
                return
            await trio.sleep(0.01)

    async with trio.open_nursery() as nursery:
        for address in stack.entry_addresses:
            nursery.start_soon(send, address)


async def inject_faults(stack):
    """Inject the kinds of faults one after the other; yield during each of them."""
    await change_platform(stack, lost_probability=0.3, delay=0.02)
    await switch_orders(stack, delay=0.1)
    yield
    await switch_orders(stack, mode="lose_answer", count=2)
    yield
    await change_platform(stack, lost_probability=0.0)
    await switch_orders(stack, delay=0.3)
    yield
    stack.entries[0].pause()
    await trio.sleep(PHASE_SECONDS)
    stack.entries[0].resume()
    yield
    await change_platform(stack, down="hang")
    yield
    await change_platform(stack, down="up")
    yield
    stack.entries[0].kill()


@when("orders are repeated concurrently over both entries under four kinds of faults")
def repeat_under_faults(context):
    stack = context.stack
    context.outcomes_by_key = {key: [] for key in KEYS}

    async def main():
        stopped = trio.Event()
        waiting = list(KEYS)
        async with trio.open_nursery() as nursery:
            async for _ in inject_faults(stack):
                for key in [waiting.pop(0) for _ in range(2) if waiting]:
                    outcomes = context.outcomes_by_key[key]
                    nursery.start_soon(repeat_order, stack, key, outcomes, stopped)
                await trio.sleep(PHASE_SECONDS)
            stopped.set()

    run(main)


@then("each order ran at most once and orders that were always refused never ran")
def check_runs(context):
    runs = context.stack.get_order_runs()
    assert set(runs.values()) == {1}, runs
    for key, outcomes in context.outcomes_by_key.items():
        if outcomes and set(outcomes) <= {"not-run", "refused"}:
            assert key not in runs, (key, outcomes)


@then("each order is eventually answered, and new orders run")
def check_end(context):
    stack = context.stack
    address = stack.entry_addresses[1]
    before = stack.get_order_runs()
    for key in KEYS:
        status, outcome = run(order, address, key)
        assert status in (201, 409, 502), (key, status, outcome)
        if status == 201 and key in before:
            assert outcome == "ran"
    assert run(order_until_answered, [address], "bench-new") == "ran"
    assert set(stack.get_order_runs().values()) == {1}


@when("orders are sent while the platform is down")
def send_in_outage(context):
    stack = context.stack
    stack.post_platform_control({"down": "reset"})

    async def send_all():
        results = []

        async def send(address, key):
            results.append(await order(address, key))

        async with trio.open_nursery() as nursery:
            for number, key in enumerate(KEYS):
                nursery.start_soon(send, stack.entry_addresses[number % 2], key)
        return results

    context.results = run(send_all)


@then('they are refused with outcome "{outcome}" and run after the outage')
def check_outage(context, outcome):
    stack = context.stack
    assert set(context.results) == {(503, outcome)}
    assert stack.get_order_runs() == {}
    stack.post_platform_control({"down": "up"})
    for key in KEYS:
        assert run(order_until_answered, stack.entry_addresses, key) == "ran"
    assert stack.get_order_runs() == dict.fromkeys(KEYS, 1)
