"""Operations on the table behind the commands of ``wigeondriftctl``."""

import getpass
import hashlib
import time
import typing
import uuid

import msgspec

from wigeondrift.errors import TableError, UsageError
from wigeondrift.operator.declaration import parse_cell
from wigeondrift.operator.editor import TableEditor, VersionedTable
from wigeondrift.operator.edits import (
    Cell,
    CellChange,
    Edit,
    diff_tables,
)
from wigeondrift.systems.editing import Accepted, EditResult
from wigeondrift.table.rows import (
    Change,
    LimitRow,
    ServiceKind,
    ServiceRow,
    Table,
    TeamRow,
)
from wigeondrift.table.table_check import check_table

KEY_BYTES_MIN = 16


class EditReport(msgspec.Struct, frozen=True):
    """Outcome of an edit.

    Attributes
    ----------
    change_id : str
        Empty if the edit was not submitted: no changes, or a dry run.
    cells : tuple of CellChange
        Requested changes.
    result : Accepted, Conflicted, Refused, Unavailable, Unknown or None
        None for a dry run.
    """

    change_id: str
    cells: tuple[CellChange, ...]
    result: EditResult | None


class GridCell(msgspec.Struct, frozen=True):
    """Limits of one team for one service, as shown in the grid."""

    weight: float
    requests: float
    tokens: float
    running: int
    domains: tuple[str, ...]
    preferred: tuple[str, ...]


class Grid(msgspec.Struct, frozen=True):
    """The table as a grid with a row per team and a column per service.

    Attributes
    ----------
    version : int
    services, teams : tuple of str
        Columns and rows of the grid, sorted by name.
    cells_by_row : dict of str to GridCell
        Cells by ``team/service``.
    """

    version: int
    services: tuple[str, ...]
    teams: tuple[str, ...]
    cells_by_row: dict[str, GridCell]


def make_grid(current: VersionedTable) -> Grid:
    """Return the grid of a table."""
    table = current.table
    cells_by_row = {
        name: GridCell(
            row.weight,
            row.requests,
            row.tokens,
            row.running,
            row.domains,
            row.preferred,
        )
        for name, row in table.limits_by_row.items()
    }
    return Grid(
        current.version,
        tuple(sorted(table.services_by_name)),
        tuple(sorted(table.teams_by_name)),
        cells_by_row,
    )


def list_history(current: VersionedTable) -> list[Change]:
    """Return the changes in the history, newest first."""
    return list(reversed(current.table.changes))


def digest_key(key: str) -> str:
    """Return the digest under which the table stores a bearer key.

    Raises
    ------
    UsageError
        If the key is too short to be secure.
    """
    data = key.strip().encode()
    if len(data) < KEY_BYTES_MIN:
        raise UsageError(f"a bearer key must have at least {KEY_BYTES_MIN} bytes")
    return hashlib.sha256(data).hexdigest()


def parse_columns(columns: list[str], row_type: type) -> dict[str, Cell]:
    """Parse ``column=value`` arguments into cells, keyed by column.

    Raises
    ------
    UsageError
        If a column is unknown or its value is invalid.
    """
    types_by_column = {
        field.name: field.type for field in msgspec.structs.fields(row_type)
    }
    cells_by_column = {}
    for text in columns:
        column, separator, value = text.partition("=")
        if not separator or column not in types_by_column:
            known = ", ".join(types_by_column)
            raise UsageError(f"{text!r} is not COLUMN=VALUE; the columns are {known}")
        column_type = types_by_column[column]
        if typing.get_origin(column_type) is tuple:
            value = value.replace(",", " ")
        try:
            cells_by_column[column] = parse_cell(value, column_type)
        except msgspec.ValidationError as error:
            raise UsageError(f"{column}: {error}") from error
    return cells_by_column


