"""Client of plain services over HTTP."""

import h11
import trio

from wigeondrift.entry.service import PlainService, ServiceAnswer, ServiceCall
from wigeondrift.errors import ConnectFailed, ConnectionLost, ProtocolViolation
from wigeondrift.wire.headers import Headers
from wigeondrift.wire.http_client import ClientChannel, HttpClient

MAX_ANSWER_BYTES = 4 * 1048576
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def strip_connection_headers(
    headers: Headers | tuple[tuple[str, str], ...],
) -> Headers:
    """Return the end-to-end headers; see RFC 9110 section 7.6.1."""
    connection_options = set()
    for name, value in headers:
        if name.lower() == "connection":
            connection_options.update(part.strip().lower() for part in value.split(","))
    dropped = CONNECTION_HEADERS | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class HttpPlainService(PlainService):
    """Calls upstreams over HTTP, each call on a new connection.

    The peer may have closed an idle connection, which is only detected after bytes
    were sent. A new connection makes it possible to distinguish "not sent" from
    "lost".

    Parameters
    ----------
    client : HttpClient
        Opens the connections.
    """

    __slots__ = ("_client",)

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(
        self,
        address: str,
        call: ServiceCall,
        timeout: float,
        send_by: float | None = None,
    ) -> ServiceAnswer:
        """Send the call once; see ``PlainService``."""
        channel = await self._client.connect(address)
        try:
            return await self._exchange(channel, address, call, timeout, send_by)
        finally:
            await channel.close()

    async def _exchange(
        self,
        channel: ClientChannel,
        address: str,
        call: ServiceCall,
        timeout: float,
        send_by: float | None,
    ) -> ServiceAnswer:
        headers = [("Host", address), ("Content-Length", str(len(call.body)))]
        headers.extend(strip_connection_headers(call.headers))
        if send_by is not None and trio.current_time() > send_by:
            raise ConnectFailed("the deadline to start sending has passed")
        try:
            with trio.fail_after(timeout):
                await channel.send(call.method, call.target, headers, call.body)
                response = await channel.read_head()
                body = await response.read(MAX_ANSWER_BYTES)
        except trio.TooSlowError as error:
            raise ConnectionLost(f"{address} did not answer in time") from error
        except ProtocolViolation as error:
            raise ConnectionLost(
                f"{address} sent an answer above the size limit"
            ) from error
        except h11.LocalProtocolError as error:
            raise ConnectFailed("the call cannot be sent as valid HTTP/1.1") from error
        forwarded = strip_connection_headers(response.headers)
        return ServiceAnswer(response.status, tuple(forwarded), body)
