"""Complete system on loopback: platform, runners, order service, agents and entries.

Used by the demo, the tests that run whole processes, and the experiments.
"""

import contextlib
import hashlib
from typing import Any

import msgspec
import trio

from wigeondrift.entities import Instance, Role
from wigeondrift.errors import TransportError
from wigeondrift.store.calls import InstancesUpdate
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.table.rows import (
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    serialize_table,
)
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.control import ControlCommand
from wigeondrift_emulator.links import LinkSettings
from wigeondrift_emulator.processes import (
    Process,
    find_free_address,
    wait_until,
    write_settings,
)
from wigeondrift_emulator.runner import RunnerSettings

FAILURE_DOMAINS = ("rajkot", "morbi", "jamnagar")
MODEL = "kokil-lm"
PLAIN = "parts-desk"
VERSION = "v1"


class KindSettings(msgspec.Struct, frozen=True):
    """Accelerator type of the runners in a stack.

    Attributes
    ----------
    name : str
    slots : int
        Maximum number of concurrent requests of a runner.
    token_seconds : float
        Time to run one token through a stage, in seconds.
    """

    name: str
    slots: int
    token_seconds: float


class StackSettings(msgspec.Struct, frozen=True):
    """Size and settings of a stack.

    Attributes
    ----------
    domains : tuple of str
        Failure domains; each has its own agent, entries and runners.
    entries_per_domain : int
    chains_per_domain : int
        Number of runner chains, each of which holds the whole model.
    stages : int
        Number of runners in a chain.
    layers : int
        Number of layers of the model.
    kinds : tuple of KindSettings
        Accelerator types, assigned to the chains in rotation.
    links : tuple of LinkSettings
    teams : int
    limit : LimitRow
        Limits of each team on each service.
    entry : dict
        Additional settings of the entries.
    entry_module : str
        Module to run as entry.
    """

    domains: tuple[str, ...] = FAILURE_DOMAINS[:2]
    entries_per_domain: int = 1
    chains_per_domain: int = 1
    stages: int = 2
    layers: int = 24
    kinds: tuple[KindSettings, ...] = (KindSettings("a", 8, 0.005),)
    links: tuple[LinkSettings, ...] = ()
    teams: int = 2
    limit: LimitRow = LimitRow()
    entry: dict[str, Any] = {}
    entry_module: str = "wigeondrift.entry"


def get_bearer_key(team: int) -> str:
    """Return the bearer key of a team."""
    return f"key-{team}"


def make_table(settings: StackSettings) -> Table:
    """Return the operators' table of a stack."""
    teams_by_name = {}
    limits_by_row = {}
    for team in range(settings.teams):
        digest = hashlib.sha256(get_bearer_key(team).encode()).hexdigest()
        teams_by_name[f"team-{team}"] = TeamRow((digest,))
        limits_by_row[f"team-{team}/{MODEL}"] = settings.limit
        limits_by_row[f"team-{team}/{PLAIN}"] = settings.limit
    services_by_name = {
        MODEL: ServiceRow(ServiceKind.MODEL, settings.layers, VERSION),
        PLAIN: ServiceRow(ServiceKind.PLAIN),
    }
    return Table(services_by_name, teams_by_name, limits_by_row)


