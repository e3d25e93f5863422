"""End-to-end experiments that compare policies on a system of local processes.

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
from bench.workload import LONG, SHORT, DemandSurge, Workload
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
# Limits too high to restrict the load of an experiment.
HIGH_LIMIT = LimitRow(requests=1e6, tokens=1e8, running=10000)


class Arm(msgspec.Struct, frozen=True):
    """Policy under test: the entry program and its settings.

    Attributes
    ----------
    entry_module : str
        Module that runs as the entry.
    entry : dict
        Settings of the entries other than names and addresses.
    """

    entry_module: str = "wigeondrift.entry"
    entry: dict[str, Any] = {}


LONG_QUEUE_TIMEOUT = {"admission": {"short_queue_timeout": 20.0}}
ARMS_BY_NAME = {
    "baseline": Arm("bench.baseline", LONG_QUEUE_TIMEOUT),
    "patient": Arm(entry=LONG_QUEUE_TIMEOUT),
    "default": Arm(),
}
RECOVERED_GOODPUT_FRACTION = 0.95
FAILURE_AT_FRACTION = 0.5

Fault = Callable[[Stack, float], Awaitable[None]]


def make_stack_settings(
    arm: Arm,
    chains: int,
    entries_per_domain: int,
    limit: LimitRow = HIGH_LIMIT,
) -> StackSettings:
    """Return the settings of a stack with mixed runners in three failure domains."""
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


def get_max_token_rate(settings: StackSettings) -> float:
    """Return the token rate that the runner slots allow, in tokens per second.

    Link latencies are ignored.
    """
    total = 0.0
    for chain in range(settings.chains_per_domain):
        kind = settings.kinds[chain % len(settings.kinds)]
        total += kind.slots / (kind.token_seconds * settings.stages)
    return total * len(settings.domains)


def get_mean_tokens(workload: Workload) -> float:
    """Return the mean number of requested tokens per request."""
    fraction = workload.long_fraction
    return fraction * workload.long_tokens + (1.0 - fraction) * workload.short_tokens


def make_workload(max_token_rate: float, load: float, seconds: float) -> Workload:
    """Return a workload that requests ``load`` times the maximum token rate."""
    workload = Workload(1.0, seconds, teams=TEAMS)
    workload.rate = max_token_rate * load / get_mean_tokens(workload)
    return workload


async def load_stack(
    stack: Stack, workload: Workload, seed: int, fault: Fault | None
) -> dict[str, Any]:
    """Run the callers, with the fault if any, and return their summary."""
    keys = tuple(get_bearer_key(team) for team in range(TEAMS))
    callers = Callers(tuple(stack.entry_addresses), MODEL, keys)
    summary: dict[str, Any] = {}
    async with trio.open_nursery() as nursery:
        if fault is not None:
            nursery.start_soon(fault, stack, workload.seconds * FAILURE_AT_FRACTION)
        summary.update(await callers.run(workload, seed))
    return summary


def run_arm(
    arm: Arm,
    workload: Workload,
    chains: int,
    entries_per_domain: int,
    seed: int,
    fault: Fault | None = None,
    limit: LimitRow = HIGH_LIMIT,
) -> dict[str, Any]:
    """Run the workload on a new stack with the settings of one arm.

    Return the summary of the callers.
    """
    settings = make_stack_settings(arm, chains, entries_per_domain, limit)
    stack = Stack(settings)
    try:
        stack.start()
        summary = trio.run(load_stack, stack, workload, seed, fault)
    finally:
        stack.close()
    max_token_rate = get_max_token_rate(settings)
    token_counts = [
        summary["tokens_by_second"].get(second, 0)
        for second in range(2, int(workload.seconds))
    ]
    summary["bound_tokens_per_second"] = max_token_rate
    summary["part_of_bound"] = (
        sum(token_counts) / max(1, len(token_counts)) / max_token_rate
    )
    return summary


async def kill_runners(stack: Stack, delay: float) -> None:
    """Kill a runner of the first chain in each failure domain after a delay."""
    await trio.sleep(delay)
    for instance_id in list(stack.runners_by_id):
        if instance_id.endswith("-runner-0-1"):
            command = ControlCommand(instance_id, Action.DIE)
            await trio.to_thread.run_sync(stack.post_runner_control, command)


def get_recovery_seconds(summary: dict[str, Any], failed_at: float) -> float:
    """Return the time until goodput is back to 95% of that before, in seconds.

    The baseline is the mean of the five seconds before the failure. The result is
    infinite if goodput does not recover within the run.
    """
    by_second = summary["tokens_by_second"]
    before = [by_second.get(s, 0) for s in range(int(failed_at) - 5, int(failed_at))]
    mean = sum(before) / len(before)
    last = int(summary["seconds"])
    for second in range(int(failed_at), last):
        if by_second.get(second, 0) >= RECOVERED_GOODPUT_FRACTION * mean:
            return max(0.0, second - failed_at)
    return float("inf")


def add_admission_settings(arm: Arm, admission: dict[str, Any]) -> Arm:
    """Return a copy of the arm with additional admission settings."""
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
        Policies to run; empty for all.
    chains, entries : int
        Number of runner chains and of entries in each failure domain.
    seed : int
        Random seed of the arrivals.
    json_path : str
        JSON file to write the summaries to; empty for none.
    """

    arms: list[str] = dataclasses.field(default_factory=list)
    chains: int = 5
    entries: int = 1
    seed: int = 1
    json_path: str = ""

    def get_max_token_rate(self) -> float:
        """Return the token rate that the runner slots allow, in tokens per second."""
        return get_max_token_rate(make_stack_settings(Arm(), self.chains, self.entries))


