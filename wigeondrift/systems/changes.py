"""Recent changes of the store, kept for those that ask which ones they missed."""

from collections import deque

from wigeondrift.store.revisions import Item

# Changes kept: those of several minutes on a busy deployment.
MAX_CHANGES = 2000


class ChangeLog:
    """Bounded log of changes in the order of their revisions.

    Of each key only the newest change is kept: who asks needs the state, not its past.

    Parameters
    ----------
    most : int
        Changes kept at once.

    Attributes
    ----------
    revision : int
        Revision up to which all changes are known.
    """

    __slots__ = ("_items", "_max_changes", "_complete_since", "revision")

    def __init__(self, max_changes: int = MAX_CHANGES) -> None:
        self._max_changes = max_changes
        self._items: deque[Item] = deque()
        # Changes after this revision are in the log, or were replaced by newer ones.
        self._complete_since = 0
        self.revision = 0

    def restart(self, revision: int) -> None:
        """Begin anew at a revision, with no changes before it."""
        self._items.clear()
        self._complete_since = self.revision = revision

    def extend(self, items: tuple[Item, ...], revision: int) -> None:
        """Add the changes up to ``revision``, in their order."""
        if items:
            newest = {item.key for item in items}
            self._items = deque(i for i in self._items if i.key not in newest)
            self._items.extend(items)
            while len(self._items) > self._max_changes:
                self._complete_since = max(
                    self._complete_since, self._items.popleft().revision
                )
        self.revision = max(self.revision, revision)

    def list_after(self, revision: int) -> tuple[Item, ...] | None:
        """Return the changes after a revision; None if some are no longer known."""
        if revision < self._complete_since:
            return None
        return tuple(item for item in self._items if item.revision > revision)
