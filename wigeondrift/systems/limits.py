"""Request limits that upstreams in need name for all routers together.

Only some of the routers, the holders, send requests to a limited upstream, each at an
equal part of the limit. Their number is bounded by the limit, as each may send one
request at once after a pause. All routers that know each other and the limit find the
same holders by rendezvous hashing. If nothing has been heard of a limit for some time,
its holders have no requests for the upstream, and the next routers take their place.
"""

import math
from collections.abc import Iterable

import msgspec

from wigeondrift.systems.buckets import TokenBucket
from wigeondrift.systems.ranking import get_fraction

# Holders of a limit, beyond one for each request per second.
EXTRA_HOLDERS = 2
# Most requests that an idle holder may send at once: this many, or those of this time.
# More than one, so that a request that comes a little late does not cost the next one.
MIN_BURST_REQUESTS = 1.5
BURST_SECONDS = 1.5
# Interval at which a holder tells the others that a limit still stands.
REPEAT_SECONDS = 1.0
# Shortest time without news of a limit after which others become its holders; several
# messages of the present ones fit into it. It is at least this multiple of the time
# after which each of them may send its next request.
SILENCE_SECONDS = 4.0
SILENT_REQUESTS = 2.0
# Larger limits than any upstream can serve.
MAX_LIMIT = 1e6
# More turns than fit into years.
MAX_TURN = 2**40


class LimitNews(msgspec.Struct, tag=True):
    """Message of a router about the limit that an upstream named.

    Attributes
    ----------
    upstream_id : str
    limit : float or None
        Requests per second; None if the upstream no longer names a limit.
    turn : int
        Number of times that its holders were replaced.
    """

    upstream_id: str
    limit: float | None
    turn: int = 0

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        is_limit = self.limit is None or 0.0 <= self.limit <= MAX_LIMIT
        return is_limit and 0 <= self.turn <= MAX_TURN


class Limit:
    """Limit of one upstream.

    Attributes
    ----------
    rate : float
        Requests per second of all routers together.
    learned_at : float
        Time at which it was first heard of, in seconds.
    heard_at : float
        Time of the last news or turn, in seconds.
    turn : int
        Number of times that its holders were replaced.
    told_at : float
        Time at which a router last told all others, in seconds.
    rank : int or None
        Position of this router among those that may be holders; None if unknown.
    bucket : TokenBucket or None
        Requests that this router may send; None unless it is a holder.
    """

    __slots__ = (
        "bucket",
        "heard_at",
        "learned_at",
        "rank",
        "rate",
        "told_at",
        "turn",
    )

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.learned_at = now
        self.heard_at = now
        self.told_at = -math.inf
        self.turn = 0
        self.rank: int | None = None
        self.bucket: TokenBucket | None = None


