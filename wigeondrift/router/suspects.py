"""Record of upstreams that died under requests, shared by all routers in the store."""

import contextlib
import logging
import math
import random
from collections.abc import Callable, Iterable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.errors import LeaseEnded, PlatformError, RevisionConflict
from wigeondrift.router.entities import Upstream
from wigeondrift.router.replica import (
    ROUTER_KEYS_PREFIX,
    ItemsVersion,
    Replica,
    get_items_version,
)
from wigeondrift.router.request_context import MAX_LOGGED_PARTS, RequestContext
from wigeondrift.store.revisions import Item, Lease, RevisionStore
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.refusals import Death
from wigeondrift.systems.suspects import (
    LISTING_SECONDS,
    SUSPECT_SECONDS,
    DeathNews,
    ReportedDeath,
    SoundNews,
    SuspectTable,
    TrialNews,
    make_digest,
)
from wigeondrift.systems.unconfirmed import UnconfirmedDeaths
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

SUSPECTS_PREFIX = ROUTER_KEYS_PREFIX + "suspects/"
# Age at which a lease is no longer used for further deaths, so that each is kept for at
# least half of the time.
MAX_LEASE_AGE_SECONDS = SUSPECT_SECONDS / 2
RETRY_SECONDS = 0.5
# Deaths that may wait to be written; an outage of a whole failure domain can put many
# requests on record at once.
MAX_PENDING = 256
# Keys that one call to the store may delete.
MAX_DELETED_KEYS = 32
# Longest time for each router before one tells the others that a suspect was survived,
# and for all of them. Each waits a random part of it, so that mostly the first
# one speaks for all that know.
VOUCH_SECONDS_PER_ROUTER = 0.001
MAX_VOUCH_SECONDS = 0.2
# Longest time for each router before one writes a death that the router which saw it
# has not written, and for all of them. Each waits a random part of it, so that mostly
# the first one writes it.
TAKE_OVER_SECONDS_PER_ROUTER = 0.2
MAX_TAKE_OVER_SECONDS = 30.0

# Time for which deaths under requests that had begun long before are gathered to be
# told together; each upstream that dies had many of them.
LATE_NEWS_SECONDS = 0.05

SuspectNews = DeathNews | SoundNews | TrialNews


class DeathReport(msgspec.Struct):
    """Stored report of an upstream's death under a request with some trait.

    Attributes
    ----------
    instance_id : str
        Router that wrote the report.
    request_id : str
        Empty if another router sent the request.
    companions : tuple of str
        Digests of the other traits that each request with the trait had.
    silent_requests : tuple of str
        Digests of those that had no event from the upstream.
    fewest_events, most_events : int
        Numbers of events that the requests had from the upstream.
    is_whole : bool
        Whether the trait is that of a whole request.
    """

    instance_id: str
    request_id: str
    companions: tuple[str, ...]
    silent_requests: tuple[str, ...] = ()
    fewest_events: int = 0
    most_events: int = 0
    is_whole: bool = False


