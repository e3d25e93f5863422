"""Order in which the waiting requests of one service get capacity.

Designed for overload by some callers: up to some hundred waiting requests of which a
few at a time find a route. Requests are ordered by priority, then streams that resume,
then requests that can still be on time; among those, the team goes first that was
served least lately, and of one team the request with the earliest objective.

Shares of the grants are reserved, so that nothing starves: every ``PRIORITY_TURN``-th
grant goes to a less urgent priority, and every ``TEAM_TURN``-th grant of one priority
to the team that has waited through the most grants. A request that finds no route does
not keep smaller ones from being tried, unless ``MAX_PASSED`` of them have passed it.

With one priority and one team, the order is that of the objectives, on time first.
"""

import math
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

# Grants of a service of which one goes to a priority that is not the most urgent one:
# an eighth delays urgent requests little and still lets the others make progress.
PRIORITY_TURN = 8
# Grants of one priority of which one goes to the team that got none for longest. The
# cost already makes teams share; this covers teams whose requests are very large.
TEAM_TURN = 16
# Time in which the cost of a team's service loses half of its weight. It is longer than
# requests wait, so that a team's flood still counts while its next requests wait, and
# short enough that a team is not held back for a flood of a minute ago.
COST_HALF_LIFE_SECONDS = 5.0
# Requests of a service that may find no route before a pass over them ends. A pass
# takes place every 50 ms and at each release.
MAX_FAILED_GRANTS = 8
# Requests that are tried for one reserved grant in a pass: the first and the smallest.
MAX_TURN_TRIES = 2
# Grants to requests behind the first one after which the others are held back for it,
# and the longest time of that, in seconds. The bound limits the capacity that is unused
# if the request still finds no route, as other routers may take what comes free.
MAX_PASSED = 24
HOLD_SECONDS = 0.25
# Costs below this many tokens no longer matter.
MIN_COST_TOKENS = 1.0
# Grants between two removals of teams whose cost no longer matters.
PRUNE_GRANTS = 1024


class Precedence(NamedTuple):
    """What decides when a request gets capacity, beside its objective.

    Attributes
    ----------
    priority : int
        0 is the highest.
    team : str
    is_resumed : bool
        Whether the request continues a stream that its caller already reads.
    rank : int
        Number of the service's priorities that are more urgent.
    is_least_urgent : bool
        Whether no request of the service is less urgent.
    """

    priority: int = 0
    team: str = ""
    is_resumed: bool = False
    rank: int = 0
    is_least_urgent: bool = True


class _Bucket(NamedTuple):
    """Requests that are ordered by team and objective alone."""

    priority: int
    is_new: bool
    is_late: bool


class Claim:
    """One waiting request.

    Parameters
    ----------
    precedence : Precedence
    on_time_until : float
        Time until which a response meets its latency objective, in seconds.
    tokens : float
        Tokens of the prompt and the expected answer.
    is_restricted : bool
        Whether some upstreams must not be used.

    Attributes
    ----------
    margin : float
        Fraction of the capacity that the request must leave free.
    passed : int
        Grants to later requests while this one was the first.
    held_until : float
        Time until which later requests are held back for this one, in seconds.
    """

    __slots__ = (
        "held_until",
        "is_restricted",
        "margin",
        "on_time_until",
        "passed",
        "precedence",
        "tokens",
    )

    def __init__(
        self,
        precedence: Precedence,
        on_time_until: float,
        tokens: float,
        is_restricted: bool = False,
    ) -> None:
        self.precedence = precedence
        self.on_time_until = on_time_until
        self.tokens = tokens
        self.is_restricted = is_restricted
        self.margin = 0.0
        self.passed = 0
        self.held_until = -math.inf


def count_ahead(precedence: Precedence, waiting: Iterable[Precedence]) -> int:
    """Return the number of waiting requests that probably go before a new one.

    Less urgent requests come later. Teams of the same priority alternate, so of another
    team only as many requests go first as the own team has, and one more.
    """
    ahead = 0
    counts_by_team: dict[str, int] = {}
    for other in waiting:
        if other.priority != precedence.priority:
            ahead += other.priority < precedence.priority
        elif precedence.is_resumed or other.is_resumed:
            ahead += other.is_resumed
        else:
            counts_by_team[other.team] = counts_by_team.get(other.team, 0) + 1
    own = counts_by_team.pop(precedence.team, 0)
    return ahead + own + sum(min(n, own + 1) for n in counts_by_team.values())


