"""Probes of avoided runners, before requests are sent to them again."""

import trio

from wigeondrift.application import Component
from wigeondrift.errors import TransportError
from wigeondrift.router.control import RunnerControl
from wigeondrift.router.entities import RunnerReport, Upstream
from wigeondrift.router.faults import SharedFaults
from wigeondrift.router.replica import Replica
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.systems.directory import Directory

# Interval between probes of one runner; the platform counts each probe.
PROBE_SECONDS = 0.5
# Longer than the time from one failed probe to the end of the next one, so that no
# request is sent in between.
UNREACHABLE_PENALTY_SECONDS = 1.5


class Prober(Component):
    """Keeps runners avoided until they respond to a probe.

    Parameters
    ----------
    replica : Replica
    directory : Directory
    selector : UpstreamSelector
    control : RunnerControl
    faults : SharedFaults
        Learns whether the upstreams that it told of answer again.
    """

    __slots__ = ("_selector", "_control", "_directory", "_faults", "_replica")

    def __init__(
        self,
        replica: Replica,
        directory: Directory,
        selector: UpstreamSelector,
        control: RunnerControl,
        faults: SharedFaults,
    ) -> None:
        self._replica = replica
        self._directory = directory
        self._selector = selector
        self._control = control
        self._faults = faults

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the probes in ``nursery``."""
        nursery.start_soon(self._run)
        nursery.start_soon(self._check_cut_off_domains)

    async def _check_cut_off_domains(self) -> None:
        """Probe a runner of a domain as soon as it counts as cut off.

        A router of a large deployment has few streams in a domain, so that runners
        that died together look like the domain being cut off until another answers.
        """
        while True:
            await self._selector.domain_cut_off.wait()
            self._selector.domain_cut_off = trio.Event()
            now = trio.current_time()
            async with trio.open_nursery() as nursery:
                for domain in self._selector.reach.list_cut_off(now):
                    runner = self._choose_witness(domain, now)
                    if runner is not None:
                        nursery.start_soon(self._probe, runner)

    def _choose_witness(self, domain: str, now: float) -> Upstream | None:
        """Return a runner of a domain that is not itself known to be at fault."""
        selector = self._selector
        closed = selector.back_offs.list_closed(now)
        runners = [
            runner
            for runner in self._directory.upstreams_by_id.values()
            if runner.failure_domain == domain
            and runner.held_layers
            and runner.upstream_id not in closed
            and not selector.health.is_avoided(runner.upstream_id, now)
            and not selector.faults.is_avoided(runner, now)
        ]
        return selector.choose_any(runners) if runners else None

    async def _run(self) -> None:
        while True:
            await trio.sleep(PROBE_SECONDS)
            async with trio.open_nursery() as nursery:
                for runner in self._list_runners_to_probe():
                    nursery.start_soon(self._probe, runner)

    def _list_runners_to_probe(self) -> list[Upstream]:
        configuration = self._replica.configuration
        if configuration is None:
            return []
        health = self._selector.health
        now = trio.current_time()
        cut_off = set(self._selector.reach.list_cut_off(now))
        closed = self._selector.back_offs.list_closed(now)
        avoided = []
        for service in configuration.services_by_name.values():
            if service.engine is None:
                continue
            for runner in self._directory.list_service(service.name):
                if runner.upstream_id in closed:
                    continue
                if health.is_avoided(runner.upstream_id, now):
                    avoided.append(runner)
                elif runner.failure_domain in cut_off:
                    # Also probe one runner of a domain that is cut off: the runner
                    # itself may not be at fault.
                    cut_off.discard(runner.failure_domain)
                    avoided.append(runner)
        return avoided

    async def _probe(self, runner: Upstream) -> None:
        health = self._selector.health
        try:
            report = await self._control.get_report(runner)
        except TransportError as error:
            self._selector.record_unreachable(runner, str(error))
            self._faults.record_no_report(runner, error)
            health.extend_penalty(
                runner.upstream_id, trio.current_time(), UNREACHABLE_PENALTY_SECONDS
            )
            return
        self._selector.record_answer(runner)
        if report.is_leaving:
            self._selector.record_leaving(runner)
        is_fit = _is_as_listed(runner, report)
        self._selector.record_fitness(runner, is_fit)
        if is_fit:
            self._faults.record_answer(runner)
        else:
            self._faults.record_report(runner, report)
            health.extend_penalty(
                runner.upstream_id, trio.current_time(), 2 * PROBE_SECONDS
            )


def _is_as_listed(runner: Upstream, report: RunnerReport) -> bool:
    """Whether a runner holds its listed layers; after a restart, it does not."""
    listed = (runner.first_layer, runner.end_layer)
    return (report.first_layer, report.end_layer) == listed
