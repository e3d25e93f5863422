"""Many callers order at the same moment, and each order has a long answer."""

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

# A wave of orders every four seconds; without the disruption, the same orders one after
# another.
WAVES = 4
WAVE_SECONDS = 4.0
ORDERS_PER_WAVE = 32
ORDER_BYTES = 4_000_000
ORDINARY_CALLERS = 12
ORDINARY_BYTES = 800
WORK_SECONDS = 0.09
DEADLINE_MS = 3000
# Starved: "less than a quarter as often as all requests".
STARVED_SHARE = 0.25


class Count:
    """Requests of one kind, and those of them that were served."""

    def __init__(self) -> None:
        self.sent = 0
        self.ran = 0
        self.served = 0

    @property
    def share(self) -> float:
        """Part of the requests that was served."""
        return self.served / self.sent if self.sent else 0.0


class Case:
    """State of one play."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment()
        self.counts_by_kind = {"order": Count(), "status": Count()}
        self.is_over = False

    async def answer(self, exchange: Exchange) -> None:
        """Answer as a sound member of the plain service."""
        request_id = exchange.request.headers_by_name["wigeondrift-request-id"]
        kind = request_id.partition("-")[0]
        self.counts_by_kind[kind].ran += 1
        await trio.sleep(WORK_SECONDS)
        size = ORDER_BYTES if kind == "order" else ORDINARY_BYTES
        if kind == "order":
            self.record.add(f"run {request_id}")
        await exchange.respond(200, make_answer_headers(exchange), bytes(size))

    async def ask(self, caller: Caller, kind: str, name: str) -> None:
        """Send one request and count its outcome."""
        count = self.counts_by_kind[kind]
        count.sent += 1
        answer = await caller.ask(f"/{kind}/a", name, DEADLINE_MS)
        is_served = answer.is_whole and answer.status == 200
        count.served += is_served
        if kind == "order" or not is_served:
            self.record.add(f"{name}: {answer}")

    async def order(self, number: int) -> None:
        """Send one order on a new connection."""
        caller = await Caller.connect(self.deployment.routers[0].address)
        await self.ask(caller, "order", f"order-{number}")
        await caller.close()

    async def use_ordinarily(self, number: int) -> None:
        """Send short requests, one after another, on a kept connection."""
        caller = await Caller.connect(self.deployment.routers[0].address)
        count = 0
        while not self.is_over:
            count += 1
            await self.ask(caller, "status", f"status-{number}-{count}")
        await caller.close()

    async def play(self) -> None:
        """Play the callers."""
        async with trio.open_nursery() as nursery:
            for number in range(ORDINARY_CALLERS):
                nursery.start_soon(self.use_ordinarily, number)
            async with trio.open_nursery() as orders:
                for wave in range(WAVES):
                    wave_ends_at = trio.current_time() + WAVE_SECONDS
                    for number in range(ORDERS_PER_WAVE):
                        orders.start_soon(self.order, wave * ORDERS_PER_WAVE + number)
                        if not has_trouble():
                            await trio.sleep(WAVE_SECONDS / ORDERS_PER_WAVE)
                    await trio.sleep_until(wave_ends_at)
            self.is_over = True


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    case = Case(record)
    deployment = case.deployment
    routes = [
        make_route("order", "unsafe", "desk"),
        make_route("status", "safe", "desk"),
    ]
    deployment.configure(make_configuration(1, routes))
    for number in range(3):
        deployment.add_upstream(f"desk-{number}", "desk", case.answer)
    deployment.add_router("router-1")
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            await case.play()
            nursery.cancel_scope.cancel()
    finally:
        deployment.close()
    orders, status = case.counts_by_kind["order"], case.counts_by_kind["status"]
    total = (orders.served + status.served) / (orders.sent + status.sent)
    summary = (
        f"orders: {orders.sent} sent, {orders.ran} ran, {orders.served} served "
        f"({orders.share:.3f}); all requests: {total:.3f} served"
    )
    record.add(summary)
    print(summary)
    if not status.served:
        return NOT_RUN
    return BROKEN if orders.share < STARVED_SHARE * total else HELD


run(play, __file__)
