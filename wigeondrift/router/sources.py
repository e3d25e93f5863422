"""Sources of the store's changes: the interface, and reads from the store itself."""

import abc
import math
from collections.abc import Callable

import msgspec
import trio

from wigeondrift.router.settings import Bounds
from wigeondrift.store.revisions import Item, Position, RevisionStore
from wigeondrift.systems.freshness import Freshness
from wigeondrift.systems.relays import RelayTable

# Pause after changes, so that one request reads several changes in quick succession, as
# the platform counts each request. Shorter than the margin that the freshness of the
# configuration leaves for it, and than the bounds on changes (2 s).
BATCH_SECONDS = 0.8
# The same for a relay, as a fraction of the bound on changes; its followers learn of a
# change only after it.
RELAY_BATCH_SHARE = 0.2
# Fraction of the bound on changes for which a router waits after its first read of the
# store. Routers and upstreams that start at about the same time register meanwhile, and
# one request reads them all.
STARTUP_PAUSE_SHARE = 0.4
# Fraction of the bound on changes for which a relay holds a query without changes. With
# a margin, it is also the time in which a follower detects that its relay has failed.
RELAY_HOLD_SHARE = 0.25
# Time beyond its wait after which a watch is overdue. Followers don't wait until it has
# failed.
ANSWER_MARGIN_SECONDS = 0.35
# Time beyond its wait within which a watch must have been answered (the timeout of the
# store's client), and the fraction of the bound on changes within which followers must
# learn that their relay lost the store.
STORE_MARGIN_SECONDS = 0.7
OUTAGE_DETECTION_SHARE = 0.8


class Changes(msgspec.Struct):
    """Changes after a position.

    Attributes
    ----------
    items : tuple of Item
    position : Position
        Position up to which the changes are complete.
    confirmed_at : float
        Time up to which the changes are complete, in seconds on the clock that
        includes time spent suspended.
    answered_at : float
        Time of the store's last response, in seconds on the same clock.
    """

    items: tuple[Item, ...]
    position: Position
    confirmed_at: float
    answered_at: float


class ChangeSource(abc.ABC):
    """Source of the store's changes."""

    @abc.abstractmethod
    async def read(self, after: Position) -> Changes:
        """Wait for changes after a position; return none if there are none in time.

        Raises
        ------
        HistoryLost
            If some changes since ``after`` are no longer known, or the store was
            restored.
        PlatformError
            If there is no response.
        """


def get_relay_wait(bounds: Bounds) -> float:
    """Return the longest wait of a relay's watch, in seconds.

    A relay detects an outage of the store when a watch is not answered in time. The
    time left must suffice for its followers to learn of a change within the bound.
    """
    return OUTAGE_DETECTION_SHARE * bounds.change_apply - STORE_MARGIN_SECONDS


def get_relay_batch(bounds: Bounds) -> float:
    """Return the pause of a relay after changes, in seconds."""
    return min(BATCH_SECONDS, RELAY_BATCH_SHARE * bounds.change_apply)


class StoreSource(ChangeSource):
    """Reads changes by watching the store.

    Parameters
    ----------
    store : RevisionStore
    freshness : Freshness
        Determines how long a watch may wait.
    table : RelayTable
    bounds : Bounds
    get_time : callable
        Clock that includes time spent suspended, in seconds.
    """

    __slots__ = (
        "_bounds",
        "_due_at",
        "_store_delay",
        "_freshness",
        "_get_time",
        "_had_changes",
        "_is_first",
        "_store",
        "_table",
        "_may_wait",
    )

    def __init__(
        self,
        store: RevisionStore,
        freshness: Freshness,
        table: RelayTable,
        bounds: Bounds,
        get_time: Callable[[], float],
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._table = table
        self._bounds = bounds
        self._get_time = get_time
        self._store_delay = 0.0
        # Time by which the store should have answered the present read, in seconds.
        self._due_at = math.inf
        self._had_changes = False
        self._may_wait = False
        self._is_first = True

    def update_bounds(self, bounds: Bounds) -> None:
        """Set other bounds."""
        self._bounds = bounds

    def poll_next(self) -> None:
        """Let the next read return at once, with or without changes."""
        self._may_wait = False
        self._had_changes = False

    @property
    def due_at(self) -> float:
        """Time after which the store is overdue with an answer, in seconds.

        Infinite if it isn't being read, or while an answer arrives.
        """
        return math.inf if self._store.is_receiving else self._due_at

    async def read(self, after: Position) -> Changes:
        """Return the changes after a position."""
        if self._is_first:
            self._is_first = False
            await trio.sleep(STARTUP_PAUSE_SHARE * self._bounds.change_apply)
        elif self._had_changes:
            self._had_changes = False
            await trio.sleep(self._get_pause())
        wait = self._get_wait() if self._may_wait else 0.0
        # After a failure, the first read should return at once.
        self._may_wait = False
        asked_at = self._get_time()
        self._due_at = asked_at + wait + self._store_delay + ANSWER_MARGIN_SECONDS
        page = await self._store.watch("", after, wait)
        self._due_at = math.inf
        self._store_delay = max(0.0, self._get_time() - asked_at - wait)
        self._may_wait = True
        self._had_changes = bool(page.items)
        return Changes(page.items, page.position, asked_at, self._get_time())

    def _get_pause(self) -> float:
        if self._table.is_relay:
            return get_relay_batch(self._bounds)
        return BATCH_SECONDS

    def _get_wait(self) -> float:
        if not self._table.is_relay:
            return self._freshness.get_watch_seconds(self._store_delay)
        bound = self._bounds.change_apply
        wait = self._freshness.get_watch_seconds(
            self._store_delay, RELAY_HOLD_SHARE * bound
        )
        return min(wait, get_relay_wait(self._bounds))
