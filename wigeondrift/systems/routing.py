"""Choice of upstreams: routes over stages of a model, and single ones."""

import random
from collections.abc import Collection, Iterable

from wigeondrift.entities import Instance, InstanceState, Role, Route, Stage
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.systems.fleet import Cover, Fleet, Group
from wigeondrift.systems.health import Health
from wigeondrift.systems.latencies import Latencies
from wigeondrift.systems.loads import Loads
from wigeondrift.table.rows import LimitRow, ServiceRow
from wigeondrift.table.tables import Tables

NOT_PREFERRED_SECONDS = 0.03
WAIT_SECONDS = 2.0
AVOIDED_SECONDS = 1000.0
AFFINITY_LOAD = 0.5
PICKS = 4


_NO_ROW = LimitRow()


class Candidate:
    """One upstream that may run a stage.

    Attributes
    ----------
    instance : Instance
    load : float
        Requests there for each slot.
    fixed_seconds : float
        Cost of using it, whatever part of its range it runs.
    range_seconds : float
        Time of one token in its whole range.
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
    """Cheapest chain found to one boundary that ends in one failure domain."""

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
Entry = tuple[DomainPair, float, Path]


class Demand:
    """What one choice has to keep to.

    Attributes
    ----------
    row : LimitRow
        Failure domains allowed and preferred.
    excluded : collection of str
        Names of upstreams that must not be chosen.
    prompt_hash : int
        For the hint of the prefix cache; zero for none.
    now : float
        Seconds of the process's clock.
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
        """Whether upstreams of a failure domain may be chosen."""
        return not self.row.domains or failure_domain in self.row.domains


