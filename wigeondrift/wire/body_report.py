"""Metrics and log line of a ``BodyBudget``."""

import logging

from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.body_budget import BodyBudget

REPORT_SECONDS = 1.0


class BodyReport:
    """Reports what is held, and once for each period what was given up.

    Parameters
    ----------
    budget : BodyBudget
    metrics : Metrics
    """

    __slots__ = ("_budget", "_logger", "_metrics", "_reported")

    def __init__(self, budget: BodyBudget, metrics: Metrics) -> None:
        self._budget = budget
        self._metrics = metrics
        self._reported = 0
        self._logger = logging.getLogger(LOGGER_NAME)

    async def record(self, now: float) -> None:
        """Record gauge and counter; called periodically by the timer service."""
        budget = self._budget
        self._metrics.gauge(Metric.BODIES_HELD, budget.held_bytes)
        count = budget.refused - self._reported
        if not count:
            return
        self._reported = budget.refused
        self._metrics.count(Metric.BODIES_REFUSED, count)
        log_event(
            self._logger,
            logging.WARNING,
            Event.BODIES_REFUSED,
            count=count,
            held_bytes=budget.held_bytes,
            limit_bytes=budget.limit_bytes,
        )
