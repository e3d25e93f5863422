"""Load of many routers that choose routes on old news of each other, in virtual time.

Each route serves prompts one after another at the rate that the book expects of it, so
that a request's first event comes late if many routers took the same route at once.
"""

import heapq
import random

from wigeondrift.router.entities import Upstream
from wigeondrift.systems.chains import ChainBook, RouteDemand
from wigeondrift.systems.room import RoomLedger

ROUTERS = 24
ROUTES = 12
SECONDS = 12.0
NEWS_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.5
# Part of what all routes can serve together.
LOAD = 0.6


def make_runners():
    runners = []
    for number in range(ROUTES):
        kind = "large" if number % 3 else "small"
        domain = f"zone-{number % 3}"
        for part in range(2):
            runners.append(
                Upstream(
                    f"u{number}-{part}",
                    "model",
                    f"10.3.{number}.{part}:80",
                    domain,
                    False,
                    1000,
                    kind,
                    40 * part,
                    40 * part + 40,
                    1,
                )  # fmt: skip
            )
    return runners


class Load:
    """Plays the load; ``late`` is the share of first events after the objective."""

    def __init__(self, engine, get_total, rng, draws):
        self._rng = rng
        self._draws = draws
        self._books = [ChainBook(engine, make_runners()) for _ in range(ROUTERS)]
        self._ledgers = [RoomLedger(get_total) for _ in range(ROUTERS)]
        self._free_at_by_head = {}
        self._prompt = engine.mean_prompt_tokens
        self.late = 0.0

    def play(self):
        rates = {
            chain.runners[0].upstream_id: self._books[0].get_rate(
                chain, self._ledgers[0]
            )
            for chain in self._books[0].chains
        }
        now, news_at, count, late = 0.0, 0.0, 0, 0
        events = []
        while now < SECONDS:
            now += self._rng.expovariate(LOAD * sum(rates.values()))
            while news_at < now:
                news_at += NEWS_SECONDS / ROUTERS
                self._tell(int(news_at / NEWS_SECONDS * ROUTERS) % ROUTERS, news_at)
            while events and events[0][0] <= now:
                _, _, action = heapq.heappop(events)
                action()
            seconds = self._send(now, rates, events)
            count += 1
            late += seconds is None or seconds > OBJECTIVE_SECONDS
        self.late = late / count

    def _tell(self, number, now):
        usage = self._ledgers[number].describe_own(f"r{number}", int(now * 1e6))
        for other, ledger in enumerate(self._ledgers):
            if other != number:
                ledger.apply_peer(usage, now)

    def _send(self, now, rates, events):
        number = self._rng.randrange(ROUTERS)
        ledger = self._ledgers[number]
        demand = RouteDemand(self._prompt * 1.2, self._prompt, 0.2)
        rng = self._rng if self._draws else None
        offer = self._books[number].choose(demand, ledger, (), "zone-0", rng)
        if offer is None:
            return None
        route = offer.chain.route
        head = offer.chain.runners[0].upstream_id
        ledger.reserve(route, demand.tokens, demand.prompt)
        read_at = max(now, self._free_at_by_head.get(head, 0.0)) + 1.0 / rates[head]
        self._free_at_by_head[head] = read_at
        ends_at = read_at + 2.0
        heapq.heappush(
            events,
            (
                read_at,
                id(offer),
                lambda: ledger.record_prompt_read(route, demand.prompt),
            ),
        )
        heapq.heappush(
            events, (ends_at, id(offer), lambda: ledger.release(route, demand.tokens))
        )
        return read_at - now


def play(engine, get_total, seed, draws):
    load = Load(engine, get_total, random.Random(seed), draws)
    load.play()
    return load.late
