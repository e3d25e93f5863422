"""Command line of the soak test: ``python -m soak [--seed N] [--count N]``."""

import random
import sys
import time

import cyclopts
import trio

from soak.deployment import HOST, Deployment
from soak.faults import Faults
from soak.invariants import Call, find_violations
from soak.upstream import EVENTS
from wigeondrift.errors import TransportError, WigeondriftError
from wigeondrift.wire.http_client import HttpClient

CALLER_COUNT = 12
REQUEST_TIMEOUT_SECONDS = 4.0
CONNECT_TIMEOUT_SECONDS = 1.0
PAUSE_SECONDS = 0.05
# Covers a fault that lasts until the end of the run, a restart, and the recovery time
# that the platform allows.
RECOVERY_TIMEOUT_SECONDS = 12.0
# Every fourth seed only has planned stops and configuration changes, and is checked
# against a stricter invariant: no request that ran may be lost.
PLANNED_SEED_INTERVAL = 4
MAX_VIOLATION_LINES = 30

app = cyclopts.App(name="soak")


class Callers:
    """Callers that send requests of all kinds, on reused and on new connections.

    Attributes
    ----------
    calls : list of Call
    """

    def __init__(self, deployment: Deployment, rng: random.Random, seed: int) -> None:
        self._deployment = deployment
        self._rng = rng
        self._seed = seed
        self._clients = [
            HttpClient(CONNECT_TIMEOUT_SECONDS) for _ in range(CALLER_COUNT)
        ]
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for client in self._clients:
                nursery.start_soon(self._run_caller, client)

    async def _run_caller(self, client: HttpClient) -> None:
        routers = list(self._deployment.routers_by_name)
        router = self._rng.choice(routers)
        while True:
            kind = self._rng.choice(("draft", "draft", "order", "status"))
            key = self._rng.choice(("key-1", "key-2", "key-3"))
            call = await self.send(client, router, kind, key)
            if call.status != 200:
                router = self._rng.choice(routers)
            await trio.sleep(PAUSE_SECONDS * self._rng.random() * 2)

    async def send(self, client: HttpClient, router: str, kind: str, key: str) -> Call:
        """Send one request and record its response."""
        request_id = f"{self._seed:x}-{len(self.calls):06x}"
        call = Call(request_id, kind, router, key, time.monotonic())
        self.calls.append(call)
        headers = [
            ("Host", HOST),
            ("Wigeondrift-Request-Id", request_id),
            (
                "Wigeondrift-Deadline-Remaining",
                str(int(1000 * REQUEST_TIMEOUT_SECONDS)),
            ),
            ("Authorization", f"Bearer {key}"),
        ]
        if kind == "draft":
            headers.append(("Wigeondrift-Token-Counts", "10,20"))
        try:
            with trio.move_on_after(REQUEST_TIMEOUT_SECONDS) as scope:
                async with client.request(
                    self._deployment.get_address(router),
                    "GET" if kind == "status" else "POST",
                    f"/{kind}/1",
                    headers,
                    b"" if kind == "status" else b"body",
                    head_timeout=REQUEST_TIMEOUT_SECONDS,
                    new_connection=self._rng.random() < 0.3,
                ) as response:
                    call.status = response.status
                    async for data in response.iter_data():
                        call.body += data.decode("latin-1")
                    call.is_complete = True
            if scope.cancelled_caught:
                call.error = "the caller timed out"
        except TransportError as error:
            call.error = f"{type(error).__name__}: {error}"
        call.ended_at = time.monotonic()
        return call


