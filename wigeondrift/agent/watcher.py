"""Watches the platform's table and instance list on behalf of an instance."""

import random
from collections.abc import Awaitable, Callable

import trio

from wigeondrift.backoff import Backoff
from wigeondrift.errors import PlatformError
from wigeondrift.store.contract import InstanceList, PlatformStore, VersionedValue
from wigeondrift.systems.control import PLATFORM_LIST, PLATFORM_TABLE
from wigeondrift.table.rows import TABLE_KEY

MIN_WATCH_SECONDS = 2.0
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
MAX_WATCHES_PER_SECOND = 100.0
WATCHES_PER_AGENT = 2
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 2.0


def compute_watch_wait(agents: int, max_wait: float) -> float:
    """Return the maximum wait of one watch call, in seconds.

    A short wait detects an unresponsive connection early. The wait grows with the
    number of agents so that the calls of all agents stay below
    ``MAX_WATCHES_PER_SECOND``.

    Parameters
    ----------
    agents : int
        Number of agents that watch.
    max_wait : float
        Maximum wait allowed by the settings, in seconds.
    """
    rate_limited_wait = agents * WATCHES_PER_AGENT / MAX_WATCHES_PER_SECOND
    return min(max_wait, max(MIN_WATCH_SECONDS, rate_limited_wait))


class Watcher:
    """Keeps a watch on the table and one on the instance list.

    Parameters
    ----------
    store : PlatformStore
    rng : random.Random
        Source of the jitter between retries.
    compute_wait : callable
        Returns the maximum wait of the next watch call, in seconds.
    on_table, on_instances : callable
        Called with the result of each watch call.
    on_failure : callable
        Called with the name of a watch whose call failed.

    Attributes
    ----------
    calls : int
        Number of calls made to the platform.
    """

    __slots__ = (
        "_compute_wait",
        "_on_failure",
        "_on_instances",
        "_on_table",
        "_rng",
        "_store",
        "calls",
    )

    def __init__(
        self,
        store: PlatformStore,
        rng: random.Random,
        compute_wait: Callable[[], float],
        on_table: Callable[[VersionedValue], None],
        on_instances: Callable[[InstanceList], None],
        on_failure: Callable[[str], None],
    ) -> None:
        self._store = store
        self._rng = rng
        self._compute_wait = compute_wait
        self._on_table = on_table
        self._on_instances = on_instances
        self._on_failure = on_failure
        self.calls = 0

    async def watch_table(self) -> None:
        """Watch the table until cancelled."""

        async def call(after: int, wait: float) -> int:
            stored = await self._store.watch(TABLE_KEY, after, wait)
            self._on_table(stored)
            return stored.revision

        await self._repeat(PLATFORM_TABLE, call)

    async def watch_instances(self) -> None:
        """Watch the instance list until cancelled."""

        async def call(after: int, wait: float) -> int:
            listed = await self._store.list_instances(after, wait)
            self._on_instances(listed)
            return listed.revision

        await self._repeat(PLATFORM_LIST, call)

    async def _repeat(
        self, name: str, call: Callable[[int, float], Awaitable[int]]
    ) -> None:
        backoff = Backoff(MIN_RETRY_SECONDS, MAX_RETRY_SECONDS, self._rng)
        after = 0
        wait = 0.0
        while True:
            self.calls += 1
            started_at = trio.current_time()
            try:
                with trio.fail_after(wait + WATCH_TIMEOUT_MARGIN_SECONDS):
                    revision = await call(after, wait)
            except (PlatformError, trio.TooSlowError):
                self._on_failure(name)
                await trio.sleep(backoff.next_wait())
                continue
            if revision > after:
                backoff.reset()
                after = revision
            elif trio.current_time() - started_at < wait / 2.0:
                # The call returned early without a change; delay the next one.
                await trio.sleep(backoff.next_wait())
            wait = self._compute_wait()
