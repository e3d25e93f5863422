"""Gossip membership: known peers, their reachability, and targets of digests."""

import random
from collections.abc import Iterable

from wigeondrift.entities import Instance, Role
from wigeondrift.systems.actions import Actions
from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import Digest, PeerSample

GOSSIP_FANOUT = 3
SAMPLES_PER_DIGEST = 4
PEER_TIMEOUT_SECONDS = 1.5
SEED_TIMEOUT_SECONDS = 1.0
RECONNECT_INTERVAL_SECONDS = 5.0
LOST_PEER_EXPIRY_SECONDS = 120.0
MAX_PEERS = 2048


class Peer:
    """State of an agent on another instance.

    Attributes
    ----------
    instance_id, address, failure_domain : str
    incarnation, heartbeat : int
    entries : int
        Entry processes on its instance.
    last_digest_at : float
        Time of its last digest, in seconds.
    unanswered_since : float or None
        Time of the first digest sent to it that has no reply, in seconds. Only a reply
        shows that the connection to it works; its own digests show only that the
        reverse direction works.
    reconnected_at : float
        Time at which the connection to it was last reopened, in seconds.
    table_version, instances_revision : int
        Values that it last announced.
    leaving : bool
    lost : bool
        Whether it did not reply to a digest in time.
    """

    __slots__ = (
        "address",
        "entries",
        "failure_domain",
        "heartbeat",
        "incarnation",
        "instance_id",
        "instances_revision",
        "last_digest_at",
        "leaving",
        "lost",
        "reconnected_at",
        "table_version",
        "unanswered_since",
    )

    def __init__(
        self, instance_id: str, address: str, incarnation: int, now: float
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.failure_domain = ""
        self.incarnation = incarnation
        self.heartbeat = 0
        self.entries = 1
        self.last_digest_at = now
        self.unanswered_since: float | None = None
        self.reconnected_at = now
        self.table_version = 0
        self.instances_revision = 0
        self.leaving = False
        self.lost = False


class Membership:
    """Tracks peers and selects random ones to send digests to.

    A peer that was sent no digest yet counts as reachable. A peer that did not reply
    to a digest is lost until its next digest arrives; one lost peer is tried at each
    tick.

    Parameters
    ----------
    instance_id, address : str
        Instance and address of the agent itself.
    incarnation : int
        Increases with each start of the agent.
    seeds : sequence of str
        Addresses of some peers.
    rng : random.Random
        Random number generator.
    """

    __slots__ = (
        "_rng",
        "_seeds",
        "_seeds_reconnected_at",
        "address",
        "heartbeat",
        "incarnation",
        "instance_id",
        "peers_by_id",
    )

    def __init__(
        self,
        instance_id: str,
        address: str,
        incarnation: int,
        seeds: Iterable[str],
        rng: random.Random,
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.incarnation = incarnation
        self.heartbeat = 0
        self.peers_by_id: dict[str, Peer] = {}
        self._seeds = tuple(seed for seed in seeds if seed != address)
        self._seeds_reconnected_at: float | None = None
        self._rng = rng

    def add_listed_agents(
        self, instances: Iterable[Instance], now: float
    ) -> list[Peer]:
        """Add the listed agents that are unknown; return the added peers."""
        added = []
        for instance in instances:
            if instance.role is Role.AGENT:
                peer = self._add(instance.instance_id, instance.address, 0, now)
                if peer is not None:
                    added.append(peer)
        return added

    def apply_digest(self, digest: Digest, now: float) -> bool:
        """Apply a digest; return whether its sender was lost or unknown before."""
        if digest.instance_id == self.instance_id:
            return False
        peer = self.peers_by_id.get(digest.instance_id)
        if peer is None:
            peer = self._add(
                digest.instance_id, digest.address, digest.incarnation, now
            )
            if peer is None:
                return False
            peer.lost = True
        if (digest.incarnation, digest.heartbeat) < (peer.incarnation, peer.heartbeat):
            return False
        was_lost = peer.lost or digest.incarnation > peer.incarnation > 0
        self._update(peer, digest, now)
        for sample in digest.samples:
            self._apply_sample(sample, now)
        return was_lost

    def _update(self, peer: Peer, digest: Digest, now: float) -> None:
        peer.address = digest.address
        peer.failure_domain = digest.failure_domain
        peer.incarnation = digest.incarnation
        peer.heartbeat = digest.heartbeat
        peer.entries = digest.entries
        peer.table_version = digest.table_version
        peer.instances_revision = digest.instances_revision
        peer.leaving = digest.leaving
        peer.last_digest_at = now
        if digest.reply:
            peer.unanswered_since = None
        peer.lost = False

    def _apply_sample(self, sample: PeerSample, now: float) -> None:
        peer = self.peers_by_id.get(sample.instance_id)
        if peer is None:
            peer = self._add(
                sample.instance_id, sample.address, sample.incarnation, now
            )
        elif sample.incarnation > peer.incarnation:
            peer.address = sample.address
        if peer is not None:
            peer.entries = sample.entries

    def _add(
        self, instance_id: str, address: str, incarnation: int, now: float
    ) -> Peer | None:
        if instance_id == self.instance_id or instance_id in self.peers_by_id:
            return None
        if len(self.peers_by_id) >= MAX_PEERS:
            return None
        peer = Peer(instance_id, address, incarnation, now)
        self.peers_by_id[instance_id] = peer
        return peer

    def record_digest_sent(self, peer: Peer, now: float) -> None:
        """Record that a reply of ``peer`` is outstanding since ``now``."""
        if peer.unanswered_since is None:
            peer.unanswered_since = now

    def list_reachable(self) -> list[Peer]:
        """Return the peers that are not lost."""
        return [peer for peer in self.peers_by_id.values() if not peer.lost]

    def list_candidate_owners(self) -> tuple[str, ...]:
        """Return the instances of agents that may own limits, including this one."""
        peers = [peer for peer in self.list_reachable() if not peer.leaving]
        return (self.instance_id, *(peer.instance_id for peer in peers))

    def count_entries(self) -> int:
        """Return the number of entry processes on the reachable peers' instances."""
        return sum(peer.entries for peer in self.list_reachable())

    def choose_peers(self) -> list[Peer]:
        """Return random reachable peers as targets of a message."""
        reachable = self.list_reachable()
        return self._rng.sample(reachable, min(GOSSIP_FANOUT, len(reachable)))

    def choose_seed(self) -> str | None:
        """Return a random seed if no peer is reachable."""
        if not self._seeds or self.list_reachable():
            return None
        return self._rng.choice(self._seeds)

    def choose_targets(self, now: float) -> list[Peer]:
        """Return the targets of one tick: some reachable peers and one lost peer."""
        targets = self.choose_peers()
        for peer in targets:
            self.record_digest_sent(peer, now)
        lost = [peer for peer in self.peers_by_id.values() if peer.lost]
        if lost:
            targets.append(self._rng.choice(lost))
        return targets

    def list_seeds(self) -> tuple[str, ...]:
        """Return the seed addresses from the settings."""
        return self._seeds

    def choose_samples(self) -> tuple[PeerSample, ...]:
        """Return a random sample of reachable peers to include in a digest."""
        return tuple(
            PeerSample(peer.instance_id, peer.address, peer.incarnation, peer.entries)
            for peer in self._sample_reachable()
        )

    def _sample_reachable(self) -> list[Peer]:
        reachable = self.list_reachable()
        return self._rng.sample(reachable, min(SAMPLES_PER_DIGEST, len(reachable)))

    def check_peers(
        self, listed_ids: frozenset[str], now: float, actions: Actions
    ) -> list[Peer]:
        """Mark the peers that did not reply to a digest in time as lost.

        Returns
        -------
        list of Peer
            Peers whose connection is reopened and which should be sent a digest now.
        """
        self._reconnect_seeds(now, actions)
        reconnecting = []
        for peer in list(self.peers_by_id.values()):
            if peer.lost:
                if self._update_lost_peer(peer, listed_ids, now, actions):
                    reconnecting.append(peer)
            elif _is_overdue(peer, now):
                peer.lost = True
                peer.unanswered_since = None
                peer.reconnected_at = now
                actions.resets.append(peer.address)
                actions.notify(Event.PEER_LOST, peer.instance_id)
                reconnecting.append(peer)
        return reconnecting

    def _reconnect_seeds(self, now: float, actions: Actions) -> None:
        """Reopen the connections to the seeds while no peer is reachable."""
        if self._seeds_reconnected_at is None or self.list_reachable():
            self._seeds_reconnected_at = now
        elif now - self._seeds_reconnected_at >= SEED_TIMEOUT_SECONDS:
            self._seeds_reconnected_at = now
            actions.resets.extend(self._seeds)

    def _update_lost_peer(
        self, peer: Peer, listed_ids: frozenset[str], now: float, actions: Actions
    ) -> bool:
        silent_seconds = now - peer.last_digest_at
        if (
            peer.instance_id not in listed_ids
            and silent_seconds >= LOST_PEER_EXPIRY_SECONDS
        ):
            del self.peers_by_id[peer.instance_id]
            return False
        if now - peer.reconnected_at < RECONNECT_INTERVAL_SECONDS:
            return False
        peer.reconnected_at = now
        actions.resets.append(peer.address)
        return True


def _is_overdue(peer: Peer, now: float) -> bool:
    return (
        peer.unanswered_since is not None
        and now - peer.unanswered_since > PEER_TIMEOUT_SECONDS
    )
