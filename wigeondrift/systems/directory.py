"""Upstreams known from the platform's list, kept across outages of its store."""

from collections.abc import Iterable

import msgspec

from wigeondrift.router.entities import Upstream

# Heartbeat intervals for which an entry stays registered; a shorter outage of the
# store loses no entries.
HEARTBEATS_BEFORE_EXPIRY = 2.0
# Time within which live upstreams are listed again after an outage, in seconds; given
# by the requirements on the platform.
REREGISTRATION_SECONDS = 2.0
# Heartbeat intervals after which an upstream that does not write again is no longer
# listed.
LISTED_HEARTBEATS = 4.0
# Upstreams that have left or are leaving and are remembered; the oldest are dropped
# first.
MAX_DEPARTED = 1024


class Directory:
    """Upstreams by id.

    An entry that is removed while the store is available belongs to an upstream that
    has left. An entry that is missing after an outage may merely have expired, so its
    upstream is kept until live upstreams have had time to register again. Only a
    request to the store that failed tells of an outage. That nothing was heard of it
    does not, as whoever reads it for this process may be the one that is cut off.

    Parameters
    ----------
    heartbeat : float
        Interval between two heartbeats of an upstream, in seconds.
    """

    __slots__ = (
        "_answered_at",
        "_departed_starts_by_id",
        "_doubted_by_id",
        "_doubted_until",
        "_has_failed",
        "_heartbeat",
        "_leaving_starts_by_id",
        "_missing_ids",
        "_recovered_at",
        "change_count",
        "upstreams_by_id",
    )

    def __init__(self, heartbeat: float) -> None:
        self._heartbeat = heartbeat
        self._answered_at: float | None = None
        # Whether a request to the store has failed since its last response.
        self._has_failed = False
        self._recovered_at = -REREGISTRATION_SECONDS
        self._missing_ids: set[str] = set()
        # Start of the incarnation that has left, in milliseconds since the epoch.
        self._departed_starts_by_id: dict[str, int] = {}
        # Entries of such incarnations in the first list of a restored store.
        self._doubted_by_id: dict[str, Upstream] = {}
        self._doubted_until = 0.0
        # Start of the incarnation that has said itself that it is leaving.
        self._leaving_starts_by_id: dict[str, int] = {}
        self.upstreams_by_id: dict[str, Upstream] = {}
        self.change_count = 0

    def record_failure(self) -> None:
        """Record that a request of this process to the store failed."""
        self._has_failed = True

    def record_answer(self, now: float) -> None:
        """Record that the store answered, this process or one that reads it for this.

        A failed request and a gap in which entries can expire are an outage.
        """
        last_answered_at = self._answered_at
        limit = HEARTBEATS_BEFORE_EXPIRY * self._heartbeat
        if (
            self._has_failed
            and last_answered_at is not None
            and now - last_answered_at > limit
        ):
            self._recovered_at = now
        self._has_failed = False
        self._answered_at = now

    def is_recovering(self, now: float) -> bool:
        """Return whether live upstreams may still be missing from the list."""
        return now - self._recovered_at < REREGISTRATION_SECONDS

    @property
    def has_uncertain(self) -> bool:
        """Whether entries are kept, or left out, that time will tell of."""
        return bool(self._missing_ids or self._doubted_by_id)

    def replace_all(
        self, upstreams: Iterable[Upstream], now: float, is_restored: bool = False
    ) -> None:
        """Replace all entries by a complete list.

        Parameters
        ----------
        upstreams : iterable of Upstream
        now : float
        is_restored : bool
            Whether the list is a copy of before. Then an incarnation that has left or
            is leaving stays so until its next entry, or until it is still listed after
            it should have lapsed, and those that are missing may register again.
        """
        listed = {upstream.upstream_id: upstream for upstream in upstreams}
        if is_restored:
            self._recovered_at = now
            self._doubted_until = now + LISTED_HEARTBEATS * self._heartbeat
            self._doubted_by_id = {
                upstream_id: upstream
                for upstream_id, upstream in listed.items()
                if self._has_departed(upstream)
            }
            listed = {
                upstream_id: self._mark_if_leaving(upstream)
                for upstream_id, upstream in listed.items()
                if upstream_id not in self._doubted_by_id
            }
        for upstream in listed.values():
            self.put(upstream)
        for upstream_id in list(self.upstreams_by_id):
            if upstream_id not in listed:
                self.remove(upstream_id, now)

    def _has_departed(self, upstream: Upstream) -> bool:
        started_at_ms = self._departed_starts_by_id.get(upstream.upstream_id)
        return started_at_ms == upstream.started_at_ms

    def _mark_if_leaving(self, upstream: Upstream) -> Upstream:
        known = self.upstreams_by_id.get(upstream.upstream_id)
        is_leaving = (
            known is not None
            and known.is_leaving
            and known.started_at_ms == upstream.started_at_ms
        )
        if not is_leaving:
            return upstream
        return msgspec.structs.replace(upstream, is_leaving=True)

    def put(self, upstream: Upstream) -> None:
        """Add or update one entry."""
        self._departed_starts_by_id.pop(upstream.upstream_id, None)
        started_at_ms = self._leaving_starts_by_id.get(upstream.upstream_id)
        if started_at_ms == upstream.started_at_ms:
            upstream = msgspec.structs.replace(upstream, is_leaving=True)
        elif started_at_ms is not None:
            del self._leaving_starts_by_id[upstream.upstream_id]
        self._doubted_by_id.pop(upstream.upstream_id, None)
        self._missing_ids.discard(upstream.upstream_id)
        if self.upstreams_by_id.get(upstream.upstream_id) != upstream:
            self.upstreams_by_id[upstream.upstream_id] = upstream
            self.change_count += 1

    def record_leaving(self, upstream: Upstream) -> bool:
        """Record that an upstream has said that it is leaving; return any change.

        Only its next incarnation gets new requests again, whatever the list says.
        """
        known = self.upstreams_by_id.get(upstream.upstream_id)
        if known is None or known.started_at_ms != upstream.started_at_ms:
            return False
        if upstream.upstream_id in self._leaving_starts_by_id:
            return False
        _add_bounded(self._leaving_starts_by_id, upstream)
        if known.is_leaving:
            return False
        leaving = msgspec.structs.replace(known, is_leaving=True)
        self.upstreams_by_id[upstream.upstream_id] = leaving
        self.change_count += 1
        return True

    def remove(self, upstream_id: str, now: float) -> None:
        """Remove one entry; after an outage, only mark it as missing."""
        self._doubted_by_id.pop(upstream_id, None)
        if upstream_id not in self.upstreams_by_id:
            return
        if self.is_recovering(now):
            self._missing_ids.add(upstream_id)
        else:
            self._drop(upstream_id)

    def expire(self, now: float) -> list[str]:
        """Remove the upstreams that did not register again after an outage.

        Those that a restored store still lists, although they would have lapsed, live.

        Returns
        -------
        list of str
            Ids of the removed upstreams.
        """
        if self._doubted_by_id and now >= self._doubted_until:
            for upstream in list(self._doubted_by_id.values()):
                self.put(upstream)
        if not self._missing_ids or self.is_recovering(now):
            return []
        gone = sorted(self._missing_ids)
        for upstream_id in gone:
            self._drop(upstream_id)
        return gone

    def _drop(self, upstream_id: str) -> None:
        self._missing_ids.discard(upstream_id)
        upstream = self.upstreams_by_id.pop(upstream_id)
        _add_bounded(self._departed_starts_by_id, upstream)
        if not upstream.started_at_ms:
            # Its next incarnation can't be told from this one.
            self._leaving_starts_by_id.pop(upstream_id, None)
        self.change_count += 1

    def list_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.service == service and not upstream.is_leaving
        ]

    def find_by_address(self, address: str) -> str | None:
        """Return the id of the upstream at an address."""
        for upstream in self.upstreams_by_id.values():
            if upstream.address == address:
                return upstream.upstream_id
        return None


def _add_bounded(starts_by_id: dict[str, int], upstream: Upstream) -> None:
    """Remember the start of an incarnation, and drop the oldest of too many."""
    while len(starts_by_id) >= MAX_DEPARTED:
        del starts_by_id[next(iter(starts_by_id))]
    starts_by_id[upstream.upstream_id] = upstream.started_at_ms
