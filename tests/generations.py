"""Test harness for model requests over emulated runners in virtual time."""

import random

import trio
from trio.testing import MockClock

from tests.engines import LAYERS, SERVICE, make_instance, make_runner_settings
from wigeondrift.entities import Instance, Role
from wigeondrift.entry.engine_memory import MemoryEngine
from wigeondrift.entry.generation import GenerationJob, Generator
from wigeondrift.errors import RequestError
from wigeondrift.settings import RequestSettings
from wigeondrift.systems.quarantine import Quarantine, make_fingerprint
from wigeondrift.systems.routing import Routing
from wigeondrift.table.rows import LimitRow, ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables
from wigeondrift.timer import TrioClock
from wigeondrift_emulator.runner import Cluster
from wigeondrift_emulator.tokens import expected_tokens

TEAM = "counters"
TICK_SECONDS = 0.1
PUBLISH_DELAY_SECONDS = 0.3


def schedule_in_order(rng):
    """Make trio schedule runnable tasks deterministically, as hypothesis does."""
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(rng.random())


class Caller:
    """One request and what its caller received."""

    def __init__(self, prompt, count):
        self.prompt = prompt
        self.count = count
        self.tokens = []
        self.token_times = []
        self.finish_reason = ""
        self.error = None
        self.attempts = 0
        self.done = trio.Event()

    def list_expected(self, version):
        return expected_tokens(self.prompt, SERVICE, version, LAYERS, self.count)


class GenerationHarness:
    """Emulated runners and one or more entries that route requests to them."""

    def __init__(self, seed=1, entries=1, version="v1"):
        self.cluster = Cluster()
        self.engine = MemoryEngine({})
        self.rng = random.Random(seed)
        self.version = version
        self.tables = []
        self.generators = []
        self.callers = []
        self.all_runners = []
        self.nursery = None
        self._numbers = iter(range(1, 1_000_000))
        for number in range(entries):
            self._add_entry(f"rajkot-{number}")

    def _add_entry(self, name):
        tables = Tables()
        rng = random.Random(self.rng.random())
        routing = Routing(tables, "rajkot", rng, name)
        generator = Generator(
            self.engine,
            routing,
            Quarantine(tables),
            RequestSettings(),
            TrioClock(),
            publish=lambda news: self.nursery.start_soon(
                self._publish_suspects, name, news
            ),
        )
        self.tables.append((name, tables))
        self.generators.append(generator)

    async def _publish_suspects(self, source, news):
        await trio.sleep(PUBLISH_DELAY_SECONDS)
        for (name, _), generator in zip(self.tables, self.generators, strict=True):
            if name != source:
                generator.merge_suspects(news)

    def add_runner(self, name, first, end, **fields):
        settings = make_runner_settings(name, first, end, f"{name}:1", **fields)
        runner = self.cluster.add(settings)
        self.engine.runners_by_address[settings.address] = runner
        self.all_runners.append(runner)
        return runner

    def add_grid(self, columns, domains=("rajkot",), **fields):
        """Add ``columns`` runners per layer range, spread over the failure domains."""
        for first, end in ((0, 4), (4, 8), (8, LAYERS)):
            for column in range(columns):
                domain = domains[column % len(domains)]
                name = f"r{first}-{column}"
                self.add_runner(name, first, end, failure_domain=domain, **fields)

    def publish_tables(self):
        """Update the table and the instance list of all entries."""
        row = ServiceRow(ServiceKind.MODEL, layers=LAYERS, version=self.version)
        runners = self.cluster.runners_by_id.values()
        instances = [
            make_instance(runner.settings, runner.incarnation) for runner in runners
        ]
        for name, _ in self.tables:
            instances.append(Instance(name, 1, Role.AGENT, f"{name}:1", "rajkot"))
        for _, tables in self.tables:
            tables.table = Table(
                services_by_name={SERVICE: row},
                limits_by_row={f"{TEAM}/{SERVICE}": LimitRow()},
            )
            tables.instances_by_id = {one.instance_id: one for one in instances}
            tables.instances_revision += 1

    def call(self, prompt, count, entry=0):
        """Start a request and return its caller."""
        caller = Caller(prompt, count)
        self.callers.append(caller)
        self.nursery.start_soon(self._call, caller, self.generators[entry])
        return caller

    async def _call(self, caller, generator):
        job = GenerationJob(
            f"rajkot-1.entry-0.1.{next(self._numbers)}",
            TEAM,
            SERVICE,
            caller.prompt,
            caller.count,
            fingerprint=make_fingerprint(TEAM, SERVICE, caller.prompt, ""),
        )
        caller.request_id = job.request_id
        try:
            async with generator.open(job) as generation:
                async for texts in generation:
                    caller.tokens.extend(texts)
                    now = trio.current_time()
                    caller.token_times.extend([now] * len(texts))
                caller.finish_reason = generation.finish_reason
                caller.attempts = generation.attempts
        except RequestError as error:
            caller.error = error
        caller.done.set()

    async def _tick(self):
        while True:
            for generator in self.generators:
                await generator.tick(trio.current_time())
            await trio.sleep(TICK_SECONDS)

    def run(self, main):
        """Run the coroutine function ``main`` in virtual time."""

        async def run_all():
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for generator in self.generators:
                    await generator.start(nursery)
                self.publish_tables()
                nursery.start_soon(self._tick)
                await main()
                nursery.cancel_scope.cancel()

        schedule_in_order(self.rng)
        trio.run(run_all, clock=MockClock(autojump_threshold=0))

    async def wait(self, seconds=120.0):
        """Wait until all callers have an answer or an error."""
        with trio.fail_after(seconds):
            for caller in self.callers:
                await caller.done.wait()
