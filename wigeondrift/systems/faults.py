"""Faults of upstreams that routers tell each other, and what they avoid for it.

The load addressed is that of a joint failure: many routers that each send requests into
the same known failure until each has found it. One router's news makes the others avoid
the upstream for a short time, and the router that told of it probes it for all.
"""

import enum
import math
from collections.abc import Collection, Mapping

import msgspec

from wigeondrift.router.entities import Upstream

# Time for which news make a router avoid an upstream. It covers the longest interval
# between two news of a router whose probes keep failing: a probe starts 0.5 s after the
# one before and fails within 0.5 s, and news wait for the end of their interval.
AVOIDED_SECONDS = 1.5
# Shortest interval between two messages of a router about one upstream, and the time
# for which a router tells nothing that it has heard from another.
NEWS_SECONDS = 1.0
# Part of a service's upstreams that the news of one router may make others avoid.
MAX_SHARE_OF_ONE_PEER = 1.0 / 3.0
# Age up to which a router's own answer from an upstream outweighs news. An upstream may
# have died since an older one.
OWN_ANSWER_SECONDS = 0.1
# Longest upstream id and largest start in milliseconds that a message may hold.
MAX_ID_LENGTH = 256
MAX_STARTED_AT_MS = 2**53


class Evidence(enum.StrEnum):
    """What a router saw of an upstream at fault."""

    REFUSED = "refused"
    SILENT = "silent"
    RESTARTED = "restarted"
    MOVED = "moved"


class FaultNews(msgspec.Struct, tag=True):
    """Message of a router about an upstream that it found at fault.

    Attributes
    ----------
    upstream_id : str
    started_at_ms : int
        Start of the incarnation that is listed, in milliseconds since the epoch.
    evidence : Evidence
    first_layer, end_layer : int
        Range of layers that is listed, the end excluded.
    is_over : bool
        Whether the upstream answers again.
    """

    upstream_id: str
    started_at_ms: int
    evidence: Evidence
    first_layer: int = 0
    end_layer: int = 0
    is_over: bool = False

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return (
            len(self.upstream_id) <= MAX_ID_LENGTH
            and 0 <= self.started_at_ms <= MAX_STARTED_AT_MS
        )


class OwnFault:
    """Fault that this router has found.

    Attributes
    ----------
    entry : Upstream
        Entry of the upstream when it was at fault.
    evidence : Evidence
    is_told : bool
        Whether the other routers were told.
    is_over : bool
        Whether the upstream answers again.
    is_pending : bool
        Whether the present state is still to be told.
    """

    __slots__ = ("entry", "evidence", "is_over", "is_pending", "is_told")

    def __init__(self, entry: Upstream, evidence: Evidence) -> None:
        self.entry = entry
        self.evidence = evidence
        self.is_told = False
        self.is_over = False
        self.is_pending = False


