"""Entry with the simplest policy, to compare the default one with.

Upstreams in turn, first come first served, limits split equally.
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
UNREACHABLE_COUNT = 2**31


class FifoQueue(FairQueue[Ticket]):
    """Queue that serves the oldest ticket, whatever its team."""

    __slots__ = ()

    def push(self, team: str, ticket: Ticket) -> None:
        """Add a ticket behind all others."""
        super().push(SHARED_FLOW, ticket)

    def get_length(self, team: str) -> int:
        """Return how many tickets wait."""
        return self.length

    def charge(self, team: str, cost: float, weight: float) -> None:
        """Count nothing."""

    def remove(self, team: str, ticket: Ticket) -> None:
        """Remove a waiting ticket."""
        super().remove(SHARED_FLOW, ticket)

    def pop_newest(self, team: str) -> Ticket:
        """Remove and return the newest ticket."""
        return super().pop_newest(SHARED_FLOW)


class RoundRobin(Routing):
    """Choice of the upstreams that were used least often."""

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
        """Count the use of upstreams."""
        for instance_id in instance_ids:
            uses = self._uses_by_id.get(instance_id, 0)
            self._uses_by_id[instance_id] = uses + 1
        super().record_start(instance_ids, now)


class BaselinePolicy(Policy):
    """Simplest policy."""

    __slots__ = ()

    def make_routing(self, rng: object) -> Routing:
        """Return the choice in turn."""
        settings = self.settings
        return RoundRobin(
            self.tables, settings.failure_domain, rng, settings.instance_id
        )

    def make_queue(self) -> FairQueue[Ticket]:
        """Return a queue without teams."""
        return FifoQueue()

    def get_limit(self, row: str, now: float) -> Limit:
        """Return an equal part of a limit."""
        whole = self.tables.table.limits_by_row.get(row)
        if whole is None:
            return Limit()
        return compute_floor(whole, self.settings.configured_instances)

    def make_admission_rules(self) -> AdmissionRules:
        """Return bounds that keep no slots from long work."""
        rules = super().make_admission_rules()
        rules.long_tokens = UNREACHABLE_COUNT
        return rules


app = cyclopts.App(name="bench.baseline", help=__doc__)


@app.default
def run(*, settings: Path) -> None:
    """Run an entry with the simplest policy.

    Parameters
    ----------
    settings
        JSON file with the settings of an entry.
    """
    run_application(compose_entry(load_or_exit(settings), BaselinePolicy))


if __name__ == "__main__":
    app()
