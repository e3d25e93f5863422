"""Entries and reports of upstreams, and orders to runners."""

import math
import re
from typing import Annotated

import msgspec
import trio

from wigeondrift.entities import Route
from wigeondrift.errors import (
    ConnectFailed,
    OrderConflict,
    OrderRejected,
    OrderTargetMissing,
    OrderUnanswered,
    ProtocolViolation,
    RoutePartUnavailable,
    TransportError,
    UpstreamEntryError,
)
from wigeondrift.platform.requests import LEAVING, format_route, is_leaving
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RunnerReport, Upstream
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import ClientResponse, HttpClient

UPSTREAMS_PREFIX = "servers/"
STATE_READY = "ready"
STATE_DRAINING = "draining"
JSON_HEADERS = [("Content-Type", "application/json")]
# A report takes no slot of the runner, so a live runner responds within milliseconds.
CALL_TIMEOUT_SECONDS = 0.6
# More than any count, or time in milliseconds since the epoch, and exact as a float.
MAX_WHOLE_NUMBER = 2**53
# Ids are sent in headers.
ID_PATTERN = re.compile(r"[!-~]+")
# More layers than any model has.
MAX_LAYERS = 10_000
# Far more than a report of a runner's slots takes.
MAX_BODY_BYTES = 262144
STATUSES_ACCEPTED = frozenset({200, 202})
STATUS_UNKNOWN_REQUEST = 404
STATUS_CONFLICT = 409
# Statuses below 500, and these, guarantee that an order is not carried out.
STATUSES_NOT_RUN = frozenset({503})


_WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _WireLayers(msgspec.Struct):
    # Named ``from`` on the wire, which is a keyword. The range excludes ``to``.
    first: _WholeNumber = msgspec.field(name="from", default=0)
    to: _WholeNumber = 0
    version: _WholeNumber = 0


class _WireEntry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: _WholeNumber = 1
    kind: str = ""
    layers: _WireLayers | None = None
    # Start in milliseconds since the epoch; absent in some entries.
    born: _WholeNumber = 0


class _WireReport(msgspec.Struct):
    seq: _WholeNumber
    busy: bool = False
    layers: _WireLayers | None = None
    born: _WholeNumber = 0
    stalled: list[dict[str, str]] = []
    # Of any type, because a bad pace must not make the rest of a report unreadable.
    pace: object = 1.0


class _WireConflict(msgspec.Struct):
    address: str = ""


