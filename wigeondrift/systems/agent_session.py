"""Protocol state of an entry's connection to its agent, without I/O."""

import math
import random
from collections.abc import Callable, Iterable

from wigeondrift.entities import Instance, LoadReport, Role
from wigeondrift.store.contract import InstanceList, VersionedValue
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.deaths import DeathLog
from wigeondrift.systems.leaving import LeaveMarks, Mark
from wigeondrift.systems.replica import OfferResult, Replica
from wigeondrift.table.tables import HeldSlice, Tables
from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import (
    Demand,
    DemandNews,
    Hello,
    InstancesNews,
    LeaveNews,
    LoadNews,
    Message,
    RowsNews,
    Slice,
    SliceNews,
    SuspectNews,
    TableNews,
    Want,
)

AGENT_TIMEOUT_SECONDS = 2.0
RECONNECT_SECONDS = 2.0
DIRECT_READ_SECONDS = 5.0
MAX_PENDING_REPORTS = 16
DEMAND_DECAY = 0.5
MAX_ROWS = 8192
IDLE_REPORT_SECONDS = 30.0
RESEND_SECONDS = 1.5

SuspectListener = Callable[[SuspectNews], None]


class DemandMeter:
    """Smoothed demand for one row.

    Attributes
    ----------
    reported_until : float
        Time until which the row is reported even without demand, in seconds.
    requests, tokens : float
        Smoothed rates per second.
    running : float
        Smoothed number of requests that are to run concurrently.
    """

    __slots__ = (
        "_new_requests",
        "_new_running",
        "_new_tokens",
        "reported_until",
        "requests",
        "running",
        "tokens",
    )

    def __init__(self) -> None:
        self.reported_until = 0.0
        self.requests = 0.0
        self.tokens = 0.0
        self.running = 0.0
        self._new_requests = 0.0
        self._new_tokens = 0.0
        self._new_running = 0

    def add(self, requests: float, tokens: float, running: int) -> None:
        """Add demand; ``running`` is the number of requests to run concurrently."""
        self._new_requests += requests
        self._new_tokens += tokens
        self._new_running = max(self._new_running, running)

    def close_interval(self, elapsed: float) -> None:
        """Close an interval of ``elapsed`` seconds.

        An increase takes effect immediately; a decrease is smoothed.
        """
        self.requests = _smooth(self.requests, self._new_requests / elapsed)
        self.tokens = _smooth(self.tokens, self._new_tokens / elapsed)
        self.running = _smooth(self.running, float(self._new_running))
        self._new_requests = 0.0
        self._new_tokens = 0.0
        self._new_running = 0

    @property
    def is_idle(self) -> bool:
        """Whether the smoothed demand is close to zero."""
        return self.requests < 0.01 and self.tokens < 0.01 and self.running < 0.01


def _smooth(old: float, new: float) -> float:
    return max(new, old * DEMAND_DECAY + new * (1.0 - DEMAND_DECAY))


