"""The platform's metadata store over HTTP."""

import base64
import math
from collections.abc import Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec
import trio

from wigeondrift.errors import (
    AnswerTooLarge,
    HistoryLost,
    LeaseEnded,
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
    TransportError,
)
from wigeondrift.store.revisions import Item, Lease, Page, Position, RevisionStore
from wigeondrift.wire.http_client import ClientResponse, HttpClient, Pace
from wigeondrift.wire.numbers import parse_whole_number

# Responses take 4 ms; a store that is slowed down sixtyfold still responds in time.
CALL_TIMEOUT_SECONDS = 0.7
# A long answer may take longer, as others read from the store at the same time.
BODY_PACE = Pace(silence=CALL_TIMEOUT_SECONDS, bytes_per_second=250_000.0)
# Length of an answer with changes above which the present state is read in their place:
# two versions of the largest value, in base64.
MAX_HISTORY_BYTES = 3 * 1048576
MAX_ANSWER_BYTES = 4 * 1048576
JSON_HEADERS = [("Content-Type", "application/json")]
STATUS_OK = 200
# In all answers; rises by one each time that the store is restored from a copy.
ERA = "store-era"

AnswerType = TypeVar("AnswerType")


class _WireItem(msgspec.Struct):
    key: str
    revision: int
    value: str | None = None
    removed: bool = False

    def decode(self) -> Item:
        if self.removed or self.value is None:
            return Item(self.key, None, self.revision)
        try:
            value = base64.b64decode(self.value)
        except ValueError:
            # Whoever reads the item logs that it is not usable.
            value = b""
        return Item(self.key, value, self.revision)


class _RangeAnswer(msgspec.Struct):
    items: list[_WireItem]
    as_of: int
    # Whether another page follows.
    more_pages: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_WireItem]
    as_of: int


class _TxnAnswer(msgspec.Struct):
    revision: int = 0


class _ConflictAnswer(msgspec.Struct):
    items: list[_WireItem] = []


class _LeaseAnswer(msgspec.Struct):
    ttl_ms: float
    lease: int = 0


class _Answer(NamedTuple):
    body: bytes
    era: int