def run_arms(
    workload: Workload,
    options: Options,
    fault: Fault | None = None,
    admission: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Run the workload on each arm and print the summaries."""
    report = {}
    for name in options.arms or list(ARMS_BY_NAME):
        start = time.perf_counter()
        arm = add_admission_settings(ARMS_BY_NAME[name], admission or {})
        summary = run_arm(
            arm, workload, options.chains, options.entries, options.seed, fault
        )
        summary["wall_seconds"] = time.perf_counter() - start
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
    """Request more than the maximum token rate, with immediate retries."""
    options = options or Options()
    run_arms(make_workload(options.get_max_token_rate(), load, seconds), options)


@app.command
def crest(
    options: Options | None = None,
    *,
    load: float = 0.4,
    factor: float = 5.0,
    seconds: float = 30.0,
) -> None:
    """Raise demand to ``factor`` times the base rate within 2 s, then drop it again."""
    options = options or Options()
    workload = make_workload(options.get_max_token_rate(), load, seconds)
    workload.surge = DemandSurge(seconds / 3, seconds * 2 / 3, 2.0, factor)
    run_arms(workload, options)


@app.command
def behind_long(
    options: Options | None = None, *, load: float = 1.0, seconds: float = 30.0
) -> None:
    """Mix short requests with long ones that make up half of the tokens."""
    options = options or Options()
    max_token_rate = options.get_max_token_rate()
    workload = make_workload(max_token_rate, load, seconds)
    workload.long_tokens = 800
    workload.long_fraction = 0.02
    workload.rate = max_token_rate * load / get_mean_tokens(workload)
    admission = {"long_tokens": workload.long_tokens // 2}
    report = run_arms(workload, options, admission=admission)
    for name, summary in report.items():
        ttft = summary["first_token_from_arrival"]
        short, long = ttft[SHORT]["p95"], ttft[LONG]["p95"]
        print(f"{name}: p95 of short {short * 1000:.0f} ms, of long {long * 1000:.0f}")


@app.command
def failure(
    options: Options | None = None, *, load: float = 0.6, seconds: float = 30.0
) -> None:
    """Kill a runner in each failure domain halfway through the run."""
    options = options or Options()
    workload = make_workload(options.get_max_token_rate(), load, seconds)
    report = run_arms(workload, options, kill_runners)
    for name, summary in report.items():
        recovery_seconds = get_recovery_seconds(summary, seconds * FAILURE_AT_FRACTION)
        print(f"{name}: back to 95% of goodput after {recovery_seconds:.0f} s")


if __name__ == "__main__":
    sys.exit(app())