class SuspectRegistry(Component):
    """Reports deaths of upstreams to the store and reads those that others reported.

    Each death under each trait has a key of its own. Routers that see the same death
    need not agree: what one of them writes only adds to what the others know. The keys
    expire with their lease. Subscribers may tell the other routers sooner than the
    store does.

    Parameters
    ----------
    store : RevisionStore
    replica : Replica
    directory : Directory
        Tells which upstreams were replaced.
    instance_id : str
    rng : random.Random
    """

    __slots__ = (
        "_changed",
        "_directory",
        "_due_by_death",
        "_instance_id",
        "_lease",
        "_lease_asked_at",
        "_listed_version",
        "_logger",
        "_news_added",
        "_pending_news",
        "_pending_removals",
        "_pending_requests_by_death",
        "_pending_vouches",
        "_replica",
        "_rng",
        "_router_count",
        "_store",
        "_subscribers",
        "_table",
        "_unconfirmed",
        "_vouch_added",
    )

    def __init__(
        self,
        store: RevisionStore,
        replica: Replica,
        directory: Directory,
        instance_id: str,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._replica = replica
        self._directory = directory
        self._instance_id = instance_id
        self._table = SuspectTable(instance_id)
        self._lease: Lease | None = None
        self._lease_asked_at = 0.0
        # Version of the reports that were read last.
        self._listed_version: ItemsVersion | None = None
        # Deaths to write, with the request that saw each.
        self._pending_requests_by_death: dict[Death, str] = {}
        # Deaths that others are to write, and when this router does so.
        self._due_by_death: dict[Death, float] = {}
        self._pending_removals: dict[Death, None] = {}
        # Deaths to tell the other routers together.
        self._pending_news: dict[Death, None] = {}
        self._news_added = trio.Event()
        # Suspects whose survival this router has seen, to be told to the others.
        self._pending_vouches: dict[str, None] = {}
        self._vouch_added = trio.Event()
        self._rng = rng
        self._router_count = 1
        self._subscribers: list[Callable[[SuspectNews], None]] = []
        self._changed = trio.Event()
        self._logger = logging.getLogger(LOGGER_NAME)
        self._unconfirmed = UnconfirmedDeaths()
        replica.subscribe(self._read_listed)
        replica.subscribe(self._confirm_deaths)

    def subscribe(self, callback: Callable[[SuspectNews], None]) -> None:
        """Call ``callback`` with what the other routers should know."""
        self._subscribers.append(callback)

    def _announce(self, messages: Iterable[SuspectNews]) -> None:
        for news in messages:
            for callback in self._subscribers:
                callback(news)

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other routers."""
        names = tuple(names)
        self._router_count = 1 + len(names)
        self._table.set_peers(names)

    def find_refused(self, context: RequestContext) -> str | None:
        """Return a trait for which a request must not run, or None.

        Now and then a request is tried although it has a refused trait.
        """
        now = trio.current_time()
        for trait, deaths in self._table.refresh(now).items():
            log_event(
                self._logger,
                logging.WARNING,
                Event.REQUEST_QUARANTINED,
                trait=trait,
                deaths=deaths,
                request_id=context.call.request_id,
            )
        trait = self._table.find_refused(context.traits)
        if trait is None or context.is_trial:
            return None
        if self._table.try_start_trial(trait, now):
            context.is_trial = True
            self._announce([TrialNews(trait)])
            log_event(
                self._logger,
                logging.INFO,
                Event.SUSPECT_TRIED,
                trait=trait,
                deaths=self._table.count_deaths(trait),
                request_id=context.call.request_id,
            )
            return None
        return trait

    def is_suspect(self, context: RequestContext) -> bool:
        """Whether a request may crash its upstream, by the last ``find_refused``."""
        return self._table.is_suspect(context.traits)

    def record_death(
        self, context: RequestContext, upstream: Upstream, events: int
    ) -> None:
        """Record that an upstream died under a request.

        Parameters
        ----------
        context : RequestContext
        upstream : Upstream
        events : int
            Number of events that the request had from it.
        """
        context.is_trial = False
        self._add_death(upstream, context.call.request_id, context.traits, events)

    def watch_upstreams(
        self, context: RequestContext, upstreams: tuple[Upstream, ...], events: int
    ) -> None:
        """Record a death later if the list shows that one of the upstreams has ended.

        Parameters
        ----------
        context : RequestContext
            A request that has failed.
        upstreams : tuple of Upstream
            Those that ran it, in the order of the route.
        events : int
            Number of events that the request had from them.
        """
        context.is_trial = False
        request_id = context.call.request_id
        now = trio.current_time()
        self._unconfirmed.add(upstreams, request_id, context.traits, events, now)

    def _confirm_deaths(self) -> None:
        upstreams = self._directory.upstreams_by_id
        now = trio.current_time()
        for upstream, request in self._unconfirmed.pop_confirmed(upstreams, now):
            log_event(
                self._logger,
                logging.WARNING,
                Event.UPSTREAM_REPLACED,
                request_id=request.request_id,
                upstream=upstream.upstream_id,
                born=upstream.started_at_ms,
                events=request.events,
                traits=request.traits[:MAX_LOGGED_PARTS],
            )
            self._add_death(
                upstream, request.request_id, request.traits, request.events
            )

    def _add_death(
        self,
        upstream: Upstream,
        request_id: str,
        traits: tuple[str, ...],
        events: int,
    ) -> None:
        now = trio.current_time()
        incarnation = make_digest(upstream.upstream_id, upstream.started_at_ms)
        deaths = self._table.record_death(traits, incarnation, now, events)
        early, late = self._table.split_by_age(deaths)
        self._announce(self._table.list_news(early))
        if late:
            self._pending_news.update(dict.fromkeys(late))
            self._news_added.set()
        self._vouch_for(death.trait for death in deaths)
        for death in self._table.list_unwritten(deaths):
            if len(self._pending_requests_by_death) < MAX_PENDING:
                saw_it = death.upstream == incarnation
                self._pending_requests_by_death.setdefault(
                    death, request_id if saw_it else ""
                )
                self._changed.set()

    def apply_news(self, news: DeathNews) -> None:
        """Apply the report of another router."""
        now = trio.current_time()
        self._table.add_reported(news, now)
        deaths = [Death(report.trait, report.upstream) for report in news.deaths]
        unwritten = self._table.list_unwritten(deaths)
        self._take_over_later(unwritten, now + LISTING_SECONDS)
        self._vouch_for(report.trait for report in news.deaths)

    def _take_over_later(self, deaths: Iterable[Death], after: float) -> None:
        """Write deaths some time after ``after`` unless they are listed by then."""
        longest = TAKE_OVER_SECONDS_PER_ROUTER * self._router_count
        due_at = after + self._rng.uniform(0.0, min(longest, MAX_TAKE_OVER_SECONDS))
        for death in deaths:
            if self._table.is_unlisted(death) and len(self._due_by_death) < MAX_PENDING:
                self._due_by_death.setdefault(death, due_at)
                self._changed.set()

    def _take_over(self, now: float) -> None:
        for death, due_at in list(self._due_by_death.items()):
            if not self._table.is_unlisted(death):
                del self._due_by_death[death]
            elif now >= due_at:
                del self._due_by_death[death]
                self._pending_requests_by_death.setdefault(death, "")

    def apply_trial_news(self, news: TrialNews) -> None:
        """Apply that another router tries a request."""
        self._table.record_trial(news.trait, trio.current_time())

    async def _send_late_news(self) -> None:
        while True:
            await self._news_added.wait()
            await trio.sleep(LATE_NEWS_SECONDS)
            self._news_added = trio.Event()
            _, late = self._table.split_by_age(self._pending_news)
            self._pending_news.clear()
            self._announce(self._table.list_news(late))

    def apply_sound_news(self, news: SoundNews) -> None:
        """Apply what another router tells of suspects that upstreams survived."""
        self._table.record_vouched(news.traits, trio.current_time())

    def _vouch_for(self, traits: Iterable[str]) -> None:
        unvouched = self._table.list_unvouched(traits, trio.current_time())
        if unvouched:
            self._pending_vouches.update(dict.fromkeys(unvouched))
            self._vouch_added.set()

    async def _send_vouches(self) -> None:
        while True:
            await self._vouch_added.wait()
            longest = VOUCH_SECONDS_PER_ROUTER * self._router_count
            await trio.sleep(self._rng.uniform(0.0, min(longest, MAX_VOUCH_SECONDS)))
            self._vouch_added = trio.Event()
            now = trio.current_time()
            # Others may have told it in the meantime.
            traits = self._table.list_unvouched(self._pending_vouches, now)
            self._pending_vouches.clear()
            self._table.record_vouched(traits, now)
            if traits:
                log_event(
                    self._logger, logging.INFO, Event.SUSPECTS_VOUCHED, traits=traits
                )
            self._announce(self._table.list_sound_news(traits))

    def record_completion(self, context: RequestContext) -> None:
        """Record that an upstream has run a request from its beginning to its end."""
        now = trio.current_time()
        self._forget(self._table.record_completion(context.traits, now))

    def record_progress(
        self, context: RequestContext, events: int, seconds: float
    ) -> None:
        """Record how far an upstream has run a request.

        Parameters
        ----------
        context : RequestContext
        events : int
            Number of events that the request has had from the upstream.
        seconds : float
            Time for which it has been running there.
        """
        now = trio.current_time()
        self._forget(self._table.record_progress(context.traits, events, seconds, now))

    def _forget(self, removed: Iterable[Death]) -> None:
        removed = list(removed)
        for death in removed:
            self._pending_requests_by_death.pop(death, None)
            self._pending_removals[death] = None
        if removed:
            self._changed.set()

    def _read_listed(self) -> None:
        items = [
            item
            for key, item in self._replica.router_items_by_key.items()
            if key.startswith(SUSPECTS_PREFIX)
        ]
        version = get_items_version(self._replica.change_log.era, items)
        known, self._listed_version = self._listed_version, version
        if version == known:
            return
        is_restored = known is not None and version.era != known.era
        reports = [self._decode_report(item) for item in items]
        now = trio.current_time()
        lost = self._table.set_listed(reports, now, is_restored)
        self._take_over_later(lost, now)

    def _decode_report(self, item: Item) -> ReportedDeath:
        trait, _, upstream = item.key.removeprefix(SUSPECTS_PREFIX).partition("/")
        try:
            report = msgspec.json.decode(item.value, type=DeathReport)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            log_event(
                self._logger,
                logging.WARNING,
                Event.PEER_UNREADABLE,
                subject=item.key,
                reason=str(error),
            )
            return ReportedDeath(trait, upstream, frozenset(), frozenset())
        return ReportedDeath(
            trait,
            upstream,
            frozenset(report.companions),
            frozenset(report.silent_requests),
            report.fewest_events,
            report.most_events,
            report.is_whole,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to write deaths and to tell of sound traits in ``nursery``."""
        nursery.start_soon(self._run)
        nursery.start_soon(self._send_vouches)
        nursery.start_soon(self._send_late_news)

    async def _run(self) -> None:
        while True:
            with trio.move_on_at(min(self._due_by_death.values(), default=math.inf)):
                await self._changed.wait()
            self._changed = trio.Event()
            self._take_over(trio.current_time())
            try:
                await self._remove_deaths()
                await self._write_deaths()
            except PlatformError as error:
                if isinstance(error, LeaseEnded):
                    self._lease = None
                # The replica logs outages of the store, and finds out when they end.
                await trio.sleep(RETRY_SECONDS)
                while self._replica.unavailable_since is not None:
                    await trio.sleep(RETRY_SECONDS)
                self._changed.set()

    async def _remove_deaths(self) -> None:
        while self._pending_removals:
            deaths = list(self._pending_removals)[:MAX_DELETED_KEYS]
            await self._store.delete([_make_key(death) for death in deaths])
            for death in deaths:
                self._pending_removals.pop(death, None)

    async def _write_deaths(self) -> None:
        pending = self._pending_requests_by_death
        while pending:
            if self._lease is None or self._lease_age > MAX_LEASE_AGE_SECONDS:
                self._lease_asked_at = self._replica.get_time()
                self._lease = await self._store.grant_lease(SUSPECT_SECONDS)
                continue
            # Those that may make other routers refuse a trait go first.
            death = max(pending, key=lambda one: self._table.count_deaths(one.trait))
            known = self._table.get_report(death)
            if known is None:
                pending.pop(death)
                continue
            report = DeathReport(
                self._instance_id,
                pending[death],
                tuple(sorted(known.companions)),
                tuple(sorted(known.silent_requests)),
                known.fewest_events,
                known.most_events,
                known.is_whole,
            )
            value = msgspec.json.encode(report)
            key = _make_key(death)
            listed = self._replica.router_items_by_key.get(key)
            revision = 0 if listed is None else listed.revision
            # Another router may have seen the same death.
            with contextlib.suppress(RevisionConflict):
                await self._store.put(key, value, revision, self._lease)
            pending.pop(death, None)
            self._table.confirm_written(death, trio.current_time())

    @property
    def _lease_age(self) -> float:
        return self._replica.get_time() - self._lease_asked_at


def _make_key(death: Death) -> str:
    return f"{SUSPECTS_PREFIX}{death.trait}/{death.upstream}"
