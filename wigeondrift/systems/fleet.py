"""Index of a service's upstreams by version, range of layers and failure domain."""

import bisect
import random
from collections.abc import Iterable

import xxhash

from wigeondrift.entities import Instance, InstanceState, Role

HASH_MASK = (1 << 64) - 1
MAX_EARLY_ENDS = 3


class Group:
    """Interchangeable upstreams.

    Attributes
    ----------
    first_layer, end_layer : int
        Range of layers that each of them holds; both zero for a plain service.
    failure_domain : str
        Common failure domain.
    instances : list of Instance
        Ordered by the hash of their ids, as for consistent hashing.
    """

    __slots__ = ("_hashes", "end_layer", "failure_domain", "first_layer", "instances")

    def __init__(self, instances: Iterable[Instance]) -> None:
        ordered = sorted(
            (xxhash.xxh3_64_intdigest(instance.instance_id.encode()), instance)
            for instance in instances
        )
        self.instances = [instance for _, instance in ordered]
        self._hashes = [position for position, _ in ordered]
        first = self.instances[0]
        self.first_layer = first.first_layer
        self.end_layer = first.end_layer
        self.failure_domain = first.failure_domain

    def pick_by_hash(self, prompt_hash: int) -> Instance:
        """Return the upstream that follows ``prompt_hash`` on the consistent hash ring.

        All processes select the same upstream without coordination, and a change of
        the group reassigns few prompts.
        """
        position = bisect.bisect(self._hashes, prompt_hash & HASH_MASK)
        return self.instances[position % len(self.instances)]

    def pick_random(self, rng: random.Random) -> Instance:
        """Return an upstream that is chosen uniformly at random."""
        return self.instances[int(rng.random() * len(self.instances))]


class VersionIndex:
    """Index of the groups of one model version by layer.

    Attributes
    ----------
    groups : list of Group
    boundaries : list of int
        First and end layers of all ranges, in ascending order.
    """

    __slots__ = ("_ends_by_key", "_groups_by_boundary", "boundaries", "groups")

    def __init__(self, groups: list[Group]) -> None:
        self.groups = groups
        range_boundaries = {group.first_layer for group in groups}
        range_boundaries.update(group.end_layer for group in groups)
        self.boundaries = sorted(range_boundaries)
        self._groups_by_boundary = {
            boundary: [g for g in groups if g.first_layer <= boundary < g.end_layer]
            for boundary in self.boundaries
        }
        self._ends_by_key: dict[tuple[Group, int, int], list[int]] = {}

    def list_ends(self, group: Group, boundary: int, layers: int) -> list[int]:
        """Return the layers at which a stage that starts at ``boundary`` may end.

        The end of the group's range is always among them. Earlier ends are not needed
        to reach the last layer, since a runner that holds the next layer can take over
        anywhere in its range. They can only reduce the time of the route, so at most
        ``MAX_EARLY_ENDS`` of them are returned.
        """
        key = (group, boundary, layers)
        ends = self._ends_by_key.get(key)
        if ends is None:
            last = min(group.end_layer, layers)
            within = [b for b in self.boundaries if boundary < b < last]
            ends = self._ends_by_key[key] = [*within[-MAX_EARLY_ENDS:], last]
        return ends

    def list_groups(self, boundary: int) -> list[Group]:
        """Return the groups whose range contains the layer after ``boundary``."""
        return self._groups_by_boundary.get(boundary, [])


class Fleet:
    """Index of the live upstreams of all services.

    Parameters
    ----------
    instances : iterable of Instance
        Instance list of the platform.
    """

    __slots__ = ("_groups_by_service", "_indexes_by_version")

    def __init__(self, instances: Iterable[Instance]) -> None:
        runners: dict[tuple[str, str], dict[tuple, list[Instance]]] = {}
        plain: dict[str, dict[str, list[Instance]]] = {}
        for instance in instances:
            if instance.state is not InstanceState.LIVE:
                continue
            domain = instance.failure_domain
            if instance.role is Role.RUNNER:
                layers_and_domain = (instance.first_layer, instance.end_layer, domain)
                model = (instance.service, instance.version)
                groups = runners.setdefault(model, {})
                groups.setdefault(layers_and_domain, []).append(instance)
            elif instance.role is Role.SERVICE:
                domains = plain.setdefault(instance.service, {})
                domains.setdefault(domain, []).append(instance)
        self._indexes_by_version = {
            model: VersionIndex([Group(members) for members in groups.values()])
            for model, groups in runners.items()
        }
        self._groups_by_service = {
            service: [Group(members) for members in domains.values()]
            for service, domains in plain.items()
        }

    def list_versions(self, service: str) -> list[str]:
        """Return the model versions on the runners of a service, in ascending order."""
        return sorted(v for name, v in self._indexes_by_version if name == service)

    def get_version_index(self, service: str, version: str) -> VersionIndex | None:
        """Return the index of a model version, None if no runner holds it."""
        return self._indexes_by_version.get((service, version))

    def list_groups(self, service: str) -> list[Group]:
        """Return the groups of a plain service, one per failure domain."""
        return self._groups_by_service.get(service, [])
