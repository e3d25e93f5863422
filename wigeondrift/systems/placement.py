"""Placement of a model's layers on runners.

Answers the load of many concurrent requests: what bounds a route is the KV cache left
beside the weights at its fullest runner. A team of runners that shares one copy of the
model therefore splits the layers in proportion to memory, which leaves each the same
room. Copies stay within a failure domain where its memory allows, so that a cut between
domains leaves each with a whole model and prompts don't cross.
"""

from collections.abc import Iterable

from wigeondrift.router.entities import EngineSpec, Upstream

Range = tuple[int, int]

# Memory of a new copy's runners as a multiple of the weights: below the first, cache
# would be too short beside them; the second is enough for the last copy of a domain.
COPY_MEMORY_FACTOR = 1.35
LAST_COPY_MEMORY_FACTOR = 1.12
# Requests of the usual size that a runner must have room for.
LEAST_ROOM_REQUESTS = 3.0
# Free runners go where the room is below this share of the domain's best layers.
WEAK_ROOM_SHARE = 0.6
BYTES_PER_MB = 1e6


class Placement:
    """Decides which layers each runner of one model is to hold.

    Parameters
    ----------
    engine : EngineSpec
    """

    __slots__ = ("_engine", "_least_room", "_token_layer_mb")

    def __init__(self, engine: EngineSpec) -> None:
        self._engine = engine
        self._token_layer_mb = engine.cache_bytes_per_layer / BYTES_PER_MB
        usual = engine.mean_prompt_tokens + engine.mean_answer_tokens
        self._least_room = LEAST_ROOM_REQUESTS * usual

    def get_memory(self, runner: Upstream) -> float:
        """Return the memory of a runner in MB; zero for an unknown kind."""
        kind = self._engine.accelerators_by_kind.get(runner.kind)
        return 0.0 if kind is None else kind.memory_mb

    def get_room(self, runner: Upstream, layers: int) -> float:
        """Return the tokens that fit beside ``layers`` layers of weights."""
        if layers <= 0:
            return 0.0
        free = self.get_memory(runner) - layers * self._engine.layer_mb
        return max(0.0, free) / (layers * self._token_layer_mb)

    def plan(
        self, runners: Iterable[Upstream], ranges_by_id: dict[str, Range]
    ) -> dict[str, Range]:
        """Return the ranges that runners are to hold anew.

        Parameters
        ----------
        runners : iterable of Upstream
            Those that take work.
        ranges_by_id : dict of str to (int, int)
            Ranges that they hold or have been ordered to hold.

        Returns
        -------
        dict of str to (int, int)
            Only runners whose range is to change.
        """
        planned = {
            name: held for name, held in ranges_by_id.items() if held[1] > held[0]
        }
        runners_by_domain: dict[str, list[Upstream]] = {}
        for runner in sorted(runners, key=self._rank):
            if self.get_memory(runner) > 0.0:
                domain = runner.failure_domain
                runners_by_domain.setdefault(domain, []).append(runner)
        changes: dict[str, Range] = {}
        everyone = [r for members in runners_by_domain.values() for r in members]
        former = None
        # A copy made across domains may leave one that a domain can complete.
        while former != planned:
            former = dict(planned)
            for members in runners_by_domain.values():
                self._plan_domain(members, planned, changes)
            if not self._has_copy(everyone, planned):
                self._plan_across(everyone, planned, changes)
        return changes

    def _rank(self, runner: Upstream) -> tuple[float, str]:
        kind = self._engine.accelerators_by_kind.get(runner.kind)
        return (0.0 if kind is None else kind.step_factor, runner.upstream_id)

    def _plan_domain(
        self,
        members: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        free = [runner for runner in members if runner.upstream_id not in planned]
        if len(free) < len(members):
            self._complete(members, free, planned, changes)
        if self._has_copy(members, planned):
            self._strengthen(members, free, planned, changes)
        while free:
            team = self._take_team(free, COPY_MEMORY_FACTOR)
            if team is None:
                team = self._take_team(free, LAST_COPY_MEMORY_FACTOR)
            if team is None:
                return
            self._assign(team, (0, self._engine.layers), planned, changes)

    def _complete(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Fill the gaps of a domain's copy, or leave it if some would stay."""
        left = list(free)
        tried = dict(planned)
        orders: dict[str, Range] = {}
        self._fill_gaps(members, left, tried, orders)
        if self._has_copy(members, tried):
            free[:] = left
            planned.update(tried)
            changes.update(orders)

    def _plan_across(
        self,
        everyone: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Make one copy over several domains where none has the memory for it."""
        free = [r for r in everyone if r.upstream_id not in planned]
        if len(free) < len(everyone):
            self._fill_gaps(everyone, free, planned, changes)
            return
        free.sort(key=lambda r: (r.failure_domain, self._rank(r)))
        team = self._take_team(free, LAST_COPY_MEMORY_FACTOR)
        if team is not None:
            self._assign(team, (0, self._engine.layers), planned, changes)

    def _take_team(self, free: list[Upstream], factor: float) -> list[Upstream] | None:
        """Take the fastest free runners whose memory holds a copy with room."""
        needed = factor * self._engine.layers * self._engine.layer_mb
        memory = 0.0
        for count, runner in enumerate(free, start=1):
            memory += self.get_memory(runner)
            if memory >= needed:
                team = free[:count]
                if self._split(team, self._engine.layers) is None:
                    continue
                del free[:count]
                return team
        return None

    def _split(self, team: list[Upstream], layers: int) -> list[int] | None:
        """Split ``layers`` in proportion to memory; None if it leaves no room."""
        memory = sum(self.get_memory(runner) for runner in team)
        exact = [layers * self.get_memory(runner) / memory for runner in team]
        counts = [int(part) for part in exact]
        by_rest = sorted(
            range(len(team)), key=lambda i: counts[i] - exact[i] + i * 1e-9
        )
        for index in by_rest[: layers - sum(counts)]:
            counts[index] += 1
        for runner, count in zip(team, counts, strict=True):
            if count and self.get_room(runner, count) < self._least_room:
                return None
        return counts

    def _assign(
        self,
        team: list[Upstream],
        layers: Range,
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> bool:
        counts = self._split(team, layers[1] - layers[0])
        if counts is None:
            return False
        first = layers[0]
        for runner, count in zip(team, counts, strict=True):
            if count:
                held = (first, first + count)
                planned[runner.upstream_id] = held
                changes[runner.upstream_id] = held
                first += count
        return True

    def _list_room(
        self, members: list[Upstream], planned: dict[str, Range]
    ) -> list[float]:
        """Return the tokens for which there is room, for each layer."""
        room = [0.0] * self._engine.layers
        for runner in members:
            first, end = planned.get(runner.upstream_id, (0, 0))
            tokens = self.get_room(runner, end - first)
            for layer in range(first, min(end, len(room))):
                room[layer] += tokens
        return room

    def _has_copy(self, members: list[Upstream], planned: dict[str, Range]) -> bool:
        return all(self._list_room(members, planned))

    def _fill_gaps(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        room = self._list_room(members, planned)
        for gap in _list_runs(room, lambda tokens: tokens <= 0.0):
            self._fill(gap, members, free, planned, changes)

    def _fill(
        self,
        gap: Range,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        # The fewest free runners that hold the gap; else the neighbours stretch.
        for count in range(1, len(free) + 1):
            if self._assign(free[:count], gap, planned, changes):
                del free[:count]
                return
        self._stretch(gap, members, planned, changes)

    def _stretch(
        self,
        gap: Range,
        members: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Let a runner beside the gap hold it too, the one with most room left."""
        best, best_room, best_range = None, self._least_room, gap
        for runner in members:
            first, end = planned.get(runner.upstream_id, (0, 0))
            if end == gap[0] and end > first:
                wider = (first, gap[1])
            elif first == gap[1]:
                wider = (gap[0], end)
            else:
                continue
            tokens = self.get_room(runner, wider[1] - wider[0])
            if tokens >= best_room:
                best, best_room, best_range = runner, tokens, wider
        if best is not None:
            planned[best.upstream_id] = best_range
            changes[best.upstream_id] = best_range

    def _strengthen(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Place free runners on the layers that lost a runner."""
        while free:
            room = self._list_room(members, planned)
            weak = WEAK_ROOM_SHARE * max(room)
            runs = _list_runs(room, lambda tokens, weak=weak: 0.0 < tokens < weak)
            if not runs or not self._strengthen_one(runs, free, planned, changes):
                return

    def _strengthen_one(
        self,
        runs: list[Range],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> bool:
        for run in sorted(runs, key=lambda run: (run[0] - run[1], run[0])):
            for count in range(1, len(free) + 1):
                if self._assign(free[:count], run, planned, changes):
                    del free[:count]
                    return True
        return False


def _list_runs(values: list[float], belongs) -> list[Range]:
    """Return the ranges of neighbouring layers whose value belongs."""
    runs: list[Range] = []
    first = None
    for layer, value in enumerate(values):
        if belongs(value):
            if first is None:
                first = layer
        elif first is not None:
            runs.append((first, layer))
            first = None
    if first is not None:
        runs.append((first, len(values)))
    return runs
