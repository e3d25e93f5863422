"""Minimal HTTP relay on h11 and trio, the baseline of the token cost benchmark."""

import sys

import trio

from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpServer

LISTEN_BACKLOG = 512


class Relay:
    """Forwards requests to one upstream and streams the responses back.

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
        """Forward one request and stream the response back."""
        request = exchange.request
        async with self._client.request(
            self._upstream, request.method, request.target, [], request.body
        ) as response:
            await exchange.start(response.status, [])
            async for data in response.iter_data():
                await exchange.send(data)
            await exchange.finish()


async def serve(listen: str, upstream: str) -> None:
    """Serve requests until cancelled."""
    host, port = parse_address(listen)
    server = HttpServer(Relay(upstream).handle)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
    print('{"event_name": "started"}', flush=True)
    await trio.serve_listeners(server.serve_stream, listeners)


if __name__ == "__main__":
    trio.run(serve, *sys.argv[1:3])
