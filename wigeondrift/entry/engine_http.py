"""Model engine over HTTP."""

import contextlib
from collections.abc import AsyncIterator

import msgspec

from wigeondrift.entities import LoadReport
from wigeondrift.entry.engine import (
    CancelRequest,
    Engine,
    EngineEvent,
    EngineRefused,
    GenerateRequest,
)
from wigeondrift.errors import ConnectionLost, ProtocolViolation
from wigeondrift.wire.http_client import ClientResponse, HttpClient

LINE_BYTES = 1048576
HEAD_TIMEOUT_SECONDS = 1.5
CALL_TIMEOUT_SECONDS = 2.0
REFUSED_STATUS = 503

_ENCODER = msgspec.json.Encoder()
_EVENT_DECODER = msgspec.json.Decoder(EngineEvent)
_LOAD_DECODER = msgspec.json.Decoder(LoadReport)


class EventParser:
    """Parses newline-delimited events that arrive in arbitrary parts.

    Parameters
    ----------
    line_bytes : int
        Longest line.
    """

    __slots__ = ("_line_bytes", "_rest")

    def __init__(self, line_bytes: int = LINE_BYTES) -> None:
        self._line_bytes = line_bytes
        self._rest = b""

    def feed(self, data: bytes) -> list[EngineEvent]:
        """Return the events whose lines are complete.

        Raises
        ------
        ProtocolViolation
            If a line is too long or no event.
        """
        lines, newline, rest = (self._rest + data).rpartition(b"\n")
        self._rest = rest
        if len(rest) > self._line_bytes:
            raise ProtocolViolation("an event is too long")
        if not newline:
            return []
        try:
            return _EVENT_DECODER.decode_lines(lines)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolViolation("an event does not decode") from error


class HttpEngine(Engine):
    """Engine reached over HTTP, each attempt on a connection of its own.

    Parameters
    ----------
    client : HttpClient
        Makes the connections.
    head_timeout : float
        Longest time until the head of an answer, in seconds.
    """

    __slots__ = ("_client", "_head_timeout")

    def __init__(
        self, client: HttpClient, head_timeout: float = HEAD_TIMEOUT_SECONDS
    ) -> None:
        self._client = client
        self._head_timeout = head_timeout

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, order: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[list[EngineEvent]]]:
        """Start the order and enter with batches of its events as they arrive."""
        headers = [("Content-Type", "application/json")]
        if order.traceparent:
            headers.append(("traceparent", order.traceparent))
        request = self._client.request(
            address,
            "POST",
            "/generate",
            headers,
            _ENCODER.encode(order),
            head_timeout=self._head_timeout,
            new_connection=True,
        )
        async with request as response:
            if response.status != 200:
                raise _make_error(response)
            batches = _iter_batches(response)
            async with contextlib.aclosing(batches):
                yield batches

    async def cancel(self, address: str, order: CancelRequest) -> None:
        """Drop one attempt; unknown ones are ignored."""
        body = _ENCODER.encode(order)
        await self._call(address, "POST", "/cancel", body, new_connection=True)

    async def get_load(self, address: str) -> LoadReport:
        """Return the runner's own report of its load."""
        data = await self._call(address, "GET", "/load", b"")
        try:
            return _LOAD_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise ProtocolViolation("the load report does not decode") from error

    async def _call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        new_connection: bool = False,
    ) -> bytes:
        request = self._client.request(
            address,
            method,
            target,
            [],
            body,
            head_timeout=CALL_TIMEOUT_SECONDS,
            new_connection=new_connection,
        )
        async with request as response:
            data = await response.read()
            if response.status != 200:
                raise ProtocolViolation(f"{target}: status {response.status}")
            return data


def _make_error(response: ClientResponse) -> Exception:
    if response.status == REFUSED_STATUS and response.header("x-outcome") == "not-run":
        return EngineRefused(
            response.header("x-reason") or "unknown", response.header("x-stage") or ""
        )
    return ConnectionLost(f"the engine answered status {response.status}")


async def _iter_batches(response: ClientResponse) -> AsyncIterator[list[EngineEvent]]:
    parser = EventParser()
    async with contextlib.aclosing(response.iter_data()) as parts:
        async for data in parts:
            yield parser.feed(data)
