"""Decodes the operator's configuration into the router's types."""

import msgspec

from wigeondrift.errors import ConfigurationError
from wigeondrift.router.entities import (
    Accelerator,
    CallerLimits,
    Configuration,
    EngineSpec,
    RequestKind,
    RouteRule,
    ServiceSpec,
    Share,
)

CONFIGURATION_KEY = "op/config"

MS_PER_SECOND = 1000.0
TOKENS_PER_CONTEXT_UNIT = 1000.0
# Limits of a deployment that configures none.
DEFAULT_HEADER_BYTES = 16384
DEFAULT_BODY_BYTES = 4194304
DEFAULT_TIMEOUT_MS = 15000.0
# Priorities outside of this range are taken for its nearest end, so that an unusual
# value does not make the whole configuration unusable.
MAX_PRIORITY = 1_000_000

KINDS_BY_NAME = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


class _WireShare(msgspec.Struct):
    service: str
    weight: float = 1.0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # Latency objective: later responses count less. Not a service level agreement.
    slo_ms: float = 0.0
    gap_aim_ms: float = 0.0
    attempts: int = 1
    priority: int = 0
    auth_exempt: bool = False
    resumable: bool = False
    service: str = ""
    split: list[_WireShare] = []


class _WireKind(msgspec.Struct):
    name: str
    mb: float
    # Factor on the time of decoding steps, including the part for their context.
    pace: float = 1.0
    # Factor on the time of the prefill.
    read_x: float = 1.0


class _WireModel(msgspec.Struct):
    name: str
    load_s: float = 0.0


class _WireUsual(msgspec.Struct):
    prompt: float = 1000.0
    answer: float = 200.0


class _WireEngine(msgspec.Struct):
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds that 1,000 tokens of context add for each decoding request.
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    chunk: float = 512.0
    # Decoding steps per pass, whose tokens are sent in one event.
    stride: int = 1
    # KV cache of one token over all layers.
    kv_token_bytes: float = 0.0
    layers: int = 0
    layer_mb: float = 0.0
    models: list[_WireModel] = []
    kinds: list[_WireKind] = []
    usual: _WireUsual = msgspec.field(default_factory=_WireUsual)


class _WireService(msgspec.Struct):
    name: str
    engine: _WireEngine | None = None


class _WireTenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Replaces the priority of the routes for the requests of this team.
    priority: int | None = None


class _WireLimits(msgspec.Struct):
    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_ms: float = DEFAULT_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_TIMEOUT_MS


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    tenants: list[_WireTenant] | None = None
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


def decode_configuration(data: bytes) -> Configuration:
    """Decode the configuration from the value in the store.

    Raises
    ------
    ConfigurationError
        If the value can't be decoded.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireConfiguration)
        routes = [_make_route(route) for route in wire.routes]
    except (msgspec.MsgspecError, KeyError, ValueError, RecursionError) as error:
        raise ConfigurationError(f"the configuration can't be read: {error}") from error
    return Configuration(
        wire.version,
        routes,
        {service.name: _make_service(service) for service in wire.services},
        {key: team.name for team in wire.tenants or () for key in team.api_keys},
        wire.tenants is not None,
        _make_limits(wire.limits),
        {
            team.name: _clamp_priority(team.priority)
            for team in wire.tenants or ()
            if team.priority is not None
        },
    )


def _clamp_priority(priority: int) -> int:
    return min(MAX_PRIORITY, max(0, priority))


def _make_route(wire: _WireRoute) -> RouteRule:
    shares = tuple(Share(share.service, share.weight) for share in wire.split)
    return RouteRule(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=KINDS_BY_NAME[wire.kind],
        timeout=wire.timeout_ms / MS_PER_SECOND,
        objective=wire.slo_ms / MS_PER_SECOND,
        event_gap=wire.gap_aim_ms / MS_PER_SECOND,
        attempts=max(1, wire.attempts),
        priority=_clamp_priority(wire.priority),
        is_public=wire.auth_exempt,
        is_resumable=wire.resumable,
        shares=shares or (Share(wire.service, 1.0),),
    )


def _make_limits(wire: _WireLimits) -> CallerLimits:
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        wire.header_timeout_ms / MS_PER_SECOND,
        wire.idle_timeout_ms / MS_PER_SECOND,
    )


def _make_service(wire: _WireService) -> ServiceSpec:
    engine = None if wire.engine is None else _make_engine(wire.engine)
    return ServiceSpec(wire.name, engine)


def _make_engine(wire: _WireEngine) -> EngineSpec:
    return EngineSpec(
        layers=wire.layers,
        layer_mb=wire.layer_mb,
        cache_bytes_per_layer=wire.kv_token_bytes / max(1, wire.layers),
        step_seconds=wire.step_ms / MS_PER_SECOND,
        step_seconds_per_request=wire.per_seq_ms / MS_PER_SECOND,
        step_seconds_per_token=(
            wire.context_per_k / MS_PER_SECOND / TOKENS_PER_CONTEXT_UNIT
        ),
        prefill_tokens_per_second=wire.read_per_s,
        chunk_tokens=max(1.0, wire.chunk),
        steps_per_event=max(1, wire.stride),
        load_seconds=max((model.load_s for model in wire.models), default=0.0),
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
        accelerators_by_kind={
            kind.name: Accelerator(kind.mb, kind.pace, kind.read_x)
            for kind in wire.kinds
        },
    )
