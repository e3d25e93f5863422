"""Selection of upstreams: routes over the stages of a model, and single upstreams."""

import random
from collections.abc import Collection, Iterable

from wigeondrift.entities import Instance, InstanceState, Role, Route, Stage
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.systems.fleet import Fleet, Group, VersionIndex
from wigeondrift.systems.health import Health
from wigeondrift.systems.latencies import LatencyEstimator
from wigeondrift.systems.loads import Loads
from wigeondrift.table.rows import LimitRow, ServiceRow
from wigeondrift.table.tables import Tables

NON_PREFERRED_DOMAIN_PENALTY_SECONDS = 0.03
QUEUEING_PENALTY_SECONDS = 2.0
AVOIDED_PENALTY_SECONDS = 1000.0
MAX_AFFINITY_EXTRA_LOAD = 0.5
MAX_DRAWS_PER_GROUP = 4


_NO_ROW = LimitRow()


class Candidate:
    """One upstream that may run a stage.

    Attributes
    ----------
    instance : Instance
    load : float
        Requests on the instance per slot.
    fixed_seconds : float
        Cost that does not depend on how many of its layers are used.
    range_seconds : float
        Time per token to run all of its layers.
    """

    __slots__ = ("fixed_seconds", "instance", "load", "range_seconds")

    def __init__(
        self,
        instance: Instance,
        load: float,
        fixed_seconds: float,
        range_seconds: float,
    ) -> None:
        self.instance = instance
        self.load = load
        self.fixed_seconds = fixed_seconds
        self.range_seconds = range_seconds

    def cost(self, layers: int) -> float:
        """Return the cost of running ``layers`` of its range, in seconds."""
        held = self.instance.end_layer - self.instance.first_layer
        return self.fixed_seconds + self.range_seconds * layers / held


class Path:
    """Cheapest partial route to a layer boundary.

    There is one for each pair of failure domains of its first and last stage.
    """

    __slots__ = ("candidate", "cost", "first_layer", "previous")

    def __init__(
        self,
        cost: float,
        first_layer: int,
        candidate: Candidate | None,
        previous: "Path | None",
    ) -> None:
        self.cost = cost
        self.first_layer = first_layer
        self.candidate = candidate
        self.previous = previous


DomainPair = tuple[str, str]
Transition = tuple[DomainPair, float, Path]


class RouteConstraints:
    """Constraints of one routing decision.

    Attributes
    ----------
    row : LimitRow
        Allowed and preferred failure domains.
    excluded : collection of str
        Names of upstreams that must not be chosen.
    prompt_hash : int
        Hash of the prompt prefix for cache affinity; zero for none.
    now : float
        Current time of the process's clock, in seconds.
    """

    __slots__ = ("excluded", "now", "preferred", "prompt_hash", "row")

    def __init__(
        self,
        row: LimitRow,
        own_domain: str,
        excluded: Collection[str],
        prompt_hash: int,
        now: float,
    ) -> None:
        self.row = row
        self.preferred = row.preferred or (own_domain,)
        self.excluded = excluded
        self.prompt_hash = prompt_hash
        self.now = now

    def allows(self, failure_domain: str) -> bool:
        """Return whether upstreams in ``failure_domain`` may be chosen."""
        return not self.row.domains or failure_domain in self.row.domains


