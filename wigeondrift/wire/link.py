"""An entry's side of its agent: fills the tables and reports to the agent."""

import logging

import trio

from wigeondrift.agent.shell import carry_out
from wigeondrift.application import Component
from wigeondrift.errors import PlatformError
from wigeondrift.store.contract import PlatformStore
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.agent_session import AgentSession, SuspectListener
from wigeondrift.table.rows import TABLE_KEY
from wigeondrift.timer import Clock, TimerService
from wigeondrift.wire.messages import SuspectNews
from wigeondrift.wire.post import PostOffice

LINK_SECONDS = 0.5
DIRECT_CALL_SECONDS = 2.0


class Link(Component):
    """Connection of one entry to its agent.

    Parameters
    ----------
    agent_session : AgentSession
        Decides; fills the process's tables.
    listen : str
        ``host:port`` where the entry takes messages.
    store : PlatformStore
        Read directly while the agent is silent.
    clock : Clock
    timer : TimerService
        Calls the periodic parts; it is to be started after the link.
    logger : logging.Logger
    """

    __slots__ = ("_clock", "_listen", "_logger", "_post", "_store", "agent_session")

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
        self._post: PostOffice | None = None
        timer.subscribe("link", LINK_SECONDS, self._tick)
        timer.subscribe("platform", LINK_SECONDS, self._read_directly)

    @property
    def is_ready(self) -> bool:
        """Whether a table is in force."""
        return self.agent_session.is_ready

    @property
    def agent_lost(self) -> bool:
        """Whether the agent is silent."""
        return self.agent_session.agent_lost

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen and start to receive."""
        self._post = PostOffice(self._listen)
        nursery.start_soon(self._receive)

    async def stop(self) -> None:
        """Tell the agent that the entry takes no new work."""
        self.announce_stop()

    async def close(self) -> None:
        """Close the sockets."""
        if self._post is not None:
            await self._post.close()

    def announce_stop(self) -> None:
        """Tell the agent that a planned stop has begun."""
        self.agent_session.stopping = True
        self._do(self.agent_session.tick(self._clock.now()))

    def report_demand(
        self, row: str, requests: float, tokens: float, running: int
    ) -> None:
        """Count what a row was asked for.

        Parameters
        ----------
        row : str
            ``team/service``.
        requests, tokens : float
            Asked for since the last call, with what was refused.
        running : int
            Requests running or waiting now.
        """
        self.agent_session.add_demand(row, requests, tokens, running)

    def report_leaving(self, instance_id: str, incarnation: int) -> None:
        """Tell that an upstream refused work since it is leaving."""
        now = self._clock.now()
        self._do(self.agent_session.report_leaving(instance_id, incarnation, now))

    def report_quarantine(self, fingerprint: str) -> None:
        """Tell that ``fingerprint`` is refused from now on."""
        self.report_suspects(SuspectNews((), (), (fingerprint,)))

    def report_suspects(self, news: SuspectNews) -> None:
        """Tell the other instances of deaths, clearings and quarantines."""
        self._do(self.agent_session.report_suspects(news, self._clock.now()))

    def subscribe_suspects(self, listener: SuspectListener) -> None:
        """Call ``listener`` with the news of other instances."""
        self.agent_session.suspect_listeners.append(listener)

    def _do(self, actions: Actions) -> None:
        if self._post is not None:
            carry_out(actions, self._post, self._logger)

    async def _receive(self) -> None:
        while True:
            message = await self._post.receive()
            self._do(self.agent_session.receive(message, self._clock.now()))

    async def _tick(self, now: float) -> None:
        self._do(self.agent_session.tick(now))

    async def _read_directly(self, now: float) -> None:
        if self.agent_session.is_direct_read_due(now):
            await self._read_platform()

    async def _read_platform(self) -> None:
        agent_session = self.agent_session
        with trio.move_on_after(DIRECT_CALL_SECONDS):
            try:
                stored = await self._store.get(TABLE_KEY)
                listed = await self._store.list_instances(0, 0.0)
            except PlatformError:
                return
            self._do(
                agent_session.apply_platform_read(stored, listed, self._clock.now())
            )
