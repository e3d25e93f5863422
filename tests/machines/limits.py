"""Many routers and one upstream that names a request limit, in virtual time."""

import heapq
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


# Time that a message takes, and after which a router asks again, as the router does.
MESSAGE_SECONDS = 0.002
ANSWER_SECONDS = 0.08
ASKINGS = 2
PRESENCE_SECONDS = 0.1
RESTART_SECONDS = 1.5


class LimitMachine:
    """Routers that call one upstream whenever they get a permit.

    Attributes
    ----------
    sent : list of (float, str)
        Time and router of each request.
    calls : int
        Number of requests that callers made.
    """

    def __init__(self, seed, count, limit, calls_per_second, loss=0.0):
        self.rng = random.Random(seed)
        self.names = [f"router-{number}" for number in range(count)]
        self.limit = limit
        self.calls_per_second = calls_per_second
        self.loss = loss
        self.now = 0.0
        self.sent = []
        self.calls = 0
        self.told_at_by_name = {}
        self.first_told_at = None
        self.routers_by_name = {}
        self.silenced = set()
        # Pairs of a router and another one that it gets no answers from.
        self.cut_pairs = set()
        self._events = []
        self._count = 0
        self._pending = set()
        self._presence_at = 0.0
        for name in self.names:
            self._start(name)

    def _start(self, name):
        """Start a router that knows nothing but its peers."""
        limits = RequestLimits(name)
        limits.set_peers(self.names)
        self.routers_by_name[name] = limits

    def restart(self, name):
        """Stop a router; after some time it is back and knows nothing."""
        self.routers_by_name.pop(name, None)
        self.told_at_by_name.pop(name, None)
        self._schedule(RESTART_SECONDS, self._start, name)

    def _schedule(self, seconds, action, *arguments):
        self._count += 1
        entry = (self.now + seconds, self._count, action, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            if self.now >= self._presence_at:
                self._presence_at = self.now + PRESENCE_SECONDS
                self._ask_for_presence()
            while self._events and self._events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            for name in list(self.routers_by_name):
                chance = self.calls_per_second * TICK_SECONDS
                if name not in self.silenced and self.rng.random() < chance:
                    self.calls += 1
                    self._call(name)

    def _call(self, name):
        limits = self.routers_by_name.get(name)
        if limits is None or limits.get_wait(UPSTREAM, self.now):
            return
        if limits.get_limit(UPSTREAM) is None:
            self._send(name)
            return
        issuer = limits.get_issuer(UPSTREAM, self.now)
        self._ask(name, issuer, 1)

    def _ask(self, name, issuer, asking):
        limits = self.routers_by_name.get(name)
        if limits is None or limits.get_limit(UPSTREAM) is None:
            self._call(name)
            return
        self._count += 1
        request = limits.make_request(UPSTREAM, self._count)
        if issuer == name:
            self._take(name, issuer, limits.answer(request, self.now))
            return
        self._pending.add(request.number)
        self._schedule(ANSWER_SECONDS, self._give_up, name, issuer, asking, request)
        if not self._is_lost():
            self._schedule(MESSAGE_SECONDS, self._answer, name, issuer, request)

    def _is_lost(self, router="", sender=""):
        return (router, sender) in self.cut_pairs or self.rng.random() < self.loss

    def _answer(self, name, issuer, request):
        limits = self.routers_by_name.get(issuer)
        if limits is not None:
            answer = limits.answer(request, self.now)
            if not self._is_lost(name, issuer):
                self._schedule(MESSAGE_SECONDS, self._receive, name, issuer, answer)

    def _receive(self, name, issuer, answer):
        if answer.number in self._pending:
            self._pending.discard(answer.number)
            self._take(name, issuer, answer)

    def _ask_for_presence(self):
        """Let each router ask those that would issue permits in its place."""
        for name, limits in self.routers_by_name.items():
            for other in limits.presence.list_wanted(self.now):
                # The question or the answer may be lost.
                is_lost = self._is_lost() or self._is_lost(name, other)
                if other in self.routers_by_name and not is_lost:
                    limits.presence.record_answer(other, self.now)

    def _give_up(self, name, issuer, asking, request):
        if request.number not in self._pending:
            return
        self._pending.discard(request.number)
        if asking < ASKINGS:
            self._ask(name, issuer, asking + 1)
        elif name in self.routers_by_name:
            self.routers_by_name[name].skip(issuer, self.now)
            self._call(name)

    def _take(self, name, issuer, answer):
        limits = self.routers_by_name.get(name)
        if limits is None:
            return
        limits.record_permit_answer(issuer, answer)
        if answer.wait:
            limits.close(UPSTREAM, self.now + answer.wait)
        else:
            self._send(name)

    def _send(self, name):
        self.sent.append((self.now, name))
        limits = self.routers_by_name[name]
        news = limits.record_answer(UPSTREAM, self.limit, self.now, self.now)
        if self.limit is not None:
            self.told_at_by_name.setdefault(name, self.now)
            if self.first_told_at is None:
                self.first_told_at = self.now
        if news is not None:
            for other in self.routers_by_name:
                if other != name and not self._is_lost():
                    self._schedule(NEWS_SECONDS, self._apply_news, other, news)

    def _apply_news(self, name, news):
        if name in self.routers_by_name:
            self.routers_by_name[name].apply_news(news, self.now)

    def get_issuer(self):
        """Return the router that issues permits, or would if it was there."""
        limits = RequestLimits("")
        limits.set_peers(self.names)
        limits.record_answer(UPSTREAM, 1.0, 0.0, 0.0)
        return next(name for name in limits.rank_routers(UPSTREAM) if name)

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
