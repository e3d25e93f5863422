"""Manages the table and claims, checks settings and shows the status of processes."""

import socket
import sys
from typing import Annotated

import cyclopts
import trio

from wigeondrift.errors import (
    PlatformError,
    SettingsError,
    TableError,
    TransportError,
    UsageError,
)
from wigeondrift.operator.ctl_access import ExitCode, Flag
from wigeondrift.operator.ctl_orders import orders_app
from wigeondrift.operator.ctl_settings import settings_app
from wigeondrift.operator.ctl_table import service_app, table_app, team_app
from wigeondrift.operator.rendering import Printer
from wigeondrift.operator.status import request_status
from wigeondrift.settings_rules import find_address_fault
from wigeondrift.wire.address import parse_address

app = cyclopts.App(name="wigeondriftctl", help=__doc__)
for sub_app in (table_app, team_app, service_app, orders_app, settings_app):
    app.command(sub_app)
app.register_install_completion_command()


@app.command
def status(
    *,
    agent: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_AGENT")],
    json: Flag = False,
) -> int:
    """Show the status of an agent or entry.

    Parameters
    ----------
    agent
        HOST:PORT at which the process receives messages.
    json
        Print the status as JSON.
    """
    reason = find_address_fault(agent)
    if reason:
        raise UsageError(f"--agent or WIGEONDRIFT_AGENT: {reason}")
    document = trio.run(request_status, agent, find_reply_address(agent))
    printer = Printer(json)
    if not printer.print_if_json(document):
        printer.print_tree(document)
    return ExitCode.DONE


def find_reply_address(peer: str) -> str:
    """Return a free ``host:port`` of this machine that ``peer`` can reach."""
    host, port = parse_address(peer)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as probe:
        probe.connect((host, port))
        own_host = probe.getsockname()[0]
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.bind((own_host, 0))
        own_port = probe.getsockname()[1]
    return f"[{own_host}]:{own_port}" if ":" in own_host else f"{own_host}:{own_port}"


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
    """Run the command given by the process arguments and exit with its code."""
    sys.exit(run_command())


if __name__ == "__main__":
    main()
