"""Splits a stream of server-sent events into complete events and checks their ids."""

import re

from wigeondrift.errors import ProtocolViolation

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)")
MAX_PENDING_BYTES = 1048576


class EventBuffer:
    """Returns complete events and buffers incomplete ones.

    Parameters
    ----------
    last_id : int or None
        Id of the event after which the stream continues.

    Attributes
    ----------
    last_id : int or None
        Id of the last complete event.
    """

    __slots__ = ("_pending", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._pending = b""
        self.last_id = last_id

    @property
    def has_pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that are now complete.

        Raises
        ------
        ProtocolViolation
            If an id does not increase or an event is too large.
        """
        buffered = self._pending + data
        end = 0
        for match in EVENT_END.finditer(buffered):
            end = match.end()
        self._pending = buffered[end:]
        if len(self._pending) > MAX_PENDING_BYTES:
            raise ProtocolViolation("an event is too large")
        events = buffered[:end]
        for text in EVENT_ID.findall(events):
            number = int(text)
            if self.last_id is not None and number <= self.last_id:
                raise ProtocolViolation("an event came twice or out of order")
            self.last_id = number
        return events

    def restart(self) -> None:
        """Drop the incomplete event; the next attempt continues after the last one."""
        self._pending = b""
