"""An entry's link to its agent: updates the tables and reports to the agent."""

import logging

import trio

from wigeondrift.agent.executor import execute_actions
from wigeondrift.application import Component
from wigeondrift.errors import PlatformError
from wigeondrift.store.contract import PlatformStore
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.agent_session import AgentSession, SuspectListener
from wigeondrift.table.rows import TABLE_KEY
from wigeondrift.timer import Clock, TimerService
from wigeondrift.wire.endpoint import MessageEndpoint
from wigeondrift.wire.messages import SuspectNews

TICK_INTERVAL_SECONDS = 0.5
DIRECT_READ_TIMEOUT_SECONDS = 2.0


class AgentLink(Component):
    """Message link between an entry and its agent.

    Parameters
    ----------
    agent_session : AgentSession
        State of the protocol with the agent; updates the tables of the process.
    listen : str
        ``host:port`` where the entry receives messages.
    store : PlatformStore
        Read directly while the agent sends nothing.
    clock : Clock
    timer : TimerService
        Runs the periodic tasks; must be started after the link.
    logger : logging.Logger
    """

    __slots__ = ("_clock", "_listen", "_logger", "_endpoint", "_store", "agent_session")

    def __init__(
        self,
        agent_session: AgentSession,
        listen: str,
        store: PlatformStore,
        clock: Clock,
        timer: TimerService,
        logger: logging.Logger,
    ) -> None:
        self.agent_session = agent_session
        self._listen = listen
        self._store = store
        self._clock = clock
        self._logger = logger
        self._endpoint: MessageEndpoint | None = None
        timer.subscribe("link", TICK_INTERVAL_SECONDS, self._tick)
        timer.subscribe("platform", TICK_INTERVAL_SECONDS, self._read_platform_if_due)

    @property
    def is_ready(self) -> bool:
        """Whether a table is in force."""
        return self.agent_session.is_ready

    @property
    def agent_lost(self) -> bool:
        """Whether the agent is considered lost because it sends nothing."""
        return self.agent_session.agent_lost

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the message endpoint and start receiving."""
        self._endpoint = MessageEndpoint(self._listen)
        nursery.start_soon(self._receive)

    async def stop(self) -> None:
        """Notify the agent that the entry accepts no new work."""
        self.announce_stop()

    async def close(self) -> None:
        """Close the message endpoint."""
        if self._endpoint is not None:
            await self._endpoint.close()

    def announce_stop(self) -> None:
        """Notify the agent that a planned stop has begun."""
        self.agent_session.stopping = True
        self._execute(self.agent_session.tick(self._clock.now()))

    def report_demand(
        self, row: str, requests: float, tokens: float, running: int
    ) -> None:
        """Add the demand for a row since the last call.

        Parameters
        ----------
        row : str
            ``team/service``.
        requests, tokens : float
            Number requested since the last call, including refused requests.
        running : int
            Requests running or waiting now.
        """
        self.agent_session.add_demand(row, requests, tokens, running)

    def report_leaving(self, instance_id: str, incarnation: int) -> None:
        """Report that an upstream refused work because it is leaving."""
        now = self._clock.now()
        self._execute(self.agent_session.report_leaving(instance_id, incarnation, now))

    def report_quarantine(self, fingerprint: str) -> None:
        """Report to the other instances that ``fingerprint`` is quarantined."""
        self.report_suspects(SuspectNews((), (), (fingerprint,)))

    def report_suspects(self, news: SuspectNews) -> None:
        """Report upstream deaths and cleared or quarantined fingerprints."""
        self._execute(self.agent_session.report_suspects(news, self._clock.now()))

    def subscribe_suspects(self, listener: SuspectListener) -> None:
        """Call ``listener`` with each ``SuspectNews`` of another instance."""
        self.agent_session.suspect_listeners.append(listener)

    def _execute(self, actions: Actions) -> None:
        if self._endpoint is not None:
            execute_actions(actions, self._endpoint, self._logger)

    async def _receive(self) -> None:
        while True:
            message = await self._endpoint.receive()
            self._execute(self.agent_session.receive(message, self._clock.now()))

    async def _tick(self, now: float) -> None:
        self._execute(self.agent_session.tick(now))

    async def _read_platform_if_due(self, now: float) -> None:
        if self.agent_session.is_direct_read_due(now):
            await self._read_platform()

    async def _read_platform(self) -> None:
        agent_session = self.agent_session
        with trio.move_on_after(DIRECT_READ_TIMEOUT_SECONDS):
            try:
                stored = await self._store.get(TABLE_KEY)
                listed = await self._store.list_instances(0, 0.0)
            except PlatformError:
                return
            self._execute(
                agent_session.apply_platform_read(stored, listed, self._clock.now())
            )
