"""Interface of a model engine and the messages of its token stream.

Over HTTP, ``POST /generate`` takes a JSON ``GenerateRequest``. The response is
newline-delimited JSON: ``TokenEvent`` lines, then an ``EndEvent`` or a
``FailureEvent``. An empty line is a heartbeat of a request that waits for a slot or
for its prefill. A refusal before anything has run has status 503, the header
``X-Outcome: not-run``, the reason in ``X-Reason`` and the refusing runner in
``X-Stage``.
``POST /cancel`` takes a JSON ``CancelRequest``; ``GET /load`` returns a
``LoadReport``. The first stage of a route drives the later ones.
"""

import abc
import contextlib
from collections.abc import AsyncIterator

import msgspec

from wigeondrift.entities import LoadReport, Stage


class GenerateRequest(msgspec.Struct, frozen=True):
    """Request to generate tokens over a route.

    Attributes
    ----------
    request_id : str
        Identifier assigned by the entry.
    attempt : int
        Number of the attempt; increases with each route tried for the request.
    service, version : str
        Name and version of the model.
    stages : tuple of Stage
        All stages of the route; the receiver is the first one.
    prompt : str
        Prompt text.
    tokens : tuple of str
        Tokens already sent to the caller; generation continues after them.
    max_tokens : int
        Maximum number of tokens in the whole answer, including ``tokens``.
    priority : int
        Requests with a lower value run first.
    fencing : int
        Fencing number; engines that check fencing refuse a number below the
        highest one seen.
    traceparent : str
        W3C trace context of the attempt's span.
    """

    request_id: str
    attempt: int
    service: str
    version: str
    stages: tuple[Stage, ...]
    prompt: str
    tokens: tuple[str, ...] = ()
    max_tokens: int = 256
    priority: int = 0
    fencing: int = 0
    traceparent: str = ""


class TokenEvent(msgspec.Struct, frozen=True, tag="token", tag_field="event"):
    """A token and the stages that computed it.

    Attributes
    ----------
    request_id : str
    attempt : int
        Same as in the request.
    index : int
        Index of the token in the whole answer, from zero.
    text : str
        Text of the token.
    stages : tuple of str
        Names of the runners that computed the token, in order.
    """

    request_id: str
    attempt: int
    index: int
    text: str
    stages: tuple[str, ...]


class EndEvent(msgspec.Struct, frozen=True, tag="end", tag_field="event"):
    """End of a complete answer.

    Attributes
    ----------
    count : int
        Number of tokens in the whole answer, including earlier attempts.
    finish_reason : str
        ``stop`` or ``length``.
    """

    request_id: str
    attempt: int
    count: int
    finish_reason: str


class FailureEvent(msgspec.Struct, frozen=True, tag="failure", tag_field="event"):
    """The engine aborted the attempt.

    Attributes
    ----------
    failed_stage : str
        Runner that failed; empty if unknown.
    reason : str
        ``unreachable`` if no connection to the runner could be made; any other
        value is only logged.
    """

    request_id: str
    attempt: int
    failed_stage: str
    reason: str


UNREACHABLE_REASON = "unreachable"

EngineEvent = TokenEvent | EndEvent | FailureEvent


class CancelRequest(msgspec.Struct, frozen=True):
    """Request to cancel one attempt of a request."""

    request_id: str
    attempt: int


class EngineRefused(Exception):
    """The engine refused the request before running any part of it.

    Parameters
    ----------
    reason : str
        ``leaving``, ``full``, ``fenced``, ``version``, or ``unreachable`` if the
        first stage cannot reach a later one.
    stage : str
        Runner that refused; empty if unknown.
    """

    def __init__(self, reason: str, stage: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.stage = stage


class Engine(abc.ABC):
    """Client interface to runners, which are given by address."""

    @abc.abstractmethod
    def generate(
        self, address: str, request: GenerateRequest
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[list[EngineEvent]]]:
        """Start the request and yield an iterator over batches of its events.

        An empty batch is a heartbeat before the first token. Leaving the context
        cancels the request if it is still running.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        EngineRefused
            If the engine refused the request before running it.
        ConnectionLost
            If the connection broke; also raised by the iterator.
        ProtocolViolation
            If an event cannot be decoded; also raised by the iterator.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, request: CancelRequest) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    @abc.abstractmethod
    async def get_load(self, address: str) -> LoadReport:
        """Return the load that the runner reports."""
