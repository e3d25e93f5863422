"""Requests that wait for room on a route of their model."""

from collections.abc import Collection

import trio

from wigeondrift.router.choice import Choice
from wigeondrift.router.entities import ServiceSpec
from wigeondrift.systems.chains import Chain

# Room that peers give back shows with their next message, in seconds.
LOOK_SECONDS = 0.05
# Waiting requests that are tried when room comes free, before the rest is left for
# the next time.
TRIES = 8


class Waiter:
    """One waiting request.

    Attributes
    ----------
    service : ServiceSpec
    tokens : float
    excluded : collection of str
    on_time_until : float
        Time until which it still earns its full credit, in seconds.
    chain : Chain or None
        Reserved for it.
    """

    __slots__ = ("chain", "event", "excluded", "on_time_until", "service", "tokens")

    def __init__(
        self,
        service: ServiceSpec,
        tokens: float,
        excluded: Collection[str],
        on_time_until: float,
    ) -> None:
        self.service = service
        self.tokens = tokens
        self.excluded = excluded
        self.on_time_until = on_time_until
        self.chain: Chain | None = None
        self.event = trio.Event()


class WaitingRoom:
    """Hands free room to the waiting requests, those that are still on time first.

    Parameters
    ----------
    choice : Choice
    """

    __slots__ = ("_choice", "_waiters")

    def __init__(self, choice: Choice) -> None:
        self._choice = choice
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    async def acquire(
        self,
        service: ServiceSpec,
        tokens: float,
        excluded: Collection[str],
        on_time_until: float,
        wait_until: float,
    ) -> Chain | None:
        """Return a reserved route, or None if none had room in time."""
        if not self._waiters:
            chain = self._choice.choose_chain(service, tokens, excluded)
            if chain is not None or trio.current_time() >= wait_until:
                return chain
        waiter = Waiter(service, tokens, excluded, on_time_until)
        self._waiters.append(waiter)
        try:
            with trio.move_on_at(wait_until):
                await waiter.event.wait()
        except trio.Cancelled:
            if waiter.chain is not None:
                self.release(waiter.chain, tokens)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.chain

    def release(self, chain: Chain, tokens: float) -> None:
        """Give a route's room back and hand it on."""
        self._choice.release(chain.route, tokens)
        self.serve()

    def serve(self) -> None:
        """Hand out the room that there is."""
        if not self._waiters:
            return
        now = trio.current_time()
        order = sorted(
            self._waiters, key=lambda w: (w.on_time_until < now, w.on_time_until)
        )
        failures = 0
        for waiter in order:
            waiter.chain = self._choice.choose_chain(
                waiter.service, waiter.tokens, waiter.excluded
            )
            if waiter.chain is not None:
                self._waiters.remove(waiter)
                waiter.event.set()
                continue
            failures += 1
            if failures >= TRIES:
                return

    async def look(self, now: float) -> None:
        """Hand out room that peers gave back; a subscriber of the timer."""
        self.serve()
