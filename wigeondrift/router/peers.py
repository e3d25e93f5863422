"""Tells the other routers what requests use of runners.

Within a failure domain each tells all. Between domains only sums go, from one speaker
to another, so that what a router sends grows with its own domain alone.

Datagrams: each message replaces the one before, so a lost one needs no repeat and a
silent peer holds nothing up.
"""

import logging
import random
import time
from collections.abc import Iterable

import msgspec
import trio

from wigeondrift.address import parse_address
from wigeondrift.application import Component
from wigeondrift.events import LOGGER_NAME, Event, log_event
from wigeondrift.router.membership import Membership, RouterEntry
from wigeondrift.systems.room import PeerUsage, RoomLedger

DATAGRAM_BYTES = 60000
SEND_SECONDS = 0.1
# Bytes a second that a router sends to its peers; the interval grows with the domain.
SEND_BYTES_PER_SECOND = 6000.0
# Sums of whole failure domains go to two speakers of each other one, in case one has
# just gone; each passes them on within its own.
SPEAKERS = 2
SUM_SECONDS = 0.25
# Marks a sum; no instance is named so.
DOMAIN_MARK = "sum:"


class PeerExchange(Component):
    """Sends own reservations and takes those of the peers.

    Parameters
    ----------
    ledger : RoomLedger
    membership : Membership
    instance_id, failure_domain : str
    host : str
    port : int
        Zero switches the exchange off.
    """

    __slots__ = (
        "_failure_domain",
        "_host",
        "_instance_id",
        "_ledger",
        "_logger",
        "_membership",
        "_port",
        "_sequence",
        "_socket",
        "_sum_due_at",
    )

    def __init__(
        self,
        ledger: RoomLedger,
        membership: Membership,
        instance_id: str,
        failure_domain: str,
        host: str,
        port: int,
    ) -> None:
        self._ledger = ledger
        self._membership = membership
        self._instance_id = instance_id
        self._failure_domain = failure_domain
        self._host = host
        self._port = port
        # Grows over restarts too, so that peers take the new process's messages.
        self._sequence = time.time_ns() // 1_000_000
        self._sum_due_at = 0.0
        self._socket: trio.socket.SocketType | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    async def start(self, nursery: trio.Nursery) -> None:
        """Exchange messages in ``nursery``."""
        if not self._port:
            return
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self._socket.bind((self._host, self._port))
        nursery.start_soon(self._receive)
        nursery.start_soon(self._send)

    async def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    async def _receive(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(DATAGRAM_BYTES)
                usage = msgspec.msgpack.decode(data, type=PeerUsage)
            except (OSError, msgspec.MsgspecError) as error:
                log_event(
                    self._logger,
                    logging.DEBUG,
                    Event.PEER_UNREADABLE,
                    reason=str(error),
                )
                await trio.sleep(SEND_SECONDS)
                continue
            if usage.instance_id == self._instance_id:
                continue
            is_news = self._ledger.apply_peer(usage, trio.current_time())
            if is_news and usage.instance_id.startswith(DOMAIN_MARK):
                await self._relay(usage)

    async def _send(self) -> None:
        was_idle = False
        while True:
            now = trio.current_time()
            self._ledger.forget_silent(now)
            self._sequence = max(self._sequence + 1, time.time_ns() // 1_000_000)
            usage = self._ledger.describe_own(self._instance_id, self._sequence)
            is_idle = not usage.usage_by_id
            sent = 0
            if not (is_idle and was_idle):
                sent = await self._send_all(usage, self._list_near().values())
            was_idle = is_idle
            sent += await self._tell_other_domains(now)
            pause = max(SEND_SECONDS, sent / SEND_BYTES_PER_SECOND)
            await trio.sleep(pause * random.uniform(0.8, 1.2))

    async def _tell_other_domains(self, now: float) -> int:
        """Tell the sum of this failure domain to the speakers of the others."""
        if now < self._sum_due_at or not self._is_speaker():
            return 0
        self._sum_due_at = now + SUM_SECONDS
        usage = self._ledger.describe_domain(
            DOMAIN_MARK + self._failure_domain, self._sequence
        )
        speakers = [
            peer
            for domain in self._list_domains()
            for peer in self._list_speakers(domain).values()
        ]
        return await self._send_all(usage, speakers)

    async def _relay(self, usage: PeerUsage) -> None:
        """Pass the sum of another failure domain on within the own one."""
        if self._is_speaker():
            await self._send_all(usage, self._list_near().values())

    async def _send_all(self, usage: PeerUsage, peers: Iterable[RouterEntry]) -> int:
        data = msgspec.msgpack.encode(usage)
        sent = 0
        for peer in peers:
            sent += await self._send_to(peer, data)
        return sent

    def _is_speaker(self) -> bool:
        names = sorted([self._instance_id, *self._list_near()])
        return self._instance_id in names[:SPEAKERS]

    def _list_speakers(self, domain: str) -> dict[str, RouterEntry]:
        members = {
            name: peer
            for name, peer in self._membership.list_peers().items()
            if peer.failure_domain == domain
        }
        return {name: members[name] for name in sorted(members)[:SPEAKERS]}

    def _list_domains(self) -> set[str]:
        peers = self._membership.list_peers().values()
        return {peer.failure_domain for peer in peers} - {self._failure_domain}

    def _list_near(self) -> dict[str, RouterEntry]:
        return {
            name: peer
            for name, peer in self._membership.list_peers().items()
            if peer.failure_domain == self._failure_domain
        }

    async def _send_to(self, peer: RouterEntry, data: bytes) -> int:
        try:
            return await self._socket.sendto(data, parse_address(peer.address))
        except OSError as error:
            log_event(
                self._logger,
                logging.DEBUG,
                Event.PEER_LOST,
                subject=peer.address,
                reason=str(error),
            )
            return 0
