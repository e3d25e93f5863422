"""Clocks and a timer service with periodic callbacks."""

import abc
import time
from collections.abc import Awaitable, Callable

import trio

from wigeondrift.application import Component, log_task_failure

Callback = Callable[[float], Awaitable[None]]


class Clock(abc.ABC):
    """Time source."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the time in seconds since an arbitrary origin."""


class TrioClock(Clock):
    """Event loop clock; virtual under ``trio.testing.MockClock``."""

    __slots__ = ()

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return trio.current_time()


class WallClock(Clock):
    """System clock, in seconds since the epoch."""

    __slots__ = ()

    def now(self) -> float:
        """Return the seconds since the epoch."""
        return time.time()


class Activity:
    """Signal by which a subscriber says whether its callback has work.

    A callback without work is not called, which saves the wake-ups of a process.
    """

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = trio.Event()

    def begin(self) -> None:
        """Let the callback be called."""
        self._event.set()

    def end(self) -> None:
        """Stop calling the callback."""
        if self._event.is_set():
            self._event = trio.Event()

    async def wait(self) -> None:
        """Return once there is work."""
        while not self._event.is_set():
            await self._event.wait()


class Subscription:
    """Periodic callback.

    Attributes
    ----------
    name : str
    interval : float
        Time between two calls, in seconds.
    callback : callable
        Coroutine function that takes the current time in seconds.
    activity : Activity or None
        Tells whether there is work; None if there always is.
    """

    __slots__ = ("activity", "callback", "interval", "name")

    def __init__(
        self,
        name: str,
        interval: float,
        callback: Callback,
        activity: Activity | None = None,
    ) -> None:
        self.activity = activity
        self.name = name
        self.interval = interval
        self.callback = callback


class TimerService(Component):
    """Calls its subscribers periodically.

    Parameters
    ----------
    clock : Clock
        Provides the time that is passed to the callbacks.
    """

    __slots__ = ("_clock", "subscriptions_by_name")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.subscriptions_by_name: dict[str, Subscription] = {}

    def subscribe(
        self,
        name: str,
        interval: float,
        callback: Callback,
        activity: Activity | None = None,
    ) -> None:
        """Register ``callback`` to run every ``interval`` seconds.

        With ``activity``, it runs only while there is work.
        """
        subscription = Subscription(name, interval, callback, activity)
        self.subscriptions_by_name[name] = subscription

    async def start(self, nursery: trio.Nursery) -> None:
        """Run all subscriptions in ``nursery``."""
        nursery.start_soon(self.run)

    async def run(self) -> None:
        """Run all subscriptions until cancelled."""
        async with trio.open_nursery() as nursery:
            for subscription in self.subscriptions_by_name.values():
                nursery.start_soon(self._repeat, subscription)

    async def _repeat(self, subscription: Subscription) -> None:
        due = trio.current_time()
        while True:
            if subscription.activity is not None:
                await subscription.activity.wait()
                due = max(due, trio.current_time())
            try:
                await subscription.callback(self._clock.now())
            except Exception as error:
                # The other subscriptions go on, and this one is called again.
                log_task_failure(subscription.name, subscription.interval, error)
            due = max(due + subscription.interval, trio.current_time())
            await trio.sleep_until(due)
