"""Connection that can go silent without closing."""

import trio


class BlackholeStream(trio.abc.Stream):
    """Stream of a connection with a switch.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.

    Attributes
    ----------
    silent : bool
        While true, nothing is sent and nothing that arrives is taken.
    """

    __slots__ = ("_stream", "silent")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.silent = False

    async def send_all(self, data: bytes) -> None:
        """Send the data, or lose it while silent."""
        if self.silent:
            await trio.lowlevel.checkpoint()
        else:
            await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return what arrives next; never while silent."""
        if self.silent:
            await trio.sleep_forever()
        data = await self._stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
