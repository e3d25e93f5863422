"""Operator's tool: the table, orders, status of processes and checks of settings."""

import dataclasses
import enum
import secrets
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import cyclopts
import msgspec
import trio

from wigeondrift.declaration import load_declaration, save_csv, serialize_declaration
from wigeondrift.editor import PATIENCE_SECONDS, TableEditor
from wigeondrift.errors import (
    PlatformError,
    PlatformUnavailable,
    SettingsError,
    TableError,
    TransportError,
    UsageError,
)
from wigeondrift.http import HttpClient, parse_address
from wigeondrift.platform import PlatformStore
from wigeondrift.platform_http import HttpPlatformStore
from wigeondrift.porcelain import (
    ClaimReport,
    EditReport,
    Operator,
    OrderOperator,
    list_history,
    make_grid,
)
from wigeondrift.rendering import Printer, format_time
from wigeondrift.settings import AgentSettings, EntrySettings, load_settings
from wigeondrift.settings_rules import check_address
from wigeondrift.settlement import Settlement, SettlementRefused
from wigeondrift.status import ask_status
from wigeondrift.systems.editing import (
    Accepted,
    Conflicted,
    Refused,
    Unavailable,
    Unknown,
)

KEY_RANDOM_BYTES = 32
SETTINGS_BY_NAME = {"entry": EntrySettings, "agent": AgentSettings}

ResultType = TypeVar("ResultType")


class ExitCode(enum.IntEnum):
    """Exit codes of the tool.

    ``DIFFERENT`` stands for anything looked for and found: faults of a settings
    file, a difference, a table that does not pass its checks.
    """

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5


EXIT_CODES_BY_RESULT = {
    Accepted: ExitCode.DONE,
    Conflicted: ExitCode.CONFLICT,
    Refused: ExitCode.DIFFERENT,
    Unavailable: ExitCode.UNAVAILABLE,
    Unknown: ExitCode.UNKNOWN,
}


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """How the platform is reached and results are printed.

    Attributes
    ----------
    platform
        HOST:PORT of the platform's key-value service.
    json
        Print results as JSON.
    author
        Name for the history of the table; the user's own if left out.
    patience
        Longest time over which an edit is tried, in seconds.
    """

    platform: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_PLATFORM")] = ""
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False
    author: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_AUTHOR")] = ""
    patience: float = PATIENCE_SECONDS

    def run(
        self,
        work: Callable[[Operator], Awaitable[ResultType]],
        dry_run: bool = False,
    ) -> ResultType:
        """Return what ``work`` does with an operator at the table."""

        async def work_at_table(store: PlatformStore) -> ResultType:
            editor = TableEditor(store, self.patience)
            return await work(Operator(editor, self.author, dry_run))

        return self.run_at_platform(work_at_table)

    def run_at_orders(
        self, work: Callable[[OrderOperator], Awaitable[ResultType]]
    ) -> ResultType:
        """Return what ``work`` does with an operator at the claims."""

        async def work_at_orders(store: PlatformStore) -> ResultType:
            return await work(OrderOperator(store, self.author))

        return self.run_at_platform(work_at_orders)

    def run_at_platform(
        self, work: Callable[[PlatformStore], Awaitable[ResultType]]
    ) -> ResultType:
        """Return what ``work`` does with the platform's store."""
        reason = check_address(self.platform)
        if reason:
            raise UsageError(f"--platform or WIGEONDRIFT_PLATFORM: {reason}")

        async def work_at_platform() -> ResultType:
            client = HttpClient()
            try:
                return await work(HttpPlatformStore(client, self.platform))
            finally:
                await client.close()

        return trio.run(work_at_platform)

    def edit(
        self,
        work: Callable[[Operator], Awaitable[EditReport]],
        dry_run: bool = False,
    ) -> int:
        """Make an edit, print what came of it and return the exit code."""
        return show_report(Printer(self.json), self.run(work, dry_run))


NO_ACCESS = Access()
DryRun = Annotated[bool, cyclopts.Parameter(negative=())]

