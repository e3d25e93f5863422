"""State of one caller's request over its attempts, and the error of an attempt."""

import contextlib
from collections.abc import Iterator

import trio

from wigeondrift.errors import WigeondriftError
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.router.entities import RouteRule, ServiceSpec, Upstream
from wigeondrift.router.event_stream import EventBuffer
from wigeondrift.router.selector import Reservation
from wigeondrift.systems.chains import Chain, RouteDemand
from wigeondrift.systems.grant_order import Precedence
from wigeondrift.systems.paces import EventGaps
from wigeondrift.systems.refusals import EARLY_EVENTS
from wigeondrift.systems.suspects import MAX_TRAITS_PER_REQUEST, make_digest
from wigeondrift.systems.urgency import NO_SCALE, UrgencyScale
from wigeondrift.wire.http_server import Exchange

# Callers abandon a stream without data after this time, or after these multiples of
# the route's objective or event gap if those are longer (the platform documents this).
CALLER_IDLE_SECONDS = 2.0
CALLER_IDLE_OBJECTIVE_FACTOR = 4.0
CALLER_IDLE_GAP_FACTOR = 8.0
# Fraction of a response whose tokens a request holds in the cache on average.
MEAN_ANSWER_SHARE = 0.5
# Time without a new event after which the runners of a stream are queried for stalls.
# It is several times the usual pause, and well below the two seconds after which
# callers abandon a stream. The second value holds before the first event.
STREAM_SILENCE_SECONDS = 0.6
FIRST_EVENT_SILENCE_SECONDS = 0.9
# Prompt parts of one request that a log line names.
MAX_LOGGED_PARTS = 8


