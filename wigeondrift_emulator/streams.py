"""Connection that can stop passing data without being closed."""

import trio


class BlackholeStream(trio.abc.Stream):
    """Stream that drops all data while ``silent`` is set.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection.

    Attributes
    ----------
    silent : bool
        Whether data to send is dropped and received data is never returned.
    """

    __slots__ = ("_stream", "silent")

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.silent = False

    async def send_all(self, data: bytes) -> None:
        """Send the data, or drop it while silent."""
        if self.silent:
            await trio.lowlevel.checkpoint()
        else:
            await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until ``send_all`` might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next received data; blocks forever while silent."""
        if self.silent:
            await trio.sleep_forever()
        data = await self._stream.receive_some(max_bytes)
        if self.silent:
            await trio.sleep_forever()
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
