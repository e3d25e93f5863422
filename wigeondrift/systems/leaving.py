"""Leave marks: instance incarnations that accept no new requests."""

from collections.abc import Iterable

import msgspec
import xxhash

from wigeondrift.entities import Instance, InstanceState

UNLISTED_RETENTION_SECONDS = 60.0
MAX_MARKS = 4096

Mark = tuple[str, int]


class LeaveMarks:
    """Leave marks by instance and incarnation, with the time of the first report.

    A mark is kept as long as the instance list contains that incarnation, whatever its
    state in the list. A mark of an unlisted incarnation expires.

    Attributes
    ----------
    digest : int
        Hash of the marks of listed instances, for comparison with that of a peer.
    """

    __slots__ = ("_incarnations_by_id", "_marked_at_by_mark", "digest")

    def __init__(self) -> None:
        self._marked_at_by_mark: dict[Mark, float] = {}
        self._incarnations_by_id: dict[str, int] = {}
        self.digest = 0

    def __len__(self) -> int:
        return len(self._marked_at_by_mark)

    def __contains__(self, mark: Mark) -> bool:
        return mark in self._marked_at_by_mark

    def add(self, marks: Iterable[Mark], now: float) -> tuple[Mark, ...]:
        """Add marks and return the new ones."""
        added = []
        for mark in marks:
            if mark not in self._marked_at_by_mark:
                self._marked_at_by_mark[mark] = now
                added.append(mark)
        if added:
            self._drop_excess()
            self._refresh_digest()
        return tuple(added)

    def apply_instance_list(
        self, instances: Iterable[Instance], now: float
    ) -> tuple[Mark, ...]:
        """Apply a newer instance list; return the marks that it adds."""
        instances = tuple(instances)
        self._incarnations_by_id = {
            instance.instance_id: instance.incarnation for instance in instances
        }
        added = self.add(
            (
                (instance.instance_id, instance.incarnation)
                for instance in instances
                if instance.state is InstanceState.LEAVING
            ),
            now,
        )
        self._refresh_digest()
        return added

    def expire(self, now: float) -> None:
        """Remove old marks of incarnations that are not listed."""
        for mark, marked_at in list(self._marked_at_by_mark.items()):
            if (
                not self._is_listed(mark)
                and now - marked_at > UNLISTED_RETENTION_SECONDS
            ):
                del self._marked_at_by_mark[mark]

    def list_marks(self) -> tuple[Mark, ...]:
        """Return all marks."""
        return tuple(self._marked_at_by_mark)

    def apply(self, instances: Iterable[Instance]) -> tuple[Instance, ...]:
        """Return the instances, with state ``LEAVING`` where a mark exists."""
        return tuple(self._apply_one(instance) for instance in instances)

    def _apply_one(self, instance: Instance) -> Instance:
        mark = (instance.instance_id, instance.incarnation)
        if mark not in self._marked_at_by_mark:
            return instance
        return msgspec.structs.replace(instance, state=InstanceState.LEAVING)

    def _is_listed(self, mark: Mark) -> bool:
        instance_id, incarnation = mark
        return self._incarnations_by_id.get(instance_id) == incarnation

    def _drop_excess(self) -> None:
        if len(self._marked_at_by_mark) <= MAX_MARKS:
            return
        unlisted = [m for m in self._marked_at_by_mark if not self._is_listed(m)]
        for mark in unlisted[: len(self._marked_at_by_mark) - MAX_MARKS]:
            del self._marked_at_by_mark[mark]

    def _refresh_digest(self) -> None:
        digest = 0
        for mark in self._marked_at_by_mark:
            if self._is_listed(mark):
                digest ^= xxhash.xxh3_64_intdigest(f"{mark[0]}@{mark[1]}".encode())
        self.digest = digest
