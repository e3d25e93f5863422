"""Registration of the router in the store, under a lease, and the list of its peers."""

import logging
from collections.abc import Callable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.errors import LeaseEnded, PlatformError, RevisionConflict
from wigeondrift.router.replica import (
    ROUTER_KEYS_PREFIX,
    ItemsVersion,
    Replica,
    get_items_version,
)
from wigeondrift.store.revisions import Lease, RevisionStore
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.wire.address import parse_address

ROUTER_ENTRIES_PREFIX = ROUTER_KEYS_PREFIX + "routers/"
# Long enough for a registration to outlive short outages. A router that died is
# removed after this time.
LEASE_SECONDS = 10.0
RENEW_SECONDS = 4.0
RETRY_SECONDS = 1.0
# Time for which routers that a restored store has lost are kept. Each of them registers
# again at once, and the others read that within a pause or two.
REREGISTRATION_SECONDS = 4.0


class RouterEntry(msgspec.Struct):
    """A registered router.

    Attributes
    ----------
    address : str
        ``host:port`` at which it receives the messages of its peers.
    failure_domain : str
    link_mbps : float
        Bandwidth of its link, in Mbit/s.
    """

    address: str
    failure_domain: str
    link_mbps: float = 0.0


class Membership(Component):
    """Maintains this router's entry and reads those of its peers.

    Parameters
    ----------
    store : RevisionStore
    replica : Replica
    instance_id : str
    entry : RouterEntry
    """

    __slots__ = (
        "_entry",
        "_instance_id",
        "_kept_until",
        "_lease",
        "_logger",
        "_peers_by_id",
        "_replica",
        "_restored",
        "_store",
        "_subscribers",
        "_version",
    )

    def __init__(
        self,
        store: RevisionStore,
        replica: Replica,
        instance_id: str,
        entry: RouterEntry,
    ) -> None:
        self._store = store
        self._replica = replica
        self._instance_id = instance_id
        self._entry = entry
        self._lease: Lease | None = None
        self._peers_by_id: dict[str, RouterEntry] = {}
        # Version of the list that was read last.
        self._version: ItemsVersion | None = None
        # Until when routers are kept that a restored store has lost.
        self._kept_until: float | None = None
        self._restored = trio.Event()
        self._subscribers: list[Callable[[], None]] = []
        self._logger = logging.getLogger(LOGGER_NAME)
        replica.subscribe(self._read_peers)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the list of routers has changed."""
        self._subscribers.append(callback)

    def list_peers(self) -> dict[str, RouterEntry]:
        """Return the other routers by instance id."""
        return self._peers_by_id

    def list_addresses(self) -> dict[str, str]:
        """Return the addresses of the other routers by instance id."""
        return {name: peer.address for name, peer in self._peers_by_id.items()}

    def list_links(self) -> dict[str, float]:
        """Return the links of this failure domain by instance id, in Mbit/s."""
        links = {
            name: peer.link_mbps
            for name, peer in self._peers_by_id.items()
            if peer.failure_domain == self._entry.failure_domain
        }
        links[self._instance_id] = self._entry.link_mbps
        return links

    def _read_peers(self) -> None:
        items = self._replica.router_items_by_key.values()
        version = get_items_version(self._replica.change_log.era, items)
        if version == self._version:
            return
        if self._version is not None and version.era != self._version.era:
            self._kept_until = self._replica.get_time() + REREGISTRATION_SECONDS
            self._restored.set()
        self._version = version
        peers = self._list_listed_peers()
        if self._kept_until is not None:
            peers = {**self._peers_by_id, **peers}
        self._set_peers(peers)

    def _list_listed_peers(self) -> dict[str, RouterEntry]:
        peers = {}
        for key, item in self._replica.router_items_by_key.items():
            name = key.removeprefix(ROUTER_ENTRIES_PREFIX)
            if name == key or name == self._instance_id or item.value is None:
                continue
            try:
                entry = msgspec.json.decode(item.value, type=RouterEntry)
                parse_address(entry.address)
                peers[name] = entry
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                log_event(
                    self._logger,
                    logging.WARNING,
                    Event.PEER_UNREADABLE,
                    peer=name,
                    reason=str(error),
                )
        return peers

    def _set_peers(self, peers: dict[str, RouterEntry]) -> None:
        self._peers_by_id = peers
        for callback in self._subscribers:
            callback()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the registration in ``nursery``."""
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Remove this router's entry by ending its lease."""
        if self._lease is not None:
            try:
                await self._store.end_lease(self._lease)
            except PlatformError as error:
                # The entry expires with its lease.
                log_event(
                    self._logger,
                    logging.INFO,
                    Event.LEASE_NOT_ENDED,
                    reason=str(error),
                )

    async def _run(self) -> None:
        key = ROUTER_ENTRIES_PREFIX + self._instance_id
        value = msgspec.json.encode(self._entry)
        while True:
            try:
                self._restored = trio.Event()
                self._drop_lost_peers()
                if self._lease is None:
                    lease = await self._store.grant_lease(LEASE_SECONDS)
                    await self._register(key, value, lease)
                    self._lease = lease
                else:
                    await self._store.renew_lease(self._lease)
                with trio.move_on_after(RENEW_SECONDS):
                    await self._restored.wait()
            except LeaseEnded:
                self._lease = None
            except PlatformError:
                # The replica logs outages of the store.
                await trio.sleep(RETRY_SECONDS)

    def _drop_lost_peers(self) -> None:
        """Drop routers that did not register again after a restoration."""
        if self._kept_until is None or self._replica.get_time() < self._kept_until:
            return
        self._kept_until = None
        self._set_peers(self._list_listed_peers())

    async def _register(self, key: str, value: bytes, lease: Lease) -> None:
        known = self._replica.router_items_by_key.get(key)
        expected = known.revision if known is not None else 0
        for _ in range(2):
            try:
                await self._store.put(key, value, expected, lease)
                return
            except RevisionConflict as conflict:
                # The entry of this instance's previous incarnation is still there.
                expected = conflict.found
