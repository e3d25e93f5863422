"""Entries, a platform and upstreams in virtual time, with faults at any point.

Calls run in the nursery of the ``World``, so that calls sent by an entry still arrive
after the entry was killed.
"""

import random

import outcome
import trio
from trio.testing import MockClock

from wigeondrift.entities import Instance, Role
from wigeondrift.entry.claims import KeyClaimStore
from wigeondrift.entry.orders import OrderExecutor, OrderJob, UpstreamChooser
from wigeondrift.entry.service import KEY_HEADER, PlainService, ServiceCall
from wigeondrift.entry.service_memory import FaultMode, MemoryPlainService, Switches
from wigeondrift.entry.settlement import Settlement, settle_claim
from wigeondrift.errors import ErrorKind, RequestError, WigeondriftError
from wigeondrift.settings import RequestSettings
from wigeondrift.store.contract import PlatformStore
from wigeondrift.store.core import Faults, StoreCore
from wigeondrift.store.memory import MemoryStore
from wigeondrift.table.rows import ServiceKind, ServiceRow
from wigeondrift.table.tables import Tables
from wigeondrift.timer import TrioClock

ROWS_BY_NAME = {
    "strict": ServiceRow(ServiceKind.PLAIN),
    "fenced": ServiceRow(ServiceKind.PLAIN, checks_fencing=True),
    "dropping": ServiceRow(ServiceKind.PLAIN, drops_repeats=True),
}
ADDRESSES_BY_SERVICE = {
    name: (f"127.0.0.{number}:1", f"127.0.0.{number}:2")
    for number, name in enumerate(ROWS_BY_NAME, 1)
}
RESTART_SECONDS = 0.5
CALL_SECONDS = 0.01
ACTION_SECONDS = 0.015
SETTLE_SECONDS = 200.0
TEAM = "mandali"


