"""Log of recent store changes, from which clients fetch those that they missed."""

from collections import deque

from wigeondrift.store.revisions import Item, Position

# Covers several minutes of changes on a busy deployment.
MAX_CHANGES = 2000


class ChangeLog:
    """Bounded log of changes in the order of their revisions.

    Only the newest change of each key is kept, as clients need the current state and
    not the history.

    Parameters
    ----------
    max_changes : int
        Maximum number of changes to keep.

    Attributes
    ----------
    era : int
        Era of all revisions in the log.
    revision : int
        Revision up to which the log has received all changes; zero before the first.
    """

    __slots__ = ("_complete_since", "_items", "_max_changes", "era", "revision")

    def __init__(self, max_changes: int = MAX_CHANGES) -> None:
        self._max_changes = max_changes
        self._items: deque[Item] = deque()
        # All changes after this revision are in the log, except those that a newer
        # change of the same key replaced.
        self._complete_since = 0
        self.era = 0
        self.revision = 0

    @property
    def position(self) -> Position:
        """Position up to which the log has received all changes."""
        return Position(self.era, self.revision)

    def restart(self, position: Position) -> None:
        """Clear the log and restart at a position."""
        self._items.clear()
        self.era = position.era
        self._complete_since = self.revision = position.revision

    def extend(self, items: tuple[Item, ...], revision: int) -> None:
        """Append the changes up to ``revision``, ordered by revision."""
        if items:
            newest = {item.key for item in items}
            self._items = deque(i for i in self._items if i.key not in newest)
            self._items.extend(items)
            while len(self._items) > self._max_changes:
                self._complete_since = max(
                    self._complete_since, self._items.popleft().revision
                )
        self.revision = max(self.revision, revision)

    def list_after(self, after: Position) -> tuple[Item, ...] | None:
        """Return the changes after a position; None if some are not known."""
        if after.era != self.era or after.revision < self._complete_since:
            return None
        return tuple(item for item in self._items if item.revision > after.revision)
