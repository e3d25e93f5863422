"""HTTP/1.1 client on trio streams, using h11 for the protocol."""

import contextlib
import math
import os
import re
import socket
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import h11
import trio

from wigeondrift.errors import (
    AnswerTooLarge,
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    ProtocolViolation,
)
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.headers import Headers, decode_headers, encode_headers
from wigeondrift.wire.numbers import parse_whole_number

READ_SIZE_BYTES = 65536
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
# TCP keepalive probes idle connections, and TCP_USER_TIMEOUT aborts connections with
# unacknowledged data, so that an unresponsive peer is detected within a few seconds.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# Upper bound on the time after which an idle connection is not reused.
MAX_IDLE_SECONDS = 4.0
# Fraction of the server's announced keep-alive timeout for which a connection is
# reused; later, the server may close it while a request is being sent.
KEEP_ALIVE_TIMEOUT_FRACTION = 0.6

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")
# Largest body that needs no share of the memory for large bodies, and that memory for
# all responses of a client together.
SMALL_BODY_BYTES = 65536
MAX_LARGE_BODIES_BYTES = 16 * 1048576
# Time within which a host refuses a connection if no server listens. It is well below
# the timeout of a connection to a host that is gone.
REFUSAL_SECONDS = 0.1
# Interim responses (1xx) accepted before a response.
MAX_INTERIM_RESPONSES = 8


class BodyMemory:
    """Memory that the large bodies of all responses of one client share.

    It bounds what many servers that send without end can take of the process. Small
    bodies are not counted, so that they are received also when it is used up.
    """

    __slots__ = ("_available",)

    def __init__(self, size: int = MAX_LARGE_BODIES_BYTES) -> None:
        self._available = size

    def extend(self, reserved: int, length: int) -> int:
        """Reserve memory for a body that has grown; return what it has reserved now.

        Parameters
        ----------
        reserved : int
            Bytes that the body has reserved so far.
        length : int
            Length of the body in bytes.

        Raises
        ------
        ProtocolViolation
            If the other bodies leave too little memory.
        """
        needed = max(0, length - SMALL_BODY_BYTES) - reserved
        if needed > self._available:
            raise ProtocolViolation("too many large answers are being received")
        self._available -= needed
        return reserved + needed

    def release(self, reserved: int) -> None:
        """Return reserved memory."""
        self._available += reserved


class Pace(NamedTuple):
    """Slowest arrival of a body that is accepted.

    Attributes
    ----------
    silence : float
        Longest time without a byte, in seconds; also the time by which the body may
        lag behind the rate.
    bytes_per_second : float
        Smallest rate over the whole body.
    """

    silence: float
    bytes_per_second: float


class ClientResponse:
    """Response to a client request; its body is read on demand.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (str, str)
        Headers with lower-case names, in the order received.
    """

    __slots__ = ("_body_memory", "_channel", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: Headers,
        channel: "ClientChannel",
        body_memory: BodyMemory,
    ) -> None:
        self._body_memory = body_memory
        self.status = status
        self.headers = headers
        self._channel = channel

    @property
    def is_on_reused_connection(self) -> bool:
        """Whether the connection has carried another request before.

        The response may then be a second copy of one to an earlier request.
        """
        return self._channel.is_reused

    def header(self, name: str) -> str | None:
        """Return the value of a header given by its lower-case name, if present."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def read(self, limit: int = 4 * 1048576) -> bytes:
        """Return the complete body.

        Raises
        ------
        AnswerTooLarge
            If the body is longer than ``limit`` bytes.
        ProtocolViolation
            If too many large bodies are being received.
        ConnectionLost
            If the body is truncated.
        """
        return await self._read_pieces(self.iter_data(), limit)

    async def read_steadily(self, pace: Pace, limit: int = 4 * 1048576) -> bytes:
        """Return the complete body if it arrives steadily, however long that takes.

        Raises
        ------
        ConnectionSilent
            If it arrives more slowly than ``pace`` allows.
        AnswerTooLarge, ProtocolViolation, ConnectionLost
            As ``read`` does.
        """
        return await self._read_pieces(self._iter_steadily(pace), limit)

    async def _read_pieces(self, pieces: AsyncIterator[bytes], limit: int) -> bytes:
        body = bytearray()
        reserved = 0
        try:
            async with contextlib.aclosing(pieces):
                async for data in pieces:
                    body += data
                    if len(body) > limit:
                        raise AnswerTooLarge(f"the answer has over {limit} bytes")
                    reserved = self._body_memory.extend(reserved, len(body))
        finally:
            self._body_memory.release(reserved)
        return bytes(body)

    async def _iter_steadily(self, pace: Pace) -> AsyncIterator[bytes]:
        started_at = trio.current_time()
        received = 0
        async with contextlib.aclosing(self.iter_data()) as pieces:
            while True:
                silent_at = trio.current_time() + pace.silence
                slow_at = started_at + pace.silence + received / pace.bytes_per_second
                try:
                    with trio.fail_at(min(silent_at, slow_at)):
                        data = await anext(pieces, None)
                except trio.TooSlowError as error:
                    reason = f"the answer stopped after {received} bytes"
                    raise ConnectionSilent(reason) from error
                if data is None:
                    return
                received += len(data)
                yield data

    async def iter_data(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, joining all data already received."""
        channel = self._channel
        event = await channel.next_event()
        while not isinstance(event, h11.EndOfMessage):
            parts = []
            while isinstance(event, h11.Data):
                parts.append(event.data)
                event = channel.poll_event()
            if parts:
                yield b"".join(parts)
            if not isinstance(event, h11.EndOfMessage):
                event = await channel.next_event()


