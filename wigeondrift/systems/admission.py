"""Admission: limits of teams, fair queues, slots for short and long work.

A request is offered, waits, and is admitted or refused; an admitted one is released
when it ends. Nothing of a refused or waiting request has left for an upstream.
"""

import enum
import heapq
import itertools
import math
from collections.abc import Callable
from typing import NamedTuple

from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.systems.buckets import TokenBucket
from wigeondrift.systems.capacity import get_entry_slots
from wigeondrift.systems.fairness import FairQueue
from wigeondrift.systems.shares import Limit
from wigeondrift.table.tables import Tables

CAPACITY_INTERVAL_SECONDS = 0.25
REASONS_BY_KIND = {
    ErrorKind.FORBIDDEN: "the team may not use this service",
    ErrorKind.LIMIT_EXCEEDED: "the team is over its limit for this service",
    ErrorKind.QUEUE_FULL: "too many requests are waiting",
    ErrorKind.QUEUE_TIMEOUT: "no slot came free in time",
}


GetLimit = Callable[[str, float], Limit]


class AdmissionRules:
    """Bounds of the admission.

    Attributes
    ----------
    queue_length : int
        Requests waiting at once.
    queue_timeout : float
        Longest wait of one request, in seconds.
    short_queue_timeout : float
        Longest wait of a short model request for a slot, in seconds, once its
        team's limit lets it through.
    limit_wait : float
        Longest wait for a rate to let a request through, in seconds; one that
        would wait longer is refused at once.
    burst_seconds : float
        Time for which a rate may be saved up, in seconds.
    long_tokens : int
        Estimated tokens from which a request counts as long.
    long_fraction : float
        Part of the slots that long requests may fill.
    """

    __slots__ = (
        "burst_seconds",
        "limit_wait",
        "long_fraction",
        "long_tokens",
        "queue_length",
        "queue_timeout",
        "short_queue_timeout",
    )

    def __init__(
        self,
        queue_length: int = 1000,
        queue_timeout: float = 20.0,
        short_queue_timeout: float = 20.0,
        limit_wait: float = 2.0,
        burst_seconds: float = 1.0,
        long_tokens: int = 2048,
        long_fraction: float = 0.5,
    ) -> None:
        self.queue_length = queue_length
        self.queue_timeout = queue_timeout
        self.short_queue_timeout = short_queue_timeout
        self.limit_wait = limit_wait
        self.burst_seconds = burst_seconds
        self.long_tokens = long_tokens
        self.long_fraction = long_fraction


class TicketState(enum.Enum):
    """State of one request in the admission."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


class Ticket:
    """One request in the admission.

    Attributes
    ----------
    team, service : str
    tokens : int
        Estimated tokens; zero for a call of a plain service.
    is_long : bool
    deadline : float
        Time at which the wait ends, in seconds.
    state : TicketState
    kind : ErrorKind or None
        Why it was refused.
    retry_after : int or None
        Seconds after which a retry may be let through.
    """

    __slots__ = (
        "deadline",
        "is_long",
        "kind",
        "retry_after",
        "service",
        "state",
        "team",
        "tokens",
    )

    def __init__(
        self, team: str, service: str, tokens: int, is_long: bool, deadline: float
    ) -> None:
        self.team = team
        self.service = service
        self.tokens = tokens
        self.is_long = is_long
        self.deadline = deadline
        self.state = TicketState.WAITING
        self.kind: ErrorKind | None = None
        self.retry_after: int | None = None

    @property
    def row(self) -> str:
        """Name of the limit's row."""
        return f"{self.team}/{self.service}"

    @property
    def cost(self) -> int:
        """Cost in the fair queue, in tokens; at least one."""
        return max(1, self.tokens)

    def make_error(self) -> RequestError:
        """Return the error that answers a refused ticket."""
        reason = REASONS_BY_KIND[self.kind]
        return RequestError(self.kind, reason, retry_after=self.retry_after)


