"""Life-cycle of a process: parts with hooks, started and stopped in order."""

import abc
import signal
from collections.abc import Callable, Sequence

import trio


class Component(abc.ABC):
    """Part of an application with life-cycle hooks."""

    @abc.abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Open what the part needs and start its tasks in ``nursery``."""

    async def stop(self) -> None:
        """Take no new work and return when work in progress has ended."""
        return None

    async def close(self) -> None:
        """Release what the part holds."""
        return None


class Application:
    """Owns the parts of one process.

    Parameters
    ----------
    components : sequence of Component
        In the order in which they start; they stop in the reverse order.
    stop_bound : float
        Longest time for work in progress at a planned stop, in seconds.
    """

    __slots__ = (
        "_bound_scope",
        "_components",
        "_stop_bound",
        "bound_reached",
        "stop_requested",
    )

    def __init__(self, components: Sequence[Component], stop_bound: float) -> None:
        self._components = tuple(components)
        self._stop_bound = stop_bound
        self._bound_scope: trio.CancelScope | None = None
        self.stop_requested = trio.Event()
        self.bound_reached = False

    async def run(self) -> None:
        """Run until a planned stop has ended."""
        try:
            async with trio.open_nursery() as nursery:
                for component in self._components:
                    await component.start(nursery)
                await self.stop_requested.wait()
                await self._stop_components()
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                for component in reversed(self._components):
                    await component.close()

    async def _stop_components(self) -> None:
        with trio.move_on_after(self._stop_bound) as scope:
            self._bound_scope = scope
            for component in reversed(self._components):
                await component.stop()
        self.bound_reached = scope.cancelled_caught

    async def run_until_signalled(
        self, reload: Callable[[], None] | None = None
    ) -> None:
        """Run; the first SIGTERM or SIGINT is a planned stop, the second ends it.

        Parameters
        ----------
        reload : callable, optional
            Called at each SIGHUP, which ends the process if it is absent.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._handle_stop_signals)
            if reload is not None:
                nursery.start_soon(_call_on_sighup, reload)
            await self.run()
            nursery.cancel_scope.cancel()

    async def _handle_stop_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                if self.stop_requested.is_set():
                    if self._bound_scope is not None:
                        self._bound_scope.cancel()
                else:
                    self.stop_requested.set()


async def _call_on_sighup(reload: Callable[[], None]) -> None:
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            reload()
