"""Route selection over runners that each hold a range of layers.

Designed for many concurrent requests over runners of different speeds. Routes that
share no runner are computed whenever the runners' layer ranges change. Each request
takes the route with the earliest expected first event, given the prompts that are
queued for prefill there, among the routes whose stages all have KV cache for it.
"""

import math
import operator
import random
from collections import Counter
from collections.abc import Callable, Container, Iterable

from wigeondrift.entities import Route, Stage
from wigeondrift.router.entities import EngineSpec, Upstream
from wigeondrift.systems.cache_usage import CacheLedger, Usage
from wigeondrift.systems.paces import PaceTable
from wigeondrift.systems.ranking import get_fraction

# Transfer time of a token between two runners, without the delay between domains.
HOP_SECONDS = 0.0003
# Cost per token of a hop between failure domains. It accounts for the transfer of the
# prompt's activations, which share one link with those of all other requests.
DOMAIN_CROSSING_SECONDS = 0.002
# Fraction of a runner's KV cache that may be reserved for requests of estimated size;
# the rest is for answers that become longer than estimated.
CACHE_FRACTION = 0.92
# Cache load above which the cost of a route no longer increases.
SATURATION_LOAD = 0.95
# Maximum number of routes that share runners with other routes, per failure domain.
OVERLAPPING_ROUTES = 3
# Cost factor of a stage on a runner that another route already uses.
OVERLAP_FACTOR = 4.0

# Cost of a first stage in another failure domain than the caller's, because every event
# then crosses domains on its way to the caller.
REMOTE_FIRST_STAGE_SECONDS = 0.005
# Weight of a stream's duration relative to its time to first event. The duration
# counts because a stream occupies KV cache until it ends.
STREAM_DURATION_WEIGHT = 0.03
# Fraction of the maximum gap between events that a route's decode steps may use; the
# rest is for prompt chunks that are processed between them.
EVENT_GAP_FRACTION = 0.7
# Penalty of a route whose events would exceed the maximum gap.
LATE_EVENTS_PENALTY_SECONDS = 2.0

# Routes sampled when many routers choose concurrently. Two are enough to avoid the
# fullest routes, and few enough that routers with the same outdated state do not all
# select the same route.
SAMPLED_ROUTES = 2
# Routes that one router prefers, where many routers choose concurrently. A router that
# uses few routes finds open connections to their first runners, and different routers
# prefer different routes.
PREFERRED_ROUTES = 6
# Cache load at which the rates of routes are compared.
REFERENCE_LOAD = 0.5
# Mean fraction of its answer that a running request has in the KV cache.
MEAN_ANSWER_FRACTION = 0.5
# Rate used for a route that can serve nothing, in requests per second.
MIN_RATE = 1e-9

StageCost = Callable[[Upstream, int], float]


class RouteDemand:
    """Requirements of a request on a route.

    Attributes
    ----------
    tokens : float
        Tokens of the prompt and the expected answer.
    prompt : float
        Prompt tokens to process before the first event.
    event_gap : float
        Maximum gap between events, in seconds; zero for no maximum.
    is_risky : bool
        Whether the request may crash the first runner of its route.
    margin : float
        Fraction of the KV cache and of the slots that the request must leave free.
    """

    __slots__ = ("event_gap", "is_risky", "margin", "prompt", "tokens")

    def __init__(
        self,
        tokens: float,
        prompt: float,
        event_gap: float = 0.0,
        is_risky: bool = False,
    ) -> None:
        self.tokens = tokens
        self.prompt = prompt
        self.event_gap = event_gap
        self.is_risky = is_risky
        self.margin = 0.0


class Chain:
    """A route and its runners, reused until the runners' layer ranges change."""

    __slots__ = ("domain_crossings", "rate", "route", "runners")

    def __init__(self, route: Route, runners: tuple[Upstream, ...]) -> None:
        # Requests per second that it can serve; computed on first use, as the cache
        # sizes of its runners must be known.
        self.rate: float | None = None
        self.route = route
        self.runners = runners
        self.domain_crossings = sum(
            1
            for previous, following in zip(runners, runners[1:], strict=False)
            if previous.failure_domain != following.failure_domain
        )


class RouteOffer:
    """A route with sufficient KV cache for a request.

    Attributes
    ----------
    chain : Chain
    cost : float
        Cost by which routes are compared, in seconds.
    first_seconds : float
        Expected time to the first event.
    """

    __slots__ = ("chain", "cost", "first_seconds")

    def __init__(self, chain: Chain, cost: float, first_seconds: float) -> None:
        self.chain = chain
        self.cost = cost
        self.first_seconds = first_seconds


