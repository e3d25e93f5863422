"""Commands that show and edit the table: limits, teams and services."""

import secrets
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Literal

import cyclopts
import msgspec

from wigeondrift.errors import UsageError
from wigeondrift.operator.ctl_access import (
    DEFAULT_ACCESS,
    EXIT_CODES_BY_RESULT,
    AccessOptions,
    ExitCode,
    Flag,
)
from wigeondrift.operator.declaration import (
    load_declaration,
    save_csv,
    serialize_declaration,
)
from wigeondrift.operator.edits import CellChange
from wigeondrift.operator.porcelain import (
    EditReport,
    TableOperations,
    list_history,
    make_grid,
)
from wigeondrift.operator.rendering import Printer
from wigeondrift.systems.editing import (
    Accepted,
    Conflicted,
    EditResult,
    Refused,
    Unavailable,
    Unknown,
)

KEY_RANDOM_BYTES = 32

table_app = cyclopts.App(name="table", help="Show and edit the table.")
team_app = cyclopts.App(name="team", help="Add and remove teams and their keys.")
service_app = cyclopts.App(name="service", help="Add, change and remove services.")


class EditDocument(msgspec.Struct, frozen=True):
    """Outcome of an edit, as printed in JSON.

    Attributes
    ----------
    result : str
        ``dry-run``, ``accepted``, ``conflicted``, ``refused``, ``unavailable`` or
        ``unknown``.
    change_id : str
    cells : tuple of CellChange
    detail : Accepted, Conflicted, Refused, Unavailable, Unknown or None
    """

    result: str
    change_id: str
    cells: tuple[CellChange, ...]
    detail: EditResult | None


def run_edit(
    access: AccessOptions,
    action: Callable[[TableOperations], Awaitable[EditReport]],
    dry_run: bool = False,
) -> int:
    """Run an edit, print its outcome and return the exit code."""
    return print_report(Printer(access.json), access.run(action, dry_run))


def print_report(printer: Printer, report: EditReport) -> int:
    """Print the outcome of an edit and return the exit code."""
    result = report.result
    kind = "dry-run" if result is None else type(result).__name__.lower()
    code = ExitCode.DONE if result is None else EXIT_CODES_BY_RESULT[type(result)]
    document = EditDocument(kind, report.change_id, report.cells, result)
    if printer.print_if_json(document):
        return code
    if report.cells:
        printer.print_changes(report.cells)
    match result:
        case None:
            printer.print_message("dry run: nothing was changed")
        case Accepted(version) if not report.cells:
            printer.print_message(f"nothing to change at version {version}")
        case Accepted(version):
            printer.print_message(f"accepted in version {version}")
        case Conflicted(conflicts):
            printer.print_message("not accepted: another edit changed these cells")
            printer.print_conflicts(conflicts)
        case Refused(problems):
            printer.print_message("not accepted: the table would not pass its checks")
            for problem in problems:
                printer.print_message(f"  {problem}")
        case Unavailable():
            printer.print_message("not accepted: the platform could not be reached")
        case Unknown(change_id):
            printer.print_message(
                f"unknown whether accepted: look for {change_id} in `table history`"
            )
    return code


@table_app.command
def show(*, access: AccessOptions = DEFAULT_ACCESS) -> int:
    """Show the weights and limits of each team for each service."""
    printer = Printer(access.json)
    grid = make_grid(access.run(lambda table: table.read()))
    if not printer.print_if_json(grid):
        printer.print_grid(grid)
    return ExitCode.DONE


@table_app.command
def history(*, access: AccessOptions = DEFAULT_ACCESS) -> int:
    """Show the accepted changes in the history, newest first."""
    printer = Printer(access.json)
    changes = list_history(access.run(lambda table: table.read()))
    if not printer.print_if_json(changes):
        printer.print_history(changes)
    return ExitCode.DONE


