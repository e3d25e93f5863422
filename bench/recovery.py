"""Time from a fault to the next token that the caller sees.

Run as ``python -m bench.recovery``. Thirty emulated runners in three failure domains
run over HTTP in one process of their own; the streams run in this one. Each round
starts streams, hits a runner that carries some of them and measures, for each stream
that it carried, the time from the fault to the next token.
"""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

import msgspec
import trio

from wigeondrift.entities import Instance, Role
from wigeondrift.entry.engine_http import HttpEngine
from wigeondrift.entry.generation import GenerationJob, Generator
from wigeondrift.errors import RequestError
from wigeondrift.settings import RequestSettings
from wigeondrift.systems.quarantine import Quarantine, make_fingerprint
from wigeondrift.systems.retries import RetryBudget
from wigeondrift.systems.routing import Routing
from wigeondrift.table.rows import ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables
from wigeondrift.timer import TrioClock
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.engine import EngineSettings
from wigeondrift_emulator.links import LinkSettings
from wigeondrift_emulator.runner import RunnerSettings

SERVICE = "kokil-lm"
VERSION = "v1"
LAYERS = 48
STAGE_BOUNDARIES = (0, 16, 32, 48)
DOMAINS = ("rajkot", "morbi", "jamnagar")
RUNNERS = 30
FIRST_PORT = 23100
STREAMS = 12
ROUNDS = 8
STREAM_TOKENS = 400
WARMUP_SECONDS = 1.0
RECOVERY_TIMEOUT_SECONDS = 12.0
FAULTS = ("die", "freeze", "silence")
SETTLE_SECONDS = 1.0


