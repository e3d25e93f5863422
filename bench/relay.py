"""Plain relay on h11 and trio that passes bytes, the base line of the token cost."""

import sys

import trio

from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpServer

LISTEN_BACKLOG = 512


class Relay:
    """Passes requests to one upstream and its answer back, part by part.

    Parameters
    ----------
    upstream : str
        ``host:port``.
    """

    __slots__ = ("_client", "_upstream")

    def __init__(self, upstream: str) -> None:
        self._client = HttpClient()
        self._upstream = upstream

    async def handle(self, exchange: Exchange) -> None:
        """Pass one request on."""
        request = exchange.request
        async with self._client.request(
            self._upstream, request.method, request.target, [], request.body
        ) as response:
            await exchange.start(response.status, [])
            async for data in response.iter_data():
                await exchange.send(data)
            await exchange.finish()


async def serve(listen: str, upstream: str) -> None:
    """Serve until cancelled."""
    host, port = parse_address(listen)
    server = HttpServer(Relay(upstream).handle)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
    print('{"event_name": "started"}', flush=True)
    await trio.serve_listeners(server.serve_stream, listeners)


if __name__ == "__main__":
    trio.run(serve, *sys.argv[1:3])
