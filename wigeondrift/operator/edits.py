"""Edits of the table: sets of cell changes that can be merged with concurrent edits.

A cell is identified by its path: ``services/NAME/COLUMN``, ``teams/NAME/COLUMN`` or
``limits/TEAM/SERVICE/COLUMN``. A row has either all of its cells or none. Removing a
row therefore changes each of its cells and conflicts with any other change of the row.
"""

from collections.abc import Iterable

import msgspec

from wigeondrift.table.rows import Change, Table

HISTORY_CHANGES_MAX = 100
CHANGE_PATHS_MAX = 8

Cell = str | int | float | bool | list[str]

SECTIONS_BY_FIELD = {
    "services_by_name": "services",
    "teams_by_name": "teams",
    "limits_by_row": "limits",
}
FIELDS_BY_SECTION = {section: field for field, section in SECTIONS_BY_FIELD.items()}


class CellChange(msgspec.Struct, frozen=True):
    """Change of a single cell.

    Attributes
    ----------
    path : str
    old, new : object
        JSON values; None if the cell does not exist.
    """

    path: str
    old: Cell | None
    new: Cell | None


class Edit(msgspec.Struct, frozen=True):
    """Cell changes that are applied atomically.

    Attributes
    ----------
    change_id : str
        Unique ID of the edit.
    author : str
        Operator, recorded in the history.
    at : float
        Seconds since the epoch, recorded in the history.
    base : int
        Version of the table from which the old values were read.
    cells : tuple of CellChange
    """

    change_id: str
    author: str
    at: float
    base: int
    cells: tuple[CellChange, ...]


class CellConflict(msgspec.Struct, frozen=True):
    """A cell that another edit has changed in the meantime.

    Attributes
    ----------
    path : str
    old, found, wanted : object
        Value on which the edit is based, current value, requested value.
    changed_by : str
        Author of the last change of the cell in the history; empty if unknown.
    """

    path: str
    old: Cell | None
    found: Cell | None
    wanted: Cell | None
    changed_by: str = ""


def get_cells(table: Table) -> dict[str, Cell]:
    """Return all cells of a table, keyed by path."""
    cells_by_path = {}
    for field, section in SECTIONS_BY_FIELD.items():
        for name, row in msgspec.to_builtins(getattr(table, field)).items():
            for column, value in row.items():
                cell = list(value) if isinstance(value, tuple) else value
                cells_by_path[f"{section}/{name}/{column}"] = cell
    return cells_by_path


def make_table(cells_by_path: dict[str, Cell], changes: tuple[Change, ...]) -> Table:
    """Build a table from its cells.

    Raises
    ------
    msgspec.ValidationError
        If a cell is unknown or its value is out of bounds.
    """
    document: dict[str, dict[str, dict[str, Cell]]] = {
        field: {} for field in SECTIONS_BY_FIELD
    }
    for path, value in cells_by_path.items():
        section, _, rest = path.partition("/")
        name, _, column = rest.rpartition("/")
        rows = document.get(FIELDS_BY_SECTION.get(section, ""))
        if rows is None or not name:
            raise msgspec.ValidationError(f"unknown cell {path}")
        rows.setdefault(name, {})[column] = value
    table = msgspec.convert(document, Table)
    return msgspec.structs.replace(table, changes=changes)


def diff_tables(old: Table, new: Table) -> tuple[CellChange, ...]:
    """Return the cell changes that turn ``old`` into ``new``, sorted by path."""
    old_cells = get_cells(old)
    new_cells = get_cells(new)
    return tuple(
        CellChange(path, old_cells.get(path), new_cells.get(path))
        for path in sorted(old_cells.keys() | new_cells.keys())
        if old_cells.get(path) != new_cells.get(path)
    )


def find_conflicts(table: Table, edit: Edit) -> list[CellConflict]:
    """Return the cells of ``edit`` whose value is neither its old nor its new one."""
    cells_by_path = get_cells(table)
    conflicts = []
    for change in edit.cells:
        found = cells_by_path.get(change.path)
        if found not in (change.old, change.new):
            author = _find_last_author(table.changes, change.path)
            conflicts.append(
                CellConflict(change.path, change.old, found, change.new, author)
            )
    return conflicts


def apply_edit(table: Table, edit: Edit) -> Table:
    """Return the table with the edit applied and recorded in the history.

    Raises
    ------
    msgspec.ValidationError
        If a cell is unknown or its value is out of bounds.
    """
    cells_by_path = get_cells(table)
    for change in edit.cells:
        if change.new is None:
            cells_by_path.pop(change.path, None)
        else:
            cells_by_path[change.path] = change.new
    paths = _summarize_paths([change.path for change in edit.cells])
    entry = Change(edit.change_id, edit.author, edit.at, paths)
    changes = (*table.changes, entry)[-HISTORY_CHANGES_MAX:]
    return make_table(cells_by_path, changes)


def has_change(table: Table, change_id: str) -> bool:
    """Return whether the history contains a change."""
    return any(change.change_id == change_id for change in table.changes)


def has_all_changes_since(table: Table, last_change_id: str) -> bool:
    """Return whether the history contains all changes since the given one.

    Parameters
    ----------
    table : Table
    last_change_id : str
        Last change in the history of the earlier table; empty if it had none.
    """
    if not last_change_id:
        return len(table.changes) < HISTORY_CHANGES_MAX
    return has_change(table, last_change_id)


def _find_last_author(changes: Iterable[Change], path: str) -> str:
    for change in reversed(tuple(changes)):
        for changed_path in change.cells:
            if path == changed_path or path.startswith(changed_path + "/"):
                return change.author
    return ""


def _summarize_paths(paths: list[str]) -> tuple[str, ...]:
    """Return the paths, or those of their rows or sections if there are too many."""
    while len(paths) > CHANGE_PATHS_MAX and any("/" in path for path in paths):
        paths = sorted({path.rpartition("/")[0] or path for path in paths})
    return tuple(paths)
