"""Decisions on non-idempotent calls: who may send, how often, what is answered.

A claim without an outcome is never taken over, since its holder may only be paused.
So no lease decides who may send; a claim ends by its holder's word, by an operator's
or by its age, which is far above the time in which a holder may send.
"""

import enum
import hashlib

from wigeondrift.entry.claim import Claim, ClaimState
from wigeondrift.entry.service import OUTCOME_HEADER, ServiceAnswer, ServiceCall
from wigeondrift.errors import ErrorKind, Outcome, RequestError
from wigeondrift.systems.retries import RetryBudget
from wigeondrift.table.rows import ServiceRow

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
SEND_WINDOW_SECONDS = 8.0
SETTLE_AFTER_SECONDS = 60.0


def needs_claim(row: ServiceRow, method: str) -> bool:
    """Return whether a call may run at most once."""
    return not row.idempotent and method not in SAFE_METHODS


def digest_call(call: ServiceCall) -> str:
    """Return the digest that tells calls under one key apart, in hexadecimal."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def judge_answer(answer: ServiceAnswer) -> Outcome:
    """Return what an upstream's answer says of the execution of its call."""
    for name, value in answer.headers:
        if name.lower() == OUTCOME_HEADER.lower() and value in tuple(Outcome):
            return Outcome(value)
    return Outcome.UNKNOWN if answer.status >= 500 else Outcome.RAN


class Verdict(enum.Enum):
    """What becomes of a call whose key another one has claimed."""

    FREE = enum.auto()
    WAIT = enum.auto()
    REPLAY = enum.auto()
    REUSED = enum.auto()
    UNKNOWN = enum.auto()
    KNOWN = enum.auto()


def judge_claim(found: Claim | None, digest: str, wall_now: float) -> Verdict:
    """Return what becomes of a call with ``digest`` under a claim.

    Parameters
    ----------
    found : Claim or None
        Claim in force.
    digest : str
        See ``digest_call``.
    wall_now : float
        Time in seconds since the epoch.

    Returns
    -------
    Verdict
        ``KNOWN`` if the outcome is known but there is no answer to replay.
    """
    if found is None or found.state is ClaimState.RELEASED:
        return Verdict.FREE
    if found.digest != digest:
        return Verdict.REUSED
    if found.state is ClaimState.DONE:
        kept = found.answer is not None and found.answer.body is not None
        return Verdict.REPLAY if kept else Verdict.KNOWN
    if found.state is ClaimState.SETTLED:
        return Verdict.KNOWN
    if found.state is ClaimState.HELD and wall_now - found.at < SETTLE_AFTER_SECONDS:
        return Verdict.WAIT
    return Verdict.UNKNOWN


def may_take(found: Claim, digest: str, row: ServiceRow, wall_now: float) -> bool:
    """Return whether a call with ``digest`` may claim the key in place of ``found``.

    Where upstreams drop repeats a claim whose outcome is not known may be replaced.
    """
    verdict = judge_claim(found, digest, wall_now)
    if verdict is Verdict.FREE:
        return True
    return verdict is Verdict.UNKNOWN and row.drops_repeats


def refuse_by_claim(verdict: Verdict, found: Claim | None) -> RequestError:
    """Return the error for a call that may neither be sent nor replayed."""
    if verdict is Verdict.REUSED:
        return RequestError(
            ErrorKind.KEY_REUSED, "the key was used with another call", Outcome.NOT_RUN
        )
    if verdict in (Verdict.FREE, Verdict.WAIT):
        return RequestError(
            ErrorKind.CLAIM_PENDING, "a call with this key is in progress"
        )
    if verdict is Verdict.KNOWN:
        return RequestError(
            ErrorKind.CLAIM_UNKNOWN,
            "the call was answered before and its answer is not kept",
            found.outcome or Outcome.RAN,
        )
    return RequestError(
        ErrorKind.CLAIM_UNKNOWN, "an earlier call with this key may have run"
    )


class Sending:
    """The sends of one call over its upstreams and what they say together.

    Parameters
    ----------
    repeatable : bool
        Whether the call may be sent again after its answer was lost.
    attempts : int
        Most sends.
    send_by : float
        Time after which nothing more is sent, in seconds.
    budget : RetryBudget
        Of the process.
    is_repeat : bool
        Whether an earlier call with the key may have run.

    Attributes
    ----------
    excluded : set of str
        Upstreams that were tried.
    answer : ServiceAnswer or None
        Final answer.
    is_lost : bool
        Whether the answer to some send was lost.
    is_refused : bool
        Whether an upstream refused the call before running it.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_is_charged",
        "_repeatable",
        "_send_by",
        "answer",
        "excluded",
        "is_lost",
        "is_refused",
    )

    def __init__(
        self,
        repeatable: bool,
        attempts: int,
        send_by: float,
        budget: RetryBudget,
        is_repeat: bool = False,
    ) -> None:
        self._repeatable = repeatable
        self._attempts = attempts
        self._send_by = send_by
        self._budget = budget
        self._is_charged = False
        self.excluded: set[str] = set()
        self.answer: ServiceAnswer | None = None
        self.is_lost = is_repeat
        self.is_refused = False

    def may_send(self, now: float) -> bool:
        """Return whether another send is allowed at ``now``, and count it."""
        if self.answer is not None or now > self._send_by or self._attempts == 0:
            return False
        if self.is_lost and not self._repeatable:
            return False
        if self._is_charged and not self._budget.take():
            return False
        self._attempts -= 1
        return True

    def note_unsent(self, upstream: str) -> None:
        """No byte left for the upstream; trying another adds no load."""
        self.excluded.add(upstream)
        self._is_charged = False

    def note_lost(self, upstream: str) -> None:
        """Bytes left for the upstream and no whole answer came."""
        self.excluded.add(upstream)
        self.is_lost = True
        self._is_charged = True

    def record_answer(self, upstream: str, answer: ServiceAnswer) -> None:
        """Take an upstream's answer; a refusal before running is not final."""
        self.excluded.add(upstream)
        if judge_answer(answer) is Outcome.NOT_RUN:
            self.is_refused = True
            self._is_charged = True
        else:
            self.answer = answer
            self._budget.note_success()

    @property
    def outcome(self) -> Outcome:
        """What the sends together say of the execution of the call."""
        if self.answer is not None:
            return judge_answer(self.answer)
        return Outcome.UNKNOWN if self.is_lost else Outcome.NOT_RUN

    def make_error(self) -> RequestError:
        """Return the error of a call without an answer."""
        if self.is_lost:
            return RequestError(
                ErrorKind.UPSTREAM_LOST, "the upstream's answer was lost"
            )
        if self.is_refused:
            return RequestError(
                ErrorKind.UPSTREAM_REFUSED,
                "the upstreams refused the call",
                Outcome.NOT_RUN,
            )
        return RequestError(
            ErrorKind.NO_UPSTREAM, "no upstream could be reached", Outcome.NOT_RUN
        )
