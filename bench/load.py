"""Load generator whose callers retry immediately, with a summary of the results.

Run as ``python -m bench.load --entries 127.0.0.1:8000 --service kokil-lm``.
"""

import json
import sys
import time

import cyclopts
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from bench.workload import LONG, SHORT, Arrival, DemandSurge, Workload
from wigeondrift.errors import TransportError
from wigeondrift.wire.http_client import ClientResponse, HttpClient

MAX_DURATION_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
CALLER_TIMEOUT_SECONDS = 30.0
MAX_RETRIES_PER_SECOND = 200.0
HEAD_TIMEOUT_SECONDS = 30.0
DONE_EVENT = b"data: [DONE]"
DATA_PREFIX = b"data: "


class DurationHistogram:
    """Histogram of durations with microsecond resolution.

    Attributes
    ----------
    count : int
        Number of recorded durations.
    """

    __slots__ = ("_histogram", "count")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_MICROSECONDS, SIGNIFICANT_DIGITS)
        self.count = 0

    def record(self, seconds: float) -> None:
        """Add one duration in seconds."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))
        self.count += 1

    def get_percentile(self, percentile: float) -> float:
        """Return a percentile in seconds, or zero if the histogram is empty."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percentile) / 1e6

    def summarize(self) -> dict[str, float]:
        """Return the count and the percentiles in seconds."""
        summary = {f"p{p:g}": self.get_percentile(p) for p in PERCENTILES}
        return {"count": self.count, **summary}


class Results:
    """Results of the callers of one run.

    Attributes
    ----------
    started_at : float
        Start of the run, in trio's time.
    attempts : int
        HTTP requests sent, retries included.
    completed, truncated : int
        Streams that ended with the final event and streams that did not.
    completed_tokens : int
        Tokens requested by the completed streams.
    given_up : int
        Arrivals without a completed stream within the caller's timeout.
    attempts_by_status : dict of str to int
        Attempts by HTTP status; ``"0"`` for transport errors.
    ttft_from_attempt_by_length, ttft_from_arrival_by_length : dict
        Time to first token (TTFT) from the start of the attempt and from the arrival.
    token_gaps : DurationHistogram
        Time between tokens.
    tokens_by_team : dict of int to int
        Requested tokens of the completed streams.
    tokens_by_second : dict of int to int
        Received tokens by the second of the run.
    """

    __slots__ = (
        "attempts",
        "attempts_by_status",
        "completed",
        "completed_tokens",
        "given_up",
        "started_at",
        "token_gaps",
        "tokens_by_second",
        "tokens_by_team",
        "truncated",
        "ttft_from_arrival_by_length",
        "ttft_from_attempt_by_length",
    )

    def __init__(self) -> None:
        self.started_at = 0.0
        self.attempts = 0
        self.completed = 0
        self.completed_tokens = 0
        self.truncated = 0
        self.given_up = 0
        self.attempts_by_status: dict[str, int] = {}
        self.ttft_from_attempt_by_length = {
            SHORT: DurationHistogram(),
            LONG: DurationHistogram(),
        }
        self.ttft_from_arrival_by_length = {
            SHORT: DurationHistogram(),
            LONG: DurationHistogram(),
        }
        self.token_gaps = DurationHistogram()
        self.tokens_by_team: dict[int, int] = {}
        self.tokens_by_second: dict[int, int] = {}

    def record_tokens(self, now: float, count: int) -> None:
        """Count tokens for the second of the run in which they arrived."""
        second = int(now - self.started_at)
        self.tokens_by_second[second] = self.tokens_by_second.get(second, 0) + count

    def summarize(self, seconds: float) -> dict[str, object]:
        """Return the results as a JSON document; ``seconds`` is the time of the run."""
        return {
            "seconds": seconds,
            "attempts": self.attempts,
            "whole": self.completed,
            "cut": self.truncated,
            "given_up": self.given_up,
            "goodput_tokens_per_second": self.completed_tokens / seconds,
            "answers_by_status": self.attempts_by_status,
            "first_token_from_attempt": {
                length: durations.summarize()
                for length, durations in self.ttft_from_attempt_by_length.items()
            },
            "first_token_from_arrival": {
                length: durations.summarize()
                for length, durations in self.ttft_from_arrival_by_length.items()
            },
            "gap": self.token_gaps.summarize(),
            "tokens_by_team": dict(sorted(self.tokens_by_team.items())),
            "tokens_by_second": dict(sorted(self.tokens_by_second.items())),
        }


