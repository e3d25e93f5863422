"""Pace of runners: asks the runners of slow routes, and tells the other routers."""

import logging
import random
from collections.abc import Callable, Iterable

import trio

from wigeondrift.application import Component
from wigeondrift.errors import TransportError
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RunnerReport, ServiceSpec, Upstream
from wigeondrift.router.faults import SharedFaults
from wigeondrift.router.membership import Membership
from wigeondrift.router.request_context import Progress
from wigeondrift.router.selector import Reservation, UpstreamSelector
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.paces import (
    ASK_SECONDS,
    MAX_CONCURRENT_QUESTIONS,
    NORMAL_PACE,
    PaceNews,
    PaceSource,
    draw_ask_delay,
    get_first_event_limit,
    is_suspicious_gap,
    is_valid_pace,
)
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics


class SharedPaces(Component):
    """Reads the reports of runners whose streams are slow, and shares their paces.

    Parameters
    ----------
    directory : Directory
    selector : UpstreamSelector
        Holds the table of paces.
    membership : Membership
    control : RunnerControl
    faults : SharedFaults
        Receives reports that can't be had.
    metrics : Metrics
    rng : random.Random
    """

    __slots__ = (
        "_announce",
        "_changed",
        "_control",
        "_directory",
        "_faults",
        "_logger",
        "_membership",
        "_metrics",
        "_nursery",
        "_questions",
        "_rng",
        "_selector",
    )

    def __init__(
        self,
        directory: Directory,
        selector: UpstreamSelector,
        membership: Membership,
        control: RunnerControl,
        faults: SharedFaults,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._membership = membership
        self._control = control
        self._faults = faults
        self._metrics = metrics
        self._rng = rng
        self._announce: Callable[[PaceNews], None] | None = None
        self._changed = trio.Event()
        self._questions = 0
        self._nursery: trio.Nursery | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    def connect(self, announce: Callable[[PaceNews], None]) -> None:
        """Set the function that sends news to all other routers."""
        self._announce = announce

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to ask runners in ``nursery``; until then none is asked."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        table = self._selector.paces
        while True:
            due = table.get_next_due()
            if due is None:
                await self._changed.wait()
            elif due > trio.current_time():
                with trio.move_on_at(due):
                    await self._changed.wait()
            self._changed = trio.Event()
            now = trio.current_time()
            for entry in table.expire(now):
                self._record_change(entry, PaceSource.EXPIRY)
            for entry in table.collect_due(now):
                self._start_question(entry, 0.0)

    def record_gap(
        self,
        service: ServiceSpec,
        reservation: Reservation,
        progress: Progress,
        gap: float,
    ) -> None:
        """Record a gap between two events of a stream, and ask if it is too long."""
        suspicious = progress.gaps.add(gap)
        if suspicious is None or self._nursery is None:
            return
        expected = self._selector.estimate_event_gap(service, reservation.chain)
        if is_suspicious_gap(suspicious, expected):
            self.ask(reservation.chain.runners)

    async def watch_first_event(
        self, reservation: Reservation, progress: Progress
    ) -> None:
        """Ask the runners of a route while the first event of a stream is overdue.

        They are asked more than once, because a report may be older than the cause of
        the delay.
        """
        await trio.sleep(get_first_event_limit(reservation.first_seconds))
        while not progress.has_events and not progress.is_repaired:
            self.ask(reservation.chain.runners)
            await trio.sleep(ASK_SECONDS)

    def ask(self, runners: Iterable[Upstream]) -> None:
        """Ask for the reports of runners that nobody has asked lately."""
        if self._nursery is None:
            return
        now = trio.current_time()
        for runner in runners:
            entry = self._directory.upstreams_by_id.get(runner.upstream_id)
            if (
                entry is not None
                and entry.started_at_ms == runner.started_at_ms
                and self._questions < MAX_CONCURRENT_QUESTIONS
                and self._selector.paces.may_ask(entry, now)
            ):
                self._selector.paces.record_question(entry.upstream_id, now)
                self._start_question(entry, draw_ask_delay(self._rng))

    def _start_question(self, entry: Upstream, delay: float) -> None:
        self._questions += 1
        self._nursery.start_soon(self._ask, entry, delay)

    async def _ask(self, entry: Upstream, delay: float) -> None:
        try:
            if delay:
                await trio.sleep(delay)
                if self._selector.paces.is_heard(entry, trio.current_time()):
                    return
            report = await self._control.get_report(entry)
        except TransportError as error:
            self._selector.record_unreachable(entry, str(error))
            self._faults.record_no_report(entry, error)
            return
        finally:
            self._questions -= 1
        self._selector.record_answer(entry)
        if report.is_leaving:
            self._selector.record_leaving(entry)
        self._faults.record_report(entry, report)
        self._apply_report(entry, report)

    def _apply_report(self, entry: Upstream, report: RunnerReport) -> None:
        listed = self._directory.upstreams_by_id.get(entry.upstream_id)
        if (
            listed is None
            or listed.started_at_ms != entry.started_at_ms
            or listed.is_restarted_in(report)
            or not is_valid_pace(report.pace)
        ):
            return
        now = trio.current_time()
        if self._selector.paces.record_report(listed, report.pace, now):
            self._record_change(listed, PaceSource.REPORT)
        self._changed.set()
        if self._announce is not None:
            self._metrics.count(Metric.PACES_SENT)
            news = PaceNews(listed.upstream_id, listed.started_at_ms, report.pace)
            self._announce(news)

    def apply_news(self, news: PaceNews, sender: str) -> None:
        """Apply the message of another router."""
        if sender not in self._membership.list_peers():
            return
        entry = self._directory.upstreams_by_id.get(news.upstream_id)
        now = trio.current_time()
        if self._selector.paces.apply_news(news, sender, entry, now):
            self._record_change(entry, PaceSource.NEWS, sender)
        self._changed.set()

    def _record_change(
        self, entry: Upstream, source: PaceSource, peer: str = ""
    ) -> None:
        self._metrics.gauge(Metric.SLOW_RUNNERS, self._selector.paces.count_slow())
        is_ended = source is PaceSource.EXPIRY
        log_event(
            self._logger,
            logging.INFO,
            Event.PACE_CHANGED,
            upstream=entry.upstream_id,
            born=entry.started_at_ms,
            pace=NORMAL_PACE if is_ended else self._selector.paces.get_pace(entry),
            source=source.value,
            peer=peer,
        )

    def forget_absent_upstreams(self) -> None:
        """Forget upstreams that are not listed, and paces of earlier incarnations."""
        for entry in self._selector.paces.retain(self._directory.upstreams_by_id):
            self._record_change(entry, PaceSource.EXPIRY)
