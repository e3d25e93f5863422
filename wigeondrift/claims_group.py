"""Group commit of claims: one compare-and-swap carries many, by shard of the name.

A shard holds the claims in progress; a finished claim moves to a key of its own.
"""

import contextlib
import zlib

import msgspec
import trio

from wigeondrift.claim import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
)
from wigeondrift.claims import ClaimStore, KeyClaimStore, StoredClaim
from wigeondrift.errors import PlatformError, PlatformUnavailable, RevisionConflict
from wigeondrift.platform import PlatformStore
from wigeondrift.timer import Clock

BATCH_SECONDS = 0.004
POLL_SECONDS = 1.0
FINISHED_REVISION = 1 << 60
FINISHED_STATES = (ClaimState.DONE, ClaimState.SETTLED)


class ShardClaim(msgspec.Struct, frozen=True):
    """A claim in a shard with its own version."""

    claim: Claim
    version: int


class Shard(msgspec.Struct, frozen=True):
    """Claims in progress of one shard.

    Attributes
    ----------
    version : int
        Grows with each claim written.
    claims_by_name : dict of str to ShardClaim
    """

    version: int = 0
    claims_by_name: dict[str, ShardClaim] = {}


class _Swap:
    """One waiting write of a claim."""

    __slots__ = ("claim", "error", "expected", "name", "version")

    def __init__(self, name: str, claim: Claim, expected: int) -> None:
        self.name = name
        self.claim = claim
        self.expected = expected
        self.version = 0
        self.error: PlatformError | None = None

    @property
    def is_over(self) -> bool:
        return bool(self.version) or self.error is not None


class _ShardWriter:
    """Commits the waiting writes of one shard together."""

    __slots__ = ("_finished", "_key", "_known", "_lock", "_owner", "_waiting")

    def __init__(self, owner: "GroupClaimStore", key: str) -> None:
        self._owner = owner
        self._key = key
        self._lock = trio.Lock()
        self._waiting: list[_Swap] = []
        self._finished: set[str] = set()
        self._known: tuple[Shard, int] | None = None

    def forget(self, name: str) -> None:
        """Drop a finished claim with the next write."""
        self._finished.add(name)

    async def read(self) -> tuple[Shard, int]:
        """Return the shard and its revision."""
        found = await self._owner.platform.get(self._key)
        if not found.revision:
            return Shard(), 0
        return msgspec.json.decode(found.value, type=Shard), found.revision

    async def swap(self, swap: _Swap) -> int:
        """Write one claim with those that wait beside it."""
        self._waiting.append(swap)
        async with self._lock:
            if not swap.is_over:
                await trio.sleep(BATCH_SECONDS)
                await self._commit()
        if swap.error is not None:
            raise swap.error
        return swap.version

    async def _commit(self) -> None:
        batch, self._waiting = self._waiting, []
        try:
            while not all(swap.is_over for swap in batch):
                await self._commit_once(batch)
        except PlatformError as error:
            self._known = None
            for swap in batch:
                if not swap.is_over:
                    swap.error = error
        except BaseException:
            self._known = None
            self._waiting = [swap for swap in batch if not swap.is_over]
            raise

    async def _commit_once(self, batch: list[_Swap]) -> None:
        if self._known is None:
            self._known = await self.read()
        shard, revision = self._known
        await self._check_finished(batch)
        version = shard.version
        claims = {
            name: held
            for name, held in shard.claims_by_name.items()
            if name not in self._finished
        }
        written = []
        for swap in batch:
            if swap.is_over:
                continue
            found = claims.get(swap.name)
            found_version = found.version if found else 0
            if found_version != swap.expected:
                swap.error = RevisionConflict(swap.name, swap.expected, found_version)
                continue
            version += 1
            claims[swap.name] = ShardClaim(swap.claim, version)
            written.append((swap, version))
        if not written:
            return
        changed = Shard(version, claims)
        data = msgspec.json.encode(changed)
        try:
            newest = await self._owner.platform.put(self._key, data, revision)
        except RevisionConflict:
            self._known = None
            return
        self._known = (changed, newest)
        for swap, number in written:
            swap.version = number

    async def _check_finished(self, batch: list[_Swap]) -> None:
        async def check(swap: _Swap) -> None:
            try:
                found = await self._owner.finished.read(swap.name)
            except PlatformError as error:
                swap.error = error
                return
            if found.revision:
                found_revision = FINISHED_REVISION + found.revision
                swap.error = RevisionConflict(swap.name, swap.expected, found_revision)

        async with trio.open_nursery() as nursery:
            for swap in batch:
                if not swap.is_over and swap.claim.state is ClaimState.HELD:
                    nursery.start_soon(check, swap)


class GroupClaimStore(ClaimStore):
    """Commits the claims of a shard together.

    Parameters
    ----------
    platform : PlatformStore
    clock : Clock
    shards : int
        Number of shards.
    """

    __slots__ = ("_writers", "finished", "platform")

    def __init__(self, platform: PlatformStore, clock: Clock, shards: int = 16) -> None:
        self.platform = platform
        self.finished = KeyClaimStore(platform, clock)
        self._writers = [
            _ShardWriter(self, f"{CLAIM_PREFIX}shard-{number}")
            for number in range(shards)
        ]

    async def read(self, name: str) -> StoredClaim:
        """Return the claim; see ``ClaimStore``."""
        shard, _ = await self._get_writer(name).read()
        done = await self.finished.read(name)
        if done.revision:
            return StoredClaim(done.claim, FINISHED_REVISION + done.revision)
        held = shard.claims_by_name.get(name)
        return StoredClaim(held.claim, held.version) if held else StoredClaim(None, 0)

    async def swap(self, name: str, claim: Claim, expected: int) -> int:
        """Write the claim if none intervened; see ``ClaimStore``."""
        writer = self._get_writer(name)
        if claim.state not in FINISHED_STATES:
            return await writer.swap(_Swap(name, claim, expected))
        try:
            revision = await self.finished.swap(name, claim, 0)
        except RevisionConflict as conflict:
            found = FINISHED_REVISION + conflict.found
            raise RevisionConflict(name, expected, found) from conflict
        writer.forget(name)
        return FINISHED_REVISION + revision

    async def watch(self, name: str, after: int, wait: float) -> StoredClaim:
        """Wait for a change of the claim; see ``ClaimStore``."""
        with contextlib.suppress(PlatformUnavailable):
            await self.finished.watch(name, 0, min(wait, POLL_SECONDS))
        return await self.read(name)

    def _get_writer(self, name: str) -> _ShardWriter:
        return self._writers[zlib.crc32(name.encode()) % len(self._writers)]
