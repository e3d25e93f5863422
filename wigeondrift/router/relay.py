"""Relays, which read the store for other routers, and the followers of a relay.

A relay's reply carries the age of its own confirmation. The follower counts it from the
time when it sent its query plus the time for which the relay held the query, so that
neither network delays nor a frozen relay make a confirmation look more recent.
"""

import contextlib
import logging
import math
import random
from collections.abc import Callable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.errors import (
    HistoryLost,
    PlatformError,
    RelayFailed,
    TransportError,
)
from wigeondrift.router.replica import Replica
from wigeondrift.router.settings import Bounds
from wigeondrift.router.sources import (
    RELAY_HOLD_SHARE,
    STORE_MARGIN_SECONDS,
    Changes,
    ChangeSource,
    StoreSource,
    get_relay_batch,
    get_relay_wait,
)
from wigeondrift.store.revisions import Item, Position
from wigeondrift.systems.relays import RelayTable
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.wire.http_client import HttpClient, Pace
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer

# Time allowed for a relay's reply beyond the requested wait. A reply within the same
# failure domain takes a few milliseconds.
REPLY_MARGIN_SECONDS = 0.4
# A long reply may take longer. A relay sends it to its followers at the same time.
REPLY_PACE = Pace(silence=REPLY_MARGIN_SECONDS, bytes_per_second=250_000.0)
# Shortest wait of a relay's watch for which relays are used; with a shorter one they
# would save no calls to the store.
MIN_WATCH_SECONDS = 0.5
# Longest time for which a follower may ask a relay to hold a query.
MAX_HOLD_SECONDS = 60.0
# Interval at which a follower tries the store itself while it is unavailable, and the
# random factors on it.
STORE_RETRY_SECONDS = 1.0
STORE_RETRY_JITTER = (0.5, 1.5)
# Pause before a follower queries a relay again in an outage.
RELAY_RETRY_SECONDS = 0.25
CHANGES_PATH = "/changes"
# One connection per follower, and as many again while the relays change.
MAX_FOLLOWER_CONNECTIONS = 512
# A query is a position and a time.
MAX_QUERY_BYTES = 4096
STATUS_OK = 200
STATUS_HISTORY_LOST = 410
# Time that a relay has to reach the store again before it refuses its followers'
# queries. A request that only lost its connection succeeds at the first retry.
STORE_OUTAGE_GRACE_SECONDS = 0.35
STORE_OUTAGE_POLL_SECONDS = 0.05
MESSAGE_HEADERS = [("Content-Type", "application/msgpack")]


class ChangesQuery(msgspec.Struct):
    """A follower's query for changes.

    Attributes
    ----------
    after : Position
        Position after which changes are wanted.
    wait : float
        Time for which the relay may hold the query without changes, in seconds.
    """

    after: Position
    wait: float


class ChangesReply(msgspec.Struct):
    """A relay's reply with changes.

    Attributes
    ----------
    items : tuple of Item
    position : Position
        Position up to which the changes are complete.
    held : float
        Time for which the query was held, in seconds.
    age : float
        Age of the relay's confirmation, in seconds.
    silence : float
        Time since the store's last response to the relay, in seconds.
    """

    items: tuple[Item, ...]
    position: Position
    held: float
    age: float
    silence: float


