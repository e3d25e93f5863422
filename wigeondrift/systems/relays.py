"""Selection of relays: routers that read the store on behalf of others.

Relays limit the load of many routers on the store: each call to it is counted, and all
routers need the same changes. In each failure domain a few routers read the store, and
the others query one of these. A router whose relay does not answer reads the store
itself for a while.
"""

import math
from collections.abc import Mapping

# In smaller groups each router reads the store: relays would save little and add the
# time to detect that a relay is gone.
MIN_MEMBERS = 5
# Two, so that the followers of a relay that is gone need not all read the store.
MIN_RELAYS = 2
# Maximum followers of one relay: at 2 queries per second, they cost the relay about 4%
# of a core together.
FOLLOWERS_PER_RELAY = 32
# Time for which a router reads the store itself after all relays failed, in seconds.
DIRECT_READ_SECONDS = 5.0
# Time for which a router reads the store itself after its start, in seconds: routers
# that start together know few of each other at first and would choose different relays.
STARTUP_DIRECT_READ_SECONDS = 2.0
# Time for which a failed relay is not queried, in seconds: if the relay is gone, its
# registration expires within this time.
RELAY_AVOIDANCE_SECONDS = 10.0


def rank_relays(link_by_name: Mapping[str, float]) -> list[str]:
    """Return the relays of a failure domain; none in a small group.

    Parameters
    ----------
    link_by_name : mapping of str to float
        Link bandwidth of each router; those with the highest become relays.
    """
    if len(link_by_name) < MIN_MEMBERS:
        return []
    ranked = sorted(link_by_name, key=lambda name: (-link_by_name[name], name))
    return ranked[: max(MIN_RELAYS, math.ceil(len(ranked) / FOLLOWERS_PER_RELAY))]


class RelayTable:
    """Relays of one failure domain, as seen by one router.

    All routers that know the same members choose the same relays.

    Parameters
    ----------
    name : str
        Instance of this router.
    """

    __slots__ = ("_avoided_until_by_name", "_direct_until", "_name", "_relays")

    def __init__(self, name: str) -> None:
        self._name = name
        self._relays: list[str] = []
        self._avoided_until_by_name: dict[str, float] = {}
        self._direct_until: float | None = None

    def set_members(self, link_by_name: Mapping[str, float]) -> None:
        """Set the routers of the own failure domain, including this one."""
        self._relays = rank_relays(link_by_name)

    @property
    def relays(self) -> list[str]:
        """Routers that read the store for the others; empty in small groups."""
        return self._relays

    @property
    def is_relay(self) -> bool:
        """Whether other routers query this one."""
        return self._name in self._relays

    @property
    def may_lead(self) -> bool:
        """Whether this router may compete for leadership."""
        return self.is_relay or not self._relays

    def choose(self, now: float, has_lost_store: bool = False) -> str | None:
        """Return the relay to query, or None to read the store directly.

        Parameters
        ----------
        now : float
        has_lost_store : bool
            Whether the store does not answer this router, so that a relay is queried
            even shortly after it or another one failed.
        """
        if self._direct_until is None:
            self._direct_until = now + STARTUP_DIRECT_READ_SECONDS
        if self.is_relay or (now < self._direct_until and not has_lost_store):
            return None
        usable = [
            name
            for name in self._relays
            if now >= self._avoided_until_by_name.get(name, now)
        ]
        if not usable and has_lost_store:
            # Ask the one that failed first: it may have reached the store again.
            return min(self._relays, key=self._get_avoided_until, default=None)
        if not usable:
            return None
        # Spreads the followers evenly over the relays without coordination.
        return usable[sum(self._name.encode()) % len(usable)]

    def _get_avoided_until(self, name: str) -> float:
        return self._avoided_until_by_name.get(name, 0.0)

    def record_failure(self, name: str, now: float) -> None:
        """Avoid a relay that did not answer or has lost the store itself.

        The router reads the store itself only if it knows no other relay to query.
        """
        self._avoided_until_by_name = {
            known: until
            for known, until in self._avoided_until_by_name.items()
            if now < until
        }
        self._avoided_until_by_name[name] = now + RELAY_AVOIDANCE_SECONDS
        if self._avoided_until_by_name.keys() >= set(self._relays):
            self._direct_until = now + DIRECT_READ_SECONDS
