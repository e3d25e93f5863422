"""State of an in-memory key-value service; no method waits.

``store.memory`` adds delays and waiting calls for use within one process, and the
emulator serves that store over HTTP. Time is passed in as an argument, so that
fuzzers can drive the state directly.
"""

import bisect
import enum
import heapq
import itertools
import math
import random
from typing import Generic, TypeVar

import msgspec

from wigeondrift.entities import Instance
from wigeondrift.errors import (
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.store.contract import InstanceList, VersionedValue

MAX_VALUE_BYTES = 1048576
HISTORY_SECONDS = 120.0
MAX_HISTORY_ITEMS = 256

ItemType = TypeVar("ItemType")


class DownMode(enum.StrEnum):
    """Behaviour of the service towards callers during an injected outage."""

    UP = "up"
    RESET = "reset"
    HANG = "hang"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults and rate limits of the service.

    Attributes
    ----------
    down : DownMode
        Outage for all callers.
    down_by_caller : dict of str to DownMode
        Outage for individual callers, by the name of their connection.
    delay : float
        Delay before a call takes effect, in seconds.
    lost_answers : int
        Number of upcoming writes that take effect but whose response is lost.
    lost_probability : float
        Probability that the response to a write is lost.
    late_writes : int
        Number of upcoming writes whose response is lost and that take effect only
        after ``late_seconds``, if the expected revision still matches then.
    late_seconds : float
        Delay of late writes, in seconds.
    list_lag : float
        Age of the instance list that callers see, in seconds.
    stale_reads : float
        Age of the values that readers and watchers see, in seconds.
    writes_per_second, reads_per_second : float
        Rates above which calls are refused; unlimited if zero.
    """

    down: DownMode = DownMode.UP
    down_by_caller: dict[str, DownMode] = {}
    delay: float = 0.0
    lost_answers: int = 0
    lost_probability: float = 0.0
    late_writes: int = 0
    late_seconds: float = 1.0
    list_lag: float = 0.0
    stale_reads: float = 0.0
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0


class History(Generic[ItemType]):
    """Recent values of an item by time, for stale reads.

    Parameters
    ----------
    origin : object
        Value before the first change.
    """

    __slots__ = ("_items", "_times")

    def __init__(self, origin: ItemType) -> None:
        self._times = [-math.inf]
        self._items = [origin]

    @property
    def newest(self) -> ItemType:
        """Current value."""
        return self._items[-1]

    @property
    def changed_at(self) -> float:
        """Time of the last change, in seconds."""
        return self._times[-1]

    def append(self, now: float, item: ItemType) -> None:
        """Set a new value at ``now`` and drop values that are too old."""
        self._times.append(now)
        self._items.append(item)
        while len(self._items) > 1 and (
            len(self._items) > MAX_HISTORY_ITEMS
            or self._times[1] < now - HISTORY_SECONDS
        ):
            del self._times[0], self._items[0]

    def view(self, at: float) -> ItemType:
        """Return the value that was current at ``at``, or the oldest one kept."""
        index = bisect.bisect_right(self._times, at) - 1
        return self._items[max(index, 0)]

    def next_change(self, at: float) -> float:
        """Return the time of the first change after ``at``; infinity if none."""
        index = bisect.bisect_right(self._times, at)
        return self._times[index] if index < len(self._times) else math.inf


class _TokenBucket:
    """Token bucket with a capacity of one second's tokens, but at least one token."""

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self) -> None:
        self._tokens = math.inf
        self._refilled_at = 0.0

    def try_acquire(self, now: float, rate: float) -> bool:
        """Take one token; return False if there is none."""
        if rate <= 0:
            return True
        burst = max(rate, 1.0)
        refilled = self._tokens + (now - self._refilled_at) * rate
        self._tokens = min(burst, refilled)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Lease:
    """Lease with the keys that are deleted when it expires."""

    __slots__ = ("ends_at", "keys", "seconds")

    def __init__(self, seconds: float, ends_at: float) -> None:
        self.seconds = seconds
        self.ends_at = ends_at
        self.keys: set[str] = set()


