import trio
from behave import given, then, when

from tests.order_control import call_order_control
from tests.processes import Process, find_free_address
from wigeondrift.entry.service import FENCING_HEADER, KEY_HEADER, ServiceCall
from wigeondrift.entry.service_http import HttpPlainService
from wigeondrift.entry.service_memory import FaultMode, MemoryPlainService, Switches
from wigeondrift.errors import ConnectFailed, ConnectionLost
from wigeondrift.wire.http_client import HttpClient

CALL_TIMEOUT_SECONDS = 0.2


class MemoryUpstream:
    def __init__(self):
        self.address = "127.0.0.1:1"
        self.service = MemoryPlainService((self.address,))

    def switch(self, **switches):
        if self.address in self.service.switches_by_address:
            self.service.switches_by_address[self.address] = Switches(**switches)

    def count(self, key):
        return self.service.ledger.runs_by_key.get(key, 0)


class HttpUpstream:
    def __init__(self, context):
        self.address, self._control = find_free_address(), find_free_address()
        arguments = ["--listen", self.address, "--listen", self._control]
        process = Process("wigeondrift_emulator.orders", arguments)
        context.cleanups = [process.kill]
        process.wait_for_event("started")
        self.service = HttpPlainService(HttpClient())

    def _call_control(self, document=None):
        return call_order_control(self._control, document)

    def switch(self, **switches):
        self._call_control({"address": self.address, "switches": switches})

    def count(self, key):
        return self._call_control()["runs_by_key"].get(key, 0)


@given("order upstreams of form {form}")
def open_upstream(context, form):
    context.upstream = MemoryUpstream() if form == "memory" else HttpUpstream(context)


def send_order(context, key, fencing=0, late=False, **switches):
    upstream = context.upstream
    upstream.switch(**switches)
    headers = ((KEY_HEADER, key), (FENCING_HEADER, str(fencing)))
    call = ServiceCall("POST", "/orders", headers, b"{}")

    async def run():
        send_by = trio.current_time() - 1 if late else None
        return await upstream.service.call(
            upstream.address, call, CALL_TIMEOUT_SECONDS, send_by
        )

    context.answer, context.error = None, None
    try:
        context.answer = trio.run(run)
    except (ConnectFailed, ConnectionLost) as error:
        context.error = error


@when('order "{key}" is called with mode {mode}')
def call_with_mode(context, key, mode):
    send_order(context, key, mode=FaultMode(mode))


@when('order "{key}" is called after its send deadline')
def call_late(context, key):
    send_order(context, key, late=True)


@when('order "{key}" is called with fencing {number:d} where fencing is checked')
def call_fenced(context, key, number):
    send_order(context, key, fencing=number, checks_fencing=True)


@when('order "{key}" is called where repeats are dropped')
def call_repeat(context, key):
    send_order(context, key, drops_repeats=True)


@then('the order call is answered {status:d} and the ledger counts {runs:d} for "{k}"')
def check_answered(context, status, runs, k):
    assert context.answer.status == status
    assert context.upstream.count(k) == runs


@then(
    "the order call is answered {status:d} as not run "
    'and the ledger counts {runs:d} for "{k}"'
)
def check_refused(context, status, runs, k):
    assert ("x-outcome", "not-run") in context.answer.headers
    check_answered(context, status, runs, k)


@then('the order call is lost and the ledger counts {runs:d} for "{k}"')
def check_lost(context, runs, k):
    assert isinstance(context.error, ConnectionLost), context.error
    assert context.upstream.count(k) == runs


@then('the order call is unsent and the ledger counts {runs:d} for "{k}"')
def check_unsent(context, runs, k):
    assert isinstance(context.error, ConnectFailed), context.error
    assert context.upstream.count(k) == runs