class ClientChannel:
    """HTTP/1.1 client connection that carries one request at a time.

    Attributes
    ----------
    is_reused : bool
        Whether it has carried another request before the present one.
    usable_until : float
        Time until which it may be reused while it is idle, in seconds.
    """

    __slots__ = ("_body_memory", "_connection", "_stream", "is_reused", "usable_until")

    def __init__(
        self, stream: trio.abc.Stream, body_memory: BodyMemory | None = None
    ) -> None:
        self._body_memory = body_memory or BodyMemory()
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)
        self.is_reused = False
        self.usable_until = math.inf

    def set_idle_deadline(self, keep_alive: str | None) -> None:
        """Set the time until which the idle connection may be reused.

        Parameters
        ----------
        keep_alive : str or None
            ``Keep-Alive`` header of the last response, such as ``timeout=5``.
        """
        seconds = MAX_IDLE_SECONDS
        announced = KEEP_ALIVE_TIMEOUT_PATTERN.search(keep_alive or "")
        timeout = None if announced is None else parse_whole_number(announced.group(1))
        if timeout is not None:
            seconds = min(seconds, KEEP_ALIVE_TIMEOUT_FRACTION * timeout)
        self.usable_until = trio.current_time() + seconds

    @property
    def is_open_and_silent(self) -> bool:
        """Whether an idle connection is open and has no unread data.

        Data received without a request can't belong to a response, so such a
        connection is not reused.
        """
        if self._connection.trailing_data[0]:
            return False
        if not isinstance(self._stream, trio.SocketStream):
            return True
        try:
            os.read(self._stream.socket.fileno(), 1)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        connection = self._connection
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    def start_next(self) -> None:
        """Reset the protocol state for the next request."""
        self._connection.start_next_cycle()
        self.is_reused = True

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request, in a single write unless the body is large.

        A large body is not copied to join it with the head.
        """
        head = h11.Request(
            method=method, target=target, headers=encode_headers(headers)
        )
        parts = [self._connection.send(head)]
        if body:
            parts.append(self._connection.send(h11.Data(data=body)))
        parts.append(self._connection.send(h11.EndOfMessage()))
        if len(body) <= SMALL_BODY_BYTES:
            parts = [b"".join(parts)]
        try:
            for part in parts:
                await self._stream.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLost("the connection broke on sending") from error

    def poll_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event, or ``NEED_DATA`` if none has arrived.

        A protocol error in the response is raised by the next call of
        ``next_event``.
        """
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError:
            return h11.NEED_DATA

    async def next_event(self) -> h11.Event:
        """Wait for the next event of the response and return it.

        Raises
        ------
        ConnectionLost
            If the connection breaks or the response is truncated.
        """
        while True:
            try:
                event = self._connection.next_event()
                if event is not h11.NEED_DATA:
                    break
                data = await self._stream.receive_some(READ_SIZE_BYTES)
                self._connection.receive_data(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionLost("the connection broke") from error
            except h11.RemoteProtocolError as error:
                raise ConnectionLost("the answer was cut") from error
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionLost("the connection closed")
        return event

    async def read_head(self) -> ClientResponse:
        """Return the response once its status line and headers have arrived.

        Raises
        ------
        ConnectionLost
            If the connection breaks or the response is truncated.
        ProtocolViolation
            If interim responses come without end.
        """
        event = await self.next_event()
        interim_responses = 0
        while isinstance(event, h11.InformationalResponse):
            interim_responses += 1
            if interim_responses > MAX_INTERIM_RESPONSES:
                raise ProtocolViolation("too many interim responses")
            event = await self.next_event()
        headers = decode_headers(event.headers)
        return ClientResponse(event.status_code, headers, self, self._body_memory)

    async def close(self) -> None:
        """Close the connection immediately."""
        await trio.aclose_forcefully(self._stream)


class HttpClient:
    """HTTP client with a bounded pool of idle connections per address.

    Parameters
    ----------
    connect_timeout : float
        Timeout for establishing a connection, in seconds.
    max_idle_per_address : int
        Maximum number of idle connections kept per address.
    """

    __slots__ = (
        "_body_memory",
        "_connect_timeout",
        "_idle_by_address",
        "_max_idle_per_address",
    )

    def __init__(
        self, connect_timeout: float = 1.0, max_idle_per_address: int = 16
    ) -> None:
        self._connect_timeout = connect_timeout
        self._max_idle_per_address = max_idle_per_address
        self._idle_by_address: dict[str, list[ClientChannel]] = {}
        self._body_memory = BodyMemory()

    async def connect(self, address: str) -> ClientChannel:
        """Open a new connection.

        Raises
        ------
        ConnectFailed
            If no connection could be established in time.
        """
        host, port = parse_address(address)
        try:
            with trio.fail_after(self._connect_timeout):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectFailed(
                f"no connection to {address}", _is_refusal(error)
            ) from error
        _enable_dead_peer_detection(stream)
        return ClientChannel(stream, self._body_memory)

    async def is_refusing(self, address: str) -> bool:
        """Whether an address refuses connections, as after its server has died.

        An address that does not respond is not known to refuse them.
        """
        with trio.move_on_after(REFUSAL_SECONDS):
            try:
                channel = await self.connect(address)
            except ConnectFailed:
                return True
            await channel.close()
        return False

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        *,
        head_timeout: float = 10.0,
        new_connection: bool = False,
        on_sent: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and yield its response as a context manager.

        Parameters
        ----------
        address : str
            ``host:port`` of the server.
        method, target : str
            Method and target of the request line.
        headers : list of (str, str), optional
            Headers other than ``Host`` and ``Content-Length``.
        body : bytes
            Complete body.
        head_timeout : float
            Timeout for sending the request and receiving the response headers, in
            seconds.
        new_connection : bool
            Whether to open a new connection even if an idle one is available.
        on_sent : callable
            Called when the request has been sent.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        ConnectionLost
            If the connection broke or timed out after bytes were sent.
        """
        channel = None if new_connection else await self._pop_idle_channel(address)
        if channel is None:
            channel = await self.connect(address)
        all_headers = list(headers or [])
        if not any(name.lower() == "host" for name, _ in all_headers):
            all_headers.insert(0, ("Host", address))
        if body or method not in BODILESS_METHODS:
            all_headers.append(("Content-Length", str(len(body))))
        try:
            try:
                with trio.fail_after(head_timeout):
                    await channel.send(method, target, all_headers, body)
                    del body
                    on_sent()
                    response = await channel.read_head()
            except trio.TooSlowError as error:
                raise ConnectionSilent(f"{address} stayed silent") from error
            yield response
        except BaseException:
            await channel.close()
            raise
        await self._release_channel(address, channel, response.header("keep-alive"))

    async def _pop_idle_channel(self, address: str) -> ClientChannel | None:
        # Others may close or replace idle channels while one is being closed here.
        while idle := self._idle_by_address.get(address):
            channel = idle.pop()
            if (
                trio.current_time() < channel.usable_until
                and channel.is_open_and_silent
            ):
                return channel
            await channel.close()
        return None

    async def _release_channel(
        self, address: str, channel: ClientChannel, keep_alive: str | None
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if channel.is_reusable and len(idle) < self._max_idle_per_address:
            channel.start_next()
            channel.set_idle_deadline(keep_alive)
            idle.append(channel)
        else:
            await channel.close()

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return sum(map(len, self._idle_by_address.values()))

    async def prune(self, now: float) -> None:
        """Close idle connections that may no longer be reused.

        Parameters
        ----------
        now : float
            Event loop time, in seconds.
        """
        for channels in list(self._idle_by_address.values()):
            expired = [c for c in channels if now >= c.usable_until]
            channels[:] = [c for c in channels if c not in expired]
            for channel in expired:
                await channel.close()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address; its host may be unresponsive."""
        for channel in self._idle_by_address.pop(address, ()):
            await channel.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            await self.close_idle(address)


def _enable_dead_peer_detection(stream: trio.SocketStream) -> None:
    """Set socket options that make the kernel abort a connection to a dead peer."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _is_refusal(error: Exception) -> bool:
    """Whether each address of a peer refused the connection."""
    cause = error.__cause__
    return isinstance(cause, ExceptionGroup) and all(
        isinstance(one, ConnectionRefusedError) for one in cause.exceptions
    )
