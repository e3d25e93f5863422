"""Life cycle of a process: components that are started and stopped in order."""

import abc
import logging
import signal
import traceback
from collections.abc import Awaitable, Callable, Sequence

import trio

from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Pauses before a failed task is started again; they double with each failure in a row.
FIRST_RESTART_SECONDS = 0.1
MAX_RESTART_SECONDS = 5.0
# Time after which a task that fails counts as having worked in between.
STABLE_TASK_SECONDS = 30.0


class Component(abc.ABC):
    """Component of an application with life cycle hooks."""

    @abc.abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Acquire the component's resources and start its tasks in ``nursery``."""

    async def stop(self) -> None:
        """Accept no new work and return when work in progress has ended."""
        return None

    async def close(self) -> None:
        """Release the component's resources."""
        return None


def log_task_failure(task: str, pause: float, error: Exception) -> None:
    """Log an unexpected exception of a task that runs again after ``pause`` seconds."""
    log_event(
        logging.getLogger(LOGGER_NAME),
        logging.ERROR,
        Event.TASK_FAILED,
        task=task,
        restarts_in=pause,
        reason="".join(traceback.format_exception(error)),
    )


class SupervisedNursery:
    """Starts tasks that are restarted after an unexpected exception.

    One bad message or state then costs a pause of one component, not the process.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the tasks.
    """

    __slots__ = ("_nursery",)

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    def start_soon(
        self, function: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Run a coroutine function until it returns."""
        self._nursery.start_soon(self._run, function, args)

    async def _run(
        self, function: Callable[..., Awaitable[None]], args: tuple[object, ...]
    ) -> None:
        pause = FIRST_RESTART_SECONDS
        while True:
            started_at = trio.current_time()
            try:
                await function(*args)
                return
            except Exception as error:
                if trio.current_time() - started_at >= STABLE_TASK_SECONDS:
                    pause = FIRST_RESTART_SECONDS
                name = getattr(function, "__qualname__", repr(function))
                log_task_failure(name, pause, error)
            await trio.sleep(pause)
            pause = min(2.0 * pause, MAX_RESTART_SECONDS)


class Application:
    """Starts, stops and closes the components of one process.

    Parameters
    ----------
    components : sequence of Component
        Components in start order; they are stopped in reverse order.
    stop_bound : float
        Maximum time for work in progress at a planned stop, in seconds.

    Attributes
    ----------
    stop_requested : trio.Event
        Set to begin a planned stop.
    bound_reached : bool
        Whether the planned stop timed out or was cut short by a second signal.
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
        """Run the components until a planned stop has ended."""
        try:
            async with trio.open_nursery() as nursery:
                supervised = SupervisedNursery(nursery)
                for component in self._components:
                    await component.start(supervised)
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
        """Run until stopped by signals.

        The first SIGTERM or SIGINT begins a planned stop, the second one stops
        waiting for work in progress.

        Parameters
        ----------
        reload : callable, optional
            Called on each SIGHUP; if absent, SIGHUP terminates the process.
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
