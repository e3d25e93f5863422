"""Starts the programs of one soak run, reads their output, and kills them by id."""

import os
import tempfile
import time

import msgspec
import trio

from soak.invariants import Run
from soak.proxy import Proxy
from wigeondrift.errors import TransportError
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.processes import Process

HOST = "soak.example"
RUNNERS = (("r1", "0-40"), ("r2", "40-80"), ("r3", "0-40"), ("r4", "40-80"))
SERVICE_INSTANCES = ("m1", "m2")
ZONES = ("east", "west")
HEARTBEAT_MS = 1200
# The bound for bodies is then below what a crowd of ``soak.crowd`` sends.
MEMORY_MB = 160
GRACE_SECONDS = 4
CALL_TIMEOUT_SECONDS = 1.0
START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1
ENGINE = {
    "slots": 32,
    "kv_token_bytes": 80_000,
    "step_ms": 1.0,
    "read_per_s": 100000.0,
    "layers": 80,
    "layer_mb": 100.0,
    "models": [{"name": "m", "load_s": 1.0}],
    "usual": {"prompt": 10, "answer": 20},
    "kinds": [{"name": "large", "mb": 9000.0, "pace": 1.0, "read_x": 1.0}],
}


def make_configuration(version: int, keys: list[str]) -> dict:
    """Return a configuration with a streaming, an unsafe and a safe route."""

    def route(name: str, kind: str, service: str) -> dict:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 4000,
            "slo_ms": 500,
            "attempts": 1 if kind == "unsafe" else 3,
            "service": service,
            "resumable": kind == "streaming",
            "gap_aim_ms": 200,
        }

    return {
        "version": version,
        "routes": [
            route("draft", "streaming", "model"),
            route("order", "unsafe", "desk"),
            route("status", "safe", "desk"),
        ],
        "services": [
            {"name": "model", "health_path": "/health", "engine": ENGINE},
            {"name": "desk", "health_path": "/health"},
        ],
        "tenants": [{"name": f"team-{key}", "api_keys": [key]} for key in keys],
    }


class Program(Process):
    """One program, which the soak test can pause, kill and restart.

    Attributes
    ----------
    is_exit_expected : bool
        Set before the soak test kills the process or asks it to exit.
    is_paused : bool
    """

    __slots__ = ("is_paused", "is_exit_expected")

    def __init__(self, module: str, arguments: list[str], **environment: str) -> None:
        super().__init__(module, arguments, **environment)
        self.is_exit_expected = False
        self.is_paused = False

    @property
    def has_exited_unexpectedly(self) -> bool:
        """Whether the process exited without being killed or asked to exit."""
        return not self.is_running and not self.is_exit_expected

    def restart(self) -> None:
        """Restart the program."""
        self.is_exit_expected = False
        super().restart()

    def kill(self) -> None:
        """Kill the process and wait until it exited."""
        self.is_exit_expected = True
        super().kill()

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            super().signal(number)

    def pause(self) -> None:
        """Suspend the process until ``resume``."""
        self.is_paused = True
        super().pause()

    def resume(self) -> None:
        """Resume the process if it is paused."""
        if self.is_paused:
            self.is_paused = False
            super().resume()


