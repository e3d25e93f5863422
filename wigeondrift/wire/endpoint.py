"""One-way messages between processes over NNG push and pull sockets."""

import pynng
import trio

from wigeondrift.wire.messages import Message, parse_message, serialize_message
from wigeondrift.wire.packing import compress_message, decompress_message

MAX_MESSAGE_BYTES = 4 * 1048576
SEND_QUEUE_MESSAGES = 64
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MAX_CONNECTED_PEERS = 1024


class MessageEndpoint:
    """Receives messages at one address and sends messages to other addresses.

    Sending never blocks: a message is dropped if the peer's send queue is full,
    since a later message repeats the same state.

    Parameters
    ----------
    listen : str
        ``host:port`` to listen on.

    Attributes
    ----------
    dropped : int
        Messages dropped because the send queue was full or they did not decode.
    received : int
        Messages received, including those that did not decode.
    sent_bytes : int
        Bytes of the messages queued for sending.
    """

    __slots__ = (
        "_pull_socket",
        "_push_sockets_by_address",
        "dropped",
        "received",
        "sent_bytes",
    )

    def __init__(self, listen: str) -> None:
        self._pull_socket = pynng.Pull0(listen=f"tcp://{listen}")
        self._pull_socket.recv_max_size = MAX_MESSAGE_BYTES
        self._push_sockets_by_address: dict[str, pynng.Push0] = {}
        self.dropped = 0
        self.received = 0
        self.sent_bytes = 0

    async def receive(self) -> Message:
        """Wait for the next message; messages that do not decode are dropped."""
        while True:
            data = await self._pull_socket.arecv()
            self.received += 1
            try:
                return parse_message(decompress_message(data, MAX_MESSAGE_BYTES))
            except ValueError:
                self.dropped += 1

    def send(self, address: str, message: Message) -> bool:
        """Queue ``message`` for ``address``; return False if it was dropped."""
        push_socket = self._push_sockets_by_address.get(address)
        if push_socket is None:
            push_socket = self._open_push_socket(address)
        data = compress_message(serialize_message(message))
        try:
            push_socket.send(data, block=False)
        except pynng.TryAgain:
            self.dropped += 1
            return False
        self.sent_bytes += len(data)
        return True

    def _open_push_socket(self, address: str) -> pynng.Push0:
        if len(self._push_sockets_by_address) >= MAX_CONNECTED_PEERS:
            oldest = next(iter(self._push_sockets_by_address))
            self.disconnect(oldest)
        push_socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        push_socket.dial(f"tcp://{address}", block=False)
        self._push_sockets_by_address[address] = push_socket
        return push_socket

    def disconnect(self, address: str) -> None:
        """Close the connection to ``address``, if any."""
        push_socket = self._push_sockets_by_address.pop(address, None)
        if push_socket is not None:
            push_socket.close()

    async def close(self) -> None:
        """Close all sockets."""
        for address in list(self._push_sockets_by_address):
            self.disconnect(address)
        self._pull_socket.close()
        await trio.lowlevel.checkpoint()
