"""Selection of upstreams: routes over runners and members of plain services."""

import logging
import random
from collections.abc import Callable, Collection

import trio

from wigeondrift.router.entities import EngineSpec, ServiceSpec, Upstream
from wigeondrift.systems.back_offs import BackOffs
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.chains import ChainSet, RouteDemand, RouteOffer
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.faults import FaultTable
from wigeondrift.systems.health import Health
from wigeondrift.systems.limits import LimitNews, RequestLimits
from wigeondrift.systems.outcomes import (
    LOSS_WEIGHT_ONCE,
    LOSS_WEIGHT_REPEATABLE,
    OutcomeTable,
)
from wigeondrift.systems.placement import BYTES_PER_MB
from wigeondrift.systems.reach import Reachability
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Added to the load of a member in another failure domain, as a fraction of its slots.
REMOTE_DOMAIN_LOAD_PENALTY = 0.5
# Minimum number of peers for choosing routes at random. With this many routers, a
# usage update takes a large fraction of a second to reach all of them, and they would
# all choose the same route in the meantime.
RANDOMIZED_ROUTES_MIN_PEERS = 12
# Time after which the load that an upstream reported is ignored.
REPORTED_LOAD_TTL_SECONDS = 1.0


class Reservation:
    """Capacity reserved for one request on a route.

    Attributes
    ----------
    chain : Chain
    first_seconds : float
        Expected time to the first event, in seconds.
    """

    __slots__ = (
        "_demand",
        "_ledger",
        "_pending_prefill_tokens",
        "chain",
        "first_seconds",
    )

    def __init__(
        self, offer: RouteOffer, demand: RouteDemand, ledger: CacheLedger
    ) -> None:
        self.chain = offer.chain
        self.first_seconds = offer.first_seconds
        self._demand = demand
        self._ledger = ledger
        self._pending_prefill_tokens = demand.prompt
        ledger.reserve(self.chain.route, demand.tokens, demand.prompt)

    def record_prompt_read(self) -> None:
        """Remove the prompt from the prefill load; called at the first event."""
        if self._pending_prefill_tokens:
            self._ledger.record_prompt_read(
                self.chain.route, self._pending_prefill_tokens
            )
            self._pending_prefill_tokens = 0.0

    def release(self) -> None:
        """Release the reserved capacity."""
        self._ledger.release(
            self.chain.route, self._demand.tokens, self._pending_prefill_tokens
        )


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
    reach : Reachability
    ledger : CacheLedger
    limits : RequestLimits
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
        "faults",
        "health",
        "ledger",
        "limits",
        "outcomes",
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
        self.limits = RequestLimits(instance_id)
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
        chain_set = ChainSet(service.engine, usable)
        if not chain_set.chains and told - avoided:
            # News of other routers alone leave no service without a route.
            usable = [r for r in runners if r.upstream_id not in avoided]
            chain_set = ChainSet(service.engine, usable)
        if not chain_set.chains and avoided:
            usable = [r for r in runners if r.upstream_id not in failed]
            chain_set = ChainSet(service.engine, usable)
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
            log_event(
                self._logger,
                logging.WARNING,
                Event.DOMAIN_CUT_OFF,
                failure_domain=domain,
                upstream=upstream.upstream_id,
            )
        self.record_failure((upstream.upstream_id,), reason)

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
        rng = self._rng if self.peer_count >= RANDOMIZED_ROUTES_MIN_PEERS else None
        now = trio.current_time()
        offer = self.get_chains(service).choose(
            demand,
            self.ledger,
            {*excluded, *self.back_offs.list_closed(now)},
            self._failure_domain,
            rng,
            self._instance_id,
            self.limits.list_closed(now),
        )
        if offer is None:
            return None
        return Reservation(offer, demand, self.ledger)

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
        load = float(self._active_calls_by_id.get(member.upstream_id, 0))
        reported = self._reported_load_by_id.get(member.upstream_id)
        if reported is not None and now - reported[0] < REPORTED_LOAD_TTL_SECONDS:
            load = max(load, reported[1])
        load /= member.slots
        if member.failure_domain != self._failure_domain:
            load += REMOTE_DOMAIN_LOAD_PENALTY
        return (load, self._rng.random())

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
            if not self.health.is_avoided(upstream_id, now):
                self.health.record_failure(upstream_id, now)
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.UPSTREAM_AVOIDED,
                    upstream=upstream_id,
                    reason=reason,
                )

    def find_upstream_at(self, address: str) -> str | None:
        """Return the id of the upstream at an address, or None."""
        return self._directory.find_by_address(address)
