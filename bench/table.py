"""Measures the cost of a table by its size, and of other storage layouts for it.

Run as ``python -m bench.table [--json]``. The times depend on the machine, so the
layouts are compared by calls and bytes, and by their times in the same run.
"""

import functools
import statistics
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import cyclopts
import msgspec
import trio

from wigeondrift.operator.declaration import serialize_csv
from wigeondrift.operator.editor import TableEditor
from wigeondrift.operator.edits import (
    CellChange,
    Edit,
    apply_edit,
    diff_tables,
    get_cells,
)
from wigeondrift.operator.rendering import Printer
from wigeondrift.store.core import Faults
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.systems.editing import Accepted
from wigeondrift.table.rows import (
    MAX_TABLE_BYTES,
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    parse_table,
    serialize_table,
)
from wigeondrift.table.table_check import check_table, load_table
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.platform import PlatformEmulator

TEAM_COUNTS = (10, 100, 340)
MODELS = 4
PLAIN_SERVICES = 2
KEYS = 2
REPEATS = 5
OPERATOR_COUNTS = (1, 2, 4, 8)
EDITS = 10
LOG_CHANGES = 1000
PLATFORM_DELAY_SECONDS = 0.003
MILLISECONDS_PER_SECOND = 1e3


class SizeResult(msgspec.Struct, frozen=True):
    """Cost of a table with a number of teams; times in ms, sizes in bytes."""

    teams: int
    rows: int
    cells: int
    size: int
    csv_size: int
    memory: int
    parse: float
    check: float
    serialize: float
    diff: float
    edit: float


class ConcurrentEditResult(msgspec.Struct, frozen=True):
    """Cost of edits when operators change different cells of one table concurrently.

    Attributes
    ----------
    operators : int
        Number of operators.
    accepted : int
        Number of accepted edits.
    writes_per_edit, reads_per_edit : float
        Platform calls per edit.
    p50, longest : float
        Median and longest time of an edit, in ms.
    """

    operators: int
    accepted: int
    writes_per_edit: float
    reads_per_edit: float
    p50: float
    longest: float


class LayoutResult(msgspec.Struct, frozen=True):
    """Cost of a storage layout for the largest measured table.

    Attributes
    ----------
    way : str
        Name of the layout.
    start_reads : int
        Calls with which a starting process reads the table.
    start_bytes : int
        Bytes of the values that it reads.
    start_time : float
        Time of these calls, in ms.
    edit_writes : int
        Writes for an edit of one cell in each of ten rows.
    watches : int
        Watches that each agent keeps open.
    """

    way: str
    start_reads: int
    start_bytes: int
    start_time: float
    edit_writes: int
    watches: int


class Report(msgspec.Struct, frozen=True):
    """All results of a run."""

    sizes: tuple[SizeResult, ...]
    teams_that_fit: int
    races: tuple[ConcurrentEditResult, ...]
    ways: tuple[LayoutResult, ...]


def make_table(teams: int) -> Table:
    """Return a table in which each team has a limit row for each service."""
    services = {
        f"model-{number}": ServiceRow(ServiceKind.MODEL, 80, f"2026-{number:02}")
        for number in range(MODELS)
    }
    for number in range(PLAIN_SERVICES):
        services[f"service-{number}"] = ServiceRow(ServiceKind.PLAIN)
    names = [f"team-{number:04}" for number in range(teams)]
    rows_by_team = {
        name: TeamRow(tuple(f"{index * KEYS + key:064x}" for key in range(KEYS)))
        for index, name in enumerate(names)
    }
    limits = {
        f"{name}/{service}": LimitRow(
            weight=2.0, domains=("rajkot", "morbi"), preferred=("rajkot",)
        )
        for name in names
        for service in services
    }
    return Table(services, rows_by_team, limits)


def measure_milliseconds(operation: Callable[[], object]) -> float:
    """Return the median time of an operation, in ms."""
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        operation()
        times.append((time.perf_counter() - start) * MILLISECONDS_PER_SECOND)
    return statistics.median(times)


def measure_memory(data: bytes) -> int:
    """Return the memory that a parsed table takes, in bytes."""
    tracemalloc.start()
    table = parse_table(data)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return held_bytes


def make_edit(base: int, number: int, row: str) -> Edit:
    """Return an edit of one cell of a row."""
    change = CellChange(f"limits/{row}/running", 100, number + 1)
    return Edit(f"{row}-{number}", "bench", 0.0, base, (change,))


def measure_size(teams: int) -> SizeResult:
    """Measure a table with a number of teams."""
    table = make_table(teams)
    data = serialize_table(table)
    edit = make_edit(1, 1, "team-0000/model-0")
    changed = apply_edit(table, edit)
    return SizeResult(
        teams=teams,
        rows=len(table.limits_by_row),
        cells=len(get_cells(table)),
        size=len(data),
        csv_size=sum(len(text) for text in serialize_csv(table).values()),
        memory=measure_memory(data),
        parse=measure_milliseconds(lambda: parse_table(data)),
        check=measure_milliseconds(lambda: check_table(table)),
        serialize=measure_milliseconds(lambda: serialize_table(table)),
        diff=measure_milliseconds(lambda: diff_tables(table, changed)),
        edit=measure_milliseconds(lambda: apply_edit(table, edit)),
    )


def count_teams_that_fit() -> int:
    """Return the number of teams whose table fits into one value."""
    low, high = 1, 20000
    while high - low > 1:
        teams = (low + high) // 2
        if len(serialize_table(make_table(teams))) <= MAX_TABLE_BYTES:
            low = teams
        else:
            high = teams
    return low


