"""Stateful tests of agents and entries under faults, in virtual time.

A simple oracle tracks which processes could reach each other, and for how long.
"""

import random

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from wigeondrift.entities import Instance, InstanceState, Role
from wigeondrift.store.core import DownMode, Faults, StoreCore
from wigeondrift.systems.agent_session import AgentSession
from wigeondrift.systems.control import AgentControl
from wigeondrift.systems.shares import choose_owner, compute_floor, get_limit
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
from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import SuspectNews
from wigeondrift_emulator.network import Process, VirtualNetwork

DOMAINS = ("rajkot", "morbi", "jamnagar")
NODES = 5
ROW = "team/service"
START = Table(
    services_by_name={"service": ServiceRow(ServiceKind.PLAIN)},
    teams_by_name={"team": TeamRow()},
)
LIMIT = 80.0
APPLY_BOUND_SECONDS = 4.0
LEAVE_MARK_BOUND_SECONDS = 3.0
QUARANTINE_BOUND_SECONDS = 2.0
RECOVERY_SECONDS = 5.0
LIMIT_WINDOW_SECONDS = 7.0
UPSTREAM = Instance("runner-1", 1, Role.RUNNER, "10.0.1.1:1", "rajkot")

nodes = st.integers(0, NODES - 1)
domains = st.sampled_from(DOMAINS)


def make_table(row):
    return Table(
        services_by_name={"service": ServiceRow(ServiceKind.PLAIN)},
        teams_by_name={"team": TeamRow()},
        limits_by_row={ROW: row},
    )


