"""What follows a failed attempt of a model request."""

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
EXCLUSION_SECONDS = 0.5
REFUSALS = 20


class Reason(enum.StrEnum):
    """How an attempt failed."""

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
        """Return that no connection was made."""
        return cls(Reason.UNREACHABLE, instance_id)

    @classmethod
    def refused(cls, instance_id: str) -> "Failure":
        """Return that a runner refused before it ran anything."""
        return cls(Reason.REFUSED, instance_id)

    @classmethod
    def died(cls, instance_id: str) -> "Failure":
        """Return that a runner was lost while it ran the request."""
        return cls(Reason.DIED, instance_id)

    @classmethod
    def silent(cls, instance_id: str) -> "Failure":
        """Return that nothing came in time."""
        return cls(Reason.SILENT, instance_id)

    @classmethod
    def cut(cls, instance_id: str = "") -> "Failure":
        """Return that the events ended without an end mark or did not decode."""
        return cls(Reason.CUT, instance_id)

    @classmethod
    def gap(cls) -> "Failure":
        """Return that a token was left out."""
        return cls(Reason.GAP, "")

    @property
    def may_have_run(self) -> bool:
        """Whether some of the request may have run."""
        return self.reason not in {Reason.UNREACHABLE, Reason.REFUSED}

    @property
    def is_abandoned(self) -> bool:
        """Whether the attempt may still run at its first stage."""
        return self.reason in {Reason.SILENT, Reason.GAP}


class Job(Protocol):
    """What recovery needs to know of a request."""

    fingerprint: str
    prompt_hash: int
    service: str
    team: str


