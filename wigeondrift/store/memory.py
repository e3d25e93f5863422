"""In-memory implementation of the platform store, equivalent to ``store.http``."""

from collections.abc import Callable

import trio

from wigeondrift.entities import Instance
from wigeondrift.errors import PlatformUnavailable
from wigeondrift.store.contract import InstanceList, PlatformStore, VersionedValue
from wigeondrift.store.core import DownMode, Faults, StoreCore
from wigeondrift.timer import Clock, TrioClock

CALL_TIMEOUT_SECONDS = 2.0
MIN_WAIT_SECONDS = 0.001


class ChangeNotifier:
    """Notifies all tasks that wait for a change of the store."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = trio.Event()

    def notify(self) -> None:
        """Wake up the waiting tasks."""
        self._event.set()
        self._event = trio.Event()

    async def wait(self, seconds: float) -> None:
        """Return at the next change, or after ``seconds`` at the latest."""
        with trio.move_on_after(seconds):
            await self._event.wait()


class MemoryStore(PlatformStore):
    """Connection of one caller to an in-memory store.

    Parameters
    ----------
    core : StoreCore, optional
        State of the store; a new one if absent.
    clock : Clock, optional
        Must advance with the event loop's time.
    caller : str
        Name of the connection, see ``Faults.down_by_caller``.
    call_timeout : float
        Time after which a call to a hanging service fails, in seconds.
    notifier : ChangeNotifier, optional
        Shared by all connections to one core; see ``connect``.
    """

    __slots__ = ("_call_timeout", "_caller", "_clock", "_notifier", "core", "watching")

    def __init__(
        self,
        core: StoreCore | None = None,
        clock: Clock | None = None,
        caller: str = "",
        call_timeout: float = CALL_TIMEOUT_SECONDS,
        notifier: ChangeNotifier | None = None,
    ) -> None:
        self.core = core or StoreCore()
        self.watching = 0
        self._clock = clock or TrioClock()
        self._caller = caller
        self._call_timeout = call_timeout
        self._notifier = notifier or ChangeNotifier()

    def connect(self, caller: str) -> "MemoryStore":
        """Return a connection of another caller to the same store."""
        return MemoryStore(
            self.core, self._clock, caller, self._call_timeout, self._notifier
        )

    @property
    def faults(self) -> Faults:
        """Injected faults in force; change them with ``change_faults``."""
        return self.core.faults

    def change_faults(self, **fields: object) -> None:
        """Set some of the injected faults and wake up the waiting tasks."""
        for name, value in fields.items():
            setattr(self.core.faults, name, value)
        self._notifier.notify()

    def set_instances(self, *instances: Instance) -> None:
        """Replace the instance list."""
        self.core.set_instances(self._clock.now(), instances)
        self._notifier.notify()

    def update_instances(
        self, put: tuple[Instance, ...], removed: tuple[str, ...] = ()
    ) -> None:
        """Add or replace instances by name and remove others."""
        self.core.update_instances(self._clock.now(), put, removed)
        self._notifier.notify()

    async def get(self, key: str) -> VersionedValue:
        """Return the value of ``key``."""
        now = await self._apply_call_delay()
        self.core.admit_read(now, "get", self._caller)
        return self.core.read(now, key)

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write ``value`` if the key is at revision ``expected``."""
        now = await self._apply_call_delay()
        self.core.admit_write(now, "put", self._caller)
        try:
            return self.core.put(now, key, value, expected, lease)
        finally:
            self._notifier.notify()

    async def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision ``expected``."""
        now = await self._apply_call_delay()
        self.core.admit_write(now, "delete", self._caller)
        try:
            self.core.delete(now, key, expected)
        finally:
            self._notifier.notify()

    async def list_keys(self, prefix: str, limit: int = 1000) -> list[str]:
        """Return up to ``limit`` keys that start with ``prefix``, sorted."""
        now = await self._apply_call_delay()
        self.core.admit_read(now, "list_keys", self._caller)
        return self.core.list_keys(now, prefix, limit)

    async def watch(self, key: str, after: int, wait: float) -> VersionedValue:
        """Return the value once its revision differs from ``after``."""
        now = await self._apply_call_delay()
        self.core.admit_read(now, "watch", self._caller)

        def observe(now: float) -> tuple[bool, float, VersionedValue]:
            result = self.core.read(now, key)
            due = self.core.next_read_change(now, key)
            return result.revision != after, due, result

        return await self._wait_for_change(observe, now + wait)

    async def grant_lease(self, seconds: float) -> str:
        """Return the name of a new lease that expires after ``seconds``."""
        now = await self._apply_call_delay()
        self.core.admit_write(now, "grant_lease", self._caller)
        lease = self.core.grant_lease(now, seconds)
        self._notifier.notify()
        return lease

    async def renew_lease(self, lease: str) -> bool:
        """Extend a lease by its full duration; return False if it has expired."""
        now = await self._apply_call_delay()
        self.core.admit_write(now, "renew_lease", self._caller)
        return self.core.renew_lease(now, lease)

    async def list_instances(self, after: int, wait: float) -> InstanceList:
        """Return the list once its revision differs from ``after``."""
        now = await self._apply_call_delay()
        self.core.admit_read(now, "list_instances", self._caller)

        def observe(now: float) -> tuple[bool, float, InstanceList]:
            result = self.core.read_instances(now)
            due = self.core.next_instances_change(now)
            return result.revision != after, due, result

        return await self._wait_for_change(observe, now + wait)

    async def _apply_call_delay(self) -> float:
        """Wait for the injected delay or outage of the call; return the time."""
        await trio.lowlevel.checkpoint()
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        await self._wait_while_hanging(self._clock.now() + self._call_timeout)
        return self._clock.now()

    async def _wait_while_hanging(self, deadline: float) -> None:
        if self.core.down_mode(self._caller) is not DownMode.HANG:
            return
        while self.core.down_mode(self._caller) is DownMode.HANG:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                break
            await self._notifier.wait(remaining)
        raise PlatformUnavailable("the platform did not respond in time")

    async def _wait_for_change(
        self, observe: Callable[[float], tuple[bool, float, object]], deadline: float
    ):
        self.watching += 1
        try:
            while True:
                mode = self.core.down_mode(self._caller)
                if mode is DownMode.RESET:
                    raise PlatformUnavailable("the platform went down")
                if mode is DownMode.HANG:
                    await self._wait_while_hanging(deadline + self._call_timeout)
                now = self._clock.now()
                changed, due, result = observe(now)
                if changed or now >= deadline:
                    return result
                await self._notifier.wait(
                    max(min(due, deadline) - now, MIN_WAIT_SECONDS)
                )
        finally:
            self.watching -= 1