app = cyclopts.App(name="wigeondriftctl", help=__doc__)
table_app = cyclopts.App(name="table", help="Show and edit the table.")
team_app = cyclopts.App(name="team", help="Add and remove teams and their keys.")
service_app = cyclopts.App(name="service", help="Add, change and remove services.")
orders_app = cyclopts.App(
    name="orders", help="Show and settle the claims of non-idempotent calls."
)
settings_app = cyclopts.App(name="settings", help="Check settings files.")
for part in (table_app, team_app, service_app, orders_app, settings_app):
    app.command(part)
app.register_install_completion_command()


def show_report(printer: Printer, report: EditReport) -> int:
    """Print what came of an edit and return the exit code."""
    result = report.result
    kind = "dry-run" if result is None else type(result).__name__.lower()
    document = {"result": kind, **msgspec.to_builtins(report)}
    document["detail"] = document.pop("result", None) if result is not None else None
    document["result"] = kind
    code = ExitCode.DONE if result is None else EXIT_CODES_BY_RESULT[type(result)]
    if printer.print_document(document):
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
def show(*, access: Access = NO_ACCESS) -> int:
    """Show teams by services, with weights and limits."""
    printer = Printer(access.json)
    grid = make_grid(access.run(lambda operator: operator.read()))
    if not printer.print_document(grid):
        printer.print_grid(grid)
    return ExitCode.DONE


@table_app.command
def history(*, access: Access = NO_ACCESS) -> int:
    """Show the accepted changes that are kept, the newest first."""
    printer = Printer(access.json)
    changes = list_history(access.run(lambda operator: operator.read()))
    if not printer.print_document(changes):
        printer.print_history(changes)
    return ExitCode.DONE


@table_app.command
def export(
    path: Path | None = None,
    *,
    form: Annotated[Literal["json", "csv"], cyclopts.Parameter("--format")] = "json",
    access: Access = NO_ACCESS,
) -> int:
    """Write the table for version control.

    Parameters
    ----------
    path
        JSON file, or directory of CSV files; JSON goes to standard output if left
        out.
    form
        Form of the files.
    """
    if form == "csv" and path is None:
        raise UsageError("CSV files need a directory to go to")
    read = access.run(lambda operator: operator.read())
    if form == "csv":
        save_csv(read.table, path)
    elif path is None:
        Printer(False).print_text(serialize_declaration(read.table))
    else:
        path.write_text(serialize_declaration(read.table), encoding="utf-8")
    return ExitCode.DONE


@table_app.command(name="import")
def import_(path: Path, *, dry_run: DryRun = False, access: Access = NO_ACCESS) -> int:
    """Make the table hold what a declaration says, and nothing else.

    Parameters
    ----------
    path
        JSON file, or directory of CSV files, as ``table export`` writes them.
    dry_run
        Show the difference and change nothing.
    """
    declared = load_declaration(path)
    return access.edit(lambda operator: operator.apply(declared), dry_run)


@table_app.command
def diff(path: Path, *, access: Access = NO_ACCESS) -> int:
    """Show what ``table import`` of a declaration would change; 1 if anything."""
    declared = load_declaration(path)
    cells = access.run(lambda operator: operator.diff(declared))
    printer = Printer(access.json)
    if not printer.print_document(cells) and cells:
        printer.print_changes(cells)
    return ExitCode.DIFFERENT if cells else ExitCode.DONE


@table_app.command(name="set")
def set_(
    team: str,
    service: str,
    /,
    *columns: str,
    dry_run: DryRun = False,
    access: Access = NO_ACCESS,
) -> int:
    """Set columns of a team's row for a service; the row is made if absent.

    Parameters
    ----------
    columns
        ``COLUMN=VALUE``: weight, requests, tokens, running, domains, preferred.
    dry_run
        Show the difference and change nothing.
    """
    return access.edit(
        lambda operator: operator.set_limit(team, service, list(columns)), dry_run
    )


@table_app.command
def unset(
    team: str, service: str, /, *, dry_run: DryRun = False, access: Access = NO_ACCESS
) -> int:
    """Remove a team's row for a service."""
    return access.edit(lambda operator: operator.remove_limit(team, service), dry_run)


