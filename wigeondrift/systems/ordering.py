"""Rules for non-idempotent calls: who may send, how often, and what is answered.

A claim without an outcome is never taken over, because its holder may only be paused.
Hence no lease decides who may send. A claim ends when its holder or an operator records
an outcome, or by its age, which is far above the time in which a holder may send.
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
    """Return the hexadecimal digest that distinguishes calls with the same key."""
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def classify_answer(answer: ServiceAnswer) -> Outcome:
    """Return the outcome of a call according to its upstream's answer."""
    for name, value in answer.headers:
        if name.lower() == OUTCOME_HEADER.lower() and value in tuple(Outcome):
            return Outcome(value)
    return Outcome.UNKNOWN if answer.status >= 500 else Outcome.RAN


class ClaimVerdict(enum.Enum):
    """How to proceed with a call whose key may already be claimed."""

    FREE = enum.auto()
    WAIT = enum.auto()
    REPLAY = enum.auto()
    REUSED = enum.auto()
    UNKNOWN = enum.auto()
    KNOWN = enum.auto()


def classify_claim(found: Claim | None, digest: str, wall_now: float) -> ClaimVerdict:
    """Return how to proceed with a call with ``digest`` given the claim on its key.

    Parameters
    ----------
    found : Claim or None
        Claim stored for the key.
    digest : str
        See ``digest_call``.
    wall_now : float
        Time in seconds since the epoch.

    Returns
    -------
    ClaimVerdict
        ``KNOWN`` if the outcome is known but there is no answer to replay.
    """
    if found is None or found.state is ClaimState.RELEASED:
        return ClaimVerdict.FREE
    if found.digest != digest:
        return ClaimVerdict.REUSED
    if found.state is ClaimState.DONE:
        kept = found.answer is not None and found.answer.body is not None
        return ClaimVerdict.REPLAY if kept else ClaimVerdict.KNOWN
    if found.state is ClaimState.SETTLED:
        return ClaimVerdict.KNOWN
    if found.state is ClaimState.HELD and wall_now - found.at < SETTLE_AFTER_SECONDS:
        return ClaimVerdict.WAIT
    return ClaimVerdict.UNKNOWN


def may_replace_claim(
    found: Claim, digest: str, row: ServiceRow, wall_now: float
) -> bool:
    """Return whether a call with ``digest`` may claim the key in place of ``found``.

    A claim with an unknown outcome may be replaced if the upstreams drop repeats.
    """
    verdict = classify_claim(found, digest, wall_now)
    if verdict is ClaimVerdict.FREE:
        return True
    return verdict is ClaimVerdict.UNKNOWN and row.drops_repeats


def make_claim_error(verdict: ClaimVerdict, found: Claim | None) -> RequestError:
    """Return the error for a call that may neither be sent nor replayed."""
    if verdict is ClaimVerdict.REUSED:
        return RequestError(
            ErrorKind.KEY_REUSED, "the key was used with another call", Outcome.NOT_RUN
        )
    if verdict in (ClaimVerdict.FREE, ClaimVerdict.WAIT):
        return RequestError(
            ErrorKind.CLAIM_PENDING, "a call with this key is in progress"
        )
    if verdict is ClaimVerdict.KNOWN:
        return RequestError(
            ErrorKind.CLAIM_UNKNOWN,
            "the call was answered before and its answer is not kept",
            found.outcome or Outcome.RAN,
        )
    return RequestError(
        ErrorKind.CLAIM_UNKNOWN, "an earlier call with this key may have run"
    )


class CallAttempts:
    """Attempts to send one call to upstreams, and their combined outcome.

    Parameters
    ----------
    repeatable : bool
        Whether the call may be sent again after its answer was lost.
    attempts : int
        Maximum number of attempts.
    send_by : float
        Time after which no attempt may start, in seconds.
    budget : RetryBudget
        Retry budget of the process.
    is_repeat : bool
        Whether an earlier call with the key may have run.

    Attributes
    ----------
    excluded : set of str
        Upstreams that were tried.
    answer : ServiceAnswer or None
        Final answer.
    is_lost : bool
        Whether the answer to an attempt was lost.
    is_refused : bool
        Whether an upstream refused the call before running it.
    """

    __slots__ = (
        "_attempts",
        "_budget",
        "_needs_retry_token",
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
        self._needs_retry_token = False
        self.excluded: set[str] = set()
        self.answer: ServiceAnswer | None = None
        self.is_lost = is_repeat
        self.is_refused = False

    def may_send(self, now: float) -> bool:
        """Return whether another attempt is allowed at ``now``, and count it."""
        if self.answer is not None or now > self._send_by or self._attempts == 0:
            return False
        if self.is_lost and not self._repeatable:
            return False
        if self._needs_retry_token and not self._budget.try_acquire():
            return False
        self._attempts -= 1
        return True

    def record_unsent(self, upstream: str) -> None:
        """Record an attempt that sent no byte, so the next one adds no load."""
        self.excluded.add(upstream)
        self._needs_retry_token = False

    def record_lost(self, upstream: str) -> None:
        """Record an attempt that sent bytes but got no complete answer."""
        self.excluded.add(upstream)
        self.is_lost = True
        self._needs_retry_token = True

    def record_answer(self, upstream: str, answer: ServiceAnswer) -> None:
        """Record an answer; it is final unless the upstream refused to run the call."""
        self.excluded.add(upstream)
        if classify_answer(answer) is Outcome.NOT_RUN:
            self.is_refused = True
            self._needs_retry_token = True
        else:
            self.answer = answer
            self._budget.record_success()

    @property
    def outcome(self) -> Outcome:
        """Combined outcome of all attempts."""
        if self.answer is not None:
            return classify_answer(self.answer)
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
