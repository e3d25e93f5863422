"""Upstream load: delayed reports corrected by this process's own recent requests."""

from collections import deque

from wigeondrift.entities import LoadReport

REPORT_LAG_SECONDS = 0.5
MAX_EVENTS_PER_UPSTREAM = 512


class UpstreamLoad:
    """Load of one upstream as estimated by this process.

    Attributes
    ----------
    own_requests : int
        Requests of this process in progress at the upstream.
    """

    __slots__ = (
        "_changes_since_report",
        "_events",
        "_report",
        "_reported",
        "own_requests",
    )

    def __init__(self) -> None:
        self.own_requests = 0
        self._report: LoadReport | None = None
        self._reported = 0
        self._changes_since_report = 0
        self._events: deque[tuple[float, int]] = deque()

    def add(self, change: int, now: float) -> None:
        """Record that own requests started (+) or ended (-) at the upstream."""
        self.own_requests += change
        self._changes_since_report += change
        self._events.append((now, change))
        if len(self._events) > MAX_EVENTS_PER_UPSTREAM:
            self._forget_oldest()

    def estimate(self, report: LoadReport | None, now: float) -> int:
        """Return the reported number of requests plus own changes since the report.

        Changes within ``REPORT_LAG_SECONDS`` before the report's arrival are included,
        as a report describes an earlier state.
        """
        if report is not self._report:
            self._report = report
            self._reported = report.running + report.queued if report else 0
            self._forget_before(now - REPORT_LAG_SECONDS)
        if report is None:
            return self.own_requests
        return max(self._reported + self._changes_since_report, self.own_requests)

    def _forget_before(self, cutoff: float) -> None:
        while self._events and self._events[0][0] < cutoff:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        _, change = self._events.popleft()
        self._changes_since_report -= change


class Loads:
    """Loads of all upstreams to which this process has sent requests."""

    __slots__ = ("_loads_by_id",)

    def __init__(self) -> None:
        self._loads_by_id: dict[str, UpstreamLoad] = {}

    def add(self, instance_id: str, change: int, now: float) -> None:
        """Record that own requests started (+) or ended (-) at an upstream."""
        load = self._loads_by_id.get(instance_id)
        if load is None:
            load = self._loads_by_id[instance_id] = UpstreamLoad()
        load.add(change, now)

    def estimate(self, instance_id: str, report: LoadReport | None, now: float) -> int:
        """Return the estimated number of requests at an upstream."""
        load = self._loads_by_id.get(instance_id)
        if load is not None:
            return load.estimate(report, now)
        return report.running + report.queued if report else 0

    def get_own_requests(self, instance_id: str) -> int:
        """Return the number of this process's requests at an upstream."""
        load = self._loads_by_id.get(instance_id)
        return load.own_requests if load is not None else 0

    def keep_only(self, instance_ids: set[str]) -> None:
        """Remove idle upstreams that are not in ``instance_ids``."""
        for instance_id, load in list(self._loads_by_id.items()):
            if instance_id not in instance_ids and load.own_requests == 0:
                del self._loads_by_id[instance_id]
