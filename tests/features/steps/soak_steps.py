import os
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from soak.invariants import Call, Run, find_violations

ROOT = Path(__file__).parent.parent.parent.parent
EVENTS = 3
SOAK_TIMEOUT_SECONDS = 120


def make_events(name, numbers):
    return "".join(f"id: {n}\ndata: {name}\n\n" for n in numbers)


def make_call(name, kind, body):
    return Call(name, kind, "router-1", "key", 10.0, 200, body, True, "", 11.0)


@given("records of successful requests at callers and upstreams")
def make_records(context):
    context.calls = {
        "order": make_call("1-1", "order", "done 1-1"),
        "status": make_call("1-2", "status", "done 1-2"),
        "draft": make_call("1-3", "draft", make_events("1-3", range(EVENTS))),
    }
    context.runs = [Run(c.request_id, "u1", 10.1) for c in context.calls.values()]
    context.revoked_at_by_key = {}
    context.is_planned_only = False


def list_violations(context):
    return find_violations(
        list(context.calls.values()),
        context.runs,
        context.revoked_at_by_key,
        EVENTS,
        context.is_planned_only,
    )


@then("no invariant is violated")
def check_none(context):
    assert list_violations(context) == []


@when("an order runs at a second upstream")
def run_twice(context):
    context.runs.append(Run("1-1", "u2", 10.2))


@when("an order that ran was answered as not run")
def refuse_executed(context):
    context.calls["order"].status = 503


@when("a status request gets the answer of another request")
def mix_up_answers(context):
    context.calls["status"].body = "done 1-1"


@when("a draft misses an event and looks complete")
def drop_event(context):
    context.calls["draft"].body = make_events("1-3", (0, 2))


@when("a draft repeats an event before it is cut")
def repeat_event(context):
    context.calls["draft"].body = make_events("1-3", (0, 1, 1))
    context.calls["draft"].is_complete = False


@when("a request ran that no caller sent")
def run_unasked(context):
    context.runs.append(Run("1-9", "u1", 10.1))


@when("a request ran with a key revoked long ago")
def revoke_key(context):
    context.revoked_at_by_key["key"] = 4.9


@when("a request that ran got no complete answer")
def lose_answer(context):
    context.is_planned_only = True
    context.calls["order"].is_complete = False


@then('the violated invariant is "{invariant}"')
def check_violation(context, invariant):
    violated = {line.partition(":")[0] for line in list_violations(context)}
    assert violated == {invariant}, list_violations(context)


@then("a soak test with restorations and seed {seed:d} violates no invariant")
def check_soak_with_restorations(context, seed):
    check_soak(context, 4, seed, "--restorations")


@then("a soak test of {seconds:d} seconds with seed {seed:d} violates no invariant")
def check_soak(context, seconds, seed, *options):
    command = [sys.executable, "-m", "soak", "--seed", str(seed), *options]
    done = subprocess.run(
        [*command, "--seconds", str(seconds)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_SECONDS,
    )
    assert done.returncode == 0, done.stdout + done.stderr


SIGHUP_AT_IMPORT = """
import builtins, os, runpy, signal
find = builtins.__import__
def signal_at_import(name, *args, **options):
    if name == "wigeondrift.router.composition":
        os.kill(os.getpid(), signal.SIGHUP)
    return find(name, *args, **options)
builtins.__import__ = signal_at_import
runpy.run_module("wigeondrift.router", run_name="__main__")
"""


@then("a router that gets SIGHUP while it imports its modules goes on to start")
def check_sighup_at_start(context):
    environment = {
        name: value
        for name, value in os.environ.items()
        if name != "WIGEONDRIFT_CONFIG"
    }
    done = subprocess.run(
        [sys.executable, "-c", SIGHUP_AT_IMPORT],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_SECONDS,
    )
    # Without a settings file, it ends with a message.
    assert "wigeondrift-router: " in done.stderr, (done.returncode, done.stderr)
    assert done.returncode == 1, done.returncode
