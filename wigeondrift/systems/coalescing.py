"""Coalescing of identical model requests into one run.

A run keeps all its tokens until it is removed, so that a reader that joins late still
reads the answer from its first token.
"""

import math
from typing import NamedTuple

from wigeondrift.errors import RequestError


class RunKey(NamedTuple):
    """Key under which identical requests are coalesced.

    Attributes
    ----------
    team, service : str
    digest : str
        Digest of the request's path and body.
    """

    team: str
    service: str
    digest: str


class CoalescingRules:
    """Bounds on coalesced runs.

    Attributes
    ----------
    readers : int
        Maximum concurrent readers of a run; a further identical request starts a new
        run.
    linger : float
        Time for which a run continues without a reader, in seconds.
    """

    __slots__ = ("linger", "readers")

    def __init__(self, readers: int = 64, linger: float = 1.0) -> None:
        self.readers = readers
        self.linger = linger


class Run:
    """One execution of a model request and its output so far.

    Attributes
    ----------
    key : RunKey
    run_id : str
        Request id of the request that started the run.
    tokens : list of str
        Texts of the tokens so far.
    finish_reason : str
        Empty until the end marker has arrived.
    error : RequestError or None
        Reason why the run ended without an end marker.
    readers : int
        Current number of readers.
    abandoned_at : float
        Time at which the last reader left, in seconds; infinite while there is one.
    """

    __slots__ = (
        "abandoned_at",
        "error",
        "finish_reason",
        "key",
        "readers",
        "run_id",
        "tokens",
    )

    def __init__(self, key: RunKey, run_id: str) -> None:
        self.key = key
        self.run_id = run_id
        self.tokens: list[str] = []
        self.finish_reason = ""
        self.error: RequestError | None = None
        self.readers = 0
        self.abandoned_at = math.inf

    @property
    def is_over(self) -> bool:
        """Whether the run has ended, successfully or not."""
        return bool(self.finish_reason) or self.error is not None


class RunCoalescer:
    """Runs in progress, by request key and by id.

    Parameters
    ----------
    rules : CoalescingRules
    """

    __slots__ = ("_rules", "runs_by_id", "runs_by_key")

    def __init__(self, rules: CoalescingRules) -> None:
        self._rules = rules
        self.runs_by_key: dict[RunKey, Run] = {}
        self.runs_by_id: dict[str, Run] = {}

    def join(self, key: RunKey) -> Run | None:
        """Add a reader to the run in progress for ``key`` and return it, if any."""
        run = self.runs_by_key.get(key)
        if run is None or run.readers >= self._rules.readers:
            return None
        run.readers += 1
        run.abandoned_at = math.inf
        return run

    def start_run(self, key: RunKey, run_id: str) -> Run:
        """Create a run with one reader, which requests with the same key can join."""
        run = Run(key, run_id)
        run.readers = 1
        self.runs_by_key[key] = run
        self.runs_by_id[run_id] = run
        return run

    def append(self, run: Run, tokens: list[str]) -> None:
        """Append tokens to a run."""
        run.tokens.extend(tokens)

    def finish(self, run: Run, finish_reason: str) -> None:
        """Mark a run as complete."""
        run.finish_reason = finish_reason
        self._remove_if_unused(run)

    def fail(self, run: Run, error: RequestError) -> None:
        """Mark a run as failed; an identical request starts a new run."""
        run.error = error
        self._prevent_joins(run)
        self._remove_if_unused(run)

    def remove_reader(self, run: Run, read_to_end: bool, now: float) -> None:
        """Remove one reader from a run.

        Parameters
        ----------
        run : Run
        read_to_end : bool
            Whether the reader has read the end of the run. If so, an identical
            request is treated as a new one.
        now : float
            Current time in seconds.
        """
        run.readers -= 1
        if read_to_end:
            self._prevent_joins(run)
        if run.readers == 0:
            run.abandoned_at = now
            self._remove_if_unused(run)

    def tick(self, now: float) -> list[Run]:
        """Remove and return the runs without readers whose linger time has elapsed."""
        abandoned = [
            run
            for run in self.runs_by_id.values()
            if run.abandoned_at + self._rules.linger <= now
        ]
        for run in abandoned:
            self._remove_run(run)
        return abandoned

    def _remove_if_unused(self, run: Run) -> None:
        """Remove an ended run that has no readers and accepts none."""
        is_joinable = self.runs_by_key.get(run.key) is run
        if run.is_over and run.readers == 0 and not is_joinable:
            self.runs_by_id.pop(run.run_id, None)

    def _prevent_joins(self, run: Run) -> None:
        if self.runs_by_key.get(run.key) is run:
            del self.runs_by_key[run.key]

    def _remove_run(self, run: Run) -> None:
        self._prevent_joins(run)
        self.runs_by_id.pop(run.run_id, None)
