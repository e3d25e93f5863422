"""Calls of plain services: claiming, sending and recording the outcome."""

import abc
import logging
import math
import random
from collections.abc import Collection

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.entities import Instance
from wigeondrift.entry.breaker import Breaker
from wigeondrift.entry.claim import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    make_claim_name,
)
from wigeondrift.entry.claims import (
    Acquisition,
    ClaimStore,
    StoredClaim,
    finalize_claim,
)
from wigeondrift.entry.service import (
    FENCING_HEADER,
    KEY_HEADER,
    REQUEST_ID_HEADER,
    PlainService,
    ServiceAnswer,
    ServiceCall,
)
from wigeondrift.errors import (
    ConnectFailed,
    ConnectionLost,
    ErrorKind,
    Outcome,
    PlatformError,
    PlatformRefused,
    RequestError,
)
from wigeondrift.settings import RequestSettings
from wigeondrift.systems.ordering import (
    SEND_WINDOW_SECONDS,
    CallAttempts,
    ClaimVerdict,
    classify_claim,
    digest_call,
    make_claim_error,
    may_replace_claim,
    needs_claim,
)
from wigeondrift.systems.retries import RetryBudget
from wigeondrift.table.rows import ServiceKind, ServiceRow
from wigeondrift.table.tables import Tables
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.timer import Clock

RECORD_WAIT_SECONDS = 0.25
MAX_RUNNING_CLAIMS = 10000
PROBE_NAME = f"{CLAIM_PREFIX}probe"