class Routing:
    """Selects routes and upstreams.

    Parameters
    ----------
    tables : Tables
        Operators' table, instances and load reports.
    failure_domain : str
        Failure domain of this process.
    rng : random.Random
        Random number generator.
    instance_id : str
        Instance ID of this process.
    """

    __slots__ = (
        "_failure_domain",
        "_fleet",
        "_fleet_key",
        "_instance_id",
        "_instances",
        "_rng",
        "_tables",
        "health",
        "latencies",
        "loads",
    )

    def __init__(
        self,
        tables: Tables,
        failure_domain: str,
        rng: random.Random,
        instance_id: str = "",
    ) -> None:
        self._tables = tables
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._rng = rng
        self._fleet = Fleet(())
        self._fleet_key: tuple[int, int] | None = None
        self._instances: dict[str, Instance] | None = None
        self.loads = Loads()
        self.latencies = LatencyEstimator()
        self.health = Health()

    def plan(
        self,
        service: str,
        team: str,
        excluded: Collection[str],
        prompt_hash: int,
        now: float,
        version: str = "",
    ) -> Route:
        """Return the cheapest route that covers each layer of a model exactly once.

        Parameters
        ----------
        service, team : str
        excluded : collection of str
            Names of runners that must not be on the route.
        prompt_hash : int
            Hash of the prompt prefix for cache affinity; zero for none.
        now : float
            Current time of the process's clock, in seconds.
        version : str
            Model version of a partially generated answer; if empty, the version in
            the table, or the highest one with a route if the table has none.

        Raises
        ------
        RequestError
            With kind ``NO_ROUTE`` if no route exists.
        """
        fleet = self._refresh(now)
        row = self._tables.table.services_by_name.get(service)
        if row is None or not row.layers:
            raise RequestError(ErrorKind.NO_ROUTE, f"{service} is no model")
        constraints = self._make_constraints(service, team, excluded, prompt_hash, now)
        for candidate_version in self._list_versions(fleet, service, row, version):
            version_index = fleet.get_version_index(service, candidate_version)
            if version_index is None:
                continue
            path = self._find_path(version_index, row.layers, constraints)
            if path is not None:
                return _make_route(candidate_version, path, row.layers)
        raise RequestError(ErrorKind.NO_ROUTE, f"no route for {service} now")

    def choose(
        self, service: str, team: str, excluded: Collection[str], now: float
    ) -> Instance:
        """Return an upstream of a plain service.

        Raises
        ------
        RequestError
            With kind ``NO_UPSTREAM`` if no upstream is available.
        """
        fleet = self._refresh(now)
        constraints = self._make_constraints(service, team, excluded, 0, now)
        best = None
        for group in fleet.list_groups(service):
            candidate = self._pick_candidate(group, constraints)
            if candidate is None:
                continue
            if best is None or candidate.fixed_seconds < best.fixed_seconds:
                best = candidate
        if best is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, f"no upstream of {service} now")
        return best.instance

    def record_start(self, instance_ids: Iterable[str], now: float) -> None:
        """Count a request that was sent to upstreams."""
        for instance_id in instance_ids:
            self.loads.add(instance_id, 1, now)

    def record_end(self, instance_ids: Iterable[str], now: float) -> None:
        """Count a request that no longer runs on upstreams."""
        for instance_id in instance_ids:
            self.loads.add(instance_id, -1, now)

    def record_failure(self, instance_ids: Iterable[str], now: float) -> None:
        """Temporarily avoid upstreams that failed."""
        for instance_id in instance_ids:
            self.health.record_failure(instance_id, now)

    def record_token_time(self, route: Route, seconds: float) -> None:
        """Update the latency estimates with the time per token on a route."""
        instances_by_id = self._tables.instances_by_id
        runners = [instances_by_id.get(name) for name in route.instance_ids]
        self.health.record_success(route.instance_ids)
        if None in runners:
            return
        reported = {
            runner.instance_id: self._get_reported(runner.instance_id)
            for runner in runners
        }
        shares = [
            (stage.end_layer - stage.first_layer)
            / (runner.end_layer - runner.first_layer)
            for stage, runner in zip(route.stages, runners, strict=True)
        ]
        self.latencies.observe(runners, reported, shares, seconds)

    def list_in_domains(self, failure_domains: Collection[str]) -> set[str]:
        """Return the names of all instances in the given failure domains."""
        return {
            instance.instance_id
            for instance in self._tables.instances_by_id.values()
            if instance.failure_domain in failure_domains
        }

    def list_reserved_runners(self, service: str) -> set[str]:
        """Return the runners that other instances use for suspect requests.

        The runners of each layer range are partitioned among the live agents, so that
        two instances rarely run two suspect requests on the same runner.
        """
        agents = sorted(
            instance.instance_id
            for instance in self._tables.instances_by_id.values()
            if instance.role is Role.AGENT and instance.state is InstanceState.LIVE
        )
        row = self._tables.table.services_by_name.get(service)
        if row is None or self._instance_id not in agents:
            return set()
        rank = agents.index(self._instance_id)
        version_index = self._fleet.get_version_index(service, row.version)
        ranked_by_range: dict[tuple[int, int], list[tuple[str, str]]] = {}
        for group in version_index.groups if version_index is not None else ():
            layer_range = (group.first_layer, group.end_layer)
            ranked_by_range.setdefault(layer_range, []).extend(
                (group.failure_domain, instance.instance_id)
                for instance in group.instances
            )
        return {
            name
            for ranked in ranked_by_range.values()
            for index, (_, name) in enumerate(sorted(ranked))
            if index % len(agents) != rank
        }

    def _refresh(self, now: float) -> Fleet:
        instances_by_id = self._tables.instances_by_id
        key = (self._tables.instances_revision, len(instances_by_id))
        if key != self._fleet_key or instances_by_id is not self._instances:
            self._fleet = Fleet(instances_by_id.values())
            self._fleet_key = key
            self._instances = instances_by_id
            known = set(instances_by_id)
            self.loads.keep_only(known)
            self.latencies.keep_only(known)
            self.health.drop_expired(now)
        return self._fleet

    def _make_constraints(
        self,
        service: str,
        team: str,
        excluded: Collection[str],
        prompt_hash: int,
        now: float,
    ) -> RouteConstraints:
        limits_by_row = self._tables.table.limits_by_row
        row = limits_by_row.get(f"{team}/{service}", _NO_ROW)
        return RouteConstraints(row, self._failure_domain, excluded, prompt_hash, now)

    def _list_versions(
        self, fleet: Fleet, service: str, row: ServiceRow, version: str
    ) -> list[str]:
        if version or row.version:
            return [version or row.version]
        return fleet.list_versions(service)[::-1]

    def _get_reported(self, instance_id: str) -> float:
        report = self._tables.loads_by_id.get(instance_id)
        return report.token_seconds if report is not None else 0.0

    def _find_path(
        self,
        version_index: VersionIndex,
        layers: int,
        constraints: RouteConstraints,
        whole_ranges: bool = False,
    ) -> Path | None:
        """Return the shortest path over layer boundaries, or None.

        A node is a layer boundary with the failure domains of the first and the last
        stage. The first domain is part of it because the last stage sends each token
        back to the first stage.

        If the path contains a runner twice, the search is repeated with
        ``whole_ranges``: each stage then runs to the end of its runner's range, so that
        no runner can occur twice.
        """
        candidates_by_group: dict[Group, Candidate | None] = {}
        start = {("", ""): Path(0.0, 0, None, None)}
        paths_by_boundary: dict[int, dict[DomainPair, Path]] = {0: start}
        for boundary in version_index.boundaries:
            paths = paths_by_boundary.get(boundary)
            if paths is None or boundary >= layers:
                continue
            transitions_by_domain: dict[str, list[Transition]] = {}
            for group in version_index.list_groups(boundary):
                if group not in candidates_by_group:
                    candidates_by_group[group] = self._pick_candidate(
                        group, constraints
                    )
                candidate = candidates_by_group[group]
                if candidate is None:
                    continue
                domain = group.failure_domain
                transitions = transitions_by_domain.get(domain)
                if transitions is None:
                    transitions = self._list_transitions(paths, domain)
                    transitions_by_domain[domain] = transitions
                ends = [min(group.end_layer, layers)]
                if not whole_ranges:
                    ends = version_index.list_ends(group, boundary, layers)
                _extend_paths(paths_by_boundary, transitions, boundary, candidate, ends)
        path = self._choose_closed_path(paths_by_boundary.get(layers, {}))
        if path is not None and not whole_ranges and _repeats_runner(path):
            return self._find_path(
                version_index, layers, constraints, whole_ranges=True
            )
        return path

    def _list_transitions(
        self, paths: dict[DomainPair, Path], domain: str
    ) -> list[Transition]:
        """Return the cheapest transition into ``domain`` for each first domain."""
        transitions_by_first_domain: dict[str, Transition] = {}
        for (first_domain, source), path in paths.items():
            cost = path.cost
            if source:
                cost += self.latencies.get_link_seconds(source, domain)
            pair = (first_domain or domain, domain)
            known = transitions_by_first_domain.get(first_domain)
            if known is None or cost < known[1]:
                transitions_by_first_domain[first_domain] = (pair, cost, path)
        return list(transitions_by_first_domain.values())

    def _choose_closed_path(self, paths: dict[DomainPair, Path]) -> Path | None:
        """Return the cheapest path, including the link from its end to its start."""
        best, best_cost = None, 0.0
        for (first_domain, last_domain), path in paths.items():
            cost = path.cost + self.latencies.get_link_seconds(
                last_domain, first_domain
            )
            if best is None or cost < best_cost:
                best, best_cost = path, cost
        return best

    def _pick_candidate(
        self, group: Group, constraints: RouteConstraints
    ) -> Candidate | None:
        """Return the better of two candidates of a group, None if there is none.

        Both are drawn at random. With a prompt hash, one of them is instead the
        upstream that may have the prompt's prefix in its cache; it is preferred unless
        its load is considerably higher or it has no free slot.
        """
        if not constraints.allows(group.failure_domain):
            return None
        affinity_candidate = None
        if constraints.prompt_hash:
            affinity_candidate = self._make_candidate(
                group.pick_by_hash(constraints.prompt_hash), constraints
            )
        drawn = list(self._draw_candidates(group, constraints, affinity_candidate))
        best = min(drawn, key=_get_full_cost, default=affinity_candidate)
        if best is None or best.fixed_seconds >= AVOIDED_PENALTY_SECONDS:
            best = self._find_usable(group, constraints) or best
        if (
            affinity_candidate is None
            or affinity_candidate.fixed_seconds >= AVOIDED_PENALTY_SECONDS
        ):
            return best
        has_similar_load = (
            affinity_candidate.load <= best.load + MAX_AFFINITY_EXTRA_LOAD
            and affinity_candidate.load < 1
        )
        return affinity_candidate if has_similar_load else best

    def _draw_candidates(
        self,
        group: Group,
        constraints: RouteConstraints,
        affinity_candidate: Candidate | None,
    ) -> Iterable[Candidate]:
        wanted = 1 if affinity_candidate is not None else 2
        seen = (
            {affinity_candidate.instance.instance_id}
            if affinity_candidate is not None
            else set()
        )
        for _ in range(MAX_DRAWS_PER_GROUP):
            instance = group.pick_random(self._rng)
            if instance.instance_id in seen:
                continue
            seen.add(instance.instance_id)
            candidate = self._make_candidate(instance, constraints)
            if candidate is not None:
                yield candidate
                wanted -= 1
                if not wanted:
                    return

    def _find_usable(
        self, group: Group, constraints: RouteConstraints
    ) -> Candidate | None:
        """Return the first candidate that is not avoided, else the first of all.

        The search starts at a random position.
        """
        best = None
        offset = int(self._rng.random() * len(group.instances))
        for instance in group.instances[offset:] + group.instances[:offset]:
            candidate = self._make_candidate(instance, constraints)
            if candidate is None:
                continue
            if candidate.fixed_seconds < AVOIDED_PENALTY_SECONDS:
                return candidate
            best = best or candidate
        return best

    def _make_candidate(
        self, instance: Instance, constraints: RouteConstraints
    ) -> Candidate | None:
        instance_id = instance.instance_id
        if instance_id in constraints.excluded:
            return None
        current = self._tables.instances_by_id.get(instance_id)
        if current is None or current.state is not InstanceState.LIVE:
            return None
        report = self._tables.loads_by_id.get(instance_id)
        load = (
            self.loads.estimate(instance_id, report, constraints.now) / instance.slots
        )
        reported = report.token_seconds if report is not None else 0.0
        seconds = self.latencies.get_stage_seconds(instance_id, reported)
        fixed = load * seconds + QUEUEING_PENALTY_SECONDS * max(
            0.0, load + 1 / instance.slots - 1
        )
        if instance.failure_domain not in constraints.preferred:
            fixed += NON_PREFERRED_DOMAIN_PENALTY_SECONDS
        if self.health.is_avoided(instance_id, constraints.now):
            fixed += AVOIDED_PENALTY_SECONDS
        return Candidate(instance, load, fixed, seconds)


def _get_full_cost(candidate: Candidate) -> float:
    return candidate.fixed_seconds + candidate.range_seconds


def _extend_paths(
    paths_by_boundary: dict[int, dict[DomainPair, Path]],
    transitions: list[Transition],
    boundary: int,
    candidate: Candidate,
    ends: list[int],
) -> None:
    for end in ends:
        cost = candidate.cost(end - boundary)
        known = paths_by_boundary.get(end)
        if known is None:
            known = paths_by_boundary[end] = {}
        for pair, base, path in transitions:
            former = known.get(pair)
            if former is None or base + cost < former.cost:
                known[pair] = Path(base + cost, boundary, candidate, path)


def _repeats_runner(path: Path) -> bool:
    names = []
    while path.candidate is not None:
        names.append(path.candidate.instance.instance_id)
        path = path.previous
    return len(set(names)) < len(names)


def _make_route(version: str, path: Path, layers: int) -> Route:
    stages: list[Stage] = []
    end = layers
    while path.candidate is not None:
        runner = path.candidate.instance
        stages.append(Stage(runner.instance_id, runner.address, path.first_layer, end))
        end = path.first_layer
        path = path.previous
    return Route(version, tuple(reversed(stages)))
