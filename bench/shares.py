"""Weighs ways to share a limit out among entries, in virtual time.

Slices from soft owners run the real control systems over a message list. Equal split
and all-to-all exchange are written out here. Demand is uneven, and swings to other
entries; each way is scored on what it lets through against what the limit allows.
"""

import json
import random
import statistics

import cyclopts

from wigeondrift.entities import Instance, Role
from wigeondrift.store.core import StoreCore
from wigeondrift.systems.agent_session import AgentSession
from wigeondrift.systems.control import AgentControl
from wigeondrift.systems.shares import (
    REPORT_INTERVAL_SECONDS,
    choose_report_interval,
    divide_budget,
    get_limit,
)
from wigeondrift.table.rows import (
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    serialize_table,
)
from wigeondrift.table.tables import Tables
from wigeondrift.wire.messages import Demand, DemandNews, serialize_message
from wigeondrift_emulator.network import FRAME_BYTES, Process, VirtualNetwork

DOMAINS = ("rajkot", "morbi", "jamnagar")
LIMIT_PER_ENTRY = 100.0
OVERLOAD_FACTOR = 2.0
HOT_ENTRY_FRACTION = 0.25
HOT_DEMAND_FRACTION = 0.8
ADAPTED_FRACTION = 0.9


def make_row_names(count: int) -> list[str]:
    """Return the names of some rows."""
    return [f"team-{index}/kokil-lm" for index in range(count)]


def make_demands(nodes: int, turn: int) -> list[float]:
    """Return the demand of each entry: a hot part of them has most of it."""
    hot = max(1, int(nodes * HOT_ENTRY_FRACTION))
    whole = nodes * LIMIT_PER_ENTRY * OVERLOAD_FACTOR
    demands = [whole * (1 - HOT_DEMAND_FRACTION) / (nodes - hot)] * nodes
    first = turn * hot % nodes
    for offset in range(hot):
        demands[(first + offset) % nodes] = whole * HOT_DEMAND_FRACTION / hot
    return demands


class EqualSplit:
    """Each entry has the same part; nothing is exchanged."""

    def __init__(self, nodes: int, rows: int) -> None:
        self.nodes = nodes
        self.rows = rows

    def step(self, demands: list[float]) -> list[float]:
        """Return the parts after one report interval."""
        return [LIMIT_PER_ENTRY] * self.nodes

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes that one node sends, per second."""
        return 0.0

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes of the busiest node, both directions, per second."""
        return 0.0


class AllToAll:
    """Each entry tells its demand to all others and divides by the last heard."""

    def __init__(self, nodes: int, rows: int) -> None:
        self.nodes = nodes
        self.rows = rows
        self.demand_by_node = dict.fromkeys(map(str, range(nodes)), 0.0)

    def step(self, demands: list[float]) -> list[float]:
        """Return the parts after one report interval."""
        parts = divide_budget(
            self.nodes * LIMIT_PER_ENTRY, self.demand_by_node, False, 0
        )
        self.demand_by_node = {str(i): demand for i, demand in enumerate(demands)}
        return [parts[str(i)] for i in range(self.nodes)]

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes that one node sends, per second."""
        demands = tuple(Demand(row, 100.0, 1e4, 5) for row in make_row_names(self.rows))
        news = DemandNews("i-100/entry-0", 1_700_000_000_000, 100, demands)
        size = len(serialize_message(news)) + FRAME_BYTES
        return size * (self.nodes - 1) / REPORT_INTERVAL_SECONDS

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes of the busiest node, both directions, per second."""
        return 2 * self.get_sent_bytes_per_second()


