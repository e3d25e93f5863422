"""Prints the results of commands as tables or as JSON."""

import datetime
import sys
from collections.abc import Iterable, Sequence

import msgspec
import rich.box
import rich.console
import rich.table

from wigeondrift.operator.edits import CellChange, CellConflict
from wigeondrift.operator.porcelain import Grid, GridCell
from wigeondrift.table.rows import Change

REDIRECTED_WIDTH_CHARS = 200
CHANGE_ID_DISPLAY_CHARS = 12


class Printer:
    """Prints results to standard output and messages to standard error.

    Parameters
    ----------
    as_json : bool
        Whether each command prints its result as one JSON document.
    """

    __slots__ = ("_as_json", "_console")

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json
        width = None if sys.stdout.isatty() else REDIRECTED_WIDTH_CHARS
        self._console = rich.console.Console(
            width=width, highlight=False, emoji=False, markup=False
        )

    def print_if_json(self, document: object) -> bool:
        """Print ``document`` if results are JSON; return whether it was printed."""
        if self._as_json:
            data = msgspec.json.encode(document)
            print(msgspec.json.format(data, indent=2).decode())
        return self._as_json

    def print_text(self, text: str) -> None:
        """Print a text verbatim, ending with a newline."""
        print(text, end="" if text.endswith("\n") else "\n")

    def print_message(self, text: str) -> None:
        """Print a line to standard error."""
        print(text, file=sys.stderr)

    def print_rows(
        self, columns: Sequence[str], rows: Iterable[Sequence[object]], title: str = ""
    ) -> None:
        """Print a table of rows."""
        table = rich.table.Table(
            title=title or None, title_justify="left", box=rich.box.ASCII2
        )
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(format_value(value) for value in row))
        self._console.print(table)

    def print_grid(self, grid: Grid) -> None:
        """Print the limits as a grid of teams and services."""
        rows = []
        for team in grid.teams:
            cells = [
                format_grid_cell(grid.cells_by_row.get(f"{team}/{service}"))
                for service in grid.services
            ]
            rows.append((team, *cells))
        self.print_rows(("team", *grid.services), rows, f"version {grid.version}")

    def print_changes(self, cells: Iterable[CellChange]) -> None:
        """Print changed cells with their old and new values."""
        rows = [(change.path, change.old, change.new) for change in cells]
        self.print_rows(("cell", "old", "new"), rows)

    def print_conflicts(self, conflicts: Iterable[CellConflict]) -> None:
        """Print conflicting cells with the operator who changed them."""
        rows = [
            (
                conflict.path,
                conflict.old,
                conflict.found,
                conflict.wanted,
                conflict.changed_by,
            )
            for conflict in conflicts
        ]
        columns = ("cell", "was", "is now", "wanted", "changed by")
        self.print_rows(columns, rows)

    def print_history(self, changes: Iterable[Change]) -> None:
        """Print the accepted changes of the table."""
        rows = [
            (
                change.change_id[:CHANGE_ID_DISPLAY_CHARS],
                format_time(change.at),
                change.author,
                "\n".join(change.cells),
            )
            for change in changes
        ]
        self.print_rows(("change", "at (UTC)", "author", "cells"), rows)

    def print_tree(self, document: dict[str, object], title: str = "") -> None:
        """Print a JSON document: scalar values first, then a table per list."""
        scalars_by_name = {
            name: value
            for name, value in document.items()
            if not isinstance(value, dict | list | tuple) or not value
        }
        if scalars_by_name:
            self.print_rows(("name", "value"), scalars_by_name.items(), title)
        for name, value in document.items():
            item_title = f"{title}.{name}" if title else name
            if name in scalars_by_name:
                continue
            if isinstance(value, dict):
                self._print_dict(item_title, value)
            else:
                self._print_list(item_title, value)

    def _print_dict(self, title: str, value: dict[str, object]) -> None:
        items = list(value.values())
        if items and all(isinstance(item, dict) for item in items):
            rows = [{"name": name, **item} for name, item in value.items()]
            self._print_list(title, rows)
        else:
            self.print_tree(value, title)

    def _print_list(self, title: str, value: list[object]) -> None:
        if all(isinstance(item, dict) for item in value):
            columns = list(dict.fromkeys(name for item in value for name in item))
            rows = [[item.get(name, "") for name in columns] for item in value]
            self.print_rows(columns, rows, title)
        else:
            self.print_rows((title,), [(item,) for item in value])


def format_value(value: object) -> str:
    """Return the text of a value; a dash for None."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return " ".join(format_value(item) for item in value) or "(none)"
    if isinstance(value, dict):
        return msgspec.json.encode(value).decode()
    return str(value)


def format_grid_cell(cell: GridCell | None) -> str:
    """Return the text of a grid cell: weight, limits and failure domains."""
    if cell is None:
        return "-"
    parts = [
        f"w {cell.weight:g}",
        f"{cell.requests:g} req/s",
        f"{cell.tokens:g} tok/s",
        f"{cell.running} running",
    ]
    if cell.domains:
        parts.append("in " + ",".join(cell.domains))
    if cell.preferred:
        parts.append("first " + ",".join(cell.preferred))
    return "  ".join(parts[:2]) + "\n" + "  ".join(parts[2:])


def format_time(seconds: float) -> str:
    """Return the UTC date and time of a number of seconds since the epoch."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
