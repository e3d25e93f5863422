"""Traits of requests under which upstreams die, and which of them are refused.

A trait is something that several requests have in common: a part of their prompt, or
path, caller and body together. All traits of a request are suspects if an upstream died
before the request had produced output. Sound traits are on record for some deaths too,
because they occur in the same requests or ran beside them, so a death that a refused
trait explains does not count against the others, and output clears a trait. Traits that
were always together in one request are refused together only, so that a request with
one of them shows whether it is sound.
"""

import hashlib
import math
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

import msgspec

from wigeondrift.errors import SUSPENSION_SECONDS
from wigeondrift.systems.ranking import get_fraction

# Deaths after which a trait that has never produced output is refused, and those after
# which it is refused although other requests saw the same ones.
REFUSAL_DEATHS = 2
SHARED_REFUSAL_DEATHS = 3
# The same for a trait that produced output before the first of the deaths.
SOUND_REFUSAL_DEATHS = 5
# Time after the last death at which one request with a refused trait is tried, as the
# deaths may have had another cause. It doubles with each further death.
FIRST_TRIAL_SECONDS = 15.0
MAX_DOUBLINGS = 6
# Time after which further routers may try a request, if the one whose turn it is has
# none.
TRIAL_TURN_SECONDS = 5.0
# Time for which a death is remembered.
SUSPECT_SECONDS = 2.0 * SUSPENSION_SECONDS
# A trait that produced output within this time becomes a suspect at its second death.
# Popular traits are present at most deaths, and cleared again at once.
RECENT_OUTPUT_SECONDS = 3.0
# Time that the store's list has to show a death after it was written there.
LISTING_SECONDS = 10.0
# Traits and deaths that one router remembers itself; the oldest are dropped first.
MAX_TRAITS = 4096
DIGEST_BYTES = 8
DIGEST_CHARACTERS = 2 * DIGEST_BYTES
# With these bounds a message fits into a datagram.
MAX_TRAITS_PER_REQUEST = 48
MAX_DEATHS_PER_MESSAGE = 32


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


class DeathNews(msgspec.Struct, tag=True):
    """Message of a router about deaths that it has seen.

    Attributes
    ----------
    companions_by_upstream_by_trait : dict
        Other traits of the request, by upstream and trait.
    """

    companions_by_upstream_by_trait: dict[str, dict[str, frozenset[str]]]

    def iter_deaths(self) -> Iterator[tuple[Death, frozenset[str]]]:
        """Yield each death and the other traits of the request."""
        for (
            trait,
            companions_by_upstream,
        ) in self.companions_by_upstream_by_trait.items():
            for upstream, companions in companions_by_upstream.items():
                yield Death(trait, upstream), companions

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        count = 0
        for death, companions in self.iter_deaths():
            count += 1
            digests = (*death, *companions)
            if any(len(digest) != DIGEST_CHARACTERS for digest in digests):
                return False
        return count <= MAX_DEATHS_PER_MESSAGE


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


