"""Compares hedged requests with other choices of an upstream, in virtual time.

Run as ``python -m bench.hedging``. Each row is one policy at one load: the
50th and 99th percentile of the latency in milliseconds, the attempts beyond the first
of each request in percent of the requests, and the time that attempts without an answer
held a slot in percent of the others'. The model is a queue with some slots for each
upstream; one in twenty is slow at a time, another one after some seconds.
"""

import heapq
import itertools
import random
import sys

from wigeondrift.systems.hedging import HedgeBudget, UsualLatencies, classify

SEED = 1
LOADS = (0.3, 0.6, 0.9)
UPSTREAMS = 20
SLOTS = 4
SLOW_FACTOR = 5.0
SLOW_SECONDS = 10.0
# Service times have a constant and an exponential part of this mean each.
HALF_SERVICE_SECONDS = 0.05
SECONDS = 600.0
WARM_UP_SECONDS = 60.0
SILENCE_SECONDS = 0.9
WINDOW_SECONDS = 10.0
CLASS = classify("model", False, 0)
# First choice ("one" upstream at random or the lower load of "two"), then the second
# attempt: none, after silence, or hedged with a ratio.
POLICIES = {
    "one of all": ("one", None),
    "lower of two": ("two", None),
    "after silence": ("one", "silence"),
    "hedged, 0.02": ("one", 0.02),
    "hedged, 0.1": ("one", 0.1),
    "lower of two, after silence": ("two", "silence"),
    "lower of two, hedged, 0.02": ("two", 0.02),
    "lower of two, hedged, 0.1": ("two", 0.1),
}


class Model:
    """One run of a policy at a load."""

    def __init__(self, load, first, second):
        self.rng = random.Random(SEED)
        self.first, self.second = first, second
        self.rate = load * UPSTREAMS * SLOTS / (2 * HALF_SERVICE_SECONDS)
        self.queues = [[] for _ in range(UPSTREAMS)]
        self.running = [0] * UPSTREAMS
        self.usual = UsualLatencies()
        ratio = second if isinstance(second, float) else 0.0
        self.budget = HedgeBudget(ratio, WINDOW_SECONDS)
        self.latencies, self.attempts = [], 0
        self.work = self.lost_work = 0.0
        self.calls, self.numbers = [], itertools.count()

    def run(self):
        """Play the time and return the results."""
        self.at(0.0, self.arrive)
        while self.calls:
            now, _, call, arguments = heapq.heappop(self.calls)
            call(now, *arguments)
        self.latencies.sort()
        requests = len(self.latencies)
        p50, p99 = (1000 * self.latencies[int(q * requests)] for q in (0.5, 0.99))
        extra_attempts = 100 * (self.attempts / requests - 1)
        extra_work = 100 * self.lost_work / (self.work - self.lost_work)
        return p50, p99, extra_attempts, extra_work

    def at(self, time, call, *arguments):
        """Call a function at a time."""
        heapq.heappush(self.calls, (time, next(self.numbers), call, arguments))

    def arrive(self, now):
        """Send the first attempt of a new request."""
        if now < SECONDS:
            self.at(now + self.rng.expovariate(self.rate), self.arrive)
        self.budget.record_request(now)
        request = {"at": now, "attempts": [], "done": False}
        self.send(now, request, self.choose(()))
        delay = SILENCE_SECONDS
        if self.second != "silence":
            delay = self.second and self.usual.get_delay(CLASS, now)
        if delay:
            self.at(now + delay, self.repeat, request)

    def choose(self, excluded):
        """Return the upstream of an attempt."""
        left = [u for u in range(UPSTREAMS) if u not in excluded]
        choices = self.rng.sample(left, 1 if self.first == "one" else 2)
        return min(choices, key=lambda u: self.running[u] + len(self.queues[u]))

    def repeat(self, now, request):
        """Send the second attempt if it is late and permitted."""
        if request["done"]:
            return
        upstream = self.choose([a["upstream"] for a in request["attempts"]])
        if self.second != "silence":
            has_slot = self.running[upstream] < SLOTS
            if not has_slot or not self.budget.has_room(now):
                return
            self.budget.record_hedge(now)
        self.send(now, request, upstream)

    def send(self, now, request, upstream):
        """Add an attempt to the queue of an upstream."""
        self.attempts += request["at"] >= WARM_UP_SECONDS
        attempt = {"request": request, "upstream": upstream, "begun": None}
        request["attempts"].append(attempt)
        self.queues[upstream].append(attempt)
        self.serve(now, upstream)

    def serve(self, now, upstream):
        """Begin what waits at an upstream while it has slots."""
        queue = self.queues[upstream]
        while queue and self.running[upstream] < SLOTS:
            attempt = queue.pop(0)
            attempt["begun"] = now
            self.running[upstream] += 1
            seconds = HALF_SERVICE_SECONDS * (1.0 + self.rng.expovariate(1.0))
            if int(now / SLOW_SECONDS) % UPSTREAMS == upstream:
                seconds *= SLOW_FACTOR
            self.at(now + seconds, self.answer, attempt)

    def answer(self, now, attempt):
        """Give the first answer to the caller and cancel the other attempt."""
        request = attempt["request"]
        if request["done"]:
            return
        request["done"] = True
        self.usual.record(CLASS, now - request["at"], now)
        is_counted = request["at"] >= WARM_UP_SECONDS
        if is_counted:
            self.latencies.append(now - request["at"])
        for one in request["attempts"]:
            upstream = one["upstream"]
            if one["begun"] is None:
                self.queues[upstream].remove(one)
                continue
            self.running[upstream] -= 1
            if is_counted:
                self.work += now - one["begun"]
                self.lost_work += (now - one["begun"]) * (one is not attempt)
            self.serve(now, upstream)


def main():
    """Print the table as Markdown."""
    print("| load | policy | p50 ms | p99 ms | extra attempts % | extra work % |")
    print("|---|---|---|---|---|---|")
    for load, (name, policy) in itertools.product(LOADS, POLICIES.items()):
        p50, p99, attempts, work = Model(load, *policy).run()
        print(
            f"| {load} | {name} | {p50:.0f} | {p99:.0f} | {attempts:.1f} | {work:.1f} |"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()