class Recovery:
    """Decides on the next attempt of one request, or that there is none.

    Parameters
    ----------
    stream : TokenStream
    routing : Routing
    quarantine : Quarantine
    budget : RetryBudget
    job : Job
    most_attempts : int
        Attempts that may have run.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_doubted",
        "_excluded",
        "_job",
        "_last_reason",
        "_may_have_run",
        "_most_attempts",
        "_owes_retry",
        "_prompt_hash",
        "_quarantine",
        "_refusals",
        "_routing",
        "_stream",
        "_waits_since",
    )

    def __init__(
        self,
        stream: TokenStream,
        routing: Routing,
        quarantine: Quarantine,
        budget: RetryBudget,
        job: Job,
        most_attempts: int,
    ) -> None:
        self._stream = stream
        self._routing = routing
        self._quarantine = quarantine
        self._budget = budget
        self._job = job
        self._most_attempts = most_attempts
        self._prompt_hash = job.prompt_hash
        self._excluded: set[str] = set()
        self._doubted: set[str] = set()
        self._last_reason: Reason | None = None
        self._may_have_run = False
        self._owes_retry = False
        self._attempts = 0
        self._refusals = 0
        self._waits_since: float | None = None

    def note_running(self, run: Run) -> None:
        """Note that the engine has taken the current attempt."""
        run.has_started = True
        self._may_have_run = True
        self._waits_since = None

    def record_failure(
        self, route: Route, run: Run, failure: Failure, now: float
    ) -> SuspectNews | None:
        """Take in how an attempt failed; return news for the other instances."""
        self._last_reason = failure.reason
        if failure.may_have_run:
            self._may_have_run = True
            self._owes_retry = True
            self._attempts += 1
        else:
            self._refusals += 1
        if failure.reason is Reason.SILENT:
            return self._doubt(route, failure, now)
        if failure.instance_id:
            self._excluded.add(failure.instance_id)
            if failure.reason is not Reason.REFUSED:
                self._routing.record_failure([failure.instance_id], now)
        else:
            self._doubted.update(route.instance_ids)
        if failure.reason is Reason.DIED:
            return self._quarantine.note_death(run, failure.instance_id, now)
        return None

    def _doubt(self, route: Route, failure: Failure, now: float) -> None:
        names = [failure.instance_id] if failure.instance_id else route.instance_ids
        self._doubted.update(names)
        self._routing.record_failure(names, now)

    def plan(self, now: float) -> Route | None:
        """Return the next route, or None to ask again a little later.

        Raises
        ------
        RequestError
            If there is no further attempt.
        """
        fingerprint = self._job.fingerprint
        if self._quarantine.is_refused(fingerprint):
            if self._quarantine.is_spreading(fingerprint, now):
                return None
            raise self._make_error(ErrorKind.QUARANTINED, "upstreams died of it")
        if self._attempts >= self._most_attempts or self._refusals >= REFUSALS:
            raise self._give_up("too many attempts")
        is_suspect = self._quarantine.is_suspect(fingerprint)
        route = None
        if not self._quarantine.is_held(fingerprint, now):
            route = self._find_route(is_suspect, now)
        if route is None:
            self._wait(is_suspect, now)
            return None
        if self._owes_retry and not self._budget.take():
            raise self._give_up("the retry budget is spent")
        self._owes_retry = False
        return route

    def _find_route(self, is_suspect: bool, now: float) -> Route | None:
        """Try the strictest conditions first."""
        if is_suspect:
            return self._find_trial_route(now)
        shunned = self._quarantine.list_shunned(self._job.fingerprint)
        doubted = self._excluded | self._doubted
        return (
            self._plan(doubted | shunned, now)
            or self._plan(doubted, now)
            or self._plan(self._excluded, now)
        )

    def _find_trial_route(self, now: float) -> Route | None:
        """Return a route whose runners no other suspect shares.

        Runners that are left to other instances are taken only after a while, or
        when there are none for this one.
        """
        quarantine = self._quarantine
        shunned = quarantine.list_shunned(self._job.fingerprint)
        strict = self._excluded | self._doubted | shunned | quarantine.list_dead()
        failing = quarantine.list_failing_domains(self._job.fingerprint, now)
        doubtful = strict | self._routing.list_in_domains(failing)
        reserved = self._routing.list_reserved(self._job.service)
        route = self._plan(doubtful | reserved, now)
        if route is not None:
            return route
        waits_since = now if self._waits_since is None else self._waits_since
        waited = now - waits_since
        if waited < RESERVED_WAIT_SECONDS and self._plan(reserved, now):
            return None
        if failing:
            return self._plan(doubtful, now)
        return self._plan(strict, now) or self._plan(self._excluded | shunned, now)

    def _plan(self, excluded: set[str], now: float) -> Route | None:
        version = self._stream.version if self._stream.tokens else ""
        job = self._job
        try:
            return self._routing.plan(
                job.service, job.team, excluded, self._prompt_hash, now, version
            )
        except RequestError:
            return None

    def _wait(self, is_suspect: bool, now: float) -> None:
        """Allow a wait for a route, within a bound."""
        if not self._may_have_run and not is_suspect:
            raise self._give_up("no route now")
        if self._waits_since is None:
            self._waits_since = now
            return
        bound = TRIAL_WAIT_SECONDS if is_suspect else ROUTE_WAIT_SECONDS
        waited = now - self._waits_since
        if waited > bound:
            raise self._give_up("no route now")
        if waited > EXCLUSION_SECONDS:
            self._excluded.clear()

    def _give_up(self, why: str) -> RequestError:
        if self._stream.tokens:
            return self._make_error(ErrorKind.STREAM_CUT, why)
        if self._may_have_run:
            kind = ErrorKind.UPSTREAM_LOST
            if self._last_reason is Reason.SILENT:
                kind = ErrorKind.UPSTREAM_TIMEOUT
            return self._make_error(kind, why)
        kind = ErrorKind.NO_ROUTE
        if self._last_reason is Reason.REFUSED:
            kind = ErrorKind.UPSTREAM_REFUSED
        return self._make_error(kind, why)

    def _make_error(self, kind: ErrorKind, why: str) -> RequestError:
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return RequestError(kind, why, outcome)
