"""Quarantine of poison requests, which make the upstreams that run them die.

A request is a suspect once an upstream died while running it. Its next run is a trial:
no other suspect may share its upstreams until it has produced some tokens. After two
deaths, at least one of them not shared with another such suspect, it counts as poison
and is refused.
"""

from typing import NamedTuple

import xxhash

from wigeondrift.table.tables import Tables
from wigeondrift.wire.messages import SuspectNews

SUSPECT_SECONDS = 300.0
QUARANTINE_SECONDS = 600.0
GOSSIP_SETTLE_SECONDS = 0.5
TRIAL_INTERVAL_SECONDS = 1.0
CORRELATED_DEATHS_SECONDS = 0.5
GOSSIP_JITTER_SECONDS = 1.0
REFUSAL_SPREAD_SECONDS = 1.0
MIN_PROBATION_TOKENS = 8
MAX_PROBATION_TOKENS = 64
DEATHS_TO_QUARANTINE = 2
MAX_FACTS = 4096
FACT_SEPARATOR = "@"


def make_fingerprint(team: str, service: str, prompt: str, parameters: str) -> str:
    """Return the hash that identifies repeats of a request."""
    identity = "\0".join((team, service, parameters, prompt))
    return xxhash.xxh3_128_hexdigest(identity.encode())


class Run:
    """One request running on upstreams.

    Attributes
    ----------
    fingerprint : str
    epochs_by_id : dict of str to int
        Number of observed deaths of each upstream at the start of the run.
    tokens : int
        Tokens that the run has produced.
    has_started : bool
        Whether the first upstream has accepted the request.
    is_exclusive : bool
        Whether the run is a trial, whose upstreams no other suspect may share.
    """

    __slots__ = (
        "epochs_by_id",
        "fingerprint",
        "has_started",
        "is_exclusive",
        "tokens",
    )

    def __init__(self, fingerprint: str, epochs_by_id: dict[str, int]) -> None:
        self.fingerprint = fingerprint
        self.epochs_by_id = epochs_by_id
        self.tokens = 0
        self.has_started = False
        self.is_exclusive = False


class _Death(NamedTuple):
    """A death that is attributed to a fingerprint.

    Attributes
    ----------
    age : float
        Seconds since the death; only differences of ages are meaningful.
    failure_domain : str
    is_own : bool
        Whether this instance observed it, and not only others reported it.
    is_widespread : bool
        Whether another upstream died at that time for a cause that is no request.
    """

    age: float
    failure_domain: str
    is_own: bool
    is_widespread: bool


def _get_correlation_seconds(is_own: bool) -> float:
    """Return the time within which two deaths may have a common cause, in seconds.

    Messages of other instances arrive with a jitter, so the time is longer for the
    deaths that they report.
    """
    if is_own:
        return CORRELATED_DEATHS_SECONDS
    return CORRELATED_DEATHS_SECONDS + GOSSIP_JITTER_SECONDS


def _is_correlated(earlier: _Death, later: _Death) -> bool:
    """Return whether two deaths of a fingerprint may have a common cause."""
    if earlier.age - later.age >= _get_correlation_seconds(
        earlier.is_own and later.is_own
    ):
        return False
    if earlier.is_widespread and later.is_widespread:
        return True
    return earlier.failure_domain == later.failure_domain


