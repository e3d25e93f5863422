"""Distribution of team limits among entry processes.

Each row of the table has an owner: the agent that rendezvous hashing selects among
the reachable ones, without consensus. Entries report their demand to the owner, which
grants them slices of the limit that expire. The grants that may still be in force and
the floors of instances that send no reports never add up to more than the limit.
During a network partition a second owner on the other side counts in the same way, so
the limit is not multiplied.

The validity of a slice starts when its holder sent the report that the slice answers.
Clocks therefore need not agree, and a late reply is valid for a shorter time. After a
slice expires, its holder uses the lower of slice and floor for the same time again,
because the owner may have granted the rest to other entries.
"""

import math
from collections.abc import Iterable

import msgspec
import xxhash

from wigeondrift.table.rows import LimitRow, Table
from wigeondrift.table.tables import Tables
from wigeondrift.wire.messages import Demand, DemandNews, Slice, SliceNews

REPORT_INTERVAL_SECONDS = 0.5
VALIDITY_REPORTS = 6
IN_SYNC_REPORTS = 4
EXPIRY_REPORTS = 18
SMALL_FLEET_AGENTS = 8
SMALL_REPORT_ROWS = 24
MIN_SHARE = 0.1
ROTATION_SECONDS = 5.0
MAX_GRANTS_PER_HOLDER = 16
MAX_ROWS = 8192


class Limit(msgspec.Struct, frozen=True, array_like=True):
    """Amounts that one process may use.

    Attributes
    ----------
    requests, tokens : float
        Rates per second.
    running : int
        Concurrent requests.
    """

    requests: float = 0.0
    tokens: float = 0.0
    running: int = 0


