"""Decides when a request is sent to a second upstream, and how often in total.

A hedged request addresses the slow responses of a few upstreams while the others have
capacity. It makes overload worse, so that its number is bounded by the load itself.
"""

import math
from collections import deque
from typing import NamedTuple

# Bounds of the histograms' buckets: the first one, the factor between two bounds and
# the longest latency. Each bucket is 9% wide, well below the spread of latencies.
SHORTEST_SECONDS = 0.001
BUCKET_GROWTH = 2.0**0.125
LONGEST_SECONDS = 600.0
BUCKETS = 1 + math.ceil(math.log(LONGEST_SECONDS / SHORTEST_SECONDS, BUCKET_GROWTH))
# Time after which a latency counts half. Routers that get a few requests per second
# have too few latencies in a much shorter time.
HALF_LIFE_SECONDS = 60.0
# Number of half-lives after which all weights are scaled down, so that none overflows.
MAX_HALF_LIVES = 64.0
# Weight of the latencies of a class that are enough to tell what is usual in it.
MIN_LATENCIES = 20.0
# Fraction of requests that are answered within the delay before a hedged request.
USUAL_SHARE = 0.95
# Factor between the sizes of the smallest and the largest request of a size class, as
# the number of bits.
SIZE_CLASS_BITS = 2
# Number of histograms kept; the one that was used longest ago is dropped first.
MAX_HISTOGRAMS = 256


class AgeingHistogram:
    """Latencies in buckets of equal ratio whose weights halve with time."""

    __slots__ = ("_started_at", "_total", "_weights")

    def __init__(self, now: float) -> None:
        self._weights = [0.0] * BUCKETS
        self._total = 0.0
        # Time at which a latency has the weight 1. Later ones weigh more instead of the
        # earlier ones less, so that a new one changes one bucket only.
        self._started_at = now

    def record(self, seconds: float, now: float) -> None:
        """Add a latency in seconds."""
        half_lives = self._get_half_lives(now)
        if half_lives > MAX_HALF_LIVES:
            factor = 2.0**-half_lives
            self._weights = [factor * one for one in self._weights]
            self._total *= factor
            self._started_at = now
            half_lives = 0.0
        weight = 2.0**half_lives
        ratio = max(1.0, seconds / SHORTEST_SECONDS)
        bucket = math.ceil(math.log(ratio, BUCKET_GROWTH))
        self._weights[min(bucket, BUCKETS - 1)] += weight
        self._total += weight

    def _get_half_lives(self, now: float) -> float:
        return (now - self._started_at) / HALF_LIFE_SECONDS

    def get_count(self, now: float) -> float:
        """Return the number of latencies, each counted with its present weight."""
        return self._total * 2.0 ** -self._get_half_lives(now)

    def get_quantile(self, share: float) -> float:
        """Return a bound that a share of the latencies does not exceed, in seconds."""
        left = share * self._total
        for bucket, weight in enumerate(self._weights):
            left -= weight
            if left <= 0.0:
                return SHORTEST_SECONDS * BUCKET_GROWTH**bucket
        return LONGEST_SECONDS


class RequestClass(NamedTuple):
    """Requests whose latencies are comparable.

    Attributes
    ----------
    service : str
    is_stream : bool
        Whether the latency is that of the first event.
    size : int
        Class of the size in tokens or bytes.
    """

    service: str
    is_stream: bool
    size: int


def classify(service: str, is_stream: bool, size: int) -> RequestClass:
    """Return the class of a request with a size in tokens or bytes."""
    return RequestClass(service, is_stream, size.bit_length() // SIZE_CLASS_BITS)


class UsualLatencies:
    """Tells how long requests of a class usually take now.

    It addresses the load of requests whose upstream is slower than the others of the
    service: if all become slower, so does the usual latency.
    """

    __slots__ = ("_histograms_by_class",)

    def __init__(self) -> None:
        self._histograms_by_class: dict[RequestClass, AgeingHistogram] = {}

    def record(self, request_class: RequestClass, seconds: float, now: float) -> None:
        """Add the latency of a first attempt in seconds.

        If the hedged request was answered first, it is the time until then, which is
        above the delay as the latency would have been.
        """
        histogram = self._histograms_by_class.pop(request_class, None)
        if histogram is None:
            histogram = AgeingHistogram(now)
            while len(self._histograms_by_class) >= MAX_HISTOGRAMS:
                oldest = next(iter(self._histograms_by_class))
                del self._histograms_by_class[oldest]
        self._histograms_by_class[request_class] = histogram
        histogram.record(seconds, now)

    def get_delay(self, request_class: RequestClass, now: float) -> float | None:
        """Return the delay before a hedged request in seconds, None if not known."""
        histogram = self._histograms_by_class.get(request_class)
        if histogram is None or histogram.get_count(now) < MIN_LATENCIES:
            return None
        return histogram.get_quantile(USUAL_SHARE)


class HedgeBudget:
    """Bounds the hedged requests of one service at this router.

    It addresses the load that hedged requests add themselves. In each window that ends
    with a hedged request there are at most ``ratio`` times as many of them as requests.
    As this holds at each router for the requests that it receives, it holds for their
    sum; a router that has restarted begins without requests and thus without budget.

    Parameters
    ----------
    ratio : float
        Hedged requests per request.
    window : float
        Length of a window in seconds.
    """

    __slots__ = ("_hedges", "_ratio", "_requests", "_window")

    def __init__(self, ratio: float, window: float) -> None:
        self._ratio = ratio
        self._window = window
        self._requests: deque[float] = deque()
        self._hedges: deque[float] = deque()

    def update_window(self, window: float) -> None:
        """Change the length of the window; what has been counted remains."""
        self._window = window

    def record_request(self, now: float) -> None:
        """Count a request received from a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def has_room(self, now: float) -> bool:
        """Whether a hedged request may be sent now."""
        self._drop_expired(now)
        return len(self._hedges) + 1 <= self._ratio * len(self._requests)

    def record_hedge(self, now: float) -> None:
        """Count a hedged request that is sent now."""
        self._hedges.append(now)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._hedges):
            while times and now - times[0] > self._window:
                times.popleft()
