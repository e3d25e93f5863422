"""Case 3: a request that crashes runners after some events is sent on for ever."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import ENGINE, Deployment, make_route, run_case

RUNNERS = 6
# Events of a stream (20 ms each) before the runner has crashed.
DEADLY_EVENTS = int(os.environ.get("DEADLY_EVENTS", "4"))
BACK_SECONDS = 3.0
DEADLY_TARGET = "/draft/deadly"
REPEAT_SECONDS = 3.0
PLAY_SECONDS = 50.0
STABLE_WINDOW_SECONDS = 4.0
MAX_RETRIES = 3


async def keep_running(deployment: Deployment, name: str, options: list[str]) -> None:
    """Start a runner, and again as a new incarnation some seconds after a crash."""
    address = deployment.add_upstream(name, "model", "--layers", "0-80", *options)
    for number in itertools.count(2):
        process = deployment.processes[f"upstream-{name}"]
        while process.poll() is None:
            await asyncio.sleep(0.05)
        deployment.note(f"{name} has crashed")
        await asyncio.sleep(BACK_SECONDS)
        name = f"{name.partition('-')[0]}-{number}"
        # A runner restarts empty; the planner orders it to hold layers.
        deployment.start_upstream(name, "model", address, "--layers", "0-0", *options)


async def send_deadly(deployment: Deployment, ends_at: float) -> None:
    """Send the same request again and again, at one router after the other."""
    for router in itertools.cycle(deployment.routers):
        if time.monotonic() >= ends_at:
            return
        await deployment.call(
            router, "POST", DEADLY_TARGET, 4.0, tokens="10,60", body=b"deadly"
        )
        await asyncio.sleep(REPEAT_SECONDS)


async def send_others(deployment: Deployment, ends_at: float) -> None:
    """Send other requests, which are sound."""
    for number in itertools.count():
        if time.monotonic() >= ends_at:
            return
        router = list(deployment.routers)[number % len(deployment.routers)]
        body = f"sound {number}".encode()
        await deployment.call(
            router, "POST", f"/draft/{number}", 4.0, tokens="10,60", body=body
        )
        await asyncio.sleep(0.3)


async def play(deployment: Deployment) -> list[str]:
    """Let the request come again for some time, then count where it ran."""
    await deployment.wait_for_store()
    services = [{"name": "model", "health_path": "/health", "engine": ENGINE}]
    await deployment.configure([make_route("draft", "streaming", "model")], services)
    options = ["--kind", "large"]
    if deployment.has_trouble:
        options += ["--deadly-target", DEADLY_TARGET]
        options += ["--deadly-events", str(DEADLY_EVENTS)]
    runners = [
        asyncio.create_task(keep_running(deployment, f"a{number}", options))
        for number in range(RUNNERS)
    ]
    for _ in range(2):
        deployment.add_router()
    await deployment.wait_until_ready()
    await asyncio.sleep(2.0)
    ends_at = time.monotonic() + PLAY_SECONDS
    await asyncio.gather(
        send_deadly(deployment, ends_at),
        *(send_others(deployment, ends_at) for _ in range(2)),
    )
    for task in runners:
        task.cancel()
    lines = deployment.list_runs()
    crashes = sorted(line["at"] for line in lines if "crash" in line)
    runs = [line for line in lines if line.get("target") == DEADLY_TARGET]
    deployment.note(f"the request ran {len(runs)} times, with {len(crashes)} crashes")
    if not runs:
        raise RuntimeError("the request never ran")
    if len(crashes) < 3:
        return []
    late = [run for run in runs if run["at"] > crashes[2] + STABLE_WINDOW_SECONDS]
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: a request that crashes its runners reached runners {len(late)} times "
        f"later than {STABLE_WINDOW_SECONDS:.0f} s after its third crash; it caused "
        f"{len(crashes)} crashes in {PLAY_SECONDS:.0f} s"
    ]


if __name__ == "__main__":
    run_case(__file__, play)