@team_app.command(name="add")
def add_team(
    name: str,
    /,
    *,
    key_file: Path | None = None,
    generate: DryRun = False,
    dry_run: DryRun = False,
    access: Access = NO_ACCESS,
) -> int:
    """Add a team, or further keys to one; the table holds their digests only.

    Parameters
    ----------
    key_file
        File with a bearer key a line; ``-`` reads standard input.
    generate
        Make a key and print it, which is the only time that it is shown.
    dry_run
        Show the difference and change nothing.
    """
    keys = _read_keys(key_file) if key_file else []
    if generate:
        keys.append(secrets.token_urlsafe(KEY_RANDOM_BYTES))
    code = access.edit(lambda operator: operator.add_team(name, keys), dry_run)
    if generate and code in (ExitCode.DONE, ExitCode.UNKNOWN) and not dry_run:
        Printer(False).print_message(f"key: {keys[-1]}")
    return code


@team_app.command(name="remove")
def remove_team(
    name: str, /, *, dry_run: DryRun = False, access: Access = NO_ACCESS
) -> int:
    """Remove a team with its rows."""
    return access.edit(lambda operator: operator.remove_team(name), dry_run)


@team_app.command
def remove_key(
    name: str, digest: str, /, *, dry_run: DryRun = False, access: Access = NO_ACCESS
) -> int:
    """Take a key off a team, named by the start of its digest."""
    return access.edit(lambda operator: operator.remove_key(name, digest), dry_run)


@service_app.command(name="set")
def set_service(
    name: str,
    /,
    *columns: str,
    dry_run: DryRun = False,
    access: Access = NO_ACCESS,
) -> int:
    """Set columns of a service; it is made if absent.

    Parameters
    ----------
    columns
        ``COLUMN=VALUE``: kind, layers, version, idempotent, key_header,
        checks_fencing, drops_repeats.
    dry_run
        Show the difference and change nothing.
    """
    return access.edit(
        lambda operator: operator.set_service(name, list(columns)), dry_run
    )


@service_app.command(name="remove")
def remove_service(
    name: str, /, *, dry_run: DryRun = False, access: Access = NO_ACCESS
) -> int:
    """Remove a service with its rows."""
    return access.edit(lambda operator: operator.remove_service(name), dry_run)


@service_app.command(name="list")
def list_services(*, access: Access = NO_ACCESS) -> int:
    """Show the services."""
    printer = Printer(access.json)
    read = access.run(lambda operator: operator.read())
    document = msgspec.to_builtins(read.table.services_by_name)
    if not printer.print_document(document):
        printer.print_tree({"services": document})
    return ExitCode.DONE


@orders_app.command(name="show")
def show_order(
    service: str, team: str, key: str, /, *, access: Access = NO_ACCESS
) -> int:
    """Show the claim of an idempotency key.

    Parameters
    ----------
    key
        The key, or its SHA-256 digest as ``orders list`` shows it.
    """
    report = access.run_at_orders(lambda orders: orders.show(service, team, key))
    show_claims(Printer(access.json), [report])
    return ExitCode.DONE


@orders_app.command(name="list")
def list_orders(*, limit: int = 1000, access: Access = NO_ACCESS) -> int:
    """List claims of unknown outcome.

    Parameters
    ----------
    limit
        Most claims that are looked at; each costs the platform a read.
    """
    reports = access.run_at_orders(lambda orders: orders.list_unsettled(limit))
    show_claims(Printer(access.json), reports)
    return ExitCode.DONE


@orders_app.command(name="settle")
def settle_order(
    service: str,
    team: str,
    key: str,
    found: Literal["ran", "not-run"],
    /,
    *,
    access: Access = NO_ACCESS,
) -> int:
    """Settle a claim of unknown outcome by what the upstream's own books say.

    Parameters
    ----------
    key
        The key, or its SHA-256 digest as ``orders list`` shows it.
    found
        Whether the call ran. A call that did not run may be sent again.
    """
    printer = Printer(access.json)
    settlement = Settlement(found)
    try:
        report = access.run_at_orders(
            lambda orders: orders.settle(service, team, key, settlement)
        )
    except SettlementRefused as error:
        printer.print_message(f"not settled: {error}")
        return ExitCode.DIFFERENT
    except PlatformUnavailable as error:
        printer.print_message(f"unknown whether settled, see `orders show`: {error}")
        return ExitCode.UNKNOWN
    show_claims(printer, [report])
    return ExitCode.DONE


