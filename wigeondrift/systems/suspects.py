"""Deaths of upstreams on record, and the traits of requests that they are held against.

A trait is something that several requests have in common: a part of their prompt, or
path, caller and body together. All traits of a request are suspects if an upstream died
before the request had produced output. Sound traits are on record for some deaths too,
because they occur in the same requests or ran beside them, so a death that a refused
trait explains does not count against the others, and output clears a trait. A router
that hears of deaths under a trait whose output it has seen tells the others so. Traits
that were always together in one request are refused together only, so that a request
with one of them shows whether it is sound.
"""

import hashlib
import math
from collections.abc import Collection, Iterable, Sequence

import msgspec

from wigeondrift.errors import SUSPENSION_SECONDS
from wigeondrift.systems.ranking import get_fraction
from wigeondrift.systems.refusals import (
    FIRST_TRIAL_SECONDS,
    MAX_REQUESTS,
    Death,
    Evidence,
    Refusal,
    RefusalSearch,
)

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
# Time after which the routers are told again that a trait has produced output, as some
# may have started since.
VOUCH_AGAIN_SECONDS = 30.0
# Traits and deaths that one router remembers itself; the oldest are dropped first.
MAX_TRAITS = 4096
DIGEST_BYTES = 8
DIGEST_CHARACTERS = 2 * DIGEST_BYTES
# With these bounds a message fits into a datagram.
MAX_TRAITS_PER_REQUEST = 48
MAX_TRAITS_PER_MESSAGE = 32


class ReportedDeath(msgspec.Struct, array_like=True):
    """Death of an upstream under requests with some trait, as one router saw it.

    Attributes
    ----------
    trait, upstream : str
        Digests.
    companions : frozenset of str
        Other traits that each of these requests had.
    silent_requests : frozenset of str
        Digests of those that had no event from the upstream.
    """

    trait: str
    upstream: str
    companions: frozenset[str]
    silent_requests: frozenset[str]

    @property
    def digests(self) -> tuple[str, ...]:
        """All digests in the report."""
        return (self.trait, self.upstream, *self.companions, *self.silent_requests)


class DeathNews(msgspec.Struct, tag=True):
    """Message of a router about deaths that it has seen.

    Attributes
    ----------
    deaths : tuple of ReportedDeath
    """

    deaths: tuple[ReportedDeath, ...]

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return len(self.deaths) <= MAX_TRAITS_PER_MESSAGE and all(
            _are_digests(one.digests) and len(one.silent_requests) <= MAX_REQUESTS
            for one in self.deaths
        )


class SoundNews(msgspec.Struct, tag=True):
    """Message of a router about suspects whose output it has seen.

    Attributes
    ----------
    traits : tuple of str
    """

    traits: tuple[str, ...]

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return len(self.traits) <= MAX_TRAITS_PER_MESSAGE and _are_digests(self.traits)


