"""Asks a process of the system for its status."""

import msgspec
import trio

from wigeondrift.errors import ConnectionLost
from wigeondrift.wire.messages import Status, StatusRequest
from wigeondrift.wire.post import PostOffice

STATUS_SECONDS = 2.0


async def ask_status(
    address: str, listen: str, timeout: float = STATUS_SECONDS
) -> dict[str, object]:
    """Return the status document of the process at ``address``.

    Parameters
    ----------
    address : str
        ``host:port`` where the process takes messages.
    listen : str
        Free ``host:port`` of this process for the answer.
    timeout : float
        Longest wait, in seconds.

    Raises
    ------
    ConnectionLost
        If no answer came in time.
    """
    post = PostOffice(listen)
    try:
        with trio.fail_after(timeout):
            post.send(address, StatusRequest(listen))
            while True:
                message = await post.receive()
                if isinstance(message, Status):
                    return msgspec.json.decode(message.document)
    except trio.TooSlowError as error:
        raise ConnectionLost(f"{address} gave no status") from error
    finally:
        await post.close()
