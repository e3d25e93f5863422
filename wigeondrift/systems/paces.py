"""Measured pace of runners: what routers know of slow ones, and whom to ask.

The load addressed is that of many streams over a few runners that are slow for some
seconds. One router reads the report of a runner that may be slow and tells the others,
so that all of them expect longer times of it.
"""

import enum
import math
import random
from collections import deque
from collections.abc import Collection, Mapping

import msgspec

from wigeondrift.router.entities import Upstream

NORMAL_PACE = 1.0
MAX_PACE = 100.0
# Time after which a pace ends without news. It covers two messages of the router that
# asks, of which one may be lost.
PACE_TTL_SECONDS = 2.5
# Shortest interval between two questions of one router to a runner, and the interval at
# which the router that told of a slow runner asks it again.
ASK_SECONDS = 1.0
# Time for which a router asks no slow runner that another has told of. It is longer
# than ``ASK_SECONDS``, so that the next news of that router arrive first.
HEARD_SECONDS = 1.5
# Range of the random delay of a first question. Many routers see their streams slow
# down at the same time, and the news of the first one saves the others the question.
MAX_ASK_DELAY_SECONDS = 0.1
# Concurrent questions of one router. Reports that are not asked for now are asked for
# at a later event of a slow stream.
MAX_CONCURRENT_QUESTIONS = 16
# Factor of the expected time above which a gap or a first event is suspicious.
SUSPICIOUS_FACTOR = 2.0
# Shortest excess of a suspicious gap, and of a suspicious time to the first event.
# Links and busy routers delay events by some milliseconds; a first event also waits
# for the connection.
MIN_GAP_EXCESS_SECONDS = 0.03
MIN_FIRST_EXCESS_SECONDS = 0.05
# Gaps that must be suspicious in a row. Prompts that are read between events make
# single gaps longer.
SUSPICIOUS_GAPS = 3
# Longest upstream id and largest start in milliseconds that a message may hold.
MAX_ID_LENGTH = 256
MAX_STARTED_AT_MS = 2**53


def is_valid_pace(pace: float) -> bool:
    """Whether a value may be the pace of a runner; false for NaN."""
    return NORMAL_PACE <= pace <= MAX_PACE


class PaceNews(msgspec.Struct, tag=True):
    """Message of a router about the pace that a runner reported.

    Attributes
    ----------
    upstream_id : str
    started_at_ms : int
        Start of the incarnation that is listed, in milliseconds since the epoch.
    pace : float
        Factor by which the runner is slow; 1 if it is not.
    """

    upstream_id: str
    started_at_ms: int
    pace: float

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return (
            len(self.upstream_id) <= MAX_ID_LENGTH
            and 0 <= self.started_at_ms <= MAX_STARTED_AT_MS
            and is_valid_pace(self.pace)
        )


class PaceSource(enum.StrEnum):
    """Why the known pace of a runner changed."""

    REPORT = "report"
    NEWS = "news"
    EXPIRY = "expiry"


class _SlowRunner:
    """Runner that is known to be slow."""

    __slots__ = ("entry", "is_own", "pace", "until")

    def __init__(
        self, entry: Upstream, pace: float, until: float, is_own: bool
    ) -> None:
        self.entry = entry
        self.pace = pace
        self.until = until
        # Whether this router asks it again.
        self.is_own = is_own


