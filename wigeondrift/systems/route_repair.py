"""Replacement of lost stages of a running stream's route.

Designed for the failure of several runners at once, under hundreds of streams. The
first stage and as many others as possible are kept, since each new part reads all
tokens of its stream again. Among routes that keep as many, the one with the fewest new
parts is used, and the cheapest of these.
"""

import heapq
import operator
from collections.abc import Callable, Collection, Iterable

from wigeondrift.entities import Route, Stage
from wigeondrift.router.entities import Upstream
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import Chain, ChainSet, PartEstimate, RouteDemand

# Maximum number of parts of a route, set by the platform.
MAX_PARTS = 32
# Time by which a new part in the failure domain of the first stage may be slower and is
# still preferred. Two more crossings of 2 ms for each token cost as much in 25 tokens.
REMOTE_PART_SECONDS = 0.1
# Partial routes kept for each layer boundary. The best one alone may already contain
# the only runner that can continue it.
MAX_PARTIAL_ROUTES = 4
# Concurrent repairs of streams that lost the same runner. An order takes a few
# milliseconds, and its new parts are busy reading for longer; the bound keeps room in
# the first runners for other requests, and the order in which streams are repaired.
MAX_REPAIRS_PER_RUNNER = 32


class RepairPlan:
    """Route that replaces another one under a running stream.

    Attributes
    ----------
    chain : Chain
    new_stages : tuple of Stage
        Stages of the route that the replaced one does not have.
    read_seconds : float
        Expected time until the new stages have read the stream's tokens.
    """

    __slots__ = ("chain", "new_stages", "read_seconds")

    def __init__(
        self, chain: Chain, new_stages: tuple[Stage, ...], read_seconds: float
    ) -> None:
        self.chain = chain
        self.new_stages = new_stages
        self.read_seconds = read_seconds


class _Partial:
    """Cover of the first layers of the model."""

    __slots__ = ("length", "previous", "rank", "runner", "stage")

    def __init__(
        self,
        stage: Stage,
        runner: Upstream,
        rank: tuple[int, int, float],
        previous: "_Partial | None",
    ) -> None:
        self.stage = stage
        self.runner = runner
        self.rank = rank
        self.previous = previous
        self.length = 1 if previous is None else previous.length + 1

    def contains(self, runner: Upstream) -> bool:
        step: _Partial | None = self
        while step is not None:
            if step.runner.upstream_id == runner.upstream_id:
                return True
            step = step.previous
        return False

    def list_steps(self) -> list["_Partial"]:
        steps = []
        step: _Partial | None = self
        while step is not None:
            steps.append(step)
            step = step.previous
        return steps[::-1]


def find_repair(
    chain_set: ChainSet,
    chain: Chain,
    lost: Collection[str],
    runners: Iterable[Upstream],
    demand: RouteDemand,
    ledger: CacheLedger,
) -> RepairPlan | None:
    """Find a route that keeps the first stage of another one and avoids lost runners.

    Parameters
    ----------
    chain_set : ChainSet
        Estimates the cost of parts.
    chain : Chain
        Route to replace.
    lost : collection of str
        Ids of runners that the new route must not contain.
    runners : iterable of Upstream
        Runners that may take new parts.
    demand : RouteDemand
        Its prompt is all that new parts have to read.
    ledger : CacheLedger

    Returns
    -------
    RepairPlan or None
        None if the first runner is lost, or if no other cover has room.
    """
    first = chain.runners[0]
    if first.upstream_id in lost:
        return None
    usable = [
        runner
        for runner in runners
        if runner.weights_version == first.weights_version
        and runner.held_layers > 0
        and runner.upstream_id not in lost
    ]
    on_route = set(chain.route.instance_ids)
    spare = [runner for runner in usable if runner.upstream_id not in on_route]
    search = _RepairSearch(chain_set, chain, lost, demand, ledger)
    # The second search may replace live stages too, and is slower.
    best = search.run(spare, keeps_all=True) or search.run(usable, keeps_all=False)
    if best is None:
        return None
    old_stages = set(chain.route.stages)
    steps = best.list_steps()
    stages = tuple(step.stage for step in steps)
    new_stages = tuple(stage for stage in stages if stage not in old_stages)
    read_seconds = sum(
        search.estimate(step.runner, step.stage).read_seconds
        for step in steps
        if step.stage not in old_stages
    )
    new_chain = Chain(
        Route(chain.route.version, stages), tuple(s.runner for s in steps)
    )
    return RepairPlan(new_chain, new_stages, read_seconds)


