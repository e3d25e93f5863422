"""HTTP servers over in-memory streams, for tests in virtual time."""

from collections.abc import Callable

import trio
from trio.testing import memory_stream_pair

from wigeondrift.errors import ConnectFailed
from wigeondrift.wire.http_client import ClientChannel, HttpClient
from wigeondrift.wire.http_server import Handler, HttpServer

CONNECT_TIMEOUT_SECONDS = 0.5


class MemoryNetwork:
    """Servers by address, with faults on the connections to them.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery that runs the connections.

    Attributes
    ----------
    silent_addresses : set of str
        Addresses that accept connections but never answer.
    unreachable_addresses : set of str
        Addresses to which connecting times out.
    connects_by_address : dict of str to int
        Number of connections made or tried so far.
    """

    __slots__ = (
        "_makers_by_address",
        "_nursery",
        "_servers_by_address",
        "_streams_by_address",
        "connects_by_address",
        "silent_addresses",
        "unreachable_addresses",
    )

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._servers_by_address: dict[str, HttpServer] = {}
        self._makers_by_address: dict[str, Callable[[], trio.abc.Stream]] = {}
        self._streams_by_address: dict[str, list[trio.abc.Stream]] = {}
        self.silent_addresses: set[str] = set()
        self.unreachable_addresses: set[str] = set()
        self.connects_by_address: dict[str, int] = {}

    def listen(self, address: str, handler: Handler) -> None:
        """Start a server at an address."""
        self._servers_by_address[address] = HttpServer(handler)

    def listen_with(
        self, address: str, make_stream: Callable[[], trio.abc.Stream]
    ) -> None:
        """Answer connections to an address by the streams that a function makes."""
        self._makers_by_address[address] = make_stream

    async def crash(self, address: str) -> None:
        """Stop a server and close its connections forcefully."""
        self._servers_by_address.pop(address, None)
        for stream in self._streams_by_address.pop(address, ()):
            await trio.aclose_forcefully(stream)

    async def connect(self, address: str) -> trio.abc.Stream:
        """Return the client side of a new connection.

        Raises
        ------
        ConnectFailed
            If no server listens at the address or it can't be reached.
        """
        await trio.lowlevel.checkpoint()
        connects = self.connects_by_address.get(address, 0)
        self.connects_by_address[address] = connects + 1
        if address in self.unreachable_addresses:
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
        if address in self._makers_by_address:
            return self._makers_by_address[address]()
        server = self._servers_by_address.get(address)
        if server is None or address in self.unreachable_addresses:
            is_refused = address not in self.unreachable_addresses
            raise ConnectFailed(f"could not connect to {address}", is_refused)
        client_stream, server_stream = memory_stream_pair()
        if address not in self.silent_addresses:
            self._streams_by_address.setdefault(address, []).append(server_stream)
            self._nursery.start_soon(server.serve_stream, server_stream)
        return client_stream


class MemoryClient(HttpClient):
    """HTTP client on a memory network.

    Parameters
    ----------
    network : MemoryNetwork
    """

    __slots__ = ("_network",)

    def __init__(self, network: MemoryNetwork) -> None:
        super().__init__()
        self._network = network

    async def connect(self, address: str) -> ClientChannel:
        """Return a new connection to the address.

        Raises
        ------
        ConnectFailed
            If no server listens at the address.
        """
        return ClientChannel(await self._network.connect(address))
