"""The operators' table: services, teams and the limits of each pair."""

import enum
from typing import Annotated

import msgspec

TABLE_KEY = "wigeondrift/table"
MAX_TABLE_BYTES = 1048576

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class ServiceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service.

    Attributes
    ----------
    kind : ServiceKind
    layers : int
        Layers of a model; zero for a plain service.
    version : str
        Model version that new requests run on.
    idempotent : bool
        Whether a call with an unsafe method may be repeated.
    key_header : str
        Header that carries the idempotency key.
    checks_fencing : bool
        Whether upstreams refuse an old fencing number.
    drops_repeats : bool
        Whether upstreams drop a call whose key they have seen.
    """

    kind: ServiceKind
    layers: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0
    version: str = ""
    idempotent: bool = False
    key_header: str = "Idempotency-Key"
    checks_fencing: bool = False
    drops_repeats: bool = False


class TeamRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One team.

    Attributes
    ----------
    key_digests : tuple of str
        SHA-256 digests, in hexadecimal, of the bearer keys of the team.
    """

    key_digests: tuple[Digest, ...] = ()


class LimitRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one team may send to one service.

    Attributes
    ----------
    weight : float
        Share in a queue relative to the other teams.
    requests, tokens : float
        Rates per second.
    running : int
        Requests at once.
    domains : tuple of str
        Failure domains allowed; all if empty.
    preferred : tuple of str
        Failure domains tried first; the entry's own if empty.
    """

    weight: Weight = 1.0
    requests: Rate = 100.0
    tokens: Rate = 10000.0
    running: Count = 100
    domains: tuple[Name, ...] = ()
    preferred: tuple[Name, ...] = ()


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted change, kept with the table for its history.

    Attributes
    ----------
    change_id : str
        Made by the operator's tool, unique.
    author : str
    at : float
        Seconds since the epoch on the operator's machine.
    cells : tuple of str
        Paths of the changed cells, such as ``limits/team/service/weight``.
    """

    change_id: str
    author: str
    at: float
    cells: tuple[str, ...]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole table.

    Attributes
    ----------
    services_by_name : dict of str to ServiceRow
    teams_by_name : dict of str to TeamRow
    limits_by_row : dict of str to LimitRow
        By ``team/service``.
    changes : tuple of Change
        Newest changes, the oldest first.
    """

    services_by_name: dict[Name, ServiceRow] = {}
    teams_by_name: dict[Name, TeamRow] = {}
    limits_by_row: dict[str, LimitRow] = {}
    changes: tuple[Change, ...] = ()


_ENCODER = msgspec.json.Encoder(order="deterministic")
_DECODER = msgspec.json.Decoder(Table)


def serialize_table(table: Table) -> bytes:
    """Return the table as a JSON document."""
    return _ENCODER.encode(table)


def parse_table(data: bytes) -> Table:
    """Return the table that a JSON document stands for.

    Raises
    ------
    ValueError
        If the document is not JSON, has unknown names or values out of bounds.
    """
    return _DECODER.decode(data)
