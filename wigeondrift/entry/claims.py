"""Claims in the platform's store; a compare-and-swap decides who may send.

``ClaimStore`` holds the single calls to the store. ``Acquisition`` and
``finalize_claim`` retry them after lost answers, conflicts and stale reads.
"""

import abc
import random
from collections.abc import AsyncIterator, Callable

import msgspec
import trio

from wigeondrift.entry.claim import Claim, ClaimState, parse_claim, serialize_claim
from wigeondrift.errors import (
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.store.contract import PlatformStore, VersionedValue
from wigeondrift.timer import Clock

RETENTION_SECONDS = 86400.0
LEASE_ROTATION_SECONDS = 600.0
MIN_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.5


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim as read from the store.

    Attributes
    ----------
    claim : Claim or None
        None if the name is not claimed.
    revision : int
        Increases with each write; zero if there is no claim.
    """

    claim: Claim | None
    revision: int


class ClaimStore(abc.ABC):
    """Stores claims by name; every method raises the errors of ``PlatformStore``."""

    @abc.abstractmethod
    async def read(self, name: str) -> StoredClaim:
        """Return the claim; the read may be stale."""

    @abc.abstractmethod
    async def swap(self, name: str, claim: Claim, expected: int) -> int:
        """Write the claim if the stored one has revision ``expected``.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        RevisionConflict
            If the stored revision differs; nothing was written.
        """

    @abc.abstractmethod
    async def watch(self, name: str, after: int, wait: float) -> StoredClaim:
        """Return the claim once its revision differs from ``after``.

        Returns the claim as it is after ``wait`` seconds at the latest.
        """


class KeyClaimStore(ClaimStore):
    """Stores each claim under its own key, bound to a platform lease.

    The process takes a new lease periodically. Each claim is therefore kept for at
    least the retention time, and the platform deletes it without another call.

    Parameters
    ----------
    platform : PlatformStore
    clock : Clock
        Determines when a new lease is taken.
    retention : float
        Minimum time for which a claim is kept, in seconds.
    """

    __slots__ = (
        "_clock",
        "_lease",
        "_lease_granted_at",
        "_lock",
        "_platform",
        "_retention",
    )

    def __init__(
        self,
        platform: PlatformStore,
        clock: Clock,
        retention: float = RETENTION_SECONDS,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._retention = retention
        self._lease = ""
        self._lease_granted_at = 0.0
        self._lock = trio.Lock()

    async def read(self, name: str) -> StoredClaim:
        """Return the claim; see ``ClaimStore``."""
        return _parse(await self._platform.get(name))

    async def swap(self, name: str, claim: Claim, expected: int) -> int:
        """Write the claim if its revision is unchanged; see ``ClaimStore``."""
        if not claim.lease:
            claim = msgspec.structs.replace(claim, lease=await self._get_lease())
        data = serialize_claim(claim)
        try:
            return await self._platform.put(name, data, expected, claim.lease)
        except PlatformRefused:
            self._lease = ""
            raise

    async def watch(self, name: str, after: int, wait: float) -> StoredClaim:
        """Wait for a change of the claim; see ``ClaimStore``."""
        return _parse(await self._platform.watch(name, after, wait))

    async def _get_lease(self) -> str:
        async with self._lock:
            age = self._clock.now() - self._lease_granted_at
            if not self._lease or age > LEASE_ROTATION_SECONDS:
                granted_at = self._clock.now()
                seconds = self._retention + LEASE_ROTATION_SECONDS
                self._lease = await self._platform.grant_lease(seconds)
                self._lease_granted_at = granted_at
            return self._lease


def _parse(found: VersionedValue) -> StoredClaim:
    if not found.revision:
        return StoredClaim(None, 0)
    return StoredClaim(parse_claim(found.value), found.revision)


async def iter_backoff(rng: random.Random) -> AsyncIterator[None]:
    """Yield immediately, then after exponentially growing delays with jitter."""
    delay = MIN_BACKOFF_SECONDS
    while True:
        yield
        await trio.sleep(delay * rng.uniform(0.5, 1.0))
        delay = min(delay * 2, MAX_BACKOFF_SECONDS)


class Acquisition:
    """One attempt to claim a name.

    Parameters
    ----------
    store : ClaimStore
    name : str
        Name of the claim.
    claim : Claim
        Claim to write if the name is free.
    may_replace : callable
        Returns whether an existing claim may be replaced.
    rng : random.Random
        Jitter of the retry delays.

    Attributes
    ----------
    claim : Claim
        Claim as last written, with its fencing number.
    in_doubt : bool
        Whether a write with an unknown result may have taken effect or still may.
    is_answered : bool
        Whether the platform answered at least one of the writes.
    """

    __slots__ = (
        "_is_replaceable",
        "_name",
        "_rng",
        "_store",
        "claim",
        "in_doubt",
        "is_answered",
    )

    def __init__(
        self,
        store: ClaimStore,
        name: str,
        claim: Claim,
        may_replace: Callable[[Claim], bool],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._name = name
        self._is_replaceable = may_replace
        self._rng = rng
        self.claim = claim
        self.in_doubt = False
        self.is_answered = False

    async def run(self) -> StoredClaim:
        """Return the current claim, whether it is this one or another.

        Retries until it succeeds or is cancelled.

        Raises
        ------
        PlatformRefused
            If the platform rejects the claim.
        """
        expected = 0
        async for _ in iter_backoff(self._rng):
            try:
                revision = await self._write(expected)
                return StoredClaim(self.claim, revision)
            except PlatformThrottled:
                continue
            except (RevisionConflict, PlatformUnavailable):
                found = await self._read()
            if found is None:
                continue
            if found.claim is not None and not self._prepare_replacement(found.claim):
                return found
            expected = found.revision
        raise AssertionError("the backoff iterator is infinite")

    def _prepare_replacement(self, found: Claim) -> bool:
        if found.claim_id == self.claim.claim_id or not self._is_replaceable(found):
            return False
        is_repeat = found.is_repeat or found.state is not ClaimState.RELEASED
        self.claim = msgspec.structs.replace(
            self.claim, fencing=found.fencing + 1, is_repeat=is_repeat
        )
        return True

    async def _write(self, expected: int) -> int:
        was_in_doubt = self.in_doubt
        self.in_doubt = True
        try:
            revision = await self._store.swap(self._name, self.claim, expected)
        except (RevisionConflict, PlatformThrottled, PlatformRefused):
            self.in_doubt = was_in_doubt
            self.is_answered = True
            raise
        self.in_doubt = False
        return revision

    async def _read(self) -> StoredClaim | None:
        try:
            return await self._store.read(self._name)
        except (PlatformUnavailable, PlatformThrottled):
            return None


async def finalize_claim(
    store: ClaimStore,
    name: str,
    final: Claim,
    revision: int,
    rng: random.Random,
) -> bool:
    """Write the final state of a claim of this process; retry until cancelled.

    If ``revision`` is zero, the final state is also written if the name is found
    free, so that a delayed write of the claim fails with a conflict.

    Parameters
    ----------
    store : ClaimStore
    name : str
        Name of the claim.
    final : Claim
        Claim of this process in its final state.
    revision : int
        Revision of the held claim; zero if unknown.
    rng : random.Random
        Jitter of the retry delays.

    Returns
    -------
    bool
        False if the platform rejects the write, the claim no longer exists, another
        call holds the name or an operator settled the claim.
    """
    expected = revision
    async for _ in iter_backoff(rng):
        try:
            await store.swap(name, final, expected)
            return True
        except PlatformRefused:
            return False
        except RevisionConflict as conflict:
            if revision and not conflict.found:
                return False
        except PlatformThrottled:
            continue
        except PlatformUnavailable:
            pass
        try:
            found = await store.read(name)
        except (PlatformUnavailable, PlatformThrottled):
            continue
        if found.revision < revision:
            continue
        if _is_final(found.claim, final):
            return found.claim.state is final.state
        expected = found.revision
        if found.claim is not None:
            fencing = max(final.fencing, found.claim.fencing)
            final = msgspec.structs.replace(final, fencing=fencing)
    raise AssertionError("the backoff iterator is infinite")


def _is_final(found: Claim | None, final: Claim) -> bool:
    """Return whether ``found`` must not be overwritten by ``final``."""
    if found is None:
        return False
    if found.claim_id != final.claim_id:
        return found.state is not ClaimState.RELEASED
    if found.state is ClaimState.RELEASED:
        return final.state is ClaimState.RELEASED
    return found.state is not ClaimState.HELD