class RowUse:
    """Use of one limit.

    Attributes
    ----------
    requests, tokens : TokenBucket
    running : int
        Admitted and not released.
    waiting, waiting_tokens : int
        Requests in the queue and their estimated tokens.
    wanted_requests, wanted_tokens : int
        Offered since the demand was last taken, with what was refused.
    """

    __slots__ = (
        "requests",
        "running",
        "tokens",
        "waiting",
        "waiting_tokens",
        "wanted_requests",
        "wanted_tokens",
    )

    def __init__(self, limit: Limit, rules: AdmissionRules, now: float) -> None:
        self.requests = TokenBucket(limit.requests, math.inf, now)
        self.tokens = TokenBucket(limit.tokens, math.inf, now)
        self.apply(limit, rules, now)
        self.running = 0
        self.waiting = 0
        self.waiting_tokens = 0
        self.wanted_requests = 0
        self.wanted_tokens = 0

    def apply(self, limit: Limit, rules: AdmissionRules, now: float) -> None:
        """Set the buckets to a limit."""
        burst = max(1.0, limit.requests * rules.burst_seconds)
        if limit.requests <= 0:
            burst = 0.0
        self.requests.set_rate(limit.requests, burst, now)
        self.tokens.set_rate(limit.tokens, limit.tokens * rules.burst_seconds, now)


MakeQueue = Callable[[], FairQueue[Ticket]]


class ServiceUse:
    """Queues and slots of one service.

    Attributes
    ----------
    short, long : FairQueue
    running_short, running_long : int
        Admitted and not released.
    slots : int
        Requests that this entry may run at once.
    slots_at : float
        When ``slots`` was worked out, in seconds.
    """

    __slots__ = ("long", "running_long", "running_short", "short", "slots", "slots_at")

    def __init__(self, make_queue: MakeQueue) -> None:
        self.short = make_queue()
        self.long = make_queue()
        self.running_short = 0
        self.running_long = 0
        self.slots = 1
        self.slots_at = -math.inf

    @property
    def running(self) -> int:
        """Requests admitted and not released."""
        return self.running_short + self.running_long

    def get_queue(self, is_long: bool) -> FairQueue[Ticket]:
        """Return the queue of one class."""
        return self.long if is_long else self.short

    def get_long_slots(self, fraction: float) -> int:
        """Return the slots that long requests may fill; at least one."""
        if self.slots == 1:
            return 1
        return min(self.slots - 1, max(1, int(self.slots * fraction)))


class RowDemand(NamedTuple):
    """What one row asked for since the last report."""

    row: str
    requests: int
    tokens: int
    running: int


