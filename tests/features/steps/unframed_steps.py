"""Steps on upstreams whose answers have neither a length nor chunks."""

import trio
from behave import given, then

from tests.features.steps.router_steps import MEMBERS, queue_check

HEAD = b"HTTP/1.1 200 OK\r\nWigeondrift-Response-Seal: stand-in\r\n\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(6)]
WHOLE_STREAM = b"".join(EVENTS)
CLOSED, RESET = "closed", "reset"
ANSWERS_BY_ENDING = {
    "closes after the last event": (WHOLE_STREAM, CLOSED),
    "closes within an event": (b"".join(EVENTS[:3]) + b"id: 3\ndata: to", CLOSED),
    "closes within its first line": (b"id", CLOSED),
    "resets after an event": (b"".join(EVENTS[:2]), RESET),
    "closes after it": (b"done by a member", CLOSED),
    "resets in the middle": (b"done", RESET),
}


class UnframedUpstream(trio.abc.Stream):
    """Client side of a connection to an upstream that answers with given bytes."""

    def __init__(self, body, ending):
        self._parts = [HEAD + body]
        self._ending = ending
        self.requests = []

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        self.requests.append(data)

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if self._parts:
            return self._parts.pop()
        if self._ending is RESET:
            raise trio.BrokenResourceError
        return b""

    async def aclose(self):
        await trio.lowlevel.checkpoint()


def answer_unframed(context, names, ending):
    context.unframed = []

    def connect():
        context.unframed.append(UnframedUpstream(*ANSWERS_BY_ENDING[ending]))
        return context.unframed[-1]

    async def listen(world):
        for name in names:
            world.network.listen_with(world.address_of(name), connect)

    context.steps.append(listen)


@given("the first stage of the first replica answers without a length and {ending}")
def answer_stream_unframed(context, ending):
    answer_unframed(context, ["a1"], ending)


@given("every member answers without a length and {ending}")
def answer_calls_unframed(context, ending):
    answer_unframed(context, MEMBERS, ending)


@then("{count:d} runners were asked")
def check_asked(context, count):
    def check(world):
        asked = sum(b"/draft/" in b"".join(s.requests) for s in context.unframed)
        others = len(world.servers_by_id["b1"].served)
        assert (asked, others) == (1, count - 1), (asked, others)

    queue_check(context, check)