class Callers:
    """All callers of one run.

    Parameters
    ----------
    entries : tuple of str
        ``host:port`` of the entries, used round-robin as by a load balancer.
    service : str
        Name of the model to call.
    keys : tuple of str
        Bearer key of each team, indexed by team number.
    """

    __slots__ = (
        "_client",
        "_entries",
        "_keys",
        "_service",
        "_attempt_count",
        "results",
    )

    def __init__(
        self, entries: tuple[str, ...], service: str, keys: tuple[str, ...]
    ) -> None:
        self._entries = entries
        self._service = service
        self._keys = keys
        self._client = HttpClient(max_idle_per_address=256)
        self._attempt_count = 0
        self.results = Results()

    async def run(self, workload: Workload, seed: int) -> dict[str, object]:
        """Send all requests of the workload and return the summary."""
        start = trio.current_time()
        self.results.started_at = start
        async with trio.open_nursery() as nursery:
            for arrival in workload.iter_arrivals(seed):
                await trio.sleep_until(start + arrival.at)
                nursery.start_soon(self._call, arrival)
        elapsed = trio.current_time() - start
        await self._client.close()
        return self.results.summarize(elapsed)

    async def _call(self, arrival: Arrival) -> None:
        arrived = trio.current_time()
        min_interval = 1.0 / MAX_RETRIES_PER_SECOND
        while trio.current_time() - arrived < CALLER_TIMEOUT_SECONDS:
            start = trio.current_time()
            if await self._try_once(arrival, arrived):
                return
            await trio.sleep_until(start + min_interval)
        self.results.given_up += 1

    async def _try_once(self, arrival: Arrival, arrived: float) -> bool:
        self.results.attempts += 1
        self._attempt_count += 1
        address = self._entries[self._attempt_count % len(self._entries)]
        headers = [
            ("Authorization", f"Bearer {self._keys[arrival.team]}"),
            ("Content-Type", "application/json"),
        ]
        body = msgspec.json.encode(
            {
                "model": self._service,
                "prompt": arrival.prompt,
                "max_tokens": arrival.max_tokens,
                "stream": True,
            }
        )
        start = trio.current_time()
        try:
            async with self._client.request(
                address,
                "POST",
                "/v1/completions",
                headers,
                body,
                head_timeout=HEAD_TIMEOUT_SECONDS,
            ) as response:
                self._record_status(response.status)
                if response.status != 200:
                    await response.read()
                    return False
                return await self._read_stream(response, arrival, arrived, start)
        except TransportError:
            self._record_status(0)
            return False

    def _record_status(self, status: int) -> None:
        counts = self.results.attempts_by_status
        counts[str(status)] = counts.get(str(status), 0) + 1

    async def _read_stream(
        self,
        response: ClientResponse,
        arrival: Arrival,
        arrived: float,
        start: float,
    ) -> bool:
        results = self.results
        last = None
        tokens = 0
        is_complete = False
        async for data in response.iter_data():
            now = trio.current_time()
            count = data.count(DATA_PREFIX)
            if DONE_EVENT in data:
                is_complete = True
                count -= 1
            if count <= 0:
                continue
            if last is None:
                results.ttft_from_attempt_by_length[arrival.length].record(now - start)
                results.ttft_from_arrival_by_length[arrival.length].record(
                    now - arrived
                )
            else:
                results.token_gaps.record((now - last) / count)
            last = now
            tokens += count
            results.record_tokens(now, count)
        if not is_complete:
            results.truncated += 1
            return False
        results.completed += 1
        results.completed_tokens += arrival.max_tokens
        tokens_by_team = results.tokens_by_team
        tokens_by_team[arrival.team] = (
            tokens_by_team.get(arrival.team, 0) + arrival.max_tokens
        )
        return True


def print_summary(summary: dict[str, object]) -> None:
    """Print the durations of a summary in milliseconds, then its counters."""
    print(f"{'measure':34}{'count':>8}{'p50':>10}{'p95':>10}{'p99':>10}")
    rows = {
        "short, first token from attempt": summary["first_token_from_attempt"][SHORT],
        "short, first token from arrival": summary["first_token_from_arrival"][SHORT],
        "long, first token from arrival": summary["first_token_from_arrival"][LONG],
        "gap between tokens": summary["gap"],
    }
    for name, row in rows.items():
        values = "".join(f"{row[f'p{p:g}'] * 1000:10.1f}" for p in PERCENTILES)
        print(f"{name:34}{row['count']:8}{values}")
    for name in ("whole", "cut", "given_up", "attempts", "goodput_tokens_per_second"):
        print(f"{name:34}{summary[name]:8.0f}")


app = cyclopts.App(name="bench.load", help=__doc__)


@app.default
def run(
    entries: list[str],
    service: str = "kokil-lm",
    keys: str = "key-{team}",
    rate: float = 20.0,
    seconds: float = 20.0,
    crest: float = 1.0,
    seed: int = 1,
    json_path: str = "",
) -> None:
    """Send load to the entries and print a summary of the results.

    Parameters
    ----------
    entries
        host:port of each entry.
    service
        Name of the model to call.
    keys
        Bearer key of a team; ``{team}`` is replaced by the team number.
    rate
        Base rate in requests per second.
    seconds
        Duration of the run.
    crest
        Peak demand relative to the base rate, reached within 2 s.
    seed
        Random seed of the arrivals.
    json_path
        JSON file to write the summary to.
    """
    surge = DemandSurge(seconds / 3, seconds * 2 / 3, 2.0, crest) if crest > 1 else None
    workload = Workload(rate, seconds, surge=surge)
    team_keys = tuple(keys.format(team=team) for team in range(workload.teams))
    callers = Callers(tuple(entries), service, team_keys)
    start = time.perf_counter()
    summary = trio.run(callers.run, workload, seed)
    summary["wall_seconds"] = time.perf_counter() - start
    print_summary(summary)
    if json_path:
        with open(json_path, "w") as file:
            json.dump(summary, file, indent=1)


if __name__ == "__main__":
    sys.exit(app())
