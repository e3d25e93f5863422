"""Placement of a model's layers on runners.

The capacity of a route under many concurrent requests is bounded by the runner with
the least KV cache left beside its weights. A group of runners that shares one copy of
the model therefore splits the layers in proportion to memory, which leaves each runner
the same cache. A copy stays within one failure domain if its memory allows, so that a
network partition between domains leaves each with a whole model, and prompts do not
cross domains.
"""

from collections.abc import Iterable

from wigeondrift.router.entities import EngineSpec, Upstream

Range = tuple[int, int]

# Minimum memory of a new copy's runners, as a multiple of the size of the weights. Less
# than the first value leaves too little cache; the second is enough for the last copy
# of a domain.
MIN_COPY_MEMORY_FACTOR = 1.35
MIN_LAST_COPY_MEMORY_FACTOR = 1.12
# Requests of mean size that must fit in the cache of each runner.
MIN_CACHE_REQUESTS = 3.0
# Free runners are placed on layers whose cache is below this fraction of that of the
# layer with the most cache in the domain.
LOW_CACHE_FRACTION = 0.6
BYTES_PER_MB = 1e6


class Placement:
    """Plans which layers each runner of one model holds.

    Parameters
    ----------
    engine : EngineSpec
    """

    __slots__ = ("_engine", "_min_cache_tokens", "_token_layer_mb")

    def __init__(self, engine: EngineSpec) -> None:
        self._engine = engine
        self._token_layer_mb = engine.cache_bytes_per_layer / BYTES_PER_MB
        mean_request_tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens
        self._min_cache_tokens = MIN_CACHE_REQUESTS * mean_request_tokens

    def get_memory_mb(self, runner: Upstream) -> float:
        """Return the memory of a runner in MB, or zero for an unknown kind."""
        kind = self._engine.accelerators_by_kind.get(runner.kind)
        return 0.0 if kind is None else kind.memory_mb

    def get_cache_tokens(self, runner: Upstream, layers: int) -> float:
        """Return the tokens that fit in the cache beside ``layers`` layers."""
        if layers <= 0:
            return 0.0
        free = self.get_memory_mb(runner) - layers * self._engine.layer_mb
        return max(0.0, free) / (layers * self._token_layer_mb)

    def plan(
        self, runners: Iterable[Upstream], ranges_by_id: dict[str, Range]
    ) -> dict[str, Range]:
        """Return the layer ranges to change, by runner.

        Parameters
        ----------
        runners : iterable of Upstream
            Runners that accept work.
        ranges_by_id : dict of str to (int, int)
            First and end layer that each holds or has been ordered to hold.

        Returns
        -------
        dict of str to (int, int)
            New ranges, only of runners whose range changes.
        """
        planned = {
            name: held for name, held in ranges_by_id.items() if held[1] > held[0]
        }
        runners_by_domain: dict[str, list[Upstream]] = {}
        for runner in sorted(runners, key=self._get_sort_key):
            if self.get_memory_mb(runner) > 0.0:
                domain = runner.failure_domain
                runners_by_domain.setdefault(domain, []).append(runner)
        changes: dict[str, Range] = {}
        all_runners = [r for members in runners_by_domain.values() for r in members]
        former = None
        # Placing a copy across domains may leave a partial copy that one domain can
        # complete, so planning repeats until nothing changes.
        while former != planned:
            former = dict(planned)
            for members in runners_by_domain.values():
                self._plan_domain(members, planned, changes)
            if not self._has_copy(all_runners, planned):
                self._plan_across(all_runners, planned, changes)
        return changes

    def _get_sort_key(self, runner: Upstream) -> tuple[float, str]:
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
            self._complete_copy(members, free, planned, changes)
        if self._has_copy(members, planned):
            self._add_runners_to_low_cache_layers(members, free, planned, changes)
        while free:
            group = self._allocate_group(free, MIN_COPY_MEMORY_FACTOR)
            if group is None:
                group = self._allocate_group(free, MIN_LAST_COPY_MEMORY_FACTOR)
            if group is None:
                return
            self._assign(group, (0, self._engine.layers), planned, changes)

    def _complete_copy(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Fill all gaps in a domain's copy, or change nothing if some would remain."""
        remaining_free = list(free)
        tentative = dict(planned)
        assignments: dict[str, Range] = {}
        self._fill_gaps(members, remaining_free, tentative, assignments)
        if self._has_copy(members, tentative):
            free[:] = remaining_free
            planned.update(tentative)
            changes.update(assignments)

    def _plan_across(
        self,
        all_runners: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Place one copy across domains if no single domain has the memory for it."""
        free = [r for r in all_runners if r.upstream_id not in planned]
        if len(free) < len(all_runners):
            self._fill_gaps(all_runners, free, planned, changes)
            return
        free.sort(key=lambda r: (r.failure_domain, self._get_sort_key(r)))
        group = self._allocate_group(free, MIN_LAST_COPY_MEMORY_FACTOR)
        if group is not None:
            self._assign(group, (0, self._engine.layers), planned, changes)

    def _allocate_group(
        self, free: list[Upstream], factor: float
    ) -> list[Upstream] | None:
        """Remove and return the fastest free runners that can hold a copy.

        ``factor`` is their minimum memory as a multiple of the size of the weights.
        """
        needed = factor * self._engine.layers * self._engine.layer_mb
        memory = 0.0
        for count, runner in enumerate(free, start=1):
            memory += self.get_memory_mb(runner)
            if memory >= needed:
                group = free[:count]
                if self._split(group, self._engine.layers) is None:
                    continue
                del free[:count]
                return group
        return None

    def _split(self, group: list[Upstream], layers: int) -> list[int] | None:
        """Split ``layers`` in proportion to memory; None if the cache is too small."""
        memory = sum(self.get_memory_mb(runner) for runner in group)
        exact = [layers * self.get_memory_mb(runner) / memory for runner in group]
        counts = [int(part) for part in exact]
        by_remainder = sorted(
            range(len(group)), key=lambda i: counts[i] - exact[i] + i * 1e-9
        )
        for index in by_remainder[: layers - sum(counts)]:
            counts[index] += 1
        for runner, count in zip(group, counts, strict=True):
            if count and self.get_cache_tokens(runner, count) < self._min_cache_tokens:
                return None
        return counts

    def _assign(
        self,
        group: list[Upstream],
        layers: Range,
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> bool:
        counts = self._split(group, layers[1] - layers[0])
        if counts is None:
            return False
        first = layers[0]
        for runner, count in zip(group, counts, strict=True):
            if count:
                held = (first, first + count)
                planned[runner.upstream_id] = held
                changes[runner.upstream_id] = held
                first += count
        return True

    def _list_cache_tokens(
        self, members: list[Upstream], planned: dict[str, Range]
    ) -> list[float]:
        """Return the tokens that fit in the cache, for each layer."""
        cache_tokens = [0.0] * self._engine.layers
        for runner in members:
            first, end = planned.get(runner.upstream_id, (0, 0))
            tokens = self.get_cache_tokens(runner, end - first)
            for layer in range(first, min(end, len(cache_tokens))):
                cache_tokens[layer] += tokens
        return cache_tokens

    def _has_copy(self, members: list[Upstream], planned: dict[str, Range]) -> bool:
        return all(self._list_cache_tokens(members, planned))

    def _fill_gaps(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        cache_tokens = self._list_cache_tokens(members, planned)
        for gap in _list_spans(cache_tokens, lambda tokens: tokens <= 0.0):
            self._fill_gap(gap, members, free, planned, changes)

    def _fill_gap(
        self,
        gap: Range,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        # Uses the fewest free runners that can hold the gap, else extends a neighbour.
        for count in range(1, len(free) + 1):
            if self._assign(free[:count], gap, planned, changes):
                del free[:count]
                return
        self._extend_neighbour(gap, members, planned, changes)

    def _extend_neighbour(
        self,
        gap: Range,
        members: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Add the gap to the range of the neighbour that keeps the most cache."""
        best, best_tokens, best_range = None, self._min_cache_tokens, gap
        for runner in members:
            first, end = planned.get(runner.upstream_id, (0, 0))
            if end == gap[0] and end > first:
                wider = (first, gap[1])
            elif first == gap[1]:
                wider = (gap[0], end)
            else:
                continue
            tokens = self.get_cache_tokens(runner, wider[1] - wider[0])
            if tokens >= best_tokens:
                best, best_tokens, best_range = runner, tokens, wider
        if best is not None:
            planned[best.upstream_id] = best_range
            changes[best.upstream_id] = best_range

    def _add_runners_to_low_cache_layers(
        self,
        members: list[Upstream],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> None:
        """Place free runners on layers with little cache, as after a runner's loss."""
        while free:
            cache_tokens = self._list_cache_tokens(members, planned)
            threshold = LOW_CACHE_FRACTION * max(cache_tokens)
            spans = _list_spans(
                cache_tokens,
                lambda tokens, threshold=threshold: 0.0 < tokens < threshold,
            )
            if not spans or not self._add_runners_to_one_span(
                spans, free, planned, changes
            ):
                return

    def _add_runners_to_one_span(
        self,
        spans: list[Range],
        free: list[Upstream],
        planned: dict[str, Range],
        changes: dict[str, Range],
    ) -> bool:
        for span in sorted(spans, key=lambda span: (span[0] - span[1], span[0])):
            for count in range(1, len(free) + 1):
                if self._assign(free[:count], span, planned, changes):
                    del free[:count]
                    return True
        return False


def _list_spans(values: list[float], predicate) -> list[Range]:
    """Return the ranges of consecutive layers whose value satisfies ``predicate``."""
    spans: list[Range] = []
    first = None
    for layer, value in enumerate(values):
        if predicate(value):
            if first is None:
                first = layer
        elif first is not None:
            spans.append((first, layer))
            first = None
    if first is not None:
        spans.append((first, len(values)))
    return spans