class TableOperations:
    """Reads and edits the table on behalf of an operator.

    Parameters
    ----------
    editor : TableEditor
    author : str, optional
        Name recorded in the history; defaults to the user name.
    dry_run : bool
        Whether to compute edits without submitting them.
    """

    __slots__ = ("_author", "_dry_run", "_editor")

    def __init__(
        self, editor: TableEditor, author: str = "", dry_run: bool = False
    ) -> None:
        self._editor = editor
        self._author = author or get_user_name()
        self._dry_run = dry_run

    async def read(self) -> VersionedTable:
        """Return the current table; raises the errors of ``TableEditor.read``."""
        return await self._editor.read()

    async def set_limit(
        self, team: str, service: str, columns: list[str]
    ) -> EditReport:
        """Set columns of a team's row for a service; creates the row if missing."""
        cells = parse_columns(columns, LimitRow)
        row = f"{team}/{service}"
        return await self._set_row("limits_by_row", row, LimitRow(), cells)

    async def remove_limit(self, team: str, service: str) -> EditReport:
        """Remove a team's row for a service."""
        return await self._remove_rows("limits_by_row", [f"{team}/{service}"])

    async def set_service(self, name: str, columns: list[str]) -> EditReport:
        """Set columns of a service; creates the service if missing."""
        cells = parse_columns(columns, ServiceRow)
        kind = ServiceKind(cells.get("kind", ServiceKind.PLAIN))
        return await self._set_row("services_by_name", name, ServiceRow(kind), cells)

    async def remove_service(self, name: str) -> EditReport:
        """Remove a service and its limits."""
        return await self._remove_rows("services_by_name", [name], name)

    async def add_team(self, name: str, keys: list[str]) -> EditReport:
        """Add a team, or keys to an existing team; only key digests are stored."""
        current = await self._editor.read()
        previous_digests = current.table.teams_by_name.get(name, TeamRow()).key_digests
        digests = dict.fromkeys((*previous_digests, *map(digest_key, keys)))
        teams = {**current.table.teams_by_name, name: TeamRow(tuple(digests))}
        return await self._submit(
            current, msgspec.structs.replace(current.table, teams_by_name=teams)
        )

    async def remove_key(self, name: str, digest: str) -> EditReport:
        """Remove a key from a team.

        Parameters
        ----------
        name : str
        digest : str
            Prefix of the key's digest.

        Raises
        ------
        UsageError
            If there is no such team, or the prefix does not match exactly one key.
        """
        current = await self._editor.read()
        team = current.table.teams_by_name.get(name)
        if team is None:
            raise UsageError(f"there is no team {name}")
        kept = tuple(
            key_digest
            for key_digest in team.key_digests
            if not key_digest.startswith(digest)
        )
        if len(kept) != len(team.key_digests) - 1:
            raise UsageError(f"{digest!r} does not match exactly one key of {name}")
        teams = {**current.table.teams_by_name, name: TeamRow(kept)}
        return await self._submit(
            current, msgspec.structs.replace(current.table, teams_by_name=teams)
        )

    async def remove_team(self, name: str) -> EditReport:
        """Remove a team and its limits."""
        return await self._remove_rows("teams_by_name", [name], name)

    async def apply(self, declared: Table) -> EditReport:
        """Replace the rows of the table with those of a declaration."""
        current = await self._editor.read()
        return await self._submit(current, declared)

    async def diff(self, declared: Table) -> tuple[CellChange, ...]:
        """Return the cell changes that turn the table into the declared one."""
        current = await self._editor.read()
        return diff_tables(current.table, declared)

    async def _set_row(
        self, field: str, name: str, default_row: msgspec.Struct, cells: dict[str, Cell]
    ) -> EditReport:
        current = await self._editor.read()
        rows = dict(getattr(current.table, field))
        row = {**msgspec.to_builtins(rows.get(name, default_row)), **cells}
        rows[name] = msgspec.convert(row, type(default_row))
        return await self._submit(
            current, msgspec.structs.replace(current.table, **{field: rows})
        )

    async def _remove_rows(
        self, field: str, names: list[str], team_or_service: str = ""
    ) -> EditReport:
        current = await self._editor.read()
        rows = dict(getattr(current.table, field))
        for name in names:
            if rows.pop(name, None) is None:
                raise UsageError(f"there is no {name} in the table")
        table = msgspec.structs.replace(current.table, **{field: rows})
        if team_or_service:
            limits = {
                row: limit
                for row, limit in table.limits_by_row.items()
                if team_or_service
                != row.split("/")[0 if field == "teams_by_name" else 1]
            }
            table = msgspec.structs.replace(table, limits_by_row=limits)
        return await self._submit(current, table)

    async def _submit(self, current: VersionedTable, wanted: Table) -> EditReport:
        """Submit the difference between the current and the wanted table.

        Raises
        ------
        TableError
            If the wanted table is invalid; nothing is submitted.
        """
        problems = check_table(wanted)
        if problems:
            raise TableError(problems)
        cells = diff_tables(current.table, wanted)
        if not cells:
            return EditReport("", (), Accepted(current.version))
        if self._dry_run:
            return EditReport("", cells, None)
        change_id = uuid.uuid4().hex
        edit = Edit(change_id, self._author, time.time(), current.version, cells)
        return EditReport(change_id, cells, await self._editor.submit(edit))


def get_user_name() -> str:
    """Return the name of the user who runs this process."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
