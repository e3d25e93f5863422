"""Lowest configuration version that a starting router may trust keys with.

A router that starts while the store holds a copy of an earlier state reads a
configuration from before the latest changes, in which a revoked key may still be valid.
Its peers still know the newer version, so it asks them first.
"""

# Time for which the answers of peers are awaited, in seconds. A live peer answers
# within milliseconds.
ANSWER_SECONDS = 0.3
# Time after which an older version is trusted all the same, in seconds, so that a wrong
# answer does not keep a router out of service. The operator writes the newest version
# again long before.
MAX_HOLD_SECONDS = 10.0


class VersionFloor:
    """Compares the first configuration read with the versions that peers know.

    Attributes
    ----------
    version : int or None
        Highest version that a peer named; None if none did.
    """

    __slots__ = ("_awaited", "_held_until", "_waits_until", "version")

    def __init__(self) -> None:
        self._awaited: set[str] = set()
        self._waits_until = 0.0
        self._held_until = 0.0
        self.version: int | None = None

    def begin(self, peers: set[str], now: float) -> None:
        """Await the answers of ``peers`` from ``now`` on, in seconds."""
        self._awaited = set(peers)
        self._waits_until = now + ANSWER_SECONDS
        self._held_until = now + MAX_HOLD_SECONDS

    def list_awaited(self) -> list[str]:
        """Return the peers that have not answered."""
        return sorted(self._awaited)

    def record_answer(self, peer: str, version: int | None) -> None:
        """Record the version that a peer knows; None if it knows none.

        Only the peers that were asked count.
        """
        if peer not in self._awaited:
            return
        self._awaited.discard(peer)
        if version is not None:
            self.version = max(version, self.version or 0)

    def is_reached(self, version: int, now: float) -> bool:
        """Whether keys may be checked with a version at ``now``, in seconds."""
        if now >= self._held_until:
            return True
        if self.version is not None and version < self.version:
            return False
        return not self._awaited or now >= self._waits_until
