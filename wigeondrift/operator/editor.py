"""Reads the table from the platform and puts edits into it."""

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

PATIENCE_SECONDS = 10.0
PAUSE_SECONDS = 0.05
PAUSE_MAX_SECONDS = 1.0


class TableVersion:
    """A table with its version.

    Attributes
    ----------
    table : Table
    version : int
        Platform revision; zero if there is no table yet.
    """

    __slots__ = ("table", "version")

    def __init__(self, table: Table, version: int) -> None:
        self.table = table
        self.version = version


class TableEditor:
    """Operator's access to the table.

    Parameters
    ----------
    store : PlatformStore
    patience : float
        Longest time over which an edit is tried, in seconds.
    rng : random.Random
        Spreads out the repeats of racing operators.
    """

    __slots__ = ("_patience", "_rng", "_store")

    def __init__(
        self,
        store: PlatformStore,
        patience: float = PATIENCE_SECONDS,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._patience = patience
        self._rng = rng or random.Random()

    async def read(self) -> TableVersion:
        """Return the newest table that the platform gives.

        Raises
        ------
        PlatformError
            If the platform gives none.
        TableError
            If it does not pass its checks.
        """
        seen = await self._store.get(TABLE_KEY)
        table = load_table(seen.value) if seen.revision else Table()
        return TableVersion(table, seen.revision)

    async def submit(self, edit: Edit) -> EditResult:
        """Put an edit into the table and return what came of it."""
        run = EditRun(edit)
        pause = PAUSE_SECONDS
        with trio.move_on_after(self._patience):
            while run.result is None:
                step = run.step
                moved = await self._carry_out(run)
                if run.result is None and (not moved or run.step is step):
                    await trio.sleep(pause * self._rng.uniform(0.5, 1.0))
                    pause = min(2 * pause, PAUSE_MAX_SECONDS)
        if run.result is None:
            run.give_up()
        return run.result

    async def _carry_out(self, run: EditRun) -> bool:
        """Carry out one step; false if the platform gave no answer."""
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
