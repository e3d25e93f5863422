"""Request identifiers, unique across all entries and their restarts."""

import itertools


class RequestIds:
    """Generates request ids.

    Parameters
    ----------
    instance_id, process : str
        Identify the entry process.
    incarnation : int
        Increases with each start of the process.
    """

    __slots__ = ("_counter", "_prefix")

    def __init__(self, instance_id: str, process: str, incarnation: int) -> None:
        self._prefix = f"{instance_id}.{process}.{incarnation}"
        self._counter = itertools.count(1)

    def make(self) -> str:
        """Return a new id."""
        return f"{self._prefix}.{next(self._counter)}"
