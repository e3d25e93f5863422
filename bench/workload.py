"""Seeded arrivals of requests with skewed teams, two lengths and demand surges."""

import random
from collections.abc import Iterator

SHORT = "short"
LONG = "long"
TEAM_ZIPF_EXPONENT = 1.2
PROMPT_WORDS = ("bellows", "pipe", "bird", "gear", "tray", "rung", "clamp", "spring")


class DemandSurge:
    """Temporary rise of demand.

    Attributes
    ----------
    start, end : float
        Seconds from the start of the run.
    ramp : float
        Time over which demand rises, in seconds.
    factor : float
        Peak demand relative to the base rate.
    """

    __slots__ = ("end", "factor", "ramp", "start")

    def __init__(self, start: float, end: float, ramp: float, factor: float) -> None:
        self.start = start
        self.end = end
        self.ramp = ramp
        self.factor = factor

    def get_factor(self, at: float) -> float:
        """Return the demand at time ``at`` relative to the base rate."""
        if not self.start <= at < self.end:
            return 1.0
        progress = min(1.0, (at - self.start) / self.ramp)
        return 1.0 + (self.factor - 1.0) * progress


class Arrival:
    """One request of a caller.

    Attributes
    ----------
    at : float
        Seconds from the start of the run.
    number : int
        Sequence number in the run.
    team : int
    length : str
        ``SHORT`` or ``LONG``.
    prompt : str
    max_tokens : int
    """

    __slots__ = ("at", "length", "max_tokens", "number", "prompt", "team")

    def __init__(
        self,
        at: float,
        number: int,
        team: int,
        length: str,
        prompt: str,
        max_tokens: int,
    ) -> None:
        self.at = at
        self.number = number
        self.team = team
        self.length = length
        self.prompt = prompt
        self.max_tokens = max_tokens


class Workload:
    """Rate and mix of the requests of a run.

    Attributes
    ----------
    rate : float
        Base rate in requests per second.
    seconds : float
        Duration of the run.
    teams : int
        Number of teams; their request rates follow a Zipf distribution.
    short_tokens, long_tokens : int
        Maximum tokens of a short and of a long request.
    long_fraction : float
        Fraction of the requests that are long.
    prefixes : int
        Number of distinct prompt prefixes.
    surge : DemandSurge or None
    """

    __slots__ = (
        "long_fraction",
        "long_tokens",
        "prefixes",
        "rate",
        "seconds",
        "short_tokens",
        "surge",
        "teams",
    )

    def __init__(
        self,
        rate: float,
        seconds: float,
        teams: int = 10,
        short_tokens: int = 16,
        long_tokens: int = 256,
        long_fraction: float = 0.03,
        prefixes: int = 40,
        surge: DemandSurge | None = None,
    ) -> None:
        self.rate = rate
        self.seconds = seconds
        self.teams = teams
        self.short_tokens = short_tokens
        self.long_tokens = long_tokens
        self.long_fraction = long_fraction
        self.prefixes = prefixes
        self.surge = surge

    def iter_arrivals(self, seed: int) -> Iterator[Arrival]:
        """Yield the arrivals of a Poisson process, thinned to the current demand."""
        rng = random.Random(seed)
        weights = [1.0 / (rank + 1) ** TEAM_ZIPF_EXPONENT for rank in range(self.teams)]
        peak = self.surge.factor if self.surge else 1.0
        at = 0.0
        number = 0
        while True:
            at += rng.expovariate(self.rate * peak)
            if at >= self.seconds:
                return
            factor = self.surge.get_factor(at) if self.surge else 1.0
            if rng.random() * peak > factor:
                continue
            yield self._make_arrival(rng, weights, at, number)
            number += 1

    def _make_arrival(
        self, rng: random.Random, weights: list[float], at: float, number: int
    ) -> Arrival:
        team = rng.choices(range(self.teams), weights)[0]
        length = LONG if rng.random() < self.long_fraction else SHORT
        max_tokens = self.long_tokens if length == LONG else self.short_tokens
        prefix = rng.randrange(self.prefixes)
        words = " ".join(rng.choices(PROMPT_WORDS, k=6))
        prompt = f"catalogue {prefix}: {words} {number}"
        return Arrival(at, number, team, length, prompt, max_tokens)
