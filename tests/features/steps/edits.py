import random

import msgspec
import trio
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test
from trio.testing import MockClock

from tests.machines.edits import CELLS, START, EditMachine
from wigeondrift.errors import TableError
from wigeondrift.operator import edits
from wigeondrift.operator.editor import TableEditor
from wigeondrift.operator.edits import CellChange, Edit
from wigeondrift.store.core import DownMode
from wigeondrift.store.memory import MemoryStore
from wigeondrift.systems.editing import Accepted, Conflicted, Unavailable, Unknown
from wigeondrift.systems.replica import OfferResult, Replica
from wigeondrift.table.rows import (
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    TeamRow,
    serialize_table,
)
from wigeondrift.table.table_check import check_table, load_table

DIGEST = "0" * 64
EXAMPLES = 150
STEPS = 30


def run_machine():
    run_state_machine_as_test(
        EditMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            suppress_health_check=list(HealthCheck),
        ),
    )


@then("fuzzing table edits against a dict of accepted cells finds no violation")
def check_machine(context):
    run_machine()


@then("fuzzing table edits with a history of {count:d} changes finds no violation")
def check_short_history(context, count):
    kept = edits.HISTORY_CHANGES_MAX
    edits.HISTORY_CHANGES_MAX = count
    try:
        run_machine()
    finally:
        edits.HISTORY_CHANGES_MAX = kept


def run_on_mock_clock(run):
    return trio.run(run, clock=MockClock(autojump_threshold=0))


def make_edit(change_id, path, old, new, base):
    return Edit(change_id, change_id, 0.0, base, (CellChange(path, old, new),))


@given("a table editor over a platform store in memory")
def make_editor(context):
    context.store = MemoryStore()
    context.editor = TableEditor(context.store, rng=random.Random(1))
    context.base = context.store.core.put(0.0, TABLE_KEY, serialize_table(START), 0)


def submit_both(context, first, second):
    async def run():
        return [await context.editor.submit(edit) for edit in (first, second)]

    context.results = run_on_mock_clock(run)
    context.stored = load_table(context.store.core.read(1e6, TABLE_KEY).value)


@when("two table edits change different cells of the same version")
def edit_different_cells(context):
    submit_both(
        context,
        make_edit("one", CELLS[0], 1.0, 2.0, context.base),
        make_edit("two", CELLS[1], 100, 7, context.base),
    )


@then("both table edits are accepted and in the table")
def check_both(context):
    assert [type(result) for result in context.results] == [Accepted, Accepted]
    row = context.stored.limits_by_row["large/lm"]
    assert (row.weight, row.running) == (2.0, 7)
    assert [change.author for change in context.stored.changes] == ["one", "two"]


@when("two table edits change the same cell of the same version")
def edit_same_cell(context):
    submit_both(
        context,
        make_edit("one", CELLS[0], 1.0, 2.0, context.base),
        make_edit("two", CELLS[0], 1.0, 3.0, context.base),
    )


@then("the second table edit shows the conflict and its author")
def check_conflict(context):
    first, second = context.results
    assert isinstance(first, Accepted)
    expected = edits.CellConflict(CELLS[0], 1.0, 2.0, 3.0, "one")
    assert second == Conflicted((expected,))
    assert context.stored.limits_by_row["large/lm"].weight == 2.0


def submit_one(context, before=None):
    async def run():
        if before is not None:
            before()
        edit = make_edit("one", CELLS[0], 1.0, 2.0, context.base)
        return await context.editor.submit(edit)

    context.result = run_on_mock_clock(run)


@when("the answer to the write of a table edit is lost")
def lose_answer(context):
    submit_one(context, lambda: context.store.change_faults(lost_answers=1))


@then("the table edit is accepted once")
def check_accepted_once(context):
    assert isinstance(context.result, Accepted)
    assert context.store.core.calls_by_name["put"] == 1


@when("a table edit is submitted while the platform is down")
def edit_in_outage(context):
    submit_one(context, lambda: context.store.change_faults(down=DownMode.RESET))


@then("the table edit is unavailable and not in the table")
def check_unavailable(context):
    assert context.result == Unavailable()
    assert context.store.core.read(1e6, TABLE_KEY).revision == context.base


class UnavailableAfterPut(MemoryStore):
    """Store that becomes unavailable after its first write, whose answer is lost."""

    async def put(self, key, value, expected, lease=""):
        self.change_faults(lost_answers=1)
        try:
            return await super().put(key, value, expected, lease)
        finally:
            self.change_faults(down=DownMode.RESET)


@when("the platform goes down after a table edit was written")
def cut_after_write(context):
    context.editor = TableEditor(UnavailableAfterPut(context.store.core))
    submit_one(context)


@then("the result of the table edit is unknown")
def check_unknown(context):
    assert context.result == Unknown("one")


def make_table_with_fault(fault):
    services = dict(START.services_by_name)
    teams = dict(START.teams_by_name)
    limits = dict(START.limits_by_row)
    match fault:
        case "a stray limit":
            limits["large/none"] = LimitRow()
        case "a limit without team":
            limits["none/lm"] = LimitRow()
        case "a limit without slash":
            limits["large"] = LimitRow()
        case "a model without layers":
            services["lm"] = ServiceRow(ServiceKind.MODEL, version="v1")
        case "a model without version":
            services["lm"] = ServiceRow(ServiceKind.MODEL, layers=1)
        case "a versioned service":
            services["desk"] = ServiceRow(ServiceKind.PLAIN, version="v1")
        case "a bad header":
            services["desk"] = ServiceRow(ServiceKind.PLAIN, key_header="a b")
        case "a shared key":
            teams["large"] = teams["small"] = TeamRow((DIGEST,))
        case "a repeated key":
            teams["large"] = TeamRow((DIGEST, DIGEST))
        case "a stray preference":
            limits["large/lm"] = LimitRow(domains=("rajkot",), preferred=("morbi",))
        case "too many rows":
            for number in range(9000):
                teams[f"team-{number}"] = TeamRow()
                limits[f"team-{number}/lm"] = LimitRow()
    return msgspec.structs.replace(
        START, services_by_name=services, teams_by_name=teams, limits_by_row=limits
    )


@then('a table with {fault} is refused at "{path}" for "{reason}"')
@then('a table with {fault} is refused at "" for "{reason}"')
def check_problem(context, fault, reason, path=""):
    table = make_table_with_fault(fault)
    problems = check_table(table)
    assert [problem.path for problem in problems] == [path], problems
    assert reason in problems[0].reason, problems
    try:
        load_table(serialize_table(table))
    except TableError as error:
        assert list(error.problems) == problems
    else:
        raise AssertionError("the table was loaded")


@when("a replica is offered a valid table, then one with a stray limit")
def offer_tables(context):
    context.replica = Replica()
    sound = serialize_table(START)
    stray = serialize_table(make_table_with_fault("a stray limit"))
    context.verdicts = [
        context.replica.offer_table(1, sound, 0.0),
        context.replica.offer_table(2, stray, 1.0),
    ]


@then("the replica refuses the second table and keeps the first")
def check_replica(context):
    assert context.verdicts == [OfferResult.APPLIED, OfferResult.REFUSED], (
        context.verdicts
    )
    assert context.replica.table_version == 1
    assert "no service none" in context.replica.refusal
