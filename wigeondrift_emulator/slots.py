"""Slots of a continuous batch, granted by priority and order of arrival."""

import heapq
import itertools

import trio


class Ticket:
    """One request's place in the line for a slot.

    Attributes
    ----------
    granted : trio.Event
        Set when the slot is held.
    """

    __slots__ = ("_rank", "is_released", "granted")

    def __init__(self, priority: int, number: int) -> None:
        self._rank = (priority, number)
        self.granted = trio.Event()
        self.is_released = False

    def __lt__(self, other: "Ticket") -> bool:
        return self._rank < other._rank


class Slots:
    """Bounded number of requests that run at once.

    Parameters
    ----------
    capacity : int
        Requests at once.
    """

    __slots__ = ("_ticket_numbers", "_waiting", "capacity", "queued", "running")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.running = 0
        self.queued = 0
        self._waiting: list[Ticket] = []
        self._ticket_numbers = itertools.count()

    def enqueue(self, priority: int) -> Ticket:
        """Join the line; the ticket is granted at once if a slot is free."""
        ticket = Ticket(priority, next(self._ticket_numbers))
        heapq.heappush(self._waiting, ticket)
        self.queued += 1
        self._grant()
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Give the slot back, or leave the line."""
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
