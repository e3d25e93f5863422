"""Interface of the platform's key-value service and instance list."""

import abc

import msgspec

from wigeondrift.entities import Instance


class VersionedValue(msgspec.Struct, frozen=True):
    """Stored value with its revision.

    Attributes
    ----------
    key : str
    value : bytes
        At most 1 MiB; empty for an absent key.
    revision : int
        Increases with each write to the key; zero for an absent key.
    """

    key: str
    value: bytes
    revision: int


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's list of instances, which lags behind their actual state.

    Attributes
    ----------
    revision : int
        Increases with each change of the list.
    instances : tuple of Instance
        All live and leaving instances.
    """

    revision: int
    instances: tuple[Instance, ...]


class PlatformStore(abc.ABC):
    """Key-value service with compare-and-swap, leases, watches and an instance list.

    Each call counts once against the service's rate limit, including a watch that
    waits. Each call may raise ``PlatformUnavailable``, after which a write may
    still have taken effect, or ``PlatformThrottled``, after which it has not.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> VersionedValue:
        """Return the value of ``key``; revision zero if it is absent."""

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write ``value`` if the key is at revision ``expected``.

        Parameters
        ----------
        key : str
        value : bytes
        expected : int
            Revision read before; zero to create the key.
        lease : str, optional
            Lease whose expiry deletes the key.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision ``expected``.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        """

    @abc.abstractmethod
    async def list_keys(self, prefix: str, limit: int = 1000) -> list[str]:
        """Return up to ``limit`` keys that start with ``prefix``, sorted."""

    @abc.abstractmethod
    async def watch(self, key: str, after: int, wait: float) -> VersionedValue:
        """Return the value once its revision differs from ``after``.

        Returns the unchanged value when ``wait`` seconds have passed.
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds: float) -> str:
        """Return the name of a new lease that expires after ``seconds``."""

    @abc.abstractmethod
    async def renew_lease(self, lease: str) -> bool:
        """Extend a lease by its full duration; return False if it has expired."""

    @abc.abstractmethod
    async def list_instances(self, after: int, wait: float) -> InstanceList:
        """Return the list once its revision differs from ``after``.

        Returns the unchanged list when ``wait`` seconds have passed.
        """
