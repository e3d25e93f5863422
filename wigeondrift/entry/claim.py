"""Claim of a non-idempotent call, and its encoding."""

import enum
import hashlib

import msgspec

from wigeondrift.entry.service import ServiceAnswer
from wigeondrift.errors import Outcome

CLAIM_PREFIX = "wigeondrift/claims/"
MAX_STORED_ANSWER_BYTES = 65536


class ClaimState(enum.StrEnum):
    """State of a claimed call."""

    HELD = "held"
    DONE = "done"
    LOST = "lost"
    RELEASED = "released"
    SETTLED = "settled"


class StoredAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of the upstream, stored for repeats of the call.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
    body : bytes or None
        None if the body was too large to store.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Exclusive right to send one call, and later the result of that call.

    Attributes
    ----------
    claim_id : str
        Unique for each attempt to claim.
    holder : str
        Request id of the call that wrote the claim.
    digest : str
        SHA-256 of method, target and body, in hexadecimal.
    at : float
        Start of the attempt to claim, in seconds since the epoch.
    state : ClaimState
    fencing : int
        Number of the claim among those of its key, from one.
    lease : str
        Platform lease with which the claim expires.
    outcome : Outcome or None
        Outcome of a completed call.
    answer : StoredAnswer or None
        Answer to a completed call.
    settled_by : str
        Operator who settled the claim.
    is_repeat : bool
        Whether an earlier call with the key may have run; set only for services
        whose upstreams drop repeats themselves.
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
        """Return a copy with the answer and the outcome of the call."""
        stored = StoredAnswer(answer.status)
        if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            stored = StoredAnswer(answer.status, answer.headers, answer.body)
        return msgspec.structs.replace(
            self, state=ClaimState.DONE, outcome=outcome, answer=stored
        )

    def with_state(self, state: ClaimState) -> "Claim":
        """Return a copy in another state."""
        return msgspec.structs.replace(self, state=state)


def make_claim_name(service: str, team: str, key: str) -> str:
    """Return the store key of the claim for a team's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{service}/{team}/{digest}"


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Claim)


def serialize_claim(claim: Claim) -> bytes:
    """Return the claim as a JSON document."""
    return _ENCODER.encode(claim)


def parse_claim(data: bytes) -> Claim:
    """Parse a claim from a JSON document.

    Raises
    ------
    msgspec.DecodeError
        If the document is not a valid claim.
    """
    return _DECODER.decode(data)
