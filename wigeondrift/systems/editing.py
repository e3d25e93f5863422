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
from wigeondrift.store.contract import VersionedValue
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
        "_doubtful_at",
        "_edit",
        "_floor",
        "_in_flight",
        "_last_change_id",
        "_written",
        "result",
        "step",
    )

    def __init__(self, edit: Edit) -> None:
        self._edit = edit
        # Reads below this revision are stale.
        self._floor = edit.base
        # Revision at which a write without an answer may yet take effect.
        self._doubtful_at: int | None = None
        self._last_change_id = ""
        self._written = False
        self._in_flight = False
        self.step: ReadTable | WriteTable = ReadTable()
        self.result: EditResult | None = None

    def take_read(self, seen: VersionedValue) -> None:
        """Take the value that a read returned; a stale one changes nothing."""
        if seen.revision < self._floor:
            return
        self._floor = seen.revision
        try:
            table = load_table(seen.value) if seen.revision else Table()
        except TableError as error:
            self._end_without(Refused(error.problems))
            return
        if has_change(table, self._edit.change_id):
            self.result = Accepted(seen.revision)
        elif self._written or not self._settle_doubt(seen.revision, table):
            self.result = Unknown(self._edit.change_id)
        else:
            self._prepare_write(seen.revision, table)

    def take_sent(self) -> None:
        """Take note that the write is being sent."""
        self._in_flight = True

    def take_written(self, revision: int) -> None:
        """Take the platform's word that the write took effect."""
        self._in_flight = False
        self._written = True
        self._floor = revision
        self.step = ReadTable()

    def take_conflict(self, found: int) -> None:
        """Take the platform's word that the table is at another revision."""
        self._in_flight = False
        self._floor = max(self._floor, found)
        self.step = ReadTable()

    def take_lost(self) -> None:
        """Take note that the write got no answer."""
        self._in_flight = False
        self._doubtful_at = self.step.expected
        self.step = ReadTable()

    def take_throttled(self) -> None:
        """Take the platform's refusal for its rate; the write is repeated."""
        self._in_flight = False

    def take_refused(self, reason: str) -> None:
        """Take the platform's refusal of the value."""
        self._in_flight = False
        self._end_without(Refused((Problem("", reason),)))

    def give_up(self) -> None:
        """End the run with what is known."""
        if self._written:
            self.result = Unknown(self._edit.change_id)
        else:
            self._end_without(Unavailable())

    def _settle_doubt(self, revision: int, table: Table) -> bool:
        """Drop the doubt over an unanswered write; false if that cannot be done.

        At a later revision the write can no longer take effect, and if it had, the
        history would show it, provided that it reaches back far enough.
        """
        if self._doubtful_at is None or revision == self._doubtful_at:
            return True
        if not covers_since(table, self._last_change_id):
            return False
        self._doubtful_at = None
        return True

    def _prepare_write(self, revision: int, table: Table) -> None:
        conflicts = find_conflicts(table, self._edit)
        if conflicts:
            self._end_without(Conflicted(tuple(conflicts)))
            return
        try:
            changed = apply_edit(table, self._edit)
        except msgspec.ValidationError as error:
            self._end_without(Refused((Problem("", str(error)),)))
            return
        problems = check_table(changed)
        if problems:
            self._end_without(Refused(tuple(problems)))
            return
        self._last_change_id = table.changes[-1].change_id if table.changes else ""
        self.step = WriteTable(serialize_table(changed), revision)

    def _end_without(self, result: EditResult) -> None:
        """End as not accepted, unless a write may yet take effect."""
        if self._in_flight or self._doubtful_at is not None:
            result = Unknown(self._edit.change_id)
        self.result = result
