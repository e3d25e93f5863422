"""Loopback TCP proxy that can delay, block, reset or refuse connections."""

import socket
import struct

import trio

from wigeondrift.wire.address import parse_address

CHUNK_BYTES = 65536
DELAY_SECONDS = 0.4
POLL_SECONDS = 0.02
MODES = ("open", "delay", "silent", "one_way", "refuse")


class Proxy:
    """Forwards connections to one target address.

    Attributes
    ----------
    mode : str
        ``open``: forwards all data; ``delay``: forwards data after a delay;
        ``silent``: accepts connections but forwards nothing; ``one_way``: forwards
        requests but no responses; ``refuse``: resets new connections.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.mode = "open"
        self._target = target
        self._streams: set[trio.SocketStream] = set()
        self._silenced: set[trio.SocketStream] = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        host, port = parse_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in list(self._streams):
            _reset(stream)

    def silence(self) -> None:
        """Block the open connections permanently; new ones are not affected."""
        self._silenced.update(self._streams)

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.mode == "refuse":
            _reset(stream)
            return
        host, port = parse_address(self._target)
        try:
            target_stream = await trio.open_tcp_stream(host, port)
        except OSError:
            # The target is down; without the proxy, its port would have reset the
            # connection.
            _reset(stream)
            return
        self._streams.update((stream, target_stream))
        try:
            async with stream, target_stream, trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, stream, target_stream, False, scope)
                nursery.start_soon(self._pump, target_stream, stream, True, scope)
        finally:
            self._streams -= {stream, target_stream}
            self._silenced -= {stream, target_stream}

    async def _pump(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        is_answer: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while self._is_blocked(source, is_answer):
                    await trio.sleep(POLL_SECONDS)
                if self.mode == "delay":
                    await trio.sleep(DELAY_SECONDS)
                await target.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(target)
        while self._is_blocked(source, is_answer):
            await trio.sleep(POLL_SECONDS)
        scope.cancel()

    def _is_blocked(self, source: trio.SocketStream, is_answer: bool) -> bool:
        if source in self._silenced or self.mode == "silent":
            return True
        return self.mode == "one_way" and is_answer


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its peer receives a reset."""
    linger = struct.pack("ii", 1, 0)
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        # Already closed because the peer closed it.
        return
    stream.socket.close()
