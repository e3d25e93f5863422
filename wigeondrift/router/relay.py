"""Routers that read the store for others, and those that follow them.

A relay tells with its answer how old its own confirmation is. The follower counts from
when its question was sent, plus the time for which the relay held it, so that no delay
on the way and no frozen relay makes a confirmation look younger than it is.
"""

import contextlib
import logging
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
    HELD_SHARE,
    RELAY_BATCH_SECONDS,
    STORE_MARGIN_SECONDS,
    Changes,
    ChangeSource,
    StoreSource,
    get_relay_wait,
)
from wigeondrift.store.revisions import Item
from wigeondrift.systems.relays import RelayTable
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer

# An answer of a relay in the own failure domain takes a few milliseconds.
ANSWER_MARGIN_SECONDS = 0.4
# A relay whose waits would be shorter than this saves its followers no calls.
LEAST_WAIT_SECONDS = 0.5
CHANGES_PATH = "/changes"
# Connections of a relay: one a follower, and as many while relays change.
MOST_FOLLOWERS = 512
STATUS_OK = 200
STATUS_HISTORY_LOST = 410
# Time that a relay has to reach the store again before its followers go there: a call
# that was only cut is answered at the first retry.
LOST_SECONDS = 0.35
LOST_STEP_SECONDS = 0.05
MESSAGE_HEADERS = [("Content-Type", "application/msgpack")]


class Question(msgspec.Struct):
    """What a follower asks: the changes after a revision, within ``wait`` seconds."""

    after: int
    wait: float


class Answer(msgspec.Struct):
    """What a relay answers.

    Attributes
    ----------
    items : tuple of Item
    revision : int
    held : float
        Time for which the question was held, in seconds.
    age : float
        Age of the relay's confirmation, in seconds.
    silence : float
        Time since the store last answered the relay, in seconds.
    """

    items: tuple[Item, ...]
    revision: int
    held: float
    age: float
    silence: float


class RelayedSource(ChangeSource):
    """Asks a router that reads the store, and the store if there is none.

    Parameters
    ----------
    store : StoreSource
    table : RelayTable
    get_addresses : callable
        Returns the addresses of the other routers.
    client : HttpClient
    bounds : Bounds
    get_time : callable
        Clock that counts suspension, in seconds.
    """

    __slots__ = (
        "_bounds",
        "_client",
        "_get_addresses",
        "_get_time",
        "_logger",
        "_lost_store",
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
    ) -> None:
        self._store = store
        self._table = table
        self._get_addresses = get_addresses
        self._client = client
        self._bounds = bounds
        self._get_time = get_time
        # Whether the last call to the store was not answered.
        self._lost_store = False
        self._logger = logging.getLogger(LOGGER_NAME)

    def rebound(self, bounds: Bounds) -> None:
        """Take other bounds."""
        self._bounds = bounds
        self._store.rebound(bounds)

    async def read(self, after: int) -> Changes:
        """Return the changes after a revision."""
        name = self._choose()
        if name is None:
            return await self._read_store(after)
        if self._lost_store:
            return await self._race(name, after)
        try:
            return await self._ask(name, after)
        except RelayFailed:
            return await self._read_store(after)

    def _choose(self) -> str | None:
        if get_relay_wait(self._bounds) < LEAST_WAIT_SECONDS:
            return None
        name = self._table.choose(self._get_time(), self._lost_store)
        return name if name in self._get_addresses() else None

    async def _read_store(self, after: int) -> Changes:
        self._lost_store = True
        changes = await self._store.read(after)
        self._lost_store = False
        return changes

    async def _race(self, name: str, after: int) -> Changes:
        """Ask both: neither may answer, and the bounds leave no time for a second try.

        Raises
        ------
        PlatformError
            If neither answers.
        """
        found: list[Changes] = []
        failed: list[PlatformError] = []

        async def ask(scope: trio.CancelScope) -> None:
            # What went wrong is logged where it was noticed.
            with contextlib.suppress(RelayFailed):
                found.append(await self._ask(name, after))
                scope.cancel()

        async def read(scope: trio.CancelScope) -> None:
            try:
                found.append(await self._read_store(after))
                scope.cancel()
            except PlatformError as error:
                failed.append(error)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, nursery.cancel_scope)
            nursery.start_soon(read, nursery.cancel_scope)
        if found:
            return found[0]
        raise failed[0]

    async def _ask(self, name: str, after: int) -> Changes:
        address = self._get_addresses()[name]
        try:
            changes = await self._exchange(address, after)
        except HistoryLost as error:
            # The relay is younger than what this router knows; the next answer helps.
            raise RelayFailed(str(error)) from error
        except (TransportError, RelayFailed) as error:
            self._table.note_failure(name, self._get_time())
            await self._client.close_idle(address)
            log_event(
                self._logger,
                logging.INFO,
                Event.RELAY_LOST,
                peer=name,
                reason=str(error),
                revision=after,
            )
            raise RelayFailed(str(error)) from error
        finally:
            self._store.poll_next()
        return changes

    async def _exchange(self, address: str, after: int) -> Changes:
        wait = HELD_SHARE * self._bounds.change_apply
        question = msgspec.msgpack.encode(Question(after, wait))
        asked_at = self._get_time()
        try:
            with trio.fail_after(wait + ANSWER_MARGIN_SECONDS):
                async with self._client.request(
                    address, "POST", CHANGES_PATH, list(MESSAGE_HEADERS), question
                ) as response:
                    status, body = response.status, await response.read()
        except trio.TooSlowError as error:
            raise RelayFailed("no answer in time") from error
        if status == STATUS_HISTORY_LOST:
            raise HistoryLost("the relay does not know the changes since")
        if status != STATUS_OK:
            raise RelayFailed(f"status {status}")
        try:
            answer = msgspec.msgpack.decode(body, type=Answer)
        except msgspec.MsgspecError as error:
            raise RelayFailed(f"the answer can't be read: {error}") from error
        # At this time or later the relay answered.
        told_at = asked_at + answer.held
        return Changes(
            answer.items,
            answer.revision,
            told_at - answer.age,
            told_at - answer.silence,
        )