class StoreCore:
    """Keys, leases and instance list of the service.

    Public methods take the time ``now`` in seconds, which must not decrease.

    Parameters
    ----------
    faults : Faults, optional
        Injected faults; none if absent.
    seed : int
        Seed of the random choice of lost responses.

    Attributes
    ----------
    faults : Faults
        Injected faults; may be changed at any time.
    calls_by_name : dict of str to int
        Calls accepted; a watch counts once.
    throttled : int
        Calls refused by rate limiting.
    """

    __slots__ = (
        "_history_by_key",
        "_instances",
        "_late_writes",
        "_lease_ends",
        "_lease_ids_by_key",
        "_leases_by_id",
        "_sequence",
        "_rng",
        "_reads",
        "_tombstones",
        "_writes",
        "calls_by_name",
        "faults",
        "throttled",
    )

    def __init__(self, faults: Faults | None = None, seed: int = 0) -> None:
        self.faults = faults or Faults()
        self.calls_by_name: dict[str, int] = {}
        self.throttled = 0
        self._rng = random.Random(seed)
        self._sequence = itertools.count(1)
        self._history_by_key: dict[str, History[VersionedValue]] = {}
        self._tombstones: dict[str, float] = {}
        self._instances = History(InstanceList(0, ()))
        self._leases_by_id: dict[str, _Lease] = {}
        self._lease_ends: list[tuple[float, str]] = []
        self._lease_ids_by_key: dict[str, str] = {}
        self._late_writes: list[tuple[float, int, VersionedValue, str]] = []
        self._reads = _TokenBucket()
        self._writes = _TokenBucket()

    # Rate limits and outages

    def admit_read(self, now: float, name: str, caller: str = "") -> None:
        """Admit and count one read call.

        Raises
        ------
        PlatformUnavailable
            If the service is down for the caller.
        PlatformThrottled
            If the rate limit is exceeded.
        """
        self._admit(now, name, caller, self._reads, self.faults.reads_per_second)

    def admit_write(self, now: float, name: str, caller: str = "") -> None:
        """Admit and count one write call; raises like ``admit_read``."""
        self._admit(now, name, caller, self._writes, self.faults.writes_per_second)

    def _admit(
        self, now: float, name: str, caller: str, bucket: _TokenBucket, rate: float
    ) -> None:
        self.advance(now)
        if self.down_mode(caller) is not DownMode.UP:
            raise PlatformUnavailable("the platform is down")
        if not bucket.try_acquire(now, rate):
            self.throttled += 1
            raise PlatformThrottled("the platform's rate is spent")
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1

    def down_mode(self, caller: str) -> DownMode:
        """Return the outage mode in force for one caller."""
        if self.faults.down is not DownMode.UP:
            return self.faults.down
        return self.faults.down_by_caller.get(caller, DownMode.UP)

    # Timed changes

    def advance(self, now: float) -> None:
        """Expire the leases and apply the late writes that are due by ``now``."""
        while self._lease_ends and self._lease_ends[0][0] <= now:
            _, lease_id = heapq.heappop(self._lease_ends)
            self._end_lease(now, lease_id)
        while self._late_writes and self._late_writes[0][0] <= now:
            _, _, written, lease = heapq.heappop(self._late_writes)
            if self._get_newest(written.key).revision == written.revision:
                self._write(now, written.key, written.value, lease)

    def next_due_time(self) -> float:
        """Return the time of the next lease expiry or late write, else infinity."""
        due = math.inf
        if self._lease_ends:
            due = self._lease_ends[0][0]
        if self._late_writes:
            due = min(due, self._late_writes[0][0])
        return due

    def _end_lease(self, now: float, lease_id: str) -> None:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return
        if lease.ends_at > now:
            heapq.heappush(self._lease_ends, (lease.ends_at, lease_id))
            return
        del self._leases_by_id[lease_id]
        for key in sorted(lease.keys):
            if self._get_newest(key).revision:
                self._delete(now, key)

    # Reads

    def read(self, now: float, key: str) -> VersionedValue:
        """Return the value that a reader sees, which may be stale."""
        self.advance(now)
        history = self._history_by_key.get(key)
        if history is None:
            return VersionedValue(key, b"", 0)
        return history.view(now - self.faults.stale_reads)

    def next_read_change(self, now: float, key: str) -> float:
        """Return when the value seen by a reader may next change without a call."""
        due = self.next_due_time()
        history = self._history_by_key.get(key)
        if history is not None and self.faults.stale_reads:
            stale = self.faults.stale_reads
            due = min(due, history.next_change(now - stale) + stale)
        return due

    def list_keys(self, now: float, prefix: str, limit: int) -> list[str]:
        """Return up to ``limit`` keys that start with ``prefix``, sorted."""
        at = now - self.faults.stale_reads
        keys = [
            key
            for key, history in self._history_by_key.items()
            if key.startswith(prefix) and history.view(at).revision
        ]
        return sorted(keys)[:limit]

    # Writes

    def put(
        self, now: float, key: str, value: bytes, expected: int, lease: str = ""
    ) -> int:
        """Write if the key is at revision ``expected``; return the new revision.

        Raises
        ------
        RevisionConflict
            If the key is at another revision.
        PlatformRefused
            If the value is too large or the lease has expired.
        PlatformUnavailable
            If the response is lost because of an injected fault.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformRefused(f"a value holds at most {MAX_VALUE_BYTES} bytes")
        if lease and lease not in self._leases_by_id:
            raise PlatformRefused("the lease has ended")
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            self._schedule_late_write(now, VersionedValue(key, value, expected), lease)
            raise PlatformUnavailable("the response was lost")
        self._check_revision(key, expected)
        revision = self._write(now, key, value, lease)
        self._maybe_lose_response()
        return revision

    def delete(self, now: float, key: str, expected: int) -> None:
        """Delete if the key is at revision ``expected``; raises like ``put``."""
        self._check_revision(key, expected)
        if expected:
            self._delete(now, key)
        self._maybe_lose_response()

    def _schedule_late_write(
        self, now: float, written: VersionedValue, lease: str
    ) -> None:
        due = now + self.faults.late_seconds
        entry = (due, next(self._sequence), written, lease)
        heapq.heappush(self._late_writes, entry)

    def _check_revision(self, key: str, expected: int) -> None:
        found = self._get_newest(key).revision
        if found != expected:
            raise RevisionConflict(key, expected, found)

    def _maybe_lose_response(self) -> None:
        faults = self.faults
        lost = False
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            lost = True
        elif faults.lost_probability > 0:
            lost = self._rng.random() < faults.lost_probability
        if lost:
            raise PlatformUnavailable("the response was lost")

    def _get_newest(self, key: str) -> VersionedValue:
        history = self._history_by_key.get(key)
        return VersionedValue(key, b"", 0) if history is None else history.newest

    def _write(self, now: float, key: str, value: bytes, lease: str) -> int:
        history = self._history_by_key.get(key)
        if history is None:
            history = History(VersionedValue(key, b"", 0))
            self._history_by_key[key] = history
        revision = next(self._sequence)
        history.append(now, VersionedValue(key, value, revision))
        self._tombstones.pop(key, None)
        self._attach_lease(key, lease)
        return revision

    def _attach_lease(self, key: str, lease_id: str) -> None:
        previous_lease = self._leases_by_id.get(self._lease_ids_by_key.pop(key, ""))
        if previous_lease is not None:
            previous_lease.keys.discard(key)
        lease = self._leases_by_id.get(lease_id)
        if lease is not None:
            lease.keys.add(key)
            self._lease_ids_by_key[key] = lease_id

    def _delete(self, now: float, key: str) -> None:
        self._history_by_key[key].append(now, VersionedValue(key, b"", 0))
        self._tombstones[key] = now
        self._attach_lease(key, "")
        self._drop_tombstones(now)

    def _drop_tombstones(self, now: float) -> None:
        while self._tombstones:
            key, deleted_at = next(iter(self._tombstones.items()))
            if deleted_at > now - HISTORY_SECONDS:
                return
            del self._tombstones[key]
            del self._history_by_key[key]

    # Leases

    def grant_lease(self, now: float, seconds: float) -> str:
        """Return the name of a new lease that expires after ``seconds``."""
        lease_id = f"lease-{next(self._sequence)}"
        lease = _Lease(seconds, now + seconds)
        self._leases_by_id[lease_id] = lease
        heapq.heappush(self._lease_ends, (lease.ends_at, lease_id))
        self._maybe_lose_response()
        return lease_id

    def renew_lease(self, now: float, lease_id: str) -> bool:
        """Extend a lease by its full duration; return False if it has expired."""
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return False
        lease.ends_at = now + lease.seconds
        self._maybe_lose_response()
        return True

    # Instance list

    def read_instances(self, now: float) -> InstanceList:
        """Return the list that a reader sees, ``list_lag`` seconds old."""
        return self._instances.view(now - self.faults.list_lag)

    @property
    def newest_instances(self) -> InstanceList:
        """Current instance list, ignoring ``list_lag``."""
        return self._instances.newest

    def next_instances_change(self, now: float) -> float:
        """Return when the lagging list next changes; infinity if it is up to date."""
        lag = self.faults.list_lag
        return self._instances.next_change(now - lag) + lag

    def set_instances(self, now: float, instances: tuple[Instance, ...]) -> None:
        """Replace the whole list."""
        revision = self._instances.newest.revision + 1
        self._instances.append(now, InstanceList(revision, instances))

    def update_instances(
        self, now: float, put: tuple[Instance, ...], removed: tuple[str, ...] = ()
    ) -> None:
        """Add or replace instances by name and remove others."""
        instances_by_id = {
            instance.instance_id: instance
            for instance in self._instances.newest.instances
        }
        for instance in put:
            instances_by_id[instance.instance_id] = instance
        for instance_id in removed:
            instances_by_id.pop(instance_id, None)
        self.set_instances(now, tuple(instances_by_id.values()))
