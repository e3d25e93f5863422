"""The platform's headers of callers' requests and upstreams' responses."""

from wigeondrift.entities import Route
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.router.header_codec import HeaderCodec
from wigeondrift.wire.headers import Headers
from wigeondrift.wire.http_server import Request
from wigeondrift.wire.numbers import parse_decimal, parse_whole_number

REQUEST_ID = "wigeondrift-request-id"
DEADLINE = "wigeondrift-deadline-remaining"
EXPECT_UPSTREAM = "wigeondrift-expect-instance"
TEAM = "wigeondrift-tenant"
# Despite its name, the value is a list of stages and not a count.
STAGES = "wigeondrift-hop-count"
TOKEN_COUNTS = "wigeondrift-token-counts"
# Comma-separated ID:TOKENS entries, one for each part of the prompt. The last part
# belongs to the request or to its session alone.
PROMPT_PARTS = "wigeondrift-prompt-prefix"
LENGTH_HINT = "wigeondrift-length-hint"
LAST_EVENT_ID = "last-event-id"
NOT_RUN = "wigeondrift-not-executed"
SEAL = "wigeondrift-response-seal"
# The value is the numbers of running requests, waiting requests and slots, separated by
# commas.
LOAD = "wigeondrift-server-load"
# Requests a second that an upstream in need takes from all routers together.
LIMIT = "server-limit"
# In all answers of an upstream that is leaving.
LEAVING = "server-leaving"
LEAVING_VALUE = "1"
# With status 503, the time for which the upstream wants no requests from this router.
RETRY_AFTER = "retry-after"
STATUS_UNAVAILABLE = 503
STAGE_AT_FAULT = "at-server"
URGENCY = "wigeondrift-request-urgency"
BEARER = "bearer "

READINESS_PATH = "/wigeondrift/readiness"

# Headers that hold for one connection only or that the router sets itself.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
REPLACED_HEADERS = DROPPED_HEADERS | {
    "authorization",
    DEADLINE,
    EXPECT_UPSTREAM,
    TEAM,
    STAGES,
    URGENCY,
    LAST_EVENT_ID,
}


class PlatformHeaderCodec(HeaderCodec):
    """Codec for the platform's headers."""

    __slots__ = ()

    def decode_request(self, request: Request, now: float) -> CallerRequest:
        """Decode a caller's request that arrived at the time ``now``, in seconds.

        Raises
        ------
        RequestError
            If a header that must be a number is not one.
        """
        get = request.headers_by_name.get
        authorization = get("authorization", "")
        key = ""
        if authorization[: len(BEARER)].lower() == BEARER:
            key = authorization[len(BEARER) :].strip()
        prompt, _, answer_limit = get(TOKEN_COUNTS, "").partition(",")
        remaining_ms = _parse_number(DEADLINE, get(DEADLINE, ""))
        return CallerRequest(
            request_id=get(REQUEST_ID, ""),
            method=request.method,
            target=request.target,
            path=request.path,
            host=get("host", "").partition(":")[0].lower(),
            body=request.body,
            key=key,
            arrived_at=now,
            caller_timeout=None if remaining_ms is None else remaining_ms / 1000.0,
            prompt_tokens=_parse_number(TOKEN_COUNTS, prompt) or 0,
            answer_limit=_parse_number(TOKEN_COUNTS, answer_limit) or 0,
            answer_estimate=parse_whole_number(get(LENGTH_HINT, "")) or 0,
            last_event_id=_parse_number(LAST_EVENT_ID, get(LAST_EVENT_ID, "")),
            headers=request.headers,
            prompt_parts=_parse_shared_parts(get(PROMPT_PARTS, "")),
        )

    def encode_upstream_headers(
        self,
        call: CallerRequest,
        upstream_id: str,
        team: str,
        remaining: float,
        route: Route | None,
        last_event_id: int | None,
        urgency: int | None = None,
    ) -> Headers:
        """Return the headers of a request to an upstream."""
        headers = [pair for pair in call.headers if pair[0] not in REPLACED_HEADERS]
        headers.append((EXPECT_UPSTREAM, upstream_id))
        if team:
            headers.append((TEAM, team))
        if call.caller_timeout is not None:
            headers.append((DEADLINE, str(max(1, int(remaining * 1000)))))
        if route is not None:
            headers.append((STAGES, format_route(route)))
        if last_event_id is not None:
            headers.append((LAST_EVENT_ID, str(last_event_id)))
        if urgency is not None:
            headers.append((URGENCY, str(urgency)))
        return headers

    def decode_head(self, status: int, headers: Headers) -> UpstreamHead:
        """Decode the head of an upstream's response; header names are in lower case."""
        values = dict(headers)
        is_signed = SEAL in values
        retry_after, unreadable = None, ()
        if status == STATUS_UNAVAILABLE and RETRY_AFTER in values:
            retry_after = parse_decimal(values[RETRY_AFTER])
            unreadable = (RETRY_AFTER,) if retry_after is None else ()
        load = [parse_whole_number(part) for part in values.get(LOAD, "").split(",")]
        return UpstreamHead(
            status=status,
            headers=[pair for pair in headers if pair[0] not in DROPPED_HEADERS],
            request_id=values.get(REQUEST_ID, ""),
            # An upstream that is not the one named answers 421 without a signature. A
            # signed 421 may come from the run of the request.
            is_not_run=NOT_RUN in values or (status == 421 and not is_signed),
            is_signed=is_signed,
            running=load[0] if len(load) == 3 else None,
            waiting=load[1] if len(load) == 3 else None,
            faulty_address=values.get(STAGE_AT_FAULT, ""),
            limit=parse_decimal(values.get(LIMIT, "")),
            is_leaving=is_leaving(values.get(LEAVING)),
            retry_after=retry_after,
            unreadable=unreadable,
        )


def is_leaving(value: str | None) -> bool:
    """Whether the header of an answer says that its upstream is leaving."""
    return value is not None and value.strip() == LEAVING_VALUE


def format_route(route: Route) -> str:
    """Return the stages of a route in the format that runners expect."""
    return ",".join(
        f"{stage.address}={stage.first_layer}-{stage.end_layer}"
        for stage in route.stages
    )


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last."""
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    # A repeated part counts once.
    return tuple(dict.fromkeys([part for part in ids if part][:-1]))


def _parse_number(header: str, text: str) -> int | None:
    """Return the value of a caller's header, or None if it is empty."""
    if not text.strip():
        return None
    number = parse_whole_number(text)
    if number is None:
        raise RequestError(
            ErrorKind.MALFORMED_REQUEST, f"the header {header} is not a whole number"
        )
    return number
