"""Operations on the claims of non-idempotent calls, for ``wigeondriftctl orders``."""

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
    """Summary of a claim for operators, without the body of the response.

    Attributes
    ----------
    name : str
        Service, team and digest of the idempotency key, separated by slashes.
    state : str
    outcome : str
        ``ran``, ``not-run`` or ``unknown``.
    request_id : str
        Request that holds the claim.
    at : float
        Seconds since the epoch.
    status : int
        HTTP status of the upstream's response; zero if there is none.
    settled_by : str
        Operator who settled the claim; empty if none did.
    """

    name: str
    state: str
    outcome: str
    request_id: str
    at: float
    status: int
    settled_by: str


def describe_claim(name: str, claim: Claim) -> ClaimReport:
    """Return the summary of a claim."""
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
    """Return the name of a claim.

    Parameters
    ----------
    service, team : str
    key : str
        Idempotency key, or its SHA-256 digest in hexadecimal.
    """
    if DIGEST_PATTERN.fullmatch(key):
        return f"{CLAIM_PREFIX}{service}/{team}/{key}"
    return make_claim_name(service, team, key)


class ClaimOperations:
    """Shows and settles claims on behalf of an operator.

    Parameters
    ----------
    platform : PlatformStore
    author : str, optional
        Name recorded in settled claims; defaults to the user name.
    """

    __slots__ = ("_author", "_claims", "_platform")

    def __init__(self, platform: PlatformStore, author: str = "") -> None:
        self._platform = platform
        self._author = author or get_user_name()
        self._claims = KeyClaimStore(platform, TrioClock())

    async def get_claim(self, service: str, team: str, key: str) -> ClaimReport:
        """Return the claim of an idempotency key or its digest.

        Raises
        ------
        UsageError
            If there is no such claim.
        """
        name = resolve_claim_name(service, team, key)
        stored = await self._claims.read(name)
        if stored.claim is None:
            raise UsageError(f"there is no claim {name.removeprefix(CLAIM_PREFIX)}")
        return describe_claim(name, stored.claim)

    async def list_unsettled(self, limit: int) -> list[ClaimReport]:
        """Return the claims with an unknown outcome among the first ``limit`` ones."""
        unsettled = await list_unsettled(self._platform, time.time(), limit)
        return [describe_claim(item.name, item.claim) for item in unsettled]

    async def settle(
        self, service: str, team: str, key: str, settlement: Settlement
    ) -> ClaimReport:
        """Settle a claim according to the upstream's own records.

        Raises
        ------
        SettlementRefused
            If the claim cannot be settled.
        PlatformUnavailable
            If the platform did not respond; the claim may have been settled.
        """
        name = resolve_claim_name(service, team, key)
        claim = await settle_named_claim(
            self._claims, name, settlement, self._author, time.time()
        )
        return describe_claim(name, claim)
