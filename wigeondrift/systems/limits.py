"""Request limits that upstreams in need name for all routers together.

Each request to a limited upstream needs a permit. One router, the issuer, gives them
out at the rate of the limit to whichever router has a request, so a limit can be used
fully even if it is far below one request a second for each router. All routers that
know each other find the same issuer by rendezvous hashing. If it doesn't answer, a
router asks the next one, which gives out permits, fewer of them, only once it has got
no answer from those before it either.
"""

import math
from collections.abc import Iterable

import msgspec

from wigeondrift.systems.buckets import TokenBucket
from wigeondrift.systems.presence import Presence
from wigeondrift.systems.ranking import get_fraction

# Most permits that are given out at once after a pause: this many, and those of this
# time.
BURST_REQUESTS = 1.0
BURST_SECONDS = 0.5
# Time for which a router that did not answer is not asked, if another is the issuer.
SKIP_SECONDS = 2.0
# Shortest time for which a router that got no permit asks for no other.
REFUSED_SECONDS = 0.1
# Part of a limit that a router gives out in place of another one that the list of
# routers still names: that one may be there for other routers.
SUBSTITUTE_SHARE = 1.0 / 3.0
# Rate at which a lower limit is used, in requests per second: only an answer shows that
# an upstream no longer names it.
MIN_RATE = 0.1
# Interval at which a router tells the others that a limit still stands.
REPEAT_SECONDS = 1.0
# Larger limits than any upstream can serve, and more seconds than any limit stands.
MAX_LIMIT = 1e6
MAX_SECONDS = 1e8


class LimitNews(msgspec.Struct, tag=True):
    """Message of a router about the limit that an upstream named.

    Attributes
    ----------
    upstream_id : str
    limit : float or None
        Requests per second; None if the upstream no longer names a limit.
    """

    upstream_id: str
    limit: float | None

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return self.limit is None or 0.0 <= self.limit <= MAX_LIMIT


class PermitRequest(msgspec.Struct, tag=True):
    """Message of a router that wants to send a request to a limited upstream.

    Attributes
    ----------
    number : int
        Number of the request, by which the answer is found.
    upstream_id : str
    limit : float
        Requests per second, as the router knows it.
    """

    number: int
    upstream_id: str
    limit: float

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return 0.0 <= self.limit <= MAX_LIMIT


class PermitAnswer(msgspec.Struct, tag=True):
    """Answer to a request for a permit.

    Attributes
    ----------
    number : int
        Number of the request.
    wait : float
        Zero if the permit is given; otherwise the time for which to ask for no other,
        in seconds.
    is_issuer : bool
        Whether the router gives out permits for this upstream. If not, one that it
        finds present does.
    """

    number: int
    wait: float
    is_issuer: bool

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return 0.0 <= self.wait <= MAX_SECONDS


class PresenceRequest(msgspec.Struct, tag=True):
    """Question of a router whether another one is there.

    Attributes
    ----------
    number : int
        Number of the question, by which the router that answers is found.
    """

    number: int

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return True


class PresenceAnswer(msgspec.Struct, tag=True):
    """Answer to the question whether a router is there.

    Attributes
    ----------
    number : int
        Number of the question.
    """

    number: int

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return True


class Limit:
    """Limit of one upstream.

    Attributes
    ----------
    rate : float
        Requests per second of all routers together.
    learned_at : float
        Time at which it was first heard of, in seconds.
    told_at : float
        Time at which a router last told all others, in seconds.
    closed_until : float
        Time until which this router asks for no permit, in seconds.
    ranking : list of str or None
        Routers in the order in which they are asked for permits; None if unknown.
    bucket : TokenBucket or None
        Permits that this router may give out; None unless it is the issuer.
    """

    __slots__ = (
        "bucket",
        "closed_until",
        "learned_at",
        "ranking",
        "rate",
        "told_at",
    )

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        self.learned_at = now
        self.told_at = -math.inf
        self.closed_until = -math.inf
        self.ranking: list[str] | None = None
        self.bucket: TokenBucket | None = None


