"""Start-time fair queueing of tickets by team."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

TicketType = TypeVar("TicketType")


class Flow(Generic[TicketType]):
    """Queue of one team's waiting tickets, oldest first.

    Attributes
    ----------
    virtual_time : float
        Cost of the service that the team has received, divided by its weight.
    """

    __slots__ = ("tickets", "virtual_time")

    def __init__(self) -> None:
        self.tickets: deque[TicketType] = deque()
        self.virtual_time = 0.0


class FairQueue(Generic[TicketType]):
    """Queue that serves teams in proportion to their weights.

    The next ticket is the oldest one of the team with the lowest virtual time among
    the teams that may be served. Serving a team advances its virtual time by cost
    divided by weight. A team that was idle or blocked by its own limit resumes at the
    queue's virtual time, so that it cannot accumulate credit.
    """

    __slots__ = ("_flows_by_team", "_virtual_time", "length")

    def __init__(self) -> None:
        self._flows_by_team: dict[str, Flow[TicketType]] = {}
        self._virtual_time = 0.0
        self.length = 0

    def push(self, team: str, ticket: TicketType) -> None:
        """Append a ticket to the queue of its team."""
        flow = self._flows_by_team.get(team)
        if flow is None:
            flow = self._flows_by_team[team] = Flow()
        if not flow.tickets:
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        flow.tickets.append(ticket)
        self.length += 1

    def get_length(self, team: str) -> int:
        """Return the number of waiting tickets of a team."""
        flow = self._flows_by_team.get(team)
        return len(flow.tickets) if flow else 0

    def pop(self, may_serve: Callable[[TicketType], bool]) -> TicketType | None:
        """Remove and return the next ticket that may be served, if any."""
        best = None
        blocked = []
        for flow in self._flows_by_team.values():
            if not flow.tickets:
                continue
            if not may_serve(flow.tickets[0]):
                blocked.append(flow)
            elif best is None or flow.virtual_time < best.virtual_time:
                best = flow
        if best is None:
            return None
        self._virtual_time = max(self._virtual_time, best.virtual_time)
        for flow in blocked:
            flow.virtual_time = max(flow.virtual_time, self._virtual_time)
        self.length -= 1
        return best.tickets.popleft()

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Charge a team for service; a negative cost is a refund."""
        flow = self._flows_by_team.get(team)
        if flow is not None:
            flow.virtual_time += cost / weight

    def remove(self, team: str, ticket: TicketType) -> None:
        """Remove a waiting ticket.

        Raises
        ------
        ValueError
            If the ticket is not in the queue.
        """
        self._flows_by_team[team].tickets.remove(ticket)
        self.length -= 1

    def pop_newest(self, team: str) -> TicketType:
        """Remove and return the newest ticket of a team.

        Raises
        ------
        LookupError
            If the team has no waiting ticket.
        """
        ticket = self._flows_by_team[team].tickets.pop()
        self.length -= 1
        return ticket

    def iter_oldest(self) -> Iterator[tuple[str, TicketType]]:
        """Yield each team that has waiting tickets, with its oldest ticket."""
        for team, flow in list(self._flows_by_team.items()):
            if flow.tickets:
                yield team, flow.tickets[0]

    def forget_idle(self) -> None:
        """Remove teams without waiting tickets and without outstanding charges."""
        for team, flow in list(self._flows_by_team.items()):
            if not flow.tickets and flow.virtual_time <= self._virtual_time:
                del self._flows_by_team[team]
