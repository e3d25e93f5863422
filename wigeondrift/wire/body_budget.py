"""Memory that callers' requests hold in a process, and whose body is given up first."""

import math
from collections.abc import Callable

import trio

from wigeondrift.errors import ErrorKind, RequestError

MIB = 1048576
# Memory of a process that does not depend on bodies: the interpreter and modules of a
# router take 25 to 35 MiB; the rest is for one joined copy of the largest body.
BASE_BYTES = 48 * MIB
# Share of the remaining memory for requests. The other half is for the responses of
# upstreams (16 MiB for each client), streams, and fragmentation of the heap.
BUDGET_SHARE = 0.5
MIN_BUDGET_BYTES = 8 * MIB
DEFAULT_MEMORY_MB = 256
MAX_MEMORY_MB = 1048576
# Memory of what an entry decodes from a body, as a multiple of its length: text with
# one character beyond the basic plane takes four bytes for each character.
ENTRY_DECODED_FACTOR = 4
# Bodies up to this size are ordinary. They are given up only if they take long, and a
# part of the budget is kept for them.
SMALL_BODY_BYTES = 65536
# What the connection, the head and the parser hold at most beside a small body.
SMALL_HELD_BYTES = 2 * SMALL_BODY_BYTES
LARGE_SHARE = 7 / 8
# Age from which an unfinished small body may be given up, in seconds.
SLOW_SECONDS = 1.0
# A body that just began has an age of zero; this keeps its size in the comparison.
MIN_AGE_SECONDS = 0.05
# Pieces of a body from this size are kept as they are, smaller ones are joined.
MIN_PIECE_BYTES = 4096


def get_budget_bytes(memory_mb: int) -> int:
    """Return the budget of a process with ``memory_mb`` of memory (0: the default)."""
    available = (memory_mb or DEFAULT_MEMORY_MB) * MIB - BASE_BYTES
    return max(MIN_BUDGET_BYTES, int(available * BUDGET_SHARE))


def get_needed_bytes(body_bytes: int, decoded_factor: int) -> int:
    """Return the smallest budget that serves one body of ``body_bytes``."""
    return math.ceil(
        (body_bytes + SMALL_BODY_BYTES) * (1 + decoded_factor) / LARGE_SHARE
    )


class HeldBody:
    """What one connection holds: its body, its head and bytes not parsed yet.

    Parameters
    ----------
    budget : BodyBudget
    on_evict : callable
        Called when the body is given up, to end its reading.

    Attributes
    ----------
    size : int
        Length of the body received so far, in bytes.
    held_bytes : int
        Memory that is accounted for, in bytes.
    started_at : float
        Time at which the request began to arrive, in seconds.
    is_open : bool
        Whether a body is being received.
    is_evicted : bool
    """

    __slots__ = (
        "_budget",
        "_on_evict",
        "_other_bytes",
        "_pieces",
        "_tail",
        "_unparsed_bytes",
        "held_bytes",
        "is_evicted",
        "is_open",
        "size",
        "started_at",
    )

    def __init__(self, budget: "BodyBudget", on_evict: Callable[[], None]) -> None:
        self._budget = budget
        self._on_evict = on_evict
        self._other_bytes = 0
        self._pieces: list[bytes] = []
        self._tail = bytearray()
        self._unparsed_bytes = 0
        self.size = 0
        self.held_bytes = 0
        self.started_at = 0.0
        self.is_open = False
        self.is_evicted = False

    @property
    def is_large(self) -> bool:
        """Whether it holds more than a connection with an ordinary small body."""
        other = self._other_bytes + self._unparsed_bytes
        return self.size > SMALL_BODY_BYTES or other > SMALL_HELD_BYTES

    def begin(self, on_evict: Callable[[], None]) -> None:
        """Begin to receive a request."""
        self._on_evict = on_evict
        self.started_at = self._budget.get_time()
        self.is_evicted = False
        self.is_open = True

    def set_other(self, size: int, unparsed: int = 0) -> None:
        """Set the memory held beside the body.

        Parameters
        ----------
        size : int
            Memory of the connection and the head, in bytes.
        unparsed : int
            Received bytes that the parser has not consumed.

        Raises
        ------
        RequestError
            If there is no memory for them.
        """
        self._check_evicted()
        grown = size + unparsed - self._other_bytes - self._unparsed_bytes
        self._other_bytes = size
        self._unparsed_bytes = unparsed
        self._budget.add(self, grown)

    def add_unparsed(self, size: int) -> None:
        """Account for bytes that arrived while the request was being served."""
        self._unparsed_bytes += size
        self._budget.add(self, size)

    def _check_evicted(self) -> None:
        # The reading of an evicted body goes on until its next checkpoint.
        if self.is_evicted:
            raise make_refusal()

    def append(self, data: bytes) -> None:
        """Append a piece of the body.

        Raises
        ------
        RequestError
            If there is no memory for it.
        """
        self._check_evicted()
        if len(data) < MIN_PIECE_BYTES:
            self._tail += data
        else:
            self._flush_tail()
            self._pieces.append(data)
        if len(self._tail) >= SMALL_BODY_BYTES:
            self._flush_tail()
        self.size += len(data)
        parsed = min(len(data), self._unparsed_bytes)
        self._unparsed_bytes -= parsed
        self._budget.add(self, len(data) - parsed)

    def _flush_tail(self) -> None:
        if self._tail:
            # The copy has no spare room, of which a growing array has an eighth.
            self._pieces.append(bytes(self._tail))
            self._tail = bytearray()

    def finish(self) -> bytes:
        """Return the complete body, which stays accounted for until its release.

        Raises
        ------
        RequestError
            If there is no memory for what is decoded from it.
        """
        self._check_evicted()
        body = b"".join([*self._pieces, self._tail])
        self._clear()
        self._budget.add(self, self._budget.decoded_factor * self.size)
        self.is_open = False
        return body

    def release(self) -> None:
        """Give back the memory of the body, which nothing may use again."""
        self._clear()
        self.is_open = False
        self.size = 0
        kept = self._other_bytes + self._unparsed_bytes
        self._budget.add(self, kept - self.held_bytes)

    def abandon(self, unparsed: int) -> None:
        """Release the body of a request that is refused.

        Parameters
        ----------
        unparsed : int
            Bytes that the parser still holds.
        """
        self._unparsed_bytes = unparsed
        self.release()

    def evict(self) -> None:
        """Give up the body and end its reading."""
        self.is_evicted = True
        self.release()
        self._on_evict()

    def _clear(self) -> None:
        self._pieces.clear()
        self._tail = bytearray()


