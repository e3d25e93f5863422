"""Interface of a store with one revision counter, compare-and-swap and leases."""

import abc
from collections.abc import Sequence

import msgspec


class Item(msgspec.Struct, frozen=True):
    """Stored value, or the deletion of one.

    Attributes
    ----------
    key : str
    value : bytes or None
        None if the key was deleted.
    revision : int
        Revision of the last change.
    """

    key: str
    value: bytes | None
    revision: int


class Position(msgspec.Struct, frozen=True):
    """Point in the history of the store.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from a copy of before. Revisions of
        two eras can't be compared.
    revision : int
    """

    era: int
    revision: int


class Lease(msgspec.Struct, frozen=True):
    """Lease of the store, whose keys are deleted when it ends.

    Attributes
    ----------
    era : int
        Era in which it was granted. In the next one it may be gone, and its number may
        be that of another lease.
    number : int
    """

    era: int
    number: int


class Page(msgspec.Struct, frozen=True):
    """Items read or changes observed, and the store's position at that time."""

    items: tuple[Item, ...]
    position: Position


class RevisionStore(abc.ABC):
    """Key-value store with linearizable operations.

    Each call may raise ``PlatformUnavailable``, after which a write may still take
    effect, or ``PlatformThrottled`` or ``PlatformRefused``, after which it has not.
    """

    @property
    @abc.abstractmethod
    def is_receiving(self) -> bool:
        """Whether an answer has begun to arrive and is not complete."""

    @abc.abstractmethod
    async def list_items(self, prefix: str) -> Page:
        """Return all items whose key starts with ``prefix``.

        Pages are read one after another. The returned position is that of the first
        page, so that a watch started there misses no change.

        Raises
        ------
        HistoryLost
            If the store was restored between two pages.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: Position, wait: float) -> Page:
        """Wait for changes after the position ``after`` and return them.

        Returns no changes when ``wait`` seconds have passed.

        Raises
        ------
        HistoryLost
            If the store no longer has the changes since ``after``, or was restored.
        """

    @abc.abstractmethod
    async def put(
        self, key: str, value: bytes, expected: int, lease: Lease | None = None
    ) -> int:
        """Write ``value`` if the key is at revision ``expected``.

        An absent key is at revision zero.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        LeaseEnded
            If there is no such lease, or the store was restored; then the value may
            have been written.
        """

    @abc.abstractmethod
    async def delete(self, keys: Sequence[str]) -> None:
        """Delete keys regardless of their revisions."""

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> Lease:
        """Return a new lease that expires after ``seconds``."""

    @abc.abstractmethod
    async def renew_lease(self, lease: Lease) -> None:
        """Extend a lease by its full duration.

        Raises
        ------
        LeaseEnded
            If the lease has expired, or the store was restored.
        """

    @abc.abstractmethod
    async def end_lease(self, lease: Lease) -> None:
        """Revoke a lease; its keys are deleted."""
