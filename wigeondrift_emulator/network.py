"""Simulated network in virtual time between the control planes of many processes.

Every process has a state machine without I/O and an address. Messages may be delayed,
lost or blocked by a partition; time passes only in ``VirtualNetwork.advance``.
"""

import heapq
import itertools
import random
from collections.abc import Callable

from wigeondrift.errors import PlatformError
from wigeondrift.store.core import StoreCore
from wigeondrift.systems.actions import Actions, Notice
from wigeondrift.systems.agent_session import AgentSession
from wigeondrift.systems.control import PLATFORM_LIST, PLATFORM_TABLE, AgentControl
from wigeondrift.table.rows import TABLE_KEY
from wigeondrift.wire.messages import serialize_message
from wigeondrift.wire.packing import compress_message

FRAME_BYTES = 8 + 52 + 52
PLATFORM_RETRY_SECONDS = 1.0
TICK_SECONDS = 0.5


class Process:
    """One process on the network.

    Attributes
    ----------
    name, address, failure_domain : str
    state_machine : AgentControl or AgentSession
    is_up : bool
    started_at, next_tick_at, next_platform_read_at : float
        Virtual time, in seconds.
    revisions_by_name : dict of str to int
        Latest revisions of the table and the instance list that were applied.
    """

    __slots__ = (
        "address",
        "state_machine",
        "failure_domain",
        "is_up",
        "name",
        "next_tick_at",
        "next_platform_read_at",
        "revisions_by_name",
        "started_at",
    )

    def __init__(
        self,
        name: str,
        address: str,
        failure_domain: str,
        state_machine: AgentControl | AgentSession,
        now: float,
        phase: float,
    ) -> None:
        self.name = name
        self.address = address
        self.failure_domain = failure_domain
        self.state_machine = state_machine
        self.is_up = True
        self.started_at = now
        self.next_tick_at = now + phase
        self.next_platform_read_at = now
        self.revisions_by_name = {PLATFORM_TABLE: -1, PLATFORM_LIST: -1}


