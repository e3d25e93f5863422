"""Which failure domains can be reached from here, and which runners are lost.

A cut between failure domains shows as several upstreams of one domain that can't be
reached while none of it answers. Then all its upstreams are left out at once, so that
not each of them costs requests a time-out.
"""

# Upstreams that can't be reached before their whole domain counts as cut off.
LEAST_UPSTREAMS = 2
# Time for which a failure to reach an upstream says something, in seconds.
MEMORY_SECONDS = 2.0
# Time for which a runner can't be reached before its layers count as lost: longer than
# a pause of its machine usually is, shorter than the life of its entry in the list.
LOST_SECONDS = 1.2


class Reach:
    """Failures to reach upstreams, by failure domain.

    Parameters
    ----------
    failure_domain : str
        The own one, which is never cut off.
    """

    __slots__ = ("_failed_by_domain", "_failure_domain", "_reached_at_by_domain")

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        # First and last failure in a row, by upstream.
        self._failed_by_domain: dict[str, dict[str, tuple[float, float]]] = {}
        self._reached_at_by_domain: dict[str, float] = {}

    def record_failure(self, domain: str, upstream_id: str, now: float) -> None:
        """Note that an upstream did not answer."""
        failed = self._failed_by_domain.setdefault(domain, {})
        first, last = failed.get(upstream_id, (now, now))
        if now - last > MEMORY_SECONDS:
            first = now
        failed[upstream_id] = (first, now)

    def record_answer(self, domain: str, upstream_id: str, now: float) -> None:
        """Note that an upstream answered."""
        self._reached_at_by_domain[domain] = now
        failed = self._failed_by_domain.get(domain)
        if failed:
            failed.pop(upstream_id, None)

    def is_cut_off(self, domain: str, now: float) -> bool:
        """Whether a whole failure domain can't be reached."""
        failed = self._failed_by_domain.get(domain)
        if not failed or domain == self._failure_domain:
            return False
        reached_at = self._reached_at_by_domain.get(domain, 0.0)
        recent = sum(
            1
            for _, last in failed.values()
            if last > reached_at and now - last < MEMORY_SECONDS
        )
        return recent >= LEAST_UPSTREAMS

    def list_cut_off(self, now: float) -> list[str]:
        """Return the failure domains that can't be reached."""
        return [name for name in self._failed_by_domain if self.is_cut_off(name, now)]

    def is_lost(self, domain: str, upstream_id: str, now: float) -> bool:
        """Whether one upstream has been unreachable while its domain was not."""
        first, last = self._failed_by_domain.get(domain, {}).get(
            upstream_id, (now, now)
        )
        if now - last > MEMORY_SECONDS or last - first < LOST_SECONDS:
            return False
        return self._reached_at_by_domain.get(domain, 0.0) > first
