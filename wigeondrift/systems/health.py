"""Temporary avoidance of upstreams after failures, with exponential backoff."""

from collections.abc import Iterable

FIRST_PENALTY_SECONDS = 1.0
MAX_PENALTY_SECONDS = 15.0
PENALTY_RETENTION_SECONDS = 60.0


class Penalty:
    """Period during which one upstream is avoided.

    Attributes
    ----------
    ends_at : float
        End of the period, in seconds of the process's clock.
    seconds : float
        Length of the period; the next one is twice as long.
    is_for_failure : bool
        Whether the upstream failed; otherwise, it took no request.
    """

    __slots__ = ("ends_at", "is_for_failure", "seconds")

    def __init__(
        self, ends_at: float, seconds: float, is_for_failure: bool = True
    ) -> None:
        self.ends_at = ends_at
        self.seconds = seconds
        self.is_for_failure = is_for_failure


class Health:
    """Penalties of upstreams that failed recently."""

    __slots__ = ("_penalties_by_id",)

    def __init__(self) -> None:
        self._penalties_by_id: dict[str, Penalty] = {}

    def record_failure(self, instance_id: str, now: float) -> bool:
        """Avoid an upstream, twice as long after each consecutive failure.

        Returns
        -------
        bool
            False if it is already avoided for a failure.
        """
        penalty = self._penalties_by_id.get(instance_id)
        seconds = FIRST_PENALTY_SECONDS
        if penalty is not None:
            if now < penalty.ends_at and penalty.is_for_failure:
                return False
            seconds = min(2 * penalty.seconds, MAX_PENALTY_SECONDS)
        self._penalties_by_id[instance_id] = Penalty(now + seconds, seconds)
        return True

    def avoid_briefly(self, instance_id: str, now: float, seconds: float) -> None:
        """Avoid an upstream that lives but took no request, for ``seconds``.

        It is no failure, so that the next penalty is not longer for it.
        """
        penalty = self._penalties_by_id.get(instance_id)
        if penalty is None:
            penalty = Penalty(now, FIRST_PENALTY_SECONDS / 2, is_for_failure=False)
            self._penalties_by_id[instance_id] = penalty
        elif now >= penalty.ends_at:
            penalty.is_for_failure = False
        penalty.ends_at = max(penalty.ends_at, now + seconds)

    def extend_penalty(self, instance_id: str, now: float, seconds: float) -> None:
        """Extend an existing penalty to at least ``seconds`` from ``now``."""
        penalty = self._penalties_by_id.get(instance_id)
        if penalty is not None:
            penalty.ends_at = max(penalty.ends_at, now + seconds)

    def record_success(self, instance_ids: Iterable[str]) -> None:
        """Remove the penalties of upstreams that served a request."""
        if self._penalties_by_id:
            for instance_id in instance_ids:
                self._penalties_by_id.pop(instance_id, None)

    def is_avoided(self, instance_id: str, now: float) -> bool:
        """Return whether an upstream is avoided at the time ``now``."""
        penalty = self._penalties_by_id.get(instance_id)
        return penalty is not None and now < penalty.ends_at

    def drop_expired(self, now: float) -> None:
        """Remove penalties that ended over ``PENALTY_RETENTION_SECONDS`` ago."""
        for instance_id, penalty in list(self._penalties_by_id.items()):
            if now - penalty.ends_at > PENALTY_RETENTION_SECONDS:
                del self._penalties_by_id[instance_id]
