"""Emulated model engine: many runners in one process, each at its own address.

In addition to the HTTP API of ``wigeondrift.entry.engine``, a runner serves
``POST /forward`` (runs one token through one later stage), ``GET /kv?text`` and
``POST /kv`` (export and import of KV cache blocks). The control address serves
``POST /control`` with a ``ControlCommand`` and ``GET /ledger``, which returns the
number of tokens run by each runner for each request.
"""

import json
import logging
import sys
from pathlib import Path
from urllib.parse import unquote

import cyclopts
import msgspec
import trio

from wigeondrift.entities import Stage
from wigeondrift.entry.engine import CancelRequest, EngineRefused, GenerateRequest
from wigeondrift.errors import ProtocolViolation, TransportError
from wigeondrift.wire.address import parse_address
from wigeondrift.wire.http_client import HttpClient
from wigeondrift.wire.http_server import Exchange, HttpLimits, HttpServer
from wigeondrift_emulator.control import ControlCommand, apply_command
from wigeondrift_emulator.links import Links, LinkSettings
from wigeondrift_emulator.runner import Cluster, KvState, Runner, RunnerSettings
from wigeondrift_emulator.streams import BlackholeStream
from wigeondrift_emulator.tokens import run_layers

JSON_TYPE = [("Content-Type", "application/json")]
STREAM_TYPE = [("Content-Type", "application/x-ndjson")]
MAX_BODY_BYTES = 8 * 1048576
FORWARD_TIMEOUT_SECONDS = 30.0
CHECK_TIMEOUT_SECONDS = 1.0
BACKLOG = 1024

_ENCODER = msgspec.json.Encoder()


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the engine emulator process.

    Attributes
    ----------
    control : str
        ``host:port`` of the control API.
    runners : tuple of RunnerSettings
    links : tuple of LinkSettings
    """

    control: str
    runners: tuple[RunnerSettings, ...]
    links: tuple[LinkSettings, ...] = ()


class ForwardRequest(msgspec.Struct, frozen=True):
    """Request to run one token through one later stage."""

    request_id: str
    version: str
    first_layer: int
    end_layer: int
    activation: int


class ForwardResponse(msgspec.Struct, frozen=True):
    """Activation of the token after the stage."""

    activation: int


class StageClient:
    """Client of the stages that run in other processes.

    Parameters
    ----------
    client : HttpClient
        HTTP client with a connection pool.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def check_reachable(self, stage: Stage) -> None:
        """Check that ``stage`` answers on a new connection.

        Raises
        ------
        TransportError
            If it does not.
        """
        request = self._client.request(
            stage.address,
            "GET",
            "/load",
            head_timeout=CHECK_TIMEOUT_SECONDS,
            new_connection=True,
        )
        async with request as response:
            await response.read()

    async def forward(
        self, generate_request: GenerateRequest, stage: Stage, activation: int
    ) -> int:
        """Run one token through ``stage`` and return its activation.

        Raises
        ------
        ConnectFailed
            If no connection to the stage can be made.
        TransportError
            If the connection to the stage is lost.
        ProtocolViolation
            If the stage answers with a status other than 200.
        """
        body = _ENCODER.encode(
            ForwardRequest(
                generate_request.request_id,
                generate_request.version,
                stage.first_layer,
                stage.end_layer,
                activation,
            )
        )
        request = self._client.request(
            stage.address,
            "POST",
            "/forward",
            JSON_TYPE,
            body,
            head_timeout=FORWARD_TIMEOUT_SECONDS,
        )
        async with request as response:
            data = await response.read()
            if response.status != 200:
                raise ProtocolViolation(f"/forward: status {response.status}")
        return msgspec.json.decode(data, type=ForwardResponse).activation


