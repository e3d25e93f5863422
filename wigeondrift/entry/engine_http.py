"""Model engine client over HTTP."""

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

MAX_LINE_BYTES = 1048576
HEAD_TIMEOUT_SECONDS = 1.5
CALL_TIMEOUT_SECONDS = 2.0
REFUSED_STATUS = 503

_ENCODER = msgspec.json.Encoder()
_EVENT_DECODER = msgspec.json.Decoder(EngineEvent)
_LOAD_DECODER = msgspec.json.Decoder(LoadReport)


class EventParser:
    """Incremental parser of newline-delimited events.

    Parameters
    ----------
    max_line_bytes : int
        Maximum length of a line, in bytes.
    """

    __slots__ = ("_max_line_bytes", "_rest")

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_line_bytes = max_line_bytes
        self._rest = b""

    def feed(self, data: bytes) -> list[EngineEvent]:
        """Add received bytes and return the events whose lines are complete.

        Raises
        ------
        ProtocolViolation
            If a line is too long or is not an event.
        """
        lines, newline, rest = (self._rest + data).rpartition(b"\n")
        self._rest = rest
        if len(rest) > self._max_line_bytes:
            raise ProtocolViolation("engine event line exceeds the size limit")
        if not newline:
            return []
        try:
            return _EVENT_DECODER.decode_lines(lines)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolViolation("engine event cannot be decoded") from error


class HttpEngine(Engine):
    """Engine client over HTTP; each attempt uses its own connection.

    Parameters
    ----------
    client : HttpClient
        Opens the connections.
    head_timeout : float
        Maximum time until the response headers, in seconds.
    """

    __slots__ = ("_client", "_head_timeout")

    def __init__(
        self, client: HttpClient, head_timeout: float = HEAD_TIMEOUT_SECONDS
    ) -> None:
        self._client = client
        self._head_timeout = head_timeout

    @contextlib.asynccontextmanager
    async def generate(
        self, address: str, request: GenerateRequest
    ) -> AsyncIterator[AsyncIterator[list[EngineEvent]]]:
        """Start the request and yield an iterator over batches of its events."""
        headers = [("Content-Type", "application/json")]
        if request.traceparent:
            headers.append(("traceparent", request.traceparent))
        exchange = self._client.request(
            address,
            "POST",
            "/generate",
            headers,
            _ENCODER.encode(request),
            head_timeout=self._head_timeout,
            new_connection=True,
        )
        async with exchange as response:
            if response.status != 200:
                raise _make_error(response)
            batches = _iter_batches(response)
            async with contextlib.aclosing(batches):
                yield batches

    async def cancel(self, address: str, request: CancelRequest) -> None:
        """Cancel an attempt; unknown attempts are ignored."""
        body = _ENCODER.encode(request)
        await self._call(address, "POST", "/cancel", body, new_connection=True)

    async def get_load(self, address: str) -> LoadReport:
        """Return the load that the runner reports."""
        data = await self._call(address, "GET", "/load", b"")
        try:
            return _LOAD_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise ProtocolViolation("load report cannot be decoded") from error

    async def _call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        new_connection: bool = False,
    ) -> bytes:
        exchange = self._client.request(
            address,
            method,
            target,
            [],
            body,
            head_timeout=CALL_TIMEOUT_SECONDS,
            new_connection=new_connection,
        )
        async with exchange as response:
            data = await response.read()
            if response.status != 200:
                raise ProtocolViolation(
                    f"{target}: unexpected status {response.status}"
                )
            return data


def _make_error(response: ClientResponse) -> Exception:
    if response.status == REFUSED_STATUS and response.header("x-outcome") == "not-run":
        return EngineRefused(
            response.header("x-reason") or "unknown", response.header("x-stage") or ""
        )
    return ConnectionLost(f"engine answered with status {response.status}")


async def _iter_batches(response: ClientResponse) -> AsyncIterator[list[EngineEvent]]:
    parser = EventParser()
    async with contextlib.aclosing(response.iter_data()) as parts:
        async for data in parts:
            yield parser.feed(data)
