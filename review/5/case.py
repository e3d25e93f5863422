"""Case 5: a change is in force too late at routers whose relay has lost the store."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Deployment, Proxy, make_route, run_case

# Routers of one zone; with five or more, some read the store through others.
ROUTERS = 6
CONFIG_APPLY_SECONDS = 3.0
# Time from the acknowledgement of a change to the cut, and from the cut to the next
# change.
CUT_SECONDS = 0.03
CHANGE_SECONDS = 0.02
# core_cut of kokil-fleet-grown: count = 1, for_s = 5.5.
CUT_LENGTH_SECONDS = 5.5
LOOK_FROM_SECONDS = 2.7
LOOK_UNTIL_SECONDS = 4.2
LOOK_GAP_SECONDS = 0.02


def make_routes(names: list[str]) -> list[dict]:
    """Return routes to one service."""
    return [make_route(name, "safe", "desk") for name in names]


async def look(
    deployment: Deployment, router: str, acknowledged_at: float, broken: list[str]
) -> None:
    """Ask one router again and again whether the dropped route is still there."""
    while time.monotonic() < acknowledged_at + LOOK_UNTIL_SECONDS:
        answer = await deployment.call(router, "GET", "/dropped/1", 2.0)
        late = answer.sent_at - acknowledged_at
        if answer.status == 200 and late > CONFIG_APPLY_SECONDS:
            broken.append(
                f"CONFIG: a request on a dropped route, sent to {router} {late:.3f} s "
                f"after the acknowledgement, ran: {answer.body.decode()}"
            )
        await asyncio.sleep(LOOK_GAP_SECONDS)


async def play(deployment: Deployment) -> list[str]:
    """Cut one router off between two changes, and ask those that are not cut off."""
    services = [{"name": "desk", "health_path": "/health"}]
    await deployment.wait_for_store()
    await deployment.configure(make_routes(["status", "dropped"]), services)
    for name in ("m1", "m2"):
        deployment.add_upstream(name, "desk")
    proxy = Proxy(f"{deployment.prefix}.4.1:7000", deployment.store)
    await proxy.start()
    for number in range(ROUTERS):
        deployment.add_router(proxy.address if number == 0 else "")
    await deployment.wait_until_ready()
    await asyncio.sleep(12.0)
    others = list(deployment.routers)[1:]
    for router in others:
        answer = await deployment.call(router, "GET", "/dropped/1", 2.0)
        if answer.status != 200:
            raise RuntimeError("the route is not served before the change")
    await deployment.configure(
        make_routes(["status", "dropped", "added-first"]), services
    )
    await asyncio.sleep(CUT_SECONDS)
    if deployment.has_trouble:
        proxy.is_cut = True
        deployment.note("front-east-1 is cut off from the store")
    cut_at = time.monotonic()
    await asyncio.sleep(CHANGE_SECONDS)
    acknowledged_at = await deployment.configure(
        make_routes(["status", "added-first"]), services
    )
    deployment.note("the version without the route is acknowledged")
    await asyncio.sleep(LOOK_FROM_SECONDS)
    broken = []
    await asyncio.gather(
        *(look(deployment, router, acknowledged_at, broken) for router in others)
    )
    await asyncio.sleep(max(0.0, cut_at + CUT_LENGTH_SECONDS - time.monotonic()))
    proxy.is_cut = False
    await proxy.stop()
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