class RunnerServer:
    """HTTP server of one runner; it listens while the runner is alive.

    Parameters
    ----------
    runner : Runner
    """

    def __init__(self, runner: Runner) -> None:
        self._runner = runner
        self._streams: set[BlackholeStream] = set()
        self._listeners: list[trio.SocketListener] = []
        runner.on_death = self._close_listeners
        self.listening = trio.Event()

    async def run(self) -> None:
        """Serve until cancelled, also after the runner dies and is revived."""
        while True:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._cancel_on_death, scope)
                    await self._serve()
            while not self._runner.alive:
                await trio.sleep(0.02)

    async def _cancel_on_death(self, scope: trio.CancelScope) -> None:
        await self._runner.died.wait()
        scope.cancel()

    def _close_listeners(self) -> None:
        """Refuse new connections, before the open ones are closed."""
        for listener in self._listeners:
            listener.socket.close()

    async def _serve(self) -> None:
        host, port = parse_address(self._runner.settings.address)
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
        self.listening.set()
        server = HttpServer(self._handle, HttpLimits(body_bytes=MAX_BODY_BYTES))

        async def serve_stream(stream: trio.SocketStream) -> None:
            blackhole = BlackholeStream(stream)
            self._streams.add(blackhole)
            try:
                await server.serve_stream(blackhole)
            finally:
                self._streams.discard(blackhole)

        self._listeners = listeners
        try:
            await trio.serve_listeners(serve_stream, listeners)
        except* trio.ClosedResourceError:
            await trio.sleep_forever()

    def silence(self) -> None:
        """Send nothing more on the connections that are open now."""
        for stream in self._streams:
            stream.silent = True

    async def _handle(self, exchange: Exchange) -> None:
        await self._runner.thawed.wait()
        request = exchange.request
        try:
            if request.path == "/generate":
                await self._generate(exchange)
            elif request.path == "/cancel":
                self._runner.cancel(
                    msgspec.json.decode(request.body, type=CancelRequest)
                )
                await exchange.respond(200, JSON_TYPE, b"{}")
            elif request.path == "/load":
                report = _ENCODER.encode(self._runner.get_load())
                await exchange.respond(200, JSON_TYPE, report)
            elif request.path == "/forward":
                await self._forward(exchange)
            elif request.path == "/kv":
                await self._handle_kv(exchange)
            else:
                await exchange.respond(404, [])
        except msgspec.DecodeError as error:
            await exchange.respond(400, [], str(error).encode())

    async def _generate(self, exchange: Exchange) -> None:
        generate_request = msgspec.json.decode(
            exchange.request.body, type=GenerateRequest
        )
        try:
            await self._check_remote_stages(generate_request)
            session = self._runner.start(generate_request)
        except EngineRefused as refusal:
            headers = [
                ("X-Outcome", "not-run"),
                ("X-Reason", refusal.reason),
                ("X-Stage", refusal.stage),
            ]
            await exchange.respond(503, headers)
            return
        try:
            await exchange.start(200, STREAM_TYPE)
            while (batch := await session.next_batch()) is not None:
                await exchange.send(_ENCODER.encode_lines(batch) or b"\n")
            await exchange.finish()
        finally:
            session.close()

    async def _check_remote_stages(self, generate_request: GenerateRequest) -> None:
        cluster = self._runner.cluster
        for stage in generate_request.stages:
            if stage.instance_id in cluster.runners_by_id:
                continue
            try:
                await cluster.stage_client.check_reachable(stage)
            except TransportError as error:
                raise EngineRefused("unreachable", stage.instance_id) from error

    async def _forward(self, exchange: Exchange) -> None:
        forward_request = msgspec.json.decode(
            exchange.request.body, type=ForwardRequest
        )
        runner = self._runner
        if forward_request.version != runner.settings.version:
            await exchange.respond(409, [])
            return
        await trio.sleep(
            runner.get_stage_seconds(
                forward_request.end_layer - forward_request.first_layer
            )
        )
        layers = range(forward_request.first_layer, forward_request.end_layer)
        activation = run_layers(forward_request.activation, runner.version_seed, layers)
        runner.record_run(forward_request.request_id, 1)
        if runner.alive:
            answer = _ENCODER.encode(ForwardResponse(activation))
            await exchange.respond(200, JSON_TYPE, answer)

    async def _handle_kv(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.method == "POST":
            self._runner.import_kv(msgspec.json.decode(request.body, type=KvState))
            await exchange.respond(200, JSON_TYPE, b"{}")
        else:
            state = self._runner.export_kv(unquote(request.query))
            await exchange.respond(200, JSON_TYPE, _ENCODER.encode(state))


class EngineProcess:
    """Engine emulator process: the runners and their control API.

    Parameters
    ----------
    settings : EngineSettings
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self.cluster = Cluster(Links(settings.links))
        self.cluster.stage_client = StageClient(HttpClient())
        self.servers_by_id: dict[str, RunnerServer] = {}
        for runner_settings in settings.runners:
            runner = self.cluster.add(runner_settings)
            self.servers_by_id[runner_settings.instance_id] = RunnerServer(runner)

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = parse_address(self._settings.control)
        server = HttpServer(self._handle)
        async with trio.open_nursery() as nursery:
            for runner_server in self.servers_by_id.values():
                nursery.start_soon(runner_server.run)
            for runner_server in self.servers_by_id.values():
                await runner_server.listening.wait()
            listeners = await trio.open_tcp_listeners(port, host=host)
            line = {"event_name": "started", "runners": len(self.servers_by_id)}
            print(json.dumps(line), flush=True)
            await trio.serve_listeners(server.serve_stream, listeners)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path == "/ledger":
            ledger = {
                instance_id: dict(runner.tokens_by_request)
                for instance_id, runner in self.cluster.runners_by_id.items()
            }
            await exchange.respond(200, JSON_TYPE, _ENCODER.encode(ledger))
            return
        try:
            command = msgspec.json.decode(request.body, type=ControlCommand)
            apply_command(self.cluster, command)
        except (msgspec.DecodeError, KeyError) as error:
            await exchange.respond(400, [], str(error).encode())
            return
        if command.action == "silence":
            self.servers_by_id[command.instance_id].silence()
        await exchange.respond(200, JSON_TYPE, b"{}")


app = cyclopts.App(name="wigeondrift_emulator.engine", help="Emulated engine.")


@app.default
def main(*, settings: Path) -> None:
    """Run the emulated engine.

    Parameters
    ----------
    settings
        JSON file with the settings.
    """
    logging.basicConfig(stream=sys.stderr)
    loaded = msgspec.json.decode(settings.read_bytes(), type=EngineSettings)
    try:
        trio.run(EngineProcess(loaded).run)
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    app()
