"""Shell of the admission: requests wait here until they may run."""

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
    """Admits requests.

    Parameters
    ----------
    admission : Admission
    clock : Clock
    timer : TimerService
        Ticks the admission, for limits that fill up and waits that end.
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

    def take_demand(self) -> list[RowDemand]:
        """Return what each row asked for since the last call."""
        return self._admission.take_demand()

    @property
    def waiting(self) -> int:
        """Requests that wait."""
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
        """Wait until a request may run; its slot is held inside the context.

        The wait ends ``span``, also when it ends in a refusal.

        Raises
        ------
        RequestError
            If it is refused; nothing of it has run.
        """
        try:
            ticket = await self._wait(team, service, tokens)
        finally:
            span.end()
        admitted = AdmittedRequest(ticket.is_long)
        try:
            yield admitted
        finally:
            used = (
                ticket.tokens if admitted.used_tokens is None else admitted.used_tokens
            )
            self._admission.release(ticket, used)
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
    """Slot of a running request.

    Attributes
    ----------
    is_long : bool
        Whether it counts as long work.
    used_tokens : int or None
        Tokens that it took; the estimate if not set.
    """

    __slots__ = ("is_long", "used_tokens")

    def __init__(self, is_long: bool) -> None:
        self.is_long = is_long
        self.used_tokens: int | None = None


def make_gate(policy: Policy, clock: Clock, timer: TimerService) -> Gate:
    """Return the gate of an entry."""
    admission = Admission(
        policy.tables,
        policy.get_limit,
        policy.make_admission_rules(),
        policy.make_queue,
    )
    return Gate(admission, clock, timer)
