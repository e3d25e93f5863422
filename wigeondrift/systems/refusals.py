"""Choice of the traits that are refused, from the deaths on record."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

# Deaths under a trait that was never survived after which it is refused, if
# none of the requests had an event from the upstream that died.
REFUSAL_DEATHS = 2
# Deaths after which it is refused although other requests saw the same ones, or
# although requests with it had their first events by then.
SHARED_REFUSAL_DEATHS = 3
# The same for a trait that was survived before the first of the deaths.
SOUND_REFUSAL_DEATHS = 5
# Events below which a request may only just have begun to run.
EARLY_EVENTS = 3
# Time after the last death at which one request with a refused trait is tried, as the
# deaths may have had another cause. It doubles with each further death.
FIRST_TRIAL_SECONDS = 15.0
MAX_DOUBLINGS = 6
# Requests that are remembered for one death; more don't change what is refused.
MAX_REQUESTS = 8


class Death(NamedTuple):
    """Death of an upstream under a request with some trait.

    Attributes
    ----------
    trait : str
        Digest of the trait.
    upstream : str
        Digest of the upstream's incarnation.
    """

    trait: str
    upstream: str


class Evidence(NamedTuple):
    """What is known of the requests with some trait that saw a death.

    Attributes
    ----------
    companions : frozenset of str
        Other traits that each of them had, without that of the whole request.
    silent_requests : frozenset of str
        Digests of those that had no event from the upstream.
    learned_at : float
        Time at which the death was first heard of, in seconds.
    fewest_events, most_events : int
        Numbers of events that the requests had from the upstream.
    is_whole : bool
        Whether the trait is that of a whole request.
    """

    companions: frozenset[str]
    silent_requests: frozenset[str]
    learned_at: float
    fewest_events: int = 0
    most_events: int = 0
    is_whole: bool = False

    @property
    def is_early(self) -> bool:
        """Whether one of the requests may only just have begun to run."""
        return self.fewest_events < EARLY_EVENTS

    def merge(self, other: "Evidence") -> "Evidence":
        """Return what is known with a further request or report."""
        requests = sorted(self.silent_requests | other.silent_requests)
        return Evidence(
            self.companions & other.companions,
            frozenset(requests[:MAX_REQUESTS]),
            min(self.learned_at, other.learned_at),
            min(self.fewest_events, other.fewest_events),
            max(self.most_events, other.most_events),
            self.is_whole or other.is_whole,
        )


class Refusal(NamedTuple):
    """Refusal of a trait.

    Attributes
    ----------
    trial_at : float
        Time from which a request may be tried, in seconds.
    partners : frozenset of str
        Other traits that a request must have to be refused.
    """

    trial_at: float
    partners: frozenset[str]


class RefusalSearch:
    """Finds the traits that explain the deaths on record.

    A death that a refused trait explains does not count against other traits.

    Parameters
    ----------
    evidence_by_death : dict of Death to Evidence
    sound_traits : collection of str
        Traits that upstreams have survived.
    """

    __slots__ = (
        "_evidence_by_upstream_by_trait",
        "_explained",
        "_refusals_by_trait",
        "_sound_traits",
    )

    def __init__(
        self,
        evidence_by_death: Mapping[Death, Evidence],
        sound_traits: Collection[str],
    ) -> None:
        self._sound_traits = sound_traits
        self._explained: set[str] = set()
        self._refusals_by_trait: dict[str, Refusal] = {}
        self._evidence_by_upstream_by_trait: dict[str, dict[str, Evidence]] = {}
        for (trait, upstream), evidence in evidence_by_death.items():
            deaths = self._evidence_by_upstream_by_trait.setdefault(trait, {})
            deaths[upstream] = evidence

    def find(self) -> dict[str, Refusal]:
        """Return the refused traits."""
        unproven, sound = [], []
        for trait in self._evidence_by_upstream_by_trait:
            (sound if trait in self._sound_traits else unproven).append(trait)
        # A request that had an event when its upstream died is less likely the cause.
        self._refuse(unproven, REFUSAL_DEATHS, must_be_silent=True)
        self._refuse(unproven, SHARED_REFUSAL_DEATHS)
        self._refuse(sound, SOUND_REFUSAL_DEATHS)
        return self._refusals_by_trait

    def _refuse(
        self, traits: Iterable[str], required: int, must_be_silent: bool = False
    ) -> None:
        """Refuse those of some traits that explain most deaths.

        Parameters
        ----------
        traits : iterable of str
        required : int
            Deaths that a trait must explain.
        must_be_silent : bool
            Whether only deaths count that a request without events saw.
        """
        candidates = {
            trait: {
                upstream
                for upstream, one in self._evidence_by_upstream_by_trait[trait].items()
                if one.silent_requests or not must_be_silent
            }
            for trait in traits
            if trait not in self._refusals_by_trait
            and len(self._evidence_by_upstream_by_trait[trait]) >= required
        }
        while candidates:
            weights_by_trait = {
                trait: self._weigh(trait, upstreams - self._explained)
                for trait, upstreams in candidates.items()
            }
            weight = max(weights_by_trait.values())
            most = weight[0]
            if most < required:
                return
            # Traits of the same weight can't be told apart yet.
            equals = [one for one, own in weights_by_trait.items() if own == weight]
            partners_by_trait = {
                trait: self._get_partners(trait).intersection(equals)
                for trait in equals
            }
            # To refuse a whole request as well costs no other one.
            parts = [one for one in equals if not self._is_whole(one)] or equals
            are_together = any(
                len(partners_by_trait[trait].intersection(parts)) == len(parts) - 1
                for trait in parts
            )
            if most < SHARED_REFUSAL_DEATHS and not are_together:
                return
            for trait in equals:
                self._refusals_by_trait[trait] = Refusal(
                    self._get_trial_time(trait, required), partners_by_trait[trait]
                )
            for trait in equals:
                self._explained |= candidates.pop(trait)

    def _weigh(self, trait: str, upstreams: Collection[str]) -> tuple[int, int, int]:
        """Return how many deaths a trait explains, in how many requests, and how soon.

        Requests that only ran beside a deadly one rarely have something in common, and
        mostly began before it. How soon is the largest number of events at a death,
        negative.
        """
        deaths = self._evidence_by_upstream_by_trait[trait]
        requests = [deaths[upstream].silent_requests for upstream in upstreams]
        latest = max((deaths[one].fewest_events for one in upstreams), default=0)
        return len(upstreams), len(frozenset().union(*requests)), -latest

    def _is_whole(self, trait: str) -> bool:
        """Whether a trait is that of a whole request."""
        deaths = self._evidence_by_upstream_by_trait[trait].values()
        return any(evidence.is_whole for evidence in deaths)

    def _get_partners(self, trait: str) -> frozenset[str]:
        """Return the traits that were in the same request at each death."""
        deaths = self._evidence_by_upstream_by_trait[trait].values()
        return frozenset.intersection(*(evidence.companions for evidence in deaths))

    def _get_trial_time(self, trait: str, required: int) -> float:
        deaths = self._evidence_by_upstream_by_trait[trait].values()
        doublings = min(MAX_DOUBLINGS, len(deaths) - required)
        learned_at = max(evidence.learned_at for evidence in deaths)
        return learned_at + FIRST_TRIAL_SECONDS * 2**doublings
