"""Emulated revision store: watches, transactions and leases over HTTP."""

import base64
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec
import trio

from wigeondrift.wire.http_server import Exchange

PAGE_ITEMS = 50
RESPONSE_SECONDS = 0.004
WRITE_CALLS = frozenset({"kv-txn", "kv-lease"})
# Keys of the operator and of the upstreams.
REWRITTEN_PREFIXES = ("op/", "servers/")


class StoreCopy(NamedTuple):
    """Contents of the store at some time."""

    revision: int
    items_by_key: dict[str, dict]
    changes: list[dict]
    leases_by_id: dict[int, tuple[float, float]]


class RevisionServer:
    """Key-value store with one revision counter.

    Attributes
    ----------
    revision : int
        Current revision.
    compacted_revision : int
        Watches that start before this revision are answered with status 410.
    era : int
        Number of times that the store was restored, in each answer.
    is_down : bool
        Whether every request is answered with status 503.
    is_read_only : bool
        Whether transactions and new leases are answered with status 503.
    drops_responses : bool
        Whether transactions are applied but never answered.
    calls_by_name : dict of str to int
        Number of requests by the last part of their path.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.era = 1
        self.is_down = False
        self.is_read_only = False
        self.drops_responses = False
        self.calls_by_name: dict[str, int] = {}
        self._items_by_key: dict[str, dict] = {}
        self._changes: list[dict] = []
        self._leases_by_id: dict[int, tuple[float, float]] = {}
        # What is written again after a restoration: items and keys of removed ones.
        self._unwritten: tuple[list[dict], list[str]] = ([], [])
        self._changed = trio.Event()

    def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Store a value and return its revision."""
        self.revision += 1
        previous = self._items_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": previous["create_rev"] if previous else self.revision,
            "lease": lease,
        }
        self._items_by_key[key] = item
        self._append_change(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key, if it exists."""
        if self._items_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_change(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def grant_lease(self, seconds: float) -> int:
        """Return the number of a new lease."""
        self.revision += 1
        self._leases_by_id[self.revision] = (trio.current_time() + seconds, seconds)
        return self.revision

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self._items_by_key.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def compact_history(self) -> None:
        """Compact the history; watches from older revisions then get status 410."""
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store may be restored later."""
        return StoreCopy(
            self.revision,
            dict(self._items_by_key),
            list(self._changes),
            dict(self._leases_by_id),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy of before; revisions since are given out again.

        The operator and the upstreams then write again what they wrote since.
        """
        lost = [
            item
            for key, item in self._items_by_key.items()
            if copy.items_by_key.get(key) != item and key.startswith(REWRITTEN_PREFIXES)
        ]
        removed = [
            key
            for key in copy.items_by_key
            if key not in self._items_by_key and key.startswith(REWRITTEN_PREFIXES)
        ]
        self.era += 1
        self.revision = copy.revision
        self._items_by_key = dict(copy.items_by_key)
        self._changes = list(copy.changes)
        self._leases_by_id = dict(copy.leases_by_id)
        self._changed.set()
        self._changed = trio.Event()
        self._unwritten = lost, removed

    def rewrite(self) -> None:
        """Write again what the operator and the upstreams had written."""
        lost, removed = self._unwritten
        for item in lost:
            self.write(item["key"], base64.b64decode(item["value"]))
        for key in removed:
            self.remove(key)

    def _append_change(self, change: dict) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = trio.Event()

    def _expire_leases(self) -> None:
        now = trio.current_time()
        for lease, (ends_at, _) in list(self._leases_by_id.items()):
            if now >= ends_at:
                self._delete_lease(lease)

    def _delete_lease(self, lease: int) -> None:
        del self._leases_by_id[lease]
        for key, item in list(self._items_by_key.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = exchange.request
        name = request.path.rsplit("/", 1)[-1]
        if request.path.startswith("/wigeondrift/kv-keep/"):
            name = "kv-keep"
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        if self.is_down or (self.is_read_only and name in WRITE_CALLS):
            await self._respond(exchange, 503)
            return
        await trio.sleep(RESPONSE_SECONDS)
        self._expire_leases()
        query = {
            key: values[0] for key, values in parse_qs(request.query, True).items()
        }
        if name == "kv-range":
            await self._range(exchange, query)
        elif name == "kv-watch":
            await self._watch(exchange, query)
        elif name == "kv-txn":
            await self._transact(exchange, msgspec.json.decode(request.body))
        elif name == "kv-lease":
            seconds = msgspec.json.decode(request.body)["ttl_ms"] / 1000.0
            lease = self.grant_lease(seconds)
            await self._respond(
                exchange, 200, {"lease": lease, "ttl_ms": seconds * 1000}
            )
        elif name == "kv-keep":
            lease = int(request.path.rsplit("/", 1)[-1])
            if lease not in self._leases_by_id:
                await self._respond(exchange, 404)
                return
            seconds = self._leases_by_id[lease][1]
            self._leases_by_id[lease] = (trio.current_time() + seconds, seconds)
            await self._respond(exchange, 200, {"ttl_ms": seconds * 1000})
        else:
            lease = int(name)
            if lease in self._leases_by_id:
                self._delete_lease(lease)
            await self._respond(exchange, 200, {})

    async def _range(self, exchange: Exchange, query: dict[str, str]) -> None:
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [self._items_by_key[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        answer = {"items": items, "more_pages": more, "as_of": self.revision}
        await self._respond(exchange, 200, answer)

    async def _watch(self, exchange: Exchange, query: dict[str, str]) -> None:
        after, era = int(query["after"]), self.era
        with trio.move_on_after(int(query["wait_ms"]) / 1000.0):
            while era == self.era and self._is_known(after):
                if self._list_changes(query["prefix"], after):
                    break
                await self._changed.wait()
        if era != self.era:
            await self._respond(exchange, 503)
            return
        if not self._is_known(after):
            await self._respond(exchange, 410)
            return
        events = self._list_changes(query["prefix"], after)
        await self._respond(exchange, 200, {"events": events, "as_of": self.revision})

    def _is_known(self, revision: int) -> bool:
        return self.compacted_revision <= revision <= self.revision

    def _list_changes(self, prefix: str, after: int) -> list[dict]:
        return [
            change
            for change in self._changes
            if change["revision"] > after and change["key"].startswith(prefix)
        ]

    async def _transact(self, exchange: Exchange, call: dict) -> None:
        rows = call["expect"]
        found = [self._items_by_key.get(row["key"]) for row in rows]
        for row, item in zip(rows, found, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                items = [item for item in found if item]
                await self._respond(exchange, 412, {"items": items})
                return
        for row in call["puts"]:
            lease = row.get("lease", 0)
            if lease and lease not in self._leases_by_id:
                await self._respond(exchange, 404)
                return
            self.write(row["key"], base64.b64decode(row["value"]), lease)
        for key in call["deletes"]:
            self.remove(key)
        if self.drops_responses:
            await trio.sleep_forever()
        await self._respond(exchange, 200, {"revision": self.revision})

    async def _respond(
        self, exchange: Exchange, status: int, answer: dict | None = None
    ) -> None:
        headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
        body = b"" if answer is None else msgspec.json.encode(answer)
        await exchange.respond(status, headers, body)
