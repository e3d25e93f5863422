"""Decides how one edit gets into the table, over lost answers and races.

The table is one value written by compare-and-swap. An edit is put on the newest
version; when another edit came first it is put on that one, unless a cell of both
differs. Acceptance is said only once a read shows the edit's id in the history.
"""

import msgspec

from wigeondrift.errors import TableError
from wigeondrift.operator.edits import (
    CellConflict,
    Edit,
    apply_edit,
    covers_since,
    find_conflicts,
    has_change,
)
from wigeondrift.store.contract import Versioned
from wigeondrift.table.rows import Table, serialize_table
from wigeondrift.table.table_check import Problem, check_table, load_table


class ReadTable(msgspec.Struct, frozen=True):
    """The newest table is to be read."""


class WriteTable(msgspec.Struct, frozen=True):
    """The table is to be written at an expected revision."""

    value: bytes
    expected: int


class Accepted(msgspec.Struct, frozen=True):
    """The edit is in the table.

    Attributes
    ----------
    version : int
        A table version that holds it.
    """

    version: int


class Conflicted(msgspec.Struct, frozen=True):
    """The edit is not in the table: others changed the same cells."""

    conflicts: tuple[CellConflict, ...]


class Refused(msgspec.Struct, frozen=True):
    """The edit is not in the table, which would not pass its checks with it."""

    problems: tuple[Problem, ...]


class Unavailable(msgspec.Struct, frozen=True):
    """The edit is not in the table: the platform could not be reached."""


class Unknown(msgspec.Struct, frozen=True):
    """Whether the edit is in the table, or will yet be, is not known."""

    change_id: str


EditResult = Accepted | Conflicted | Refused | Unavailable | Unknown


class EditRun:
    """One edit on its way into the table.

    The shell carries out ``step`` and says what came of it, until there is a
    ``result``. A read without an answer needs no word; it is simply repeated.

    Parameters
    ----------
    edit : Edit

    Attributes
    ----------
    step : ReadTable or WriteTable
        What is to be done next.
    result : Accepted, Conflicted, Refused, Unavailable, Unknown or None
    """

    __slots__ = (
        "_uncertain_revision",
        "_edit",
        "_oldest_valid_revision",
        "_in_flight",
        "_last_change_id",
        "_written",
        "result",
        "step",
    )

    def __init__(self, edit: Edit) -> None:
        self._edit = edit
        # Reads below this revision are stale.
        self._oldest_valid_revision = edit.base
        # Revision at which a write without an answer may yet take effect.
        self._uncertain_revision: int | None = None
        self._last_change_id = ""
        self._written = False
        self._in_flight = False
        self.step: ReadTable | WriteTable = ReadTable()
        self.result: EditResult | None = None

    def handle_read(self, stored: Versioned) -> None:
        """Take the value that a read returned; a stale one changes nothing."""
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
        """Take note that the write is being sent."""
        self._in_flight = True

    def handle_written(self, revision: int) -> None:
        """Take the platform's word that the write took effect."""
        self._in_flight = False
        self._written = True
        self._oldest_valid_revision = revision
        self.step = ReadTable()

    def handle_conflict(self, found: int) -> None:
        """Take the platform's word that the table is at another revision."""
        self._in_flight = False
        self._oldest_valid_revision = max(self._oldest_valid_revision, found)
        self.step = ReadTable()

    def handle_lost_answer(self) -> None:
        """Take note that the write got no answer."""
        self._in_flight = False
        self._uncertain_revision = self.step.expected
        self.step = ReadTable()

    def handle_throttled(self) -> None:
        """Take the platform's refusal for its rate; the write is repeated."""
        self._in_flight = False

    def handle_refusal(self, reason: str) -> None:
        """Take the platform's refusal of the value."""
        self._in_flight = False
        self._end_unaccepted(Refused((Problem("", reason),)))

    def give_up(self) -> None:
        """End the run with what is known."""
        if self._written:
            self.result = Unknown(self._edit.change_id)
        else:
            self._end_unaccepted(Unavailable())

    def _resolve_uncertain_write(self, revision: int, table: Table) -> bool:
        """Drop the doubt over an unanswered write; false if that cannot be done.

        At a later revision the write can no longer take effect, and if it had, the
        history would show it, provided that it reaches back far enough.
        """
        if self._uncertain_revision is None or revision == self._uncertain_revision:
            return True
        if not covers_since(table, self._last_change_id):
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
        """End as not accepted, unless a write may yet take effect."""
        if self._in_flight or self._uncertain_revision is not None:
            result = Unknown(self._edit.change_id)
        self.result = result
