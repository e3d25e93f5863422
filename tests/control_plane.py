"""Agents as processes, and entries' links to them in a thread of this process."""

import contextlib
import logging
import random
import threading

import msgspec
import trio

from tests.processes import Process, find_free_address, wait_until, write_settings
from wigeondrift.entities import Instance, Role
from wigeondrift.errors import PlatformError, WigeondriftError
from wigeondrift.operator.status import request_status
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.systems.agent_session import AgentSession
from wigeondrift.systems.shares import get_limit
from wigeondrift.table.rows import (
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    serialize_table,
)
from wigeondrift.table.tables import Tables
from wigeondrift.timer import TimerService, TrioClock
from wigeondrift.wire.agent_link import AgentLink
from wigeondrift.wire.http_client import HttpClient

ROW = "team/service"
DOMAINS = ("rajkot", "morbi", "jamnagar")


def make_table(running):
    return Table(
        services_by_name={"service": ServiceRow(ServiceKind.PLAIN)},
        teams_by_name={"team": TeamRow()},
        limits_by_row={ROW: LimitRow(running=running)},
    )


class ControlPlane:
    """Platform emulator with one address per agent, agents, and one link per agent."""

    def __init__(self):
        self.agents = []
        self.links = []
        self.timers = []
        self.platform = None
        self._scope = None
        self._token = None

    def start(self, count):
        self.platform_addresses = [find_free_address() for _ in range(count + 1)]
        listen = [
            part for each in self.platform_addresses for part in ("--listen", each)
        ]
        self.platform = Process("wigeondrift_emulator.platform", listen)
        self.platform.wait_for_event("started")
        self.message_addresses = [find_free_address() for _ in range(count)]
        for index in range(count):
            self.agents.append(self._start_agent(index, len(self.message_addresses)))
        self.set_instances()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run_links, daemon=True)
        self._thread.start()
        assert self._started.wait(10)

    def _start_agent(self, index, count):
        document = {
            "instance_id": f"i-{index}",
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "post": self.message_addresses[index],
            "platform": self.platform_addresses[index],
            "seeds": self.message_addresses,
            "configured_instances": count,
            "gossip_interval": 0.1,
        }
        path = write_settings(document)
        process = Process("wigeondrift.agent", ["--settings", path])
        process.wait_for_event("started")
        return process

    def restart_agent(self, index):
        self.agents[index].kill()
        self.agents[index] = self._start_agent(index, len(self.message_addresses))

    def set_instances(self, *more):
        agents = [
            Instance(f"i-{index}", 1, Role.AGENT, post, "rajkot")
            for index, post in enumerate(self.message_addresses)
        ]
        put = msgspec.to_builtins((*agents, *more))
        self.control("/control/instances", {"put": put})

    def control(self, path, document):
        async def post():
            client = HttpClient()
            body = msgspec.json.encode(document)
            async with client.request(
                self.platform_addresses[-1], "POST", path, body=body
            ) as response:
                assert response.status == 200, await response.read()
                await response.read()
            await client.close()

        trio.run(post)

    def write_table(self, running):
        self.write(make_table(running))

    def write(self, table):
        async def write():
            client = HttpClient()
            store = HttpPlatformStore(client, self.platform_addresses[-1])
            while True:
                with contextlib.suppress(PlatformError):
                    found = await store.get(TABLE_KEY)
                    data = serialize_table(table)
                    await store.put(TABLE_KEY, data, found.revision)
                    break
            await client.close()

        trio.run(write)

    def request_status(self, index):
        try:
            return trio.run(
                request_status, self.message_addresses[index], find_free_address()
            )
        except WigeondriftError:
            return None

    def _run_links(self):
        trio.run(self._serve_links)

    async def _serve_links(self):
        logger = logging.getLogger("wigeondrift.tests")
        logger.setLevel(logging.CRITICAL)
        async with trio.open_nursery() as nursery:
            for index, post in enumerate(self.message_addresses):
                link = self._make_link(index, post, logger)
                await link.start(nursery)
                nursery.start_soon(self.timers[index].run)
                self.links.append(link)
            self._token = trio.lowlevel.current_trio_token()
            self._scope = nursery.cancel_scope
            self._started.set()
        for link in self.links:
            await link.close()

    def _make_link(self, index, agent, logger):
        address = find_free_address()
        agent_session = AgentSession(
            Tables(),
            f"i-{index}/entry-0",
            address,
            1,
            agent,
            3,
            random.Random(index),
            direct_read=0.5,
        )
        store = HttpPlatformStore(HttpClient(), self.platform_addresses[index])
        timer = TimerService(TrioClock())
        link = AgentLink(agent_session, address, store, TrioClock(), timer, logger)
        self.timers.append(timer)
        return link

    def run_on_link_thread(self, function, *arguments):
        """Call a function in the thread of the links and return its result."""
        return trio.from_thread.run_sync(function, *arguments, trio_token=self._token)

    def get_limit(self, index):
        tables = self.links[index].agent_session.tables
        row = tables.table.limits_by_row.get(ROW)
        return row.running if row else None

    def list_running_limits(self):
        now = trio.current_time()
        return [
            get_limit(link.agent_session.tables, ROW, now).running
            for link in self.links
        ]

    def wait_for_link(self, index, limit):
        wait_until(lambda: self.get_limit(index) == limit, f"link {index}: {limit}")

    def wait_for_all(self, limit):
        for index in range(len(self.links)):
            self.wait_for_link(index, limit)
        version = self.links[0].agent_session.tables.table_version
        for index in range(len(self.agents)):
            wait_until(
                lambda index=index: (
                    (self.request_status(index) or {}).get("table_version") == version
                ),
                f"agent {index}: version {version}",
            )

    def close(self):
        if self._token is not None:
            self._token.run_sync_soon(self._scope.cancel)
            self._thread.join(10)
        for process in (*self.agents, self.platform):
            if process is not None:
                process.kill()
