"""Many routers and one upstream that names a request limit, in virtual time."""

import random

from wigeondrift.systems.limits import RequestLimits

UPSTREAM = "u1"
TICK_SECONDS = 0.01
NEWS_SECONDS = 0.002
WINDOW_SECONDS = 4.0
BOUND_FACTOR = 1.5
BOUND_REQUESTS = 5.0
# Time from the first naming of the limit until it binds, and from an answer of a
# router until its requests count.
GRACE_SECONDS = 3.0
TOLD_SECONDS = 0.5


class LimitMachine:
    """Routers that call one upstream whenever their limits allow it.

    Attributes
    ----------
    sent : list of (float, str)
        Time and router of each request.
    """

    def __init__(self, seed, count, limit, calls_per_second, loss=0.0):
        self.rng = random.Random(seed)
        self.names = [f"router-{number}" for number in range(count)]
        self.limit = limit
        self.calls_per_second = calls_per_second
        self.loss = loss
        self.now = 0.0
        self.sent = []
        self.told_at_by_name = {}
        self.first_told_at = None
        self.routers_by_name = {}
        self.silenced = set()
        self._news = []
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        """Start a router that knows nothing but its peers."""
        limits = RequestLimits(name)
        limits.set_peers(self.names)
        self.routers_by_name[name] = limits
        self.told_at_by_name.pop(name, None)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            self._deliver()
            for name in self.names:
                chance = self.calls_per_second * TICK_SECONDS
                if name not in self.silenced and self.rng.random() < chance:
                    self._call(name)

    def _deliver(self):
        due = [entry for entry in self._news if entry[0] <= self.now]
        self._news = [entry for entry in self._news if entry[0] > self.now]
        for _, sender, news in due:
            for name, limits in self.routers_by_name.items():
                if name != sender and self.rng.random() >= self.loss:
                    limits.apply_news(news, self.now)

    def _call(self, name):
        limits = self.routers_by_name[name]
        if limits.get_wait(UPSTREAM, self.now):
            return
        limits.consume(UPSTREAM, self.now)
        self.sent.append((self.now, name))
        news = limits.record_answer(UPSTREAM, self.limit, self.now, self.now)
        if self.limit is not None:
            self.told_at_by_name.setdefault(name, self.now)
            if self.first_told_at is None:
                self.first_told_at = self.now
        if news is not None:
            self._news.append((self.now + NEWS_SECONDS, name, news))

    def count_most(self):
        """Return the most requests that counted within one window."""
        counted = [
            at
            for at, name in self.sent
            if at >= self.first_told_at + GRACE_SECONDS
            and at >= self.told_at_by_name.get(name, at) + TOLD_SECONDS
        ]
        return max(
            (
                sum(start <= at < start + WINDOW_SECONDS for at in counted)
                for start in counted
            ),
            default=0,
        )

    def count_between(self, start, end):
        return sum(start <= at < end for at, _ in self.sent)


def get_bound(limit):
    return BOUND_FACTOR * WINDOW_SECONDS * limit + BOUND_REQUESTS
