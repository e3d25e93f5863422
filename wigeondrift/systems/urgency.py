"""Urgency that runners are told, from the priorities of a service's requests."""

from collections.abc import Iterable

# Urgencies that runners accept; the lowest number is admitted first.
MIN_URGENCY = 0
MAX_URGENCY = 9
# Urgency that a runner assumes for a request that names none.
DEFAULT_URGENCY = 5
# Distance of two neighbouring priorities, so that a stream that resumes, one step more
# urgent, still comes after the next priority.
PRIORITY_STEPS = 2


class UrgencyScale:
    """Maps the priorities of one service to urgencies.

    The urgencies are placed symmetrically around the default, so that the most urgent
    priority is never admitted after a request without urgency, and the least urgent one
    never before it. This matters while routers have different configurations.

    Parameters
    ----------
    priorities : iterable of int
        Priorities that requests of the service may have; 0 is the highest.

    Attributes
    ----------
    priorities : tuple of int
        Different priorities, the most urgent first.
    """

    __slots__ = ("_urgencies_by_priority", "priorities")

    def __init__(self, priorities: Iterable[int]) -> None:
        self.priorities = tuple(sorted(set(priorities)))
        # The lowest urgency is left for streams that resume.
        half_range = DEFAULT_URGENCY - MIN_URGENCY - 1
        last = max(1, len(self.priorities) - 1)
        step = min(PRIORITY_STEPS, 2 * half_range / last)
        middle = (len(self.priorities) - 1) / 2
        self._urgencies_by_priority = {
            priority: round(DEFAULT_URGENCY + (index - middle) * step)
            for index, priority in enumerate(self.priorities)
        }

    @property
    def has_levels(self) -> bool:
        """Whether requests of the service may have different priorities."""
        return len(self.priorities) > 1

    def get_rank(self, priority: int) -> int:
        """Return how many of the service's priorities are more urgent."""
        return sum(1 for other in self.priorities if other < priority)

    def is_least_urgent(self, priority: int) -> bool:
        """Whether no request of the service is less urgent."""
        return not self.priorities or priority >= self.priorities[-1]

    def get_urgency(self, priority: int, is_resumed: bool) -> int | None:
        """Return the urgency of a request, or None if runners need not be told.

        Parameters
        ----------
        priority : int
        is_resumed : bool
            Whether the request continues a stream that the caller already reads.
        """
        if not is_resumed and not self.has_levels:
            return None
        urgency = self._urgencies_by_priority.get(priority, DEFAULT_URGENCY)
        return max(MIN_URGENCY, urgency - is_resumed)


# Scale of a service that is not in the configuration.
NO_SCALE = UrgencyScale(())
