"""Contract of how callers' requests and upstreams' answers are written."""

import abc

from wigeondrift.entities import Route
from wigeondrift.router.calls import CallerRequest, Headers, UpstreamHead
from wigeondrift.wire.http_server import Request


class HeaderCodec(abc.ABC):
    """Translates headers in both directions."""

    @abc.abstractmethod
    def decode_request(self, request: Request, now: float) -> CallerRequest:
        """Return a caller's request that arrived at the time ``now``, in seconds."""

    @abc.abstractmethod
    def encode_upstream_headers(
        self,
        call: CallerRequest,
        upstream_id: str,
        team: str,
        remaining: float,
        route: Route | None,
        last_event_id: int | None,
    ) -> Headers:
        """Return the headers with which a request goes to an upstream.

        Parameters
        ----------
        call : CallerRequest
        upstream_id : str
            The only upstream that may run it.
        team : str
            Empty if the route needs no key.
        remaining : float
            Time that the caller goes on waiting, in seconds.
        route : Route or None
            Stages of a model request.
        last_event_id : int or None
            Event after which a resumed stream goes on.
        """

    @abc.abstractmethod
    def decode_head(self, status: int, headers: Headers) -> UpstreamHead:
        """Return the head of an upstream's answer; header names in lower case."""
