"""Fuzz test of model requests: real attempts over emulated runners."""

import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.generations import GenerationHarness
from wigeondrift.errors import Outcome
from wigeondrift_emulator.runner import Runner

COLUMNS = 2
FIRST_LAYERS = (0, 4, 8)
VERSIONS = ("v1", "v2")
WAIT_TIMEOUT_SECONDS = 200.0

names = st.builds(
    lambda first, column: f"r{first}-{column}",
    st.sampled_from(FIRST_LAYERS),
    st.integers(0, COLUMNS - 1),
)


def set_field(field, value):
    return lambda runner: setattr(runner, field, value)


FAULTS_BY_NAME = {
    "die": Runner.die,
    "freeze": Runner.freeze,
    "silence": Runner.silence,
    "die_soon": set_field("die_after_tokens", 7),
    "cross": set_field("tokens_with_stray_events", 20),
    "skip": set_field("tokens_skipping_stage", 1),
    "leave": set_field("leaving", True),
    "cut": set_field("is_unreachable", True),
    "hang_up": lambda runner: end_streams_early(runner),
    "mend": lambda runner: recover_runner(runner),
}


def end_streams_early(runner):
    """End all running streams without an end event."""
    for session in list(runner.sessions):
        session.abort()


def recover_runner(runner):
    if not runner.alive:
        runner.revive()
    runner.thaw()
    runner.leaving = False
    runner.is_unreachable = False


class GenerationMachine(RuleBasedStateMachine):
    """Collects a schedule, then runs it in virtual time and checks all callers."""

    def __init__(self):
        super().__init__()
        self.harness = GenerationHarness(seed=11)
        self.harness.add_grid(COLUMNS)
        self.schedule = []
        self.calls = 0

    @initialize()
    def begin_streams(self):
        for _ in range(2):
            self.call(60, 0.0)
        self.schedule.append(0.1)

    @rule(count=st.sampled_from([1, 5, 60]), seconds=st.sampled_from([0.0, 0.1]))
    def call(self, count, seconds):
        self.calls += 1
        prompt = f"cuckoo {self.calls} is silent"
        self.schedule.append(lambda: self.harness.call(prompt, count))
        self.schedule.append(seconds)

    @rule(name=names, fault=st.sampled_from(sorted(FAULTS_BY_NAME)))
    def fault(self, name, fault):
        self.schedule.append(lambda: self.apply(name, fault))

    @rule(
        first=names,
        second=names,
        faults=st.tuples(
            st.sampled_from(sorted(FAULTS_BY_NAME)),
            st.sampled_from(sorted(FAULTS_BY_NAME)),
        ),
    )
    def two_faults_at_once(self, first, second, faults):
        self.fault(first, faults[0])
        self.fault(second, faults[1])

    @rule(seconds=st.sampled_from([0.005, 0.05, 0.3, 1.6, 4.0]))
    def wait(self, seconds):
        self.schedule.append(seconds)

    @rule(keeps_old=st.booleans())
    def roll_out(self, keeps_old):
        self.schedule.append(lambda: self.change_version(keeps_old))

    def apply(self, name, fault):
        runner = self.harness.cluster.runners_by_id.get(name)
        if runner is not None:
            FAULTS_BY_NAME[fault](runner)

    def change_version(self, keeps_old):
        """Restart half or all runners, names unchanged, with the other version."""
        harness = self.harness
        harness.version = VERSIONS[1 - VERSIONS.index(harness.version)]
        for runner in list(harness.cluster.runners_by_id.values()):
            if keeps_old and runner.settings.instance_id.endswith("-0"):
                continue
            runner.die()
            old_settings = runner.settings
            harness.add_runner(
                old_settings.instance_id,
                old_settings.first_layer,
                old_settings.end_layer,
                version=harness.version,
            )
        harness.publish_tables()

    async def run_schedule(self):
        for step in self.schedule:
            if isinstance(step, float):
                await trio.sleep(step)
            else:
                step()
        await trio.sleep(0.2)
        for runner in self.harness.cluster.runners_by_id.values():
            recover_runner(runner)
        await self.harness.wait(WAIT_TIMEOUT_SECONDS)
        await trio.sleep(5.0)

    def teardown(self):
        if not self.calls:
            return
        self.harness.run(self.run_schedule)
        for caller in self.harness.callers:
            self.check(caller)
        for generator in self.harness.generators:
            loads = generator.routing.loads
            for name in self.harness.cluster.runners_by_id:
                assert loads.get_own_requests(name) == 0, (
                    f"{name} still has a load count"
                )

    def check(self, caller):
        expected_answers = [caller.list_expected(version) for version in VERSIONS]
        count = len(caller.tokens)
        assert any(caller.tokens == tokens[:count] for tokens in expected_answers), (
            "unexpected token text"
        )
        is_whole = bool(caller.finish_reason)
        assert is_whole == (caller.error is None)
        if is_whole:
            assert count == caller.count, "a truncated answer is reported as complete"
        elif caller.error.outcome is Outcome.NOT_RUN:
            self.check_not_run(caller)
        elif count:
            assert caller.error.outcome is Outcome.UNKNOWN

    def check_not_run(self, caller):
        assert not caller.tokens
        for runner in self.harness.all_runners:
            assert caller.request_id not in runner.tokens_by_request, (
                "a request answered as not run was executed"
            )


def run(examples):
    run_state_machine_as_test(
        GenerationMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=8,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
