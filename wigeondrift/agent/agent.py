"""Life cycle and command line of the agent of one instance."""

import logging
import random
import sys
from pathlib import Path

import cyclopts
import msgspec
import trio

from wigeondrift.agent.executor import execute_actions
from wigeondrift.agent.loads import (
    POLL_INTERVAL_SECONDS,
    LoadPoller,
    select_polled_upstreams,
)
from wigeondrift.agent.watcher import Watcher, compute_watch_wait
from wigeondrift.application import Component
from wigeondrift.errors import SettingsError
from wigeondrift.settings import AgentSettings, load_settings
from wigeondrift.store.contract import PlatformStore
from wigeondrift.systems.actions import Actions
from wigeondrift.systems.control import AgentControl
from wigeondrift.telemetry.events import Event, configure_logging, log_event
from wigeondrift.timer import Clock, TimerService
from wigeondrift.wire.endpoint import MessageEndpoint
from wigeondrift.wire.messages import Status, StatusRequest

EXIT_SETTINGS_REFUSED = 2


class Agent(Component):
    """Passes events to the agent's control logic and executes the actions returned.

    Parameters
    ----------
    settings : AgentSettings
    control : AgentControl
    store : PlatformStore
    poller : LoadPoller
    timers : TimerService
    clock : Clock
    rng : random.Random
        Source of the jitter between retries of platform calls.
    logger : logging.Logger
    """

    __slots__ = (
        "_clock",
        "_control",
        "_logger",
        "_poller",
        "_endpoint",
        "_settings",
        "_timers",
        "_watcher",
    )

    def __init__(
        self,
        settings: AgentSettings,
        control: AgentControl,
        store: PlatformStore,
        poller: LoadPoller,
        timers: TimerService,
        clock: Clock,
        rng: random.Random,
        logger: logging.Logger,
    ) -> None:
        self._settings = settings
        self._control = control
        self._poller = poller
        self._timers = timers
        self._clock = clock
        self._logger = logger
        self._endpoint: MessageEndpoint | None = None
        self._watcher = Watcher(
            store,
            rng,
            self._compute_wait,
            lambda stored: self._execute(
                control.apply_platform_table(stored, clock.now())
            ),
            lambda listed: self._execute(
                control.apply_platform_instances(listed, clock.now())
            ),
            lambda name: self._execute(
                control.record_platform_failure(name, clock.now())
            ),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the endpoint, contact the seeds and start the watches and timers."""
        self._endpoint = MessageEndpoint(self._settings.post)
        log_event(
            self._logger, logging.INFO, Event.STARTED, address=self._settings.post
        )
        self._execute(self._control.start(self._clock.now()))
        self._timers.subscribe("tick", self._settings.gossip_interval, self._tick)
        self._timers.subscribe("loads", POLL_INTERVAL_SECONDS, self._poll_loads)
        nursery.start_soon(self._receive)
        nursery.start_soon(self._watcher.watch_table)
        nursery.start_soon(self._watcher.watch_instances)
        nursery.start_soon(self._timers.run)

    async def stop(self) -> None:
        """Announce to the peers that the agent is leaving."""
        self._control.leaving = True
        self._execute(self._control.tick(self._clock.now()))
        log_event(self._logger, logging.INFO, Event.STOP_REQUESTED)
        await trio.sleep(self._settings.gossip_interval)

    async def close(self) -> None:
        """Close the message endpoint."""
        if self._endpoint is not None:
            await self._endpoint.close()

    def _execute(self, actions: Actions) -> None:
        execute_actions(actions, self._endpoint, self._logger)

    def _compute_wait(self) -> float:
        agents = len(self._control.membership.list_candidate_owners())
        return compute_watch_wait(agents, self._settings.watch_wait)

    async def _receive(self) -> None:
        while True:
            message = await self._endpoint.receive()
            if isinstance(message, StatusRequest):
                self._send_status(message)
                continue
            self._execute(self._control.receive(message, self._clock.now()))

    def _send_status(self, request: StatusRequest) -> None:
        document = {
            **self._control.build_status(),
            "platform_calls": self._watcher.calls,
            "sent_bytes": self._endpoint.sent_bytes,
            "received_messages": self._endpoint.received,
            "dropped_messages": self._endpoint.dropped,
        }
        status = Status(self._control.instance_id, msgspec.json.encode(document))
        self._endpoint.send(request.address, status)

    async def _tick(self, now: float) -> None:
        self._execute(self._control.tick(now))

    async def _poll_loads(self, now: float) -> None:
        control = self._control
        upstreams = select_polled_upstreams(
            control.marks.apply(control.replica.instances),
            control.instance_id,
            self._settings.failure_domain,
        )
        if upstreams and control.entries_by_id:
            self._execute(control.forward_loads(await self._poller.poll(upstreams)))


app = cyclopts.App(name="wigeondrift-agent", help="Agent of one instance.")


@app.default
def run(*, settings: Path) -> None:
    """Run the agent until it is stopped by a signal.

    Parameters
    ----------
    settings : Path
        JSON file with the settings.
    """
    from wigeondrift.composition import compose_agent

    try:
        loaded = load_settings(str(settings), AgentSettings)
    except SettingsError as error:
        logger = configure_logging("INFO")
        faults = [str(fault) for fault in error.faults] or [error.reason]
        log_event(
            logger,
            logging.ERROR,
            Event.SETTINGS_REFUSED,
            path=error.path,
            location=error.location,
            reason=error.reason,
            faults=faults,
        )
        sys.exit(EXIT_SETTINGS_REFUSED)
    trio.run(compose_agent(loaded).run_until_signalled)


def main() -> None:
    """Run the command line interface."""
    app()


if __name__ == "__main__":
    main()
