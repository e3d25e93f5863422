"""Takes a caller's request to upstreams and the answer back: attempts and repeats."""

import functools
import logging
import random
from collections.abc import Awaitable

import trio

from wigeondrift.errors import (
    CallerGone,
    ConnectFailed,
    ConnectionLost,
    ErrorKind,
    RequestError,
    TransportError,
    WigeondriftError,
)
from wigeondrift.events import LOGGER_NAME, Event, log_event
from wigeondrift.http_client import ClientResponse, HttpClient
from wigeondrift.http_server import Exchange
from wigeondrift.metrics import Metric, Metrics
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.router.choice import Choice, Reservation
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.dialect import Dialect
from wigeondrift.router.entities import (
    RequestKind,
    RouteRule,
    ServiceSpec,
    Upstream,
)
from wigeondrift.router.event_stream import EventBuffer
from wigeondrift.router.membership import Membership
from wigeondrift.router.replica import Replica
from wigeondrift.router.settings import Bounds
from wigeondrift.router.waiting import WaitingRoom
from wigeondrift.systems.chains import RouteDemand
from wigeondrift.systems.repeats import RepeatBudget

# Callers leave a stream that brings nothing for this long, or for these multiples of
# its objective or its longest pause if they are longer (the platform's pages).
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
# Part of that patience that a stream may wait for room: late is better than refused,
# and the rest is for reading the prompt.
ROOM_WAIT_SHARE = 0.6
# Part of an answer that a request holds on average while it runs.
MEAN_ANSWER_SHARE = 0.5
# Silence of a stream after which its runners are asked, in seconds: several times the
# usual pause, and well below the two seconds after which callers leave.
STREAM_SILENCE_SECONDS = 0.6
FIRST_EVENT_SILENCE_SECONDS = 0.9
# Silence after which a stream goes on elsewhere though no runner is known to be at
# fault.
MOST_SILENCE_SECONDS = 1.6
# Pause between two questions about a silent stream, in seconds.
SILENCE_STEP_SECONDS = 0.2
# Part of its time that an idempotent call waits for one upstream before another.
FIRST_TRY_SHARE = 0.5
# Connections that may fail before a request is given up: none of them was sent.
MOST_CONNECT_FAILURES = 3
# A caller that is refused should come back when a part of the requests in progress
# has ended; both in seconds.
RETRY_AFTER_SECONDS = 0.8
RETRY_AFTER_SPREAD = 0.8
STATUS_OK = 200
# What these statuses promise must be the upstream's own word.
PROMISES = frozenset({408, 421, 429, 503})