class _RepairSearch:
    """Search over layer boundaries, from the end of the first stage."""

    __slots__ = (
        "_chain",
        "_chain_set",
        "_demand",
        "_estimates_by_part",
        "_kept_by_layer",
        "_ledger",
    )

    def __init__(
        self,
        chain_set: ChainSet,
        chain: Chain,
        lost: Collection[str],
        demand: RouteDemand,
        ledger: CacheLedger,
    ) -> None:
        self._chain_set = chain_set
        self._chain = chain
        self._demand = demand
        self._ledger = ledger
        self._estimates_by_part: dict[tuple[str, int], PartEstimate | None] = {}
        self._kept_by_layer = {
            stage.first_layer: (stage, runner)
            for stage, runner in zip(chain.route.stages, chain.runners, strict=True)
            if runner.upstream_id not in lost
        }

    def estimate(self, runner: Upstream, stage: Stage) -> PartEstimate | None:
        layers = stage.end_layer - stage.first_layer
        key = (runner.upstream_id, layers)
        if key not in self._estimates_by_part:
            self._estimates_by_part[key] = self._chain_set.estimate_part(
                runner, layers, self._demand, self._ledger
            )
        return self._estimates_by_part[key]

    def run(self, candidates: list[Upstream], keeps_all: bool) -> _Partial | None:
        """Return the best cover, None if there is none.

        Parameters
        ----------
        candidates : list of Upstream
            Runners that may take new parts.
        keeps_all : bool
            Whether all stages that are not lost must be kept.
        """
        first, end = self._chain.route.stages[0], self._chain.route.stages[-1].end_layer
        boundaries = {stage.end_layer for stage in self._chain.route.stages}
        boundaries.update(stage.first_layer for stage in self._chain.route.stages)
        for runner in candidates:
            boundaries.update((runner.first_layer, runner.end_layer))
        ordered = sorted(b for b in boundaries if first.end_layer <= b <= end)
        start = _Partial(first, self._chain.runners[0], (-1, 0, 0.0), None)
        partials_by_layer = {first.end_layer: [start]}
        for layer in ordered:
            partials = partials_by_layer.get(layer, [])
            partials.sort(key=operator.attrgetter("rank"))
            del partials[MAX_PARTIAL_ROUTES:]
            if layer == end:
                return partials[0] if partials else None
            if not partials:
                continue
            kept = self._kept_by_layer.get(layer)
            if kept is not None:
                for partial in partials:
                    _append(partials_by_layer, _keep(partial, *kept))
                if keeps_all:
                    continue
            limit = self._find_limit(layer, end) if keeps_all else end
            ends = [b for b in ordered if layer < b <= limit]
            for runner in candidates:
                if runner.first_layer <= layer < runner.end_layer:
                    self._extend(partials_by_layer, partials, runner, layer, ends)
        return None

    def _find_limit(self, layer: int, end: int) -> int:
        """Return the first layer of the next stage that must be kept."""
        return min((b for b in self._kept_by_layer if b > layer), default=end)

    def _extend(
        self,
        partials_by_layer: dict[int, list[_Partial]],
        partials: list[_Partial],
        runner: Upstream,
        layer: int,
        ends: list[int],
    ) -> None:
        for end in ends:
            if end > runner.end_layer:
                return
            stage = Stage(runner.upstream_id, runner.address, layer, end)
            estimate = self.estimate(runner, stage)
            if estimate is None:
                # Longer parts need more room.
                return
            cost = estimate.cost
            if runner.failure_domain != self._chain.runners[0].failure_domain:
                cost += REMOTE_PART_SECONDS
            for partial in partials:
                kept, parts, seconds = partial.rank
                rank = (kept, parts + 1, seconds + cost)
                if partial.length < MAX_PARTS and not partial.contains(runner):
                    _append(partials_by_layer, _Partial(stage, runner, rank, partial))


