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
CROSSING_SECONDS = 0.002
# Share of a runner's cache that requests may be planned for; the rest is for answers
# that grow longer than estimated.
ROOM_SHARE = 0.92
# Load beyond which the cost of a stage no longer grows.
MOST_LOAD = 0.95
# Routes through runners that another route uses, for each failure domain.
OVERLAPPING_ROUTES = 3
OVERLAP_FACTOR = 4.0

# A first runner in another failure domain: events take that way to the caller.
FAR_HEAD_SECONDS = 0.005
# Part of a stream's length that counts beside its first event: it holds room.
STREAM_WEIGHT = 0.03
# Part of the longest pause that a route's steps may take; the rest is for prompts that
# are read between them.
GAP_SHARE = 0.7
# Cost of a route whose events would come too slowly.
LATE_SECONDS = 2.0

# Routes drawn when many routers choose at once: two are enough to leave the fullest
# ones aside, and few enough that old news leads nobody astray together.
DRAWN_ROUTES = 2
# Load at which routes are compared by what they can serve.
HALF_FULL = 0.5
# Part of an answer that a request holds on average while it runs.
MEAN_WRITTEN = 0.5

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

    __slots__ = ("crossings", "rate", "route", "runners")

    def __init__(self, route: Route, runners: tuple[Upstream, ...]) -> None:
        # Requests a second that it can serve; known once its cache is.
        self.rate: float | None = None
        self.route = route
        self.runners = runners
        self.crossings = sum(
            1
            for former, latter in zip(runners, runners[1:], strict=False)
            if former.failure_domain != latter.failure_domain
        )


class Offer:
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
    holders = sorted(
        (r for r in runners if r.held_layers > 0), key=lambda r: r.first_layer
    )
    cuts = sorted({r.first_layer for r in holders} | {r.end_layer for r in holders})
    paths_by_boundary: dict[int, dict[str, _Path]] = {
        0: {"": _Path(0.0, 0, None, None)}
    }
    for boundary in cuts:
        paths_by_domain = paths_by_boundary.get(boundary)
        if paths_by_domain is None or boundary >= layers:
            continue
        for runner in holders:
            if runner.first_layer > boundary:
                break
            if runner.end_layer > boundary:
                _extend(
                    paths_by_boundary,
                    paths_by_domain,
                    boundary,
                    runner,
                    [cut for cut in cuts if boundary < cut <= runner.end_layer],
                    stage_cost,
                )
    ends = paths_by_boundary.get(layers)
    if not ends:
        return None
    return _make_chain(min(ends.values(), key=lambda path: path.cost), layers)


