"""Control-plane protocol of an agent with its peers and its entries, without I/O."""

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
from wigeondrift.systems.replica import OfferResult, Replica
from wigeondrift.systems.shares import (
    MAX_ROWS,
    ShareOwner,
    choose_owner,
    choose_report_interval,
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
MAX_ENTRIES = 64
REPORT_INTERVAL_TOLERANCE = 0.9
NO_USE_REPORT_SECONDS = 1.0
ENTRY_ABSENT_SECONDS = 10.0
PLATFORM_TABLE = "platform/table"
PLATFORM_LIST = "platform/instances"


class EntryRecord:
    """Entry process that is connected to the agent.

    Attributes
    ----------
    hello : Hello
        Its latest heartbeat.
    heard_at : float
        Time at which that heartbeat arrived, in seconds.
    reported_at : float
        Time at which its demand was last forwarded, in seconds.
    """

    __slots__ = ("heard_at", "hello", "reported_at")

    def __init__(self, hello: Hello, now: float, reported_at: float) -> None:
        self.hello = hello
        self.heard_at = now
        self.reported_at = reported_at


class AgentControl:
    """State machine of one agent.

    Its methods return the connections to reset, the messages to send and the events
    to log as ``Actions``, which the caller carries out.

    Parameters
    ----------
    instance_id, failure_domain, address : str
        Name, failure domain and ``host:port`` of the agent.
    incarnation : int
        Increases with each start of the agent.
    seeds : iterable of str
        Addresses of some peers.
    rng : random.Random
        Source of randomness.
    configured_instances : int
        Number of instances that share the limits while no peer is reachable.
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
            Digest: self._handle_digest,
            Want: self._handle_want,
            TableNews: self._handle_table,
            InstancesNews: self._handle_instances,
            LeaveNews: self._handle_leave,
            SuspectNews: self._handle_suspects,
            Hello: self._handle_hello,
            DemandNews: self._handle_demand,
            SliceNews: self._handle_slices,
            RowsNews: self._handle_rows,
        }

    @property
    def instance_id(self) -> str:
        """Name of the agent's instance."""
        return self.membership.instance_id

    @property
    def address(self) -> str:
        """``host:port`` at which the agent receives messages."""
        return self.membership.address

    def start(self, now: float) -> Actions:
        """Query the seeds for their versions; the caller reads from the platform."""
        actions = Actions()
        self._entry_seen_at = now
        self.replica.startup.record_query(PLATFORM_TABLE, now)
        self.replica.startup.record_query(PLATFORM_LIST, now)
        for address in self.membership.list_seeds():
            self.replica.startup.record_query(address, now)
            actions.send(address, self._build_startup_query())
        return actions

    def tick(self, now: float) -> Actions:
        """Send the periodic messages and handle timeouts."""
        actions = Actions()
        if self.replica.apply_held_table(now):
            self._announce_table(now, actions)
        if not self.replica.is_ready:
            self._repeat_startup_queries(actions)
        self.marks.expire(now)
        self.deaths.expire(now)
        self._drop_entries(now)
        self.membership.heartbeat += 1
        for peer in self.membership.check_peers(self._listed_ids, now, actions):
            actions.send(peer.address, self._build_digest(self.membership.heartbeat))
        self._send_digests(now, actions)
        self._send_entry_heartbeats(actions)
        self._maintain_shares(now, actions)
        return actions

    def _repeat_startup_queries(self, actions: Actions) -> None:
        unanswered = self.replica.startup.queried - self.replica.startup.answered
        for address in self.membership.list_seeds():
            if address in unanswered:
                actions.send(address, self._build_startup_query())
        for peer in self.membership.peers_by_id.values():
            if peer.instance_id in unanswered:
                actions.send(peer.address, self._build_startup_query())

    def receive(self, message: Message, now: float) -> Actions:
        """Handle a message from a peer or an entry."""
        actions = Actions()
        handler = self._handlers_by_type.get(type(message))
        if handler is not None:
            handler(message, now, actions)
        return actions

    def apply_platform_table(self, stored: VersionedValue, now: float) -> Actions:
        """Apply the table as read from the platform."""
        actions = Actions()
        self._set_platform_reached(True, actions)
        self.replica.record_announcement(PLATFORM_TABLE, 0)
        if stored.revision:
            self._offer_table(stored.revision, stored.value, now, actions)
        else:
            self._apply_held_table(now, actions)
        return actions

    def apply_platform_instances(self, listed: InstanceList, now: float) -> Actions:
        """Apply the instance list as read from the platform."""
        actions = Actions()
        self._set_platform_reached(True, actions)
        self._offer_instances(listed.revision, listed.instances, now, actions)
        self.replica.record_announcement(PLATFORM_LIST, 0)
        self._apply_held_table(now, actions)
        return actions

    def record_platform_failure(self, source: str, now: float) -> Actions:
        """Record that a call to the platform failed."""
        actions = Actions()
        self._set_platform_reached(False, actions)
        self.replica.record_announcement(source, 0)
        self._apply_held_table(now, actions)
        return actions

    def forward_loads(self, reports: tuple[LoadReport, ...]) -> Actions:
        """Forward load reports to the entries."""
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

    def _set_platform_reached(self, reached: bool, actions: Actions) -> None:
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
        result = self.replica.offer_table(version, data, now)
        if result is OfferResult.APPLIED:
            self._announce_table(now, actions)
        elif result is OfferResult.REFUSED:
            actions.notify(
                Event.TABLE_REFUSED, self.instance_id, version, self.replica.refusal
            )

    def _apply_held_table(self, now: float, actions: Actions) -> None:
        if self.replica.apply_held_table(now):
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
        self._add_marks(self.marks.apply_instance_list(instances, now), actions)
        for peer in self.membership.add_listed_agents(instances, now):
            if not self.replica.is_ready:
                self.replica.startup.record_query(peer.instance_id, now)
                actions.send(peer.address, self._build_startup_query())
        self._send_entries(self._build_instances(), actions)

    def _build_instances(self) -> InstancesNews:
        replica = self.replica
        instances = self.marks.apply(replica.instances)
        return InstancesNews(replica.instances_revision, instances)

    def _handle_table(self, news: TableNews, now: float, actions: Actions) -> None:
        self._offer_table(news.version, news.table, now, actions)

    def _handle_instances(
        self, news: InstancesNews, now: float, actions: Actions
    ) -> None:
        self._offer_instances(news.revision, news.instances, now, actions)

    # Leave marks and deaths

    def _add_marks(self, added: tuple[Mark, ...], actions: Actions) -> None:
        if not added:
            return
        for instance_id, incarnation in added:
            actions.notify(Event.INSTANCE_LEAVING, instance_id, incarnation)
        self._gossip(LeaveNews(added), actions)

    def _handle_leave(self, news: LeaveNews, now: float, actions: Actions) -> None:
        self._add_marks(self.marks.add(news.leaving, now), actions)

    def _handle_suspects(self, news: SuspectNews, now: float, actions: Actions) -> None:
        added = self.deaths.merge(news, now)
        if added is None:
            return
        for fingerprint in added.quarantined:
            actions.notify(Event.REQUEST_QUARANTINED, fingerprint)
        self._gossip(added, actions)

    def _gossip(self, message: Message, actions: Actions) -> None:
        self._send_entries(message, actions)
        for peer in self.membership.choose_peers():
            actions.send(peer.address, message)

    def _send_marks_and_deaths(self, address: str, actions: Actions) -> None:
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

    def _build_startup_query(self) -> Digest:
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

    def _handle_digest(self, digest: Digest, now: float, actions: Actions) -> None:
        if digest.instance_id == self.instance_id:
            return
        replica = self.replica
        if not digest.reply:
            heartbeat = self.membership.heartbeat
            reply = self._build_digest(heartbeat, reply=True)
            actions.send(digest.address, reply)
        if digest.heartbeat > 0 or digest.reply:
            if self.membership.apply_digest(digest, now):
                actions.notify(Event.PEER_BACK, digest.instance_id)
                self._send_marks_and_deaths(digest.address, actions)
            elif digest.marks != self._get_marks_digest():
                self._send_marks_and_deaths(digest.address, actions)
        replica.record_announcement(digest.instance_id, digest.table_version)
        replica.record_announcement(digest.address, digest.table_version)
        self._pull(
            digest.address,
            digest.table_version,
            digest.instances_revision,
            now,
            actions,
        )
        self._apply_held_table(now, actions)

    def _pull(
        self,
        address: str,
        table_version: int,
        instances_revision: int,
        now: float,
        actions: Actions,
    ) -> None:
        replica = self.replica
        unanswered_address = replica.get_timed_out_source(now)
        wants_table = replica.try_start_table_pull(address, table_version, now)
        if wants_table and unanswered_address:
            actions.resets.append(unanswered_address)
        wants_list = not self.platform_reached and replica.try_start_list_pull(
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

    def _handle_want(self, want: Want, now: float, actions: Actions) -> None:
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

    def _handle_hello(self, hello: Hello, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(hello.entry_id)
        if record is not None and record.hello.incarnation > hello.incarnation:
            return
        if record is None and len(self.entries_by_id) >= MAX_ENTRIES:
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
            self._send_marks_and_deaths(hello.address, actions)
        replica.record_announcement(hello.entry_id, hello.table_version)
        self._pull(
            hello.address, hello.table_version, hello.instances_revision, now, actions
        )
        self._apply_held_table(now, actions)

    def _drop_entries(self, now: float) -> None:
        for entry_id, record in list(self.entries_by_id.items()):
            if now - record.heard_at > ENTRY_TIMEOUT_SECONDS:
                del self.entries_by_id[entry_id]

    def _send_entries(self, message: Message, actions: Actions) -> None:
        for record in self.entries_by_id.values():
            actions.send(record.hello.address, message)

    def _send_entry_heartbeats(self, actions: Actions) -> None:
        entries = self._count_entries()
        total = self._count_all_entries()
        news = SliceNews(self.instance_id, 0, (), max(1, entries), total)
        self._send_entries(news, actions)

    # Shares

    def _handle_demand(self, news: DemandNews, now: float, actions: Actions) -> None:
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
        owners = self.membership.list_candidate_owners()
        wait = choose_report_interval(len(owners), len(news.demands))
        if now - record.reported_at < wait * REPORT_INTERVAL_TOLERANCE:
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
            if len(self._owners_by_row) >= MAX_ROWS:
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
            self._handle_slices(answer, now, actions)

    def _grant(self, report: DemandNews, now: float) -> SliceNews:
        expected_ids = self._expected_ids
        return self.shares.handle_report(report, self.replica.table, expected_ids, now)

    def _handle_slices(self, news: SliceNews, now: float, actions: Actions) -> None:
        record = self.entries_by_id.get(news.holder)
        if record is not None:
            answer = msgspec.structs.replace(
                news,
                processes=max(1, self._count_entries()),
                entries=self._count_all_entries(),
            )
            actions.send(record.hello.address, answer)

    def _maintain_shares(self, now: float, actions: Actions) -> None:
        self.shares.expire_holders(now)
        missing_rows_by_id = self.shares.list_missing_reports(self._expected_ids, now)
        for instance_id, rows in missing_rows_by_id.items():
            peer = self.membership.peers_by_id.get(instance_id)
            news = RowsNews(tuple(rows))
            if instance_id == self.instance_id:
                self._handle_rows(news, now, actions)
            elif peer is not None and not peer.lost:
                actions.send(peer.address, news)

    def _handle_rows(self, news: RowsNews, now: float, actions: Actions) -> None:
        self._send_entries(news, actions)
        if now - self._entry_seen_at > ENTRY_ABSENT_SECONDS:
            self._report_no_use(news, now, actions)

    def _report_no_use(self, news: RowsNews, now: float, actions: Actions) -> None:
        """Report to the owners that no entry of this instance uses the rows.

        Called only after ``ENTRY_ABSENT_SECONDS``, by which time an entry that was
        merely disconnected would have sent a heartbeat.
        """
        owners = self.membership.list_candidate_owners()
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
                interval=NO_USE_REPORT_SECONDS,
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
