import os
import signal
import subprocess
import sys

import openai
import trio
from behave import given, then, when

from tests.callers import StreamResult, get_text, order, order_until_answered, stream
from tests.collector import Collector
from wigeondrift.table.rows import LimitRow
from wigeondrift_emulator.processes import (
    ROOT,
    Process,
    find_free_address,
    wait_until,
    write_settings,
)
from wigeondrift_emulator.stack import (
    MODEL,
    KindSettings,
    Stack,
    StackSettings,
    call,
    get_bearer_key,
)

TOKENS = 60
TIMEOUT_SECONDS = 60


def add_closer(context, close):
    context.cleanups = [*getattr(context, "cleanups", []), close]


def run(task, *arguments):
    async def main():
        with trio.fail_after(TIMEOUT_SECONDS):
            return await task(*arguments)

    return trio.run(main)


def start_stack_of(context, **settings):
    settings = StackSettings(
        limit=LimitRow(tokens=1e6),
        entry={"stop": {"notice": 1.0, "bound": 30.0}},
        **settings,
    )
    context.stack = Stack(settings)
    add_closer(context, context.stack.close)
    context.stack.start()


@given("a stack of processes")
def start_stack(context):
    start_stack_of(context)


@given("a stack of processes whose runners have {slots:d} slots")
def start_stack_with_slots(context, slots):
    start_stack_of(context, kinds=(KindSettings("a", slots, 0.005),))


@given("a stack of processes whose entries send spans to a collector")
def start_traced_stack(context):
    context.collector = Collector()
    add_closer(context, context.collector.close)
    telemetry = {"otlp": context.collector.url}
    context.stack = Stack(StackSettings(entry={"telemetry": telemetry}))
    add_closer(context, context.stack.close)
    context.stack.start()


@when('a caller with trace id "{trace_id}" streams and orders')
def call_traced(context, trace_id):
    address = context.stack.entry_addresses[0]
    traceparent = f"00-{trace_id}-{'b' * 16}-01"
    context.trace_id = trace_id

    async def main():
        result = await stream(address, "bellows", 5, traceparent=traceparent)
        assert result.is_whole
        answer = await order(address, "traced", traceparent=traceparent)
        assert answer == (201, "ran")

    run(main)


@then("the collector has these spans in that trace, each below its parent")
def check_spans(context):
    wanted = [(row["span"], row["parent"]) for row in context.table]

    def has_expected_spans():
        spans = context.collector.list_spans(context.trace_id)
        names_by_id = {span.span_id: span.name for span in spans}
        names_by_id[bytes.fromhex("b" * 16)] = "caller"
        found = [
            (span.name, names_by_id.get(span.parent_span_id, "none")) for span in spans
        ]
        return sorted(found) == sorted(wanted)

    wait_until(
        has_expected_spans,
        f"spans; received {[s.name for s in context.collector.spans]}",
    )


