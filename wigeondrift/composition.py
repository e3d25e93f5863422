"""Composition root: creates and connects the components of each program."""

import logging
import random
import time
from collections.abc import Callable

from wigeondrift.agent.agent import Agent
from wigeondrift.agent.loads import LoadPoller
from wigeondrift.application import Application
from wigeondrift.entry.claims import KeyClaimStore
from wigeondrift.entry.engine_http import HttpEngine
from wigeondrift.entry.gate import make_gate
from wigeondrift.entry.gateway import Gateway
from wigeondrift.entry.generation import Generator
from wigeondrift.entry.model_api import ModelApi
from wigeondrift.entry.orders import OrderExecutor
from wigeondrift.entry.policy import Policy
from wigeondrift.entry.request_ids import RequestIds
from wigeondrift.entry.runs import make_runs
from wigeondrift.entry.service_api import ServiceApi
from wigeondrift.entry.service_http import HttpPlainService
from wigeondrift.settings import AgentSettings, EntrySettings
from wigeondrift.store.contract import PlatformStore
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.systems.agent_session import AgentSession
from wigeondrift.systems.control import AgentControl
from wigeondrift.systems.quarantine import Quarantine
from wigeondrift.systems.routing import Routing
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.events import configure_logging
from wigeondrift.telemetry.metrics import FLUSH_INTERVAL_SECONDS, Metrics, make_metrics
from wigeondrift.telemetry.tracing import Tracer, make_tracer
from wigeondrift.timer import Clock, TimerService, TrioClock, WallClock
from wigeondrift.wire.agent_link import AgentLink
from wigeondrift.wire.http_client import HttpClient

AGENT_STOP_TIMEOUT_SECONDS = 5.0
DEMAND_INTERVAL_SECONDS = 0.25
SUSPECTS_INTERVAL_SECONDS = 0.2


def make_incarnation() -> int:
    """Return a number that increases with each start: milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def compose_entry(
    settings: EntrySettings,
    make_policy: Callable[[EntrySettings, Tables], Policy] = Policy,
) -> Application:
    """Create the application of one entry.

    Parameters
    ----------
    settings : EntrySettings
    make_policy : callable, optional
        Creates the policy, whose replaceable parts determine the behaviour under load.
    """
    incarnation = make_incarnation()
    logger = configure_logging(
        settings.telemetry.log_level,
        instance_id=settings.instance_id,
        process=settings.process,
    )
    tables = Tables()
    clock = TrioClock()
    timer = TimerService(clock)
    metrics = make_metrics(settings.telemetry.statsd)
    tracer = make_tracer(settings.telemetry.otlp, settings.instance_id)
    client = HttpClient()
    store = HttpPlatformStore(client, settings.platform)
    link = _make_link(settings, tables, store, incarnation, clock, timer, logger)
    policy = make_policy(settings, tables)
    routing = policy.make_routing(random.Random())
    generator = _make_generator(
        settings, tables, routing, link, client, clock, tracer, metrics
    )
    executor = OrderExecutor(
        KeyClaimStore(store, clock),
        HttpPlainService(client),
        routing,
        tables,
        clock,
        WallClock(),
        settings.requests,
        random.Random(),
    )
    gate = make_gate(policy, clock, timer)
    runs = make_runs(settings, clock, timer)
    gateway = Gateway(
        settings,
        tables,
        RequestIds(settings.instance_id, settings.process, incarnation),
        gate,
        runs,
        ModelApi(tables, settings.requests, gate, runs, generator, metrics, tracer),
        ServiceApi(tables, gate, executor, metrics, tracer),
        metrics,
        tracer,
        link.announce_stop,
    )

    async def report_demand(now: float) -> None:
        for demand in gate.collect_demand():
            link.report_demand(*demand)

    timer.subscribe("demand", DEMAND_INTERVAL_SECONDS, report_demand)
    timer.subscribe("suspects", SUSPECTS_INTERVAL_SECONDS, generator.tick)
    timer.subscribe("gauges", FLUSH_INTERVAL_SECONDS, gateway.record_gauges)
    timer.subscribe("metrics", FLUSH_INTERVAL_SECONDS, metrics.flush)
    stop_bound = settings.stop.notice + settings.stop.bound
    return Application([link, timer, generator, executor, gateway], stop_bound)


def _make_link(
    settings: EntrySettings,
    tables: Tables,
    store: PlatformStore,
    incarnation: int,
    clock: Clock,
    timer: TimerService,
    logger: logging.Logger,
) -> AgentLink:
    agent_session = AgentSession(
        tables,
        f"{settings.instance_id}/{settings.process}",
        settings.post,
        incarnation,
        settings.agent,
        settings.configured_instances,
        random.Random(),
    )
    return AgentLink(agent_session, settings.post, store, clock, timer, logger)


def _make_generator(
    settings: EntrySettings,
    tables: Tables,
    routing: Routing,
    link: AgentLink,
    client: HttpClient,
    clock: Clock,
    tracer: Tracer,
    metrics: Metrics,
) -> Generator:
    def report_leaving(instance_id: str) -> None:
        instance = tables.instances_by_id.get(instance_id)
        if instance is not None:
            link.report_leaving(instance_id, instance.incarnation)

    generator = Generator(
        HttpEngine(client),
        routing,
        Quarantine(tables),
        settings.requests,
        clock,
        link.report_suspects,
        report_leaving,
        tracer,
        metrics,
    )
    link.subscribe_suspects(generator.merge_suspects)
    return generator


def compose_agent(settings: AgentSettings) -> Application:
    """Create the application of the agent of one instance."""
    logger = configure_logging(
        settings.telemetry.log_level, instance_id=settings.instance_id
    )
    clock = TrioClock()
    rng = random.Random()
    client = HttpClient()
    control = AgentControl(
        settings.instance_id,
        settings.failure_domain,
        settings.post,
        make_incarnation(),
        settings.seeds,
        rng,
        settings.configured_instances,
    )
    agent = Agent(
        settings,
        control,
        HttpPlatformStore(client, settings.platform),
        LoadPoller(client),
        TimerService(clock),
        clock,
        rng,
        logger,
    )
    return Application([agent], AGENT_STOP_TIMEOUT_SECONDS)
