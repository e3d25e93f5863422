"""Reads and writes declarations: files that hold the table for version control.

A declaration is either one JSON file or a directory with one CSV file per section.
It does not contain the history, so that equal rows always produce equal files.
"""

import csv
import io
import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from wigeondrift.errors import SettingsError
from wigeondrift.operator.edits import SECTIONS_BY_FIELD
from wigeondrift.table.rows import LimitRow, ServiceRow, Table, TeamRow
from wigeondrift.validation import Fault, find_faults

JSON_INDENT = 2
ROW_TYPES_BY_FIELD = {
    "services_by_name": ServiceRow,
    "teams_by_name": TeamRow,
    "limits_by_row": LimitRow,
}
NAME_COLUMN = "name"

CsvFiles = dict[str, str]


def serialize_declaration(table: Table) -> str:
    """Return the rows of a table as JSON, sorted by name."""
    document = msgspec.to_builtins(table)
    del document["changes"]
    data = msgspec.json.encode(document, order="sorted")
    return msgspec.json.format(data, indent=JSON_INDENT).decode() + "\n"


def parse_declaration(path: str, data: bytes) -> Table:
    """Parse a JSON declaration.

    Raises
    ------
    SettingsError
        If the data is not valid JSON or cells are invalid; the error lists all faults.
    """
    try:
        document = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SettingsError(path, "$", str(error)) from error
    faults = list(find_faults(document, Table))
    if isinstance(document, dict) and "changes" in document:
        faults.append(Fault("$.changes", "a declaration must not contain the history"))
    if faults:
        raise _make_settings_error(path, faults)
    return msgspec.convert(document, Table)


def serialize_csv(table: Table) -> CsvFiles:
    """Return the text of each section's CSV file, keyed by file name."""
    document = msgspec.to_builtins(table)
    texts_by_name = {}
    for field, section in SECTIONS_BY_FIELD.items():
        columns = ROW_TYPES_BY_FIELD[field].__struct_fields__
        stream = io.StringIO()
        writer = csv.writer(stream, lineterminator="\n")
        writer.writerow([NAME_COLUMN, *columns])
        for name, row in sorted(document[field].items()):
            writer.writerow([name, *(format_cell(row[column]) for column in columns)])
        texts_by_name[f"{section}.csv"] = stream.getvalue()
    return texts_by_name


def parse_csv(path: str, texts_by_name: CsvFiles) -> Table:
    """Parse a declaration of CSV files; omitted columns have their defaults.

    Raises
    ------
    SettingsError
        If cells are invalid; the error lists all of them, with file and line.
    """
    faults: list[Fault] = []
    document: dict[str, dict[str, dict[str, object]]] = {}
    for field, section in SECTIONS_BY_FIELD.items():
        name = f"{section}.csv"
        reader = _SectionReader(name, ROW_TYPES_BY_FIELD[field], faults)
        document[field] = reader.read(texts_by_name.get(name, ""))
    if not faults:
        faults.extend(find_faults(document, Table))
    if faults:
        raise _make_settings_error(path, faults)
    return msgspec.convert(document, Table)


class _SectionReader:
    """Parses the rows of one CSV file and collects its faults."""

    __slots__ = ("_faults", "_name", "_row_type", "_types_by_column")

    def __init__(self, name: str, row_type: type, faults: list[Fault]) -> None:
        self._name = name
        self._row_type = row_type
        self._faults = faults
        self._types_by_column = {
            field.name: field.type for field in msgspec.structs.fields(row_type)
        }

    def read(self, text: str) -> dict[str, dict[str, object]]:
        """Return the cells of each row, keyed by row name."""
        reader = csv.DictReader(io.StringIO(text))
        self._check_columns(reader.fieldnames or [])
        rows_by_name: dict[str, dict[str, object]] = {}
        for cells in reader:
            location = f"{self._name}:{reader.line_num}"
            name = cells.pop(NAME_COLUMN, None) or ""
            if name in rows_by_name:
                self._faults.append(Fault(location, f"duplicate row {name}"))
            rows_by_name[name] = dict(self._read_cells(location, cells))
        return rows_by_name

    def _check_columns(self, columns: typing.Sequence[str]) -> None:
        for column in columns:
            if column != NAME_COLUMN and column not in self._types_by_column:
                reason = f"unknown column {column}"
                self._faults.append(Fault(f"{self._name}:1", reason))

    def _read_cells(
        self, location: str, cells: dict[str, str]
    ) -> Iterator[tuple[str, object]]:
        for column, text in cells.items():
            column_type = self._types_by_column.get(column)
            if column_type is None:
                if column is None:
                    self._faults.append(
                        Fault(location, "row has more cells than there are columns")
                    )
                continue
            try:
                yield column, parse_cell(text or "", column_type)
            except msgspec.ValidationError as error:
                reason = str(error).partition(" - at `")[0]
                self._faults.append(Fault(f"{location}: {column}", reason))


def format_cell(value: object) -> str:
    """Return the text of a cell; the items of a list are separated by spaces."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list | tuple):
        return " ".join(value)
    return "" if value is None else str(value)


def parse_cell(text: str, column_type: type) -> object:
    """Parse the text of a cell into a JSON value.

    Raises
    ------
    msgspec.ValidationError
        If the text is not a valid value of the column.
    """
    if typing.get_origin(column_type) is tuple:
        value = msgspec.convert(text.split(), column_type)
    else:
        value = msgspec.convert(text.strip(), column_type, strict=False)
    return msgspec.to_builtins(value)


def load_declaration(path: Path) -> Table:
    """Load a declaration from a JSON file or a directory of CSV files.

    Raises
    ------
    SettingsError
        If a file cannot be read or the declaration is invalid.
    """
    try:
        if not path.is_dir():
            return parse_declaration(str(path), path.read_bytes())
        names = [f"{section}.csv" for section in SECTIONS_BY_FIELD.values()]
        texts = {name: (path / name).read_text(encoding="utf-8") for name in names}
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), "$", str(error)) from error
    return parse_csv(str(path), texts)


def save_csv(table: Table, directory: Path) -> None:
    """Write the CSV files of a table to a directory, which is created if missing."""
    directory.mkdir(parents=True, exist_ok=True)
    for name, text in serialize_csv(table).items():
        (directory / name).write_text(text, encoding="utf-8")


def _make_settings_error(path: str, faults: list[Fault]) -> SettingsError:
    return SettingsError(path, faults[0].location, faults[0].reason, faults)
