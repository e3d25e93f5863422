"""Repeats that one router, the issuer, gives out to all routers.

The load addressed is that of retries which fall unevenly on the routers: with a fixed
split, few routers are out of retries while the others use none. The issuer of a service
is found by rendezvous hashing. While it is asked for repeats, it borrows what the other
routers do not use of their own shares, and gives out as many repeats in a window as it
has borrowed. As each share is lent to one issuer at a time, any number of issuers stays
within the allowance, whichever routers can hear each other.
"""

import math
from collections import deque
from collections.abc import Iterable

import msgspec

from wigeondrift.systems.ranking import get_fraction
from wigeondrift.systems.repeats import LEASE_SECONDS

# Interval at which an issuer renews its loans, and the time for which it does so after
# the last request. A renewal or two may get lost within a loan.
RENEW_SECONDS = 1.0
WANTED_SECONDS = 2.0
# Time that the first answers to an issuer take at most; until then a router that can't
# be given a repeat is told to ask again.
COLLECT_SECONDS = 0.05
# Part of the pool that is kept for requests whose caller already reads the response.
UNDER_WAY_SHARE = 0.25
# Time for which an issuer that did not answer is not asked.
SKIP_SECONDS = 2.0
# Time for which a router that was denied a repeat asks for no other.
DENIED_SECONDS = 0.1
# Largest share that a message may tell of, and longest names that it may hold.
MAX_AMOUNT = 1e6
MAX_NAME_LENGTH = 256


class RepeatRequest(msgspec.Struct, tag=True):
    """Message of a router that wants to repeat a request.

    Attributes
    ----------
    number : int
        Number of the message, by which the answer is found.
    service : str
    is_under_way : bool
        Whether the caller already reads the response.
    """

    number: int
    service: str
    is_under_way: bool

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return len(self.service) <= MAX_NAME_LENGTH


class RepeatAnswer(msgspec.Struct, tag=True):
    """Answer to the request for a repeat.

    Attributes
    ----------
    number : int
    is_granted : bool
    is_collecting : bool
        Whether more may be to be had shortly.
    """

    number: int
    is_granted: bool
    is_collecting: bool = False

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return True


class ShareRequest(msgspec.Struct, tag=True):
    """Message of an issuer that asks a router for the free part of its share.

    Attributes
    ----------
    number : int
    service : str
    issuer : str
    incarnation : int
        Number of the issuer's process.
    """

    number: int
    service: str
    issuer: str
    incarnation: int

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return max(len(self.service), len(self.issuer)) <= MAX_NAME_LENGTH


class ShareAnswer(msgspec.Struct, tag=True):
    """Answer of a router that lends a part of its share, or nothing.

    Attributes
    ----------
    number : int
    amount : float
        Repeats in each window.
    """

    number: int
    amount: float

    @property
    def is_plausible(self) -> bool:
        """Whether the message is one that a router may have made."""
        return 0.0 <= self.amount <= MAX_AMOUNT


class Issue:
    """What this router has borrowed and given out of one service's repeats.

    Attributes
    ----------
    asked_at : float
        Time of the first request of this period of requests, in seconds.
    wanted_until : float
        Time until which loans are renewed.
    renewed_at : float
        Time at which the routers were last asked for loans.
    loans_by_lender : dict of str to (float, float)
        Amounts of the loans and the times at which they end.
    grants : deque of float
        Times of the repeats given out, the oldest first.
    """

    __slots__ = ("asked_at", "grants", "loans_by_lender", "renewed_at", "wanted_until")

    def __init__(self) -> None:
        self.asked_at = -math.inf
        self.wanted_until = -math.inf
        self.renewed_at = -math.inf
        self.loans_by_lender: dict[str, tuple[float, float]] = {}
        self.grants: deque[float] = deque()


