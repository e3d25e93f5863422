"""Takes callers' requests: whether they may run, where, and when again."""

import functools
import logging
import random

import trio

from wigeondrift.errors import (
    CallerDisconnected,
    ConnectionLost,
    ErrorKind,
    RequestError,
)
from wigeondrift.router.attempt import PROMISES, STREAM_SILENCE_SECONDS, Sender
from wigeondrift.router.calls import CallerRequest
from wigeondrift.router.choice import Choice
from wigeondrift.router.dialect import Dialect
from wigeondrift.router.entities import RouteRule
from wigeondrift.router.journey import AttemptFailed, Journey, get_patience
from wigeondrift.router.membership import Membership
from wigeondrift.router.replica import Replica
from wigeondrift.router.settings import Bounds
from wigeondrift.router.waiting import WaitingRoom
from wigeondrift.systems.repeats import RepeatBudget
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.telemetry.metrics import Metric, Metrics
from wigeondrift.wire.http_server import Exchange

# Part of a caller's patience that a stream may wait for room: late is better than
# refused, and the rest is for reading the prompt.
ROOM_WAIT_SHARE = 0.6
# Connections that may fail before a request is given up: none of them was sent.
MOST_CONNECT_FAILURES = 3
# A caller that is refused should come back when a part of the requests in progress
# has ended; both in seconds.
RETRY_AFTER_SECONDS = 0.8
RETRY_AFTER_SPREAD = 0.8


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    replica : Replica
    choice : Choice
    waiting : WaitingRoom
    membership : Membership
    sender : Sender
    dialect : Dialect
    bounds : Bounds
    metrics : Metrics
    rng : random.Random

    Attributes
    ----------
    is_closed : bool
        Whether new requests are refused.
    running : int
        Requests in progress.
    """

    __slots__ = (
        "_bounds",
        "_budgets_by_service",
        "_choice",
        "_dialect",
        "_logger",
        "_membership",
        "_metrics",
        "_replica",
        "_rng",
        "_sender",
        "_waiting",
        "is_closed",
        "running",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        choice: Choice,
        waiting: WaitingRoom,
        membership: Membership,
        sender: Sender,
        dialect: Dialect,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._choice = choice
        self._waiting = waiting
        self._membership = membership
        self._sender = sender
        self._dialect = dialect
        self._bounds = bounds
        self._metrics = metrics
        self._rng = rng
        self._budgets_by_service: dict[str, RepeatBudget] = {}
        self._logger = logging.getLogger(LOGGER_NAME)
        self.is_closed = False
        self.running = 0

    def rebound(self, bounds: Bounds) -> None:
        """Take other bounds; the budgets of repeats go on with them."""
        if bounds != self._bounds:
            self._bounds = bounds
            for budget in self._budgets_by_service.values():
                budget.rebound(
                    bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
                )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        now = trio.current_time()
        call = self._dialect.decode_request(exchange.request, now)
        self.running += 1
        self._metrics.count(Metric.REQUESTS)
        journey = None
        outcome = "caller_closed"
        try:
            journey = self._admit(call)
            serve = functools.partial(self._serve, exchange, journey)
            if await exchange.run_until_closed(serve):
                outcome = "done"
        except RequestError as error:
            outcome = error.kind.value
            await self._refuse(exchange, error, call)
        except CallerDisconnected as error:
            outcome = "caller_gone"
            raise ConnectionLost(str(error)) from error
        finally:
            self.running -= 1
            self._log_end(call, journey, outcome)

    def _log_end(
        self, call: CallerRequest, journey: Journey | None, outcome: str
    ) -> None:
        now = trio.current_time()
        self._metrics.timing(Metric.REQUEST_TIME, now - call.arrived)
        configuration = self._replica.configuration
        fields: dict[str, object] = {
            "request_id": call.request_id,
            "outcome": outcome,
            "seconds": round(now - call.arrived, 3),
            "configuration": configuration and configuration.version,
            "configuration_age": _round(self._replica.age),
        }
        if journey is not None:
            fields.update(
                route=journey.rule.name,
                service=journey.service.name,
                team=journey.team,
                attempts=journey.attempts,
                upstreams=journey.upstreams,
                last_event=journey.events.last_id,
                first_seconds=_round(
                    journey.started_at and journey.started_at - call.arrived
                ),
                room_seconds=round(journey.room_seconds, 3),
                expected_first=_round(journey.expected_first),
                longest_gap=_round(journey.longest_gap),
                waiting=len(self._waiting),
            )
        log_event(self._logger, logging.INFO, Event.REQUEST_DONE, **fields)

    def _admit(self, call: CallerRequest) -> Journey:
        """Find out where a request may go."""
        if self.is_closed:
            raise RequestError(ErrorKind.STOPPING, "this instance is stopping")
        replica = self._replica
        configuration = replica.configuration
        if configuration is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration is known yet")
        rule = configuration.find_route(call.host, call.path)
        if rule is None:
            self._require_current()
            raise RequestError(ErrorKind.UNKNOWN_PATH, "no route has this path")
        team = ""
        if configuration.needs_keys:
            team = configuration.teams_by_key.get(call.key, "")
            if not rule.is_open:
                self._require_current()
                if not team:
                    raise RequestError(ErrorKind.UNAUTHENTICATED, "the key is unknown")
        name = self._pick_service(rule)
        service = configuration.services_by_name.get(name)
        if service is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, "the service is not configured")
        self._get_budget(name).note_request(call.arrived)
        return Journey(call, rule, service, team)

    def _require_current(self) -> None:
        if not self._replica.is_current:
            raise RequestError(
                ErrorKind.NOT_READY, "the configuration was not confirmed lately"
            )

    def _pick_service(self, rule: RouteRule) -> str:
        if len(rule.shares) == 1:
            return rule.shares[0].service
        weights = [share.weight for share in rule.shares]
        return self._rng.choices(rule.shares, weights)[0].service

    def _get_budget(self, service: str) -> RepeatBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RepeatBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
            self._budgets_by_service[service] = budget
        return budget

    async def _refuse(
        self, exchange: Exchange, error: RequestError, call: CallerRequest
    ) -> None:
        if exchange.started:
            # An answer that ends early must not look whole.
            raise ConnectionLost(error.reason) from error
        headers = [("Content-Type", "text/plain")]
        if error.status in PROMISES:
            seconds = max(RETRY_AFTER_SECONDS, self._waiting.estimate_wait())
            seconds += RETRY_AFTER_SPREAD * self._rng.random()
            headers.append(("Retry-After", f"{seconds:.2f}"))
        await exchange.respond(error.status, headers, error.reason.encode())

    async def _serve(self, exchange: Exchange, journey: Journey) -> None:
        with trio.move_on_at(journey.ends_at) as scope:
            await self._try_until_answered(exchange, journey)
        if scope.cancelled_caught:
            if journey.may_have_run:
                raise RequestError(ErrorKind.UPSTREAM_TIMEOUT, "no answer in time")
            raise RequestError(ErrorKind.QUEUE_TIMEOUT, "no room came free in time")

    async def _try_until_answered(self, exchange: Exchange, journey: Journey) -> None:
        failures = 0
        while True:
            try:
                await self._try_once(exchange, journey)
                return
            except AttemptFailed as failure:
                self._note_failure(journey, failure)
                if not failure.was_sent:
                    failures += 1
                if failures >= MOST_CONNECT_FAILURES or not self._may_repeat(
                    journey, failure
                ):
                    await self._give_up(exchange, journey, failure)
                    return

    def _note_failure(self, journey: Journey, failure: AttemptFailed) -> None:
        journey.excluded.update(failure.suspects)
        log_event(
            self._logger,
            logging.INFO,
            Event.ATTEMPT_FAILED,
            request_id=journey.call.request_id,
            attempt=journey.attempts,
            reason=failure.reason,
            may_have_run=failure.may_have_run,
            suspects=failure.suspects,
            last_event=journey.events.last_id,
        )

    def _may_repeat(self, journey: Journey, failure: AttemptFailed) -> bool:
        if failure.may_have_run and not journey.rule.is_idempotent:
            return False
        if not failure.was_sent:
            return True
        if journey.attempts >= journey.rule.attempts:
            return False
        budget = self._get_budget(journey.service.name)
        peers = len(self._membership.list_peers())
        return budget.take(peers, trio.current_time())

    async def _give_up(
        self, exchange: Exchange, journey: Journey, failure: AttemptFailed
    ) -> None:
        if exchange.started:
            raise RequestError(ErrorKind.STREAM_CUT, failure.reason)
        if failure.answer is not None:
            head, body = failure.answer
            if head.status not in PROMISES:
                await exchange.respond(head.status, head.headers, body)
                return
        if journey.may_have_run:
            raise RequestError(ErrorKind.UPSTREAM_LOST, failure.reason)
        raise RequestError(ErrorKind.UPSTREAM_REFUSED, failure.reason)

    async def _try_once(self, exchange: Exchange, journey: Journey) -> None:
        engine = journey.service.engine
        if engine is None or not engine.layers:
            await self._try_member(exchange, journey)
        else:
            await self._try_chain(exchange, journey)

    async def _try_member(self, exchange: Exchange, journey: Journey) -> None:
        member = self._choice.choose_member(journey.service.name, journey.excluded)
        if member is None:
            if journey.may_have_run:
                raise RequestError(ErrorKind.UPSTREAM_LOST, "no other upstream")
            raise RequestError(ErrorKind.NO_UPSTREAM, "the service has no upstream")
        self._choice.note_start(member.upstream_id)
        try:
            await self._sender.call(exchange, journey, member, None)
        finally:
            self._choice.note_end(member.upstream_id)

    async def _try_chain(self, exchange: Exchange, journey: Journey) -> None:
        rule, call = journey.rule, journey.call
        on_time_until = call.arrived + rule.objective
        wait_until = call.arrived + ROOM_WAIT_SHARE * get_patience(rule)
        if journey.may_have_run:
            # A stream that broke goes on within the caller's patience.
            wait_until = trio.current_time() + STREAM_SILENCE_SECONDS
        asked_at = trio.current_time()
        reservation = await self._waiting.acquire(
            journey.service, journey.demand, journey.excluded, on_time_until, wait_until
        )
        journey.room_seconds += trio.current_time() - asked_at
        if reservation is None:
            if journey.may_have_run:
                raise RequestError(ErrorKind.UPSTREAM_LOST, "no room to go on")
            raise RequestError(ErrorKind.QUEUE_TIMEOUT, "no room came free in time")
        try:
            head = reservation.chain.runners[0]
            journey.expected_first = reservation.first_seconds
            await self._sender.call(exchange, journey, head, reservation)
        finally:
            self._waiting.release(reservation)


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