class Deployment:
    """Store, upstreams and routers, with fault-injecting proxies between them.

    Each router reaches the store through its own proxy, and each upstream is advertised
    under the address of its proxy.
    """

    def __init__(self, routers: int) -> None:
        self.network_prefix = f"127.{20 + os.getpid() % 200}"
        self.store_address = f"{self.network_prefix}.1.1:7000"
        self.store = Program("soak.store", [self.store_address])
        self.upstreams_by_id: dict[str, Program] = {}
        self.routers_by_name: dict[str, Program] = {}
        self.proxies_by_name: dict[str, Proxy] = {}
        self.settings_files: list = []
        self.configuration_version = 0
        self.keys = ["key-1", "key-2", "key-3"]
        self._client = HttpClient(CALL_TIMEOUT_SECONDS)
        for number, (name, layers) in enumerate(
            [*RUNNERS, *((m, "0-0") for m in SERVICE_INSTANCES)]
        ):
            self._add_upstream(number, name, layers)
        for number in range(routers):
            self._add_router(number)

    def _add_upstream(self, number: int, name: str, layers: str) -> None:
        upstream_address = f"{self.network_prefix}.2.{number + 1}:7000"
        proxy_address = f"{self.network_prefix}.3.{number + 1}:7000"
        service = "desk" if layers == "0-0" else "model"
        zone = ZONES[number // 2 % 2] if service == "model" else ZONES[number % 2]
        self.proxies_by_name[name] = Proxy(proxy_address, upstream_address)
        self.upstreams_by_id[name] = Program(
            "soak.upstream",
            [
                name,
                service,
                upstream_address,
                proxy_address,
                zone,
                self.store_address,
                layers,
            ],
        )

    def _add_router(self, number: int) -> None:
        name, ip = f"router-{number + 1}", f"{self.network_prefix}.4.{number + 1}"
        store_proxy_address = f"{self.network_prefix}.5.{number + 1}:7000"
        self.proxies_by_name[f"store of {name}"] = Proxy(
            store_proxy_address, self.store_address
        )
        settings = {
            "node": name,
            "zone": ZONES[number % 2],
            "ip": ip,
            "listen.front": f"{ip}:8227",
            "listen.ready": f"{ip}:8220",
            "internal_ports": "7340,7355",
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds.grace_s": GRACE_SECONDS,
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": 5000,
            "bounds.budget_slack": 100,
            "limits.memory_mb": MEMORY_MB,
            "platform.address": store_proxy_address,
        }
        file = tempfile.NamedTemporaryFile("w", suffix=".conf")  # noqa: SIM115
        file.write("".join(f"{key}={value}\n" for key, value in settings.items()))
        file.flush()
        self.settings_files.append(file)
        self.routers_by_name[name] = Program(
            "wigeondrift.router", [], WIGEONDRIFT_CONFIG=file.name
        )

    def get_address(self, router: str) -> str:
        """Return the ``host:port`` of a router for callers."""
        return f"{self.network_prefix}.4.{router.removeprefix('router-')}:8227"

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the proxies and wait until every router is ready.

        Raises
        ------
        TransportError
            If the configuration cannot be written.
        trio.TooSlowError
            If the store or a router is not ready in time.
        """
        for proxy in self.proxies_by_name.values():
            await nursery.start(proxy.run)
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while not await self.is_up(self.store_address, "/soak/look"):
                await trio.sleep(POLL_SECONDS)
            await self.configure()
            await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until every router reports that it is ready."""
        for name in self.routers_by_name:
            address = self.get_address(name).replace(":8227", ":8220")
            while not await self.is_up(address, "/wigeondrift/readiness"):
                await trio.sleep(POLL_SECONDS)

    async def is_up(self, address: str, path: str) -> bool:
        """Whether a GET request is answered with status 200."""
        try:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                async with self._client.request(
                    address, "GET", path, new_connection=True
                ) as response:
                    await response.read()
                    return response.status == 200
        except TransportError:
            # Not listening yet; the caller polls again.
            return False
        return False

    async def configure(self) -> float:
        """Write the next configuration; return when the store acknowledged it.

        Returns
        -------
        float
            Monotonic time, in seconds.
        """
        self.configuration_version += 1
        document = make_configuration(self.configuration_version, self.keys)
        value = msgspec.json.encode(document).decode()
        await self._post("write", {"key": "op/config", "value": value})
        return time.monotonic()

    async def set_store_mode(self, mode: str) -> None:
        """Set the fault mode of the store."""
        await self._post("mode", {"mode": mode})

    async def _post(self, name: str, call: dict) -> None:
        body = msgspec.json.encode(call)
        async with self._client.request(
            self.store_address, "POST", f"/soak/{name}", [], body, new_connection=True
        ) as response:
            await response.read()

    def list_runs(self) -> list[Run]:
        """Return all runs that the upstreams logged."""
        return [
            msgspec.json.decode(line, type=Run)
            for program in self.upstreams_by_id.values()
            for line in program.log.splitlines()
            if line.startswith('{"id"') and line.endswith("}")
        ]

    def list_programs(self) -> list[Program]:
        """Return all programs."""
        return [
            self.store,
            *self.upstreams_by_id.values(),
            *self.routers_by_name.values(),
        ]

    def close(self) -> None:
        """Kill all processes that this deployment started."""
        for program in self.list_programs():
            program.kill()
