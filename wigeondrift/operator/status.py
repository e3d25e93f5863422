"""Requests the status of an agent or entry process."""

import msgspec
import trio

from wigeondrift.errors import ConnectionLost
from wigeondrift.wire.endpoint import MessageEndpoint
from wigeondrift.wire.messages import Status, StatusRequest

STATUS_TIMEOUT_SECONDS = 2.0


async def request_status(
    address: str, reply_address: str, timeout: float = STATUS_TIMEOUT_SECONDS
) -> dict[str, object]:
    """Return the status document of the process at ``address``.

    Parameters
    ----------
    address : str
        ``host:port`` at which the process receives messages.
    reply_address : str
        Free ``host:port`` at which this process receives the response.
    timeout : float
        Maximum time to wait for the response, in seconds.

    Raises
    ------
    ConnectionLost
        If there was no response in time.
    """
    endpoint = MessageEndpoint(reply_address)
    try:
        with trio.fail_after(timeout):
            endpoint.send(address, StatusRequest(reply_address))
            while True:
                message = await endpoint.receive()
                if isinstance(message, Status):
                    return msgspec.json.decode(message.document)
    except trio.TooSlowError as error:
        raise ConnectionLost(
            f"{address} did not respond with its status in time"
        ) from error
    finally:
        await endpoint.close()