def compute_floor(row: LimitRow, parts: int) -> Limit:
    """Return the part of a limit that a process may use without a grant.

    It allows at least one concurrent request, so that a limit lower than ``parts``
    does not refuse every request of the team.
    """
    running = max(1, row.running // parts) if row.running else 0
    return Limit(row.requests / parts, row.tokens / parts, running)


def get_limit(tables: Tables, row: str, now: float) -> Limit:
    """Return the current limit of the process for ``row``.

    Parameters
    ----------
    tables : Tables
    row : str
        ``team/service``.
    now : float
        Time of the process's clock, in seconds.
    """
    full_limit = tables.table.limits_by_row.get(row)
    if full_limit is None:
        return Limit()
    floor = compute_floor(full_limit, tables.floor_parts)
    held = tables.slices_by_row.get(row)
    if held is None or held.ends_at + held.granted.seconds <= now:
        return floor
    granted = held.granted
    ceiling = floor if held.ends_at <= now else full_limit
    return Limit(
        min(granted.requests, ceiling.requests),
        min(granted.tokens, ceiling.tokens),
        min(granted.running, ceiling.running),
    )


def choose_owner(row: str, owners: Iterable[str]) -> str:
    """Return the owner of ``row`` by rendezvous hashing."""
    return max(
        owners, key=lambda owner: xxhash.xxh3_64_intdigest(f"{owner}/{row}".encode())
    )


def choose_report_interval(agents: int, rows: int) -> float:
    """Return the interval between reports in seconds.

    It grows with the size of the fleet and the number of rows.

    Parameters
    ----------
    agents : int
        Reachable agents.
    rows : int
        Rows in one report.
    """
    fleet = max(1.0, agents / SMALL_FLEET_AGENTS)
    return REPORT_INTERVAL_SECONDS * fleet * max(1.0, rows / SMALL_REPORT_ROWS)


class Grant:
    """Slice that may be in force at its holder.

    Attributes
    ----------
    sequence : int
        Sequence number of the report that it answered.
    amount : tuple of float
        Requests, tokens, running.
    made_at, ends_at : float
        Time of the grant, and latest time at which it may be in force, in seconds.
    """

    __slots__ = ("amount", "ends_at", "made_at", "sequence")

    def __init__(
        self,
        sequence: int,
        amount: tuple[float, ...],
        made_at: float,
        ends_at: float,
    ) -> None:
        self.sequence = sequence
        self.amount = amount
        self.made_at = made_at
        self.ends_at = ends_at


class Holder:
    """Entry process that reports its demand for one row.

    Attributes
    ----------
    instance_id : str
    processes : int
        Entry processes on its instance; zero if the instance reports that it has
        none.
    interval : float
        Time between two of its reports, in seconds.
    first_report_at, last_report_at : float
        Times of its first and last report, in seconds.
    in_sync_until : float
        Time until which the owner assumes that it uses only its slices, in seconds.
    demand : tuple of float
        Requests, tokens, running.
    grants : list of Grant
    """

    __slots__ = (
        "demand",
        "first_report_at",
        "grants",
        "in_sync_until",
        "incarnation",
        "instance_id",
        "interval",
        "last_report_at",
        "processes",
        "sequence",
    )

    def __init__(self, report: DemandNews, now: float) -> None:
        self.instance_id = report.instance_id
        self.processes = report.processes
        self.incarnation = report.incarnation
        self.interval = report.interval
        self.sequence = 0
        self.first_report_at = now
        self.last_report_at = now
        self.in_sync_until = now
        self.demand = (0.0, 0.0, 0.0)
        self.grants: list[Grant] = []

    def record_report(self, report: DemandNews, demand: Demand, now: float) -> None:
        """Record a report and drop the grants older than the one in force."""
        self.processes = report.processes
        self.interval = report.interval
        self.sequence = report.sequence
        self.last_report_at = now
        self.demand = (demand.requests, demand.tokens, float(demand.running))
        if not report.processes:
            self.in_sync_until = now + IN_SYNC_REPORTS * self.interval
        for grant in self.grants:
            if grant.sequence == demand.held:
                self.in_sync_until = grant.made_at + IN_SYNC_REPORTS * self.interval
        self.grants = [
            grant
            for grant in self.grants
            if grant.sequence >= demand.held and grant.ends_at > now
        ]

    def get_outstanding(self, now: float) -> tuple[float, float, float]:
        """Return the largest amounts that unexpired grants allow."""
        amounts = [grant.amount for grant in self.grants if grant.ends_at > now]
        if not amounts:
            return (0.0, 0.0, 0.0)
        return tuple(map(max, zip(*amounts, strict=True)))


class ShareOwner:
    """Grants slices of the rows that the agent owns.

    Parameters
    ----------
    instance_id : str
        Instance of the agent.
    configured_instances : int
        Number of instances from which the floors are computed.
    """

    __slots__ = (
        "_configured_instances",
        "_holders_by_source_by_row",
        "_instance_id",
    )

    def __init__(self, instance_id: str, configured_instances: int) -> None:
        self._instance_id = instance_id
        self._configured_instances = configured_instances
        self._holders_by_source_by_row: dict[str, dict[str, Holder]] = {}

    def handle_report(
        self,
        report: DemandNews,
        table: Table,
        expected_ids: frozenset[str],
        now: float,
    ) -> SliceNews:
        """Process a report and return the slices granted in reply.

        Parameters
        ----------
        report : DemandNews
        table : Table
            Table in force at the owner.
        expected_ids : frozenset of str
            Instances that may use their floors, whether or not they report.
        now : float
            Time in seconds.
        """
        slices = []
        for demand in report.demands:
            granted = self._handle_demand(report, demand, table, expected_ids, now)
            if granted is not None:
                slices.append(granted)
        return SliceNews(
            self._instance_id, report.sequence, tuple(slices), holder=report.source
        )

    def _handle_demand(
        self,
        report: DemandNews,
        demand: Demand,
        table: Table,
        expected_ids: frozenset[str],
        now: float,
    ) -> Slice | None:
        full_limit = table.limits_by_row.get(demand.row)
        holders = self._get_holders(demand.row)
        if full_limit is None or holders is None:
            return None
        holder = self._record_report(holders, report, demand, now)
        validity = report.interval * VALIDITY_REPORTS
        if holder is None or not holder.processes:
            return None
        if now - holder.first_report_at < validity:
            return None
        amount = self._grant(full_limit, holders, report.source, expected_ids, now)
        grant = Grant(report.sequence, amount, now, now + validity)
        holder.grants.append(grant)
        del holder.grants[:-MAX_GRANTS_PER_HOLDER]
        requests, tokens, running = amount
        return Slice(demand.row, requests, tokens, int(running), validity)

    def list_missing_reports(
        self, expected_ids: frozenset[str], now: float
    ) -> dict[str, list[str]]:
        """Return the rows that lack a recent report, by expected instance."""
        rows_by_id: dict[str, list[str]] = {}
        for row, holders in self._holders_by_source_by_row.items():
            reporting = {
                holder.instance_id
                for holder in holders.values()
                if holder.last_report_at + IN_SYNC_REPORTS * holder.interval > now
            }
            for instance_id in expected_ids - reporting:
                rows_by_id.setdefault(instance_id, []).append(row)
        return rows_by_id

    def list_holders_by_row(self) -> dict[str, list[str]]:
        """Return the entries that hold slices of this owner, by row."""
        return {
            row: list(holders)
            for row, holders in self._holders_by_source_by_row.items()
        }

    def expire_holders(self, now: float) -> None:
        """Drop holders that stopped reporting and rows without demand."""
        for row, holders in list(self._holders_by_source_by_row.items()):
            for source, holder in list(holders.items()):
                if holder.last_report_at + EXPIRY_REPORTS * holder.interval < now:
                    del holders[source]
            if not any(any(holder.demand) for holder in holders.values()):
                del self._holders_by_source_by_row[row]

    def _get_holders(self, row: str) -> dict[str, Holder] | None:
        holders = self._holders_by_source_by_row.get(row)
        if holders is None and len(self._holders_by_source_by_row) < MAX_ROWS:
            holders = self._holders_by_source_by_row[row] = {}
        return holders

    def _record_report(
        self,
        holders: dict[str, Holder],
        report: DemandNews,
        demand: Demand,
        now: float,
    ) -> Holder | None:
        holder = holders.get(report.source)
        if holder is not None and holder.incarnation < report.incarnation:
            holder.first_report_at = now
            holder.incarnation = report.incarnation
            holder.sequence = 0
        if holder is None:
            holder = holders[report.source] = Holder(report, now)
        if (report.incarnation, report.sequence) <= (
            holder.incarnation,
            holder.sequence,
        ):
            return None
        holder.record_report(report, demand, now)
        return holder

    def _grant(
        self,
        full_limit: LimitRow,
        holders: dict[str, Holder],
        source: str,
        expected_ids: frozenset[str],
        now: float,
    ) -> tuple[float, ...]:
        limits = (full_limit.requests, full_limit.tokens, float(full_limit.running))
        floors = self._list_floors(limits)
        unreported = self._count_unreported_instances(holders, expected_ids)
        rotation = int(now / ROTATION_SECONDS)
        held_by_source = {
            name: holder.get_outstanding(now) for name, holder in holders.items()
        }
        amounts = []
        for index, limit in enumerate(limits):
            committed = unreported * floors[index]
            budget = limit - committed
            demands = {}
            for name, holder in holders.items():
                held = held_by_source[name][index]
                if name == source or holder.in_sync_until > now:
                    if holder.processes:
                        demands[name] = holder.demand[index]
                else:
                    held = max(held, floors[index] / max(1, holder.processes))
                    budget -= held
                if name != source:
                    committed += held
            is_count = index == len(limits) - 1
            target = divide_budget(max(0.0, budget), demands, is_count, rotation)[
                source
            ]
            amount = max(0.0, min(target, limit - committed))
            amounts.append(float(math.floor(amount + 1e-6)) if is_count else amount)
        return tuple(amounts)

    def _list_floors(self, limits: tuple[float, ...]) -> tuple[float, ...]:
        """Return what an unreachable instance may use, without rounding counts down.

        A remainder left by rounding would be granted on each side of a partition.
        """
        requests, tokens, running = (
            limit / self._configured_instances for limit in limits
        )
        return requests, tokens, max(running, 1.0 if limits[2] else 0.0)

    def _count_unreported_instances(
        self, holders: dict[str, Holder], expected_ids: frozenset[str]
    ) -> float:
        parts_by_id: dict[str, float] = {}
        for holder in holders.values():
            part = 1.0 / max(1, holder.processes)
            part += parts_by_id.get(holder.instance_id, 0.0)
            parts_by_id[holder.instance_id] = min(1.0, part)
        if not expected_ids:
            return max(0.0, self._configured_instances - sum(parts_by_id.values()))
        return sum(1.0 - parts_by_id.get(name, 0.0) for name in expected_ids)


def divide_budget(
    budget: float, demands: dict[str, float], is_integer: bool, rotation: int
) -> dict[str, float]:
    """Divide ``budget`` among holders by demand.

    If the total demand fits, it is met and the rest is divided equally, so that a
    holder can grow before its next report. Otherwise the budget is divided in
    proportion to demand. A holder without demand gets a small part.

    Parameters
    ----------
    budget : float
    demands : dict of str to float
        Demand by holder.
    is_integer : bool
        Whether parts are whole numbers.
    rotation : int
        Changes periodically; rotates which holders get the remaining units.

    Returns
    -------
    dict of str to float
        Parts by holder, in total at most ``budget``.
    """
    min_part = MIN_SHARE * budget / len(demands)
    adjusted_demands = {name: max(demand, min_part) for name, demand in demands.items()}
    total = sum(adjusted_demands.values())
    if total <= 0.0:
        return dict.fromkeys(demands, 0.0)
    if total <= budget:
        spare = (budget - total) / len(adjusted_demands)
        parts = {name: value + spare for name, value in adjusted_demands.items()}
    else:
        parts = {
            name: value * budget / total for name, value in adjusted_demands.items()
        }
    return _round_parts(parts, budget, rotation) if is_integer else parts


def _round_parts(
    parts: dict[str, float], budget: float, rotation: int
) -> dict[str, float]:
    rounded = {name: float(math.floor(part)) for name, part in parts.items()}
    left = round(math.floor(budget + 1e-6) - sum(rounded.values()))

    def rank(name: str) -> tuple[float, int]:
        tie_break = xxhash.xxh3_64_intdigest(f"{name}/{rotation}".encode())
        return (round(rounded[name] - parts[name], 3), tie_break)

    for name in sorted(parts, key=rank)[: max(0, left)]:
        rounded[name] += 1.0
    return rounded