class PaceTable:
    """Paces of runners, as reported to this router and told by others.

    Parameters
    ----------
    instance_id : str
        Name of this router.

    Attributes
    ----------
    change_count : int
        Number of changes of paces so far; what depends on paces is computed again
        after a change.
    """

    __slots__ = (
        "_asked_at_by_id",
        "_heard_until_by_id",
        "_instance_id",
        "_reported_at_by_id",
        "_slow_by_id",
        "change_count",
    )

    def __init__(self, instance_id: str = "") -> None:
        self._instance_id = instance_id
        self.change_count = 0
        # Starts of this router's last questions.
        self._asked_at_by_id: dict[str, float] = {}
        # Incarnations that others told of, and until when they are not asked for that.
        self._heard_until_by_id: dict[str, tuple[int, float]] = {}
        # Incarnations of which this router read a report, and when.
        self._reported_at_by_id: dict[str, tuple[int, float]] = {}
        self._slow_by_id: dict[str, _SlowRunner] = {}

    def get_pace(self, upstream: Upstream) -> float:
        """Return the factor on a runner's times; 1 without news of a slow one."""
        slow = self._slow_by_id.get(upstream.upstream_id)
        if slow is None or slow.entry.started_at_ms != upstream.started_at_ms:
            return NORMAL_PACE
        return slow.pace

    def count_slow(self) -> int:
        """Return the number of runners that are known to be slow."""
        return len(self._slow_by_id)

    def may_ask(self, entry: Upstream, now: float) -> bool:
        """Whether a runner of a slow route may be asked for its report now."""
        asked_at = self._asked_at_by_id.get(entry.upstream_id, -math.inf)
        return now - asked_at >= ASK_SECONDS and not self.is_heard(entry, now)

    def is_heard(self, entry: Upstream, now: float) -> bool:
        """Whether another router told of a runner lately."""
        born, until = self._heard_until_by_id.get(entry.upstream_id, (-1, -math.inf))
        return born == entry.started_at_ms and now < until

    def record_question(self, upstream_id: str, now: float) -> None:
        """Record that this router asks a runner for its report."""
        self._asked_at_by_id[upstream_id] = now

    def record_report(self, entry: Upstream, pace: float, now: float) -> bool:
        """Record the pace in a report; return whether the known pace changes."""
        if not is_valid_pace(pace):
            return False
        self._reported_at_by_id[entry.upstream_id] = (entry.started_at_ms, now)
        return self._set(entry, pace, now, True)

    def apply_news(
        self, news: PaceNews, sender: str, entry: Upstream | None, now: float
    ) -> bool:
        """Apply another router's message; return whether the known pace changes.

        A report that this router read within ``ASK_SECONDS`` outweighs the message. Of
        two routers that both ask a runner again, the one whose name is lower goes on,
        as long as it gets reports.

        Parameters
        ----------
        news : PaceNews
        sender : str
            Router that told.
        entry : Upstream or None
            Present entry of the upstream; None if it is not listed.
        now : float
        """
        if (
            entry is None
            or not entry.held_layers
            or news.started_at_ms != entry.started_at_ms
            or not news.is_plausible
        ):
            return False
        slow = self._slow_by_id.get(entry.upstream_id)
        is_own = slow is not None and slow.is_own
        age = now - self._get_report_time(entry)
        if is_own and sender > self._instance_id and age < HEARD_SECONDS:
            return False
        # Nobody asks a runner at its normal pace again without a slow stream.
        pause = HEARD_SECONDS if news.pace > NORMAL_PACE else ASK_SECONDS
        self._heard_until_by_id[entry.upstream_id] = (entry.started_at_ms, now + pause)
        if age < ASK_SECONDS:
            if is_own and news.pace > NORMAL_PACE:
                slow.is_own = False
            return False
        return self._set(entry, news.pace, now, False)

    def _get_report_time(self, entry: Upstream) -> float:
        """Return when this router last read a report of this incarnation."""
        born, reported_at = self._reported_at_by_id.get(
            entry.upstream_id, (-1, -math.inf)
        )
        return reported_at if born == entry.started_at_ms else -math.inf

    def _set(self, entry: Upstream, pace: float, now: float, is_own: bool) -> bool:
        is_changed = self.get_pace(entry) != pace
        self.change_count += is_changed
        if pace > NORMAL_PACE:
            until = now + PACE_TTL_SECONDS
            self._slow_by_id[entry.upstream_id] = _SlowRunner(
                entry, pace, until, is_own
            )
        else:
            self._slow_by_id.pop(entry.upstream_id, None)
        return is_changed

    def get_next_due(self) -> float | None:
        """Return when a runner is to be asked again or a pace ends; None if never."""
        dues = [slow.until for slow in self._slow_by_id.values()]
        dues.extend(
            self._asked_at_by_id.get(upstream_id, -math.inf) + ASK_SECONDS
            for upstream_id, slow in self._slow_by_id.items()
            if slow.is_own
        )
        return min(dues, default=None)

    def collect_due(self, now: float) -> list[Upstream]:
        """Return the slow runners that this router asks again now."""
        due = [
            slow.entry
            for upstream_id, slow in self._slow_by_id.items()
            if slow.is_own
            and now >= self._asked_at_by_id.get(upstream_id, -math.inf) + ASK_SECONDS
        ]
        for entry in due:
            self.record_question(entry.upstream_id, now)
        return due

    def expire(self, now: float) -> list[Upstream]:
        """End the paces without news, and return their runners."""
        ended = [slow.entry for slow in self._slow_by_id.values() if now >= slow.until]
        for entry in ended:
            del self._slow_by_id[entry.upstream_id]
        self.change_count += len(ended)
        return ended

    def retain(self, upstreams_by_id: Mapping[str, Upstream]) -> list[Upstream]:
        """Forget upstreams that are not listed, and paces of earlier incarnations.

        Returns
        -------
        list of Upstream
            Runners whose pace ends.
        """
        for table in (
            self._asked_at_by_id,
            self._heard_until_by_id,
            self._reported_at_by_id,
        ):
            _drop(table, table.keys() - upstreams_by_id.keys())
        ended = []
        for upstream_id, slow in self._slow_by_id.items():
            listed = upstreams_by_id.get(upstream_id)
            if listed is None or listed.started_at_ms != slow.entry.started_at_ms:
                ended.append(slow.entry)
        _drop(self._slow_by_id, [entry.upstream_id for entry in ended])
        self.change_count += len(ended)
        return ended


