"""Composition of a router process from its components."""

import os
import random
import sys
from collections.abc import Callable
from pathlib import Path

from wigeondrift.application import Application
from wigeondrift.errors import SettingsError
from wigeondrift.platform.configuration import CONFIGURATION_KEY, decode_configuration
from wigeondrift.platform.requests import READINESS_PATH, PlatformHeaderCodec
from wigeondrift.platform.settings import SETTINGS_VARIABLE, parse_settings
from wigeondrift.platform.store import HttpRevisionStore
from wigeondrift.platform.upstreams import (
    UPSTREAMS_PREFIX,
    HttpRunnerControl,
    decode_upstream,
)
from wigeondrift.router.attempt import Sender
from wigeondrift.router.faults import SharedFaults
from wigeondrift.router.forwarding import Forwarder
from wigeondrift.router.listeners import (
    CallerListener,
    MetricsListener,
    Readiness,
    ReadyListener,
)
from wigeondrift.router.membership import Membership, RouterEntry
from wigeondrift.router.peers import PeerExchange
from wigeondrift.router.permits import Permits
from wigeondrift.router.planner import Planner
from wigeondrift.router.probing import Prober
from wigeondrift.router.relay import Relay, RelayedSource
from wigeondrift.router.reload import POLL_SECONDS as RELOAD_SECONDS
from wigeondrift.router.reload import Reloader
from wigeondrift.router.repeat_pool import SharedRepeats
from wigeondrift.router.replica import (
    EXPIRE_SECONDS,
    Replica,
    StoreLayout,
    get_boot_time,
)
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.router.settings import RouterSettings
from wigeondrift.router.sources import StoreSource
from wigeondrift.router.suspects import SuspectRegistry
from wigeondrift.router.wait_queue import POLL_SECONDS, WaitQueue
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.exchange import UsageExchange
from wigeondrift.systems.faults import FaultNews
from wigeondrift.systems.freshness import Freshness
from wigeondrift.systems.limits import (
    LimitNews,
    PermitAnswer,
    PermitRequest,
    PresenceAnswer,
    PresenceRequest,
)
from wigeondrift.systems.outcomes import OutcomeNews
from wigeondrift.systems.relays import RelayTable
from wigeondrift.systems.repeat_pool import (
    RepeatAnswer,
    RepeatPool,
    RepeatRequest,
    ShareAnswer,
    ShareRequest,
)
from wigeondrift.systems.suspects import DeathNews, SoundNews, TrialNews
from wigeondrift.telemetry.events import configure_rate_limited_logging
from wigeondrift.telemetry.metrics import Metrics, PrometheusMetrics
from wigeondrift.timer import TimerService, TrioClock
from wigeondrift.wire.http_client import HttpClient

# File descriptors reserved for connections to upstreams and the store and for files.
RESERVED_DESCRIPTORS = 1000
MIN_CONNECTIONS = 64
METRICS_PORT = 9464
INCARNATION_BITS = 62
# A router that has restarted must not take answers to its requests of before.
PERMIT_NUMBER_BITS = 48
MAX_IDLE_PER_ADDRESS = 32
# Interval at which idle connections that are too old are closed.
PRUNE_SECONDS = 1.0
# Time limit of connecting; a runner or the store accepts within milliseconds.
CONNECT_SECONDS = 0.5