def _keep(partial: _Partial, stage: Stage, runner: Upstream) -> _Partial | None:
    """Return a cover continued by a stage of the replaced route, if it may be."""
    if partial.length >= MAX_PARTS or partial.contains(runner):
        return None
    kept, parts, seconds = partial.rank
    return _Partial(stage, runner, (kept - 1, parts, seconds), partial)


def _append(
    partials_by_layer: dict[int, list[_Partial]], partial: _Partial | None
) -> None:
    if partial is not None:
        partials_by_layer.setdefault(partial.stage.end_layer, []).append(partial)


def get_repair_rank(
    on_time_until: float, has_events: bool, silent_since: float, now: float
) -> tuple[int, float]:
    """Return the rank of a stream among those that wait for a repair, lowest first.

    Streams whose first event can still be on time come first. Streams that their
    callers already read come next, those first whose callers have waited longest.

    Parameters
    ----------
    on_time_until : float
        Time until which the first event is on time, in seconds.
    has_events : bool
    silent_since : float
        Time of the last event, in seconds.
    now : float
    """
    if has_events:
        return (1, silent_since)
    return (0, on_time_until) if now <= on_time_until else (2, on_time_until)


class RepairTicket:
    """Place of one stream among the repairs of one runner's streams."""

    __slots__ = ("grant", "is_ended", "is_granted", "runner_id")

    def __init__(self, runner_id: str, grant: Callable[[], None]) -> None:
        self.runner_id = runner_id
        self.grant = grant
        self.is_granted = False
        self.is_ended = False


class RepairQueue:
    """Bounds the concurrent repairs of streams that lost the same runner."""

    __slots__ = ("_active_by_id", "_count", "_waiting_by_id")

    def __init__(self) -> None:
        self._active_by_id: dict[str, int] = {}
        self._count = 0
        self._waiting_by_id: dict[
            str, list[tuple[tuple[int, float], int, RepairTicket]]
        ] = {}

    def request(
        self, runner_id: str, rank: tuple[int, float], grant: Callable[[], None]
    ) -> RepairTicket:
        """Ask to begin a repair; ``grant`` is called when it may, maybe at once."""
        ticket = RepairTicket(runner_id, grant)
        self._count += 1
        waiting = self._waiting_by_id.setdefault(runner_id, [])
        heapq.heappush(waiting, (rank, self._count, ticket))
        self._grant_next(runner_id)
        return ticket

    def end(self, ticket: RepairTicket) -> None:
        """End a repair, or stop waiting for it."""
        if ticket.is_ended:
            return
        ticket.is_ended = True
        if ticket.is_granted:
            left = self._active_by_id.pop(ticket.runner_id) - 1
            if left:
                self._active_by_id[ticket.runner_id] = left
        self._grant_next(ticket.runner_id)

    def _grant_next(self, runner_id: str) -> None:
        waiting = self._waiting_by_id.get(runner_id, [])
        while waiting and self._active_by_id.get(runner_id, 0) < MAX_REPAIRS_PER_RUNNER:
            ticket = heapq.heappop(waiting)[2]
            if not ticket.is_ended:
                active = self._active_by_id.get(runner_id, 0)
                self._active_by_id[runner_id] = active + 1
                ticket.is_granted = True
                ticket.grant()
        if not waiting:
            self._waiting_by_id.pop(runner_id, None)
