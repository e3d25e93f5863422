"""Fuzzes requests that crash every runner they run on, mixed with normal ones."""

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.generations import GenerationHarness
from wigeondrift.errors import ErrorKind

COLUMNS = 6
ENTRIES = 3
MARKER = "fatal"
RESENDS = 6
MAX_RUNNERS_LOST = 2
MAX_RUNNERS_LOST_BY_TWO = 6
MOST_FAULTS = 2
LIST_LAG_SECONDS = 1.0
REVIVE_SECONDS = 3.0
RUN_TIMEOUT_SECONDS = 200.0

entries = st.integers(0, ENTRIES - 1)


class QuarantineMachine(RuleBasedStateMachine):
    """Collects a schedule, runs it in virtual time and counts the deaths of runners."""

    def __init__(self):
        super().__init__()
        self.harness = GenerationHarness(seed=5, entries=ENTRIES)
        self.schedule = []
        self.innocent = []
        self.fatal = []
        self.deaths = 0
        self.calls = 0
        self.faults = 0
        self.resending = 0

    @initialize(
        crash_after=st.sampled_from([0, 1, 5, 30]),
        restarts=st.booleans(),
        domains=st.sampled_from([("rajkot",), ("rajkot", "morbi", "jamnagar")]),
    )
    def arm(self, crash_after, restarts, domains):
        self.harness.add_grid(COLUMNS, domains)
        self.restarts = restarts
        for runner in self.harness.cluster.runners_by_id.values():
            if runner.settings.first_layer == 4:
                runner.crash_marker = MARKER
                runner.crash_after_tokens = crash_after

    @rule(entry=entries, count=st.sampled_from([5, 60, 150]))
    def call_innocent(self, entry, count):
        self.calls += 1
        prompt = f"cuckoo {self.calls}"
        self.schedule.append(
            lambda: self.innocent.append(self.harness.call(prompt, count, entry))
        )

    @precondition(lambda self: self.faults < MOST_FAULTS)
    @rule(first=entries)
    def call_fatal(self, first):
        self.faults += 1
        self.calls += 1
        prompt = f"{MARKER} {self.calls}"
        self.schedule.append(
            lambda: self.harness.nursery.start_soon(self.resend, prompt, first)
        )

    @rule(seconds=st.sampled_from([0.01, 0.1, 1.0]))
    def wait(self, seconds):
        self.schedule.append(seconds)

    @precondition(lambda self: self.faults < MOST_FAULTS)
    @rule(domain=st.sampled_from(["rajkot", "morbi"]))
    def lose_domain(self, domain):
        """All runners of a failure domain but its middles die at once."""
        self.faults += 1
        self.schedule.append(lambda: self.kill_domain(domain))

    def kill_domain(self, domain):
        runners = self.harness.cluster.runners_by_id.values()
        here = [r for r in runners if r.settings.failure_domain == domain]
        if len(here) < len(runners):
            for runner in here:
                if runner.settings.first_layer != 4 and runner.alive:
                    runner.die()
                    self.harness.nursery.start_soon(self.restart, runner)

    async def resend(self, prompt, entry):
        """Retry the request immediately at the next entry, as callers do."""
        self.resending += 1
        for number in range(RESENDS):
            caller = self.harness.call(prompt, 60, (entry + number) % ENTRIES)
            self.fatal.append(caller)
            await caller.done.wait()
        self.resending -= 1

    async def watch_deaths(self, runner):
        while True:
            await runner.died.wait()
            self.deaths += 1
            if not self.restarts:
                return
            await self.restart(runner)

    async def restart(self, runner):
        await trio.sleep(REVIVE_SECONDS)
        runner.revive()
        await trio.sleep(LIST_LAG_SECONDS)
        self.harness.publish_tables()

    async def run_schedule(self):
        for runner in self.harness.cluster.runners_by_id.values():
            if runner.settings.first_layer == 4:
                self.harness.nursery.start_soon(self.watch_deaths, runner)
        for step in self.schedule:
            if isinstance(step, float):
                await trio.sleep(step)
            else:
                step()
                await trio.sleep(0)
        with trio.fail_after(RUN_TIMEOUT_SECONDS):
            while self.resending:
                await trio.sleep(0.1)
        await self.harness.wait(RUN_TIMEOUT_SECONDS)

    def teardown(self):
        if not self.schedule:
            return
        self.harness.run(self.run_schedule)
        prompts = {caller.prompt for caller in self.fatal}
        most = MAX_RUNNERS_LOST if len(prompts) < 2 else MAX_RUNNERS_LOST_BY_TWO
        assert self.deaths <= most, self.deaths
        for caller in self.fatal:
            assert not caller.finish_reason
        for prompt in prompts:
            kinds = [one.error.kind for one in self.fatal if one.prompt == prompt]
            assert kinds[-1] is ErrorKind.QUARANTINED, kinds
        for caller in self.innocent:
            assert caller.error is None, (caller.prompt, caller.error.kind)
            assert caller.tokens == caller.list_expected("v1")


def run(examples):
    run_state_machine_as_test(
        QuarantineMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=7,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
