"""Decisions of an agent: what it applies, asks, tells its peers and its entries."""

import random
from collections.abc import Iterable

import msgspec

from wigeondrift.entities import Instance, LoadReport
from wigeondrift.events import Event
from wigeondrift.messages import (
    Digest,
    Hello,
    InstancesNews,
    LeaveNews,
    LoadNews,
    Message,
    SliceNews,
    Status,
    StatusRequest,
    SuspectNews,
    TableNews,
    Want,
)
from wigeondrift.platform import InstanceList, Versioned
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.deaths import DeathLog
from wigeondrift.systems.leaving import LeaveMarks, Mark
from wigeondrift.systems.membership import Membership, Peer
from wigeondrift.systems.replica import Replica, Verdict

ENTRY_TIMEOUT_SECONDS = 3.0
ENTRIES = 64
PLATFORM_TABLE = "platform/table"
PLATFORM_LIST = "platform/instances"


class EntryRecord:
    """Entry process that the agent serves.

    Attributes
    ----------
    hello : Hello
        Its newest greeting.
    heard_at : float
        Time of that greeting, in seconds.
    """

    __slots__ = ("heard_at", "hello")

    def __init__(self, hello: Hello, now: float) -> None:
        self.hello = hello
        self.heard_at = now


class AgentControl:
    """All decisions of one agent.

    Parameters
    ----------
    instance_id, failure_domain, address : str
        Of the agent.
    incarnation : int
        Grows with each start of the agent.
    seeds : iterable of str
        Addresses of some peers.
    rng : random.Random
        Source of the random choices.
    """

    __slots__ = (
        "_failure_domain",
        "_handlers_by_type",
        "deaths",
        "entries_by_id",
        "leaving",
        "marks",
        "membership",
        "platform_reached",
        "replica",
    )

    def __init__(
        self,
        instance_id: str,
        failure_domain: str,
        address: str,
        incarnation: int,
        seeds: Iterable[str],
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self.membership = Membership(instance_id, address, incarnation, seeds, rng)
        self.replica = Replica()
        self.marks = LeaveMarks()
        self.deaths = DeathLog()
        self.entries_by_id: dict[str, EntryRecord] = {}
        self.platform_reached: bool | None = None
        self.leaving = False
        self._handlers_by_type = {
            Digest: self._take_digest,
            Want: self._take_want,
            TableNews: self._take_table,
            InstancesNews: self._take_instances,
            LeaveNews: self._take_leave,
            SuspectNews: self._take_suspects,
            Hello: self._take_hello,
            StatusRequest: self._take_status_request,
        }

    @property
    def instance_id(self) -> str:
        """Name of the agent's instance."""
        return self.membership.instance_id

    @property
    def address(self) -> str:
        """Where the agent takes messages."""
        return self.membership.address

    def start(self, now: float) -> Actions:
        """Ask the seeds what they have; the platform is asked by the shell."""
        actions = Actions()
        self.replica.startup.ask(PLATFORM_TABLE, now)
        self.replica.startup.ask(PLATFORM_LIST, now)
        for address in self.membership.list_seeds():
            self.replica.startup.ask(address, now)
            actions.send(address, self._build_question())
        return actions

    def tick(self, now: float) -> Actions:
        """Send the periodic messages and look for what has timed out."""
        actions = Actions()
        if self.replica.settle(now):
            self._announce_table(now, actions)
        self.marks.expire(now)
        self.deaths.expire(now)
        self._drop_entries(now)
        listed_ids = frozenset(i.instance_id for i in self.replica.instances)
        self.membership.check(listed_ids, now, actions)
        self.membership.heartbeat += 1
        self._send_digests(now, actions)
        self._greet_entries(actions)
        return actions

    def receive(self, message: Message, now: float) -> Actions:
        """Take one message of a peer, an entry or an operator's tool."""
        actions = Actions()
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(message, now, actions)
        return actions

    def note_table(self, stored: Versioned, now: float) -> Actions:
        """Take what the platform says of the table."""
        actions = Actions()
        self._note_platform(True, actions)
        self.replica.note_announced(PLATFORM_TABLE, 0)
        if stored.revision:
            self._offer_table(stored.revision, stored.value, now, actions)
        else:
            self._settle(now, actions)
        return actions

    def note_instances(self, listed: InstanceList, now: float) -> Actions:
        """Take what the platform says of the instances."""
        actions = Actions()
        self._note_platform(True, actions)
        self._offer_instances(listed.revision, listed.instances, now, actions)
        self.replica.note_announced(PLATFORM_LIST, 0)
        self._settle(now, actions)
        return actions

    def note_platform_failed(self, source: str, now: float) -> Actions:
        """Note that a call to the platform failed."""
        actions = Actions()
        self._note_platform(False, actions)
        self.replica.note_announced(source, 0)
        self._settle(now, actions)
        return actions

    def note_loads(self, reports: tuple[LoadReport, ...]) -> Actions:
        """Pass load reports on to the entries."""
        actions = Actions()
        if reports:
            self._send_entries(LoadNews(reports), actions)
        return actions

    def build_status(self) -> dict[str, object]:
        """Return the document that answers a status request."""
        peers = self.membership.peers_by_id.values()
        return {
            "instance": self.instance_id,
            "failure_domain": self._failure_domain,
            "ready": self.replica.is_ready,
            "table_version": self.replica.table_version,
            "refused_version": self.replica.refused_version,
            "instances_revision": self.replica.instances_revision,
            "platform_reached": bool(self.platform_reached),
            "leaving": [name for name, _ in self.marks.list_marks()],
            "peers": [_describe_peer(peer) for peer in peers],
            "entries": [
                {
                    "entry_id": record.hello.entry_id,
                    "address": record.hello.address,
                    "table_version": record.hello.table_version,
                    "stopping": record.hello.stopping,
                }
                for record in self.entries_by_id.values()
            ],
            "quarantined": self._list_quarantined(),
        }

    def _list_quarantined(self) -> list[str]:
        news = self.deaths.get_all()
        return list(news.quarantined) if news is not None else []

    def _note_platform(self, reached: bool, actions: Actions) -> None:
        if reached != self.platform_reached:
            was_known = self.platform_reached is not None
            self.platform_reached = reached
            if not reached:
                actions.notify(Event.PLATFORM_LOST, self.instance_id)
            elif was_known:
                actions.notify(Event.PLATFORM_BACK, self.instance_id)

    # Table and instance list

    def _offer_table(
        self, version: int, data: bytes, now: float, actions: Actions
    ) -> None:
        verdict = self.replica.offer_table(version, data, now)
        if verdict is Verdict.APPLIED:
            self._announce_table(now, actions)
        elif verdict is Verdict.REFUSED:
            actions.notify(
                Event.TABLE_REFUSED, self.instance_id, version, self.replica.refusal
            )

    def _settle(self, now: float, actions: Actions) -> None:
        if self.replica.settle(now):
            self._announce_table(now, actions)

    def _announce_table(self, now: float, actions: Actions) -> None:
        replica = self.replica
        actions.notify(Event.TABLE_APPLIED, self.instance_id, replica.table_version)
        self._send_entries(TableNews(replica.table_version, replica.data), actions)
        self._send_digests(now, actions)

    def _offer_instances(
        self,
        revision: int,
        instances: tuple[Instance, ...],
        now: float,
        actions: Actions,
    ) -> None:
        if not self.replica.offer_instances(revision, instances):
            return
        self._add_marks(self.marks.note_list(instances, now), actions)
        for peer in self.membership.note_list(instances, now):
            if not self.replica.is_ready:
                self.replica.startup.ask(peer.instance_id, now)
                actions.send(peer.address, self._build_question())
        self._send_entries(self._build_instances(), actions)

    def _build_instances(self) -> InstancesNews:
        replica = self.replica
        instances = self.marks.apply(replica.instances)
        return InstancesNews(replica.instances_revision, instances)

    def _take_table(self, news: TableNews, now: float, actions: Actions) -> None:
        self._offer_table(news.version, news.table, now, actions)

    def _take_instances(
        self, news: InstancesNews, now: float, actions: Actions
    ) -> None:
        self._offer_instances(news.revision, news.instances, now, actions)

    # Marks and deaths

    def _add_marks(self, added: tuple[Mark, ...], actions: Actions) -> None:
        if not added:
            return
        for instance_id, incarnation in added:
            actions.notify(Event.INSTANCE_LEAVING, instance_id, incarnation)
        self._spread(LeaveNews(added), actions)

    def _take_leave(self, news: LeaveNews, now: float, actions: Actions) -> None:
        self._add_marks(self.marks.add(news.leaving, now), actions)

    def _take_suspects(self, news: SuspectNews, now: float, actions: Actions) -> None:
        added = self.deaths.merge(news, now)
        if added is None:
            return
        for fingerprint in added.quarantined:
            actions.notify(Event.REQUEST_QUARANTINED, fingerprint)
        self._spread(added, actions)

    def _spread(self, message: Message, actions: Actions) -> None:
        self._send_entries(message, actions)
        for peer in self.membership.choose_peers():
            actions.send(peer.address, message)

    def _send_marks(self, address: str, actions: Actions) -> None:
        marks = self.marks.list_marks()
        if marks:
            actions.send(address, LeaveNews(marks))
        deaths = self.deaths.get_all()
        if deaths is not None:
            actions.send(address, deaths)

    def _get_marks_digest(self) -> int:
        return self.marks.digest ^ self.deaths.get_digest()

    # Peers

    def _send_digests(self, now: float, actions: Actions) -> None:
        digest = self._build_digest(self.membership.heartbeat)
        for peer in self.membership.choose_targets(now):
            actions.send(peer.address, digest)
        seed = self.membership.choose_seed()
        if seed is not None:
            actions.send(seed, digest)

    def _build_question(self) -> Digest:
        return self._build_digest(0)

    def _build_digest(self, heartbeat: int, reply: bool = False) -> Digest:
        membership = self.membership
        return Digest(
            membership.instance_id,
            membership.incarnation,
            membership.address,
            self._failure_domain,
            heartbeat,
            self.replica.newest_version,
            self.replica.instances_revision,
            self.leaving,
            () if reply else membership.choose_samples(),
            self._count_entries(),
            self._get_marks_digest(),
            reply,
        )

    def _take_digest(self, digest: Digest, now: float, actions: Actions) -> None:
        if digest.instance_id == self.instance_id:
            return
        replica = self.replica
        if not digest.reply:
            heartbeat = self.membership.heartbeat
            reply = self._build_digest(heartbeat, reply=True)
            actions.send(digest.address, reply)
        if digest.heartbeat > 0 or digest.reply:
            if self.membership.note_digest(digest, now):
                actions.notify(Event.PEER_BACK, digest.instance_id)
                self._send_marks(digest.address, actions)
            elif digest.marks != self._get_marks_digest():
                self._send_marks(digest.address, actions)
        replica.note_announced(digest.instance_id, digest.table_version)
        replica.note_announced(digest.address, digest.table_version)
        self._pull(
            digest.address,
            digest.table_version,
            digest.instances_revision,
            now,
            actions,
        )
        self._settle(now, actions)

    def _pull(
        self,
        address: str,
        table_version: int,
        instances_revision: int,
        now: float,
        actions: Actions,
    ) -> None:
        replica = self.replica
        wants_table = replica.start_table_pull(table_version, now)
        wants_list = not self.platform_reached and replica.start_list_pull(
            instances_revision, now
        )
        if not wants_table and not wants_list:
            return
        actions.send(
            address,
            Want(
                self.address,
                replica.newest_version if wants_table else table_version,
                replica.instances_revision if wants_list else instances_revision,
            ),
        )

    def _take_want(self, want: Want, now: float, actions: Actions) -> None:
        replica = self.replica
        if replica.table_version > want.table_version:
            news = TableNews(replica.table_version, replica.data)
            actions.send(want.address, news)
        if replica.instances_revision > want.instances_revision:
            actions.send(want.address, self._build_instances())

    # Entries

    def _count_entries(self) -> int:
        records = self.entries_by_id.values()
        return sum(not record.hello.stopping for record in records)

    def _take_hello(self, hello: Hello, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(hello.entry_id)
        if record is not None and record.hello.incarnation > hello.incarnation:
            return
        if record is None and len(self.entries_by_id) >= ENTRIES:
            return
        self.entries_by_id[hello.entry_id] = EntryRecord(hello, now)
        replica = self.replica
        if hello.table_version < replica.table_version:
            actions.send(hello.address, TableNews(replica.table_version, replica.data))
        if hello.instances_revision < replica.instances_revision:
            actions.send(hello.address, self._build_instances())
        if hello.marks != self._get_marks_digest():
            self._send_marks(hello.address, actions)
        replica.note_announced(hello.entry_id, hello.table_version)
        self._pull(
            hello.address, hello.table_version, hello.instances_revision, now, actions
        )
        self._settle(now, actions)

    def _drop_entries(self, now: float) -> None:
        for entry_id, record in list(self.entries_by_id.items()):
            if now - record.heard_at > ENTRY_TIMEOUT_SECONDS:
                del self.entries_by_id[entry_id]

    def _send_entries(self, message: Message, actions: Actions) -> None:
        for record in self.entries_by_id.values():
            actions.send(record.hello.address, message)

    def _greet_entries(self, actions: Actions) -> None:
        entries = self._count_entries()
        total = max(1, entries + self.membership.count_entries())
        news = SliceNews(self.instance_id, 0, (), max(1, entries), total)
        self._send_entries(news, actions)

    # Operators

    def _take_status_request(
        self, request: StatusRequest, now: float, actions: Actions
    ) -> None:
        document = msgspec.json.encode(self.build_status())
        actions.send(request.address, Status(self.instance_id, document))


def _describe_peer(peer: Peer) -> dict[str, object]:
    return {
        "instance": peer.instance_id,
        "address": peer.address,
        "failure_domain": peer.failure_domain,
        "table_version": peer.table_version,
        "lost": peer.lost,
        "leaving": peer.leaving,
    }
