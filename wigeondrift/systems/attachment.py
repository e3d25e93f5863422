"""Decisions of an entry about its agent: what it reports and what it applies."""

import math
import random
from collections.abc import Callable, Iterable

from wigeondrift.entities import Instance, LoadReport, Role
from wigeondrift.store.contract import InstanceList, VersionedValue
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.deaths import DeathLog
from wigeondrift.systems.leaving import LeaveMarks, Mark
from wigeondrift.systems.replica import Replica, Verdict
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
RESET_SECONDS = 2.0
DIRECT_READ_SECONDS = 5.0
REPORTS = 16
DEMAND_DECAY = 0.5
ROWS = 8192
WANTED_SECONDS = 30.0
TELL_SECONDS = 1.5

SuspectListener = Callable[[SuspectNews], None]


class DemandMeter:
    """Smoothed demand of one row.

    Attributes
    ----------
    wanted_until : float
        Time until which it is reported even without demand, in seconds.
    requests, tokens : float
        Smoothed rates per second.
    running : float
        Smoothed number wanted at once.
    """

    __slots__ = (
        "_new_requests",
        "_new_running",
        "_new_tokens",
        "requests",
        "running",
        "tokens",
        "wanted_until",
    )

    def __init__(self) -> None:
        self.wanted_until = 0.0
        self.requests = 0.0
        self.tokens = 0.0
        self.running = 0.0
        self._new_requests = 0.0
        self._new_tokens = 0.0
        self._new_running = 0

    def add(self, requests: float, tokens: float, running: int) -> None:
        """Count what was asked for; ``running`` is the number wanted at once."""
        self._new_requests += requests
        self._new_tokens += tokens
        self._new_running = max(self._new_running, running)

    def fold(self, elapsed: float) -> None:
        """Close an interval of ``elapsed`` seconds; a rise counts at once."""
        self.requests = _smooth(self.requests, self._new_requests / elapsed)
        self.tokens = _smooth(self.tokens, self._new_tokens / elapsed)
        self.running = _smooth(self.running, float(self._new_running))
        self._new_requests = 0.0
        self._new_tokens = 0.0
        self._new_running = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing was asked for of late."""
        return self.requests < 0.01 and self.tokens < 0.01 and self.running < 0.01


def _smooth(old: float, new: float) -> float:
    return max(new, old * DEMAND_DECAY + new * (1.0 - DEMAND_DECAY))


class Attachment:
    """State of an entry's connection to its agent.

    It fills the process's ``Tables``. With the agent silent everything stays as
    it is, slices end by themselves, and the platform is read directly at long,
    random intervals.

    Parameters
    ----------
    tables : Tables
        Tables of the process, filled here.
    entry_id, address : str
        Of the entry.
    incarnation : int
        Grows with each start of the entry.
    agent : str
        ``host:port`` of the agent.
    configured_instances : int
        Instances that share the limits without the agent.
    rng : random.Random
        Source of the jitter.
    direct_read : float
        Least time between two direct reads of the platform, in seconds.
    """

    __slots__ = (
        "_address",
        "_agent",
        "_configured_instances",
        "_direct_read",
        "_direct_read_at",
        "_folded_at",
        "_incarnation",
        "_rng",
        "_sent_at_by_sequence",
        "_sequence",
        "_told_at",
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
        self._told_at = -TELL_SECONDS
        self._sent_at_by_sequence: dict[int, float] = {}
        self._folded_at: float | None = None
        self._direct_read = direct_read
        self._direct_read_at = 0.0
        tables.floor_parts = configured_instances

    @property
    def is_ready(self) -> bool:
        """Whether a table is in force."""
        return self.replica.is_ready

    def add_demand(
        self, row: str, requests: float, tokens: float, running: int
    ) -> None:
        """Count what a row was asked for, with what was refused."""
        meter = self.meters_by_row.get(row)
        if meter is None:
            if len(self.meters_by_row) >= ROWS:
                return
            meter = self.meters_by_row[row] = DemandMeter()
        meter.add(requests, tokens, running)

    def tick(self, now: float) -> Actions:
        """Greet the agent, report demand and look whether the agent is silent."""
        actions = Actions()
        if self.heard_at is None:
            self.heard_at = now
            self._direct_read_at = now + self._choose_direct_wait()
        if self.replica.settle(now):
            self._put_in_force(actions)
        self.marks.expire(now)
        self.deaths.expire(now)
        self._drop_slices(now)
        self._check_agent(now, actions)
        actions.send(self._agent, self._build_hello())
        self._tell_again(now, actions)
        self._report_demand(now, actions)
        return actions

    def receive(self, message: Message, now: float) -> Actions:
        """Take one message of the agent or of another process."""
        actions = Actions()
        match message:
            case TableNews():
                self._offer_table(message.version, message.table, now, actions)
            case InstancesNews():
                self._offer_instances(message.revision, message.instances, now)
            case LeaveNews():
                self._add_marks(message.leaving, now)
            case LoadNews():
                self._note_loads(message.reports)
            case SliceNews():
                self._note_slices(message, now, actions)
            case RowsNews():
                self._want_rows(message.rows, now)
            case SuspectNews():
                self._note_suspects(message, now)
            case Want():
                self._answer_want(message, actions)
        return actions

    def report_leaving(self, instance_id: str, incarnation: int, now: float) -> Actions:
        """Tell that an upstream refused work since it is leaving."""
        actions = Actions()
        added = self._add_marks(((instance_id, incarnation),), now)
        if added:
            actions.send(self._agent, LeaveNews(added))
        return actions

    def report_suspects(self, news: SuspectNews, now: float) -> Actions:
        """Tell the other instances of deaths, clearings and quarantines."""
        actions = Actions()
        added = self.deaths.merge(news, now)
        if added is not None:
            self.tables.quarantined.update(added.quarantined)
            actions.send(self._agent, added)
        return actions

    def is_direct_read_due(self, now: float) -> bool:
        """Whether the platform is to be read without the agent; once a wait."""
        if not self.agent_lost and self.is_ready:
            return False
        if self.heard_at is None or now < self._direct_read_at:
            return False
        self._direct_read_at = now + self._choose_direct_wait()
        return True

    def note_platform(
        self, stored: VersionedValue, listed: InstanceList, now: float
    ) -> Actions:
        """Take what a direct read of the platform gave."""
        actions = Actions()
        self._offer_instances(listed.revision, listed.instances, now)
        if not self.is_ready:
            self._ask_agents(now, actions)
        if stored.revision:
            self._offer_table(stored.revision, stored.value, now, actions)
        return actions

    def _ask_agents(self, now: float, actions: Actions) -> None:
        """Ask the agents of other instances, as the platform's read may be stale."""
        for instance in self.replica.instances:
            if instance.role is Role.AGENT:
                self.replica.startup.ask(instance.address, now)
                actions.send(instance.address, Want(self._address, 0, 0))

    def _choose_direct_wait(self) -> float:
        return self._direct_read * self._rng.uniform(1.0, 2.0)

    def _tell_again(self, now: float, actions: Actions) -> None:
        """Repeat marks and deaths, as the agent may have been restarted."""
        if now - self._told_at < TELL_SECONDS:
            return
        self._told_at = now
        marks = self.marks.list_marks()
        if marks:
            actions.send(self._agent, LeaveNews(marks))
        deaths = self.deaths.get_all()
        if deaths is not None:
            actions.send(self._agent, deaths)

    def _check_agent(self, now: float, actions: Actions) -> None:
        silent = now - self.heard_at
        if silent <= AGENT_TIMEOUT_SECONDS:
            return
        if not self.agent_lost:
            self.agent_lost = True
            self._direct_read_at = now + self._choose_direct_wait()
            actions.notify(Event.AGENT_LOST, self._agent)
        if int(silent / RESET_SECONDS) > int((silent - 1.0) / RESET_SECONDS):
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
        elapsed = now - self._folded_at if self._folded_at is not None else 0.0
        self._folded_at = now
        if elapsed <= 0.0:
            return
        demands = []
        for row, meter in list(self.meters_by_row.items()):
            meter.fold(elapsed)
            if meter.is_idle and meter.wanted_until <= now:
                del self.meters_by_row[row]
            else:
                demands.append(self._build_demand(row, meter, now))
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        self._sent_at_by_sequence.pop(self._sequence - REPORTS, None)
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
        verdict = self.replica.offer_table(version, data, now)
        if verdict is Verdict.APPLIED:
            self._put_in_force(actions)
        elif verdict is Verdict.REFUSED:
            actions.notify(
                Event.TABLE_REFUSED, self.entry_id, version, self.replica.refusal
            )

    def _put_in_force(self, actions: Actions) -> None:
        self.tables.table = self.replica.table
        self.tables.table_version = self.replica.table_version
        version = self.replica.table_version
        actions.notify(Event.TABLE_APPLIED, self.entry_id, version)

    def _offer_instances(
        self, revision: int, instances: tuple[Instance, ...], now: float
    ) -> None:
        if self.replica.offer_instances(revision, instances):
            self.marks.note_list(self.replica.instances, now)
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

    def _note_loads(self, reports: tuple[LoadReport, ...]) -> None:
        for report in reports:
            if report.instance_id in self.tables.instances_by_id:
                self.tables.loads_by_id[report.instance_id] = report

    def _note_slices(self, news: SliceNews, now: float, actions: Actions) -> None:
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
            self._hold(granted, news.sequence, sent_at + granted.seconds)

    def _hold(self, granted: Slice, sequence: int, ends_at: float) -> None:
        slices_by_row = self.tables.slices_by_row
        held = slices_by_row.get(granted.row)
        if held is None or held.sequence < sequence:
            slices_by_row[granted.row] = HeldSlice(granted, ends_at, sequence)
        meter = self.meters_by_row.get(granted.row)
        if meter is not None:
            meter.wanted_until = ends_at + WANTED_SECONDS

    def _want_rows(self, rows: Iterable[str], now: float) -> None:
        for row in rows:
            self.add_demand(row, 0.0, 0.0, 0)
            if row in self.meters_by_row:
                self.meters_by_row[row].wanted_until = now + WANTED_SECONDS

    def _drop_slices(self, now: float) -> None:
        slices_by_row = self.tables.slices_by_row
        for row, held in list(slices_by_row.items()):
            if held.ends_at + held.granted.seconds <= now:
                del slices_by_row[row]

    def _note_suspects(self, news: SuspectNews, now: float) -> None:
        added = self.deaths.merge(news, now)
        if added is None:
            return
        self.tables.quarantined.update(added.quarantined)
        for listener in self.suspect_listeners:
            listener(added)

    def _answer_want(self, want: Want, actions: Actions) -> None:
        replica = self.replica
        if replica.table_version > want.table_version:
            news = TableNews(replica.table_version, replica.data)
            actions.send(want.address, news)
        if replica.instances_revision > want.instances_revision:
            instances = self.marks.apply(replica.instances)
            news = InstancesNews(replica.instances_revision, instances)
            actions.send(want.address, news)
