"""Accounting of the runners' KV cache in cells, one cell per token and layer."""

import math
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from wigeondrift.entities import Route
from wigeondrift.router.entities import Upstream

# Time after which the usage of a peer that sends no messages counts as zero, in
# seconds: by then its requests have been cut off, or it cannot start new ones.
PEER_EXPIRY_SECONDS = 3.0
# Processes whose last sequence number is kept for one name: two collectors send the sum
# of a domain under one name, and either may have been restarted.
MAX_INCARNATIONS_PER_NAME = 4
# Messages with larger values are rejected.
MAX_REPORTED_VALUE = 1e15

# Name prefixes of aggregated messages: the sum of one failure domain, and the sum of
# all routers, which includes the usage that this router reported. Instance names
# contain no colon.
DOMAIN_SUM_PREFIX = "sum:"
TOTAL_PREFIX = "all:"


class Usage(NamedTuple):
    """Resources of one runner that requests use.

    Attributes
    ----------
    cells : float
        KV cache in tokens times layers.
    requests : int
    first_stage_requests : int
        Requests with the runner as their first stage.
    pending_prefill_tokens : float
        Prompt tokens that are not yet prefilled.
    """

    cells: float = 0.0
    requests: int = 0
    first_stage_requests: int = 0
    pending_prefill_tokens: float = 0.0

    def add(self, other: "Usage", sign: int = 1) -> "Usage":
        """Return the sum, or the difference if ``sign`` is -1."""
        return Usage(
            self.cells + sign * other.cells,
            self.requests + sign * other.requests,
            self.first_stage_requests + sign * other.first_stage_requests,
            self.pending_prefill_tokens + sign * other.pending_prefill_tokens,
        )

    def round(self) -> "Usage":
        """Return the usage in whole numbers, which encode to fewer bytes."""
        return Usage(
            round(self.cells),
            self.requests,
            self.first_stage_requests,
            round(self.pending_prefill_tokens),
        )

    @property
    def is_plausible(self) -> bool:
        """Whether each field is finite, not negative and within bounds."""
        return all(
            math.isfinite(value) and 0.0 <= value <= MAX_REPORTED_VALUE
            for value in self
        )

    def subtract_clamped(self, other: "Usage") -> "Usage":
        """Return the difference with each field clamped at zero."""
        return Usage(
            max(0.0, self.cells - other.cells),
            max(0, self.requests - other.requests),
            max(0, self.first_stage_requests - other.first_stage_requests),
            max(0.0, self.pending_prefill_tokens - other.pending_prefill_tokens),
        )


class PeerUsage(msgspec.Struct, array_like=True):
    """Message with the usage of runners by one router, or a sum over routers.

    Attributes
    ----------
    instance_id : str
        Instance of the router, or the prefixed name of a sum.
    sequence : int
        Increases with each message of one incarnation.
    usage_by_id : dict of str to Usage
    incarnation : int
        Random number of the process that made the message.
    """

    instance_id: str
    sequence: int
    usage_by_id: dict[str, Usage]
    incarnation: int = 0

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return all(used.is_plausible for used in self.usage_by_id.values())


_NO_USAGE = Usage()


