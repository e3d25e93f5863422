"""Splits a stream of server-sent events into complete events and checks their ids."""

import re

from wigeondrift.errors import ProtocolViolation
from wigeondrift.wire.numbers import MAX_DIGITS

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d+)")
# A line that is no field of an event. Names of fields are in lower case.
OTHER_LINE = re.compile(rb"^(?![a-z-]*:)[^\r\n]", re.MULTILINE)
# Bytes of a separator that may have arrived before the rest of it.
MAX_PARTIAL_END_BYTES = 3
# Bytes without a new event id that are accepted. It bounds the memory of one stream; an
# event takes a small part of it.
MAX_UNIDENTIFIED_BYTES = 65536


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

    __slots__ = ("_pending", "_unidentified_bytes", "last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._pending = bytearray()
        self._unidentified_bytes = 0
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
            If an id is invalid or does not increase, a line is no field of an event, or
            too many bytes come without a new id.
        """
        # The part searched before can only hold the first bytes of a separator.
        searched = max(0, len(self._pending) - MAX_PARTIAL_END_BYTES)
        self._pending += data
        end = 0
        for match in EVENT_END.finditer(self._pending, searched):
            end = match.end()
        events = bytes(self._pending[:end])
        del self._pending[:end]
        self._unidentified_bytes += len(events)
        if OTHER_LINE.search(events):
            raise ProtocolViolation("the stream holds something else than events")
        for text in EVENT_ID.findall(events):
            self._apply_id(text)
        if self._unidentified_bytes + len(self._pending) > MAX_UNIDENTIFIED_BYTES:
            raise ProtocolViolation("too much data came without a new event id")
        return events

    def _apply_id(self, text: bytes) -> None:
        if len(text) > MAX_DIGITS:
            raise ProtocolViolation("an event's id is too long")
        number = int(text)
        if self.last_id is not None and number <= self.last_id:
            raise ProtocolViolation("an event came twice or out of order")
        self.last_id = number
        self._unidentified_bytes = 0

    def restart(self) -> None:
        """Drop the incomplete event; the next attempt continues after the last one."""
        self._pending.clear()
        self._unidentified_bytes = 0
