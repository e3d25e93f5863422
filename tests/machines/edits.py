"""Stateful tests of concurrent table edits with lost, late and stale answers.

The oracle is a plain dict of cells. Each change of the stored value must correspond to
exactly one edit, applied to the cell values that it was based on. Each result must
agree with whether that edit was ever written.
"""

import json

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from wigeondrift.errors import (
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.operator.edits import CellChange, Edit
from wigeondrift.store.core import DownMode, StoreCore
from wigeondrift.systems.editing import (
    Accepted,
    Conflicted,
    EditRun,
    ReadTable,
    Refused,
    Unavailable,
)
from wigeondrift.table.rows import (
    TABLE_KEY,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
    serialize_table,
)

OPERATORS = ("a", "b", "c")
CELLS = (
    "limits/large/lm/weight",
    "limits/large/lm/running",
    "limits/small/lm/weight",
)
VALUES = st.dictionaries(
    st.sampled_from(CELLS), st.integers(1, 3), min_size=1, max_size=2
)
STEPS_TO_FINISH = 6
EXTRA_ROW = "limits/small/desk"
EXTRA_CELLS = ("domains", "preferred", "requests", "running", "tokens", "weight")
SECTIONS = (
    ("services", "services_by_name"),
    ("teams", "teams_by_name"),
    ("limits", "limits_by_row"),
)
START = Table(
    {
        "lm": ServiceRow(ServiceKind.MODEL, layers=4, version="v1"),
        "desk": ServiceRow(ServiceKind.PLAIN),
    },
    {"large": TeamRow(), "small": TeamRow()},
    {"large/lm": LimitRow(), "small/lm": LimitRow()},
)


def flatten(value):
    """Return the cells of a stored table, independently of the code under test."""
    document = json.loads(value)
    return {
        f"{section}/{name}/{column}": cell
        for section, field in SECTIONS
        for name, row in document[field].items()
        for column, cell in row.items()
    }


class EditMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.core = StoreCore()
        self.core.put(0.0, TABLE_KEY, serialize_table(START), 0)
        self.runs = {}
        self.edits = {}
        self.results = {}
        self.applied = []
        self.tables = [self.core.read(0.0, TABLE_KEY)]
        self.cells = flatten(self.tables[0].value)
        self.count = 0

    @initialize()
    def settle_start(self):
        self.now = 1.0

    # Oracle

    def observe(self):
        """Check the effect of the last call on the stored value."""
        stale, self.core.faults.stale_reads = self.core.faults.stale_reads, 0.0
        newest = self.core.read(self.now, TABLE_KEY)
        self.core.faults.stale_reads = stale
        if newest.revision == self.tables[-1].revision:
            return
        self.tables.append(newest)
        cells = flatten(newest.value)
        change_id = json.loads(newest.value)["changes"][-1]["change_id"]
        assert change_id not in self.applied, f"{change_id} was applied twice"
        for change in self.edits[change_id].cells:
            found = self.cells.get(change.path)
            assert found in (change.old, change.new), f"{change} overwrote {found}"
            self.cells[change.path] = change.new
        self.cells = {path: cell for path, cell in self.cells.items() if cell != None}  # noqa: E711
        assert cells == self.cells, "a change was lost or reverted"
        self.applied.append(change_id)

    @invariant()
    def results_are_true(self):
        for change_id, result in self.results.items():
            if isinstance(result, Accepted):
                assert change_id in self.applied, (
                    f"{change_id} was reported as accepted"
                )
            if isinstance(result, Conflicted | Refused | Unavailable):
                assert change_id not in self.applied, f"{change_id} is in: {result}"
            if isinstance(result, Conflicted):
                assert result.conflicts
                for conflict in result.conflicts:
                    assert conflict.found not in (conflict.old, conflict.wanted)
                    assert self.was_stored(conflict), f"never stored: {conflict}"

    def was_stored(self, conflict):
        return any(
            flatten(stored.value).get(conflict.path) == conflict.found
            for stored in self.tables
        )

    def start_run(self, operator, base, changes):
        if not changes:
            return
        self.count += 1
        change_id = f"{operator}{self.count}"
        edit = Edit(change_id, operator, self.now, base.revision, tuple(changes))
        self.edits[change_id] = edit
        self.runs[operator] = (change_id, EditRun(edit))

    # Operators

    @precondition(lambda self: len(self.runs) < len(OPERATORS))
    @rule(data=st.data(), values=VALUES, age=st.integers(0, 2), whole=st.booleans())
    def begin_edit(self, data, values, age, whole):
        """Begin an edit on a table that may be old; carry it to its end if whole."""
        idle = [name for name in OPERATORS if name not in self.runs]
        operator = data.draw(st.sampled_from(idle))
        base = self.tables[-1 - min(age, len(self.tables) - 1)]
        cells = flatten(base.value)
        changes = [
            CellChange(path, cells[path], value)
            for path, value in values.items()
            if cells[path] != value
        ]
        self.start_run(operator, base, changes)
        if whole:
            self.go_on(operator, STEPS_TO_FINISH)

    @rule(operator=st.sampled_from(OPERATORS))
    def begin_row_edit(self, operator):
        """Add the extra row, or remove it if it is there."""
        if operator in self.runs:
            return
        base = self.tables[-1]
        cells = flatten(base.value)
        fresh = {"weight": 2.0, "requests": 1.0, "tokens": 1.0, "running": 1}
        changes = []
        for column in EXTRA_CELLS:
            path = f"{EXTRA_ROW}/{column}"
            old = cells.get(path)
            new = fresh.get(column, []) if old is None else None
            changes.append(CellChange(path, old, new))
        self.start_run(operator, base, changes)

    @rule(operator=st.sampled_from(OPERATORS), steps=st.integers(1, 4))
    def go_on(self, operator, steps):
        for _ in range(steps):
            if operator in self.runs:
                self.step(operator)

    @precondition(lambda self: self.runs)
    @rule(data=st.data(), fault=st.sampled_from(("lost", "late", "down", "throttled")))
    def write_with_fault(self, data, fault):
        """Take an edit to its write and let a fault meet it."""
        operator = data.draw(st.sampled_from(sorted(self.runs)))
        while operator in self.runs:
            if not isinstance(self.runs[operator][1].step, ReadTable):
                break
            before = self.runs[operator][1].step
            self.step(operator)
            if operator in self.runs and self.runs[operator][1].step is before:
                return
        if operator in self.runs:
            self.step_with_fault(operator, fault)

    def step_with_fault(self, operator, fault):
        faults = self.core.faults
        kept = msgspec.structs.replace(faults)
        match fault:
            case "lost":
                faults.lost_answers = 1
            case "late":
                faults.late_writes = 1
            case "down":
                faults.down = DownMode.RESET
            case "throttled":
                faults.writes_per_second = 1e-9
        self.step(operator)
        self.core.faults = kept

    @precondition(lambda self: self.runs)
    @rule(data=st.data())
    def give_up(self, data):
        operator = data.draw(st.sampled_from(sorted(self.runs)))
        self.runs[operator][1].give_up()
        self.finish(operator)

    def step(self, operator):
        _, run = self.runs[operator]
        try:
            if isinstance(run.step, ReadTable):
                self.core.admit_read(self.now, "get", operator)
                run.handle_read(self.core.read(self.now, TABLE_KEY))
            else:
                self.write(operator, run)
        except (PlatformThrottled, PlatformUnavailable):
            pass
        self.observe()
        self.finish(operator)

    def write(self, operator, run):
        step = run.step
        run.handle_sent()
        try:
            self.core.admit_write(self.now, "put", operator)
            revision = self.core.put(self.now, TABLE_KEY, step.value, step.expected)
        except RevisionConflict as conflict:
            run.handle_conflict(conflict.found)
        except PlatformThrottled:
            run.handle_throttled()
        except PlatformUnavailable:
            run.handle_lost_answer()
        else:
            run.handle_written(revision)

    def finish(self, operator):
        change_id, run = self.runs[operator]
        if run.result is not None:
            self.results[change_id] = run.result
            del self.runs[operator]

    # Faults and time

    @rule(seconds=st.sampled_from((0.5, 2.0, 5.0)))
    def pass_time(self, seconds):
        self.now += seconds
        self.core.advance(self.now)
        self.observe()

    @rule(count=st.integers(1, 2))
    def lose_answers(self, count):
        self.core.faults.lost_answers = count

    @rule(count=st.integers(1, 2), seconds=st.sampled_from((0.4, 1.0, 4.0)))
    def make_writes_late(self, count, seconds):
        self.core.faults.late_writes = count
        self.core.faults.late_seconds = seconds

    @rule(seconds=st.sampled_from((0.0, 1.0, 4.0)))
    def make_reads_stale(self, seconds):
        self.core.faults.stale_reads = seconds

    @rule(mode=st.sampled_from((DownMode.UP, DownMode.RESET)))
    def turn_platform(self, mode):
        self.core.faults.down = mode

    @rule(operator=st.sampled_from(OPERATORS), mode=st.sampled_from(DownMode))
    def cut_operator(self, operator, mode):
        self.core.faults.down_by_caller = {operator: mode}

    def teardown(self):
        """Clear all faults; each run must end and no late write may change a result."""
        faults = self.core.faults
        faults.down = DownMode.UP
        faults.down_by_caller = {}
        faults.lost_answers = faults.late_writes = 0
        faults.stale_reads = 0.0
        self.pass_time(10.0)
        for operator in list(self.runs):
            self.go_on(operator, 8)
            assert operator not in self.runs, "the edit did not end"
        self.results_are_true()
        assert flatten(self.tables[-1].value) == self.cells
