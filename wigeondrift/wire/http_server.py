"""HTTP/1.1 server on trio streams, using h11 for the protocol."""

import logging
import os
import socket
import sys
import traceback
from collections.abc import Awaitable, Callable, Iterable

import h11
import trio

from wigeondrift.errors import ConnectionLost, ErrorKind, RequestError
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.wire.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    HeldBody,
    make_refusal,
)
from wigeondrift.wire.headers import decode_headers, encode_headers
from wigeondrift.wire.numbers import MAX_DIGITS

READ_SIZE_BYTES = 65536
# Bytes read at once where little is expected: heads, and data behind a request that is
# being served.
HEAD_READ_BYTES = 8192
PIPELINED_READ_BYTES = 4096
# Memory of an open connection (task, protocol state, socket objects) and of one header
# (its names and values in the forms of the parser and of the request).
CONNECTION_BYTES = 10240
HEADER_OVERHEAD_BYTES = 512
# Events of small chunks that one caller may have parsed before others run; about a
# third of a millisecond.
EVENTS_PER_TURN = 32
# A chunk of this size costs the parser little for its length.
CHEAP_CHUNK_BYTES = 1024
# A body above the small ones must bring the minimum rate in each window.
RATE_WINDOW_SECONDS = 5.0
RECEIVE_BUFFER_BYTES = 131072
MAX_DRAIN_SECONDS = 1.0
MAX_DRAIN_READS = 64
METHOD_WITHOUT_RESPONSE_BODY = "HEAD"