class RelayedSource(ChangeSource):
    """Reads changes from a relay, or from the store if there is no relay.

    Parameters
    ----------
    store : StoreSource
    table : RelayTable
    get_addresses : callable
        Returns the addresses of the other routers.
    client : HttpClient
    bounds : Bounds
    get_time : callable
        Clock that includes time spent suspended, in seconds.
    rng : random.Random
    """

    __slots__ = (
        "_bounds",
        "_client",
        "_rng",
        "_store_retry_at",
        "_get_addresses",
        "_get_time",
        "_logger",
        "_is_store_unavailable",
        "_store",
        "_table",
    )

    def __init__(
        self,
        store: StoreSource,
        table: RelayTable,
        get_addresses: Callable[[], dict[str, str]],
        client: HttpClient,
        bounds: Bounds,
        get_time: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._store_retry_at = 0.0
        self._store = store
        self._table = table
        self._get_addresses = get_addresses
        self._client = client
        self._bounds = bounds
        self._get_time = get_time
        # True until a read of the store succeeds, also if it is cancelled.
        self._is_store_unavailable = False
        self._logger = logging.getLogger(LOGGER_NAME)

    def update_bounds(self, bounds: Bounds) -> None:
        """Set other bounds, also for the reads from the store."""
        self._bounds = bounds
        self._store.update_bounds(bounds)

    async def read(self, after: Position) -> Changes:
        """Return the changes after a position."""
        name = self._choose_relay()
        if name is None:
            return await self._read_store(after)
        if self._is_store_unavailable:
            return await self._read_in_outage(after)
        try:
            return await self._query_relay(name, after)
        except RelayFailed:
            return await self._read_store(after)

    def _choose_relay(self) -> str | None:
        if get_relay_wait(self._bounds) < MIN_WATCH_SECONDS:
            return None
        name = self._table.choose(self._get_time(), self._is_store_unavailable)
        return name if name in self._get_addresses() else None

    async def _read_store(self, after: Position) -> Changes:
        self._is_store_unavailable = True
        changes = await self._store.read(after)
        self._is_store_unavailable = False
        return changes

    async def _read_in_outage(self, after: Position) -> Changes:
        """Query relays and, less often, the store; return the first reply.

        The relays retry the store often, and many followers would overload it. Either
        side may fail to respond, and the bounds leave no time to try one by one.

        Raises
        ------
        PlatformError
            If the store does not respond, and no relay did so until then.
        """
        results: list[Changes] = []
        errors: list[PlatformError] = []

        async def query_relays(scope: trio.CancelScope) -> None:
            while True:
                name = self._choose_relay()
                # _query_relay logs the failure.
                with contextlib.suppress(RelayFailed):
                    if name is not None:
                        results.append(await self._query_relay(name, after))
                        scope.cancel()
                await trio.sleep(RELAY_RETRY_SECONDS)

        async def query_store(scope: trio.CancelScope) -> None:
            await trio.sleep(max(0.0, self._store_retry_at - self._get_time()))
            pause = STORE_RETRY_SECONDS * self._rng.uniform(*STORE_RETRY_JITTER)
            self._store_retry_at = self._get_time() + pause
            try:
                results.append(await self._read_store(after))
            except PlatformError as error:
                errors.append(error)
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(query_relays, nursery.cancel_scope)
            nursery.start_soon(query_store, nursery.cancel_scope)
        if results:
            return results[0]
        raise errors[0]

    async def _query_relay(self, name: str, after: Position) -> Changes:
        address = self._get_addresses()[name]
        try:
            changes = await self._request_changes(address, after)
        except HistoryLost as error:
            # The relay's change log starts after the position that this router knows,
            # or one of both has not learned yet that the store was restored. This
            # router reads the store once, and then queries the relay again.
            raise RelayFailed(str(error)) from error
        except (TransportError, RelayFailed) as error:
            self._table.record_failure(name, self._get_time())
            await self._client.close_idle(address)
            log_event(
                self._logger,
                logging.INFO,
                Event.RELAY_LOST,
                peer=name,
                reason=str(error),
                revision=after.revision,
            )
            raise RelayFailed(str(error)) from error
        finally:
            self._store.poll_next()
        return changes

    async def _request_changes(self, address: str, after: Position) -> Changes:
        wait = RELAY_HOLD_SHARE * self._bounds.change_apply
        query = msgspec.msgpack.encode(ChangesQuery(after, wait))
        asked_at = self._get_time()
        try:
            with trio.fail_after(wait + REPLY_MARGIN_SECONDS) as scope:
                async with self._client.request(
                    address, "POST", CHANGES_PATH, list(MESSAGE_HEADERS), query
                ) as response:
                    scope.deadline = math.inf
                    status = response.status
                    body = await response.read_steadily(REPLY_PACE)
        except trio.TooSlowError as error:
            raise RelayFailed("no answer in time") from error
        if status == STATUS_HISTORY_LOST:
            raise HistoryLost("the relay does not know the changes since")
        if status != STATUS_OK:
            raise RelayFailed(f"status {status}")
        try:
            answer = msgspec.msgpack.decode(body, type=ChangesReply)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise RelayFailed(f"the answer can't be read: {error}") from error
        if answer.position.era != after.era:
            raise RelayFailed("the answer is from another era of the store")
        # The relay can't have replied before this time.
        replied_at = asked_at + answer.held
        return Changes(
            answer.items,
            answer.position,
            replied_at - answer.age,
            replied_at - answer.silence,
        )


class Relay(Component):
    """Answers the queries of followers from what this router has read.

    Parameters
    ----------
    replica : Replica
    source : StoreSource
        Tells whether the store is overdue with an answer.
    table : RelayTable
    bounds : Bounds
    host : str
    port : int
        Zero disables the relay.
    """

    __slots__ = (
        "_bounds",
        "_host",
        "_changed",
        "_port",
        "_replica",
        "_server",
        "_source",
        "_table",
    )

    def __init__(
        self,
        replica: Replica,
        source: StoreSource,
        table: RelayTable,
        bounds: Bounds,
        host: str,
        port: int,
    ) -> None:
        self._replica = replica
        self._source = source
        self._table = table
        self._bounds = bounds
        self._host = host
        self._port = port
        self._changed = trio.Event()
        self._server = HttpServer(
            self.answer,
            HttpLimits(
                body_bytes=MAX_QUERY_BYTES, connections=MAX_FOLLOWER_CONNECTIONS
            ),
        )
        replica.subscribe(self._notify_followers)

    def update_bounds(self, bounds: Bounds) -> None:
        """Set other bounds."""
        self._bounds = bounds

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen in ``nursery``."""
        if self._port:
            listeners = await trio.open_tcp_listeners(self._port, host=self._host)
            nursery.start_soon(
                trio.serve_listeners, self._server.serve_stream, listeners
            )

    async def answer(self, exchange: Exchange) -> None:
        """Answer one query once there are changes or its wait is over."""
        replica = self._replica
        asked_at = replica.get_time()
        try:
            query = msgspec.msgpack.decode(exchange.request.body, type=ChangesQuery)
            if not 0.0 <= query.wait <= MAX_HOLD_SECONDS:
                raise ValueError("the wait is out of bounds")
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            reason = f"the question can't be read: {error}"
            await exchange.respond(400, [], reason.encode())
            return
        with trio.move_on_after(query.wait):
            while self._is_usable and not self._has_changes(query.after):
                await self._wait_for_change()
        items = replica.change_log.list_after(query.after)
        if not self._is_usable or items is None:
            # The follower then reads the store itself.
            status = 503 if items is not None else STATUS_HISTORY_LOST
            await exchange.respond(status, [])
            return
        now = replica.get_time()
        answer = ChangesReply(
            items,
            replica.change_log.position,
            now - asked_at,
            replica.age or 0.0,
            now - replica.answered_at,
        )
        await exchange.respond(
            STATUS_OK, list(MESSAGE_HEADERS), msgspec.msgpack.encode(answer)
        )

    async def _wait_for_change(self) -> None:
        wait = self._source.due_at - self._replica.get_time()
        if self._replica.unavailable_since is not None:
            wait = STORE_OUTAGE_POLL_SECONDS
        with trio.move_on_after(max(0.0, wait)):
            await self._changed.wait()

    @property
    def _is_usable(self) -> bool:
        replica = self._replica
        now, age, unavailable_since = (
            replica.get_time(),
            replica.age,
            replica.unavailable_since,
        )
        if age is None or self._table.choose(now) is not None:
            # This router has read nothing yet, or follows another relay.
            return False
        if now >= self._source.due_at:
            return False
        if (
            unavailable_since is not None
            and now - unavailable_since >= STORE_OUTAGE_GRACE_SECONDS
        ):
            return False
        # If no confirmation came within two watches, this process was suspended or its
        # requests are lost.
        longest = 2.0 * get_relay_wait(self._bounds) + get_relay_batch(self._bounds)
        return age < longest + STORE_MARGIN_SECONDS

    def _has_changes(self, after: Position) -> bool:
        items = self._replica.change_log.list_after(after)
        return items is None or bool(items)
