"""Requests and responses of the store's HTTP protocol, see docs/STORE-STANDIN.md."""

import enum

import msgspec

from wigeondrift.entities import Instance
from wigeondrift.store.contract import InstanceList, VersionedValue

PATH_PREFIX = "/v1/"


class GetCall(msgspec.Struct, frozen=True):
    """Read the value of a key."""

    key: str


class PutCall(msgspec.Struct, frozen=True):
    """Write a value if the key is at revision ``expected``.

    ``value`` is encoded as base64 in JSON.
    """

    key: str
    value: bytes
    expected: int
    lease: str = ""


class DeleteCall(msgspec.Struct, frozen=True):
    """Delete a key if it is at revision ``expected``."""

    key: str
    expected: int


class ListKeysCall(msgspec.Struct, frozen=True):
    """List up to ``limit`` keys that start with ``prefix``."""

    prefix: str
    limit: int = 1000


class WatchCall(msgspec.Struct, frozen=True):
    """Wait up to ``wait`` seconds until a key's revision differs from ``after``."""

    key: str
    after: int
    wait: float


class GrantLeaseCall(msgspec.Struct, frozen=True):
    """Create a lease that expires after ``seconds``."""

    seconds: float


class RenewLeaseCall(msgspec.Struct, frozen=True):
    """Extend a lease by its full duration."""

    lease: str


class ListInstancesCall(msgspec.Struct, frozen=True):
    """Wait up to ``wait`` seconds until the list revision differs from ``after``."""

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
    """Revision after a write; zero after a deletion."""

    revision: int


class KeysResponse(msgspec.Struct, frozen=True):
    """Sorted keys that match the prefix."""

    keys: tuple[str, ...]


class LeaseResponse(msgspec.Struct, frozen=True):
    """Name of a lease and whether it is still valid."""

    lease: str
    live: bool


Response = VersionedValue | PutResponse | KeysResponse | LeaseResponse | InstanceList


class RefusalKind(enum.StrEnum):
    """Reason for which a call was refused; nothing was written."""

    CONFLICT = "conflict"
    THROTTLED = "throttled"
    INVALID = "invalid"


class Refusal(msgspec.Struct, frozen=True):
    """Body of a response with an error status.

    Attributes
    ----------
    kind : RefusalKind
    reason : str
    found : int
        Current revision of the key, in case of a conflict.
    """

    kind: RefusalKind
    reason: str
    found: int = 0


STATUS_CODES_BY_REFUSAL = {
    RefusalKind.CONFLICT: 409,
    RefusalKind.THROTTLED: 429,
    RefusalKind.INVALID: 422,
}

CALL_TYPES_BY_NAME: dict[str, type] = {
    "get": GetCall,
    "put": PutCall,
    "delete": DeleteCall,
    "list_keys": ListKeysCall,
    "watch": WatchCall,
    "grant_lease": GrantLeaseCall,
    "renew_lease": RenewLeaseCall,
    "list_instances": ListInstancesCall,
}

NAMES_BY_CALL_TYPE = {call_type: name for name, call_type in CALL_TYPES_BY_NAME.items()}


class InstancesUpdate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Control request to the emulator that changes the instance list.

    Attributes
    ----------
    put : tuple of Instance
        Instances to add, or to replace by name.
    removed : tuple of str
        Names of the instances to remove.
    leaving : tuple of str
        Names of the instances whose state becomes leaving.
    """

    put: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class ControlReport(msgspec.Struct, frozen=True):
    """Response of the emulator to ``GET /control``.

    Attributes
    ----------
    calls_by_name : dict of str to int
        Calls accepted so far; a watch counts once.
    throttled : int
        Calls refused by rate limiting.
    watching : int
        Watches waiting now.
    faults : dict
        Injected faults in force.
    """

    calls_by_name: dict[str, int]
    throttled: int
    watching: int
    faults: dict[str, object]
