"""Reads the table from the platform and writes edits to it."""

import random

import trio

from wigeondrift.errors import (
    PlatformRefused,
    PlatformThrottled,
    PlatformUnavailable,
    RevisionConflict,
)
from wigeondrift.operator.edits import Edit
from wigeondrift.store.contract import PlatformStore
from wigeondrift.systems.editing import EditResult, EditRun, ReadTable
from wigeondrift.table.rows import TABLE_KEY, Table
from wigeondrift.table.table_check import load_table

EDIT_TIMEOUT_SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.05
RETRY_DELAY_MAX_SECONDS = 1.0


class VersionedTable:
    """A table and its version.

    Attributes
    ----------
    table : Table
    version : int
        Revision of the table on the platform; zero if there is no table yet.
    """

    __slots__ = ("table", "version")

    def __init__(self, table: Table, version: int) -> None:
        self.table = table
        self.version = version


class TableEditor:
    """Reads and edits the table on the platform.

    Parameters
    ----------
    store : PlatformStore
    timeout : float
        Maximum time for which an edit is attempted, in seconds.
    rng : random.Random
        Source of the jitter that spreads the retries of concurrent operators.
    """

    __slots__ = ("_rng", "_store", "_timeout")

    def __init__(
        self,
        store: PlatformStore,
        timeout: float = EDIT_TIMEOUT_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._timeout = timeout
        self._rng = rng or random.Random()

    async def read(self) -> VersionedTable:
        """Return the current table from the platform.

        Raises
        ------
        PlatformError
            If the platform is unavailable or refuses the call.
        TableError
            If the stored table is invalid.
        """
        stored = await self._store.get(TABLE_KEY)
        table = load_table(stored.value) if stored.revision else Table()
        return VersionedTable(table, stored.revision)

    async def submit(self, edit: Edit) -> EditResult:
        """Apply an edit to the table and return its result.

        Steps without progress are retried after an exponential delay with jitter.
        """
        run = EditRun(edit)
        retry_delay = RETRY_DELAY_SECONDS
        with trio.move_on_after(self._timeout):
            while run.result is None:
                step = run.step
                is_completed = await self._execute_step(run)
                if run.result is None and (not is_completed or run.step is step):
                    await trio.sleep(retry_delay * self._rng.uniform(0.5, 1.0))
                    retry_delay = min(2 * retry_delay, RETRY_DELAY_MAX_SECONDS)
        if run.result is None:
            run.give_up()
        return run.result

    async def _execute_step(self, run: EditRun) -> bool:
        """Execute the next step; return False if the call was throttled or failed."""
        try:
            if isinstance(run.step, ReadTable):
                run.handle_read(await self._store.get(TABLE_KEY))
            else:
                await self._write(run)
        except (PlatformThrottled, PlatformUnavailable):
            return False
        return True

    async def _write(self, run: EditRun) -> None:
        step = run.step
        run.handle_sent()
        try:
            revision = await self._store.put(TABLE_KEY, step.value, step.expected)
        except RevisionConflict as conflict:
            run.handle_conflict(conflict.found)
        except PlatformRefused as refusal:
            run.handle_refusal(str(refusal))
        except PlatformThrottled:
            run.handle_throttled()
            raise
        except PlatformUnavailable:
            run.handle_lost_answer()
            raise
        else:
            run.handle_written(revision)
