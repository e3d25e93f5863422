"""Contract of a model engine and the messages of its token stream.

The HTTP form is ``POST /generate`` with a JSON ``GenerateRequest``, answered by
newline-delimited JSON of ``TokenEvent``, then ``EndEvent`` or ``FailureEvent``. An
empty line is a sign of life of an order that waits for a slot or its prefill. A
refusal before anything ran has status 503, header ``X-Outcome: not-run``, the reason
in ``X-Reason`` and the runner that refused in ``X-Stage``.
``POST /cancel`` takes a JSON ``CancelRequest``; ``GET /load`` gives a ``LoadReport``.
The first stage of a route drives the later ones.
"""

import abc
import contextlib
from collections.abc import AsyncIterator

import msgspec

from wigeondrift.entities import LoadReport, Stage


class GenerateRequest(msgspec.Struct, frozen=True):
    """Order to generate tokens over a route.

    Attributes
    ----------
    request_id : str
        Identifier that the entry made.
    attempt : int
        Grows with each route tried for the request.
    service, version : str
        Model and its version.
    stages : tuple of Stage
        Whole route; the receiver is the first stage.
    prompt : str
        Prompt text.
    tokens : tuple of str
        Tokens already handed to the caller; generation goes on after them.
    max_tokens : int
        Most tokens of the whole answer, with those in ``tokens``.
    priority : int
        Lower runs first.
    fencing : int
        Fencing number; engines that check refuse one below the newest seen.
    traceparent : str
        W3C trace context of the hop.
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
    """One token and the stages that ran it.

    Attributes
    ----------
    request_id : str
    attempt : int
        As in the request.
    index : int
        Place of the token in the whole answer, from zero.
    text : str
        The token.
    stages : tuple of str
        Names of the runners that ran it, in order.
    """

    request_id: str
    attempt: int
    index: int
    text: str
    stages: tuple[str, ...]


class EndEvent(msgspec.Struct, frozen=True, tag="end", tag_field="event"):
    """End mark of a whole answer.

    Attributes
    ----------
    count : int
        Tokens of the whole answer, with those of earlier attempts.
    finish_reason : str
        ``stop`` or ``length``.
    """

    request_id: str
    attempt: int
    count: int
    finish_reason: str


class FailureEvent(msgspec.Struct, frozen=True, tag="failure", tag_field="event"):
    """The engine gives up the attempt.

    Attributes
    ----------
    failed_stage : str
        Runner that failed, if known.
    reason : str
        ``unreachable`` if the runner took no connection; else for the log.
    """

    request_id: str
    attempt: int
    failed_stage: str
    reason: str


UNREACHABLE_REASON = "unreachable"

EngineEvent = TokenEvent | EndEvent | FailureEvent


class CancelRequest(msgspec.Struct, frozen=True):
    """Order to drop one attempt of a request."""

    request_id: str
    attempt: int


class EngineRefused(Exception):
    """The engine refused the order before running any of it.

    Parameters
    ----------
    reason : str
        ``leaving``, ``full``, ``fenced``, ``version`` or, of a later stage that the
        first one cannot reach, ``unreachable``.
    stage : str
        Runner that refused; empty if not known.
    """

    def __init__(self, reason: str, stage: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.stage = stage


class Engine(abc.ABC):
    """A runner reached at an address."""

    @abc.abstractmethod
    def generate(
        self, address: str, request: GenerateRequest
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[list[EngineEvent]]]:
        """Start the order and enter with batches of its events as they arrive.

        An empty batch is a sign of life before the first token. Leaving
        the context cancels what still runs.

        Raises
        ------
        ConnectFailed
            If no byte of the order was sent.
        EngineRefused
            If the engine refused before running.
        ConnectionLost
            If the connection broke; also raised by the iterator.
        ProtocolViolation
            If an event does not decode; also raised by the iterator.
        """

    @abc.abstractmethod
    async def cancel(self, address: str, request: CancelRequest) -> None:
        """Drop one attempt; unknown ones are ignored."""

    @abc.abstractmethod
    async def get_load(self, address: str) -> LoadReport:
        """Return the runner's own report of its load."""
