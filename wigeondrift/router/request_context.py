"""One caller's request on its way, and what ends an attempt of it."""

import trio

from wigeondrift.errors import WigeondriftError
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.router.entities import RouteRule, ServiceSpec
from wigeondrift.router.event_stream import EventBuffer
from wigeondrift.systems.chains import RouteDemand

# Callers leave a stream that brings nothing for this long, or for these multiples of
# its objective or its longest pause if they are longer (the platform's pages).
CALLER_IDLE_SECONDS = 2.0
CALLER_IDLE_OBJECTIVES = 4.0
CALLER_IDLE_GAPS = 8.0
# Part of an answer that a request holds on average while it runs.
MEAN_ANSWER_SHARE = 0.5


class AttemptFailed(WigeondriftError):
    """A try at one upstream that did not end in an answer to pass on.

    Parameters
    ----------
    reason : str
    may_have_run : bool
    suspects : tuple of str
        Upstreams to leave out of the next try.
    answer : tuple or None
        The upstream's head and body, if it gave a whole answer.
    was_sent : bool
        Whether anything reached an upstream.
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
    """One request on its way: what the log line and the decisions need.

    Attributes
    ----------
    call : CallerRequest
    rule : RouteRule
    service : ServiceSpec
    team : str
    deadline : float
        Time of the final answer at the latest, in seconds.
    events : EventBuffer
        Events passed on.
    expected_first : float or None
        Time to the first event that the last route was expected to take, in seconds.
    room_seconds : float
        Time spent waiting for room.
    longest_gap : float or None
        Longest pause between two events, in seconds.
    """

    __slots__ = (
        "attempts",
        "call",
        "deadline",
        "events",
        "excluded",
        "expected_first",
        "longest_gap",
        "may_have_run",
        "room_seconds",
        "rule",
        "service",
        "first_event_at",
        "team",
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
        self.may_have_run = False
        self.first_event_at: float | None = None
        self.upstreams: list[str] = []
        self.room_seconds = 0.0
        self.expected_first: float | None = None
        self.longest_gap: float | None = None

    @property
    def demand(self) -> RouteDemand:
        """What the request is expected to need of a route, on average."""
        call = self.call
        engine = self.service.engine
        answer = float(call.answer_estimate or engine.mean_answer_tokens)
        if call.answer_limit:
            answer = min(answer, float(call.answer_limit))
        prompt = float(call.prompt_tokens or engine.mean_prompt_tokens)
        tokens = prompt + MEAN_ANSWER_SHARE * answer
        return RouteDemand(tokens, prompt, self.rule.event_gap)


class Progress:
    """How far one attempt of a stream has come.

    Attributes
    ----------
    last_data_at : float
        Time of the last bytes, in seconds.
    has_events : bool
    ended : bool
        Whether the attempt ended by itself.
    suspects : tuple of str
        Runners for which it was given up.
    """

    __slots__ = ("ended", "has_events", "last_data_at", "suspects")

    def __init__(self) -> None:
        self.last_data_at = trio.current_time()
        self.has_events = False
        self.ended = False
        self.suspects: tuple[str, ...] = ()


def get_caller_idle_timeout(rule: RouteRule) -> float:
    """Return the silence after which callers leave a stream, in seconds."""
    return max(
        CALLER_IDLE_SECONDS,
        CALLER_IDLE_OBJECTIVES * rule.objective,
        CALLER_IDLE_GAPS * rule.event_gap,
    )
