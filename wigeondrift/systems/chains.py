"""Choice of a route over runners that each hold a range of layers.

Answers the load of many concurrent requests over runners of mixed speed: routes that
share no runner are found when the holdings change. Each request takes the one on which
its first event is expected soonest, by the prompts that wait to be read there, among
those with KV cache for it at every stage.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from wigeondrift.entities import Route, Stage
from wigeondrift.router.entities import EngineSpec, Upstream
from wigeondrift.systems.room import RoomLedger, Usage

# Time of a token on its way from one runner to another, besides the domains' delay.
HOP_SECONDS = 0.0003
# What the prompt's way between two failure domains costs each token: its activations
# share one pipe with those of all other requests.
DOMAIN_CROSSING_SECONDS = 0.002
# Share of a runner's cache that requests may be planned for; the rest is for answers
# that grow longer than estimated.
CACHE_FRACTION = 0.92
# Load beyond which the cost of a stage no longer grows.
SATURATION_LOAD = 0.95
# Routes through runners that another route uses, for each failure domain.
OVERLAPPING_ROUTES = 3
OVERLAP_FACTOR = 4.0

# A first runner in another failure domain: events take that way to the caller.
REMOTE_HEAD_SECONDS = 0.005
# Part of a stream's length that counts beside its first event: it holds room.
STREAM_DURATION_WEIGHT = 0.03
# Part of the longest pause that a route's steps may take; the rest is for prompts that
# are read between them.
EVENT_GAP_FRACTION = 0.7
# Cost of a route whose events would come too slowly.
LATE_EVENTS_PENALTY_SECONDS = 2.0

# Routes drawn when many routers choose at once: two are enough to leave the fullest
# ones aside, and few enough that old news leads nobody astray together.
SAMPLED_ROUTES = 2
# Load at which routes are compared by what they can serve.
REFERENCE_LOAD = 0.5
# Part of an answer that a request holds on average while it runs.
MEAN_ANSWER_FRACTION = 0.5

StageCost = Callable[[Upstream, int], float]


class RouteDemand:
    """What a request needs of a route.

    Attributes
    ----------
    tokens : float
        Prompt and expected answer.
    prompt : float
        Tokens to read before the first event.
    event_gap : float
        Longest pause between events that is on time, in seconds; zero for any.
    """

    __slots__ = ("event_gap", "prompt", "tokens")

    def __init__(self, tokens: float, prompt: float, event_gap: float = 0.0) -> None:
        self.tokens = tokens
        self.prompt = prompt
        self.event_gap = event_gap


class Chain:
    """One route and its runners, kept until the holdings change."""

    __slots__ = ("domain_crossings", "rate", "route", "runners")

    def __init__(self, route: Route, runners: tuple[Upstream, ...]) -> None:
        # Requests a second that it can serve; known once its cache is.
        self.rate: float | None = None
        self.route = route
        self.runners = runners
        self.domain_crossings = sum(
            1
            for previous, following in zip(runners, runners[1:], strict=False)
            if previous.failure_domain != following.failure_domain
        )


class RouteOffer:
    """A route that has room for a request.

    Attributes
    ----------
    chain : Chain
    cost : float
        By which routes are compared, in seconds.
    first_seconds : float
        Expected time to the first event.
    """

    __slots__ = ("chain", "cost", "first_seconds")

    def __init__(self, chain: Chain, cost: float, first_seconds: float) -> None:
        self.chain = chain
        self.cost = cost
        self.first_seconds = first_seconds


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
    """Return the cheapest exact cover of all layers, None if there is none.

    Parameters
    ----------
    runners : iterable of Upstream
        Of one weights version.
    layers : int
    stage_cost : callable
        Cost of a number of layers on a runner, in seconds.
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
                    [cut for cut in boundaries if boundary < cut <= runner.end_layer],
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
    """Whether a path already runs through a runner, which may not come twice."""
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
    """Routes of one model over the runners that may be used now.

    Parameters
    ----------
    engine : EngineSpec
    runners : iterable of Upstream
        Those that take work and are not avoided.
    """

    __slots__ = ("_engine", "_routes_by_id", "chains")

    def __init__(self, engine: EngineSpec, runners: Iterable[Upstream]) -> None:
        self._engine = engine
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
        return self._get_step_seconds(runner, layers, 0.0, 0.0)

    def _get_step_seconds(
        self, runner: Upstream, layers: int, requests: float, tokens: float
    ) -> float:
        """Return the time of one token step in some layers of a runner."""
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
        """Return the time of one step that also reads a chunk of prompts."""
        engine = self._engine
        accelerator = engine.accelerators_by_kind.get(runner.kind)
        factor = 1.0 if accelerator is None else accelerator.read_factor
        prompt_seconds = factor * engine.chunk_tokens / engine.read_tokens_per_second
        layer_fraction = layers / engine.layers
        tokens = used.cells / max(1, layers)
        step = self._get_step_seconds(runner, layers, used.requests, tokens)
        # With requests that write, each turn runs the steps of a whole event.
        steps = engine.steps_per_event if used.requests > 0 else 1
        return steps * step + prompt_seconds * layer_fraction

    def choose(
        self,
        demand: RouteDemand,
        ledger: RoomLedger,
        excluded: Iterable[str],
        failure_domain: str,
        rng: random.Random | None = None,
    ) -> RouteOffer | None:
        """Return the best route with room for a request, None if none has.

        Routers that choose at once on what they knew a while ago would all take the
        same route. With ``rng``, a few are drawn in proportion to what they can serve,
        and the best of these is taken if its first event is expected soon.

        Parameters
        ----------
        demand : RouteDemand
        ledger : RoomLedger
            What is in use and how much there is.
        excluded : iterable of str
            Runners that must not be in it.
        failure_domain : str
            The caller's side, from which the first runner is reached.
        rng : random.Random, optional
            Given if many choose at once.
        """
        excluded_ids = set(excluded)
        if rng is not None and len(self.chains) > SAMPLED_ROUTES:
            weights = [self.get_rate(chain, ledger) for chain in self.chains]
            if any(weights):
                candidates = rng.choices(self.chains, weights, k=SAMPLED_ROUTES)
                offer = self._choose_among(
                    candidates, demand, ledger, excluded_ids, failure_domain
                )
                if offer is not None and offer.cost < LATE_EVENTS_PENALTY_SECONDS:
                    return offer
        return self._choose_among(
            self.chains, demand, ledger, excluded_ids, failure_domain
        )

    def get_rate(self, chain: Chain, ledger: RoomLedger) -> float:
        """Return the requests a second that a route serves with its cache half full."""
        if chain.rate is not None:
            return chain.rate
        engine = self._engine
        usual_tokens = engine.usual_prompt + MEAN_ANSWER_FRACTION * engine.usual_answer
        usual_tokens = max(1.0, usual_tokens)
        requests = prefill_rate = math.inf
        step_seconds = 0.0
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            # Routes that share a runner share what it can serve.
            route_count = self._routes_by_id[runner.upstream_id]
            cells = REFERENCE_LOAD * ledger.get_total(runner)
            decoding = cells / layers / usual_tokens
            requests = min(requests, decoding / route_count)
            step_seconds += HOP_SECONDS + self._get_step_seconds(
                runner, layers, decoding, cells / layers
            )
            used = Usage(cells, max(1, int(decoding)))
            seconds = self._get_prefill_step_seconds(runner, layers, used)
            prefill_rate = min(
                prefill_rate, engine.chunk_tokens / seconds / route_count
            )
        decode_rate = requests / (step_seconds * max(1.0, engine.usual_answer))
        chain.rate = min(decode_rate, prefill_rate / max(1.0, engine.usual_prompt))
        return chain.rate

    def _choose_among(
        self,
        chains: Iterable[Chain],
        demand: RouteDemand,
        ledger: RoomLedger,
        excluded_ids: set[str],
        failure_domain: str,
    ) -> RouteOffer | None:
        best = None
        for chain in chains:
            if not excluded_ids.isdisjoint(chain.route.instance_ids):
                continue
            offer = self._evaluate(chain, demand, ledger)
            if offer is None:
                continue
            if chain.runners[0].failure_domain != failure_domain:
                offer.cost += REMOTE_HEAD_SECONDS
            if best is None or offer.cost < best.cost:
                best = offer
        return best

    def _evaluate(
        self, chain: Chain, demand: RouteDemand, ledger: RoomLedger
    ) -> RouteOffer | None:
        """Return what a route offers, None if a runner has no room."""
        engine = self._engine
        step_seconds = 0.0
        prefill_seconds = 0.0
        queue_seconds = 0.0
        cache_load = 0.0
        prompt_chunks = max(1.0, demand.prompt / engine.chunk_tokens)
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            total = ledger.get_total(runner)
            used = ledger.get_used(runner.upstream_id)
            if used.cells + demand.tokens * layers > total * CACHE_FRACTION:
                return None
            cache_load = max(cache_load, used.cells / total)
            tokens = used.cells / max(1, layers)
            step_seconds += HOP_SECONDS + self._get_step_seconds(
                runner, layers, used.requests + 1, tokens
            )
            chunk_seconds = self._get_prefill_step_seconds(runner, layers, used)
            prefill_seconds += HOP_SECONDS + prompt_chunks * chunk_seconds
            queued_chunks = used.reading / engine.chunk_tokens
            queue_seconds = max(queue_seconds, queued_chunks * chunk_seconds)
        head = chain.runners[0]
        if ledger.get_used(head.upstream_id).heads >= head.slots:
            return None
        step_seconds += chain.domain_crossings * DOMAIN_CROSSING_SECONDS
        first_seconds = prefill_seconds + queue_seconds
        cost = (
            first_seconds + STREAM_DURATION_WEIGHT * step_seconds * engine.usual_answer
        )
        cost /= 1.0 - min(SATURATION_LOAD, cache_load)
        event_seconds = step_seconds * engine.steps_per_event
        if demand.event_gap and event_seconds > EVENT_GAP_FRACTION * demand.event_gap:
            cost += LATE_EVENTS_PENALTY_SECONDS
        return RouteOffer(chain, cost, first_seconds)
