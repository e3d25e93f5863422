"""Local copy of the configuration, upstreams and routers in the platform's store."""

import logging
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

import trio

from wigeondrift.application import Component
from wigeondrift.errors import (
    ConfigurationError,
    HistoryLost,
    PlatformError,
    UpstreamEntryError,
)
from wigeondrift.router.entities import Configuration, Upstream
from wigeondrift.router.sources import ChangeSource
from wigeondrift.store.revisions import Item, Position, RevisionStore
from wigeondrift.systems.changes import ChangeLog
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.freshness import Freshness
from wigeondrift.systems.version_floor import VersionFloor
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.timer import Activity

# Pause after a failed request to the store; short compared to the bound on the
# revocation of keys.
RETRY_SECONDS = 0.25
EXPIRE_SECONDS = 0.1

ROUTER_KEYS_PREFIX = "wigeondrift/"


def get_boot_time() -> float:
    """Return the time since boot in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ItemsVersion(NamedTuple):
    """Version of some of the store's items; the same if nothing has changed.

    Attributes
    ----------
    era : int
        Another one means that the store was restored.
    count, revision : int
        Number of items and their newest revision.
    """

    era: int
    count: int
    revision: int


def get_items_version(era: int, items: Collection[Item]) -> ItemsVersion:
    """Return the version of items that were read in an era of the store."""
    revision = max((item.revision for item in items), default=0)
    return ItemsVersion(era, len(items), revision)


class StoreLayout:
    """Keys and formats of the platform's store.

    Parameters
    ----------
    configuration_key, upstreams_prefix : str
    decode_configuration, decode_upstream : callable
    """

    __slots__ = (
        "configuration_key",
        "decode_configuration",
        "decode_upstream",
        "upstreams_prefix",
    )

    def __init__(
        self,
        configuration_key: str,
        upstreams_prefix: str,
        decode_configuration: Callable[[bytes], Configuration],
        decode_upstream: Callable[[str, bytes], Upstream],
    ) -> None:
        self.configuration_key = configuration_key
        self.upstreams_prefix = upstreams_prefix
        self.decode_configuration = decode_configuration
        self.decode_upstream = decode_upstream


class Replica(Component):
    """Keeps a copy of the store's contents up to date.

    Parameters
    ----------
    store : RevisionStore
    source : ChangeSource
    layout : StoreLayout
    directory : Directory
    freshness : Freshness
    get_time : callable, optional
        Clock that includes time spent suspended, in seconds.

    Attributes
    ----------
    configuration : Configuration or None
        Current configuration; None until one has been read.
    router_items_by_key : dict of str to Item
        Items written by routers.
    change_log : ChangeLog
        Recent changes, for routers that follow this one.
    answered_at : float
        Time of the store's last response, in seconds.
    unavailable_since : float or None
        Time of the first of the failed requests in a row, in seconds; None while the
        store responds.
    expiry_activity : Activity
        Whether upstreams that are no longer listed are still kept.
    version_floor : VersionFloor
        Versions that peers knew when this router started.
    holds_keys : bool
        Whether keys are not trusted yet, as the peers still have to be asked.
    """

    __slots__ = (
        "_configuration_data",
        "_configuration_read",
        "_directory",
        "_freshness",
        "_layout",
        "_logger",
        "_source",
        "_store",
        "_subscribers",
        "_unreadable_by_id",
        "answered_at",
        "expiry_activity",
        "configuration",
        "get_time",
        "holds_keys",
        "change_log",
        "unavailable_since",
        "router_items_by_key",
        "version_floor",
    )

    def __init__(
        self,
        store: RevisionStore,
        source: ChangeSource,
        layout: StoreLayout,
        directory: Directory,
        freshness: Freshness,
        get_time: Callable[[], float] = get_boot_time,
    ) -> None:
        self._store = store
        self._source = source
        self._layout = layout
        self._directory = directory
        self._freshness = freshness
        self.get_time = get_time
        self._logger = logging.getLogger(LOGGER_NAME)
        self.unavailable_since: float | None = None
        self._subscribers: list[Callable[[], None]] = []
        self._unreadable_by_id: dict[str, bytes] = {}
        self.configuration: Configuration | None = None
        self._configuration_data: bytes | None = None
        self._configuration_read = trio.Event()
        self.version_floor = VersionFloor()
        self.holds_keys = False
        self.router_items_by_key: dict[str, Item] = {}
        self.change_log = ChangeLog()
        self.answered_at = get_time()
        self.expiry_activity = Activity()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after changes and when the store becomes unavailable."""
        self._subscribers.append(callback)

    @property
    def is_current(self) -> bool:
        """Whether the configuration was confirmed recently enough to trust keys."""
        now = self.get_time()
        configuration = self.configuration
        if self.holds_keys or configuration is None:
            return False
        return self.version_floor.is_reached(
            configuration.version, now
        ) and self._freshness.is_current(now)

    async def wait_for_configuration(self) -> Configuration:
        """Return the configuration once a list of the store has been applied."""
        await self._configuration_read.wait()
        return self.configuration

    @property
    def age(self) -> float | None:
        """Age of the last confirmation in seconds."""
        return self._freshness.get_age(self.get_time())

    async def start(self, nursery: trio.Nursery) -> None:
        """Watch the store in ``nursery``."""
        nursery.start_soon(self._run)

    async def expire(self, now: float) -> None:
        """Drop upstreams that stayed unlisted after an outage; called by the timer.

        Those that a restored store still lists are used again.
        """
        for upstream_id in self._directory.expire(self.get_time()):
            log_event(
                self._logger, logging.INFO, Event.UPSTREAM_GONE, upstream=upstream_id
            )
            self._notify()
        if not self._directory.has_uncertain:
            self.expiry_activity.end()

    async def _run(self) -> None:
        needs_all = True
        read_all_at = -RETRY_SECONDS
        while True:
            try:
                if needs_all:
                    await self._read_all()
                    read_all_at = self.get_time()
                    needs_all = False
                else:
                    await self._read_changes()
            except HistoryLost:
                if needs_all or self.get_time() - read_all_at < RETRY_SECONDS:
                    await trio.sleep(RETRY_SECONDS)
                needs_all = True
            except PlatformError as error:
                self._record_unavailable(error)
                await trio.sleep(RETRY_SECONDS)

    async def _read_all(self) -> None:
        asked_at = self.get_time()
        prefix = self._layout.upstreams_prefix
        known_keys = {prefix + name for name in self._directory.upstreams_by_id}
        known_keys.update(self.router_items_by_key)
        # One call for all, as each call counts and all are needed.
        page = await self._store.list_items("")
        self._record_answer(self.get_time())
        is_first = not self.change_log.revision
        is_restored = not is_first and self._detect_restoration(page.position)
        upstream_items = [item for item in page.items if item.key.startswith(prefix)]
        router_items = [
            item for item in page.items if item.key.startswith(ROUTER_KEYS_PREFIX)
        ]
        for item in page.items:
            self._apply_configuration(item)
        decoded = [self._decode(item) for item in upstream_items]
        self._directory.replace_all(
            [upstream for upstream in decoded if upstream is not None],
            self.get_time(),
            is_restored,
        )
        if is_first or is_restored:
            self.change_log.restart(page.position)
        else:
            self._append_difference(page.items, known_keys, page.position.revision)
        self.router_items_by_key = {item.key: item for item in router_items}
        if self.configuration is not None:
            self._freshness.confirm(asked_at)
        self._notify()
        if self.configuration is not None:
            self._configuration_read.set()

    def _append_difference(
        self, listed: tuple[Item, ...], known_keys: set[str], revision: int
    ) -> None:
        """Add changes that are missing in the store's history to the change log.

        Followers then continue from revisions that the store no longer knows.
        """
        known = self.change_log.revision
        gone = known_keys - {item.key for item in listed}
        changed = [item for item in listed if item.revision > known]
        changed.sort(key=lambda item: item.revision)
        changed.extend(Item(key, None, revision) for key in sorted(gone))
        self.change_log.extend(tuple(changed), revision)

    async def _read_changes(self) -> None:
        changes = await self._source.read(self.change_log.position)
        self._record_answer(changes.answered_at)
        newest_by_key = {item.key: item for item in changes.items}
        for item in changes.items:
            # To decode versions of the configuration that are superseded takes long.
            if item.key == self._layout.configuration_key:
                item = newest_by_key[item.key]
            self._apply(item)
        self.change_log.extend(changes.items, changes.position.revision)
        if self.configuration is not None:
            self._freshness.confirm(changes.confirmed_at)
        if changes.items:
            self._notify()
        if self.configuration is not None:
            self._configuration_read.set()

    def _apply(self, item: Item) -> None:
        layout = self._layout
        if item.key == layout.configuration_key:
            self._apply_configuration(item)
        elif item.key.startswith(layout.upstreams_prefix):
            self._apply_upstream(item)
        elif item.key.startswith(ROUTER_KEYS_PREFIX):
            if item.value is None:
                self.router_items_by_key.pop(item.key, None)
            else:
                self.router_items_by_key[item.key] = item

    def _apply_configuration(self, item: Item) -> None:
        if item.key != self._layout.configuration_key or item.value is None:
            return
        # A version that a restored store has lost may be written with other contents.
        if item.value == self._configuration_data:
            return
        try:
            configuration = self._layout.decode_configuration(item.value)
        except ConfigurationError as error:
            log_event(
                self._logger,
                logging.ERROR,
                Event.CONFIGURATION_REFUSED,
                revision=item.revision,
                reason=str(error),
            )
            return
        known = self.configuration
        if known is not None and configuration.version < known.version:
            return
        self.configuration = configuration
        self._configuration_data = item.value
        log_event(
            self._logger,
            logging.INFO,
            Event.CONFIGURATION_APPLIED,
            version=configuration.version,
            revision=item.revision,
            routes=sum(map(len, configuration.routes_by_host.values())),
            keys=len(configuration.teams_by_key),
        )

    def _apply_upstream(self, item: Item) -> None:
        upstream_id = item.key.removeprefix(self._layout.upstreams_prefix)
        upstream = None if item.value is None else self._decode(item)
        now = self.get_time()
        if upstream is None:
            self._directory.remove(upstream_id, now)
        else:
            self._directory.put(upstream)
        log_event(
            self._logger,
            logging.INFO,
            Event.UPSTREAM_CHANGED,
            upstream=upstream_id,
            revision=item.revision,
            listed=upstream is not None,
            leaving=upstream is not None and upstream.is_leaving,
            layers=None
            if upstream is None
            else f"{upstream.first_layer}-{upstream.end_layer}",
            settling=self._directory.is_recovering(now),
        )

    def _decode(self, item: Item) -> Upstream | None:
        upstream_id = item.key.removeprefix(self._layout.upstreams_prefix)
        try:
            upstream = self._layout.decode_upstream(upstream_id, item.value or b"")
        except UpstreamEntryError as error:
            if self._unreadable_by_id.get(upstream_id) != item.value:
                self._unreadable_by_id[upstream_id] = item.value or b""
                log_event(
                    self._logger,
                    logging.WARNING,
                    Event.UPSTREAM_UNREADABLE,
                    upstream=upstream_id,
                    revision=item.revision,
                    reason=str(error),
                )
            return None
        self._unreadable_by_id.pop(upstream_id, None)
        return upstream

    def _record_answer(self, answered_at: float) -> None:
        self.answered_at = max(self.answered_at, answered_at)
        self._directory.record_answer(self.answered_at)
        if self.unavailable_since is not None:
            self.unavailable_since = None
            log_event(
                self._logger,
                logging.INFO,
                Event.PLATFORM_BACK,
                age=self.age,
                settling=self._directory.is_recovering(self.answered_at),
            )

    def _detect_restoration(self, position: Position) -> bool:
        """Return and log whether a list of all items is of another history."""
        known = self.change_log.position
        if position.era == known.era and position.revision >= known.revision:
            return False
        log_event(
            self._logger,
            logging.WARNING,
            Event.PLATFORM_RESTORED,
            era=position.era,
            revision=position.revision,
            known_era=known.era,
            known_revision=known.revision,
            version=self.configuration and self.configuration.version,
        )
        return True

    def _record_unavailable(self, error: PlatformError) -> None:
        self._directory.record_failure()
        if self.unavailable_since is None:
            self.unavailable_since = self.get_time()
            log_event(
                self._logger,
                logging.WARNING,
                Event.PLATFORM_LOST,
                reason=str(error),
                age=self.age,
            )
            self._notify()

    def _notify(self) -> None:
        if self._directory.has_uncertain:
            self.expiry_activity.begin()
        for callback in self._subscribers:
            callback()