async def run_with_platform(
    measure_milliseconds: Callable[
        [PlatformEmulator, HttpPlatformStore], Awaitable[object]
    ],
    delay: float = 0.0,
) -> object:
    """Run a measurement on a platform emulator over loopback; return its result."""
    emulator = PlatformEmulator(Faults(delay=delay))
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        server = emulator.make_server("bench")
        nursery.start_soon(trio.serve_listeners, server.serve_stream, listeners)
        client = HttpClient()
        result = await measure_milliseconds(
            emulator, HttpPlatformStore(client, f"127.0.0.1:{port}")
        )
        await client.close()
        nursery.cancel_scope.cancel()
    return result


async def measure_concurrent_edits(
    operators: int, emulator: PlatformEmulator, store: HttpPlatformStore
) -> ConcurrentEditResult:
    """Let each operator edit its own row, one edit after another."""
    table = make_table(TEAM_COUNTS[0])
    await store.put(TABLE_KEY, serialize_table(table), 0)
    calls_before = dict(emulator.store.core.calls_by_name)
    times: list[float] = []
    accepted = 0

    async def submit_edits(index: int) -> None:
        nonlocal accepted
        editor = TableEditor(store, timeout=60.0)
        row = f"team-{index:04}/model-0"
        for number in range(EDITS):
            start = trio.current_time()
            read = await editor.read()
            old = read.table.limits_by_row[row].running
            change = CellChange(f"limits/{row}/running", old, number + 1)
            edit = Edit(f"{row}-{number}", "bench", 0.0, read.version, (change,))
            result = await editor.submit(edit)
            accepted += isinstance(result, Accepted)
            times.append((trio.current_time() - start) * MILLISECONDS_PER_SECOND)

    async with trio.open_nursery() as nursery:
        for index in range(operators):
            nursery.start_soon(submit_edits, index)
    calls = emulator.store.core.calls_by_name
    edits = operators * EDITS
    return ConcurrentEditResult(
        operators=operators,
        accepted=accepted,
        writes_per_edit=(calls["put"] - calls_before["put"]) / edits,
        reads_per_edit=calls["get"] / edits,
        p50=statistics.median(times),
        longest=max(times),
    )


async def measure_single_value(
    emulator: PlatformEmulator, store: HttpPlatformStore
) -> LayoutResult:
    """Measure a layout with the table in one value."""
    data = serialize_table(make_table(TEAM_COUNTS[-1]))
    await store.put(TABLE_KEY, data, 0)
    start = time.perf_counter()
    load_table((await store.get(TABLE_KEY)).value)
    elapsed = (time.perf_counter() - start) * MILLISECONDS_PER_SECOND
    return LayoutResult("one value", 1, len(data), elapsed, 1, 1)


async def measure_key_per_row(
    emulator: PlatformEmulator, store: HttpPlatformStore
) -> LayoutResult:
    """Measure a layout with one key per row."""
    table = make_table(TEAM_COUNTS[-1])
    rows = {**table.services_by_name, **table.teams_by_name, **table.limits_by_row}
    for name, row in rows.items():
        await store.put(f"row/{name}", msgspec.json.encode(row), 0)
    start = time.perf_counter()
    read_bytes = 0
    for key in await store.list_keys("row/", len(rows)):
        read_bytes += len((await store.get(key)).value)
    elapsed = (time.perf_counter() - start) * MILLISECONDS_PER_SECOND
    return LayoutResult(
        "a key a row", 1 + len(rows), read_bytes, elapsed, 10, len(rows)
    )


async def measure_change_log(
    emulator: PlatformEmulator, store: HttpPlatformStore
) -> LayoutResult:
    """Measure a layout with a snapshot and one key per later change."""
    data = serialize_table(make_table(TEAM_COUNTS[-1]))
    await store.put("snapshot", data, 0)
    for number in range(LOG_CHANGES):
        edit = make_edit(1, number, f"team-{number % 100:04}/model-0")
        await store.put(f"log/{number:06}", msgspec.json.encode(edit), 0)
    start = time.perf_counter()
    table = load_table((await store.get("snapshot")).value)
    read_bytes = len(data)
    cells = get_cells(table)
    for number in range(LOG_CHANGES):
        value = (await store.get(f"log/{number:06}")).value
        for change in msgspec.json.decode(value, type=Edit).cells:
            cells[change.path] = change.new
        read_bytes += len(value)
    elapsed = (time.perf_counter() - start) * MILLISECONDS_PER_SECOND
    layout = f"a log of {LOG_CHANGES} changes"
    return LayoutResult(layout, 1 + LOG_CHANGES, read_bytes, elapsed, 1, 1)


def run_report() -> Report:
    """Run all measurements."""
    races = [
        trio.run(
            run_with_platform,
            functools.partial(measure_concurrent_edits, count),
            PLATFORM_DELAY_SECONDS,
        )
        for count in OPERATOR_COUNTS
    ]
    layouts = [
        trio.run(run_with_platform, measure_milliseconds)
        for measure_milliseconds in (
            measure_single_value,
            measure_key_per_row,
            measure_change_log,
        )
    ]
    return Report(
        sizes=tuple(measure_size(teams) for teams in TEAM_COUNTS),
        teams_that_fit=count_teams_that_fit(),
        races=tuple(races),
        ways=tuple(layouts),
    )


def main(*, json: bool = False) -> None:
    """Run all measurements and print the results.

    Parameters
    ----------
    json
        Print a JSON document.
    """
    report = run_report()
    printer = Printer(json)
    if not printer.print_if_json(report):
        printer.print_tree(msgspec.to_builtins(report))


if __name__ == "__main__":
    cyclopts.run(main)