def decode_upstream(upstream_id: str, data: bytes) -> Upstream:
    """Decode the entry of an upstream.

    Raises
    ------
    UpstreamEntryError
        If the entry can't be decoded or does not describe a usable upstream.
    """
    if not ID_PATTERN.fullmatch(upstream_id):
        raise UpstreamEntryError(f"bad id {upstream_id!r}")
    try:
        wire = msgspec.json.decode(data, type=_WireEntry)
        _, port = parse_address(wire.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UpstreamEntryError(f"{upstream_id}: {error}") from error
    if not port:
        raise UpstreamEntryError(f"{upstream_id}: nobody listens at port 0")
    if wire.state not in (STATE_READY, STATE_DRAINING):
        raise UpstreamEntryError(f"{upstream_id}: unknown state {wire.state}")
    layers = wire.layers or _WireLayers()
    if not 0 <= layers.first <= layers.to <= MAX_LAYERS:
        raise UpstreamEntryError(f"{upstream_id}: bad layers {layers}")
    return Upstream(
        upstream_id=upstream_id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        is_leaving=wire.state == STATE_DRAINING,
        slots=max(1, wire.slots),
        kind=wire.kind,
        first_layer=layers.first,
        end_layer=layers.to,
        weights_version=layers.version,
        started_at_ms=wire.born,
    )


def decode_report(data: bytes, has_leaving_mark: bool = False) -> RunnerReport:
    """Decode a runner's report.

    Parameters
    ----------
    data : bytes
    has_leaving_mark : bool
        Whether the head of the answer says that the runner is leaving.

    Raises
    ------
    ProtocolViolation
        If the report can't be decoded.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireReport)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ProtocolViolation(f"the report can't be read: {error}") from error
    layers = wire.layers or _WireLayers()
    return RunnerReport(
        order_count=wire.seq,
        is_busy=wire.busy,
        first_layer=layers.first,
        end_layer=layers.to,
        started_at_ms=wire.born,
        stalled_by_request={
            entry.get("id", ""): entry.get("address", "") for entry in wire.stalled
        },
        is_leaving=has_leaving_mark,
        pace=_read_pace(wire.pace),
    )


def _read_pace(value: object) -> float:
    """Return the pace in a report, NaN if it is no number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        return float(value) if is_number else math.nan
    except OverflowError:
        return math.nan


class HttpRunnerControl(RunnerControl):
    """Reads reports of runners and sends orders to them over HTTP.

    Parameters
    ----------
    client : HttpClient
    """

    __slots__ = ("_client",)

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def get_report(self, upstream: Upstream) -> RunnerReport:
        """Return the runner's report."""
        response, body = await self._call(upstream, "GET", "/wigeondrift/report")
        if response.status != 200:
            raise ProtocolViolation(f"the report came with status {response.status}")
        return decode_report(body, is_leaving(response.header(LEAVING)))

    async def place(
        self, upstream: Upstream, first_layer: int, end_layer: int, order_count: int
    ) -> None:
        """Order a runner to hold a range of layers."""
        order = {
            "operation": "place",
            "from": first_layer,
            "to": end_layer,
            # The runner finishes requests on layers it drops instead of aborting them.
            "mode": "queue",
            "expect": order_count,
        }
        response, body = await self._call(
            upstream,
            "POST",
            "/wigeondrift/order",
            msgspec.json.encode(order),
            # The next order to this runner is far off, and a leader orders all of them.
            closes=True,
        )
        if response.status not in STATUSES_ACCEPTED:
            reason = body[:200].decode("latin-1")
            raise OrderRejected(f"status {response.status}: {reason}")

    async def repath(self, upstream: Upstream, request_id: str, route: Route) -> None:
        """Order the first runner of a request to continue it over another route."""
        order = {
            "operation": "repath",
            "id": request_id,
            "path": format_route(route),
        }
        try:
            response, body = await self._call(
                upstream, "POST", "/wigeondrift/order", msgspec.json.encode(order)
            )
        except ConnectFailed:
            raise
        except TransportError as error:
            raise OrderUnanswered(str(error)) from error
        status = response.status
        if status in STATUSES_ACCEPTED:
            return
        reason = f"status {status}: {body[:200].decode('latin-1')}"
        if status == STATUS_UNKNOWN_REQUEST:
            raise OrderTargetMissing(reason)
        if status == STATUS_CONFLICT:
            address = _decode_address(body)
            if address:
                raise RoutePartUnavailable(address)
            raise OrderConflict(reason)
        if status < 500 or status in STATUSES_NOT_RUN:
            raise OrderRejected(reason)
        raise OrderUnanswered(reason)

    async def _call(
        self,
        upstream: Upstream,
        method: str,
        target: str,
        body: bytes = b"",
        closes: bool = False,
    ) -> tuple[ClientResponse, bytes]:
        headers = list(JSON_HEADERS) if body else []
        if closes:
            headers.append(("Connection", "close"))
        headers.append(("Wigeondrift-Expect-Instance", upstream.upstream_id))
        try:
            with trio.fail_after(CALL_TIMEOUT_SECONDS):
                async with self._client.request(
                    upstream.address, method, target, headers, body
                ) as response:
                    return response, await response.read(MAX_BODY_BYTES)
        except trio.TooSlowError as error:
            raise TransportError(f"{upstream.address} did not respond") from error


def _decode_address(body: bytes) -> str:
    """Return the address that a refusal names, empty if it names none."""
    try:
        return msgspec.json.decode(body, type=_WireConflict).address
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return ""
