"""What requests use of the runners' KV cache, in tokens times layers (cells)."""

from typing import NamedTuple

import msgspec

from wigeondrift.entities import Route
from wigeondrift.router.entities import Upstream

# A peer that has told nothing for this long is taken to use nothing, in seconds: its
# requests have been cut or it can't start new ones.
PEER_SILENCE_SECONDS = 3.0


# Names of sums: of another failure domain, and of all, which includes what this router
# told. No instance's name holds a colon.
SUM_MARK = "sum:"
ALL_MARK = "all:"


class Usage(NamedTuple):
    """What requests use of one runner.

    Attributes
    ----------
    cells : float
        Tokens times layers.
    requests : int
    heads : int
        Requests with the runner as their first stage.
    reading : float
        Prompt tokens that are still to be read.
    """

    cells: float = 0.0
    requests: int = 0
    heads: int = 0
    reading: float = 0.0

    def add(self, other: "Usage", sign: int = 1) -> "Usage":
        """Return the sum, or the difference if ``sign`` is -1."""
        return Usage(
            self.cells + sign * other.cells,
            self.requests + sign * other.requests,
            self.heads + sign * other.heads,
            self.reading + sign * other.reading,
        )

    def round(self) -> "Usage":
        """Return whole numbers, which take fewer bytes in a message."""
        return Usage(round(self.cells), self.requests, self.heads, round(self.reading))

    def less(self, other: "Usage") -> "Usage":
        """Return the difference, nowhere below zero."""
        return Usage(
            max(0.0, self.cells - other.cells),
            max(0, self.requests - other.requests),
            max(0, self.heads - other.heads),
            max(0.0, self.reading - other.reading),
        )


class PeerUsage(msgspec.Struct, array_like=True):
    """What one router uses of runners, as told to its peers.

    Attributes
    ----------
    instance_id : str
    sequence : int
        Grows with each message, also over restarts.
    usage_by_id : dict of str to Usage
    """

    instance_id: str
    sequence: int
    usage_by_id: dict[str, Usage]


_NOTHING = Usage()


class RoomLedger:
    """Own reservations and those that peers told of.

    Parameters
    ----------
    get_total : callable
        Cells that a runner has.
    """

    __slots__ = (
        "_get_total",
        "_others_by_id",
        "_own_by_id",
        "_peers_by_id",
        "_summed_by_id",
    )

    def __init__(self, get_total) -> None:
        self._get_total = get_total
        self._own_by_id: dict[str, Usage] = {}
        self._peers_by_id: dict[str, tuple[float, PeerUsage]] = {}
        self._summed_by_id: dict[str, Usage] = {}
        # Sum over all routers less what this one used when it came.
        self._others_by_id: dict[str, Usage] | None = None

    def get_total(self, runner: Upstream) -> float:
        """Return the cells that a runner has beside its weights."""
        return self._get_total(runner)

    def get_used(self, upstream_id: str) -> Usage:
        """Return what is in use at a runner."""
        own = self._own_by_id.get(upstream_id, _NOTHING)
        peers = self._summed_by_id.get(upstream_id)
        return own if peers is None else own.add(peers)

    def reserve(self, route: Route, tokens: float, prompt: float = 0.0) -> None:
        """Note that a request runs over a route.

        Parameters
        ----------
        route : Route
        tokens : float
            Prompt and expected answer.
        prompt : float
            Tokens to read before the first one is written.
        """
        for index, stage in enumerate(route.stages):
            layers = stage.end_layer - stage.first_layer
            added = Usage(tokens * layers, 1, int(index == 0), prompt)
            self._change(stage.instance_id, added, 1)

    def record_prompt_read(self, route: Route, prompt: float) -> None:
        """Note that the prompt of a request has been read."""
        for stage in route.stages:
            self._change(stage.instance_id, Usage(reading=prompt), -1)

    def release(self, route: Route, tokens: float, prompt: float = 0.0) -> None:
        """Note that a request no longer runs over a route.

        ``prompt`` is what had not been noted as read.
        """
        for index, stage in enumerate(route.stages):
            layers = stage.end_layer - stage.first_layer
            added = Usage(tokens * layers, 1, int(index == 0), prompt)
            self._change(stage.instance_id, added, -1)

    def _change(self, upstream_id: str, amount: Usage, sign: int) -> None:
        left = self._own_by_id.get(upstream_id, _NOTHING).add(amount, sign)
        if left.requests > 0:
            self._own_by_id[upstream_id] = left
        else:
            self._own_by_id.pop(upstream_id, None)

    def describe_own(self, instance_id: str, sequence: int) -> PeerUsage:
        """Return the message that tells peers of the own reservations."""
        return _describe(instance_id, sequence, self._own_by_id)

    def describe_domain(self, name: str, sequence: int) -> PeerUsage:
        """Return the message that sums up the routers that tell this one all.

        Sums of other failure domains are told under names that hold a colon.
        """
        summed = dict(self._own_by_id)
        for peer, (_, message) in self._peers_by_id.items():
            if ":" not in peer:
                _add_all(summed, message.usage_by_id)
        return _describe(name, sequence, summed)

    def describe_all(self, name: str, sequence: int) -> PeerUsage:
        """Return the message that sums up all routers."""
        summed = dict(self._own_by_id)
        _add_all(summed, self._summed_by_id)
        return _describe(name, sequence, summed)

    def apply_peer(self, usage: PeerUsage, now: float) -> bool:
        """Take a peer's message; false if it was overtaken and left aside."""
        known = self._peers_by_id.get(usage.instance_id)
        is_recent = known is not None and now - known[0] < PEER_SILENCE_SECONDS
        if is_recent and known[1].sequence >= usage.sequence:
            return False
        self._peers_by_id[usage.instance_id] = (now, usage)
        if usage.instance_id.startswith(ALL_MARK):
            self._others_by_id = {
                name: used.less(self._own_by_id.get(name, _NOTHING))
                for name, used in usage.usage_by_id.items()
            }
        self._sum_peers()
        return True

    def forget_silent(self, now: float) -> None:
        """Drop what peers told that have fallen silent."""
        silent = [
            name
            for name, (told_at, _) in self._peers_by_id.items()
            if now - told_at >= PEER_SILENCE_SECONDS
        ]
        for name in silent:
            del self._peers_by_id[name]
            if name.startswith(ALL_MARK):
                self._others_by_id = None
        if silent:
            self._sum_peers()

    def _sum_peers(self) -> None:
        if self._others_by_id is not None:
            # It includes what other routers told before.
            self._summed_by_id = self._others_by_id
            return
        summed: dict[str, Usage] = {}
        for _, message in self._peers_by_id.values():
            _add_all(summed, message.usage_by_id)
        self._summed_by_id = summed


def _describe(name: str, sequence: int, usage_by_id: dict[str, Usage]) -> PeerUsage:
    rounded = {upstream_id: used.round() for upstream_id, used in usage_by_id.items()}
    return PeerUsage(name, sequence, rounded)


def _add_all(summed: dict[str, Usage], usage_by_id: dict[str, Usage]) -> None:
    for upstream_id, usage in usage_by_id.items():
        summed[upstream_id] = summed.get(upstream_id, _NOTHING).add(usage)