class RouterParts:
    """The components of a router that are wired without opening a socket.

    Parameters
    ----------
    settings : RouterSettings
    client, store_client, peer_client : HttpClient
        Clients for upstreams, the store and other routers.
    metrics : Metrics
    rng : random.Random
    get_time : callable, optional
        Clock that includes time spent suspended, in seconds.
    """

    __slots__ = (
        "selector",
        "client",
        "directory",
        "faults",
        "forwarder",
        "freshness",
        "membership",
        "permits",
        "planner",
        "prober",
        "readiness",
        "relay",
        "relays",
        "repeats",
        "replica",
        "source",
        "store",
        "suspects",
        "wait_queue",
    )

    def __init__(
        self,
        settings: RouterSettings,
        client: HttpClient,
        store_client: HttpClient,
        peer_client: HttpClient,
        metrics: Metrics,
        rng: random.Random,
        get_time: Callable[[], float] = get_boot_time,
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
        store_source = StoreSource(
            self.store, self.freshness, self.relays, bounds, get_time
        )
        self.source = RelayedSource(
            store_source,
            self.relays,
            lambda: self.membership.list_addresses(),
            peer_client,
            bounds,
            get_time,
            rng,
        )
        self.replica = Replica(
            self.store,
            self.source,
            layout,
            self.directory,
            self.freshness,
            get_time,
        )
        self.selector = UpstreamSelector(
            self.directory, settings.failure_domain, rng, settings.instance_id
        )
        self.wait_queue = WaitQueue(self.selector)
        entry = RouterEntry(
            f"{settings.host}:{settings.peer_port}",
            settings.failure_domain,
            settings.link_mbps,
        )
        self.membership = Membership(
            self.store, self.replica, settings.instance_id, entry
        )
        self.membership.subscribe(
            lambda: self.relays.set_members(self.membership.list_links())
        )
        self.membership.subscribe(
            lambda: self.selector.limits.set_peers(self.membership.list_peers())
        )
        self.membership.subscribe(
            lambda: self.suspects.set_peers(self.membership.list_peers())
        )
        self.replica.subscribe(self.selector.forget_absent_upstreams)
        self.relay = Relay(
            self.replica,
            store_source,
            self.relays,
            bounds,
            settings.host,
            settings.peer_port,
        )
        self.suspects = SuspectRegistry(
            self.store, self.replica, self.directory, settings.instance_id, rng
        )
        control = HttpRunnerControl(client)
        self.faults = SharedFaults(
            self.directory, self.selector, self.membership, control, metrics
        )
        self.replica.subscribe(self.faults.forget_absent_upstreams)
        reach = self.selector.reach
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
        self.prober = Prober(
            self.replica, self.directory, self.selector, control, self.faults
        )
        self.permits = Permits(
            self.selector.limits,
            settings.instance_id,
            rng.getrandbits(PERMIT_NUMBER_BITS),
            get_time,
        )
        self.repeats = SharedRepeats(
            RepeatPool(
                settings.instance_id,
                random.getrandbits(INCARNATION_BITS),
                random.getrandbits(PERMIT_NUMBER_BITS),
            ),
            settings.instance_id,
            self.replica,
            self.membership,
            bounds,
            metrics,
            get_time,
        )
        self.membership.subscribe(self.repeats.update_peers)
        header_codec = PlatformHeaderCodec()
        self.forwarder = Forwarder(
            replica=self.replica,
            selector=self.selector,
            wait_queue=self.wait_queue,
            suspects=self.suspects,
            permits=self.permits,
            repeats=self.repeats,
            sender=Sender(
                self.selector,
                client,
                control,
                header_codec,
                metrics,
                self.suspects,
                self.faults,
            ),
            header_codec=header_codec,
            bounds=bounds,
            metrics=metrics,
            rng=rng,
        )
        self.readiness = Readiness(
            self.replica, lambda: bool(self.directory.upstreams_by_id)
        )

    def subscribe(self, timer: TimerService, reloader: Reloader) -> None:
        """Subscribe the components to the timer and to changes of the settings."""
        timer.subscribe("settings", RELOAD_SECONDS, reloader.poll)
        timer.subscribe(
            "expire",
            EXPIRE_SECONDS,
            self.replica.expire,
            self.replica.expiry_activity,
        )
        timer.subscribe("prune", PRUNE_SECONDS, self.client.prune)
        timer.subscribe(
            "waiting", POLL_SECONDS, self.wait_queue.poll, self.wait_queue.activity
        )
        reloader.subscribe(
            lambda settings: self.store.set_address(settings.store_address)
        )
        reloader.subscribe(
            lambda settings: self.freshness.set_bound(settings.bounds.key_revocation)
        )
        reloader.subscribe(lambda settings: self.source.update_bounds(settings.bounds))
        reloader.subscribe(lambda settings: self.relay.update_bounds(settings.bounds))
        reloader.subscribe(
            lambda settings: self.forwarder.update_bounds(settings.bounds)
        )


def compose_router(
    settings: RouterSettings, load: Callable[[], RouterSettings]
) -> tuple[Application, Reloader]:
    """Compose a router process: its components, timer and settings reloader.

    Parameters
    ----------
    settings : RouterSettings
    load : callable
        Reads the settings again.

    Returns
    -------
    application : Application
    reloader : Reloader
    """
    configure_rate_limited_logging("INFO", instance_id=settings.instance_id)
    timer = TimerService(TrioClock())
    metrics = PrometheusMetrics()
    parts = RouterParts(
        settings,
        HttpClient(CONNECT_SECONDS, MAX_IDLE_PER_ADDRESS),
        HttpClient(CONNECT_SECONDS, MAX_IDLE_PER_ADDRESS),
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
        parts.selector.ledger,
        random.getrandbits(INCARNATION_BITS),
    )
    peers = PeerExchange(
        parts.selector,
        parts.membership,
        exchange,
        settings.instance_id,
        settings.host,
        settings.peer_port,
    )
    parts.membership.subscribe(peers.update_peers)
    parts.suspects.subscribe(peers.announce)
    peers.subscribe(DeathNews, parts.suspects.apply_news)
    peers.subscribe(SoundNews, parts.suspects.apply_sound_news)
    peers.subscribe(TrialNews, parts.suspects.apply_trial_news)
    parts.selector.subscribe_to_limits(peers.announce)
    peers.subscribe(LimitNews, parts.selector.apply_limit_news)
    parts.faults.connect(peers.announce)
    peers.subscribe_with_source(FaultNews, parts.faults.apply_news)
    peers.subscribe_with_source(OutcomeNews, parts.faults.apply_outcome_news)
    peers.add_responder(PermitRequest, parts.permits.answer_permit_request)
    peers.subscribe(PermitAnswer, parts.permits.apply_permit_answer)
    peers.add_responder(PresenceRequest, parts.permits.answer_presence_request)
    peers.subscribe(PresenceAnswer, parts.permits.apply_presence_answer)
    parts.permits.connect(peers.send)
    peers.add_responder(RepeatRequest, parts.repeats.answer_repeat_request)
    peers.subscribe(RepeatAnswer, parts.repeats.apply_repeat_answer)
    peers.add_responder(ShareRequest, parts.repeats.answer_share_request)
    peers.subscribe(ShareAnswer, parts.repeats.apply_share_answer)
    parts.repeats.connect(peers.send)
    components = [
        ReadyListener(settings.ready_address, READINESS_PATH, parts.readiness),
        MetricsListener(f"{settings.host}:{METRICS_PORT}", metrics),
        parts.relay,
        parts.replica,
        parts.membership,
        parts.suspects,
        peers,
        parts.faults,
        parts.permits,
        parts.repeats,
        parts.planner,
        parts.prober,
        timer,
        CallerListener(
            settings.caller_address,
            parts.forwarder,
            parts.replica,
            parts.readiness,
            settings.bounds.grace,
            max(MIN_CONNECTIONS, settings.descriptors - RESERVED_DESCRIPTORS),
        ),
    ]
    return Application(components, settings.bounds.grace), reloader


def load_settings() -> RouterSettings:
    """Read the settings file that the environment variable names.

    Raises
    ------
    SettingsError
        If there is no readable file or its settings are invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError("", SETTINGS_VARIABLE, "the variable is not set")
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(path, "$", error.strerror or "unreadable") from error
    return parse_settings(text, path)


def exit_with_error(error: SettingsError) -> None:
    """Print an error to standard error and exit with a failure status."""
    sys.exit(f"wigeondrift-router: {error}")
