"""Tells the routers of the failure domain what requests use of runners.

Datagrams: each message replaces the one before, so a lost one needs no repeat and a
silent peer holds nothing up.
"""

import logging
import random
import time

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
            if usage.instance_id != self._instance_id:
                self._ledger.apply_peer(usage, trio.current_time())

    async def _send(self) -> None:
        was_idle = False
        while True:
            self._ledger.forget_silent(trio.current_time())
            near = self._list_near()
            self._sequence += 1
            usage = self._ledger.describe_own(self._instance_id, self._sequence)
            sent = 0
            is_idle = not usage.usage_by_id
            if not (is_idle and was_idle):
                data = msgspec.msgpack.encode(usage)
                for peer in near:
                    sent += await self._send_to(peer, data)
            was_idle = is_idle
            pause = max(SEND_SECONDS, sent / SEND_BYTES_PER_SECOND)
            await trio.sleep(pause * random.uniform(0.8, 1.2))

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

    def _list_near(self) -> list[RouterEntry]:
        peers = self._membership.list_peers().values()
        return [p for p in peers if p.failure_domain == self._failure_domain]
