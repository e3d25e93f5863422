"""In-memory twin of the model engine, for virtual time."""

import abc
import contextlib
from collections.abc import AsyncIterator

import trio

from wigeondrift.entities import LoadReport
from wigeondrift.entry.engine import (
    CancelRequest,
    Engine,
    EngineEvent,
    GenerateRequest,
)
from wigeondrift.errors import ConnectFailed, ConnectionSilent

HEAD_TIMEOUT_SECONDS = 1.5


class MemorySession(abc.ABC):
    """One attempt in a runner of this process."""

    @abc.abstractmethod
    async def next_batch(self) -> list[EngineEvent] | None:
        """Return the next events; empty for a sign of life, None after the end.

        Raises
        ------
        ConnectionLost
            If the runner died.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Cancel what still runs."""


class MemoryRunner(abc.ABC):
    """A runner of this process."""

    @abc.abstractmethod
    async def reach(self) -> None:
        """Return once a new connection would be answered.

        Raises
        ------
        ConnectFailed
            If none can be made.
        """

    @abc.abstractmethod
    def start(self, request: GenerateRequest) -> MemorySession:
        """Take the order.

        Raises
        ------
        EngineRefused
            If it is refused before any of it runs.
        """

    @abc.abstractmethod
    def cancel(self, request: CancelRequest) -> None:
        """Drop one attempt; unknown ones are ignored."""

    @abc.abstractmethod
    def get_load(self) -> LoadReport:
        """Return the runner's own report of its load."""


class MemoryEngine(Engine):
    """Engine whose runners are objects of this process.

    Parameters
    ----------
    runners_by_address : dict of str to MemoryRunner
        The runners that can be reached.
    head_timeout : float
        Longest time until the head of an answer, in seconds.
    """

    __slots__ = ("_head_timeout", "runners_by_address")

    def __init__(
        self,
        runners_by_address: dict[str, MemoryRunner],
        head_timeout: float = HEAD_TIMEOUT_SECONDS,
    ) -> None:
        self.runners_by_address = runners_by_address
        self._head_timeout = head_timeout

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, request: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[list[EngineEvent]]]:
        """Start the order and enter with batches of its events as they arrive."""
        runner = await self._reach(address)
        session = runner.start(request)
        try:
            async with contextlib.aclosing(_iter_batches(session)) as batches:
                yield batches
        finally:
            session.close()

    async def cancel(self, address: str, request: CancelRequest) -> None:
        """Drop one attempt; unknown ones are ignored."""
        runner = await self._reach(address)
        runner.cancel(request)

    async def get_load(self, address: str) -> LoadReport:
        """Return the runner's own report of its load."""
        runner = await self._reach(address)
        return runner.get_load()

    async def _reach(self, address: str) -> MemoryRunner:
        runner = self.runners_by_address.get(address)
        if runner is None:
            raise ConnectFailed(f"no connection to {address}")
        await trio.lowlevel.checkpoint()
        try:
            with trio.fail_after(self._head_timeout):
                await runner.reach()
        except trio.TooSlowError as error:
            raise ConnectionSilent(f"{address} stayed silent") from error
        return runner


async def _iter_batches(session: MemorySession) -> AsyncIterator[list[EngineEvent]]:
    while True:
        batch = await session.next_batch()
        if batch is None:
            return
        yield batch
