"""Routers that ask each other for permits, in virtual time without sockets."""

import trio
import trio.testing

from tests.machines.limits import UPSTREAM
from wigeondrift.router.permits import Permits
from wigeondrift.systems.limits import LimitNews, PermitRequest, RequestLimits

MESSAGE_SECONDS = 0.002


class PermitRouters:
    """Routers that know the limit of one upstream.

    Attributes
    ----------
    ranking : list of str
        Names of the routers, the issuer first.
    asking : str
        The router that asks for permits, the last of the ranking.
    cut : set of (str, str)
        Pairs of a router and another one that it gets no answers from.
    requests : list
        All messages that ask for something.
    suspended_seconds : float
        Time for which all routers are suspended when the first permit is on its way.
    """

    def __init__(self, count, limit):
        self.limit = limit
        self.cut = set()
        self.suspended_seconds = 0.0
        self._suspended = 0.0
        self.requests = []
        self.limits_by_name = {}
        self.permits_by_name = {}
        names = [f"router-{number}" for number in range(count)]
        for name in names:
            limits = self.limits_by_name[name] = RequestLimits(name)
            limits.set_peers(names)
            limits.apply_news(LimitNews(UPSTREAM, limit), 0.0)
            self.permits_by_name[name] = Permits(limits, name, 0, self._get_time)
        self.ranking = limits.rank_routers(UPSTREAM)
        self.asking = self.ranking[-1]

    def _get_time(self):
        return trio.current_time() + self._suspended

    def ask(self, count, seconds, lift_after=None):
        """Return for each request whether it got a permit, and after which time."""
        results = []

        async def one(pause):
            await trio.sleep(pause)
            started_at = trio.current_time()
            permits = self.permits_by_name[self.asking]
            is_permitted = await permits.acquire(UPSTREAM, "request")
            results.append((is_permitted, trio.current_time() - started_at))

        async def main():
            async with trio.open_nursery() as nursery:
                for name, permits in self.permits_by_name.items():
                    permits.connect(self._make_sender(name, nursery))
                    await permits.start(nursery)
                async with trio.open_nursery() as requests:
                    for number in range(count):
                        requests.start_soon(one, seconds * number / count)
                    if lift_after is not None:
                        await trio.sleep(lift_after)
                        news = LimitNews(UPSTREAM, None)
                        limits = self.limits_by_name[self.asking]
                        limits.apply_news(news, trio.current_time())
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return results

    def _make_sender(self, sender, nursery):
        async def deliver(name, request):
            await trio.sleep(MESSAGE_SECONDS)
            asked, asking = self.permits_by_name[name], self.permits_by_name[sender]
            is_permit = isinstance(request, PermitRequest)
            self.requests.append(request)
            if is_permit:
                answer = asked.answer_permit_request(request)
            else:
                answer = asked.answer_presence_request(request)
            if (sender, name) in self.cut:
                return
            await trio.sleep(MESSAGE_SECONDS)
            self._suspended = self.suspended_seconds
            if is_permit:
                asking.apply_permit_answer(answer)
            else:
                asking.apply_presence_answer(answer)

        async def send(name, request):
            nursery.start_soon(deliver, name, request)

        return send
