"""Ageing counts of the answers and losses of members of plain services.

The load addressed is that of a member whose answers are lost: each router would send it
requests that may run only once until it has lost some itself. An answer that is lost is
found only when its request times out, so counts of all routers are needed early.
"""

import math
from collections.abc import Collection

import msgspec

from wigeondrift.router.entities import Upstream
from wigeondrift.systems.faults import MAX_ID_LENGTH, MAX_STARTED_AT_MS, NEWS_SECONDS

# Time in which a count halves. It is longer than most requests, whose loss is found
# when their time ends.
HALF_LIFE_SECONDS = 5.0
# Most answers and losses that count of one peer, so that a wrong message is soon
# outweighed by the answers of others.
MAX_ANSWERS_OF_PEER = 50.0
MAX_LOSSES_OF_PEER = 5.0
# Answers assumed of a member of which little is known.
ASSUMED_ANSWERS = 2.0
# Expected loss that counts as none. Otherwise the rest of an aged loss would decide
# between members with equal loads, which are chosen at random.
MIN_LOSS = 0.05
# Own answers below which a router has nothing to say of a member.
MIN_TOLD_ANSWERS = 0.5
# Answers are told less often where more routers tell of a member, so that each router
# gets at most about this many messages about it in NEWS_SECONDS.
MAX_MESSAGES_HEARD = 24
# Load, as a fraction of a member's slots, that is as bad as the certain loss of the
# answer, for requests that may run again and for those that may not.
LOSS_WEIGHT_REPEATABLE = 1.0
LOSS_WEIGHT_ONCE = 4.0


class OutcomeNews(msgspec.Struct, tag=True):
    """Message of a router about its own requests to a member of a plain service.

    Attributes
    ----------
    upstream_id : str
    started_at_ms : int
        Start of its incarnation, in milliseconds since the epoch.
    answers, losses : float
        Ageing counts.
    """

    upstream_id: str
    started_at_ms: int
    answers: float
    losses: float

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return (
            len(self.upstream_id) <= MAX_ID_LENGTH
            and 0 <= self.started_at_ms <= MAX_STARTED_AT_MS
            and 0.0 <= self.answers < math.inf
            and 0.0 <= self.losses < math.inf
        )


class Counts:
    """Ageing counts of one router and one incarnation of a member.

    Attributes
    ----------
    started_at_ms : int
    answers, losses : float
        Counts at the time ``at``.
    at : float
    """

    __slots__ = ("answers", "at", "losses", "started_at_ms")

    def __init__(
        self, started_at_ms: int, answers: float, losses: float, at: float
    ) -> None:
        self.started_at_ms = started_at_ms
        self.answers = answers
        self.losses = losses
        self.at = at

    def age(self, now: float) -> None:
        """Let the counts age until ``now``."""
        factor = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
        self.answers *= factor
        self.losses *= factor
        self.at = now


class OutcomeTable:
    """Outcomes of members according to this router and others."""

    __slots__ = (
        "_heard_by_id",
        "_own_by_id",
        "_pending_intervals_by_id",
        "_told_at_by_id",
    )

    def __init__(self) -> None:
        self._own_by_id: dict[str, Counts] = {}
        self._heard_by_id: dict[str, dict[str, Counts]] = {}
        # Shortest intervals to the news before, of the members to tell about.
        self._pending_intervals_by_id: dict[str, float] = {}
        self._told_at_by_id: dict[str, float] = {}

    def record(self, entry: Upstream, is_answered: bool, now: float) -> None:
        """Count an answer or a loss of this router; others are told of losses."""
        counts = self._own_by_id.get(entry.upstream_id)
        if counts is None or counts.started_at_ms != entry.started_at_ms:
            counts = Counts(entry.started_at_ms, 0.0, 0.0, now)
            self._own_by_id[entry.upstream_id] = counts
        counts.age(now)
        if is_answered:
            counts.answers += 1.0
        else:
            counts.losses += 1.0
            self._pending_intervals_by_id[entry.upstream_id] = NEWS_SECONDS

    def apply_news(
        self, news: OutcomeNews, sender: str, entry: Upstream, now: float
    ) -> None:
        """Count what another router tells of an upstream, in place of what it told.

        If it tells of losses, this router tells of its answers, so that few losses
        don't outweigh many answers.
        """
        if news.started_at_ms != entry.started_at_ms:
            return
        heard = self._heard_by_id.setdefault(entry.upstream_id, {})
        heard[sender] = Counts(
            news.started_at_ms,
            min(news.answers, MAX_ANSWERS_OF_PEER),
            min(news.losses, MAX_LOSSES_OF_PEER),
            now,
        )
        own = self._own_by_id.get(entry.upstream_id)
        if own is None or own.started_at_ms != entry.started_at_ms:
            return
        own.age(now)
        if news.losses >= 1.0 and own.answers >= MIN_TOLD_ANSWERS:
            interval = NEWS_SECONDS * max(1.0, len(heard) / MAX_MESSAGES_HEARD)
            self._pending_intervals_by_id.setdefault(entry.upstream_id, interval)

    def estimate_loss(self, entry: Upstream, now: float) -> float:
        """Return the probability that an answer of a member is lost."""
        answers, losses = ASSUMED_ANSWERS, 0.0
        own = self._own_by_id.get(entry.upstream_id)
        heard = self._heard_by_id.get(entry.upstream_id, {})
        for counts in (own, *heard.values()):
            if counts is not None and counts.started_at_ms == entry.started_at_ms:
                counts.age(now)
                answers += counts.answers
                losses += counts.losses
        loss = losses / (answers + losses)
        return loss if loss >= MIN_LOSS else 0.0

    def get_next_due(self) -> float | None:
        """Return the time at which the next news is to be sent, None if there is none.

        The time may be in the past.
        """
        return min(
            (
                self._told_at_by_id.get(upstream_id, -math.inf) + interval
                for upstream_id, interval in self._pending_intervals_by_id.items()
            ),
            default=None,
        )

    def collect_due(self, now: float) -> list[OutcomeNews]:
        """Return the news to send now: one a second for each upstream at most."""
        due = []
        for upstream_id, interval in sorted(self._pending_intervals_by_id.items()):
            told_at = self._told_at_by_id.get(upstream_id, -math.inf)
            if now < told_at + interval:
                continue
            del self._pending_intervals_by_id[upstream_id]
            self._told_at_by_id[upstream_id] = now
            counts = self._own_by_id[upstream_id]
            counts.age(now)
            due.append(
                OutcomeNews(
                    upstream_id, counts.started_at_ms, counts.answers, counts.losses
                )
            )
        return due

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Forget upstreams that are not listed."""
        for table in (
            self._own_by_id,
            self._heard_by_id,
            self._pending_intervals_by_id,
            self._told_at_by_id,
        ):
            for upstream_id in table.keys() - set(upstream_ids):
                del table[upstream_id]
