"""Operators' functions on the claims of non-idempotent calls."""

import re
import time

import msgspec

from wigeondrift.entry.claim import CLAIM_PREFIX, Claim, ClaimState, make_claim_name
from wigeondrift.entry.claims import KeyClaimStore
from wigeondrift.entry.settlement import Settlement, list_unsettled, settle_named_claim
from wigeondrift.errors import Outcome, UsageError
from wigeondrift.operator.porcelain import get_user_name
from wigeondrift.store.contract import PlatformStore
from wigeondrift.timer import TrioClock

DIGEST_PATTERN = re.compile("[0-9a-f]{64}")


class ClaimReport(msgspec.Struct, frozen=True):
    """A claim as operators see it; the answer's body is left out.

    Attributes
    ----------
    name : str
        Service, team and digest of the idempotency key, parted by slashes.
    state : str
    outcome : str
        ``ran``, ``not-run`` or ``unknown``.
    request_id : str
        Request that holds the claim.
    at : float
        Seconds since the epoch.
    status : int
        Status of the upstream's answer; zero if there is none.
    settled_by : str
    """

    name: str
    state: str
    outcome: str
    request_id: str
    at: float
    status: int
    settled_by: str


def describe_claim(name: str, claim: Claim) -> ClaimReport:
    """Return a claim as operators see it."""
    return ClaimReport(
        name=name.removeprefix(CLAIM_PREFIX),
        state=claim.state,
        outcome=claim.outcome or _infer_outcome(claim),
        request_id=claim.holder,
        at=claim.at,
        status=claim.answer.status if claim.answer else 0,
        settled_by=claim.settled_by,
    )


def _infer_outcome(claim: Claim) -> Outcome:
    released = claim.state is ClaimState.RELEASED
    return Outcome.NOT_RUN if released else Outcome.UNKNOWN


def resolve_claim_name(service: str, team: str, key: str) -> str:
    """Return a claim's name by its idempotency key or the digest of that."""
    if DIGEST_PATTERN.fullmatch(key):
        return f"{CLAIM_PREFIX}{service}/{team}/{key}"
    return make_claim_name(service, team, key)


class ClaimOperations:
    """An operator at the claims of non-idempotent calls.

    Parameters
    ----------
    platform : PlatformStore
    author : str, optional
        Name that a settlement is recorded under; the user's own if absent.
    """

    __slots__ = ("_author", "_claims", "_platform")

    def __init__(self, platform: PlatformStore, author: str = "") -> None:
        self._platform = platform
        self._author = author or get_user_name()
        self._claims = KeyClaimStore(platform, TrioClock())

    async def get_claim(self, service: str, team: str, key: str) -> ClaimReport:
        """Return the claim of a key or of its digest.

        Raises
        ------
        UsageError
            If there is none.
        """
        name = resolve_claim_name(service, team, key)
        stored = await self._claims.read(name)
        if stored.claim is None:
            raise UsageError(f"there is no claim {name.removeprefix(CLAIM_PREFIX)}")
        return describe_claim(name, stored.claim)

    async def list_unsettled(self, limit: int) -> list[ClaimReport]:
        """Return claims of unknown outcome among the first ``limit`` claims."""
        unsettled = await list_unsettled(self._platform, time.time(), limit)
        return [describe_claim(item.name, item.claim) for item in unsettled]

    async def settle(
        self, service: str, team: str, key: str, settlement: Settlement
    ) -> ClaimReport:
        """Settle a claim by what the upstream's own books say.

        Raises
        ------
        SettlementRefused
            If the claim cannot be settled.
        PlatformUnavailable
            If the platform gave no answer; the claim may have been settled.
        """
        name = resolve_claim_name(service, team, key)
        claim = await settle_named_claim(
            self._claims, name, settlement, self._author, time.time()
        )
        return describe_claim(name, claim)
