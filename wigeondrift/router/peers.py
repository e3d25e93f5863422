"""Exchange of messages between routers.

The messages are datagrams. Those on the runner capacity that a router uses replace the
one before, so a lost one needs no retransmission. News of deaths of upstreams only tell
earlier what the store holds, and news of limits are repeated. Who needs the answer to a
request asks again. A peer that doesn't respond delays nothing here.
"""

import logging
import random
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.router.membership import Membership
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.systems.cache_usage import PeerUsage
from wigeondrift.systems.exchange import Member, Message, UsageExchange
from wigeondrift.systems.faults import FaultNews
from wigeondrift.systems.limits import (
    LimitNews,
    PermitAnswer,
    PermitRequest,
    PresenceAnswer,
    PresenceRequest,
)
from wigeondrift.systems.outcomes import OutcomeNews
from wigeondrift.systems.repeat_pool import (
    RepeatAnswer,
    RepeatRequest,
    ShareAnswer,
    ShareRequest,
)
from wigeondrift.systems.suspects import DeathNews, SoundNews, TrialNews
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event
from wigeondrift.wire.address import parse_address

News = DeathNews | SoundNews | TrialNews | LimitNews | FaultNews | OutcomeNews
PeerRequest = PermitRequest | PresenceRequest | RepeatRequest | ShareRequest
PeerAnswer = PermitAnswer | PresenceAnswer | RepeatAnswer | ShareAnswer
TaggedMessage = News | PeerRequest | PeerAnswer

MAX_DATAGRAM_BYTES = 60000
SEND_SECONDS = 0.1
# Longest interval between two messages of a router that uses runners; several of them
# fit in the time after which its peers ignore its usage.
REPEAT_SECONDS = 0.9
# Mean rates at which a router, and a collector of a large failure domain, send to their
# peers. Together they average 12 KB/s, the bound on control traffic.
SEND_BYTES_PER_SECOND = 6000.0
COLLECTOR_BYTES_PER_SECOND = 60000.0
# Pause between two pieces of news, for each peer that they are sent to, and its bound.
NEWS_PAUSE_SECONDS_PER_PEER = 0.0002
MAX_NEWS_PAUSE_SECONDS = 0.02
# Pieces of news that may wait to be sent.
MAX_PENDING_NEWS = 64