class Stack:
    """Processes of one complete system.

    Attributes
    ----------
    platform_by_domain : dict of str to str
        ``host:port`` of the platform for each failure domain.
    engines_by_domain, agents_by_domain : dict of str to Process
    entries : list of Process
        In the order of the failure domains.
    orders : Process
        The order service.
    runners_by_id : dict of str to RunnerSettings
    """

    def __init__(self, settings: StackSettings) -> None:
        self.settings = settings
        self.platform_by_domain = {
            domain: find_free_address() for domain in settings.domains
        }
        self.operator_address = find_free_address()
        self.engines_by_domain: dict[str, Process] = {}
        self.agents_by_domain: dict[str, Process] = {}
        self.agent_addresses_by_domain = {
            domain: find_free_address() for domain in settings.domains
        }
        self.entry_documents: list[dict[str, Any]] = []
        self.entries: list[Process] = []
        self.runners_by_id: dict[str, RunnerSettings] = {}
        self.platform: Process | None = None
        self.orders: Process | None = None
        self._processes: list[Process] = []

    @property
    def entry_addresses(self) -> list[str]:
        """``host:port`` of each entry for its callers."""
        return [document["listen"] for document in self.entry_documents]

    def start(self) -> None:
        """Start all processes and wait until the entries are ready."""
        self._start_platform()
        self._start_orders()
        for domain in self.settings.domains:
            self._start_engine(domain)
        self._register()
        trio.run(self._write_table)
        for domain in self.settings.domains:
            self.start_agent(domain)
        for domain in self.settings.domains:
            for number in range(self.settings.entries_per_domain):
                self._add_entry(domain, number)
        for number in range(len(self.entries)):
            self.wait_until_entry_ready(number)

    def close(self) -> None:
        """Kill all processes that were started."""
        for process in reversed(self._processes):
            process.kill()

    def _track(self, process: Process) -> Process:
        self._processes.append(process)
        return process

    def _start_platform(self) -> None:
        addresses = [self.operator_address, *self.platform_by_domain.values()]
        arguments = [
            argument for address in addresses for argument in ("--listen", address)
        ]
        self.platform = self._track(Process("wigeondrift_emulator.platform", arguments))
        self.platform.wait_for_event("started")

    def _start_orders(self) -> None:
        self.order_addresses = [find_free_address() for _ in self.settings.domains]
        arguments = [
            argument
            for address in self.order_addresses
            for argument in ("--listen", address)
        ]
        self.orders = self._track(Process("wigeondrift_emulator.orders", arguments))
        self.orders.wait_for_event("started")

    def _start_engine(self, domain: str) -> None:
        settings = self.settings
        runners = []
        layers_per_stage = settings.layers // settings.stages
        for chain in range(settings.chains_per_domain):
            kind = settings.kinds[chain % len(settings.kinds)]
            for stage in range(settings.stages):
                last = stage == settings.stages - 1
                runner = RunnerSettings(
                    instance_id=f"{domain}-runner-{chain}-{stage}",
                    address=find_free_address(),
                    failure_domain=domain,
                    service=MODEL,
                    version=VERSION,
                    first_layer=stage * layers_per_stage,
                    end_layer=settings.layers
                    if last
                    else (stage + 1) * layers_per_stage,
                    kind=kind.name,
                    slots=kind.slots,
                    token_seconds=kind.token_seconds,
                )
                runners.append(runner)
                self.runners_by_id[runner.instance_id] = runner
        document = {
            "control": find_free_address(),
            "runners": msgspec.to_builtins(runners),
            "links": msgspec.to_builtins(settings.links),
        }
        arguments = ["--settings", write_settings(document)]
        process = Process("wigeondrift_emulator.engine", arguments, document["control"])
        self.engines_by_domain[domain] = self._track(process)
        process.wait_for_event("started")

    def _register(self) -> None:
        instances = [
            Instance(
                instance_id=runner.instance_id,
                incarnation=1,
                role=Role.RUNNER,
                address=runner.address,
                failure_domain=runner.failure_domain,
                service=runner.service,
                version=runner.version,
                first_layer=runner.first_layer,
                end_layer=runner.end_layer,
                kind=runner.kind,
                slots=runner.slots,
            )
            for runner in self.runners_by_id.values()
        ]
        for domain, address in zip(
            self.settings.domains, self.order_addresses, strict=True
        ):
            instances.append(
                Instance(
                    f"{domain}-desk",
                    1,
                    Role.SERVICE,
                    address,
                    domain,
                    service=PLAIN,
                    slots=64,
                )
            )
        for domain, address in self.agent_addresses_by_domain.items():
            instances.append(Instance(domain, 1, Role.AGENT, address, domain))
        update = InstancesUpdate(put=tuple(instances))
        self.post_platform_control(msgspec.to_builtins(update), "/control/instances")

    async def _write_table(self) -> None:
        client = HttpClient()
        store = HttpPlatformStore(client, self.operator_address)
        await store.put(TABLE_KEY, serialize_table(make_table(self.settings)), 0)
        await client.close()

    def start_agent(self, domain: str) -> None:
        """Start the agent of a failure domain, or restart it after it exited."""
        seeds = [
            address
            for other, address in self.agent_addresses_by_domain.items()
            if other != domain
        ]
        document = {
            "instance_id": domain,
            "failure_domain": domain,
            "post": self.agent_addresses_by_domain[domain],
            "platform": self.platform_by_domain[domain],
            "seeds": seeds,
        }
        arguments = ["--settings", write_settings(document)]
        process = self._track(Process("wigeondrift.agent", arguments))
        self.agents_by_domain[domain] = process
        process.wait_for_event("started")

    def _add_entry(self, domain: str, number: int) -> None:
        document = {
            "instance_id": domain,
            "process": f"entry-{number}",
            "failure_domain": domain,
            "listen": find_free_address(),
            "post": find_free_address(),
            "agent": self.agent_addresses_by_domain[domain],
            "platform": self.platform_by_domain[domain],
            "configured_instances": len(self.settings.domains),
            **self.settings.entry,
        }
        self.entry_documents.append(document)
        self.entries.append(self._run_entry(document))

    def _run_entry(self, document: dict[str, Any]) -> Process:
        arguments = ["--settings", write_settings(document)]
        return self._track(
            Process(self.settings.entry_module, arguments, document["listen"])
        )

    def start_entry(self, number: int) -> None:
        """Restart an entry after it exited."""
        self.entries[number] = self._run_entry(self.entry_documents[number])

    def wait_until_entry_ready(self, number: int) -> None:
        """Wait until an entry reports that it is ready.

        Raises
        ------
        AssertionError
            If the entry exits or is not ready in time.
        """
        process = self.entries[number]

        def is_ready() -> bool:
            if process.popen.poll() is not None:
                raise AssertionError(f"the entry exited:\n{process.log}")
            return call(process.address, "GET", "/readyz")[0] == 200

        wait_until(is_ready, f"readiness of entry {number}")

    def post_platform_control(self, document: object, path: str = "/control") -> Any:
        """POST a document to the platform's control API; return its report."""
        return call_json(self.operator_address, path, document)

    def post_runner_control(self, command: ControlCommand) -> None:
        """Inject a fault into one runner, or end one."""
        domain = self.runners_by_id[command.instance_id].failure_domain
        address = self.engines_by_domain[domain].address
        call_json(address, "/control", msgspec.to_builtins(command))

    def get_order_runs(self) -> dict[str, int]:
        """Return how often each order ran, by idempotency key."""
        report = call(self.order_addresses[0], "GET", "/control")[2]
        return msgspec.json.decode(report)["runs_by_key"]


def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]] | None = None,
    body: bytes = b"",
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP request; return status, headers and body of the response.

    The status is 0 if the connection failed or was lost.
    """

    async def run() -> tuple[int, dict[str, str], bytes]:
        client = HttpClient()
        with contextlib.suppress(TransportError):
            async with client.request(
                address, method, target, headers, body, new_connection=True
            ) as response:
                answer = await response.read()
                return response.status, dict(response.headers), answer
        return 0, {}, b""

    return trio.run(run)


def call_json(address: str, path: str, document: object) -> Any:
    """Return the decoded answer to a POST of a JSON document.

    Raises
    ------
    AssertionError
        If the status is neither 200 nor 204.
    """
    body = msgspec.json.encode(document)
    status, _, answer = call(address, "POST", path, body=body)
    assert status in (200, 204), (path, status, answer)
    return msgspec.json.decode(answer) if answer else None
