"""Routers that are asked whether they are there, and those that don't answer."""

from collections.abc import Iterable

# Time without an answer after which a router that is asked counts as gone. Many answers
# must be lost in a row until then.
GONE_SECONDS = 1.0
# Time for which a router is asked after its presence last mattered.
WANTED_SECONDS = 5.0


class Presence:
    """Presence of the routers for which it matters at present.

    A router counts as gone only after it was asked for some time, not merely because
    nothing was heard of it.
    """

    __slots__ = ("_answered_at_by_name", "_wanted_until_by_name")

    def __init__(self) -> None:
        # Time of the last answer, or of the first question.
        self._answered_at_by_name: dict[str, float] = {}
        self._wanted_until_by_name: dict[str, float] = {}

    def want(self, names: Iterable[str], now: float) -> None:
        """Ask for the presence of routers from now on, for some time."""
        self.list_wanted(now)
        for name in names:
            self._answered_at_by_name.setdefault(name, now)
            self._wanted_until_by_name[name] = now + WANTED_SECONDS

    def list_wanted(self, now: float) -> list[str]:
        """Return the routers to ask; forget all others."""
        for name, until in list(self._wanted_until_by_name.items()):
            if now >= until:
                del self._wanted_until_by_name[name]
                del self._answered_at_by_name[name]
        return list(self._wanted_until_by_name)

    def record_answer(self, name: str, now: float) -> None:
        """Record that a router has answered."""
        if name in self._answered_at_by_name:
            self._answered_at_by_name[name] = now

    def are_gone(self, names: Iterable[str], now: float) -> bool:
        """Whether none of some routers has answered for some time."""
        return all(
            now - self._answered_at_by_name.get(name, now) >= GONE_SECONDS
            for name in names
        )
