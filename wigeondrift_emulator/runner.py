"""Emulated runner: slots, prefix cache, load reports and fault injection."""

from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec
import trio
import xxhash

from wigeondrift.entities import LoadReport
from wigeondrift.entry.engine import CancelRequest, EngineRefused, GenerateRequest
from wigeondrift.entry.engine_memory import MemoryRunner
from wigeondrift.errors import ConnectFailed
from wigeondrift_emulator.links import Links
from wigeondrift_emulator.session import Session
from wigeondrift_emulator.slots import Slots
from wigeondrift_emulator.tokens import make_version_seed

CACHE_BLOCK_CHARACTERS = 64
MAX_LEDGER_ENTRIES = 100_000
MAX_LOAD_SAMPLES = 1024


class RunnerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one emulated runner.

    Attributes
    ----------
    instance_id, address, failure_domain, service, version : str
        As in the platform's instance list.
    first_layer, end_layer : int
        Range of layers held, ``end_layer`` excluded.
    kind : str
        Accelerator type.
    slots : int
        Maximum number of concurrent requests.
    token_seconds : float
        Time to run one token through all layers held, in seconds.
    batch_slowdown : float
        Fraction of ``token_seconds`` that each further running request adds.
    prefill_seconds : float
        Time to prefill 1000 characters that are not in the prefix cache, in seconds.
    queue_length : int
        Maximum number of requests that wait for a slot; more are refused.
    load_lag : float
        Age of the load reports, in seconds.
    cache_blocks : int
        Capacity of the prefix cache, in blocks of 64 characters.
    checks_fencing : bool
        Whether a request with an outdated fencing number is refused.
    """

    instance_id: str
    address: str
    failure_domain: str
    service: str
    version: str
    first_layer: int
    end_layer: int
    kind: str = ""
    slots: int = 8
    token_seconds: float = 0.005
    batch_slowdown: float = 0.0
    prefill_seconds: float = 0.01
    queue_length: int = 64
    load_lag: float = 0.5
    cache_blocks: int = 4096
    checks_fencing: bool = False


class KvState(msgspec.Struct, frozen=True):
    """Exported KV cache entries of a text, as chained digests of its blocks."""

    blocks: tuple[int, ...]


class Runner(MemoryRunner):
    """Emulated runner; ``MemoryEngine`` can use it without a socket.

    Parameters
    ----------
    settings : RunnerSettings
    cluster : Cluster
        Runners of the same process and the links between them.
    """

    def __init__(self, settings: RunnerSettings, cluster: "Cluster") -> None:
        self.settings = settings
        self.cluster = cluster
        self.slots = Slots(settings.slots)
        self.alive = True
        self.is_unreachable = False
        self.leaving = False
        self.incarnation = 1
        self.thawed = trio.Event()
        self.thawed.set()
        self.died = trio.Event()
        self.on_death: Callable[[], None] = _ignore_death
        self.crash_marker = ""
        self.crash_after_tokens = 0
        self.die_after_tokens: int | None = None
        self.tokens_with_stray_events = 0
        self.tokens_skipping_stage = 0
        self.highest_fencing = 0
        self.version_seed = make_version_seed(settings.version)
        self.sessions: dict[Session, None] = {}
        self.tokens_by_request: OrderedDict[str, int] = OrderedDict()
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._load_samples: deque[tuple[float, int, int]] = deque(
            maxlen=MAX_LOAD_SAMPLES
        )

    async def reach(self) -> None:
        """Wait until a new connection would be answered.

        Raises
        ------
        ConnectFailed
            If the runner is dead or unreachable.
        """
        if self.is_unreachable or not self.alive:
            raise ConnectFailed(f"could not connect to {self.settings.address}")
        await self.thawed.wait()

    def start(self, request: GenerateRequest) -> Session:
        """Start an attempt.

        Raises
        ------
        EngineRefused
            If the request is refused before any part of it runs.
        """
        self._check_request(request)
        stages = []
        for stage in request.stages:
            runner = self.cluster.runners_by_id.get(stage.instance_id)
            if runner is not None and runner is not self:
                runner.check_stage(request)
            stages.append(runner)
        return Session(self, request, stages)

    def _check_request(self, request: GenerateRequest) -> None:
        self.check_stage(request)
        if request.stages[0].instance_id != self.settings.instance_id:
            raise EngineRefused("version", self.settings.instance_id)
        if self.slots.queued >= self.settings.queue_length:
            raise EngineRefused("full", self.settings.instance_id)
        if self.settings.checks_fencing and request.fencing < self.highest_fencing:
            raise EngineRefused("fenced", self.settings.instance_id)
        self.highest_fencing = max(self.highest_fencing, request.fencing)

    def check_stage(self, request: GenerateRequest) -> None:
        """Check that this runner can run a stage of the request.

        Raises
        ------
        EngineRefused
            If the runner is dead or leaving, or holds another model or version.
        """
        if not self.alive:
            raise EngineRefused("unreachable", self.settings.instance_id)
        if self.leaving:
            raise EngineRefused("leaving", self.settings.instance_id)
        if request.version != self.settings.version:
            raise EngineRefused("version", self.settings.instance_id)
        if request.service != self.settings.service:
            raise EngineRefused("version", self.settings.instance_id)

    def cancel(self, request: CancelRequest) -> None:
        """Cancel an attempt; unknown attempts are ignored."""
        for session in list(self.sessions):
            if session.is_attempt(request.request_id, request.attempt):
                session.abort()

    def get_load(self) -> LoadReport:
        """Return the load as it was ``load_lag`` seconds ago."""
        cutoff = trio.current_time() - self.settings.load_lag
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= cutoff:
            self._load_samples.popleft()
        running, queued = 0, 0
        if self._load_samples and self._load_samples[0][0] <= cutoff:
            _, running, queued = self._load_samples[0]
        return LoadReport(
            self.settings.instance_id, running, queued, self.settings.token_seconds
        )

    def record_load(self) -> None:
        """Record the current load for later reports."""
        now = trio.current_time()
        self._load_samples.append((now, self.slots.running, self.slots.queued))

    def record_run(self, request_id: str, tokens: int) -> None:
        """Add the tokens that a request ran on this runner to the ledger."""
        ledger = self.tokens_by_request
        ledger[request_id] = ledger.get(request_id, 0) + tokens
        if len(ledger) > MAX_LEDGER_ENTRIES:
            ledger.popitem(last=False)
        if tokens and self.die_after_tokens is not None:
            self.die_after_tokens -= tokens
            if self.die_after_tokens <= 0:
                self.die()

    def get_stage_seconds(self, layers: int) -> float:
        """Return the time to run one token through ``layers`` layers, in seconds."""
        total_layers = self.settings.end_layer - self.settings.first_layer
        slowdown = 1 + self.settings.batch_slowdown * max(0, self.slots.running - 1)
        return self.settings.token_seconds * slowdown * layers / total_layers

    def prefill(self, text: str) -> float:
        """Add a text to the prefix cache; return the prefill time, in seconds."""
        missing = 0
        for block in _iter_blocks(text):
            if block not in self._blocks:
                missing += 1
            self._touch(block)
        characters = missing * CACHE_BLOCK_CHARACTERS
        return self.settings.prefill_seconds * characters / 1000

    def _touch(self, block: int) -> None:
        self._blocks[block] = None
        self._blocks.move_to_end(block)
        if len(self._blocks) > self.settings.cache_blocks:
            self._blocks.popitem(last=False)

    def export_kv(self, text: str) -> KvState:
        """Return the cached blocks of a text, up to the first missing one."""
        blocks = []
        for block in _iter_blocks(text):
            if block not in self._blocks:
                break
            blocks.append(block)
        return KvState(tuple(blocks))

    def import_kv(self, state: KvState) -> None:
        """Add blocks that another runner exported to the prefix cache."""
        for block in state.blocks:
            self._touch(block)

    def die(self) -> None:
        """Terminate at once; all attempts on this runner fail."""
        self.alive = False
        self.on_death()
        self.die_after_tokens = None
        self._blocks.clear()
        for session in list(self.sessions):
            session.handle_runner_death(self)
        self.died.set()

    def revive(self) -> None:
        """Start again as a new incarnation with an empty prefix cache."""
        self.alive = True
        self.leaving = False
        self.incarnation += 1
        self.died = trio.Event()
        self.thawed.set()

    def freeze(self) -> None:
        """Stop making progress but keep all connections open."""
        self.thawed = trio.Event()

    def thaw(self) -> None:
        """Resume after ``freeze``."""
        self.thawed.set()

    def silence(self) -> None:
        """Send nothing more on the streams that are open now."""
        for session in self.sessions:
            if session.first_runner is self:
                session.silent = True


class Cluster:
    """Emulated runners of one process.

    Parameters
    ----------
    links : Links, optional
        Delays between the runners.
    """

    def __init__(self, links: Links | None = None) -> None:
        self.links = links or Links(())
        self.runners_by_id: dict[str, Runner] = {}
        self.stage_client = None

    def add(self, settings: RunnerSettings) -> Runner:
        """Add and return a runner."""
        runner = Runner(settings, self)
        self.runners_by_id[settings.instance_id] = runner
        return runner

    def get_link_seconds(self, source: Runner, target: Runner) -> float:
        """Return the one-way delay between two runners, in seconds."""
        first, second = source.settings, target.settings
        return self.links.get_seconds(
            (first.instance_id, first.failure_domain, first.kind),
            (second.instance_id, second.failure_domain, second.kind),
        )


def _iter_blocks(text: str):
    digest = 0
    for start in range(0, len(text), CACHE_BLOCK_CHARACTERS):
        block = text[start : start + CACHE_BLOCK_CHARACTERS]
        digest = xxhash.xxh3_64_intdigest(block.encode(), seed=digest)
        yield digest


def _ignore_death() -> None:
    """Do nothing, as the default ``on_death`` callback."""
