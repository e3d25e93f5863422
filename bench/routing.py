"""Measures the cost of planning routes for small and large numbers of runners.

Run as ``python -m bench.routing``. The results are the microseconds per plan, their
ratio to those of the smallest size, and the memory per runner in bytes.
"""

import json
import random
import statistics
import time
import tracemalloc

from wigeondrift.entities import Instance, LoadReport, Role
from wigeondrift.systems.routing import Routing
from wigeondrift.table.rows import ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables

SIZES = (30, 300, 4100)
DOMAINS = ("rajkot", "morbi", "jamnagar")
STAGE_BOUNDARIES = ((0, 16, 32, 48), (0, 24, 48), (0, 12, 30, 48))
LAYERS = 48
PLANS = 2000
ROUNDS = 5
SERVICE = "kokil-lm"


def make_tables(size: int) -> Tables:
    """Return tables with ``size`` runners of mixed layer ranges in three domains."""
    tables = Tables()
    row = ServiceRow(ServiceKind.MODEL, layers=LAYERS, version="v1")
    tables.table = Table(services_by_name={SERVICE: row})
    ranges = [
        pair for cuts in STAGE_BOUNDARIES for pair in zip(cuts, cuts[1:], strict=False)
    ]
    for number in range(size):
        domain = DOMAINS[number % len(DOMAINS)]
        first, end = ranges[(number // len(DOMAINS)) % len(ranges)]
        name = f"runner-{number}"
        tables.instances_by_id[name] = Instance(
            name,
            1,
            Role.RUNNER,
            f"10.0.{number // 250}.{number % 250}:8000",
            domain,
            service=SERVICE,
            version="v1",
            first_layer=first,
            end_layer=end,
            slots=8,
        )
        tables.loads_by_id[name] = LoadReport(name, number % 5, 0, 0.01)
    tables.instances_revision = 1
    return tables


def measure(size: int) -> dict:
    """Return the results for one number of runners."""
    tables = make_tables(size)
    rng = random.Random(1)
    tracemalloc.start()
    routing = Routing(tables, DOMAINS[0], rng)
    start = time.perf_counter()
    routing.plan(SERVICE, "counters", (), 0, 0.0)
    index_seconds = time.perf_counter() - start
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rounds = []
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for number in range(PLANS):
            prompt_hash = rng.getrandbits(64)
            route = routing.plan(SERVICE, "counters", (), prompt_hash, number * 0.01)
            routing.record_start(route.instance_ids, number * 0.01)
            routing.record_end(route.instance_ids, number * 0.01)
        rounds.append((time.perf_counter() - start) / PLANS * 1e6)
    return {
        "runners": size,
        "plan_microseconds": round(statistics.median(rounds), 1),
        "first_plan_milliseconds": round(index_seconds * 1000, 2),
        "bytes_a_runner": held_bytes // size,
    }


def main() -> None:
    """Print the results as JSON lines."""
    first_microseconds = 0.0
    for size in SIZES:
        results = measure(size)
        first_microseconds = first_microseconds or results["plan_microseconds"]
        results["ratio"] = round(results["plan_microseconds"] / first_microseconds, 2)
        print(json.dumps(results))


if __name__ == "__main__":
    main()
