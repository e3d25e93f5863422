"""In-memory model engine for tests in virtual time."""

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
    """An attempt on an in-memory runner."""

    @abc.abstractmethod
    async def next_batch(self) -> list[EngineEvent] | None:
        """Return the next events: an empty list as heartbeat, None after the end.

        Raises
        ------
        ConnectionLost
            If the runner died.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Cancel the attempt if it is still running."""


class MemoryRunner(abc.ABC):
    """A runner inside this process."""

    @abc.abstractmethod
    async def reach(self) -> None:
        """Wait until a new connection would be answered.

        Raises
        ------
        ConnectFailed
            If no connection can be made.
        """

    @abc.abstractmethod
    def start(self, request: GenerateRequest) -> MemorySession:
        """Start an attempt.

        Raises
        ------
        EngineRefused
            If the request is refused before any part of it runs.
        """

    @abc.abstractmethod
    def cancel(self, request: CancelRequest) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    @abc.abstractmethod
    def get_load(self) -> LoadReport:
        """Return the load that the runner reports."""


class MemoryEngine(Engine):
    """Engine whose runners are objects in this process.

    Parameters
    ----------
    runners_by_address : dict of str to MemoryRunner
        Runners that accept connections.
    head_timeout : float
        Maximum time until a runner answers a connection, in seconds.
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
        """Start the request and yield an iterator over batches of its events."""
        runner = await self._reach(address)
        session = runner.start(request)
        try:
            async with contextlib.aclosing(_iter_batches(session)) as batches:
                yield batches
        finally:
            session.close()

    async def cancel(self, address: str, request: CancelRequest) -> None:
        """Cancel an attempt; unknown attempts are ignored."""
        runner = await self._reach(address)
        runner.cancel(request)

    async def get_load(self, address: str) -> LoadReport:
        """Return the load that the runner reports."""
        runner = await self._reach(address)
        return runner.get_load()

    async def _reach(self, address: str) -> MemoryRunner:
        runner = self.runners_by_address.get(address)
        if runner is None:
            raise ConnectFailed(f"could not connect to {address}")
        await trio.lowlevel.checkpoint()
        try:
            with trio.fail_after(self._head_timeout):
                await runner.reach()
        except trio.TooSlowError as error:
            raise ConnectionSilent(f"{address} did not answer in time") from error
        return runner


async def _iter_batches(session: MemorySession) -> AsyncIterator[list[EngineEvent]]:
    while True:
        batch = await session.next_batch()
        if batch is None:
            return
        yield batch
