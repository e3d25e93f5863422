"""Injects randomly chosen faults, which may overlap."""

import random
import signal

import trio

from soak.crowd import hold_bodies
from soak.deployment import Deployment
from soak.invariants import REVOCATION_TIMEOUT_SECONDS
from soak.proxy import MODES

FAULT_INTERVALS_SECONDS = (0.1, 0.5, 1.5)
FAULT_SECONDS = (0.3, 1.0, 3.0, 6.0)
RESTART_DELAY_SECONDS = 0.3
STOP_TIMEOUT_SECONDS = 6.0
MAX_REPEATS = 3


class Faults:
    """Fault schedule of one soak run.

    Parameters
    ----------
    deployment : Deployment
    rng : random.Random
    is_planned_only : bool
        Whether to inject only planned stops, reloads and configuration changes.
    has_restorations : bool
        Whether the store is also restored from copies of before.
    has_crowds : bool
        Whether crowds of callers also leave large bodies unfinished.

    Attributes
    ----------
    revoked_at_by_key : dict of str to float
        Monotonic time at which the store acknowledged that a key is revoked, in
        seconds.
    log : list of str
        Injected faults with their time.
    """

    def __init__(
        self,
        deployment: Deployment,
        rng: random.Random,
        is_planned_only: bool,
        has_restorations: bool = False,
        has_crowds: bool = False,
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._is_planned_only = is_planned_only
        self._has_restorations = has_restorations
        self._has_crowds = has_crowds
        self._unavailable: set[str] = set()
        self.revoked_at_by_key: dict[str, float] = {}
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``; all of them have ended on return."""
        planned = [self._stop_router, self._reload_router, self._configure]
        unplanned = [
            self._disturb_proxy,
            self._disturb_proxy,
            self._cut_connections,
            self._kill,
            self._pause,
            self._disturb_store,
            self._revoke,
        ]
        if self._has_restorations:
            # Without them, the faults of a seed stay those of before.
            unplanned.append(self._restore_store)
        if self._has_crowds:
            unplanned.append(self._crowd_router)
        actions = planned if self._is_planned_only else [*planned, *unplanned]
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                action = self._rng.choice(actions)
                for _ in range(self._rng.randint(1, MAX_REPEATS)):
                    nursery.start_soon(action)
                    await trio.sleep(self._rng.choice(FAULT_INTERVALS_SECONDS))

    def _log(self, text: str) -> None:
        self.log.append(f"{trio.current_time():.2f} {text}")

    async def _hold_fault(self) -> None:
        await trio.sleep(self._rng.choice(FAULT_SECONDS))

    async def _stop_router(self) -> None:
        # Stops one router at a time, so that callers can use another one.
        if self._unavailable:
            return
        name = self._rng.choice(list(self._deployment.routers_by_name))
        router = self._deployment.routers_by_name[name]
        self._unavailable.add(name)
        self._log(f"SIGTERM {name}")
        router.is_exit_expected = True
        router.signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while router.is_running:
                await trio.sleep(RESTART_DELAY_SECONDS / 3)
        router.kill()
        await trio.sleep(RESTART_DELAY_SECONDS)
        router.restart()
        self._unavailable.discard(name)

    async def _reload_router(self) -> None:
        name = self._rng.choice(list(self._deployment.routers_by_name))
        if name not in self._unavailable:
            self._log(f"SIGHUP {name}")
            self._deployment.routers_by_name[name].signal(signal.SIGHUP)

    async def _configure(self) -> None:
        self._log("new configuration")
        await self._deployment.configure()

    async def _revoke(self) -> None:
        keys = self._deployment.keys
        if len(keys) > 1:
            key = keys.pop()
            self._log(f"revoking {key}")
            self.revoked_at_by_key[key] = await self._deployment.configure()

    async def _disturb_proxy(self) -> None:
        name = self._rng.choice(list(self._deployment.proxies_by_name))
        proxy = self._deployment.proxies_by_name[name]
        proxy.mode = self._rng.choice(MODES[1:])
        self._log(f"proxy to {name}: {proxy.mode}")
        await self._hold_fault()
        proxy.mode = "open"
        if self._rng.random() < 0.5:
            proxy.reset()

    async def _cut_connections(self) -> None:
        name = self._rng.choice(list(self._deployment.proxies_by_name))
        proxy = self._deployment.proxies_by_name[name]
        is_silent = self._rng.random() < 0.5
        self._log(f"connections to {name}: {'silent' if is_silent else 'reset'}")
        if is_silent:
            proxy.silence()
        else:
            proxy.reset()

    async def _kill(self) -> None:
        programs = {
            **self._deployment.upstreams_by_id,
            **self._deployment.routers_by_name,
        }
        name = self._rng.choice(list(programs))
        if name in self._unavailable:
            return
        self._unavailable.add(name)
        self._log(f"SIGKILL {name}")
        programs[name].kill()
        await self._hold_fault()
        programs[name].restart()
        self._unavailable.discard(name)

    async def _pause(self) -> None:
        program = self._rng.choice(self._deployment.list_programs())
        if program.is_paused:
            return
        self._log(f"SIGSTOP {' '.join(program.popen.args[2:4])}")
        program.pause()
        await self._hold_fault()
        program.resume()

    async def _crowd_router(self) -> None:
        name = self._rng.choice(list(self._deployment.routers_by_name))
        self._log(f"crowd at {name}")
        with trio.move_on_after(self._rng.choice(FAULT_SECONDS)):
            await hold_bodies(self._deployment.get_address(name))

    async def _restore_store(self) -> None:
        self._log("store: restored")
        with trio.move_on_after(REVOCATION_TIMEOUT_SECONDS):
            await self._deployment.set_store_mode("restored")

    async def _disturb_store(self) -> None:
        mode = self._rng.choice(("down", "lossy", "forget"))
        self._log(f"store: {mode}")
        with trio.move_on_after(REVOCATION_TIMEOUT_SECONDS):
            await self._deployment.set_store_mode(mode)
            await self._hold_fault()
        with trio.move_on_after(REVOCATION_TIMEOUT_SECONDS):
            await self._deployment.set_store_mode("open")