@table_app.command
def export(
    path: Path | None = None,
    *,
    file_format: Annotated[
        Literal["json", "csv"], cyclopts.Parameter("--format")
    ] = "json",
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Export the table to files for version control.

    Parameters
    ----------
    path
        JSON file, or directory of CSV files; JSON is printed to standard output if
        omitted.
    file_format
        Format of the files.
    """
    if file_format == "csv" and path is None:
        raise UsageError("--format csv requires a directory as PATH")
    current = access.run(lambda table: table.read())
    if file_format == "csv":
        save_csv(current.table, path)
    elif path is None:
        Printer(False).print_text(serialize_declaration(current.table))
    else:
        path.write_text(serialize_declaration(current.table), encoding="utf-8")
    return ExitCode.DONE


@table_app.command(name="import")
def import_(
    path: Path, *, dry_run: Flag = False, access: AccessOptions = DEFAULT_ACCESS
) -> int:
    """Replace the rows of the table with those of a declaration.

    Parameters
    ----------
    path
        JSON file, or directory of CSV files, as ``table export`` writes them.
    dry_run
        Show the changes without making them.
    """
    declared = load_declaration(path)
    return run_edit(access, lambda table: table.apply(declared), dry_run)


@table_app.command
def diff(path: Path, *, access: AccessOptions = DEFAULT_ACCESS) -> int:
    """Show what importing a declaration would change; exit with 1 if anything."""
    declared = load_declaration(path)
    cells = access.run(lambda table: table.diff(declared))
    printer = Printer(access.json)
    if not printer.print_if_json(cells) and cells:
        printer.print_changes(cells)
    return ExitCode.DIFFERENT if cells else ExitCode.DONE


@table_app.command(name="set")
def set_(
    team: str,
    service: str,
    /,
    *columns: str,
    dry_run: Flag = False,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Set columns of a team's row for a service; creates the row if missing.

    Parameters
    ----------
    columns
        ``COLUMN=VALUE``: weight, requests, tokens, running, domains, preferred.
    dry_run
        Show the changes without making them.
    """
    return run_edit(
        access,
        lambda table: table.set_limit(team, service, list(columns)),
        dry_run,
    )


@table_app.command
def unset(
    team: str,
    service: str,
    /,
    *,
    dry_run: Flag = False,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Remove a team's row for a service."""
    return run_edit(access, lambda table: table.remove_limit(team, service), dry_run)


@team_app.command(name="add")
def add_team(
    name: str,
    /,
    *,
    key_file: Path | None = None,
    generate: Flag = False,
    dry_run: Flag = False,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Add a team, or keys to an existing team; the table stores only key digests.

    Parameters
    ----------
    key_file
        File with one bearer key per line; ``-`` reads standard input.
    generate
        Generate a key and print it; it cannot be shown again.
    dry_run
        Show the changes without making them.
    """
    keys = _read_keys(key_file) if key_file else []
    if generate:
        keys.append(secrets.token_urlsafe(KEY_RANDOM_BYTES))
    code = run_edit(access, lambda table: table.add_team(name, keys), dry_run)
    if generate and code in (ExitCode.DONE, ExitCode.UNKNOWN) and not dry_run:
        Printer(False).print_message(f"key: {keys[-1]}")
    return code


@team_app.command(name="remove")
def remove_team(
    name: str, /, *, dry_run: Flag = False, access: AccessOptions = DEFAULT_ACCESS
) -> int:
    """Remove a team and its limits."""
    return run_edit(access, lambda table: table.remove_team(name), dry_run)


@team_app.command
def remove_key(
    name: str,
    digest: str,
    /,
    *,
    dry_run: Flag = False,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Remove a key from a team, given a prefix of the key's digest."""
    return run_edit(access, lambda table: table.remove_key(name, digest), dry_run)


@service_app.command(name="set")
def set_service(
    name: str,
    /,
    *columns: str,
    dry_run: Flag = False,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Set columns of a service; creates the service if missing.

    Parameters
    ----------
    columns
        ``COLUMN=VALUE``: kind, layers, version, idempotent, key_header,
        checks_fencing, drops_repeats.
    dry_run
        Show the changes without making them.
    """
    return run_edit(
        access, lambda table: table.set_service(name, list(columns)), dry_run
    )


@service_app.command(name="remove")
def remove_service(
    name: str, /, *, dry_run: Flag = False, access: AccessOptions = DEFAULT_ACCESS
) -> int:
    """Remove a service and its limits."""
    return run_edit(access, lambda table: table.remove_service(name), dry_run)


@service_app.command(name="list")
def list_services(*, access: AccessOptions = DEFAULT_ACCESS) -> int:
    """List the services."""
    printer = Printer(access.json)
    current = access.run(lambda table: table.read())
    document = msgspec.to_builtins(current.table.services_by_name)
    if not printer.print_if_json(document):
        printer.print_tree({"services": document})
    return ExitCode.DONE


def _read_keys(path: Path) -> list[str]:
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: {error}") from error
    return [line.strip() for line in text.splitlines() if line.strip()]
