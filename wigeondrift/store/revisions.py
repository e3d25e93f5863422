"""Contract of a store with one revision counter, leases, watches, transactions."""

import abc
from collections.abc import Sequence

import msgspec


class Item(msgspec.Struct, frozen=True):
    """A stored value, or the removal of one.

    Attributes
    ----------
    key : str
    value : bytes or None
        None if the key was removed.
    revision : int
        Of its last change.
    """

    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """Items read, or changes seen, and the store's revision then."""

    items: tuple[Item, ...]
    revision: int


class RevisionStore(abc.ABC):
    """Store whose answers are linearizable.

    Each call may raise ``PlatformUnavailable``, after which a write may still take
    effect, ``PlatformThrottled`` or ``PlatformRefused``, after which it has not.
    """

    @abc.abstractmethod
    async def list_items(self, prefix: str) -> Page:
        """Return all items below ``prefix``.

        Pages are read one after another: a watch goes on at the revision returned,
        which is that of the first page.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait: float) -> Page:
        """Return the changes after a revision as soon as there is one.

        Returns none when ``wait`` seconds have passed.

        Raises
        ------
        HistoryLost
            If the store no longer has the changes since ``after``.
        """

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, expected: int, lease: int = 0) -> int:
        """Write ``value`` if the key is at revision ``expected``, 0 for absent.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        LeaseEnded
            If there is no such lease.
        """

    @abc.abstractmethod
    async def delete(self, keys: Sequence[str]) -> None:
        """Delete keys, whatever their revisions."""

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease that ends after ``seconds``."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Extend a lease by its full time.

        Raises
        ------
        LeaseEnded
        """

    @abc.abstractmethod
    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed."""
