"""Applies an edit to the table despite lost answers and concurrent edits.

The table is a single value that is written by compare-and-swap. An edit is applied to
the newest version. If another edit was written first, it is applied on top of that
one, unless both set a cell to different values. An edit is reported as accepted only
after a read has returned its id in the history.
"""

import msgspec

from wigeondrift.errors import TableError
from wigeondrift.operator.edits import (
    CellConflict,
    Edit,
    apply_edit,
    find_conflicts,
    has_all_changes_since,
    has_change,
)
from wigeondrift.store.contract import VersionedValue
from wigeondrift.table.rows import Table, serialize_table
from wigeondrift.table.table_check import Problem, check_table, load_table


class ReadTable(msgspec.Struct, frozen=True):
    """Step: read the newest table."""


class WriteTable(msgspec.Struct, frozen=True):
    """Step: write the table if it is still at the expected revision."""

    value: bytes
    expected: int


class Accepted(msgspec.Struct, frozen=True):
    """The edit is in the table.

    Attributes
    ----------
    version : int
        A table version that contains it.
    """

    version: int


class Conflicted(msgspec.Struct, frozen=True):
    """The edit is not in the table: other edits changed the same cells."""

    conflicts: tuple[CellConflict, ...]


class Refused(msgspec.Struct, frozen=True):
    """The edit is not in the table: the table would be invalid with it."""

    problems: tuple[Problem, ...]


class Unavailable(msgspec.Struct, frozen=True):
    """The edit is not in the table: the platform could not be reached."""


class Unknown(msgspec.Struct, frozen=True):
    """The edit may be in the table, or may still be written to it."""

    change_id: str


EditResult = Accepted | Conflicted | Refused | Unavailable | Unknown


class EditRun:
    """State machine that applies one edit to the table, without I/O.

    The caller carries out ``step`` and reports its outcome until ``result`` is set. A
    read without an answer is not reported; the caller repeats it.

    Parameters
    ----------
    edit : Edit

    Attributes
    ----------
    step : ReadTable or WriteTable
        Next step to carry out.
    result : Accepted, Conflicted, Refused, Unavailable, Unknown or None
    """

    __slots__ = (
        "_edit",
        "_in_flight",
        "_last_change_id",
        "_oldest_valid_revision",
        "_uncertain_revision",
        "_written",
        "result",
        "step",
    )

    def __init__(self, edit: Edit) -> None:
        self._edit = edit
        # A read that returns an older revision is stale.
        self._oldest_valid_revision = edit.base
        # Expected revision of an unanswered write, which may still take effect.
        self._uncertain_revision: int | None = None
        self._last_change_id = ""
        self._written = False
        self._in_flight = False
        self.step: ReadTable | WriteTable = ReadTable()
        self.result: EditResult | None = None

    def handle_read(self, stored: VersionedValue) -> None:
        """Handle the value returned by a read; a stale value is ignored."""
        if stored.revision < self._oldest_valid_revision:
            return
        self._oldest_valid_revision = stored.revision
        try:
            table = load_table(stored.value) if stored.revision else Table()
        except TableError as error:
            self._end_unaccepted(Refused(error.problems))
            return
        if has_change(table, self._edit.change_id):
            self.result = Accepted(stored.revision)
        elif self._written or not self._resolve_uncertain_write(stored.revision, table):
            self.result = Unknown(self._edit.change_id)
        else:
            self._prepare_write(stored.revision, table)

    def handle_sent(self) -> None:
        """Record that the write is being sent."""
        self._in_flight = True

    def handle_written(self, revision: int) -> None:
        """Handle the platform's confirmation of the write."""
        self._in_flight = False
        self._written = True
        self._oldest_valid_revision = revision
        self.step = ReadTable()

    def handle_conflict(self, found: int) -> None:
        """Handle the platform's answer that the table is at another revision."""
        self._in_flight = False
        self._oldest_valid_revision = max(self._oldest_valid_revision, found)
        self.step = ReadTable()

    def handle_lost_answer(self) -> None:
        """Record that the write received no answer."""
        self._in_flight = False
        self._uncertain_revision = self.step.expected
        self.step = ReadTable()

    def handle_throttled(self) -> None:
        """Handle a rate-limited write; the caller repeats it."""
        self._in_flight = False

    def handle_refusal(self, reason: str) -> None:
        """Handle the platform's refusal of the value."""
        self._in_flight = False
        self._end_unaccepted(Refused((Problem("", reason),)))

    def give_up(self) -> None:
        """Stop and set the result that is known so far."""
        if self._written:
            self.result = Unknown(self._edit.change_id)
        else:
            self._end_unaccepted(Unavailable())

    def _resolve_uncertain_write(self, revision: int, table: Table) -> bool:
        """Clear the uncertainty about an unanswered write; return false if impossible.

        Once the table is at a later revision, the write can no longer take effect. If
        it had taken effect, the history would contain it, provided that the history
        reaches back far enough.
        """
        if self._uncertain_revision is None or revision == self._uncertain_revision:
            return True
        if not has_all_changes_since(table, self._last_change_id):
            return False
        self._uncertain_revision = None
        return True

    def _prepare_write(self, revision: int, table: Table) -> None:
        conflicts = find_conflicts(table, self._edit)
        if conflicts:
            self._end_unaccepted(Conflicted(tuple(conflicts)))
            return
        try:
            changed = apply_edit(table, self._edit)
        except msgspec.ValidationError as error:
            self._end_unaccepted(Refused((Problem("", str(error)),)))
            return
        problems = check_table(changed)
        if problems:
            self._end_unaccepted(Refused(tuple(problems)))
            return
        self._last_change_id = table.changes[-1].change_id if table.changes else ""
        self.step = WriteTable(serialize_table(changed), revision)

    def _end_unaccepted(self, result: EditResult) -> None:
        """Set a result other than accepted, or unknown if a write may take effect."""
        if self._in_flight or self._uncertain_revision is not None:
            result = Unknown(self._edit.change_id)
        self.result = result
