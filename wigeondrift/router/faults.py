"""Fault news: finds out whether upstreams are at fault, and tells the other routers."""

import logging
import math
from collections.abc import Callable

import trio

from wigeondrift.application import Component
from wigeondrift.errors import ConnectFailed, TransportError
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RunnerReport, Upstream
from wigeondrift.router.membership import Membership
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.faults import Evidence, FaultNews
from wigeondrift.systems.outcomes import OutcomeNews
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics

# Shortest interval between two checks of one runner.
CHECK_SECONDS = 1.0

FaultCallback = Callable[[str], None]


class SharedFaults(Component):
    """Checks upstreams that others name as faulty, and shares the faults found.

    Parameters
    ----------
    directory : Directory
    selector : UpstreamSelector
    membership : Membership
    control : RunnerControl
    metrics : Metrics
    """

    __slots__ = (
        "_announce",
        "_changed",
        "_checked_at_by_id",
        "_control",
        "_directory",
        "_logger",
        "_membership",
        "_metrics",
        "_nursery",
        "_selector",
        "_subscribers",
    )

    def __init__(
        self,
        directory: Directory,
        selector: UpstreamSelector,
        membership: Membership,
        control: RunnerControl,
        metrics: Metrics,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._membership = membership
        self._control = control
        self._metrics = metrics
        self._announce: Callable[[FaultNews | OutcomeNews], None] | None = None
        self._changed = trio.Event()
        # Times at which the last checks ended, infinite while one runs.
        self._checked_at_by_id: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._subscribers: list[FaultCallback] = []
        self._logger = logging.getLogger(LOGGER_NAME)

    def connect(self, announce: Callable[[FaultNews | OutcomeNews], None]) -> None:
        """Set the function that sends news to all other routers."""
        self._announce = announce

    def subscribe(self, callback: FaultCallback) -> None:
        """Call ``callback`` with the ids of upstreams found at fault here or by others.

        It is called once for each fault found here, and when news of others begin to
        make this router avoid an upstream.
        """
        self._subscribers.append(callback)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to check upstreams and to send news in ``nursery``."""
        self._nursery = nursery
        nursery.start_soon(self._send_news)

    async def _send_news(self) -> None:
        table, outcomes = self._selector.faults, self._selector.outcomes
        while True:
            self._changed = trio.Event()
            dues = (table.get_next_due(), outcomes.get_next_due())
            due = min((due for due in dues if due is not None), default=math.inf)
            with trio.move_on_at(due):
                await self._changed.wait()
            for news in outcomes.collect_due(trio.current_time()):
                self._metrics.count(Metric.FAULTS_SENT)
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.OUTCOMES_SENT,
                    upstream=news.upstream_id,
                    answers=round(news.answers, 2),
                    losses=round(news.losses, 2),
                )
                if self._announce is not None:
                    self._announce(news)
            for news in table.collect_due(trio.current_time()):
                self._metrics.count(Metric.FAULTS_SENT)
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.FAULT_SENT,
                    upstream=news.upstream_id,
                    born=news.started_at_ms,
                    reason=news.evidence.value,
                    is_over=news.is_over,
                )
                if self._announce is not None:
                    self._announce(news)

    def record_fault(self, upstream: Upstream, evidence: Evidence) -> None:
        """Tell the other routers of a fault, unless its entry has changed since."""
        now = trio.current_time()
        entry = self._directory.upstreams_by_id.get(upstream.upstream_id)
        if entry is None or entry.started_at_ms != upstream.started_at_ms:
            return
        is_link = evidence is Evidence.SILENT
        if is_link and self._selector.reach.is_cut_off(entry.failure_domain, now):
            return
        is_new = self._selector.faults.record_fault(entry, evidence, now)
        self._changed.set()
        if is_new:
            self._notify(entry.upstream_id)

    def _notify(self, upstream_id: str) -> None:
        for callback in self._subscribers:
            callback(upstream_id)

    def record_unconnected(self, upstream: Upstream, error: TransportError) -> None:
        """Record a failed connection.

        One that timed out may only have met a full queue of new connections, so a
        runner is checked first.
        """
        if _is_refusal(error):
            self.record_fault(upstream, Evidence.REFUSED)
        elif upstream.held_layers:
            self.check(upstream.upstream_id)

    def record_no_report(self, upstream: Upstream, error: TransportError) -> None:
        """Record that a runner that was already in doubt gave no report."""
        is_refused = _is_refusal(error)
        evidence = Evidence.REFUSED if is_refused else Evidence.SILENT
        self.record_fault(upstream, evidence)

    def record_report(self, upstream: Upstream, report: RunnerReport) -> None:
        """Record a fault if a report shows another state than the runner's entry."""
        listed = (upstream.first_layer, upstream.end_layer)
        if upstream.is_restarted_in(report):
            self.record_fault(upstream, Evidence.RESTARTED)
        elif (report.first_layer, report.end_layer) != listed:
            entry = self._directory.upstreams_by_id.get(upstream.upstream_id)
            if entry is not None and (entry.first_layer, entry.end_layer) == listed:
                self.record_fault(upstream, Evidence.MOVED)

    def record_answer(self, upstream: Upstream) -> None:
        """Record that an upstream serves requests, or that its report is as listed."""
        self._selector.faults.record_answer(upstream.upstream_id, trio.current_time())
        self._changed.set()

    def record_outcome(self, member: Upstream, is_answered: bool) -> None:
        """Count an answer of a member of a plain service, or one that was lost."""
        now = trio.current_time()
        self._selector.outcomes.record(member, is_answered, now)
        if not is_answered:
            self._changed.set()

    def apply_outcome_news(self, news: OutcomeNews, sender: str) -> None:
        """Count what another router tells of a member."""
        entry = self._directory.upstreams_by_id.get(news.upstream_id)
        if entry is None or entry.held_layers:
            return
        now = trio.current_time()
        self._selector.outcomes.apply_news(news, sender, entry, now)
        self._changed.set()

    def check(self, upstream_id: str) -> None:
        """Check a runner in the background, unless it was checked lately.

        A refusal that names a runner at fault does not tell a dead one from one that
        is short of memory.
        """
        now = trio.current_time()
        upstream = self._directory.upstreams_by_id.get(upstream_id)
        if self._nursery is None or upstream is None or not upstream.held_layers:
            return
        checked_at = self._checked_at_by_id.get(upstream_id, -math.inf)
        if now - checked_at < CHECK_SECONDS:
            return
        self._checked_at_by_id[upstream_id] = math.inf
        self._nursery.start_soon(self._check, upstream)

    async def _check(self, upstream: Upstream) -> None:
        try:
            report = await self._control.get_report(upstream)
        except TransportError as error:
            self._selector.record_unreachable(upstream, str(error))
            self.record_no_report(upstream, error)
            return
        finally:
            self._checked_at_by_id[upstream.upstream_id] = trio.current_time()
        self._selector.record_answer(upstream)
        if report.is_leaving:
            self._selector.record_leaving(upstream)
        self.record_report(upstream, report)

    def apply_news(self, news: FaultNews, sender: str) -> None:
        """Apply the message of another router."""
        peer = self._membership.list_peers().get(sender)
        entry = self._directory.upstreams_by_id.get(news.upstream_id)
        if peer is None or entry is None:
            return
        now = trio.current_time()
        is_applied = self._selector.faults.apply_news(
            news,
            sender,
            peer.failure_domain,
            entry,
            len(self._directory.list_service(entry.service)),
            now,
        )
        if not is_applied:
            return
        self._metrics.count(Metric.FAULTS_APPLIED)
        log_event(
            self._logger,
            logging.INFO,
            Event.FAULT_APPLIED,
            upstream=news.upstream_id,
            born=news.started_at_ms,
            reason=news.evidence.value,
            peer=sender,
        )
        self._notify(news.upstream_id)

    def forget_absent_upstreams(self) -> None:
        """Forget upstreams that are not listed."""
        known = self._directory.upstreams_by_id
        self._selector.faults.retain(known)
        self._selector.outcomes.retain(known)
        self._checked_at_by_id = {
            upstream_id: checked_at
            for upstream_id, checked_at in self._checked_at_by_id.items()
            if upstream_id in known
        }


def _is_refusal(error: TransportError) -> bool:
    """Whether a connection was refused, as when the process has ended."""
    return isinstance(error, ConnectFailed) and error.is_refused
