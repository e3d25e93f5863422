"""Messages between the system's own processes.

Each is a whole, idempotent statement of state, so that a lost, repeated or late
one does no harm: receivers keep the newest by version or incarnation.
"""

import msgspec

from wigeondrift.entities import Instance, LoadReport


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """An entry names itself to its agent, at start and periodically.

    Attributes
    ----------
    entry_id : str
        Instance and process, such as ``rajkot-1/entry-0``.
    incarnation : int
        Grows with each start of the process.
    address : str
        ``host:port`` where the entry takes messages.
    table_version : int
        Version in force in the entry.
    stopping : bool
        Whether the entry is in a planned stop.
    instances_revision : int
        Revision of the instance list that the entry has.
    marks : int
        Hash of the leave marks that the entry has.
    """

    entry_id: str
    incarnation: int
    address: str
    table_version: int
    stopping: bool = False
    instances_revision: int = 0
    marks: int = 0


class TableNews(msgspec.Struct, frozen=True, array_like=True, tag="table"):
    """The whole table at one version.

    Attributes
    ----------
    version : int
        Platform revision of the table.
    table : bytes
        Serialized table, see ``wigeondrift.table.rows``.
    """

    version: int
    table: bytes


class InstancesNews(msgspec.Struct, frozen=True, array_like=True, tag="instances"):
    """The platform's list, already merged with leave marks from elsewhere."""

    revision: int
    instances: tuple[Instance, ...]


class LoadNews(msgspec.Struct, frozen=True, array_like=True, tag="loads"):
    """Newest load reports of upstreams."""

    reports: tuple[LoadReport, ...]


class LeaveNews(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Instances known to be leaving, by name and incarnation."""

    leaving: tuple[tuple[str, int], ...]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """What one limit was asked for since the last report, per second.

    Attributes
    ----------
    row : str
        ``team/service``.
    requests, tokens : float
        Wanted rates, with what was refused.
    running : int
        Requests wanted at once.
    held : int
        Sequence of the report whose slice is in force; zero if none is.
    """

    row: str
    requests: float
    tokens: float
    running: int
    held: int = 0


class DemandNews(msgspec.Struct, frozen=True, array_like=True, tag="demand"):
    """Demand that an entry (or an agent for its entries) has seen.

    Attributes
    ----------
    source : str
        Entry or instance that reports.
    incarnation : int
        Grows with each start of the reporting process.
    sequence : int
        Grows with each report.
    demands : tuple of Demand
        All rows with demand, and those that an owner asked about.
    instance_id : str
        Set by the agent that passes the report on to the rows' owner.
    address : str
        Where to send the slices.
    processes : int
        Entry processes on the instance.
    interval : float
        Time between two reports, in seconds.
    """

    source: str
    incarnation: int
    sequence: int
    demands: tuple[Demand, ...]
    instance_id: str = ""
    address: str = ""
    processes: int = 1
    interval: float = 0.5


class Slice(msgspec.Struct, frozen=True, array_like=True):
    """Part of one limit granted to one holder.

    Attributes
    ----------
    row : str
        ``team/service``.
    requests, tokens : float
        Granted rates per second.
    running : int
        Requests granted at once.
    seconds : float
        Validity, counted from the time at which the holder sent the report that
        the slice answers.
    """

    row: str
    requests: float
    tokens: float
    running: int
    seconds: float


class SliceNews(msgspec.Struct, frozen=True, array_like=True, tag="slices"):
    """Slices granted to the receiver by the soft owner of the rows.

    Attributes
    ----------
    owner : str
        Instance that grants them.
    sequence : int
        Sequence of the report that they answer.
    slices : tuple of Slice
    processes : int
        Entry processes on the receiver's instance.
    entries : int
        Entry processes reachable in the whole system.
    holder : str
        Entry that the slices are for.
    """

    owner: str
    sequence: int
    slices: tuple[Slice, ...]
    processes: int = 1
    entries: int = 1
    holder: str = ""


class RowsNews(msgspec.Struct, frozen=True, array_like=True, tag="rows"):
    """Rows that are in use elsewhere and that the receiver is to report on."""

    rows: tuple[str, ...]


class SuspectNews(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Deaths of upstreams by fingerprint of the requests they were running.

    Attributes
    ----------
    deaths : tuple of (str, tuple of str)
        Fingerprint and the names with incarnation of upstreams lost to it.
    cleared : tuple of str
        Fingerprints seen to finish.
    quarantined : tuple of str
        Fingerprints that are refused.
    """

    deaths: tuple[tuple[str, tuple[str, ...]], ...]
    cleared: tuple[str, ...]
    quarantined: tuple[str, ...]


class PeerSample(msgspec.Struct, frozen=True, array_like=True):
    """What an agent knows of another one.

    Attributes
    ----------
    instance_id, address : str
    incarnation : int
    entries : int
        Entry processes on its instance.
    """

    instance_id: str
    address: str
    incarnation: int
    entries: int


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Periodic greeting of an agent to a peer, with what it has.

    Attributes
    ----------
    instance_id : str
    incarnation : int
    address : str
        ``host:port`` where the agent takes messages.
    failure_domain : str
    heartbeat : int
        Grows with each digest; zero in the questions of a process that starts.
    table_version, instances_revision : int
        Newest versions that the agent has.
    leaving : bool
        Whether the agent's instance is in a planned stop.
    samples : tuple of PeerSample
        Some other agents.
    entries : int
        Entry processes on the agent's instance.
    marks : int
        Hash of the leave marks that the agent has.
    reply : bool
        Whether it answers another digest; a reply is not answered.
    """

    instance_id: str
    incarnation: int
    address: str
    failure_domain: str
    heartbeat: int
    table_version: int
    instances_revision: int
    leaving: bool = False
    samples: tuple[PeerSample, ...] = ()
    entries: int = 0
    marks: int = 0
    reply: bool = False


class Want(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """A process asks another for news it is behind on.

    Attributes
    ----------
    address : str
        Where to send the news.
    table_version, instances_revision : int
        Versions that the asker has.
    """

    address: str
    table_version: int
    instances_revision: int


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="status_request"):
    """An operator's tool asks an agent or entry for its status."""

    address: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Status of one process, as a JSON document for operators."""

    source: str
    document: bytes


Message = (
    Hello
    | TableNews
    | InstancesNews
    | LoadNews
    | LeaveNews
    | DemandNews
    | SliceNews
    | RowsNews
    | SuspectNews
    | Digest
    | Want
    | StatusRequest
    | Status
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def serialize_message(message: Message) -> bytes:
    """Return the bytes that stand for ``message`` between processes."""
    return _ENCODER.encode(message)


def parse_message(data: bytes) -> Message:
    """Return the message that ``data`` stands for.

    Raises
    ------
    msgspec.DecodeError
        If it stands for none.
    """
    return _DECODER.decode(data)