class RepeatPool:
    """Repeats that this router gives out, and the issuers that it asks.

    All times are of a clock that includes time spent suspended.

    Parameters
    ----------
    name : str
        Instance of this router.
    incarnation : int
        Number of this process.
    number : int
        Number before that of the first message.
    """

    __slots__ = (
        "_closed_until_by_key",
        "_incarnation",
        "_issues_by_service",
        "_lenders_by_number",
        "_name",
        "_number",
        "_rankings_by_service",
        "_routers",
        "_skipped_until_by_name",
    )

    def __init__(self, name: str, incarnation: int, number: int) -> None:
        self._name = name
        self._incarnation = incarnation
        self._number = number
        self._routers = {name}
        self._rankings_by_service: dict[str, list[str]] = {}
        self._skipped_until_by_name: dict[str, float] = {}
        self._closed_until_by_key: dict[tuple[str, bool], float] = {}
        self._issues_by_service: dict[str, Issue] = {}
        # Service, router and time of the requests for shares that have no answer.
        self._lenders_by_number: dict[int, tuple[str, str, float]] = {}

    def set_peers(self, names: Iterable[str]) -> None:
        """Set the other routers."""
        self._routers = {self._name, *names}
        self._rankings_by_service.clear()

    def take_number(self) -> int:
        """Return the number of the next message."""
        self._number += 1
        return self._number

    def get_issuer(self, service: str, now: float) -> str:
        """Return the router to ask for a repeat; maybe this one."""
        ranking = self._rankings_by_service.get(service)
        if ranking is None:
            ranking = sorted(
                self._routers,
                key=lambda name: get_fraction(name, service),
                reverse=True,
            )
            self._rankings_by_service[service] = ranking
        for name in ranking:
            if self._skipped_until_by_name.get(name, -math.inf) <= now:
                return name
        return self._name

    def skip(self, router: str, now: float) -> None:
        """Record that a router did not answer, and ask others for some time."""
        self._skipped_until_by_name[router] = now + SKIP_SECONDS

    def is_closed(self, service: str, is_under_way: bool, now: float) -> bool:
        """Whether a repeat was denied a moment ago."""
        return now < self._closed_until_by_key.get((service, is_under_way), -math.inf)

    def record_denied(self, service: str, is_under_way: bool, now: float) -> None:
        """Record that a repeat was denied, and ask for no other for a moment."""
        self._closed_until_by_key[service, is_under_way] = now + DENIED_SECONDS

    def answer(self, request: RepeatRequest, window: float, now: float) -> RepeatAnswer:
        """Give out a repeat or deny it.

        Parameters
        ----------
        request : RepeatRequest
        window : float
            Window in which repeats given out count, in seconds.
        now : float

        Returns
        -------
        RepeatAnswer
        """
        issue = self._issues_by_service.setdefault(request.service, Issue())
        if now >= issue.wanted_until:
            issue.asked_at = now
        issue.wanted_until = now + WANTED_SECONDS
        while issue.grants and now - issue.grants[0] > window:
            issue.grants.popleft()
        allowed = 0.0
        for lender, (amount, until) in list(issue.loans_by_lender.items()):
            if now < until:
                allowed += amount
            else:
                del issue.loans_by_lender[lender]
        if not request.is_under_way:
            allowed *= 1.0 - UNDER_WAY_SHARE
        is_granted = len(issue.grants) + 1 <= allowed
        if is_granted:
            issue.grants.append(now)
        is_collecting = not is_granted and now - issue.asked_at < COLLECT_SECONDS
        return RepeatAnswer(request.number, is_granted, is_collecting)

    def get_next_renewal(self) -> float | None:
        """Return the time at which loans are to be renewed; None if none is wanted."""
        return min(
            (
                issue.renewed_at + RENEW_SECONDS
                for issue in self._issues_by_service.values()
                if issue.renewed_at + RENEW_SECONDS < issue.wanted_until
            ),
            default=None,
        )

    def make_share_requests(self, now: float) -> list[tuple[str, ShareRequest]]:
        """Return the requests for loans that are due, each with its router."""
        for number, (_, _, asked_at) in list(self._lenders_by_number.items()):
            if now - asked_at >= LEASE_SECONDS:
                del self._lenders_by_number[number]
        requests = []
        for service, issue in self._issues_by_service.items():
            if now >= issue.wanted_until or now < issue.renewed_at + RENEW_SECONDS:
                continue
            issue.renewed_at = now
            for name in sorted(self._routers):
                number = self.take_number()
                self._lenders_by_number[number] = (service, name, now)
                request = ShareRequest(number, service, self._name, self._incarnation)
                requests.append((name, request))
        return requests

    def record_share(self, answer: ShareAnswer, largest: float) -> None:
        """Record what a router lends; the loan counts from the request for it.

        Parameters
        ----------
        answer : ShareAnswer
        largest : float
            This router's own share. A larger one may not be believed.
        """
        found = self._lenders_by_number.pop(answer.number, None)
        if found is None:
            return
        service, lender, asked_at = found
        issue = self._issues_by_service[service]
        known_until = issue.loans_by_lender.get(lender, (0.0, -math.inf))[1]
        if asked_at + LEASE_SECONDS > known_until:
            amount = min(answer.amount, largest)
            issue.loans_by_lender[lender] = (amount, asked_at + LEASE_SECONDS)

    def get_service(self, number: int) -> str | None:
        """Return the service that an answer with a loan is for; None if unknown."""
        found = self._lenders_by_number.get(number)
        return None if found is None else found[0]