def make_digest(*fields: object) -> str:
    """Return a hash of ``fields``, bytes or other values, in hexadecimal."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(field if isinstance(field, bytes) else str(field).encode())
        digest.update(b"\0")
    return digest.hexdigest()


class SuspectTable:
    """Deaths on record, of this router and from the store, and the traits refused.

    Deaths are only ever added or, when a request with the trait has produced output,
    removed, so that messages of several routers may arrive late or in any order.

    Parameters
    ----------
    name : str
        Instance of this router.
    """

    __slots__ = (
        "_companions_by_death",
        "_forgotten",
        "_is_stale",
        "_learned_at_by_death",
        "_listed",
        "_name",
        "_output_at_by_trait",
        "_refusals_by_trait",
        "_routers",
        "_tried_at_by_trait",
        "_unconfirmed_by_trait",
        "_unlisted_until_by_death",
        "_upstreams_by_trait",
    )

    def __init__(self, name: str = "") -> None:
        self._name = name
        self._routers = {name}
        # Refused traits with a request that was tried, and when.
        self._tried_at_by_trait: dict[str, float] = {}
        # Whether deaths were added or removed since the refused traits were found.
        self._is_stale = False
        self._listed: frozenset[Death] = frozenset()
        # Deaths that were removed but that the store may still list.
        self._forgotten: set[Death] = set()
        # Deaths that the store does not list yet, and how long they are kept.
        self._unlisted_until_by_death: dict[Death, float] = {}
        self._learned_at_by_death: dict[Death, float] = {}
        # Other traits that each request with the trait had when the upstream died,
        # without that of the whole request.
        self._companions_by_death: dict[Death, frozenset[str]] = {}
        self._output_at_by_trait: dict[str, float] = {}
        # Deaths under traits that have just produced output.
        self._unconfirmed_by_trait: dict[str, list[Death]] = {}
        self._upstreams_by_trait: dict[str, set[str]] = {}
        self._refusals_by_trait: dict[str, Refusal] = {}

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other routers, which try requests in turn with this one."""
        self._routers = {self._name, *names}

    def refresh(self, now: float) -> dict[str, int]:
        """Find the refused traits; return the new ones and their number of deaths."""
        if not self._is_stale:
            return {}
        self._is_stale = False
        known = self._refusals_by_trait
        self._rebuild(now)
        return {
            trait: self.count_deaths(trait)
            for trait in self._refusals_by_trait
            if trait not in known
        }

    def find_refused(self, traits: Sequence[str]) -> str | None:
        """Return a trait for which a request is refused, or None.

        Deaths count from the last call of ``refresh`` on.
        """
        for trait in traits:
            refusal = self._refusals_by_trait.get(trait)
            if refusal is not None and refusal.partners.issubset(traits):
                return trait
        return None

    def try_start_trial(self, trait: str, now: float) -> bool:
        """Return whether a request with a refused trait may be tried, and count it.

        One router tries a request after the time that the deaths ask for. The longer it
        has none, the more routers may.
        """
        refusal = self._refusals_by_trait[trait]
        started_at = self._tried_at_by_trait.get(trait, -math.inf)
        # A trial that brought neither output nor a death may be repeated.
        due_at = max(refusal.trial_at, started_at + FIRST_TRIAL_SECONDS)
        if now < due_at:
            return False
        own = get_fraction(self._name, trait)
        rank = sum(get_fraction(name, trait) > own for name in self._routers)
        if rank > (now - refusal.trial_at) / TRIAL_TURN_SECONDS:
            return False
        self._tried_at_by_trait[trait] = now
        return True

    def is_suspect(self, traits: Iterable[str]) -> bool:
        """Whether an upstream died under a trait that has never produced output."""
        return any(
            trait in self._upstreams_by_trait and trait not in self._output_at_by_trait
            for trait in traits
        )

    def get_companions(self, death: Death) -> frozenset[str]:
        """Return the other traits of all requests with the trait that saw the death."""
        return self._companions_by_death.get(death, frozenset())

    def count_deaths(self, trait: str) -> int:
        """Return the number of deaths on record."""
        return len(self._upstreams_by_trait.get(trait, ()))

    def record_death(
        self, traits: Sequence[str], upstream: str, now: float
    ) -> list[Death]:
        """Record that an upstream died under a request without output.

        Parameters
        ----------
        traits : sequence of str
            The first one is that of the whole request.
        upstream : str
            Digest of the upstream's incarnation.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Death
            Deaths that the other routers must know.
        """
        added = []
        narrowed = set()
        for trait in traits:
            death = Death(trait, upstream)
            # No other request has the trait of the whole one.
            companions = frozenset(traits[1:]).difference([trait])
            if self._narrow_companions(death, companions):
                narrowed.add(death)
            if self._has_recent_output(trait, now):
                self._is_stale = True
                unconfirmed = self._unconfirmed_by_trait.setdefault(trait, [])
                if death not in unconfirmed:
                    unconfirmed.append(death)
                if len(unconfirmed) == 1:
                    continue
            added.extend(self._unconfirmed_by_trait.pop(trait, ()))
            added.append(death)
        known = self._listed.union(self._unlisted_until_by_death)
        told = []
        for death in dict.fromkeys(added):
            if death not in known:
                self._add_unlisted(death, now + SUSPECT_SECONDS, now)
            elif death not in narrowed:
                continue
            told.append(death)
        return told

    def _narrow_companions(self, death: Death, companions: frozenset[str]) -> bool:
        """Keep the traits that all requests had that saw a death; return any change."""
        known = self._companions_by_death.get(death)
        common = companions if known is None else known & companions
        if common == known:
            return False
        self._companions_by_death[death] = common
        self._is_stale = True
        return True

    def _has_recent_output(self, trait: str, now: float) -> bool:
        output_at = self._output_at_by_trait.get(trait, -math.inf)
        return now - output_at < RECENT_OUTPUT_SECONDS

    def add_reported(self, news: DeathNews, now: float) -> None:
        """Add the deaths that another router reports and is about to write."""
        known = self._listed.union(self._unlisted_until_by_death)
        for death, companions in news.iter_deaths():
            if death in self._forgotten:
                continue
            if death not in known:
                self._add_unlisted(death, now + LISTING_SECONDS, now)
            self._narrow_companions(death, companions)

    def _add_unlisted(self, death: Death, until: float, now: float) -> None:
        while len(self._unlisted_until_by_death) >= MAX_TRAITS:
            del self._unlisted_until_by_death[next(iter(self._unlisted_until_by_death))]
        self._unlisted_until_by_death[death] = until
        self._learned_at_by_death[death] = now
        self._is_stale = True

    def list_news(self, deaths: Sequence[Death]) -> list[DeathNews]:
        """Return the messages that report deaths."""
        messages = []
        for start in range(0, len(deaths), MAX_DEATHS_PER_MESSAGE):
            news = DeathNews({})
            for death in deaths[start : start + MAX_DEATHS_PER_MESSAGE]:
                by_upstream = news.companions_by_upstream_by_trait.setdefault(
                    death.trait, {}
                )
                by_upstream[death.upstream] = self.get_companions(death)
            messages.append(news)
        return messages

    def confirm_written(self, death: Death, now: float) -> None:
        """Record that the store has a death; soon only its list counts."""
        if death in self._unlisted_until_by_death:
            self._unlisted_until_by_death[death] = now + LISTING_SECONDS

    def record_output(self, traits: Iterable[str], now: float) -> list[Death]:
        """Record that a request has produced output on an upstream that lives on.

        Returns
        -------
        list of Death
            Deaths on record that the other routers must forget.
        """
        cleared: set[str] = set()
        for trait in traits:
            self._output_at_by_trait.pop(trait, None)
            while len(self._output_at_by_trait) >= MAX_TRAITS:
                del self._output_at_by_trait[next(iter(self._output_at_by_trait))]
            self._output_at_by_trait[trait] = now
            self._unconfirmed_by_trait.pop(trait, None)
            cleared.add(trait)
        return self._remove(cleared)

    def _remove(self, traits: Collection[str]) -> list[Death]:
        deaths = self._listed.union(self._unlisted_until_by_death)
        removed = [death for death in deaths if death.trait in traits]
        if not removed:
            return []
        self._is_stale = True
        self._forgotten.update(self._listed.intersection(removed))
        self._listed = self._listed.difference(removed)
        for death in removed:
            self._unlisted_until_by_death.pop(death, None)
        return removed

    def set_listed(
        self, companions_by_death: Mapping[Death, frozenset[str]], now: float
    ) -> None:
        """Replace the deaths that the store lists.

        Parameters
        ----------
        companions_by_death : dict of Death to frozenset of str
            Other traits that each request with the trait had.
        now : float
            Current time in seconds.
        """
        listed = frozenset(companions_by_death)
        for death, companions in companions_by_death.items():
            self._narrow_companions(death, companions)
        self._forgotten &= listed
        self._listed = listed - self._forgotten
        for death in listed:
            self._unlisted_until_by_death.pop(death, None)
            self._learned_at_by_death.setdefault(death, now)
        self._is_stale = True

    def _rebuild(self, now: float) -> None:
        for death, until in list(self._unlisted_until_by_death.items()):
            if now >= until:
                del self._unlisted_until_by_death[death]
        deaths = self._listed.union(self._unlisted_until_by_death)
        self._learned_at_by_death = {
            death: self._learned_at_by_death[death] for death in deaths
        }
        self._unconfirmed_by_trait = {
            trait: unconfirmed
            for trait, unconfirmed in self._unconfirmed_by_trait.items()
            if self._has_recent_output(trait, now)
        }
        kept = deaths.union(*self._unconfirmed_by_trait.values())
        self._companions_by_death = {
            death: self._companions_by_death[death] for death in kept
        }
        self._upstreams_by_trait = {}
        for trait, upstream in deaths:
            self._upstreams_by_trait.setdefault(trait, set()).add(upstream)
        self._refusals_by_trait = {}
        explained: set[str] = set()
        for is_sound in (False, True):
            explained |= self._refuse_traits(is_sound, explained)
        self._tried_at_by_trait = {
            trait: tried_at
            for trait, tried_at in self._tried_at_by_trait.items()
            if trait in self._refusals_by_trait
        }

    def _refuse_traits(self, is_sound: bool, explained: set[str]) -> set[str]:
        """Refuse the traits that explain most deaths; return all explained deaths.

        Parameters
        ----------
        is_sound : bool
            Whether to examine the traits that have produced output, or the others.
        explained : set of str
            Upstreams whose death a refused trait explains.
        """
        required = SOUND_REFUSAL_DEATHS if is_sound else REFUSAL_DEATHS
        candidates = {
            trait: upstreams
            for trait, upstreams in self._upstreams_by_trait.items()
            if len(upstreams) >= required
            and (trait in self._output_at_by_trait) == is_sound
        }
        explained = set(explained)
        while candidates:
            left = {trait: len(ups - explained) for trait, ups in candidates.items()}
            most = max(left.values())
            if most < required:
                break
            # Traits that explain as many deaths can't be told apart yet.
            equals = [trait for trait, count in left.items() if count == most]
            partners_by_trait = {
                trait: self._get_partners(trait).intersection(equals)
                for trait in equals
            }
            are_together = any(
                len(partners) == len(equals) - 1
                for partners in partners_by_trait.values()
            )
            if most < SHARED_REFUSAL_DEATHS and not are_together:
                break
            for trait in equals:
                self._refusals_by_trait[trait] = Refusal(
                    self._get_trial_time(trait, required), partners_by_trait[trait]
                )
            for trait in equals:
                explained |= candidates.pop(trait)
        return explained

    def _get_partners(self, trait: str) -> frozenset[str]:
        """Return the traits that were in the same request at each death."""
        return frozenset.intersection(
            *(
                self._companions_by_death[trait, upstream]
                for upstream in self._upstreams_by_trait[trait]
            )
        )

    def _get_trial_time(self, trait: str, required: int) -> float:
        upstreams = self._upstreams_by_trait[trait]
        learned_at = max(self._learned_at_by_death[trait, up] for up in upstreams)
        doublings = min(MAX_DOUBLINGS, len(upstreams) - required)
        return learned_at + FIRST_TRIAL_SECONDS * 2**doublings
