"""Selection of upstreams: routes over runners and members of plain services."""

import logging
import random
from collections.abc import Callable, Collection

import trio

from wigeondrift.entities import Route, Stage
from wigeondrift.router.entities import EngineSpec, ServiceSpec, Upstream
from wigeondrift.systems.back_offs import BackOffs
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import Chain, ChainSet, RouteDemand, RouteOffer
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.faults import FaultTable
from wigeondrift.systems.health import Health
from wigeondrift.systems.limits import LimitNews, RequestLimits
from wigeondrift.systems.outcomes import (
    LOSS_WEIGHT_ONCE,
    LOSS_WEIGHT_REPEATABLE,
    OutcomeTable,
)
from wigeondrift.systems.paces import PaceTable
from wigeondrift.systems.placement import BYTES_PER_MB
from wigeondrift.systems.reach import Reachability
from wigeondrift.systems.route_repair import RepairPlan, find_repair
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Added to the load of a member in another failure domain, as a fraction of its slots.
REMOTE_DOMAIN_LOAD_PENALTY = 0.5
# Minimum number of peers for choosing routes at random. With this many routers, a
# usage update takes a large fraction of a second to reach all of them, and they would
# all choose the same route in the meantime.
RANDOMIZED_ROUTES_MIN_PEERS = 12
# Time for which an upstream is avoided that turned a request away. Usage by all routers
# is known again after it.
REFUSAL_PENALTY_SECONDS = 0.3
# Time after which the load that an upstream reported is ignored.
REPORTED_LOAD_TTL_SECONDS = 1.0


class PartsHold:
    """Capacity reserved for one request on some stages of its route.

    Attributes
    ----------
    stages : tuple of Stage
    """

    __slots__ = (
        "_has_first_stage",
        "_ledger",
        "_pending_prefill_tokens",
        "_tokens",
        "stages",
    )

    def __init__(
        self,
        stages: tuple[Stage, ...],
        tokens: float,
        pending_prefill_tokens: float,
        ledger: CacheLedger,
        has_first_stage: bool,
    ) -> None:
        self.stages = stages
        self._tokens = tokens
        self._pending_prefill_tokens = pending_prefill_tokens
        self._ledger = ledger
        self._has_first_stage = has_first_stage
        ledger.reserve(
            Route("", stages), tokens, pending_prefill_tokens, has_first_stage
        )

    def record_prompt_read(self) -> None:
        """Remove the tokens that were to be read from the prefill load."""
        if self._pending_prefill_tokens:
            self._ledger.record_prompt_read(
                Route("", self.stages), self._pending_prefill_tokens
            )
            self._pending_prefill_tokens = 0.0

    def retain(self, stages: Collection[Stage]) -> None:
        """Release the stages that are not among ``stages``."""
        kept = tuple(stage for stage in self.stages if stage in stages)
        dropped = tuple(stage for stage in self.stages if stage not in stages)
        if not dropped:
            return
        has_first_stage = self._has_first_stage and dropped[0] == self.stages[0]
        self._ledger.release(
            Route("", dropped),
            self._tokens,
            self._pending_prefill_tokens,
            has_first_stage,
        )
        self._has_first_stage = self._has_first_stage and not has_first_stage
        self.stages = kept

    def release(self) -> None:
        """Release the capacity; a second call does nothing."""
        self.retain(())


class Reservation:
    """Capacity reserved for one request on a route.

    Attributes
    ----------
    chain : Chain
    first_seconds : float
        Expected time to the first event, in seconds.
    """

    __slots__ = ("_demand", "_holds", "_ledger", "chain", "first_seconds")

    def __init__(
        self, offer: RouteOffer, demand: RouteDemand, ledger: CacheLedger
    ) -> None:
        self.chain = offer.chain
        self.first_seconds = offer.first_seconds
        self._demand = demand
        self._ledger = ledger
        stages = self.chain.route.stages
        self._holds = [PartsHold(stages, demand.tokens, demand.prompt, ledger, True)]

    def record_prompt_read(self) -> None:
        """Remove the prompt from the prefill load; called at the first event."""
        for hold in self._holds:
            hold.record_prompt_read()

    def reserve_parts(self, stages: tuple[Stage, ...], read_tokens: float) -> PartsHold:
        """Reserve further stages for the request, which the caller must release.

        Parameters
        ----------
        stages : tuple of Stage
        read_tokens : float
            Tokens that the stages read before the next event.
        """
        return PartsHold(stages, self._demand.tokens, read_tokens, self._ledger, False)

    def add(self, hold: PartsHold) -> None:
        """Take over capacity that is released with the reservation."""
        self._holds.append(hold)

    def move(self, chain: Chain, hold: PartsHold) -> None:
        """Move the reservation to another route whose new stages are reserved."""
        for earlier in self._holds:
            earlier.retain(chain.route.stages)
        self._holds = [kept for kept in self._holds if kept.stages]
        self.add(hold)
        self.chain = chain

    def release(self) -> None:
        """Release the reserved capacity."""
        for hold in self._holds:
            hold.release()