class AttemptFailed(WigeondriftError):
    """An attempt at one upstream that gave no response to forward.

    Parameters
    ----------
    reason : str
    may_have_run : bool
    suspects : tuple of str
        Upstreams to exclude from further attempts.
    answer : tuple or None
        Head and body of the upstream's response, if it was complete.
    was_sent : bool
        Whether any part of the request may have reached an upstream.
    """

    def __init__(
        self,
        reason: str,
        may_have_run: bool,
        suspects: tuple[str, ...] = (),
        answer: tuple[UpstreamHead, bytes] | None = None,
        was_sent: bool = True,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run
        self.suspects = suspects
        self.answer = answer
        self.was_sent = was_sent


class RequestContext:
    """State of one request, for routing decisions and the log line at its end.

    Attributes
    ----------
    call : CallerRequest
    rule : RouteRule
    service : ServiceSpec
    team : str
    deadline : float
        Time by which the response must be complete, in seconds.
    events : EventBuffer
        Position in the stream of events forwarded to the caller.
    attempts : int
        Number of attempts, without failed connections and without those at a runner
        that had turned the request away.
    excluded : set of str
        Upstreams that failed an attempt.
    first_event_at : float or None
        Time at which the first event was forwarded, in seconds.
    upstreams : list of str
        Upstreams of all attempts, in order.
    expected_first : float or None
        Expected time to the first event on the last route, in seconds.
    wait_seconds : float
        Time spent waiting for capacity.
    longest_gap : float or None
        Longest pause between two events, in seconds.
    is_risky : bool
        Whether an upstream died under a request with one of its traits.
    is_body_released : bool
        Whether the body was dropped, so that no attempt may follow.
    is_trial : bool
        Whether it is tried although it has a refused trait.
    turned_away : Chain or None
        Route of the last attempt if its first runner turned the request away for the
        fault of a later stage.
    is_sent_again : bool
        Whether the present attempt is at a runner that had turned the request away.
    sent_again_ids : set of str
        Runners to which the request was sent again.
    traits : tuple of str
        Digests of what the request has in common with others of its service.
    priority : int
        Priority of the team, or else of the route; 0 is the highest.
    scale : UrgencyScale
        Priorities of the service's requests.
    branches : tuple of RequestContext
        States of the concurrent attempts; empty if there are none.
    """

    __slots__ = (
        "attempts",
        "call",
        "deadline",
        "events",
        "excluded",
        "expected_first",
        "is_body_released",
        "is_risky",
        "is_sent_again",
        "is_trial",
        "longest_gap",
        "priority",
        "scale",
        "_may_have_run",
        "branches",
        "wait_seconds",
        "rule",
        "sent_again_ids",
        "service",
        "first_event_at",
        "team",
        "traits",
        "turned_away",
        "upstreams",
    )

    def __init__(
        self, call: CallerRequest, rule: RouteRule, service: ServiceSpec, team: str
    ) -> None:
        self.call = call
        self.rule = rule
        self.service = service
        self.team = team
        caller_timeout = (
            rule.timeout if call.caller_timeout is None else call.caller_timeout
        )
        self.deadline = call.arrived_at + min(caller_timeout, rule.timeout)
        self.events = EventBuffer(call.last_event_id)
        self.attempts = 0
        self.excluded: set[str] = set()
        self._may_have_run = False
        self.branches: tuple[RequestContext, ...] = ()
        self.first_event_at: float | None = None
        self.upstreams: list[str] = []
        self.wait_seconds = 0.0
        self.expected_first: float | None = None
        self.longest_gap: float | None = None
        self.is_body_released = False
        self.is_risky = False
        self.is_trial = False
        self.turned_away: Chain | None = None
        self.is_sent_again = False
        self.sent_again_ids: set[str] = set()
        self.priority = rule.priority
        self.scale: UrgencyScale = NO_SCALE
        whole = make_digest(service.name, "request", call.target, call.key, call.body)
        parts = call.prompt_parts[: MAX_TRAITS_PER_REQUEST - 1]
        self.traits = (whole, *(make_digest(service.name, part) for part in parts))

    def release_body(self, exchange: Exchange) -> None:
        """Drop the body, which no attempt may send again."""
        self.is_body_released = True
        self.call.body = b""
        exchange.release_body()

    @property
    def is_resumed(self) -> bool:
        """Whether the request continues a stream of which the caller has events."""
        return self.first_event_at is not None

    @property
    def precedence(self) -> Precedence:
        """What decides when the request gets capacity, beside its objective."""
        return Precedence(
            self.priority,
            self.team,
            self.is_resumed,
            self.scale.get_rank(self.priority),
            self.scale.is_least_urgent(self.priority),
        )

    @property
    def urgency(self) -> int | None:
        """Urgency that a runner is told, or None."""
        if self.service.engine is None:
            return None
        return self.scale.get_urgency(self.priority, self.is_resumed)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have executed the request."""
        return self._may_have_run or any(one.may_have_run for one in self.branches)

    @may_have_run.setter
    def may_have_run(self, value: bool) -> None:
        self._may_have_run = value

    @property
    def is_superseded(self) -> bool:
        """Whether another attempt has won, so that this one records nothing."""
        return False

    def record_attempt(
        self, upstream: Upstream, reservation: Reservation | None
    ) -> None:
        """Count an attempt that is about to be sent."""
        self.upstreams.append(upstream.upstream_id)
        self.attempts += int(not self.is_sent_again)

    @property
    def demand(self) -> RouteDemand:
        """Expected mean demand of the request on a route."""
        call = self.call
        engine = self.service.engine
        answer = float(call.answer_estimate or engine.mean_answer_tokens)
        if call.answer_limit:
            answer = min(answer, float(call.answer_limit))
        prompt = float(call.prompt_tokens or engine.mean_prompt_tokens)
        tokens = prompt + MEAN_ANSWER_SHARE * answer
        return RouteDemand(tokens, prompt, self.rule.event_gap, self.is_risky)


class Progress:
    """Progress of one attempt at a stream.

    Attributes
    ----------
    last_event_at : float
        Time at which an event with a new id last arrived, or the start, in seconds;
        later by the time that the caller took to read since.
    events : int
        Number of events with a new id that arrived.
    first_event_at : float or None
        Time at which the first of them arrived, in seconds.
    next_survival_events : int
        Number of events at which it is recorded next how far the request has run.
    ended : bool
        Whether the attempt ended without being cancelled.
    is_writing : bool
        Whether events are being written to the caller. The attempt can't end then, as
        the caller would get a part of them.
    suspects : tuple of str
        Runners for whose silence the attempt was cancelled.
    is_repaired : bool
        Whether the route was changed while the stream ran.
    reads_again : bool
        Whether new stages of the route still read the tokens so far.
    gaps : EventGaps
        Latest gaps between events.
    """

    __slots__ = (
        "ended",
        "events",
        "first_event_at",
        "gaps",
        "is_repaired",
        "is_writing",
        "last_event_at",
        "next_survival_events",
        "reads_again",
        "suspects",
    )

    def __init__(self) -> None:
        self.last_event_at = trio.current_time()
        self.events = 0
        self.first_event_at: float | None = None
        self.next_survival_events = EARLY_EVENTS
        self.ended = False
        self.is_writing = False
        self.suspects: tuple[str, ...] = ()
        self.is_repaired = False
        self.reads_again = False
        self.gaps = EventGaps()

    @property
    def has_events(self) -> bool:
        """Whether an event with a new id has arrived."""
        return self.events > 0

    @property
    def silence_limit(self) -> float:
        """Time without a new event after which upstreams are queried, in seconds."""
        if self.has_events:
            return STREAM_SILENCE_SECONDS
        return FIRST_EVENT_SILENCE_SECONDS

    @contextlib.contextmanager
    def exclude_write(self) -> Iterator[None]:
        """Don't count the time of a write to the caller as silence of the upstream."""
        started_at = trio.current_time()
        self.is_writing = True
        try:
            yield
        finally:
            self.is_writing = False
            self.last_event_at += trio.current_time() - started_at


def get_caller_idle_timeout(rule: RouteRule) -> float:
    """Return the time without data after which callers abandon a stream, in seconds."""
    return max(
        CALLER_IDLE_SECONDS,
        CALLER_IDLE_OBJECTIVE_FACTOR * rule.objective,
        CALLER_IDLE_GAP_FACTOR * rule.event_gap,
    )
