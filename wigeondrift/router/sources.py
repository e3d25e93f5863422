"""Where a router learns of the store's changes: the contract, and the store itself."""

import abc
from collections.abc import Callable

import msgspec
import trio

from wigeondrift.router.settings import Bounds
from wigeondrift.store.revisions import Item, RevisionStore
from wigeondrift.systems.freshness import Freshness
from wigeondrift.systems.relays import RelayTable

# Pause after changes, so that those which come in a row are read by one call: each is
# counted. Short beside the bounds on configuration and on leaving upstreams (2 s).
BATCH_SECONDS = 0.8
# The same at a relay, whose calls serve many.
RELAY_BATCH_SECONDS = 0.4
# Part of the bound on changes for which a relay holds a question without news; with a
# margin it is the time in which a follower notices that its relay has gone.
RELAY_HOLD_SHARE = 0.25
# Time in which the store must have answered a waiting call (the client's bound), and
# part of the bound on changes by which followers must know that a relay lost it.
STORE_MARGIN_SECONDS = 0.7
OUTAGE_DETECTION_SHARE = 0.8


class Changes(msgspec.Struct):
    """Changes after a revision.

    Attributes
    ----------
    items : tuple of Item
    revision : int
        Up to which these are all.
    confirmed_at : float
        Time before which nothing else has changed, on the clock that counts
        suspension, in seconds.
    answered_at : float
        Time at which the store last answered, on the same clock.
    """

    items: tuple[Item, ...]
    revision: int
    confirmed_at: float
    answered_at: float


class ChangeSource(abc.ABC):
    """Tells what changed."""

    @abc.abstractmethod
    async def read(self, after: int) -> Changes:
        """Return the changes after a revision, perhaps none after some seconds.

        Raises
        ------
        HistoryLost
            If some changes since ``after`` are no longer known.
        PlatformError
            If there is no answer.
        """


def get_relay_wait(bounds: Bounds) -> float:
    """Return the longest wait of a relay's watch, in seconds.

    A relay notices that it lost the store when a watch has not been answered in time;
    its followers must then still learn of a change within the bound.
    """
    return OUTAGE_DETECTION_SHARE * bounds.change_apply - STORE_MARGIN_SECONDS


class StoreSource(ChangeSource):
    """Watches the store.

    Parameters
    ----------
    store : RevisionStore
    freshness : Freshness
        Says how long a watch may wait.
    table : RelayTable
    bounds : Bounds
    get_time : callable
        Clock that counts suspension, in seconds.
    """

    __slots__ = (
        "_bounds",
        "_store_delay",
        "_freshness",
        "_get_time",
        "_had_changes",
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
        self._had_changes = False
        self._may_wait = False

    def update_bounds(self, bounds: Bounds) -> None:
        """Take other bounds."""
        self._bounds = bounds

    def poll_next(self) -> None:
        """Let the next call return at once, with news or without."""
        self._may_wait = False
        self._had_changes = False

    async def read(self, after: int) -> Changes:
        """Return the changes after a revision."""
        if self._had_changes:
            self._had_changes = False
            is_relay = self._table.is_relay
            await trio.sleep(RELAY_BATCH_SECONDS if is_relay else BATCH_SECONDS)
        wait = self._get_wait() if self._may_wait else 0.0
        # After a failure the first answer should come at once.
        self._may_wait = False
        asked_at = self._get_time()
        page = await self._store.watch("", after, wait)
        self._store_delay = max(0.0, self._get_time() - asked_at - wait)
        self._may_wait = True
        self._had_changes = bool(page.items)
        return Changes(page.items, page.revision, asked_at, self._get_time())

    def _get_wait(self) -> float:
        if not self._table.is_relay:
            return self._freshness.get_watch_seconds(self._store_delay)
        bound = self._bounds.change_apply
        wait = self._freshness.get_watch_seconds(
            self._store_delay, RELAY_HOLD_SHARE * bound
        )
        return min(wait, get_relay_wait(self._bounds))