class RequestLimits:
    """Limits by upstream, and the permits that this router gives out.

    Parameters
    ----------
    name : str
        Instance of this router.

    Attributes
    ----------
    presence : Presence
        Routers that would be the issuers in place of this one.
    """

    __slots__ = (
        "_limits_by_id",
        "_name",
        "_routers",
        "_skipped_until_by_name",
        "presence",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._routers = {name}
        self._limits_by_id: dict[str, Limit] = {}
        self._skipped_until_by_name: dict[str, float] = {}
        self.presence = Presence()

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other routers."""
        self._routers = {self._name, *names}
        for limit in self._limits_by_id.values():
            limit.ranking = None

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
        return LimitNews(upstream_id, rate)

    def apply_news(self, news: LimitNews, now: float) -> None:
        """Apply the message of another router."""
        if news.limit is None:
            self._limits_by_id.pop(news.upstream_id, None)
        else:
            limit = self._apply(news.upstream_id, news.limit, now)
            limit.told_at = now

    def _apply(self, upstream_id: str, rate: float, now: float) -> Limit:
        limit = self._limits_by_id.get(upstream_id)
        if limit is None:
            limit = self._limits_by_id[upstream_id] = Limit(rate, now)
        limit.rate = rate
        return limit

    def retain(self, upstream_ids: Iterable[str]) -> None:
        """Forget the limits of all other upstreams."""
        known = set(upstream_ids)
        for upstream_id in list(self._limits_by_id):
            if upstream_id not in known:
                del self._limits_by_id[upstream_id]

    def list_closed(self, now: float) -> set[str]:
        """Return the limited upstreams for which no permit is to be had now."""
        return {
            upstream_id
            for upstream_id, limit in self._limits_by_id.items()
            if limit.closed_until > now
        }

    def get_wait(self, upstream_id: str, now: float) -> float:
        """Return the time until a permit may be asked for, in seconds."""
        limit = self._limits_by_id.get(upstream_id)
        return 0.0 if limit is None else max(0.0, limit.closed_until - now)

    def close(self, upstream_id: str, until: float) -> None:
        """Ask for no permit for an upstream until some time, in seconds."""
        limit = self._limits_by_id.get(upstream_id)
        if limit is not None:
            limit.closed_until = until

    def skip(self, router: str, now: float) -> None:
        """Record that a router did not answer, and ask others for some time."""
        self._skipped_until_by_name[router] = now + SKIP_SECONDS

    def get_issuer(self, upstream_id: str, now: float) -> str:
        """Return the router to ask for a permit; maybe this one."""
        if upstream_id in self._limits_by_id:
            for name in self.rank_routers(upstream_id):
                if self._skipped_until_by_name.get(name, -math.inf) <= now:
                    return name
        return self._name

    def rank_routers(self, upstream_id: str) -> list[str]:
        """Return the routers in the order in which they are asked for permits."""
        limit = self._limits_by_id[upstream_id]
        if limit.ranking is None:
            limit.ranking = sorted(
                self._routers,
                key=lambda name: get_fraction(name, upstream_id),
                reverse=True,
            )
        return limit.ranking

    def make_request(self, upstream_id: str, number: int) -> PermitRequest:
        """Return the message that asks for a permit for a limited upstream."""
        limit = self._limits_by_id[upstream_id]
        return PermitRequest(number, upstream_id, limit.rate)

    def answer(self, request: PermitRequest, now: float) -> PermitAnswer:
        """Give out a permit, or say for how long to ask for no other."""
        limit = self._limits_by_id.get(request.upstream_id)
        if limit is None:
            limit = self._apply(request.upstream_id, request.limit, now)
        ranking = self.rank_routers(request.upstream_id)
        predecessors = ranking[: ranking.index(self._name)]
        self.presence.want(predecessors, now)
        if not self.presence.are_gone(predecessors, now):
            limit.bucket = None
            return PermitAnswer(request.number, REFUSED_SECONDS, is_issuer=False)
        share = SUBSTITUTE_SHARE if predecessors else 1.0
        bucket = self._update_bucket(limit, share, now)
        wait = bucket.get_wait(1.0, now)
        if wait <= 0.0:
            bucket.consume(1.0)
        else:
            wait = max(wait, REFUSED_SECONDS)
        return PermitAnswer(request.number, wait, is_issuer=True)

    def _update_bucket(self, limit: Limit, share: float, now: float) -> TokenBucket:
        rate = max(share * limit.rate, MIN_RATE)
        burst = BURST_REQUESTS + BURST_SECONDS * rate
        if limit.bucket is None:
            limit.bucket = TokenBucket(rate, burst, now)
            # Another router may have given out permits until now.
            limit.bucket.level = 0.0
        limit.bucket.set_rate(rate, burst, now)
        return limit.bucket

    def record_permit_answer(self, issuer: str, answer: PermitAnswer) -> None:
        """Record what a router answered to a request for a permit."""
        self._skipped_until_by_name.pop(issuer, None)
        if not answer.is_issuer:
            # It finds one of those present that did not answer this router.
            self._skipped_until_by_name.clear()
