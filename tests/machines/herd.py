"""Simulation of many routers that choose routes on outdated usage, in virtual time.

Each route serves prompts sequentially at the rate that the chain set estimates for it,
so that a request's first event is late if many routers choose the same route
concurrently.
"""

import heapq
import random

from wigeondrift.router.entities import Upstream
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import ChainSet, RouteDemand

ROUTERS = 24
ROUTES = 12
SECONDS = 12.0
USAGE_INTERVAL_SECONDS = 1.5
OBJECTIVE_SECONDS = 0.5
# Offered load as a fraction of the total rate of all routes.
LOAD_FRACTION = 0.6


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


class RoutingSimulation:
    """Simulated load; ``late`` is the fraction of first events after the objective."""

    def __init__(self, engine, get_total, rng, samples_routes):
        self._rng = rng
        self._samples_routes = samples_routes
        self._chain_sets = [ChainSet(engine, make_runners()) for _ in range(ROUTERS)]
        self._ledgers = [CacheLedger(get_total) for _ in range(ROUTERS)]
        self._idle_at_by_head = {}
        self._prompt = engine.mean_prompt_tokens
        self.late = 0.0

    def simulate(self):
        rates = {
            chain.runners[0].upstream_id: self._chain_sets[0].get_rate(
                chain, self._ledgers[0]
            )
            for chain in self._chain_sets[0].chains
        }
        now, next_publication_at, count, late = 0.0, 0.0, 0, 0
        events = []
        while now < SECONDS:
            now += self._rng.expovariate(LOAD_FRACTION * sum(rates.values()))
            while next_publication_at < now:
                next_publication_at += USAGE_INTERVAL_SECONDS / ROUTERS
                self._publish_usage(
                    int(next_publication_at / USAGE_INTERVAL_SECONDS * ROUTERS)
                    % ROUTERS,
                    next_publication_at,
                )
            while events and events[0][0] <= now:
                _, _, action = heapq.heappop(events)
                action()
            seconds = self._send(now, rates, events)
            count += 1
            late += seconds is None or seconds > OBJECTIVE_SECONDS
        self.late = late / count

    def _publish_usage(self, number, now):
        usage = self._ledgers[number].make_own_message(f"r{number}", int(now * 1e6))
        for other, ledger in enumerate(self._ledgers):
            if other != number:
                ledger.apply_peer_usage(usage, now)

    def _send(self, now, rates, events):
        number = self._rng.randrange(ROUTERS)
        ledger = self._ledgers[number]
        demand = RouteDemand(self._prompt * 1.2, self._prompt, 0.2)
        rng = self._rng if self._samples_routes else None
        offer = self._chain_sets[number].choose(
            demand, ledger, (), "zone-0", rng, f"r{number}"
        )
        if offer is None:
            return None
        route = offer.chain.route
        head = offer.chain.runners[0].upstream_id
        ledger.reserve(route, demand.tokens, demand.prompt)
        read_at = max(now, self._idle_at_by_head.get(head, 0.0)) + 1.0 / rates[head]
        self._idle_at_by_head[head] = read_at
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


def simulate(engine, get_total, seed, samples_routes):
    simulation = RoutingSimulation(
        engine, get_total, random.Random(seed), samples_routes
    )
    simulation.simulate()
    return simulation.late
