"""Which routers read the store themselves and which follow one that does.

Answers the load of many routers on the store: each call is counted, and what changes is
the same for all. In each failure domain a few routers read the store; the others ask
one of these. Whoever gets no answer reads the store itself for a while.
"""

import math
from collections.abc import Mapping

# In smaller groups each router reads the store: following would save little and adds
# the time to notice that a relay has gone.
LEAST_MEMBERS = 5
# Two, so that followers of one that has gone need not all go to the store.
LEAST_RELAYS = 2
# Followers of one relay: at 2 questions a second each costs it about 2% of a core.
FOLLOWERS = 16
# Time for which a router reads the store itself after its relay failed, in seconds.
FALLBACK_SECONDS = 5.0
# Time for which a router reads the store itself after its start: those that start
# together know few of each other at first, and would take different ones for relays.
SETTLE_SECONDS = 2.0
# Time for which a relay that failed is not asked again: its registration lapses within
# it if it is gone, in seconds.
AVOID_SECONDS = 10.0


def rank_relays(link_by_name: Mapping[str, float]) -> list[str]:
    """Return the routers of a failure domain that relay; none in a small group.

    Parameters
    ----------
    link_by_name : mapping of str to float
        Bandwidth of each one's link; the best connected relay.
    """
    if len(link_by_name) < LEAST_MEMBERS:
        return []
    ranked = sorted(link_by_name, key=lambda name: (-link_by_name[name], name))
    return ranked[: max(LEAST_RELAYS, math.ceil(len(ranked) / FOLLOWERS))]


class RelayTable:
    """Routers of one failure domain, ranked alike by all that know the same ones.

    Parameters
    ----------
    name : str
        The own instance.
    """

    __slots__ = ("_avoided_until_by_name", "_direct_until", "_name", "_relays")

    def __init__(self, name: str) -> None:
        self._name = name
        self._relays: list[str] = []
        self._avoided_until_by_name: dict[str, float] = {}
        self._direct_until: float | None = None

    def set_members(self, link_by_name: Mapping[str, float]) -> None:
        """Take the routers of the own failure domain, this one included."""
        self._relays = rank_relays(link_by_name)

    @property
    def relays(self) -> list[str]:
        """Routers that read the store for the others; none in small groups."""
        return self._relays

    @property
    def is_relay(self) -> bool:
        """Whether others follow this router."""
        return self._name in self._relays

    @property
    def may_lead(self) -> bool:
        """Whether this router is one of the few that compete for duties."""
        return self.is_relay or not self._relays

    def choose(self, now: float, has_lost_store: bool = False) -> str | None:
        """Return the relay to ask; None to read the store itself.

        Parameters
        ----------
        now : float
        has_lost_store : bool
            Whether the store does not answer this router, so that a relay is asked
            also soon after another one failed.
        """
        if self._direct_until is None:
            self._direct_until = now + SETTLE_SECONDS
        if self.is_relay or (now < self._direct_until and not has_lost_store):
            return None
        usable = [
            name
            for name in self._relays
            if now >= self._avoided_until_by_name.get(name, now)
        ]
        if not usable:
            return None
        # Spreads followers evenly without talk.
        return usable[sum(self._name.encode()) % len(usable)]

    def record_failure(self, name: str, now: float) -> None:
        """Leave a relay that did not answer, or has lost the store itself."""
        self._direct_until = now + FALLBACK_SECONDS
        self._avoided_until_by_name = {
            known: until
            for known, until in self._avoided_until_by_name.items()
            if now < until
        }
        self._avoided_until_by_name[name] = now + AVOID_SECONDS
