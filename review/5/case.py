"""Case 5: a member that left gets requests, as a relay has lost the store."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Deployment, Proxy, make_route, run_case

# Routers of one zone; with five or more, some read the store through others.
ROUTERS = 6
DRAIN_SECONDS = 3.0
# core_cut of kokil-fleet-grown: count = 1, for_s = 5.5.
CUT_LENGTH_SECONDS = 5.5
# Time from the start of the cut until the member leaves.
LEAVE_SECONDS = 0.05
LOOK_SECONDS = 7.0
LOOK_GAP_SECONDS = 0.03


async def send_some(deployment: Deployment, router: str, ends_at: float) -> None:
    """Send safe requests to one router."""
    while time.monotonic() < ends_at:
        await deployment.call(router, "GET", "/status/1", 2.0)
        await asyncio.sleep(LOOK_GAP_SECONDS)


async def play(deployment: Deployment) -> list[str]:
    """Cut one router off, let a member leave, and send requests to the others."""
    services = [{"name": "desk", "health_path": "/health"}]
    await deployment.wait_for_store()
    await deployment.configure([make_route("status", "safe", "desk")], services)
    for name in ("m1", "m2", "m3"):
        deployment.add_upstream(name, "desk")
    proxy = Proxy(f"{deployment.prefix}.4.1:7000", deployment.store)
    await proxy.start()
    for number in range(ROUTERS):
        deployment.add_router(proxy.address if number == 0 else "")
    await deployment.wait_until_ready()
    await asyncio.sleep(12.0)
    ends_at = time.monotonic() + LOOK_SECONDS
    others = list(deployment.routers)[1:]
    requests = [
        asyncio.create_task(send_some(deployment, router, ends_at)) for router in others
    ]
    await asyncio.sleep(0.5)
    if deployment.has_trouble:
        proxy.is_cut = True
        deployment.note("front-east-1 is cut off from the store")
    cut_at = time.monotonic()
    await asyncio.sleep(LEAVE_SECONDS)
    deployment.processes["upstream-m3"].send_signal(signal.SIGUSR1)
    await asyncio.sleep(max(0.0, cut_at + CUT_LENGTH_SECONDS - time.monotonic()))
    proxy.is_cut = False
    await asyncio.gather(*requests)
    await proxy.stop()
    lines = deployment.list_runs()
    left_at = [line["at"] for line in lines if "left" in line]
    if not left_at:
        raise RuntimeError("the member's entry was not removed")
    runs = [line for line in lines if "run" in line and line["upstream"] == "m3"]
    if not runs:
        raise RuntimeError("the member got no requests")
    last = max(run["at"] for run in runs) - left_at[0]
    deployment.note(
        f"the last run at m3 began {last:.3f} s after its entry was removed"
    )
    return [
        f"DRAIN: request {run['run']} reached m3 {run['at'] - left_at[0]:.3f} s after "
        "the store had removed its entry"
        for run in runs
        if run["at"] - left_at[0] > DRAIN_SECONDS
    ]


if __name__ == "__main__":
    run_case(__file__, play)