class RequestLimits:
    """Limits by upstream, and the part of each that this router may use.

    Parameters
    ----------
    name : str
        Instance of this router.
    """

    __slots__ = ("_limits_by_id", "_name", "_routers")

    def __init__(self, name: str) -> None:
        self._name = name
        self._routers = {name}
        self._limits_by_id: dict[str, Limit] = {}

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other routers."""
        self._routers = {self._name, *names}
        for limit in self._limits_by_id.values():
            limit.rank = None

    @property
    def is_empty(self) -> bool:
        """Whether no upstream names a limit."""
        return not self._limits_by_id

    def get_limit(self, upstream_id: str) -> float | None:
        """Return an upstream's limit in requests per second, or None."""
        limit = self._limits_by_id.get(upstream_id)
        return None if limit is None else limit.rate

    def record_answer(
        self, upstream_id: str, rate: float | None, asked_at: float, now: float
    ) -> LimitNews | None:
        """Record the limit in an upstream's response; None if it named none.

        Parameters
        ----------
        upstream_id : str
        rate : float or None
        asked_at : float
            Time at which the request was sent, in seconds. A response to an earlier
            request does not lift a limit.
        now : float
            Current time in seconds.

        Returns
        -------
        LimitNews or None
            What the other routers should know.
        """
        limit = self._limits_by_id.get(upstream_id)
        if rate is None:
            if limit is None or asked_at < limit.learned_at:
                return None
            del self._limits_by_id[upstream_id]
            return LimitNews(upstream_id, None)
        rate = min(rate, MAX_LIMIT)
        is_changed = limit is None or limit.rate != rate
        limit = self._apply(upstream_id, rate, now)
        if not is_changed and now - limit.told_at < REPEAT_SECONDS:
            return None
        limit.told_at = now
        return LimitNews(upstream_id, rate, limit.turn)

    def apply_news(self, news: LimitNews, now: float) -> None:
        """Apply the message of another router."""
        if news.limit is None:
            self._limits_by_id.pop(news.upstream_id, None)
        else:
            limit = self._apply(news.upstream_id, news.limit, now)
            limit.told_at = now
            limit.turn = news.turn

    def _apply(self, upstream_id: str, rate: float, now: float) -> Limit:
        limit = self._limits_by_id.get(upstream_id)
        if limit is None:
            limit = self._limits_by_id[upstream_id] = Limit(rate, now)
        limit.rate = rate
        limit.heard_at = now
        return limit

    def retain(self, upstream_ids: Iterable[str]) -> None:
        """Forget the limits of all other upstreams."""
        known = set(upstream_ids)
        for upstream_id in list(self._limits_by_id):
            if upstream_id not in known:
                del self._limits_by_id[upstream_id]

    def list_closed(self, now: float) -> set[str]:
        """Return the limited upstreams to which no request may be sent now."""
        return {
            upstream_id
            for upstream_id in self._limits_by_id
            if self.get_wait(upstream_id, now) > 0.0
        }

    def list_limited(self) -> set[str]:
        """Return all limited upstreams."""
        return set(self._limits_by_id)

    def get_wait(self, upstream_id: str, now: float) -> float:
        """Return the time until a request may be sent, in seconds.

        It is infinite if this router is no holder, and zero if there is no limit.
        """
        limit = self._limits_by_id.get(upstream_id)
        if limit is None:
            return 0.0
        bucket = self._update_bucket(upstream_id, limit, now)
        return math.inf if bucket is None else bucket.get_wait(1.0, now)

    def consume(self, upstream_id: str, now: float) -> None:
        """Count a request that is sent to an upstream."""
        limit = self._limits_by_id.get(upstream_id)
        if limit is not None and limit.bucket is not None:
            limit.bucket.consume(1.0)

    def _update_bucket(
        self, upstream_id: str, limit: Limit, now: float
    ) -> TokenBucket | None:
        """Return the bucket of this router; None if it is no holder."""
        holders = self._count_holders(limit)
        if limit.rate > 0.0:
            silence = max(SILENCE_SECONDS, SILENT_REQUESTS * holders / limit.rate)
            turns = int((now - limit.heard_at) / silence)
            limit.turn += turns
            limit.heard_at += turns * silence
        if limit.rank is None:
            limit.rank = self._get_rank(upstream_id)
        position = (limit.rank - limit.turn * holders) % len(self._routers)
        if position >= holders:
            limit.bucket = None
            return None
        rate = limit.rate / holders
        burst = max(MIN_BURST_REQUESTS, BURST_SECONDS * rate)
        if limit.bucket is None:
            limit.bucket = TokenBucket(rate, burst, now)
            # The holders begin one after the other, at the rate of the limit.
            limit.bucket.level = 1.0 - (position + 1) / holders
        limit.bucket.set_rate(rate, burst, now)
        return limit.bucket

    def _count_holders(self, limit: Limit) -> int:
        return min(len(self._routers), int(limit.rate) + EXTRA_HOLDERS)

    def _get_rank(self, upstream_id: str) -> int:
        own = get_fraction(self._name, upstream_id)
        return sum(get_fraction(name, upstream_id) > own for name in self._routers)
