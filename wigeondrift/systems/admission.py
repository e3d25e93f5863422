"""Admission control: team limits, fair queues, and slots for short and long requests.

A request is offered, waits in a queue, and is then admitted or refused. An admitted
request is released when it ends. No part of a waiting or refused request is sent to
an upstream.
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
    """Bounds on queues, waiting times and slots.

    Attributes
    ----------
    queue_length : int
        Maximum number of waiting requests.
    queue_timeout : float
        Maximum wait of a request, in seconds.
    short_queue_timeout : float
        Maximum wait of a short model request for a slot, in seconds, in addition to
        the estimated wait for its team's limit.
    limit_wait : float
        Maximum wait for a rate limit, in seconds; a request that would have to wait
        longer is refused immediately.
    burst_seconds : float
        Burst size of the rate limits, in seconds of the rate.
    long_tokens : int
        Estimated token count at and above which a request is long.
    long_fraction : float
        Fraction of the slots that long requests may occupy.
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
    """State of a request in admission control."""

    WAITING = "waiting"
    ADMITTED = "admitted"
    REFUSED = "refused"
    ENDED = "ended"


class Ticket:
    """A request in admission control.

    Attributes
    ----------
    team, service : str
    tokens : int
        Estimated tokens; zero for a call of a plain service.
    is_long : bool
    deadline : float
        Time at which a waiting request is refused, in seconds.
    state : TicketState
    kind : ErrorKind or None
        Reason for the refusal.
    retry_after : int or None
        Seconds after which a retry may be admitted.
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
        """Key of the limit in the table, ``team/service``."""
        return f"{self.team}/{self.service}"

    @property
    def cost(self) -> int:
        """Cost in the fair queue, in tokens; at least one."""
        return max(1, self.tokens)

    def make_error(self) -> RequestError:
        """Return the error with which a refused ticket is answered."""
        reason = REASONS_BY_KIND[self.kind]
        return RequestError(self.kind, reason, retry_after=self.retry_after)


class LimitUsage:
    """Usage of one limit.

    Attributes
    ----------
    requests, tokens : TokenBucket
    running : int
        Requests that are admitted and not yet released.
    waiting, waiting_tokens : int
        Requests in the queue and the sum of their estimated tokens.
    offered_requests, offered_tokens : int
        Offered since ``collect_demand`` was last called, including refused requests.
    """

    __slots__ = (
        "offered_requests",
        "offered_tokens",
        "requests",
        "running",
        "tokens",
        "waiting",
        "waiting_tokens",
    )

    def __init__(self, limit: Limit, rules: AdmissionRules, now: float) -> None:
        self.requests = TokenBucket(limit.requests, math.inf, now)
        self.tokens = TokenBucket(limit.tokens, math.inf, now)
        self.set_limit(limit, rules, now)
        self.running = 0
        self.waiting = 0
        self.waiting_tokens = 0
        self.offered_requests = 0
        self.offered_tokens = 0

    def set_limit(self, limit: Limit, rules: AdmissionRules, now: float) -> None:
        """Set the rates and bursts of the buckets from a limit."""
        burst = max(1.0, limit.requests * rules.burst_seconds)
        if limit.requests <= 0:
            burst = 0.0
        self.requests.set_rate(limit.requests, burst, now)
        self.tokens.set_rate(limit.tokens, limit.tokens * rules.burst_seconds, now)


MakeQueue = Callable[[], FairQueue[Ticket]]


class ServiceQueues:
    """Queues and slots of one service.

    Attributes
    ----------
    short, long : FairQueue
    running_short, running_long : int
        Requests that are admitted and not yet released.
    slots : int
        Requests that this entry may run concurrently.
    slots_updated_at : float
        Time at which ``slots`` was last computed, in seconds.
    """

    __slots__ = (
        "long",
        "running_long",
        "running_short",
        "short",
        "slots",
        "slots_updated_at",
    )

    def __init__(self, make_queue: MakeQueue) -> None:
        self.short = make_queue()
        self.long = make_queue()
        self.running_short = 0
        self.running_long = 0
        self.slots = 1
        self.slots_updated_at = -math.inf

    @property
    def running(self) -> int:
        """Number of requests that are admitted and not yet released."""
        return self.running_short + self.running_long

    def get_queue(self, is_long: bool) -> FairQueue[Ticket]:
        """Return the queue for long or for short requests."""
        return self.long if is_long else self.short

    def get_long_slots(self, fraction: float) -> int:
        """Return the number of slots that long requests may occupy, at least one."""
        if self.slots == 1:
            return 1
        return min(self.slots - 1, max(1, int(self.slots * fraction)))


class RowDemand(NamedTuple):
    """Demand for one limit since the previous report."""

    row: str
    requests: int
    tokens: int
    running: int


class Admission:
    """Decides whether a request runs, waits or is refused.

    Parameters
    ----------
    tables : Tables
        Only read.
    get_limit : callable
        Takes a row and the time in seconds, and returns the ``Limit`` of this entry.
    rules : AdmissionRules
    make_queue : callable, optional
        Returns an empty queue, for the short or the long requests of a service.
    """

    __slots__ = (
        "_deadlines",
        "_decided",
        "_get_limit",
        "_make_queue",
        "_rules",
        "_sequence",
        "_tables",
        "services_by_name",
        "usage_by_row",
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
        self._decided: list[Ticket] = []
        self._deadlines: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self.usage_by_row: dict[str, LimitUsage] = {}
        self.services_by_name: dict[str, ServiceQueues] = {}
        self.waiting = 0

    def offer(self, team: str, service: str, tokens: int, now: float) -> Ticket:
        """Refuse a request or put it into a queue.

        Parameters
        ----------
        team, service : str
        tokens : int
            Estimated tokens; zero for a call of a plain service.
        now : float
            Current time in seconds.

        Returns
        -------
        Ticket
            Waiting or refused; ``tick`` returns a waiting one once it is decided.
        """
        rules = self._rules
        is_long = tokens >= rules.long_tokens
        ticket = Ticket(team, service, tokens, is_long, now + rules.queue_timeout)
        if ticket.row not in self._tables.table.limits_by_row:
            self._refuse(ticket, ErrorKind.FORBIDDEN)
            return ticket
        usage = self._get_usage(ticket.row, now)
        usage.offered_requests += 1
        usage.offered_tokens += tokens
        wait = self._estimate_limit_wait(ticket, usage, now)
        if tokens and not is_long:
            max_wait = wait + rules.short_queue_timeout
            ticket.deadline = min(ticket.deadline, now + max_wait)
        if wait > rules.limit_wait:
            retry_after = None if math.isinf(wait) else math.ceil(wait)
            self._refuse(ticket, ErrorKind.LIMIT_EXCEEDED, retry_after)
            return ticket
        if self.waiting >= rules.queue_length and not self._evict_newest(ticket):
            self._refuse(ticket, ErrorKind.QUEUE_FULL)
            return ticket
        self._enqueue(ticket, usage)
        return ticket

    def _get_usage(self, row: str, now: float) -> LimitUsage:
        limit = self._get_limit(row, now)
        usage = self.usage_by_row.get(row)
        if usage is None:
            usage = self.usage_by_row[row] = LimitUsage(limit, self._rules, now)
        usage.set_limit(limit, self._rules, now)
        return usage

    def _estimate_limit_wait(
        self, ticket: Ticket, usage: LimitUsage, now: float
    ) -> float:
        if self._get_limit(ticket.row, now).running <= 0:
            return math.inf
        wait = usage.requests.get_wait(1.0, now, usage.waiting)
        if ticket.tokens:
            ahead = usage.waiting_tokens
            wait = max(wait, usage.tokens.get_wait(ticket.tokens, now, ahead))
        return wait

    def _evict_newest(self, ticket: Ticket) -> bool:
        """Refuse the newest ticket of the team with the longest queue for its weight.

        Returns
        -------
        bool
            Whether a ticket was refused to make room for ``ticket``; false if no team
            has a longer queue for its weight than the team of ``ticket``.
        """
        own_length = 1 + sum(
            queues.get_queue(is_long).get_length(ticket.team)
            for queues in self.services_by_name.values()
            for is_long in (False, True)
        )
        worst_ratio = own_length / self._get_weight(ticket.row)
        worst: tuple[FairQueue[Ticket], str] | None = None
        for service, queues in self.services_by_name.items():
            for queue in (queues.short, queues.long):
                for team, _ in queue.iter_oldest():
                    weight = self._get_weight(f"{team}/{service}")
                    ratio = queue.get_length(team) / weight
                    if ratio > worst_ratio:
                        worst_ratio = ratio
                        worst = (queue, team)
        if worst is None:
            return False
        queue, team = worst
        evicted = queue.pop_newest(team)
        self._count_dequeued(evicted)
        self._refuse(evicted, ErrorKind.QUEUE_FULL)
        self._decided.append(evicted)
        return True

    def _get_weight(self, row: str) -> float:
        limit_row = self._tables.table.limits_by_row.get(row)
        return limit_row.weight if limit_row else 1.0

    def _enqueue(self, ticket: Ticket, usage: LimitUsage) -> None:
        service = self.services_by_name.get(ticket.service)
        if service is None:
            service = self.services_by_name[ticket.service] = ServiceQueues(
                self._make_queue
            )
        service.get_queue(ticket.is_long).push(ticket.team, ticket)
        heapq.heappush(self._deadlines, (ticket.deadline, next(self._sequence), ticket))
        usage.waiting += 1
        usage.waiting_tokens += ticket.tokens
        self.waiting += 1

    def _count_dequeued(self, ticket: Ticket) -> None:
        usage = self.usage_by_row[ticket.row]
        usage.waiting -= 1
        usage.waiting_tokens -= ticket.tokens
        self.waiting -= 1

    @staticmethod
    def _refuse(
        ticket: Ticket, kind: ErrorKind, retry_after: int | None = None
    ) -> None:
        ticket.state = TicketState.REFUSED
        ticket.kind = kind
        ticket.retry_after = retry_after

    def tick(self, now: float) -> list[Ticket]:
        """Admit or time out waiting tickets; return all decided since the last call."""
        self._expire(now)
        for name, service in self.services_by_name.items():
            self._dispatch(name, service, now)
        decided = self._decided
        self._decided = []
        return decided

    def _expire(self, now: float) -> None:
        deadlines = self._deadlines
        while deadlines and deadlines[0][0] <= now:
            ticket = heapq.heappop(deadlines)[2]
            if ticket.state is TicketState.WAITING:
                self._dequeue(ticket)
                self._refuse(ticket, ErrorKind.QUEUE_TIMEOUT)
                self._decided.append(ticket)

    def _dequeue(self, ticket: Ticket) -> None:
        service = self.services_by_name[ticket.service]
        service.get_queue(ticket.is_long).remove(ticket.team, ticket)
        self._count_dequeued(ticket)

    def _dispatch(self, name: str, service: ServiceQueues, now: float) -> None:
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

    def _update_slots(self, name: str, service: ServiceQueues, now: float) -> None:
        if now - service.slots_updated_at < CAPACITY_INTERVAL_SECONDS:
            return
        service.slots_updated_at = now
        if name in self._tables.table.services_by_name:
            service.slots = get_entry_slots(self._tables, name)

    def _is_within_limit(self, ticket: Ticket, now: float) -> bool:
        if ticket.row not in self._tables.table.limits_by_row:
            return False
        usage = self._get_usage(ticket.row, now)
        if usage.running >= self._get_limit(ticket.row, now).running:
            return False
        if usage.requests.get_wait(1.0, now) > 0:
            return False
        return not ticket.tokens or usage.tokens.get_wait(ticket.tokens, now) <= 0

    def _admit(self, ticket: Ticket, service: ServiceQueues) -> None:
        self._count_dequeued(ticket)
        usage = self.usage_by_row[ticket.row]
        usage.requests.consume(1.0)
        usage.tokens.consume(ticket.tokens)
        usage.running += 1
        if ticket.is_long:
            service.running_long += 1
        else:
            service.running_short += 1
        weight = self._get_weight(ticket.row)
        service.get_queue(ticket.is_long).charge(ticket.team, ticket.cost, weight)
        ticket.state = TicketState.ADMITTED
        self._decided.append(ticket)

    def release(self, ticket: Ticket, used_tokens: int) -> None:
        """End an admitted request and refund the tokens that it did not use.

        Parameters
        ----------
        ticket : Ticket
            An admitted ticket.
        used_tokens : int
            Tokens that it used, including its prompt.
        """
        service = self.services_by_name[ticket.service]
        usage = self.usage_by_row[ticket.row]
        usage.running -= 1
        if ticket.is_long:
            service.running_long -= 1
        else:
            service.running_short -= 1
        unused = max(0, ticket.tokens - used_tokens)
        if unused:
            usage.tokens.refund(unused)
            weight = self._get_weight(ticket.row)
            service.get_queue(ticket.is_long).charge(ticket.team, -unused, weight)
        ticket.state = TicketState.ENDED

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request whose caller has disconnected."""
        if ticket.state is not TicketState.WAITING:
            return
        self._dequeue(ticket)
        ticket.state = TicketState.ENDED

    def collect_demand(self) -> list[RowDemand]:
        """Return the demand for each row since the last call."""
        demands = []
        for row, usage in list(self.usage_by_row.items()):
            running = usage.running + usage.waiting
            if usage.offered_requests or running:
                demands.append(
                    RowDemand(
                        row, usage.offered_requests, usage.offered_tokens, running
                    )
                )
            elif row not in self._tables.table.limits_by_row:
                del self.usage_by_row[row]
            usage.offered_requests = 0
            usage.offered_tokens = 0
        for service in self.services_by_name.values():
            service.short.forget_idle()
            service.long.forget_idle()
        return demands
