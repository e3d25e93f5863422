"""I/O layer of request coalescing: one task per run, any number of readers."""

import contextlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from wigeondrift.errors import ErrorKind, Outcome, RequestError
from wigeondrift.settings import EntrySettings
from wigeondrift.systems.coalescing import CoalescingRules, Run, RunCoalescer, RunKey
from wigeondrift.telemetry.events import LOGGER_NAME
from wigeondrift.timer import Clock, TimerService

TICK_SECONDS = 0.1

_LOGGER = logging.getLogger(LOGGER_NAME)

Produce = Callable[["RunWriter"], Awaitable[None]]


class RunWriter:
    """Writes the tokens of a run; used by the task that produces them.

    Attributes
    ----------
    run : Run
    """

    __slots__ = ("_changed", "_coalescer", "run", "scope")

    def __init__(self, coalescer: RunCoalescer, run: Run) -> None:
        self._coalescer = coalescer
        self._changed = trio.Event()
        self.run = run
        self.scope = trio.CancelScope()

    def write(self, tokens: list[str]) -> None:
        """Append tokens and wake the readers."""
        self._coalescer.append(self.run, tokens)
        self._wake()

    def end(self, finish_reason: str) -> None:
        """Mark the run as complete."""
        self._coalescer.finish(self.run, finish_reason)
        self._wake()

    def fail(self, error: RequestError) -> None:
        """Mark the run as failed, unless it has already ended."""
        if not self.run.is_over:
            self._coalescer.fail(self.run, error)
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Wait until tokens, the end or an error have been written."""
        await self._changed.wait()


class RunReader:
    """Reads a run from its first token.

    Attributes
    ----------
    has_read_end : bool
        Whether the end of the run, or its error, has been read.
    """

    __slots__ = ("_position", "_writer", "has_read_end")

    def __init__(self, writer: RunWriter) -> None:
        self._writer = writer
        self._position = 0
        self.has_read_end = False

    @property
    def run(self) -> Run:
        """Run that this reader reads."""
        return self._writer.run

    @property
    def count(self) -> int:
        """Number of tokens read so far."""
        return self._position

    async def read(self) -> list[str]:
        """Return the next tokens; an empty list at the end of the run.

        Raises
        ------
        RequestError
            If the run failed before its end.
        """
        run = self._writer.run
        while self._position == len(run.tokens):
            if run.error is not None:
                self.has_read_end = True
                raise run.error
            if run.finish_reason:
                self.has_read_end = True
                return []
            await self._writer.wait_for_change()
        tokens = run.tokens[self._position :]
        self._position += len(tokens)
        return tokens


class RunRegistry:
    """Starts runs and lets repeats of a request join them.

    Parameters
    ----------
    coalescer : RunCoalescer
    clock : Clock
    timer : TimerService
        Drives the cancellation of runs without readers.
    """

    __slots__ = (
        "_clock",
        "_coalescer",
        "_nursery",
        "_running",
        "_writers_by_id",
        "joined",
    )

    def __init__(
        self, coalescer: RunCoalescer, clock: Clock, timer: TimerService
    ) -> None:
        self._coalescer = coalescer
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._writers_by_id: dict[str, RunWriter] = {}
        self._running = 0
        self.joined = 0
        timer.subscribe("runs", TICK_SECONDS, self._on_tick)

    def start(self, nursery: trio.Nursery) -> None:
        """Use ``nursery`` for the tasks of the runs."""
        self._nursery = nursery

    @property
    def running(self) -> int:
        """Number of runs in progress."""
        return self._running

    async def _on_tick(self, now: float) -> None:
        for run in self._coalescer.tick(now):
            self._writers_by_id[run.run_id].scope.cancel()
        for run_id in list(self._writers_by_id):
            if run_id not in self._coalescer.runs_by_id:
                del self._writers_by_id[run_id]

    @contextlib.asynccontextmanager
    async def open(
        self, key: RunKey, run_id: str, produce: Produce
    ) -> AsyncIterator[RunReader]:
        """Join the run in progress for ``key``, or start one that runs ``produce``."""
        writer = self._join(key)
        if writer is None:
            writer = self._start_run(key, run_id, produce)
        reader = RunReader(writer)
        try:
            yield reader
        finally:
            self._coalescer.remove_reader(
                writer.run, reader.has_read_end, self._clock.now()
            )

    def _join(self, key: RunKey) -> RunWriter | None:
        run = self._coalescer.join(key)
        if run is None:
            return None
        self.joined += 1
        return self._writers_by_id[run.run_id]

    def _start_run(self, key: RunKey, run_id: str, produce: Produce) -> RunWriter:
        run = self._coalescer.start_run(key, run_id)
        writer = RunWriter(self._coalescer, run)
        self._writers_by_id[run_id] = writer
        self._nursery.start_soon(self._run, writer, produce)
        return writer

    async def _run(self, writer: RunWriter, produce: Produce) -> None:
        self._running += 1
        try:
            with writer.scope:
                await produce(writer)
        except RequestError as error:
            writer.fail(error)
        except Exception:
            _LOGGER.exception(
                "unhandled exception in run", extra={"request_id": writer.run.run_id}
            )
            writer.fail(RequestError(ErrorKind.INTERNAL, "internal error"))
        finally:
            self._running -= 1
            writer.fail(
                RequestError(ErrorKind.STREAM_CUT, "the run ended", Outcome.UNKNOWN)
            )

    def abort(self, error: RequestError) -> None:
        """Cancel all runs; their readers receive ``error``."""
        for writer in list(self._writers_by_id.values()):
            writer.fail(error)
            writer.scope.cancel()


def make_runs(
    settings: EntrySettings, clock: Clock, timer: TimerService
) -> RunRegistry:
    """Return the run registry for an entry's settings."""
    admission = settings.admission
    rules = CoalescingRules(readers=admission.joined_readers, linger=admission.linger)
    return RunRegistry(RunCoalescer(rules), clock, timer)
