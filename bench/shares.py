"""Compares strategies to divide a limit among entries, in virtual time.

``SoftOwners`` runs the real control logic over a simulated network; the equal split and
the all-to-all exchange are implemented here. Demand is uneven and moves to other
entries. The results of a strategy compare the admitted demand with the limit.
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
    """Return the names of ``count`` rows."""
    return [f"team-{index}/kokil-lm" for index in range(count)]


def make_demands(nodes: int, swing: int) -> list[float]:
    """Return the demand of each entry, most of it at a few hot entries.

    The hot entries change with each swing.
    """
    hot_entries = max(1, int(nodes * HOT_ENTRY_FRACTION))
    total = nodes * LIMIT_PER_ENTRY * OVERLOAD_FACTOR
    demands = [total * (1 - HOT_DEMAND_FRACTION) / (nodes - hot_entries)] * nodes
    first = swing * hot_entries % nodes
    for offset in range(hot_entries):
        demands[(first + offset) % nodes] = total * HOT_DEMAND_FRACTION / hot_entries
    return demands


class EqualSplit:
    """Each entry has an equal share; no messages are exchanged."""

    def __init__(self, nodes: int, rows: int) -> None:
        self.nodes = nodes
        self.rows = rows

    def step(self, demands: list[float]) -> list[float]:
        """Return the shares of the entries after one report interval."""
        return [LIMIT_PER_ENTRY] * self.nodes

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes per second that one node sends."""
        return 0.0

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes per second of the busiest node in both directions."""
        return 0.0


class AllToAll:
    """Each entry sends its demand to all others.

    The limit is divided by the demands that were last received.
    """

    def __init__(self, nodes: int, rows: int) -> None:
        self.nodes = nodes
        self.rows = rows
        self.demand_by_node = dict.fromkeys(map(str, range(nodes)), 0.0)

    def step(self, demands: list[float]) -> list[float]:
        """Return the shares of the entries after one report interval."""
        shares = divide_budget(
            self.nodes * LIMIT_PER_ENTRY, self.demand_by_node, False, 0
        )
        self.demand_by_node = {str(i): demand for i, demand in enumerate(demands)}
        return [shares[str(i)] for i in range(self.nodes)]

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes per second that one node sends."""
        demands = tuple(Demand(row, 100.0, 1e4, 5) for row in make_row_names(self.rows))
        news = DemandNews("i-100/entry-0", 1_700_000_000_000, 100, demands)
        size = len(serialize_message(news)) + FRAME_BYTES
        return size * (self.nodes - 1) / REPORT_INTERVAL_SECONDS

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes per second of the busiest node in both directions."""
        return 2 * self.get_sent_bytes_per_second()


class SoftOwners:
    """The control logic of the agents and entries on a simulated network."""

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
        """Return the shares of the entries after one report interval."""
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
        """Restart the byte counters at the current time."""
        self.network.sent_bytes_by_type.clear()
        self.network.sent_bytes_by_address.clear()
        self.network.received_bytes_by_address.clear()
        self._counting_since = self.network.now

    def get_sent_bytes_per_second(self) -> float:
        """Return the bytes per second of share messages that one node sends."""
        by_type = self.network.sent_bytes_by_type
        kinds = ("DemandNews", "SliceNews", "RowsNews")
        sent = sum(by_type.get(kind, 0) for kind in kinds)
        return sent / self.nodes / (self.network.now - self._counting_since)

    def get_peak_bytes_per_second(self) -> float:
        """Return the bytes per second of the busiest node in both directions.

        All control messages count.
        """
        sent = self.network.sent_bytes_by_address
        received = self.network.received_bytes_by_address
        peak = max(sent[address] + received.get(address, 0) for address in sent)
        return peak / (self.network.now - self._counting_since)


def measure_strategy(
    strategy, nodes: int, steps_per_swing: int, swings: int
) -> dict[str, float]:
    """Run one strategy over some swings of demand and return its results."""
    limit = nodes * LIMIT_PER_ENTRY
    errors, excesses, adaptation_times = [], [0.0], []
    for swing in range(swings + 1):
        demands = make_demands(nodes, swing)
        adapted_at = None
        if swing and hasattr(strategy, "reset_bytes"):
            strategy.reset_bytes()
        for step in range(steps_per_swing):
            shares = strategy.step(demands)
            admitted = sum(map(min, shares, demands))
            excesses.append((sum(shares) - limit) / limit)
            if admitted < ADAPTED_FRACTION * limit:
                adapted_at = None
            elif adapted_at is None:
                adapted_at = (step + 1) * REPORT_INTERVAL_SECONDS
            if swing and step >= steps_per_swing * 3 // 4:
                errors.append(abs(admitted - limit) / limit)
        if swing:
            adaptation_times.append(adapted_at)
    return {
        "error_percent": round(100 * statistics.fmean(errors), 2),
        "excess_percent": round(100 * max(excesses), 2),
        "adapt_seconds": None if None in adaptation_times else max(adaptation_times),
        "sent_bytes_per_second": round(strategy.get_sent_bytes_per_second()),
        "most_bytes_per_second": round(strategy.get_peak_bytes_per_second()),
    }


app = cyclopts.App(help=__doc__.partition("\n")[0])


@app.default
def run(*, nodes: int = 8, rows: int = 20, swings: int = 3) -> None:
    """Print the results of the strategies as JSON lines.

    Parameters
    ----------
    nodes
        Number of instances, each with one entry.
    rows
        Number of table rows with demand at every entry.
    swings
        Number of times that demand moves to other entries.
    """
    report_interval = choose_report_interval(nodes, rows)
    steps_per_swing = int(32 * report_interval / REPORT_INTERVAL_SECONDS)
    for strategy in (EqualSplit, AllToAll, SoftOwners):
        results = measure_strategy(
            strategy(nodes, rows), nodes, steps_per_swing, swings
        )
        print(
            json.dumps(
                {"way": strategy.__name__, "nodes": nodes, "rows": rows, **results}
            )
        )


if __name__ == "__main__":
    app()
