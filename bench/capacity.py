"""Measures the state and messages that grow with the fleet: instance list and table.

Run as ``python -m bench.capacity``. The estimates in docs/CAPACITY.md are based on its
results and on those of the other benchmarks that are named there.
"""

import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

import cyclopts

from wigeondrift.entities import Instance, Role
from wigeondrift.table.rows import (
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    parse_table,
    serialize_table,
)
from wigeondrift.wire.endpoint import MAX_MESSAGE_BYTES
from wigeondrift.wire.messages import InstancesNews, TableNews, serialize_message
from wigeondrift.wire.packing import compress_message, decompress_message

RUNNERS = (30, 300, 4100)
TEAMS = (10, 100, 340)
MODELS = 4
LAYERS = 64
RANGES_PER_MODEL = 4
DOMAINS = 4
WEIGHTS = (0.5, 1.0, 2.0, 4.0)
REPEATS = 5


def make_instances(runners: int) -> tuple[Instance, ...]:
    """Return runners for the layer ranges of a few models."""
    range_layers = LAYERS // RANGES_PER_MODEL
    return tuple(
        Instance(
            instance_id=f"domain-{index % DOMAINS}-runner-{index}",
            incarnation=1700000000000 + index,
            role=Role.RUNNER,
            address=f"10.{index % DOMAINS}.{index // 256}.{index % 256}:7000",
            failure_domain=f"domain-{index % DOMAINS}",
            service=f"model-{index % MODELS}",
            version="2026-11",
            first_layer=index % RANGES_PER_MODEL * range_layers,
            end_layer=(index % RANGES_PER_MODEL + 1) * range_layers,
            kind=f"kind-{index % DOMAINS}",
            slots=8,
        )
        for index in range(runners)
    )


def make_table(teams: int) -> Table:
    """Return a table with a limit for each pair of team and model."""
    rng = random.Random(teams)
    names = [f"team-{index:04}" for index in range(teams)]
    models = [f"model-{index}" for index in range(MODELS)]
    return Table(
        {name: ServiceRow(ServiceKind.MODEL, LAYERS, "2026-11") for name in models},
        {name: TeamRow((rng.randbytes(32).hex(),)) for name in names},
        {
            f"{team}/{model}": LimitRow(
                weight=rng.choice(WEIGHTS),
                requests=float(rng.randrange(1, 1000)),
                tokens=float(rng.randrange(1000, 1000000)),
                running=rng.randrange(1, 500),
            )
            for team in names
            for model in models
        },
    )


def measure_bytes(make: Callable[[], object]) -> int:
    """Return the memory that a new object takes, in bytes."""
    tracemalloc.start()
    value = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size


def measure_seconds(call: Callable[[], object]) -> float:
    """Return the shortest time of ``REPEATS`` calls, in seconds."""
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        call()
        times.append(time.perf_counter() - start)
    return min(times)


def measure_instance_list(runners: int) -> dict[str, float]:
    """Return the memory and message sizes of an instance list."""
    message = serialize_message(InstancesNews(1, make_instances(runners)))
    return {
        "runners": runners,
        "memory_bytes": measure_bytes(lambda: make_instances(runners)),
        "message_bytes": len(message),
        "compressed_bytes": len(compress_message(message)),
    }


def measure_table(teams: int) -> dict[str, float]:
    """Return the memory, message sizes and processing times of a table."""
    data = serialize_table(make_table(teams))
    message = serialize_message(TableNews(1, data))
    compressed = compress_message(message)
    return {
        "teams": teams,
        "memory_bytes": measure_bytes(lambda: parse_table(data)),
        "message_bytes": len(message),
        "compressed_bytes": len(compressed),
        "compress_ms": 1e3 * measure_seconds(lambda: compress_message(message)),
        "decompress_ms": 1e3
        * measure_seconds(lambda: decompress_message(compressed, MAX_MESSAGE_BYTES)),
        "parse_ms": 1e3 * measure_seconds(lambda: parse_table(data)),
    }


def print_measurements(rows: list[dict[str, float]]) -> None:
    """Print the measurements as a table."""
    print("".join(f"{name:>18}" for name in rows[0]))
    for row in rows:
        print("".join(f"{value:18,.1f}" for value in row.values()))


app = cyclopts.App(name="bench.capacity", help=__doc__)


@app.default
def run(json_path: str = "") -> None:
    """Measure instance lists and tables of several sizes.

    Parameters
    ----------
    json_path
        JSON file to write the results to.
    """
    lists = [measure_instance_list(runners) for runners in RUNNERS]
    tables = [measure_table(teams) for teams in TEAMS]
    print_measurements(lists)
    print_measurements(tables)
    if json_path:
        with open(json_path, "w") as file:
            json.dump({"lists": lists, "tables": tables}, file, indent=1)


if __name__ == "__main__":
    sys.exit(app())
