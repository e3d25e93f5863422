"""Fuzzes orders through several entries under faults against the upstreams' ledger."""

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.order_faults import ENTRIES, ENTRY, FAULT
from tests.order_world import ROWS_BY_NAME, World
from wigeondrift.errors import ErrorKind, Outcome

ENTRIES_ASKED = st.lists(ENTRY, min_size=1, max_size=4)
STEP_SECONDS = st.sampled_from([0.0, 0.03, 0.2, 1.0, 4.0, 70.0])
CLAIMED = ("strict", "fenced")
NOT_RUN_KINDS = (ErrorKind.UPSTREAM_REFUSED, ErrorKind.NO_UPSTREAM)


class OrderMachine(RuleBasedStateMachine):
    """Collects a plan of actions; ``teardown`` runs it and checks the replies."""

    make_claims = None

    def __init__(self):
        super().__init__()
        self.service = "strict"
        self.actions = []

    @initialize(service=st.sampled_from(sorted(ROWS_BY_NAME)))
    def choose_service(self, service):
        self.service = service

    @rule(
        faults=st.lists(FAULT, max_size=3),
        numbers=ENTRIES_ASKED,
        key=st.sampled_from("aaab"),
        body=st.sampled_from(["{}", "{}", "{}", "other"]),
        seconds=STEP_SECONDS,
    )
    def order(self, faults, numbers, key, body, seconds):
        async def act(world):
            for fault in faults:
                fault.apply(world, self.service)
            for number in numbers:
                world.submit(number, self.service, f"{self.service}-{key}", body)
            await trio.sleep(seconds)

        self.actions.append(act)

    async def ask_again(self, world):
        world.heal()
        await trio.sleep(100.0)
        world.first_after_faults = len(world.replies)
        for number, key in enumerate("ab"):
            world.submit(number, self.service, f"{self.service}-{key}")
        for number in range(ENTRIES):
            world.submit(number, "strict", f"strict-new-{number}")

    def teardown(self):
        world = World(ENTRIES, make_claims=self.make_claims)
        world.run([*self.actions, self.ask_again])
        check_ledger(world)
        for reply in world.replies:
            check_reply(world, reply)
        for reply in world.replies[world.first_after_faults :]:
            check_runs_after_faults(world, reply)


def check_ledger(world):
    for key, runs in world.service.ledger.runs_by_key.items():
        assert runs <= 1, f"{key} ran {runs} times"


def check_reply(world, reply):
    ledger = world.service.ledger
    ran_requests = {entry.request_id for entry in ledger.entries}
    if reply.outcome is Outcome.NOT_RUN:
        assert reply.request_id not in ran_requests, f"{reply.request_id} ran"
        if reply.service in CLAIMED and reply.error.kind in NOT_RUN_KINDS:
            ran_keys = [entry.key for entry in ledger.entries[: reply.runs]]
            assert reply.key not in ran_keys, f"{reply.key} had run"
    if reply.result is not None:
        answer = reply.result.answer
        assert answer.body == ledger.answers_by_key[reply.key].body
        if reply.service in CLAIMED:
            assert reply.body.encode() in answer.body


def check_runs_after_faults(world, reply):
    """Check that an order runs after the faults unless a claim may hold its key."""
    assert reply.outcome is not None, f"{reply.request_id} has no answer"
    may_be_held = "new" not in reply.key and (
        world.was_disturbed or had_unknown_outcome(world, reply)
    )
    if not may_be_held:
        assert reply.outcome is Outcome.RAN, (reply.key, reply.error)


def had_unknown_outcome(world, reply):
    """Return whether an earlier reply left the outcome of the key unknown."""
    return any(
        other.outcome in (None, Outcome.UNKNOWN) or other.body != "{}"
        for other in world.replies[: world.first_after_faults]
        if other.key == reply.key
    )
