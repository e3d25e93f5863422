"""Test cases that each implementation of the platform store must pass."""

import trio
from trio.testing import MockClock

from wigeondrift.entities import Instance, InstanceState, Role
from wigeondrift.errors import (
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.store.core import MAX_VALUE_BYTES, DownMode, Faults
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.store.memory import MemoryStore
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.platform import PlatformEmulator

LONG_WAIT_SECONDS = 30.0
SHORT_WAIT_SECONDS = 0.05


async def expect_error(kind, call, *arguments):
    """Return the error that the call raises; fail if it raises none of this kind."""
    try:
        result = await call(*arguments)
    except kind as error:
        return error
    raise AssertionError(f"{call.__name__} returned {result} and not {kind}")


async def case_compare_and_swap(store, control):
    assert (await store.get("k")).revision == 0
    first = await store.put("k", b"one", 0)
    error = await expect_error(RevisionConflict, store.put, "k", b"two", 0)
    assert (error.key, error.expected, error.found) == ("k", 0, first)
    second = await store.put("k", b"two", first)
    assert second > first
    seen = await store.get("k")
    assert (seen.value, seen.revision) == (b"two", second)
    await expect_error(RevisionConflict, store.delete, "k", first)
    await store.delete("k", second)
    assert (await store.get("k")).revision == 0
    assert await store.put("k", b"three", 0) > second


async def case_key_list(store, control):
    for key in ("a/2", "a/1", "a/3", "b/1"):
        await store.put(key, b"", 0)
    assert await store.list_keys("a/") == ["a/1", "a/2", "a/3"]
    assert await store.list_keys("a/", 2) == ["a/1", "a/2"]


async def case_value_bound(store, control):
    max_value = b"x" * MAX_VALUE_BYTES
    revision = await store.put("k", max_value, 0)
    assert (await store.get("k")).value == max_value
    await expect_error(PlatformRefused, store.put, "k", max_value + b"x", revision)


async def case_watch(store, control):
    revision = await store.put("k", b"one", 0)
    seen = await store.watch("k", 0, LONG_WAIT_SECONDS)
    assert seen.revision == revision
    seen = await store.watch("k", revision, SHORT_WAIT_SECONDS)
    assert seen.revision == revision
    calls = control.core.calls_by_name["watch"]
    async with trio.open_nursery() as nursery:

        async def watch():
            nonlocal seen
            seen = await store.watch("k", revision, LONG_WAIT_SECONDS)

        nursery.start_soon(watch)
        await trio.sleep(SHORT_WAIT_SECONDS)
        await store.put("k", b"two", revision)
    assert seen.value == b"two"
    assert control.core.calls_by_name["watch"] == calls + 1


async def case_lease(store, control):
    lease = await store.grant_lease(0.5)
    assert await store.renew_lease(lease)
    revision = await store.put("k", b"held", 0, lease)
    seen = await store.watch("k", revision, LONG_WAIT_SECONDS)
    assert seen.revision == 0
    assert not await store.renew_lease(lease)
    await expect_error(PlatformRefused, store.put, "k", b"", 0, lease)


async def case_lost_answer(store, control):
    control.change_faults(lost_answers=1)
    await expect_error(PlatformUnavailable, store.put, "k", b"one", 0)
    assert (await store.get("k")).value == b"one"


async def case_late_write(store, control):
    control.change_faults(late_writes=1, late_seconds=0.5)
    await expect_error(PlatformUnavailable, store.put, "k", b"late", 0)
    assert (await store.get("k")).revision == 0
    assert (await store.watch("k", 0, LONG_WAIT_SECONDS)).value == b"late"
    control.change_faults(late_writes=1)
    await expect_error(PlatformUnavailable, store.put, "j", b"late", 0)
    await store.put("j", b"first", 0)
    await trio.sleep(0.6)
    assert (await store.get("j")).value == b"first"


async def case_outage(store, control):
    revision = await store.put("k", b"one", 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            expect_error,
            PlatformUnavailable,
            store.watch,
            "k",
            revision,
            LONG_WAIT_SECONDS,
        )
        await trio.sleep(SHORT_WAIT_SECONDS)
        control.change_faults(down=DownMode.RESET)
    await expect_error(PlatformUnavailable, store.put, "k", b"two", revision)
    control.change_faults(down=DownMode.HANG)
    await expect_error(PlatformUnavailable, store.put, "k", b"two", revision)
    control.change_faults(down=DownMode.UP)
    assert (await store.get("k")).value == b"one"


async def case_silent_connections(store, control):
    """All open connections become unresponsive for good, while new ones work."""
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(store.watch, "k", 0, SHORT_WAIT_SECONDS)
    control.make_unresponsive()
    await expect_error(PlatformUnavailable, store.get, "k")
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(store.get, "k")


async def case_outage_of_one_caller(store, control):
    control.change_faults(down_by_caller={"cut": DownMode.RESET})
    await store.put("k", b"one", 0)
    other = control.connect("cut")
    await expect_error(PlatformUnavailable, other.get, "k")


async def case_throttling(store, control):
    control.change_faults(writes_per_second=0.01, reads_per_second=0.01)
    revision = await store.put("k", b"one", 0)
    await expect_error(PlatformThrottled, store.put, "k", b"two", revision)
    assert (await store.get("k")).value == b"one"
    await expect_error(PlatformThrottled, store.get, "k")
    assert control.core.throttled == 2


async def case_stale_reads(store, control):
    first = await store.put("k", b"one", 0)
    control.change_faults(stale_reads=0.5)
    await trio.sleep(0.6)
    second = await store.put("k", b"two", first)
    assert (await store.get("k")).revision == first
    assert (await store.watch("k", first, LONG_WAIT_SECONDS)).revision == second


async def case_instance_list(store, control):
    def make(state):
        return Instance("a", 1, Role.RUNNER, "127.0.0.1:9", "rajkot", state)

    control.set_instances(make(InstanceState.LIVE))
    seen = await store.list_instances(0, LONG_WAIT_SECONDS)
    assert seen.instances == (make(InstanceState.LIVE),)
    control.change_faults(list_lag=0.5)
    await trio.sleep(0.6)
    control.update_instances((make(InstanceState.LEAVING),))
    assert await store.list_instances(0, 0.0) == seen
    later = await store.list_instances(seen.revision, LONG_WAIT_SECONDS)
    assert later.instances == (make(InstanceState.LEAVING),)
    assert later.revision > seen.revision


CASES_BY_NAME = {
    name.removeprefix("case_").replace("_", " "): case
    for name, case in globals().items()
    if name.startswith("case_")
}


async def run_in_memory(case):
    store = MemoryStore()
    await case(store, store)


class StallableStream(trio.abc.Stream):
    """Server side of a connection that stops receiving data on demand."""

    def __init__(self, stream):
        self.stream = stream
        self.is_unresponsive = False

    async def send_all(self, data):
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        data = await self.stream.receive_some(max_bytes)
        if self.is_unresponsive:
            await trio.sleep_forever()
        return data

    async def aclose(self):
        await self.stream.aclose()


class HttpControl:
    """Controls the emulator's store and the connections to it."""

    def __init__(self, store):
        self.store = store
        self.streams = []

    def __getattr__(self, name):
        return getattr(self.store, name)

    def make_unresponsive(self):
        for stream in self.streams:
            stream.is_unresponsive = True


async def run_over_http(case):
    emulator = PlatformEmulator(Faults())
    control = HttpControl(emulator.store)

    async def serve(stream):
        control.streams.append(StallableStream(stream))
        await server.serve_stream(control.streams[-1])

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        server = emulator.make_server("direct")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient()
        store = HttpPlatformStore(client, f"127.0.0.1:{port}", call_timeout=1.0)
        with trio.fail_after(LONG_WAIT_SECONDS):
            await case(store, control)
        await client.close()
        nursery.cancel_scope.cancel()


def run_case(name, form):
    """Run one case on one implementation of the store, ``memory`` or ``http``."""
    case = CASES_BY_NAME[name]
    if form == "memory":
        clock = MockClock(autojump_threshold=0)
        trio.run(run_in_memory, case, clock=clock)
    else:
        trio.run(run_over_http, case)