def show_claims(printer: Printer, reports: list[ClaimReport]) -> None:
    """Print claims."""
    if printer.print_document(reports):
        return
    columns = ("claim", "state", "outcome", "request", "at (UTC)", "settled by")
    rows = [
        (
            one.name,
            one.state,
            one.outcome,
            one.request_id,
            format_time(one.at),
            one.settled_by,
        )
        for one in reports
    ]
    printer.print_rows(columns, rows)


@settings_app.command
def check(
    path: Path,
    *,
    program: Literal["entry", "agent"] = "entry",
    json: DryRun = False,
) -> int:
    """Check a settings file and show all its faults; 1 if there are any.

    Parameters
    ----------
    path
        The file.
    program
        Program that it is for.
    json
        Print the faults as JSON.
    """
    printer = Printer(json)
    faults = []
    try:
        load_settings(str(path), SETTINGS_BY_NAME[program])
    except SettingsError as error:
        faults = list(error.faults) or [error]
    rows = [(str(path), fault.location, fault.reason) for fault in faults]
    document = [
        {"path": str(path), "location": fault.location, "reason": fault.reason}
        for fault in faults
    ]
    if not printer.print_document(document) and rows:
        printer.print_rows(("file", "place", "reason"), rows)
    return ExitCode.DIFFERENT if faults else ExitCode.DONE


@settings_app.command
def schema(program: Literal["entry", "agent"], /) -> int:
    """Print the JSON schema of a program's settings."""
    document = msgspec.json.schema(SETTINGS_BY_NAME[program])
    data = msgspec.json.encode(document, order="sorted")
    Printer(False).print_text(msgspec.json.format(data, indent=2).decode())
    return ExitCode.DONE


@app.command
def status(
    *,
    agent: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_AGENT")],
    json: DryRun = False,
) -> int:
    """Show what an agent or entry knows.

    Parameters
    ----------
    agent
        HOST:PORT where the process takes messages.
    json
        Print the answer as JSON.
    """
    reason = check_address(agent)
    if reason:
        raise UsageError(f"--agent or WIGEONDRIFT_AGENT: {reason}")
    document = trio.run(ask_status, agent, find_reply_address(agent))
    printer = Printer(json)
    if not printer.print_document(document):
        printer.print_tree(document)
    return ExitCode.DONE


def find_reply_address(peer: str) -> str:
    """Return a free ``host:port`` of this machine that ``peer`` can answer to."""
    host, port = parse_address(peer)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as probe:
        probe.connect((host, port))
        own_host = probe.getsockname()[0]
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.bind((own_host, 0))
        own_port = probe.getsockname()[1]
    return f"[{own_host}]:{own_port}" if ":" in own_host else f"{own_host}:{own_port}"


def _read_keys(path: Path) -> list[str]:
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: {error}") from error
    return [line.strip() for line in text.splitlines() if line.strip()]


def run_command(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    printer = Printer(False)
    try:
        code = app(arguments, exit_on_error=False, result_action="return_value")
        return ExitCode.DONE if code is None else int(code)
    except (cyclopts.CycloptsError, UsageError) as error:
        if isinstance(error, UsageError):
            printer.print_message(f"error: {error}")
        return ExitCode.USAGE
    except (TableError, SettingsError) as error:
        faults = getattr(error, "problems", ()) or getattr(error, "faults", ())
        printer.print_message(f"refused: {getattr(error, 'path', 'the table')}")
        for fault in faults or (error,):
            printer.print_message(f"  {fault}")
        return ExitCode.DIFFERENT
    except (PlatformError, TransportError) as error:
        printer.print_message(f"unavailable: {error}")
        return ExitCode.UNAVAILABLE
    except OSError as error:
        printer.print_message(f"error: {error}")
        return ExitCode.USAGE


def main() -> None:
    """Run the command line."""
    sys.exit(run_command())


if __name__ == "__main__":
    main()
