"""Wires the parts of a router process."""

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path

from wigeondrift.application import Application
from wigeondrift.errors import SettingsError
from wigeondrift.events import configure_bounded_logging
from wigeondrift.http_client import HttpClient
from wigeondrift.metrics import PrometheusMetrics
from wigeondrift.platform.configuration import CONFIGURATION_KEY, decode_configuration
from wigeondrift.platform.requests import READINESS_PATH, PlatformDialect
from wigeondrift.platform.settings import SETTINGS_VARIABLE, parse_settings
from wigeondrift.platform.store import HttpRevisionStore
from wigeondrift.platform.upstreams import (
    UPSTREAMS_PREFIX,
    HttpRunnerControl,
    decode_upstream,
)
from wigeondrift.router.choice import Choice
from wigeondrift.router.forwarding import Forwarder
from wigeondrift.router.listeners import (
    CallerListener,
    MetricsListener,
    Readiness,
    ReadyListener,
)
from wigeondrift.router.membership import Membership, RouterEntry
from wigeondrift.router.peers import PeerExchange
from wigeondrift.router.planner import Planner
from wigeondrift.router.reload import LOOK_SECONDS as RELOAD_SECONDS
from wigeondrift.router.reload import Reloader
from wigeondrift.router.replica import (
    EXPIRE_SECONDS,
    Replica,
    StoreLayout,
)
from wigeondrift.router.settings import RouterSettings
from wigeondrift.router.waiting import LOOK_SECONDS, WaitingRoom
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.freshness import Freshness
from wigeondrift.timer import TimerService, TrioClock

# Descriptors kept for connections to upstreams, the store and the files of a process.
RESERVED_DESCRIPTORS = 1000
METRICS_PORT = 9464
IDLE_CONNECTIONS = 32
# A runner or the store answers a connection within milliseconds.
CONNECT_SECONDS = 0.5


def compose_router(
    settings: RouterSettings, load: Callable[[], RouterSettings]
) -> tuple[Application, Reloader]:
    """Wire one router.

    Parameters
    ----------
    settings : RouterSettings
    load : callable
        Reads the settings again.
    """
    configure_bounded_logging("INFO", instance_id=settings.instance_id)
    timer = TimerService(TrioClock())
    metrics = PrometheusMetrics()
    bounds = settings.bounds
    store = HttpRevisionStore(
        HttpClient(CONNECT_SECONDS, IDLE_CONNECTIONS), settings.store_address
    )
    client = HttpClient(CONNECT_SECONDS, IDLE_CONNECTIONS)
    directory = Directory(settings.heartbeat)
    layout = StoreLayout(
        CONFIGURATION_KEY, UPSTREAMS_PREFIX, decode_configuration, decode_upstream
    )
    freshness = Freshness(bounds.key_revocation)
    replica = Replica(store, layout, directory, freshness)
    choice = Choice(directory, settings.failure_domain, random.Random())
    waiting = WaitingRoom(choice)
    entry = RouterEntry(
        f"{settings.host}:{settings.peer_port}", settings.failure_domain
    )
    membership = Membership(store, replica, settings.instance_id, entry)
    peers = PeerExchange(
        choice.ledger,
        membership,
        settings.instance_id,
        settings.failure_domain,
        settings.host,
        settings.peer_port,
    )
    control = HttpRunnerControl(client)
    planner = Planner(store, replica, directory, control, settings.instance_id)
    forwarder = Forwarder(
        replica=replica,
        directory=directory,
        choice=choice,
        waiting=waiting,
        membership=membership,
        client=client,
        control=control,
        dialect=PlatformDialect(),
        bounds=bounds,
        metrics=metrics,
        rng=random.Random(),
    )
    readiness = Readiness(replica, lambda: bool(directory.upstreams_by_id))
    reloader = Reloader(settings, load)
    reloader.subscribe(lambda changed: store.move(changed.store_address))
    reloader.subscribe(lambda changed: freshness.rebound(changed.bounds.key_revocation))
    reloader.subscribe(lambda changed: forwarder.rebound(changed.bounds))
    timer.subscribe("settings", RELOAD_SECONDS, reloader.look)
    timer.subscribe("expire", EXPIRE_SECONDS, replica.expire)
    timer.subscribe("waiting", LOOK_SECONDS, waiting.look)
    components = [
        ReadyListener(settings.ready_address, READINESS_PATH, readiness),
        MetricsListener(f"{settings.host}:{METRICS_PORT}", metrics),
        replica,
        membership,
        peers,
        planner,
        timer,
        CallerListener(
            settings.caller_address,
            forwarder,
            replica,
            readiness,
            bounds.grace,
            max(64, settings.descriptors - RESERVED_DESCRIPTORS),
        ),
    ]
    return Application(components, bounds.grace), reloader


def load_settings() -> RouterSettings:
    """Read the settings file that the environment names.

    Raises
    ------
    SettingsError
        If there is none or it does not pass its checks.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_VARIABLE} is not set")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"the settings can't be read: {error}") from error
    return parse_settings(text)


def exit_with(error: SettingsError) -> None:
    """End the process with the reason on standard error."""
    sys.exit(f"wigeondrift-router: {error}")
