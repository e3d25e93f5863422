"""Experiments on a whole system of processes, each policy in the same run.

Run as ``python -m bench.experiment overload``; see ``--help`` for the scenarios.
"""

import dataclasses
import json
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import cyclopts
import msgspec
import trio

from bench.load import Callers, print_summary
from bench.workload import LONG, SHORT, Crest, Workload
from wigeondrift.table.rows import LimitRow
from wigeondrift_emulator.control import Action, ControlCommand
from wigeondrift_emulator.links import LinkSettings
from wigeondrift_emulator.stack import (
    FAILURE_DOMAINS,
    MODEL,
    KindSettings,
    Stack,
    StackSettings,
    get_bearer_key,
)

KINDS = (KindSettings("fast", 4, 0.008), KindSettings("slow", 4, 0.015))
LINKS = (
    LinkSettings(FAILURE_DOMAINS[0], FAILURE_DOMAINS[1], 0.0005),
    LinkSettings(FAILURE_DOMAINS[0], FAILURE_DOMAINS[2], 0.0005),
    LinkSettings(FAILURE_DOMAINS[1], FAILURE_DOMAINS[2], 0.05),
)
TEAMS = 10
WIDE = LimitRow(requests=1e6, tokens=1e8, running=10000)


class Arm(msgspec.Struct, frozen=True):
    """One policy that an experiment runs.

    Attributes
    ----------
    entry_module : str
        Module that is run as entry.
    entry : dict
        Settings of the entries besides names and addresses.
    """

    entry_module: str = "wigeondrift.entry"
    entry: dict[str, Any] = {}


PATIENT = {"admission": {"short_queue_timeout": 20.0}}
ARMS = {
    "baseline": Arm("bench.baseline", PATIENT),
    "patient": Arm(entry=PATIENT),
    "default": Arm(),
}
FULL_GOODPUT_PART = 0.95
FAILURE_AT_PART = 0.5

Fault = Callable[[Stack, float], Awaitable[None]]


def make_stack_settings(
    arm: Arm,
    chains: int,
    entries_per_domain: int,
    limit: LimitRow = WIDE,
) -> StackSettings:
    """Return a stack of three failure domains with runners of mixed kinds."""
    return StackSettings(
        domains=FAILURE_DOMAINS,
        entries_per_domain=entries_per_domain,
        chains_per_domain=chains,
        stages=2,
        kinds=KINDS,
        links=LINKS,
        teams=TEAMS,
        limit=limit,
        entry=arm.entry,
        entry_module=arm.entry_module,
    )


def get_bound(settings: StackSettings) -> float:
    """Return the tokens a second that the runners' slots allow, links left out."""
    total = 0.0
    for chain in range(settings.chains_per_domain):
        kind = settings.kinds[chain % len(settings.kinds)]
        total += kind.slots / (kind.token_seconds * settings.stages)
    return total * len(settings.domains)


def mean_tokens(workload: Workload) -> float:
    """Return the mean number of tokens that a request asks for."""
    share = workload.long_share
    return share * workload.long_tokens + (1.0 - share) * workload.short_tokens


def make_workload(bound: float, load: float, seconds: float) -> Workload:
    """Return a workload that asks for ``load`` times the bound."""
    workload = Workload(1.0, seconds, teams=TEAMS)
    workload.rate = bound * load / mean_tokens(workload)
    return workload


async def load_stack(
    stack: Stack, workload: Workload, seed: int, fault: Fault | None
) -> dict[str, Any]:
    """Run the callers, and the fault beside them; return their summary."""
    keys = tuple(get_bearer_key(team) for team in range(TEAMS))
    callers = Callers(tuple(stack.entry_addresses), MODEL, keys)
    summary: dict[str, Any] = {}
    async with trio.open_nursery() as nursery:
        if fault is not None:
            nursery.start_soon(fault, stack, workload.seconds * FAILURE_AT_PART)
        summary.update(await callers.run(workload, seed))
    return summary


def run_arm(
    arm: Arm,
    workload: Workload,
    chains: int,
    entries_per_domain: int,
    seed: int,
    fault: Fault | None = None,
    limit: LimitRow = WIDE,
) -> dict[str, Any]:
    """Start a stack with the entry settings of one arm, load it, and end it."""
    settings = make_stack_settings(arm, chains, entries_per_domain, limit)
    stack = Stack(settings)
    try:
        stack.start()
        summary = trio.run(load_stack, stack, workload, seed, fault)
    finally:
        stack.close()
    bound = get_bound(settings)
    inside = [
        summary["tokens_by_second"].get(second, 0)
        for second in range(2, int(workload.seconds))
    ]
    summary["bound_tokens_per_second"] = bound
    summary["part_of_bound"] = sum(inside) / max(1, len(inside)) / bound
    return summary


