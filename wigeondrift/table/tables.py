"""Shared state of one process that its systems operate on."""

from wigeondrift.entities import Instance, InstanceState, LoadReport, Role
from wigeondrift.table.rows import Table
from wigeondrift.wire.messages import Slice


class HeldSlice:
    """Granted part of a limit with its expiry time.

    Attributes
    ----------
    granted : Slice
        Slice as sent by its owner.
    ends_at : float
        Time at which the slice expires, in seconds of the process's clock.
    sequence : int
        Sequence of the report that the slice responds to.
    """

    __slots__ = ("ends_at", "granted", "sequence")

    def __init__(self, granted: Slice, ends_at: float, sequence: int = 0) -> None:
        self.granted = granted
        self.ends_at = ends_at
        self.sequence = sequence


class Tables:
    """Latest state of the rest of the system as known to one process.

    Attributes
    ----------
    table : Table
        Operators' table in force.
    table_version : int
        Version of the table; zero before the first one is received.
    instances_by_id : dict of str to Instance
        Newest incarnation of each instance, with leave marks applied.
    instances_revision : int
        Revision of the platform's list; zero before the first one is received.
    loads_by_id : dict of str to LoadReport
        Latest load report of each upstream.
    slices_by_row : dict of str to HeldSlice
        Granted slices by ``team/service``.
    quarantined : set of str
        Fingerprints that are refused.
    entries : int
        Number of reachable entries that are not stopping; at least one.
    floor_parts : int
        Number of parts into which a limit is divided when no slice of it is held.
    """

    __slots__ = (
        "entries",
        "floor_parts",
        "instances_by_id",
        "instances_revision",
        "loads_by_id",
        "quarantined",
        "slices_by_row",
        "table",
        "table_version",
    )

    def __init__(self) -> None:
        self.table = Table()
        self.table_version = 0
        self.instances_by_id: dict[str, Instance] = {}
        self.instances_revision = 0
        self.loads_by_id: dict[str, LoadReport] = {}
        self.slices_by_row: dict[str, HeldSlice] = {}
        self.quarantined: set[str] = set()
        self.entries = 1
        self.floor_parts = 1

    def list_upstreams(self, service: str, role: Role) -> list[Instance]:
        """Return the live upstreams of a service."""
        return [
            instance
            for instance in self.instances_by_id.values()
            if instance.service == service
            and instance.role is role
            and instance.state is InstanceState.LIVE
        ]
