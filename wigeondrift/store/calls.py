"""Calls and answers of the platform's HTTP protocol, see docs/STORE-STANDIN.md."""

import enum

import msgspec

from wigeondrift.entities import Instance
from wigeondrift.store.contract import InstanceList, VersionedValue

PATH_PREFIX = "/v1/"


class GetCall(msgspec.Struct, frozen=True):
    """Read a value."""

    key: str


class PutCall(msgspec.Struct, frozen=True):
    """Write a value at an expected revision; ``value`` is base64 in JSON."""

    key: str
    value: bytes
    expected: int
    lease: str = ""


class DeleteCall(msgspec.Struct, frozen=True):
    """Delete a key at an expected revision."""

    key: str
    expected: int


class ListKeysCall(msgspec.Struct, frozen=True):
    """List keys by prefix."""

    prefix: str
    limit: int = 1000


class WatchCall(msgspec.Struct, frozen=True):
    """Wait up to ``wait`` seconds for a revision other than ``after``."""

    key: str
    after: int
    wait: float


class GrantLeaseCall(msgspec.Struct, frozen=True):
    """Make a lease of ``seconds``."""

    seconds: float


class RenewLeaseCall(msgspec.Struct, frozen=True):
    """Extend a lease by its full time."""

    lease: str


class ListInstancesCall(msgspec.Struct, frozen=True):
    """Wait up to ``wait`` seconds for a list revision other than ``after``."""

    after: int
    wait: float


Call = (
    GetCall
    | PutCall
    | DeleteCall
    | ListKeysCall
    | WatchCall
    | GrantLeaseCall
    | RenewLeaseCall
    | ListInstancesCall
)


class PutResponse(msgspec.Struct, frozen=True):
    """Revision after a write; of a deletion, zero."""

    revision: int


class KeysResponse(msgspec.Struct, frozen=True):
    """Keys found, sorted."""

    keys: tuple[str, ...]


class LeaseResponse(msgspec.Struct, frozen=True):
    """Name of a lease and whether it is live."""

    lease: str
    live: bool


Response = VersionedValue | PutResponse | KeysResponse | LeaseResponse | InstanceList


class RefusalKind(enum.StrEnum):
    """Why a call was refused; nothing was written."""

    CONFLICT = "conflict"
    THROTTLED = "throttled"
    INVALID = "invalid"


class Refusal(msgspec.Struct, frozen=True):
    """Body of an answer with an error status.

    Attributes
    ----------
    kind : RefusalKind
    reason : str
    found : int
        Revision found, of a conflict.
    """

    kind: RefusalKind
    reason: str
    found: int = 0


STATUS_CODES_BY_REFUSAL = {
    RefusalKind.CONFLICT: 409,
    RefusalKind.THROTTLED: 429,
    RefusalKind.INVALID: 422,
}

CALLS_BY_NAME: dict[str, type] = {
    "get": GetCall,
    "put": PutCall,
    "delete": DeleteCall,
    "list_keys": ListKeysCall,
    "watch": WatchCall,
    "grant_lease": GrantLeaseCall,
    "renew_lease": RenewLeaseCall,
    "list_instances": ListInstancesCall,
}

NAMES_BY_CALL = {kind: name for name, kind in CALLS_BY_NAME.items()}


class InstancesUpdate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Control call of the emulator: change the instance list.

    Attributes
    ----------
    put : tuple of Instance
        Added, or replaced by name.
    removed : tuple of str
        Names taken off the list.
    leaving : tuple of str
        Names whose state becomes leaving.
    """

    put: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class ControlReport(msgspec.Struct, frozen=True):
    """Answer of the emulator to ``GET /control``.

    Attributes
    ----------
    calls_by_name : dict of str to int
        Calls taken so far; a watch counts once.
    throttled : int
        Calls refused for their rate.
    watching : int
        Watches that wait now.
    faults : dict
        Faults in force.
    """

    calls_by_name: dict[str, int]
    throttled: int
    watching: int
    faults: dict[str, object]