class FaultTable:
    """Faults found by this router, and those that others told of.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this router.
    """

    __slots__ = (
        "_answered_at_by_id",
        "_failure_domain",
        "_heard_by_id",
        "_own_by_id",
        "_told_at_by_id",
        "_words_by_id",
    )

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._answered_at_by_id: dict[str, float] = {}
        self._own_by_id: dict[str, OwnFault] = {}
        # Times of the last messages of this router, by upstream.
        self._told_at_by_id: dict[str, float] = {}
        # Entries that other routers found at fault, and the times of their messages.
        self._heard_by_id: dict[str, tuple[Upstream, float]] = {}
        # Entries to avoid and the ends of that, by upstream and router that told.
        self._words_by_id: dict[str, dict[str, tuple[Upstream, float]]] = {}

    def record_fault(self, entry: Upstream, evidence: Evidence, now: float) -> bool:
        """Record a fault that this router found; return whether it is a new one."""
        fault = self._own_by_id.get(entry.upstream_id)
        is_new = fault is None or not _is_same(fault.entry, entry) or fault.is_over
        if is_new:
            fault = self._own_by_id[entry.upstream_id] = OwnFault(entry, evidence)
        fault.evidence = evidence
        fault.is_pending = not self._is_heard(entry, now)
        return is_new

    def _is_heard(self, entry: Upstream, now: float) -> bool:
        """Whether another router told of a fault within the last interval."""
        known, heard_at = self._heard_by_id.get(entry.upstream_id, (None, -math.inf))
        return (
            known is not None
            and _is_same(known, entry)
            and now - heard_at < NEWS_SECONDS
        )

    def record_answer(self, upstream_id: str, now: float) -> None:
        """Record that an upstream served this router, which outweighs news."""
        self._answered_at_by_id[upstream_id] = now
        self._words_by_id.pop(upstream_id, None)
        fault = self._own_by_id.get(upstream_id)
        if fault is None:
            return
        if fault.is_told:
            fault.is_pending = fault.is_pending or not fault.is_over
            fault.is_over = True
        else:
            del self._own_by_id[upstream_id]

    def get_next_due(self) -> float | None:
        """Return the time at which the next news is to be sent; None if there is none.

        The time may be in the past.
        """
        return min(
            (
                self._told_at_by_id.get(upstream_id, -math.inf) + NEWS_SECONDS
                for upstream_id, fault in self._own_by_id.items()
                if fault.is_pending
            ),
            default=None,
        )

    def collect_due(self, now: float) -> list[FaultNews]:
        """Return the news to send now."""
        due = []
        for upstream_id, fault in list(self._own_by_id.items()):
            told_at = self._told_at_by_id.get(upstream_id, -math.inf)
            if not fault.is_pending or now < told_at + NEWS_SECONDS:
                continue
            fault.is_pending = False
            if not fault.is_over and self._is_heard(fault.entry, now):
                continue
            entry = fault.entry
            due.append(
                FaultNews(
                    upstream_id,
                    entry.started_at_ms,
                    fault.evidence,
                    entry.first_layer,
                    entry.end_layer,
                    fault.is_over,
                )
            )
            self._told_at_by_id[upstream_id] = now
            fault.is_told = True
            if fault.is_over:
                del self._own_by_id[upstream_id]
        return due

    def apply_news(
        self,
        news: FaultNews,
        sender: str,
        sender_domain: str,
        entry: Upstream | None,
        service_size: int,
        now: float,
    ) -> bool:
        """Apply another router's message; return whether it makes this one avoid more.

        Parameters
        ----------
        news : FaultNews
        sender, sender_domain : str
            Router that told, and its failure domain.
        entry : Upstream or None
            Present entry of the upstream; None if it is not listed.
        service_size : int
            Number of upstreams of its service.
        now : float

        Returns
        -------
        bool
        """
        told = (news.started_at_ms, news.first_layer, news.end_layer)
        if entry is None or told != _get_state(entry):
            return False
        was_avoided = self.is_avoided(entry, now)
        words = self._words_by_id.setdefault(entry.upstream_id, {})
        try:
            if news.is_over:
                words.pop(sender, None)
                self._heard_by_id.pop(entry.upstream_id, None)
                return False
            if not self._is_believed(news, sender_domain, entry, now):
                return False
            self._heard_by_id[entry.upstream_id] = (entry, now)
            if sender not in words and not self._may_add(
                sender, entry.service, service_size, now
            ):
                return False
            words[sender] = (entry, now + AVOIDED_SECONDS)
            return not was_avoided
        finally:
            if not words:
                del self._words_by_id[entry.upstream_id]

    def _is_believed(
        self, news: FaultNews, sender_domain: str, entry: Upstream, now: float
    ) -> bool:
        answered_at = self._answered_at_by_id.get(entry.upstream_id, -math.inf)
        if now - answered_at < OWN_ANSWER_SECONDS:
            return False
        # A router in a third failure domain can't tell a silent upstream from a link
        # between the other two that is cut.
        return news.evidence is not Evidence.SILENT or sender_domain in (
            entry.failure_domain,
            self._failure_domain,
        )

    def _may_add(self, sender: str, service: str, size: int, now: float) -> bool:
        """Whether a router's word may make one more upstream avoided."""
        avoided = sum(
            sender in words
            and words[sender][0].service == service
            and now < words[sender][1]
            for words in self._words_by_id.values()
        )
        return avoided < max(1, int(MAX_SHARE_OF_ONE_PEER * size))

    def is_avoided(self, entry: Upstream, now: float) -> bool:
        """Whether other routers' news make this one avoid an upstream."""
        words = self._words_by_id.get(entry.upstream_id)
        if not words:
            return False
        for sender, (known, until) in list(words.items()):
            if now >= until or not _is_same(known, entry):
                del words[sender]
        if not words:
            del self._words_by_id[entry.upstream_id]
        return bool(words)

    def retain(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Forget upstreams that are not listed, and faults of earlier entries."""
        for table in (
            self._answered_at_by_id,
            self._heard_by_id,
            self._told_at_by_id,
            self._words_by_id,
            self._own_by_id,
        ):
            _drop(table, table.keys() - upstreams_by_id.keys())
        _drop(
            self._own_by_id,
            [
                upstream_id
                for upstream_id, fault in self._own_by_id.items()
                if not _is_same(fault.entry, upstreams_by_id[upstream_id])
            ],
        )


def _drop(table: dict[str, object], upstream_ids: Collection[str]) -> None:
    for upstream_id in upstream_ids:
        del table[upstream_id]


def _get_state(entry: Upstream) -> tuple[int, int, int]:
    """Return what a restart or an order changes in an entry."""
    return (entry.started_at_ms, entry.first_layer, entry.end_layer)


def _is_same(entry: Upstream, other: Upstream) -> bool:
    return _get_state(entry) == _get_state(other) and entry.address == other.address
