"""Deaths of upstreams on record, and the traits of requests that they are held against.

A trait is something that several requests have in common: a part of their prompt, or
path, caller and body together. All traits of a request are suspects if an upstream died
while it ran the request. Events from the upstream don't show that it survives the
request, as it may die after any number of them. What shows it is a request that runs
from its beginning to its end, or that brings far more events than all those under which
upstreams died.

Sound traits are on record for some deaths too, because they occur in the same requests
or ran beside them, so a death that a refused trait explains does not count against the
others, and survival clears a trait. Most requests beside a deadly one have been running
for longer. Of those that had some events, only the whole request is a suspect, and the
parts that no upstream is known to have survived. A router that hears of deaths under a
trait whose survival it has seen tells the others so. Traits that were always together
in one request are refused together only, so that a request with one of them shows
whether it is sound.
"""

import hashlib
import math
from collections.abc import Collection, Iterable, Sequence

import msgspec

from wigeondrift.errors import SUSPENSION_SECONDS
from wigeondrift.systems.ranking import get_fraction
from wigeondrift.systems.refusals import (
    EARLY_EVENTS,
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
# A trait that was survived within this time becomes a suspect at its second death.
# Popular traits are present at most deaths, and cleared again at once.
RECENT_SURVIVAL_SECONDS = 3.0
# Time for which a request must run to show that its upstream survives the parts of its
# prompt, if it does not end before. Deadly parts show themselves sooner.
SURVIVAL_SECONDS = 10.0
# Multiple of the events before a death that a request must bring to show that its
# upstream survives it.
SURVIVAL_FACTOR = 2
# Time within which deaths under requests that had begun long before may have a common
# cause, in seconds.
CORRELATED_SECONDS = 1.0
# Deaths under requests that had begun long before that must be known of a trait for any
# of them to be written to the store. Each death has many such requests beside it.
WRITTEN_LATE_DEATHS = 2
# Time that the store's list has to show a death after it was written there.
LISTING_SECONDS = 10.0
# Time after which the routers are told again that a trait was survived, as some
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
    fewest_events, most_events : int
        Numbers of events that they had from the upstream.
    is_whole : bool
        Whether the trait is that of a whole request.
    """

    trait: str
    upstream: str
    companions: frozenset[str]
    silent_requests: frozenset[str]
    fewest_events: int = 0
    most_events: int = 0
    is_whole: bool = False

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
            _are_digests(one.digests)
            and len(one.silent_requests) <= MAX_REQUESTS
            and 0 <= one.fewest_events <= one.most_events
            for one in self.deaths
        )


class SoundNews(msgspec.Struct, tag=True):
    """Message of a router about suspects whose survival it has seen.

    Attributes
    ----------
    traits : tuple of str
    """

    traits: tuple[str, ...]

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return len(self.traits) <= MAX_TRAITS_PER_MESSAGE and _are_digests(self.traits)


class TrialNews(msgspec.Struct, tag=True):
    """Message of a router that tries a request although it has a refused trait.

    Attributes
    ----------
    trait : str
    """

    trait: str

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return _are_digests((self.trait,))


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

    Deaths are only ever added or, when an upstream has survived a request with the
    trait, removed, so that messages of several routers may arrive late or in any order.

    Parameters
    ----------
    name : str
        Instance of this router.
    """

    __slots__ = (
        "_deaths_by_trait",
        "_evidence_by_death",
        "_fatal_events_by_trait",
        "_forgotten",
        "_is_stale",
        "_listed",
        "_name",
        "_survived_at_by_trait",
        "_refusals_by_trait",
        "_routers",
        "_suspects",
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
        self._deaths_by_trait: dict[str, set[Death]] = {}
        # Largest number of events before a death, also after the deaths were removed.
        self._fatal_events_by_trait: dict[str, int] = {}
        # Traits whose requests are kept apart from others.
        self._suspects: frozenset[str] = frozenset()
        self._survived_at_by_trait: dict[str, float] = {}
        # Suspects of which the routers were told that they were survived.
        self._vouched_at_by_trait: dict[str, float] = {}
        # Deaths under traits that were survived just before.
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
        # A trial that showed neither survival nor a death may be repeated.
        due_at = max(refusal.trial_at, started_at + FIRST_TRIAL_SECONDS)
        if now < due_at:
            return False
        own = get_fraction(self._name, trait)
        rank = sum(get_fraction(name, trait) > own for name in self._routers)
        if rank > (now - refusal.trial_at) / TRIAL_TURN_SECONDS:
            return False
        self.record_trial(trait, now)
        return True

    def record_trial(self, trait: str, now: float) -> None:
        """Record that this router or another one tries a request with a trait.

        A death under it may become known some seconds later.
        """
        if trait in self._refusals_by_trait:
            self._tried_at_by_trait[trait] = now

    def split_by_age(self, deaths: Iterable[Death]) -> tuple[list[Death], list[Death]]:
        """Return those under requests that had just begun, and the others."""
        early, late = [], []
        for death in deaths:
            evidence = self._evidence_by_death.get(death)
            if evidence is not None:
                (early if evidence.is_early else late).append(death)
        return early, late

    def is_suspect(self, traits: Iterable[str]) -> bool:
        """Whether an upstream may have died of a trait that was never survived.

        One death under a request that had begun long before says little.
        """
        return not self._suspects.isdisjoint(traits)

    def get_report(self, death: Death) -> ReportedDeath | None:
        """Return what is known of a death, None if it is no longer on record."""
        evidence = self._evidence_by_death.get(death)
        if evidence is None:
            return None
        return ReportedDeath(
            *death,
            evidence.companions,
            evidence.silent_requests,
            evidence.fewest_events,
            evidence.most_events,
            evidence.is_whole,
        )

    def count_deaths(self, trait: str) -> int:
        """Return the number of deaths on record."""
        return len(self._upstreams_by_trait.get(trait, ()))

    def record_death(
        self,
        traits: Sequence[str],
        upstream: str,
        now: float,
        events: int = 0,
    ) -> list[Death]:
        """Record that an upstream died under a request.

        Parameters
        ----------
        traits : sequence of str
            The first one is that of the whole request.
        upstream : str
            Digest of the upstream's incarnation.
        now : float
            Current time in seconds.
        events : int
            Number of events that the request had from the upstream.

        Returns
        -------
        list of Death
            Deaths that the other routers must know.
        """
        added = []
        changed = set()
        whole = traits[0]
        requests = frozenset(() if events else (whole,))
        for trait in traits:
            death = Death(trait, upstream)
            # No other request has the trait of the whole one.
            companions = frozenset(traits[1:]).difference([trait])
            evidence = Evidence(
                companions, requests, now, events, events, trait == whole
            )
            if not self._is_relevant(death, evidence):
                continue
            if self._add_evidence(death, evidence):
                changed.add(death)
            if self._was_just_survived(trait, now):
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
        self._deaths_by_trait.setdefault(death.trait, set()).add(death)
        fatal_events = self._fatal_events_by_trait.get(death.trait, 0)
        _make_room(self._fatal_events_by_trait, death.trait)
        self._fatal_events_by_trait[death.trait] = max(fatal_events, merged.most_events)
        self._mark_stale(death)
        return True

    def _mark_stale(self, death: Death) -> None:
        """Find the refused traits anew, unless a death can't change them.

        The first one under requests that had begun long before can't, and most are.
        """
        evidence = self._evidence_by_death.get(death)
        deaths = self._deaths_by_trait.get(death.trait, ())
        if evidence is None or evidence.is_early or len(deaths) > 1:
            self._is_stale = True

    def _is_relevant(self, death: Death, evidence: Evidence) -> bool:
        """Whether evidence counts against a trait.

        That of a request which had begun long before does not if it only shares a part
        that upstreams have survived, or if the part was in requests at another
        upstream that died at the same moment.
        """
        if evidence.is_early or evidence.is_whole:
            return True
        if death.trait in self._survived_at_by_trait:
            return False
        return not any(
            abs(evidence.learned_at - self._evidence_by_death[known].learned_at)
            < CORRELATED_SECONDS
            for known in self._deaths_by_trait.get(death.trait, ())
            if known != death
        )

    def _was_just_survived(self, trait: str, now: float) -> bool:
        survived_at = self._survived_at_by_trait.get(trait, -math.inf)
        return now - survived_at < RECENT_SURVIVAL_SECONDS

    def add_reported(self, news: DeathNews, now: float) -> None:
        """Add the deaths that another router reports and is about to write."""
        known = self._listed.union(self._unlisted_until_by_death)
        for report in news.deaths:
            death = Death(report.trait, report.upstream)
            evidence = _make_evidence(report, now)
            if death in self._forgotten or not self._is_relevant(death, evidence):
                continue
            self._add_evidence(death, evidence)
            if death not in known:
                self._add_unlisted(death, now + SUSPECT_SECONDS)

    def _add_unlisted(self, death: Death, until: float) -> None:
        _make_room(self._unlisted_until_by_death)
        self._unlisted_until_by_death[death] = until
        self._mark_stale(death)

    def list_news(self, deaths: Sequence[Death]) -> list[DeathNews]:
        """Return the messages that report deaths."""
        reports = [self.get_report(death) for death in deaths]
        return [DeathNews(tuple(chunk)) for chunk in _split(reports)]

    def list_unwritten(self, deaths: Iterable[Death]) -> list[Death]:
        """Return the deaths that the store should list because of some new ones.

        Parameters
        ----------
        deaths : iterable of Death
            The new deaths.
        """
        unwritten: dict[Death, None] = {}
        for death in deaths:
            evidence = self._evidence_by_death.get(death)
            if evidence is None:
                continue
            if evidence.is_early:
                unwritten[death] = None
            known = self._deaths_by_trait[death.trait]
            if len(known) >= WRITTEN_LATE_DEATHS:
                unlisted = sorted(filter(self.is_unlisted, known))
                unwritten.update(dict.fromkeys(unlisted))
        return list(unwritten)

    def is_unlisted(self, death: Death) -> bool:
        """Whether a death is on record that the store does not list."""
        return death in self._unlisted_until_by_death

    def confirm_written(self, death: Death, now: float) -> None:
        """Record that the store has a death; soon only its list counts."""
        if death in self._unlisted_until_by_death:
            self._unlisted_until_by_death[death] = now + LISTING_SECONDS

    def list_unvouched(self, traits: Iterable[str], now: float) -> list[str]:
        """Return the traits whose survival this router has seen, if it was not told.

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
            if trait in self._survived_at_by_trait
            and now - self._vouched_at_by_trait.get(trait, -math.inf)
            >= VOUCH_AGAIN_SECONDS
        ]

    def record_vouched(self, traits: Iterable[str], now: float) -> None:
        """Record that the routers were told that traits were survived."""
        for trait in traits:
            _make_room(self._vouched_at_by_trait, trait)
            self._vouched_at_by_trait[trait] = now
            if trait not in self._survived_at_by_trait:
                _make_room(self._survived_at_by_trait)
                self._survived_at_by_trait[trait] = now - RECENT_SURVIVAL_SECONDS
                self._is_stale = True

    def list_sound_news(self, traits: Sequence[str]) -> list[SoundNews]:
        """Return the messages that tell that traits were survived."""
        return [SoundNews(tuple(chunk)) for chunk in _split(traits)]

    def record_completion(self, traits: Iterable[str], now: float) -> list[Death]:
        """Record that an upstream has run a request from its beginning to its end.

        Returns
        -------
        list of Death
            Deaths on record that the other routers must forget.
        """
        cleared = set(traits)
        for trait in cleared:
            self._fatal_events_by_trait.pop(trait, None)
            self._record_survival(trait, now)
        return self._remove(cleared)

    def record_progress(
        self, traits: Sequence[str], events: int, seconds: float, now: float
    ) -> list[Death]:
        """Record how far a request has run that has not run from beginning to end.

        Parameters
        ----------
        traits : sequence of str
            The first one is that of the whole request.
        events : int
            Number of events that it has had from its upstream.
        seconds : float
            Time for which it has been running there.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Death
            Deaths on record that the other routers must forget.
        """
        outrun = {
            trait
            for trait in traits
            if trait in self._fatal_events_by_trait
            and events
            > SURVIVAL_FACTOR * self._fatal_events_by_trait[trait] + EARLY_EVENTS
        }
        # The whole request may still crash its upstream at a later event.
        parts = (
            traits[1:] if seconds >= SURVIVAL_SECONDS else outrun.difference(traits[:1])
        )
        for trait in parts:
            self._record_survival(trait, now)
        return self._remove(outrun)

    def _record_survival(self, trait: str, now: float) -> None:
        _make_room(self._survived_at_by_trait, trait)
        self._survived_at_by_trait[trait] = now
        self._unconfirmed_by_trait.pop(trait, None)

    def _remove(self, traits: Collection[str]) -> list[Death]:
        removed = [
            death
            for trait in traits
            for death in self._deaths_by_trait.get(trait, ())
            if death in self._listed or death in self._unlisted_until_by_death
        ]
        if not removed:
            return []
        written = [death for death in removed if self._is_written(death)]
        self._is_stale = True
        self._forgotten.update(self._listed.intersection(removed))
        self._listed = self._listed.difference(removed)
        for death in removed:
            self._unlisted_until_by_death.pop(death, None)
        return written

    def _is_written(self, death: Death) -> bool:
        """Whether the store lists a death, or some router is to write it there."""
        return (
            death in self._listed
            or self._evidence_by_death[death].is_early
            or len(self._deaths_by_trait[death.trait]) >= WRITTEN_LATE_DEATHS
        )

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
            self._add_evidence(death, _make_evidence(report, now))
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
            if self._was_just_survived(trait, now)
        }
        deaths = self._listed.union(self._unlisted_until_by_death)
        kept = deaths.union(*self._unconfirmed_by_trait.values())
        self._evidence_by_death = {
            death: self._evidence_by_death[death] for death in kept
        }
        self._deaths_by_trait = {}
        for death in kept:
            self._deaths_by_trait.setdefault(death.trait, set()).add(death)
        self._upstreams_by_trait = {}
        for trait, upstream in deaths:
            self._upstreams_by_trait.setdefault(trait, set()).add(upstream)
        on_record = {death: self._evidence_by_death[death] for death in deaths}
        self._suspects = frozenset(
            death.trait
            for death, evidence in on_record.items()
            if death.trait not in self._survived_at_by_trait
            and (evidence.is_early or len(self._upstreams_by_trait[death.trait]) > 1)
        )
        search = RefusalSearch(on_record, self._survived_at_by_trait)
        self._refusals_by_trait = search.find()
        self._tried_at_by_trait = {
            trait: tried_at
            for trait, tried_at in self._tried_at_by_trait.items()
            if trait in self._refusals_by_trait
        }


def _make_evidence(report: ReportedDeath, now: float) -> Evidence:
    return Evidence(
        report.companions,
        report.silent_requests,
        now,
        report.fewest_events,
        report.most_events,
        report.is_whole,
    )


def _make_room(values_by_key: dict, key: object = None) -> None:
    """Drop the oldest entries of a dict, and that of ``key``, so that one more fits."""
    values_by_key.pop(key, None)
    while len(values_by_key) >= MAX_TRAITS:
        del values_by_key[next(iter(values_by_key))]


def _split(values: Sequence) -> list[Sequence]:
    """Return consecutive pieces, each for one message."""
    step = MAX_TRAITS_PER_MESSAGE
    return [values[start : start + step] for start in range(0, len(values), step)]
