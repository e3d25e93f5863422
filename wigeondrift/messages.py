"""Messages between the system's own processes.

Each is a whole, idempotent statement of state, so that a lost, repeated or late
one does no harm: receivers keep the newest by version or incarnation.
"""

import msgspec

from wigeondrift.entities import Instance, LoadReport


class Hello(msgspec.Struct, frozen=True, tag="hello"):
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
    """

    entry_id: str
    incarnation: int
    address: str
    table_version: int
    stopping: bool = False


class TableNews(msgspec.Struct, frozen=True, tag="table"):
    """The whole table at one version.

    Attributes
    ----------
    version : int
        Platform revision of the table.
    table : bytes
        Serialized table, see ``wigeondrift.table``.
    """

    version: int
    table: bytes


class InstancesNews(msgspec.Struct, frozen=True, tag="instances"):
    """The platform's list, already merged with leave marks from elsewhere."""

    revision: int
    instances: tuple[Instance, ...]


class LoadNews(msgspec.Struct, frozen=True, tag="loads"):
    """Newest load reports of upstreams."""

    reports: tuple[LoadReport, ...]


class LeaveNews(msgspec.Struct, frozen=True, tag="leave"):
    """Instances known to be leaving, by name and incarnation."""

    leaving: tuple[tuple[str, int], ...]


class Demand(msgspec.Struct, frozen=True):
    """What one limit was asked for since the last report, per second.

    Attributes
    ----------
    row : str
        ``team/service``.
    requests, tokens : float
        Wanted rates, with what was refused.
    running : int
        Requests wanted at once.
    """

    row: str
    requests: float
    tokens: float
    running: int


class DemandNews(msgspec.Struct, frozen=True, tag="demand"):
    """Demand that an entry (or an agent for its entries) has seen."""

    source: str
    incarnation: int
    sequence: int
    demands: tuple[Demand, ...]


class Slice(msgspec.Struct, frozen=True):
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
        Time from receipt after which the slice is no longer valid.
    """

    row: str
    requests: float
    tokens: float
    running: int
    seconds: float


class SliceNews(msgspec.Struct, frozen=True, tag="slices"):
    """Slices granted to the receiver by the soft owner of the rows."""

    owner: str
    sequence: int
    slices: tuple[Slice, ...]


class SuspectNews(msgspec.Struct, frozen=True, tag="suspects"):
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


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """Periodic greeting of an agent to a peer, with what it has.

    Attributes
    ----------
    instance_id : str
    incarnation : int
    address : str
        ``host:port`` where the agent takes messages.
    failure_domain : str
    heartbeat : int
        Grows with each digest.
    table_version, instances_revision : int
        Newest versions that the agent has.
    leaving : bool
        Whether the agent's instance is in a planned stop.
    heartbeats : tuple of (str, str, int, int)
        A sample of other agents: name, address, incarnation, heartbeat.
    """

    instance_id: str
    incarnation: int
    address: str
    failure_domain: str
    heartbeat: int
    table_version: int
    instances_revision: int
    leaving: bool = False
    heartbeats: tuple[tuple[str, str, int, int], ...] = ()


class Want(msgspec.Struct, frozen=True, tag="want"):
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


class StatusRequest(msgspec.Struct, frozen=True, tag="status_request"):
    """An operator's tool asks an agent or entry for its status."""

    address: str


class Status(msgspec.Struct, frozen=True, tag="status"):
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