class OrderJob:
    """One caller's call of a plain service.

    Attributes
    ----------
    request_id : str
        Identifier assigned by the entry.
    team, service : str
    key : str
        Idempotency key; empty if the caller sent none.
    call : ServiceCall
        Call that is forwarded to the upstream.
    """

    __slots__ = ("call", "key", "request_id", "service", "team")

    def __init__(
        self, request_id: str, team: str, service: str, key: str, call: ServiceCall
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.service = service
        self.key = key
        self.call = call


class OrderResult:
    """Answer to a call.

    Attributes
    ----------
    answer : ServiceAnswer
    outcome : Outcome
    replayed : bool
        Whether this is the answer to an earlier call with the same key.
    """

    __slots__ = ("answer", "outcome", "replayed")

    def __init__(self, answer: ServiceAnswer, outcome: Outcome, replayed: bool) -> None:
        self.answer = answer
        self.outcome = outcome
        self.replayed = replayed


class UpstreamChooser(abc.ABC):
    """Chooses the upstream for a call of a plain service."""

    @abc.abstractmethod
    def choose(
        self, service: str, team: str, excluded: Collection[str], now: float
    ) -> Instance:
        """Return an upstream that is not excluded.

        Raises
        ------
        RequestError
            ``NO_UPSTREAM`` if there is none.
        """

    def record_start(self, instance_ids: Collection[str], now: float) -> None:
        """Record the start of a call to the upstreams."""
        return None

    def record_end(self, instance_ids: Collection[str], now: float) -> None:
        """Record the end of a call to the upstreams."""
        return None

    def record_failure(self, instance_ids: Collection[str], now: float) -> None:
        """Record that a call to the upstreams was lost or refused, to avoid them."""
        return None


class _RunningOrder:
    """A claimed call in progress in this process; repeats of it wait for its result."""

    __slots__ = ("digest", "done", "error", "job", "name", "result", "row")

    def __init__(self, job: OrderJob, row: ServiceRow, name: str, digest: str) -> None:
        self.job = job
        self.row = row
        self.name = name
        self.digest = digest
        self.done = trio.Event()
        self.result: OrderResult | None = None
        self.error: RequestError | None = None

    async def wait(self, joined: bool) -> OrderResult:
        await self.done.wait()
        error = self.error
        if error is not None:
            raise RequestError(
                error.kind, error.reason, error.outcome, error.retry_after
            )
        result = self.result
        return OrderResult(result.answer, result.outcome, result.replayed or joined)


class OrderExecutor(Component):
    """Runs calls of plain services, non-idempotent ones at most once.

    A claimed call runs in the nursery passed to ``start``. It continues until its
    outcome is recorded, even if its caller has disconnected.

    Parameters
    ----------
    claims : ClaimStore
    service : PlainService
        Sends calls to the upstreams.
    chooser : UpstreamChooser
    tables : Tables
    clock : Clock
        Clock of the event loop.
    wall_clock : Clock
        Seconds since the epoch, synchronized between instances to within seconds.
    settings : RequestSettings
    rng : random.Random
        Generates claim ids and the jitter of retry delays.
    """

    __slots__ = (
        "_breaker",
        "_budget",
        "_chooser",
        "_claims",
        "_clock",
        "_idle",
        "_logger",
        "_nursery",
        "_rng",
        "_service",
        "_settings",
        "_tables",
        "_unfinished_tasks",
        "_wall_clock",
        "running_by_name",
    )

    def __init__(
        self,
        claims: ClaimStore,
        service: PlainService,
        chooser: UpstreamChooser,
        tables: Tables,
        clock: Clock,
        wall_clock: Clock,
        settings: RequestSettings,
        rng: random.Random,
    ) -> None:
        self._claims = claims
        self._service = service
        self._chooser = chooser
        self._tables = tables
        self._clock = clock
        self._wall_clock = wall_clock
        self._settings = settings
        self._rng = rng
        self._budget = RetryBudget()
        self._breaker = Breaker(self._probe)
        self._logger = logging.getLogger(LOGGER_NAME)
        self._nursery: trio.Nursery | None = None
        self._unfinished_tasks = 0
        self._idle = trio.Event()
        self.running_by_name: dict[str, _RunningOrder] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Use ``nursery`` to run claimed calls."""
        self._nursery = nursery
        self._breaker.start(nursery)

    async def stop(self) -> None:
        """Wait until all calls have ended and their outcomes are recorded."""
        while self._unfinished_tasks:
            self._idle = trio.Event()
            await self._idle.wait()

    async def run(self, job: OrderJob) -> OrderResult:
        """Run one call.

        Raises
        ------
        RequestError
            With the exact outcome of the call.
        """
        row = self._tables.table.services_by_name.get(job.service)
        if row is None or row.kind is not ServiceKind.PLAIN:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, "there is no such service")
        if not needs_claim(row, job.call.method):
            return await self._run_idempotent(job, row)
        if not job.key:
            raise RequestError(
                ErrorKind.KEY_REQUIRED, f"the call needs a header {row.key_header}"
            )
        return await self._join_or_start(job, row)

    async def _join_or_start(self, job: OrderJob, row: ServiceRow) -> OrderResult:
        name = make_claim_name(job.service, job.team, job.key)
        digest = digest_call(job.call)
        running = self.running_by_name.get(name)
        if running is not None:
            if running.digest != digest:
                raise RequestError(
                    ErrorKind.KEY_REUSED, "the key was used with another call"
                )
            return await running.wait(joined=True)
        if len(self.running_by_name) >= MAX_RUNNING_CLAIMS:
            raise RequestError(ErrorKind.QUEUE_FULL, "too many calls are in progress")
        running = _RunningOrder(job, row, name, digest)
        self.running_by_name[name] = running
        self._spawn(self._execute, running)
        return await running.wait(joined=False)

    def _spawn(self, function, *arguments) -> None:
        async def finish() -> None:
            try:
                await function(*arguments)
            finally:
                self._unfinished_tasks -= 1
                if not self._unfinished_tasks:
                    self._idle.set()

        self._unfinished_tasks += 1
        self._nursery.start_soon(finish)

    async def _execute(self, order: _RunningOrder) -> None:
        try:
            order.result = await self._run_claimed(order)
        except RequestError as error:
            order.error = error
        except Exception:
            self._logger.exception("unhandled exception in claimed call")
            order.error = RequestError(ErrorKind.INTERNAL, "the call was given up")
        finally:
            del self.running_by_name[order.name]
            if order.result is None and order.error is None:
                order.error = RequestError(ErrorKind.INTERNAL, "the entry ends")
            order.done.set()

    async def _run_claimed(self, order: _RunningOrder) -> OrderResult:
        deadline = self._clock.now() + self._settings.call_timeout
        while True:
            send_by = self._clock.now() + SEND_WINDOW_SECONDS
            claim = self._make_claim(order)
            acquisition = self._make_acquisition(order, claim)
            stored = await self._acquire(order, acquisition)
            if stored is None:
                return await self._run_without_claim(order, acquisition)
            if stored.claim.claim_id == claim.claim_id:
                return await self._send_claimed(order, stored, send_by)
            result = await self._await_outcome(order, stored, deadline)
            if result is not None:
                return result

    def _make_claim(self, order: _RunningOrder) -> Claim:
        claim_id = f"{self._rng.getrandbits(128):032x}"
        return Claim(
            claim_id, order.job.request_id, order.digest, self._wall_clock.now()
        )

    def _make_acquisition(self, order: _RunningOrder, claim: Claim) -> Acquisition:
        def may_replace(found: Claim) -> bool:
            return may_replace_claim(
                found, order.digest, order.row, self._wall_clock.now()
            )

        return Acquisition(self._claims, order.name, claim, may_replace, self._rng)

    async def _acquire(
        self, order: _RunningOrder, acquisition: Acquisition
    ) -> StoredClaim | None:
        """Return the current claim; None if the service can run calls without one."""
        timeout = min(self._settings.claim_timeout, SEND_WINDOW_SECONDS)
        with trio.move_on_after(timeout):
            await self._breaker.wait()
            try:
                return await acquisition.run()
            except PlatformRefused:
                pass
        if acquisition.in_doubt and not acquisition.is_answered:
            self._breaker.trip()
        if order.row.drops_repeats:
            return None
        if acquisition.in_doubt:
            released = acquisition.claim.with_state(ClaimState.RELEASED)
            self._spawn(self._finalize, order.name, released, 0)
        raise RequestError(
            ErrorKind.CLAIM_UNAVAILABLE, "the platform took no claim in time"
        )

    async def _await_outcome(
        self, order: _RunningOrder, stored: StoredClaim, deadline: float
    ) -> OrderResult | None:
        """Wait for the outcome of another call; return None once the name is free."""
        while True:
            found = stored.claim
            verdict = classify_claim(found, order.digest, self._wall_clock.now())
            if verdict is ClaimVerdict.REPLAY:
                return _make_replay(found)
            may_wait = verdict in (ClaimVerdict.FREE, ClaimVerdict.WAIT)
            if not may_wait or self._clock.now() >= deadline:
                raise make_claim_error(verdict, found)
            if verdict is ClaimVerdict.FREE:
                return None
            stored = await self._watch(order.name, stored, deadline)

    async def _watch(
        self, name: str, stored: StoredClaim, deadline: float
    ) -> StoredClaim:
        remaining = max(deadline - self._clock.now(), 0.0)
        with trio.move_on_after(remaining):
            try:
                return await self._claims.watch(name, stored.revision, remaining)
            except PlatformError:
                await trio.sleep(RECORD_WAIT_SECONDS)
        return stored

    async def _send_claimed(
        self, order: _RunningOrder, stored: StoredClaim, send_by: float
    ) -> OrderResult:
        claim = stored.claim
        repeatable = order.row.drops_repeats
        if repeatable:
            send_by = math.inf
        sending = CallAttempts(
            repeatable,
            self._settings.attempts,
            send_by,
            self._budget,
            claim.is_repeat,
        )
        error = await self._send(order.job, sending, claim.fencing, send_by)
        if sending.answer is not None:
            final = claim.with_answer(sending.answer, sending.outcome)
        elif sending.is_lost:
            final = claim.with_state(ClaimState.LOST)
            self._log_unknown(order)
        else:
            final = claim.with_state(ClaimState.RELEASED)
        await self._record(order.name, final, stored.revision)
        if sending.answer is None:
            raise error
        return OrderResult(sending.answer, sending.outcome, replayed=False)

    def _log_unknown(self, order: _RunningOrder) -> None:
        job = order.job
        log_event(
            self._logger,
            logging.WARNING,
            Event.CLAIM_UNKNOWN,
            request_id=job.request_id,
            team=job.team,
            service=job.service,
        )

    async def _record(self, name: str, final: Claim, revision: int) -> None:
        """Write the final claim.

        After ``RECORD_WAIT_SECONDS`` the write continues in the background.
        """
        recorded = trio.Event()

        async def finalize() -> None:
            await self._finalize(name, final, revision)
            recorded.set()

        self._spawn(finalize)
        with trio.move_on_after(RECORD_WAIT_SECONDS):
            await recorded.wait()

    async def _finalize(self, name: str, final: Claim, revision: int) -> None:
        await finalize_claim(self._claims, name, final, revision, self._rng)

    async def _run_without_claim(
        self, order: _RunningOrder, acquisition: Acquisition
    ) -> OrderResult:
        """Run a call without a claim; its service drops repeats itself."""
        sending = CallAttempts(True, self._settings.attempts, math.inf, self._budget)
        error = await self._send(order.job, sending, 0, None)
        if acquisition.in_doubt:
            if sending.answer is not None:
                final = acquisition.claim.with_answer(sending.answer, sending.outcome)
            else:
                state = ClaimState.LOST if sending.is_lost else ClaimState.RELEASED
                final = acquisition.claim.with_state(state)
            self._spawn(self._finalize, order.name, final, 0)
        if sending.answer is None:
            raise error
        return OrderResult(sending.answer, sending.outcome, replayed=False)

    async def _run_idempotent(self, job: OrderJob, row: ServiceRow) -> OrderResult:
        sending = CallAttempts(True, self._settings.attempts, math.inf, self._budget)
        error = await self._send(job, sending, 0, None)
        if sending.answer is None:
            raise error
        return OrderResult(sending.answer, sending.outcome, replayed=False)

    async def _send(
        self, job: OrderJob, sending: CallAttempts, fencing: int, send_by: float | None
    ) -> RequestError | None:
        """Send until an upstream answers; return the error if none did."""
        call = _make_upstream_call(job, fencing)
        while sending.may_send(self._clock.now()):
            try:
                upstream = self._chooser.choose(
                    job.service, job.team, sending.excluded, self._clock.now()
                )
            except RequestError as error:
                is_first = not sending.excluded and not sending.is_lost
                return error if is_first else sending.make_error()
            await self._send_once(upstream, call, sending, send_by)
        return None if sending.answer is not None else sending.make_error()

    async def _send_once(
        self,
        upstream: Instance,
        call: ServiceCall,
        sending: CallAttempts,
        send_by: float | None,
    ) -> None:
        instance_ids = (upstream.instance_id,)
        self._chooser.record_start(instance_ids, self._clock.now())
        try:
            answer = await self._service.call(
                upstream.address, call, self._settings.call_timeout, send_by
            )
            sending.record_answer(upstream.instance_id, answer)
        except ConnectFailed:
            sending.record_unsent(upstream.instance_id)
        except ConnectionLost:
            sending.record_lost(upstream.instance_id)
        finally:
            self._chooser.record_end(instance_ids, self._clock.now())
        if sending.answer is None:
            self._chooser.record_failure(instance_ids, self._clock.now())

    async def _probe(self) -> None:
        await self._claims.read(PROBE_NAME)


def _make_replay(found: Claim) -> OrderResult:
    stored = found.answer
    answer = ServiceAnswer(stored.status, stored.headers, stored.body)
    return OrderResult(answer, found.outcome, replayed=True)


def _make_upstream_call(job: OrderJob, fencing: int) -> ServiceCall:
    """Return the call with the request id, idempotency key and fencing headers."""
    router_headers = {REQUEST_ID_HEADER.lower(), FENCING_HEADER.lower()}
    headers = [
        pair for pair in job.call.headers if pair[0].lower() not in router_headers
    ]
    if job.key and all(name.lower() != KEY_HEADER.lower() for name, _ in headers):
        headers.append((KEY_HEADER, job.key))
    headers.append((REQUEST_ID_HEADER, job.request_id))
    if fencing:
        headers.append((FENCING_HEADER, str(fencing)))
    return msgspec.structs.replace(job.call, headers=tuple(headers))