class PartEstimate:
    """Cost of running some layers of a request on one runner.

    Attributes
    ----------
    cost : float
        Cost by which runners are compared, in seconds.
    read_seconds : float
        Expected time until the request's tokens have been read through the layers.
    """

    __slots__ = ("cost", "read_seconds")

    def __init__(self, cost: float, read_seconds: float) -> None:
        self.cost = cost
        self.read_seconds = read_seconds


class _Path:
    __slots__ = ("cost", "first_layer", "previous", "runner")

    def __init__(
        self,
        cost: float,
        first_layer: int,
        runner: Upstream | None,
        previous: "_Path | None",
    ) -> None:
        self.cost = cost
        self.first_layer = first_layer
        self.runner = runner
        self.previous = previous


def find_chain(
    runners: Iterable[Upstream], layers: int, stage_cost: StageCost
) -> Chain | None:
    """Return the cheapest chain that covers each layer exactly once, if there is one.

    Parameters
    ----------
    runners : iterable of Upstream
        Runners that hold the same version of the weights.
    layers : int
        Number of layers of the model.
    stage_cost : callable
        Takes a runner and a number of layers, and returns the cost in seconds.
    """
    candidates = sorted(
        (r for r in runners if r.held_layers > 0), key=lambda r: r.first_layer
    )
    boundaries = sorted(
        {r.first_layer for r in candidates} | {r.end_layer for r in candidates}
    )
    paths_by_boundary: dict[int, dict[str, _Path]] = {
        0: {"": _Path(0.0, 0, None, None)}
    }
    for boundary in boundaries:
        paths_by_domain = paths_by_boundary.get(boundary)
        if paths_by_domain is None or boundary >= layers:
            continue
        for runner in candidates:
            if runner.first_layer > boundary:
                break
            if runner.end_layer > boundary:
                _extend_paths(
                    paths_by_boundary,
                    paths_by_domain,
                    boundary,
                    runner,
                    [end for end in boundaries if boundary < end <= runner.end_layer],
                    stage_cost,
                )
    ends = paths_by_boundary.get(layers)
    if not ends:
        return None
    return _make_chain(min(ends.values(), key=lambda path: path.cost), layers)


def _extend_paths(
    paths_by_boundary: dict[int, dict[str, _Path]],
    paths_by_domain: dict[str, _Path],
    boundary: int,
    runner: Upstream,
    ends: list[int],
    stage_cost: StageCost,
) -> None:
    domain = runner.failure_domain
    best = None
    best_cost = 0.0
    for source, path in paths_by_domain.items():
        if _contains_runner(path, runner):
            continue
        cost = path.cost
        if source:
            cost += HOP_SECONDS
        if source and source != domain:
            cost += DOMAIN_CROSSING_SECONDS
        if best is None or cost < best_cost:
            best, best_cost = path, cost
    if best is None:
        return
    for end in ends:
        cost = best_cost + stage_cost(runner, end - boundary)
        paths_at_end = paths_by_boundary.setdefault(end, {})
        previous_path = paths_at_end.get(domain)
        if previous_path is None or cost < previous_path.cost:
            paths_at_end[domain] = _Path(cost, boundary, runner, best)


def _contains_runner(path: _Path, runner: Upstream) -> bool:
    """Return whether a path contains a runner, as no runner may occur twice."""
    step: _Path | None = path
    while step is not None and step.runner is not None:
        if step.runner.upstream_id == runner.upstream_id:
            return True
        step = step.previous
    return False


def _make_chain(path: _Path, layers: int) -> Chain:
    stages: list[Stage] = []
    runners: list[Upstream] = []
    end = layers
    step = path
    while step.runner is not None:
        runner = step.runner
        stages.append(Stage(runner.upstream_id, runner.address, step.first_layer, end))
        runners.append(runner)
        end = step.first_layer
        step = step.previous
    route = Route("", tuple(reversed(stages)))
    return Chain(route, tuple(reversed(runners)))


