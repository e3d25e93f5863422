import trio
from behave import given, then, when

from tests.generations import GenerationHarness
from wigeondrift.systems.retries import RetryBudget

COUNT = 60
MIN_STARTED_TOKENS = 10


@given("a grid of {columns:d} runners per layer range")
def make_harness(context, columns):
    context.harness = GenerationHarness()
    context.harness.add_grid(columns)
    context.version = "v1"


def list_heads(context):
    runners = context.harness.cluster.runners_by_id.values()
    return [runner for runner in runners if runner.settings.first_layer == 0]


@given("all heads but one are leaving")
def leave_but_one(context):
    context.leaving = list_heads(context)[1:]
    for runner in context.leaving:
        runner.leaving = True


@given("all heads are leaving")
def leave_all(context):
    for runner in list_heads(context):
        runner.leaving = True


@given("all heads are dead")
def kill_heads(context):
    for runner in list_heads(context):
        runner.die()


@when("a request for {count:d} tokens is called")
def call(context, count):
    async def run():
        context.caller = context.harness.call("a cuckoo that is silent", count)
        await context.harness.wait()

    context.harness.run(run)


def find_runner(context, first_layer):
    for runner in context.harness.cluster.runners_by_id.values():
        if runner.settings.first_layer == first_layer and runner.sessions:
            return runner
    raise AssertionError("no runner of this layer range has a running stream")


def set_cross_tokens(context):
    find_runner(context, 0).tokens_with_stray_events = 5


def set_skip_tokens(context):
    find_runner(context, 0).tokens_skipping_stage = 1


FAULTS_BY_NAME = {
    "the death of a middle": lambda context: find_runner(context, 4).die(),
    "the death of the head": lambda context: find_runner(context, 0).die(),
    "a frozen middle": lambda context: find_runner(context, 4).freeze(),
    "a frozen head": lambda context: find_runner(context, 0).freeze(),
    "silence of the head": lambda context: find_runner(context, 0).silence(),
    "crossed answers": set_cross_tokens,
    "a skipped stage": set_skip_tokens,
}


async def start_stream(context, tokens=MIN_STARTED_TOKENS):
    context.caller = context.harness.call("a cuckoo that is silent", COUNT)
    while len(context.caller.tokens) < tokens:
        await trio.sleep(0.001)


@when("{fault} hits a running stream")
def inject_fault(context, fault):
    async def run():
        await start_stream(context)
        FAULTS_BY_NAME[fault](context)
        await context.harness.wait()
        await trio.sleep(2)

    context.harness.run(run)


@when("all runners of a range die in a running stream")
def kill_range(context):
    async def run():
        await start_stream(context)
        for runner in context.harness.cluster.runners_by_id.values():
            if runner.settings.first_layer == 4:
                runner.die()
        await context.harness.wait()

    context.harness.run(run)


def replace_version(context, version):
    harness = context.harness
    for runner in list(harness.cluster.runners_by_id.values()):
        runner.die()
        del harness.cluster.runners_by_id[runner.settings.instance_id]
    harness.version = version
    for first, end in ((0, 4), (4, 8), (8, 12)):
        harness.add_runner(f"new-{first}", first, end, version=version)
    harness.publish_tables()


@when('version "{version}" replaces the runners of a running stream')
def replace_running(context, version):
    async def run():
        await start_stream(context)
        replace_version(context, version)
        await context.harness.wait()

    context.harness.run(run)


@when('version "{version}" replaces the runners before the first token')
def replace_early(context, version):
    async def run():
        for runner in context.harness.cluster.runners_by_id.values():
            runner.freeze()
        context.caller = context.harness.call("a cuckoo that is silent", COUNT)
        await trio.sleep(0.5)
        replace_version(context, version)
        await context.harness.wait()

    context.harness.run(run)


@then("the caller has the complete correct answer")
def check_whole(context):
    check_version(context, context.version)


@then('the caller has the complete correct answer of version "{version}"')
def check_version(context, version):
    caller = context.caller
    assert caller.error is None, caller.error
    assert caller.finish_reason == "length"
    assert caller.tokens == caller.list_expected(version)


@then("the caller has the complete correct answer after {attempts:d} attempts")
def check_attempts(context, attempts):
    check_whole(context)
    assert context.caller.attempts == attempts, context.caller.attempts


@then('the caller has error "{kind}" with outcome "{outcome}"')
def check_error(context, kind, outcome):
    error = context.caller.error
    assert error is not None and not context.caller.finish_reason
    assert (error.kind, error.outcome) == (kind, outcome), (error.kind, error.outcome)


@then("the caller's tokens are a correct prefix")
def check_prefix(context):
    caller = context.caller
    assert len(caller.tokens) >= MIN_STARTED_TOKENS
    expected = caller.list_expected(context.version)
    assert caller.tokens == expected[: len(caller.tokens)]


@then("the ledgers of the leaving runners are empty")
def check_leaving(context):
    assert not any(runner.tokens_by_request for runner in context.leaving)


@then("the ledgers of all runners are empty")
def check_no_run(context):
    runners = context.harness.cluster.runners_by_id.values()
    assert not any(runner.tokens_by_request for runner in runners)


@then("no slot of a responsive runner is occupied")
def check_slots_free(context):
    for runner in context.harness.cluster.runners_by_id.values():
        if runner.thawed.is_set():
            assert runner.slots.running == 0, runner.settings.instance_id


@given("a retry budget of {count:d}")
def make_budget(context, count):
    context.budget = RetryBudget(burst=count)


@when("{count:d} retries are requested")
def consume_retries(context, count):
    context.granted = sum(context.budget.try_acquire() for _ in range(count))


@then("{count:d} retries were granted")
def check_granted(context, count):
    assert context.granted == count


@then("{successes:d} successes grant {count:d} more")
def check_more(context, successes, count):
    for _ in range(successes):
        context.budget.record_success()
    assert sum(context.budget.try_acquire() for _ in range(count + 2)) == count
