"""Messages between the system's own processes.

Each message carries complete state and is idempotent, so that lost, duplicated or
late messages do no harm: receivers keep the newest by version or incarnation.
"""

import msgspec

from wigeondrift.entities import Instance, LoadReport


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Registration of an entry with its agent, sent at start and periodically.

    Attributes
    ----------
    entry_id : str
        Instance and process, such as ``rajkot-1/entry-0``.
    incarnation : int
        Increases with each start of the process.
    address : str
        ``host:port`` where the entry receives messages.
    table_version : int
        Table version in force in the entry.
    stopping : bool
        Whether the entry is in a planned stop.
    instances_revision : int
        Revision of the entry's instance list.
    marks : int
        Hash of the entry's leave marks, see ``wigeondrift.systems.leaving``.
    """

    entry_id: str
    incarnation: int
    address: str
    table_version: int
    stopping: bool = False
    instances_revision: int = 0
    marks: int = 0


class TableNews(msgspec.Struct, frozen=True, array_like=True, tag="table"):
    """Complete table at one version.

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
    """The platform's instance list, merged with the leave marks known to the sender."""

    revision: int
    instances: tuple[Instance, ...]


class LoadNews(msgspec.Struct, frozen=True, array_like=True, tag="loads"):
    """Latest load reports of upstreams."""

    reports: tuple[LoadReport, ...]


class LeaveNews(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Name and incarnation of instances known to be leaving."""

    leaving: tuple[tuple[str, int], ...]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one limit since the last report.

    Attributes
    ----------
    row : str
        ``team/service``.
    requests, tokens : float
        Demanded rates per second, including refused requests.
    running : int
        Demanded number of concurrent requests.
    held : int
        Sequence of the report whose slice is in force; zero if none is.
    """

    row: str
    requests: float
    tokens: float
    running: int
    held: int = 0


class DemandNews(msgspec.Struct, frozen=True, array_like=True, tag="demand"):
    """Demand observed by an entry, or by an agent on behalf of its entries.

    Attributes
    ----------
    source : str
        Reporting entry or instance.
    incarnation : int
        Increases with each start of the reporting process.
    sequence : int
        Increases with each report.
    demands : tuple of Demand
        All rows with demand, and the rows that an owner requested.
    instance_id : str
        Set by the agent that forwards the report to the rows' owner.
    address : str
        ``host:port`` to send the slices to.
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
        Granted number of concurrent requests.
    seconds : float
        Validity, counted from the time at which the holder sent the report that
        the slice responds to.
    """

    row: str
    requests: float
    tokens: float
    running: int
    seconds: float


class SliceNews(msgspec.Struct, frozen=True, array_like=True, tag="slices"):
    """Slices granted to the receiver by the owner of the rows.

    The owner is chosen without consensus, see ``wigeondrift.systems.shares``.

    Attributes
    ----------
    owner : str
        Granting instance.
    sequence : int
        Sequence of the report that the slices respond to.
    slices : tuple of Slice
    processes : int
        Entry processes on the receiver's instance.
    entries : int
        Entry processes reachable in the whole system.
    holder : str
        Entry that the slices are granted to.
    """

    owner: str
    sequence: int
    slices: tuple[Slice, ...]
    processes: int = 1
    entries: int = 1
    holder: str = ""


class RowsNews(msgspec.Struct, frozen=True, array_like=True, tag="rows"):
    """Rows used by other instances, which the receiver must include in reports."""

    rows: tuple[str, ...]


class SuspectNews(msgspec.Struct, frozen=True, array_like=True, tag="suspects"):
    """Upstream deaths by fingerprint of the requests that were running.

    Attributes
    ----------
    deaths : tuple of (str, tuple of str)
        Fingerprint, and names with incarnation of the upstreams that died while
        running it.
    cleared : tuple of str
        Fingerprints of requests that completed.
    quarantined : tuple of str
        Fingerprints that are refused.
    """

    deaths: tuple[tuple[str, tuple[str, ...]], ...]
    cleared: tuple[str, ...]
    quarantined: tuple[str, ...]


class PeerSample(msgspec.Struct, frozen=True, array_like=True):
    """Membership information that one agent has about another.

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
    """Periodic gossip message of an agent to a peer, with its versions.

    Attributes
    ----------
    instance_id : str
    incarnation : int
    address : str
        ``host:port`` where the agent receives messages.
    failure_domain : str
    heartbeat : int
        Increases with each digest; zero in the queries of a starting process.
    table_version, instances_revision : int
        Newest versions known to the agent.
    leaving : bool
        Whether the agent's instance is in a planned stop.
    samples : tuple of PeerSample
        A sample of other agents.
    entries : int
        Entry processes on the agent's instance.
    marks : int
        Hash of the agent's leave marks, see ``wigeondrift.systems.leaving``.
    reply : bool
        Whether this is the reply to a digest; replies get no reply.
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
    """Request for newer state from another process.

    Attributes
    ----------
    address : str
        ``host:port`` to send the newer state to.
    table_version, instances_revision : int
        Versions known to the requesting process.
    """

    address: str
    table_version: int
    instances_revision: int


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="status_request"):
    """Status request of an operator's tool to an agent or entry."""

    address: str


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Status of one process, as a JSON document for operators.

    Attributes
    ----------
    source : str
        Reporting instance or process.
    document : bytes
        JSON document.
    """

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
    """Encode ``message`` as MessagePack."""
    return _ENCODER.encode(message)


def parse_message(data: bytes) -> Message:
    """Decode a message from MessagePack.

    Raises
    ------
    msgspec.DecodeError
        If ``data`` is not a valid message.
    """
    return _DECODER.decode(data)
