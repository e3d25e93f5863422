"""Claim of one non-idempotent call and its codec."""

import enum
import hashlib

import msgspec

from wigeondrift.entry.service import ServiceAnswer
from wigeondrift.errors import Outcome

CLAIM_PREFIX = "wigeondrift/claims/"
MAX_STORED_ANSWER_BYTES = 65536


class ClaimState(enum.StrEnum):
    """How far a claimed call has come."""

    HELD = "held"
    DONE = "done"
    LOST = "lost"
    RELEASED = "released"
    SETTLED = "settled"


class StoredAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Upstream's answer as it is kept for repeats of the call.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes or None
        None if it was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Right to send one call, and later what came of it.

    Attributes
    ----------
    claim_id : str
        Made for each try to claim, unique.
    holder : str
        Request id of the caller's request.
    digest : str
        SHA-256 of method, target and body, in hexadecimal.
    at : float
        Time at which the holder began to claim, in seconds since the epoch.
    state : ClaimState
    fencing : int
        Counts the claims of the key, from one.
    lease : str
        Platform lease that ends the claim.
    outcome : Outcome or None
        Of a call that is done.
    answer : StoredAnswer or None
        Of a call that is done.
    settled_by : str
        Operator who settled the claim.
    is_repeat : bool
        Whether an earlier call with the key may have run; only where upstreams
        drop repeats themselves.
    """

    claim_id: str
    holder: str
    digest: str
    at: float
    state: ClaimState = ClaimState.HELD
    fencing: int = 1
    lease: str = ""
    outcome: Outcome | None = None
    answer: StoredAnswer | None = None
    settled_by: str = ""
    is_repeat: bool = False

    def with_answer(self, answer: ServiceAnswer, outcome: Outcome) -> "Claim":
        """Return the claim with the answer of its call."""
        stored = StoredAnswer(answer.status)
        if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
        return msgspec.structs.replace(
            self, state=ClaimState.DONE, outcome=outcome, answer=stored
        )

    def with_state(self, state: ClaimState) -> "Claim":
        """Return the claim in another state."""
        return msgspec.structs.replace(self, state=state)


def make_claim_name(service: str, team: str, key: str) -> str:
    """Return the name of the claim for a team's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{service}/{team}/{digest}"


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Claim)


def serialize_claim(claim: Claim) -> bytes:
    """Return the claim as a JSON document."""
    return _ENCODER.encode(claim)


def parse_claim(data: bytes) -> Claim:
    """Return the claim that a JSON document stands for.

    Raises
    ------
    msgspec.DecodeError
        If it stands for none.
    """
    return _DECODER.decode(data)