class AgentSession:
    """State of an entry's connection to its agent.

    Updates the process's ``Tables``. While the agent does not respond, the last known
    state stays in effect, slices expire, and the platform is read directly at long,
    random intervals.

    Parameters
    ----------
    tables : Tables
        Tables of the process, updated in place.
    entry_id, address : str
        Name and ``host:port`` of the entry.
    incarnation : int
        Increases with each start of the entry.
    agent : str
        ``host:port`` of the agent.
    configured_instances : int
        Number of instances that share the limits while the agent is unreachable.
    rng : random.Random
        Source of jitter.
    direct_read : float
        Minimum time between two direct reads of the platform, in seconds.
    """

    __slots__ = (
        "_address",
        "_agent",
        "_configured_instances",
        "_direct_read",
        "_direct_read_at",
        "_incarnation",
        "_interval_started_at",
        "_resent_at",
        "_rng",
        "_sent_at_by_sequence",
        "_sequence",
        "agent_lost",
        "deaths",
        "entry_id",
        "heard_at",
        "marks",
        "meters_by_row",
        "replica",
        "stopping",
        "suspect_listeners",
        "tables",
    )

    def __init__(
        self,
        tables: Tables,
        entry_id: str,
        address: str,
        incarnation: int,
        agent: str,
        configured_instances: int,
        rng: random.Random,
        direct_read: float = DIRECT_READ_SECONDS,
    ) -> None:
        self.tables = tables
        self.entry_id = entry_id
        self.stopping = False
        self.agent_lost = False
        self.heard_at: float | None = None
        self.replica = Replica()
        self.marks = LeaveMarks()
        self.deaths = DeathLog()
        self.meters_by_row: dict[str, DemandMeter] = {}
        self.suspect_listeners: list[SuspectListener] = []
        self._address = address
        self._agent = agent
        self._incarnation = incarnation
        self._configured_instances = configured_instances
        self._rng = rng
        self._sequence = 0
        self._resent_at = -RESEND_SECONDS
        self._sent_at_by_sequence: dict[int, float] = {}
        self._interval_started_at: float | None = None
        self._direct_read = direct_read
        self._direct_read_at = 0.0
        tables.floor_parts = configured_instances

    @property
    def is_ready(self) -> bool:
        """Whether a table has been applied."""
        return self.replica.is_ready

    def add_demand(
        self, row: str, requests: float, tokens: float, running: int
    ) -> None:
        """Add demand for a row, including refused requests."""
        meter = self.meters_by_row.get(row)
        if meter is None:
            if len(self.meters_by_row) >= MAX_ROWS:
                return
            meter = self.meters_by_row[row] = DemandMeter()
        meter.add(requests, tokens, running)

    def tick(self, now: float) -> Actions:
        """Send the heartbeat and the demand report; check for a lost agent."""
        actions = Actions()
        if self.heard_at is None:
            self.heard_at = now
            self._direct_read_at = now + self._choose_direct_wait()
        if self.replica.apply_held_table(now):
            self._activate_table(actions)
        self.marks.expire(now)
        self.deaths.expire(now)
        self._drop_expired_slices(now)
        self._check_agent(now, actions)
        actions.send(self._agent, self._build_hello())
        self._resend_known(now, actions)
        self._report_demand(now, actions)
        return actions

    def receive(self, message: Message, now: float) -> Actions:
        """Handle a message from the agent or another process."""
        actions = Actions()
        match message:
            case TableNews():
                self._offer_table(message.version, message.table, now, actions)
            case InstancesNews():
                self._offer_instances(message.revision, message.instances, now)
            case LeaveNews():
                self._add_marks(message.leaving, now)
            case LoadNews():
                self._apply_loads(message.reports)
            case SliceNews():
                self._apply_slices(message, now, actions)
            case RowsNews():
                self._extend_reporting(message.rows, now)
            case SuspectNews():
                self._merge_suspects(message, now)
            case Want():
                self._handle_want(message, actions)
        return actions

    def report_leaving(self, instance_id: str, incarnation: int, now: float) -> Actions:
        """Report that an upstream refused a request because it is leaving."""
        actions = Actions()
        added = self._add_marks(((instance_id, incarnation),), now)
        if added:
            actions.send(self._agent, LeaveNews(added))
        return actions

    def report_suspects(self, news: SuspectNews, now: float) -> Actions:
        """Report deaths, cleared and quarantined fingerprints to other instances."""
        actions = Actions()
        added = self.deaths.merge(news, now)
        if added is not None:
            self.tables.quarantined.update(added.quarantined)
            actions.send(self._agent, added)
        return actions

    def is_direct_read_due(self, now: float) -> bool:
        """Return whether the platform is to be read without the agent.

        Schedules the next read when it returns true.
        """
        if not self.agent_lost and self.is_ready:
            return False
        if self.heard_at is None or now < self._direct_read_at:
            return False
        self._direct_read_at = now + self._choose_direct_wait()
        return True

    def apply_platform_read(
        self, stored: VersionedValue, listed: InstanceList, now: float
    ) -> Actions:
        """Apply the result of a direct read of the platform."""
        actions = Actions()
        self._offer_instances(listed.revision, listed.instances, now)
        if not self.is_ready:
            self._query_agents(now, actions)
        if stored.revision:
            self._offer_table(stored.revision, stored.value, now, actions)
        return actions

    def _query_agents(self, now: float, actions: Actions) -> None:
        """Query agents of other instances, as the read of the platform may be stale."""
        for instance in self.replica.instances:
            if instance.role is Role.AGENT:
                self.replica.startup.record_query(instance.address, now)
                actions.send(instance.address, Want(self._address, 0, 0))

    def _choose_direct_wait(self) -> float:
        return self._direct_read * self._rng.uniform(1.0, 2.0)

    def _resend_known(self, now: float, actions: Actions) -> None:
        """Resend leave marks and deaths, as the agent may have restarted."""
        if now - self._resent_at < RESEND_SECONDS:
            return
        self._resent_at = now
        marks = self.marks.list_marks()
        if marks:
            actions.send(self._agent, LeaveNews(marks))
        deaths = self.deaths.get_all()
        if deaths is not None:
            actions.send(self._agent, deaths)

    def _check_agent(self, now: float, actions: Actions) -> None:
        silent_seconds = now - self.heard_at
        if silent_seconds <= AGENT_TIMEOUT_SECONDS:
            return
        if not self.agent_lost:
            self.agent_lost = True
            self._direct_read_at = now + self._choose_direct_wait()
            actions.notify(Event.AGENT_LOST, self._agent)
        if int(silent_seconds / RECONNECT_SECONDS) > int(
            (silent_seconds - 1.0) / RECONNECT_SECONDS
        ):
            actions.resets.append(self._agent)

    def _build_hello(self) -> Hello:
        return Hello(
            self.entry_id,
            self._incarnation,
            self._address,
            self.replica.table_version,
            self.stopping,
            self.replica.instances_revision,
            self.marks.digest ^ self.deaths.get_digest(),
        )

    def _report_demand(self, now: float, actions: Actions) -> None:
        elapsed = (
            now - self._interval_started_at
            if self._interval_started_at is not None
            else 0.0
        )
        self._interval_started_at = now
        if elapsed <= 0.0:
            return
        demands = []
        for row, meter in list(self.meters_by_row.items()):
            meter.close_interval(elapsed)
            if meter.is_idle and meter.reported_until <= now:
                del self.meters_by_row[row]
            else:
                demands.append(self._build_demand(row, meter, now))
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        self._sent_at_by_sequence.pop(self._sequence - MAX_PENDING_REPORTS, None)
        actions.send(
            self._agent,
            DemandNews(
                self.entry_id,
                self._incarnation,
                self._sequence,
                tuple(demands),
                address=self._address,
            ),
        )

    def _build_demand(self, row: str, meter: DemandMeter, now: float) -> Demand:
        held = self.tables.slices_by_row.get(row)
        sequence = held.sequence if held is not None and held.ends_at > now else 0
        running = math.ceil(meter.running - 0.01)
        if meter.is_idle:
            return Demand(row, 0.0, 0.0, 0, sequence)
        return Demand(row, meter.requests, meter.tokens, running, sequence)

    def _offer_table(
        self, version: int, data: bytes, now: float, actions: Actions
    ) -> None:
        result = self.replica.offer_table(version, data, now)
        if result is OfferResult.APPLIED:
            self._activate_table(actions)
        elif result is OfferResult.REFUSED:
            actions.notify(
                Event.TABLE_REFUSED, self.entry_id, version, self.replica.refusal
            )

    def _activate_table(self, actions: Actions) -> None:
        self.tables.table = self.replica.table
        self.tables.table_version = self.replica.table_version
        version = self.replica.table_version
        actions.notify(Event.TABLE_APPLIED, self.entry_id, version)

    def _offer_instances(
        self, revision: int, instances: tuple[Instance, ...], now: float
    ) -> None:
        if self.replica.offer_instances(revision, instances):
            self.marks.apply_instance_list(self.replica.instances, now)
            self._refresh_instances()

    def _add_marks(self, marks: Iterable[Mark], now: float) -> tuple[Mark, ...]:
        added = self.marks.add(marks, now)
        if added:
            self._refresh_instances()
        return added

    def _refresh_instances(self) -> None:
        instances = self.marks.apply(self.replica.instances)
        tables = self.tables
        tables.instances_by_id = {i.instance_id: i for i in instances}
        tables.instances_revision = self.replica.instances_revision
        for instance_id in list(tables.loads_by_id):
            if instance_id not in tables.instances_by_id:
                del tables.loads_by_id[instance_id]

    def _apply_loads(self, reports: tuple[LoadReport, ...]) -> None:
        for report in reports:
            if report.instance_id in self.tables.instances_by_id:
                self.tables.loads_by_id[report.instance_id] = report

    def _apply_slices(self, news: SliceNews, now: float, actions: Actions) -> None:
        self.heard_at = now
        if self.agent_lost:
            self.agent_lost = False
            actions.notify(Event.AGENT_BACK, self._agent)
        self.tables.entries = news.entries
        self.tables.floor_parts = self._configured_instances * news.processes
        sent_at = self._sent_at_by_sequence.get(news.sequence)
        if sent_at is None:
            return
        for granted in news.slices:
            self._store_slice(granted, news.sequence, sent_at + granted.seconds)

    def _store_slice(self, granted: Slice, sequence: int, ends_at: float) -> None:
        slices_by_row = self.tables.slices_by_row
        held = slices_by_row.get(granted.row)
        if held is None or held.sequence < sequence:
            slices_by_row[granted.row] = HeldSlice(granted, ends_at, sequence)
        meter = self.meters_by_row.get(granted.row)
        if meter is not None:
            meter.reported_until = ends_at + IDLE_REPORT_SECONDS

    def _extend_reporting(self, rows: Iterable[str], now: float) -> None:
        for row in rows:
            self.add_demand(row, 0.0, 0.0, 0)
            if row in self.meters_by_row:
                self.meters_by_row[row].reported_until = now + IDLE_REPORT_SECONDS

    def _drop_expired_slices(self, now: float) -> None:
        slices_by_row = self.tables.slices_by_row
        for row, held in list(slices_by_row.items()):
            if held.ends_at + held.granted.seconds <= now:
                del slices_by_row[row]

    def _merge_suspects(self, news: SuspectNews, now: float) -> None:
        added = self.deaths.merge(news, now)
        if added is None:
            return
        self.tables.quarantined.update(added.quarantined)
        for listener in self.suspect_listeners:
            listener(added)

    def _handle_want(self, want: Want, actions: Actions) -> None:
        replica = self.replica
        if replica.table_version > want.table_version:
            news = TableNews(replica.table_version, replica.data)
            actions.send(want.address, news)
        if replica.instances_revision > want.instances_revision:
            instances = self.marks.apply(replica.instances)
            news = InstancesNews(replica.instances_revision, instances)
            actions.send(want.address, news)
