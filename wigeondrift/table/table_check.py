"""Checks of a table beyond the types of its cells.

The operator's tool runs them before it writes a table, and each process runs them
again before it applies the table.
"""

import re
from collections.abc import Iterator

import msgspec

from wigeondrift.errors import TableError
from wigeondrift.table.rows import (
    MAX_TABLE_BYTES,
    ServiceKind,
    ServiceRow,
    Table,
    parse_table,
    serialize_table,
)

HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")


class Problem(msgspec.Struct, frozen=True):
    """Problem found in a table.

    Attributes
    ----------
    path : str
        Path of the cell or row, such as ``limits/team/service``; empty for the whole
        table.
    reason : str
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'table'}: {self.reason}"


def check_table(table: Table) -> list[Problem]:
    """Return all problems of a table; an empty list if it is valid."""
    problems = list(_check_services(table))
    problems.extend(_check_digests(table))
    problems.extend(_check_limits(table))
    size = len(serialize_table(table))
    if size > MAX_TABLE_BYTES:
        reason = (
            f"{size} bytes are more than the {MAX_TABLE_BYTES} bytes allowed in a value"
        )
        problems.append(Problem("", reason))
    return problems


def load_table(data: bytes) -> Table:
    """Parse and check a stored table.

    Raises
    ------
    TableError
        If the table does not parse or fails its checks.
    """
    try:
        table = parse_table(data)
    except (ValueError, RecursionError) as error:
        raise TableError([Problem("", str(error))]) from error
    problems = check_table(table)
    if problems:
        raise TableError(problems)
    return table


def _check_services(table: Table) -> Iterator[Problem]:
    for name, row in table.services_by_name.items():
        path = f"services/{name}"
        if row.kind is ServiceKind.MODEL:
            yield from _check_model(path, row)
        else:
            yield from _check_plain(path, row)


def _check_model(path: str, row: ServiceRow) -> Iterator[Problem]:
    if row.layers < 1:
        yield Problem(f"{path}/layers", "a model needs at least one layer")
    if not row.version:
        yield Problem(f"{path}/version", "a model needs a version")


def _check_plain(path: str, row: ServiceRow) -> Iterator[Problem]:
    if row.layers:
        yield Problem(f"{path}/layers", "a plain service has no layers")
    if row.version:
        yield Problem(f"{path}/version", "a plain service has no model version")
    if not HEADER_NAME_PATTERN.fullmatch(row.key_header):
        yield Problem(f"{path}/key_header", "is not the name of an HTTP header")


def _check_digests(table: Table) -> Iterator[Problem]:
    teams_by_digest: dict[str, str] = {}
    for name, row in table.teams_by_name.items():
        for digest in row.key_digests:
            other_team = teams_by_digest.setdefault(digest, name)
            path = f"teams/{name}/key_digests"
            if other_team != name:
                yield Problem(path, f"{digest} is a key of team {other_team} as well")
        if len(set(row.key_digests)) < len(row.key_digests):
            yield Problem(f"teams/{name}/key_digests", "contains a key twice")


def _check_limits(table: Table) -> Iterator[Problem]:
    for row_name, row in table.limits_by_row.items():
        path = f"limits/{row_name}"
        team, separator, service = row_name.partition("/")
        if not separator:
            yield Problem(path, "the name of a limit must be team/service")
            continue
        if team not in table.teams_by_name:
            yield Problem(path, f"there is no team {team}")
        if service not in table.services_by_name:
            yield Problem(path, f"there is no service {service}")
        disallowed = sorted(set(row.preferred) - set(row.domains))
        if row.domains and disallowed:
            names = ", ".join(disallowed)
            yield Problem(f"{path}/preferred", f"{names} not among the allowed domains")
