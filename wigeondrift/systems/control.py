"""Decisions of an agent: what it applies, asks, tells its peers and its entries."""

import math
import random
from collections.abc import Iterable

import msgspec

from wigeondrift.entities import Instance, LoadReport, Role
from wigeondrift.store.contract import InstanceList, VersionedValue
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.deaths import DeathLog
from wigeondrift.systems.leaving import LeaveMarks, Mark
from wigeondrift.systems.membership import Membership, Peer
from wigeondrift.systems.replica import Replica, Verdict
from wigeondrift.systems.shares import (
    ROWS,
    ShareOwner,
    choose_owner,
    choose_report_seconds,
)
from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import (
    Demand,
    DemandNews,
    Digest,
    Hello,
    InstancesNews,
    LeaveNews,
    LoadNews,
    Message,
    RowsNews,
    SliceNews,
    SuspectNews,
    TableNews,
    Want,
)

ENTRY_TIMEOUT_SECONDS = 3.0
ENTRIES = 64
REPORT_SLACK = 0.9
NO_USE_SECONDS = 1.0
NO_ENTRY_SECONDS = 10.0
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
    reported_at : float
        Time at which its demand was last passed on, in seconds.
    """

    __slots__ = ("heard_at", "hello", "reported_at")

    def __init__(self, hello: Hello, now: float, reported_at: float) -> None:
        self.hello = hello
        self.heard_at = now
        self.reported_at = reported_at


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
    configured_instances : int
        Instances that the limits are shared among when none can be reached.
    """

    __slots__ = (
        "_entry_seen_at",
        "_expected_ids",
        "_failure_domain",
        "_handlers_by_type",
        "_listed_ids",
        "_owners",
        "_owners_by_row",
        "_sequence",
        "deaths",
        "entries_by_id",
        "leaving",
        "marks",
        "membership",
        "platform_reached",
        "replica",
        "shares",
    )

    def __init__(
        self,
        instance_id: str,
        failure_domain: str,
        address: str,
        incarnation: int,
        seeds: Iterable[str],
        rng: random.Random,
        configured_instances: int = 1,
    ) -> None:
        self._failure_domain = failure_domain
        self.membership = Membership(instance_id, address, incarnation, seeds, rng)
        self.replica = Replica()
        self.marks = LeaveMarks()
        self.deaths = DeathLog()
        self.entries_by_id: dict[str, EntryRecord] = {}
        self.platform_reached: bool | None = None
        self.leaving = False
        self._expected_ids: frozenset[str] = frozenset()
        self._listed_ids: frozenset[str] = frozenset()
        self._sequence = 0
        self._entry_seen_at = 0.0
        self._owners: tuple[str, ...] = ()
        self._owners_by_row: dict[str, str] = {}
        self.shares = ShareOwner(instance_id, configured_instances)
        self._handlers_by_type = {
            Digest: self._take_digest,
            Want: self._take_want,
            TableNews: self._take_table,
            InstancesNews: self._take_instances,
            LeaveNews: self._take_leave,
            SuspectNews: self._take_suspects,
            Hello: self._take_hello,
            DemandNews: self._take_demand,
            SliceNews: self._take_slices,
            RowsNews: self._take_rows,
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
        self._entry_seen_at = now
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
        if not self.replica.is_ready:
            self._ask_again(actions)
        self.marks.expire(now)
        self.deaths.expire(now)
        self._drop_entries(now)
        self.membership.heartbeat += 1
        for peer in self.membership.check(self._listed_ids, now, actions):
            actions.send(peer.address, self._build_digest(self.membership.heartbeat))
        self._send_digests(now, actions)
        self._greet_entries(actions)
        self._tend_shares(now, actions)
        return actions

    def _ask_again(self, actions: Actions) -> None:
        unanswered = self.replica.startup.asked - self.replica.startup.answered
        for address in self.membership.list_seeds():
            if address in unanswered:
                actions.send(address, self._build_question())
        for peer in self.membership.peers_by_id.values():
            if peer.instance_id in unanswered:
                actions.send(peer.address, self._build_question())

    def receive(self, message: Message, now: float) -> Actions:
        """Take one message of a peer or an entry."""
        actions = Actions()
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(message, now, actions)
        return actions

    def note_table(self, stored: VersionedValue, now: float) -> Actions:
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
            "shares": self.shares.list_holders_by_row(),
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
        self._listed_ids = frozenset(i.instance_id for i in instances)
        self._expected_ids = frozenset(
            i.instance_id for i in instances if i.role is Role.AGENT
        )
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
        silent = replica.get_unanswered(now)
        wants_table = replica.start_table_pull(address, table_version, now)
        if wants_table and silent:
            actions.resets.append(silent)
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

    def _count_all_entries(self) -> int:
        return max(1, self._count_entries() + self.membership.count_entries())

    def _take_hello(self, hello: Hello, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(hello.entry_id)
        if record is not None and record.hello.incarnation > hello.incarnation:
            return
        if record is None and len(self.entries_by_id) >= ENTRIES:
            return
        self._entry_seen_at = now
        reported_at = record.reported_at if record is not None else -math.inf
        self.entries_by_id[hello.entry_id] = EntryRecord(hello, now, reported_at)
        replica = self.replica
        if hello.table_version < replica.table_version:
            actions.send(hello.address, TableNews(replica.table_version, replica.data))
        if hello.instances_revision < replica.instances_revision:
            actions.send(hello.address, self._build_instances())
        is_new = record is None or record.hello.incarnation != hello.incarnation
        if is_new or hello.marks != self._get_marks_digest():
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
        total = self._count_all_entries()
        news = SliceNews(self.instance_id, 0, (), max(1, entries), total)
        self._send_entries(news, actions)

    # Shares

    def _take_demand(self, news: DemandNews, now: float, actions: Actions) -> None:
        if news.instance_id:
            answer = self._grant(news, now)
            if answer.slices:
                actions.send(news.address, answer)
        else:
            self._report_demand(news, now, actions)

    def _report_demand(self, news: DemandNews, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(news.source)
        if record is None or record.hello.incarnation != news.incarnation:
            return
        owners = self.membership.list_owners()
        wait = choose_report_seconds(len(owners), len(news.demands))
        if now - record.reported_at < wait * REPORT_SLACK:
            return
        record.reported_at = now
        demands_by_owner: dict[str, list[Demand]] = {}
        for demand in news.demands:
            owner = self._get_owner(demand.row, owners)
            demands_by_owner.setdefault(owner, []).append(demand)
        for owner, demands in demands_by_owner.items():
            report = msgspec.structs.replace(
                news,
                demands=tuple(demands),
                instance_id=self.instance_id,
                address=self.address,
                processes=max(1, self._count_entries()),
                interval=wait,
            )
            self._send_report(owner, report, now, actions)

    def _get_owner(self, row: str, owners: tuple[str, ...]) -> str:
        if owners != self._owners:
            self._owners = owners
            self._owners_by_row.clear()
        owner = self._owners_by_row.get(row)
        if owner is None:
            if len(self._owners_by_row) >= ROWS:
                self._owners_by_row.clear()
            owner = self._owners_by_row[row] = choose_owner(row, owners)
        return owner

    def _send_report(
        self, owner: str, report: DemandNews, now: float, actions: Actions
    ) -> None:
        if owner != self.instance_id:
            actions.send(self.membership.peers_by_id[owner].address, report)
            return
        answer = self._grant(report, now)
        if answer.slices:
            self._take_slices(answer, now, actions)

    def _grant(self, report: DemandNews, now: float) -> SliceNews:
        expected_ids = self._expected_ids
        return self.shares.take(report, self.replica.table, expected_ids, now)

    def _take_slices(self, news: SliceNews, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(news.holder)
        if record is not None:
            answer = msgspec.structs.replace(
                news,
                processes=max(1, self._count_entries()),
                entries=self._count_all_entries(),
            )
            actions.send(record.hello.address, answer)

    def _tend_shares(self, now: float, actions: Actions) -> None:
        self.shares.forget(now)
        unheard = self.shares.list_unheard(self._expected_ids, now)
        for instance_id, rows in unheard.items():
            peer = self.membership.peers_by_id.get(instance_id)
            news = RowsNews(tuple(rows))
            if instance_id == self.instance_id:
                self._take_rows(news, now, actions)
            elif peer is not None and not peer.lost:
                actions.send(peer.address, news)

    def _take_rows(self, news: RowsNews, now: float, actions: Actions) -> None:
        self._send_entries(news, actions)
        if now - self._entry_seen_at > NO_ENTRY_SECONDS:
            self._report_no_use(news, now, actions)

    def _report_no_use(self, news: RowsNews, now: float, actions: Actions) -> None:
        """Tell the owners that no entry here uses the rows.

        Not before an entry that is only out of touch would have been heard.
        """
        owners = self.membership.list_owners()
        self._sequence += 1
        for row in news.rows:
            report = DemandNews(
                self.instance_id,
                self.membership.incarnation,
                self._sequence,
                (Demand(row, 0.0, 0.0, 0),),
                self.instance_id,
                self.address,
                processes=0,
                interval=NO_USE_SECONDS,
            )
            self._send_report(self._get_owner(row, owners), report, now, actions)


def _describe_peer(peer: Peer) -> dict[str, object]:
    return {
        "instance": peer.instance_id,
        "address": peer.address,
        "failure_domain": peer.failure_domain,
        "table_version": peer.table_version,
        "lost": peer.lost,
        "leaving": peer.leaving,
    }