class ChainSet:
    """Routes of one model over the runners that are currently usable.

    The routes do not depend on the paces of their runners, but their expected times do.

    Parameters
    ----------
    engine : EngineSpec
    runners : iterable of Upstream
        Runners that accept requests and are not avoided.
    paces : PaceTable, optional
        Measured paces of runners, which may change.
    """

    __slots__ = (
        "_engine",
        "_known_pace_changes",
        "_paces",
        "_preferred",
        "_routes_by_id",
        "chains",
    )

    def __init__(
        self,
        engine: EngineSpec,
        runners: Iterable[Upstream],
        paces: PaceTable | None = None,
    ) -> None:
        self._engine = engine
        self._paces = paces or PaceTable()
        # Changes of paces that the rates and the preferred routes account for.
        self._known_pace_changes = self._paces.change_count
        self._preferred: list[Chain] | None = None
        self.chains: list[Chain] = []
        runners_by_version: dict[int, list[Upstream]] = {}
        for runner in runners:
            if runner.held_layers > 0:
                group = runners_by_version.setdefault(runner.weights_version, [])
                group.append(runner)
        for version in sorted(runners_by_version, reverse=True):
            self._add_version(runners_by_version[version])
        self._routes_by_id = Counter(
            runner.upstream_id for chain in self.chains for runner in chain.runners
        )

    def _add_version(self, runners: list[Upstream]) -> None:
        members_by_domain: dict[str, list[Upstream]] = {}
        for runner in runners:
            members_by_domain.setdefault(runner.failure_domain, []).append(runner)
        used: set[str] = set()
        for members in members_by_domain.values():
            self._add_disjoint(members, used)
            self._add_overlapping(members, used)
        self._add_disjoint(runners, used)
        if not self.chains:
            self._add_overlapping(runners, used)

    def _add_disjoint(self, runners: list[Upstream], used: set[str]) -> None:
        remaining = [r for r in runners if r.upstream_id not in used]
        while True:
            chain = find_chain(remaining, self._engine.layers, self._get_idle_cost)
            if chain is None:
                return
            self.chains.append(chain)
            used.update(chain.route.instance_ids)
            remaining = [r for r in remaining if r.upstream_id not in used]

    def _add_overlapping(self, runners: list[Upstream], used: set[str]) -> None:
        for _ in range(OVERLAPPING_ROUTES):
            if all(r.upstream_id in used for r in runners):
                return

            def cost(runner: Upstream, layers: int) -> float:
                seconds = self._get_idle_cost(runner, layers)
                if runner.upstream_id in used:
                    seconds *= OVERLAP_FACTOR
                return seconds

            chain = find_chain(runners, self._engine.layers, cost)
            if chain is None or used.issuperset(chain.route.instance_ids):
                return
            self.chains.append(chain)
            used.update(chain.route.instance_ids)

    def _get_idle_cost(self, runner: Upstream, layers: int) -> float:
        return self._get_normal_step_seconds(runner, layers, 0.0, 0.0)

    def _get_step_seconds(
        self, runner: Upstream, layers: int, requests: float, tokens: float
    ) -> float:
        """Return the time of a decode step over some layers, in seconds."""
        seconds = self._get_normal_step_seconds(runner, layers, requests, tokens)
        return self._paces.get_pace(runner) * seconds

    def _get_normal_step_seconds(
        self, runner: Upstream, layers: int, requests: float, tokens: float
    ) -> float:
        """Return the time of a decode step at the normal pace, in seconds."""
        engine = self._engine
        accelerator = engine.accelerators_by_kind.get(runner.kind)
        factor = 1.0 if accelerator is None else accelerator.step_factor
        seconds = (
            engine.step_seconds
            + engine.step_seconds_per_request * requests
            + engine.step_seconds_per_token * tokens
        )
        return factor * seconds * layers / engine.layers

    def _get_prefill_step_seconds(
        self, runner: Upstream, layers: int, used: Usage
    ) -> float:
        """Return the time of a step that also prefills a prompt chunk, in seconds."""
        engine = self._engine
        accelerator = engine.accelerators_by_kind.get(runner.kind)
        factor = 1.0 if accelerator is None else accelerator.prefill_factor
        prompt_seconds = factor * engine.chunk_tokens / engine.prefill_tokens_per_second
        layer_fraction = layers / engine.layers
        tokens = used.cells / max(1, layers)
        step = self._get_step_seconds(runner, layers, used.requests, tokens)
        # While requests are decoding, each iteration runs all steps of an event.
        steps = engine.steps_per_event if used.requests > 0 else 1
        prompt_seconds *= self._paces.get_pace(runner)
        return steps * step + prompt_seconds * layer_fraction

    def estimate_event_gap(self, chain: Chain, ledger: CacheLedger) -> float:
        """Return the expected time between two events of a running stream.

        Runners with queued prompts also prefill a chunk between two events.
        """
        seconds = chain.domain_crossings * DOMAIN_CROSSING_SECONDS
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            used = ledger.get_usage(runner.upstream_id)
            seconds += HOP_SECONDS
            if used.pending_prefill_tokens > 0:
                seconds += self._get_prefill_step_seconds(runner, layers, used)
            else:
                tokens = used.cells / max(1, layers)
                seconds += self._engine.steps_per_event * self._get_step_seconds(
                    runner, layers, used.requests, tokens
                )
        return seconds

    def _apply_pace_changes(self) -> None:
        """Forget what was computed with paces that have changed since."""
        if self._known_pace_changes != self._paces.change_count:
            self._known_pace_changes = self._paces.change_count
            self._preferred = None
            for chain in self.chains:
                chain.rate = None

    def choose(
        self,
        demand: RouteDemand,
        ledger: CacheLedger,
        excluded: Iterable[str],
        failure_domain: str,
        rng: random.Random | None = None,
        router: str = "",
        closed: Container[str] = (),
    ) -> RouteOffer | None:
        """Return the cheapest route with capacity for a request, None if there is none.

        A risky request takes the route that serves fewest requests, so that others lose
        little if it crashes a runner.

        Routers that choose concurrently on the same outdated state would all select the
        same route. With ``rng``, a few of the routes that this router prefers are
        therefore sampled, and the cheapest of these is used. If none of them has
        capacity, or if the lowest cost is not below ``LATE_EVENTS_PENALTY_SECONDS`` and
        events are thus expected late, all routes are compared.

        Parameters
        ----------
        demand : RouteDemand
        ledger : CacheLedger
            Usage and size of the runners' KV caches.
        excluded : iterable of str
            Ids of runners that the route must not contain.
        failure_domain : str
            Failure domain of the caller.
        rng : random.Random, optional
            Given if many routers choose concurrently.
        router : str
            Name of this router, by which its preferred routes differ from others'.
        closed : container of str
            Ids of runners that the route must not begin with.
        """
        excluded_ids = set(excluded)
        if demand.is_risky:
            return self._choose_among(
                self.chains,
                demand,
                ledger,
                excluded_ids,
                failure_domain,
                closed,
                lambda offer: (self.get_rate(offer.chain, ledger), offer.cost),
            )
        if rng is not None and len(self.chains) > SAMPLED_ROUTES:
            preferred = self._list_preferred(ledger, router)
            candidates = [rng.choice(preferred) for _ in range(SAMPLED_ROUTES)]
            offer = self._choose_among(
                candidates, demand, ledger, excluded_ids, failure_domain, closed
            )
            if offer is not None and offer.cost < LATE_EVENTS_PENALTY_SECONDS:
                return offer
        return self._choose_among(
            self.chains, demand, ledger, excluded_ids, failure_domain, closed
        )

    def make_offer(
        self, chain: Chain, demand: RouteDemand, ledger: CacheLedger
    ) -> RouteOffer | None:
        """Return the offer of a given route, None if it has no capacity."""
        return self._evaluate(chain, demand, ledger)

    def estimate_part(
        self, runner: Upstream, layers: int, demand: RouteDemand, ledger: CacheLedger
    ) -> PartEstimate | None:
        """Return the cost of a part of a route, None without KV cache for it."""
        engine = self._engine
        total = ledger.get_capacity(runner)
        used = ledger.get_usage(runner.upstream_id)
        if used.cells + demand.tokens * layers > total * CACHE_FRACTION or not total:
            return None
        chunks = max(1.0, demand.prompt / engine.chunk_tokens)
        chunks += used.pending_prefill_tokens / engine.chunk_tokens
        read_seconds = HOP_SECONDS + chunks * self._get_prefill_step_seconds(
            runner, layers, used
        )
        tokens = used.cells / max(1, layers)
        step_seconds = HOP_SECONDS + self._get_step_seconds(
            runner, layers, used.requests + 1, tokens
        )
        cost = (
            read_seconds
            + STREAM_DURATION_WEIGHT * step_seconds * engine.mean_answer_tokens
        )
        cost /= 1.0 - min(SATURATION_LOAD, used.cells / total)
        return PartEstimate(cost, read_seconds)

    def _list_preferred(self, ledger: CacheLedger, router: str) -> list[Chain]:
        """Return the routes that a router prefers.

        Weighted rendezvous hashing: over all routers each route is preferred about in
        proportion to its rate, and a change of one route leaves the others preferred.
        """
        self._apply_pace_changes()
        if self._preferred is None:
            scored = []
            for chain in self.chains:
                rate = self.get_rate(chain, ledger)
                fraction = get_fraction(router, chain.runners[0].upstream_id)
                scored.append((-math.log(fraction) / max(rate, MIN_RATE), chain))
            scored.sort(key=lambda pair: pair[0])
            self._preferred = [chain for _, chain in scored[:PREFERRED_ROUTES]]
        return self._preferred

    def get_rate(self, chain: Chain, ledger: CacheLedger) -> float:
        """Return the requests per second that a route serves at the reference load."""
        self._apply_pace_changes()
        if chain.rate is not None:
            return chain.rate
        engine = self._engine
        mean_request_tokens = (
            engine.mean_prompt_tokens + MEAN_ANSWER_FRACTION * engine.mean_answer_tokens
        )
        mean_request_tokens = max(1.0, mean_request_tokens)
        requests = prefill_rate = math.inf
        step_seconds = 0.0
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            # Routes that share a runner divide its capacity.
            route_count = self._routes_by_id[runner.upstream_id]
            cells = REFERENCE_LOAD * ledger.get_capacity(runner)
            decoding = cells / layers / mean_request_tokens
            requests = min(requests, decoding / route_count)
            step_seconds += HOP_SECONDS + self._get_step_seconds(
                runner, layers, decoding, cells / layers
            )
            used = Usage(cells, max(1, int(decoding)))
            seconds = self._get_prefill_step_seconds(runner, layers, used)
            prefill_rate = min(
                prefill_rate, engine.chunk_tokens / seconds / route_count
            )
        decode_rate = requests / (step_seconds * max(1.0, engine.mean_answer_tokens))
        chain.rate = min(
            decode_rate, prefill_rate / max(1.0, engine.mean_prompt_tokens)
        )
        return chain.rate

    def _choose_among(
        self,
        chains: Iterable[Chain],
        demand: RouteDemand,
        ledger: CacheLedger,
        excluded_ids: set[str],
        failure_domain: str,
        closed: Container[str],
        rank: Callable[[RouteOffer], object] = operator.attrgetter("cost"),
    ) -> RouteOffer | None:
        """Return the route with capacity that ranks lowest, None if there is none."""
        best = None
        for chain in chains:
            if chain.runners[0].upstream_id in closed:
                continue
            if not excluded_ids.isdisjoint(chain.route.instance_ids):
                continue
            offer = self._evaluate(chain, demand, ledger)
            if offer is None:
                continue
            if chain.runners[0].failure_domain != failure_domain:
                offer.cost += REMOTE_FIRST_STAGE_SECONDS
            if best is None or rank(offer) < rank(best):
                best = offer
        return best

    def _evaluate(
        self, chain: Chain, demand: RouteDemand, ledger: CacheLedger
    ) -> RouteOffer | None:
        """Return a route with its cost, None if a runner has insufficient capacity."""
        engine = self._engine
        step_seconds = 0.0
        prefill_seconds = 0.0
        queue_seconds = 0.0
        cache_load = 0.0
        prompt_chunks = max(1.0, demand.prompt / engine.chunk_tokens)
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            total = ledger.get_capacity(runner)
            used = ledger.get_usage(runner.upstream_id)
            usable = total * (CACHE_FRACTION - demand.margin)
            if used.cells + demand.tokens * layers > usable:
                return None
            cache_load = max(cache_load, used.cells / total)
            tokens = used.cells / max(1, layers)
            step_seconds += HOP_SECONDS + self._get_step_seconds(
                runner, layers, used.requests + 1, tokens
            )
            chunk_seconds = self._get_prefill_step_seconds(runner, layers, used)
            prefill_seconds += HOP_SECONDS + prompt_chunks * chunk_seconds
            queued_chunks = used.pending_prefill_tokens / engine.chunk_tokens
            queue_seconds = max(queue_seconds, queued_chunks * chunk_seconds)
        first_runner = chain.runners[0]
        usable_slots = first_runner.slots - math.ceil(
            first_runner.slots * demand.margin
        )
        if (
            ledger.get_usage(first_runner.upstream_id).first_stage_requests
            >= usable_slots
        ):
            return None
        step_seconds += chain.domain_crossings * DOMAIN_CROSSING_SECONDS
        first_seconds = prefill_seconds + queue_seconds
        cost = (
            first_seconds
            + STREAM_DURATION_WEIGHT * step_seconds * engine.mean_answer_tokens
        )
        cost /= 1.0 - min(SATURATION_LOAD, cache_load)
        event_seconds = step_seconds * engine.steps_per_event
        if demand.event_gap and event_seconds > EVENT_GAP_FRACTION * demand.event_gap:
            cost += LATE_EVENTS_PENALTY_SECONDS
        return RouteOffer(chain, cost, first_seconds)
