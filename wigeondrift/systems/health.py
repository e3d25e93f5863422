"""Upstreams that are avoided for a while after a failure."""

from collections.abc import Iterable

FIRST_PENALTY_SECONDS = 1.0
LONGEST_PENALTY_SECONDS = 15.0
FORGET_SECONDS = 60.0


class Penalty:
    """Time for which one upstream is avoided.

    Attributes
    ----------
    ends_at : float
        End of the penalty, in seconds of the process's clock.
    seconds : float
        Its length; the next one is twice as long.
    """

    __slots__ = ("ends_at", "seconds")

    def __init__(self, ends_at: float, seconds: float) -> None:
        self.ends_at = ends_at
        self.seconds = seconds


class Health:
    """Penalties of upstreams that failed lately."""

    __slots__ = ("_penalties_by_id",)

    def __init__(self) -> None:
        self._penalties_by_id: dict[str, Penalty] = {}

    def record_failure(self, instance_id: str, now: float) -> None:
        """Avoid an upstream, longer with each failure in a row."""
        penalty = self._penalties_by_id.get(instance_id)
        seconds = FIRST_PENALTY_SECONDS
        if penalty is not None:
            if now < penalty.ends_at:
                return
            seconds = min(2 * penalty.seconds, LONGEST_PENALTY_SECONDS)
        self._penalties_by_id[instance_id] = Penalty(now + seconds, seconds)

    def prolong(self, instance_id: str, now: float, seconds: float) -> None:
        """Avoid an avoided upstream for at least ``seconds`` more."""
        penalty = self._penalties_by_id.get(instance_id)
        if penalty is not None:
            penalty.ends_at = max(penalty.ends_at, now + seconds)

    def note_success(self, instance_ids: Iterable[str]) -> None:
        """Forget the failures of upstreams that work."""
        if self._penalties_by_id:
            for instance_id in instance_ids:
                self._penalties_by_id.pop(instance_id, None)

    def is_avoided(self, instance_id: str, now: float) -> bool:
        """Whether an upstream is avoided at the time ``now``."""
        penalty = self._penalties_by_id.get(instance_id)
        return penalty is not None and now < penalty.ends_at

    def forget_old(self, now: float) -> None:
        """Drop penalties that ended long ago."""
        for instance_id, penalty in list(self._penalties_by_id.items()):
            if now - penalty.ends_at > FORGET_SECONDS:
                del self._penalties_by_id[instance_id]
