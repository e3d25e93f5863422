"""Types of the router: the operator's configuration and the state of upstreams."""

import enum

import msgspec

from wigeondrift.systems.urgency import NO_SCALE, UrgencyScale


class RequestKind(enum.Enum):
    """Whether the requests of a route may be sent again.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones may not. A ``STREAM`` may
    resume at another upstream if its route says so.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """One service of a route and its weight among them."""

    service: str
    weight: float


class RouteRule(msgspec.Struct, frozen=True):
    """One configured route.

    Attributes
    ----------
    name, host, prefix : str
        The route with the longest prefix of a path is selected among the host's routes.
    kind : RequestKind
    timeout : float
        Time limit of the complete response, in seconds.
    objective : float
        Latency objective in seconds; later responses count less.
    event_gap : float
        Longest pause between two events of a stream that is on time, in seconds.
    attempts : int
        Number of upstreams to which one request may be sent.
    priority : int
        Priority; 0 is the highest.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may resume at another upstream.
    shares : tuple of Share
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    event_gap: float
    attempts: int
    priority: int
    is_public: bool
    is_resumable: bool
    shares: tuple[Share, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


class Accelerator(msgspec.Struct, frozen=True):
    """One kind of accelerator.

    Attributes
    ----------
    memory_mb : float
    step_factor, prefill_factor : float
        Factors on the engine's times of decoding steps and of the prefill.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


class EngineSpec(msgspec.Struct, frozen=True):
    """Engine of a model's runners.

    Times are for all layers on an accelerator whose factors are 1.

    Attributes
    ----------
    layers : int
        Layers of the model; zero if each runner holds all.
    layer_mb : float
        Size of one layer's weights, in MB.
    cache_bytes_per_layer : float
        KV cache of one token in one layer, in bytes.
    step_seconds : float
        Fixed time of one decoding step.
    step_seconds_per_request : float
        Time that each decoding request adds to a step.
    step_seconds_per_token : float
        Time that each token of context of a decoding request adds to a step.
    prefill_tokens_per_second : float
    chunk_tokens : float
        Maximum number of prompt tokens per step.
    steps_per_event : int
        Decoding steps between two events of a stream.
    load_seconds : float
        Time to load all layers.
    mean_prompt_tokens, mean_answer_tokens : float
        Mean number of tokens in a prompt and in a response.
    accelerators_by_kind : dict of str to Accelerator
    """

    layers: int
    layer_mb: float
    cache_bytes_per_layer: float
    step_seconds: float
    step_seconds_per_request: float
    step_seconds_per_token: float
    prefill_tokens_per_second: float
    chunk_tokens: float
    steps_per_event: int
    load_seconds: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    accelerators_by_kind: dict[str, Accelerator]


class ServiceSpec(msgspec.Struct, frozen=True):
    """One configured service; ``engine`` is None for a plain one."""

    name: str
    engine: EngineSpec | None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Configuration:
    """One version of the operator's configuration.

    Attributes
    ----------
    version : int
    routes_by_host : dict of str to list of RouteRule
        Longest prefix first.
    services_by_name : dict of str to ServiceSpec
    teams_by_key : dict of str to str
        Names of teams by API key.
    needs_keys : bool
        Whether requests need a key.
    limits : CallerLimits
    priorities_by_team : dict of str to int
        Priorities of teams that replace those of routes.
    """

    __slots__ = (
        "_scales_by_service",
        "limits",
        "needs_keys",
        "priorities_by_team",
        "routes_by_host",
        "services_by_name",
        "teams_by_key",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: list[RouteRule],
        services_by_name: dict[str, ServiceSpec],
        teams_by_key: dict[str, str],
        needs_keys: bool,
        limits: CallerLimits,
        priorities_by_team: dict[str, int] | None = None,
    ) -> None:
        self.version = version
        self.routes_by_host: dict[str, list[RouteRule]] = {}
        for rule in sorted(routes, key=lambda rule: -len(rule.prefix)):
            self.routes_by_host.setdefault(rule.host, []).append(rule)
        self.services_by_name = services_by_name
        self.teams_by_key = teams_by_key
        self.needs_keys = needs_keys
        self.limits = limits
        self.priorities_by_team = priorities_by_team or {}
        self._scales_by_service = self._make_scales(routes)

    def _make_scales(self, routes: list[RouteRule]) -> dict[str, UrgencyScale]:
        teams = set(self.teams_by_key.values())
        team_priorities = {
            self.priorities_by_team[team]
            for team in teams
            if team in self.priorities_by_team
        }
        all_replaced = self.needs_keys and teams <= self.priorities_by_team.keys()
        priorities_by_service: dict[str, set[int]] = {}
        for rule in routes:
            priorities = set(team_priorities)
            if rule.is_public or not all_replaced:
                priorities.add(rule.priority)
            for share in rule.shares:
                priorities_by_service.setdefault(share.service, set()).update(
                    priorities
                )
        return {
            service: UrgencyScale(priorities)
            for service, priorities in priorities_by_service.items()
        }

    def get_scale(self, service: str) -> UrgencyScale:
        """Return the priorities that requests of a service may have."""
        return self._scales_by_service.get(service, NO_SCALE)

    def get_priority(self, rule: RouteRule, team: str) -> int:
        """Return the priority of a team's requests on a route."""
        return self.priorities_by_team.get(team, rule.priority)

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for rule in self.routes_by_host.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None


class Upstream(msgspec.Struct, frozen=True):
    """One upstream, as listed by the platform.

    Attributes
    ----------
    upstream_id : str
    service, address, failure_domain : str
    is_leaving : bool
        Whether it is draining and must get no new requests.
    slots : int
        Number of requests that it runs at a time.
    kind : str
        Kind of accelerator; empty for a plain service.
    first_layer, end_layer : int
        Range of layers that a runner holds, the end excluded.
    weights_version : int
    started_at_ms : int
        Start of this incarnation, in milliseconds since the epoch.
    """

    upstream_id: str
    service: str
    address: str
    failure_domain: str
    is_leaving: bool
    slots: int
    kind: str = ""
    first_layer: int = 0
    end_layer: int = 0
    weights_version: int = 0
    started_at_ms: int = 0

    @property
    def held_layers(self) -> int:
        """Number of layers held."""
        return self.end_layer - self.first_layer

    def is_restarted_in(self, report: "RunnerReport") -> bool:
        """Whether a report comes from a later incarnation."""
        return 0 < self.started_at_ms < report.started_at_ms


class RunnerReport(msgspec.Struct, frozen=True):
    """State reported by a runner, some hundred milliseconds old.

    Attributes
    ----------
    order_count : int
        Orders accepted since its start; the next order must state this number.
    is_busy : bool
        Whether an order is in progress.
    first_layer, end_layer : int
    started_at_ms : int
    stalled_by_request : dict of str to str
        Address of the stage that stalls a request, by request id.
    is_leaving : bool
        Whether the runner is leaving and must get no new requests.
    pace : float
        Factor by which the runner is slow; NaN if the report has no valid one.
    """

    order_count: int
    is_busy: bool
    first_layer: int
    end_layer: int
    started_at_ms: int
    stalled_by_request: dict[str, str]
    is_leaving: bool = False
    pace: float = 1.0
