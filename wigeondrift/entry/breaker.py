"""Circuit breaker for calls to a platform that does not answer."""

import logging
from collections.abc import Awaitable, Callable

import trio

from wigeondrift.errors import PlatformError, PlatformUnavailable
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

PROBE_INTERVAL_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 3.0


class Breaker:
    """Circuit breaker that is open while the platform does not answer.

    While it is open, probes check whether the platform answers again. Probes
    overlap, so that a hanging probe does not delay the next one.

    Parameters
    ----------
    probe : callable
        Coroutine function that makes one call without side effects.
    """

    __slots__ = ("_closed", "_logger", "_nursery", "_probe")

    def __init__(self, probe: Callable[[], Awaitable[object]]) -> None:
        self._probe = probe
        self._closed = trio.Event()
        self._closed.set()
        self._nursery: trio.Nursery | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    @property
    def is_open(self) -> bool:
        """Whether calls must wait."""
        return not self._closed.is_set()

    def start(self, nursery: trio.Nursery) -> None:
        """Use ``nursery`` for the probes."""
        self._nursery = nursery

    def trip(self) -> None:
        """Open the breaker and start probing."""
        if self.is_open or self._nursery is None:
            return
        self._closed = trio.Event()
        log_event(self._logger, logging.WARNING, Event.PLATFORM_LOST)
        self._nursery.start_soon(self._probe_until_closed)

    async def wait(self) -> None:
        """Wait until the breaker is closed."""
        await self._closed.wait()

    async def _probe_until_closed(self) -> None:
        async with trio.open_nursery() as nursery:
            while self.is_open:
                nursery.start_soon(self._probe_once, nursery.cancel_scope)
                await trio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe_once(self, scope: trio.CancelScope) -> None:
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            try:
                await self._probe()
            except PlatformUnavailable:
                return
            except PlatformError:
                pass
            if self.is_open:
                log_event(self._logger, logging.INFO, Event.PLATFORM_BACK)
            self._closed.set()
            scope.cancel()
