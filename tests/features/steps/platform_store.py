import msgspec
import trio
from behave import given, then, when

from tests.platform_cases import expect_error, run_case
from tests.processes import Process, find_free_address
from wigeondrift.entities import InstanceState
from wigeondrift.errors import PlatformUnavailable
from wigeondrift.store.http import HttpPlatformStore
from wigeondrift.wire.http_client import HttpClient


@then('the platform store over {form} passes the case "{name}"')
def check_case(context, form, name):
    run_case(name, form)


def call_control(address, path, document=None):
    """Return status and decoded body of the response to a control request."""

    async def call():
        client = HttpClient()
        method = "GET" if document is None else "POST"
        body = b"" if document is None else msgspec.json.encode(document)
        async with client.request(address, method, path, body=body) as response:
            result = response.status, msgspec.json.decode(await response.read())
        await client.close()
        return result

    return trio.run(call)


def call_store(address, run):
    """Return the result of ``run`` called with a store client for the address."""

    async def call():
        client = HttpClient()
        result = await run(HttpPlatformStore(client, address))
        await client.close()
        return result

    return trio.run(call)


@given("the platform emulator runs with two addresses")
def start_emulator(context):
    context.addresses = [find_free_address(), find_free_address()]
    arguments = [
        part for address in context.addresses for part in ("--listen", address)
    ]
    context.process = Process("wigeondrift_emulator.platform", arguments)
    context.cleanups = [context.process.kill]
    context.process.wait_for_event("started")


@when("a control request makes the first address fail")
def fail_first_address(context):
    faults = {"down_by_caller": {context.addresses[0]: "reset"}}
    status, report = call_control(context.addresses[0], "/control", faults)
    assert status == 200
    assert report["faults"]["down_by_caller"] == faults["down_by_caller"]


@then("a call to the first address fails and one to the second succeeds")
def check_first_address_fails(context):
    async def fail(store):
        return await expect_error(PlatformUnavailable, store.get, "k")

    call_store(context.addresses[0], fail)
    revision = call_store(context.addresses[1], lambda store: store.put("k", b"", 0))
    assert revision > 0


@then("the control report counts the calls")
def check_counts(context):
    _, report = call_control(context.addresses[1], "/control")
    assert report["calls_by_name"] == {"put": 1}


@then("a control request with an unknown fault is refused")
def check_unknown_fault(context):
    status, refusal = call_control(context.addresses[1], "/control", {"surprise": 1})
    assert status == 422
    assert "surprise" in refusal["reason"]


@then("a control request marks an instance as leaving")
def check_leaving(context):
    instance = {
        "instance_id": "a",
        "incarnation": 1,
        "role": "runner",
        "address": "127.0.0.1:9",
        "failure_domain": "rajkot",
    }
    path = "/control/instances"
    call_control(context.addresses[1], path, {"put": [instance]})
    call_control(context.addresses[1], path, {"leaving": ["a"]})
    seen = call_store(context.addresses[1], lambda store: store.list_instances(0, 0.0))
    assert [entry.state for entry in seen.instances] == [InstanceState.LEAVING]
