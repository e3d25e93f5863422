"""Claims in the platform's store: one compare-and-swap decides who may send.

``ClaimStore`` holds the bare calls; ``Acquisition`` and ``conclude`` settle what
lost answers, conflicts and stale reads leave open.
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
FIRST_PAUSE_SECONDS = 0.01
LONGEST_PAUSE_SECONDS = 0.5


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim as the store has it.

    Attributes
    ----------
    claim : Claim or None
        None if there is none.
    revision : int
        Grows with each write; zero if there is no claim.
    """

    claim: Claim | None
    revision: int


class ClaimStore(abc.ABC):
    """Keeps claims by name; each call may raise as ``PlatformStore`` does."""

    @abc.abstractmethod
    async def read(self, name: str) -> StoredClaim:
        """Return the claim, which may be older than the newest one."""

    @abc.abstractmethod
    async def swap(self, name: str, claim: Claim, expected: int) -> int:
        """Write the claim if the one in force has revision ``expected``.

        Returns
        -------
        int
            The new revision.

        Raises
        ------
        RevisionConflict
            If it has another; nothing was written.
        """

    @abc.abstractmethod
    async def watch(self, name: str, after: int, wait: float) -> StoredClaim:
        """Return the claim once its revision is not ``after``, or after ``wait``."""


class KeyClaimStore(ClaimStore):
    """Keeps each claim under a key of its own, which a platform lease ends.

    The process's lease is replaced periodically, so that a claim is kept for at
    least the retention and deleted by the platform without a call.

    Parameters
    ----------
    platform : PlatformStore
    clock : Clock
        Paces the leases.
    retention : float
        Shortest time for which a claim is kept, in seconds.
    """

    __slots__ = ("_clock", "_lease", "_lease_at", "_lock", "_platform", "_retention")

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
        self._lease_at = 0.0
        self._lock = trio.Lock()

    async def read(self, name: str) -> StoredClaim:
        """Return the claim; see ``ClaimStore``."""
        return _parse(await self._platform.get(name))

    async def swap(self, name: str, claim: Claim, expected: int) -> int:
        """Write the claim if none intervened; see ``ClaimStore``."""
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
            age = self._clock.now() - self._lease_at
            if not self._lease or age > LEASE_ROTATION_SECONDS:
                at = self._clock.now()
                seconds = self._retention + LEASE_ROTATION_SECONDS
                self._lease = await self._platform.grant_lease(seconds)
                self._lease_at = at
            return self._lease


def _parse(found: VersionedValue) -> StoredClaim:
    if not found.revision:
        return StoredClaim(None, 0)
    return StoredClaim(parse_claim(found.value), found.revision)


async def iter_pauses(source: random.Random) -> AsyncIterator[None]:
    """Yield at once, then after pauses that grow and differ between processes."""
    pause = FIRST_PAUSE_SECONDS
    while True:
        yield
        await trio.sleep(pause * source.uniform(0.5, 1.0))
        pause = min(pause * 2, LONGEST_PAUSE_SECONDS)


class Acquisition:
    """One try to claim a name.

    Parameters
    ----------
    store : ClaimStore
    name : str
        Name of the claim.
    claim : Claim
        What is written if the name is free.
    may_take : callable
        Whether a claim that is found may be replaced.
    source : random.Random
        Spreads the pauses.

    Attributes
    ----------
    claim : Claim
        As last written, with its fencing number.
    in_doubt : bool
        Whether a write may have taken effect, or still may, without our knowing.
    is_answered : bool
        Whether the platform answered any of the writes.
    """

    __slots__ = (
        "_may_take",
        "_name",
        "_random",
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
        may_take: Callable[[Claim], bool],
        source: random.Random,
    ) -> None:
        self._store = store
        self._name = name
        self._may_take = may_take
        self._random = source
        self.claim = claim
        self.in_doubt = False
        self.is_answered = False

    async def run(self) -> StoredClaim:
        """Return the claim in force, own or another's; cancel it to give up.

        Raises
        ------
        PlatformRefused
            If the platform will not take the claim.
        """
        expected = 0
        async for _ in iter_pauses(self._random):
            try:
                revision = await self._write(expected)
                return StoredClaim(self.claim, revision)
            except PlatformThrottled:
                continue
            except (RevisionConflict, PlatformUnavailable):
                found = await self._read()
            if found is None:
                continue
            if found.claim is not None and not self._may_replace(found.claim):
                return found
            expected = found.revision
        raise AssertionError("pauses do not end")

    def _may_replace(self, found: Claim) -> bool:
        if found.claim_id == self.claim.claim_id or not self._may_take(found):
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


async def conclude(
    store: ClaimStore,
    name: str,
    final: Claim,
    revision: int,
    source: random.Random,
) -> bool:
    """Put the final state of an own claim in force; cancel it to give up.

    A name found free gets the final state as well, so that a write of the claim
    that is still on its way finds it taken.

    Parameters
    ----------
    store : ClaimStore
    name : str
        Name of the claim.
    final : Claim
        Own claim in its final state.
    revision : int
        Revision of the held claim; zero if it is not known.
    source : random.Random
        Spreads the pauses.

    Returns
    -------
    bool
        False if the name is another's or the claim was settled by an operator.
    """
    expected = revision
    async for _ in iter_pauses(source):
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
        if _is_concluded(found.claim, final):
            return found.claim.state is final.state
        expected = found.revision
        if found.claim is not None:
            fencing = max(final.fencing, found.claim.fencing)
            final = msgspec.structs.replace(final, fencing=fencing)
    raise AssertionError("pauses do not end")


def _is_concluded(found: Claim | None, final: Claim) -> bool:
    """Return whether there is nothing to write over ``found``."""
    if found is None:
        return False
    if found.claim_id != final.claim_id:
        return found.state is not ClaimState.RELEASED
    if found.state is ClaimState.RELEASED:
        return final.state is ClaimState.RELEASED
    return found.state is not ClaimState.HELD
