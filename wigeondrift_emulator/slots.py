"""Slots of a continuous batch, granted by priority, then in arrival order."""

import heapq
import itertools

import trio


class Ticket:
    """Place of one request in the queue for a slot.

    Attributes
    ----------
    granted : trio.Event
        Set when the request holds a slot.
    """

    __slots__ = ("_rank", "is_released", "granted")

    def __init__(self, priority: int, number: int) -> None:
        self._rank = (priority, number)
        self.granted = trio.Event()
        self.is_released = False

    def __lt__(self, other: "Ticket") -> bool:
        return self._rank < other._rank


class Slots:
    """Fixed number of slots with a priority queue.

    Parameters
    ----------
    capacity : int
        Maximum number of concurrent requests.
    """

    __slots__ = ("_ticket_numbers", "_waiting", "capacity", "queued", "running")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0
        self.queued = 0
        self._waiting: list[Ticket] = []
        self._ticket_numbers = itertools.count()

    def enqueue(self, priority: int) -> Ticket:
        """Queue for a slot; the ticket is granted at once if a slot is free."""
        ticket = Ticket(priority, next(self._ticket_numbers))
        heapq.heappush(self._waiting, ticket)
        self.queued += 1
        self._grant()
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Release the slot, or leave the queue; releasing twice has no effect."""
        if ticket.is_released:
            return
        ticket.is_released = True
        if ticket.granted.is_set():
            self.running -= 1
        else:
            self.queued -= 1
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self.running < self.capacity:
            ticket = heapq.heappop(self._waiting)
            if ticket.is_released:
                continue
            self.queued -= 1
            self.running += 1
            ticket.granted.set()
