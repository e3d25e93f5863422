"""Failed requests whose upstream may have died, until the list of upstreams tells.

A connection that stays open does not tell whether its upstream has died, and an
upstream that has answered with an error may die afterwards. Another incarnation at the
same address, or under the same id, shows that the one before has ended.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from wigeondrift.router.entities import Upstream

# Time within which an upstream that died is listed again, in seconds.
CONFIRMATION_SECONDS = 15.0
MAX_UNCONFIRMED = 1024


class UnconfirmedDeath(msgspec.Struct, frozen=True):
    """Request that failed at an upstream which may have died.

    Attributes
    ----------
    upstream : Upstream
        The incarnation that ran the request.
    request_id : str
    traits : tuple of str
    is_silent : bool
        Whether the request had no event from the upstream.
    until : float
        Time after which the end of the upstream has another cause, in seconds.
    """

    upstream: Upstream
    request_id: str
    traits: tuple[str, ...]
    is_silent: bool
    until: float


class UnconfirmedDeaths:
    """Recent requests that failed, the oldest first."""

    __slots__ = ("_deaths",)

    def __init__(self) -> None:
        self._deaths: deque[UnconfirmedDeath] = deque(maxlen=MAX_UNCONFIRMED)

    def add(
        self,
        upstream: Upstream,
        request_id: str,
        traits: tuple[str, ...],
        is_silent: bool,
        now: float,
    ) -> None:
        """Add a request that failed at ``now``."""
        until = now + CONFIRMATION_SECONDS
        death = UnconfirmedDeath(upstream, request_id, traits, is_silent, until)
        self._deaths.append(death)

    def pop_confirmed(
        self, upstreams_by_id: Mapping[str, Upstream], now: float
    ) -> list[UnconfirmedDeath]:
        """Return the requests whose upstream was replaced, and forget them.

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
            is_replaced = _is_replaced(death.upstream, upstreams_by_id, ids_by_address)
            (confirmed if is_replaced else others).append(death)
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
