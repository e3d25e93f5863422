"""The store cuts a waiting watch, and a member leaves right after."""

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
    Upstream,
    has_trouble,
    make_answer_headers,
    make_configuration,
    make_route,
    run,
)

from wigeondrift.wire.http_server import Exchange

CALLERS = 24
WORK_SECONDS = 0.09
DEADLINE_MS = 3000
DRAIN_SECONDS = 2.0
ROUNDS = 5
# From the last change before to the cut, and from the cut to the member's leaving.
QUIET_SECONDS = 2.55
LEAVE_SECONDS = 0.02
# The member goes on serving, and is listed again under the id of a new start.
GONE_SECONDS = 4.0
SETTLE_SECONDS = 1.5


class Case:
    """State of one play."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment()
        self.left_at_by_member: dict[str, float] = {}
        self.served = 0
        self.late = 0
        self.latest = 0.0
        self.cut = 0
        self.is_over = False

    def make_member(self, name: str):
        """Return the handler of one member."""

        async def answer(exchange: Exchange) -> None:
            now = trio.current_time()
            request_id = exchange.request.headers_by_name["wigeondrift-request-id"]
            seconds = now - self.left_at_by_member.get(name, now)
            self.latest = max(self.latest, seconds)
            if seconds > DRAIN_SECONDS:
                self.late += 1
                self.record.add(f"{request_id} reaches {name} {seconds:.3f} s after")
            await trio.sleep(WORK_SECONDS)
            await exchange.respond(200, make_answer_headers(exchange), b"done")

        return answer

    async def use(self, number: int) -> None:
        """Send orders, one after another, on a kept connection."""
        caller = await Caller.connect(self.deployment.routers[0].address)
        count = 0
        while not self.is_over:
            count += 1
            answer = await caller.ask("/order/a", f"o-{number}-{count}", DEADLINE_MS)
            self.served += answer.status == 200
            if answer.status != 200:
                self.record.add(f"o-{number}-{count} got {answer}")
        await caller.close()

    async def let_leave(self, member: Upstream, other: Upstream) -> None:
        """Play one round: a change, a quiet time, the cut, and the leaving."""
        other.entry["cold_remaining_ms"] += 1
        other.register()
        await trio.sleep(QUIET_SECONDS)
        if has_trouble():
            cut = self.deployment.cut_watches()
            self.cut += cut
            self.record.add(f"{cut} watch cut")
        await trio.sleep(LEAVE_SECONDS)
        member.remove()
        self.left_at_by_member[member.upstream_id] = trio.current_time()
        self.record.add(f"{member.upstream_id} is no longer listed")
        await trio.sleep(GONE_SECONDS)
        del self.left_at_by_member[member.upstream_id]
        member.register()
        await trio.sleep(SETTLE_SECONDS)


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    case = Case(record)
    deployment = case.deployment
    deployment.configure(make_configuration(1, [make_route("order", "unsafe", "desk")]))
    members = []
    for number in range(4):
        name = f"desk-{number}"
        members.append(deployment.add_upstream(name, "desk", case.make_member(name)))
    deployment.add_router("router-1")
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    callers.start_soon(case.use, number)
                await trio.sleep(SETTLE_SECONDS)
                for count in range(ROUNDS):
                    await case.let_leave(members[count % 3], members[3])
                case.is_over = True
            nursery.cancel_scope.cancel()
    finally:
        deployment.close()
    summary = (
        f"{case.served} orders served, {case.cut} watches cut, {case.late} requests "
        f"reached members that had left, the last one {case.latest:.3f} s after"
    )
    record.add(summary)
    print(summary)
    if not case.served or (has_trouble() and not case.cut):
        return NOT_RUN
    return BROKEN if case.late else HELD


run(play, __file__)
