"""Load of upstreams: late reports corrected by what this process sent since."""

from collections import deque

from wigeondrift.entities import LoadReport

REPORT_LAG_SECONDS = 0.5
MAX_EVENTS_PER_UPSTREAM = 512


class UpstreamLoad:
    """Load of one upstream as this process sees it.

    Attributes
    ----------
    own_requests : int
        Requests of this process in progress there.
    """

    __slots__ = (
        "_events",
        "_report",
        "_reported",
        "_changes_since_report",
        "own_requests",
    )

    def __init__(self) -> None:
        self.own_requests = 0
        self._report: LoadReport | None = None
        self._reported = 0
        self._changes_since_report = 0
        self._events: deque[tuple[float, int]] = deque()

    def add(self, change: int, now: float) -> None:
        """Note that requests of this process began (+) or ended (-) there."""
        self.own_requests += change
        self._changes_since_report += change
        self._events.append((now, change))
        if len(self._events) > MAX_EVENTS_PER_UPSTREAM:
            self._forget_oldest()

    def estimate(self, report: LoadReport | None, now: float) -> int:
        """Return the requests there: the report's and own changes since.

        Changes shortly before the report's arrival count as well, since a report
        shows the load as it was some time before.
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
    """Loads of all upstreams that this process has sent to."""

    __slots__ = ("_loads_by_id",)

    def __init__(self) -> None:
        self._loads_by_id: dict[str, UpstreamLoad] = {}

    def add(self, instance_id: str, change: int, now: float) -> None:
        """Note that requests began (+) or ended (-) at an upstream."""
        load = self._loads_by_id.get(instance_id)
        if load is None:
            load = self._loads_by_id[instance_id] = UpstreamLoad()
        load.add(change, now)

    def estimate(self, instance_id: str, report: LoadReport | None, now: float) -> int:
        """Return the requests at an upstream."""
        load = self._loads_by_id.get(instance_id)
        if load is not None:
            return load.estimate(report, now)
        return report.running + report.queued if report else 0

    def get_own_requests(self, instance_id: str) -> int:
        """Return the requests of this process at an upstream."""
        load = self._loads_by_id.get(instance_id)
        return load.own_requests if load is not None else 0

    def keep_only(self, instance_ids: set[str]) -> None:
        """Forget idle upstreams that are not among ``instance_ids``."""
        for instance_id, load in list(self._loads_by_id.items()):
            if instance_id not in instance_ids and load.own_requests == 0:
                del self._loads_by_id[instance_id]
