"""Factory of the parts of an entry that determine its behaviour under load."""

import random

from wigeondrift.settings import EntrySettings
from wigeondrift.systems.admission import AdmissionRules, Ticket
from wigeondrift.systems.fairness import FairQueue
from wigeondrift.systems.routing import Routing
from wigeondrift.systems.shares import Limit, get_limit
from wigeondrift.table.tables import Tables


class Policy:
    """Default policy; subclasses replace single parts for comparisons.

    Parameters
    ----------
    settings : EntrySettings
    tables : Tables
    """

    __slots__ = ("settings", "tables")

    def __init__(self, settings: EntrySettings, tables: Tables) -> None:
        self.settings = settings
        self.tables = tables

    def make_routing(self, rng: random.Random) -> Routing:
        """Return the component that chooses upstreams."""
        settings = self.settings
        return Routing(self.tables, settings.failure_domain, rng, settings.instance_id)

    def make_queue(self) -> FairQueue[Ticket]:
        """Return an empty queue for one service and request class."""
        return FairQueue()

    def get_limit(self, row: str, now: float) -> Limit:
        """Return this entry's share of a limit row."""
        return get_limit(self.tables, row, now)

    def make_admission_rules(self) -> AdmissionRules:
        """Return the limits and timeouts of the admission."""
        admission = self.settings.admission
        return AdmissionRules(
            queue_length=self.settings.requests.queue_length,
            queue_timeout=self.settings.requests.queue_timeout,
            short_queue_timeout=admission.short_queue_timeout,
            limit_wait=admission.limit_wait,
            burst_seconds=admission.burst_seconds,
            long_tokens=admission.long_tokens,
            long_fraction=admission.long_fraction,
        )
