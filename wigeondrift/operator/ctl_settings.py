"""Commands that check and describe settings files."""

from pathlib import Path
from typing import Literal

import cyclopts
import msgspec

from wigeondrift.errors import (
    SettingsError,
)
from wigeondrift.operator.ctl_access import ExitCode, Flag
from wigeondrift.operator.rendering import Printer
from wigeondrift.settings import AgentSettings, EntrySettings, load_settings

SETTINGS_BY_NAME = {"entry": EntrySettings, "agent": AgentSettings}

settings_app = cyclopts.App(name="settings", help="Check settings files.")


@settings_app.command
def check(
    path: Path,
    *,
    program: Literal["entry", "agent"] = "entry",
    json: Flag = False,
) -> int:
    """Check a settings file and show all its faults; exit with 1 if there are any.

    Parameters
    ----------
    path
        Settings file to check.
    program
        Program to which the settings belong.
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
    if not printer.print_if_json(document) and rows:
        printer.print_rows(("file", "place", "reason"), rows)
    return ExitCode.DIFFERENT if faults else ExitCode.DONE


@settings_app.command
def schema(program: Literal["entry", "agent"], /) -> int:
    """Print the JSON schema of the settings of a program."""
    document = msgspec.json.schema(SETTINGS_BY_NAME[program])
    data = msgspec.json.encode(document, order="sorted")
    Printer(False).print_text(msgspec.json.format(data, indent=2).decode())
    return ExitCode.DONE
