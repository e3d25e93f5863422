"""Splits a stream of server-sent events into complete events and checks their ids.

A stream that breaks off resumes after the id of the last event that its caller was
given. A wrong byte can lower an id, which shows at once, or raise it, which shows at
the next event only. An event whose id leaves a larger gap than those before it is
therefore held back until the next id is known, or the stream has ended.
"""

import re

from wigeondrift.errors import InvalidEvent, ProtocolViolation
from wigeondrift.wire.numbers import MAX_DIGITS

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]+)")
EVENT_DATA = re.compile(rb"(?:^|\n)data:")
# A line that is no field of an event. Names of fields are in lower case.
OTHER_LINE = re.compile(rb"^(?![a-z-]*:)[^\r\n]", re.MULTILINE)
# Bytes of a separator that may have arrived before the rest of it.
MAX_PARTIAL_END_BYTES = 3
# Bytes without a new event id that are accepted. It bounds the memory of one stream; an
# event takes a small part of it.
MAX_UNIDENTIFIED_BYTES = 65536
# Difference of the ids of two consecutive events in the usual numbering.
USUAL_STEP = 1


class EventBuffer:
    """Returns complete events and buffers incomplete ones.

    Parameters
    ----------
    last_id : int or None
        Id of the event after which the stream continues.

    Attributes
    ----------
    count : int
        Number of events with a new id that have arrived, in all attempts.
    last_id : int or None
        Id of the last event that was returned.
    newest_id : int or None
        Id of the last event that arrived, which may be held back.
    """

    __slots__ = (
        "_has_held_id",
        "_held",
        "_is_confirmed",
        "_is_contradicted",
        "_is_unidentified_held",
        "_largest_step",
        "_pending",
        "_previous_step",
        "_unidentified_bytes",
        "count",
        "last_id",
        "newest_id",
    )

    def __init__(self, last_id: int | None = None) -> None:
        self._pending = bytearray()
        self._unidentified_bytes = 0
        self.count = 0
        # Events that the next id, or the end of the stream, will tell of.
        self._held = bytearray()
        self._has_held_id = self._is_unidentified_held = False
        self._largest_step = self._previous_step = USUAL_STEP
        # Whether the last id returned follows from the one before it.
        self._is_confirmed = last_id is not None
        self._is_contradicted = False
        self.last_id = self.newest_id = last_id

    @property
    def has_pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._pending)

    @property
    def held_id(self) -> int | None:
        """Id of the event that is held back, None if there is none."""
        return self.newest_id if self._has_held_id else None

    @property
    def can_resume(self) -> bool:
        """Whether the position of the caller is known.

        If two ids contradict each other and nothing speaks for the first one, which the
        caller was given, then either of them may be wrong.
        """
        has_conflict = self._is_contradicted or self._has_held_id
        return not has_conflict or self.last_id is None or self._is_confirmed

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the events that may now be forwarded.

        Raises
        ------
        InvalidEvent
            If an id is invalid or does not increase, a line is no field of an event, or
            too many bytes come without a new id. It holds the events before that, which
            count as returned.
        """
        # The part searched before can only hold the first bytes of a separator.
        searched = max(0, len(self._pending) - MAX_PARTIAL_END_BYTES)
        self._pending += data
        ends = [match.end() for match in EVENT_END.finditer(self._pending, searched)]
        complete = bytes(self._pending[: ends[-1]]) if ends else b""
        del self._pending[: len(complete)]
        returned = bytearray()
        start = 0
        try:
            for end in ends:
                returned += self._accept(complete[start:end])
                start = end
            if self._unidentified_bytes + len(self._pending) > MAX_UNIDENTIFIED_BYTES:
                raise ProtocolViolation("too much data came without a new event id")
        except ProtocolViolation as error:
            raise InvalidEvent(str(error), bytes(returned)) from error
        return bytes(returned)

    def _accept(self, event: bytes) -> bytes:
        """Check a complete event and return those that may be forwarded."""
        if OTHER_LINE.search(event):
            raise ProtocolViolation("the stream holds something else than events")
        ids = EVENT_ID.findall(event)
        if len(ids) > 1:
            raise ProtocolViolation("an event has several ids")
        if ids:
            return self._accept_identified(event, _parse_id(ids[0]))
        self._unidentified_bytes += len(event)
        if self._unidentified_bytes > MAX_UNIDENTIFIED_BYTES:
            raise ProtocolViolation("too much data came without a new event id")
        # A resumed stream would repeat the data, as its position is before it.
        has_lost_id = self.newest_id is not None and EVENT_DATA.search(event)
        if not self._held and not has_lost_id:
            return event
        self._held += event
        self._is_unidentified_held = True
        return b""

    def _accept_identified(self, event: bytes, number: int) -> bytes:
        known = self.newest_id
        if known is not None and number <= known:
            self._is_contradicted = True
            raise ProtocolViolation("an event came twice or out of order")
        self._unidentified_bytes = 0
        self.count += 1
        step = number - (known or 0)
        if step > self._largest_step:
            # Data without an id has no position until the id after it is known.
            released = b"" if self._is_unidentified_held else self._release()
            self._held += event
            self._has_held_id = True
            self.newest_id = number
            return released
        released = self._release()
        self.last_id = self.newest_id = number
        self._is_confirmed = known is not None and step == self._previous_step
        if known is not None:
            self._previous_step = step
        return released + event

    def _release(self) -> bytes:
        """Return the events that were held back; they count as returned."""
        released = bytes(self._held)
        if self._has_held_id:
            if self.last_id is not None:
                self._previous_step = self.newest_id - self.last_id
                self._largest_step = max(self._largest_step, self._previous_step)
            self._is_confirmed = False
            self.last_id = self.newest_id
        self._drop_held()
        return released

    def _drop_held(self) -> None:
        self._held.clear()
        self._has_held_id = self._is_unidentified_held = False

    def finish(self) -> bytes:
        """Return the events that were held back until the end of the stream."""
        return self._release()

    def restart(self) -> None:
        """Drop what was not returned; the next attempt continues after the last one."""
        self._pending.clear()
        self._drop_held()
        self._unidentified_bytes = 0
        self._is_contradicted = False
        self.newest_id = self.last_id


def _parse_id(text: bytes) -> int:
    if len(text) > MAX_DIGITS:
        raise ProtocolViolation("an event's id is too long")
    if not text.isdigit():
        raise ProtocolViolation("an event's id is no number")
    return int(text)