class Admission:
    """Decides which requests run, which wait and which are refused.

    Parameters
    ----------
    tables : Tables
        Read only.
    get_limit : callable
        Takes a row and the time, returns the ``Limit`` of this entry.
    rules : AdmissionRules
    make_queue : callable, optional
        Returns an empty queue of one service and class.
    """

    __slots__ = (
        "_deadlines",
        "_get_limit",
        "_make_queue",
        "_rules",
        "_sequence",
        "_settled",
        "_tables",
        "services_by_name",
        "uses_by_row",
        "waiting",
    )

    def __init__(
        self,
        tables: Tables,
        get_limit: GetLimit,
        rules: AdmissionRules,
        make_queue: MakeQueue = FairQueue,
    ) -> None:
        self._make_queue = make_queue
        self._tables = tables
        self._get_limit = get_limit
        self._rules = rules
        self._settled: list[Ticket] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self.uses_by_row: dict[str, RowUse] = {}
        self.services_by_name: dict[str, ServiceUse] = {}
        self.waiting = 0

    def offer(self, team: str, service: str, tokens: int, now: float) -> Ticket:
        """Take a request in.

        Parameters
        ----------
        team, service : str
        tokens : int
            Estimated tokens; zero for a call of a plain service.
        now : float
            Time in seconds.

        Returns
        -------
        Ticket
            Waiting or refused; ``tick`` says when a waiting one is settled.
        """
        rules = self._rules
        is_long = tokens >= rules.long_tokens
        ticket = Ticket(team, service, tokens, is_long, now + rules.queue_timeout)
        if ticket.row not in self._tables.table.limits_by_row:
            self._refuse(ticket, ErrorKind.FORBIDDEN)
            return ticket
        use = self._get_use(ticket.row, now)
        use.wanted_requests += 1
        use.wanted_tokens += tokens
        wait = self._estimate_limit_wait(ticket, use, now)
        if tokens and not is_long:
            patience = wait + rules.short_queue_timeout
            ticket.deadline = min(ticket.deadline, now + patience)
        if wait > rules.limit_wait:
            retry_after = None if math.isinf(wait) else math.ceil(wait)
            self._refuse(ticket, ErrorKind.LIMIT_EXCEEDED, retry_after)
            return ticket
        if self.waiting >= rules.queue_length and not self._make_room(ticket):
            self._refuse(ticket, ErrorKind.QUEUE_FULL)
            return ticket
        self._enqueue(ticket, use)
        return ticket

    def _get_use(self, row: str, now: float) -> RowUse:
        limit = self._get_limit(row, now)
        use = self.uses_by_row.get(row)
        if use is None:
            use = self.uses_by_row[row] = RowUse(limit, self._rules, now)
        use.apply(limit, self._rules, now)
        return use

    def _estimate_limit_wait(self, ticket: Ticket, use: RowUse, now: float) -> float:
        if self._get_limit(ticket.row, now).running <= 0:
            return math.inf
        wait = use.requests.get_wait(1.0, now, use.waiting)
        if ticket.tokens:
            ahead = use.waiting_tokens
            wait = max(wait, use.tokens.get_wait(ticket.tokens, now, ahead))
        return wait

    def _make_room(self, ticket: Ticket) -> bool:
        """Drop the newest ticket of the team whose queue is longest for its weight.

        Returns whether there is room for ``ticket``, whose own team may be the one.
        """
        own_length = 1 + sum(
            use.get_queue(is_long).get_length(ticket.team)
            for use in self.services_by_name.values()
            for is_long in (False, True)
        )
        worst_ratio = own_length / self._get_weight(ticket.row)
        worst: tuple[FairQueue[Ticket], str] | None = None
        for service, use in self.services_by_name.items():
            for queue in (use.short, use.long):
                for team, _ in queue.iter_oldest():
                    weight = self._get_weight(f"{team}/{service}")
                    ratio = queue.get_length(team) / weight
                    if ratio > worst_ratio:
                        worst_ratio = ratio
                        worst = (queue, team)
        if worst is None:
            return False
        queue, team = worst
        victim = queue.pop_newest(team)
        self._leave_queue(victim)
        self._refuse(victim, ErrorKind.QUEUE_FULL)
        self._settled.append(victim)
        return True

    def _get_weight(self, row: str) -> float:
        limit_row = self._tables.table.limits_by_row.get(row)
        return limit_row.weight if limit_row else 1.0

    def _enqueue(self, ticket: Ticket, use: RowUse) -> None:
        service = self.services_by_name.get(ticket.service)
        if service is None:
            service = self.services_by_name[ticket.service] = ServiceUse(
                self._make_queue
            )
        service.get_queue(ticket.is_long).push(ticket.team, ticket)
        heapq.heappush(self._deadlines, (ticket.deadline, next(self._sequence), ticket))
        use.waiting += 1
        use.waiting_tokens += ticket.tokens
        self.waiting += 1

    def _leave_queue(self, ticket: Ticket) -> None:
        use = self.uses_by_row[ticket.row]
        use.waiting -= 1
        use.waiting_tokens -= ticket.tokens
        self.waiting -= 1

    @staticmethod
    def _refuse(
        ticket: Ticket, kind: ErrorKind, retry_after: int | None = None
    ) -> None:
        ticket.state = TicketState.REFUSED
        ticket.kind = kind
        ticket.retry_after = retry_after

    def tick(self, now: float) -> list[Ticket]:
        """Admit what may run, refuse what waited too long; return both."""
        self._expire(now)
        for name, service in self.services_by_name.items():
            self._dispatch(name, service, now)
        settled = self._settled
        self._settled = []
        return settled

    def _expire(self, now: float) -> None:
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            ticket = heapq.heappop(deadlines)[2]
            if ticket.state is TicketState.WAITING:
                self._remove(ticket)
                self._refuse(ticket, ErrorKind.QUEUE_TIMEOUT)
                self._settled.append(ticket)

    def _remove(self, ticket: Ticket) -> None:
        service = self.services_by_name[ticket.service]
        service.get_queue(ticket.is_long).remove(ticket.team, ticket)
        self._leave_queue(ticket)

    def _dispatch(self, name: str, service: ServiceUse, now: float) -> None:
        if not service.short.length and not service.long.length:
            return
        self._update_slots(name, service, now)
        long_slots = service.get_long_slots(self._rules.long_fraction)
        while service.running < service.slots:
            ticket = None
            if service.running_long < long_slots:
                ticket = service.long.pop(lambda head: self._is_within_limit(head, now))
            if ticket is None:
                ticket = service.short.pop(
                    lambda head: self._is_within_limit(head, now)
                )
            if ticket is None:
                return
            self._admit(ticket, service)

    def _update_slots(self, name: str, service: ServiceUse, now: float) -> None:
        if now - service.slots_at < CAPACITY_INTERVAL_SECONDS:
            return
        service.slots_at = now
        if name in self._tables.table.services_by_name:
            service.slots = get_entry_slots(self._tables, name)

    def _is_within_limit(self, ticket: Ticket, now: float) -> bool:
        if ticket.row not in self._tables.table.limits_by_row:
            return False
        use = self._get_use(ticket.row, now)
        if use.running >= self._get_limit(ticket.row, now).running:
            return False
        if use.requests.get_wait(1.0, now) > 0:
            return False
        return not ticket.tokens or use.tokens.get_wait(ticket.tokens, now) <= 0

    def _admit(self, ticket: Ticket, service: ServiceUse) -> None:
        self._leave_queue(ticket)
        use = self.uses_by_row[ticket.row]
        use.requests.take(1.0)
        use.tokens.take(ticket.tokens)
        use.running += 1
        if ticket.is_long:
            service.running_long += 1
        else:
            service.running_short += 1
        weight = self._get_weight(ticket.row)
        service.get_queue(ticket.is_long).charge(ticket.team, ticket.cost, weight)
        ticket.state = TicketState.ADMITTED
        self._settled.append(ticket)

    def release(self, ticket: Ticket, used_tokens: int) -> None:
        """Count an admitted request as ended and give back what it did not use.

        Parameters
        ----------
        ticket : Ticket
            An admitted one.
        used_tokens : int
            Tokens that it took, with those of its prompt.
        """
        service = self.services_by_name[ticket.service]
        use = self.uses_by_row[ticket.row]
        use.running -= 1
        if ticket.is_long:
            service.running_long -= 1
        else:
            service.running_short -= 1
        unused = max(0, ticket.tokens - used_tokens)
        if unused:
            use.tokens.give_back(unused)
            weight = self._get_weight(ticket.row)
            service.get_queue(ticket.is_long).charge(ticket.team, -unused, weight)
        ticket.state = TicketState.ENDED

    def withdraw(self, ticket: Ticket) -> None:
        """Take back a waiting request whose caller has gone."""
        if ticket.state is not TicketState.WAITING:
            return
        self._remove(ticket)
        ticket.state = TicketState.ENDED

    def take_demand(self) -> list[RowDemand]:
        """Return what each row asked for since the last call."""
        demands = []
        for row, use in list(self.uses_by_row.items()):
            running = use.running + use.waiting
            if use.wanted_requests or running:
                demands.append(
                    RowDemand(row, use.wanted_requests, use.wanted_tokens, running)
                )
            elif row not in self._tables.table.limits_by_row:
                del self.uses_by_row[row]
            use.wanted_requests = 0
            use.wanted_tokens = 0
        for service in self.services_by_name.values():
            service.short.forget_idle()
            service.long.forget_idle()
        return demands
