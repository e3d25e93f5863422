"""Callers of a stack of separate processes, and the results they receive."""

import json

import trio

from wigeondrift.errors import ConnectFailed, ConnectionLost, TransportError
from wigeondrift.wire.http_client import HttpClient
from wigeondrift_emulator.stack import MODEL, PLAIN, VERSION, get_bearer_key
from wigeondrift_emulator.tokens import expected_tokens

HEAD_TIMEOUT_SECONDS = 30.0


class StreamResult:
    """Result of a streamed completion as received by the caller.

    Attributes
    ----------
    status : int
        HTTP status; zero if no response headers were received.
    text : str
        Text received so far.
    is_whole : bool
        Whether the end marker was received.
    error : dict or None
        Error in the response body or in the stream.
    outcome : str
        Outcome given by the answer; "lost" if the connection broke, "refused" if no
        connection was made.
    """

    def __init__(self):
        self.status = 0
        self.text = ""
        self.is_whole = False
        self.error = None
        self.outcome = ""
        self.first_token = trio.Event()

    def feed(self, event):
        if event == b"data: [DONE]":
            self.is_whole = True
        elif event.startswith(b": outcome="):
            self.outcome = event.decode().partition("=")[2]
        elif event.startswith(b"data: "):
            document = json.loads(event.removeprefix(b"data: "))
            self.error = document.get("error", self.error)
            for choice in document.get("choices", []):
                self.text += choice["text"]
        if self.text:
            self.first_token.set()


def make_request_headers(**extra):
    headers = [("Authorization", f"Bearer {get_bearer_key(0)}")]
    return headers + [(name.replace("_", "-"), extra[name]) for name in extra]


async def stream(address, prompt, max_tokens, result=None, **headers):
    """Stream one completion and return its result."""
    result = result or StreamResult()
    document = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    body = json.dumps(document).encode()
    try:
        async with HttpClient().request(
            address,
            "POST",
            "/v1/completions",
            make_request_headers(**headers),
            body,
            head_timeout=HEAD_TIMEOUT_SECONDS,
        ) as response:
            result.status = response.status
            await _read_events(response, result)
    except ConnectFailed:
        result.outcome = "refused"
    except ConnectionLost:
        result.outcome = "lost"
    result.first_token.set()
    return result


async def _read_events(response, result):
    if response.status != 200:
        result.error = json.loads(await response.read())["error"]
        result.outcome = response.header("x-outcome")
        return
    rest = b""
    async for data in response.iter_data():
        *events, rest = (rest + data).split(b"\n\n")
        for event in events:
            result.feed(event)


async def order(address, key, body=b"book", **headers):
    """Send one order; return status and outcome, or zero and "refused" or "lost"."""
    try:
        async with HttpClient().request(
            address,
            "POST",
            f"/services/{PLAIN}/orders",
            make_request_headers(Idempotency_Key=key, **headers),
            body,
            head_timeout=HEAD_TIMEOUT_SECONDS,
        ) as response:
            await response.read()
            return response.status, response.header("x-outcome")
    except ConnectFailed:
        return 0, "refused"
    except TransportError:
        return 0, "lost"


async def order_until_answered(addresses, key):
    """Resend an order over the addresses in turn until it is answered."""
    for attempt in range(200):
        status, outcome = await order(addresses[attempt % len(addresses)], key)
        if status == 201:
            return outcome
        await trio.sleep(0.05)
    raise AssertionError(f"order {key} was not answered: {status} {outcome}")


def get_text(prompt, max_tokens, layers=24):
    """Return the text that a correct pipeline generates."""
    return "".join(expected_tokens(prompt, MODEL, VERSION, layers, max_tokens))