class SoftOwners:
    """The product's own systems on a message list."""

    def __init__(self, nodes: int, rows: int) -> None:
        self.nodes = nodes
        self.rows = make_row_names(rows)
        self.core = StoreCore()
        self.network = VirtualNetwork(self.core, random.Random(5))
        self.entries: list[Process] = []
        self._build()
        self._sent = 0
        self._counting_since = 0.0

    def _build(self) -> None:
        limit = LimitRow(requests=self.nodes * LIMIT_PER_ENTRY)
        teams = [row.partition("/")[0] for row in self.rows]
        table = Table(
            services_by_name={"kokil-lm": ServiceRow(ServiceKind.PLAIN)},
            teams_by_name=dict.fromkeys(teams, TeamRow()),
            limits_by_row=dict.fromkeys(self.rows, limit),
        )
        self.core.put(0.0, TABLE_KEY, serialize_table(table), 0)
        agents = [f"10.0.{i // 250}.{i % 250}:1" for i in range(self.nodes)]
        domains = [DOMAINS[i % len(DOMAINS)] for i in range(self.nodes)]
        self.core.set_instances(
            0.0,
            tuple(
                Instance(f"i-{i}", 1, Role.AGENT, agents[i], domains[i])
                for i in range(self.nodes)
            ),
        )
        for i in range(self.nodes):
            rng = random.Random(i)
            control = AgentControl(
                f"i-{i}", domains[i], agents[i], 1, (), rng, self.nodes
            )
            phase = rng.uniform(0.0, REPORT_INTERVAL_SECONDS)
            self.network.add(
                Process(f"i-{i}", agents[i], domains[i], control, 0.0, phase)
            )
            self._add_entry(i, agents[i], domains[i], rng)

    def _add_entry(self, i: int, agent: str, domain: str, rng: random.Random) -> None:
        name = f"i-{i}/entry-0"
        address = agent.replace(":1", ":2")
        tables = Tables()
        agent_session = AgentSession(tables, name, address, 1, agent, self.nodes, rng)
        phase = rng.uniform(0.0, REPORT_INTERVAL_SECONDS)
        process = Process(name, address, domain, agent_session, 0.0, phase)
        self.network.add(process)
        self.entries.append(process)

    def step(self, demands: list[float]) -> list[float]:
        """Return the parts after one report interval."""
        for process, demand in zip(self.entries, demands, strict=True):
            for row in self.rows:
                process.state_machine.add_demand(
                    row, demand * REPORT_INTERVAL_SECONDS, 0.0, 0
                )
        self.network.advance(REPORT_INTERVAL_SECONDS)
        now = self.network.now
        return [
            get_limit(process.state_machine.tables, self.rows[0], now).requests
            for process in self.entries
        ]

    def reset_bytes(self) -> None:
        """Count bytes from now on."""
        self.network.sent_bytes_by_type.clear()
        self.network.sent_bytes_by_address.clear()
        self.network.received_bytes_by_address.clear()
        self._counting_since = self.network.now

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes of shares that one node sends, per second."""
        by_type = self.network.sent_bytes_by_type
        kinds = ("DemandNews", "SliceNews", "RowsNews")
        shares = sum(by_type.get(kind, 0) for kind in kinds)
        return shares / self.nodes / (self.network.now - self._counting_since)

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes of all control of the busiest node, both directions."""
        sent = self.network.sent_bytes_by_address
        received = self.network.received_bytes_by_address
        most = max(sent[address] + received.get(address, 0) for address in sent)
        return most / (self.network.now - self._counting_since)


def measure_strategy(way, nodes: int, steady: int, swings: int) -> dict[str, float]:
    """Run one way over some swings and return its scores."""
    limit = nodes * LIMIT_PER_ENTRY
    errors, excesses, times = [], [0.0], []
    for turn in range(swings + 1):
        demands = make_demands(nodes, turn)
        adapted_at = None
        if turn and hasattr(way, "reset_bytes"):
            way.reset_bytes()
        for step in range(steady):
            parts = way.step(demands)
            through = sum(map(min, parts, demands))
            excesses.append((sum(parts) - limit) / limit)
            if through < ADAPTED_FRACTION * limit:
                adapted_at = None
            elif adapted_at is None:
                adapted_at = (step + 1) * REPORT_INTERVAL_SECONDS
            if turn and step >= steady * 3 // 4:
                errors.append(abs(through - limit) / limit)
        if turn:
            times.append(adapted_at)
    return {
        "error_percent": round(100 * statistics.fmean(errors), 2),
        "excess_percent": round(100 * max(excesses), 2),
        "adapt_seconds": None if None in times else max(times),
        "sent_bytes_per_second": round(way.get_sent_bytes_per_second()),
        "most_bytes_per_second": round(way.get_peak_bytes_per_second()),
    }


app = cyclopts.App(help=__doc__.partition("\n")[0])


@app.default
def run(*, nodes: int = 8, rows: int = 20, swings: int = 3) -> None:
    """Print the scores of the ways as JSON.

    Parameters
    ----------
    nodes
        Instances, each with one entry.
    rows
        Rows of the table with demand at every entry.
    swings
        Swings of demand.
    """
    wait = choose_report_interval(nodes, rows)
    steady = int(32 * wait / REPORT_INTERVAL_SECONDS)
    for way in (EqualSplit, AllToAll, SoftOwners):
        scores = measure_strategy(way(nodes, rows), nodes, steady, swings)
        print(json.dumps({"way": way.__name__, "nodes": nodes, "rows": rows, **scores}))


if __name__ == "__main__":
    app()