def _are_digests(texts: Iterable[str]) -> bool:
    return all(len(text) == DIGEST_CHARACTERS for text in texts)


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
        "_evidence_by_death",
        "_forgotten",
        "_is_stale",
        "_listed",
        "_name",
        "_output_at_by_trait",
        "_refusals_by_trait",
        "_routers",
        "_tried_at_by_trait",
        "_unconfirmed_by_trait",
        "_unlisted_until_by_death",
        "_upstreams_by_trait",
        "_vouched_at_by_trait",
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
        self._evidence_by_death: dict[Death, Evidence] = {}
        self._output_at_by_trait: dict[str, float] = {}
        # Suspects of which the routers were told that they have produced output.
        self._vouched_at_by_trait: dict[str, float] = {}
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

    def get_report(self, death: Death) -> ReportedDeath | None:
        """Return what is known of a death, None if it is no longer on record."""
        evidence = self._evidence_by_death.get(death)
        if evidence is None:
            return None
        return ReportedDeath(*death, evidence.companions, evidence.silent_requests)

    def count_deaths(self, trait: str) -> int:
        """Return the number of deaths on record."""
        return len(self._upstreams_by_trait.get(trait, ()))

    def record_death(
        self,
        traits: Sequence[str],
        upstream: str,
        now: float,
        is_silent: bool = True,
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
        is_silent : bool
            Whether the request had no event from the upstream.

        Returns
        -------
        list of Death
            Deaths that the other routers must know.
        """
        added = []
        changed = set()
        requests = frozenset(traits[:1] if is_silent else ())
        for trait in traits:
            death = Death(trait, upstream)
            # No other request has the trait of the whole one.
            companions = frozenset(traits[1:]).difference([trait])
            if self._add_evidence(death, Evidence(companions, requests, now)):
                changed.add(death)
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
                self._add_unlisted(death, now + SUSPECT_SECONDS)
            elif death not in changed:
                continue
            told.append(death)
        return told

    def _add_evidence(self, death: Death, evidence: Evidence) -> bool:
        """Add what a request or a router tells of a death; return any change."""
        known = self._evidence_by_death.get(death)
        merged = evidence if known is None else known.merge(evidence)
        if merged == known:
            return False
        self._evidence_by_death[death] = merged
        self._is_stale = True
        return True

    def _has_recent_output(self, trait: str, now: float) -> bool:
        output_at = self._output_at_by_trait.get(trait, -math.inf)
        return now - output_at < RECENT_OUTPUT_SECONDS

    def add_reported(self, news: DeathNews, now: float) -> None:
        """Add the deaths that another router reports and is about to write."""
        known = self._listed.union(self._unlisted_until_by_death)
        for report in news.deaths:
            death = Death(report.trait, report.upstream)
            if death in self._forgotten:
                continue
            if death not in known:
                self._add_unlisted(death, now + SUSPECT_SECONDS)
            evidence = Evidence(report.companions, report.silent_requests, now)
            self._add_evidence(death, evidence)

    def _add_unlisted(self, death: Death, until: float) -> None:
        _make_room(self._unlisted_until_by_death)
        self._unlisted_until_by_death[death] = until
        self._is_stale = True

    def list_news(self, deaths: Sequence[Death]) -> list[DeathNews]:
        """Return the messages that report deaths."""
        reports = [self.get_report(death) for death in deaths]
        return [DeathNews(tuple(chunk)) for chunk in _split(reports)]

    def is_unlisted(self, death: Death) -> bool:
        """Whether a death is on record that the store does not list."""
        return death in self._unlisted_until_by_death

    def confirm_written(self, death: Death, now: float) -> None:
        """Record that the store has a death; soon only its list counts."""
        if death in self._unlisted_until_by_death:
            self._unlisted_until_by_death[death] = now + LISTING_SECONDS

    def list_unvouched(self, traits: Iterable[str], now: float) -> list[str]:
        """Return the traits whose output this router has seen, if it was not told.

        Parameters
        ----------
        traits : iterable of str
            Traits with deaths on record.
        now : float
            Current time in seconds.
        """
        return [
            trait
            for trait in dict.fromkeys(traits)
            if trait in self._output_at_by_trait
            and now - self._vouched_at_by_trait.get(trait, -math.inf)
            >= VOUCH_AGAIN_SECONDS
        ]

    def record_vouched(self, traits: Iterable[str], now: float) -> None:
        """Record that the routers were told that traits have produced output."""
        for trait in traits:
            _make_room(self._vouched_at_by_trait, trait)
            self._vouched_at_by_trait[trait] = now
            if trait not in self._output_at_by_trait:
                _make_room(self._output_at_by_trait)
                self._output_at_by_trait[trait] = now - RECENT_OUTPUT_SECONDS
                self._is_stale = True

    def list_sound_news(self, traits: Sequence[str]) -> list[SoundNews]:
        """Return the messages that tell that traits have produced output."""
        return [SoundNews(tuple(chunk)) for chunk in _split(traits)]

    def record_output(self, traits: Iterable[str], now: float) -> list[Death]:
        """Record that a request has produced output on an upstream that lives on.

        Returns
        -------
        list of Death
            Deaths on record that the other routers must forget.
        """
        cleared: set[str] = set()
        for trait in traits:
            _make_room(self._output_at_by_trait, trait)
            self._output_at_by_trait[trait] = now
            self._unconfirmed_by_trait.pop(trait, None)
            cleared.add(trait)
        return self._remove(cleared)

    def _remove(self, traits: Collection[str]) -> list[Death]:
        if not self._listed and not self._unlisted_until_by_death:
            return []
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
        self, reports: Iterable[ReportedDeath], now: float, is_restored: bool = False
    ) -> list[Death]:
        """Replace the deaths that the store lists.

        Parameters
        ----------
        reports : iterable of ReportedDeath
        now : float
            Current time in seconds.
        is_restored : bool
            Whether the store was restored from a copy of before, so that deaths that it
            no longer lists were lost and not removed.

        Returns
        -------
        list of Death
            Deaths that a restored store has lost.
        """
        listed = set()
        known = self._listed
        for report in reports:
            death = Death(report.trait, report.upstream)
            listed.add(death)
            evidence = Evidence(report.companions, report.silent_requests, now)
            self._add_evidence(death, evidence)
        self._forgotten &= listed
        self._listed = frozenset(listed - self._forgotten)
        for death in listed:
            self._unlisted_until_by_death.pop(death, None)
        self._is_stale = True
        if not is_restored:
            return []
        lost = [*known.difference(listed), *self._unlisted_until_by_death]
        for death in lost:
            learned_at = self._evidence_by_death[death].learned_at
            self._add_unlisted(death, learned_at + SUSPECT_SECONDS)
        return lost

    def _rebuild(self, now: float) -> None:
        for death, until in list(self._unlisted_until_by_death.items()):
            if now >= until:
                del self._unlisted_until_by_death[death]
        self._unconfirmed_by_trait = {
            trait: unconfirmed
            for trait, unconfirmed in self._unconfirmed_by_trait.items()
            if self._has_recent_output(trait, now)
        }
        deaths = self._listed.union(self._unlisted_until_by_death)
        kept = deaths.union(*self._unconfirmed_by_trait.values())
        self._evidence_by_death = {
            death: self._evidence_by_death[death] for death in kept
        }
        self._upstreams_by_trait = {}
        for trait, upstream in deaths:
            self._upstreams_by_trait.setdefault(trait, set()).add(upstream)
        on_record = {death: self._evidence_by_death[death] for death in deaths}
        search = RefusalSearch(on_record, self._output_at_by_trait)
        self._refusals_by_trait = search.find()
        self._tried_at_by_trait = {
            trait: tried_at
            for trait, tried_at in self._tried_at_by_trait.items()
            if trait in self._refusals_by_trait
        }


def _make_room(values_by_key: dict, key: object = None) -> None:
    """Drop the oldest entries of a dict, and that of ``key``, so that one more fits."""
    values_by_key.pop(key, None)
    while len(values_by_key) >= MAX_TRAITS:
        del values_by_key[next(iter(values_by_key))]


def _split(values: Sequence) -> list[Sequence]:
    """Return consecutive pieces, each for one message."""
    step = MAX_TRAITS_PER_MESSAGE
    return [values[start : start + step] for start in range(0, len(values), step)]
