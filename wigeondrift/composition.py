"""The one composition root: wires the parts of each program."""

import random
import time

from wigeondrift.agent import Agent
from wigeondrift.application import Application
from wigeondrift.events import configure_logging
from wigeondrift.http import HttpClient
from wigeondrift.loads import LoadPoller
from wigeondrift.platform_http import HttpPlatformStore
from wigeondrift.settings import AgentSettings
from wigeondrift.systems.control import AgentControl
from wigeondrift.timer import TimerService, TrioClock

AGENT_STOP_SECONDS = 5.0


def make_incarnation() -> int:
    """Return a number that grows with each start: milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def compose_agent(settings: AgentSettings) -> Application:
    """Wire the agent of one instance."""
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
    return Application([agent], AGENT_STOP_SECONDS)