class HttpLimits:
    """Size limits and timeouts of an HTTP server.

    Attributes
    ----------
    header_bytes : int
        Maximum size of the request line and headers together.
    body_bytes : int
        Maximum size of the request body.
    read_timeout : float
        Timeout for receiving a complete request, in seconds.
    idle_timeout : float
        Maximum time between two requests on a connection, in seconds.
    write_timeout : float
        Timeout for a single write, in seconds.
    connections : int
        Maximum number of open connections.
    body_rate : float
        Minimum rate of a body of over 64 KiB, in bytes per second, over a window of
        five seconds.
    """

    __slots__ = (
        "body_bytes",
        "body_rate",
        "connections",
        "header_bytes",
        "idle_timeout",
        "read_timeout",
        "write_timeout",
    )

    def __init__(
        self,
        header_bytes: int = 16384,
        body_bytes: int = 1048576,
        read_timeout: float = 10.0,
        idle_timeout: float = 60.0,
        write_timeout: float = 10.0,
        connections: int = 4096,
        body_rate: float = 4096.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.read_timeout = read_timeout
        self.idle_timeout = idle_timeout
        self.write_timeout = write_timeout
        self.connections = connections
        self.body_rate = body_rate


class Request:
    """Received request with its complete body.

    Attributes
    ----------
    method, target : str
        Method and target of the request line.
    headers_by_name : dict of str to str
        Header values by lower-case name; the last value of a repeated header.
    body : bytes
        Complete body.
    headers : list of (str, str)
        All headers in the order received, names in lower case.
    """

    __slots__ = ("body", "headers", "headers_by_name", "method", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers_by_name: dict[str, str],
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        self.method = method
        self.target = target
        self.headers_by_name = headers_by_name
        self.body = body
        self.headers = headers or []

    @property
    def path(self) -> str:
        """Path of the target, without the query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query string of the target, without the question mark."""
        return self.target.partition("?")[2]


class Exchange:
    """Request on a server connection and the response being written.

    Methods that write raise ``ConnectionLost`` if the peer has disconnected or the
    write times out.

    Attributes
    ----------
    request : Request
    started : bool
        Whether sending of the response has begun.
    """

    __slots__ = (
        "_connection",
        "_held",
        "_is_last",
        "_limits",
        "_stream",
        "request",
        "started",
    )

    def __init__(
        self,
        request: Request,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        limits: HttpLimits,
        is_last: Callable[[], bool] = lambda: False,
        held: HeldBody | None = None,
    ) -> None:
        self.request = request
        self._held = held
        self.started = False
        self._is_last = is_last
        self._connection = connection
        self._stream = stream
        self._limits = limits

    def release_body(self) -> None:
        """Drop the body of the request, which nothing will read again."""
        self.request.body = b""
        if self._held is not None:
            self._held.release()

    async def respond(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes = b""
    ) -> None:
        """Send a complete response in a single write."""
        framing = [("Content-Length", str(len(body))), *self._make_close_headers()]
        encoded = encode_headers([*headers, *framing])
        head = h11.Response(status_code=status, headers=encoded)
        self.started = True
        data = self._connection.send(head)
        if body and self.request.method != METHOD_WITHOUT_RESPONSE_BODY:
            data += self._connection.send(h11.Data(data=body))
        data += self._connection.send(h11.EndOfMessage())
        await self._write(data)

    async def start(
        self, status: int, headers: Iterable[tuple[str, str]], data: bytes = b""
    ) -> None:
        """Send status, headers and the first data of a chunked response."""
        framing = [("Transfer-Encoding", "chunked"), *self._make_close_headers()]
        encoded = encode_headers([*headers, *framing])
        head = h11.Response(status_code=status, headers=encoded)
        self.started = True
        output = self._connection.send(head)
        if data:
            output += self._connection.send(h11.Data(data=data))
        await self._write(output)

    def _make_close_headers(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self._is_last() else []

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._write(self._connection.send(h11.Data(data=data)))

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk, if any, and end the body."""
        output = b""
        if data:
            output = self._connection.send(h11.Data(data=data))
        await self._write(output + self._connection.send(h11.EndOfMessage()))

    async def run_until_closed(self, task: Callable[[], Awaitable[None]]) -> bool:
        """Run ``task`` and cancel it if the peer closes the connection.

        Returns
        -------
        bool
            Whether the task ended before the peer closed the connection.
        """
        failure = None
        ended = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_eof, nursery.cancel_scope)
            try:
                await task()
            except Exception as error:
                failure = error
            ended = not nursery.cancel_scope.cancel_called
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return ended

    async def _cancel_on_eof(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` if the peer closes its sending side.

        Data of a pipelined request is buffered; the connection is not monitored
        after that.
        """
        try:
            data = await self._stream.receive_some(PIPELINED_READ_BYTES)
            self._connection.receive_data(data)
            if self._held is not None:
                self._held.add_unparsed(len(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b""
        if not data:
            scope.cancel()

    async def _write(self, data: bytes) -> None:
        unwritten = self._write_nonblocking(data)
        if not unwritten:
            return
        try:
            with trio.fail_after(self._limits.write_timeout):
                await self._stream.send_all(unwritten)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
        ) as error:
            raise ConnectionLost("the peer disconnected or stopped reading") from error

    def _write_nonblocking(self, data: bytes) -> bytes:
        """Write without blocking and return the data that was not written.

        A cancel scope and a checkpoint per write cost more than the write itself.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return data
        try:
            return data[os.write(self._stream.socket.fileno(), data) :]
        except OSError:
            return data


Handler = Callable[[Exchange], Awaitable[None]]
ErrorResponder = Callable[[Exchange, RequestError], Awaitable[None]]


async def respond_with_text(exchange: Exchange, error: RequestError) -> None:
    """Respond to a connection-level error with its status and reason as text."""
    headers = [("Content-Type", "text/plain"), ("Connection", "close")]
    if error.retry_after is not None:
        headers.append(("Retry-After", str(error.retry_after)))
    await exchange.respond(error.status, headers, error.reason.encode())


class HttpServer:
    """Serves HTTP connections, passing each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that takes an ``Exchange`` and sends a complete response.
    limits : HttpLimits, optional
        Size limits and timeouts.
    on_error : callable, optional
        Coroutine function that responds to a request that could not be read.
    budget : BodyBudget, optional
        Account of the memory that requests hold; without a bound if absent.
    """

    __slots__ = (
        "_budget",
        "_handler",
        "_limits",
        "_on_error",
        "_parse_turn",
        "_close_announced",
        "_open_connections",
        "_keep_alive_stopped",
        "idle_scopes",
    )

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        on_error: ErrorResponder = respond_with_text,
        budget: BodyBudget | None = None,
    ) -> None:
        self._budget = budget or BodyBudget(sys.maxsize)
        # Waiting tasks get the lock in order, one in each iteration of the event loop.
        self._parse_turn = trio.Lock()
        self._handler = handler
        self._limits = limits or HttpLimits()
        self._on_error = on_error
        self._open_connections = 0
        self._close_announced = False
        self._keep_alive_stopped = False
        self.idle_scopes: set[trio.CancelScope] = set()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each further response."""
        self._close_announced = True

    def stop_keep_alive(self) -> None:
        """Close idle connections now and the others after their response."""
        self._close_announced = True
        self._keep_alive_stopped = True
        for scope in list(self.idle_scopes):
            scope.cancel()

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve a connection until it closes."""
        if self._open_connections >= self._limits.connections:
            await trio.aclose_forcefully(stream)
            return
        self._open_connections += 1
        held = self._budget.open()
        try:
            held.set_other(CONNECTION_BYTES)
            await self._serve_requests(stream, held)
        except (ConnectionLost, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            # An error outside the handler ends the connection, not the process.
            log_event(
                logging.getLogger(LOGGER_NAME),
                logging.ERROR,
                Event.CONNECTION_FAILED,
                reason="".join(traceback.format_exception(error)),
            )
        finally:
            self._budget.close(held)
            self._open_connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.abc.Stream, held: HeldBody) -> None:
        limits = self._limits
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        while True:
            if not await self._wait_for_first_byte(connection, stream):
                return
            request = await self._read_request(connection, stream, held)
            if request is None:
                return
            exchange = Exchange(
                request, connection, stream, limits, lambda: self._close_announced, held
            )
            # An idle connection must not keep the last request.
            del request
            is_open = await self._handle(exchange)
            exchange.release_body()
            del exchange
            held.set_other(CONNECTION_BYTES, len(connection.trailing_data[0]))
            if not is_open:
                return
            reusable = (
                connection.our_state is h11.DONE and connection.their_state is h11.DONE
            )
            if not reusable or self._keep_alive_stopped:
                return
            connection.start_next_cycle()

    async def _handle(self, exchange: Exchange) -> bool:
        """Handle one request; return whether the connection may be kept open.

        An unexpected exception in the handler fails the request, not the process.
        """
        try:
            await self._handler(exchange)
            return True
        except (ConnectionLost, trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception as error:
            log_event(
                logging.getLogger(LOGGER_NAME),
                logging.ERROR,
                Event.HANDLER_FAILED,
                path=exchange.request.path,
                reason="".join(traceback.format_exception(error)),
                answered=exchange.started,
            )
            if not exchange.started:
                internal = RequestError(ErrorKind.INTERNAL, "the request failed")
                await self._on_error(exchange, internal)
            return False

    async def _wait_for_first_byte(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> bool:
        if connection.trailing_data[0]:
            return True
        with trio.move_on_after(self._limits.idle_timeout) as scope:
            self.idle_scopes.add(scope)
            try:
                data = await stream.receive_some(HEAD_READ_BYTES)
            finally:
                self.idle_scopes.discard(scope)
            connection.receive_data(data)
            return bool(data)
        return False

    async def _read_request(
        self, connection: h11.Connection, stream: trio.abc.Stream, held: HeldBody
    ) -> Request | None:
        with trio.CancelScope() as scope:
            held.begin(scope.cancel)
            try:
                return await self._read_events(connection, stream, held, scope)
            except h11.RemoteProtocolError as violation:
                kind = ErrorKind.MALFORMED_REQUEST
                if violation.error_status_hint == 431:
                    kind = ErrorKind.HEADERS_TOO_LARGE
                error = RequestError(kind, "the request is not valid HTTP/1.1")
            except RequestError as refusal:
                # The frames of the traceback would keep what has been received.
                error = refusal.with_traceback(None)
        if scope.cancelled_caught:
            error = RequestError(ErrorKind.REQUEST_TIMEOUT, "the request came slowly")
            if held.is_evicted:
                error = make_refusal()
        held.abandon(len(connection.trailing_data[0]))
        await self._send_error(connection, stream, error)
        return None

    async def _send_error(
        self, connection: h11.Connection, stream: trio.abc.Stream, error: RequestError
    ) -> None:
        if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        request = Request("", "", {}, b"")
        exchange = Exchange(request, connection, stream, self._limits)
        await self._on_error(exchange, error)
        await _drain(stream)

    def _validate_head(self, head: h11.Request) -> None:
        # h11 limits the size of headers only while they are incomplete.
        size = len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self._limits.header_bytes:
            raise RequestError(ErrorKind.HEADERS_TOO_LARGE, "the headers are too large")
        names = {name for name, _ in head.headers}
        if b"content-length" not in names:
            return
        if b"transfer-encoding" in names:
            raise RequestError(ErrorKind.MALFORMED_REQUEST, "the body has two lengths")
        length = dict(head.headers)[b"content-length"]
        # h11 has checked that these are digits; there may be too many to convert.
        if len(length) > MAX_DIGITS or int(length) > self._limits.body_bytes:
            raise RequestError(ErrorKind.REQUEST_TOO_LARGE, "the body is too large")

    async def _read_events(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        held: HeldBody,
        scope: trio.CancelScope,
    ) -> Request | None:
        """Return the next request; ``scope`` ends the reading if it is too slow."""
        head = None
        head_bytes = CONNECTION_BYTES
        events = 0
        pace = _Pace(scope, self._limits)
        held.set_other(head_bytes, len(connection.trailing_data[0]))
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    continue_response = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await stream.send_all(connection.send(continue_response))
                size = HEAD_READ_BYTES if head is None else READ_SIZE_BYTES
                data = await stream.receive_some(size)
                if head is None:
                    head_bytes += len(data)
                held.set_other(head_bytes, len(data))
                connection.receive_data(data)
                # While the next read waits, nothing else may keep this data.
                del data
            elif isinstance(event, h11.Request):
                self._validate_head(event)
                head = event
                head_bytes += HEADER_OVERHEAD_BYTES * len(head.headers)
                held.set_other(head_bytes, len(connection.trailing_data[0]))
            elif isinstance(event, h11.Data):
                if held.size + len(event.data) > self._limits.body_bytes:
                    raise RequestError(
                        ErrorKind.REQUEST_TOO_LARGE, "the body is too large"
                    )
                held.append(event.data)
                pace.update(held.size)
                events += len(event.data) < CHEAP_CHUNK_BYTES
                if events >= EVENTS_PER_TURN:
                    events = 0
                    async with self._parse_turn:
                        pass
            elif isinstance(event, h11.EndOfMessage):
                held.set_other(head_bytes, len(connection.trailing_data[0]))
                return _make_request(head, held.finish())
            else:
                return None


class _Pace:
    """Ends the reading of a request at its time-out or below the minimum rate."""

    __slots__ = ("_ends_at", "_limits", "_scope", "_window_at", "_window_size")

    def __init__(self, scope: trio.CancelScope, limits: HttpLimits) -> None:
        now = trio.current_time()
        self._limits = limits
        self._scope = scope
        self._ends_at = scope.deadline = now + limits.read_timeout
        self._window_at = now
        self._window_size = 0

    def update(self, size: int) -> None:
        """Take note of the length of the body received so far, in bytes."""
        if size <= SMALL_BODY_BYTES:
            return
        needed = self._limits.body_rate * RATE_WINDOW_SECONDS
        if not self._window_size or size - self._window_size >= needed:
            self._window_at = trio.current_time()
            self._window_size = size
            window_ends_at = self._window_at + RATE_WINDOW_SECONDS
            self._scope.deadline = min(self._ends_at, window_ends_at)


def limit_receive_buffers(listeners: Iterable[trio.SocketListener]) -> None:
    """Bound the kernel's memory for bytes that were received and not yet read.

    Connections take the size over from their listener. Without it, the kernel lets
    the buffer of each connection grow to several megabytes.
    """
    for listener in listeners:
        listener.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )


async def _drain(stream: trio.abc.Stream) -> None:
    """Read for a bounded time, so that a TCP reset does not discard the response."""
    if isinstance(stream, trio.abc.HalfCloseableStream):
        await stream.send_eof()
    with trio.move_on_after(MAX_DRAIN_SECONDS):
        for _ in range(MAX_DRAIN_READS):
            if not await stream.receive_some(READ_SIZE_BYTES):
                return


def _make_request(head: h11.Request, body: bytes) -> Request:
    headers = decode_headers(head.headers)
    return Request(
        head.method.decode("ascii"),
        head.target.decode("ascii"),
        dict(headers),
        body,
        headers,
    )
