"""Request slots of a service's upstreams and the share of one entry."""

import math

from wigeondrift.entities import Instance, Role
from wigeondrift.table.rows import ServiceKind, ServiceRow
from wigeondrift.table.tables import Tables


def count_slots(tables: Tables, service: str) -> int:
    """Return how many requests the service's live upstreams run concurrently."""
    row = tables.table.services_by_name[service]
    if row.kind is ServiceKind.PLAIN:
        upstreams = tables.list_upstreams(service, Role.SERVICE)
        return sum(upstream.slots for upstream in upstreams)
    return _count_model_slots(row, tables.list_upstreams(service, Role.RUNNER))


def _count_model_slots(row: ServiceRow, runners: list[Instance]) -> int:
    """Return the slots of the layer that has the fewest."""
    slot_changes_by_layer: dict[int, int] = {0: 0, row.layers: 0}
    for runner in runners:
        if runner.version != row.version:
            continue
        first, end = runner.first_layer, runner.end_layer
        slot_changes_by_layer[first] = (
            slot_changes_by_layer.get(first, 0) + runner.slots
        )
        slot_changes_by_layer[end] = slot_changes_by_layer.get(end, 0) - runner.slots
    slots = 0
    min_slots = None
    for layer in sorted(slot_changes_by_layer):
        slots += slot_changes_by_layer[layer]
        if layer < row.layers:
            min_slots = slots if min_slots is None else min(min_slots, slots)
    return min_slots or 0


def get_entry_slots(tables: Tables, service: str) -> int:
    """Return this entry's share of the slots, at least one.

    If no upstream is known, the one slot lets a request reach the routing, which
    answers with a specific error.
    """
    return max(1, math.ceil(count_slots(tables, service) / tables.entries))
