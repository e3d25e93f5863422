"""Pressure level of a service: the most urgent priority that waits at any router.

Designed for a crest in which urgent requests wait at some routers while others still
send less urgent ones. Routers that follow the level leave a margin of capacity free
with less urgent requests, which the routers with urgent ones use. A reserved share of
the service's rate still goes to less urgent requests without a margin.

A router with waiting requests tells the others, unless one of them has just told the
same or a more urgent priority. The number of messages thus hardly depends on the number
of routers. The level lapses by itself when nobody repeats it.
"""

import math
import random
from collections.abc import Callable

import msgspec

from wigeondrift.systems.grant_order import PRIORITY_TURN, Precedence
from wigeondrift.systems.urgency import UrgencyScale

# Time after which news no longer counts, in seconds.
LAPSE_SECONDS = 0.5
# Shortest and longest interval between two news on a service. Two of them fit in the
# time after which the level lapses, so that one may be lost.
MIN_INTERVAL_SECONDS = 0.2
MAX_INTERVAL_SECONDS = 0.3
# Time that a request waits before others are told; shorter waits end with the next pass
# over the queue.
MIN_WAIT_SECONDS = 0.05
# Fraction of the KV cache and of the slots of a route that less urgent requests leave
# free. Each release that they may not use is left to urgent ones, so a small margin is
# enough to shift capacity to them.
MARGIN = 0.15
# Shortest mean interval between two requests without margin of one router, in seconds.
MIN_EXEMPT_SECONDS = 0.05
# Rate assumed for a service whose routes are unknown, in requests per second.
MIN_SERVICE_RATE = 0.1
# Time for which the number of a router's last message is kept, in seconds. Datagrams
# are not delayed for longer.
SEQUENCE_SECONDS = 10.0
# Bounds of plausible news.
MAX_PRIORITY = 1_000_000
MAX_WAITING = 100_000
MAX_OLDEST_WAIT_SECONDS = 60.0
MAX_SERVICE_CHARACTERS = 256


class PressureNews(msgspec.Struct, tag=True):
    """Message of a router in which requests wait for capacity.

    Attributes
    ----------
    instance_id : str
        Instance of the router.
    incarnation : int
        Random number of the process that made the message.
    sequence : int
        Increases with each message of one incarnation.
    service : str
    priority : int
        Most urgent priority that waits.
    waiting : int
        Number of requests of this priority that wait.
    oldest_wait : float
        Longest time for which one of them has waited, in seconds.
    """

    instance_id: str
    incarnation: int
    sequence: int
    service: str
    priority: int
    waiting: int
    oldest_wait: float

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return (
            0 <= self.priority <= MAX_PRIORITY
            and 1 <= self.waiting <= MAX_WAITING
            and 0.0 <= self.oldest_wait <= MAX_OLDEST_WAIT_SECONDS
            and len(self.service) <= MAX_SERVICE_CHARACTERS
        )


