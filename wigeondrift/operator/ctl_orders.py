"""Commands that show and settle the claims of non-idempotent calls."""

from typing import Literal

import cyclopts

from wigeondrift.entry.settlement import Settlement, SettlementRefused
from wigeondrift.errors import (
    PlatformUnavailable,
)
from wigeondrift.operator.claim_porcelain import ClaimReport
from wigeondrift.operator.ctl_access import DEFAULT_ACCESS, AccessOptions, ExitCode
from wigeondrift.operator.rendering import Printer, format_time

orders_app = cyclopts.App(
    name="orders", help="Show and settle the claims of non-idempotent calls."
)


@orders_app.command(name="show")
def show_order(
    service: str, team: str, key: str, /, *, access: AccessOptions = DEFAULT_ACCESS
) -> int:
    """Show the claim of an idempotency key.

    Parameters
    ----------
    key
        The key, or its SHA-256 digest as ``orders list`` shows it.
    """
    report = access.run_on_claims(lambda claims: claims.get_claim(service, team, key))
    print_claims(Printer(access.json), [report])
    return ExitCode.DONE


@orders_app.command(name="list")
def list_orders(*, limit: int = 1000, access: AccessOptions = DEFAULT_ACCESS) -> int:
    """List the claims with an unknown outcome.

    Parameters
    ----------
    limit
        Maximum number of claims to examine; each costs one read on the platform.
    """
    reports = access.run_on_claims(lambda claims: claims.list_unsettled(limit))
    print_claims(Printer(access.json), reports)
    return ExitCode.DONE


@orders_app.command(name="settle")
def settle_order(
    service: str,
    team: str,
    key: str,
    found: Literal["ran", "not-run"],
    /,
    *,
    access: AccessOptions = DEFAULT_ACCESS,
) -> int:
    """Settle a claim of unknown outcome according to the upstream's own records.

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
        report = access.run_on_claims(
            lambda claims: claims.settle(service, team, key, settlement)
        )
    except SettlementRefused as error:
        printer.print_message(f"not settled: {error}")
        return ExitCode.DIFFERENT
    except PlatformUnavailable as error:
        printer.print_message(f"unknown whether settled, see `orders show`: {error}")
        return ExitCode.UNKNOWN
    print_claims(printer, [report])
    return ExitCode.DONE


def print_claims(printer: Printer, reports: list[ClaimReport]) -> None:
    """Print claims as a table or as JSON."""
    if printer.print_if_json(reports):
        return
    columns = ("claim", "state", "outcome", "request", "at (UTC)", "settled by")
    rows = [
        (
            report.name,
            report.state,
            report.outcome,
            report.request_id,
            format_time(report.at),
            report.settled_by,
        )
        for report in reports
    ]
    printer.print_rows(columns, rows)
