"""Recovery of a model request after a failed attempt."""

import enum
from typing import Protocol

from wigeondrift.entities import Route
from wigeondrift.errors import ErrorKind, Outcome, RequestError
from wigeondrift.systems.quarantine import Quarantine, Run
from wigeondrift.systems.retries import RetryBudget
from wigeondrift.systems.routing import Routing
from wigeondrift.systems.streams import TokenStream
from wigeondrift.wire.messages import SuspectNews

ROUTE_WAIT_SECONDS = 5.0
TRIAL_WAIT_SECONDS = 20.0
RESERVED_WAIT_SECONDS = 1.0
EXCLUSION_RESET_SECONDS = 0.5
MAX_REFUSALS = 20


class Reason(enum.StrEnum):
    """Reason of an attempt's failure."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    DIED = "died"
    SILENT = "silent"
    CUT = "cut"
    GAP = "gap"


class Failure:
    """Failure of one attempt.

    Attributes
    ----------
    reason : Reason
    instance_id : str
        Runner at fault; empty if not known.
    """

    __slots__ = ("instance_id", "reason")

    def __init__(self, reason: Reason, instance_id: str) -> None:
        self.reason = reason
        self.instance_id = instance_id

    @classmethod
    def unreachable(cls, instance_id: str) -> "Failure":
        """Return a failure to connect."""
        return cls(Reason.UNREACHABLE, instance_id)

    @classmethod
    def refused(cls, instance_id: str) -> "Failure":
        """Return a refusal by a runner that has not run anything."""
        return cls(Reason.REFUSED, instance_id)

    @classmethod
    def died(cls, instance_id: str) -> "Failure":
        """Return the loss of a runner that was running the request."""
        return cls(Reason.DIED, instance_id)

    @classmethod
    def silent(cls, instance_id: str) -> "Failure":
        """Return a timeout without events."""
        return cls(Reason.SILENT, instance_id)

    @classmethod
    def cut(cls, instance_id: str = "") -> "Failure":
        """Return an event stream without an end event or with invalid data."""
        return cls(Reason.CUT, instance_id)

    @classmethod
    def gap(cls) -> "Failure":
        """Return a stream in which a token is missing."""
        return cls(Reason.GAP, "")

    @property
    def may_have_run(self) -> bool:
        """Whether part of the request may have run."""
        return self.reason not in {Reason.UNREACHABLE, Reason.REFUSED}

    @property
    def is_abandoned(self) -> bool:
        """Whether the attempt may still be running on its first stage."""
        return self.reason in {Reason.SILENT, Reason.GAP}


class RecoverableRequest(Protocol):
    """Fields of a request that recovery reads."""

    fingerprint: str
    prompt_hash: int
    service: str
    team: str


class Recovery:
    """Plans the attempts of one request and decides when to stop.

    Parameters
    ----------
    stream : TokenStream
    routing : Routing
    quarantine : Quarantine
    budget : RetryBudget
    request : RecoverableRequest
    max_attempts : int
        Limit of attempts that may have run; refused ones do not count.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_deprioritized",
        "_excluded",
        "_last_reason",
        "_max_attempts",
        "_may_have_run",
        "_needs_retry_token",
        "_prompt_hash",
        "_quarantine",
        "_refusals",
        "_request",
        "_routing",
        "_stream",
        "_waiting_since",
    )

    def __init__(
        self,
        stream: TokenStream,
        routing: Routing,
        quarantine: Quarantine,
        budget: RetryBudget,
        request: RecoverableRequest,
        max_attempts: int,
    ) -> None:
        self._stream = stream
        self._routing = routing
        self._quarantine = quarantine
        self._budget = budget
        self._request = request
        self._max_attempts = max_attempts
        self._prompt_hash = request.prompt_hash
        self._excluded: set[str] = set()
        self._deprioritized: set[str] = set()
        self._last_reason: Reason | None = None
        self._may_have_run = False
        self._needs_retry_token = False
        self._attempts = 0
        self._refusals = 0
        self._waiting_since: float | None = None

    def record_started(self, run: Run) -> None:
        """Record that the engine has accepted the current attempt."""
        run.has_started = True
        self._may_have_run = True
        self._waiting_since = None

    def record_failure(
        self, route: Route, run: Run, failure: Failure, now: float
    ) -> SuspectNews | None:
        """Record a failed attempt; return new facts for the other instances."""
        self._last_reason = failure.reason
        if failure.may_have_run:
            self._may_have_run = True
            self._needs_retry_token = True
            self._attempts += 1
        else:
            self._refusals += 1
        if failure.reason is Reason.SILENT:
            return self._deprioritize(route, failure, now)
        if failure.instance_id:
            self._excluded.add(failure.instance_id)
            if failure.reason is not Reason.REFUSED:
                self._routing.record_failure([failure.instance_id], now)
        else:
            self._deprioritized.update(route.instance_ids)
        if failure.reason is Reason.DIED:
            return self._quarantine.record_death(run, failure.instance_id, now)
        return None

    def _deprioritize(self, route: Route, failure: Failure, now: float) -> None:
        names = [failure.instance_id] if failure.instance_id else route.instance_ids
        self._deprioritized.update(names)
        self._routing.record_failure(names, now)

    def plan(self, now: float) -> Route | None:
        """Return the next route, or None if the caller should try again shortly.

        Raises
        ------
        RequestError
            If no further attempt is allowed.
        """
        fingerprint = self._request.fingerprint
        if self._quarantine.is_refused(fingerprint):
            if self._quarantine.is_spreading(fingerprint, now):
                return None
            raise self._make_error(ErrorKind.QUARANTINED, "upstreams died of it")
        if self._attempts >= self._max_attempts or self._refusals >= MAX_REFUSALS:
            raise self._make_final_error("too many attempts")
        is_suspect = self._quarantine.is_suspect(fingerprint)
        route = None
        if not self._quarantine.must_wait(fingerprint, now):
            route = self._find_route(is_suspect, now)
        if route is None:
            self._check_wait_limit(is_suspect, now)
            return None
        if self._needs_retry_token and not self._budget.try_acquire():
            raise self._make_final_error("the retry budget is spent")
        self._needs_retry_token = False
        return route

    def _find_route(self, is_suspect: bool, now: float) -> Route | None:
        """Return a route, trying the strictest exclusions first."""
        if is_suspect:
            return self._find_trial_route(now)
        blocked = self._quarantine.list_blocked(self._request.fingerprint)
        deprioritized = self._excluded | self._deprioritized
        return (
            self._plan(deprioritized | blocked, now)
            or self._plan(deprioritized, now)
            or self._plan(self._excluded, now)
        )

    def _find_trial_route(self, now: float) -> Route | None:
        """Return a route whose runners are shared with no other suspect.

        Runners reserved for other instances are used only after a wait, or if this
        instance has none of its own.
        """
        quarantine = self._quarantine
        blocked = quarantine.list_blocked(self._request.fingerprint)
        strict = (
            self._excluded | self._deprioritized | blocked | quarantine.list_crashed()
        )
        failing_domains = quarantine.list_failing_domains(
            self._request.fingerprint, now
        )
        avoided = strict | self._routing.list_in_domains(failing_domains)
        reserved = self._routing.list_reserved_runners(self._request.service)
        route = self._plan(avoided | reserved, now)
        if route is not None:
            return route
        waiting_since = now if self._waiting_since is None else self._waiting_since
        waited = now - waiting_since
        if waited < RESERVED_WAIT_SECONDS and self._plan(reserved, now):
            return None
        if failing_domains:
            return self._plan(avoided, now)
        return self._plan(strict, now) or self._plan(self._excluded | blocked, now)

    def _plan(self, excluded: set[str], now: float) -> Route | None:
        version = self._stream.version if self._stream.tokens else ""
        request = self._request
        try:
            return self._routing.plan(
                request.service, request.team, excluded, self._prompt_hash, now, version
            )
        except RequestError:
            return None

    def _check_wait_limit(self, is_suspect: bool, now: float) -> None:
        """Start or continue the wait for a route.

        Raises
        ------
        RequestError
            If waiting is not allowed or has taken too long.
        """
        if not self._may_have_run and not is_suspect:
            raise self._make_final_error("no route now")
        if self._waiting_since is None:
            self._waiting_since = now
            return
        bound = TRIAL_WAIT_SECONDS if is_suspect else ROUTE_WAIT_SECONDS
        waited = now - self._waiting_since
        if waited > bound:
            raise self._make_final_error("no route now")
        if waited > EXCLUSION_RESET_SECONDS:
            self._excluded.clear()

    def _make_final_error(self, detail: str) -> RequestError:
        if self._stream.tokens:
            return self._make_error(ErrorKind.STREAM_CUT, detail)
        if self._may_have_run:
            kind = ErrorKind.UPSTREAM_LOST
            if self._last_reason is Reason.SILENT:
                kind = ErrorKind.UPSTREAM_TIMEOUT
            return self._make_error(kind, detail)
        kind = ErrorKind.NO_ROUTE
        if self._last_reason is Reason.REFUSED:
            kind = ErrorKind.UPSTREAM_REFUSED
        return self._make_error(kind, detail)

    def _make_error(self, kind: ErrorKind, detail: str) -> RequestError:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return RequestError(kind, detail, outcome)
