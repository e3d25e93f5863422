"""Checks of the grant order on random backlogs; each names the fault it finds."""

from hypothesis import given, settings, strategies

from wigeondrift.systems.grant_order import (
    MAX_FAILED_GRANTS,
    MAX_PASSED,
    PRIORITY_TURN,
    TEAM_TURN,
    Claim,
    GrantOrder,
    Precedence,
)

NOW = 100.0
MAX_TOKENS = 400
PROFILE = settings(deadline=None, derandomize=True, max_examples=60)
TIMES = strategies.integers(int(NOW) - 5, int(NOW) + 5)
TOKENS = strategies.integers(MAX_TOKENS // 4, MAX_TOKENS)
PRIORITIES = strategies.integers(0, 3)
TEAMS = strategies.sampled_from(["a", "b", "c", "d"])


def make_claim(priority=0, team="a", on_time_until=NOW + 1, tokens=100, resumed=False):
    return Claim(Precedence(priority, team, resumed), on_time_until, tokens)


def grant(order, claims, fits=lambda claim: True, most=1):
    """Grant up to ``most`` requests in one pass; return them and how many failed."""
    grant_pass, granted, failed = order.start_pass(list(claims), NOW), [], 0
    while len(granted) < most and (claim := grant_pass.next()) is not None:
        if fits(claim):
            grant_pass.record_grant(claim)
            claims.remove(claim)
            granted.append(claim)
        else:
            grant_pass.record_failure(claim)
            failed += 1
    return granted, failed


def grant_backlog(groups, count):
    """Return the groups that got grants, where each always has a waiting request."""
    order, claims, got = GrantOrder(), [], []
    for group in groups:
        claims.append(make_claim(*group))
    for _ in range(count):
        claim = grant(order, claims)[0][0]
        group = (claim.precedence.priority, claim.precedence.team)
        tokens = claim.tokens
        got.append((*group, tokens))
        claims.append(make_claim(*group, claim.on_time_until, tokens))
    return got


@PROFILE
@given(strategies.lists(strategies.tuples(TIMES, TOKENS), max_size=40))
def check_one_team(values):
    # Another order than by objective, on time first, for a service without priorities.
    claims = [make_claim(on_time_until=at, tokens=tokens) for at, tokens in values]
    expected = sorted(claims, key=lambda c: (c.on_time_until < NOW, c.on_time_until))
    assert grant(GrantOrder(), claims, most=len(claims))[0] == expected


@PROFILE
@given(strategies.sets(strategies.tuples(PRIORITIES, TEAMS, TIMES, TOKENS), min_size=1))
def check_no_starvation(groups):
    # A priority or team that waits without end while others are granted.
    got = grant_backlog(groups, 600)
    priorities = {group[0] for group in groups}
    for priority in priorities:
        bound = max(1, PRIORITY_TURN * (len(priorities) - 1))
        check_gaps([g[0] == priority for g in got], bound)
        teams = {group[1] for group in groups if group[0] == priority}
        of_priority = [g[1] for g in got if g[0] == priority]
        for team in teams:
            check_gaps([t == team for t in of_priority], TEAM_TURN * len(teams))


def check_gaps(hits, bound):
    waited = 0
    for hit in hits:
        waited = 0 if hit else waited + 1
        assert waited <= bound, (waited, bound)


@PROFILE
@given(strategies.sets(strategies.tuples(PRIORITIES, TEAMS), min_size=1))
def check_urgent_first(groups):
    # Less urgent requests that take more than their reserved share.
    got = grant_backlog(groups, 200)
    first = min(group[0] for group in groups)
    for count in range(1, len(got)):
        others = sum(1 for g in got[:count] if g[0] != first)
        assert others <= count / PRIORITY_TURN + 1, (count, others)


@PROFILE
@given(strategies.dictionaries(TEAMS, TOKENS, min_size=2))
def check_fairness(tokens_by_team):
    # A team that gets more capacity than others by sending larger or more requests.
    groups = [(0, team, NOW + 1, n) for team, n in tokens_by_team.items()]
    got = grant_backlog(groups * 5, 300)
    served = dict.fromkeys(tokens_by_team, 0)
    for _, team, tokens in got:
        served[team] += tokens
        assert max(served.values()) - min(served.values()) <= 2 * MAX_TOKENS, served


@PROFILE
@given(strategies.integers(1, 300), strategies.booleans())
def check_small_behind_large(large, is_descending):
    # Small requests that are never tried behind many large ones; an expensive pass.
    tokens = [1000 + (large - n if is_descending else n) for n in range(large)]
    claims = [make_claim(tokens=n) for n in tokens]
    small = make_claim(tokens=50, on_time_until=NOW + 9)
    claims.append(small)
    granted, failed = grant(GrantOrder(), claims, lambda c: c.tokens < 100, 9)
    assert granted == [small] and failed <= MAX_FAILED_GRANTS


def check_large():
    # A large request that small ones pass without end, as they take all that is freed.
    order, large, free = GrantOrder(), make_claim(tokens=500), 0
    claims = [large]
    for granted in range(MAX_PASSED + 10):
        claims.append(make_claim(on_time_until=NOW + 2))
        free += 100
        got = grant(order, claims, lambda claim, free=free: claim.tokens <= free)[0]
        if got == [large]:
            assert granted <= MAX_PASSED + 5
            return
        free -= sum(claim.tokens for claim in got)
    raise AssertionError("the large request was never granted")


def check_resumed():
    # A stream that its caller reads is late behind new requests of its priority.
    new = make_claim(on_time_until=NOW + 1)
    resumed = make_claim(on_time_until=NOW - 2, resumed=True)
    urgent = make_claim(priority=-1)
    granted = grant(GrantOrder(), [new, resumed, urgent], most=3)[0]
    assert granted == [urgent, resumed, new]


CHECKS = {
    "is that of the objectives, on time first, with one priority and one team": (
        check_one_team
    ),
    "starves no priority and no team": check_no_starvation,
    "gives less urgent priorities no more than their share": check_urgent_first,
    "serves busy teams equally, to within two requests": check_fairness,
    "tries small requests behind many large ones in the same pass": (
        check_small_behind_large
    ),
    "holds small requests back for a large one that they have passed": check_large,
    "puts streams that resume before new requests of their priority": check_resumed,
}
