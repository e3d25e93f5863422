"""Wires the parts of a router process."""

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path

from wigeondrift.application import Application
from wigeondrift.errors import SettingsError
from wigeondrift.platform.configuration import CONFIGURATION_KEY, decode_configuration
from wigeondrift.platform.requests import READINESS_PATH, PlatformDialect
from wigeondrift.platform.settings import SETTINGS_VARIABLE, parse_settings
from wigeondrift.platform.store import HttpRevisionStore
from wigeondrift.platform.upstreams import (
    UPSTREAMS_PREFIX,
    HttpRunnerControl,
    decode_upstream,
)
from wigeondrift.router.attempt import Sender
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
from wigeondrift.router.probing import Prober
from wigeondrift.router.relay import Relay, RelayedSource
from wigeondrift.router.reload import LOOK_SECONDS as RELOAD_SECONDS
from wigeondrift.router.reload import Reloader
from wigeondrift.router.replica import (
    EXPIRE_SECONDS,
    Replica,
    StoreLayout,
    get_elapsed,
)
from wigeondrift.router.settings import RouterSettings
from wigeondrift.router.sources import StoreSource
from wigeondrift.router.waiting import LOOK_SECONDS, WaitingRoom
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.exchange import UsageExchange
from wigeondrift.systems.freshness import Freshness
from wigeondrift.systems.relays import RelayTable
from wigeondrift.telemetry.events import configure_rate_limited_logging
from wigeondrift.telemetry.metrics import Metrics, PrometheusMetrics
from wigeondrift.timer import TimerService, TrioClock
from wigeondrift.wire.http_client import HttpClient

# Descriptors kept for connections to upstreams, the store and the files of a process.
RESERVED_DESCRIPTORS = 1000
LEAST_CONNECTIONS = 64
METRICS_PORT = 9464
IDLE_CONNECTIONS = 32
# Pause between two looks for idle connections that are too old, in seconds.
PRUNE_SECONDS = 1.0
# A runner or the store answers a connection within milliseconds.
CONNECT_SECONDS = 0.5