class AttemptFailed(WigeondriftError):
    """A try at one upstream that did not end in an answer to pass on.

    Parameters
    ----------
    reason : str
    may_have_run : bool
    suspects : tuple of str
        Upstreams to leave out of the next try.
    answer : tuple or None
        The upstream's head and body, if it gave a whole answer.
    was_sent : bool
        Whether anything reached an upstream.
    """

    def __init__(
        self,
        reason: str,
        may_have_run: bool,
        suspects: tuple[str, ...] = (),
        answer: tuple[UpstreamHead, bytes] | None = None,
        was_sent: bool = True,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_run = may_have_run
        self.suspects = suspects
        self.answer = answer
        self.was_sent = was_sent


class Journey:
    """One request on its way: what the log line and the decisions need.

    Attributes
    ----------
    call : CallerRequest
    rule : RouteRule
    service : ServiceSpec
    team : str
    ends_at : float
        Time of the final answer at the latest, in seconds.
    events : EventBuffer
        Events passed on.
    expected_first : float or None
        Time to the first event that the last route was expected to take, in seconds.
    room_seconds : float
        Time spent waiting for room.
    longest_gap : float or None
        Longest pause between two events, in seconds.
    """

    __slots__ = (
        "attempts",
        "call",
        "ends_at",
        "events",
        "excluded",
        "expected_first",
        "longest_gap",
        "may_have_run",
        "room_seconds",
        "rule",
        "service",
        "started_at",
        "team",
        "upstreams",
    )

    def __init__(
        self, call: CallerRequest, rule: RouteRule, service: ServiceSpec, team: str
    ) -> None:
        self.call = call
        self.rule = rule
        self.service = service
        self.team = team
        patience = rule.timeout if call.patience is None else call.patience
        self.ends_at = call.arrived + min(patience, rule.timeout)
        self.events = EventBuffer(call.last_event_id)
        self.attempts = 0
        self.excluded: set[str] = set()
        self.may_have_run = False
        self.started_at: float | None = None
        self.upstreams: list[str] = []
        self.room_seconds = 0.0
        self.expected_first: float | None = None
        self.longest_gap: float | None = None

    @property
    def demand(self) -> RouteDemand:
        """What the request is expected to need of a route, on average."""
        call = self.call
        engine = self.service.engine
        answer = float(call.answer_estimate or engine.usual_answer)
        if call.answer_limit:
            answer = min(answer, float(call.answer_limit))
        prompt = float(call.prompt_tokens or engine.usual_prompt)
        tokens = prompt + MEAN_ANSWER_SHARE * answer
        return RouteDemand(tokens, prompt, self.rule.event_gap)


class Forwarder:
    """Serves callers' requests.

    Parameters
    ----------
    replica : Replica
    choice : Choice
    waiting : WaitingRoom
    membership : Membership
    client : HttpClient
    control : RunnerControl
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
        "_client",
        "_control",
        "_dialect",
        "_logger",
        "_membership",
        "_metrics",
        "_replica",
        "_rng",
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
        client: HttpClient,
        control: RunnerControl,
        dialect: Dialect,
        bounds: Bounds,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._choice = choice
        self._waiting = waiting
        self._membership = membership
        self._client = client
        self._control = control
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
        except CallerGone as error:
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
            await self._call(exchange, journey, member, None)
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
            await self._call(exchange, journey, head, reservation)
        finally:
            self._waiting.release(reservation)

    async def _call(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        """Send the request to one upstream and pass its answer on."""
        journey.upstreams.append(upstream.upstream_id)
        journey.attempts += 1
        # True while an attempt is under way: the caller's time may end at any point.
        had_run = journey.may_have_run
        journey.may_have_run = True
        try:
            if journey.rule.kind is RequestKind.STREAM:
                await self._call_guarded(exchange, journey, upstream, reservation)
            else:
                await self._send(exchange, journey, upstream, reservation, Progress())
        except ConnectFailed as error:
            journey.attempts -= 1
            journey.may_have_run = had_run
            self._choice.note_unreachable(upstream, str(error))
            raise AttemptFailed(
                str(error), False, (upstream.upstream_id,), was_sent=False
            ) from error
        except AttemptFailed as failure:
            journey.may_have_run = had_run or failure.may_have_run
            raise
        except TransportError as error:
            suspects = await self._examine(upstream, journey.call.request_id)
            raise AttemptFailed(
                str(error), True, (upstream.upstream_id, *suspects)
            ) from error

    async def _call_guarded(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
    ) -> None:
        """Send a request for a stream and end it when its runners fall silent."""
        progress = Progress()
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._guard, journey, upstream, progress, nursery.cancel_scope
            )
            try:
                await self._send(exchange, journey, upstream, reservation, progress)
                progress.ended = True
            except WigeondriftError as error:
                progress.ended = True
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if not progress.ended:
            raise AttemptFailed("the stream fell silent", True, progress.suspects)

    async def _guard(
        self,
        journey: Journey,
        upstream: Upstream,
        progress: "Progress",
        scope: trio.CancelScope,
    ) -> None:
        can_go_on = (
            journey.rule.is_idempotent and journey.attempts < journey.rule.attempts
        )
        while True:
            limit = FIRST_EVENT_SILENCE_SECONDS
            if progress.has_events:
                limit = STREAM_SILENCE_SECONDS
            last_at = progress.last_at
            if trio.current_time() < last_at + limit:
                await trio.sleep_until(last_at + limit)
                continue
            suspects = await self._examine(upstream, journey.call.request_id)
            if progress.last_at != last_at:
                continue
            silence = trio.current_time() - last_at
            is_lost = progress.has_events and silence >= MOST_SILENCE_SECONDS
            if can_go_on and (suspects or is_lost):
                progress.suspects = suspects or (upstream.upstream_id,)
                scope.cancel()
                return
            await trio.sleep(SILENCE_STEP_SECONDS)

    async def _examine(self, upstream: Upstream, request_id: str) -> tuple[str, ...]:
        """Find out which runners are at fault and avoid them."""
        try:
            report = await self._control.get_report(upstream)
        except TransportError as error:
            self._choice.note_unreachable(upstream, str(error))
            return (upstream.upstream_id,)
        self._choice.note_answer(upstream)
        address = report.stalled_by_request.get(request_id)
        if address is None and report.stalled_by_request:
            address = next(iter(report.stalled_by_request.values()))
        suspect = None if not address else self._choice.find_stage(address)
        if suspect is None:
            return ()
        self._choice.note_failure((suspect,), "a runner waits for it")
        return (suspect,)

    async def _send(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        reservation: Reservation | None,
        progress: "Progress",
    ) -> None:
        call, rule = journey.call, journey.rule
        now = trio.current_time()
        headers = self._dialect.encode_upstream_headers(
            call,
            upstream.upstream_id,
            journey.team,
            journey.ends_at - now,
            None if reservation is None else reservation.chain.route,
            journey.events.last_id,
        )
        patience = journey.ends_at - now
        if rule.kind is RequestKind.SAFE and journey.attempts < rule.attempts:
            patience *= FIRST_TRY_SHARE
        async with self._client.request(
            upstream.address,
            call.method,
            call.target,
            headers,
            call.body,
            head_timeout=max(0.0, patience),
            # On a kept connection a call may be lost without a trace.
            fresh=not rule.is_idempotent,
        ) as response:
            self._choice.note_answer(upstream)
            head = self._dialect.decode_head(response.status, response.headers)
            if head.request_id and head.request_id != call.request_id:
                raise ConnectionLost("the answer belongs to another request")
            if head.running is not None:
                load = head.running + (head.waiting or 0)
                self._choice.note_load(upstream.upstream_id, load)
            if rule.kind is RequestKind.STREAM and head.status == STATUS_OK:
                await self._pass_stream(
                    exchange, journey, response, head, progress, reservation
                )
            else:
                await self._pass_whole(exchange, journey, upstream, response, head)

    async def _pass_whole(
        self,
        exchange: Exchange,
        journey: Journey,
        upstream: Upstream,
        response: ClientResponse,
        head: UpstreamHead,
    ) -> None:
        body = await response.read()
        if head.is_not_run:
            suspects = (upstream.upstream_id,)
            if head.faulty_address:
                found = self._choice.find_stage(head.faulty_address)
                suspects = (found,) if found else suspects
                self._choice.note_failure(suspects, f"status {head.status}")
            raise AttemptFailed(
                f"refused with status {head.status}", False, suspects, (head, body)
            )
        is_failure = head.status >= 500 or not head.is_sealed
        if is_failure and (journey.rule.is_idempotent or head.status in PROMISES):
            raise AttemptFailed(
                f"failed with status {head.status}",
                True,
                (upstream.upstream_id,),
                (head, body),
            )
        if not head.is_sealed and head.status < 300:
            raise AttemptFailed("the answer bears no signature", True)
        await _write(exchange.respond(head.status, head.headers, body))

    async def _pass_stream(
        self,
        exchange: Exchange,
        journey: Journey,
        response: ClientResponse,
        head: UpstreamHead,
        progress: "Progress",
        reservation: Reservation | None,
    ) -> None:
        if not head.is_sealed:
            raise ConnectionLost("the answer bears no signature")
        events = journey.events
        events.restart()
        async for data in response.iter_data():
            now = trio.current_time()
            if progress.has_events:
                gap = now - progress.last_at
                journey.longest_gap = max(gap, journey.longest_gap or 0.0)
            progress.last_at = now
            whole = events.feed(data)
            if not whole:
                continue
            if reservation is not None and not progress.has_events:
                reservation.note_read()
            progress.has_events = True
            if exchange.started:
                await _write(exchange.send(whole))
            else:
                journey.started_at = progress.last_at
                self._metrics.timing(
                    Metric.FIRST_TOKEN, progress.last_at - journey.call.arrived
                )
                await _write(exchange.start(head.status, head.headers, whole))
        if events.has_pending:
            raise ConnectionLost("the stream ended within an event")
        if not exchange.started:
            await _write(exchange.start(head.status, head.headers))
        await _write(exchange.finish())


def get_patience(rule: RouteRule) -> float:
    """Return the silence after which callers leave a stream, in seconds."""
    return max(
        PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * rule.objective,
        PATIENCE_GAPS * rule.event_gap,
    )


class Progress:
    """How far one attempt of a stream has come.

    Attributes
    ----------
    last_at : float
        Time of the last bytes, in seconds.
    has_events : bool
    ended : bool
        Whether the attempt ended by itself.
    suspects : tuple of str
        Runners for which it was given up.
    """

    __slots__ = ("ended", "has_events", "last_at", "suspects")

    def __init__(self) -> None:
        self.last_at = trio.current_time()
        self.has_events = False
        self.ended = False
        self.suspects: tuple[str, ...] = ()


async def _write(writing: Awaitable[None]) -> None:
    """Write to the caller, whose loss is not the upstream's."""
    try:
        await writing
    except ConnectionLost as error:
        raise CallerGone("the caller is gone") from error


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