def _drop(table: dict[str, object], upstream_ids: Collection[str]) -> None:
    for upstream_id in upstream_ids:
        del table[upstream_id]


class EventGaps:
    """Latest gaps between the events of one stream."""

    __slots__ = ("_gaps",)

    def __init__(self) -> None:
        self._gaps: deque[float] = deque(maxlen=SUSPICIOUS_GAPS)

    def add(self, gap: float) -> float | None:
        """Add a gap; return a gap that may be suspicious, None if there is none.

        Returns
        -------
        float or None
            The shortest of the last ``SUSPICIOUS_GAPS`` gaps in seconds, if all of
            them are long enough for ``is_suspicious_gap``.
        """
        self._gaps.append(gap)
        shortest = min(self._gaps)
        if len(self._gaps) < SUSPICIOUS_GAPS or shortest <= MIN_GAP_EXCESS_SECONDS:
            return None
        return shortest

    def clear(self) -> None:
        """Start again, as after a change of the stream's route."""
        self._gaps.clear()


def is_suspicious_gap(gap: float, expected: float) -> bool:
    """Whether a gap between events is too long for runners at their normal pace.

    Parameters
    ----------
    gap, expected : float
        Observed and expected gap, in seconds.
    """
    return gap > max(SUSPICIOUS_FACTOR * expected, expected + MIN_GAP_EXCESS_SECONDS)


def get_first_event_limit(expected: float) -> float:
    """Return the time after which a first event is overdue, in seconds.

    Parameters
    ----------
    expected : float
        Expected time to the first event, in seconds.
    """
    return max(SUSPICIOUS_FACTOR * expected, expected + MIN_FIRST_EXCESS_SECONDS)


def draw_ask_delay(rng: random.Random) -> float:
    """Return a random delay of a first question, in seconds."""
    return rng.uniform(0.0, MAX_ASK_DELAY_SECONDS)
