"""Reads and switches the stand-in order service."""

import json

import trio

from wigeondrift.wire.http_client import HttpClient


def call_order_control(address, document=None):
    """Return the ledger after setting the switches, if any."""

    async def call():
        body = b"" if document is None else json.dumps(document).encode()
        method = "GET" if document is None else "POST"
        client = HttpClient()
        async with client.request(address, method, "/control", body=body) as response:
            return json.loads(await response.read())

    return trio.run(call)