@when("the demo runs")
def run_demo(context):
    context.demo = subprocess.run(
        [sys.executable, "-m", "wigeondrift_emulator.demo"],
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


@then('it ends with "{line}"')
def check_demo(context, line):
    demo = context.demo
    assert demo.returncode == 0, demo.stdout + demo.stderr
    assert demo.stdout.splitlines()[-1] == line


@when("the openai client chats over each entry, with and without streaming")
def chat(context):
    context.texts = []
    for address in context.stack.entry_addresses:
        with openai.OpenAI(
            base_url=f"http://{address}/v1", api_key=get_bearer_key(0), max_retries=0
        ) as client:
            messages = [{"role": "user", "content": "bellows"}]
            answer = client.chat.completions.create(
                model=MODEL, messages=messages, max_tokens=9
            )
            context.texts.append(answer.choices[0].message.content)
            chunks = client.chat.completions.create(
                model=MODEL, messages=messages, max_tokens=9, stream=True
            )
            parts = [chunk.choices[0].delta.content or "" for chunk in chunks]
            context.texts.append("".join(parts))


@then("the four texts are the correct pipeline output")
def check_chat(context):
    expected_text = get_text("user: bellows\nassistant:", 9)
    assert context.texts == [expected_text] * 4, context.texts


def make_document(**fields):
    return {
        "instance_id": "rajkot",
        "failure_domain": "rajkot",
        "listen": find_free_address(),
        "post": find_free_address(),
        "agent": find_free_address(),
        "platform": find_free_address(),
        **fields,
    }


def start_entry(context, **fields):
    document = make_document(**fields)
    arguments = ["--settings", write_settings(document)]
    context.process = Process("wigeondrift.entry", arguments, document["listen"])
    add_closer(context, context.process.kill)


@when('an entry is started with an invalid "listen" setting')
def start_with_invalid_listen(context):
    start_entry(context, listen="nowhere")


@then('it ends with exit code {code:d} and names "{location}"')
def check_refused_settings(context, code, location):
    assert context.process.popen.wait(TIMEOUT_SECONDS) == code
    (event,) = context.process.list_events("settings_refused")
    assert event["location"] == location


@when("an entry is started without agent and platform")
def start_without_agent(context):
    start_entry(context)
    context.process.wait_for_event("started")


@then('it is alive, not ready, and refuses work with "{kind}"')
def check_not_ready(context, kind):
    address = context.process.address
    assert call(address, "GET", "/healthz")[0] == 200
    assert call(address, "GET", "/readyz")[0] == 503
    result = run(stream, address, "bellows", 3)
    assert (result.status, result.error["code"]) == (503, kind)
    assert result.outcome == "not-run"


async def run_streams(stack, count, inject_fault, tokens=TOKENS):
    """Run streams over each entry; call ``inject_fault`` once all have a token.

    Returns the results by prompt, one dict for each entry.
    """
    results_by_entry = []
    async with trio.open_nursery() as nursery:
        for number, address in enumerate(stack.entry_addresses):
            results_by_prompt = {
                f"prompt {number} {i}": StreamResult() for i in range(count)
            }
            results_by_entry.append(results_by_prompt)
            for prompt, result in results_by_prompt.items():
                nursery.start_soon(stream, address, prompt, tokens, result)
        for results_by_prompt in results_by_entry:
            for result in results_by_prompt.values():
                await result.first_token.wait()
        await inject_fault(nursery)
    return results_by_entry


def check_complete(results_by_prompt, tokens=TOKENS):
    for prompt, result in results_by_prompt.items():
        assert result.is_whole, (prompt, result.__dict__)
        assert (result.text, result.outcome) == (get_text(prompt, tokens), "ran")


def check_truncated(results_by_prompt, tokens):
    for prompt, result in results_by_prompt.items():
        assert not result.is_whole
        assert get_text(prompt, tokens).startswith(result.text)


@when("{count:d} streams run over each entry and the first entry is killed")
def kill_entry(context, count):
    stack = context.stack

    async def kill(nursery):
        stack.entries[0].kill()

    context.first_results, context.second_results = run(run_streams, stack, count, kill)


@then(
    "callers of the first entry got a truncated stream or no answer, "
    "never a complete one"
)
def check_killed(context):
    check_truncated(context.first_results, TOKENS)
    assert {result.outcome for result in context.first_results.values()} == {"lost"}


@then("callers of the other entry have complete and correct answers")
def check_others(context):
    check_complete(context.second_results)


@then("the truncated requests succeed when repeated over the other entry")
def check_repeated(context):
    address = context.stack.entry_addresses[1]

    async def repeat():
        return {p: await stream(address, p, TOKENS) for p in context.first_results}

    check_complete(run(repeat))


@when("{count:d} orders are sent over both entries and the first entry is killed")
def kill_under_orders(context, count):
    stack = context.stack
    context.answers = {}

    async def send(key, address):
        context.answers[key] = await order(address, key)
        if len(context.answers) == count // 4:
            stack.entries[0].kill()

    async def main():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                address = stack.entry_addresses[number % 2]
                nursery.start_soon(send, f"key-{number}", address)

    run(main)


@then("no order ran twice and each answered one ran")
def check_runs(context):
    runs = context.stack.get_order_runs()
    assert set(runs.values()) <= {1}, runs
    for key, (status, outcome) in context.answers.items():
        if status == 201:
            assert outcome == "ran" and runs[key] == 1
        elif outcome == "not-run":
            assert key not in runs
        else:
            assert outcome in ("lost", "refused", "unknown")


@then("callers who repeat over the other entry get an answer or outcome unknown")
def check_order_repeats(context):
    address = context.stack.entry_addresses[1]
    for key in context.answers:
        status, outcome = run(order, address, key)
        runs = context.stack.get_order_runs()
        assert runs.get(key, 0) <= 1
        assert (status, outcome) in ((201, "ran"), (409, "unknown")), (status, outcome)
        assert status == 409 or runs[key] == 1


@when("{streams:d} streams and {orders:d} orders run and an agent is killed")
def kill_agent(context, streams, orders):
    stack = context.stack
    context.keys = [f"key-{number}" for number in range(orders)]

    async def kill(nursery):
        stack.agents_by_domain[stack.settings.domains[0]].kill()
        for key in context.keys:
            nursery.start_soon(order_until_answered, stack.entry_addresses, key)

    context.results = run(run_streams, stack, streams, kill)


@then("all answers are complete and correct and each order ran once")
def check_all_and_orders(context):
    check_all_complete(context)
    assert context.stack.get_order_runs() == dict.fromkeys(context.keys, 1)


@when("{count:d} streams run over each entry and the engines of one domain are killed")
def kill_engines(context, count):
    stack = context.stack

    async def kill(nursery):
        stack.engines_by_domain[stack.settings.domains[0]].kill()

    context.results = run(run_streams, stack, count, kill)


@then("all answers are complete and correct")
def check_all_complete(context):
    for results_by_prompt in context.results:
        check_complete(results_by_prompt)


@when("an entry gets SIGTERM while streams run and more arrive during the notice")
def stop_entry(context):
    stack = context.stack
    entry = stack.entries[0]
    late = {f"late {number}": StreamResult() for number in range(4)}

    async def stop(nursery):
        entry.signal(signal.SIGTERM)
        await trio.to_thread.run_sync(entry.wait_for_event, "stop_requested")
        for prompt, result in late.items():
            nursery.start_soon(stream, entry.address, prompt, TOKENS, result)
        context.ready = await trio.to_thread.run_sync(
            call, entry.address, "GET", "/readyz"
        )

    context.results = [*run(run_streams, stack, 6, stop, 300), late]
    context.entry = entry


@then(
    "all answers are complete and correct and the entry ended with exit code {code:d}"
)
def check_stopped(context, code):
    *early, late = context.results
    for results_by_prompt in early:
        check_complete(results_by_prompt, 300)
    check_complete(late)
    assert context.ready[0] == 503
    assert context.entry.popen.wait(TIMEOUT_SECONDS) == code
    assert context.entry.list_events("stopped")


@when("an entry gets SIGTERM twice while long streams run")
def stop_twice(context):
    stack = context.stack
    context.entry = entry = stack.entries[0]

    async def stop(nursery):
        entry.signal(signal.SIGTERM)
        await trio.to_thread.run_sync(entry.wait_for_event, "stop_requested")
        entry.signal(signal.SIGTERM)
        await trio.to_thread.run_sync(
            wait_until, lambda: entry.popen.poll() is not None, "exit of the entry"
        )
        nursery.cancel_scope.cancel()

    context.results = run(run_streams, stack, 3, stop, 20000)


@then("their callers got an error event, no end marker, and the exit code is {code:d}")
def check_stopped_twice(context, code):
    check_truncated(context.results[0], 20000)
    for result in context.results[0].values():
        assert result.error["code"] == "stream_cut" and result.outcome == "unknown"
    assert context.entry.popen.wait(TIMEOUT_SECONDS) == code
    assert context.entry.list_events("stop_bound_reached")
