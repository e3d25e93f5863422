"""Pace of refusals: a caller that retries at once waits for its answer."""


class PacingRules:
    """Bounds on held refusals.

    Attributes
    ----------
    rate : float
        Refusals answered to one team per second, once they are held.
    least_delay, most_delay : float
        Bounds of the time that one refusal is held, in seconds.
    held : int
        Refusals held at once; further ones are answered at once.
    """

    __slots__ = ("held", "least_delay", "most_delay", "rate")

    def __init__(
        self,
        rate: float = 50.0,
        least_delay: float = 0.25,
        most_delay: float = 2.0,
        held: int = 1000,
    ) -> None:
        self.rate = rate
        self.least_delay = least_delay
        self.most_delay = most_delay
        self.held = held


class RefusalPacer:
    """Decides how long each refusal is held."""

    __slots__ = ("_next_at_by_team", "_rules", "held")

    def __init__(self, rules: PacingRules) -> None:
        self._rules = rules
        self._next_at_by_team: dict[str, float] = {}
        self.held = 0

    def hold(self, team: str, now: float) -> float:
        """Return the seconds to hold a refusal to ``team``; zero if too many are.

        A positive delay counts as held until ``release``.
        """
        rules = self._rules
        if self.held >= rules.held:
            return 0.0
        earliest = now + rules.least_delay
        latest = now + rules.most_delay
        due = max(earliest, self._next_at_by_team.get(team, 0.0))
        due = min(due, latest)
        self._next_at_by_team[team] = due + 1.0 / rules.rate
        self.held += 1
        return due - now

    def release(self) -> None:
        """Count one held refusal as answered."""
        self.held -= 1

    def forget_old(self, now: float) -> None:
        """Drop the teams whose last refusal is answered."""
        for team, due in list(self._next_at_by_team.items()):
            if due < now:
                del self._next_at_by_team[team]