class GrantOrder:
    """What the teams and priorities of one service were granted."""

    __slots__ = (
        "_costs_by_team",
        "_grants",
        "_grants_since_turn",
        "_grants_since_turn_by_priority",
        "_last_grant_by_priority",
        "_last_grant_by_team",
    )

    def __init__(self) -> None:
        # Cost in tokens, and the time for which it was computed.
        self._costs_by_team: dict[str, tuple[float, float]] = {}
        self._grants = 0
        self._grants_since_turn = 0
        self._grants_since_turn_by_priority: dict[int, int] = {}
        self._last_grant_by_priority: dict[int, int] = {}
        self._last_grant_by_team: dict[tuple[int, str], int] = {}

    def get_cost(self, team: str, now: float) -> float:
        """Return the cost of what a team was served lately, in tokens."""
        cost, at = self._costs_by_team.get(team, (0.0, now))
        return cost * 0.5 ** ((now - at) / COST_HALF_LIFE_SECONDS)

    def start_pass(
        self,
        claims: Collection[Claim],
        now: float,
        fits_idle: Callable[[Claim], bool] = lambda claim: True,
    ) -> "GrantPass":
        """Return a pass over the waiting requests.

        Parameters
        ----------
        claims : collection of Claim
            In the order of their arrival.
        now : float
            Current time in seconds.
        fits_idle : callable
            Returns whether a request would have capacity if no other were running.
        """
        return GrantPass(self, claims, now, fits_idle)

    def record_grant(self, claim: Claim, now: float) -> None:
        """Record that a request got capacity."""
        priority, team = claim.precedence.priority, claim.precedence.team
        self._grants += 1
        self._last_grant_by_priority[priority] = self._grants
        self._last_grant_by_team[priority, team] = self._grants
        # The capacity of a stream that resumes was charged with its first attempt.
        if not claim.precedence.is_resumed:
            cost = self.get_cost(team, now) + claim.tokens
            self._costs_by_team[team] = (cost, now)
        if self._grants % PRUNE_GRANTS == 0:
            self._forget_idle_teams(now)

    def _forget_idle_teams(self, now: float) -> None:
        for team in list(self._costs_by_team):
            if self.get_cost(team, now) < MIN_COST_TOKENS:
                del self._costs_by_team[team]
        for priority, team in list(self._last_grant_by_team):
            if team not in self._costs_by_team:
                del self._last_grant_by_team[priority, team]

    def find_priority_turn(self, priorities: Collection[int]) -> int | None:
        """Return the waiting priority that the next grant is reserved for, or None."""
        if len(priorities) < 2 or self._grants_since_turn < PRIORITY_TURN - 1:
            return None
        first = min(priorities)
        return min(
            (priority for priority in priorities if priority != first),
            key=lambda priority: self._last_grant_by_priority.get(priority, 0),
        )

    def find_team_turn(self, priority: int, teams: Collection[str]) -> str | None:
        """Return the team that a priority's next grant is reserved for, or None."""
        grants = self._grants_since_turn_by_priority.get(priority, 0)
        if len(teams) < 2 or grants < TEAM_TURN - 1:
            return None
        last_grants = self._last_grant_by_team
        return min(teams, key=lambda team: (last_grants.get((priority, team), 0), team))

    def forfeit_turn(self, priority: int, team: str | None) -> None:
        """Offer the next reserved grant to others, as none of these found a route."""
        if team is None:
            self._last_grant_by_priority[priority] = self._grants
        else:
            self._last_grant_by_team[priority, team] = self._grants

    def count_turns(
        self, claim: Claim, priorities: Collection[int], teams: Collection[str]
    ) -> None:
        """Count a grant towards the reserved shares; called before it is recorded.

        Parameters
        ----------
        claim : Claim
        priorities : collection of int
            Priorities that wait, with that of the request.
        teams : collection of str
            Teams that wait in the request's priority, with its own.
        """
        priority, team = claim.precedence.priority, claim.precedence.team
        if len(priorities) > 1:
            is_turn = self.find_priority_turn(priorities) == priority
            self._grants_since_turn = 0 if is_turn else self._grants_since_turn + 1
        if len(teams) > 1:
            is_turn = self.find_team_turn(priority, teams) == team
            grants = self._grants_since_turn_by_priority.get(priority, 0)
            self._grants_since_turn_by_priority[priority] = 0 if is_turn else grants + 1