class BodyBudget:
    """Account of the memory that the requests of all connections hold.

    The load that it addresses is that of many unfinished or waiting bodies. Beyond the
    bound, the unfinished body that has held the most memory for the longest time is
    given up. Small ones that take long are considered only if no large one does, and
    small ones that have just begun never are.

    Parameters
    ----------
    limit_bytes : int
        Largest sum, in bytes.
    decoded_factor : int
        Memory of what is decoded from a complete body, as a multiple of its length.
    get_time : callable
        Clock, in seconds.

    Attributes
    ----------
    held_bytes : int
        Memory that is accounted for, in bytes.
    refused : int
        Bodies given up or refused since the start.
    """

    __slots__ = (
        "_bodies",
        "_largest_body",
        "_limit_bytes",
        "decoded_factor",
        "get_time",
        "held_bytes",
        "refused",
    )

    def __init__(
        self,
        limit_bytes: int,
        decoded_factor: int = 0,
        get_time: Callable[[], float] = trio.current_time,
    ) -> None:
        self._bodies: set[HeldBody] = set()
        self._limit_bytes = limit_bytes
        self._largest_body = 0
        self.decoded_factor = decoded_factor
        self.get_time = get_time
        self.held_bytes = 0
        self.refused = 0

    @property
    def limit_bytes(self) -> int:
        """Bound of the account, in bytes; one body of the largest size fits."""
        return max(
            self._limit_bytes, get_needed_bytes(self._largest_body, self.decoded_factor)
        )

    def set_limit(self, limit_bytes: int) -> None:
        """Set another bound, in bytes."""
        self._limit_bytes = limit_bytes

    def set_largest_body(self, body_bytes: int) -> None:
        """Set the size of the largest body that is accepted, in bytes."""
        self._largest_body = body_bytes

    def open(self, on_evict: Callable[[], None] = lambda: None) -> HeldBody:
        """Return the account of a new connection."""
        body = HeldBody(self, on_evict)
        self._bodies.add(body)
        return body

    def close(self, body: HeldBody) -> None:
        """Give back all memory of a connection that has ended."""
        self._bodies.discard(body)
        self.held_bytes -= body.held_bytes
        body.held_bytes = 0

    def add(self, body: HeldBody, count: int) -> None:
        """Account for ``count`` more bytes of a body, and give up others if needed.

        Raises
        ------
        RequestError
            If the body itself must be given up; nothing of it is held then.
        """
        body.held_bytes += count
        self.held_bytes += count
        if count <= 0 or not body.is_open:
            return
        bound = self.limit_bytes * (LARGE_SHARE if body.is_large else 1)
        if self.held_bytes <= bound:
            return
        for victim in self._rank_victims():
            self.refused += 1
            victim.evict()
            if victim is body:
                raise make_refusal()
            if self.held_bytes <= bound:
                return
        self.refused += 1
        body.evict()
        raise make_refusal()

    def _rank_victims(self) -> list[HeldBody]:
        """Return the bodies that may be given up, in order."""
        now = self.get_time()

        def get_rank(body: HeldBody) -> tuple[bool, float]:
            age = now - body.started_at
            # A large body that has just begun is not given up for many small slow ones.
            is_first = body.is_large and age >= SLOW_SECONDS
            return is_first, body.held_bytes * max(MIN_AGE_SECONDS, age)

        candidates = [
            body
            for body in self._bodies
            if body.is_open and (body.is_large or now - body.started_at >= SLOW_SECONDS)
        ]
        return sorted(candidates, key=get_rank, reverse=True)


def make_refusal() -> RequestError:
    """Return the error of a request whose body was given up; nothing of it has run."""
    reason = "the bodies of other requests take the memory at present"
    return RequestError(ErrorKind.BODY_MEMORY_FULL, reason)
