"""Engines for tests: emulated runners in memory and behind HTTP."""

import contextlib
import math

import trio

from tests.processes import find_free_address
from wigeondrift.entities import Instance, Role, Stage
from wigeondrift.entry.engine import EndEvent, EngineEvent, GenerateRequest, TokenEvent
from wigeondrift.entry.engine_http import HttpEngine
from wigeondrift.entry.engine_memory import MemoryEngine
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.engine import EngineProcess, EngineSettings
from wigeondrift_emulator.runner import Cluster, RunnerSettings

SERVICE = "kokil-lm"
VERSION = "v1"
LAYERS = 12


def make_runner_settings(name, first, end, address=None, **fields):
    defaults = {"token_seconds": 0.002, "failure_domain": "rajkot", "version": VERSION}
    return RunnerSettings(
        instance_id=name,
        address=address or find_free_address(),
        service=SERVICE,
        first_layer=first,
        end_layer=end,
        **{**defaults, **fields},
    )


def make_instance(settings, incarnation=1):
    return Instance(
        settings.instance_id,
        incarnation,
        Role.RUNNER,
        settings.address,
        settings.failure_domain,
        service=settings.service,
        version=settings.version,
        first_layer=settings.first_layer,
        end_layer=settings.end_layer,
        kind=settings.kind,
        slots=settings.slots,
    )


def make_stages(runners):
    return tuple(
        Stage(r.instance_id, r.address, r.first_layer, r.end_layer) for r in runners
    )


def make_request(stages, prompt="a cuckoo that is silent", count=8, **fields):
    return GenerateRequest(
        **{
            "request_id": "rajkot-1.entry-0.1.1",
            "attempt": 1,
            "service": SERVICE,
            "version": VERSION,
            "stages": stages,
            "prompt": prompt,
            "max_tokens": count,
            **fields,
        }
    )


@contextlib.asynccontextmanager
async def open_memory_engine(runners):
    cluster = Cluster()
    engine = MemoryEngine({r.address: cluster.add(r) for r in runners})
    yield engine, cluster


@contextlib.asynccontextmanager
async def open_http_engine(runners):
    process = EngineProcess(EngineSettings(find_free_address(), tuple(runners)))
    client = HttpClient()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.run)
        for host in process.servers_by_id.values():
            await host.listening.wait()
        yield HttpEngine(client), process.cluster
        await client.close()
        nursery.cancel_scope.cancel()


OPENERS_BY_TRANSPORT = {"memory": open_memory_engine, "http": open_http_engine}


async def collect(engine, address, request, limit=math.inf) -> list[EngineEvent]:
    """Return the events of a request; stop after the batch that reaches ``limit``."""
    events = []
    async with engine.generate(address, request) as batches:
        async for batch in batches:
            events.extend(batch)
            if len(events) >= limit:
                break
    return events


def list_texts(events):
    return [event.text for event in events if isinstance(event, TokenEvent)]


def has_end(events):
    return any(isinstance(event, EndEvent) for event in events)
