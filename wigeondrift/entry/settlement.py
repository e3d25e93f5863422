"""Operator commands on claims with an unknown outcome."""

import enum

import msgspec
import trio

from wigeondrift.entry.claim import (
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    make_claim_name,
    parse_claim,
)
from wigeondrift.entry.claims import ClaimStore, StoredClaim
from wigeondrift.errors import (
    Outcome,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
    WigeondriftError,
)
from wigeondrift.store.contract import PlatformStore
from wigeondrift.systems.ordering import SETTLE_AFTER_SECONDS

MAX_ATTEMPTS = 5
RETRY_DELAY_SECONDS = 0.1


class Settlement(enum.StrEnum):
    """What an operator found in the upstream's own records."""

    RAN = "ran"
    NOT_RUN = "not-run"


class NamedClaim(msgspec.Struct, frozen=True):
    """A claim with the name under which it is stored.

    Attributes
    ----------
    name : str
        Ends with the service, the team and the SHA-256 digest of the idempotency
        key.
    claim : Claim
    """

    name: str
    claim: Claim


class SettlementRefused(WigeondriftError):
    """The claim cannot be settled; the message gives the reason."""


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
    """Settle a claim according to the upstream's records, and return it.

    If the call has not run, it may be sent again with the same key.

    Parameters
    ----------
    store : ClaimStore
    service, team, key : str
        Identify the call.
    settlement : Settlement
    author : str
        Operator, recorded in the claim.
    wall_now : float
        Time in seconds since the epoch.

    Raises
    ------
    SettlementRefused
        If there is no such claim, if its outcome is known, or if it is so recent
        that its holder may still send.
    """
    name = make_claim_name(service, team, key)
    return await settle_named_claim(store, name, settlement, author, wall_now)


async def settle_named_claim(
    store: ClaimStore,
    name: str,
    settlement: Settlement,
    author: str,
    wall_now: float,
) -> Claim:
    """Settle the claim with the given name; see ``settle_claim``.

    Raises
    ------
    SettlementRefused
        As for ``settle_claim``.
    PlatformUnavailable
        If no write was confirmed; the claim may have been settled.
    """
    for _ in range(MAX_ATTEMPTS):
        found = await store.read(name)
        claim = found.claim
        if _is_settled(claim, settlement, author):
            return claim
        _check_may_settle(claim, wall_now)
        settled = _settle(claim, settlement, author)
        try:
            await store.swap(name, settled, found.revision)
            return settled
        except (RevisionConflict, PlatformUnavailable, PlatformThrottled):
            await trio.sleep(RETRY_DELAY_SECONDS)
    raise PlatformUnavailable("the platform did not confirm the settlement")


async def list_unsettled(
    platform: PlatformStore, wall_now: float, limit: int
) -> list[NamedClaim]:
    """Return the claims that may be settled because their outcome is unknown.

    Makes one call to the platform for each stored claim, up to ``limit`` claims.

    Parameters
    ----------
    platform : PlatformStore
    wall_now : float
        Time in seconds since the epoch.
    limit : int
        Maximum number of claims to read.
    """
    unsettled = []
    for name in await platform.list_keys(CLAIM_PREFIX, limit):
        found = await platform.get(name)
        claim = parse_claim(found.value) if found.revision else None
        if claim is not None and _find_refusal_reason(claim, wall_now) is None:
            unsettled.append(NamedClaim(name, claim))
    return unsettled


def _is_settled(claim: Claim | None, settlement: Settlement, author: str) -> bool:
    """Return whether an earlier write of this settlement has taken effect."""
    if claim is None or claim.settled_by != author:
        return False
    return claim == _settle(claim, settlement, author)


def _check_may_settle(claim: Claim | None, wall_now: float) -> None:
    if claim is None:
        raise SettlementRefused("there is no claim with this key")
    reason = _find_refusal_reason(claim, wall_now)
    if reason is not None:
        raise SettlementRefused(reason)


def _find_refusal_reason(claim: Claim, wall_now: float) -> str | None:
    """Return the reason why a claim may not be settled, or None."""
    if claim.state not in (ClaimState.HELD, ClaimState.LOST):
        return f"the claim is {claim.state}"
    if wall_now - claim.at < SETTLE_AFTER_SECONDS:
        return f"the claim is younger than {SETTLE_AFTER_SECONDS:.0f} s"
    return None


def _settle(claim: Claim, settlement: Settlement, author: str) -> Claim:
    state = ClaimState.RELEASED
    outcome = None
    if settlement is Settlement.RAN:
        state = ClaimState.SETTLED
        outcome = Outcome.RAN
    return msgspec.structs.replace(
        claim, state=state, outcome=outcome, settled_by=author
    )
