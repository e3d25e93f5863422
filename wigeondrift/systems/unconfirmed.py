"""Failed requests whose upstreams may have died, until the list of upstreams tells.

A connection that stays open does not tell whether its upstream has died, an upstream
that has answered with an error may die afterwards, and the first runner of a route
lives on when a later one dies. Another incarnation at the same address, or under the
same id, shows that the one before has ended.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from wigeondrift.router.entities import Upstream

# Time within which an upstream that died is listed again, in seconds.
CONFIRMATION_SECONDS = 15.0
MAX_UNCONFIRMED = 4096


class UnconfirmedDeath(msgspec.Struct, frozen=True):
    """Request that failed at upstreams of which one may have died.

    Attributes
    ----------
    upstreams : tuple of Upstream
        The incarnations that ran the request, in the order of the route.
    request_id : str
    traits : tuple of str
    events : int
        Number of events that the request had from them.
    until : float
        Time after which the end of an upstream has another cause, in seconds.
    """

    upstreams: tuple[Upstream, ...]
    request_id: str
    traits: tuple[str, ...]
    events: int
    until: float


class ConfirmedDeath(NamedTuple):
    """Upstream that was replaced after a request had failed at it.

    Attributes
    ----------
    upstream : Upstream
    request : UnconfirmedDeath
    """

    upstream: Upstream
    request: UnconfirmedDeath


class UnconfirmedDeaths:
    """Recent requests that failed, the oldest first."""

    __slots__ = ("_deaths",)

    def __init__(self) -> None:
        self._deaths: deque[UnconfirmedDeath] = deque(maxlen=MAX_UNCONFIRMED)

    def add(
        self,
        upstreams: tuple[Upstream, ...],
        request_id: str,
        traits: tuple[str, ...],
        events: int,
        now: float,
    ) -> None:
        """Add a request that failed at ``now``."""
        until = now + CONFIRMATION_SECONDS
        death = UnconfirmedDeath(upstreams, request_id, traits, events, until)
        self._deaths.append(death)

    def pop_confirmed(
        self, upstreams_by_id: Mapping[str, Upstream], now: float
    ) -> list[ConfirmedDeath]:
        """Return the requests with an upstream that was replaced, and forget them.

        Upstreams of one route that end together have a common cause, so a request
        counts for the first of them only.

        Parameters
        ----------
        upstreams_by_id : mapping of str to Upstream
            The list of upstreams.
        now : float
            Current time in seconds.
        """
        while self._deaths and self._deaths[0].until <= now:
            self._deaths.popleft()
        if not self._deaths:
            return []
        ids_by_address = {one.address: name for name, one in upstreams_by_id.items()}
        confirmed, others = [], []
        for death in self._deaths:
            for upstream in death.upstreams:
                if _is_replaced(upstream, upstreams_by_id, ids_by_address):
                    confirmed.append(ConfirmedDeath(upstream, death))
                    break
            else:
                others.append(death)
        self._deaths = deque(others, maxlen=MAX_UNCONFIRMED)
        return confirmed


def _is_replaced(
    upstream: Upstream,
    upstreams_by_id: Mapping[str, Upstream],
    ids_by_address: Mapping[str, str],
) -> bool:
    listed = upstreams_by_id.get(upstream.upstream_id)
    if listed is not None:
        return 0 < upstream.started_at_ms < listed.started_at_ms
    return upstream.address in ids_by_address
