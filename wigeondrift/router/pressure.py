"""Pressure level between routers: applies, sends and logs it."""

import logging
from collections.abc import Callable, Sequence

import trio

from wigeondrift.router.entities import ServiceSpec
from wigeondrift.router.replica import Replica
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.systems.grant_order import Precedence
from wigeondrift.systems.pressure import (
    PressureLevel,
    PressureNews,
    get_exempt_interval,
)
from wigeondrift.systems.urgency import NO_SCALE
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.timer import Activity

# Interval at which ended levels are looked for.
POLL_SECONDS = 0.1
# Shortest interval between two lines on the level of one service.
LOG_SECONDS = 1.0


class Pressure:
    """The pressure level that this router follows and tells.

    Parameters
    ----------
    level : PressureLevel
    replica : Replica
        Holds the configuration with the priorities.
    selector : UpstreamSelector
        Knows the rate of a service's routes.

    Attributes
    ----------
    activity : Activity
        Whether a level stands.
    """

    __slots__ = (
        "_announce",
        "_level",
        "_logged_at_by_service",
        "_logger",
        "_raised_by_service",
        "_replica",
        "_selector",
        "activity",
    )

    def __init__(
        self, level: PressureLevel, replica: Replica, selector: UpstreamSelector
    ) -> None:
        self._level = level
        self._replica = replica
        self._selector = selector
        self._announce: Callable[[PressureNews], None] | None = None
        self._logger = logging.getLogger(LOGGER_NAME)
        # Time and priority of the levels that were logged.
        self._raised_by_service: dict[str, tuple[float, int]] = {}
        self._logged_at_by_service: dict[str, float] = {}
        self.activity = Activity()

    def subscribe(self, announce: Callable[[PressureNews], None]) -> None:
        """Call ``announce`` with news for the other routers."""
        self._announce = announce

    def apply_news(self, news: PressureNews) -> None:
        """Apply the message of another router."""
        configuration = self._replica.configuration
        scale = NO_SCALE
        if configuration is not None:
            scale = configuration.get_scale(news.service)
        now = trio.current_time()
        if not self._level.apply_news(news, scale, now):
            log_event(
                self._logger,
                logging.DEBUG,
                Event.PRESSURE_NEWS_IGNORED,
                peer=news.instance_id,
                service=news.service,
                priority=news.priority,
            )
            return
        self.activity.begin()
        self._log_raised(news.service, now)

    def _log_raised(self, service: str, now: float) -> None:
        level = self._level.get_level(service, now)
        known = self._raised_by_service.get(service)
        if level is None or (known is not None and known[1] == level.priority):
            return
        if now - self._logged_at_by_service.get(service, -LOG_SECONDS) < LOG_SECONDS:
            return
        raised_at = now if known is None else known[0]
        self._raised_by_service[service] = (raised_at, level.priority)
        self._logged_at_by_service[service] = now
        log_event(
            self._logger,
            logging.INFO,
            Event.PRESSURE_CHANGED,
            service=service,
            priority=level.priority,
            peer=level.instance_id,
            waiting=level.waiting,
            oldest_wait=round(level.oldest_wait, 3),
        )

    def get_margin(
        self, service: ServiceSpec, precedence: Precedence, now: float
    ) -> float:
        """Return the fraction of the capacity that a request must leave free."""
        return self._level.get_margin(
            service.name, precedence, now, lambda: self._get_exempt_interval(service)
        )

    def _get_exempt_interval(self, service: ServiceSpec) -> float:
        rate = self._selector.get_service_rate(service)
        return get_exempt_interval(rate, self._selector.peer_count + 1)

    def get_wait(self, service: str, precedence: Precedence, now: float) -> float:
        """Return how long more urgent requests wait elsewhere, in seconds.

        A less urgent request waits about as long before it gets capacity.
        """
        level = self._level.find_more_urgent(service, precedence, now)
        return 0.0 if level is None else level.oldest_wait

    def is_held_back(self, service: str, precedence: Precedence, now: float) -> bool:
        """Whether more urgent requests than this one wait elsewhere."""
        return self._level.find_more_urgent(service, precedence, now) is not None

    def record_grant(
        self, service: ServiceSpec, precedence: Precedence, margin: float, now: float
    ) -> bool:
        """Record that a request got capacity; return whether margins changed."""
        if margin or not self.is_held_back(service.name, precedence, now):
            return False
        interval = self._get_exempt_interval(service)
        self._level.record_exempt_grant(service.name, interval, now)
        return True

    def tell(
        self, service: str, waiting: Sequence[tuple[Precedence, float]], now: float
    ) -> None:
        """Tell the other routers of waiting requests, if there is need.

        Parameters
        ----------
        service : str
        waiting : sequence of (Precedence, float)
            The waiting requests, each with the time of its arrival in seconds.
        now : float
            Current time in seconds.
        """
        first = min(waiting, key=lambda pair: pair[0].priority)[0]
        if first.is_least_urgent or self._announce is None:
            return
        since = [at for who, at in waiting if who.priority == first.priority]
        news = self._level.make_news(
            service, first.priority, len(since), now - min(since), now
        )
        if news is not None:
            self._announce(news)

    async def poll(self, now: float) -> None:
        """Log levels that have ended; called by the timer."""
        for service, (raised_at, priority) in list(self._raised_by_service.items()):
            if self._level.get_level(service, now) is None:
                del self._raised_by_service[service]
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.PRESSURE_ENDED,
                    service=service,
                    priority=priority,
                    seconds=round(now - raised_at, 3),
                )
        if not self._raised_by_service:
            self.activity.end()
