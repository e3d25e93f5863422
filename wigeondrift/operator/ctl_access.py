"""Options and exit codes that the commands share, and their platform connection."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable
from typing import Annotated, TypeVar

import cyclopts
import trio

from wigeondrift.errors import (
    UsageError,
)
from wigeondrift.operator.claim_porcelain import ClaimOperations
from wigeondrift.operator.editor import EDIT_TIMEOUT_SECONDS, TableEditor
from wigeondrift.operator.porcelain import TableOperations
from wigeondrift.settings_rules import find_address_fault
from wigeondrift.store.contract import PlatformStore
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.systems.editing import (
    Accepted,
    Conflicted,
    Refused,
    Unavailable,
    Unknown,
)
from wigeondrift.wire.http_client import HttpClient

ResultType = TypeVar("ResultType")


class ExitCode(enum.IntEnum):
    """Exit codes of the tool.

    ``DIFFERENT`` means that a check found something: faults in a settings file or a
    declaration, a difference, an invalid table, or a claim that cannot be settled.
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
class AccessOptions:
    """Options of the commands that use the platform.

    Attributes
    ----------
    platform
        HOST:PORT of the platform's key-value store.
    json
        Print results as JSON.
    author
        Name recorded in the history and in claims; defaults to the user name.
    patience
        Maximum time for which an edit is attempted, in seconds.
    """

    platform: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_PLATFORM")] = ""
    json: Annotated[bool, cyclopts.Parameter(negative=())] = False
    author: Annotated[str, cyclopts.Parameter(env_var="WIGEONDRIFT_AUTHOR")] = ""
    patience: float = EDIT_TIMEOUT_SECONDS

    def run(
        self,
        action: Callable[[TableOperations], Awaitable[ResultType]],
        dry_run: bool = False,
    ) -> ResultType:
        """Run ``action`` on the table and return its result."""

        async def run_action(store: PlatformStore) -> ResultType:
            editor = TableEditor(store, self.patience)
            return await action(TableOperations(editor, self.author, dry_run))

        return self.run_on_platform(run_action)

    def run_on_claims(
        self, action: Callable[[ClaimOperations], Awaitable[ResultType]]
    ) -> ResultType:
        """Run ``action`` on the claims and return its result."""

        async def run_action(store: PlatformStore) -> ResultType:
            return await action(ClaimOperations(store, self.author))

        return self.run_on_platform(run_action)

    def run_on_platform(
        self, action: Callable[[PlatformStore], Awaitable[ResultType]]
    ) -> ResultType:
        """Run ``action`` on the platform's store and return its result.

        Raises
        ------
        UsageError
            If the platform address is missing or invalid.
        """
        reason = find_address_fault(self.platform)
        if reason:
            raise UsageError(f"--platform or WIGEONDRIFT_PLATFORM: {reason}")

        async def run_action() -> ResultType:
            client = HttpClient()
            try:
                return await action(HttpPlatformStore(client, self.platform))
            finally:
                await client.close()

        return trio.run(run_action)


DEFAULT_ACCESS = AccessOptions()
Flag = Annotated[bool, cyclopts.Parameter(negative=())]
