"""What requests use of the runners' KV cache, in tokens times layers (cells)."""

from typing import NamedTuple

import msgspec

from wigeondrift.entities import Route
from wigeondrift.router.entities import Upstream

# A peer that has told nothing for this long is taken to use nothing, in seconds: its
# requests have been cut or it can't start new ones.
PEER_SILENCE_SECONDS = 3.0


class Usage(NamedTuple):
    """Cells and requests in use at one runner."""

    cells: float
    requests: int


class PeerUsage(msgspec.Struct, array_like=True):
    """What one router uses of runners, as told to its peers.

    Attributes
    ----------
    instance_id : str
    sequence : int
        Grows with each message of one incarnation.
    usage_by_id : dict of str to (float, int, int)
        Cells, requests, and requests with the runner as their first stage.
    """

    instance_id: str
    sequence: int
    usage_by_id: dict[str, tuple[float, int, int]]


_NOTHING = (0.0, 0, 0)


class RoomLedger:
    """Own reservations and those that peers told of.

    Parameters
    ----------
    get_total : callable
        Cells that a runner has.
    """

    __slots__ = ("_get_total", "_own_by_id", "_peers_by_id", "_summed_by_id")

    def __init__(self, get_total) -> None:
        self._get_total = get_total
        self._own_by_id: dict[str, tuple[float, int, int]] = {}
        self._peers_by_id: dict[str, tuple[float, PeerUsage]] = {}
        self._summed_by_id: dict[str, tuple[float, int, int]] = {}

    def get_total(self, runner: Upstream) -> float:
        """Return the cells that a runner has beside its weights."""
        return self._get_total(runner)

    def get_used(self, upstream_id: str) -> Usage:
        """Return the cells and requests in use at a runner."""
        cells, requests, _ = self._own_by_id.get(upstream_id, _NOTHING)
        more_cells, more_requests, _ = self._summed_by_id.get(upstream_id, _NOTHING)
        return Usage(cells + more_cells, requests + more_requests)

    def get_heads(self, upstream_id: str) -> int:
        """Return the requests with a runner as their first stage."""
        own = self._own_by_id.get(upstream_id, _NOTHING)[2]
        return own + self._summed_by_id.get(upstream_id, _NOTHING)[2]

    def reserve(self, route: Route, tokens: float) -> None:
        """Note that a request runs over a route."""
        self._add(route, tokens, 1)

    def release(self, route: Route, tokens: float) -> None:
        """Note that a request no longer runs over a route."""
        self._add(route, tokens, -1)

    def _add(self, route: Route, tokens: float, sign: int) -> None:
        for index, stage in enumerate(route.stages):
            cells, requests, heads = self._own_by_id.get(stage.instance_id, _NOTHING)
            layers = stage.end_layer - stage.first_layer
            left = (
                cells + sign * tokens * layers,
                requests + sign,
                heads + (sign if index == 0 else 0),
            )
            if left[1] > 0:
                self._own_by_id[stage.instance_id] = left
            else:
                self._own_by_id.pop(stage.instance_id, None)

    def describe_own(self, instance_id: str, sequence: int) -> PeerUsage:
        """Return the message that tells peers of the own reservations."""
        return PeerUsage(instance_id, sequence, dict(self._own_by_id))

    def apply_peer(self, usage: PeerUsage, now: float) -> None:
        """Take a peer's message; one that was overtaken is left aside."""
        known = self._peers_by_id.get(usage.instance_id)
        is_recent = known is not None and now - known[0] < PEER_SILENCE_SECONDS
        if is_recent and known[1].sequence >= usage.sequence:
            return
        self._peers_by_id[usage.instance_id] = (now, usage)
        self._sum_peers(now)

    def forget_silent(self, now: float) -> None:
        """Drop what peers told that have fallen silent."""
        silent = [
            name
            for name, (told_at, _) in self._peers_by_id.items()
            if now - told_at >= PEER_SILENCE_SECONDS
        ]
        for name in silent:
            del self._peers_by_id[name]
        if silent:
            self._sum_peers(now)

    def _sum_peers(self, now: float) -> None:
        summed: dict[str, tuple[float, int, int]] = {}
        for _, usage in self._peers_by_id.values():
            for upstream_id, (cells, requests, heads) in usage.usage_by_id.items():
                known = summed.get(upstream_id, _NOTHING)
                summed[upstream_id] = (
                    known[0] + cells,
                    known[1] + requests,
                    known[2] + heads,
                )
        self._summed_by_id = summed