class HttpRevisionStore(RevisionStore):
    """The platform's store, reached over HTTP.

    Parameters
    ----------
    client : HttpClient
    address : str
        ``host:port`` of the store.
    """

    __slots__ = ("_address", "_client", "_era", "_receiving")

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address
        # Highest era in any answer.
        self._era = 0
        # Number of answers whose bodies are arriving.
        self._receiving = 0

    @property
    def is_receiving(self) -> bool:
        """Whether an answer has begun to arrive and is not complete."""
        return self._receiving > 0

    def set_address(self, address: str) -> None:
        """Use another address from now on."""
        self._address = address

    async def list_items(self, prefix: str) -> Page:
        """Return all items below ``prefix``."""
        items: list[Item] = []
        position = None
        query = {"prefix": prefix}
        while True:
            target = "/wigeondrift/kv-range?" + urlencode(query)
            body, era = await self._call("GET", target)
            answer = _decode(body, _RangeAnswer)
            position = position or Position(era, answer.as_of)
            if era != position.era:
                raise HistoryLost(target)
            items.extend(item.decode() for item in answer.items)
            if not answer.more_pages or not answer.items:
                return Page(tuple(items), position)
            query["after"] = answer.items[-1].key

    async def watch(self, prefix: str, after: Position, wait: float) -> Page:
        """Wait for up to ``wait`` seconds for changes after a position; return them."""
        query = {
            "prefix": prefix,
            "after": after.revision,
            "wait_ms": int(wait * 1000),
        }
        target = "/wigeondrift/kv-watch?" + urlencode(query)
        body, era = await self._call("GET", target, wait=wait, limit=MAX_HISTORY_BYTES)
        if era != after.era:
            raise HistoryLost(target)
        answer = _decode(body, _WatchAnswer)
        items = tuple(event.decode() for event in answer.events)
        return Page(items, Position(era, answer.as_of))

    async def put(
        self, key: str, value: bytes, expected: int, lease: Lease | None = None
    ) -> int:
        """Write a key if it is at revision ``expected``; return its new revision."""
        item: dict[str, object] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        if lease is not None:
            _check_era(lease, self._era)
            item["lease"] = lease.number
        call = {
            "expect": [{"key": key, "revision": expected}],
            "puts": [item],
            "deletes": [],
        }
        body, era = await self._call("POST", "/wigeondrift/kv-txn", call, key, expected)
        if lease is not None:
            _check_era(lease, era)
        return _decode(body, _TxnAnswer).revision

    async def delete(self, keys: Sequence[str]) -> None:
        """Delete keys, whatever their revisions."""
        call = {"expect": [], "puts": [], "deletes": list(keys)}
        await self._call("POST", "/wigeondrift/kv-txn", call)

    async def grant_lease(self, seconds: float) -> Lease:
        """Return a new lease that expires after ``seconds``."""
        call = {"ttl_ms": int(seconds * 1000)}
        body, era = await self._call("POST", "/wigeondrift/kv-lease", call)
        return Lease(era, _decode(body, _LeaseAnswer).lease)

    async def renew_lease(self, lease: Lease) -> None:
        """Extend a lease by its full time."""
        _check_era(lease, self._era)
        _, era = await self._call("POST", f"/wigeondrift/kv-keep/{lease.number}")
        _check_era(lease, era)

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; its keys are removed."""
        if lease.era == self._era:
            await self._call("DELETE", f"/wigeondrift/kv-lease-end/{lease.number}")

    async def _call(
        self,
        method: str,
        target: str,
        call: object = None,
        key: str = "",
        expected: int = 0,
        wait: float = 0.0,
        limit: int = MAX_ANSWER_BYTES,
    ) -> _Answer:
        timeout = CALL_TIMEOUT_SECONDS + wait
        data = b"" if call is None else msgspec.json.encode(call)
        try:
            with trio.fail_after(timeout) as scope:
                async with self._client.request(
                    self._address,
                    method,
                    target,
                    JSON_HEADERS if data else None,
                    data,
                    head_timeout=timeout,
                ) as response:
                    scope.deadline = math.inf
                    status = response.status
                    self._receiving += 1
                    try:
                        body = await response.read_steadily(BODY_PACE, limit)
                    finally:
                        self._receiving -= 1
                    era = self._get_era(response)
        except AnswerTooLarge as error:
            # The same answer would only grow.
            raise HistoryLost(f"{target}: {error}") from error
        except (TransportError, trio.TooSlowError) as error:
            # The fault may have broken the idle connections as well.
            await self._client.close_idle(self._address)
            raise PlatformUnavailable(f"{target}: {error!r}") from error
        if status != STATUS_OK:
            raise _make_error(status, target, body, key, expected)
        return _Answer(body, era)

    def _get_era(self, response: ClientResponse) -> int:
        era = parse_whole_number(response.header(ERA) or "")
        if era is None:
            return self._era
        self._era = max(self._era, era)
        return era


def _check_era(lease: Lease, era: int) -> None:
    """Raise ``LeaseEnded`` if a lease is of another era of the store."""
    if lease.era != era:
        raise LeaseEnded(f"lease {lease.number} is of era {lease.era}, not {era}")


def _decode(body: bytes, kind: type[AnswerType]) -> AnswerType:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PlatformUnavailable(f"the answer can't be read: {error}") from error


def _make_error(
    status: int, target: str, body: bytes, key: str, expected: int
) -> Exception:
    if status == 412:
        found = 0
        for item in _decode(body, _ConflictAnswer).items:
            if item.key == key and not item.removed:
                found = item.revision
        return RevisionConflict(key, expected, found)
    if status == 410:
        return HistoryLost(target)
    if status == 404:
        return LeaseEnded(target)
    if status == 429:
        return PlatformThrottled(target)
    if status >= 500:
        return PlatformUnavailable(f"{target}: status {status}")
    return PlatformRefused(f"{target}: status {status}")