class GrantPass:
    """One pass over the waiting requests of a service.

    The caller tries to reserve capacity for each request that ``next`` returns and
    records the result before the following call.

    Parameters
    ----------
    order : GrantOrder
    claims : collection of Claim
    now : float
    fits_idle : callable
    """

    __slots__ = (
        "_claims",
        "_done",
        "_failed_tokens_by_margin",
        "_failures",
        "_fits_idle",
        "_head",
        "_is_held",
        "_now",
        "_order",
        "_queues_by_bucket",
        "_tries_by_turn",
        "_waiting_by_team_by_priority",
    )

    def __init__(
        self,
        order: GrantOrder,
        claims: Collection[Claim],
        now: float,
        fits_idle: Callable[[Claim], bool],
    ) -> None:
        self._order = order
        self._claims = claims
        self._now = now
        self._fits_idle = fits_idle
        self._done: set[Claim] = set()
        self._failures = 0
        self._head: Claim | None = None
        self._is_held = False
        # Smallest demand that found no route, of requests that may use all upstreams.
        self._failed_tokens_by_margin: dict[float, float] = {}
        self._tries_by_turn: dict[tuple[int, str | None], int] = {}
        self._waiting_by_team_by_priority: dict[int, dict[str, int]] = {}
        buckets: dict[_Bucket, dict[str, list[Claim]]] = {}
        for claim in claims:
            priority, team = claim.precedence.priority, claim.precedence.team
            teams = self._waiting_by_team_by_priority.setdefault(priority, {})
            teams[team] = teams.get(team, 0) + 1
            queues = buckets.setdefault(self._get_bucket(claim), {})
            queues.setdefault(team, []).append(claim)
        for queues in buckets.values():
            for queue in queues.values():
                queue.sort(key=lambda claim: claim.on_time_until)
                queue.reverse()
        self._queues_by_bucket = sorted(buckets.items(), key=lambda item: item[0])

    def _get_bucket(self, claim: Claim) -> "_Bucket":
        precedence = claim.precedence
        is_late = claim.on_time_until < self._now
        return _Bucket(precedence.priority, not precedence.is_resumed, is_late)

    def next(self) -> Claim | None:
        """Return the next request to be tried; None if the pass is over."""
        if self._is_held or self._failures >= MAX_FAILED_GRANTS:
            return None
        if self._failures == MAX_FAILED_GRANTS - 1:
            claim = self._find_smallest(self._list_untried())
        else:
            claim = self._find_turn() or self._find_first()
        if claim is not None:
            self._done.add(claim)
        return claim

    def record_grant(self, claim: Claim) -> None:
        """Record that a request got capacity."""
        priority, team = claim.precedence.priority, claim.precedence.team
        waiting = self._waiting_by_team_by_priority
        self._order.count_turns(claim, waiting, waiting[priority])
        self._order.record_grant(claim, self._now)
        waiting[priority][team] -= 1
        if not waiting[priority][team]:
            del waiting[priority][team]
            if not waiting[priority]:
                del waiting[priority]
        if self._head is not None and self._head is not claim:
            self._head.passed += 1
            if self._head.passed == MAX_PASSED and self._fits_idle(self._head):
                self._head.held_until = self._now + HOLD_SECONDS

    def record_failure(self, claim: Claim) -> None:
        """Record that a request found no route with capacity."""
        self._failures += 1
        if not claim.is_restricted:
            known = self._failed_tokens_by_margin.get(claim.margin, math.inf)
            self._failed_tokens_by_margin[claim.margin] = min(known, claim.tokens)
        if claim is self._head and self._now < claim.held_until:
            self._is_held = True

    def _is_hopeless(self, claim: Claim) -> bool:
        """Whether a request that needs no more than this one found no route."""
        return any(
            margin <= claim.margin and tokens <= claim.tokens
            for margin, tokens in self._failed_tokens_by_margin.items()
        )

    def _list_untried(
        self, priority: int | None = None, team: str | None = None
    ) -> list[Claim]:
        return [
            claim
            for claim in self._claims
            if priority in (None, claim.precedence.priority)
            and team in (None, claim.precedence.team)
            and claim not in self._done
            and not self._is_hopeless(claim)
        ]

    @staticmethod
    def _find_smallest(claims: Iterable[Claim]) -> Claim | None:
        return min(claims, key=lambda claim: claim.tokens, default=None)

    def _find_turn(self) -> Claim | None:
        """Return a request of the priority that the next grant is reserved for."""
        priority = self._order.find_priority_turn(self._waiting_by_team_by_priority)
        return None if priority is None else self._try_turn(priority, None)

    def _try_turn(self, priority: int, team: str | None) -> Claim | None:
        tries = self._tries_by_turn.get((priority, team), 0)
        claims = self._list_untried(priority, team)
        if tries >= MAX_TURN_TRIES or not claims:
            self._order.forfeit_turn(priority, team)
            return None
        self._tries_by_turn[priority, team] = tries + 1
        if tries:
            return self._find_smallest(claims)
        if team is None:
            teams = {claim.precedence.team for claim in claims}
            team = self._order.find_team_turn(priority, teams)
            claims = [c for c in claims if team in (None, c.precedence.team)]
        return min(claims, key=self._get_sort_key)

    def _get_sort_key(self, claim: Claim) -> tuple:
        cost = self._order.get_cost(claim.precedence.team, self._now)
        return (*self._get_bucket(claim), cost, claim.on_time_until)

    def _find_first(self) -> Claim | None:
        """Return the first request in the order that may find a route."""
        for bucket, queues_by_team in self._queues_by_bucket:
            if queues_by_team and bucket.is_new:
                teams = self._waiting_by_team_by_priority.get(bucket.priority, ())
                team = self._order.find_team_turn(bucket.priority, teams)
                claim = None if team is None else self._try_turn(bucket.priority, team)
                if claim is not None:
                    return claim
            while queues_by_team:
                team = self._pick_team(queues_by_team)
                claim = queues_by_team[team].pop()
                if not queues_by_team[team]:
                    del queues_by_team[team]
                if claim in self._done or self._is_hopeless(claim):
                    continue
                if self._head is None:
                    self._head = claim
                return claim
        return None

    def _pick_team(self, queues_by_team: dict[str, list[Claim]]) -> str:
        if len(queues_by_team) == 1:
            return next(iter(queues_by_team))
        return min(
            queues_by_team,
            key=lambda team: (
                self._order.get_cost(team, self._now),
                queues_by_team[team][-1].on_time_until,
            ),
        )