class Relay(Component):
    """Answers followers' questions from what this router has read.

    Parameters
    ----------
    replica : Replica
    table : RelayTable
    bounds : Bounds
    host : str
    port : int
        Zero switches the relay off.
    """

    __slots__ = ("_bounds", "_host", "_news", "_port", "_replica", "_server", "_table")

    def __init__(
        self,
        replica: Replica,
        table: RelayTable,
        bounds: Bounds,
        host: str,
        port: int,
    ) -> None:
        self._replica = replica
        self._table = table
        self._bounds = bounds
        self._host = host
        self._port = port
        self._news = trio.Event()
        self._server = HttpServer(self.answer, HttpLimits(connections=MOST_FOLLOWERS))
        replica.subscribe(self._wake)

    def rebound(self, bounds: Bounds) -> None:
        """Take other bounds."""
        self._bounds = bounds

    def _wake(self) -> None:
        self._news.set()
        self._news = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen in ``nursery``."""
        if self._port:
            listeners = await trio.open_tcp_listeners(self._port, host=self._host)
            nursery.start_soon(
                trio.serve_listeners, self._server.serve_stream, listeners
            )

    async def answer(self, exchange: Exchange) -> None:
        """Answer one question when there is news, or when its wait has passed."""
        replica = self._replica
        asked_at = replica.get_time()
        try:
            question = msgspec.msgpack.decode(exchange.request.body, type=Question)
        except msgspec.MsgspecError as error:
            reason = f"the question can't be read: {error}"
            await exchange.respond(400, [], reason.encode())
            return
        with trio.move_on_after(question.wait):
            while self._is_usable and not self._has_news(question.after):
                await self._wait_for_news()
        items = replica.log.list_after(question.after)
        if not self._is_usable or items is None:
            # The follower reads the store itself.
            status = 503 if items is not None else STATUS_HISTORY_LOST
            await exchange.respond(status, [])
            return
        now = replica.get_time()
        answer = Answer(
            items,
            replica.log.revision,
            now - asked_at,
            replica.age or 0.0,
            now - replica.answered_at,
        )
        await exchange.respond(
            STATUS_OK, list(MESSAGE_HEADERS), msgspec.msgpack.encode(answer)
        )

    async def _wait_for_news(self) -> None:
        lost_at = self._replica.lost_at
        if lost_at is None:
            await self._news.wait()
        else:
            with trio.move_on_after(LOST_STEP_SECONDS):
                await self._news.wait()

    @property
    def _is_usable(self) -> bool:
        replica = self._replica
        now, age, lost_at = replica.get_time(), replica.age, replica.lost_at
        if age is None or self._table.choose(now) is not None:
            # It knows nothing yet, or follows another router itself.
            return False
        if lost_at is not None and now - lost_at >= LOST_SECONDS:
            return False
        # Older than two watches: this process stood still or its calls are lost.
        longest = 2.0 * get_relay_wait(self._bounds) + RELAY_BATCH_SECONDS
        return age < longest + STORE_MARGIN_SECONDS

    def _has_news(self, after: int) -> bool:
        items = self._replica.log.list_after(after)
        return items is None or bool(items)
