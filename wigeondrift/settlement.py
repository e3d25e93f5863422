"""Operators' commands on claims whose outcome is not known."""

import enum

import msgspec

from wigeondrift.claim import Claim, ClaimState, make_claim_name
from wigeondrift.claims import ClaimStore, StoredClaim
from wigeondrift.errors import (
    Outcome,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
    WigeondriftError,
)
from wigeondrift.systems.ordering import SETTLE_AFTER_SECONDS

TRIES = 5


class Settlement(enum.StrEnum):
    """What an operator found in the upstream's own books."""

    RAN = "ran"
    NOT_RUN = "not-run"


class SettlementRefused(WigeondriftError):
    """The claim cannot be settled; the message says why."""


async def get_claim(
    store: ClaimStore, service: str, team: str, key: str
) -> StoredClaim:
    """Return the claim of a team's idempotency key."""
    return await store.read(make_claim_name(service, team, key))


async def settle_claim(
    store: ClaimStore,
    service: str,
    team: str,
    key: str,
    settlement: Settlement,
    author: str,
    wall_now: float,
) -> Claim:
    """Settle a claim by what the upstream's books say, and return it.

    A call that is found not to have run may be sent again with its key.

    Parameters
    ----------
    store : ClaimStore
    service, team, key : str
        The call.
    settlement : Settlement
    author : str
        Operator, for the record.
    wall_now : float
        Time in seconds since the epoch.

    Raises
    ------
    SettlementRefused
        If there is no such claim, its outcome is known, or it is so young that its
        holder may still send.
    """
    name = make_claim_name(service, team, key)
    for _ in range(TRIES):
        found = await store.read(name)
        claim = found.claim
        if claim is not None and claim.settled_by == author:
            return claim
        _check(claim, wall_now)
        settled = _settle(claim, settlement, author)
        try:
            await store.swap(name, settled, found.revision)
            return settled
        except (RevisionConflict, PlatformUnavailable, PlatformThrottled):
            continue
    raise SettlementRefused("the platform took no write; look at the claim again")


def _check(claim: Claim | None, wall_now: float) -> None:
    if claim is None:
        raise SettlementRefused("there is no claim with this key")
    if claim.state not in (ClaimState.HELD, ClaimState.LOST):
        raise SettlementRefused(f"the claim is {claim.state}")
    if wall_now - claim.at < SETTLE_AFTER_SECONDS:
        raise SettlementRefused(
            f"the claim is younger than {SETTLE_AFTER_SECONDS:.0f} s"
        )


def _settle(claim: Claim, settlement: Settlement, author: str) -> Claim:
    state = ClaimState.RELEASED
    outcome = None
    if settlement is Settlement.RAN:
        state = ClaimState.SETTLED
        outcome = Outcome.RAN
    return msgspec.structs.replace(
        claim, state=state, outcome=outcome, settled_by=author
    )
