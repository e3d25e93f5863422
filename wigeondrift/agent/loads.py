"""Polls upstreams for their load reports."""

import msgspec
import trio
import xxhash

from wigeondrift.entities import Instance, InstanceState, LoadReport, Role
from wigeondrift.errors import TransportError
from wigeondrift.wire.http_client import HttpClient

POLL_INTERVAL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 1.0
MAX_POLLED_UPSTREAMS = 48
MAX_CONCURRENT_POLLS = 8
MAX_REPORT_BYTES = 4096


def select_polled_upstreams(
    instances: tuple[Instance, ...], instance_id: str, failure_domain: str
) -> list[Instance]:
    """Return the live upstreams that an agent polls.

    These are all upstreams of its failure domain, or a bounded subset chosen by
    rendezvous hashing, which distributes the upstreams of a large domain over the
    agents.
    """
    upstreams = [
        instance
        for instance in instances
        if instance.role is not Role.AGENT
        and instance.failure_domain == failure_domain
        and instance.state is InstanceState.LIVE
    ]
    if len(upstreams) <= MAX_POLLED_UPSTREAMS:
        return upstreams

    def rank(instance: Instance) -> int:
        text = f"{instance_id}/{instance.instance_id}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return sorted(upstreams, key=rank)[:MAX_POLLED_UPSTREAMS]


class LoadPoller:
    """Fetches load reports from upstreams over HTTP.

    Parameters
    ----------
    client : HttpClient
    """

    __slots__ = ("_client", "_limiter")

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)

    async def poll(self, upstreams: list[Instance]) -> tuple[LoadReport, ...]:
        """Return the reports of the upstreams that respond in time."""
        reports: list[LoadReport] = []
        async with trio.open_nursery() as nursery:
            for upstream in upstreams:
                nursery.start_soon(self._poll_upstream, upstream, reports)
        return tuple(reports)

    async def _poll_upstream(
        self, upstream: Instance, reports: list[LoadReport]
    ) -> None:
        async with self._limiter:
            with trio.move_on_after(POLL_TIMEOUT_SECONDS):
                report = await self._fetch_load(upstream.address)
                if report is not None and report.instance_id == upstream.instance_id:
                    reports.append(report)

    async def _fetch_load(self, address: str) -> LoadReport | None:
        try:
            async with self._client.request(address, "GET", "/load") as response:
                data = await response.read(MAX_REPORT_BYTES)
                if response.status != 200:
                    return None
                return msgspec.json.decode(data, type=LoadReport)
        except (TransportError, msgspec.DecodeError):
            return None