class VirtualNetwork:
    """Processes, the messages in transit between them, and the platform.

    Parameters
    ----------
    core : StoreCore
        Platform store; the caller name of a process is its failure domain.
    rng : random.Random
        Source of message delays and losses.
    step : float
        Length of one simulation step, in seconds.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.
    loss : float
        Probability that a message is lost.
    min_delay, max_delay : float
        Bounds of the message delay, in seconds.
    partitions : set of frozenset of str
        Pairs of failure domains that cannot reach each other.
    silent_connections : set of (str, str)
        Sender and receiver address of connections that drop all messages; a reset
        by the sender replaces such a connection by a working one.
    sent_bytes_by_address : dict of str to int
        Traffic within one host is not counted, here and in the next two.
    received_bytes_by_address : dict of str to int
    sent_bytes_by_type : dict of str to int
        By message type.
    notices : list of (str, Notice)
        Process name and notice.
    on_step : callable or None
        Called after each simulation step.
    """

    def __init__(self, core: StoreCore, rng: random.Random, step: float = 0.1) -> None:
        self.core = core
        self.now = 0.0
        self.loss = 0.0
        self.min_delay = 0.0005
        self.max_delay = 0.005
        self.partitions: set[frozenset[str]] = set()
        self.silent_connections: set[tuple[str, str]] = set()
        self.processes_by_address: dict[str, Process] = {}
        self.sent_bytes_by_address: dict[str, int] = {}
        self.received_bytes_by_address: dict[str, int] = {}
        self.sent_bytes_by_type: dict[str, int] = {}
        self.notices: list[tuple[str, Notice]] = []
        self.on_step: Callable[[], None] | None = None
        self._rng = rng
        self._step = step
        self._sequence_numbers = itertools.count()
        self._queue: list = []

    def add(self, process: Process) -> None:
        """Add a process, replacing one at the same address.

        All connections from and to a new process are new ones.
        """
        self.silent_connections = {
            pair for pair in self.silent_connections if process.address not in pair
        }
        self.processes_by_address[process.address] = process
        if isinstance(process.state_machine, AgentControl):
            self.perform_actions(process, process.state_machine.start(self.now))
            self._watch_platform(process, process.state_machine)

    def perform_actions(self, process: Process, actions: Actions) -> None:
        """Perform the actions that the state machine of a process returned."""
        for address in actions.resets:
            self.silent_connections.discard((process.address, address))
        for send in actions.sends:
            self._send(process, send.address, send.message)
        for notice in actions.notices:
            self.notices.append((process.name, notice))

    def advance(self, seconds: float) -> None:
        """Advance time: deliver messages, run ticks and watch the platform."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            until = min(end, self.now + self._step)
            self._deliver(until)
            self.now = until
            for process in list(self.processes_by_address.values()):
                if process.is_up:
                    self._run_step(process)
            if self.on_step is not None:
                self.on_step()

    def can_reach(self, source: Process, target: Process) -> bool:
        """Whether both processes are up and no partition separates them."""
        if not source.is_up or not target.is_up:
            return False
        pair = frozenset((source.failure_domain, target.failure_domain))
        return pair not in self.partitions

    def _send(self, source: Process, address: str, message) -> None:
        size = len(compress_message(serialize_message(message))) + FRAME_BYTES
        is_remote = _get_host(source.address) != _get_host(address)
        if is_remote:
            kind = type(message).__name__
            _increment(self.sent_bytes_by_address, source.address, size)
            _increment(self.sent_bytes_by_type, kind, size)
        if self.loss and self._rng.random() < self.loss:
            return
        if (source.address, address) in self.silent_connections:
            return
        due = self.now + self._rng.uniform(self.min_delay, self.max_delay)
        entry = (due, next(self._sequence_numbers), source, address, message, size)
        heapq.heappush(self._queue, entry)

    def _deliver(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            due, _, source, address, message, size = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            target = self.processes_by_address.get(address)
            if target is None or not self.can_reach(source, target):
                continue
            if _get_host(source.address) != _get_host(address):
                _increment(self.received_bytes_by_address, address, size)
            self.perform_actions(
                target, target.state_machine.receive(message, self.now)
            )

    def _run_step(self, process: Process) -> None:
        if isinstance(process.state_machine, AgentControl):
            self._watch_platform(process, process.state_machine)
        if self.now >= process.next_tick_at:
            process.next_tick_at += TICK_SECONDS
            self.perform_actions(process, process.state_machine.tick(self.now))
            if isinstance(process.state_machine, AgentSession):
                self._read_directly(process, process.state_machine)

    def _watch_platform(self, process: Process, control: AgentControl) -> None:
        if self.now < process.next_platform_read_at:
            return
        caller = process.failure_domain
        revisions = process.revisions_by_name
        try:
            self.core.admit_read(self.now, "watch", caller)
            stored = self.core.read(self.now, TABLE_KEY)
            listed = self.core.read_instances(self.now)
        except PlatformError:
            process.next_platform_read_at = self.now + PLATFORM_RETRY_SECONDS
            for name in (PLATFORM_TABLE, PLATFORM_LIST):
                actions = control.record_platform_failure(name, self.now)
                self.perform_actions(process, actions)
            return
        if stored.revision != revisions[PLATFORM_TABLE] or not control.platform_reached:
            revisions[PLATFORM_TABLE] = stored.revision
            self.perform_actions(
                process, control.apply_platform_table(stored, self.now)
            )
        if listed.revision != revisions[PLATFORM_LIST]:
            revisions[PLATFORM_LIST] = listed.revision
            self.perform_actions(
                process, control.apply_platform_instances(listed, self.now)
            )

    def _read_directly(self, process: Process, agent_session: AgentSession) -> None:
        if not agent_session.is_direct_read_due(self.now):
            return
        try:
            self.core.admit_read(self.now, "get", process.failure_domain)
        except PlatformError:
            return
        stored = self.core.read(self.now, TABLE_KEY)
        listed = self.core.read_instances(self.now)
        actions = agent_session.apply_platform_read(stored, listed, self.now)
        self.perform_actions(process, actions)


def _get_host(address: str) -> str:
    return address.rpartition(":")[0]


def _increment(counts: dict[str, int], key: str, amount: int) -> None:
    counts[key] = counts.get(key, 0) + amount