class Entry:
    """An entry process: its order executor and the faults to inject."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.starts = 0
        self.pending_faults = []
        self.running = None
        self.scope = None
        self.executor = None

    async def run(self):
        while True:
            self.starts += 1
            self.running = trio.Event()
            self.running.set()
            with trio.CancelScope() as self.scope:
                async with trio.open_nursery() as nursery:
                    self.executor = self.world.make_executor(self)
                    await self.executor.start(nursery)
                    await trio.sleep_forever()
            await trio.sleep(RESTART_SECONDS)

    def kill(self):
        self.executor = None
        self.scope.cancel()
        self.running.set()

    def pause(self, seconds):
        if self.running.is_set():
            self.running = trio.Event()
            self.world.nursery.start_soon(self._resume, self.running, seconds)

    async def _resume(self, running, seconds):
        await trio.sleep(seconds)
        running.set()

    async def reach_point(self, point):
        """Inject the faults due at ``point``; block while the entry is paused."""
        for fault in list(self.pending_faults):
            if fault.point == point and fault.count_down():
                self.pending_faults.remove(fault)
                fault.inject(self)
        with trio.CancelScope(shield=True):
            await self.running.wait()
        await trio.lowlevel.checkpoint()


class PointFault:
    """A fault injected when an entry reaches a point after ``skipped`` passes."""

    def __init__(self, point, skipped, pause_seconds):
        self.point = point
        self.skipped = skipped
        self.pause_seconds = pause_seconds

    def count_down(self):
        self.skipped -= 1
        return self.skipped < 0

    def inject(self, entry):
        if self.pause_seconds:
            entry.pause(self.pause_seconds)
        else:
            entry.kill()


class EntryStore(PlatformStore):
    """Connection of an entry to the platform."""

    def __init__(self, entry, store):
        self._entry = entry
        self._store = store

    async def _call(self, name, point, *arguments):
        await self._entry.reach_point(f"before_{point}")
        function = getattr(self._store, name)
        result = await self._entry.world.call_remotely(function, *arguments)
        await self._entry.reach_point(f"after_{point}")
        return result.unwrap()

    async def get(self, key):
        return await self._call("get", "read", key)

    async def put(self, key, value, expected, lease=""):
        return await self._call("put", "write", key, value, expected, lease)

    async def delete(self, key, expected):
        await self._call("delete", "write", key, expected)

    async def list_keys(self, prefix, limit=1000):
        return await self._call("list_keys", "read", prefix, limit)

    async def watch(self, key, after, wait):
        return await self._call("watch", "read", key, after, wait)

    async def grant_lease(self, seconds):
        return await self._call("grant_lease", "grant", seconds)

    async def renew_lease(self, lease):
        return await self._call("renew_lease", "grant", lease)

    async def list_instances(self, after, wait):
        return await self._call("list_instances", "read", after, wait)


class EntryService(PlainService):
    """Connections of an entry to the upstreams."""

    def __init__(self, entry, service):
        self._entry = entry
        self._service = service

    async def call(self, address, call, timeout, send_by=None):
        await self._entry.reach_point("before_send")
        result = await self._entry.world.call_remotely(
            self._service.call, address, call, timeout, send_by
        )
        await self._entry.reach_point("after_send")
        return result.unwrap()


class FirstChooser(UpstreamChooser):
    def choose(self, service, team, excluded, now):
        for address in ADDRESSES_BY_SERVICE[service]:
            if address not in excluded:
                return Instance(address, 1, Role.SERVICE, address, "rajkot")
        raise RequestError(ErrorKind.NO_UPSTREAM, "no upstream is left")


class Reply:
    """Answer or error that a caller received; neither if its entry was killed."""

    def __init__(self, request_id, service, key, body, method):
        self.request_id = request_id
        self.service = service
        self.key = key
        self.body = body
        self.method = method
        self.result = None
        self.error = None
        self.runs = 0
        self.answered = trio.Event()

    @property
    def outcome(self):
        answer = self.result or self.error
        return answer.outcome if answer else None


class World:
    """System under test, against which a plan of actions is run."""

    def __init__(self, entries, seed=0, make_claims=None):
        self.core = StoreCore(Faults(), seed)
        self.store = MemoryStore(self.core)
        addresses = sum(ADDRESSES_BY_SERVICE.values(), ())
        self.service = MemoryPlainService(addresses)
        self.tables = Tables()
        self.tables.table.services_by_name.update(ROWS_BY_NAME)
        self.entries = [Entry(self, f"entry-{n}") for n in range(entries)]
        self.replies = []
        self.was_disturbed = False
        self.nursery = None
        self._seed = seed
        self._make_claims = make_claims or KeyClaimStore

    def make_executor(self, entry):
        store = EntryStore(entry, self.store.connect(entry.name))
        clock = TrioClock()
        return OrderExecutor(
            self._make_claims(store, clock),
            EntryService(entry, self.service),
            FirstChooser(),
            self.tables,
            clock,
            clock,
            RequestSettings(call_timeout=5.0),
            random.Random(f"{self._seed}{entry.name}{entry.starts}"),
        )

    async def call_remotely(self, function, *arguments):
        """Run a call that its caller cannot cancel; return its captured outcome."""
        done = trio.Event()
        results = []

        async def run():
            results.append(await outcome.acapture(function, *arguments))
            done.set()

        self.nursery.start_soon(run)
        await done.wait()
        return results[0]

    def submit(self, number, service, key, body="{}", method="POST"):
        entry = self.entries[number]
        request_id = f"request-{len(self.replies)}"
        reply = Reply(request_id, service, key, body, method)
        self.replies.append(reply)
        self.nursery.start_soon(self._call, entry, reply)
        return reply

    async def _call(self, entry, reply):
        if entry.executor is None:
            return
        headers = ((KEY_HEADER, reply.key),)
        call = ServiceCall(reply.method, "/orders", headers, reply.body.encode())
        job = OrderJob(reply.request_id, TEAM, reply.service, reply.key, call)
        try:
            reply.result = await entry.executor.run(job)
        except RequestError as error:
            reply.error = error
        reply.runs = len(self.service.ledger.entries)
        reply.answered.set()

    def switch(self, service, number, mode=FaultMode.NORMAL, count=-1, delay=0.0):
        address = ADDRESSES_BY_SERVICE[service][number]
        self.service.switches_by_address[address] = Switches(
            checks_fencing=service == "fenced",
            drops_repeats=service == "dropping",
            mode=mode,
            count=count,
            delay=delay + CALL_SECONDS,
        )

    def heal(self):
        for field, value in get_fields(Faults(delay=CALL_SECONDS)).items():
            self.store.change_faults(**{field: value})
        for service in ADDRESSES_BY_SERVICE:
            for number in range(2):
                self.switch(service, number)
        for entry in self.entries:
            entry.pending_faults.clear()
            entry.running.set()

    async def settle(self, service, key):
        """Settle a claim as an operator who reads the upstreams' records."""
        ran = self.service.ledger.runs_by_key.get(key, 0)
        settlement = Settlement.RAN if ran else Settlement.NOT_RUN
        claims = self._make_claims(self.store.connect("operator"), TrioClock())
        try:
            await settle_claim(
                claims, service, TEAM, key, settlement, "op", trio.current_time()
            )
        except WigeondriftError:
            return

    def run(self, actions):
        """Run the actions, remove all faults and wait until all work has ended."""

        async def main():
            async with trio.open_nursery() as self.nursery:
                for entry in self.entries:
                    self.nursery.start_soon(entry.run)
                await trio.testing.wait_all_tasks_blocked()
                self.heal()
                for action in actions:
                    await action(self)
                    await trio.sleep(ACTION_SECONDS)
                self.heal()
                await trio.sleep(SETTLE_SECONDS)
                self.nursery.cancel_scope.cancel()

        run_in_order(main, self._seed)


def get_fields(struct):
    return {name: getattr(struct, name) for name in struct.__struct_fields__}


def run_in_order(main, seed=0):
    """Run a coroutine function in virtual time with deterministic scheduling."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    return trio.run(main, clock=MockClock(autojump_threshold=0))