class UpstreamSelector:
    """Selects upstreams by their load and recent failures.

    Parameters
    ----------
    directory : Directory
    failure_domain : str
        Failure domain of this router.
    rng : random.Random
    instance_id : str
        Name of this router.

    Attributes
    ----------
    peer_count : int
        Number of other known routers.
    faults : FaultTable
        Upstreams at fault according to this and other routers.
    outcomes : OutcomeTable
        Answers and losses of members of plain services.
    health : Health
    domain_cut_off : trio.Event
        Set when a failure domain begins to count as cut off.
    reach : Reachability
    ledger : CacheLedger
    limits : RequestLimits
    paces : PaceTable
        Measured paces of runners.
    """

    __slots__ = (
        "_chains_by_service",
        "_directory",
        "_failure_domain",
        "_instance_id",
        "_limit_subscribers",
        "_chains_key_by_service",
        "_logger",
        "_rng",
        "_active_calls_by_id",
        "_reported_load_by_id",
        "_cache_capacity_by_key",
        "_unfit_entry_by_id",
        "back_offs",
        "domain_cut_off",
        "faults",
        "health",
        "ledger",
        "limits",
        "outcomes",
        "paces",
        "peer_count",
        "reach",
    )

    def __init__(
        self,
        directory: Directory,
        failure_domain: str,
        rng: random.Random,
        instance_id: str = "",
    ) -> None:
        self._instance_id = instance_id
        self._directory = directory
        self._failure_domain = failure_domain
        self._rng = rng
        self._chains_by_service: dict[str, ChainSet] = {}
        self._chains_key_by_service: dict[str, object] = {}
        self._cache_capacity_by_key: dict[tuple[str, int], float] = {}
        self._active_calls_by_id: dict[str, int] = {}
        self._reported_load_by_id: dict[str, tuple[float, float]] = {}
        self._limit_subscribers: list[Callable[[LimitNews], None]] = []
        # Entries whose runners report other layers than listed.
        self._unfit_entry_by_id: dict[str, Upstream] = {}
        self._logger = logging.getLogger(LOGGER_NAME)
        self.peer_count = 0
        self.faults = FaultTable(failure_domain)
        self.outcomes = OutcomeTable()
        self.health = Health()
        self.reach = Reachability(failure_domain)
        self.back_offs = BackOffs()
        self.domain_cut_off = trio.Event()
        self.limits = RequestLimits(instance_id)
        self.paces = PaceTable(instance_id)
        self.ledger = CacheLedger(self._get_cache_capacity)

    def _get_cache_capacity(self, runner: Upstream) -> float:
        return self._cache_capacity_by_key.get((runner.kind, runner.held_layers), 0.0)

    def _update_cache_capacities(
        self, engine: EngineSpec, runners: list[Upstream]
    ) -> None:
        for runner in runners:
            kind = engine.accelerators_by_kind.get(runner.kind)
            if kind is None or engine.cache_bytes_per_layer <= 0.0:
                continue
            free = kind.memory_mb - runner.held_layers * engine.layer_mb
            cells = max(0.0, free) * BYTES_PER_MB / engine.cache_bytes_per_layer
            self._cache_capacity_by_key[runner.kind, runner.held_layers] = cells

    def get_chains(self, service: ServiceSpec) -> ChainSet:
        """Return the routes over the runners that are not avoided.

        If those form no route, the avoided runners that may still serve are used too.
        """
        now = trio.current_time()
        runners = self._directory.list_service(service.name)
        avoided_runners = [r for r in runners if self._is_avoided_here(r, now)]
        avoided = frozenset(r.upstream_id for r in avoided_runners)
        told = frozenset(
            r.upstream_id for r in runners if self.faults.is_avoided(r, now)
        )
        failed = frozenset(
            r.upstream_id for r in avoided_runners if self._is_failed(r, now)
        )
        # Engines are compared by value: each configuration has new objects, and waiting
        # requests may hold those of an older one.
        key = (self._directory.change_count, avoided, told, failed, service.engine)
        if key != self._chains_key_by_service.get(service.name):
            self._chains_key_by_service[service.name] = key
            self._rebuild(service, runners, avoided, told, failed)
        return self._chains_by_service[service.name]

    def has_route(self, service: ServiceSpec) -> bool:
        """Whether any route could serve a request if it had capacity."""
        return bool(self.get_chains(service).chains)

    def _is_failed(self, runner: Upstream, now: float) -> bool:
        """Whether it is certain that an avoided runner can't serve requests now."""
        if self._unfit_entry_by_id.get(runner.upstream_id) == runner:
            return True
        return self.reach.is_unreachable(runner.failure_domain, runner.upstream_id, now)

    def record_fitness(self, runner: Upstream, is_fit: bool) -> None:
        """Record whether a runner reports the layers that its entry lists."""
        if is_fit:
            self._unfit_entry_by_id.pop(runner.upstream_id, None)
        else:
            self._unfit_entry_by_id[runner.upstream_id] = runner

    def _rebuild(
        self,
        service: ServiceSpec,
        runners: list[Upstream],
        avoided: frozenset[str],
        told: frozenset[str],
        failed: frozenset[str],
    ) -> None:
        self._update_cache_capacities(service.engine, runners)
        known_ids = self._directory.upstreams_by_id
        self._unfit_entry_by_id = {
            upstream_id: entry
            for upstream_id, entry in self._unfit_entry_by_id.items()
            if upstream_id in known_ids
        }
        usable = [r for r in runners if r.upstream_id not in avoided | told]
        chain_set = ChainSet(service.engine, usable, self.paces)
        if not chain_set.chains and told - avoided:
            # News of other routers alone leave no service without a route.
            usable = [r for r in runners if r.upstream_id not in avoided]
            chain_set = ChainSet(service.engine, usable, self.paces)
        if not chain_set.chains and avoided:
            usable = [r for r in runners if r.upstream_id not in failed]
            chain_set = ChainSet(service.engine, usable, self.paces)
        self._chains_by_service[service.name] = chain_set
        log_event(
            self._logger,
            logging.INFO,
            Event.ROUTES_CHANGED,
            service=service.name,
            runners=len(runners),
            avoided=sorted(avoided),
            told=sorted(told),
            failed=sorted(failed),
            routes=[" ".join(chain.route.instance_ids) for chain in chain_set.chains],
        )

    def is_avoided(self, upstream: Upstream, now: float) -> bool:
        """Whether requests use other upstreams if there are any."""
        return self._is_avoided_here(upstream, now) or self.faults.is_avoided(
            upstream, now
        )

    def _is_avoided_here(self, upstream: Upstream, now: float) -> bool:
        """Whether an upstream is avoided for what this router found itself."""
        if self.health.is_avoided(upstream.upstream_id, now):
            return True
        return self.reach.is_cut_off(upstream.failure_domain, now)

    def record_unreachable(self, upstream: Upstream, reason: str) -> None:
        """Record that an upstream could not be reached, and avoid it."""
        now = trio.current_time()
        domain = upstream.failure_domain
        was_cut_off = self.reach.is_cut_off(domain, now)
        self.reach.record_failure(domain, upstream.upstream_id, now)
        if not was_cut_off and self.reach.is_cut_off(domain, now):
            self.domain_cut_off.set()
            log_event(
                self._logger,
                logging.WARNING,
                Event.DOMAIN_CUT_OFF,
                failure_domain=domain,
                upstream=upstream.upstream_id,
            )
        self.record_failure((upstream.upstream_id,), reason)

    def choose_any(self, upstreams: list[Upstream]) -> Upstream:
        """Return a random upstream, so that routers don't all probe the same one."""
        return self._rng.choice(upstreams)

    def record_answer(self, upstream: Upstream) -> None:
        """Record that an upstream responded, whatever the status."""
        self.reach.record_answer(
            upstream.failure_domain, upstream.upstream_id, trio.current_time()
        )

    def record_leaving(self, upstream: Upstream, request_id: str = "") -> None:
        """Record that an upstream says in an answer that it is leaving."""
        if self._directory.record_leaving(upstream):
            log_event(
                self._logger,
                logging.INFO,
                Event.UPSTREAM_LEAVING,
                upstream=upstream.upstream_id,
                born=upstream.started_at_ms,
                request_id=request_id,
            )

    def record_back_off(
        self, upstream: Upstream, seconds: float, request_id: str
    ) -> None:
        """Send nothing to an upstream for as long as it asks for in an answer."""
        now = trio.current_time()
        left_out = self.back_offs.record(upstream.upstream_id, seconds, now)
        log_event(
            self._logger,
            logging.INFO,
            Event.UPSTREAM_BACK_OFF,
            upstream=upstream.upstream_id,
            asked_seconds=seconds,
            seconds=round(left_out, 3),
            request_id=request_id,
        )

    def choose_chain(
        self, service: ServiceSpec, demand: RouteDemand, excluded: Collection[str]
    ) -> Reservation | None:
        """Reserve a route for a request; return None if none has capacity."""
        offer = self._find_offer(service, demand, excluded)
        if offer is None:
            return None
        return Reservation(offer, demand, self.ledger)

    def has_room(
        self, service: ServiceSpec, demand: RouteDemand, excluded: Collection[str]
    ) -> bool:
        """Whether a route has capacity for a request now."""
        return self._find_offer(service, demand, excluded) is not None

    def _find_offer(
        self, service: ServiceSpec, demand: RouteDemand, excluded: Collection[str]
    ) -> RouteOffer | None:
        rng = self._rng if self.peer_count >= RANDOMIZED_ROUTES_MIN_PEERS else None
        now = trio.current_time()
        return self.get_chains(service).choose(
            demand,
            self.ledger,
            {*excluded, *self.back_offs.list_closed(now)},
            self._failure_domain,
            rng,
            self._instance_id,
            self.limits.list_closed(now),
        )

    def estimate_event_gap(self, service: ServiceSpec, chain: Chain) -> float:
        """Return the expected time between two events on a route, in seconds."""
        # It is asked for at many events and needs no up-to-date routes.
        chain_set = self._chains_by_service.get(service.name)
        if chain_set is None:
            chain_set = self.get_chains(service)
        return chain_set.estimate_event_gap(chain, self.ledger)

    def find_repair(
        self,
        service: ServiceSpec,
        chain: Chain,
        demand: RouteDemand,
        lost: Collection[str],
    ) -> RepairPlan | None:
        """Find a route that replaces the lost runners of another one.

        Parameters
        ----------
        service : ServiceSpec
        chain : Chain
        demand : RouteDemand
            Its prompt is all that new parts have to read.
        lost : collection of str
            Ids of runners that must not be used.
        """
        now = trio.current_time()
        closed = self.back_offs.list_closed(now)
        # The activations of all tokens so far go to the new parts. Between failure
        # domains they share one link, which those of some dozens of streams fill for
        # longer than callers wait.
        domain = chain.runners[0].failure_domain
        runners = [
            runner
            for runner in self._directory.list_service(service.name)
            if (runner.failure_domain == domain or runner in chain.runners)
            and runner.upstream_id not in closed
            and not self.is_avoided(runner, now)
        ]
        return find_repair(
            self.get_chains(service), chain, lost, runners, demand, self.ledger
        )

    def reserve_repaired(
        self,
        service: ServiceSpec,
        chain: Chain,
        demand: RouteDemand,
        lost: Collection[str],
    ) -> Reservation | None:
        """Reserve a route that replaces lost runners for a request that has not run.

        Returns
        -------
        Reservation or None
            None if the first runner takes no requests now or there is no capacity.
        """
        now = trio.current_time()
        first = chain.runners[0]
        closed = {*self.limits.list_closed(now), *self.back_offs.list_closed(now)}
        listed = self._directory.upstreams_by_id.get(first.upstream_id)
        if (
            listed is None
            or listed.is_leaving
            or listed.started_at_ms != first.started_at_ms
            or first.upstream_id in closed
            or self.is_avoided(first, now)
        ):
            return None
        plan = self.find_repair(service, chain, demand, lost)
        if plan is None:
            return None
        offer = self.get_chains(service).make_offer(plan.chain, demand, self.ledger)
        return None if offer is None else Reservation(offer, demand, self.ledger)

    def list_lost(self, chain: Chain) -> list[str]:
        """Return the runners of a route that are avoided or no longer run as then."""
        now = trio.current_time()
        return [
            runner.upstream_id
            for runner in chain.runners
            if self.is_avoided(runner, now) or self._is_gone(runner)
        ]

    def _is_gone(self, runner: Upstream) -> bool:
        known = self._directory.upstreams_by_id.get(runner.upstream_id)
        return known is None or known.started_at_ms != runner.started_at_ms

    def get_service_rate(self, service: ServiceSpec) -> float:
        """Return the requests per second that the routes of a service serve."""
        chains = self.get_chains(service)
        return sum(chains.get_rate(chain, self.ledger) for chain in chains.chains)

    def fits_idle(
        self, service: ServiceSpec, demand: RouteDemand, excluded: Collection[str]
    ) -> bool:
        """Whether a request would have a route if no other were running."""
        idle = CacheLedger(self._get_cache_capacity)
        chains = self.get_chains(service)
        return chains.choose(demand, idle, excluded, self._failure_domain) is not None

    def get_wait(self, service: ServiceSpec, excluded: Collection[str]) -> float:
        """Return the time until some upstream may take a request, in seconds.

        It is zero if an upstream that may be used is neither at its limit nor left out
        because it asked for it, or if there is no upstream.
        """
        now = trio.current_time()
        if self.limits.is_empty and not self.back_offs.list_closed(now):
            return 0.0
        if service.engine is not None and service.engine.layers:
            routes = [
                chain.route.instance_ids
                for chain in self.get_chains(service).chains
                if not set(excluded).intersection(chain.route.instance_ids)
            ]
        else:
            members = self._list_members(service.name, excluded)
            routes = [(member.upstream_id,) for member in members]
        # Only the first upstream of a route has a limit for requests.
        waits = [
            max(
                self.limits.get_wait(route[0], now),
                self.back_offs.get_wait(route, now),
            )
            for route in routes
        ]
        return min(waits, default=0.0)

    def _list_members(self, service: str, excluded: Collection[str]) -> list[Upstream]:
        return [
            upstream
            for upstream in self._directory.list_service(service)
            if upstream.upstream_id not in excluded
        ]

    def choose_member(
        self, service: str, excluded: Collection[str], is_repeatable: bool = True
    ) -> Upstream | None:
        """Return the member of a plain service with the least load and expected loss.

        Members that are avoided are used only if there are no others, and members at
        their limit not at all. Expected loss weighs more for a request that may not
        run again.
        """
        now = trio.current_time()
        closed = {*self.limits.list_closed(now), *self.back_offs.list_closed(now)}
        members = [
            member
            for member in self._list_members(service, excluded)
            if member.upstream_id not in closed
        ]
        healthy = [m for m in members if not self._is_avoided_here(m, now)]
        untold = [m for m in healthy if not self.faults.is_avoided(m, now)]
        candidates = untold or healthy or members
        if not candidates:
            return None
        weight = LOSS_WEIGHT_REPEATABLE if is_repeatable else LOSS_WEIGHT_ONCE

        def estimate_cost(member: Upstream) -> tuple[float, float]:
            load, tie_breaker = self._estimate_member_load(member, now)
            loss = self.outcomes.estimate_loss(member, now)
            return (load + weight * loss, tie_breaker)

        return min(candidates, key=estimate_cost)

    def _estimate_member_load(
        self, member: Upstream, now: float
    ) -> tuple[float, float]:
        load = self._get_load_share(member, now)
        if member.failure_domain != self._failure_domain:
            load += REMOTE_DOMAIN_LOAD_PENALTY
        return (load, self._rng.random())

    def list_ids(self, service: ServiceSpec) -> set[str]:
        """Return the ids of all upstreams of a service."""
        return {u.upstream_id for u in self._directory.list_service(service.name)}

    def list_spare(self, service: ServiceSpec) -> list[Upstream] | None:
        """Return the upstreams that extra work may use, None if there is none to spare.

        There is none while an upstream of the service has a limit or wants no requests.
        Upstreams that are avoided and members without a free slot are left out.
        """
        now = trio.current_time()
        upstreams = self._directory.list_service(service.name)
        closed = self.back_offs.list_closed(now)
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in closed or self.limits.get_limit(upstream_id) is not None:
                return None
        is_plain = service.engine is None or not service.engine.layers
        return [
            upstream
            for upstream in upstreams
            if not self.is_avoided(upstream, now)
            and not (is_plain and self._get_load_share(upstream, now) >= 1.0)
        ]

    def _get_load_share(self, member: Upstream, now: float) -> float:
        """Return the requests at a member of a plain service, divided by its slots."""
        load = float(self._active_calls_by_id.get(member.upstream_id, 0))
        reported = self._reported_load_by_id.get(member.upstream_id)
        if reported is not None and now - reported[0] < REPORTED_LOAD_TTL_SECONDS:
            load = max(load, reported[1])
        return load / member.slots

    def record_start(self, upstream_id: str) -> None:
        """Count a request sent to a member of a plain service."""
        running = self._active_calls_by_id.get(upstream_id, 0)
        self._active_calls_by_id[upstream_id] = running + 1

    def record_end(self, upstream_id: str) -> None:
        """Count the end of a request to a member of a plain service."""
        left = self._active_calls_by_id.pop(upstream_id, 1) - 1
        if left > 0:
            self._active_calls_by_id[upstream_id] = left

    def record_load(self, upstream_id: str, requests: int) -> None:
        """Record the load that an upstream reported with a response."""
        self._reported_load_by_id[upstream_id] = (trio.current_time(), float(requests))

    def record_limit(
        self,
        upstream: Upstream,
        limit: float | None,
        asked_at: float,
        request_id: str,
    ) -> None:
        """Record the limit in an upstream's response; None if it named none.

        Parameters
        ----------
        upstream : Upstream
        limit : float or None
            Requests per second.
        asked_at : float
            Time at which the request was sent, in seconds.
        request_id : str
        """
        known = self.limits.get_limit(upstream.upstream_id)
        news = self.limits.record_answer(
            upstream.upstream_id, limit, asked_at, trio.current_time()
        )
        if news is None:
            return
        if limit != known:
            log_event(
                self._logger,
                logging.INFO,
                Event.UPSTREAM_LIMITED,
                upstream=upstream.upstream_id,
                limit=limit,
                known=known,
                request_id=request_id,
            )
        for callback in self._limit_subscribers:
            callback(news)

    def apply_limit_news(self, news: LimitNews) -> None:
        """Apply the message of another router about a limit."""
        self.limits.apply_news(news, trio.current_time())

    def subscribe_to_limits(self, callback: Callable[[LimitNews], None]) -> None:
        """Call ``callback`` with the limits that other routers should know."""
        self._limit_subscribers.append(callback)

    def forget_absent_upstreams(self) -> None:
        """Forget the limits of upstreams that are not listed."""
        self.limits.retain(self._directory.upstreams_by_id)

    def record_failure(self, upstream_ids: Collection[str], reason: str) -> None:
        """Avoid upstreams for some time."""
        now = trio.current_time()
        for upstream_id in upstream_ids:
            if self.health.record_failure(upstream_id, now):
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.UPSTREAM_AVOIDED,
                    upstream=upstream_id,
                    reason=reason,
                )

    def record_refusal(self, upstream_ids: Collection[str]) -> None:
        """Avoid upstreams briefly that turned a request away.

        Most are short of memory for as long as it takes some requests to end. To avoid
        them for longer would leave their whole routes unused at the load's peak.
        """
        now = trio.current_time()
        for upstream_id in upstream_ids:
            self.health.avoid_briefly(upstream_id, now, REFUSAL_PENALTY_SECONDS)

    def find_upstream_at(self, address: str) -> str | None:
        """Return the id of the upstream at an address, or None."""
        return self._directory.find_by_address(address)
