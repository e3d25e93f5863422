"""Contract of a plain service behind the router."""

import abc

import msgspec

FENCING_HEADER = "X-Fencing-Token"
KEY_HEADER = "Idempotency-Key"
OUTCOME_HEADER = "X-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"


class ServiceCall(msgspec.Struct, frozen=True):
    """One call passed on to a plain service.

    Attributes
    ----------
    method, target : str
        Request line without the router's own path prefix.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(abc.ABC):
    """An upstream of a plain service reached at an address."""

    @abc.abstractmethod
    async def call(
        self,
        address: str,
        call: ServiceCall,
        timeout: float,
        send_by: float | None = None,
    ) -> ServiceAnswer:
        """Send the call once, on a connection of its own, and return the answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the upstream.
        call : ServiceCall
        timeout : float
            Longest time from the first byte sent to the whole answer, in seconds.
        send_by : float, optional
            Time of the event loop, in seconds, after which the first byte may no
            longer be sent. It is checked last before sending.

        Raises
        ------
        ConnectFailed
            If no byte of the call was sent.
        ConnectionLost
            If no whole answer came within ``timeout`` seconds.
        """
