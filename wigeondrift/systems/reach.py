"""Detection of unreachable failure domains and lost runners.

A network partition between failure domains shows as several unreachable upstreams in
one domain while none of its upstreams answers. All of them are then excluded at once,
so that requests need not time out on each one.
"""

# Number of unreachable upstreams at which their whole domain counts as cut off.
MIN_UNREACHABLE_UPSTREAMS = 2
# Time for which a failure to reach an upstream counts, in seconds.
FAILURE_EXPIRY_SECONDS = 2.0
# Time for which a runner is unreachable before its layers count as lost, in seconds:
# longer than usual pauses of its machine, shorter than the lifetime of its entry in the
# instance list.
LOST_AFTER_SECONDS = 1.2


# Time between two failures in a row after which a runner counts as unreachable. A
# single connection may fail because the runner's queue of new connections is full.
UNREACHABLE_AFTER_SECONDS = 0.4


class Reachability:
    """Reachability of upstreams by failure domain.

    Parameters
    ----------
    failure_domain : str
        Own failure domain, which never counts as cut off.
    """

    __slots__ = ("_failure_domain", "_failures_by_domain", "_reached_at_by_domain")

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        # Times of the first and the last consecutive failure, by upstream.
        self._failures_by_domain: dict[str, dict[str, tuple[float, float]]] = {}
        self._reached_at_by_domain: dict[str, float] = {}

    def record_failure(self, domain: str, upstream_id: str, now: float) -> None:
        """Record that an upstream did not answer."""
        failures = self._failures_by_domain.setdefault(domain, {})
        first, last = failures.get(upstream_id, (now, now))
        if now - last > FAILURE_EXPIRY_SECONDS:
            first = now
        failures[upstream_id] = (first, now)

    def record_answer(self, domain: str, upstream_id: str, now: float) -> None:
        """Record that an upstream answered."""
        self._reached_at_by_domain[domain] = now
        failures = self._failures_by_domain.get(domain)
        if failures:
            failures.pop(upstream_id, None)

    def is_cut_off(self, domain: str, now: float) -> bool:
        """Return whether a whole failure domain is unreachable."""
        failures = self._failures_by_domain.get(domain)
        if not failures or domain == self._failure_domain:
            return False
        reached_at = self._reached_at_by_domain.get(domain, 0.0)
        recent = sum(
            1
            for _, last in failures.values()
            if last > reached_at and now - last < FAILURE_EXPIRY_SECONDS
        )
        return recent >= MIN_UNREACHABLE_UPSTREAMS

    def list_cut_off(self, now: float) -> list[str]:
        """Return the unreachable failure domains."""
        return [name for name in self._failures_by_domain if self.is_cut_off(name, now)]

    def is_unreachable(self, domain: str, upstream_id: str, now: float) -> bool:
        """Return whether an upstream failed to answer repeatedly and until recently."""
        failure = self._failures_by_domain.get(domain, {}).get(upstream_id)
        if failure is None:
            return False
        first, last = failure
        is_recent = now - last <= FAILURE_EXPIRY_SECONDS
        return is_recent and last - first >= UNREACHABLE_AFTER_SECONDS

    def is_lost(self, domain: str, upstream_id: str, now: float) -> bool:
        """Return whether one upstream is unreachable while its domain answers."""
        first, last = self._failures_by_domain.get(domain, {}).get(
            upstream_id, (now, now)
        )
        if now - last > FAILURE_EXPIRY_SECONDS or last - first < LOST_AFTER_SECONDS:
            return False
        return self._reached_at_by_domain.get(domain, 0.0) > first
