"""Client of the control interface of the emulated order service."""

import json

import trio

from wigeondrift.wire.http_client import HttpClient


def call_order_control(address, document=None):
    """Apply ``document``, if any, to the fault switches and return the ledger."""

    async def call():
        body = b"" if document is None else json.dumps(document).encode()
        method = "GET" if document is None else "POST"
        client = HttpClient()
        async with client.request(address, method, "/control", body=body) as response:
            return json.loads(await response.read())

    return trio.run(call)