def _extend(
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
        if _passes(path, runner):
            continue
        cost = path.cost
        if source:
            cost += HOP_SECONDS
        if source and source != domain:
            cost += CROSSING_SECONDS
        if best is None or cost < best_cost:
            best, best_cost = path, cost
    if best is None:
        return
    for end in ends:
        cost = best_cost + stage_cost(runner, end - boundary)
        known = paths_by_boundary.setdefault(end, {})
        former = known.get(domain)
        if former is None or cost < former.cost:
            known[domain] = _Path(cost, boundary, runner, best)


def _passes(path: _Path, runner: Upstream) -> bool:
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


class ChainBook:
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
        left = [r for r in runners if r.upstream_id not in used]
        while True:
            chain = find_chain(left, self._engine.layers, self._idle_cost)
            if chain is None:
                return
            self.chains.append(chain)
            used.update(chain.route.instance_ids)
            left = [r for r in left if r.upstream_id not in used]

    def _add_overlapping(self, runners: list[Upstream], used: set[str]) -> None:
        for _ in range(OVERLAPPING_ROUTES):
            if all(r.upstream_id in used for r in runners):
                return

            def cost(runner: Upstream, layers: int) -> float:
                seconds = self._idle_cost(runner, layers)
                if runner.upstream_id in used:
                    seconds *= OVERLAP_FACTOR
                return seconds

            chain = find_chain(runners, self._engine.layers, cost)
            if chain is None or used.issuperset(chain.route.instance_ids):
                return
            self.chains.append(chain)
            used.update(chain.route.instance_ids)

    def _idle_cost(self, runner: Upstream, layers: int) -> float:
        return self._stage_seconds(runner, layers, 0.0, 0.0)

    def _stage_seconds(
        self, runner: Upstream, layers: int, requests: float, tokens: float
    ) -> float:
        """Return the time of one token step in some layers of a runner."""
        engine = self._engine
        kind = engine.accelerators_by_kind.get(runner.kind)
        factor = 1.0 if kind is None else kind.step_factor
        seconds = (
            engine.step_seconds
            + engine.step_seconds_per_request * requests
            + engine.step_seconds_per_token * tokens
        )
        return factor * seconds * layers / engine.layers

    def _chunk_seconds(self, runner: Upstream, layers: int, used: Usage) -> float:
        """Return the time of one step that also reads a chunk of prompts."""
        engine = self._engine
        kind = engine.accelerators_by_kind.get(runner.kind)
        factor = 1.0 if kind is None else kind.prefill_factor
        reading = factor * engine.chunk_tokens / engine.prefill_tokens_per_second
        share = layers / engine.layers
        tokens = used.cells / max(1, layers)
        step = self._stage_seconds(runner, layers, used.requests, tokens)
        # With requests that write, each turn runs the steps of a whole event.
        steps = engine.steps_per_event if used.requests > 0 else 1
        return steps * step + reading * share

    def choose(
        self,
        demand: RouteDemand,
        ledger: RoomLedger,
        excluded: Iterable[str],
        failure_domain: str,
        rng: random.Random | None = None,
    ) -> Offer | None:
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
        barred = set(excluded)
        if rng is not None and len(self.chains) > DRAWN_ROUTES:
            weights = [self.get_rate(chain, ledger) for chain in self.chains]
            if any(weights):
                drawn = rng.choices(self.chains, weights, k=DRAWN_ROUTES)
                offer = self._choose_among(
                    drawn, demand, ledger, barred, failure_domain
                )
                if offer is not None and offer.cost < LATE_SECONDS:
                    return offer
        return self._choose_among(self.chains, demand, ledger, barred, failure_domain)

    def get_rate(self, chain: Chain, ledger: RoomLedger) -> float:
        """Return the requests a second that a route serves with its cache half full."""
        if chain.rate is not None:
            return chain.rate
        engine = self._engine
        usual_tokens = (
            engine.mean_prompt_tokens + MEAN_WRITTEN * engine.mean_answer_tokens
        )
        usual_tokens = max(1.0, usual_tokens)
        requests = read_rate = math.inf
        step_seconds = 0.0
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            # Routes that share a runner share what it can serve.
            sharing = self._routes_by_id[runner.upstream_id]
            cells = HALF_FULL * ledger.get_total(runner)
            writing = cells / layers / usual_tokens
            requests = min(requests, writing / sharing)
            step_seconds += HOP_SECONDS + self._stage_seconds(
                runner, layers, writing, cells / layers
            )
            used = Usage(cells, max(1, int(writing)))
            seconds = self._chunk_seconds(runner, layers, used)
            read_rate = min(read_rate, engine.chunk_tokens / seconds / sharing)
        write_rate = requests / (step_seconds * max(1.0, engine.mean_answer_tokens))
        chain.rate = min(write_rate, read_rate / max(1.0, engine.mean_prompt_tokens))
        return chain.rate

    def _choose_among(
        self,
        chains: Iterable[Chain],
        demand: RouteDemand,
        ledger: RoomLedger,
        barred: set[str],
        failure_domain: str,
    ) -> Offer | None:
        best = None
        for chain in chains:
            if not barred.isdisjoint(chain.route.instance_ids):
                continue
            offer = self._weigh(chain, demand, ledger)
            if offer is None:
                continue
            if chain.runners[0].failure_domain != failure_domain:
                offer.cost += FAR_HEAD_SECONDS
            if best is None or offer.cost < best.cost:
                best = offer
        return best

    def _weigh(
        self, chain: Chain, demand: RouteDemand, ledger: RoomLedger
    ) -> Offer | None:
        """Return what a route offers, None if a runner has no room."""
        engine = self._engine
        step_seconds = 0.0
        own_seconds = 0.0
        queue_seconds = 0.0
        fullest = 0.0
        own_chunks = max(1.0, demand.prompt / engine.chunk_tokens)
        for stage, runner in zip(chain.route.stages, chain.runners, strict=True):
            layers = stage.end_layer - stage.first_layer
            total = ledger.get_total(runner)
            used = ledger.get_used(runner.upstream_id)
            if used.cells + demand.tokens * layers > total * ROOM_SHARE:
                return None
            fullest = max(fullest, used.cells / total)
            tokens = used.cells / max(1, layers)
            step_seconds += HOP_SECONDS + self._stage_seconds(
                runner, layers, used.requests + 1, tokens
            )
            chunk_seconds = self._chunk_seconds(runner, layers, used)
            own_seconds += HOP_SECONDS + own_chunks * chunk_seconds
            ahead = used.reading / engine.chunk_tokens
            queue_seconds = max(queue_seconds, ahead * chunk_seconds)
        head = chain.runners[0]
        if ledger.get_used(head.upstream_id).heads >= head.slots:
            return None
        step_seconds += chain.crossings * CROSSING_SECONDS
        first_seconds = own_seconds + queue_seconds
        cost = first_seconds + STREAM_WEIGHT * step_seconds * engine.mean_answer_tokens
        cost /= 1.0 - min(MOST_LOAD, fullest)
        event_seconds = step_seconds * engine.steps_per_event
        if demand.event_gap and event_seconds > GAP_SHARE * demand.event_gap:
            cost += LATE_SECONDS
        return Offer(chain, cost, first_seconds)
