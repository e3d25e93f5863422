"""Entry with a simple policy, as a baseline for the default one.

It routes round-robin, serves requests in FIFO order and splits limits equally.
"""

from pathlib import Path

import cyclopts

from wigeondrift.composition import compose_entry
from wigeondrift.entry.main import load_or_exit, run_application
from wigeondrift.entry.policy import Policy
from wigeondrift.systems.admission import AdmissionRules, Ticket
from wigeondrift.systems.fairness import FairQueue
from wigeondrift.systems.fleet import Group
from wigeondrift.systems.routing import Candidate, RouteConstraints, Routing
from wigeondrift.systems.shares import Limit, compute_floor

SHARED_FLOW = ""
# Larger than any number of tokens of a request or of uses of an upstream.
UNREACHABLE_COUNT = 2**31


class FifoQueue(FairQueue[Ticket]):
    """Queue that serves the oldest ticket first, regardless of its team."""

    __slots__ = ()

    def push(self, team: str, ticket: Ticket) -> None:
        """Add a ticket at the end of the queue."""
        super().push(SHARED_FLOW, ticket)

    def get_length(self, team: str) -> int:
        """Return the number of waiting tickets of all teams."""
        return self.length

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Ignore the cost, since teams have no shares here."""

    def remove(self, team: str, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        super().remove(SHARED_FLOW, ticket)

    def pop_newest(self, team: str) -> Ticket:
        """Remove and return the newest ticket of all teams."""
        return super().pop_newest(SHARED_FLOW)


class RoundRobin(Routing):
    """Routing to the least used upstreams; avoided ones are the last resort."""

    __slots__ = ("_uses_by_id",)

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self._uses_by_id: dict[str, int] = {}

    def _pick_candidate(
        self, group: Group, constraints: RouteConstraints
    ) -> Candidate | None:
        best = None
        for instance in group.instances:
            candidate = self._make_candidate(instance, constraints)
            if candidate is None:
                continue
            uses = self._uses_by_id.get(instance.instance_id, 0)
            if self.health.is_avoided(instance.instance_id, constraints.now):
                uses += UNREACHABLE_COUNT
            if best is None or uses < best.fixed_seconds:
                best = Candidate(instance, 0.0, uses, 0.0)
        return best

    def record_start(self, instance_ids: tuple[str, ...], now: float) -> None:
        """Count the uses of upstreams."""
        for instance_id in instance_ids:
            uses = self._uses_by_id.get(instance_id, 0)
            self._uses_by_id[instance_id] = uses + 1
        super().record_start(instance_ids, now)


class BaselinePolicy(Policy):
    """Policy with round-robin routing, a FIFO queue and equal limits."""

    __slots__ = ()

    def make_routing(self, rng: object) -> Routing:
        """Return round-robin routing."""
        settings = self.settings
        return RoundRobin(
            self.tables, settings.failure_domain, rng, settings.instance_id
        )

    def make_queue(self) -> FairQueue[Ticket]:
        """Return a queue that does not distinguish teams."""
        return FifoQueue()

    def get_limit(self, row: str, now: float) -> Limit:
        """Return an equal share of a limit."""
        limit = self.tables.table.limits_by_row.get(row)
        if limit is None:
            return Limit()
        return compute_floor(limit, self.settings.configured_instances)

    def make_admission_rules(self) -> AdmissionRules:
        """Return rules that reserve no slots for short requests."""
        rules = super().make_admission_rules()
        rules.long_tokens = UNREACHABLE_COUNT
        return rules


app = cyclopts.App(name="bench.baseline", help=__doc__)


@app.default
def run(*, settings: Path) -> None:
    """Run an entry with the baseline policy.

    Parameters
    ----------
    settings
        JSON file with the settings of an entry.
    """
    run_application(compose_entry(load_or_exit(settings), BaselinePolicy))


if __name__ == "__main__":
    app()