def make_settings() -> EngineSettings:
    """Return the settings of thirty runners of mixed kinds."""
    runners = []
    for number in range(RUNNERS):
        first, end = list(zip(STAGE_BOUNDARIES, STAGE_BOUNDARIES[1:], strict=False))[
            number % 3
        ]
        runners.append(
            RunnerSettings(
                instance_id=f"runner-{number}",
                address=f"127.0.0.1:{FIRST_PORT + number}",
                failure_domain=DOMAINS[(number // 3) % 3],
                service=SERVICE,
                version=VERSION,
                first_layer=first,
                end_layer=end,
                kind=("slow", "fast")[number % 2],
                token_seconds=(0.012, 0.006)[number % 2],
            )
        )
    links = tuple(
        LinkSettings(source, target, 0.0005)
        for source in DOMAINS
        for target in DOMAINS
        if source < target
    )
    return EngineSettings(f"127.0.0.1:{FIRST_PORT - 1}", tuple(runners), links)


def make_tables(settings: EngineSettings) -> Tables:
    """Return tables that list the runners."""
    tables = Tables()
    row = ServiceRow(ServiceKind.MODEL, layers=LAYERS, version=VERSION)
    tables.table = Table(services_by_name={SERVICE: row})
    for runner in settings.runners:
        tables.instances_by_id[runner.instance_id] = Instance(
            runner.instance_id,
            1,
            Role.RUNNER,
            runner.address,
            runner.failure_domain,
            service=SERVICE,
            version=VERSION,
            first_layer=runner.first_layer,
            end_layer=runner.end_layer,
            kind=runner.kind,
            slots=runner.slots,
        )
    tables.instances_revision = 1
    return tables


class Stream:
    """One running stream and when its tokens came."""

    def __init__(self) -> None:
        self.generation = None
        self.tokens = 0
        self.last_at = 0.0
        self.fault_at: float | None = None
        self.recovered_in: float | None = None
        self.failed = False

    def record_tokens(self, count: int) -> None:
        """Note that tokens came now."""
        self.tokens += count
        self.last_at = time.perf_counter()
        waits = self.fault_at is not None and self.recovered_in is None
        if waits and self.generation.attempts > 1:
            self.recovered_in = self.last_at - self.fault_at


class RecoveryBenchmark:
    """One process's part: streams and the fault's switch.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._client = HttpClient()
        tables = make_tables(settings)
        routing = Routing(tables, DOMAINS[0], random.Random(1), "rajkot-1")
        self._generator = Generator(
            HttpEngine(self._client),
            routing,
            Quarantine(tables),
            RequestSettings(),
            TrioClock(),
        )
        self._request_numbers = iter(range(1, 1_000_000))

    async def _run_stream(self, stream: Stream) -> None:
        number = next(self._request_numbers)
        prompt = f"stream {number}"
        job = GenerationJob(
            f"rajkot-1.entry-0.1.{number}",
            "counters",
            SERVICE,
            prompt,
            STREAM_TOKENS,
            fingerprint=make_fingerprint("counters", SERVICE, prompt, ""),
        )
        try:
            async with self._generator.open(job) as generation:
                stream.generation = generation
                async for texts in generation:
                    stream.record_tokens(len(texts))
        except RequestError:
            stream.failed = True

    async def _send_action(self, instance_id: str, action: str) -> None:
        body = msgspec.json.encode({"instance_id": instance_id, "action": action})
        control = self._settings.control
        async with self._client.request(
            control, "POST", "/control", [], body
        ) as answer:
            await answer.read()

    async def _tick(self) -> None:
        while True:
            await self._generator.tick(trio.current_time())
            await trio.sleep(0.1)

    async def run_round(self, fault: str, rng: random.Random) -> list[Stream]:
        """Return the streams that the fault hit."""
        streams = [Stream() for _ in range(STREAMS)]
        self._generator.budget = RetryBudget()
        async with trio.open_nursery() as nursery:
            await self._generator.start(nursery)
            nursery.start_soon(self._tick)
            for stream in streams:
                nursery.start_soon(self._run_stream, stream)
            await trio.sleep(WARMUP_SECONDS)
            carriers = [
                stream.generation.stream.route_ids
                for stream in streams
                if stream.generation is not None
            ]
            route = rng.choice(carriers)
            victim = route[0] if fault == "silence" else rng.choice(route)
            running = [s for s in streams if s.generation is not None]
            hit = [s for s in running if victim in s.generation.stream.route_ids]
            if fault == "silence":
                hit = [s for s in hit if s.generation.stream.route_ids[0] == victim]
            at = time.perf_counter()
            for stream in hit:
                stream.fault_at = at
            await self._send_action(victim, fault)
            with trio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
                while any(s.recovered_in is None and not s.failed for s in hit):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        await self._send_action(
            victim, {"die": "revive", "freeze": "thaw"}.get(fault, "thaw")
        )
        await trio.sleep(SETTLE_SECONDS)
        return hit

    async def run(self) -> None:
        """Print the figures of each fault as JSON lines."""
        rng = random.Random(2)
        for fault in FAULTS:
            hit = []
            for _ in range(ROUNDS):
                hit.extend(await self.run_round(fault, rng))
            seconds = sorted(s.recovered_in for s in hit if s.recovered_in is not None)
            figures = {
                "fault": fault,
                "streams_hit": len(hit),
                "recovered": len(seconds),
                "p50_seconds": round(seconds[len(seconds) // 2], 3),
                "p95_seconds": round(seconds[int(len(seconds) * 0.95)], 3),
                "max_seconds": round(seconds[-1], 3),
            }
            print(json.dumps(figures), flush=True)
        await self._client.close()


def main() -> None:
    """Run the emulated runners in a process of their own, then the rounds."""
    settings = make_settings()
    with tempfile.NamedTemporaryFile("wb", suffix=".json") as file:
        file.write(msgspec.json.encode(settings))
        file.flush()
        command = [sys.executable, "-m", "wigeondrift_emulator.engine"]
        process = subprocess.Popen(
            [*command, "--settings", file.name], stdout=subprocess.PIPE, env=os.environ
        )
        try:
            process.stdout.readline()
            trio.run(RecoveryBenchmark(settings).run)
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


if __name__ == "__main__":
    main()
