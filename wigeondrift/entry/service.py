"""Interface to plain services."""

import abc

import msgspec

FENCING_HEADER = "X-Fencing-Token"
KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "X-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"


class ServiceCall(msgspec.Struct, frozen=True):
    """Call forwarded to a plain service.

    Attributes
    ----------
    method, target : str
        Method and target of the request line, without the router's path prefix.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Complete answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(abc.ABC):
    """Client interface to the upstreams of plain services, given by address."""

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        call: ServiceCall,
        timeout: float,
        send_by: float | None = None,
    ) -> ServiceAnswer:
        """Send the call once, on a new connection, and return the answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the upstream.
        call : ServiceCall
        timeout : float
            Maximum time from the first byte sent to the complete answer, in seconds.
        send_by : float, optional
            Event loop time, in seconds, after which the first byte may no longer
            be sent. This is checked immediately before sending.

        Raises
        ------
        ConnectFailed
            If no byte of the call was sent.
        ConnectionLost
            If no complete answer arrived within ``timeout`` seconds.
        """
