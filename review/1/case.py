"""Case 1: a stream ends as complete although one of its pieces never came."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import ENGINE, Deployment, make_route, run_case

REQUESTS = 240
REQUESTS_AT_ONCE = 12
EVENTS = 20
# One runner of the four garbles (a quarter), one of 50 of its answers (0.02).
SPOIL_EVERY = 50


async def play(deployment: Deployment) -> list[str]:
    """Send streams for some seconds and check each complete one."""
    await deployment.wait_for_store()
    services = [{"name": "model", "health_path": "/health", "engine": ENGINE}]
    await deployment.configure([make_route("draft", "streaming", "model")], services)
    for name, layers in (("a1", "0-40"), ("a2", "40-80"), ("b1", "0-40")):
        options = ["--layers", layers, "--kind", "large", "--pair"]
        if name == "a1" and deployment.has_trouble:
            options += ["--spoil-every", str(SPOIL_EVERY)]
        deployment.add_upstream(name, "model", *options)
    deployment.add_upstream("b2", "model", "--layers", "40-80", "--kind", "large")
    router = deployment.add_router()
    await deployment.wait_until_ready()
    await asyncio.sleep(2.0)
    answers = []

    async def send_some() -> None:
        while len(answers) < REQUESTS:
            answers.append(None)
            place = len(answers) - 1
            answers[place] = await deployment.call(
                router, "POST", "/draft/1", 4.0, tokens="10,60"
            )

    await asyncio.gather(*(send_some() for _ in range(REQUESTS_AT_ONCE)))
    served = [one for one in answers if one.status == 200 and one.is_complete]
    deployment.note(f"{len(answers)} streams sent, {len(served)} ended as complete")
    if not served:
        raise RuntimeError("no stream was served")
    broken = []
    for answer in served:
        lines = answer.body.decode().splitlines()
        pieces = [int(line.split()[-1]) for line in lines if line.startswith("data:")]
        if pieces != list(range(EVENTS)):
            missing = sorted(set(range(EVENTS)) - set(pieces))
            broken.append(
                f"ORDER: stream {answer.request_id} ended as complete; pieces missing: "
                f"{missing}, pieces that came: {pieces}"
            )
    return broken


if __name__ == "__main__":
    run_case(__file__, play)
