"""Interface for the header formats of callers' requests and upstreams' responses."""

import abc

from wigeondrift.entities import Route
from wigeondrift.router.calls import CallerRequest, UpstreamHead
from wigeondrift.wire.headers import Headers
from wigeondrift.wire.http_server import Request


class HeaderCodec(abc.ABC):
    """Decodes and encodes the headers of requests and responses."""

    @abc.abstractmethod
    def decode_request(self, request: Request, now: float) -> CallerRequest:
        """Decode a caller's request that arrived at the time ``now``, in seconds."""

    @abc.abstractmethod
    def encode_upstream_headers(
        self,
        call: CallerRequest,
        upstream_id: str,
        team: str,
        remaining: float,
        route: Route | None,
        last_event_id: int | None,
        urgency: int | None = None,
    ) -> Headers:
        """Return the headers of a request to an upstream.

        Parameters
        ----------
        call : CallerRequest
        upstream_id : str
            The only upstream that may run the request.
        team : str
            Empty if the route needs no key.
        remaining : float
            Time that the caller still waits, in seconds.
        route : Route or None
            Stages of a model request.
        last_event_id : int or None
            Event after which a resumed stream continues.
        urgency : int or None
            Urgency of a request to a runner, 0 to 9; the lowest is admitted first.
        """

    @abc.abstractmethod
    def decode_head(self, status: int, headers: Headers) -> UpstreamHead:
        """Decode the head of an upstream's response; header names are in lower case."""
