"""Case 6: an order that has run is answered with a status that promises otherwise."""

import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import Client, Deployment, Message, has_trouble, make_route, run

PROMISES = (429, 408)
ORDERS = 40
# Of five requests in a row, these are failed: a share of 0.4.
FAILED_OF_FIVE = (0, 3)


async def play(deployment: Deployment) -> bool:
    """Send orders to runners of which one fails some with 429 or 408 after the work."""
    record = deployment.record
    await deployment.start_store()
    for name in ("i-one", "i-two"):
        await deployment.add_runner(name, "desk")
    grey = await deployment.add_runner("i-grey", "desk")
    numbers = itertools.count()

    def fail_some(request: Message) -> tuple[int, list[tuple[str, str]], bytes]:
        number = next(numbers)
        if number % 5 not in FAILED_OF_FIVE:
            return 200, [], b"done"
        return PROMISES[number % len(PROMISES)], [], b"try later"

    if has_trouble():
        grey.answer = fail_some
        record.add("i-grey fails two in five of its requests, after their work")
    routes = [make_route("order", "unsafe", "desk")]
    deployment.configure(7, routes, [{"name": "desk", "health_path": "/health"}])
    router = await deployment.add_router("front-east-1")
    await router.wait_until_ready()
    client = Client(router.front, record)
    broken = 0
    for number in range(ORDERS):
        answer = await client.call(
            "POST", "/order/bellows", f"order{number}", body=b"one pipe"
        )
        has_run = any(
            answer.request_id in runner.runs for runner in deployment.runners.values()
        )
        if has_run and answer.status in (408, 421, 429, 503):
            broken += 1
            record.add(f"{answer.request_id} has run and got {answer.status}")
    await client.close()
    return broken > 0


run(play, str(Path(__file__).resolve().parent))
