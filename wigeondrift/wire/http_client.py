"""HTTP/1.1 client over trio streams, framed by h11."""

import contextlib
import math
import os
import re
import socket
from collections.abc import AsyncIterator

import h11
import trio

from wigeondrift.errors import (
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    ProtocolViolation,
)
from wigeondrift.wire.address import parse_address

READ_SIZE_BYTES = 65536
BODILESS_METHODS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
# Idle connections are probed, and unacknowledged bytes break a connection, so that a
# silent peer shows within a few seconds.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000
# An idle connection is not used again after this time unless its server says longer.
MAX_IDLE_SECONDS = 4.0
# Part of a server's stated idle time after which its end may race with a request.
KEEP_ALIVE_TIMEOUT_FRACTION = 0.6

Headers = list[tuple[str, str]]

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")


class ClientResponse:
    """Answer to a client request whose body is read on demand.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (str, str)
        Headers with lower-case names, in order.
    """

    __slots__ = ("_channel", "headers", "status")

    def __init__(self, status: int, headers: Headers, channel: "ClientChannel") -> None:
        self.status = status
        self.headers = headers
        self._channel = channel

    def header(self, name: str) -> str | None:
        """Return the value of the header of lower-case ``name``, if any."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    async def read(self, limit: int = 4 * 1048576) -> bytes:
        """Return the whole body.

        Raises
        ------
        ProtocolViolation
            If the body is longer than ``limit`` bytes.
        ConnectionLost
            If the body is cut.
        """
        body = bytearray()
        async for data in self.iter_data():
            body += data
            if len(body) > limit:
                raise ProtocolViolation("the answer is too large")
        return bytes(body)

    async def iter_data(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives, all that is there as one part."""
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
    """One client connection."""

    __slots__ = ("_connection", "_stream", "usable_until")

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)
        self.usable_until = math.inf

    def set_idle_deadline(self, keep_alive: str | None) -> None:
        """Bound the time in which the idle connection is used again.

        Parameters
        ----------
        keep_alive : str or None
            Header of the last answer, such as ``timeout=5``.
        """
        seconds = MAX_IDLE_SECONDS
        stated = KEEP_ALIVE_TIMEOUT_PATTERN.search(keep_alive or "")
        if stated is not None:
            seconds = min(seconds, KEEP_ALIVE_TIMEOUT_FRACTION * int(stated.group(1)))
        self.usable_until = trio.current_time() + seconds

    @property
    def is_open_and_silent(self) -> bool:
        """Whether an idle connection is open and nothing came on it.

        Bytes that no request asked for belong to no answer.
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
        """Prepare for the next request."""
        self._connection.start_next_cycle()

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send one whole request in one write."""
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._connection.send(head)
        if body:
            data += self._connection.send(h11.Data(data=body))
        data += self._connection.send(h11.EndOfMessage())
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLost("the connection broke on sending") from error

    def poll_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Return the next event if it has arrived.

        What is wrong with the answer shows at the next call of ``next_event``.
        """
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError:
            return h11.NEED_DATA

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer."""
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
        """Return the answer after its head has arrived."""
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        headers = [
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in event.headers
        ]
        return ClientResponse(event.status_code, headers, self)

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self._stream)


class HttpClient:
    """Client with a bounded pool of idle connections for each address.

    Parameters
    ----------
    connect_timeout : float
        Longest time for a connection to be made, in seconds.
    max_idle_per_address : int
        Idle connections kept for each address.
    """

    __slots__ = ("_connect_timeout", "_idle_by_address", "_max_idle_per_address")

    def __init__(
        self, connect_timeout: float = 1.0, max_idle_per_address: int = 16
    ) -> None:
        self._connect_timeout = connect_timeout
        self._max_idle_per_address = max_idle_per_address
        self._idle_by_address: dict[str, list[ClientChannel]] = {}

    async def connect(self, address: str) -> ClientChannel:
        """Return a new connection.

        Raises
        ------
        ConnectFailed
            If none could be made in time.
        """
        host, port = parse_address(address)
        try:
            with trio.fail_after(self._connect_timeout):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as error:
            raise ConnectFailed(f"no connection to {address}") from error
        _enable_dead_peer_detection(stream)
        return ClientChannel(stream)

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
    ) -> AsyncIterator[ClientResponse]:
        """Send a request and enter with its answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the server.
        method, target : str
            Request line.
        headers : list of (str, str), optional
            Headers besides ``Host`` and ``Content-Length``.
        body : bytes
            Whole body.
        head_timeout : float
            Longest time until the head of the answer, in seconds.
        new_connection : bool
            Whether to open a new connection even if an idle one is at hand.

        Raises
        ------
        ConnectFailed
            If no byte of the request was sent.
        ConnectionLost
            If the connection broke or stayed silent after bytes were sent.
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
                    response = await channel.read_head()
            except trio.TooSlowError as error:
                raise ConnectionSilent(f"{address} stayed silent") from error
            yield response
        except BaseException:
            await channel.close()
            raise
        await self._release_channel(address, channel, response.header("keep-alive"))

    async def _pop_idle_channel(self, address: str) -> ClientChannel | None:
        idle = self._idle_by_address.get(address)
        while idle:
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
        """Close idle connections that won't be used again.

        Parameters
        ----------
        now : float
            Time of the event loop, in seconds.
        """
        for address, channels in list(self._idle_by_address.items()):
            old = [c for c in channels if now >= c.usable_until]
            self._idle_by_address[address] = [c for c in channels if c not in old]
            for channel in old:
                await channel.close()

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, which may have gone silent."""
        for channel in self._idle_by_address.pop(address, ()):
            await channel.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            await self.close_idle(address)


def _enable_dead_peer_detection(stream: trio.SocketStream) -> None:
    """Let the kernel break the connection if its peer falls silent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