async def kill_runners(stack: Stack, at: float) -> None:
    """End the first chain of each failure domain at a time of the run."""
    await trio.sleep(at)
    for instance_id in list(stack.runners_by_id):
        if instance_id.endswith("-runner-0-1"):
            command = ControlCommand(instance_id, Action.DIE)
            await trio.to_thread.run_sync(stack.post_runner_control, command)


def get_recovery_seconds(summary: dict[str, Any], failed_at: float) -> float:
    """Return the time from the failure until goodput is back to 95%, in seconds."""
    by_second = summary["tokens_by_second"]
    before = [by_second.get(s, 0) for s in range(int(failed_at) - 5, int(failed_at))]
    mean = sum(before) / len(before)
    last = int(summary["seconds"])
    for second in range(int(failed_at), last):
        if by_second.get(second, 0) >= FULL_GOODPUT_PART * mean:
            return max(0.0, second - failed_at)
    return float("inf")


def add_settings(arm: Arm, admission: dict[str, Any]) -> Arm:
    """Return the arm with more settings of the admission."""
    merged = {**arm.entry.get("admission", {}), **admission}
    return Arm(arm.entry_module, {**arm.entry, "admission": merged})


app = cyclopts.App(name="bench.experiment", help=__doc__)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True)
class Options:
    """Options that all scenarios share.

    Attributes
    ----------
    arms : list of str
        Policies to run; all if empty.
    chains, entries : int
        Chains of runners and entries in each failure domain.
    seed : int
        Seed of the arrivals.
    json_path : str
        File for the summaries as JSON; none if empty.
    """

    arms: list[str] = dataclasses.field(default_factory=list)
    chains: int = 5
    entries: int = 1
    seed: int = 1
    json_path: str = ""

    def get_bound(self) -> float:
        """Return the tokens a second that the runners' slots allow."""
        return get_bound(make_stack_settings(Arm(), self.chains, self.entries))


def run_arms(
    workload: Workload,
    options: Options,
    fault: Fault | None = None,
    extra: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Run the workload over each arm and print the summaries."""
    report = {}
    for name in options.arms or list(ARMS):
        began = time.perf_counter()
        arm = add_settings(ARMS[name], extra or {})
        summary = run_arm(
            arm, workload, options.chains, options.entries, options.seed, fault
        )
        summary["wall_seconds"] = time.perf_counter() - began
        report[name] = summary
        print(f"\n{name}")
        print_summary(summary)
        print(f"{'part of the bound':34}{summary['part_of_bound']:8.3f}")
        print(f"{'answers by status':34}{summary['answers_by_status']}", flush=True)
    if options.json_path:
        with open(options.json_path, "w") as file:
            json.dump(report, file, indent=1)
    return report


@app.command
def overload(
    options: Options | None = None, *, load: float = 2.0, seconds: float = 20.0
) -> None:
    """Ask for more than the bound, with callers that retry at once."""
    options = options or Options()
    run_arms(make_workload(options.get_bound(), load, seconds), options)


@app.command
def crest(
    options: Options | None = None,
    *,
    load: float = 0.4,
    factor: float = 5.0,
    seconds: float = 30.0,
) -> None:
    """Let demand rise to ``factor`` times within 2 s and fall again."""
    options = options or Options()
    workload = make_workload(options.get_bound(), load, seconds)
    workload.crest = Crest(seconds / 3, seconds * 2 / 3, 2.0, factor)
    run_arms(workload, options)


@app.command
def behind_long(
    options: Options | None = None, *, load: float = 1.0, seconds: float = 30.0
) -> None:
    """Mix short requests with long ones that take half of the tokens."""
    options = options or Options()
    bound = options.get_bound()
    workload = make_workload(bound, load, seconds)
    workload.long_tokens = 800
    workload.long_share = 0.02
    workload.rate = bound * load / mean_tokens(workload)
    extra = {"long_tokens": workload.long_tokens // 2}
    report = run_arms(workload, options, extra=extra)
    for name, summary in report.items():
        waits = summary["first_token_from_arrival"]
        short, long = waits[SHORT]["p95"], waits[LONG]["p95"]
        print(f"{name}: p95 of short {short * 1000:.0f} ms, of long {long * 1000:.0f}")


@app.command
def failure(
    options: Options | None = None, *, load: float = 0.6, seconds: float = 30.0
) -> None:
    """End a runner of each failure domain in the middle of the run."""
    options = options or Options()
    workload = make_workload(options.get_bound(), load, seconds)
    report = run_arms(workload, options, kill_runners)
    for name, summary in report.items():
        seconds_back = get_recovery_seconds(summary, seconds * FAILURE_AT_PART)
        print(f"{name}: back to 95% of goodput after {seconds_back:.0f} s")


if __name__ == "__main__":
    sys.exit(app())