class RouterParts:
    """The parts of a router that need no socket of their own.

    Parameters
    ----------
    settings : RouterSettings
    client, store_client, peer_client : HttpClient
        Reach upstreams, the store and other routers.
    metrics : Metrics
    rng : random.Random
    get_time : callable, optional
        Clock that counts the time of a suspended machine, in seconds.
    """

    __slots__ = (
        "choice",
        "client",
        "directory",
        "forwarder",
        "freshness",
        "membership",
        "planner",
        "prober",
        "readiness",
        "relay",
        "relays",
        "replica",
        "source",
        "store",
        "waiting",
    )

    def __init__(
        self,
        settings: RouterSettings,
        client: HttpClient,
        store_client: HttpClient,
        peer_client: HttpClient,
        metrics: Metrics,
        rng: random.Random,
        get_time: Callable[[], float] = get_elapsed,
    ) -> None:
        bounds = settings.bounds
        self.client = client
        self.store = HttpRevisionStore(store_client, settings.store_address)
        self.directory = Directory(settings.heartbeat)
        self.freshness = Freshness(bounds.key_revocation)
        layout = StoreLayout(
            CONFIGURATION_KEY, UPSTREAMS_PREFIX, decode_configuration, decode_upstream
        )
        self.relays = RelayTable(settings.instance_id)
        self.source = RelayedSource(
            StoreSource(self.store, self.freshness, self.relays, bounds, get_time),
            self.relays,
            lambda: self.membership.list_addresses(),
            peer_client,
            bounds,
            get_time,
        )
        self.replica = Replica(
            self.store,
            self.source,
            layout,
            self.directory,
            self.freshness,
            get_time,
        )
        self.choice = Choice(self.directory, settings.failure_domain, rng)
        self.waiting = WaitingRoom(self.choice)
        entry = RouterEntry(
            f"{settings.host}:{settings.peer_port}",
            settings.failure_domain,
            settings.link_mbps,
        )
        self.membership = Membership(
            self.store, self.replica, settings.instance_id, entry
        )
        self.replica.subscribe(
            lambda: self.relays.set_members(self.membership.list_links())
        )
        self.relay = Relay(
            self.replica, self.relays, bounds, settings.host, settings.peer_port
        )
        control = HttpRunnerControl(client)
        reach = self.choice.reach
        self.planner = Planner(
            self.store,
            self.replica,
            self.directory,
            control,
            settings.instance_id,
            lambda: self.relays.may_lead,
            lambda runner, now: reach.is_lost(
                runner.failure_domain, runner.upstream_id, now
            ),
        )
        self.prober = Prober(self.replica, self.directory, self.choice, control)
        dialect = PlatformDialect()
        self.forwarder = Forwarder(
            replica=self.replica,
            choice=self.choice,
            waiting=self.waiting,
            membership=self.membership,
            sender=Sender(self.choice, client, control, dialect, metrics),
            dialect=dialect,
            bounds=bounds,
            metrics=metrics,
            rng=rng,
        )
        self.readiness = Readiness(
            self.replica, lambda: bool(self.directory.upstreams_by_id)
        )

    def subscribe(self, timer: TimerService, reloader: Reloader) -> None:
        """Subscribe the periodic parts and those that follow the settings."""
        timer.subscribe("settings", RELOAD_SECONDS, reloader.look)
        timer.subscribe("expire", EXPIRE_SECONDS, self.replica.expire)
        timer.subscribe("prune", PRUNE_SECONDS, self.client.prune)
        timer.subscribe("waiting", LOOK_SECONDS, self.waiting.look)
        reloader.subscribe(lambda settings: self.store.move(settings.store_address))
        reloader.subscribe(
            lambda settings: self.freshness.rebound(settings.bounds.key_revocation)
        )
        reloader.subscribe(lambda settings: self.source.rebound(settings.bounds))
        reloader.subscribe(lambda settings: self.relay.rebound(settings.bounds))
        reloader.subscribe(lambda settings: self.forwarder.rebound(settings.bounds))


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
    configure_rate_limited_logging("INFO", instance_id=settings.instance_id)
    timer = TimerService(TrioClock())
    metrics = PrometheusMetrics()
    parts = RouterParts(
        settings,
        HttpClient(CONNECT_SECONDS, IDLE_CONNECTIONS),
        HttpClient(CONNECT_SECONDS, IDLE_CONNECTIONS),
        HttpClient(CONNECT_SECONDS),
        metrics,
        random.Random(),
    )
    reloader = Reloader(settings, load)
    parts.subscribe(timer, reloader)
    exchange = UsageExchange(
        settings.instance_id,
        settings.failure_domain,
        settings.link_mbps,
        parts.choice.ledger,
    )
    peers = PeerExchange(
        parts.choice,
        parts.membership,
        exchange,
        settings.instance_id,
        settings.host,
        settings.peer_port,
    )
    parts.replica.subscribe(peers.note_members)
    components = [
        ReadyListener(settings.ready_address, READINESS_PATH, parts.readiness),
        MetricsListener(f"{settings.host}:{METRICS_PORT}", metrics),
        parts.relay,
        parts.replica,
        parts.membership,
        peers,
        parts.planner,
        parts.prober,
        timer,
        CallerListener(
            settings.caller_address,
            parts.forwarder,
            parts.replica,
            parts.readiness,
            settings.bounds.grace,
            max(LEAST_CONNECTIONS, settings.descriptors - RESERVED_DESCRIPTORS),
        ),
    ]
    return Application(components, settings.bounds.grace), reloader


def load_settings() -> RouterSettings:
    """Read the settings file that the environment names.

    Raises
    ------
    SettingsError
        If there is none or it does not pass its checks.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError("", SETTINGS_VARIABLE, "the variable is not set")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(path, "$", error.strerror or "unreadable") from error
    return parse_settings(text, path)


def exit_with(error: SettingsError) -> None:
    """End the process with the reason on standard error."""
    sys.exit(f"wigeondrift-router: {error}")
