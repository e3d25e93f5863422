"""Replica of the table and the instance list, and the versions in force."""

import enum
from collections.abc import Iterable

from wigeondrift.entities import Instance
from wigeondrift.errors import TableError
from wigeondrift.table.rows import Table
from wigeondrift.table.table_check import load_table

STARTUP_SETTLE_SECONDS = 1.0
STARTUP_SETTLE_LIMIT_SECONDS = 3.0
PULL_TIMEOUT_SECONDS = 0.5


class OfferResult(enum.Enum):
    """Result of offering a table to the replica."""

    APPLIED = "applied"
    HELD = "held"
    STALE = "stale"
    REFUSED = "refused"


class HeldTable:
    """Validated table that is not in force yet."""

    __slots__ = ("data", "table", "version")

    def __init__(self, version: int, data: bytes, table: Table) -> None:
        self.version = version
        self.data = data
        self.table = table


class Startup:
    """Sources that a starting process has queried, and their answers.

    Attributes
    ----------
    queried, answered : set of str
    announced_version : int
        Newest table version announced by any source.
    started_at : float or None
        Time of the first query, in seconds.
    """

    __slots__ = ("announced_version", "answered", "queried", "started_at")

    def __init__(self) -> None:
        self.queried: set[str] = set()
        self.answered: set[str] = set()
        self.announced_version = 0
        self.started_at: float | None = None

    def record_query(self, source: str, now: float) -> None:
        """Record a query to ``source``."""
        self.queried.add(source)
        if self.started_at is None:
            self.started_at = now

    def may_apply(self, version: int, now: float) -> bool:
        """Return whether the held table ``version`` may be put in force.

        All sources must have answered or timed out, and none may have announced a
        newer version. The wait for an announced version that does not arrive is
        bounded.
        """
        if self.started_at is None:
            return True
        elapsed = now - self.started_at
        if elapsed >= STARTUP_SETTLE_LIMIT_SECONDS:
            return True
        if version < self.announced_version:
            return False
        return self.queried <= self.answered or elapsed >= STARTUP_SETTLE_SECONDS


class Replica:
    """Newest table and instance list of a process.

    Only a higher version is applied. A starting process holds a received table until
    its peers have had time to announce a newer one.

    Attributes
    ----------
    table : Table
    data : bytes
        Serialized table in force.
    table_version : int
        Zero before any table is in force.
    instances : tuple of Instance
    instances_revision : int
        Zero before any list is known.
    startup : Startup
    refused_version : int
        Newest version that failed validation.
    """

    __slots__ = (
        "_held_table",
        "_list_pull_ends_at",
        "_table_pull_ends_at",
        "_table_pulled_from",
        "_table_pulled_version",
        "data",
        "instances",
        "instances_revision",
        "refusal",
        "refused_version",
        "startup",
        "table",
        "table_version",
    )

    def __init__(self) -> None:
        self.table = Table()
        self.data = b""
        self.table_version = 0
        self.instances: tuple[Instance, ...] = ()
        self.instances_revision = 0
        self.startup = Startup()
        self.refused_version = 0
        self.refusal = ""
        self._held_table: HeldTable | None = None
        self._table_pull_ends_at = 0.0
        self._table_pulled_from = ""
        self._table_pulled_version = 0
        self._list_pull_ends_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether a table is in force."""
        return self.table_version > 0

    @property
    def newest_version(self) -> int:
        """Newest version in force or held."""
        if self._held_table is not None:
            return self._held_table.version
        return self.table_version

    def offer_table(self, version: int, data: bytes, now: float) -> OfferResult:
        """Validate a received table and keep it if it is newer."""
        if version <= max(self.newest_version, self.refused_version):
            return OfferResult.STALE
        try:
            table = load_table(data)
        except TableError as error:
            self.refused_version = version
            self.refusal = str(error)
            return OfferResult.REFUSED
        self._held_table = HeldTable(version, data, table)
        return OfferResult.APPLIED if self.apply_held_table(now) else OfferResult.HELD

    def apply_held_table(self, now: float) -> bool:
        """Put the held table in force if the startup rules allow it."""
        held = self._held_table
        if held is None:
            return False
        if not self.is_ready and not self.startup.may_apply(held.version, now):
            return False
        self._held_table = None
        self.table = held.table
        self.data = held.data
        self.table_version = held.version
        return True

    def offer_instances(self, revision: int, instances: Iterable[Instance]) -> bool:
        """Apply a received instance list if it is newer."""
        if revision <= self.instances_revision:
            return False
        self.instances_revision = revision
        self.instances = tuple(instances)
        return True

    def record_announcement(self, source: str, version: int) -> None:
        """Record that ``source`` announced table ``version``."""
        if self.is_ready:
            return
        self.startup.answered.add(source)
        self.startup.announced_version = max(self.startup.announced_version, version)

    def try_start_table_pull(self, source: str, version: int, now: float) -> bool:
        """Start a pull of table ``version`` from ``source`` if one is needed.

        Only one pull is in progress at a time, so that several peers that announce the
        same version do not all send it. Returns whether to send the query.
        """
        if version <= max(self.newest_version, self.refused_version):
            return False
        if now < self._table_pull_ends_at:
            return False
        self._table_pull_ends_at = now + PULL_TIMEOUT_SECONDS
        self._table_pulled_from = source
        self._table_pulled_version = version
        return True

    def get_timed_out_source(self, now: float) -> str:
        """Return the source of a pull that timed out, or an empty string."""
        if now < self._table_pull_ends_at:
            return ""
        if max(self.newest_version, self.refused_version) >= self._table_pulled_version:
            return ""
        return self._table_pulled_from

    def try_start_list_pull(self, revision: int, now: float) -> bool:
        """Start a pull of list ``revision`` if one is needed; return whether it is."""
        if revision <= self.instances_revision or now < self._list_pull_ends_at:
            return False
        self._list_pull_ends_at = now + PULL_TIMEOUT_SECONDS
        return True
