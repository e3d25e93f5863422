"""I/O layer of the admission: requests wait here until they may run."""

import contextlib
from collections.abc import AsyncIterator

import trio

from wigeondrift.entry.policy import Policy
from wigeondrift.systems.admission import (
    Admission,
    RowDemand,
    Ticket,
    TicketState,
)
from wigeondrift.telemetry.tracing import Span
from wigeondrift.timer import Clock, TimerService

TICK_SECONDS = 0.02


class Gate:
    """Queues requests until the admission admits or refuses them.

    Parameters
    ----------
    admission : Admission
    clock : Clock
    timer : TimerService
        Ticks the admission, so that limits refill and waiting requests time out.
    """

    __slots__ = ("_admission", "_clock", "_events_by_ticket")

    def __init__(
        self,
        admission: Admission,
        clock: Clock,
        timer: TimerService,
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._events_by_ticket: dict[Ticket, trio.Event] = {}
        timer.subscribe("admission", TICK_SECONDS, self._on_tick)

    def collect_demand(self) -> list[RowDemand]:
        """Return the demand of each limit row since the last call."""
        return self._admission.collect_demand()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._admission.waiting

    async def _on_tick(self, now: float) -> None:
        self._tick(now)

    def _tick(self, now: float) -> None:
        for ticket in self._admission.tick(now):
            event = self._events_by_ticket.get(ticket)
            if event is not None:
                event.set()

    @contextlib.asynccontextmanager
    async def admit(
        self, team: str, service: str, tokens: int, span: Span
    ) -> AsyncIterator["AdmittedRequest"]:
        """Wait until a request may run; hold its slot inside the context.

        ``span`` ends with the wait, also if the request is refused.

        Raises
        ------
        RequestError
            If the request is refused; no part of it has run.
        """
        try:
            ticket = await self._wait(team, service, tokens)
        finally:
            span.end()
        admitted = AdmittedRequest(ticket.is_long)
        try:
            yield admitted
        finally:
            used_tokens = (
                ticket.tokens if admitted.used_tokens is None else admitted.used_tokens
            )
            self._admission.release(ticket, used_tokens)
            self._tick(self._clock.now())

    async def _wait(self, team: str, service: str, tokens: int) -> Ticket:
        now = self._clock.now()
        ticket = self._admission.offer(team, service, tokens, now)
        self._tick(now)
        if ticket.state is TicketState.WAITING:
            event = self._events_by_ticket[ticket] = trio.Event()
            try:
                await event.wait()
            except trio.Cancelled:
                self._withdraw(ticket)
                raise
            finally:
                del self._events_by_ticket[ticket]
        if ticket.state is TicketState.REFUSED:
            raise ticket.make_error()
        return ticket

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.ADMITTED:
            self._admission.release(ticket, 0)
        else:
            self._admission.withdraw(ticket)
        self._tick(self._clock.now())


class AdmittedRequest:
    """Admitted request that holds a slot.

    Attributes
    ----------
    is_long : bool
        Whether the request is classified as long.
    used_tokens : int or None
        Tokens that the request used; None means as many as estimated.
    """

    __slots__ = ("is_long", "used_tokens")

    def __init__(self, is_long: bool) -> None:
        self.is_long = is_long
        self.used_tokens: int | None = None


def make_gate(policy: Policy, clock: Clock, timer: TimerService) -> Gate:
    """Return the admission gate of an entry."""
    admission = Admission(
        policy.tables,
        policy.get_limit,
        policy.make_admission_rules(),
        policy.make_queue,
    )
    return Gate(admission, clock, timer)