class ControlMachine(RuleBasedStateMachine):
    """Combines any number of concurrent faults and checks all processes each step."""

    def __init__(self):
        super().__init__()
        self.rng = random.Random(7)
        self.core = StoreCore(Faults())
        self.network = VirtualNetwork(self.core, self.rng)
        self.network.on_step = self.check_step
        self.incarnation = 0
        self.version = 0
        self.accepted_at = 0.0
        self.limits_by_version = {}
        self.stable_since = [0.0] * NODES
        self.is_lossless = True
        self.seen_version = {}
        self.peer_versions_at_start = {}
        self.first_notice_by_address = {}
        self.marked_at = None
        self.suspected_at = None
        self.suspect_bound = RECOVERY_SECONDS
        self.seen_leaving = set()
        self.restarted_at = []
        self.recent_limits = []

    # Setup

    @initialize()
    def build(self):
        agents = [
            Instance(f"i-{i}", 1, Role.AGENT, self.agent_address(i), self.domain(i))
            for i in range(NODES)
        ]
        self.core.set_instances(0.0, (*agents, UPSTREAM))
        self.put_table(LIMIT)
        for i in range(NODES):
            self.start_agent(i)
            self.start_entry(i)
        self.network.advance(6.0)

    def domain(self, i):
        return DOMAINS[i % len(DOMAINS)]

    def agent_address(self, i):
        return f"10.0.0.{i}:1"

    def entry_address(self, i):
        return f"10.0.0.{i}:2"

    def agent(self, i):
        return self.network.processes_by_address[self.agent_address(i)]

    def entry(self, i):
        return self.network.processes_by_address[self.entry_address(i)]

    def put_table(self, limit):
        row = LimitRow(requests=limit, tokens=limit * 100, running=int(limit))
        table = msgspec.structs.replace(START, limits_by_row={ROW: row})
        data = serialize_table(table)
        found = self.core._get_newest(TABLE_KEY).revision
        self.version = self.core.put(self.network.now, TABLE_KEY, data, found)
        self.accepted_at = self.network.now
        self.limits_by_version[self.version] = limit

    def start_agent(self, i):
        self.incarnation += 1
        control = AgentControl(
            f"i-{i}",
            self.domain(i),
            self.agent_address(i),
            self.incarnation,
            [self.agent_address(j) for j in range(NODES)],
            random.Random(self.incarnation),
            NODES,
        )
        process = self.make_process(f"agent-{i}", self.agent_address(i), i, control)
        self.peer_versions_at_start[process.address] = self.list_reachable_versions(i)
        self.first_notice_by_address[process.address] = len(self.network.notices)
        self.network.add(process)

    def start_entry(self, i):
        self.incarnation += 1
        agent_session = AgentSession(
            Tables(),
            f"i-{i}/entry-0",
            self.entry_address(i),
            self.incarnation,
            self.agent_address(i),
            NODES,
            random.Random(self.incarnation),
        )
        process = self.make_process(
            f"entry-{i}", self.entry_address(i), i, agent_session
        )
        self.seen_version[i] = 0
        self.seen_leaving.discard(i)
        self.network.add(process)

    def make_process(self, name, address, i, state_machine):
        now = self.network.now
        phase = self.rng.uniform(0.0, 0.5)
        return Process(name, address, self.domain(i), state_machine, now, phase)

    def list_reachable_versions(self, i):
        """Return the table versions of the peers that agent i can reach, by index."""
        versions = {}
        for j in range(NODES):
            if j != i and self.agent_address(j) in self.network.processes_by_address:
                peer = self.agent(j)
                cut = (
                    frozenset((self.domain(i), self.domain(j)))
                    in self.network.partitions
                )
                if peer.is_up and not cut:
                    versions[j] = peer.state_machine.replica.table_version
        return versions

    def mark_fault_change(self):
        """Record a change of faults; connectivity is only known from now on."""
        self.stable_since = [self.network.now] * NODES

    # Oracle

    def has_platform(self, i):
        mode = self.core.down_mode(self.domain(i))
        return mode is DownMode.UP and not self.core.faults.stale_reads

    def can_get_news(self, i):
        """Return whether agent i can get updates, directly or from a peer."""
        if not self.agent(i).is_up:
            return False
        if self.has_platform(i):
            return True
        return any(
            self.network.can_reach(self.agent(j), self.agent(i))
            and self.has_platform(j)
            for j in range(NODES)
        )

    def check_step(self):
        for i in range(NODES):
            self.check_entry_version(i)
            self.check_first_table(i)
            self.check_leaving(i)
            self.check_suspects(i)
        self.check_limit()

    def check_entry_version(self, i):
        version = self.entry(i).state_machine.tables.table_version
        assert version >= self.seen_version[i], "an older table is in force"
        self.seen_version[i] = version
        stable = max(self.stable_since[i], self.accepted_at)
        waited = self.network.now - stable > APPLY_BOUND_SECONDS
        if self.is_lossless and waited and self.can_get_news(i):
            assert version == self.version, (
                f"entry {i} has {version}, {self.version} was accepted"
            )

    def check_first_table(self, i):
        """Check that a restarted agent does not first apply an older table.

        A peer counts as long as it stays reachable and has at least the version that it
        had at the start of the agent.
        """
        process = self.agent(i)
        if process.address not in self.peer_versions_at_start:
            return
        now_there = self.list_reachable_versions(i)
        versions = {
            j: version
            for j, version in self.peer_versions_at_start[process.address].items()
            if now_there.get(j, -1) >= version
        }
        self.peer_versions_at_start[process.address] = versions
        first = self.find_first_applied(process)
        if first is not None:
            del self.peer_versions_at_start[process.address]
            best = max(versions.values(), default=0)
            assert first >= best, "a restart brought an older table"

    def find_first_applied(self, process):
        """Return the version of the first table that a process applied, if any."""
        for name, notice in self.network.notices[
            self.first_notice_by_address[process.address] :
        ]:
            if name == process.name and notice.event is Event.TABLE_APPLIED:
                return notice.number
        return None

    def check_leaving(self, i):
        upstream = self.entry(i).state_machine.tables.instances_by_id.get("runner-1")
        if upstream is None:
            return
        if upstream.state is InstanceState.LEAVING:
            self.seen_leaving.add(i)
            return
        assert i not in self.seen_leaving, "a leaving instance came back"
        if self.marked_at is None or not self.agent(i).is_up:
            return
        source, marked_at = self.marked_at
        if ("runner-1", 1) not in self.entry(source).state_machine.marks:
            return
        stable = max(self.stable_since[i], self.stable_since[source], marked_at)
        is_connected = self.network.can_reach(self.agent(source), self.agent(i))
        if (
            self.is_lossless
            and is_connected
            and self.network.now - stable > LEAVE_MARK_BOUND_SECONDS
        ):
            raise AssertionError(f"entry {i} has no leave mark")

    def check_suspects(self, i):
        if self.suspected_at is None or not self.agent(i).is_up or not self.is_lossless:
            return
        source, suspected_at = self.suspected_at
        stable = max(self.stable_since[i], self.stable_since[source], suspected_at)
        is_connected = self.network.can_reach(self.agent(source), self.agent(i))
        if "f00d" not in self.entry(source).state_machine.tables.quarantined:
            return
        bound = self.suspect_bound if stable == suspected_at else RECOVERY_SECONDS
        if is_connected and self.network.now - stable > bound:
            known = "f00d" in self.entry(i).state_machine.tables.quarantined
            assert known, f"entry {i} does not refuse the request"

    def check_limit(self):
        now = self.network.now
        table_versions = [
            self.entry(i).state_machine.tables.table_version for i in range(NODES)
        ]
        table_versions += [
            self.agent(i).state_machine.replica.table_version for i in range(NODES)
        ]
        limit = max(self.limits_by_version.get(v, 0.0) for v in table_versions)
        self.recent_limits = [
            (at, value)
            for at, value in self.recent_limits
            if now - at < LIMIT_WINDOW_SECONDS and value > limit
        ]
        self.recent_limits.append((now, limit))
        limit = max(value for _, value in self.recent_limits)
        self.restarted_at = [
            at for at in self.restarted_at if now - at < LIMIT_WINDOW_SECONDS
        ]
        total = 0.0
        running = 0
        for i in range(NODES):
            held = get_limit(self.entry(i).state_machine.tables, ROW, now)
            total += held.requests
            running += held.running
        row = LimitRow(requests=limit, tokens=limit, running=int(limit))
        floor = compute_floor(row, NODES)
        extra = len(self.restarted_at)
        assert total <= limit + floor.requests * extra + 1e-6, (total, limit, extra)
        assert running <= int(limit) + floor.running * extra, (running, limit, extra)

    # Rules

    @rule(seconds=st.sampled_from([0.3, 1.0, 5.0]))
    def wait(self, seconds):
        self.network.advance(seconds)

    @rule(i=nodes, requests=st.sampled_from([0.0, 5.0, 60.0, 300.0]))
    def send_traffic(self, i, requests):
        for _ in range(4):
            agent_session = self.entry(i).state_machine
            agent_session.add_demand(ROW, requests / 2, requests * 50, int(requests))
            self.network.advance(0.5)

    @rule(limit=st.sampled_from([40.0, 80.0, 160.0]))
    def change_table(self, limit):
        self.put_table(limit)
        self.network.advance(0.2)

    @rule(first=domains, second=domains)
    def cut_domains(self, first, second):
        if first != second:
            self.network.partitions.add(frozenset((first, second)))
            self.mark_fault_change()

    @rule(domain=domains, mode=st.sampled_from([DownMode.RESET, DownMode.UP]))
    def cut_platform(self, domain, mode):
        self.core.faults.down_by_caller[domain] = mode
        self.mark_fault_change()

    @rule(mode=st.sampled_from([DownMode.RESET, DownMode.UP]))
    def toggle_platform(self, mode):
        self.core.faults.down = mode
        self.mark_fault_change()

    @rule(limit=st.sampled_from([40.0, 160.0]))
    def change_everywhere(self, limit):
        self.put_table(limit)
        self.network.advance(5.0)

    @rule()
    def read_stale(self):
        self.put_table(80.0 + self.version)
        self.network.advance(5.0)
        self.core.faults.stale_reads = 20.0
        self.mark_fault_change()
        self.network.advance(0.2)

    @rule(i=nodes, j=nodes)
    def swing(self, i, j):
        for source in (i, j):
            for _ in range(10):
                self.entry(source).state_machine.add_demand(ROW, 150.0, 15000.0, 300)
                self.network.advance(0.5)

    @rule(domain=domains, mode=st.sampled_from([DownMode.RESET, DownMode.UP]))
    def isolate(self, domain, mode):
        for other in DOMAINS:
            if other != domain:
                self.network.partitions.add(frozenset((domain, other)))
        self.core.faults.down_by_caller[domain] = mode
        self.mark_fault_change()

    @rule(i=nodes)
    def restart_instance(self, i):
        self.restarted_at.append(self.network.now)
        self.start_agent(i)
        self.start_entry(i)
        self.mark_fault_change()

    @rule()
    def heal(self):
        self.network.partitions.clear()
        self.core.faults.down = DownMode.UP
        self.core.faults.down_by_caller = {}
        self.core.faults.stale_reads = 0.0
        self.mark_fault_change()
        self.network.advance(1.0)

    @rule(i=nodes)
    def restart_agent(self, i):
        self.start_agent(i)
        self.mark_fault_change()

    @rule(i=nodes)
    def restart_entry(self, i):
        self.restarted_at.append(self.network.now)
        self.start_entry(i)
        self.mark_fault_change()

    @rule(i=nodes)
    def kill_agent(self, i):
        self.agent(i).is_up = False
        self.mark_fault_change()

    def find_owner(self):
        owners = self.agent(0).state_machine.membership.list_candidate_owners()
        return int(choose_owner(ROW, owners).removeprefix("i-"))

    @rule()
    def restart_owner(self):
        self.restart_agent(self.find_owner())

    @rule()
    def kill_owner(self):
        self.kill_agent(self.find_owner())

    @rule(
        loss=st.sampled_from([0.3, 1.0]),
        seconds=st.sampled_from([1.0, 5.0]),
    )
    def lose_messages(self, loss, seconds):
        self.mark_fault_change()
        self.peer_versions_at_start.clear()
        self.network.loss = loss
        self.is_lossless = False
        self.network.advance(seconds)
        self.network.loss = 0.0
        self.is_lossless = True
        self.mark_fault_change()

    @rule(i=nodes, j=nodes)
    def silence(self, i, j):
        if i != j:
            self.network.silent_connections.add(
                (self.agent_address(i), self.agent_address(j))
            )
            self.mark_fault_change()

    @rule(i=nodes)
    def silence_all(self, i):
        for j in range(NODES):
            if i != j:
                ours, theirs = self.agent_address(i), self.agent_address(j)
                self.network.silent_connections.update({(ours, theirs), (theirs, ours)})
        self.core.faults.down_by_caller[self.domain(i)] = DownMode.RESET
        self.mark_fault_change()

    @precondition(lambda self: self.suspected_at is None)
    @rule(i=nodes)
    def upstream_dies(self, i):
        if not self.agent(i).is_up or not self.entry(i).state_machine.is_ready:
            return
        since = self.network.now - max(self.stable_since)
        self.suspect_bound = (
            QUARANTINE_BOUND_SECONDS if since > RECOVERY_SECONDS else RECOVERY_SECONDS
        )
        self.mark_fault_change()
        self.suspected_at = (i, self.network.now)
        entry = self.entry(i)
        news = SuspectNews((("f00d", ("runner-1", "runner-2")),), (), ("f00d",))
        actions = entry.state_machine.report_suspects(news, self.network.now)
        self.network.perform_actions(entry, actions)
        self.network.advance(3.0)

    @precondition(lambda self: self.marked_at is None)
    @rule(i=nodes)
    def upstream_refuses(self, i):
        self.core.faults.list_lag = 10.0
        entry = self.entry(i)
        if not self.agent(i).is_up:
            return
        self.marked_at = (i, self.network.now)
        self.mark_fault_change()
        actions = entry.state_machine.report_leaving("runner-1", 1, self.network.now)
        self.network.perform_actions(entry, actions)
        self.network.advance(0.1)

    @invariant()
    def bounded(self):
        assert len(self.network._queue) < 2000