class FactSet:
    """Grow-only set of facts, each active for a fixed time.

    A fact that is no longer active is kept for the same time again, so that a process
    that still has it cannot reactivate it by gossip.

    Parameters
    ----------
    seconds : float
        Time for which a fact is active.
    """

    __slots__ = ("_added_at_by_fact", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._added_at_by_fact: dict[tuple[str, str], float] = {}

    def add(self, name: str, detail: str, now: float) -> bool:
        """Add a fact; return false if it was already in the set."""
        fact = (name, detail)
        if fact in self._added_at_by_fact:
            return False
        while len(self._added_at_by_fact) >= MAX_FACTS:
            del self._added_at_by_fact[next(iter(self._added_at_by_fact))]
        self._added_at_by_fact[fact] = now
        return True

    def is_active(self, name: str, detail: str, now: float) -> bool:
        """Return whether a fact is in the set and has not expired."""
        added_at = self._added_at_by_fact.get((name, detail))
        return added_at is not None and now - added_at <= self._seconds

    def get_age(self, name: str, detail: str, now: float) -> float:
        """Return the time since a fact was added, in seconds."""
        return now - self._added_at_by_fact[name, detail]

    def list_active(self, now: float) -> list[tuple[str, str]]:
        """Return the active facts."""
        return [
            fact
            for fact, added_at in self._added_at_by_fact.items()
            if now - added_at <= self._seconds
        ]

    def has(self, name: str, detail: str) -> bool:
        """Return whether a fact is in the set, also if it is no longer active."""
        return (name, detail) in self._added_at_by_fact

    def list_all(self) -> list[tuple[str, str]]:
        """Return all facts, also those that are no longer active."""
        return list(self._added_at_by_fact)

    def expire(self, now: float) -> None:
        """Drop facts that have been inactive for ``seconds``."""
        for fact, added_at in list(self._added_at_by_fact.items()):
            if now - added_at > 2 * self._seconds:
                del self._added_at_by_fact[fact]


class Quarantine:
    """Decides which requests are suspects and which are refused.

    Instances exchange only grow-only sets of facts, so messages may arrive late, twice
    and in any order. There are three kinds of facts: a fingerprint was running on an
    upstream when it died; that death is cleared because the request later ran to its
    end; a fingerprint is refused.

    Parameters
    ----------
    tables : Tables
        Its ``quarantined`` is kept up to date.
    """

    __slots__ = (
        "_cleared",
        "_deaths",
        "_epochs_by_id",
        "_observed_deaths",
        "_probation_by_fingerprint",
        "_refused",
        "_runs_by_upstream",
        "_tables",
        "_upstreams_by_fingerprint",
    )

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._deaths = FactSet(SUSPECT_SECONDS)
        self._cleared = FactSet(SUSPECT_SECONDS)
        self._refused = FactSet(QUARANTINE_SECONDS)
        self._upstreams_by_fingerprint: dict[str, set[str]] = {}
        self._runs_by_upstream: dict[str, dict[Run, None]] = {}
        self._epochs_by_id: dict[str, int] = {}
        self._probation_by_fingerprint: dict[str, int] = {}
        self._observed_deaths: set[str] = set()

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether requests with this fingerprint are refused."""
        return fingerprint in self._tables.quarantined

    def is_spreading(self, fingerprint: str, now: float) -> bool:
        """Return whether other instances may not have received a recent refusal yet.

        The answer to the caller is delayed until then; otherwise the caller's retry
        could run on another instance.
        """
        age = self._refused.get_age(fingerprint, "", now)
        return age < REFUSAL_SPREAD_SECONDS

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether an upstream died while it ran this fingerprint."""
        return fingerprint in self._upstreams_by_fingerprint

    def must_wait(self, fingerprint: str, now: float) -> bool:
        """Return whether a suspect has to wait before its next trial.

        It waits while another run of the same fingerprint is on trial. After a second
        death it also waits until the messages of other instances about that death have
        arrived. Suspects that share deaths are tried one at a time.
        """
        upstreams = self._upstreams_by_fingerprint.get(fingerprint)
        if upstreams is None:
            return False
        if self._count_deaths(fingerprint) >= DEATHS_TO_QUARANTINE:
            wait = (
                GOSSIP_SETTLE_SECONDS
                + TRIAL_INTERVAL_SECONDS * self._count_earlier_trials(fingerprint)
            )
            ages = [self._deaths.get_age(fingerprint, u, now) for u in upstreams]
            if min(ages) < wait or self._is_poison(fingerprint, now):
                return True
        return any(
            run.is_exclusive and run.fingerprint == fingerprint
            for runs in self._runs_by_upstream.values()
            for run in runs
        )

    def list_blocked(self, fingerprint: str) -> set[str]:
        """Return the upstreams that a run should not use.

        A suspect must not use the upstreams that died while running it, nor those where
        another suspect is on trial. A request that is not a suspect avoids the latter
        where possible.
        """
        blocked = {
            instance_id
            for instance_id, runs in self._runs_by_upstream.items()
            if any(run.is_exclusive for run in runs)
        }
        for upstream in self._upstreams_by_fingerprint.get(fingerprint, ()):
            blocked.add(upstream.rpartition("/")[0])
        return blocked

    def list_crashed(self) -> set[str]:
        """Return upstreams whose latest known incarnation died running a suspect."""
        instances_by_id = self._tables.instances_by_id
        crashed = set()
        for upstreams in self._upstreams_by_fingerprint.values():
            for upstream in upstreams:
                name, _, incarnation = upstream.rpartition("/")
                known = instances_by_id.get(name)
                if known is not None and str(known.incarnation) == incarnation:
                    crashed.add(name)
        return crashed

    def list_failing_domains(self, fingerprint: str, now: float) -> set[str]:
        """Return the failure domains where an upstream just died while running it.

        A trial there would prove nothing, because the whole domain may be failing.
        """
        return {
            self._get_domain(upstream)
            for upstream in self._upstreams_by_fingerprint.get(fingerprint, ())
            if self._deaths.get_age(fingerprint, upstream, now)
            < CORRELATED_DEATHS_SECONDS
        }

    def begin_run(self, fingerprint: str, instance_ids: tuple[str, ...]) -> Run:
        """Register a request that starts on upstreams."""
        epochs = {name: self._epochs_by_id.get(name, 0) for name in instance_ids}
        run = Run(fingerprint, epochs)
        run.is_exclusive = self.is_suspect(fingerprint)
        for name in instance_ids:
            self._runs_by_upstream.setdefault(name, {})[run] = None
        return run

    def end_run(self, run: Run) -> None:
        """Remove a run that has ended."""
        for name in run.epochs_by_id:
            runs = self._runs_by_upstream.get(name)
            if runs is not None:
                runs.pop(run, None)
                if not runs:
                    del self._runs_by_upstream[name]

    def record_tokens(self, run: Run, tokens: int) -> None:
        """Count tokens; a suspect past its probation may share upstreams again."""
        run.tokens += tokens
        if run.is_exclusive:
            probation = self._probation_by_fingerprint.get(run.fingerprint, 0)
            run.is_exclusive = run.tokens < max(probation, MIN_PROBATION_TOKENS)

    def record_death(
        self, run: Run, instance_id: str, now: float
    ) -> SuspectNews | None:
        """Attribute an upstream's death to the runs on it; return the new facts.

        Runs that have not started are left out, except ``run``.

        Parameters
        ----------
        run : Run
            Run that observed the death. The same death is ignored when other runs
            observe it later.
        instance_id : str
            Instance ID of the upstream.
        now : float
            Current time of the process's clock, in seconds.
        """
        epoch = self._epochs_by_id.get(instance_id, 0)
        if run.epochs_by_id.get(instance_id) != epoch:
            return None
        self._epochs_by_id[instance_id] = epoch + 1
        instance = self._tables.instances_by_id.get(instance_id)
        incarnation = instance.incarnation if instance is not None else 0
        upstream = f"{instance_id}/{incarnation}"
        self._observed_deaths.add(upstream)
        affected_runs = [
            other
            for other in self._runs_by_upstream.get(instance_id, ())
            if other.epochs_by_id[instance_id] == epoch
            and (other.has_started or other is run)
        ]
        new_fingerprints = set()
        for other in affected_runs:
            self._extend_probation(other)
            if self._deaths.add(other.fingerprint, upstream, now):
                new_fingerprints.add(other.fingerprint)
        self._rebuild_state(now)
        if not new_fingerprints:
            return None
        return SuspectNews(
            tuple((name, (upstream,)) for name in sorted(new_fingerprints)), (), ()
        )

    def record_success(self, fingerprint: str, now: float) -> SuspectNews | None:
        """Clear the deaths of a request that ran to its end; return the new facts."""
        self._probation_by_fingerprint.pop(fingerprint, None)
        upstreams = self._upstreams_by_fingerprint.get(fingerprint)
        if not upstreams:
            return None
        cleared = tuple(
            f"{fingerprint}{FACT_SEPARATOR}{upstream}" for upstream in sorted(upstreams)
        )
        news = SuspectNews((), cleared, ())
        self.merge(news, now)
        return news

    def merge(self, news: SuspectNews, now: float) -> None:
        """Merge the facts that another instance sent."""
        for fingerprint, upstreams in news.deaths:
            for upstream in upstreams:
                self._deaths.add(fingerprint, upstream, now)
        for fact in news.cleared:
            fingerprint, _, upstream = fact.partition(FACT_SEPARATOR)
            self._cleared.add(fingerprint, upstream, now)
        for fingerprint in news.quarantined:
            self._refused.add(fingerprint, "", now)
        self._rebuild_state(now)

    def tick(self, now: float) -> SuspectNews | None:
        """Refuse the fingerprints found to be poison; return the new facts."""
        for facts in (self._deaths, self._cleared, self._refused):
            facts.expire(now)
        self._rebuild_state(now)
        poison = tuple(
            fingerprint
            for fingerprint in self._upstreams_by_fingerprint
            if self._is_poison(fingerprint, now)
            and self._refused.add(fingerprint, "", now)
        )
        if not poison:
            return None
        self._rebuild_state(now)
        return SuspectNews((), (), poison)

    def _is_death_settled(self, fingerprint: str, upstream: str, now: float) -> bool:
        return self._deaths.get_age(fingerprint, upstream, now) >= GOSSIP_SETTLE_SECONDS

    def _is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a fingerprint has two deaths, not all of them shared.

        A death is shared if another fingerprint with two deaths has it, too. Two
        suspects that instances sent to the same upstreams at the same time share both
        deaths; neither is refused for these.
        """
        upstreams = self._upstreams_by_fingerprint[fingerprint]
        if self._count_deaths(fingerprint) < DEATHS_TO_QUARANTINE:
            return False
        if not all(self._is_death_settled(fingerprint, one, now) for one in upstreams):
            return False
        shared: set[str] = set()
        for other, others in self._upstreams_by_fingerprint.items():
            if other == fingerprint or not upstreams & others:
                continue
            if self._count_deaths(other) >= DEATHS_TO_QUARANTINE:
                shared |= others
        return bool(upstreams - shared)

    def _count_deaths(self, fingerprint: str) -> int:
        """Count the deaths of a fingerprint, correlated ones as one.

        Deaths in one failure domain at about the same time have a common cause that is
        not the request. The same holds across domains if an upstream that did not run
        the request died at that time as well.
        """
        upstreams = self._upstreams_by_fingerprint[fingerprint]
        external_ages = self._list_external_death_ages(upstreams)
        deaths = sorted(
            (
                self._make_death(fingerprint, upstream, external_ages)
                for upstream in upstreams
            ),
            key=lambda death: (-death.age, death.failure_domain),
        )
        return sum(
            not any(_is_correlated(earlier, death) for earlier in deaths[:index])
            for index, death in enumerate(deaths)
        )

    def _make_death(
        self, fingerprint: str, upstream: str, external_ages: list[float]
    ) -> _Death:
        age = self._deaths.get_age(fingerprint, upstream, 0.0)
        is_own = upstream in self._observed_deaths
        is_widespread = any(
            abs(age - external_age) < _get_correlation_seconds(is_own)
            for external_age in external_ages
        )
        return _Death(age, self._get_domain(upstream), is_own, is_widespread)

    def _list_external_death_ages(self, upstreams: set[str]) -> list[float]:
        """Return the ages of deaths that no request caused, other than ``upstreams``.

        No request caused a death if all that ran on the upstream completed elsewhere.
        """
        ages_by_upstream: dict[str, float] = {}
        uncleared = set(upstreams)
        for fingerprint, upstream in self._deaths.list_all():
            age = self._deaths.get_age(fingerprint, upstream, 0.0)
            ages_by_upstream[upstream] = age
            if not self._cleared.has(fingerprint, upstream):
                uncleared.add(upstream)
        return [
            age
            for upstream, age in ages_by_upstream.items()
            if upstream not in uncleared
        ]

    def _get_domain(self, upstream: str) -> str:
        """Return the failure domain of an upstream, or its name if unknown."""
        instance = self._tables.instances_by_id.get(upstream.rpartition("/")[0])
        return instance.failure_domain if instance is not None else upstream

    def _count_earlier_trials(self, fingerprint: str) -> int:
        """Count the suspects that share its deaths and have their trial before it."""
        upstreams = self._upstreams_by_fingerprint[fingerprint]
        sort_key = (len(upstreams), fingerprint)
        return sum(
            (len(others), other) < sort_key
            for other, others in self._upstreams_by_fingerprint.items()
            if upstreams & others
            and not self.is_refused(other)
            and self._count_deaths(other) >= DEATHS_TO_QUARANTINE
        )

    def _extend_probation(self, run: Run) -> None:
        wanted = min(run.tokens + MIN_PROBATION_TOKENS, MAX_PROBATION_TOKENS)
        known = self._probation_by_fingerprint.get(run.fingerprint, 0)
        self._probation_by_fingerprint[run.fingerprint] = max(known, wanted)

    def _rebuild_state(self, now: float) -> None:
        by_fingerprint: dict[str, set[str]] = {}
        for fingerprint, upstream in self._deaths.list_active(now):
            if not self._cleared.is_active(fingerprint, upstream, now):
                by_fingerprint.setdefault(fingerprint, set()).add(upstream)
        self._upstreams_by_fingerprint = by_fingerprint
        known = {one for upstreams in by_fingerprint.values() for one in upstreams}
        self._observed_deaths &= known
        for fingerprint in list(self._probation_by_fingerprint):
            if fingerprint not in by_fingerprint:
                del self._probation_by_fingerprint[fingerprint]
        refused = {fingerprint for fingerprint, _ in self._refused.list_active(now)}
        self._tables.quarantined.clear()
        self._tables.quarantined.update(refused)
