"""A new configuration allows larger headers; callers use them on kept connections."""

import sys
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parent.parent))
from harness_3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Caller,
    Deployment,
    Record,
    has_trouble,
    make_answer_headers,
    make_configuration,
    make_route,
    run,
)

from wigeondrift.wire.http_server import Exchange

CALLERS = 40
SMALL_LIMIT_BYTES = 8192
LARGE_LIMIT_BYTES = 32768
# With the other headers, well below the larger limit.
EXTRA_BYTES = 20000
DEADLINE_MS = 3000
# Rounds before the change, and after it: well later than ``config_apply_ms`` (2 s).
ROUNDS_BEFORE = 3
APPLY_SECONDS = 4.0
ROUND_SECONDS = 1.0
# DENIED: "more than 5 + one in 500 of all requests".
DENIED_ALLOWED = 5
DENIED_PER_REQUEST = 1 / 500
OWN_DENIALS = frozenset(range(300, 500)) - {408, 421, 429}


class Case:
    """State of one play."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment()
        self.ran: set[str] = set()
        self.requests = 0
        self.served = 0
        self.denied = 0

    async def answer(self, exchange: Exchange) -> None:
        """Answer as a sound member of the plain service."""
        request_id = exchange.request.headers_by_name["wigeondrift-request-id"]
        self.ran.add(request_id)
        await exchange.respond(200, make_answer_headers(exchange), b"done")

    async def ask(self, caller: Caller, name: str, extra_bytes: int) -> None:
        """Send one request and count its outcome."""
        headers = [("X-Drawing", "d" * extra_bytes)] if extra_bytes else []
        answer = await caller.ask("/status/a", name, DEADLINE_MS, headers)
        self.requests += 1
        self.served += answer.is_whole and answer.status == 200
        # The members answer 200 only, so any other status is the router's own.
        self.denied += answer.status in OWN_DENIALS
        self.record.add(f"{name}: {answer}, ran: {name in self.ran}")

    async def use(self, number: int, changed: trio.Event) -> None:
        """Use one kept connection, before the change and after it."""
        address = self.deployment.routers[0].address
        caller = await Caller.connect(address)
        for count in range(ROUNDS_BEFORE):
            await self.ask(caller, f"before-{number}-{count}", 0)
            await trio.sleep(ROUND_SECONDS)
        await changed.wait()
        if not has_trouble():
            await caller.close()
            caller = await Caller.connect(address)
        await self.ask(caller, f"after-{number}", EXTRA_BYTES)
        await caller.close()


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    case = Case(record)
    deployment = case.deployment
    routes = [make_route("status", "safe", "desk")]
    small = make_configuration(1, routes, max_header_bytes=SMALL_LIMIT_BYTES)
    large = make_configuration(2, routes, max_header_bytes=LARGE_LIMIT_BYTES)
    deployment.configure(small)
    for number in range(3):
        deployment.add_upstream(f"desk-{number}", "desk", case.answer)
    deployment.add_router("router-1")
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            changed = trio.Event()
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    callers.start_soon(case.use, number, changed)
                await trio.sleep(ROUNDS_BEFORE * ROUND_SECONDS)
                deployment.configure(large)
                record.add("configuration 2 written")
                await trio.sleep(APPLY_SECONDS)
                changed.set()
            nursery.cancel_scope.cancel()
    finally:
        deployment.close()
    summary = f"{case.requests} requests, {case.served} served, {case.denied} denied"
    record.add(summary)
    print(summary)
    if not case.served:
        return NOT_RUN
    allowed = DENIED_ALLOWED + DENIED_PER_REQUEST * case.requests
    return BROKEN if case.denied > allowed else HELD


run(play, __file__)