class Soak:
    """One run of the soak test with one seed.

    Parameters
    ----------
    seed : int
    seconds : float
        Duration of the fault phase, in seconds.
    routers : int
        Number of routers.
    has_restorations : bool
        Whether the store is also restored from copies of before.
    has_crowds : bool
        Whether crowds of callers also leave large bodies unfinished.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        routers: int,
        has_restorations: bool = False,
        has_crowds: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._is_planned_only = seed % PLANNED_SEED_INTERVAL == 0
        self._deployment = Deployment(routers)
        self.callers = Callers(self._deployment, self._rng, seed)
        self.faults = Faults(
            self._deployment,
            self._rng,
            self._is_planned_only,
            has_restorations,
            has_crowds,
        )
        self.violations: list[str] = []

    async def run(self) -> None:
        """Inject the faults, then check the invariants."""
        async with trio.open_nursery() as nursery:
            await self._deployment.start(nursery)
            load_scope = trio.CancelScope()

            async def call() -> None:
                with load_scope:
                    await self.callers.run()

            nursery.start_soon(call)
            await self.faults.run(self._seconds)
            await trio.sleep(REQUEST_TIMEOUT_SECONDS)
            load_scope.cancel()
            await self._check_recovery()
            self.violations += [
                f"ended: {name} exited unexpectedly"
                for name, program in self._deployment.routers_by_name.items()
                if program.has_exited_unexpectedly
            ]
            nursery.cancel_scope.cancel()
        self.violations += find_violations(
            [call for call in self.callers.calls if call.ended_at],
            [
                run
                for run in self._deployment.list_runs()
                if self._is_request_finished(run.id)
            ],
            self.faults.revoked_at_by_key,
            EVENTS,
            self._is_planned_only,
        )

    def _is_request_finished(self, request_id: str) -> bool:
        """Whether the request finished before the load ended.

        Also true for requests that no caller sent, so that these are checked.
        """
        number = int(request_id.partition("-")[2], 16)
        calls = self.callers.calls
        return number >= len(calls) or bool(calls[number].ended_at)

    async def _check_recovery(self) -> None:
        client = HttpClient(CONNECT_TIMEOUT_SECONDS)
        ends_at = trio.current_time() + RECOVERY_TIMEOUT_SECONDS
        for router in self._deployment.routers_by_name:
            for kind in ("draft", "order", "status"):
                while True:
                    call = await self.callers.send(client, router, kind, "key-1")
                    if call.status == 200 and call.is_complete:
                        break
                    if trio.current_time() >= ends_at:
                        self.violations.append(f"recovery: {router} serves no {kind}")
                        break
                    await trio.sleep(PAUSE_SECONDS)

    def close(self) -> None:
        """Kill all processes."""
        self._deployment.close()

    def summarize(self) -> str:
        """Return the counts for the result line."""
        calls = self.callers.calls
        served = sum(1 for call in calls if call.status == 200 and call.is_complete)
        return f"{len(calls)} requests, {served} served, {len(self.faults.log)} faults"


def run_seed(
    seed: int,
    seconds: float,
    routers: int,
    has_restorations: bool,
    has_crowds: bool = False,
) -> bool:
    """Run one seed; print its result and return whether all invariants held."""
    soak = Soak(seed, seconds, routers, has_restorations, has_crowds)
    try:
        trio.run(soak.run)
    except* (WigeondriftError, trio.TooSlowError, OSError) as errors:
        soak.violations.append(f"soak: {errors.exceptions!r}")
    finally:
        soak.close()
    print(f"seed {seed}: {'BROKEN' if soak.violations else 'kept'}, {soak.summarize()}")
    for line in [
        *soak.violations[:MAX_VIOLATION_LINES],
        *(soak.faults.log if soak.violations else ()),
    ]:
        print("  ", line)
    sys.stdout.flush()
    return not soak.violations


@app.default
def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = 10.0,
    routers: int = 3,
    restorations: bool = False,
    crowds: bool = False,
) -> None:
    """Run seeds one after another.

    Parameters
    ----------
    seed
        First seed.
    count
        Number of seeds.
    seconds
        Duration of the fault phase of each seed, in seconds.
    routers
        Number of routers.
    restorations
        Whether the store is also restored from copies of before.
    crowds
        Whether crowds of callers also leave large bodies unfinished.
    """
    kept = sum(
        run_seed(seed + number, seconds, routers, restorations, crowds)
        for number in range(count)
    )
    print(f"{kept} kept, {count - kept} broken")
    sys.exit(0 if kept == count else 1)


if __name__ == "__main__":
    app()