class PeerExchange(Component):
    """Sends this router's usage and news to its peers and receives theirs.

    Parameters
    ----------
    selector : UpstreamSelector
    membership : Membership
    exchange : UsageExchange
    instance_id : str
    host : str
    port : int
        Zero disables the exchange.
    """

    __slots__ = (
        "_changed",
        "_selector",
        "_exchange",
        "_host",
        "_instance_id",
        "_logger",
        "_membership",
        "_names_by_address",
        "_news_added",
        "_pending_news",
        "_port",
        "_sequence",
        "_responders_by_kind",
        "_socket",
        "_source_subscribers_by_kind",
        "_subscribers_by_kind",
    )

    def __init__(
        self,
        selector: UpstreamSelector,
        membership: Membership,
        exchange: UsageExchange,
        instance_id: str,
        host: str,
        port: int,
    ) -> None:
        self._selector = selector
        self._membership = membership
        self._exchange = exchange
        self._instance_id = instance_id
        self._host = host
        self._port = port
        self._names_by_address: dict[tuple[str, int], str] = {}
        self._subscribers_by_kind: dict[
            type, list[Callable[[News | PeerAnswer], None]]
        ] = {}
        self._source_subscribers_by_kind: dict[
            type, list[Callable[[News, str], None]]
        ] = {}
        self._responders_by_kind: dict[type, Callable[[PeerRequest], PeerAnswer]] = {}
        self._pending_news: deque[News] = deque(maxlen=MAX_PENDING_NEWS)
        self._news_added = trio.Event()
        self._sequence = 0
        self._changed = trio.Event()
        selector.ledger.subscribe(self._notify_sender)
        self._socket: trio.socket.SocketType | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    def _notify_sender(self) -> None:
        self._changed.set()

    def subscribe(
        self, kind: type, callback: Callable[[News | PeerAnswer], None]
    ) -> None:
        """Call ``callback`` with the news or answers of one type that peers send."""
        self._subscribers_by_kind.setdefault(kind, []).append(callback)

    def subscribe_with_source(
        self, kind: type, callback: Callable[[News, str], None]
    ) -> None:
        """Call ``callback`` with news of one type and the name of the peer."""
        self._source_subscribers_by_kind.setdefault(kind, []).append(callback)

    def add_responder(
        self, kind: type, respond: Callable[[PeerRequest], PeerAnswer]
    ) -> None:
        """Answer peers' requests of one type with what ``respond`` returns."""
        self._responders_by_kind[kind] = respond

    async def send(self, name: str, request: PeerRequest) -> None:
        """Send a request to one peer, if it is known."""
        peer = self._membership.list_peers().get(name)
        if peer is not None and self._socket is not None:
            await self._send_to(peer.address, msgspec.msgpack.encode(request))

    def announce(self, news: News) -> None:
        """Send news to all peers."""
        self._pending_news.append(news)
        self._news_added.set()

    def update_peers(self) -> None:
        """Update the list of peers; called when it may have changed."""
        peers = self._membership.list_peers()
        self._selector.peer_count = len(peers)
        self._names_by_address = {
            parse_address(peer.address): name for name, peer in peers.items()
        }
        self._exchange.set_peers(
            {
                name: Member(peer.failure_domain, peer.link_mbps)
                for name, peer in peers.items()
            }
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to exchange messages in ``nursery``."""
        if not self._port:
            return
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._socket.bind((self._host, self._port))
        nursery.start_soon(self._receive)
        nursery.start_soon(self._send)
        nursery.start_soon(self._send_news)

    async def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    async def _receive(self) -> None:
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log_event(
                    self._logger,
                    logging.DEBUG,
                    Event.PEER_UNREADABLE,
                    reason=str(error),
                )
                await trio.sleep(SEND_SECONDS)
                continue
            message = self._decode(data, sender)
            if isinstance(message, PeerRequest):
                await self._answer(message, sender)
            elif isinstance(message, TaggedMessage):
                for callback in self._subscribers_by_kind.get(type(message), ()):
                    callback(message)
                name = self._names_by_address.get(sender[:2], "")
                for callback in self._source_subscribers_by_kind.get(type(message), ()):
                    callback(message, name)
            elif message is not None:
                if self._exchange.is_collector:
                    self._changed.set()
                await self._send_all(
                    self._exchange.handle_usage(message, trio.current_time())
                )

    async def _answer(self, request: PeerRequest, sender: tuple[str, int]) -> None:
        respond = self._responders_by_kind.get(type(request))
        if respond is not None:
            data = msgspec.msgpack.encode(respond(request))
            await self._send_to(f"{sender[0]}:{sender[1]}", data)

    def _decode(
        self, data: bytes, sender: tuple[str, int]
    ) -> PeerUsage | TaggedMessage | None:
        """Return a peer's message; None if it is no message of a known peer."""
        name = self._names_by_address.get(sender[:2])
        try:
            message = _decode_message(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            reason = str(error)
        else:
            # Sums have names of their own.
            is_own_name = (
                isinstance(message, TaggedMessage)
                or ":" in message.instance_id
                or message.instance_id == name
            )
            if name is not None and is_own_name and message.is_plausible:
                return message
            reason = "not sent by this peer, or out of bounds"
        log_event(
            self._logger,
            logging.DEBUG,
            Event.PEER_UNREADABLE,
            peer=name or "",
            subject=f"{sender[0]}:{sender[1]}",
            reason=reason,
        )
        return None

    async def _send(self) -> None:
        while True:
            with trio.move_on_after(REPEAT_SECONDS):
                await self._changed.wait()
            self._changed = trio.Event()
            now = trio.current_time()
            self._selector.ledger.expire_peers(now)
            self._sequence += 1
            sent = await self._send_all(
                self._exchange.list_messages(self._sequence, now)
            )
            rate = SEND_BYTES_PER_SECOND
            if self._exchange.is_hub:
                rate = COLLECTOR_BYTES_PER_SECOND
            pause = max(SEND_SECONDS, sent / rate)
            await trio.sleep(pause * random.uniform(0.8, 1.2))

    async def _send_news(self) -> None:
        while True:
            await self._news_added.wait()
            self._news_added = trio.Event()
            while self._pending_news:
                data = msgspec.msgpack.encode(self._pending_news.popleft())
                peers = list(self._membership.list_peers().values())
                for peer in peers:
                    await self._send_to(peer.address, data)
                pause = NEWS_PAUSE_SECONDS_PER_PEER * len(peers)
                await trio.sleep(min(pause, MAX_NEWS_PAUSE_SECONDS))

    async def _send_all(self, messages: Iterable[Message]) -> int:
        sent = 0
        peers = self._membership.list_peers()
        for names, usage in messages:
            data = msgspec.msgpack.encode(usage)
            for name in names:
                if name in peers:
                    sent += await self._send_to(peers[name].address, data)
        return sent

    async def _send_to(self, address: str, data: bytes) -> int:
        try:
            return await self._socket.sendto(data, parse_address(address))
        except OSError as error:
            log_event(
                self._logger,
                logging.DEBUG,
                Event.PEER_LOST,
                subject=address,
                reason=str(error),
            )
            return 0


def _decode_message(data: bytes) -> PeerUsage | TaggedMessage:
    """Return the message in a datagram; usage is an array, all others are a map."""
    try:
        return msgspec.msgpack.decode(data, type=PeerUsage)
    except msgspec.ValidationError:
        return msgspec.msgpack.decode(data, type=TaggedMessage)
