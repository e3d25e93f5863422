"""Upstreams that have asked this router to send nothing for some time."""

from collections.abc import Collection

# Longest time for which one answer keeps an upstream out of use, in seconds.
MAX_BACK_OFF_SECONDS = 60.0


class BackOffs:
    """Time until which each upstream wants no requests from this router."""

    __slots__ = ("_until_by_id",)

    def __init__(self) -> None:
        self._until_by_id: dict[str, float] = {}

    def record(self, upstream_id: str, seconds: float, now: float) -> float:
        """Record that an upstream wants nothing for some time.

        A shorter time than one that runs already changes nothing.

        Returns
        -------
        float
            Time for which it is left out now, in seconds.
        """
        until = now + min(seconds, MAX_BACK_OFF_SECONDS)
        until = max(until, self._until_by_id.get(upstream_id, until))
        self._until_by_id[upstream_id] = until
        return until - now

    def list_closed(self, now: float) -> Collection[str]:
        """Return the upstreams that want nothing now."""
        if not self._until_by_id:
            return ()
        self._until_by_id = {
            upstream_id: until
            for upstream_id, until in self._until_by_id.items()
            if now < until
        }
        return self._until_by_id.keys()

    def get_wait(self, upstream_ids: Collection[str], now: float) -> float:
        """Return the time until none of some upstreams is left out, in seconds."""
        until = max(
            (self._until_by_id.get(one, now) for one in upstream_ids), default=now
        )
        return max(0.0, until - now)