class CacheLedger:
    """Reservations of this router and of its peers.

    Parameters
    ----------
    get_capacity : callable
        Returns the cells of a runner.
    """

    __slots__ = (
        "_get_capacity",
        "_is_sum_stale",
        "_on_change",
        "_own_by_id",
        "_peer_sum_by_id",
        "_peers_by_id",
        "_sequences_by_name",
        "_total_without_own_by_id",
    )

    def __init__(self, get_capacity) -> None:
        self._get_capacity = get_capacity
        self._own_by_id: dict[str, Usage] = {}
        self._peers_by_id: dict[str, tuple[float, PeerUsage]] = {}
        # Computed when it is read: a collector gets many messages between two reads.
        self._peer_sum_by_id: dict[str, Usage] = {}
        self._is_sum_stale = False
        self._on_change: Callable[[], None] | None = None
        # Last sequence number of each incarnation, the latest heard last.
        self._sequences_by_name: dict[str, dict[int, int]] = {}
        # Total of all routers minus the own usage at the time the total arrived.
        self._total_without_own_by_id: dict[str, Usage] | None = None

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when this router's own usage changes."""
        self._on_change = callback

    def _notify(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def get_capacity(self, runner: Upstream) -> float:
        """Return the cells that fit in a runner's memory beside its weights."""
        return self._get_capacity(runner)

    def get_usage(self, upstream_id: str) -> Usage:
        """Return the usage of a runner by all routers."""
        own = self._own_by_id.get(upstream_id, _NO_USAGE)
        peers = self._get_peer_sums().get(upstream_id)
        return own if peers is None else own.add(peers)

    def reserve(
        self,
        route: Route,
        tokens: float,
        prompt: float = 0.0,
        has_first_stage: bool = True,
    ) -> None:
        """Reserve the resources of a request on a route.

        Parameters
        ----------
        route : Route
        tokens : float
            Tokens of the prompt and the expected answer.
        prompt : float
            Prompt tokens to prefill before the first output token.
        has_first_stage : bool
            Whether the first of the stages is the first one of the request.
        """
        for index, stage in enumerate(route.stages):
            layers = stage.end_layer - stage.first_layer
            is_first = int(has_first_stage and index == 0)
            added = Usage(tokens * layers, 1, is_first, prompt)
            self._change(stage.instance_id, added, 1)
        self._notify()

    def record_prompt_read(self, route: Route, prompt: float) -> None:
        """Record that the prompt of a request has been prefilled."""
        for stage in route.stages:
            self._change(stage.instance_id, Usage(pending_prefill_tokens=prompt), -1)
        self._notify()

    def release(
        self,
        route: Route,
        tokens: float,
        prompt: float = 0.0,
        has_first_stage: bool = True,
    ) -> None:
        """Release the resources of a request on a route.

        ``prompt`` is the number of prompt tokens not recorded as prefilled.
        """
        for index, stage in enumerate(route.stages):
            layers = stage.end_layer - stage.first_layer
            is_first = int(has_first_stage and index == 0)
            added = Usage(tokens * layers, 1, is_first, prompt)
            self._change(stage.instance_id, added, -1)
        self._notify()

    def _change(self, upstream_id: str, amount: Usage, sign: int) -> None:
        left = self._own_by_id.get(upstream_id, _NO_USAGE).add(amount, sign)
        if left.requests > 0:
            self._own_by_id[upstream_id] = left
        else:
            self._own_by_id.pop(upstream_id, None)

    def make_own_message(self, instance_id: str, sequence: int) -> PeerUsage:
        """Return the message with this router's own reservations."""
        return _make_message(instance_id, sequence, self._own_by_id)

    def make_domain_sum(self, name: str, sequence: int) -> PeerUsage:
        """Return the message with the sum of the own failure domain.

        It covers this router and those that send it their own usage. Messages with a
        colon in their name are sums of other domains and left out.
        """
        summed = dict(self._own_by_id)
        for peer, (_, message) in self._peers_by_id.items():
            if ":" not in peer:
                _accumulate(summed, message.usage_by_id)
        return _make_message(name, sequence, summed)

    def make_total(self, name: str, sequence: int) -> PeerUsage:
        """Return the message with the sum of all routers."""
        summed = dict(self._own_by_id)
        _accumulate(summed, self._get_peer_sums())
        return _make_message(name, sequence, summed)

    def apply_peer_usage(self, usage: PeerUsage, now: float) -> bool:
        """Apply a peer's message; return false if a newer one was already applied.

        Only messages of one incarnation are ordered by their sequence numbers. A
        message of another one was made by a restarted process or by the other
        collector, and the clocks of two processes can't be compared.
        """
        known = self._peers_by_id.get(usage.instance_id)
        if known is None or now - known[0] >= PEER_EXPIRY_SECONDS:
            self._sequences_by_name.pop(usage.instance_id, None)
        sequences = self._sequences_by_name.setdefault(usage.instance_id, {})
        if sequences.get(usage.incarnation, -1) >= usage.sequence:
            return False
        sequences.pop(usage.incarnation, None)
        sequences[usage.incarnation] = usage.sequence
        if len(sequences) > MAX_INCARNATIONS_PER_NAME:
            del sequences[next(iter(sequences))]
        self._peers_by_id[usage.instance_id] = (now, usage)
        if usage.instance_id.startswith(TOTAL_PREFIX):
            self._total_without_own_by_id = {
                name: used.subtract_clamped(self._own_by_id.get(name, _NO_USAGE))
                for name, used in usage.usage_by_id.items()
            }
        self._is_sum_stale = True
        return True

    def expire_peers(self, now: float) -> None:
        """Drop the usage of peers that sent no message for too long."""
        silent = [
            name
            for name, (received_at, _) in self._peers_by_id.items()
            if now - received_at >= PEER_EXPIRY_SECONDS
        ]
        for name in silent:
            del self._peers_by_id[name]
            self._sequences_by_name.pop(name, None)
            if name.startswith(TOTAL_PREFIX):
                self._total_without_own_by_id = None
        if silent:
            self._is_sum_stale = True

    def _get_peer_sums(self) -> dict[str, Usage]:
        if self._is_sum_stale:
            self._is_sum_stale = False
            self._peer_sum_by_id = self._sum_peers()
        return self._peer_sum_by_id

    def _sum_peers(self) -> dict[str, Usage]:
        if self._total_without_own_by_id is not None:
            # The total already includes the messages of single routers.
            return self._total_without_own_by_id
        summed: dict[str, Usage] = {}
        for _, message in self._peers_by_id.values():
            _accumulate(summed, message.usage_by_id)
        return summed


def _make_message(name: str, sequence: int, usage_by_id: dict[str, Usage]) -> PeerUsage:
    rounded = {upstream_id: used.round() for upstream_id, used in usage_by_id.items()}
    return PeerUsage(name, sequence, rounded)


def _accumulate(summed: dict[str, Usage], usage_by_id: dict[str, Usage]) -> None:
    for upstream_id, usage in usage_by_id.items():
        summed[upstream_id] = summed.get(upstream_id, _NO_USAGE).add(usage)
