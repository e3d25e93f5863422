"""Compares claim stores by platform calls, latency and throughput of orders.

The order executors of several entries run on the in-memory store in virtual time, so
the results include the delay and the rate limits of the platform but no processor
time.
"""

import random
from collections.abc import Callable, Collection

import cyclopts
import msgspec
import trio
from hdrh.histogram import HdrHistogram
from trio.testing import MockClock

from wigeondrift.entities import Instance, Role
from wigeondrift.entry.claims import ClaimStore, KeyClaimStore
from wigeondrift.entry.orders import OrderExecutor, OrderJob, UpstreamChooser
from wigeondrift.entry.service import ServiceCall
from wigeondrift.entry.service_memory import MemoryPlainService
from wigeondrift.errors import RequestError
from wigeondrift.settings import RequestSettings
from wigeondrift.store.memory import MemoryStore
from wigeondrift.table.rows import ServiceKind, ServiceRow
from wigeondrift.table.tables import Tables
from wigeondrift.timer import TrioClock

ADDRESS = "127.0.0.1:1"
SERVICE = "parts-desk"
SERVICE_DELAY_SECONDS = 0.02
PLATFORM_DELAY_SECONDS = 0.003
WRITES_PER_SECOND = 300.0
READS_PER_SECOND = 2000.0
MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 60 * MICROSECONDS_PER_SECOND

CLAIM_STORES_BY_NAME: dict[str, Callable[..., ClaimStore]] = {"key": KeyClaimStore}


class Row(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes
    ----------
    way : str
        Name of the claim store.
    offered, done : float
        Orders per second that were sent and that ran and were answered.
    refused : int
        Orders that ended with an error.
    writes, reads : float
        Platform calls per order that ran.
    p50, p99 : float
        Latency in milliseconds.
    """

    way: str
    offered: float
    done: float
    refused: int
    writes: float
    reads: float
    p50: float
    p99: float


class SingleUpstreamChooser(UpstreamChooser):
    """Chooses the only upstream."""

    def choose(
        self, service: str, team: str, excluded: Collection[str], now: float
    ) -> Instance:
        """Return the upstream."""
        return Instance(ADDRESS, 1, Role.SERVICE, ADDRESS, "rajkot")


class Run:
    """Run of one claim store at one rate of orders.

    Parameters
    ----------
    store_name : str
        Name in ``CLAIM_STORES_BY_NAME``.
    rate : float
        Orders per second over all entries.
    entries : int
        Number of entries.
    seconds : float
        Time during which orders arrive.
    seed : int
        Random seed of the arrivals.
    """

    __slots__ = (
        "_executors",
        "_entries",
        "_histogram",
        "_random",
        "_rate",
        "_seconds",
        "_store_name",
        "done",
        "refused",
    )

    def __init__(
        self, store_name: str, rate: float, entries: int, seconds: float, seed: int
    ) -> None:
        self._store_name = store_name
        self._rate = rate
        self._entries = entries
        self._seconds = seconds
        self._random = random.Random(seed)
        self._histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, 3)
        self._executors: list[OrderExecutor] = []
        self.done = 0
        self.refused = 0

    async def measure(self) -> Row:
        """Run the orders and return the results."""
        store = MemoryStore()
        store.change_faults(
            delay=PLATFORM_DELAY_SECONDS,
            writes_per_second=WRITES_PER_SECOND,
            reads_per_second=READS_PER_SECOND,
        )
        async with trio.open_nursery() as nursery:
            for number in range(self._entries):
                executor = self._make_executor(store.connect(f"entry-{number}"), number)
                await executor.start(nursery)
                self._executors.append(executor)
            async with trio.open_nursery() as callers:
                await self._send_orders(callers)
            for executor in self._executors:
                await executor.stop()
            nursery.cancel_scope.cancel()
        return self._make_row(store)

    def _make_executor(self, store: MemoryStore, number: int) -> OrderExecutor:
        service = MemoryPlainService((ADDRESS,))
        service.switches_by_address[ADDRESS].delay = SERVICE_DELAY_SECONDS
        tables = Tables()
        tables.table.services_by_name[SERVICE] = ServiceRow(ServiceKind.PLAIN)
        clock = TrioClock()
        return OrderExecutor(
            CLAIM_STORES_BY_NAME[self._store_name](store, clock),
            service,
            SingleUpstreamChooser(),
            tables,
            clock,
            clock,
            RequestSettings(),
            random.Random(number),
        )

    async def _send_orders(self, nursery: trio.Nursery) -> None:
        due = trio.current_time()
        end = due + self._seconds
        number = 0
        while due < end:
            await trio.sleep_until(due)
            executor = self._random.choice(self._executors)
            nursery.start_soon(self._send, executor, f"order-{number}")
            number += 1
            due += self._random.expovariate(self._rate)

    async def _send(self, executor: OrderExecutor, key: str) -> None:
        call = ServiceCall("POST", "/orders", (), b"{}")
        start = trio.current_time()
        try:
            await executor.run(OrderJob(key, "mandali", SERVICE, key, call))
        except RequestError:
            self.refused += 1
            return
        self.done += 1
        elapsed = trio.current_time() - start
        self._histogram.record_value(int(elapsed * MICROSECONDS_PER_SECOND))

    def _make_row(self, store: MemoryStore) -> Row:
        calls = store.core.calls_by_name
        writes = sum(calls.get(name, 0) for name in ("put", "delete", "grant_lease"))
        reads = sum(calls.get(name, 0) for name in ("get", "watch"))
        done = max(self.done, 1)
        return Row(
            self._store_name,
            self._rate,
            self.done / self._seconds,
            self.refused,
            writes / done,
            reads / done,
            self._histogram.get_value_at_percentile(50) / 1000,
            self._histogram.get_value_at_percentile(99) / 1000,
        )


app = cyclopts.App(name="claims", help=__doc__.partition("\n")[0])


@app.default
def main(
    *,
    ways: tuple[str, ...] = tuple(CLAIM_STORES_BY_NAME),
    rates: tuple[float, ...] = (25.0, 75.0, 125.0, 145.0, 200.0),
    entries: int = 8,
    seconds: float = 10.0,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Compare the claim stores.

    Parameters
    ----------
    ways
        Names of the claim stores.
    rates
        Orders per second.
    entries
        Number of entries.
    seconds
        Time during which orders arrive.
    seed
        Random seed of the arrivals.
    json
        Print JSON instead of a table.
    """
    rows = []
    for way in ways:
        for rate in rates:
            run = Run(way, rate, entries, seconds, seed)
            rows.append(
                trio.run(
                    run.measure,
                    clock=MockClock(autojump_threshold=0),
                )
            )
    if json:
        print(msgspec.json.encode(rows).decode())
        return
    print("| way | offered/s | ran/s | refused | writes | reads | p50 ms | p99 ms |")
    print("|---|---|---|---|---|---|---|---|")
    for row in rows:
        print(
            f"| {row.way} | {row.offered:.0f} | {row.done:.1f} | {row.refused} "
            f"| {row.writes:.2f} | {row.reads:.2f} | {row.p50:.1f} | {row.p99:.1f} |"
        )


if __name__ == "__main__":
    app()