class PressureLevel:
    """Pressure on the services as known to one router.

    Parameters
    ----------
    name : str
        Instance of this router.
    incarnation : int
        Random number of this process.
    rng : random.Random
    """

    __slots__ = (
        "_exempt_at_by_service",
        "_incarnation",
        "_last_by_router",
        "_name",
        "_next_news_at_by_service",
        "_news_by_router_by_service",
        "_rng",
        "_sequence",
    )

    def __init__(self, name: str, incarnation: int, rng: random.Random) -> None:
        self._name = name
        self._incarnation = incarnation
        self._rng = rng
        self._sequence = 0
        # News of each router with the time at which it arrived.
        self._news_by_router_by_service: dict[
            str, dict[str, tuple[float, PressureNews]]
        ] = {}
        # Time, incarnation and sequence number of the last message of each router.
        self._last_by_router: dict[str, tuple[float, int, int]] = {}
        self._next_news_at_by_service: dict[str, float] = {}
        self._exempt_at_by_service: dict[str, float] = {}

    def apply_news(self, news: PressureNews, scale: UrgencyScale, now: float) -> bool:
        """Apply the message of another router; return whether it counts.

        Parameters
        ----------
        news : PressureNews
        scale : UrgencyScale
            Priorities of the service in this router's configuration.
        now : float
            Current time in seconds.
        """
        if news.instance_id == self._name or news.priority not in scale.priorities:
            return False
        if scale.is_least_urgent(news.priority):
            return False
        self._forget_last_messages(now)
        _, incarnation, sequence = self._last_by_router.get(
            news.instance_id, (now, news.incarnation, -1)
        )
        if incarnation == news.incarnation and news.sequence <= sequence:
            return False
        last = (now, news.incarnation, news.sequence)
        self._last_by_router[news.instance_id] = last
        heard = self._news_by_router_by_service.setdefault(news.service, {})
        heard[news.instance_id] = (now, news)
        return True

    def _forget_last_messages(self, now: float) -> None:
        for router, (heard_at, _, _) in list(self._last_by_router.items()):
            if now - heard_at >= SEQUENCE_SECONDS:
                del self._last_by_router[router]

    def get_level(self, service: str, now: float) -> PressureNews | None:
        """Return the news of the most urgent and oldest wait; None if none stands."""
        heard = self._news_by_router_by_service.get(service)
        if not heard:
            return None
        for router, (heard_at, _) in list(heard.items()):
            if now - heard_at >= LAPSE_SECONDS:
                del heard[router]
        if not heard:
            del self._news_by_router_by_service[service]
            self._exempt_at_by_service.pop(service, None)
            return None
        return min(
            (news for _, news in heard.values()),
            key=lambda news: (news.priority, -news.oldest_wait),
        )

    def find_more_urgent(
        self, service: str, precedence: Precedence, now: float
    ) -> PressureNews | None:
        """Return the level if it is more urgent than a request, otherwise None.

        A stream that resumes is not held back, as its caller already reads it.
        """
        level = self.get_level(service, now)
        if level is None or precedence.is_resumed:
            return None
        return level if level.priority < precedence.priority else None

    def get_margin(
        self,
        service: str,
        precedence: Precedence,
        now: float,
        get_interval: Callable[[], float],
    ) -> float:
        """Return the fraction of the capacity that a request must leave free.

        Parameters
        ----------
        service : str
        precedence : Precedence
        now : float
            Current time in seconds.
        get_interval : callable
            Returns the mean interval of this router's requests without margin, in
            seconds; see ``get_exempt_interval``.
        """
        if self.find_more_urgent(service, precedence, now) is None:
            return 0.0
        exempt_at = self._exempt_at_by_service.get(service)
        if exempt_at is None:
            # A random start keeps the routers from using their shares all at once.
            exempt_at = now + self._rng.random() * get_interval()
            self._exempt_at_by_service[service] = exempt_at
        return 0.0 if now >= exempt_at else MARGIN

    def record_exempt_grant(self, service: str, interval: float, now: float) -> None:
        """Record that a less urgent request got capacity without a margin."""
        pause = interval * self._rng.uniform(0.5, 1.5)
        self._exempt_at_by_service[service] = now + pause

    def make_news(
        self, service: str, priority: int, waiting: int, oldest_wait: float, now: float
    ) -> PressureNews | None:
        """Return what the other routers should be told now, if anything.

        Parameters
        ----------
        service : str
        priority : int
            Most urgent priority that waits here.
        waiting : int
            Number of requests of this priority that wait here.
        oldest_wait : float
            Longest time for which one of them has waited, in seconds.
        now : float
            Current time in seconds.
        """
        if oldest_wait < MIN_WAIT_SECONDS:
            return None
        heard = self._news_by_router_by_service.get(service, {}).values()
        told_at = max(
            (at for at, news in heard if news.priority <= priority), default=-math.inf
        )
        next_at = self._next_news_at_by_service.get(service, -math.inf)
        # Another router's message has the same effect as an own one at that time. The
        # random part decides which of the waiting routers repeats it.
        pause = self._rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
        if now < next_at or now < told_at + pause:
            return None
        self._next_news_at_by_service[service] = now + pause
        self._sequence += 1
        return PressureNews(
            self._name,
            self._incarnation,
            self._sequence,
            service,
            priority,
            min(waiting, MAX_WAITING),
            min(oldest_wait, MAX_OLDEST_WAIT_SECONDS),
        )


def get_exempt_interval(service_rate: float, routers: int) -> float:
    """Return the mean interval of one router's requests without margin, in seconds.

    All routers together send the share of the service's rate that less urgent requests
    are due.

    Parameters
    ----------
    service_rate : float
        Requests per second that the service's routes serve.
    routers : int
        Number of routers.
    """
    rate = max(service_rate, MIN_SERVICE_RATE)
    return max(MIN_EXEMPT_SECONDS, PRIORITY_TURN * routers / rate)
