"""Permits for requests to limited upstreams, and the routers that issue them."""

import logging
from collections.abc import Awaitable, Callable

import trio

from wigeondrift.application import Component
from wigeondrift.router.pending_answers import PendingAnswers
from wigeondrift.systems.limits import (
    PermitAnswer,
    PermitRequest,
    PresenceAnswer,
    PresenceRequest,
    RequestLimits,
)
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Time to wait for the answer of an issuer, and how often one is asked. Datagrams get
# lost now and then, and a busy router takes some time.
ANSWER_SECONDS = 0.08
ASKINGS = 2
# Issuers that one request asks before it is treated as refused.
MAX_ISSUERS = 3
# Age at which a permit is no longer used. Only a process that stood still gets so late.
PERMIT_SECONDS = 1.0
# Interval at which a router asks whether others are there that would be the issuers,
# and the number of such rounds whose answers still count.
PRESENCE_SECONDS = 0.1
PRESENCE_ROUNDS = 10

SendRequest = Callable[[str, PermitRequest | PresenceRequest], Awaitable[None]]


class Permits(Component):
    """Asks for permits, and answers the requests of other routers.

    Parameters
    ----------
    limits : RequestLimits
    name : str
        Instance of this router.
    number : int
        Number before that of the first request.
    get_time : callable
        Clock that includes time spent suspended, in seconds.
    """

    __slots__ = (
        "_get_time",
        "_limits",
        "_logger",
        "_name",
        "_number",
        "_pending",
        "_presence_names_by_number",
        "_presence_wanted",
        "_send",
    )

    def __init__(
        self,
        limits: RequestLimits,
        name: str,
        number: int,
        get_time: Callable[[], float],
    ) -> None:
        self._get_time = get_time
        self._limits = limits
        self._name = name
        self._number = number
        self._pending = PendingAnswers()
        self._presence_names_by_number: dict[int, str] = {}
        self._presence_wanted = trio.Event()
        self._send: SendRequest | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    def connect(self, send: SendRequest) -> None:
        """Set the function that sends a request to a router."""
        self._send = send

    async def acquire(self, upstream_id: str, request_id: str) -> bool:
        """Return whether a request may be sent to an upstream now.

        If it may not, none is to be sent there for the time that the limits tell.
        """
        limits = self._limits
        for _ in range(MAX_ISSUERS):
            now = trio.current_time()
            if limits.get_limit(upstream_id) is None:
                return True
            if limits.get_wait(upstream_id, now):
                return False
            issuer = limits.get_issuer(upstream_id, now)
            asked_at = self._get_time()
            answer = await self._ask(issuer, upstream_id)
            if self._get_time() - asked_at > PERMIT_SECONDS:
                continue
            now = trio.current_time()
            if answer is None:
                limits.skip(issuer, now)
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.ISSUER_SILENT,
                    peer=issuer,
                    upstream=upstream_id,
                    request_id=request_id,
                )
                continue
            limits.record_permit_answer(issuer, answer)
            if not answer.wait:
                return True
            limits.close(upstream_id, now + answer.wait)
            log_event(
                self._logger,
                logging.INFO,
                Event.PERMIT_REFUSED,
                upstream=upstream_id,
                limit=limits.get_limit(upstream_id),
                peer=issuer,
                seconds=round(answer.wait, 3),
                request_id=request_id,
            )
            return False
        limits.close(upstream_id, now + ANSWER_SECONDS)
        return False

    async def _ask(self, issuer: str, upstream_id: str) -> PermitAnswer | None:
        """Return an issuer's answer, None if it gives none."""
        for _ in range(ASKINGS):
            if self._limits.get_limit(upstream_id) is None:
                return PermitAnswer(0, 0.0, is_issuer=True)
            self._number += 1
            number = self._number
            request = self._limits.make_request(upstream_id, number)
            if issuer == self._name:
                return self.answer_permit_request(request)
            if self._send is None:
                return None
            sending = self._send(issuer, request)
            answer = await self._pending.wait(number, sending, ANSWER_SECONDS)
            if answer is not None:
                return answer
        return None

    def answer_permit_request(self, request: PermitRequest) -> PermitAnswer:
        """Answer a request of another router, or one of this one."""
        now = trio.current_time()
        answer = self._limits.answer(request, now)
        if self._limits.presence.list_wanted(now):
            self._presence_wanted.set()
        return answer

    def apply_permit_answer(self, answer: PermitAnswer) -> None:
        """Pass the answer of another router on to the request that waits for it."""
        self._pending.apply(answer)

    def answer_presence_request(self, request: PresenceRequest) -> PresenceAnswer:
        """Answer that this router is there."""
        return PresenceAnswer(request.number)

    def apply_presence_answer(self, answer: PresenceAnswer) -> None:
        """Record that another router is there."""
        name = self._presence_names_by_number.get(answer.number)
        if name is not None:
            self._limits.presence.record_answer(name, trio.current_time())

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to ask for the presence of routers in ``nursery``."""
        if self._send is not None:
            nursery.start_soon(self._ask_for_presence)

    async def _ask_for_presence(self) -> None:
        while True:
            await self._presence_wanted.wait()
            names = self._limits.presence.list_wanted(trio.current_time())
            if not names:
                self._presence_wanted = trio.Event()
            for name in names:
                self._number += 1
                self._presence_names_by_number[self._number] = name
                await self._send(name, PresenceRequest(self._number))
            self._forget_presence_requests(PRESENCE_ROUNDS * len(names))
            await trio.sleep(PRESENCE_SECONDS)

    def _forget_presence_requests(self, kept: int) -> None:
        """Forget the oldest questions but for some number."""
        names_by_number = self._presence_names_by_number
        while len(names_by_number) > kept:
            del names_by_number[next(iter(names_by_number))]