class Routing:
    """Chooses routes and upstreams.

    Parameters
    ----------
    tables : Tables
        Operators' table, instances and load reports.
    failure_domain : str
        The process's own.
    rng : random.Random
        Source of chance.
    instance_id : str
        The process's own instance.
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
        self.latencies = Latencies()
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
        """Return the cheapest exact cover of a model's layers.

        Parameters
        ----------
        service, team : str
        excluded : collection of str
            Names of runners that must not be in it.
        prompt_hash : int
            Hash of the prompt's beginning, for the prefix cache; zero for none.
        now : float
            Seconds of the process's clock.
        version : str
            Model version of an answer already begun; the table's if empty.

        Raises
        ------
        RequestError
            Of kind NO_ROUTE.
        """
        fleet = self._refresh(now)
        row = self._tables.table.services_by_name.get(service)
        if row is None or not row.layers:
            raise RequestError(ErrorKind.NO_ROUTE, f"{service} is no model")
        demand = self._make_demand(service, team, excluded, prompt_hash, now)
        for candidate_version in self._list_versions(fleet, service, row, version):
            cover = fleet.get_cover(service, candidate_version)
            if cover is None:
                continue
            path = self._find_path(cover, row.layers, demand)
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
            Of kind NO_UPSTREAM.
        """
        fleet = self._refresh(now)
        demand = self._make_demand(service, team, excluded, 0, now)
        best = None
        for group in fleet.list_groups(service):
            candidate = self._pick_candidate(group, demand)
            if candidate is None:
                continue
            if best is None or candidate.fixed_seconds < best.fixed_seconds:
                best = candidate
        if best is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, f"no upstream of {service} now")
        return best.instance

    def record_start(self, instance_ids: Iterable[str], now: float) -> None:
        """Note that a request was sent to upstreams."""
        for instance_id in instance_ids:
            self.loads.add(instance_id, 1, now)

    def record_end(self, instance_ids: Iterable[str], now: float) -> None:
        """Note that a request no longer runs at upstreams."""
        for instance_id in instance_ids:
            self.loads.add(instance_id, -1, now)

    def record_failure(self, instance_ids: Iterable[str], now: float) -> None:
        """Avoid upstreams for a while."""
        for instance_id in instance_ids:
            self.health.record_failure(instance_id, now)

    def note_progress(self, route: Route, seconds: float) -> None:
        """Learn from the time that one token took over a route, in seconds."""
        instances_by_id = self._tables.instances_by_id
        runners = [instances_by_id.get(name) for name in route.instance_ids]
        self.health.note_success(route.instance_ids)
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
        self.latencies.learn(runners, reported, shares, seconds)

    def list_in_domains(self, failure_domains: Collection[str]) -> set[str]:
        """Return the names of all instances in some failure domains."""
        return {
            instance.instance_id
            for instance in self._tables.instances_by_id.values()
            if instance.failure_domain in failure_domains
        }

    def list_reserved(self, service: str) -> set[str]:
        """Return the runners left to other instances for their suspect requests.

        The runners of each range are dealt out over the live agents, so that two
        instances seldom try two suspects on one runner.
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
        cover = self._fleet.get_cover(service, row.version)
        ranked_by_range: dict[tuple[int, int], list[tuple[str, str]]] = {}
        for group in cover.groups if cover is not None else ():
            place = (group.first_layer, group.end_layer)
            ranked_by_range.setdefault(place, []).extend(
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
            self.health.forget_old(now)
        return self._fleet

    def _make_demand(
        self,
        service: str,
        team: str,
        excluded: Collection[str],
        prompt_hash: int,
        now: float,
    ) -> Demand:
        limits_by_row = self._tables.table.limits_by_row
        row = limits_by_row.get(f"{team}/{service}", _NO_ROW)
        return Demand(row, self._failure_domain, excluded, prompt_hash, now)

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
        self, cover: Cover, layers: int, demand: Demand, whole_ranges: bool = False
    ) -> Path | None:
        """Shortest path over layer boundaries, one node a boundary and domain pair.

        The last stage hands each token back to the first, so that the domain of the
        first stage belongs to the node as well.
        """
        candidates_by_group: dict[Group, Candidate | None] = {}
        start = {("", ""): Path(0.0, 0, None, None)}
        paths_by_boundary: dict[int, dict[DomainPair, Path]] = {0: start}
        for boundary in cover.boundaries:
            paths = paths_by_boundary.get(boundary)
            if paths is None or boundary >= layers:
                continue
            entries_by_domain: dict[str, list[Entry]] = {}
            for group in cover.list_groups(boundary):
                if group not in candidates_by_group:
                    candidates_by_group[group] = self._pick_candidate(group, demand)
                candidate = candidates_by_group[group]
                if candidate is None:
                    continue
                domain = group.failure_domain
                entries = entries_by_domain.get(domain)
                if entries is None:
                    entries = self._list_entries(paths, domain)
                    entries_by_domain[domain] = entries
                ends = [min(group.end_layer, layers)]
                if not whole_ranges:
                    ends = cover.list_ends(group, boundary, layers)
                _extend(paths_by_boundary, entries, boundary, candidate, ends)
        path = self._close_loop(paths_by_boundary.get(layers, {}))
        if path is not None and not whole_ranges and _repeats_runner(path):
            return self._find_path(cover, layers, demand, whole_ranges=True)
        return path

    def _list_entries(self, paths: dict[DomainPair, Path], domain: str) -> list[Entry]:
        """Return the cheapest way into ``domain`` for each first domain."""
        entries_by_head: dict[str, Entry] = {}
        for (head, source), path in paths.items():
            cost = path.cost
            if source:
                cost += self.latencies.get_link(source, domain)
            pair = (head or domain, domain)
            known = entries_by_head.get(head)
            if known is None or cost < known[1]:
                entries_by_head[head] = (pair, cost, path)
        return list(entries_by_head.values())

    def _close_loop(self, paths: dict[DomainPair, Path]) -> Path | None:
        best, best_cost = None, 0.0
        for (head, tail), path in paths.items():
            cost = path.cost + self.latencies.get_link(tail, head)
            if best is None or cost < best_cost:
                best, best_cost = path, cost
        return best

    def _pick_candidate(self, group: Group, demand: Demand) -> Candidate | None:
        """Return the better of two, one of them where the prefix may be cached."""
        if not demand.allows(group.failure_domain):
            return None
        home = None
        if demand.prompt_hash:
            home = self._weigh(group.get_home(demand.prompt_hash), demand)
        picks = list(self._iter_picks(group, demand, home))
        best = min(picks, key=_get_fixed, default=home)
        if best is None or best.fixed_seconds >= AVOIDED_SECONDS:
            best = self._find_any(group, demand) or best
        if home is None or home.fixed_seconds >= AVOIDED_SECONDS:
            return best
        is_near = home.load <= best.load + AFFINITY_LOAD and home.load < 1
        return home if is_near else best

    def _iter_picks(
        self, group: Group, demand: Demand, home: Candidate | None
    ) -> Iterable[Candidate]:
        wanted = 1 if home is not None else 2
        seen = {home.instance.instance_id} if home is not None else set()
        for _ in range(PICKS):
            instance = group.pick(self._rng)
            if instance.instance_id in seen:
                continue
            seen.add(instance.instance_id)
            candidate = self._weigh(instance, demand)
            if candidate is not None:
                yield candidate
                wanted -= 1
                if not wanted:
                    return

    def _find_any(self, group: Group, demand: Demand) -> Candidate | None:
        """Return the first that works, from a place by chance."""
        best = None
        offset = int(self._rng.random() * len(group.instances))
        for instance in group.instances[offset:] + group.instances[:offset]:
            candidate = self._weigh(instance, demand)
            if candidate is None:
                continue
            if candidate.fixed_seconds < AVOIDED_SECONDS:
                return candidate
            best = best or candidate
        return best

    def _weigh(self, instance: Instance, demand: Demand) -> Candidate | None:
        instance_id = instance.instance_id
        if instance_id in demand.excluded:
            return None
        current = self._tables.instances_by_id.get(instance_id)
        if current is None or current.state is not InstanceState.LIVE:
            return None
        report = self._tables.loads_by_id.get(instance_id)
        load = self.loads.estimate(instance_id, report, demand.now) / instance.slots
        reported = report.token_seconds if report is not None else 0.0
        seconds = self.latencies.get_stage(instance_id, reported)
        fixed = load * seconds + WAIT_SECONDS * max(0.0, load + 1 / instance.slots - 1)
        if instance.failure_domain not in demand.preferred:
            fixed += NOT_PREFERRED_SECONDS
        if self.health.is_avoided(instance_id, demand.now):
            fixed += AVOIDED_SECONDS
        return Candidate(instance, load, fixed, seconds)


def _get_fixed(candidate: Candidate) -> float:
    return candidate.fixed_seconds + candidate.range_seconds


def _extend(
    paths_by_boundary: dict[int, dict[DomainPair, Path]],
    entries: list[Entry],
    boundary: int,
    candidate: Candidate,
    ends: list[int],
) -> None:
    for end in ends:
        cost = candidate.cost(end - boundary)
        known = paths_by_boundary.get(end)
        if known is None:
            known = paths_by_boundary[end] = {}
        for pair, base, path in entries:
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
