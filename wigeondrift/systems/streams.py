"""State of one token stream across the attempts that produce it."""

import enum
from collections import Counter
from collections.abc import Iterable

from wigeondrift.entities import Route
from wigeondrift.entry.engine import (
    EndEvent,
    EngineEvent,
    FailureEvent,
    GenerateRequest,
    TokenEvent,
)


class Drop(enum.StrEnum):
    """Reason for dropping an engine event."""

    REQUEST = "request"
    ATTEMPT = "attempt"
    INDEX = "index"
    STAGES = "stages"
    COUNT = "count"
    ENDED = "ended"


class VersionChanged(Exception):
    """The route of a new attempt has another model version than the tokens so far.

    Parameters
    ----------
    begun, offered : str
        Versions of the existing tokens and of the route.
    """

    def __init__(self, begun: str, offered: str) -> None:
        super().__init__(f"tokens have version {begun}, the route has {offered}")
        self.begun = begun
        self.offered = offered


class TokenStream:
    """Accepts the events of a request's attempts and yields each token once.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    max_tokens : int
        Maximum number of tokens in the whole answer.

    Attributes
    ----------
    attempt : int
        Number of the current attempt, from one; zero before the first.
    route : Route or None
        Route of the current attempt.
    version : str
        Model version of the accepted tokens; empty before the first token.
    tokens : list of str
        Accepted tokens, in order.
    finish_reason : str
        Finish reason from the end event; empty before it.
    failure : FailureEvent or None
        Failure that ended the current attempt.
    has_gap : bool
        Whether the current attempt skipped an index, so that it cannot continue.
    drops_by_reason : Counter
        Number of dropped events by reason.
    """

    __slots__ = (
        "attempt",
        "drops_by_reason",
        "failure",
        "finish_reason",
        "has_gap",
        "max_tokens",
        "request_id",
        "route",
        "route_ids",
        "tokens",
        "version",
    )

    def __init__(self, request_id: str, max_tokens: int) -> None:
        self.request_id = request_id
        self.max_tokens = max_tokens
        self.attempt = 0
        self.route: Route | None = None
        self.route_ids: tuple[str, ...] = ()
        self.version = ""
        self.tokens: list[str] = []
        self.finish_reason = ""
        self.failure: FailureEvent | None = None
        self.has_gap = False
        self.drops_by_reason: Counter[Drop] = Counter()

    @property
    def has_ended(self) -> bool:
        """Whether the end event has been accepted."""
        return bool(self.finish_reason)

    def begin(self, route: Route) -> None:
        """Start the next attempt on ``route``; later events of the last are dropped.

        Raises
        ------
        VersionChanged
            If tokens of another model version have been accepted.
        """
        if self.tokens and route.version != self.version:
            raise VersionChanged(self.version, route.version)
        self.attempt += 1
        self.route = route
        self.route_ids = route.instance_ids
        self.version = route.version
        self.failure = None
        self.has_gap = False

    def make_request(
        self, service: str, prompt: str, priority: int, fencing: int, traceparent: str
    ) -> GenerateRequest:
        """Return the request of the current attempt, with the tokens so far."""
        return GenerateRequest(
            request_id=self.request_id,
            attempt=self.attempt,
            service=service,
            version=self.route.version,
            stages=self.route.stages,
            prompt=prompt,
            tokens=tuple(self.tokens),
            max_tokens=self.max_tokens,
            priority=priority,
            fencing=fencing,
            traceparent=traceparent,
        )

    def accept(self, events: Iterable[EngineEvent]) -> list[str]:
        """Accept the expected events and return the texts of new tokens."""
        texts = []
        for event in events:
            reason = self._find_drop_reason(event)
            if reason is not None:
                self.drops_by_reason[reason] += 1
            elif isinstance(event, TokenEvent):
                self.tokens.append(event.text)
                texts.append(event.text)
            elif isinstance(event, EndEvent):
                self.finish_reason = event.finish_reason
            else:
                self.failure = event
        return texts

    def _find_drop_reason(self, event: EngineEvent) -> Drop | None:
        if event.request_id != self.request_id:
            return Drop.REQUEST
        if event.attempt != self.attempt:
            return Drop.ATTEMPT
        if self.finish_reason:
            return Drop.ENDED
        if isinstance(event, TokenEvent):
            return self._find_token_drop(event)
        if isinstance(event, EndEvent):
            return self._find_end_drop(event)
        return None

    def _find_token_drop(self, event: TokenEvent) -> Drop | None:
        if event.stages != self.route_ids:
            return Drop.STAGES
        expected_index = len(self.tokens)
        if event.index != expected_index or expected_index >= self.max_tokens:
            self.has_gap = self.has_gap or event.index > expected_index
            return Drop.INDEX
        return None

    def _find_end_drop(self, event: EndEvent) -> Drop | None:
        if event.count != len(self.tokens) or not event.finish_reason:
            self.has_gap = True
            return Drop.COUNT
        return None
