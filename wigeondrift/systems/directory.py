"""Which upstreams there are: entries of the platform's list and when to believe it."""

from collections.abc import Iterable

from wigeondrift.router.entities import Upstream

# Heartbeats that an entry outlives; a shorter outage of the store loses none.
HEARTBEATS_BEFORE_LAPSE = 2.0
# Live upstreams are back in the list within this time after an outage (the users'
# letter), in seconds.
RETURN_SECONDS = 2.0


class Directory:
    """Upstreams by id.

    An entry that is removed while the store is in order names an upstream that has
    left. One that is missing after an outage may only have lapsed: its upstream is
    kept until the live ones have had time to register again.

    Parameters
    ----------
    heartbeat : float
        Time between two signs of life of an upstream, in seconds.
    """

    __slots__ = (
        "_answered_at",
        "_heartbeat",
        "_missing_ids",
        "_returned_at",
        "change_count",
        "upstreams_by_id",
    )

    def __init__(self, heartbeat: float) -> None:
        self._heartbeat = heartbeat
        self._answered_at: float | None = None
        self._returned_at = -RETURN_SECONDS
        self._missing_ids: set[str] = set()
        self.upstreams_by_id: dict[str, Upstream] = {}
        self.change_count = 0

    def record_answer(self, now: float) -> None:
        """Note that the store answered."""
        known = self._answered_at
        longest = HEARTBEATS_BEFORE_LAPSE * self._heartbeat
        if known is not None and now - known > longest:
            self._returned_at = now
        self._answered_at = now

    def is_settling(self, now: float) -> bool:
        """Whether live upstreams may still be missing from the list."""
        return now - self._returned_at < RETURN_SECONDS

    def replace_all(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Take the whole list."""
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        for upstream in listed.values():
            self.put(upstream)
        for upstream_id in list(self.upstreams_by_id):
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def put(self, upstream: Upstream) -> None:
        """Take one entry."""
        self._missing_ids.discard(upstream.upstream_id)
        if self.upstreams_by_id.get(upstream.upstream_id) != upstream:
            self.upstreams_by_id[upstream.upstream_id] = upstream
            self.change_count += 1

    def remove(self, upstream_id: str, now: float) -> None:
        """Take the removal of one entry."""
        if upstream_id not in self.upstreams_by_id:
            return
        if self.is_settling(now):
            self._missing_ids.add(upstream_id)
        else:
            self._drop(upstream_id)

    def expire(self, now: float) -> list[str]:
        """Drop the upstreams that did not come back after an outage.

        Returns
        -------
        list of str
            Their ids.
        """
        if not self._missing_ids or self.is_settling(now):
            return []
        gone = sorted(self._missing_ids)
        for upstream_id in gone:
            self._drop(upstream_id)
        return gone

    def _drop(self, upstream_id: str) -> None:
        self._missing_ids.discard(upstream_id)
        del self.upstreams_by_id[upstream_id]
        self.change_count += 1

    def list_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.service == service and not upstream.is_leaving
        ]

    def find_address(self, address: str) -> str | None:
        """Return the id of the upstream at an address."""
        for upstream in self.upstreams_by_id.values():
            if upstream.address == address:
                return upstream.upstream_id
        return None
