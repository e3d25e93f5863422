"""Asks other routers for their configuration version at the start of this one."""

import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from wigeondrift.application import Component
from wigeondrift.router.membership import Membership
from wigeondrift.router.replica import Replica
from wigeondrift.systems.version_floor import ANSWER_SECONDS
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Peers that are asked. Some of those that an earlier copy of the store lists are gone.
ASKED_PEERS = 8
# Number of times that each peer is asked, as datagrams may be lost.
ASKINGS = 3
MAX_VERSION = 2**53


class VersionRequest(msgspec.Struct, tag=True):
    """Question of a starting router for the configuration version of a peer.

    Attributes
    ----------
    number : int
        Number of the question, which the answer repeats.
    """

    number: int

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return True


class VersionAnswer(msgspec.Struct, tag=True):
    """Answer to a question for the configuration version.

    Attributes
    ----------
    number : int
    version : int or None
        None if the peer has read no configuration.
    """

    number: int
    version: int | None

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return self.version is None or 0 <= self.version <= MAX_VERSION


SendRequest = Callable[[str, VersionRequest], Awaitable[None]]


class VersionCheck(Component):
    """Holds back keyed requests of a starting router whose configuration is old.

    Parameters
    ----------
    replica : Replica
    membership : Membership
    number : int
        Number before that of the first question. It is random, so that a router that
        has restarted takes no answers to its earlier questions.
    rng : random.Random
    """

    __slots__ = (
        "_logger",
        "_membership",
        "_number",
        "_peers_by_number",
        "_replica",
        "_rng",
        "_send",
    )

    def __init__(
        self, replica: Replica, membership: Membership, number: int, rng: random.Random
    ) -> None:
        self._replica = replica
        self._membership = membership
        self._number = number
        self._rng = rng
        self._peers_by_number: dict[int, str] = {}
        self._send: SendRequest | None = None
        self._logger = logging.getLogger(LOGGER_NAME)

    def connect(self, send: SendRequest) -> None:
        """Set the function that sends a question to a router."""
        self._send = send

    async def start(self, nursery: trio.Nursery) -> None:
        """Ask the peers once the first configuration has been read."""
        if self._send is not None:
            self._replica.holds_keys = True
            nursery.start_soon(self._run)

    async def _run(self) -> None:
        configuration = await self._replica.wait_for_configuration()
        floor = self._replica.version_floor
        peers = sorted(self._membership.list_peers())
        asked = set(self._rng.sample(peers, min(ASKED_PEERS, len(peers))))
        floor.begin(asked, self._replica.get_time())
        self._replica.holds_keys = False
        for _ in range(ASKINGS):
            for peer in floor.list_awaited():
                self._number += 1
                self._peers_by_number[self._number] = peer
                await self._send(peer, VersionRequest(self._number))
            await trio.sleep(ANSWER_SECONDS / ASKINGS)
        self._peers_by_number.clear()
        if floor.version is not None and floor.version > configuration.version:
            log_event(
                self._logger,
                logging.WARNING,
                Event.CONFIGURATION_BEHIND,
                version=configuration.version,
                peers_version=floor.version,
            )

    def answer_request(self, request: VersionRequest) -> VersionAnswer:
        """Answer the question of another router."""
        configuration = self._replica.configuration
        version = None if configuration is None else configuration.version
        return VersionAnswer(request.number, version)

    def apply_answer(self, answer: VersionAnswer) -> None:
        """Record the answer of another router."""
        peer = self._peers_by_number.get(answer.number)
        if peer is not None:
            self._replica.version_floor.record_answer(peer, answer.version)
