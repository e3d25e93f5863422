"""Estimates latencies of stages and links from the token times of whole routes."""

from collections.abc import Iterator, Sequence

from wigeondrift.entities import Instance

LEARNING_RATE = 0.3
DEFAULT_TOKEN_SECONDS = 0.02
DEFAULT_LINK_SECONDS = 0.001


class LatencyEstimator:
    """Online estimates of stage and link latencies.

    Only the sum over a route can be observed. Each observation adjusts all parts of the
    route by an equal share of the error, as in normalized least mean squares. Routes
    that have some parts in common reveal which part is slow.
    """

    __slots__ = ("_excess_by_id", "_seconds_by_pair")

    def __init__(self) -> None:
        self._excess_by_id: dict[str, float] = {}
        self._seconds_by_pair: dict[tuple[str, str], float] = {}

    def get_link_seconds(self, source_domain: str, target_domain: str) -> float:
        """Return the one-way latency between two failure domains, in seconds."""
        estimate = self._seconds_by_pair.get((source_domain, target_domain))
        if estimate is not None:
            return estimate
        return 0.0 if source_domain == target_domain else DEFAULT_LINK_SECONDS

    def get_stage_seconds(self, instance_id: str, reported: float) -> float:
        """Return the time of one token over a runner's whole layer range, in seconds.

        Parameters
        ----------
        instance_id : str
        reported : float
            Time that the runner reports, in seconds; zero if it reports none.
        """
        base = reported or DEFAULT_TOKEN_SECONDS
        return max(0.0, base + self._excess_by_id.get(instance_id, 0.0))

    def observe(
        self,
        runners: Sequence[Instance],
        reported_by_id: dict[str, float],
        shares: Sequence[float],
        seconds: float,
    ) -> None:
        """Update the estimates with the observed time of one token over a route.

        Parameters
        ----------
        runners : sequence of Instance
            Runners in the order of their layers.
        reported_by_id : dict of str to float
            Stage times reported by the runners, in seconds.
        shares : sequence of float
            Fraction of its layer range that each runner processed.
        seconds : float
            Observed time of one token.
        """
        pairs = [
            (source.failure_domain, target.failure_domain)
            for source, target in iter_hops(runners)
        ]
        expected = sum(self.get_link_seconds(*pair) for pair in pairs)
        for runner, share in zip(runners, shares, strict=True):
            reported = reported_by_id.get(runner.instance_id, 0.0)
            expected += share * self.get_stage_seconds(runner.instance_id, reported)
        step = LEARNING_RATE * (seconds - expected) / (len(runners) + len(pairs))
        for pair in pairs:
            self._seconds_by_pair[pair] = max(0.0, self.get_link_seconds(*pair) + step)
        for runner in runners:
            estimate = self._excess_by_id.get(runner.instance_id, 0.0)
            self._excess_by_id[runner.instance_id] = estimate + step

    def keep_only(self, instance_ids: set[str]) -> None:
        """Remove the estimates of runners that are not in ``instance_ids``."""
        for instance_id in list(self._excess_by_id):
            if instance_id not in instance_ids:
                del self._excess_by_id[instance_id]


def iter_hops(runners: Sequence[Instance]) -> Iterator[tuple[Instance, Instance]]:
    """Yield the links of a route; the last stage returns its tokens to the first."""
    if len(runners) < 2:
        return
    yield from zip(runners, runners[1:], strict=False)
    yield runners[-1], runners[0]
