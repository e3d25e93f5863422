"""Listening sockets of a router: callers, readiness checks and metrics."""

import abc
import logging

import trio

from wigeondrift.application import Component
from wigeondrift.router.forwarding import Forwarder
from wigeondrift.router.replica import Replica
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import PrometheusMetrics
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.body_budget import BodyBudget, get_budget_bytes
from wigeondrift.wire.http_server import (
    Exchange,
    HttpLimits,
    HttpServer,
    limit_receive_buffers,
)

# Time for the load balancer to notice that the router is no longer ready: two of its
# checks, a second apart, and the connections that are being opened.
BALANCER_NOTICE_SECONDS = 2.6
# Fraction of the grace period after which remaining connections are closed.
GRACE_SHARE = 0.93
# Time before that in which requests that are still in progress get an error as answer.
LAST_ANSWERS_SECONDS = 0.2
POLL_SECONDS = 0.1
BACKLOG = 1024
# Requests for readiness and metrics are small and have no bodies.
PAGE_CONNECTIONS = 64
PAGE_HEADER_BYTES = 8192
PAGE_BODY_BYTES = 1024
METRICS_PATH = "/metrics"


class Readiness:
    """Whether the router accepts new connections.

    Parameters
    ----------
    replica : Replica
    has_upstreams : callable
        Whether there is any upstream to send requests to.

    Attributes
    ----------
    stopping : bool
        Whether the router is stopping.
    """

    __slots__ = ("_has_upstreams", "_replica", "stopping")

    def __init__(self, replica: Replica, has_upstreams) -> None:
        self._replica = replica
        self._has_upstreams = has_upstreams
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        replica = self._replica
        return (
            not self.stopping
            and replica.configuration is not None
            and replica.is_current
            and self._has_upstreams()
        )


class CallerListener(Component):
    """Accepts callers' connections.

    Parameters
    ----------
    address : str
        ``host:port``.
    forwarder : Forwarder
    replica : Replica
    readiness : Readiness
    grace : float
        Time between the stop signal and the forced termination, in seconds.
    connections : int
        Maximum number of connections.
    notice : float
        Time in which the load balancer notices a stop, in seconds.
    budget : BodyBudget, optional
        Account of the memory that callers' requests hold; the default if absent.
    """

    __slots__ = (
        "_accepting",
        "_address",
        "_budget",
        "_forwarder",
        "_grace",
        "_limits",
        "_listeners",
        "_logger",
        "_notice",
        "_readiness",
        "_replica",
        "_server",
    )

    def __init__(
        self,
        address: str,
        forwarder: Forwarder,
        replica: Replica,
        readiness: Readiness,
        grace: float,
        connections: int,
        notice: float = BALANCER_NOTICE_SECONDS,
        budget: BodyBudget | None = None,
    ) -> None:
        self._accepting = trio.CancelScope()
        self._notice = notice
        self._address = address
        self._forwarder = forwarder
        self._replica = replica
        self._readiness = readiness
        self._grace = grace
        self._limits = HttpLimits(connections=connections)
        self._budget = budget or BodyBudget(get_budget_bytes(0))
        self._budget.set_largest_body(self._limits.body_bytes)
        self._server = HttpServer(forwarder.handle, self._limits, budget=self._budget)
        self._listeners: list[trio.SocketListener] = []
        self._logger = logging.getLogger(LOGGER_NAME)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen in ``nursery``."""
        host, port = parse_address(self._address)
        self._replica.subscribe(self._apply_limits)
        self._listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=BACKLOG
        )
        limit_receive_buffers(self._listeners)
        nursery.start_soon(self._serve, nursery)
        log_event(self._logger, logging.INFO, Event.STARTED, address=self._address)

    async def _serve(self, nursery: trio.Nursery) -> None:
        # On a planned stop the listener is closed first and open connections continue.
        with self._accepting:
            await trio.serve_listeners(
                self._server.serve_stream, self._listeners, handler_nursery=nursery
            )

    def _apply_limits(self) -> None:
        configuration = self._replica.configuration
        if configuration is None:
            return
        limits = configuration.limits
        self._limits.header_bytes = limits.header_bytes
        self._limits.body_bytes = limits.body_bytes
        self._budget.set_largest_body(limits.body_bytes)
        self._limits.read_timeout = limits.header_timeout
        self._limits.idle_timeout = limits.idle_timeout

    async def stop(self) -> None:
        """Report not ready to the load balancer, then close connections once idle."""
        started_at = trio.current_time()
        self._readiness.stopping = True
        log_event(
            self._logger,
            logging.INFO,
            Event.STOP_REQUESTED,
            running=self._forwarder.running,
        )
        self._server.announce_close()
        await trio.sleep(min(self._notice, GRACE_SHARE * self._grace / 2))
        # Requests that arrive from now on could not finish within the grace period.
        ends_at = started_at + GRACE_SHARE * self._grace
        self._forwarder.close(ends_at - LAST_ANSWERS_SECONDS)
        self._accepting.cancel()
        self._server.stop_keep_alive()
        while self._forwarder.running and trio.current_time() < ends_at:
            await trio.sleep(POLL_SECONDS)
        log_event(
            self._logger,
            logging.INFO,
            Event.STOPPED,
            running=self._forwarder.running,
            seconds=round(trio.current_time() - started_at, 3),
        )


class PageListener(Component):
    """Serves readiness checks or metrics on an address of its own.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    __slots__ = ("_address", "_server")

    def __init__(self, address: str) -> None:
        self._address = address
        limits = HttpLimits(
            header_bytes=PAGE_HEADER_BYTES,
            body_bytes=PAGE_BODY_BYTES,
            connections=PAGE_CONNECTIONS,
        )
        self._server = HttpServer(self._answer, limits)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen in ``nursery``."""
        host, port = parse_address(self._address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(trio.serve_listeners, self._server.serve_stream, listeners)

    @abc.abstractmethod
    async def _answer(self, exchange: Exchange) -> None:
        """Answer one request."""


class ReadyListener(PageListener):
    """Answers the load balancer's readiness checks.

    Parameters
    ----------
    address : str
        ``host:port``.
    path : str
        Path of the checks.
    readiness : Readiness
    """

    __slots__ = ("_path", "_readiness")

    def __init__(self, address: str, path: str, readiness: Readiness) -> None:
        super().__init__(address)
        self._path = path
        self._readiness = readiness

    async def _answer(self, exchange: Exchange) -> None:
        status = 404
        if exchange.request.path == self._path:
            status = 200 if self._readiness.is_ready else 503
        await exchange.respond(status, [("Content-Type", "text/plain")])


class MetricsListener(PageListener):
    """Serves the metrics in the Prometheus text format.

    Parameters
    ----------
    address : str
        ``host:port``.
    metrics : PrometheusMetrics
    """

    __slots__ = ("_metrics",)

    def __init__(self, address: str, metrics: PrometheusMetrics) -> None:
        super().__init__(address)
        self._metrics = metrics

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(404, [])
            return
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        await exchange.respond(200, headers, self._metrics.render())
