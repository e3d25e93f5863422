"""Retry budgets of a router, and the messages that share them between routers."""

import logging
import math
from collections.abc import Awaitable, Callable

import trio

from wigeondrift.application import Component
from wigeondrift.router.membership import Membership
from wigeondrift.router.pending_answers import PendingAnswers
from wigeondrift.router.replica import Replica
from wigeondrift.router.settings import Bounds
from wigeondrift.systems.repeat_pool import (
    RepeatAnswer,
    RepeatPool,
    RepeatRequest,
    ShareAnswer,
    ShareRequest,
)
from wigeondrift.systems.repeats import RepeatBudget
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics

# Longest time that a request waits for a repeat from the pool, and for one answer: a
# datagram may be lost, so the issuer is asked twice.
ACQUIRE_SECONDS = 0.16
ANSWER_SECONDS = 0.08
# Time after which an issuer that is still borrowing is asked again.
ASK_AGAIN_SECONDS = 0.02
# Shortest pause before loans are renewed. A rounding error in the time left must not
# make the loop run without one.
MIN_PAUSE_SECONDS = 0.001

SendRequest = Callable[[str, RepeatRequest | ShareRequest], Awaitable[None]]


class SharedRepeats(Component):
    """Retry budgets by service, and the pool that the routers share.

    Parameters
    ----------
    pool : RepeatPool
    name : str
        Instance of this router.
    replica : Replica
        Tells which services are configured.
    membership : Membership
    bounds : Bounds
    metrics : Metrics
    get_time : callable
        Clock that includes time spent suspended, in seconds.
    """

    __slots__ = (
        "_bounds",
        "_budgets_by_service",
        "_get_time",
        "_logger",
        "_membership",
        "_metrics",
        "_name",
        "_pending",
        "_pool",
        "_replica",
        "_send",
        "_wanted",
    )

    def __init__(
        self,
        pool: RepeatPool,
        name: str,
        replica: Replica,
        membership: Membership,
        bounds: Bounds,
        metrics: Metrics,
        get_time: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._name = name
        self._replica = replica
        self._membership = membership
        self._bounds = bounds
        self._metrics = metrics
        self._get_time = get_time
        self._budgets_by_service: dict[str, RepeatBudget] = {}
        self._pending = PendingAnswers()
        self._send: SendRequest | None = None
        self._wanted = trio.Event()
        self._logger = logging.getLogger(LOGGER_NAME)

    def connect(self, send: SendRequest) -> None:
        """Set the function that sends a request to a router."""
        self._send = send

    def update_peers(self) -> None:
        """Update the list of peers; called when it may have changed."""
        self._pool.set_peers(self._membership.list_peers())

    def update_bounds(self, bounds: Bounds) -> None:
        """Set other bounds, also for the budgets in use."""
        self._bounds = bounds
        for budget in self._budgets_by_service.values():
            budget.update_bounds(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )

    def get_budget(self, service: str) -> RepeatBudget:
        """Return this router's own budget for a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RepeatBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets_by_service[service] = budget
        return budget

    def _count_peers(self) -> int:
        return len(self._membership.list_peers())

    def acquire_own(self, service: str) -> bool:
        """Return whether this router's own part allows a repeat now."""
        budget = self.get_budget(service)
        return budget.try_acquire(self._count_peers(), trio.current_time())

    async def acquire(self, service: str, is_under_way: bool, request_id: str) -> bool:
        """Return whether a request may be repeated now.

        Parameters
        ----------
        service : str
        is_under_way : bool
            Whether the caller already reads the response.
        request_id : str

        Returns
        -------
        bool
        """
        if self.acquire_own(service):
            return True
        is_granted = await self._acquire_shared(service, is_under_way, request_id)
        metric = Metric.REPEATS_GRANTED if is_granted else Metric.REPEATS_DENIED
        self._metrics.count(metric)
        return is_granted

    async def _acquire_shared(
        self, service: str, is_under_way: bool, request_id: str
    ) -> bool:
        pool = self._pool
        started_at = self._get_time()
        if self._send is None or pool.is_closed(service, is_under_way, started_at):
            return False
        issuer = pool.get_issuer(service, started_at)
        answer = None
        with trio.move_on_after(ACQUIRE_SECONDS):
            while True:
                answer = await self._ask(issuer, service, is_under_way) or answer
                if answer is not None and not answer.is_collecting:
                    break
                if answer is not None:
                    await trio.sleep(ASK_AGAIN_SECONDS)
        now = self._get_time()
        if now - started_at > 2 * ACQUIRE_SECONDS:
            # The process was suspended: the window of a repeat may have passed.
            answer = None
        elif answer is None:
            pool.skip(issuer, now)
        if answer is not None and answer.is_granted:
            return True
        pool.record_denied(service, is_under_way, now)
        log_event(
            self._logger,
            logging.INFO,
            Event.REPEAT_DENIED if answer is not None else Event.POOL_SILENT,
            service=service,
            peer=issuer,
            is_under_way=is_under_way,
            request_id=request_id,
        )
        return False

    async def _ask(
        self, issuer: str, service: str, is_under_way: bool
    ) -> RepeatAnswer | None:
        """Return an issuer's answer, None if it gives none in time."""
        number = self._pool.take_number()
        request = RepeatRequest(number, service, is_under_way)
        if issuer == self._name:
            return self.answer_repeat_request(request)
        sending = self._send(issuer, request)
        return await self._pending.wait(number, sending, ANSWER_SECONDS)

    def answer_repeat_request(self, request: RepeatRequest) -> RepeatAnswer:
        """Answer a request of another router, or one of this one."""
        if not self._is_configured(request.service):
            return RepeatAnswer(request.number, is_granted=False)
        window = self.get_budget(request.service).window
        answer = self._pool.answer(request, window, self._get_time())
        self._wanted.set()
        return answer

    def _is_configured(self, service: str) -> bool:
        configuration = self._replica.configuration
        return configuration is not None and service in configuration.services_by_name

    def apply_repeat_answer(self, answer: RepeatAnswer) -> None:
        """Pass the answer of another router on to the request that waits for it."""
        self._pending.apply(answer)

    def answer_share_request(self, request: ShareRequest) -> ShareAnswer:
        """Lend what this router does not use of its share."""
        amount = 0.0
        if self._is_configured(request.service):
            amount = self.get_budget(request.service).lend(
                (request.issuer, request.incarnation),
                self._count_peers(),
                trio.current_time(),
            )
        return ShareAnswer(request.number, amount)

    def apply_share_answer(self, answer: ShareAnswer) -> None:
        """Add what another router lends to the pool."""
        service = self._pool.get_service(answer.number)
        if service is not None:
            largest = self.get_budget(service).get_share(self._count_peers())
            self._pool.record_share(answer, largest)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to borrow from the other routers in ``nursery`` when it is asked."""
        if self._send is not None:
            nursery.start_soon(self._renew_loans)

    async def _renew_loans(self) -> None:
        while True:
            self._wanted = trio.Event()
            due = self._pool.get_next_renewal()
            seconds = math.inf
            if due is not None:
                seconds = max(MIN_PAUSE_SECONDS, due - self._get_time())
            with trio.move_on_after(seconds):
                await self._wanted.wait()
            for name, request in self._pool.make_share_requests(self._get_time()):
                if name == self._name:
                    self.apply_share_answer(self.answer_share_request(request))
                else:
                    await self._send(name, request)
