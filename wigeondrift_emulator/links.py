"""Network delays between emulated runners."""

from collections.abc import Iterable

import msgspec


class LinkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delay between two groups of runners.

    Attributes
    ----------
    source, target : str
        Name of a runner, a failure domain or an accelerator type.
    seconds : float
        One-way delay, in seconds; it applies in both directions.
    """

    source: str
    target: str
    seconds: float


class Links:
    """Delays by pair of names; the first matching pair applies.

    Parameters
    ----------
    links : iterable of LinkSettings
        Initial delays.
    """

    __slots__ = ("_seconds_by_pair",)

    def __init__(self, links: Iterable[LinkSettings]) -> None:
        self._seconds_by_pair: dict[tuple[str, str], float] = {}
        for link in links:
            self.set_seconds(link.source, link.target, link.seconds)

    def set_seconds(self, source: str, target: str, seconds: float) -> None:
        """Set the delay between two names in both directions."""
        self._seconds_by_pair[source, target] = seconds
        self._seconds_by_pair[target, source] = seconds

    def get_seconds(
        self, source_names: tuple[str, ...], target_names: tuple[str, ...]
    ) -> float:
        """Return the one-way delay of the first matching pair, in seconds.

        Parameters
        ----------
        source_names, target_names : tuple of str
            Names of each end, the most specific one first.

        Returns
        -------
        float
            Zero if no delay is set.
        """
        for source in source_names:
            for target in target_names:
                seconds = self._seconds_by_pair.get((source, target))
                if seconds is not None:
                    return seconds
        return 0.0
