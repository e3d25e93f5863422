"""HTTP client of the platform store, see docs/STORE-STANDIN.md for the protocol."""

from typing import TypeVar

import msgspec
import trio

from wigeondrift.errors import (
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
    TransportError,
)
from wigeondrift.store.calls import (
    NAMES_BY_CALL_TYPE,
    PATH_PREFIX,
    Call,
    DeleteCall,
    GetCall,
    GrantLeaseCall,
    KeysResponse,
    LeaseResponse,
    ListInstancesCall,
    ListKeysCall,
    PutCall,
    PutResponse,
    Refusal,
    RefusalKind,
    RenewLeaseCall,
    WatchCall,
)
from wigeondrift.store.contract import InstanceList, PlatformStore, VersionedValue
from wigeondrift.wire.http_client import HttpClient

CALL_TIMEOUT_SECONDS = 2.0
MAX_REUSE_SECONDS = 5.0
STATUS_OK = 200

ResponseType = TypeVar("ResponseType")


class HttpPlatformStore(PlatformStore):
    """Platform store accessed over HTTP.

    Parameters
    ----------
    client : HttpClient
    address : str
        ``host:port`` of the service.
    call_timeout : float
        Timeout of a call, in seconds, in addition to the wait of a watch.
    """

    __slots__ = ("_address", "_last_response_at", "_call_timeout", "_client")

    def __init__(
        self,
        client: HttpClient,
        address: str,
        call_timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._client = client
        self._address = address
        self._call_timeout = call_timeout
        self._last_response_at = -MAX_REUSE_SECONDS

    async def get(self, key: str) -> VersionedValue:
        """Return the value of ``key``."""
        return await self._call(GetCall(key), VersionedValue)

    async def put(self, key: str, value: bytes, expected: int, lease: str = "") -> int:
        """Write ``value`` if the key is at revision ``expected``."""
        call = PutCall(key, value, expected, lease)
        return (await self._call(call, PutResponse)).revision

    async def delete(self, key: str, expected: int) -> None:
        """Delete the key if it is at revision ``expected``."""
        await self._call(DeleteCall(key, expected), PutResponse)

    async def list_keys(self, prefix: str, limit: int = 1000) -> list[str]:
        """Return up to ``limit`` keys that start with ``prefix``, sorted."""
        response = await self._call(ListKeysCall(prefix, limit), KeysResponse)
        return list(response.keys)

    async def watch(self, key: str, after: int, wait: float) -> VersionedValue:
        """Return the value once its revision differs from ``after``."""
        return await self._call(WatchCall(key, after, wait), VersionedValue, wait)

    async def grant_lease(self, seconds: float) -> str:
        """Return the name of a new lease that expires after ``seconds``."""
        return (await self._call(GrantLeaseCall(seconds), LeaseResponse)).lease

    async def renew_lease(self, lease: str) -> bool:
        """Extend a lease by its full duration; return False if it has expired."""
        return (await self._call(RenewLeaseCall(lease), LeaseResponse)).live

    async def list_instances(self, after: int, wait: float) -> InstanceList:
        """Return the list once its revision differs from ``after``."""
        return await self._call(ListInstancesCall(after, wait), InstanceList, wait)

    async def _call(
        self, call: Call, response_type: type[ResponseType], wait: float = 0.0
    ) -> ResponseType:
        timeout = self._call_timeout + wait
        try:
            with trio.fail_after(timeout):
                status, body = await self._post_call(call, timeout)
        except (TransportError, trio.TooSlowError) as error:
            # The cause of this failure may have affected the idle connections too.
            await self._client.close_idle(self._address)
            raise PlatformUnavailable(f"{self._address}: {error}") from error
        self._last_response_at = trio.current_time()
        if status != STATUS_OK:
            raise _make_error(call, status, body)
        try:
            return msgspec.json.decode(body, type=response_type)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(f"{self._address}: {error}") from error

    async def _post_call(self, call: Call, timeout: float) -> tuple[int, bytes]:
        # A connection that was idle for a long time may be dead.
        new_connection = (
            trio.current_time() - self._last_response_at > MAX_REUSE_SECONDS
        )
        async with self._client.request(
            self._address,
            "POST",
            PATH_PREFIX + NAMES_BY_CALL_TYPE[type(call)],
            [("Content-Type", "application/json")],
            msgspec.json.encode(call),
            head_timeout=timeout,
            new_connection=new_connection,
        ) as response:
            return response.status, await response.read()


def _make_error(call: Call, status: int, body: bytes) -> Exception:
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except msgspec.MsgspecError:
        return PlatformUnavailable(f"the platform responded with status {status}")
    if refusal.kind is RefusalKind.CONFLICT:
        return RevisionConflict(call.key, call.expected, refusal.found)
    if refusal.kind is RefusalKind.THROTTLED:
        return PlatformThrottled(refusal.reason)
    return PlatformRefused(refusal.reason)
